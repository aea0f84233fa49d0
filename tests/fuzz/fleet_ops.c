#include "fuzz/fleet.h"

#include <stdlib.h>

enum
{
  MILLISECOND_US = 1000,
  SECOND_US = 1000 * 1000,
  /* Minimum time between dependent steps of a planned change: a host leaves before it moves to another service, and a
   * new key is added before an old one is removed. */
  LEAVING_BEFORE_MOVE_US = 10 * SECOND_US,
  KEY_OVERLAP_US = 15 * SECOND_US,
  RECOVERY_US = 8 * SECOND_US,
  STRICT_DELAY_US = 100 * MILLISECOND_US
};

/** struct Input - bytes from which operations and their parameters are read; 0 is read after the end. */
typedef struct
{
  const uint8_t *data;
  size_t         size_bytes;
  size_t         at;
} Input;

typedef void (*Operation) (Fleet *fleet, Input *input);

static uint8_t read_byte (Input *input);
static void    publish_revision (Fleet *fleet, bool malformed);
static bool    host_can_leave (const Fleet *fleet, uint32_t host);

static void op_request (Fleet *fleet, Input *input);
static void op_order (Fleet *fleet, Input *input);
static void op_poll (Fleet *fleet, Input *input);
static void op_cancel (Fleet *fleet, Input *input);
static void op_events (Fleet *fleet, Input *input);
static void op_misbehaving_caller (Fleet *fleet, Input *input);
static void op_advance (Fleet *fleet, Input *input);
static void op_deliver (Fleet *fleet, Input *input);
static void op_duplicate (Fleet *fleet, Input *input);
static void op_delay (Fleet *fleet, Input *input);
static void op_drop (Fleet *fleet, Input *input);
static void op_stop (Fleet *fleet, Input *input);
static void op_start (Fleet *fleet, Input *input);
static void op_kill (Fleet *fleet, Input *input);
static void op_pause (Fleet *fleet, Input *input);
static void op_resume (Fleet *fleet, Input *input);
static void op_clock_jump (Fleet *fleet, Input *input);
static void op_partition (Fleet *fleet, Input *input);
static void op_heal (Fleet *fleet, Input *input);
static void op_platform (Fleet *fleet, Input *input);
static void op_leaving (Fleet *fleet, Input *input);
static void op_weight (Fleet *fleet, Input *input);
static void op_move (Fleet *fleet, Input *input);
static void op_rotate_keys (Fleet *fleet, Input *input);
static void op_malformed_register (Fleet *fleet, Input *input);
static void op_conflicting_revisions (Fleet *fleet, Input *input);
static void op_host_mode (Fleet *fleet, Input *input);

/* Operations by number; @planned: allowed in a strict input. Operations with several entries are chosen more often. */
static const struct
{
  Operation run;
  bool      planned;
} OPERATIONS[] = {
  { op_request, true },
  { op_request, true },
  { op_request, true },
  { op_order, true },
  { op_order, true },
  { op_order, true },
  { op_poll, true },
  { op_events, true },
  { op_cancel, true },
  { op_misbehaving_caller, true },
  { op_advance, true },
  { op_advance, true },
  { op_advance, true },
  { op_advance, true },
  { op_advance, true },
  { op_deliver, true },
  { op_duplicate, true },
  { op_duplicate, true },
  { op_delay, true },
  { op_drop, false },
  { op_stop, true },
  { op_start, true },
  { op_start, true },
  { op_kill, false },
  { op_pause, false },
  { op_resume, false },
  { op_resume, false },
  { op_clock_jump, false },
  { op_partition, false },
  { op_heal, false },
  { op_heal, false },
  { op_platform, false },
  { op_leaving, true },
  { op_leaving, true },
  { op_weight, true },
  { op_move, true },
  { op_rotate_keys, true },
  { op_malformed_register, true },
  { op_conflicting_revisions, true },
  { op_host_mode, false },
  { op_host_mode, false },
};

uint32_t
fleet_apply (Fleet *fleet, const uint8_t *data, size_t size_bytes)
{
  Input    input = { .data = data, .size_bytes = size_bytes };
  uint32_t count = 0;

  while (input.at < input.size_bytes)
    {
      uint32_t operation = read_byte (&input) % G_N_ELEMENTS (OPERATIONS);

      if (fleet->strict && !OPERATIONS[operation].planned)
        continue;
      OPERATIONS[operation].run (fleet, &input);
      count++;
    }
  return count;
}

