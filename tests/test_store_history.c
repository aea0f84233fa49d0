#include "test_main.h"

#include <stdlib.h>
#include <string.h>

#include "forward/store_sync.h"

/*
 * Random sequences of writes, deletions and restores of a store, and of reads, restarts and cuts of replicas that read
 * the store or each other, in virtual time with fixed seeds. Each write of a key has a higher number than the one
 * before. After a restore, the store's writers write the newest values again within REWRITE_US.
 */

enum
{
  MS = 1000,
  SEEDS = 300,
  STEPS = 1500,
  KEYS = 6,
  REPLICAS = 4,
  PAGE_ITEMS = 2,
  STEP_US = 40 * MS,
  REWRITE_US = 1500 * MS,
  TOMBSTONE_LIFETIME_US = 5000 * MS,
  END_US = 20 * 1000 * MS
};

/* @number: value of the key; 0 for none. @revision: of the last change. */
typedef struct
{
  uint32_t number[KEYS];
  uint64_t revision[KEYS];
  uint64_t last;
} State;

/*
 * @truth: what the writers want each key to be; 0 for none.
 * @is_lost: keys that the restore may have changed and that were not written again yet.
 */
typedef struct
{
  State    now;
  State    copy;
  uint64_t era;
  uint64_t history_start;
  uint32_t truth[KEYS];
  uint32_t newest;
  bool     is_lost[KEYS];
  uint64_t rewrite_us;
} Store;

typedef struct
{
  WcStoreReplica *replica;
  WcStoreSync    *sync;
  uint32_t        applied[KEYS];
  uint32_t        newest_applied[KEYS];
  uint64_t        cut_us;
} Reader;

typedef struct
{
  GRand   *random;
  uint64_t now_us;
  Store    store;
  Reader   readers[REPLICAS];
} Fuzz;

static int
key_index (const char *key)
{
  return key[0] - 'a';
}

/* Guards against a value that reverts while its writer has had time to write the newest one again. */
static void
apply (void *user_data, const WcStoreChange *change)
{
  Reader  *reader = user_data;
  int      key = key_index (change->key);
  uint32_t number = change->value ? (uint32_t)atoi (g_bytes_get_data (change->value, NULL)) : 0;

  ck_assert_msg (number == 0 || number >= reader->newest_applied[key], "%s goes back from %u to %u", change->key,
                 reader->newest_applied[key], number);
  reader->applied[key] = number;
  reader->newest_applied[key] = MAX (reader->newest_applied[key], number);
}

static int
compare (const char *key, GBytes *a, GBytes *b)
{
  (void)key;
  return atoi (g_bytes_get_data (a, NULL)) - atoi (g_bytes_get_data (b, NULL));
}

static const WcStoreReplicaOps OPS = { .apply = apply, .compare = compare };

static void
start (Reader *reader)
{
  memset (reader, 0, sizeof *reader);
  reader->replica = wc_store_replica_new (TOMBSTONE_LIFETIME_US, &OPS, reader);
  reader->sync = wc_store_sync_new (reader->replica);
}

static void
stop (Reader *reader)
{
  wc_store_sync_delete (reader->sync);
  wc_store_replica_delete (reader->replica);
}

static void
write_key (Store *store, int key, uint32_t number)
{
  store->now.number[key] = number;
  store->now.revision[key] = ++store->now.last;
  store->is_lost[key] = false;
}

static void
restore (Fuzz *fuzz)
{
  Store *store = &fuzz->store;

  store->now = store->copy;
  store->era++;
  store->history_start = store->now.last;
  store->rewrite_us = fuzz->now_us + (uint64_t)g_rand_int_range (fuzz->random, 0, REWRITE_US);
  for (int key = 0; key < KEYS; key++)
    store->is_lost[key] = store->now.number[key] != store->truth[key];
}

static void
write_again (Store *store)
{
  for (int key = 0; key < KEYS; key++)
    if (store->is_lost[key])
      write_key (store, key, store->truth[key]);
  store->rewrite_us = 0;
}

static void
add_item (const Store *store, int key, bool with_deletions, WcStoreReply *reply)
{
  char    name[] = { (char)('a' + key), '\0' };
  char   *text = g_strdup_printf ("%u", store->now.number[key]);
  GBytes *value = store->now.number[key] > 0 ? g_bytes_new (text, strlen (text) + 1) : NULL;

  if (value || with_deletions)
    wc_store_reply_add (reply, name, value, (WcStoreVersion){ store->era, store->now.revision[key] });
  g_free (text);
}

/* The store's reply to a read. Return: false for status 410. */
static bool
read_store (const Store *store, WcStoreRead read, const char *after_key, uint64_t after, WcStoreReply *reply)
{
  reply->version = (WcStoreVersion){ store->era, store->now.last };
  if (read == WC_STORE_READ_CHANGES && (after < store->history_start || after > store->now.last))
    return false;
  for (int key = after_key ? key_index (after_key) + 1 : 0; key < KEYS; key++)
    if (read == WC_STORE_READ_CHANGES)
      {
        if (store->now.revision[key] > after)
          add_item (store, key, true, reply);
      }
    else if (reply->changes->len < PAGE_ITEMS)
      add_item (store, key, false, reply);
    else
      reply->has_more = true;
  return true;
}

