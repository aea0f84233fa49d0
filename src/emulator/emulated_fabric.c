#include "emulator/emulated_fabric.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "edge/socket_address.h"
#include "emulator/emulator_json.h"
#include "emulator/emulator_net.h"
#include "edge/http_server.h"

enum
{
  DATAGRAM_MAX_BYTES = 2048,
  RECEIVE_BATCH = 64,
  SOCKET_BUFFER_BYTES = 4 << 20,
  /* Maximum number of datagrams in the delay queue; further ones are dropped, as by a switch with full buffers. */
  DELAYED_MAX = 200000
};

/* counters and their names in the statistics */
#define COUNTER_LIST(X)                                                                                                \
  X (FROM_CALLERS, "from_callers")                                                                                     \
  X (FROM_INSTANCES, "from_instances")                                                                                 \
  X (SENT, "sent")                                                                                                     \
  X (LOST, "lost")                                                                                                     \
  X (DUPLICATED, "duplicated")                                                                                         \
  X (REORDERED, "reordered")                                                                                           \
  X (NO_INSTANCE, "no_instance")                                                                                       \
  X (SEND_ERRORS, "send_errors")                                                                                       \
  X (OVERSIZED, "oversized")                                                                                           \
  X (OVERFLOWED, "overflowed")                                                                                         \
  X (CALLERS_REFUSED, "callers_refused")

typedef enum
{
#define COUNTER_ENUM(name, text) COUNTER_##name,
  COUNTER_LIST (COUNTER_ENUM)
#undef COUNTER_ENUM
      COUNTER_COUNT
} Counter;

static const char *const COUNTER_STRINGS[COUNTER_COUNT] = {
#define COUNTER_STRING(name, text) [COUNTER_##name] = (text),
  COUNTER_LIST (COUNTER_STRING)
#undef COUNTER_STRING
};

/* A caller, and the socket whose address instances see as the caller's. */
typedef struct
{
  WcEmulatedFabric *fabric;
  WcAddress         address;
  int               fd;
  ev_io             read_watcher;
  ev_tstamp         last_used;
} Caller;

/* A delayed datagram. It refers to the caller by address, since the caller's socket may be closed before @due. */
typedef struct
{
  ev_tstamp due;
  uint64_t  serial;
  WcAddress caller;
  bool      to_caller;
  WcAddress instance;
  size_t    size_bytes;
  uint8_t   data[];
} DelayedDatagram;

/* A list of instances that takes effect when @timer expires. */
typedef struct
{
  WcEmulatedFabric *fabric;
  GArray           *instances;
  ev_timer          timer;
} DelayedList;

struct WcEmulatedFabric
{
  struct ev_loop *loop;
  int             fd;
  ev_io           read_watcher;
  WcHttpServer   *control;
  GArray         *instances;
  GPtrArray      *delayed_lists;
  GHashTable     *callers;
  GTree          *delayed_datagrams;
  uint64_t        last_serial;
  ev_timer        delay_timer;
  ev_timer        idle_timer;
  WcFabricFaults  faults;
  GRand          *random;
  double          idle_timeout_s;
  uint64_t        counters[COUNTER_COUNT];
};

static void    read_callers (struct ev_loop *loop, ev_io *watcher, int events);
static void    read_instances (struct ev_loop *loop, ev_io *watcher, int events);
static Caller *ensure_caller (WcEmulatedFabric *fabric, const WcAddress *address);
static void    forward_datagram (WcEmulatedFabric *fabric, const WcAddress *caller, bool to_caller, const uint8_t *data,
                                 size_t size_bytes);
static void    deliver (WcEmulatedFabric *fabric, const WcAddress *caller, bool to_caller, const WcAddress *instance,
                        const uint8_t *data, size_t size_bytes);
static double  generate_delay_s (WcEmulatedFabric *fabric);
static void    send_delayed (struct ev_loop *loop, ev_timer *timer, int events);
static void    arm_delay_timer (WcEmulatedFabric *fabric);
static void    close_idle_callers (struct ev_loop *loop, ev_timer *timer, int events);
static void    handle_control (void *user_data, WcHttpExchange *exchange);
static void    handle_instances (WcEmulatedFabric *fabric, WcHttpExchange *exchange);
static void    handle_faults (WcEmulatedFabric *fabric, WcHttpExchange *exchange);
static void    respond_stats (WcEmulatedFabric *fabric, WcHttpExchange *exchange);
static void    apply_list (struct ev_loop *loop, ev_timer *timer, int events);
static guint   hash_address (const void *address);
static int     equal_addresses (const void *a, const void *b);
static int     compare_delayed (const void *a, const void *b, void *unused);
static void    free_caller (void *data);
static void    free_list (void *data);

