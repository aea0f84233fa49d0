#include "emulator/emulated_platform.h"

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

#include <wigeoncart/config_store.h>
#include <wigeoncart/register_split.h>

#include "emulator/emulator_json.h"
#include "edge/http_server.h"

enum
{
  WATCH_MAX_MS = 60000
};

typedef enum
{
  MODE_UP = 0,
  MODE_DOWN,
  MODE_STALE,
  MODE_COUNT
} Mode;

static const char *const MODE_STRINGS[MODE_COUNT] = {
  [MODE_UP] = "up",
  [MODE_DOWN] = "down",
  [MODE_STALE] = "stale",
};

/* A value stored under a key; versions count from 1. */
typedef struct
{
  GBytes  *value;
  uint64_t version;
} Entry;

/* A long poll that waits for a version of @key newer than @after. */
typedef struct
{
  WcEmulatedPlatform *platform;
  WcHttpExchange     *exchange;
  char               *key;
  uint64_t            after;
  ev_timer            timer;
} Watch;

/* A list of instances that is served once @timer has expired. */
typedef struct
{
  WcEmulatedPlatform *platform;
  GBytes             *text;
  ev_timer            timer;
} DelayedList;

/*
 * @entries: newest entry of each key.
 * @first_entries: entries of the first register published, by key; served in stale mode.
 * @stale_instances: list of instances when stale mode was set, served in stale mode.
 * @window_start: start of the one-second window in which @window_reads were counted.
 */
struct WcEmulatedPlatform
{
  struct ev_loop *loop;
  WcHttpServer   *server;
  Mode            mode;
  GHashTable     *entries;
  GHashTable     *first_entries;
  GBytes         *instances;
  GBytes         *stale_instances;
  GPtrArray      *watches;
  GPtrArray      *delayed_lists;
  uint32_t        list_lag_ms;
  uint32_t        reads_per_s;
  ev_tstamp       window_start;
  uint32_t        window_reads;
  uint64_t        revision;
  uint64_t        reads;
  uint64_t        watches_started;
  uint64_t        list_reads;
  uint64_t        reads_rejected;
  uint64_t        bytes_sent;
};

static void handle_request (void *user_data, WcHttpExchange *exchange);
static void handle_abort (void *user_data, WcHttpExchange *exchange);
static void handle_control (WcEmulatedPlatform *platform, WcHttpExchange *exchange, const char *name);
static void handle_config (WcEmulatedPlatform *platform, WcHttpExchange *exchange, const char *key);
static bool allow_read (WcEmulatedPlatform *platform);
static void respond_entry (WcEmulatedPlatform *platform, WcHttpExchange *exchange, const Entry *entry);
static bool publish (WcEmulatedPlatform *platform, const char *text, size_t size_bytes, bool unchecked, WcError *error);
static bool publish_unchecked (WcEmulatedPlatform *platform, const char *text, size_t size_bytes, WcError *error);
static void save_first_entries (WcEmulatedPlatform *platform);
static void put_entry (WcEmulatedPlatform *platform, const char *key, const char *data, size_t size_bytes);
static void set_instances (WcEmulatedPlatform *platform, GBytes *text);
static void set_mode (WcEmulatedPlatform *platform, Mode mode);
static Entry *find_entry (WcEmulatedPlatform *platform, const char *key);
static void   respond_watches (WcEmulatedPlatform *platform);
static void   watch_expired (struct ev_loop *loop, ev_timer *timer, int events);
static void   apply_list (struct ev_loop *loop, ev_timer *timer, int events);
static void   free_entry (void *data);
static void   free_watch (void *data);
static void   free_list (void *data);
static void   respond_stats (WcEmulatedPlatform *platform, WcHttpExchange *exchange);

