/* Stateful fuzzing of the core: runs a small fleet of nodes and control states and checks the oracle's invariants. */
#include "fuzz/fleet.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>

#include "fuzz/fuzz.h"

enum
{
  INPUT_MAX_BYTES = 400
};

static void report (OracleInvariant invariant, const char *text);

static Fleet         *fleet;
static const uint8_t *input;
static size_t         input_bytes;

/* The first byte decides whether only planned changes happen; the next two seed the random number generator. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes)
{
  if (sodium_init () < 0 || size_bytes < 4 || size_bytes > INPUT_MAX_BYTES)
    return 0;
  oracle_fail = report;
  input = data;
  input_bytes = size_bytes;
  fleet = fleet_new (data[0] % 2 == 0, (uint32_t)data[1] << 8 | data[2]);
  fuzz_operations += fleet_apply (fleet, data + 3, size_bytes - 3);
  fleet_check_recovery (fleet);
  fleet_delete (fleet);
  return 0;
}

void
fuzz_print_summary (void)
{
  for (int i = 0; i < ORACLE_INVARIANT_COUNT; i++)
    printf ("%s: evaluated %" PRIu64 " times\n", ORACLE_INVARIANT_STRINGS[i], oracle_checks[i]);
}

/* local functions */

static void
report (OracleInvariant invariant, const char *text)
{
  uint64_t first = fleet->log_count > FLEET_LOG_LINES_MAX ? fleet->log_count - FLEET_LOG_LINES_MAX : 0;

  fprintf (stderr, "ASSERTION %s: %s\n%s, last of %" PRIu64 " log lines:\n", ORACLE_INVARIANT_STRINGS[invariant], text,
           fleet->strict ? "only planned changes" : "all operations", fleet->log_count);
  for (uint64_t i = first; i < fleet->log_count; i++)
    fprintf (stderr, "  %s\n", fleet->log[i % FLEET_LOG_LINES_MAX]);
  fprintf (stderr, "input:");
  for (size_t i = 0; i < input_bytes; i++)
    fprintf (stderr, " %02x", input[i]);
  fprintf (stderr, "\n");
  fuzz_abort ();
}
