#ifndef WC_EDGE_INSTANCE_LIST_H
#define WC_EDGE_INSTANCE_LIST_H

#include <glib.h>
#include <stddef.h>

#include <wigeoncart/membership.h>

/**
 * wc_instance_list_parse() - parse the platform's list of instances.
 * @names: receives the identifier and name of each instance, as allocated keys and values.
 * @count: set to the number of members returned.
 *
 * @rejected: set to the number of entries that were left out because they are malformed, so that one of them does not
 * hide the other instances; @error is then set to the reason of the last.
 *
 * Return: the members, freed with g_free(); or NULL with @error set when @text is not a list of instances.
 */
WcMember *wc_instance_list_parse (const char *text, size_t size_bytes, GHashTable *names, size_t *count,
                                  size_t *rejected, WcError *error);

#endif
