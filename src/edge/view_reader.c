#include "edge/view_reader.h"

#include <assert.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/platform_client.h"
#include "forward/store_sync.h"
#include "forward/view_source.h"
#include "store_wire.h"

enum
{
  /*
   * How long a read waits for changes. Together with STORE_TIMEOUT_US, a broken connection is detected within 1.5 s;
   * the platform requires a new configuration to be in force within 3 s.
   */
  WATCH_WAIT_MS = 1000,
  /*
   * The store responds in 4 ms, and takes up to 100 times as long when it is slow. After a failed read it may be slower
   * still, so the timeout is doubled unless another domain is read meanwhile. An unresponsive store must be detected
   * early, because peers read through this instance.
   */
  STORE_TIMEOUT_US = 500 * 1000,
  LOST_STORE_TIMEOUT_US = 1000 * 1000,
  /*
   * Delay before an instance that reads through another domain retries the store. During a retry the instance receives
   * no changes from the other domain.
   */
  STORE_RETRY_DELAY_US = 2000 * 1000,
  /* A peer responds within 10 ms, or within a few hundred milliseconds when its CPU is busy. */
  PEER_TIMEOUT_US = 400 * 1000,
  /*
   * Pause before the store is read again because of an overdue view. Without evidence that another instance can read
   * the store, all instances would otherwise call an unavailable store several times a second.
   */
  CHECK_RETRY_MIN_US = 250 * 1000,
  CHECK_RETRY_US = 4000 * 1000,
  /* Pause before an overdue read of a long response is examined again; the client gives up a stalled one after 0.4 s.
   */
  OVERDUE_RECHECK_US = 100 * 1000,
  /* How long a peer is not read from after a failed read. */
  PEER_AVOID_US = 2000 * 1000,
  /*
   * Delay after a change, so that further changes are read in one batch: hosts that start together publish themselves
   * one by one, and each response requires another request to the store. The platform allows a change to take 250 ms
   * from one instance to another.
   */
  CHANGE_BATCH_DELAY_US = 100 * 1000,
  /*
   * How long a domain that reads through another one is not asked again: as long as that one waits before it retries
   * the store.
   */
  INDIRECT_AVOID_US = STORE_RETRY_DELAY_US,
  /* Minimum pause before a source is chosen again when none was available. */
  PAUSE_MIN_US = 20 * 1000
};

/*
 * @is_first_read: nothing was read from the source since it was chosen.
 * @overdue_peer: peer that was read from when the view became overdue; only if @has_overdue_peer.
 */
struct WcViewReader
{
  struct ev_loop      *loop;
  WcStoreReplica      *replica;
  WcPeerTable         *peers;
  WcStoreSync         *sync;
  WcPlatformClient    *store_client;
  WcPlatformClient    *peer_client;
  WcViewSource         source;
  bool                 is_first_read;
  bool                 has_overdue_peer;
  WcAddress            overdue_peer;
  uint64_t             store_avoid_deadline_us;
  uint64_t             check_avoid_deadline_us;
  bool                 store_lost;
  bool                 is_indirect;
  uint64_t             store_era;
  WcEventLog          *log;
  WcViewReaderOps      ops;
  void                *user_data;
  ev_timer             pause_timer;
  ev_timer             overdue_timer;
  WcViewReaderCounters counters;
};

static void     read_next (WcViewReader *reader);
static void     pause_for (WcViewReader *reader, uint64_t duration_us);
static void     read_store (WcViewReader *reader, WcStoreRead read, const char *after_key);
static void     read_peer (WcViewReader *reader, WcStoreRead read);
static void     set_source (WcViewReader *reader, const WcViewSource *source);
static void     set_indirect (WcViewReader *reader, bool is_indirect);
static void     pause_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void     overdue_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void     cancel_reads (WcViewReader *reader);
static uint32_t get_wait_ms (WcViewReader *reader);
static void     read_finished (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version,
                               const char *body, size_t size_bytes);
static void     set_store_era (WcViewReader *reader, uint64_t era);
static bool     decode_reply (const WcViewReader *reader, uint64_t era, const char *body, size_t size_bytes,
                              WcStoreReply *reply, WcViewOrigin *origin, WcError *error);
static void
reply_received (WcViewReader *reader, WcPlatformRead read, const WcStoreReply *reply, const WcViewOrigin *origin);
static void handle_read_declined (WcViewReader *reader);
static void handle_read_failure (WcViewReader *reader, const char *reason);
static void handle_check_failure (WcViewReader *reader, const char *reason);
static void avoid_peer_if_behind (WcViewReader *reader, uint64_t age_us, uint64_t now_us);
static void avoid_peer (WcViewReader *reader);
static void log_state (WcViewReader *reader, const char *event, const char *reason);

