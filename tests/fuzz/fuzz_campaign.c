/* Counterpart of fuzz_smoke.c for libFuzzer, which brings its own main(). */
#include <stdlib.h>

#include "fuzz/fuzz.h"

uint64_t fuzz_operations;

void
fuzz_abort (void)
{
  abort ();
}
