#include "edge/control_thread.h"

#include <assert.h>
#include <pthread.h>
#include <string.h>

#include <ev.h>
#include <glib.h>
#include <sodium.h>

#include <wigeoncart/name_id.h>

#include "core/control.h"
#include "edge/clock.h"
#include "edge/instance_list.h"
#include "edge/log.h"
#include "edge/peer_link.h"
#include "edge/platform_client.h"
#include "edge/status_json.h"

enum
{
  STATUS_INTERVAL_US = 500 * 1000,
  NAMES_MAX = 4096
};

struct WcControlThread
{
  const WcSettings *settings;
  WcWorker *const  *workers;
  size_t            worker_count;
  struct ev_loop   *loop;
  pthread_t         thread;
  ev_timer          tick_timer;
  ev_async          wakeup;
  WcCounters        counters;
  WcEventRing      *events;
  WcControl        *control;
  WcPeerLinks      *links;
  WcPlatformClient *platform;
  WcKeyring        *keyring;
  GHashTable       *names;
  uint64_t          status_built_us;

  /* Shared with other threads, protected by the mutex. */
  pthread_mutex_t mutex;
  bool            stopped;
  bool            stop_requested;
  uint32_t        pending_terminations;
  bool            faults_changed;
  GArray         *pending_blocked_domains;
  bool            pending_block_platform;
  char           *status;
  bool            ready;
  char            reason[WC_READY_REASON_BYTES];
  uint64_t        last_update_us;
  WcView         *current_view;

  /* Used by the control thread only. */
  GArray *blocked_domains;
};

static void *run (void *user_data);
static void  tick_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void  wakeup_received (struct ev_loop *loop, ev_async *watcher, int events);
static void  update_published_state (WcControlThread *thread, bool force);
static void  apply_faults (WcControlThread *thread);
static void  distribute_view (WcControlThread *thread, WcView *view);
static bool  domain_is_blocked (const WcControlThread *thread, uint32_t domain);
static void  update_keys (WcControlThread *thread, WcView *view);

static void op_connect (void *user_data, const WcMember *member);
static void op_disconnect (void *user_data, uint64_t peer);
static bool op_send (void *user_data, uint64_t peer, Wc__PeerFrame *frame);
static void op_read_head (void *user_data, uint64_t after, uint32_t wait_ms);
static void op_cancel_head (void *user_data);
static void op_read_part (void *user_data, const char *key);
static void op_read_list (void *user_data);
static void op_publish (void *user_data, WcView *view);
static void op_record (void *user_data, const WcEvent *event);
static bool op_workers_idle (void *user_data);
static void op_stop (void *user_data);
static void link_up (void *user_data, uint64_t peer, uint64_t incarnation, uint32_t domain, const char *name);
static void link_down (void *user_data, uint64_t peer);
static void link_receive (void *user_data, uint64_t peer, const Wc__PeerFrame *frame);
static bool link_is_blocked (void *user_data, uint32_t domain);
static void platform_read_finished (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version,
                                    const char *body, size_t size_bytes);
static void read_list (WcControlThread *thread, const char *body, size_t size_bytes);

static const WcControlOps CONTROL_OPS = {
  .connect = op_connect,
  .disconnect = op_disconnect,
  .send = op_send,
  .read_head = op_read_head,
  .cancel_head = op_cancel_head,
  .read_part = op_read_part,
  .read_list = op_read_list,
  .publish = op_publish,
  .record = op_record,
  .workers_idle = op_workers_idle,
  .stop = op_stop,
};

static const WcPeerLinkOps LINK_OPS = {
  .up = link_up,
  .down = link_down,
  .receive = link_receive,
  .is_blocked = link_is_blocked,
};