void
fleet_check_recovery (Fleet *fleet)
{
  bool serving[FLEET_DOMAINS] = { false };

  fleet_log (fleet, "repair all failures");
  for (uint32_t i = 0; i <= FLEET_DOMAINS; i++)
    for (uint32_t j = 0; j <= FLEET_DOMAINS; j++)
      fleet_set_partition (fleet, i, j, false);
  fleet_platform_set (fleet, false, false, 0);
  for (uint32_t i = 0; i < FLEET_HOSTS; i++)
    fleet->hosts[i].mode = FLEET_HOST_HEALTHY;
  for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
    {
      if (fleet->instances[i].running && fleet->instances[i].paused)
        fleet_instance_resume (fleet, i);
      serving[i % FLEET_DOMAINS] |= fleet->instances[i].running && !fleet->instances[i].draining;
    }
  for (uint32_t i = 0; i < FLEET_DOMAINS; i++)
    if (!serving[i])
      fleet_instance_start (fleet, fleet->instances[i].running ? i + FLEET_DOMAINS : i);
  fleet->leaving = 0;
  publish_revision (fleet, false);
  fleet_run (fleet, RECOVERY_US);

  fleet_log (fleet, "check the flows of all callers");
  for (uint32_t caller = 0; caller < FLEET_CALLERS; caller++)
    {
      fleet_poll (fleet, caller);
      for (uint32_t service = 0; service < FLEET_SERVICES; service++)
        {
          uint32_t number = fleet_call (fleet, caller, service, service == FLEET_ORDERS, 100 + 2000 * service);

          if (number != 0)
            oracle_expect_success (fleet->oracle, number);
          fleet_run (fleet, SECOND_US / 5);
        }
    }
  fleet->events[FLEET_CATALOGUE] += 2;
  fleet_run (fleet, 5 * SECOND_US);
  for (uint32_t caller = 0; caller < FLEET_CALLERS; caller++)
    oracle_check_stream (fleet->oracle, fleet->callers[caller].poll_cursor, fleet->events[FLEET_CATALOGUE]);
}

/* local functions */

static uint8_t
read_byte (Input *input)
{
  return input->at < input->size_bytes ? input->data[input->at++] : 0;
}

static void
publish_revision (Fleet *fleet, bool malformed)
{
  fleet->revision++;
  fleet_publish (fleet, malformed);
  /* Instances may not have read the revision before a malformed one, so its changes count from the next revision on. */
  for (uint32_t i = 0; i < FLEET_HOSTS && fleet->previous_malformed; i++)
    fleet->leaving_since_us[i] = fleet->epoch_us = fleet->now_us;
  fleet->previous_malformed = malformed;
}

static void
op_request (Fleet *fleet, Input *input)
{
  uint8_t  choice = read_byte (input);
  uint32_t service = choice % 4 == 0 ? FLEET_PATTERNS : FLEET_CATALOGUE;
  uint32_t caller = choice / 4 % FLEET_CALLERS;
  size_t   answer_bytes = (size_t)read_byte (input) * (service == FLEET_PATTERNS ? 240 : 20);
  uint32_t number = fleet_call (fleet, caller, service, false, answer_bytes);

  fleet_log (fleet, "caller %u: request %u to service %u, answer of %zu bytes", caller, number, service, answer_bytes);
}

static void
op_order (Fleet *fleet, Input *input)
{
  uint8_t  choice = read_byte (input);
  uint32_t caller = choice % FLEET_CALLERS;
  /* Some answers exceed the service's limit of 16 KiB (answer_max_bytes). */
  size_t   answer_bytes = choice >= 240 && !fleet->strict ? 20000 : choice * 24u;
  uint32_t number = fleet_call (fleet, caller, FLEET_ORDERS, true, answer_bytes);

  fleet_log (fleet, "caller %u: order %u, answer of %zu bytes", caller, number, answer_bytes);
}

static void
op_poll (Fleet *fleet, Input *input)
{
  uint32_t caller = read_byte (input) % FLEET_CALLERS;

  fleet_log (fleet, "caller %u: poll for events", caller);
  fleet_poll (fleet, caller);
}

static void
op_cancel (Fleet *fleet, Input *input)
{
  uint8_t choice = read_byte (input);

  fleet_log (fleet, "caller %u: cancel a call", choice % FLEET_CALLERS);
  fleet_cancel (fleet, choice % FLEET_CALLERS, choice / FLEET_CALLERS);
}

static void
op_events (Fleet *fleet, Input *input)
{
  uint32_t count = read_byte (input) % 8 == 0 ? 400 : 1;

  fleet_log (fleet, "%u new events", count);
  fleet->events[FLEET_CATALOGUE] += count;
}

static void
op_misbehaving_caller (Fleet *fleet, Input *input)
{
  uint8_t choice = read_byte (input);

  fleet_log (fleet, "packet of a misbehaving caller, variant %u", choice % 3);
  if (choice % 3 == 2)
    fleet_replay_order (fleet);
  else
    fleet_send_mismatched (fleet, choice / 3 % FLEET_CALLERS, choice / 9, choice % 3 == 1);
}