WcViewReader *
wc_view_reader_new (struct ev_loop *loop, const WcAddress *store, WcStoreReplica *replica, WcPeerTable *peers,
                    WcEventLog *log, const WcViewReaderOps *ops, void *user_data)
{
  WcViewReader *reader = g_new0 (WcViewReader, 1);

  assert (loop != NULL && store != NULL && replica != NULL && peers != NULL && ops != NULL);

  reader->loop = loop;
  reader->replica = replica;
  reader->peers = peers;
  reader->sync = wc_store_sync_new (replica);
  reader->store_client = wc_platform_client_new (loop, store, 1, read_finished, reader);
  wc_platform_client_set_response_timeout_us (reader->store_client, STORE_TIMEOUT_US);
  wc_platform_client_set_version_header (reader->store_client, WC_STORE_WIRE_ERA_HEADER);
  reader->source.kind = WC_VIEW_SOURCE_NONE;
  reader->log = log;
  reader->ops = *ops;
  reader->user_data = user_data;
  ev_timer_init (&reader->pause_timer, pause_expired, 0.0, 0.0);
  reader->pause_timer.data = reader;
  ev_timer_init (&reader->overdue_timer, overdue_expired, 0.0, 0.0);
  reader->overdue_timer.data = reader;
  read_next (reader);
  return reader;
}

void
wc_view_reader_delete (WcViewReader *reader)
{
  if (!reader)
    return;
  ev_timer_stop (reader->loop, &reader->pause_timer);
  ev_timer_stop (reader->loop, &reader->overdue_timer);
  wc_platform_client_delete (reader->store_client);
  wc_platform_client_delete (reader->peer_client);
  wc_store_sync_delete (reader->sync);
  g_free (reader);
}

void
wc_view_reader_restart (WcViewReader *reader)
{
  ev_timer_stop (reader->loop, &reader->pause_timer);
  cancel_reads (reader);
  reader->store_avoid_deadline_us = 0;
  reader->check_avoid_deadline_us = 0;
  /* The source did not cause the pause, and is not avoided if the view is overdue. */
  reader->source = (WcViewSource){ .kind = WC_VIEW_SOURCE_NONE };
  read_next (reader);
}

const WcViewReaderCounters *
wc_view_reader_get_counters (const WcViewReader *reader)
{
  return &reader->counters;
}

/* local functions */

static void
read_next (WcViewReader *reader)
{
  uint64_t          now_us = wc_clock_monotonic_us ();
  const WcViewState view = {
    .confirmed_us = wc_store_replica_get_confirmed_us (reader->replica),
    .store_avoid_deadline_us = reader->store_avoid_deadline_us,
    .check_avoid_deadline_us = reader->check_avoid_deadline_us,
  };
  WcViewSource source = wc_view_source_choose (reader->peers, &view, now_us);
  const char  *after_key;
  WcStoreRead  read;

  ev_timer_stop (reader->loop, &reader->overdue_timer);
  set_source (reader, &source);
  read = wc_store_sync_next (reader->sync, &after_key);
  switch (source.kind)
    {
    case WC_VIEW_SOURCE_STORE:
      read_store (reader, read, after_key);
      break;
    case WC_VIEW_SOURCE_PEER:
      read_peer (reader, read);
      if (source.deadline_us == UINT64_MAX)
        break;
      ev_timer_set (&reader->overdue_timer, (double)(source.deadline_us - now_us) / 1e6, 0.0);
      ev_timer_start (reader->loop, &reader->overdue_timer);
      break;
    case WC_VIEW_SOURCE_NONE:
      pause_for (reader, MAX (source.deadline_us, now_us + PAUSE_MIN_US) - now_us);
      break;
    }
}

static void
pause_for (WcViewReader *reader, uint64_t duration_us)
{
  ev_timer_set (&reader->pause_timer, (double)duration_us / 1e6, 0.0);
  ev_timer_start (reader->loop, &reader->pause_timer);
}

/*
 * The first read from a source does not wait for changes, so that a hung source is given up early and the view is
 * confirmed at once. After a failed read, the store is only checked for recovery.
 */
static uint32_t
get_wait_ms (WcViewReader *reader)
{
  bool is_check = reader->is_first_read || (reader->source.kind == WC_VIEW_SOURCE_STORE && reader->store_lost);

  reader->is_first_read = false;
  return is_check ? 0 : WATCH_WAIT_MS;
}