WcEmulatedFabric *
wc_emulated_fabric_new (struct ev_loop *loop, const WcEmulatedFabricConfig *config, WcError *error)
{
  static const WcHttpServerOps ops = { .request = handle_control };
  WcEmulatedFabric            *fabric;
  int                          size = SOCKET_BUFFER_BYTES;
  int                          fd;

  assert (config != NULL);

  fd = wc_net_bind (SOCK_DGRAM, &config->listen, error);
  if (fd < 0)
    return NULL;
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  fabric = g_new0 (WcEmulatedFabric, 1);
  fabric->loop = loop;
  fabric->fd = fd;
  fabric->faults = config->faults;
  fabric->idle_timeout_s = config->idle_timeout_s;
  fabric->random = g_rand_new_with_seed (config->seed);
  fabric->instances = g_array_new (FALSE, FALSE, sizeof (WcAddress));
  if (config->instance_count > 0)
    g_array_append_vals (fabric->instances, config->instances, (guint)config->instance_count);
  fabric->delayed_lists = g_ptr_array_new_with_free_func (free_list);
  fabric->callers = g_hash_table_new_full (hash_address, equal_addresses, NULL, free_caller);
  fabric->delayed_datagrams = g_tree_new_full (compare_delayed, NULL, g_free, NULL);
  ev_io_init (&fabric->read_watcher, read_callers, fd, EV_READ);
  fabric->read_watcher.data = fabric;
  ev_io_start (loop, &fabric->read_watcher);
  ev_timer_init (&fabric->delay_timer, send_delayed, 0, 0);
  fabric->delay_timer.data = fabric;
  ev_timer_init (&fabric->idle_timer, close_idle_callers, config->idle_timeout_s, config->idle_timeout_s / 4);
  fabric->idle_timer.data = fabric;
  ev_timer_start (loop, &fabric->idle_timer);
  if (config->control.family != 0)
    {
      fabric->control = wc_http_server_new (loop, &config->control, &ops, fabric, error);
      if (!fabric->control)
        {
          wc_emulated_fabric_delete (fabric);
          return NULL;
        }
    }
  return fabric;
}

void
wc_emulated_fabric_delete (WcEmulatedFabric *fabric)
{
  if (!fabric)
    return;
  wc_http_server_delete (fabric->control);
  ev_io_stop (fabric->loop, &fabric->read_watcher);
  ev_timer_stop (fabric->loop, &fabric->delay_timer);
  ev_timer_stop (fabric->loop, &fabric->idle_timer);
  g_ptr_array_free (fabric->delayed_lists, TRUE);
  g_hash_table_destroy (fabric->callers);
  g_tree_destroy (fabric->delayed_datagrams);
  g_array_free (fabric->instances, TRUE);
  g_rand_free (fabric->random);
  close (fabric->fd);
  g_free (fabric);
}

void
wc_emulated_fabric_get_address (const WcEmulatedFabric *fabric, WcAddress *address)
{
  assert (fabric != NULL);

  wc_net_get_local_address (fabric->fd, address);
}

void
wc_emulated_fabric_get_control_address (const WcEmulatedFabric *fabric, WcAddress *address)
{
  assert (fabric != NULL && fabric->control != NULL);

  wc_http_server_get_address (fabric->control, address);
}

/* local functions */

static void
read_callers (struct ev_loop *loop, ev_io *watcher, int events)
{
  WcEmulatedFabric       *fabric = watcher->data;
  struct sockaddr_storage source;
  uint8_t                 data[DATAGRAM_MAX_BYTES];
  WcAddress               address;

  (void)loop;
  (void)events;
  for (int i = 0; i < RECEIVE_BATCH; i++)
    {
      socklen_t length = sizeof source;
      ssize_t   size = recvfrom (fabric->fd, data, sizeof data, MSG_TRUNC, (struct sockaddr *)&source, &length);

      if (size < 0 && errno != ECONNREFUSED)
        return;
      if (size < 0)
        continue;
      fabric->counters[COUNTER_FROM_CALLERS]++;
      (void)wc_socket_address_from_sockaddr (&source, &address);
      if ((size_t)size > sizeof data)
        fabric->counters[COUNTER_OVERSIZED]++;
      else if (!ensure_caller (fabric, &address))
        fabric->counters[COUNTER_CALLERS_REFUSED]++;
      else
        forward_datagram (fabric, &address, false, data, (size_t)size);
    }
}