WcEmulatedPlatform *
wc_emulated_platform_new (struct ev_loop *loop, const WcEmulatedPlatformConfig *config, WcError *error)
{
  static const WcHttpServerOps ops = { .request = handle_request, .aborted = handle_abort };
  static const char            no_instances[] = "{\"instances\": []}";
  WcEmulatedPlatform          *platform = g_new0 (WcEmulatedPlatform, 1);
  const char                  *instances;

  assert (config != NULL);

  instances = config->instances_text ? config->instances_text : no_instances;
  platform->loop = loop;
  platform->reads_per_s = config->reads_per_s;
  platform->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  platform->first_entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  platform->watches = g_ptr_array_new_with_free_func (free_watch);
  platform->delayed_lists = g_ptr_array_new_with_free_func (free_list);
  platform->instances = g_bytes_new (instances, strlen (instances));
  if (config->register_text && !publish (platform, config->register_text, strlen (config->register_text), false, error))
    {
      wc_emulated_platform_delete (platform);
      return NULL;
    }
  platform->server = wc_http_server_new (loop, &config->listen, &ops, platform, error);
  if (!platform->server)
    {
      wc_emulated_platform_delete (platform);
      return NULL;
    }
  return platform;
}

void
wc_emulated_platform_delete (WcEmulatedPlatform *platform)
{
  if (!platform)
    return;
  wc_http_server_delete (platform->server);
  g_ptr_array_free (platform->watches, TRUE);
  g_ptr_array_free (platform->delayed_lists, TRUE);
  g_hash_table_destroy (platform->entries);
  g_hash_table_destroy (platform->first_entries);
  g_bytes_unref (platform->instances);
  if (platform->stale_instances)
    g_bytes_unref (platform->stale_instances);
  g_free (platform);
}

void
wc_emulated_platform_get_address (const WcEmulatedPlatform *platform, WcAddress *address)
{
  assert (platform != NULL);

  wc_http_server_get_address (platform->server, address);
}

/* local functions */

static void
handle_request (void *user_data, WcHttpExchange *exchange)
{
  WcEmulatedPlatform *platform = user_data;
  const char         *path = wc_http_exchange_get_path (exchange);
  GBytes             *list;
  gsize               size;

  if (g_str_has_prefix (path, "/control/"))
    {
      handle_control (platform, exchange, path + strlen ("/control/"));
      return;
    }
  if (platform->mode == MODE_DOWN)
    {
      wc_http_exchange_abort (exchange);
      return;
    }
  if (strcmp (wc_http_exchange_get_method (exchange), "GET") != 0)
    wc_emulator_json_respond_error (exchange, 405, "the platform can only be read");
  else if (g_str_has_prefix (path, "/v1/config/"))
    handle_config (platform, exchange, path + strlen ("/v1/config/"));
  else if (strcmp (path, "/v1/instances") != 0)
    wc_emulator_json_respond_error (exchange, 404, "no such path");
  else if (!allow_read (platform))
    wc_emulator_json_respond_error (exchange, 429, "too many reads");
  else
    {
      platform->list_reads++;
      list = platform->mode == MODE_STALE ? platform->stale_instances : platform->instances;
      const void *text = g_bytes_get_data (list, &size);

      platform->bytes_sent += size;
      wc_http_exchange_respond (exchange, 200, "Content-Type: application/json\r\n", text, size);
    }
}

static void
handle_abort (void *user_data, WcHttpExchange *exchange)
{
  WcEmulatedPlatform *platform = user_data;
  Watch              *watch = wc_http_exchange_get_data (exchange);

  if (watch)
    g_ptr_array_remove_fast (platform->watches, watch);
}

