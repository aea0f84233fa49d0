/* Replaces fuzz_smoke.c in libFuzzer builds, because libFuzzer provides main(). */
#include <stdlib.h>

#include "fuzz/fuzz.h"

uint64_t fuzz_operations;

void
fuzz_abort (void)
{
  abort ();
}
