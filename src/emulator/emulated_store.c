#include "emulator/emulated_store.h"

#include <assert.h>
#include <string.h>

#include <json-c/json.h>

#include "edge/clock.h"
#include "edge/http_server.h"
#include "store_wire.h"

enum
{
  /* Maximum wait of a watch in the protocol. */
  WAIT_MAX_MS = 30000
};

const char *const WC_STORE_MODE_STRINGS[WC_STORE_MODE_COUNT] = { "serves", "is busy", "limits", "resets", "is silent" };

/* An item, or a change in the history; the value of a deletion is NULL. */
typedef struct
{
  char    *key;
  GBytes  *value;
  uint64_t revision;
} Item;

/* A long poll that waits for a change to a key with @prefix at a revision above @after. */
typedef struct
{
  WcHttpExchange *exchange;
  char           *prefix;
  uint64_t        after;
  uint64_t        deadline_us;
} Watch;

/*
 * @items: Item by key, sorted.
 * @history: changes as Item, oldest first.
 * @history_start: revision before the oldest change in @history; earlier changes cannot be watched.
 * @era: number of the history; sent in each response.
 * @copy, @copy_revision: items and revision of the saved copy; NULL when none was saved.
 * @unanswered: exchanges without a response, received in silent mode.
 */
struct WcEmulatedStore
{
  struct ev_loop *loop;
  WcHttpServer   *server;
  WcStoreMode     mode;
  size_t          page_items;
  uint64_t        revision;
  uint64_t        history_start;
  uint64_t        era;
  GTree          *items;
  GTree          *copy;
  uint64_t        copy_revision;
  GArray         *history;
  GArray         *watches;
  GPtrArray      *unanswered;
  uint64_t        calls;
  ev_timer        tick;
};

static const double TICK_S = 0.05;

static void                request_received (void *user_data, WcHttpExchange *exchange);
static void                request_aborted (void *user_data, WcHttpExchange *exchange);
static void                handle_range (WcEmulatedStore *store, WcHttpExchange *exchange);
static gboolean            add_to_page (gpointer key, gpointer value, gpointer data);
static void                handle_watch (WcEmulatedStore *store, WcHttpExchange *exchange);
static bool                respond_events (WcEmulatedStore *store, const Watch *watch, bool respond_if_empty);
static void                respond_watches (WcEmulatedStore *store);
static void                tick_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void                add_change (WcEmulatedStore *store, const char *key, GBytes *value);
static struct json_object *item_to_json (const Item *item);
static GTree              *copy_items (GTree *items);
static gboolean            copy_item (gpointer key, gpointer value, gpointer data);
static void     respond (const WcEmulatedStore *store, WcHttpExchange *exchange, int status, struct json_object *body);
static uint64_t get_number (const WcHttpExchange *exchange, const char *name);
static int      compare_keys (gconstpointer a, gconstpointer b, gpointer data);
static void     clear_item (gpointer data);
static void     free_item (gpointer data);
static void     clear_watch (gpointer data);

/* A page of a range read that is being filled; @left: number of items that still fit. */
typedef struct
{
  const char         *prefix;
  const char         *after;
  size_t              left;
  bool                has_more;
  struct json_object *items;
} Page;

WcEmulatedStore *
wc_emulated_store_new (struct ev_loop *loop, const WcAddress *address, size_t page_items, WcError *error)
{
  static const WcHttpServerOps ops = { .request = request_received, .aborted = request_aborted };
  WcEmulatedStore             *store = g_new0 (WcEmulatedStore, 1);

  assert (loop != NULL && address != NULL && page_items > 0);

  store->loop = loop;
  store->page_items = page_items;
  store->era = 1;
  store->items = g_tree_new_full (compare_keys, NULL, NULL, free_item);
  store->history = g_array_new (FALSE, FALSE, sizeof (Item));
  g_array_set_clear_func (store->history, clear_item);
  store->watches = g_array_new (FALSE, FALSE, sizeof (Watch));
  g_array_set_clear_func (store->watches, clear_watch);
  store->unanswered = g_ptr_array_new ();
  ev_timer_init (&store->tick, tick_expired, TICK_S, TICK_S);
  store->tick.data = store;
  ev_timer_start (loop, &store->tick);
  store->server = wc_http_server_new (loop, address, &ops, store, error);
  if (store->server)
    return store;
  wc_emulated_store_delete (store);
  return NULL;
}

void
wc_emulated_store_delete (WcEmulatedStore *store)
{
  if (!store)
    return;
  ev_timer_stop (store->loop, &store->tick);
  wc_http_server_delete (store->server);
  g_ptr_array_free (store->unanswered, TRUE);
  g_array_free (store->watches, TRUE);
  g_array_free (store->history, TRUE);
  g_tree_destroy (store->items);
  if (store->copy)
    g_tree_destroy (store->copy);
  g_free (store);
}

