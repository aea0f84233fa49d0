#ifndef WC_EDGE_FAULT_REQUEST_H
#define WC_EDGE_FAULT_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

/**
 * wc_fault_request_parse() - parse the JSON body of POST /faults.
 * @domains: receives newly allocated names of the domains to block.
 * @block_platform: assigned only when the body has this field.
 *
 * This function is not in operator_api.c because the headers of ulfius and json-c cannot be included together.
 *
 * Return: false when the text is malformed; @domains may then contain some names, and @block_platform may have been
 * assigned.
 */
bool wc_fault_request_parse (const char *text, size_t size_bytes, GPtrArray *domains, bool *block_platform);

#endif
