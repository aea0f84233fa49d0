#include "test_main.h"

#include "soak/route_versions.h"

enum
{
  ROUTES = 3,
  VERSIONS = 10,
  STEPS = 6
};

/* Whether a route exists in a version, without route_versions_find(). */
static bool
exists (const GArray *changes, uint64_t version)
{
  bool result = true;

  for (guint i = 0; changes && i < changes->len && g_array_index (changes, uint64_t, i) <= version; i++)
    result = !result;
  return result;
}

/*
 * The soak reports an instance that forwards a flow of a route which no version explains that is at least as new as
 * those that it has shown. Guards against a report without a regress, as for a route that was removed and added again,
 * and against a regress that is not reported: compared with a search of all versions that the instance can have had.
 */
START_TEST (regress_is_found_if_and_only_if_there_is_one)
{
  GRand   *random = g_rand_new_with_seed (1);
  uint32_t regresses = 0;

  for (int play = 0; play < 20000; play++)
    {
      GArray  *changes[ROUTES] = { NULL };
      bool     is_possible[VERSIONS];
      uint64_t shown = 0;

      for (int i = 0; i < ROUTES; i++)
        if (g_rand_boolean (random))
          route_versions_record_change (&changes[i], 0);
      for (uint64_t version = 1; version < VERSIONS; version++)
        if (g_rand_boolean (random))
          route_versions_record_change (&changes[g_rand_int_range (random, 0, ROUTES)], version);
      for (int version = 0; version < VERSIONS; version++)
        is_possible[version] = true;
      for (int step = 0; step < STEPS; step++)
        {
          const GArray *route = changes[g_rand_int_range (random, 0, ROUTES)];
          bool          was_possible = false;
          bool          is_explained = false;

          /* The version is one that was possible before, or a later one. */
          for (uint64_t version = 0; version < VERSIONS; version++)
            {
              was_possible = was_possible || is_possible[version];
              is_possible[version] = was_possible && exists (route, version);
              is_explained = is_explained || is_possible[version];
            }
          ck_assert_int_eq (route_versions_find (route, shown, &shown), is_explained);
          if (!is_explained)
            {
              regresses++;
              break;
            }
          ck_assert (is_possible[shown]);
        }
      for (int i = 0; i < ROUTES; i++)
        if (changes[i])
          g_array_free (changes[i], TRUE);
    }
  ck_assert_uint_gt (regresses, 1000);
  g_rand_free (random);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, regress_is_found_if_and_only_if_there_is_one);
}

int
main (void)
{
  return wc_test_run ("route_versions", add_tests);
}