static void
read_store (WcViewReader *reader, WcStoreRead read, const char *after_key)
{
  uint32_t wait_ms = get_wait_ms (reader);
  char    *path;

  reader->counters.store_reads++;
  if (read == WC_STORE_READ_RANGE)
    {
      path = wc_store_wire_range_path (after_key);
      wc_platform_client_get (reader->store_client, WC_PLATFORM_READ_STORE_ITEMS, path, 0);
    }
  else
    {
      path = wc_store_wire_watch_path (wc_store_replica_get_version (reader->replica).revision, wait_ms);
      wc_platform_client_get (reader->store_client, WC_PLATFORM_READ_STORE_CHANGES, path, wait_ms);
    }
  g_free (path);
}

/* A peer has no pages: it returns all items in one response, as changes since revision 0. */
static void
read_peer (WcViewReader *reader, WcStoreRead read)
{
  bool                 is_range = read == WC_STORE_READ_RANGE;
  const WcStoreVersion version = wc_store_replica_get_version (reader->replica);
  uint32_t             wait_ms = is_range ? 0 : get_wait_ms (reader);
  char                *path =
      g_strdup_printf ("/changes?era=%" G_GUINT64_FORMAT "&after=%" G_GUINT64_FORMAT "&wait_ms=%u%s", version.era,
                       is_range ? 0 : version.revision, wait_ms, reader->source.is_other_domain ? "&direct=1" : "");

  reader->counters.peer_reads++;
  wc_platform_client_get (reader->peer_client, is_range ? WC_PLATFORM_READ_STORE_ITEMS : WC_PLATFORM_READ_STORE_CHANGES,
                          path, wait_ms);
  g_free (path);
}

static void
set_source (WcViewReader *reader, const WcViewSource *source)
{
  bool is_same = source->kind == reader->source.kind &&
                 (source->kind != WC_VIEW_SOURCE_PEER || wc_address_equal (&source->peer, &reader->source.peer));

  reader->source.is_other_domain = source->is_other_domain;
  reader->source.is_check = source->is_check;
  if (source->is_other_domain)
    set_indirect (reader, true);
  if (is_same)
    return;
  if (source->is_check)
    {
      reader->counters.overdue++;
      reader->has_overdue_peer = reader->source.kind == WC_VIEW_SOURCE_PEER;
      reader->overdue_peer = reader->source.peer;
    }
  if (source->kind == WC_VIEW_SOURCE_PEER)
    {
      wc_platform_client_delete (reader->peer_client);
      reader->peer_client = wc_platform_client_new (reader->loop, &source->peer, 1, read_finished, reader);
      wc_platform_client_set_response_timeout_us (reader->peer_client, PEER_TIMEOUT_US);
    }
  reader->source = *source;
  reader->is_first_read = true;
  wc_store_sync_source_changed (reader->sync);
  log_state (reader, "source_chosen", source->is_check ? "the view is overdue" : "");
}

static void
set_indirect (WcViewReader *reader, bool is_indirect)
{
  if (reader->is_indirect == is_indirect)
    return;
  reader->is_indirect = is_indirect;
  if (reader->ops.indirect_changed)
    reader->ops.indirect_changed (reader->user_data, is_indirect);
}

static void
pause_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  read_next (watcher->data);
}

/*
 * The peer that is read from has not confirmed the view in time. A long response that is being received is not given
 * up: the whole would be read again, and over slow links would never be complete.
 */
static void
overdue_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  WcViewReader *reader = watcher->data;

  (void)events;
  if (wc_platform_client_is_receiving (reader->peer_client))
    {
      ev_timer_set (watcher, (double)OVERDUE_RECHECK_US / 1e6, 0.0);
      ev_timer_start (loop, watcher);
      return;
    }
  cancel_reads (reader);
  read_next (reader);
}

static void
cancel_reads (WcViewReader *reader)
{
  WcPlatformClient *clients[] = { reader->store_client, reader->peer_client };

  for (size_t i = 0; i < G_N_ELEMENTS (clients); i++)
    if (clients[i])
      {
        wc_platform_client_cancel (clients[i], WC_PLATFORM_READ_STORE_ITEMS);
        wc_platform_client_cancel (clients[i], WC_PLATFORM_READ_STORE_CHANGES);
      }
}