WcControlThread *
wc_control_thread_new (const WcSettings *settings, uint64_t incarnation, WcWorker *const *workers, size_t worker_count,
                       WcError *error)
{
  WcControlThread *thread;
  WcControlConfig  config;
  WcPeerLinkConfig link_config = { 0 };
  double           tick_s;

  assert (settings != NULL);
  assert (incarnation != 0);

  thread = g_new0 (WcControlThread, 1);
  thread->settings = settings;
  thread->workers = workers;
  thread->worker_count = worker_count;
  thread->loop = ev_loop_new (EVFLAG_AUTO);
  pthread_mutex_init (&thread->mutex, NULL);
  thread->names = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  thread->pending_blocked_domains = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  thread->blocked_domains = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_strlcpy (thread->reason, "starting", sizeof thread->reason);

  wc_control_config_init (&config);
  config.self.id = wc_name_id64 (settings->instance);
  config.self.incarnation = incarnation;
  config.self.domain = wc_name_id32 (settings->domain);
  config.self.workers = settings->workers;
  config.self.state = WC_MEMBER_LIVE;
  config.self.address = settings->peer;
  config.heartbeat_us = (uint64_t)settings->heartbeat_ms * 1000;
  config.suspect_after_us = (uint64_t)settings->suspect_after_ms * 1000;
  config.pause_threshold_us = (uint64_t)settings->pause_threshold_ms * 1000;
  config.confirm_limit_us = (uint64_t)settings->confirm_limit_ms * 1000;
  config.drain_limit_us = (uint64_t)settings->drain_limit_ms * 1000;
  config.seed = randombytes_random ();
  g_hash_table_replace (thread->names, g_memdup2 (&config.self.id, sizeof config.self.id),
                        g_strdup (settings->instance));

  link_config.instance = config.self.id;
  link_config.incarnation = incarnation;
  link_config.domain = config.self.domain;
  link_config.name = settings->instance;
  link_config.address = settings->peer;
  link_config.fleet_key = settings->fleet_key;
  thread->events = wc_event_ring_new (settings->event_ring_entries);
  thread->links = wc_peer_links_new (thread->loop, &link_config, &LINK_OPS, thread, &thread->counters, error);
  if (!thread->links)
    {
      wc_control_thread_delete (thread);
      return NULL;
    }
  thread->platform = wc_platform_client_new (thread->loop, settings->platforms, settings->platform_count,
                                             platform_read_finished, thread);
  thread->control = wc_control_new (&config, &CONTROL_OPS, thread, &thread->counters);

  /* A fifth of the pause threshold, so that a pause is detected in time; 10 ms to 50 ms. */
  tick_s = CLAMP ((double)settings->pause_threshold_ms / 5000.0, 0.01, 0.05);
  ev_timer_init (&thread->tick_timer, tick_expired, tick_s, tick_s);
  thread->tick_timer.data = thread;
  ev_timer_start (thread->loop, &thread->tick_timer);
  ev_async_init (&thread->wakeup, wakeup_received);
  thread->wakeup.data = thread;
  ev_async_start (thread->loop, &thread->wakeup);
  update_published_state (thread, true);
  if (pthread_create (&thread->thread, NULL, run, thread) != 0)
    {
      wc_error_set (error, WC_STATUS_NO_SPACE, "cannot start the control thread");
      thread->thread = 0;
      wc_control_thread_delete (thread);
      return NULL;
    }
  return thread;
}

void
wc_control_thread_delete (WcControlThread *thread)
{
  if (!thread)
    return;
  if (thread->thread)
    {
      pthread_mutex_lock (&thread->mutex);
      thread->stop_requested = true;
      pthread_mutex_unlock (&thread->mutex);
      ev_async_send (thread->loop, &thread->wakeup);
      pthread_join (thread->thread, NULL);
    }
  wc_peer_links_delete (thread->links);
  wc_platform_client_delete (thread->platform);
  wc_control_delete (thread->control);
  if (thread->current_view)
    wc_view_unref (thread->current_view);
  if (thread->keyring)
    wc_keyring_unref (thread->keyring);
  wc_event_ring_delete (thread->events);
  g_hash_table_destroy (thread->names);
  ev_loop_destroy (thread->loop);
  g_array_free (thread->pending_blocked_domains, TRUE);
  g_array_free (thread->blocked_domains, TRUE);
  g_free (thread->status);
  pthread_mutex_destroy (&thread->mutex);
  g_free (thread);
}

void
wc_control_thread_terminate (WcControlThread *thread)
{
  assert (thread != NULL);

  pthread_mutex_lock (&thread->mutex);
  thread->pending_terminations++;
  pthread_mutex_unlock (&thread->mutex);
  ev_async_send (thread->loop, &thread->wakeup);
}

