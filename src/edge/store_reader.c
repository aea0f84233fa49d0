#include "edge/store_reader.h"

#include <assert.h>

#include <glib.h>

#include "edge/clock.h"
#include "edge/platform_client.h"
#include "forward/store_sync.h"
#include "store_wire.h"

enum
{
  /*
   * How long a read waits for changes. A connection that went silent is noticed after this and the client's own limit,
   * within the time that the platform allows for a configuration to be in force.
   */
  WATCH_MS = 1000
};

struct WcStoreReader
{
  struct ev_loop      *loop;
  WcStoreReplica      *replica;
  WcStoreSync         *sync;
  WcPlatformClient    *client;
  WcEventLog          *log;
  WcStoreReaderUpdated updated;
  void                *user_data;
  ev_timer             pause;
  uint64_t             reads;
};

static void read_next (WcStoreReader *reader);
static void pause_passed (struct ev_loop *loop, ev_timer *watcher, int events);
static void read_ended (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version,
                        const char *body, size_t size_bytes);
static void read_failed (WcStoreReader *reader, const char *reason);
static void log_state (WcStoreReader *reader, const char *event, const char *reason);

WcStoreReader *
wc_store_reader_new (struct ev_loop *loop, const WcAddress *store, WcStoreReplica *replica, WcEventLog *log,
                     WcStoreReaderUpdated updated, void *user_data)
{
  WcStoreReader *reader = g_new0 (WcStoreReader, 1);

  assert (loop != NULL && store != NULL && replica != NULL && updated != NULL);

  reader->loop = loop;
  reader->replica = replica;
  reader->sync = wc_store_sync_new (replica);
  reader->client = wc_platform_client_new (loop, store, 1, read_ended, reader);
  reader->log = log;
  reader->updated = updated;
  reader->user_data = user_data;
  ev_timer_init (&reader->pause, pause_passed, 0.0, 0.0);
  reader->pause.data = reader;
  read_next (reader);
  return reader;
}

void
wc_store_reader_delete (WcStoreReader *reader)
{
  if (!reader)
    return;
  ev_timer_stop (reader->loop, &reader->pause);
  wc_platform_client_delete (reader->client);
  wc_store_sync_delete (reader->sync);
  g_free (reader);
}

void
wc_store_reader_restart (WcStoreReader *reader)
{
  ev_timer_stop (reader->loop, &reader->pause);
  wc_platform_client_cancel (reader->client, WC_PLATFORM_READ_ITEMS);
  wc_platform_client_cancel (reader->client, WC_PLATFORM_READ_CHANGES);
  read_next (reader);
}

uint64_t
wc_store_reader_get_reads (const WcStoreReader *reader)
{
  return reader->reads;
}

/* local functions */

static void
read_next (WcStoreReader *reader)
{
  const char *after_key;
  char       *path;

  reader->reads++;
  if (wc_store_sync_next (reader->sync, &after_key) == WC_STORE_READ_RANGE)
    {
      path = wc_store_wire_range_path (after_key);
      wc_platform_client_get (reader->client, WC_PLATFORM_READ_ITEMS, path, 0);
    }
  else
    {
      path = wc_store_wire_watch_path (wc_store_replica_get_revision (reader->replica), WATCH_MS);
      wc_platform_client_get (reader->client, WC_PLATFORM_READ_CHANGES, path, WATCH_MS);
    }
  g_free (path);
}

static void
pause_passed (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  read_next (watcher->data);
}

static void
read_ended (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body,
            size_t size_bytes)
{
  WcStoreReader *reader = user_data;
  WcStoreReply   reply;
  WcError        error;

  (void)version;
  if (result == WC_PLATFORM_READ_EXPIRED)
    {
      log_state (reader, "store_history_expired", "the changes since this revision are no longer kept");
      wc_store_sync_expired (reader->sync);
      read_next (reader);
      return;
    }
  if (result != WC_PLATFORM_READ_OK)
    {
      read_failed (reader, "no answer");
      return;
    }
  wc_store_reply_init (&reply);
  if (wc_store_wire_read (body, size_bytes, &reply, &error) == WC_STATUS_OK)
    {
      if (wc_store_sync_get_failures (reader->sync) > 0)
        log_state (reader, "store_back", "");
      wc_store_sync_answered (reader->sync,
                              read == WC_PLATFORM_READ_ITEMS ? WC_STORE_READ_RANGE : WC_STORE_READ_CHANGES, &reply,
                              wc_clock_monotonic_us ());
      reader->updated (reader->user_data);
      read_next (reader);
    }
  else
    read_failed (reader, error.message);
  wc_store_reply_finish (&reply);
}

static void
read_failed (WcStoreReader *reader, const char *reason)
{
  if (wc_store_sync_get_failures (reader->sync) == 0)
    log_state (reader, "store_lost", reason);
  ev_timer_set (&reader->pause, (double)wc_store_sync_failed (reader->sync) / 1e6, 0.0);
  ev_timer_start (reader->loop, &reader->pause);
}

static void
log_state (WcStoreReader *reader, const char *event, const char *reason)
{
  uint64_t     time_us = wc_store_replica_get_time_us (reader->replica);
  WcEventLine *line = wc_event_log_begin (reader->log, "store", event);

  wc_event_line_add_uint (line, "revision", wc_store_replica_get_revision (reader->replica));
  if (time_us > 0)
    wc_event_line_add_uint (line, "age_ms", (wc_clock_monotonic_us () - time_us) / 1000);
  if (reason[0] != '\0')
    wc_event_line_add_text (line, "reason", reason);
  wc_event_line_end (line);
}
