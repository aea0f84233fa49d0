/* Runs a fuzz target on pseudo-random inputs from a fixed seed, or on input files. */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "fuzz/fuzz.h"

enum
{
  INPUT_MIN_BYTES = 20,
  INPUT_MAX_BYTES = 300
};

uint64_t fuzz_operations;

static uint32_t seed;
static uint32_t run;

static int run_files (char **paths);

int
main (int argc, char **argv)
{
  uint32_t runs = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : 0;
  uint32_t first;

  if (runs == 0)
    return argc > 1 ? run_files (argv + 1) : EXIT_FAILURE;
  seed = argc > 2 ? (uint32_t)strtoul (argv[2], NULL, 10) : 1;
  first = argc > 3 ? (uint32_t)strtoul (argv[3], NULL, 10) : 0;
  for (run = first; run < first + runs; run++)
    {
      uint32_t seeds[2] = { seed, run };
      GRand   *random = g_rand_new_with_seed_array (seeds, 2);
      size_t   size_bytes = (size_t)g_rand_int_range (random, INPUT_MIN_BYTES, INPUT_MAX_BYTES);
      uint8_t *data = g_malloc (size_bytes);

      for (size_t i = 0; i < size_bytes; i++)
        data[i] = (uint8_t)g_rand_int (random);
      LLVMFuzzerTestOneInput (data, size_bytes);
      g_free (data);
      g_rand_free (random);
    }
  fuzz_print_summary ();
  printf ("seed %u, %" PRIu64 " operations\n%u passed, 0 failed\n", seed, fuzz_operations, runs);
  return EXIT_SUCCESS;
}

void
fuzz_abort (void)
{
  fprintf (stderr, "seed %u, run %u, after %" PRIu64 " operations in the runs before\n", seed, run, fuzz_operations);
  printf ("%u passed, 1 failed\n", run);
  fflush (stdout);
  _Exit (EXIT_FAILURE);
}

/* local functions */

static int
run_files (char **paths)
{
  uint32_t passed = 0;

  for (; *paths; paths++, passed++)
    {
      char *data;
      gsize size_bytes;

      if (!g_file_get_contents (*paths, &data, &size_bytes, NULL))
        {
          fprintf (stderr, "cannot read input file %s\n", *paths);
          return EXIT_FAILURE;
        }
      LLVMFuzzerTestOneInput ((const uint8_t *)data, size_bytes);
      g_free (data);
    }
  printf ("%u passed, 0 failed\n", passed);
  return EXIT_SUCCESS;
}