bool
wc_control_thread_is_stopped (WcControlThread *thread)
{
  bool stopped;

  assert (thread != NULL);

  pthread_mutex_lock (&thread->mutex);
  stopped = thread->stopped;
  pthread_mutex_unlock (&thread->mutex);
  return stopped;
}

bool
wc_control_thread_is_ready (WcControlThread *thread, char reason[WC_READY_REASON_BYTES])
{
  uint64_t now_us = wc_clock_monotonic_us ();
  bool     ready;

  assert (thread != NULL);

  pthread_mutex_lock (&thread->mutex);
  ready = thread->ready;
  g_strlcpy (reason, thread->reason, WC_READY_REASON_BYTES);
  /* After a pause of the process, the calling thread may run before the control thread has detected the pause. */
  if (ready && now_us > thread->last_update_us + (uint64_t)thread->settings->pause_threshold_ms * 1000)
    {
      ready = false;
      g_strlcpy (reason, "the control thread has not run for a while", WC_READY_REASON_BYTES);
    }
  pthread_mutex_unlock (&thread->mutex);
  return ready;
}

char *
wc_control_thread_copy_status (WcControlThread *thread)
{
  char *copy;

  assert (thread != NULL);

  pthread_mutex_lock (&thread->mutex);
  copy = g_strdup (thread->status);
  pthread_mutex_unlock (&thread->mutex);
  return copy;
}

WcRegister *
wc_control_thread_ref_register (WcControlThread *thread)
{
  WcRegister *reg = NULL;

  assert (thread != NULL);

  pthread_mutex_lock (&thread->mutex);
  if (thread->current_view && thread->current_view->reg)
    reg = wc_register_ref (thread->current_view->reg);
  pthread_mutex_unlock (&thread->mutex);
  return reg;
}

void
wc_control_thread_set_faults (WcControlThread *thread, const char *const *domains, size_t count, bool block_platform)
{
  assert (thread != NULL);

  pthread_mutex_lock (&thread->mutex);
  g_array_set_size (thread->pending_blocked_domains, 0);
  for (size_t i = 0; i < count; i++)
    {
      uint32_t id = wc_name_id32 (domains[i]);

      g_array_append_val (thread->pending_blocked_domains, id);
    }
  thread->pending_block_platform = block_platform;
  thread->faults_changed = true;
  pthread_mutex_unlock (&thread->mutex);
  ev_async_send (thread->loop, &thread->wakeup);
}

const WcCounters *
wc_control_thread_get_counters (const WcControlThread *thread)
{
  assert (thread != NULL);

  return &thread->counters;
}

const WcEventRing *
wc_control_thread_get_events (const WcControlThread *thread)
{
  assert (thread != NULL);

  return thread->events;
}

size_t
wc_control_thread_get_worker_count (const WcControlThread *thread)
{
  assert (thread != NULL);

  return thread->worker_count;
}

const WcWorker *
wc_control_thread_get_worker (const WcControlThread *thread, size_t index)
{
  assert (thread != NULL);
  assert (index < thread->worker_count);

  return thread->workers[index];
}

const WcSettings *
wc_control_thread_get_settings (const WcControlThread *thread)
{
  assert (thread != NULL);

  return thread->settings;
}

/* local functions */

static void *
run (void *user_data)
{
  WcControlThread *thread = user_data;

  wc_control_start (thread->control, wc_clock_monotonic_us ());
  ev_run (thread->loop, 0);
  return NULL;
}

static void
tick_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  WcControlThread *thread = watcher->data;

  (void)loop;
  (void)events;
  wc_control_tick (thread->control, wc_clock_monotonic_us ());
  update_published_state (thread, false);
}

static void
wakeup_received (struct ev_loop *loop, ev_async *watcher, int events)
{
  WcControlThread *thread = watcher->data;
  uint32_t         pending_terminations;
  bool             stop_requested;

  (void)events;
  pthread_mutex_lock (&thread->mutex);
  pending_terminations = thread->pending_terminations;
  thread->pending_terminations = 0;
  stop_requested = thread->stop_requested;
  pthread_mutex_unlock (&thread->mutex);
  apply_faults (thread);
  while (pending_terminations-- > 0)
    wc_control_terminate (thread->control, wc_clock_monotonic_us ());
  update_published_state (thread, true);
  if (stop_requested)
    ev_break (loop, EVBREAK_ALL);
}

