#ifndef WC_EDGE_INSTANCE_LIST_H
#define WC_EDGE_INSTANCE_LIST_H

#include <glib.h>
#include <stddef.h>

#include <wigeoncart/membership.h>

/**
 * wc_instance_list_parse() - read the platform's list of instances.
 * @names: gets id and name of each, as allocated keys and values.
 *
 * Entries that are malformed are left out: one bad entry must not hide the others.
 *
 * Return: members to be freed with g_free(), or NULL with @error set when the text is no list.
 */
WcMember *
wc_instance_list_parse (const char *text, size_t size_bytes, GHashTable *names, size_t *count, WcError *error);

#endif
