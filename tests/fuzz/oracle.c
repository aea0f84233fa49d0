#include "fuzz/oracle.h"

#include <string.h>

enum
{
  DIGESTS_MAX = 64,
  /* A planned stop takes at most 30 s; calls that it affects may end up to 5 s later. */
  STOP_WINDOW_US = 35 * 1000 * 1000
};

const char *const ORACLE_INVARIANT_STRINGS[ORACLE_INVARIANT_COUNT] = {
  [ORACLE_SESSION_SURVIVES] = "session_survives", [ORACLE_SERVICE_SEPARATION] = "service_separation",
  [ORACLE_WHOLE_ANSWER] = "whole_answer",         [ORACLE_NOT_RUN_IS_TRUE] = "not_run_is_true",
  [ORACLE_AT_MOST_ONCE] = "at_most_once",         [ORACLE_LEAVING_GETS_NO_WORK] = "leaving_gets_no_work",
  [ORACLE_GRACEFUL_STOP] = "graceful_stop",       [ORACLE_CONFIG_NEVER_REVERTS] = "config_never_reverts",
};

uint64_t oracle_checks[ORACLE_INVARIANT_COUNT];
void (*oracle_fail) (OracleInvariant invariant, const char *text);

/** struct Call - a call of a caller; @sizes: length in bytes of the answer of each run. */
typedef struct
{
  OracleCallKind kind;
  uint32_t       service;
  GArray        *sizes;
  bool           not_run;
  bool           expect_success;
} Call;

/** struct Instance - state of a process; @replaced: digests of configurations that are no longer in force. */
typedef struct
{
  bool     running;
  bool     serving;
  uint32_t domain;
  uint64_t since_us;
  uint64_t revision;
  uint64_t digest;
  uint64_t changed_us;
  uint64_t replaced[DIGESTS_MAX];
  size_t   replaced_count;
} Instance;

struct Oracle
{
  bool        strict;
  GHashTable *calls;
  Instance    instances[ORACLE_INSTANCES_MAX];
  uint64_t    revision;
  uint64_t    published_us;
  uint64_t    leaving_since_us[ORACLE_HOSTS_MAX];
  bool        all_reachable;
  uint64_t    all_reachable_since_us;
  uint64_t    stop_requested_us;
};

static void  check (bool holds, OracleInvariant invariant, const char *format, ...) G_GNUC_PRINTF (3, 4);
static Call *find_call (Oracle *oracle, uint32_t number);
static char *make_body (uint32_t number, uint32_t run, size_t size_bytes);
static void  free_call (gpointer data);
static void  check_body (const Call *call, uint32_t number, const uint8_t *data, size_t size_bytes);

Oracle *
oracle_new (bool strict)
{
  Oracle *oracle = g_new0 (Oracle, 1);

  oracle->strict = strict;
  oracle->calls = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, free_call);
  return oracle;
}

void
oracle_delete (Oracle *oracle)
{
  g_hash_table_destroy (oracle->calls);
  g_free (oracle);
}

void
oracle_call_sent (Oracle *oracle, uint32_t number, OracleCallKind kind, uint32_t service)
{
  Call *call = g_new0 (Call, 1);

  call->kind = kind;
  call->service = service;
  call->sizes = g_array_new (FALSE, FALSE, sizeof (size_t));
  g_hash_table_insert (oracle->calls, GUINT_TO_POINTER (number), call);
}

char *
oracle_call_run (Oracle *oracle, uint64_t now_us, uint32_t number, uint32_t service, uint32_t host, size_t size_bytes)
{
  Call    *call = find_call (oracle, number);
  uint64_t since_us = oracle->leaving_since_us[host];

  check (call->service == service, ORACLE_SERVICE_SEPARATION, "call %u of service %u reached a target of service %u",
         number, call->service, service);
  check (!call->not_run, ORACLE_NOT_RUN_IS_TRUE, "call %u runs after its caller was told that it was not run", number);
  if (call->kind == ORACLE_ORDER)
    check (call->sizes->len == 0, ORACLE_AT_MOST_ONCE, "order %u runs a second time", number);
  if (since_us != 0 && oracle->all_reachable)
    check (now_us < MAX (since_us, oracle->all_reachable_since_us) + ORACLE_GRACE_US, ORACLE_LEAVING_GETS_NO_WORK,
           "call %u reached host %u, which began to leave %" G_GUINT64_FORMAT " ms ago", number, host,
           (now_us - since_us) / 1000);
  g_array_append_val (call->sizes, size_bytes);
  return make_body (number, call->sizes->len, size_bytes);
}

