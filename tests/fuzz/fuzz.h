#ifndef WC_TESTS_FUZZ_FUZZ_H
#define WC_TESTS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes);

/** fuzz_operations - number of operations run in this process. */
extern uint64_t fuzz_operations;

/** fuzz_print_summary() - print the counts of the whole run; provided by each fuzz target. */
void fuzz_print_summary (void);

/** fuzz_abort() - end the process after a reported failure; the smoke program prints its counts first. */
void fuzz_abort (void) __attribute__ ((noreturn));

#endif
