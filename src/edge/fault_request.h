#ifndef WC_EDGE_FAULT_REQUEST_H
#define WC_EDGE_FAULT_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

/**
 * wc_fault_request_parse() - read the body of POST /faults.
 * @domains: gets the names of the domains to block, as strings of its own.
 *
 * Kept apart from the operators' port: the headers of ulfius and json-c cannot be included together.
 *
 * Return: false when the text is malformed.
 */
bool wc_fault_request_parse (const char *text, size_t size_bytes, GPtrArray *domains, bool *block_platform);

#endif
