#ifndef WC_TESTS_SOAK_ROUTE_VERSIONS_H
#define WC_TESTS_SOAK_ROUTE_VERSIONS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * The versions of the configuration in which a route exists: all before its first change, none from that one to the
 * second, and so on. The first change of a route that is not there at the start is in version 0. @changes: NULL before
 * the first change.
 */

/** route_versions_record_change() - record that the route is removed, or added again, in @version. */
static inline void
route_versions_record_change (GArray **changes, uint64_t version)
{
  if (!*changes)
    *changes = g_array_new (FALSE, FALSE, sizeof version);
  g_array_append_val (*changes, version);
}

/** route_versions_find() - the lowest version, from @from on, in which the route exists. Return: false for none. */
static inline bool
route_versions_find (const GArray *changes, uint64_t from, uint64_t *version)
{
  guint count = changes ? changes->len : 0;

  for (guint i = 0; i <= count; i += 2)
    {
      uint64_t added = i > 0 ? g_array_index (changes, uint64_t, i - 1) : 0;

      if (i < count && g_array_index (changes, uint64_t, i) <= from)
        continue;
      *version = MAX (added, from);
      return true;
    }
  return false;
}

#endif