static void
read_finished (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body,
               size_t size_bytes)
{
  WcViewReader *reader = user_data;
  WcStoreReply  reply;
  WcViewOrigin  origin = { 0 };
  WcError       error = { 0 };

  if (reader->source.kind == WC_VIEW_SOURCE_STORE)
    set_store_era (reader, version);
  if (result == WC_PLATFORM_RESULT_EXPIRED)
    {
      reader->counters.expired++;
      log_state (reader, "history_expired", "the source no longer keeps the changes since this revision");
      wc_store_sync_expired (reader->sync);
      read_next (reader);
      return;
    }
  if (result == WC_PLATFORM_RESULT_DECLINED && reader->source.is_other_domain)
    {
      handle_read_declined (reader);
      return;
    }
  if (result != WC_PLATFORM_RESULT_OK)
    {
      handle_read_failure (reader, "no valid response");
      return;
    }
  wc_store_reply_init (&reply);
  if (!decode_reply (reader, version, body, size_bytes, &reply, &origin, &error))
    handle_read_failure (reader, error.message);
  else
    {
      reader->counters.rejected += reply.rejected;
      if (reply.rejected > 0)
        log_state (reader, "item_rejected", error.message);
      reply_received (reader, read, &reply, &origin);
    }
  wc_store_reply_finish (&reply);
}

/* Logs the first answer of a store that was restored from an older copy. */
static void
set_store_era (WcViewReader *reader, uint64_t era)
{
  bool is_new = era > reader->store_era;

  reader->store_era = MAX (reader->store_era, era);
  if (is_new && wc_store_replica_get_version (reader->replica).revision > 0)
    log_state (reader, "store_restored", "the store was restored from an older copy");
}

static bool
decode_reply (const WcViewReader *reader, uint64_t era, const char *body, size_t size_bytes, WcStoreReply *reply,
              WcViewOrigin *origin, WcError *error)
{
  if (reader->source.kind == WC_VIEW_SOURCE_STORE)
    return wc_store_wire_decode (body, size_bytes, era, reply, error) == WC_STATUS_OK;
  if (wc_view_changes_unpack (body, size_bytes, reply, origin) != WC_STATUS_OK)
    {
      wc_error_set (error, WC_STATUS_PARSE, "response of the peer cannot be decoded");
      return false;
    }
  wc_event_log_merge_logical_clock (reader->log, origin->logical);
  return true;
}

static void
reply_received (WcViewReader *reader, WcPlatformRead read, const WcStoreReply *reply, const WcViewOrigin *origin)
{
  uint64_t    now_us = wc_clock_monotonic_us ();
  WcStoreRead sync_read = read == WC_PLATFORM_READ_STORE_ITEMS ? WC_STORE_READ_RANGE : WC_STORE_READ_CHANGES;

  /* The store's answers are linearizable, so that a lower version is not its current state. */
  if (reader->source.kind == WC_VIEW_SOURCE_STORE &&
      wc_store_version_compare (reply->version, wc_store_replica_get_version (reader->replica)) < 0)
    {
      handle_read_failure (reader, "response is older than the view");
      return;
    }
  if (!wc_store_sync_answered (reader->sync, sync_read, reply, (uint64_t)origin->age_ms * 1000, now_us))
    {
      handle_read_failure (reader, "response does not continue the range, or is of an earlier era");
      return;
    }
  if (reader->source.kind == WC_VIEW_SOURCE_STORE && reader->store_lost)
    {
      reader->store_lost = false;
      wc_platform_client_set_response_timeout_us (reader->store_client, STORE_TIMEOUT_US);
      log_state (reader, "store_back", "");
    }
  if (reader->source.kind == WC_VIEW_SOURCE_PEER)
    avoid_peer_if_behind (reader, (uint64_t)origin->age_ms * 1000, now_us);
  else if (reader->source.is_check && reader->has_overdue_peer)
    {
      /* The store could be read all the while. */
      wc_peer_table_avoid (reader->peers, &reader->overdue_peer, now_us + PEER_AVOID_US);
      reader->has_overdue_peer = false;
    }
  if (!reader->source.is_other_domain)
    set_indirect (reader, origin->is_indirect);
  reader->ops.view_updated (reader->user_data);
  if (reader->source.kind == WC_VIEW_SOURCE_STORE && read == WC_PLATFORM_READ_STORE_CHANGES && reply->changes->len > 0)
    pause_for (reader, CHANGE_BATCH_DELAY_US);
  else
    read_next (reader);
}

/*
 * Load pattern: the store rejects the instances that read it in all domains at once. Domains that read through each
 * other only exchange what they know, and none of their views is updated. When every other domain declines, the peers
 * of this domain are answered with 503, so that the one with the next rank tries the store.
 */