static void
handle_control (WcEmulatedPlatform *platform, WcHttpExchange *exchange, const char *name)
{
  size_t      size;
  const char *body = wc_http_exchange_get_body (exchange, &size);
  bool        is_put = strcmp (wc_http_exchange_get_method (exchange), "PUT") == 0;
  bool        is_post = strcmp (wc_http_exchange_get_method (exchange), "POST") == 0;
  WcError     error = { 0 };

  if (is_put && strcmp (name, "register") == 0)
    {
      if (!publish (platform, body, size, wc_http_exchange_get_query_parameter (exchange, "unchecked") != NULL, &error))
        wc_emulator_json_respond_error (exchange, 400, error.message);
      else
        wc_emulator_json_respond (exchange, 200, json_object_new_object ());
    }
  else if (is_put && g_str_has_prefix (name, "raw/"))
    {
      /* For tests with corrupt values: stores the body without a check. */
      put_entry (platform, name + strlen ("raw/"), body, size);
      respond_watches (platform);
      wc_emulator_json_respond (exchange, 200, json_object_new_object ());
    }
  else if (is_put && strcmp (name, "instances") == 0)
    {
      struct json_object *list = wc_emulator_json_parse ("instances", body, size, &error);

      if (!list)
        {
          wc_emulator_json_respond_error (exchange, 400, error.message);
          return;
        }
      json_object_put (list);
      set_instances (platform, g_bytes_new (body, size));
      wc_emulator_json_respond (exchange, 200, json_object_new_object ());
    }
  else if (is_post && strcmp (name, "mode") == 0)
    {
      struct json_object *settings = wc_emulator_json_parse ("mode", body, size, &error);
      const char         *text;
      int                 mode;

      if (!settings)
        {
          wc_emulator_json_respond_error (exchange, 400, error.message);
          return;
        }
      text = wc_emulator_json_get_string (settings, "mode", MODE_STRINGS[platform->mode]);
      for (mode = 0; mode < MODE_COUNT && strcmp (text, MODE_STRINGS[mode]) != 0; mode++)
        ;
      if (mode == MODE_COUNT)
        wc_emulator_json_respond_error (exchange, 400, "mode must be up, down or stale");
      else
        {
          platform->list_lag_ms = (uint32_t)wc_emulator_json_get_int (settings, "list_lag_ms", platform->list_lag_ms);
          set_mode (platform, (Mode)mode);
          wc_emulator_json_respond (exchange, 200, json_object_new_object ());
        }
      json_object_put (settings);
    }
  else if (strcmp (name, "stats") == 0)
    respond_stats (platform, exchange);
  else
    wc_emulator_json_respond_error (exchange, 404, "no such control endpoint");
}

static void
handle_config (WcEmulatedPlatform *platform, WcHttpExchange *exchange, const char *key)
{
  const char *after = wc_http_exchange_get_query_parameter (exchange, "after");
  const char *wait = wc_http_exchange_get_query_parameter (exchange, "wait_ms");
  Entry      *entry = find_entry (platform, key);
  uint64_t    version = after ? g_ascii_strtoull (after, NULL, 10) : 0;
  uint64_t    wait_ms = wait ? g_ascii_strtoull (wait, NULL, 10) : 0;
  Watch      *watch;

  if (!allow_read (platform))
    wc_emulator_json_respond_error (exchange, 429, "too many reads");
  else if (entry && (!after || entry->version > version))
    respond_entry (platform, exchange, entry);
  else if (after && wait_ms > 0)
    {
      watch = g_new0 (Watch, 1);
      watch->platform = platform;
      watch->exchange = exchange;
      watch->key = g_strdup (key);
      watch->after = version;
      ev_timer_init (&watch->timer, watch_expired, (double)MIN (wait_ms, WATCH_MAX_MS) / 1000, 0);
      watch->timer.data = watch;
      ev_timer_start (platform->loop, &watch->timer);
      wc_http_exchange_set_data (exchange, watch);
      g_ptr_array_add (platform->watches, watch);
      platform->watches_started++;
    }
  else if (entry)
    wc_http_exchange_respond (exchange, 304, NULL, NULL, 0);
  else
    wc_emulator_json_respond_error (exchange, 404, "no such key");
}

static bool
allow_read (WcEmulatedPlatform *platform)
{
  ev_tstamp now = ev_now (platform->loop);

  if (now - platform->window_start >= 1)
    {
      platform->window_start = now;
      platform->window_reads = 0;
    }
  if (platform->window_reads >= platform->reads_per_s)
    {
      platform->reads_rejected++;
      return false;
    }
  platform->window_reads++;
  platform->reads++;
  return true;
}

