#include "core/route_cache.h"

#include <string.h>

#include <wigeoncart/name_id.h>

#include "test_main.h"

static const char REGISTER[] =
    "{\"revision\": 1, \"domains\": [\"a\", \"b\"],"
    "\"services\": [{\"name\": \"s\"}, {\"name\": \"t\"}],"
    "\"hosts\": ["
    "{\"name\": \"h1\", \"domain\": \"a\", \"targets\": [{\"service\": \"s\", \"address\": \"127.0.0.1:1\","
    "\"slots\": 2, \"max_connections\": 16, \"cold_start_ms\": 0}]},"
    "{\"name\": \"h2\", \"domain\": \"b\", \"targets\": [{\"service\": \"t\", \"address\": \"127.0.0.1:2\","
    "\"slots\": 2, \"max_connections\": 16, \"cold_start_ms\": 0}]}],"
    "\"customers\": [],"
    "\"keys\": [{\"epoch\": 1, \"secret\": \"SW63tU1Uz7KkWdLvJkeBByKDa5L3md5wVLkdxb13VRk=\"}],"
    "\"rules\": {\"leaving\": [\"%s\"]}}";

/* A view in which the host @leaving is leaving, with 5 live members in domain a whose ids start at @first. */
static WcView *
make_view (const char *leaving, uint64_t first)
{
  char          *text = g_strdup_printf (REGISTER, leaving);
  WcError        error = { 0 };
  WcRegister    *reg = wc_register_parse ("test", text, strlen (text), &error);
  WcMember       members[5] = { 0 };
  WcMemberTable *table;
  WcView        *view;

  ck_assert_msg (reg != NULL, "%s", error.message);
  for (unsigned i = 0; i < G_N_ELEMENTS (members); i++)
    members[i] = (WcMember){
      .id = first + i,
      .domain = wc_name_id32 ("a"),
      .workers = 4,
      .state = WC_MEMBER_LIVE,
    };
  table = wc_member_table_new (members, G_N_ELEMENTS (members));
  view = wc_view_new (reg, NULL, table, WC_LIFECYCLE_SERVING, 0);
  wc_member_table_unref (table);
  wc_register_unref (reg);
  g_free (text);
  return view;
}

/* Guards against results that differ from the uncached ones, on a miss or a hit, and against returning the entry of
 * another service, domain or shard. */
START_TEST (test_against_uncached)
{
  WcRouteCache *cache = wc_route_cache_new ();
  WcView       *view = make_view ("h2", 100);
  uint32_t      domains[] = { wc_name_id32 ("a"), wc_name_id32 ("b"), 0 };

  wc_route_cache_set_view (cache, view);
  for (int pass = 0; pass < 2; pass++)
    for (uint32_t service = 1; service < 400; service++)
      for (unsigned d = 0; d < G_N_ELEMENTS (domains); d++)
        for (uint32_t shard = 0; shard < 5; shard++)
          {
            WcRoute         route = wc_route_cache_find (cache, service, domains[d], shard);
            const WcMember *owner = wc_ownership_find_owner (view->members, domains[d], service, shard);

            ck_assert_ptr_eq (route.owner, owner);
            if (owner)
              ck_assert_uint_eq (route.worker, wc_ownership_get_worker (service, shard, 4));
          }
  for (uint32_t random = 0; random < 100; random++)
    for (unsigned d = 0; d < G_N_ELEMENTS (domains); d++)
      {
        uint32_t service = wc_name_id32 (random % 2 ? "s" : "t");

        ck_assert_uint_eq (
            wc_route_cache_pick_domain (cache, service, domains[d], random * 40000000u),
            wc_ownership_pick_domain (view->members, view->reg, service, domains[d], random * 40000000u));
      }
  ck_assert (wc_route_cache_has_targets (cache, wc_name_id32 ("s"), domains[0]));
  ck_assert (!wc_route_cache_has_targets (cache, wc_name_id32 ("s"), domains[1]));
  ck_assert (!wc_route_cache_has_targets (cache, wc_name_id32 ("t"), domains[1]));
  ck_assert_uint_eq (wc_route_cache_find_shard (cache, wc_name_id32 ("s"), domains[0], 7), 0);
  wc_route_cache_delete (cache);
  wc_view_unref (view);
}
END_TEST

/* Guards against using removed owners or leaving targets after the view has changed. */
START_TEST (test_view_changes)
{
  WcRouteCache *cache = wc_route_cache_new ();
  WcView       *before = make_view ("h2", 100);
  WcView       *after = make_view ("h1", 200);
  uint32_t      service = wc_name_id32 ("s");
  uint32_t      domain = wc_name_id32 ("a");

  wc_route_cache_set_view (cache, before);
  ck_assert (wc_route_cache_has_targets (cache, service, domain));
  ck_assert_uint_lt (wc_route_cache_find (cache, service, domain, 0).owner->id, 200);
  wc_route_cache_set_view (cache, after);
  wc_view_unref (before);
  ck_assert (!wc_route_cache_has_targets (cache, service, domain));
  ck_assert_uint_ge (wc_route_cache_find (cache, service, domain, 0).owner->id, 200);
  ck_assert_uint_eq (wc_route_cache_pick_domain (cache, service, domain, 5),
                     wc_ownership_pick_domain (after->members, after->reg, service, domain, 5));
  wc_route_cache_delete (cache);
  wc_view_unref (after);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_against_uncached);
  tcase_add_test (tests, test_view_changes);
}

int
main (void)
{
  return wc_test_run ("route_cache", add_tests);
}
