#include "test_main.h"

#include <stdlib.h>
#include <string.h>

#include "forward/store_replica.h"

enum
{
  TOMBSTONE_LIFETIME_US = 1000 * 1000
};

typedef struct
{
  uint32_t changes;
  uint32_t deletions;
  char     last_key[64];
} AppliedChanges;

static void
apply (void *user_data, const WcStoreChange *change)
{
  AppliedChanges *applied = user_data;

  applied->changes += change->value != NULL;
  applied->deletions += change->value == NULL;
  strncpy (applied->last_key, change->key, sizeof applied->last_key - 1);
}

/* Values are texts "=N"; the higher number is the newer one. */
static int
compare (const char *key, GBytes *a, GBytes *b)
{
  (void)key;
  return atoi ((const char *)g_bytes_get_data (a, NULL) + 1) - atoi ((const char *)g_bytes_get_data (b, NULL) + 1);
}

static const WcStoreReplicaOps OPS = { .apply = apply, .compare = compare };

/* Fills a reply at @revision from "key=revision" pairs, "-key=revision" for a deletion. */
static void
fill (WcStoreReply *reply, uint64_t revision, const char *items)
{
  char **list = g_strsplit (items, " ", -1);

  wc_store_reply_init (reply);
  reply->version.revision = revision;
  for (char **item = list; *item && **item; item++)
    {
      char   *equals = strchr (*item, '=');
      bool    deleted = **item == '-';
      GBytes *value = deleted ? NULL : g_bytes_new (equals, strlen (equals) + 1);

      *equals = '\0';
      wc_store_reply_add (reply, *item + deleted, value,
                          (WcStoreVersion){ .revision = g_ascii_strtoull (equals + 1, NULL, 10) });
    }
  g_strfreev (list);
}

static void
read_all (WcStoreReplica *replica, uint64_t revision, const char *items, uint64_t now_us)
{
  WcStoreReply reply;

  fill (&reply, revision, items);
  wc_store_replica_begin_full_read (replica);
  ck_assert (wc_store_replica_add_page (replica, &reply, 0, now_us));
  wc_store_reply_finish (&reply);
}

static void
read_changes (WcStoreReplica *replica, uint64_t revision, const char *items, uint64_t age_us, uint64_t now_us)
{
  WcStoreReply reply;

  fill (&reply, revision, items);
  wc_store_replica_add_changes (replica, &reply, age_us, now_us);
  wc_store_reply_finish (&reply);
}

/* Guards against a configuration that reverts: late replies of the store or of peers carry old revisions. */
START_TEST (older_revisions_are_ignored)
{
  AppliedChanges  applied = { 0 };
  WcStoreReplica *replica = wc_store_replica_new (TOMBSTONE_LIFETIME_US, &OPS, &applied);

  read_all (replica, 10, "op/config=9", 1000);
  read_changes (replica, 20, "op/config=15", 0, 2000);
  read_changes (replica, 12, "op/config=12", 0, 3000);
  read_changes (replica, 20, "op/config=15", 0, 4000);
  ck_assert_uint_eq (applied.changes, 2);
  ck_assert_uint_eq (wc_store_replica_get_version (replica).revision, 20);
  wc_store_replica_delete (replica);
}
END_TEST

/* Guards against a lagging source that confirms an old view as current. */
START_TEST (lagging_source_does_not_confirm)
{
  AppliedChanges  applied = { 0 };
  WcStoreReplica *replica = wc_store_replica_new (TOMBSTONE_LIFETIME_US, &OPS, &applied);

  read_all (replica, 10, "a=9", 1000000);
  read_changes (replica, 5, "", 0, 2000000);
  ck_assert_uint_eq (wc_store_replica_get_confirmed_us (replica), 1000000);
  read_changes (replica, 10, "", 300000, 3000000);
  ck_assert_uint_eq (wc_store_replica_get_confirmed_us (replica), 2700000);
  wc_store_replica_delete (replica);
}
END_TEST