static void
respond_entry (WcEmulatedPlatform *platform, WcHttpExchange *exchange, const Entry *entry)
{
  gsize       size;
  const void *value = g_bytes_get_data (entry->value, &size);
  char       *headers = g_strdup_printf ("X-Version: %" G_GUINT64_FORMAT "\r\n", entry->version);

  platform->bytes_sent += size;
  wc_http_exchange_respond (exchange, 200, headers, value, size);
  g_free (headers);
}

/* Publishes a register as a head and its parts. An invalid register is published only if @unchecked, as one part. */
static bool
publish (WcEmulatedPlatform *platform, const char *text, size_t size_bytes, bool unchecked, WcError *error)
{
  WcRegisterSplit *split = wc_register_split_new ("register", text, size_bytes, error);
  bool             is_first = g_hash_table_size (platform->entries) == 0;
  const char      *value;
  const char      *key;
  size_t           size;

  if (!split && !(unchecked && publish_unchecked (platform, text, size_bytes, error)))
    return false;
  if (split)
    {
      /* The head is stored last, so that a reader of the head finds all parts that it names. */
      for (size_t i = 0; i < wc_register_split_get_part_count (split); i++)
        {
          value = wc_register_split_get_part (split, i, &key, &size);
          put_entry (platform, key, value, size);
        }
      value = wc_register_split_get_head (split, &size);
      put_entry (platform, "head", value, size);
      platform->revision = wc_register_split_get_revision (split);
      wc_register_split_delete (split);
    }
  if (is_first)
    save_first_entries (platform);
  respond_watches (platform);
  return true;
}

/* Publishes a register that wc_register_split_new() rejects, for tests of how instances treat an invalid register. */
static bool
publish_unchecked (WcEmulatedPlatform *platform, const char *text, size_t size_bytes, WcError *error)
{
  static const int    flags = JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE;
  struct json_object *reg = wc_emulator_json_parse ("register", text, size_bytes, error);
  unsigned char       digest[WC_DIGEST_BYTES];
  char                digest_text[2 * WC_DIGEST_BYTES + 1];
  const char         *part_text;
  char               *head;

  if (!reg)
    return false;
  platform->revision = (uint64_t)wc_emulator_json_get_int (reg, "revision", 0);
  json_object_object_del (reg, "revision");
  part_text = json_object_to_json_string_ext (reg, flags);
  crypto_generichash (digest, sizeof digest, (const unsigned char *)part_text, strlen (part_text), NULL, 0);
  sodium_bin2hex (digest_text, sizeof digest_text, digest, sizeof digest);
  put_entry (platform, "unchecked", part_text, strlen (part_text));
  head = g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT ",\"parts\":[{\"key\":\"unchecked\",\"digest\":\"%s\"}]}",
                          platform->revision, digest_text);
  put_entry (platform, "head", head, strlen (head));
  g_free (head);
  json_object_put (reg);
  return true;
}

static void
save_first_entries (WcEmulatedPlatform *platform)
{
  GHashTableIter iter;
  void          *key;
  void          *value;

  g_hash_table_iter_init (&iter, platform->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      Entry *entry = g_memdup2 (value, sizeof *entry);

      g_bytes_ref (entry->value);
      g_hash_table_insert (platform->first_entries, g_strdup (key), entry);
    }
}

static void
put_entry (WcEmulatedPlatform *platform, const char *key, const char *data, size_t size_bytes)
{
  Entry  *entry = g_hash_table_lookup (platform->entries, key);
  GBytes *value = g_bytes_new (data, size_bytes);

  if (entry && g_bytes_equal (entry->value, value))
    {
      g_bytes_unref (value);
      return;
    }
  if (!entry)
    {
      entry = g_new0 (Entry, 1);
      g_hash_table_insert (platform->entries, g_strdup (key), entry);
    }
  else
    g_bytes_unref (entry->value);
  entry->value = value;
  entry->version++;
}