/* Updates readiness and status as seen by other threads. The status is built without the mutex held, so that readers
 * wait at most for a copy of the text. */
static void
update_published_state (WcControlThread *thread, bool force)
{
  uint64_t    now_us = wc_clock_monotonic_us ();
  const char *reason = NULL;
  bool        ready = wc_control_is_ready (thread->control, now_us, &reason);
  char       *status = NULL;
  char       *old_status = NULL;

  if (force || ready != thread->ready || now_us >= thread->status_built_us + STATUS_INTERVAL_US)
    {
      status = wc_status_json (thread->settings, thread->control, thread->names, now_us, thread->workers,
                               thread->worker_count);
      thread->status_built_us = now_us;
    }
  pthread_mutex_lock (&thread->mutex);
  thread->ready = ready;
  g_strlcpy (thread->reason, reason ? reason : "", sizeof thread->reason);
  thread->last_update_us = now_us;
  if (status)
    {
      old_status = thread->status;
      thread->status = status;
    }
  pthread_mutex_unlock (&thread->mutex);
  g_free (old_status);
}

static void
apply_faults (WcControlThread *thread)
{
  bool changed;
  bool block_platform;

  pthread_mutex_lock (&thread->mutex);
  changed = thread->faults_changed;
  thread->faults_changed = false;
  block_platform = thread->pending_block_platform;
  if (changed)
    {
      g_array_set_size (thread->blocked_domains, 0);
      if (thread->pending_blocked_domains->len > 0)
        g_array_append_vals (thread->blocked_domains, thread->pending_blocked_domains->data,
                             thread->pending_blocked_domains->len);
    }
  pthread_mutex_unlock (&thread->mutex);
  if (!changed)
    return;
  wc_log (WC_LOG_WARNING, "control", "Fault injection: %u domains blocked, platform %s.", thread->blocked_domains->len,
          block_platform ? "blocked" : "reachable");
  wc_platform_client_set_blocked (thread->platform, block_platform);
  wc_peer_links_close_blocked (thread->links);
  if (thread->current_view)
    distribute_view (thread, thread->current_view);
}

/* Sends the view to all workers. Members of blocked domains are removed, so that the workers relay nothing to them and
 * drop packets that they relay. */
static void
distribute_view (WcControlThread *thread, WcView *view)
{
  WcView *filtered = wc_view_ref (view);

  if (thread->blocked_domains->len > 0)
    {
      GArray         *remaining = g_array_new (FALSE, FALSE, sizeof (WcMember));
      size_t          count;
      const WcMember *members = wc_member_table_get (view->members, &count);
      WcMemberTable  *table;

      for (size_t i = 0; i < count; i++)
        if (!domain_is_blocked (thread, members[i].domain))
          g_array_append_val (remaining, members[i]);
      table = wc_member_table_new ((const WcMember *)(const void *)remaining->data, remaining->len);
      wc_view_unref (filtered);
      filtered = wc_view_new (view->reg, view->keyring, table, view->lifecycle, view->confirmed_us);
      wc_member_table_unref (table);
      g_array_free (remaining, TRUE);
    }
  for (size_t i = 0; i < thread->worker_count; i++)
    {
      /* Advances the worker's logical clock, so that events recorded under this view sort after the events that caused
       * it. Any thread may advance the clock. */
      wc_event_ring_observe ((WcEventRing *)wc_worker_get_events (thread->workers[i]),
                             wc_event_ring_get_logical (thread->events));
      wc_worker_set_view (thread->workers[i], filtered);
    }
  wc_view_unref (filtered);
}

static bool
domain_is_blocked (const WcControlThread *thread, uint32_t domain)
{
  for (guint i = 0; i < thread->blocked_domains->len; i++)
    if (g_array_index (thread->blocked_domains, uint32_t, i) == domain)
      return true;
  return false;
}

