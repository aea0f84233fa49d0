#include "edge/target_pool.h"

#include <assert.h>
#include <glib.h>

enum
{
  IDLE_TIMEOUT_US = 30 * 1000 * 1000
};

/* The connections to one target. */
typedef struct
{
  uint32_t   target;
  GPtrArray *connections;
} TargetConnections;

struct WcTargetPool
{
  struct ev_loop        *loop;
  const WcConnectionOps *node_ops;
  void                  *node_data;
  WcCounters            *counters;
  WcConnectionOps        ops;
  GHashTable            *by_target;
  GHashTable            *by_attempt;
  GArray                *failed_attempts;
  ev_timer               failed_timer;
  uint32_t               count;
};

static bool on_sending (void *user_data, uint64_t attempt);
static bool on_data (void *user_data, uint64_t attempt, const uint8_t *data, size_t size_bytes);
static void on_done (void *user_data, uint64_t attempt, uint32_t http_status, uint32_t load_running, uint64_t cursor);
static void on_ended (void *user_data, uint64_t attempt, WcAttemptEnd end);
static void on_misdirected (void *user_data, const WcTargetConnection *connection);
static void on_closed (void *user_data, WcTargetConnection *connection);
static void on_failed_timer (struct ev_loop *loop, ev_timer *timer, int events);
static TargetConnections  *get_target_connections (WcTargetPool *pool, uint32_t target);
static void                delete_target_connections (gpointer data);
static WcTargetConnection *find_idle_connection (const TargetConnections *group);
static void                defer_failure (WcTargetPool *pool, uint64_t attempt);
static void                remove_attempt (WcTargetPool *pool, uint64_t attempt);
static gpointer            attempt_key (uint64_t attempt);

WcTargetPool *
wc_target_pool_new (struct ev_loop *loop, const WcConnectionOps *ops, void *user_data, WcCounters *counters)
{
  WcTargetPool *pool = g_new0 (WcTargetPool, 1);

  assert (loop != NULL);
  assert (ops != NULL);

  pool->loop = loop;
  pool->node_ops = ops;
  pool->node_data = user_data;
  pool->counters = counters;
  pool->ops = (WcConnectionOps){
    .sending = on_sending,
    .data = on_data,
    .done = on_done,
    .ended = on_ended,
    .misdirected = on_misdirected,
    .closed = on_closed,
  };
  pool->by_target = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, delete_target_connections);
  pool->by_attempt = g_hash_table_new (g_direct_hash, g_direct_equal);
  pool->failed_attempts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  ev_timer_init (&pool->failed_timer, on_failed_timer, 0., 0.);
  pool->failed_timer.data = pool;
  return pool;
}

void
wc_target_pool_delete (WcTargetPool *pool)
{
  if (!pool)
    return;
  ev_timer_stop (pool->loop, &pool->failed_timer);
  g_hash_table_destroy (pool->by_attempt);
  g_hash_table_destroy (pool->by_target);
  g_array_free (pool->failed_attempts, TRUE);
  g_free (pool);
}

void
wc_target_pool_dispatch (WcTargetPool *pool, const WcAttempt *attempt)
{
  TargetConnections  *group = get_target_connections (pool, attempt->target->id);
  WcTargetConnection *connection = find_idle_connection (group);

  if (!connection)
    {
      if (group->connections->len >= attempt->target->max_connections)
        {
          defer_failure (pool, attempt->id);
          return;
        }
      connection = wc_target_connection_new (pool->loop, attempt->target, attempt->service_name, &pool->ops, pool);
      g_ptr_array_add (group->connections, connection);
      pool->count++;
    }
  if (!wc_target_connection_start (connection, attempt))
    {
      defer_failure (pool, attempt->id);
      return;
    }
  g_hash_table_insert (pool->by_attempt, attempt_key (attempt->id), connection);
}

void
wc_target_pool_cancel (WcTargetPool *pool, uint64_t attempt)
{
  WcTargetConnection *connection = g_hash_table_lookup (pool->by_attempt, attempt_key (attempt));

  for (guint i = 0; i < pool->failed_attempts->len; i++)
    if (g_array_index (pool->failed_attempts, uint64_t, i) == attempt)
      {
        g_array_remove_index_fast (pool->failed_attempts, i);
        break;
      }
  if (!connection)
    return;
  remove_attempt (pool, attempt);
  on_closed (pool, connection);
}