void
oracle_call_ended (Oracle *oracle, uint64_t now_us, uint32_t number, WcClientResult result, const uint8_t *data,
                   size_t size_bytes)
{
  Call           *call = find_call (oracle, number);
  bool            must_succeed = oracle->strict || call->expect_success;
  bool            is_order = call->kind == ORACLE_ORDER;
  bool            during_stop = oracle->stop_requested_us != 0 && now_us < oracle->stop_requested_us + STOP_WINDOW_US;
  OracleInvariant invariant = during_stop ? ORACLE_GRACEFUL_STOP : ORACLE_SESSION_SURVIVES;

  if (result == WC_CLIENT_NOT_RUN)
    {
      check (is_order, ORACLE_NOT_RUN_IS_TRUE, "request %u is not an order and was answered as not run", number);
      check (call->sizes->len == 0, ORACLE_NOT_RUN_IS_TRUE, "order %u ran and was answered as not run", number);
      call->not_run = true;
    }
  if (result == WC_CLIENT_DONE)
    check_body (call, number, data, size_bytes);
  if (!must_succeed)
    return;
  if (is_order)
    check (result == WC_CLIENT_DONE || (result == WC_CLIENT_NOT_RUN && !call->expect_success), invariant,
           "order %u ended as '%s' though only planned changes happened", number, WC_CLIENT_RESULT_STRINGS[result]);
  else
    check (result == WC_CLIENT_DONE, invariant, "request %u ended as '%s' though only planned changes happened", number,
           WC_CLIENT_RESULT_STRINGS[result]);
}

void
oracle_expect_success (Oracle *oracle, uint32_t number)
{
  find_call (oracle, number)->expect_success = true;
}

char *
oracle_format_events (uint32_t service, uint64_t after, uint64_t last)
{
  GString *text = g_string_new (NULL);

  for (uint64_t event = after + 1; event <= last; event++)
    g_string_append_printf (text, "%u:%" G_GUINT64_FORMAT "\n", service, event);
  return g_string_free (text, FALSE);
}