void
wc_emulated_store_get_address (const WcEmulatedStore *store, WcAddress *address)
{
  wc_http_server_get_address (store->server, address);
}

uint64_t
wc_emulated_store_put (WcEmulatedStore *store, const char *key, const void *value, size_t size_bytes)
{
  Item *item = g_new0 (Item, 1);

  add_change (store, key, g_bytes_new (value, size_bytes));
  item->key = g_strdup (key);
  item->value = g_bytes_new (value, size_bytes);
  item->revision = store->revision;
  g_tree_replace (store->items, item->key, item);
  respond_watches (store);
  return store->revision;
}

uint64_t
wc_emulated_store_remove (WcEmulatedStore *store, const char *key)
{
  if (!g_tree_lookup (store->items, key))
    return 0;
  add_change (store, key, NULL);
  g_tree_remove (store->items, key);
  respond_watches (store);
  return store->revision;
}

void
wc_emulated_store_set_mode (WcEmulatedStore *store, WcStoreMode mode)
{
  assert (mode < WC_STORE_MODE_COUNT);

  store->mode = mode;
  if (mode == WC_STORE_SERVES || mode == WC_STORE_IS_SILENT)
    return;
  wc_http_server_close_connections (store->server);
}

void
wc_emulated_store_drop_history (WcEmulatedStore *store)
{
  g_array_set_size (store->history, 0);
  store->history_start = store->revision;
  wc_http_server_close_connections (store->server);
}

void
wc_emulated_store_save_copy (WcEmulatedStore *store)
{
  if (store->copy)
    g_tree_destroy (store->copy);
  store->copy = copy_items (store->items);
  store->copy_revision = store->revision;
}

void
wc_emulated_store_restore_copy (WcEmulatedStore *store)
{
  assert (store->copy != NULL);

  g_tree_destroy (store->items);
  store->items = copy_items (store->copy);
  store->revision = store->copy_revision;
  store->era++;
  wc_emulated_store_drop_history (store);
}

uint64_t
wc_emulated_store_get_calls (const WcEmulatedStore *store)
{
  return store->calls;
}

/* local functions */

static void
request_received (void *user_data, WcHttpExchange *exchange)
{
  WcEmulatedStore *store = user_data;
  const char      *path = wc_http_exchange_get_path (exchange);

  store->calls++;
  switch (store->mode)
    {
    case WC_STORE_IS_BUSY:
      respond (store, exchange, 503, NULL);
      return;
    case WC_STORE_RATE_LIMITS:
      respond (store, exchange, 429, NULL);
      return;
    case WC_STORE_RESETS:
      wc_http_exchange_abort (exchange);
      return;
    case WC_STORE_IS_SILENT:
      g_ptr_array_add (store->unanswered, exchange);
      return;
    default:
      break;
    }
  if (strcmp (path, "/v1/kv-range") == 0)
    handle_range (store, exchange);
  else if (strcmp (path, "/v1/kv-watch") == 0)
    handle_watch (store, exchange);
  else
    respond (store, exchange, 404, NULL);
}

static void
request_aborted (void *user_data, WcHttpExchange *exchange)
{
  WcEmulatedStore *store = user_data;

  g_ptr_array_remove_fast (store->unanswered, exchange);
  for (guint i = 0; i < store->watches->len; i++)
    if (g_array_index (store->watches, Watch, i).exchange == exchange)
      {
        g_array_remove_index_fast (store->watches, i);
        return;
      }
}

static void
handle_range (WcEmulatedStore *store, WcHttpExchange *exchange)
{
  const char *prefix = wc_http_exchange_get_query_parameter (exchange, "prefix");
  Page page = { prefix ? prefix : "", wc_http_exchange_get_query_parameter (exchange, "after"), store->page_items,
                false, json_object_new_array () };
  struct json_object *body = json_object_new_object ();

  g_tree_foreach (store->items, add_to_page, &page);
  json_object_object_add (body, "items", page.items);
  json_object_object_add (body, "has-more", json_object_new_boolean (page.has_more));
  json_object_object_add (body, "as-of", json_object_new_uint64 (store->revision));
  respond (store, exchange, 200, body);
}

static gboolean
add_to_page (gpointer key, gpointer value, gpointer data)
{
  Page *page = data;

  if (!g_str_has_prefix (key, page->prefix) || (page->after && strcmp (key, page->after) <= 0))
    return FALSE;
  if (page->left == 0)
    {
      page->has_more = true;
      return TRUE;
    }
  page->left--;
  json_object_array_add (page->items, item_to_json (value));
  return FALSE;
}

