#include "edge/worker.h"

#include <assert.h>
#include <ev.h>
#include <glib.h>
#include <sodium.h>
#include <stdatomic.h>
#include <time.h>

#include <wigeoncart/name_id.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "edge/socket_address.h"
#include "edge/target_pool.h"
#include "edge/udp_batch.h"

#define TICK_INTERVAL_S 0.01

enum
{
  /* Batches read from one socket per event, so that other events of the loop are not delayed. */
  BATCHES_PER_EVENT = 4,
  /* Ticks between updates of the published statistics and checks for idle connections. */
  TICKS_PER_CHECK = 10
};

/*
 * @views_published: number of views that the control thread has passed to the worker.
 * @views_applied: value of @views_published just before the worker last took a view.
 * @idle_view_count: value of @views_applied at the last tick if the worker was idle then, else 0. The worker is
 * reported as idle only when @idle_view_count equals @views_published, that is, when it was idle with the newest view.
 */
struct WcWorker
{
  uint16_t           index;
  struct ev_loop    *loop;
  GThread           *thread;
  WcNode            *node;
  WcTargetPool      *pool;
  WcUdpBatch        *caller_batch;
  WcUdpBatch        *peer_batch;
  WcCounters         counters;
  WcEventRing       *events;
  WcRegister        *reg;
  ev_io              caller_io;
  ev_io              peer_io;
  ev_timer           tick_timer;
  ev_prepare         flush_watcher;
  ev_async           wakeup;
  unsigned           tick_count;
  _Atomic (WcView *) pending_view;
  atomic_bool        stopping;
  _Atomic uint64_t   views_published;
  uint64_t           views_applied;
  _Atomic uint64_t   idle_view_count;
  GMutex             stats_mutex;
  WcNodeStats        stats;
};

static gpointer run (gpointer data);
static void     on_caller_io (struct ev_loop *loop, ev_io *io, int events);
static void     on_peer_io (struct ev_loop *loop, ev_io *io, int events);
static void     on_tick (struct ev_loop *loop, ev_timer *timer, int events);
static void     on_flush (struct ev_loop *loop, ev_prepare *prepare, int events);
static void     on_wakeup (struct ev_loop *loop, ev_async *async, int events);
static void     receive_from_caller (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes);
static void     receive_from_peer (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes);
static void     node_send (void *user_data, const WcAddress *caller, const uint8_t *data, size_t size_bytes);
static void     node_relay (void *user_data, const WcAddress *worker_address, const uint8_t *data, size_t size_bytes);
static void     node_dispatch (void *user_data, const WcAttempt *attempt);
static void     node_cancel (void *user_data, uint64_t attempt_id);
static void     node_record (void *user_data, const WcEvent *event);
static bool     target_sending (void *user_data, uint64_t attempt);
static bool     target_data (void *user_data, uint64_t attempt, const uint8_t *data, size_t size_bytes);
static void
target_done (void *user_data, uint64_t attempt, uint32_t http_status, uint32_t load_running, uint64_t cursor);
static void target_ended (void *user_data, uint64_t attempt, WcAttemptEnd end);
static void init_node_config (const WcSettings *settings, uint64_t incarnation, uint16_t index, WcNodeConfig *config);

static const WcNodeOps NODE_OPS = {
  .send = node_send,
  .relay = node_relay,
  .dispatch = node_dispatch,
  .cancel = node_cancel,
  .record = node_record,
};

static const WcConnectionOps TARGET_OPS = {
  .sending = target_sending,
  .data = target_data,
  .done = target_done,
  .ended = target_ended,
};