void
oracle_stream_events (Oracle *oracle, uint32_t service, uint64_t before, uint64_t cursor, const uint8_t *data,
                      size_t size_bytes)
{
  char *text = oracle_format_events (service, before, cursor);

  (void)oracle;
  check (cursor >= before, ORACLE_SESSION_SURVIVES, "a stream went back to an event before %" G_GUINT64_FORMAT, before);
  check (size_bytes == strlen (text) && (size_bytes == 0 || memcmp (data, text, size_bytes) == 0), ORACLE_WHOLE_ANSWER,
         "a stream did not get exactly the events %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT, before + 1, cursor);
  g_free (text);
}

void
oracle_stream_refused (Oracle *oracle, const char *reason)
{
  check (!oracle->strict, ORACLE_SESSION_SURVIVES, "a stream was refused: %s", reason);
}

void
oracle_check_stream (Oracle *oracle, uint64_t cursor, uint64_t last)
{
  (void)oracle;
  check (cursor == last, ORACLE_SESSION_SURVIVES,
         "a stream is at event %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " after all failures were repaired", cursor,
         last);
}

void
oracle_config_published (Oracle *oracle, uint64_t now_us, uint64_t revision, uint32_t leaving_hosts)
{
  oracle->revision = revision;
  oracle->published_us = now_us;
  for (uint32_t host = 0; host < ORACLE_HOSTS_MAX; host++)
    if (!(leaving_hosts >> host & 1))
      oracle->leaving_since_us[host] = 0;
    else if (oracle->leaving_since_us[host] == 0)
      oracle->leaving_since_us[host] = now_us;
}

void
oracle_config_overwritten (Oracle *oracle)
{
  bool accepted = false;

  for (uint32_t i = 0; i < ORACLE_INSTANCES_MAX; i++)
    accepted |= oracle->instances[i].running && oracle->instances[i].revision >= oracle->revision;
  oracle->revision = 0;
  if (!accepted)
    memset (oracle->leaving_since_us, 0, sizeof oracle->leaving_since_us);
}

void
oracle_reachability_changed (Oracle *oracle, uint64_t now_us, bool all_reachable)
{
  oracle->all_reachable = all_reachable;
  oracle->all_reachable_since_us = now_us;
}

void
oracle_instance_started (Oracle *oracle, uint64_t now_us, uint32_t index, uint32_t domain, bool resumed)
{
  Instance *instance = &oracle->instances[index];

  if (!resumed)
    memset (instance, 0, sizeof *instance);
  instance->running = true;
  instance->domain = domain;
  instance->since_us = now_us;
  instance->changed_us = now_us;
}

void
oracle_instance_ended (Oracle *oracle, uint32_t index)
{
  oracle->instances[index].running = false;
}

void
oracle_instance_state (Oracle *oracle, uint64_t now_us, uint32_t index, bool serving, uint64_t revision,
                       uint64_t digest)
{
  Instance *instance = &oracle->instances[index];

  check (revision >= instance->revision, ORACLE_CONFIG_NEVER_REVERTS,
         "instance %u went back from revision %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT, index, instance->revision,
         revision);
  if (digest != instance->digest)
    {
      for (size_t i = 0; i < instance->replaced_count; i++)
        check (instance->replaced[i] != digest, ORACLE_CONFIG_NEVER_REVERTS,
               "instance %u went back to a configuration that it had replaced", index);
      if (instance->replaced_count < DIGESTS_MAX && instance->digest != 0)
        instance->replaced[instance->replaced_count++] = instance->digest;
      instance->revision = revision;
      instance->digest = digest;
      instance->changed_us = now_us;
    }
  if (!serving || instance->serving)
    return;
  instance->serving = true;
  /* A peer in the same domain that served, undisturbed, since well before this instance started could answer queries
   * all the time. The instance must not serve with an older revision, whatever the platform serves. */
  for (uint32_t i = 0; i < ORACLE_INSTANCES_MAX; i++)
    {
      const Instance *peer = &oracle->instances[i];

      if (i != index && peer->running && peer->serving && peer->domain == instance->domain &&
          MAX (peer->since_us, peer->changed_us) + ORACLE_GRACE_US < instance->since_us)
        check (revision >= peer->revision, ORACLE_CONFIG_NEVER_REVERTS,
               "instance %u serves with revision %" G_GUINT64_FORMAT " while its peer %u has %" G_GUINT64_FORMAT, index,
               revision, i, peer->revision);
    }
}

void
oracle_check_config (Oracle *oracle, uint64_t now_us)
{
  const Instance *first = NULL;

  if (!oracle->all_reachable || now_us < MAX (oracle->all_reachable_since_us, oracle->published_us) + ORACLE_GRACE_US)
    return;
  for (uint32_t i = 0; i < ORACLE_INSTANCES_MAX; i++)
    {
      const Instance *instance = &oracle->instances[i];

      if (!instance->running || !instance->serving || now_us < instance->since_us + ORACLE_GRACE_US)
        continue;
      check (instance->revision >= oracle->revision, ORACLE_CONFIG_NEVER_REVERTS,
             "revision %" G_GUINT64_FORMAT " is not in force on instance %u, which has %" G_GUINT64_FORMAT,
             oracle->revision, i, instance->revision);
      check (!first || first->digest == instance->digest, ORACLE_CONFIG_NEVER_REVERTS,
             "instance %u has a different configuration of revision %" G_GUINT64_FORMAT " in force", i,
             instance->revision);
      first = instance;
    }
}

void
oracle_stop_requested (Oracle *oracle, uint64_t now_us)
{
  oracle->stop_requested_us = now_us;
}

void
oracle_stopped (Oracle *oracle, uint32_t instance, uint32_t runs_in_progress)
{
  (void)oracle;
  check (runs_in_progress == 0, ORACLE_GRACEFUL_STOP, "instance %u stopped with %u requests in progress", instance,
         runs_in_progress);
}

/* local functions */

static void
check (bool holds, OracleInvariant invariant, const char *format, ...)
{
  va_list arguments;
  char   *text;

  oracle_checks[invariant]++;
  if (holds)
    return;
  va_start (arguments, format);
  text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  oracle_fail (invariant, text);
  g_free (text);
}

static Call *
find_call (Oracle *oracle, uint32_t number)
{
  Call *call = g_hash_table_lookup (oracle->calls, GUINT_TO_POINTER (number));

  if (!call)
    oracle_fail (ORACLE_SERVICE_SEPARATION, "a target received a request that no caller sent");
  return call;
}

static char *
make_body (uint32_t number, uint32_t run, size_t size_bytes)
{
  char    *body = g_malloc (size_bytes + 1);
  uint32_t state = number * 2654435761u + run;

  for (size_t i = 0; i < size_bytes; i++)
    {
      state = state * 1664525u + 1013904223u;
      body[i] = (char)('a' + (state >> 24) % 26);
    }
  body[size_bytes] = '\0';
  return body;
}

static void
free_call (gpointer data)
{
  Call *call = data;

  g_array_unref (call->sizes);
  g_free (call);
}

/* The answer must be the complete body of one of the call's own runs. */
static void
check_body (const Call *call, uint32_t number, const uint8_t *data, size_t size_bytes)
{
  bool found = false;

  for (uint32_t run = 1; run <= call->sizes->len && !found; run++)
    {
      char *body;

      if (g_array_index (call->sizes, size_t, run - 1) != size_bytes)
        continue;
      body = make_body (number, run, size_bytes);
      found = size_bytes == 0 || memcmp (body, data, size_bytes) == 0;
      g_free (body);
    }
  check (found, ORACLE_WHOLE_ANSWER, "the answer of %zu bytes to call %u is not that of any of its %u runs", size_bytes,
         number, call->sizes->len);
}
