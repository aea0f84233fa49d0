#ifndef WIGEONCART_REGISTER_SPLIT_H
#define WIGEONCART_REGISTER_SPLIT_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/status.h>

/**
 * struct WcRegisterSplit - a register in the form in which it is published: a head and parts.
 *
 * The part "base" has the domains, keys and rules. Hosts are grouped by the hash of their names into parts "hosts-xx",
 * so that an edit of one host changes one small part. Services and customers are in "base" up to a limit, and are
 * grouped like the hosts above it. The order of grouped entries in the source text has no effect on the parts.
 */
typedef struct WcRegisterSplit WcRegisterSplit;

/**
 * wc_register_split_new() - validate a register and split it.
 * @name: name of the text in error messages.
 *
 * Return: NULL with @error set when the register is invalid or a part exceeds WC_REGISTER_PART_MAX_BYTES.
 */
WcRegisterSplit *wc_register_split_new (const char *name, const char *text, size_t size_bytes, WcError *error);
void             wc_register_split_delete (WcRegisterSplit *split);

uint64_t    wc_register_split_get_revision (const WcRegisterSplit *split);
const char *wc_register_split_get_head (const WcRegisterSplit *split, size_t *size_bytes);
size_t      wc_register_split_get_part_count (const WcRegisterSplit *split);

/** wc_register_split_get_part() - text and key of the @index-th part. */
const char *
wc_register_split_get_part (const WcRegisterSplit *split, size_t index, const char **key, size_t *size_bytes);

#endif
