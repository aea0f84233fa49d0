#include "fuzz/fleet.h"

#include <stdio.h>
#include <string.h>

enum
{
  CONNECT_US = 2000,
  LATENCY_US = 1000,
  RUN_US = 30 * 1000,
  SLOW_FACTOR = 20,
  LATE_US = 4 * 1000 * 1000,
  SLOTS = 2,
  CHUNK_BYTES = 4000
};

static FleetAttempt *find_due (Fleet *fleet);
static void          step_attempt (Fleet *fleet, FleetAttempt *attempt);
static void          open_connection (Fleet *fleet, FleetAttempt *attempt);
static void          receive_request (Fleet *fleet, FleetAttempt *attempt);
static void          send_answer (Fleet *fleet, FleetAttempt *attempt);
static void          end_attempt (Fleet *fleet, FleetAttempt *attempt, WcAttemptEnd end);
static void          detach_attempt (Fleet *fleet, FleetAttempt *attempt);
static bool          is_lost (const Fleet *fleet, const FleetAttempt *attempt);

void
fleet_attempt_start (FleetInstance *instance, const WcAttempt *attempt)
{
  Fleet        *fleet = instance->fleet;
  FleetAttempt *started = g_new0 (FleetAttempt, 1);

  started->instance = instance;
  started->id = attempt->id;
  started->host = attempt->target->address.ip[3] - 1u;
  g_assert (started->host < FLEET_HOSTS);
  g_strlcpy (started->service_name, attempt->service_name, sizeof started->service_name);
  g_strlcpy (started->path, attempt->path, sizeof started->path);
  started->due_us = fleet->now_us + CONNECT_US;
  g_ptr_array_add (fleet->attempts, started);
}

/* Closes the connection. A request that the target has begun to run continues. */
void
fleet_attempt_cancel (FleetInstance *instance, uint64_t id)
{
  Fleet *fleet = instance->fleet;

  for (guint i = 0; i < fleet->attempts->len; i++)
    {
      FleetAttempt *attempt = g_ptr_array_index (fleet->attempts, i);

      if (attempt->instance == instance && attempt->id == id)
        {
          detach_attempt (fleet, attempt);
          fleet_attempt_free (attempt);
          return;
        }
    }
}

void
fleet_targets_step (Fleet *fleet)
{
  FleetAttempt *attempt;

  while ((attempt = find_due (fleet)) != NULL)
    step_attempt (fleet, attempt);
}

void
fleet_attempts_discard (Fleet *fleet, const FleetInstance *instance)
{
  for (guint i = fleet->attempts->len; i > 0; i--)
    {
      FleetAttempt *attempt = g_ptr_array_index (fleet->attempts, i - 1);

      if (attempt->instance != instance)
        continue;
      detach_attempt (fleet, attempt);
      fleet_attempt_free (attempt);
    }
}

/* Long polls of an event feed are not counted, because no data is lost when they end. */
uint32_t
fleet_count_runs (const Fleet *fleet, const FleetInstance *instance)
{
  uint32_t count = 0;

  for (guint i = 0; i < fleet->attempts->len; i++)
    {
      const FleetAttempt *attempt = g_ptr_array_index (fleet->attempts, i);

      if (attempt->instance == instance && attempt->state != FLEET_ATTEMPT_CONNECTING &&
          attempt->state != FLEET_ATTEMPT_POLLING)
        count++;
    }
  return count;
}

void
fleet_attempt_free (gpointer data)
{
  FleetAttempt *attempt = data;

  g_free (attempt->body);
  g_free (attempt);
}

/* Another program takes over the address; the connections to the previous program are closed. */
void
fleet_host_move (Fleet *fleet, uint32_t host, uint32_t service)
{
  fleet->hosts[host].service = service;
  fleet->hosts[host].generation++;
}

/* local functions */

static FleetAttempt *
find_due (Fleet *fleet)
{
  for (guint i = 0; i < fleet->attempts->len; i++)
    {
      FleetAttempt *attempt = g_ptr_array_index (fleet->attempts, i);
      bool          deferred = attempt->instance->paused && attempt->state != FLEET_ATTEMPT_SENT;

      if (attempt->state == FLEET_ATTEMPT_POLLING)
        {
          const FleetHost   *host = &fleet->hosts[attempt->host];
          unsigned long long after = 0;

          sscanf (attempt->path, "/events?after=%llu", &after);
          if (!deferred && (fleet->events[host->service] > after || fleet->now_us >= attempt->poll_deadline_us ||
                            is_lost (fleet, attempt)))
            return attempt;
        }
      else if (!deferred && attempt->due_us <= fleet->now_us)
        return attempt;
    }
  return NULL;
}

static void
step_attempt (Fleet *fleet, FleetAttempt *attempt)
{
  switch (attempt->state)
    {
    case FLEET_ATTEMPT_CONNECTING:
      open_connection (fleet, attempt);
      break;
    case FLEET_ATTEMPT_SENT:
      receive_request (fleet, attempt);
      break;
    default:
      send_answer (fleet, attempt);
      break;
    }
}

