#ifndef WIGEONCART_NAME_ID_H
#define WIGEONCART_NAME_ID_H

#include <stdint.h>

/**
 * wc_name_id32() - identifier of a service, domain, customer or target name, never 0.
 *
 * The identifier is the first 4 bytes of the BLAKE2b hash of the name, with 1 in place of 0. Operators publish names
 * only; a register in which two names of one kind collide is rejected.
 */
uint32_t wc_name_id32 (const char *name);

/** wc_name_id64() - identifier of an instance name, never 0. */
uint64_t wc_name_id64 (const char *name);

#endif