static void
set_instances (WcEmulatedPlatform *platform, GBytes *text)
{
  DelayedList *list = g_new0 (DelayedList, 1);

  list->platform = platform;
  list->text = text;
  ev_timer_init (&list->timer, apply_list, platform->list_lag_ms / 1000.0, 0);
  list->timer.data = list;
  ev_timer_start (platform->loop, &list->timer);
  g_ptr_array_add (platform->delayed_lists, list);
}

static void
set_mode (WcEmulatedPlatform *platform, Mode mode)
{
  if (mode == platform->mode)
    return;
  platform->mode = mode;
  if (platform->stale_instances)
    g_bytes_unref (platform->stale_instances);
  platform->stale_instances = mode == MODE_STALE ? g_bytes_ref (platform->instances) : NULL;
  if (mode == MODE_DOWN)
    {
      /* Closes the connections of watches; the control request runs on another connection, which stays open. */
      while (platform->watches->len > 0)
        {
          Watch          *watch = g_ptr_array_index (platform->watches, 0);
          WcHttpExchange *exchange = watch->exchange;

          g_ptr_array_remove_index_fast (platform->watches, 0);
          wc_http_exchange_abort (exchange);
        }
    }
  else
    respond_watches (platform);
}

static Entry *
find_entry (WcEmulatedPlatform *platform, const char *key)
{
  return g_hash_table_lookup (platform->mode == MODE_STALE ? platform->first_entries : platform->entries, key);
}

static void
respond_watches (WcEmulatedPlatform *platform)
{
  guint i = 0;

  while (i < platform->watches->len)
    {
      Watch          *watch = g_ptr_array_index (platform->watches, i);
      Entry          *entry = find_entry (platform, watch->key);
      WcHttpExchange *exchange = watch->exchange;

      if (!entry || entry->version <= watch->after)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (platform->watches, i);
      respond_entry (platform, exchange, entry);
      /* The call may have handled the reader's next request, so the array may have changed. */
      i = 0;
    }
}

static void
watch_expired (struct ev_loop *loop, ev_timer *timer, int events)
{
  Watch          *watch = timer->data;
  WcHttpExchange *exchange = watch->exchange;

  (void)loop;
  (void)events;
  g_ptr_array_remove_fast (watch->platform->watches, watch);
  wc_http_exchange_respond (exchange, 304, NULL, NULL, 0);
}

static void
apply_list (struct ev_loop *loop, ev_timer *timer, int events)
{
  DelayedList        *list = timer->data;
  WcEmulatedPlatform *platform = list->platform;

  (void)loop;
  (void)events;
  g_bytes_unref (platform->instances);
  platform->instances = g_bytes_ref (list->text);
  g_ptr_array_remove (platform->delayed_lists, list);
}

static void
free_entry (void *data)
{
  Entry *entry = data;

  g_bytes_unref (entry->value);
  g_free (entry);
}

static void
free_watch (void *data)
{
  Watch *watch = data;

  ev_timer_stop (watch->platform->loop, &watch->timer);
  g_free (watch->key);
  g_free (watch);
}

static void
free_list (void *data)
{
  DelayedList *list = data;

  ev_timer_stop (list->platform->loop, &list->timer);
  g_bytes_unref (list->text);
  g_free (list);
}

static void
respond_stats (WcEmulatedPlatform *platform, WcHttpExchange *exchange)
{
  struct json_object *stats = json_object_new_object ();

  json_object_object_add (stats, "mode", json_object_new_string (MODE_STRINGS[platform->mode]));
  wc_emulator_json_add_uint (stats, "revision", platform->revision);
  wc_emulator_json_add_uint (stats, "reads", platform->reads);
  wc_emulator_json_add_uint (stats, "watches_started", platform->watches_started);
  wc_emulator_json_add_uint (stats, "watches_pending", platform->watches->len);
  wc_emulator_json_add_uint (stats, "list_reads", platform->list_reads);
  wc_emulator_json_add_uint (stats, "reads_rejected", platform->reads_rejected);
  wc_emulator_json_add_uint (stats, "bytes_sent", platform->bytes_sent);
  wc_emulator_json_respond (exchange, 200, stats);
}