static bool
is_lost (const Fleet *fleet, const FleetAttempt *attempt)
{
  const FleetHost *host = &fleet->hosts[attempt->host];

  return fleet->partitioned[attempt->instance->domain][host->domain] || host->mode == FLEET_HOST_UNREACHABLE ||
         (attempt->state != FLEET_ATTEMPT_CONNECTING && attempt->generation != host->generation);
}

/* The edge does not send a request on a connection if the host does not serve the named service. */
static void
open_connection (Fleet *fleet, FleetAttempt *attempt)
{
  FleetInstance   *instance = attempt->instance;
  const FleetHost *host = &fleet->hosts[attempt->host];

  if (is_lost (fleet, attempt) || strcmp (attempt->service_name, FLEET_SERVICE_NAMES[host->service]) != 0 ||
      !wc_node_attempt_sending (instance->node, fleet_instance_now (instance), attempt->id))
    {
      end_attempt (fleet, attempt, WC_ATTEMPT_NOT_SENT);
      return;
    }
  attempt->state = FLEET_ATTEMPT_SENT;
  attempt->generation = host->generation;
  attempt->due_us = fleet->now_us + LATENCY_US;
}

static void
receive_request (Fleet *fleet, FleetAttempt *attempt)
{
  FleetHost         *host = &fleet->hosts[attempt->host];
  unsigned           number = 0;
  unsigned           size_bytes = 0;
  unsigned long long after = 0;
  unsigned           wait_ms = 0;

  attempt->state = FLEET_ATTEMPT_RUNNING;
  attempt->due_us = fleet->now_us + LATENCY_US;
  if (is_lost (fleet, attempt) || host->mode == FLEET_HOST_BREAKS_BEFORE_RUN)
    {
      attempt->breaks = true;
      return;
    }
  if (host->mode == FLEET_HOST_REFUSES || (host->mode == FLEET_HOST_SHEDS && g_rand_int (fleet->random) % 2 == 0))
    {
      attempt->refused = true;
      return;
    }
  if (sscanf (attempt->path, "/events?after=%llu&wait_ms=%u", &after, &wait_ms) == 2)
    {
      attempt->state = FLEET_ATTEMPT_POLLING;
      attempt->poll_deadline_us = fleet->now_us + (uint64_t)wait_ms * 1000;
      return;
    }
  g_assert (sscanf (attempt->path, "/c/%u/%u", &number, &size_bytes) == 2);
  attempt->body = oracle_call_run (fleet->oracle, fleet->now_us, number, host->service, attempt->host, size_bytes);
  attempt->body_bytes = size_bytes;
  attempt->runs = true;
  attempt->breaks = host->mode == FLEET_HOST_BREAKS_AFTER_RUN;
  attempt->due_us += RUN_US * (host->mode == FLEET_HOST_SLOW ? SLOW_FACTOR : 1 + host->running / SLOTS) +
                     (host->mode == FLEET_HOST_LATE ? LATE_US : 0);
  host->running++;
}

static void
send_answer (Fleet *fleet, FleetAttempt *attempt)
{
  FleetInstance *instance = attempt->instance;
  uint64_t       now_us = fleet_instance_now (instance);
  uint64_t       cursor = 0;
  uint32_t       service = fleet->hosts[attempt->host].service;

  if (attempt->refused || attempt->breaks || is_lost (fleet, attempt))
    {
      end_attempt (fleet, attempt, attempt->refused ? WC_ATTEMPT_REFUSED : WC_ATTEMPT_BROKEN);
      return;
    }
  if (attempt->state == FLEET_ATTEMPT_POLLING)
    {
      unsigned long long after = 0;

      sscanf (attempt->path, "/events?after=%llu", &after);
      cursor = MAX (after, fleet->events[service]);
      attempt->body = oracle_format_events (service, after, cursor);
      attempt->body_bytes = strlen (attempt->body);
    }
  detach_attempt (fleet, attempt);
  for (size_t at = 0; at < attempt->body_bytes; at += CHUNK_BYTES)
    if (!wc_node_attempt_data (instance->node, now_us, attempt->id, (const uint8_t *)attempt->body + at,
                               MIN (attempt->body_bytes - at, CHUNK_BYTES)))
      {
        fleet_attempt_free (attempt);
        return;
      }
  wc_node_attempt_done (instance->node, now_us, attempt->id, 200, UINT32_MAX, cursor);
  fleet_attempt_free (attempt);
}

static void
end_attempt (Fleet *fleet, FleetAttempt *attempt, WcAttemptEnd end)
{
  FleetInstance *instance = attempt->instance;

  detach_attempt (fleet, attempt);
  wc_node_attempt_ended (instance->node, fleet_instance_now (instance), attempt->id, end);
  fleet_attempt_free (attempt);
}

static void
detach_attempt (Fleet *fleet, FleetAttempt *attempt)
{
  if (attempt->runs)
    fleet->hosts[attempt->host].running--;
  for (guint i = 0; i < fleet->attempts->len; i++)
    if (g_ptr_array_index (fleet->attempts, i) == attempt)
      {
        g_ptr_array_steal_index (fleet->attempts, i);
        return;
      }
}