static void
handle_read_declined (WcViewReader *reader)
{
  log_state (reader, "peer_read_declined", "the peer's domain reads the store through another domain");
  wc_peer_table_avoid_indirect (reader->peers, reader->source.domain, wc_clock_monotonic_us () + INDIRECT_AVOID_US);
  read_next (reader);
  if (reader->source.is_other_domain || reader->source.kind == WC_VIEW_SOURCE_STORE)
    return;
  reader->ops.source_lost (reader->user_data);
  wc_platform_client_set_response_timeout_us (reader->store_client, LOST_STORE_TIMEOUT_US);
}

/*
 * Does not read from the failed source for a while, and reads from the next one. An instance that reads for its domain
 * continues to do so through another domain, and retries the store after STORE_RETRY_DELAY_US. Without another domain,
 * the waiting requests of its peers are answered with 503, so that they choose another source.
 */
static void
handle_read_failure (WcViewReader *reader, const char *reason)
{
  bool reads_for_domain = reader->source.kind == WC_VIEW_SOURCE_STORE || reader->source.is_other_domain;

  reader->counters.failures++;
  if (reader->source.is_check)
    {
      handle_check_failure (reader, reason);
      return;
    }
  if (reader->source.kind == WC_VIEW_SOURCE_PEER)
    {
      log_state (reader, "peer_read_failed", reason);
      avoid_peer (reader);
    }
  else
    {
      if (!reader->store_lost)
        log_state (reader, "store_lost", reason);
      reader->store_lost = true;
      reader->store_avoid_deadline_us = wc_clock_monotonic_us () + wc_store_sync_failed (reader->sync);
    }
  read_next (reader);
  if (!reads_for_domain)
    return;
  if (reader->source.is_other_domain)
    reader->store_avoid_deadline_us = wc_clock_monotonic_us () + STORE_RETRY_DELAY_US;
  else
    reader->ops.source_lost (reader->user_data);
  wc_platform_client_set_response_timeout_us (
      reader->store_client, reader->source.is_other_domain ? STORE_TIMEOUT_US : LOST_STORE_TIMEOUT_US);
}

/* The peers of this instance do not depend on the result, because they check the store themselves. */
static void
handle_check_failure (WcViewReader *reader, const char *reason)
{
  uint64_t now_us = wc_clock_monotonic_us ();
  bool     is_store_up =
      wc_view_source_has_newer (reader->peers, wc_store_replica_get_confirmed_us (reader->replica), now_us);

  log_state (reader, "store_check_failed", reason);
  reader->check_avoid_deadline_us = now_us + (is_store_up ? CHECK_RETRY_MIN_US : CHECK_RETRY_US);
  wc_store_sync_failed (reader->sync);
  read_next (reader);
}

static void
avoid_peer_if_behind (WcViewReader *reader, uint64_t age_us, uint64_t now_us)
{
  uint64_t confirmed_us = wc_store_replica_get_confirmed_us (reader->replica);

  if (!wc_view_source_is_behind (reader->peers, now_us > age_us ? now_us - age_us : 0, confirmed_us, now_us))
    return;
  reader->counters.behind++;
  log_state (reader, "peer_behind", "its view is older than one known elsewhere");
  avoid_peer (reader);
}

static void
avoid_peer (WcViewReader *reader)
{
  wc_peer_table_avoid (reader->peers, &reader->source.peer, wc_clock_monotonic_us () + PEER_AVOID_US);
}

static void
log_state (WcViewReader *reader, const char *event, const char *reason)
{
  static const char *const source_names[] = { "store", "peer", "none" };
  const WcStoreVersion     version = wc_store_replica_get_version (reader->replica);
  uint64_t                 confirmed_us = wc_store_replica_get_confirmed_us (reader->replica);
  uint64_t                 now_us = wc_clock_monotonic_us ();
  uint32_t                 avoided = wc_peer_table_count_avoided (reader->peers, now_us);
  WcEventLine             *line = wc_event_log_begin (reader->log, "view", event);
  char                     text[WC_ADDRESS_TEXT_BYTES];

  wc_event_line_add_text (line, "source", source_names[reader->source.kind]);
  if (reader->source.kind == WC_VIEW_SOURCE_PEER)
    wc_event_line_add_text (line, "peer", wc_address_format (&reader->source.peer, text));
  wc_event_line_add_uint (line, "view_era", version.era);
  wc_event_line_add_uint (line, "view_revision", version.revision);
  if (confirmed_us > 0)
    wc_event_line_add_uint (line, "view_age_ms", (now_us - confirmed_us) / 1000);
  if (avoided > 0)
    wc_event_line_add_uint (line, "peers_avoided", avoided);
  if (reason[0] != '\0')
    wc_event_line_add_text (line, "reason", reason);
  wc_event_line_end (line);
}