/* Guards against hosts that stay in use because their deletion was missed while the store compacted its history. */
START_TEST (full_read_detects_deletions)
{
  AppliedChanges  applied = { 0 };
  WcStoreReplica *replica = wc_store_replica_new (TOMBSTONE_LIFETIME_US, &OPS, &applied);

  read_all (replica, 10, "a=1 b=2 c=3", 1000);
  read_all (replica, 50, "a=1 c=40", 2000);
  ck_assert_uint_eq (applied.deletions, 1);
  ck_assert_str_eq (applied.last_key, "b");
  /* The host is published again later. */
  read_changes (replica, 51, "b=51", 0, 3000);
  ck_assert_uint_eq (applied.changes, 5);
  wc_store_replica_delete (replica);
}
END_TEST

/*
 * Guards against a host that is lost because it was written while the pages of a full read arrived; the pages are not a
 * consistent snapshot.
 */
START_TEST (write_between_pages_is_kept)
{
  AppliedChanges  applied = { 0 };
  WcStoreReplica *replica = wc_store_replica_new (TOMBSTONE_LIFETIME_US, &OPS, &applied);
  WcStoreReply    reply;

  read_all (replica, 10, "a=1 b=2", 1000);
  wc_store_replica_begin_full_read (replica);
  fill (&reply, 30, "a=1");
  reply.has_more = true;
  ck_assert (!wc_store_replica_add_page (replica, &reply, 0, 2000));
  wc_store_reply_finish (&reply);
  /* Another source delivers a newer write of an item that is missing from the next page. */
  read_changes (replica, 30, "b=35", 0, 2500);
  fill (&reply, 36, "");
  ck_assert (wc_store_replica_add_page (replica, &reply, 0, 3000));
  wc_store_reply_finish (&reply);
  ck_assert_uint_eq (applied.deletions, 0);
  ck_assert_uint_eq (wc_store_replica_get_version (replica).revision, 30);
  wc_store_replica_delete (replica);
}
END_TEST

/* Guards against a peer that misses a deletion whose tombstone was evicted here. */
START_TEST (changes_include_tombstones_until_evicted)
{
  AppliedChanges  applied = { 0 };
  WcStoreReplica *replica = wc_store_replica_new (TOMBSTONE_LIFETIME_US, &OPS, &applied);
  WcStoreReply    reply;

  read_all (replica, 10, "a=1 b=2", 1000);
  read_changes (replica, 12, "-b=11 c=12", 0, 2000);
  wc_store_reply_init (&reply);
  ck_assert (wc_store_replica_get_changes (replica, (WcStoreVersion){ 0, 10 }, &reply));
  ck_assert_uint_eq (reply.changes->len, 2);
  ck_assert_str_eq (g_array_index (reply.changes, WcStoreChange, 0).key, "b");
  ck_assert_ptr_null (g_array_index (reply.changes, WcStoreChange, 0).value);
  ck_assert_uint_eq (reply.version.revision, 12);
  wc_store_reply_finish (&reply);

  read_changes (replica, 12, "", 0, 2000 + TOMBSTONE_LIFETIME_US);
  wc_store_reply_init (&reply);
  ck_assert (!wc_store_replica_get_changes (replica, (WcStoreVersion){ 0, 10 }, &reply));
  ck_assert (wc_store_replica_get_changes (replica, (WcStoreVersion){ 0, 11 }, &reply));
  wc_store_reply_finish (&reply);
  /* A reader that requests everything always receives it, without tombstones. */
  wc_store_reply_init (&reply);
  ck_assert (wc_store_replica_get_changes (replica, (WcStoreVersion){ 0, 0 }, &reply));
  ck_assert_uint_eq (reply.changes->len, 2);
  wc_store_reply_finish (&reply);
  wc_store_replica_delete (replica);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, older_revisions_are_ignored);
  tcase_add_test (tests, lagging_source_does_not_confirm);
  tcase_add_test (tests, full_read_detects_deletions);
  tcase_add_test (tests, write_between_pages_is_kept);
  tcase_add_test (tests, changes_include_tombstones_until_evicted);
}

int
main (void)
{
  return wc_test_run ("store_replica", add_tests);
}