static void
op_advance (Fleet *fleet, Input *input)
{
  uint8_t  choice = read_byte (input);
  uint64_t duration_us = (choice % 64 + 1) * (choice >= 216 ? 100 : choice >= 128 ? 10 : 1) * 1000;

  duration_us = (duration_us + FLEET_STEP_US - 1) / FLEET_STEP_US * FLEET_STEP_US;
  fleet_log (fleet, "advance %" G_GUINT64_FORMAT " ms", duration_us / MILLISECOND_US);
  fleet_run (fleet, duration_us);
}

static void
op_deliver (Fleet *fleet, Input *input)
{
  FleetMessage *message = fleet_pick_datagram (fleet, read_byte (input));

  if (!message)
    return;
  fleet_log (fleet, "deliver message %" G_GUINT64_FORMAT " now", message->serial);
  fleet_deliver (fleet, message);
}

static void
op_duplicate (Fleet *fleet, Input *input)
{
  FleetMessage *message = fleet_pick_datagram (fleet, read_byte (input));

  if (!message)
    return;
  fleet_log (fleet, "duplicate message %" G_GUINT64_FORMAT, message->serial);
  fleet_duplicate (fleet, message);
}

static void
op_delay (Fleet *fleet, Input *input)
{
  FleetMessage *message = fleet_pick_datagram (fleet, read_byte (input));
  uint64_t      delay_us = (uint64_t)read_byte (input) * 50 * MILLISECOND_US;

  if (!message)
    return;
  if (fleet->strict)
    delay_us = MIN (delay_us, (uint64_t)STRICT_DELAY_US);
  fleet_log (fleet, "delay message %" G_GUINT64_FORMAT " by %" G_GUINT64_FORMAT " ms", message->serial,
             delay_us / MILLISECOND_US);
  message->due_us += delay_us;
}

static void
op_drop (Fleet *fleet, Input *input)
{
  FleetMessage *message = fleet_pick_datagram (fleet, read_byte (input));

  if (!message)
    return;
  fleet_log (fleet, "drop message %" G_GUINT64_FORMAT, message->serial);
  fleet_drop (fleet, message);
}

static void
op_stop (Fleet *fleet, Input *input)
{
  uint32_t       index = read_byte (input) % FLEET_INSTANCES;
  FleetInstance *instance = &fleet->instances[index];

  if (!instance->running || instance->paused || instance->draining || instance->lifecycle != WC_LIFECYCLE_SERVING ||
      fleet_count_serving (fleet, instance->domain) < 2)
    return;
  fleet_log (fleet, "stop %s", instance->name);
  fleet_instance_stop (fleet, index);
}

static void
op_start (Fleet *fleet, Input *input)
{
  uint32_t index = read_byte (input) % FLEET_INSTANCES;

  if (fleet->instances[index].running)
    return;
  fleet_log (fleet, "start entry-%u", index);
  fleet_instance_start (fleet, index);
}

static void
op_kill (Fleet *fleet, Input *input)
{
  uint32_t index = read_byte (input) % FLEET_INSTANCES;

  if (!fleet->instances[index].running)
    return;
  fleet_log (fleet, "kill entry-%u", index);
  fleet_instance_kill (fleet, index);
}

static void
op_pause (Fleet *fleet, Input *input)
{
  uint32_t index = read_byte (input) % FLEET_INSTANCES;

  if (!fleet->instances[index].running || fleet->instances[index].paused)
    return;
  fleet_log (fleet, "pause entry-%u", index);
  fleet_instance_pause (fleet, index);
}

static void
op_resume (Fleet *fleet, Input *input)
{
  uint32_t start = read_byte (input);

  for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
    {
      uint32_t index = (start + i) % FLEET_INSTANCES;

      if (!fleet->instances[index].running || !fleet->instances[index].paused)
        continue;
      fleet_log (fleet, "resume entry-%u", index);
      fleet_instance_resume (fleet, index);
      return;
    }
}

static void
op_clock_jump (Fleet *fleet, Input *input)
{
  uint32_t index = read_byte (input) % FLEET_INSTANCES;
  uint64_t jump_us = (uint64_t)read_byte (input) * 100 * MILLISECOND_US;

  fleet_log (fleet, "advance the clock of entry-%u by %" G_GUINT64_FORMAT " ms", index, jump_us / MILLISECOND_US);
  fleet->instances[index].offset_us += jump_us;
}

static void
op_partition (Fleet *fleet, Input *input)
{
  uint8_t  choice = read_byte (input);
  uint32_t a = choice % FLEET_DOMAINS;
  uint32_t b = (a + 1 + choice / FLEET_DOMAINS % FLEET_DOMAINS) % (FLEET_DOMAINS + 1);

  fleet_log (fleet, "partition domain %u from %u", a, b);
  fleet_set_partition (fleet, a, b, true);
}

