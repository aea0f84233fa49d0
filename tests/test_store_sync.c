#include "test_main.h"

#include "forward/store_sync.h"

static void
ignore_change (void *user_data, const WcStoreChange *change)
{
  (void)user_data;
  (void)change;
}

static int
cannot_compare (const char *key, GBytes *a, GBytes *b)
{
  (void)key;
  (void)a;
  (void)b;
  return 0;
}

static const WcStoreReplicaOps OPS = { .apply = ignore_change, .compare = cannot_compare };

static bool
answer (WcStoreSync *sync, WcStoreRead read, uint64_t revision, const char *key, bool has_more)
{
  WcStoreReply reply;
  bool         is_applied;

  wc_store_reply_init (&reply);
  reply.version.revision = revision;
  reply.has_more = has_more;
  if (key)
    wc_store_reply_add (&reply, key, g_bytes_new ("v", 1), reply.version);
  is_applied = wc_store_sync_answered (sync, read, &reply, 0, 1000);
  wc_store_reply_finish (&reply);
  return is_applied;
}

/* Guards against pages that are skipped or read forever, and against changes missed between the pages. */
START_TEST (pages_then_changes)
{
  WcStoreReplica *replica = wc_store_replica_new (1000, &OPS, NULL);
  WcStoreSync    *sync = wc_store_sync_new (replica);
  const char     *after;

  ck_assert_int_eq (wc_store_sync_next (sync, &after), WC_STORE_READ_RANGE);
  ck_assert_ptr_null (after);
  answer (sync, WC_STORE_READ_RANGE, 10, "a", true);
  ck_assert_int_eq (wc_store_sync_next (sync, &after), WC_STORE_READ_RANGE);
  ck_assert_str_eq (after, "a");
  answer (sync, WC_STORE_READ_RANGE, 12, "b", false);
  ck_assert_int_eq (wc_store_sync_next (sync, &after), WC_STORE_READ_CHANGES);
  /* Changes since the first page, because the pages are not a consistent snapshot. */
  ck_assert_uint_eq (wc_store_replica_get_version (replica).revision, 10);
  wc_store_sync_delete (sync);
  wc_store_replica_delete (replica);
}
END_TEST

/*
 * Guards against hosts that vanish because a page came twice, or was empty although more follow, and the items that it
 * should have had count as deleted.
 */
START_TEST (wrong_page_is_not_applied)
{
  WcStoreReplica *replica = wc_store_replica_new (1000, &OPS, NULL);
  WcStoreSync    *sync = wc_store_sync_new (replica);
  const char     *after;

  ck_assert (!answer (sync, WC_STORE_READ_RANGE, 10, NULL, true));
  ck_assert (answer (sync, WC_STORE_READ_RANGE, 10, "b", true));
  ck_assert (!answer (sync, WC_STORE_READ_RANGE, 10, "b", false));
  ck_assert (!answer (sync, WC_STORE_READ_RANGE, 10, "a", false));
  ck_assert (!answer (sync, WC_STORE_READ_RANGE, 10, NULL, true));
  ck_assert_int_eq (wc_store_sync_next (sync, &after), WC_STORE_READ_RANGE);
  ck_assert_str_eq (after, "b");
  ck_assert_uint_eq (wc_store_replica_get_version (replica).revision, 0);
  (void)wc_store_sync_failed (sync);
  ck_assert_int_eq (wc_store_sync_next (sync, &after), WC_STORE_READ_RANGE);
  ck_assert_ptr_null (after);
  ck_assert (answer (sync, WC_STORE_READ_RANGE, 10, "b", true));
  wc_store_sync_source_changed (sync);
  ck_assert_int_eq (wc_store_sync_next (sync, &after), WC_STORE_READ_RANGE);
  ck_assert_ptr_null (after);
  ck_assert (answer (sync, WC_STORE_READ_RANGE, 10, "b", true));
  ck_assert (answer (sync, WC_STORE_READ_RANGE, 11, "c", false));
  ck_assert_int_eq (wc_store_sync_next (sync, &after), WC_STORE_READ_CHANGES);
  wc_store_sync_delete (sync);
  wc_store_replica_delete (replica);
}
END_TEST

/* Guards against a replica that waits for changes which the store no longer keeps. */
START_TEST (compacted_history_restarts_full_read)
{
  WcStoreReplica *replica = wc_store_replica_new (1000, &OPS, NULL);
  WcStoreSync    *sync = wc_store_sync_new (replica);
  const char     *after;

  answer (sync, WC_STORE_READ_RANGE, 10, "a", false);
  ck_assert_int_eq (wc_store_sync_next (sync, &after), WC_STORE_READ_CHANGES);
  wc_store_sync_expired (sync);
  ck_assert_int_eq (wc_store_sync_next (sync, &after), WC_STORE_READ_RANGE);
  wc_store_sync_delete (sync);
  wc_store_replica_delete (replica);
}
END_TEST

/* Guards against a flood of reads while a store is unavailable, and against a long delay after its return. */
START_TEST (backoff_grows_to_limit)
{
  WcStoreReplica *replica = wc_store_replica_new (1000, &OPS, NULL);
  WcStoreSync    *sync = wc_store_sync_new (replica);
  uint64_t        last_us = 0;

  for (int i = 0; i < 20; i++)
    {
      uint64_t backoff_us = wc_store_sync_failed (sync);

      ck_assert_uint_ge (backoff_us, last_us);
      ck_assert_uint_le (backoff_us, 400 * 1000);
      last_us = backoff_us;
    }
  answer (sync, WC_STORE_READ_RANGE, 10, "a", false);
  ck_assert_uint_eq (wc_store_sync_get_failures (sync), 0);
  ck_assert_uint_lt (wc_store_sync_failed (sync), 100 * 1000);
  wc_store_sync_delete (sync);
  wc_store_replica_delete (replica);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, pages_then_changes);
  tcase_add_test (tests, wrong_page_is_not_applied);
  tcase_add_test (tests, compacted_history_restarts_full_read);
  tcase_add_test (tests, backoff_grows_to_limit);
}

int
main (void)
{
  return wc_test_run ("store_sync", add_tests);
}