WcWorker *
wc_worker_new (const WcSettings *settings, uint64_t incarnation, uint16_t index, WcError *error)
{
  WcWorker    *worker = g_new0 (WcWorker, 1);
  WcAddress    peer = settings->peer;
  WcNodeConfig config;
  char         name[16];
  int          caller_fd;
  int          peer_fd;

  assert (settings != NULL);
  assert (incarnation != 0);

  peer.port = (uint16_t)(peer.port + index);
  caller_fd = wc_socket_open_udp (&settings->listen, true, error);
  if (caller_fd < 0)
    {
      g_free (worker);
      return NULL;
    }
  worker->caller_batch = wc_udp_batch_new (caller_fd);
  peer_fd = wc_socket_open_udp (&peer, false, error);
  if (peer_fd < 0)
    {
      wc_udp_batch_delete (worker->caller_batch);
      g_free (worker);
      return NULL;
    }
  worker->peer_batch = wc_udp_batch_new (peer_fd);

  worker->index = index;
  worker->loop = ev_loop_new (EVFLAG_AUTO | EVFLAG_NOENV);
  worker->events = wc_event_ring_new (settings->event_ring_entries);
  g_mutex_init (&worker->stats_mutex);
  init_node_config (settings, incarnation, index, &config);
  worker->node = wc_node_new (&config, &NODE_OPS, worker, &worker->counters);
  worker->pool = wc_target_pool_new (worker->loop, &TARGET_OPS, worker, &worker->counters);

  ev_io_init (&worker->caller_io, on_caller_io, caller_fd, EV_READ);
  ev_io_init (&worker->peer_io, on_peer_io, peer_fd, EV_READ);
  ev_timer_init (&worker->tick_timer, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
  ev_prepare_init (&worker->flush_watcher, on_flush);
  ev_async_init (&worker->wakeup, on_wakeup);
  worker->caller_io.data = worker;
  worker->peer_io.data = worker;
  worker->tick_timer.data = worker;
  worker->flush_watcher.data = worker;
  worker->wakeup.data = worker;
  ev_io_start (worker->loop, &worker->caller_io);
  ev_io_start (worker->loop, &worker->peer_io);
  ev_timer_start (worker->loop, &worker->tick_timer);
  ev_prepare_start (worker->loop, &worker->flush_watcher);
  ev_async_start (worker->loop, &worker->wakeup);

  g_snprintf (name, sizeof name, "worker-%u", index);
  worker->thread = g_thread_new (name, run, worker);
  return worker;
}

void
wc_worker_delete (WcWorker *worker)
{
  if (!worker)
    return;
  atomic_store (&worker->stopping, true);
  ev_async_send (worker->loop, &worker->wakeup);
  g_thread_join (worker->thread);
  wc_target_pool_delete (worker->pool);
  wc_node_delete (worker->node);
  wc_view_unref (atomic_load (&worker->pending_view));
  if (worker->reg)
    wc_register_unref (worker->reg);
  wc_udp_batch_delete (worker->caller_batch);
  wc_udp_batch_delete (worker->peer_batch);
  wc_event_ring_delete (worker->events);
  ev_loop_destroy (worker->loop);
  g_mutex_clear (&worker->stats_mutex);
  g_free (worker);
}

void
wc_worker_set_view (WcWorker *worker, WcView *view)
{
  assert (worker != NULL);
  assert (view != NULL);

  wc_view_unref (atomic_exchange (&worker->pending_view, wc_view_ref (view)));
  atomic_fetch_add (&worker->views_published, 1);
  ev_async_send (worker->loop, &worker->wakeup);
}

bool
wc_worker_is_idle (const WcWorker *worker)
{
  uint64_t published = atomic_load (&worker->views_published);

  return published != 0 && atomic_load (&worker->idle_view_count) == published;
}

const WcCounters *
wc_worker_get_counters (const WcWorker *worker)
{
  return &worker->counters;
}

const WcEventRing *
wc_worker_get_events (const WcWorker *worker)
{
  return worker->events;
}

void
wc_worker_get_stats (const WcWorker *worker, WcNodeStats *stats)
{
  GMutex *mutex = (GMutex *)&worker->stats_mutex;

  g_mutex_lock (mutex);
  *stats = worker->stats;
  g_mutex_unlock (mutex);
}

/* local functions */

static gpointer
run (gpointer data)
{
  WcWorker *worker = data;

  ev_run (worker->loop, 0);
  return NULL;
}

static void
on_caller_io (struct ev_loop *loop, ev_io *io, int events)
{
  WcWorker *worker = io->data;

  (void)loop;
  (void)events;
  for (unsigned i = 0; i < BATCHES_PER_EVENT; i++)
    if (wc_udp_batch_receive (worker->caller_batch, receive_from_caller, worker) == 0)
      break;
}

static void
on_peer_io (struct ev_loop *loop, ev_io *io, int events)
{
  WcWorker *worker = io->data;

  (void)loop;
  (void)events;
  for (unsigned i = 0; i < BATCHES_PER_EVENT; i++)
    if (wc_udp_batch_receive (worker->peer_batch, receive_from_peer, worker) == 0)
      break;
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  WcWorker   *worker = timer->data;
  uint64_t    now_us = wc_clock_monotonic_us ();
  WcNodeStats stats;

  (void)loop;
  (void)events;
  wc_node_set_wall_clock (worker->node, (uint64_t)time (NULL));
  wc_node_tick (worker->node, now_us);
  atomic_store (&worker->idle_view_count, wc_node_is_idle (worker->node, now_us) ? worker->views_applied : 0);
  if (++worker->tick_count % TICKS_PER_CHECK != 0)
    return;
  wc_target_pool_tick (worker->pool, now_us, worker->reg);
  wc_node_get_stats (worker->node, &stats);
  g_mutex_lock (&worker->stats_mutex);
  worker->stats = stats;
  g_mutex_unlock (&worker->stats_mutex);
}

/* Runs before the loop blocks, so that the datagrams queued by one iteration are sent in one batch. */
static void
on_flush (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  WcWorker *worker = prepare->data;

  (void)loop;
  (void)events;
  wc_udp_batch_flush (worker->caller_batch);
  wc_udp_batch_flush (worker->peer_batch);
}

static void
on_wakeup (struct ev_loop *loop, ev_async *async, int events)
{
  WcWorker *worker = async->data;
  /* The count is read before the view is taken, so that @views_applied never counts a view that was not taken. */
  uint64_t published = atomic_load (&worker->views_published);
  WcView  *view = atomic_exchange (&worker->pending_view, NULL);

  worker->views_applied = published;

  (void)events;
  if (view)
    {
      if (worker->reg)
        wc_register_unref (worker->reg);
      worker->reg = view->reg ? wc_register_ref (view->reg) : NULL;
      wc_node_set_view (worker->node, wc_clock_monotonic_us (), view);
      wc_view_unref (view);
    }
  if (atomic_load (&worker->stopping))
    {
      on_flush (loop, &worker->flush_watcher, 0);
      ev_break (loop, EVBREAK_ALL);
    }
}

static void
receive_from_caller (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes)
{
  WcWorker *worker = user_data;

  wc_node_receive (worker->node, wc_clock_monotonic_us (), source, data, size_bytes);
}

static void
receive_from_peer (void *user_data, const WcAddress *source, const uint8_t *data, size_t size_bytes)
{
  WcWorker *worker = user_data;

  (void)source;
  wc_node_receive_relay (worker->node, wc_clock_monotonic_us (), data, size_bytes);
}

static void
node_send (void *user_data, const WcAddress *caller, const uint8_t *data, size_t size_bytes)
{
  WcWorker *worker = user_data;

  wc_udp_batch_send (worker->caller_batch, caller, data, size_bytes);
}

static void
node_relay (void *user_data, const WcAddress *worker_address, const uint8_t *data, size_t size_bytes)
{
  WcWorker *worker = user_data;

  wc_udp_batch_send (worker->peer_batch, worker_address, data, size_bytes);
}

static void
node_dispatch (void *user_data, const WcAttempt *attempt)
{
  WcWorker *worker = user_data;

  wc_target_pool_dispatch (worker->pool, attempt);
}

static void
node_cancel (void *user_data, uint64_t attempt_id)
{
  WcWorker *worker = user_data;

  wc_target_pool_cancel (worker->pool, attempt_id);
}

static void
node_record (void *user_data, const WcEvent *event)
{
  WcWorker *worker = user_data;
  WcEvent   timestamped = *event;

  timestamped.wall_us = (uint64_t)g_get_real_time ();
  wc_event_ring_add (worker->events, &timestamped);
  wc_counters_add (&worker->counters, WC_COUNTER_EVENTS_RECORDED, 1);
}

static bool
target_sending (void *user_data, uint64_t attempt)
{
  WcWorker *worker = user_data;

  return wc_node_attempt_sending (worker->node, wc_clock_monotonic_us (), attempt);
}

static bool
target_data (void *user_data, uint64_t attempt, const uint8_t *data, size_t size_bytes)
{
  WcWorker *worker = user_data;

  return wc_node_attempt_data (worker->node, wc_clock_monotonic_us (), attempt, data, size_bytes);
}

static void
target_done (void *user_data, uint64_t attempt, uint32_t http_status, uint32_t load_running, uint64_t cursor)
{
  WcWorker *worker = user_data;

  wc_node_attempt_done (worker->node, wc_clock_monotonic_us (), attempt, http_status, load_running, cursor);
}

static void
target_ended (void *user_data, uint64_t attempt, WcAttemptEnd end)
{
  WcWorker *worker = user_data;

  wc_node_attempt_ended (worker->node, wc_clock_monotonic_us (), attempt, end);
}

static void
init_node_config (const WcSettings *settings, uint64_t incarnation, uint16_t index, WcNodeConfig *config)
{
  wc_node_config_init (config);
  config->instance = wc_name_id64 (settings->instance);
  config->incarnation = incarnation;
  config->domain = wc_name_id32 (settings->domain);
  config->worker = index;
  config->worker_count = settings->workers;
  config->ticket_lifetime_us = (uint64_t)settings->ticket_life_ms * 1000;
  config->answer_lifetime_us = (uint64_t)settings->answer_life_ms * 1000;
  config->token_life_s = settings->token_life_s;
  config->ledger_max_entries = settings->ledger_max_entries;
  config->requests_max = settings->requests_max;
  config->queue_max_requests = settings->queue_max_requests;
  config->answers_max = settings->answers_max;
  config->answers_max_bytes = settings->answers_max_bytes;
  config->stream_max_waiters = settings->stream_max_waiters;
  config->retry_budget_percent = settings->retry_budget_percent;
  config->seed = randombytes_random ();
  randombytes_buf (&config->nonce_prefix, sizeof config->nonce_prefix);
}