static void
op_heal (Fleet *fleet, Input *input)
{
  uint8_t  choice = read_byte (input);
  uint32_t a = choice % FLEET_DOMAINS;

  fleet_log (fleet, "heal the partitions of domain %u", a);
  for (uint32_t b = 0; b <= FLEET_DOMAINS; b++)
    fleet_set_partition (fleet, a, b, false);
}

static void
op_platform (Fleet *fleet, Input *input)
{
  uint8_t  choice = read_byte (input);
  bool     down = choice % 4 == 0;
  bool     stale = choice % 4 == 1;
  uint32_t versions_behind = choice / 4 % 4;

  fleet_log (fleet, "platform %s", down ? "down" : stale ? "stale" : "up");
  fleet_platform_set (fleet, down, stale, versions_behind);
}

static bool
host_can_leave (const Fleet *fleet, uint32_t host)
{
  for (uint32_t i = 0; i < FLEET_HOSTS; i++)
    if (i != host && fleet->hosts[i].domain == fleet->hosts[host].domain &&
        fleet->hosts[i].service == fleet->hosts[host].service && !(fleet->leaving >> i & 1))
      return true;
  return false;
}

static void
op_leaving (Fleet *fleet, Input *input)
{
  uint32_t host = read_byte (input) % FLEET_HOSTS;

  if (fleet->strict && !host_can_leave (fleet, host))
    return;
  fleet->leaving ^= 1u << host;
  fleet->leaving_since_us[host] = fleet->now_us;
  fleet_log (fleet, "host %u %s, revision %" G_GUINT64_FORMAT, host,
             fleet->leaving >> host & 1 ? "leaves" : "no longer leaves", fleet->revision + 1);
  publish_revision (fleet, false);
}

static void
op_weight (Fleet *fleet, Input *input)
{
  uint32_t host = read_byte (input) % FLEET_HOSTS;

  fleet->weights[host] = 50 + read_byte (input) % 4 * 50;
  fleet_log (fleet, "host %u gets weight %u, revision %" G_GUINT64_FORMAT, host, fleet->weights[host],
             fleet->revision + 1);
  publish_revision (fleet, false);
}

static void
op_move (Fleet *fleet, Input *input)
{
  uint32_t host = read_byte (input) % FLEET_HOSTS;
  uint32_t service = (fleet->hosts[host].service + 1) % FLEET_SERVICES;

  if (!host_can_leave (fleet, host))
    return;
  if (fleet->strict && (!(fleet->leaving >> host & 1) || fleet->hosts[host].running > 0 ||
                        fleet->now_us < fleet->leaving_since_us[host] + LEAVING_BEFORE_MOVE_US))
    return;
  fleet_log (fleet, "host %u moves to service %u, revision %" G_GUINT64_FORMAT, host, service, fleet->revision + 1);
  fleet_host_move (fleet, host, service);
  fleet->leaving &= ~(1u << host);
  publish_revision (fleet, false);
}

static void
op_rotate_keys (Fleet *fleet, Input *input)
{
  bool remove = read_byte (input) % 2 == 0 && fleet->first_epoch < fleet->last_epoch;

  if (remove && fleet->strict && fleet->now_us < fleet->epoch_us + KEY_OVERLAP_US)
    return;
  if (remove)
    fleet->first_epoch++;
  else
    {
      fleet->last_epoch++;
      fleet->epoch_us = fleet->now_us;
    }
  fleet_log (fleet, "keys of epochs %u to %u, revision %" G_GUINT64_FORMAT, fleet->first_epoch, fleet->last_epoch,
             fleet->revision + 1);
  publish_revision (fleet, false);
}

static void
op_malformed_register (Fleet *fleet, Input *input)
{
  (void)input;
  fleet_log (fleet, "malformed register, revision %" G_GUINT64_FORMAT, fleet->revision + 1);
  publish_revision (fleet, true);
}

/* Two operators publish different registers under one revision number. */
static void
op_conflicting_revisions (Fleet *fleet, Input *input)
{
  uint32_t host = read_byte (input) % FLEET_HOSTS;
  uint64_t gap_us = read_byte (input) % 8 * FLEET_STEP_US;

  fleet_log (fleet, "two different registers of revision %" G_GUINT64_FORMAT, fleet->revision + 1);
  fleet->weights[host] = 50;
  publish_revision (fleet, false);
  fleet_run (fleet, gap_us);
  fleet->weights[host] = 150;
  fleet_publish (fleet, false);
}

static void
op_host_mode (Fleet *fleet, Input *input)
{
  uint32_t host = read_byte (input) % FLEET_HOSTS;

  fleet->hosts[host].mode = read_byte (input) % FLEET_HOST_MODE_COUNT;
  fleet_log (fleet, "host %u: mode %d", host, fleet->hosts[host].mode);
}