static void
read_instances (struct ev_loop *loop, ev_io *watcher, int events)
{
  Caller           *caller = watcher->data;
  WcEmulatedFabric *fabric = caller->fabric;
  uint8_t           data[DATAGRAM_MAX_BYTES];

  (void)loop;
  (void)events;
  for (int i = 0; i < RECEIVE_BATCH; i++)
    {
      ssize_t size = recv (caller->fd, data, sizeof data, MSG_TRUNC);

      /* ECONNREFUSED reports an ICMP error of an instance that is down; datagrams queued behind it can be read. */
      if (size < 0 && errno != ECONNREFUSED)
        return;
      if (size < 0)
        continue;
      fabric->counters[COUNTER_FROM_INSTANCES]++;
      caller->last_used = ev_now (fabric->loop);
      if ((size_t)size > sizeof data)
        fabric->counters[COUNTER_OVERSIZED]++;
      else
        forward_datagram (fabric, &caller->address, true, data, (size_t)size);
    }
}

static Caller *
ensure_caller (WcEmulatedFabric *fabric, const WcAddress *address)
{
  Caller   *caller = g_hash_table_lookup (fabric->callers, address);
  WcAddress local = { .family = address->family };
  int       size = SOCKET_BUFFER_BYTES;
  int       fd;

  if (!caller)
    {
      /* Instances use loopback addresses and send responses to the source address of a datagram. */
      if (local.family == 6)
        local.ip[15] = 1;
      else
        memcpy (local.ip, "\x7f\0\0\1", 4);
      fd = wc_net_bind (SOCK_DGRAM, &local, NULL);
      if (fd < 0)
        return NULL;
      (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
      caller = g_new0 (Caller, 1);
      caller->fabric = fabric;
      caller->address = *address;
      caller->fd = fd;
      ev_io_init (&caller->read_watcher, read_instances, fd, EV_READ);
      caller->read_watcher.data = caller;
      ev_io_start (fabric->loop, &caller->read_watcher);
      g_hash_table_insert (fabric->callers, &caller->address, caller);
    }
  caller->last_used = ev_now (fabric->loop);
  return caller;
}

/* Forwards a datagram, subject to the configured loss, duplication and delay. */
static void
forward_datagram (WcEmulatedFabric *fabric, const WcAddress *caller, bool to_caller, const uint8_t *data,
                  size_t size_bytes)
{
  WcAddress instance = { 0 };
  int       copies = 1;

  if (fabric->faults.loss > 0 && g_rand_double (fabric->random) < fabric->faults.loss)
    {
      fabric->counters[COUNTER_LOST]++;
      return;
    }
  if (fabric->faults.duplicate > 0 && g_rand_double (fabric->random) < fabric->faults.duplicate)
    {
      fabric->counters[COUNTER_DUPLICATED]++;
      copies = 2;
    }
  for (int i = 0; i < copies; i++)
    {
      double           delay_s = generate_delay_s (fabric);
      DelayedDatagram *delayed;

      if (!to_caller)
        {
          if (fabric->instances->len == 0)
            {
              fabric->counters[COUNTER_NO_INSTANCE]++;
              return;
            }
          instance = g_array_index (fabric->instances, WcAddress,
                                    g_rand_int_range (fabric->random, 0, (gint32)fabric->instances->len));
        }
      if (delay_s <= 0)
        {
          deliver (fabric, caller, to_caller, &instance, data, size_bytes);
          continue;
        }
      if (g_tree_nnodes (fabric->delayed_datagrams) >= DELAYED_MAX)
        {
          fabric->counters[COUNTER_OVERFLOWED]++;
          continue;
        }
      delayed = g_malloc (sizeof *delayed + size_bytes);
      delayed->due = ev_now (fabric->loop) + delay_s;
      delayed->serial = ++fabric->last_serial;
      delayed->caller = *caller;
      delayed->to_caller = to_caller;
      delayed->instance = instance;
      delayed->size_bytes = size_bytes;
      memcpy (delayed->data, data, size_bytes);
      g_tree_insert (fabric->delayed_datagrams, delayed, delayed);
      arm_delay_timer (fabric);
    }
}

static void
deliver (WcEmulatedFabric *fabric, const WcAddress *caller, bool to_caller, const WcAddress *instance,
         const uint8_t *data, size_t size_bytes)
{
  struct sockaddr_storage destination;
  socklen_t               length = wc_socket_address_to_sockaddr (to_caller ? caller : instance, &destination);
  const Caller           *entry;
  int                     fd = fabric->fd;

  if (!to_caller)
    {
      entry = g_hash_table_lookup (fabric->callers, caller);
      if (!entry)
        return;
      fd = entry->fd;
    }
  if (sendto (fd, data, size_bytes, 0, (const struct sockaddr *)&destination, length) < 0)
    fabric->counters[COUNTER_SEND_ERRORS]++;
  else
    fabric->counters[COUNTER_SENT]++;
}

static double
generate_delay_s (WcEmulatedFabric *fabric)
{
  double delay_ms = fabric->faults.delay_ms;

  if (fabric->faults.jitter_ms > 0)
    delay_ms += g_rand_double (fabric->random) * fabric->faults.jitter_ms;
  if (fabric->faults.reorder > 0 && g_rand_double (fabric->random) < fabric->faults.reorder)
    {
      fabric->counters[COUNTER_REORDERED]++;
      delay_ms += fabric->faults.reorder_ms;
    }
  return delay_ms / 1000;
}

static void
send_delayed (struct ev_loop *loop, ev_timer *timer, int events)
{
  WcEmulatedFabric *fabric = timer->data;
  GTreeNode        *node;

  (void)loop;
  (void)events;
  while ((node = g_tree_node_first (fabric->delayed_datagrams)) != NULL)
    {
      DelayedDatagram *delayed = g_tree_node_key (node);

      if (delayed->due > ev_now (fabric->loop))
        break;
      deliver (fabric, &delayed->caller, delayed->to_caller, &delayed->instance, delayed->data, delayed->size_bytes);
      g_tree_remove (fabric->delayed_datagrams, delayed);
    }
  arm_delay_timer (fabric);
}

static void
arm_delay_timer (WcEmulatedFabric *fabric)
{
  GTreeNode             *node = g_tree_node_first (fabric->delayed_datagrams);
  const DelayedDatagram *first;

  ev_timer_stop (fabric->loop, &fabric->delay_timer);
  if (!node)
    return;
  first = g_tree_node_key (node);
  ev_timer_set (&fabric->delay_timer, MAX (0, first->due - ev_now (fabric->loop)), 0);
  ev_timer_start (fabric->loop, &fabric->delay_timer);
}

static void
close_idle_callers (struct ev_loop *loop, ev_timer *timer, int events)
{
  WcEmulatedFabric *fabric = timer->data;
  GHashTableIter    iter;
  void             *value;

  (void)loop;
  (void)events;
  g_hash_table_iter_init (&iter, fabric->callers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (ev_now (fabric->loop) - ((const Caller *)value)->last_used > fabric->idle_timeout_s)
      g_hash_table_iter_remove (&iter);
}

static void
handle_control (void *user_data, WcHttpExchange *exchange)
{
  WcEmulatedFabric *fabric = user_data;
  const char       *path = wc_http_exchange_get_path (exchange);
  bool              is_get = strcmp (wc_http_exchange_get_method (exchange), "GET") == 0;

  if (is_get && strcmp (path, "/control/stats") == 0)
    respond_stats (fabric, exchange);
  else if (!is_get && strcmp (path, "/control/instances") == 0)
    handle_instances (fabric, exchange);
  else if (!is_get && strcmp (path, "/control/faults") == 0)
    handle_faults (fabric, exchange);
  else
    wc_emulator_json_respond_error (exchange, 404, "no such control endpoint");
}

static void
handle_instances (WcEmulatedFabric *fabric, WcHttpExchange *exchange)
{
  size_t              size;
  const char         *body = wc_http_exchange_get_body (exchange, &size);
  WcError             error = { 0 };
  struct json_object *command = wc_emulator_json_parse ("instances", body, size, &error);
  struct json_object *list = NULL;
  GArray             *instances;
  DelayedList        *pending;

  if (!command || !json_object_object_get_ex (command, "instances", &list) ||
      !json_object_is_type (list, json_type_array))
    {
      wc_emulator_json_respond_error (exchange, 400, command ? "instances must be a list of addresses" : error.message);
      json_object_put (command);
      return;
    }
  instances = g_array_new (FALSE, FALSE, sizeof (WcAddress));
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      WcAddress           address;

      if (!json_object_is_type (item, json_type_string) || !wc_address_parse (json_object_get_string (item), &address))
        {
          wc_emulator_json_respond_error (exchange, 400, "malformed address");
          g_array_free (instances, TRUE);
          json_object_put (command);
          return;
        }
      g_array_append_val (instances, address);
    }
  pending = g_new0 (DelayedList, 1);
  pending->fabric = fabric;
  pending->instances = instances;
  ev_timer_init (&pending->timer, apply_list, (double)wc_emulator_json_get_int (command, "lag_ms", 0) / 1000, 0);
  pending->timer.data = pending;
  ev_timer_start (fabric->loop, &pending->timer);
  g_ptr_array_add (fabric->delayed_lists, pending);
  json_object_put (command);
  wc_emulator_json_respond (exchange, 200, json_object_new_object ());
}

static void
handle_faults (WcEmulatedFabric *fabric, WcHttpExchange *exchange)
{
  size_t              size;
  const char         *body = wc_http_exchange_get_body (exchange, &size);
  WcError             error = { 0 };
  struct json_object *command = wc_emulator_json_parse ("faults", body, size, &error);
  WcFabricFaults     *faults = &fabric->faults;

  if (!command)
    {
      wc_emulator_json_respond_error (exchange, 400, error.message);
      return;
    }
  faults->loss = wc_emulator_json_get_double (command, "loss", faults->loss);
  faults->duplicate = wc_emulator_json_get_double (command, "duplicate", faults->duplicate);
  faults->reorder = wc_emulator_json_get_double (command, "reorder", faults->reorder);
  faults->reorder_ms = wc_emulator_json_get_double (command, "reorder_ms", faults->reorder_ms);
  faults->delay_ms = wc_emulator_json_get_double (command, "delay_ms", faults->delay_ms);
  faults->jitter_ms = wc_emulator_json_get_double (command, "jitter_ms", faults->jitter_ms);
  json_object_put (command);
  wc_emulator_json_respond (exchange, 200, json_object_new_object ());
}

static void
respond_stats (WcEmulatedFabric *fabric, WcHttpExchange *exchange)
{
  struct json_object *stats = json_object_new_object ();

  wc_emulator_json_add_uint (stats, "callers", g_hash_table_size (fabric->callers));
  wc_emulator_json_add_uint (stats, "instances", fabric->instances->len);
  wc_emulator_json_add_uint (stats, "delayed", (uint64_t)g_tree_nnodes (fabric->delayed_datagrams));
  for (int i = 0; i < COUNTER_COUNT; i++)
    wc_emulator_json_add_uint (stats, COUNTER_STRINGS[i], fabric->counters[i]);
  wc_emulator_json_respond (exchange, 200, stats);
}

static void
apply_list (struct ev_loop *loop, ev_timer *timer, int events)
{
  DelayedList      *list = timer->data;
  WcEmulatedFabric *fabric = list->fabric;

  (void)loop;
  (void)events;
  g_array_free (fabric->instances, TRUE);
  fabric->instances = list->instances;
  list->instances = NULL;
  g_ptr_array_remove (fabric->delayed_lists, list);
}

static guint
hash_address (const void *address)
{
  const WcAddress *own = address;
  guint            hash = own->port;

  for (size_t i = 0; i < (own->family == 6 ? 16 : 4); i++)
    hash = hash * 31 + own->ip[i];
  return hash;
}

static int
equal_addresses (const void *a, const void *b)
{
  return wc_address_equal (a, b);
}

static int
compare_delayed (const void *a, const void *b, void *unused)
{
  const DelayedDatagram *x = a;
  const DelayedDatagram *y = b;

  (void)unused;
  if (x->due != y->due)
    return x->due < y->due ? -1 : 1;
  return x->serial < y->serial ? -1 : x->serial > y->serial;
}

static void
free_caller (void *data)
{
  Caller *caller = data;

  ev_io_stop (caller->fabric->loop, &caller->read_watcher);
  close (caller->fd);
  g_free (caller);
}

static void
free_list (void *data)
{
  DelayedList *list = data;

  ev_timer_stop (list->fabric->loop, &list->timer);
  if (list->instances)
    g_array_free (list->instances, TRUE);
  g_free (list);
}