static void
update_keys (WcControlThread *thread, WcView *view)
{
  uint32_t    *epochs;
  size_t       count = 0;
  const WcKey *keys;

  if (view->keyring == thread->keyring)
    return;
  if (thread->keyring)
    wc_keyring_unref (thread->keyring);
  thread->keyring = wc_keyring_ref (view->keyring);
  keys = wc_register_get_keys (view->reg, &count);
  epochs = g_new (uint32_t, count + 1);
  for (size_t i = 0; i < count; i++)
    epochs[i] = keys[i].epoch;
  wc_peer_links_set_keys (thread->links, thread->keyring, epochs, count);
  g_free (epochs);
}

static void
op_connect (void *user_data, const WcMember *member)
{
  WcControlThread *thread = user_data;

  wc_peer_links_connect (thread->links, member);
}

static void
op_disconnect (void *user_data, uint64_t peer)
{
  WcControlThread *thread = user_data;

  wc_peer_links_disconnect (thread->links, peer);
}

static bool
op_send (void *user_data, uint64_t peer, Wc__PeerFrame *frame)
{
  WcControlThread *thread = user_data;

  frame->logical = wc_event_ring_get_logical (thread->events);
  return wc_peer_links_send (thread->links, peer, frame);
}

static void
op_read_head (void *user_data, uint64_t after, uint32_t wait_ms)
{
  WcControlThread *thread = user_data;
  char             path[128];

  if (after > 0)
    g_snprintf (path, sizeof path, "/v1/config/head?after=%" G_GUINT64_FORMAT "&wait_ms=%u", after, wait_ms);
  else
    g_strlcpy (path, "/v1/config/head", sizeof path);
  wc_platform_client_get (thread->platform, WC_PLATFORM_READ_CONFIG_HEAD, path, wait_ms);
}

static void
op_cancel_head (void *user_data)
{
  WcControlThread *thread = user_data;

  wc_platform_client_cancel (thread->platform, WC_PLATFORM_READ_CONFIG_HEAD);
}

static void
op_read_part (void *user_data, const char *key)
{
  WcControlThread *thread = user_data;
  char            *escaped = g_uri_escape_string (key, NULL, FALSE);
  char            *path = g_strconcat ("/v1/config/", escaped, NULL);

  wc_platform_client_get (thread->platform, WC_PLATFORM_READ_CONFIG_PART, path, 0);
  g_free (path);
  g_free (escaped);
}

static void
op_read_list (void *user_data)
{
  WcControlThread *thread = user_data;

  wc_platform_client_get (thread->platform, WC_PLATFORM_READ_INSTANCES, "/v1/instances", 0);
}

static void
op_publish (void *user_data, WcView *view)
{
  WcControlThread *thread = user_data;

  pthread_mutex_lock (&thread->mutex);
  wc_view_unref (thread->current_view);
  thread->current_view = wc_view_ref (view);
  pthread_mutex_unlock (&thread->mutex);
  update_keys (thread, view);
  distribute_view (thread, view);
}

static void
op_record (void *user_data, const WcEvent *event)
{
  WcControlThread *thread = user_data;
  WcEvent          timestamped = *event;

  timestamped.wall_us = wc_clock_wall_us ();
  for (size_t i = 0; i < thread->worker_count; i++)
    wc_event_ring_observe (thread->events, wc_event_ring_get_logical (wc_worker_get_events (thread->workers[i])));
  wc_event_ring_add (thread->events, &timestamped);
  switch (event->kind)
    {
    case WC_EVENT_CONFIG_ACCEPTED:
      wc_log (WC_LOG_NOTICE, "config", "Configuration revision %" G_GUINT64_FORMAT " is in force.", event->value);
      break;
    case WC_EVENT_CONFIG_REJECTED:
      {
        WcConfigId  id;
        const char *reason = wc_config_store_get_rejection (wc_control_get_store (thread->control), &id);

        wc_log (WC_LOG_ERROR, "config", "Configuration revision %" G_GUINT64_FORMAT " was rejected: %s.", event->value,
                reason && id.revision == event->value ? reason : event->reason);
        break;
      }
    case WC_EVENT_PAUSE_DETECTED:
      wc_log (WC_LOG_WARNING, "control", "The process was paused for %" G_GUINT64_FORMAT " ms.", event->value / 1000);
      break;
    case WC_EVENT_LIFECYCLE:
      wc_log (WC_LOG_NOTICE, "control", "Lifecycle state is %s: %s.", WC_LIFECYCLE_STRINGS[event->value],
              event->reason);
      break;
    case WC_EVENT_MEMBER_CHANGED:
      wc_log_ratelimited (WC_LOG_INFO, "member", "Membership changed to generation %" G_GUINT64_FORMAT ".",
                          event->value);
      break;
    default:
      break;
    }
}