static void
handle_watch (WcEmulatedStore *store, WcHttpExchange *exchange)
{
  const char *prefix = wc_http_exchange_get_query_parameter (exchange, "prefix");
  Watch       watch = {
          .exchange = exchange,
          .prefix = g_strdup (prefix ? prefix : ""),
          .after = get_number (exchange, "after"),
          .deadline_us = wc_clock_monotonic_us () + MIN (get_number (exchange, "wait-ms"), WAIT_MAX_MS) * 1000,
  };

  if (watch.after < store->history_start || watch.after > store->revision)
    {
      respond (store, exchange, 410, NULL);
      clear_watch (&watch);
    }
  else if (respond_events (store, &watch, false))
    clear_watch (&watch);
  else
    g_array_append_val (store->watches, watch);
}

/* Responds to a watch with its changes. Return: false when there are none and an empty response is not wanted. */
static bool
respond_events (WcEmulatedStore *store, const Watch *watch, bool respond_if_empty)
{
  struct json_object *events = json_object_new_array ();
  struct json_object *body;

  for (guint i = 0; i < store->history->len; i++)
    {
      const Item *item = &g_array_index (store->history, Item, i);

      if (item->revision > watch->after && g_str_has_prefix (item->key, watch->prefix))
        json_object_array_add (events, item_to_json (item));
    }
  if (json_object_array_length (events) == 0 && !respond_if_empty)
    {
      json_object_put (events);
      return false;
    }
  body = json_object_new_object ();
  json_object_object_add (body, "events", events);
  json_object_object_add (body, "as-of", json_object_new_uint64 (store->revision));
  respond (store, watch->exchange, 200, body);
  return true;
}

static void
respond_watches (WcEmulatedStore *store)
{
  uint64_t now_us = wc_clock_monotonic_us ();

  if (store->mode != WC_STORE_SERVES)
    return;
  for (guint i = store->watches->len; i > 0; i--)
    {
      const Watch *watch = &g_array_index (store->watches, Watch, i - 1);

      if (respond_events (store, watch, now_us >= watch->deadline_us))
        g_array_remove_index_fast (store->watches, i - 1);
    }
}

static void
tick_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  respond_watches (watcher->data);
}

static void
add_change (WcEmulatedStore *store, const char *key, GBytes *value)
{
  const Item item = { g_strdup (key), value, ++store->revision };

  g_array_append_val (store->history, item);
}

static struct json_object *
item_to_json (const Item *item)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "key", json_object_new_string (item->key));
  json_object_object_add (object, "mod-rev", json_object_new_uint64 (item->revision));
  if (item->value)
    {
      gsize         size_bytes;
      gconstpointer bytes = g_bytes_get_data (item->value, &size_bytes);
      char         *text = g_base64_encode (bytes, size_bytes);

      json_object_object_add (object, "value", json_object_new_string (text));
      g_free (text);
    }
  else
    json_object_object_add (object, "deleted", json_object_new_boolean (TRUE));
  return object;
}

static GTree *
copy_items (GTree *items)
{
  GTree *copy = g_tree_new_full (compare_keys, NULL, NULL, free_item);

  g_tree_foreach (items, copy_item, copy);
  return copy;
}

static gboolean
copy_item (gpointer key, gpointer value, gpointer data)
{
  const Item *item = value;
  Item       *copy = g_new0 (Item, 1);

  copy->key = g_strdup (key);
  copy->value = g_bytes_ref (item->value);
  copy->revision = item->revision;
  g_tree_replace (data, copy->key, copy);
  return FALSE;
}

/* Takes ownership of @body; NULL for none. */
static void
respond (const WcEmulatedStore *store, WcHttpExchange *exchange, int status, struct json_object *body)
{
  size_t      size_bytes = 0;
  const char *text = body ? json_object_to_json_string_length (body, JSON_C_TO_STRING_PLAIN, &size_bytes) : NULL;
  char *headers = g_strdup_printf ("%s%s: %" G_GUINT64_FORMAT "\r\n", body ? "Content-Type: application/json\r\n" : "",
                                   WC_STORE_WIRE_ERA_HEADER, store->era);

  wc_http_exchange_respond (exchange, status, headers, text, size_bytes);
  g_free (headers);
  json_object_put (body);
}

static uint64_t
get_number (const WcHttpExchange *exchange, const char *name)
{
  const char *text = wc_http_exchange_get_query_parameter (exchange, name);

  return text ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static void
clear_item (gpointer data)
{
  Item *item = data;

  g_free (item->key);
  if (item->value)
    g_bytes_unref (item->value);
}

static void
free_item (gpointer data)
{
  clear_item (data);
  g_free (data);
}

static void
clear_watch (gpointer data)
{
  g_free (((Watch *)data)->prefix);
}