void
wc_target_pool_tick (WcTargetPool *pool, uint64_t now_us, const WcRegister *reg)
{
  GHashTableIter iter;
  gpointer       value;

  g_hash_table_iter_init (&iter, pool->by_target);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TargetConnections *group = value;
      bool               is_known = reg && wc_register_find_target (reg, group->target) != NULL;

      for (guint i = group->connections->len; i-- > 0;)
        {
          WcTargetConnection *connection = g_ptr_array_index (group->connections, i);

          if (connection->state != WC_CONNECTION_IDLE)
            {
              connection->idle_deadline_us = now_us + IDLE_TIMEOUT_US;
              continue;
            }
          if (is_known && now_us < connection->idle_deadline_us)
            continue;
          g_ptr_array_remove_index_fast (group->connections, i);
          pool->count--;
          wc_target_connection_delete (connection);
        }
      if (group->connections->len == 0 && !is_known)
        g_hash_table_iter_remove (&iter);
    }
}

uint32_t
wc_target_pool_get_connection_count (const WcTargetPool *pool)
{
  return pool->count;
}

/* local functions */

static bool
on_sending (void *user_data, uint64_t attempt)
{
  WcTargetPool *pool = user_data;

  return pool->node_ops->sending (pool->node_data, attempt);
}

static bool
on_data (void *user_data, uint64_t attempt, const uint8_t *data, size_t size_bytes)
{
  WcTargetPool *pool = user_data;
  bool          accepted = pool->node_ops->data (pool->node_data, attempt, data, size_bytes);

  if (!accepted)
    remove_attempt (pool, attempt);
  return accepted;
}

static void
on_done (void *user_data, uint64_t attempt, uint32_t http_status, uint32_t load_running, uint64_t cursor)
{
  WcTargetPool *pool = user_data;

  remove_attempt (pool, attempt);
  pool->node_ops->done (pool->node_data, attempt, http_status, load_running, cursor);
}

static void
on_ended (void *user_data, uint64_t attempt, WcAttemptEnd end)
{
  WcTargetPool *pool = user_data;

  remove_attempt (pool, attempt);
  pool->node_ops->ended (pool->node_data, attempt, end);
}

static void
on_misdirected (void *user_data, const WcTargetConnection *connection)
{
  WcTargetPool *pool = user_data;

  (void)connection;
  wc_counters_add (pool->counters, WC_COUNTER_TARGET_MISDIRECTED, 1);
}

static void
on_closed (void *user_data, WcTargetConnection *connection)
{
  WcTargetPool      *pool = user_data;
  TargetConnections *group = get_target_connections (pool, connection->target);

  if (g_ptr_array_remove_fast (group->connections, connection))
    pool->count--;
  wc_target_connection_delete (connection);
}

static void
on_failed_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  WcTargetPool *pool = timer->data;

  (void)loop;
  (void)events;
  while (pool->failed_attempts->len > 0)
    {
      uint64_t attempt = g_array_index (pool->failed_attempts, uint64_t, pool->failed_attempts->len - 1);

      g_array_set_size (pool->failed_attempts, pool->failed_attempts->len - 1);
      pool->node_ops->ended (pool->node_data, attempt, WC_ATTEMPT_NOT_SENT);
    }
}

static TargetConnections *
get_target_connections (WcTargetPool *pool, uint32_t target)
{
  TargetConnections *group = g_hash_table_lookup (pool->by_target, GUINT_TO_POINTER (target));

  if (group)
    return group;
  group = g_new0 (TargetConnections, 1);
  group->target = target;
  group->connections = g_ptr_array_new ();
  g_hash_table_insert (pool->by_target, GUINT_TO_POINTER (target), group);
  return group;
}

static void
delete_target_connections (gpointer data)
{
  TargetConnections *group = data;

  for (guint i = 0; i < group->connections->len; i++)
    wc_target_connection_delete (g_ptr_array_index (group->connections, i));
  g_ptr_array_free (group->connections, TRUE);
  g_free (group);
}

static WcTargetConnection *
find_idle_connection (const TargetConnections *group)
{
  for (guint i = group->connections->len; i-- > 0;)
    {
      WcTargetConnection *connection = g_ptr_array_index (group->connections, i);

      if (connection->state == WC_CONNECTION_IDLE && connection->attempt == 0)
        return connection;
    }
  return NULL;
}

/* Reports the failure from the event loop, because an attempt must not end before wc_target_pool_dispatch() returns. */
static void
defer_failure (WcTargetPool *pool, uint64_t attempt)
{
  g_array_append_val (pool->failed_attempts, attempt);
  ev_timer_stop (pool->loop, &pool->failed_timer);
  ev_timer_set (&pool->failed_timer, 0.001, 0.);
  ev_timer_start (pool->loop, &pool->failed_timer);
}

static void
remove_attempt (WcTargetPool *pool, uint64_t attempt)
{
  g_hash_table_remove (pool->by_attempt, attempt_key (attempt));
}

static gpointer
attempt_key (uint64_t attempt)
{
  _Static_assert(sizeof (gpointer) >= sizeof attempt, "an attempt's identifier fits a pointer");

  return (gpointer)(uintptr_t)attempt;
}