static bool
op_workers_idle (void *user_data)
{
  WcControlThread *thread = user_data;

  for (size_t i = 0; i < thread->worker_count; i++)
    if (!wc_worker_is_idle (thread->workers[i]))
      return false;
  return true;
}

static void
op_stop (void *user_data)
{
  WcControlThread *thread = user_data;

  pthread_mutex_lock (&thread->mutex);
  thread->stopped = true;
  pthread_mutex_unlock (&thread->mutex);
}

static void
link_up (void *user_data, uint64_t peer, uint64_t incarnation, uint32_t domain, const char *name)
{
  WcControlThread *thread = user_data;

  g_hash_table_replace (thread->names, g_memdup2 (&peer, sizeof peer), g_strdup (name));
  wc_control_link_up (thread->control, wc_clock_monotonic_us (), peer, incarnation, domain);
}

static void
link_down (void *user_data, uint64_t peer)
{
  WcControlThread *thread = user_data;

  wc_control_link_down (thread->control, wc_clock_monotonic_us (), peer);
}

static void
link_receive (void *user_data, uint64_t peer, const Wc__PeerFrame *frame)
{
  WcControlThread *thread = user_data;

  wc_event_ring_observe (thread->events, frame->logical);
  wc_control_receive (thread->control, wc_clock_monotonic_us (), peer, frame);
}

static bool
link_is_blocked (void *user_data, uint32_t domain)
{
  return domain_is_blocked (user_data, domain);
}

static void
platform_read_finished (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version,
                        const char *body, size_t size_bytes)
{
  WcControlThread *thread = user_data;
  uint64_t         now_us = wc_clock_monotonic_us ();

  switch (read)
    {
    case WC_PLATFORM_READ_CONFIG_HEAD:
      if (result == WC_PLATFORM_RESULT_OK)
        wc_control_head_received (thread->control, now_us, version, body, size_bytes);
      else if (result == WC_PLATFORM_RESULT_UNCHANGED)
        wc_control_head_unchanged (thread->control, now_us);
      else
        wc_control_head_failed (thread->control, now_us);
      break;
    case WC_PLATFORM_READ_CONFIG_PART:
      if (result == WC_PLATFORM_RESULT_OK)
        wc_control_part_received (thread->control, now_us, body, size_bytes);
      else
        wc_control_part_failed (thread->control, now_us);
      break;
    case WC_PLATFORM_READ_INSTANCES:
      if (result == WC_PLATFORM_RESULT_OK)
        read_list (thread, body, size_bytes);
      else
        wc_control_list_failed (thread->control, now_us);
      break;
    case WC_PLATFORM_READ_STORE_ITEMS:
    case WC_PLATFORM_READ_STORE_CHANGES:
    case WC_PLATFORM_READ_COUNT:
      break;
    }
}

static void
read_list (WcControlThread *thread, const char *body, size_t size_bytes)
{
  WcError   error;
  size_t    count;
  size_t    rejected;
  WcMember *members;

  /* Names of removed instances stay in the table, so it is cleared when it has grown too large. */
  if (g_hash_table_size (thread->names) > NAMES_MAX)
    g_hash_table_remove_all (thread->names);
  members = wc_instance_list_parse (body, size_bytes, thread->names, &count, &rejected, &error);

  if (!members)
    {
      wc_log_ratelimited (WC_LOG_WARNING, "platform", "The platform's list of instances is malformed: %s.",
                          error.message);
      wc_control_list_failed (thread->control, wc_clock_monotonic_us ());
      return;
    }
  if (rejected > 0)
    {
      wc_counters_add (&thread->counters, WC_COUNTER_INSTANCES_REJECTED, rejected);
      wc_log_ratelimited (WC_LOG_WARNING, "platform",
                          "The platform's list of instances has %zu malformed entries, which are left out: %s.",
                          rejected, error.message);
    }
  wc_control_list_received (thread->control, wc_clock_monotonic_us (), members, count, size_bytes);
  g_free (members);
}