/* One read of the store, or of @peer if it is not NULL. */
static void
read_once (Fuzz *fuzz, Reader *reader, const Reader *peer)
{
  const WcStoreVersion known = wc_store_replica_get_version (reader->replica);
  const char          *after_key;
  WcStoreRead          read = wc_store_sync_next (reader->sync, &after_key);
  WcStoreReply         reply;
  uint64_t             age_us = 0;
  bool                 is_known;

  wc_store_reply_init (&reply);
  if (peer)
    {
      const WcStoreVersion after = read == WC_STORE_READ_RANGE ? (WcStoreVersion){ 0 } : known;

      wc_store_sync_source_changed (reader->sync);
      read = wc_store_sync_next (reader->sync, &after_key);
      is_known = wc_store_replica_get_changes (peer->replica, after, &reply);
      age_us = fuzz->now_us - wc_store_replica_get_confirmed_us (peer->replica);
    }
  else
    is_known = read_store (&fuzz->store, read, after_key, known.revision, &reply);
  if (!is_known)
    wc_store_sync_expired (reader->sync);
  else if (reply.version.revision > 0)
    (void)wc_store_sync_answered (reader->sync, read, &reply, age_us, fuzz->now_us);
  wc_store_reply_finish (&reply);
}

static void
step (Fuzz *fuzz)
{
  Store  *store = &fuzz->store;
  Reader *reader = &fuzz->readers[g_rand_int_range (fuzz->random, 0, REPLICAS)];
  Reader *peer = &fuzz->readers[g_rand_int_range (fuzz->random, 0, REPLICAS)];
  int     key = g_rand_int_range (fuzz->random, 0, KEYS);
  int     choice = g_rand_int_range (fuzz->random, 0, 200);

  fuzz->now_us += (uint64_t)g_rand_int_range (fuzz->random, 0, STEP_US);
  if (store->rewrite_us > 0 && fuzz->now_us >= store->rewrite_us)
    write_again (store);
  if (choice < 30)
    write_key (store, key, store->truth[key] = ++store->newest);
  else if (choice < 36)
    write_key (store, key, store->truth[key] = 0);
  else if (choice < 38)
    store->copy = store->now;
  else if (choice < 40 && store->copy.last > 0 && store->rewrite_us == 0)
    restore (fuzz);
  else if (choice < 42)
    {
      stop (reader);
      start (reader);
    }
  else if (choice < 45)
    reader->cut_us = fuzz->now_us + (uint64_t)g_rand_int_range (fuzz->random, 0, 8000 * MS);
  else if (choice < 70 && peer != reader)
    read_once (fuzz, reader, peer);
  else if (fuzz->now_us >= reader->cut_us)
    read_once (fuzz, reader, NULL);
}

/* All replicas read the store until it has settled, and then have exactly what the writers want. */
static void
check_convergence (Fuzz *fuzz, uint32_t seed)
{
  const uint64_t end_us = fuzz->now_us + END_US;

  write_again (&fuzz->store);
  for (; fuzz->now_us < end_us; fuzz->now_us += 100 * MS)
    for (int i = 0; i < REPLICAS; i++)
      read_once (fuzz, &fuzz->readers[i], NULL);
  for (int i = 0; i < REPLICAS; i++)
    {
      ck_assert_uint_eq (wc_store_replica_get_held (fuzz->readers[i].replica), 0);
      ck_assert_int_eq (wc_store_version_compare (wc_store_replica_get_version (fuzz->readers[i].replica),
                                                  (WcStoreVersion){ fuzz->store.era, fuzz->store.now.last }),
                        0);
      for (int key = 0; key < KEYS; key++)
        ck_assert_msg (fuzz->readers[i].applied[key] == fuzz->store.truth[key],
                       "seed %u: replica %d has %u for key %c instead of %u", seed, i, fuzz->readers[i].applied[key],
                       'a' + key, fuzz->store.truth[key]);
    }
}

/* Guards against values that revert or are lost in any order of restores, restarts, cuts and reads from peers. */
START_TEST (replicas_never_revert_and_converge)
{
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      Fuzz fuzz = { .random = g_rand_new_with_seed (seed), .now_us = 1000 * MS, .store = { .era = 1 } };

      for (int i = 0; i < REPLICAS; i++)
        start (&fuzz.readers[i]);
      for (int i = 0; i < STEPS; i++)
        step (&fuzz);
      check_convergence (&fuzz, seed);
      for (int i = 0; i < REPLICAS; i++)
        stop (&fuzz.readers[i]);
      g_rand_free (fuzz.random);
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, replicas_never_revert_and_converge);
}

int
main (void)
{
  return wc_test_run ("store_history", add_tests);
}
