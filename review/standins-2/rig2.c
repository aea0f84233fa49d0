/*
 * Stand-ins of the second review: the platform's store (the project's own emulation), hosts, consumers and the routers,
 * in one process, around real instances that are started as the deploy file says. A case is a scenario of this program.
 *
 * Usage: rig2 SCENARIO TROUBLE PROGRAM RECORD
 * Exit status: 0 when the rule held, 1 when it was broken, 2 when the case could not run.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>
#include <sodium.h>

#include "edge/clock.h"
#include "edge/log.h"
#include "edge/platform_client.h"
#include "edge/socket_address.h"
#include "emulator/emulated_store.h"
#include "emulator/flow_wire.h"
#include "forward/flow_table.h"
#include "packet_wire.h"

#include "rig2.h"

enum
{
  DATAGRAM_BYTES = 2048,
  HOST_ID_BYTES = 8,
  PROBE_TIMEOUT_US = 400 * 1000,
  PROBE_INTERVAL_US = 500 * 1000,
  /* Interval at which a host writes its entry (heartbeat-ms of the site). */
  PING_US = 770 * 1000,
  RESEND_MIN_US = 200 * 1000,
  RESEND_MAX_US = 1600 * 1000,
  RESENDS_MAX = 8,
  OPENING_LIMIT_US = 1400 * 1000,
  START_LIMIT_US = 10 * 1000 * 1000,
  RESTART_US = 300 * 1000,
  /* Time limit of a request, and the part of a response that each packet carries. */
  REQUEST_LIMIT_US = 2000 * 1000,
  /* An answer of 2,000 bytes takes two packets. */
  PACKET_BYTES = 1200
};

static const double TICK_S = 0.002;

Rig rig;

static void tick (struct ev_loop *loop, ev_timer *watcher, int events);
static bool setup (void);
static void start_instance (Instance *instance);
static void write_settings (Instance *instance);
static void probe_done (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version,
                        const char *body, size_t size_bytes);
static void host_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void caller_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void host_tick (Host *host);
static void user_tick (User *user);
static void finish (int status);

/* ---- helpers ---- */

uint64_t
rig_now_ms (void)
{
  return (rig.now_us - rig.start_us) / 1000;
}

void
rig_record (const char *format, ...)
{
  va_list arguments;

  fprintf (rig.record, "%7.3f ", (double)(rig.now_us - rig.start_us) / 1e6);
  va_start (arguments, format);
  vfprintf (rig.record, format, arguments);
  va_end (arguments);
  fputc ('\n', rig.record);
}

void
rig_broken (const char *format, ...)
{
  va_list arguments;

  rig.broken++;
  fprintf (rig.record, "%7.3f BROKEN ", (double)(rig.now_us - rig.start_us) / 1e6);
  va_start (arguments, format);
  vfprintf (rig.record, format, arguments);
  va_end (arguments);
  fputc ('\n', rig.record);
}

double
rig_random (double low, double high)
{
  return g_rand_double_range (rig.random, low, high);
}

static WcAddress
make_address (int subnet, int number, int port)
{
  return (
      WcAddress){ .ip = { 127, rig.net, (uint8_t)subnet, (uint8_t)(number + 1) }, .family = 4, .port = (uint16_t)port };
}

static uint32_t
to_ip (const WcAddress *address)
{
  return (uint32_t)address->ip[0] << 24 | (uint32_t)address->ip[1] << 16 | (uint32_t)address->ip[2] << 8 |
         address->ip[3];
}

static void
send_to (int fd, const WcAddress *address, const void *data, size_t size)
{
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (address, &storage);

  (void)sendto (fd, data, size, 0, (struct sockaddr *)&storage, length);
}

static bool
is_lost (void)
{
  return rig.loss > 0 && rig_random (0, 1) < rig.loss;
}

/* ---- instances and routers ---- */

static void
write_settings (Instance *instance)
{
  WcAddress store;
  WcAddress all[5 + SEEDS];
  char      text[G_N_ELEMENTS (all)][WC_ADDRESS_TEXT_BYTES];
  char     *settings;
  int       n = instance->number;

  wc_emulated_store_get_address (rig.store, &store);
  all[0] = instance->packets;
  all[1] = make_address (NET_INSTANCES, n, rig.port + 1);
  all[2] = make_address (NET_INSTANCES, n, rig.port + 2);
  all[3] = make_address (NET_INSTANCES, n, rig.port + 3);
  all[4] = store;
  for (int i = 0; i < SEEDS; i++)
    all[5 + i] = make_address (NET_INSTANCES, rig.seeds[i], rig.port + 2);
  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    wc_address_format (&all[i], text[i]);
  /* The fields of deploy/settings.json. */
  settings = g_strdup_printf (
      "{\"data_path\": \"packets\", \"instance\": \"frontend-%s-%d\", \"domain\": \"%s\",\n"
      " \"packets\": \"%s\", \"ready\": \"%s\", \"peers\": \"%s\", \"operators\": \"%s\", \"store\": \"%s\",\n"
      " \"seeds\": [\"%s\", \"%s\", \"%s\"], \"flow_life_s\": 60, \"stop_limit_s\": 6,\n"
      " \"contracts\": [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"flows\", \"platform\"]}\n",
      ZONES[instance->zone], n, ZONES[instance->zone], text[0], text[1], text[2], text[3], text[4], text[5], text[6],
      text[7]);
  g_file_set_contents (instance->settings, settings, -1, NULL);
  g_free (settings);
}

void
rig_change_seeds (Instance *instance, const int seeds[SEEDS])
{
  int previous[SEEDS];

  memcpy (previous, rig.seeds, sizeof previous);
  memcpy (rig.seeds, seeds, sizeof previous);
  write_settings (instance);
  memcpy (rig.seeds, previous, sizeof previous);
  rig_record ("the settings file of instance %d names the seeds %d, %d and %d", instance->number, seeds[0], seeds[1],
              seeds[2]);
}

static void
start_instance (Instance *instance)
{
  char *log = g_strdup_printf ("%s/instance-%d.log", rig.directory, instance->number);

  write_settings (instance);
  instance->restart_us = 0;
  instance->started_us = rig.now_us;
  instance->pid = fork ();
  if (instance->pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      setenv ("WIGEONCART_NODE_FILE", instance->settings, 1);
      execl (rig.program, rig.program, "serve", "--settings", instance->settings, (char *)NULL);
      _exit (127);
    }
  rig_record ("instance %d of %s started, process %d", instance->number, ZONES[instance->zone], (int)instance->pid);
  g_free (log);
}

void
rig_signal (Instance *instance, int number)
{
  if (instance->pid <= 0)
    return;
  rig_record ("signal %d to instance %d", number, instance->number);
  instance->fault_us = rig.now_us;
  if (number == SIGTERM || number == SIGKILL)
    instance->asked_to_end = true;
  kill (instance->pid, number);
}

static void
probe_done (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body,
            size_t size_bytes)
{
  Instance *instance = user_data;

  (void)read;
  (void)version;
  (void)body;
  (void)size_bytes;
  instance->misses = result == WC_PLATFORM_RESULT_OK ? 0 : instance->misses + 1;
  if (instance->misses == 0 && !instance->in_rotation)
    rig_record ("instance %d is in rotation", instance->number);
  if (instance->misses >= 2 && instance->in_rotation)
    rig_record ("instance %d is out of rotation", instance->number);
  if (instance->misses == 0)
    instance->in_rotation = true;
  else if (instance->misses >= 2)
    instance->in_rotation = false;
}

static void
instance_tick (Instance *instance)
{
  int status;

  if (instance->pid > 0 && waitpid (instance->pid, &status, WNOHANG) == instance->pid)
    {
      rig_record ("instance %d ended, wait status %d%s", instance->number, status,
                  instance->asked_to_end ? "" : ", by itself");
      if (!instance->asked_to_end)
        rig.own_ends++;
      instance->asked_to_end = false;
      instance->pid = 0;
      instance->fault_us = rig.now_us;
      if (instance->restart_us == 0)
        instance->restart_us = rig.now_us + RESTART_US;
    }
  if (instance->pid == 0 && instance->restart_us > 0 && rig.now_us >= instance->restart_us)
    start_instance (instance);
  if (rig.now_us >= instance->probe_us)
    {
      instance->probe_us = rig.now_us + PROBE_INTERVAL_US;
      wc_platform_client_get (instance->probe, WC_PLATFORM_READ_STORE_ITEMS, "/v1/ready", 0);
    }
}

bool
rig_in_touch (const Instance *instance)
{
  return instance->pid > 0 && !instance->asked_to_end && rig.now_us >= instance->fault_us + STABLE_US &&
         rig.now_us >= instance->started_us + STABLE_US;
}

/* Steady hash over the nodes of the zone that are in rotation; all of them if fewer than half are. */
static Instance *
route (const WcFlowKey *key, int zone)
{
  Instance *best = NULL;
  uint64_t  best_weight = 0;
  int       usable = 0;
  int       total = 0;

  for (int i = 0; i < rig.instance_count; i++)
    if (rig.instances[i].zone == zone)
      {
        total++;
        usable += rig.instances[i].in_rotation;
      }
  for (int i = 0; i < rig.instance_count; i++)
    {
      Instance       *instance = &rig.instances[i];
      const WcFlowKey mixed = { key->caller_ip + (uint32_t)i * 7919, key->route_ip, key->caller_port, key->route_port };
      uint64_t        weight = wc_flow_key_hash (&mixed);

      if (instance->zone != zone || (!instance->in_rotation && usable * 2 >= total && usable > 0))
        continue;
      if (!best || weight > best_weight)
        {
          best = instance;
          best_weight = weight;
        }
    }
  return best;
}

/* ---- hosts ---- */

char *
rig_host_entry (const Host *host, const char *state)
{
  char address[WC_ADDRESS_TEXT_BYTES];

  return g_strdup_printf ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":2,"
                          "\"state\":\"%s\",\"warmup-left-ms\":0,\"seq\":%" G_GUINT64_FORMAT
                          ",\"born\":%" G_GUINT64_FORMAT "}",
                          SERVICES[host->service], wc_address_format (&host->address, address), ZONES[host->zone],
                          state, host->seq, host->born_ms);
}

char *
rig_host_key (const Host *host)
{
  return g_strdup_printf ("servers/i-%08" G_GINT64_MODIFIER "x", host->id);
}

/* The store changes an entry when more than its seq changes. */
void
rig_host_publish (Host *host)
{
  const char *state = host->draining_us > 0 ? "draining" : "ready";
  char       *key = rig_host_key (host);
  char       *value;

  host->seq++;
  if (!host->overwritten && host->published_state == state)
    {
      g_free (key);
      return;
    }
  value = rig_host_entry (host, state);
  wc_emulated_store_put (rig.store, key, value, strlen (value));
  rig_record ("host %d writes %s %s", host->number, key, value);
  host->overwritten = false;
  host->published_state = state;
  g_free (value);
  g_free (key);
}

void
rig_write_foreign (Host *host, const char *value)
{
  char *key = rig_host_key (host);

  rig_record ("another writer writes %s %s", key, value);
  wc_emulated_store_put (rig.store, key, value, strlen (value));
  host->overwritten = true;
  host->foreign_us = rig.now_us;
  g_free (key);
}

static void
host_send (Host *host, const HostFlow *flow, uint8_t flags, uint32_t sequence, const char *data, size_t size)
{
  const WcPacket packet = {
    .key = { flow->key.route_ip, flow->key.caller_ip, flow->key.route_port, flow->key.caller_port },
    .cookie = flow->cookie,
    .sequence = sequence,
    .acknowledged = flow->expected,
    .data_bytes = (uint16_t)size,
    .flags = flags,
  };
  uint8_t   out[WC_FLOW_WIRE_MAX_BYTES];
  size_t    length = wc_flow_wire_write (&packet, data, out);
  WcAddress caller = { .family = 4, .port = (uint16_t)rig.port };

  if (is_lost ())
    return;
  for (int i = 0; i < 4; i++)
    caller.ip[i] = (uint8_t)(flow->key.caller_ip >> (24 - 8 * i));
  send_to (host->fd, &caller, out, length);
}

static void
host_answer_opening (Host *host, HostFlow *flow)
{
  host_send (host, flow, WC_PACKET_SYN | WC_PACKET_ACK, flow->iss, NULL, 0);
  flow->resend_us = !flow->is_open && flow->resends < RESENDS_MAX
                        ? rig.now_us + MIN ((uint64_t)RESEND_MIN_US << flow->resends, RESEND_MAX_US)
                        : 0;
  flow->resends++;
}

/* Sends what the consumer has not acknowledged of the answer. */
static void
host_send_answer (Host *host, HostFlow *flow)
{
  uint32_t sent = flow->answer_acked;

  while (sent < ANSWER_BYTES)
    {
      uint32_t size = MIN (ANSWER_BYTES - sent, PACKET_BYTES);
      bool     is_last = sent + size == ANSWER_BYTES;

      host_send (host, flow, WC_PACKET_ACK | (is_last && host->draining_us > 0 ? WC_PACKET_FIN : 0),
                 flow->answer_start + sent, flow->answer + sent, size);
      sent += size;
    }
  flow->answer_resend_us = flow->answer_resends < RESENDS_MAX
                               ? rig.now_us + MIN ((uint64_t)RESEND_MIN_US << flow->answer_resends, RESEND_MAX_US)
                               : 0;
  flow->answer_resends++;
}

/* The answer names the host and its service, so that a consumer can tell whose answer it is. */
static void
host_respond (Host *host, HostFlow *flow)
{
  memset (flow->answer, '.', sizeof flow->answer);
  (void)g_snprintf (flow->answer, sizeof flow->answer,
                    "HTTP/1.1 200 OK\r\nX-Host: %d\r\nX-Service: %s\r\nX-Answers: %016" G_GINT64_MODIFIER "x\r\n\r\n",
                    host->number, SERVICES[host->service], flow->request_id);
  flow->due_us = 0;
  flow->answer_start = flow->next;
  flow->answer_acked = 0;
  flow->answer_resends = 0;
  flow->next += ANSWER_BYTES;
  host_send_answer (host, flow);
}

static void
host_receive (Host *host, Instance *instance, const WcPacket *packet)
{
  HostFlow *flow = g_hash_table_lookup (host->flows, &packet->key);

  if (packet->flags & WC_PACKET_SYN)
    {
      if (rig.opening_taken)
        rig.opening_taken (host, instance, packet);
      host->openings++;
      if (!flow)
        {
          flow = g_new0 (HostFlow, 1);
          flow->key = packet->key;
          flow->iss = g_rand_int (rig.random);
          flow->next = flow->iss + 1;
          flow->expected = packet->sequence + 1;
          g_hash_table_insert (host->flows, &flow->key, flow);
        }
      flow->cookie = packet->cookie;
      flow->resends = 0;
      if (rig.opening_delay_us && !flow->is_open && rig.opening_delay_us (host) > 0)
        flow->resend_us = rig.now_us + rig.opening_delay_us (host);
      else
        host_answer_opening (host, flow);
      return;
    }
  if (packet->flags & WC_PACKET_RST)
    {
      g_hash_table_remove (host->flows, &packet->key);
      return;
    }
  if (!flow || (!flow->is_open && packet->acknowledged != flow->iss + 1))
    {
      const HostFlow unknown = { .key = packet->key, .cookie = packet->cookie };

      rig_record ("host %d resets a flow that it does not hold: caller port %u, from instance %d", host->number,
                  packet->key.caller_port, instance ? instance->number : -1);
      host_send (host, &unknown, WC_PACKET_RST, packet->acknowledged, NULL, 0);
      return;
    }
  flow->cookie = packet->cookie;
  flow->is_open = true;
  flow->resend_us = 0;
  if (flow->answer_resend_us > 0 && (int32_t)(packet->acknowledged - flow->answer_start) > 0)
    {
      flow->answer_acked = MIN (packet->acknowledged - flow->answer_start, ANSWER_BYTES);
      if (flow->answer_acked == ANSWER_BYTES)
        flow->answer_resend_us = 0;
    }
  if (packet->data_bytes > 0 && packet->sequence == flow->expected && flow->due_us == 0)
    {
      flow->expected += packet->data_bytes;
      flow->request_id = packet->request_id;
      flow->due_us = rig.now_us + (uint64_t)(rig_random (rig.work_ms * 0.5, rig.work_ms * 1.5) * 1000);
      host->runs++;
      rig_record ("%" G_GINT64_MODIFIER "x run by host %d of %s", packet->request_id, host->number,
                  SERVICES[host->service]);
      if (rig.request_run)
        rig.request_run (host, instance, packet);
    }
  else if (packet->data_bytes > 0 && flow->due_us == 0 && packet->sequence + packet->data_bytes == flow->expected)
    host_send (host, flow, WC_PACKET_ACK, flow->next, NULL, 0);
  if (packet->flags & WC_PACKET_FIN)
    {
      flow->expected++;
      host_send (host, flow, WC_PACKET_ACK | WC_PACKET_FIN, flow->next, NULL, 0);
      g_hash_table_remove (host->flows, &packet->key);
    }
}

static void
host_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Host                   *host = watcher->data;
  uint8_t                 data[DATAGRAM_BYTES];
  struct sockaddr_storage from;
  socklen_t               length = sizeof from;
  ssize_t                 size;
  WcAddress               source;
  WcPacket                packet;

  (void)loop;
  (void)events;
  rig.now_us = wc_clock_monotonic_us ();
  while (length = sizeof from,
         (size = recvfrom (host->fd, data, sizeof data, MSG_DONTWAIT, (struct sockaddr *)&from, &length)) >= 0)
    {
      uint64_t  id = 0;
      Instance *instance = NULL;

      if (size < HOST_ID_BYTES || !wc_socket_address_from_sockaddr (&from, &source) || host->is_down || is_lost ())
        continue;
      for (int i = 0; i < rig.instance_count; i++)
        if (wc_address_equal (&rig.instances[i].packets, &source))
          instance = &rig.instances[i];
      for (int i = 0; i < HOST_ID_BYTES; i++)
        id = id << 8 | data[i];
      if ((id != 0 && id != host->id) ||
          !wc_flow_wire_has_valid_checksum (data + HOST_ID_BYTES, (size_t)size - HOST_ID_BYTES) ||
          !wc_packet_wire_decode (data + HOST_ID_BYTES, (size_t)size - HOST_ID_BYTES, &packet))
        {
          host->ignored++;
          continue;
        }
      host_receive (host, instance, &packet);
    }
}

static void
host_tick (Host *host)
{
  GHashTableIter iter;
  gpointer       value;

  if (host->is_down)
    return;
  if (rig.now_us >= host->ping_us)
    {
      host->ping_us = rig.now_us + PING_US;
      rig_host_publish (host);
    }
  g_hash_table_iter_init (&iter, host->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HostFlow *flow = value;

      if (flow->due_us > 0 && rig.now_us >= flow->due_us)
        host_respond (host, flow);
      if (flow->resend_us > 0 && rig.now_us >= flow->resend_us)
        host_answer_opening (host, flow);
      if (flow->answer_resend_us > 0 && rig.now_us >= flow->answer_resend_us)
        host_send_answer (host, flow);
    }
}

/* ---- consumers ---- */

static void
user_send (User *user, uint8_t flags, uint32_t sequence, uint32_t acknowledged, const char *data, size_t size)
{
  const WcPacket packet = {
    .key = user->key,
    .cookie = flags & WC_PACKET_SYN ? 0 : user->cookie,
    .sequence = sequence,
    .acknowledged = acknowledged,
    .data_bytes = (uint16_t)size,
    .flags = flags,
  };
  uint8_t   out[WC_FLOW_WIRE_MAX_BYTES];
  size_t    length = wc_flow_wire_write (&packet, data, out);
  Instance *instance = route (&user->key, user->caller->zone);

  user->through = instance;
  if (!instance || is_lost ())
    return;
  send_to (user->caller->fd, &instance->packets, out, length);
}

static void
user_send_request (User *user)
{
  char text[200];
  int  size = g_snprintf (text, sizeof text,
                          "GET /%u HTTP/1.1\r\nHost: r\r\nX-Wigeoncart-Request-Id: %016" G_GINT64_MODIFIER "x\r\n\r\n",
                          user->key.route_port, user->request_id);

  user->request_bytes = (uint32_t)size;
  user_send (user, WC_PACKET_ACK, user->sequence, user->acknowledged, text, (size_t)size);
}

static void
user_end_flow (User *user)
{
  user->state = USER_IDLE;
  user->host = NULL;
  user->due_us = rig.now_us + (uint64_t)(rig_random (user->pause_ms * 0.5, user->pause_ms * 1.5) * 1000);
}

static void
user_request_done (User *user, const char *outcome)
{
  rig_record ("%" G_GINT64_MODIFIER "x %s port %u sent %.3f: %s", user->request_id, SERVICES[user->service],
              user->key.caller_port, (double)(user->started_us - rig.start_us) / 1e6, outcome);
  user->request_id = 0;
  user->requests_left--;
  if (user->requests_left > 0)
    {
      user->due_us = rig.now_us + (uint64_t)(rig_random (user->pause_ms * 0.5, user->pause_ms * 1.5) * 1000);
      return;
    }
  user_send (user, WC_PACKET_ACK | WC_PACKET_FIN, user->sequence, user->acknowledged, NULL, 0);
  user_end_flow (user);
}

static void
user_failed (User *user, const char *reason)
{
  rig.failed++;
  if (user->request_id != 0)
    rig_record ("%" G_GINT64_MODIFIER "x %s port %u sent %.3f: failed, %s", user->request_id, SERVICES[user->service],
                user->key.caller_port, (double)(user->started_us - rig.start_us) / 1e6, reason);
  else
    rig_record ("flow of caller port %u: failed, %s", user->key.caller_port, reason);
  user->request_id = 0;
  user_end_flow (user);
}

static void
user_start_flow (User *user)
{
  user->key.caller_port = ++user->caller->next_port;
  if (user->caller->next_port > 60000)
    user->caller->next_port = 2000;
  user->key.route_port = (uint16_t)(ROUTE_PORT + user->service);
  user->state = USER_OPENING;
  user->sequence = g_rand_int (rig.random);
  user->copies = 0;
  user->received = 0;
  user->cookie = 0;
  user->host = NULL;
  user->requests_left = user->requests;
  user->started_us = rig.now_us;
  user->request_id = ++rig.next_request;
  rig.sent++;
  user_send (user, WC_PACKET_SYN, user->sequence, 0, NULL, 0);
}

static void
user_tick (User *user)
{
  static const uint64_t copies_us[] = { 200 * 1000, 600 * 1000 };

  switch (user->state)
    {
    case USER_IDLE:
      if (rig.traffic && rig.now_us >= user->due_us)
        user_start_flow (user);
      break;
    case USER_OPENING:
      if (rig.now_us >= user->started_us + OPENING_LIMIT_US)
        user_failed (user, "no answer to the opening");
      else if (user->copies < G_N_ELEMENTS (copies_us) && rig.now_us >= user->started_us + copies_us[user->copies])
        {
          user->copies++;
          user_send (user, WC_PACKET_SYN, user->sequence, user->copies, NULL, 0);
        }
      break;
    case USER_OPEN:
      if (user->request_id == 0 && rig.now_us >= user->due_us)
        {
          user->request_id = ++rig.next_request;
          rig.sent++;
          user->started_us = rig.now_us;
          user->resend_us = rig.now_us + RESEND_MIN_US;
          user->resends = 0;
          user_send_request (user);
        }
      else if (user->request_id != 0 && rig.now_us >= user->started_us + REQUEST_LIMIT_US)
        user_failed (user, "no answer in time");
      else if (user->request_id != 0 && rig.now_us >= user->resend_us)
        {
          user->resends++;
          user->resend_us = rig.now_us + MIN ((uint64_t)RESEND_MIN_US << user->resends, RESEND_MAX_US);
          user_send_request (user);
        }
      break;
    }
}

static Host *
find_host (const WcAddress *address)
{
  for (int i = 0; i < rig.host_count; i++)
    if (wc_address_equal (&rig.hosts[i].address, address))
      return &rig.hosts[i];
  return NULL;
}

static void
user_receive_reset (User *user, const WcPacket *packet, Host *host, Instance *instance)
{
  int32_t distance = (int32_t)(packet->sequence - user->acknowledged);
  bool    in_window = user->state == USER_OPENING || (distance <= RESET_WINDOW && distance >= -RESET_WINDOW);

  rig_record ("caller port %u gets a reset from %s %d, flow %s%s", user->key.caller_port, host ? "host" : "instance",
              host       ? host->number
              : instance ? instance->number
                         : -1,
              user->state == USER_OPEN ? "open" : "not open", in_window ? "" : ", outside of the window");
  if (!in_window)
    return;
  if (user->state == USER_OPEN && rig.reset_received)
    rig.reset_received (user, host, instance);
  user_failed (user, "reset");
}

static void
user_receive (User *user, const uint8_t *data, size_t size, const WcPacket *packet, const WcAddress *source)
{
  Host       *host = find_host (source);
  Instance   *instance = NULL;
  const char *service;

  for (int i = 0; i < rig.instance_count; i++)
    if (wc_address_equal (&rig.instances[i].packets, source))
      instance = &rig.instances[i];
  if (packet->flags & WC_PACKET_RST)
    {
      user_receive_reset (user, packet, host, instance);
      return;
    }
  if (!host)
    return;
  user->cookie = packet->cookie;
  if (packet->flags & WC_PACKET_SYN)
    {
      if (user->state != USER_OPENING)
        return;
      user->state = USER_OPEN;
      user->opened_us = rig.now_us;
      user->host = host;
      user->sequence++;
      user->acknowledged = packet->sequence + 1;
      user->resend_us = rig.now_us + RESEND_MIN_US;
      user->resends = 0;
      user_send_request (user);
      return;
    }
  if (user->state != USER_OPEN || host != user->host)
    return;
  if (packet->data_bytes == 0 || packet->sequence != user->acknowledged)
    {
      if (packet->data_bytes > 0)
        user_send (user, WC_PACKET_ACK, user->sequence, user->acknowledged, NULL, 0);
      return;
    }
  user->acknowledged += packet->data_bytes;
  if (user->request_id == 0)
    return;
  if (user->received == 0)
    {
      service = memmem (data, size, "X-Service: ", 11);
      user->is_foreign =
          service && strncmp (service + 11, SERVICES[user->service], strlen (SERVICES[user->service])) != 0;
    }
  user->received += packet->data_bytes;
  if (user->received < ANSWER_BYTES)
    return;
  user->received = 0;
  user->sequence += user->request_bytes;
  user_send (user, WC_PACKET_ACK, user->sequence, user->acknowledged, NULL, 0);
  rig.answered++;
  if (user->is_foreign)
    rig.foreign_answers++;
  if (packet->flags & WC_PACKET_FIN)
    user->requests_left = 1;
  user_request_done (user, user->is_foreign ? "answered with success by a host of ANOTHER SERVICE" : "answered");
}

static void
caller_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Caller                 *caller = watcher->data;
  uint8_t                 data[DATAGRAM_BYTES];
  struct sockaddr_storage from;
  socklen_t               length = sizeof from;
  ssize_t                 size;

  (void)loop;
  (void)events;
  rig.now_us = wc_clock_monotonic_us ();
  while (length = sizeof from,
         (size = recvfrom (caller->fd, data, sizeof data, MSG_DONTWAIT, (struct sockaddr *)&from, &length)) >= 0)
    {
      WcAddress source;
      WcPacket  packet;

      if (!wc_socket_address_from_sockaddr (&from, &source) || !wc_packet_wire_decode (data, (size_t)size, &packet))
        continue;
      for (int i = 0; i < caller->user_count; i++)
        if (caller->users[i].key.caller_port == packet.key.route_port && caller->users[i].state != USER_IDLE)
          user_receive (&caller->users[i], data, (size_t)size, &packet, &source);
    }
}

/* ---- set-up ---- */

void
rig_add_instance (int zone)
{
  Instance *instance = &rig.instances[rig.instance_count];

  instance->number = rig.instance_count++;
  instance->zone = zone;
}

Host *
rig_add_host (int service, int zone)
{
  Host *host = &rig.hosts[rig.host_count];

  host->number = rig.host_count++;
  host->service = service;
  host->zone = zone;
  host->id = 0x10000000u + (uint64_t)g_rand_int_range (rig.random, 0, 0x7fffffff);
  return host;
}

void
rig_add_users (int zone, int service, int count, int requests, double pause_ms)
{
  Caller *caller = &rig.callers[rig.caller_count];

  caller->number = rig.caller_count++;
  caller->zone = zone;
  caller->user_count = count;
  caller->users = g_new0 (User, (gsize)count);
  for (int i = 0; i < count; i++)
    caller->users[i] = (User){ .caller = caller, .service = service, .requests = requests, .pause_ms = pause_ms };
}

void
rig_publish_config (uint64_t version)
{
  GString *text = g_string_new (NULL);
  char     ip[32];

  (void)g_snprintf (ip, sizeof ip, "127.%u.9.1", rig.net);
  g_string_printf (text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", version);
  for (int i = 0; i < SERVICE_COUNT; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r%d\",\"host\":\"%s\",\"prefix\":\"/%d/\",\"kind\":\"%s\",\"timeout-ms\":2000,"
        "\"target-latency-ms\":150,\"priority\":2,\"service\":\"%s\",\"max-attempts\":2}",
        i > 0 ? "," : "", i, ip, ROUTE_PORT + i, rig.kinds[i] ? rig.kinds[i] : "safe", SERVICES[i]);
  g_string_append (text, "],\"services\":[");
  for (int i = 0; i < SERVICE_COUNT; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"%s\",\"health-path\":\"/health\",\"max-conns\":2000,\"protocol\":\"h1\","
                            "\"tls\":false}",
                            i > 0 ? "," : "", SERVICES[i]);
  g_string_append (text, "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
                         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
  wc_emulated_store_put (rig.store, "op/config", text->str, text->len);
  rig_record ("the operator writes op/config, version %" G_GUINT64_FORMAT, version);
  g_string_free (text, TRUE);
}

static guint
hash_key (gconstpointer key)
{
  return (guint)wc_flow_key_hash (key);
}

static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  return wc_flow_key_equal (a, b);
}

static int
open_udp (const WcAddress *address)
{
  WcError error;

  return wc_socket_open_udp (address, false, &error);
}

static bool
setup (void)
{
  WcAddress address;
  WcError   error;

  rig.net = (uint8_t)(100 + getpid () % 100);
  rig.port = 20000 + getpid () * 8 % 20000;
  address = make_address (NET_STORE, 0, 0);
  rig.store = wc_emulated_store_new (rig.loop, &address, 500, &error);
  if (!rig.store)
    return false;
  rig_publish_config (7);
  for (int i = 0; i < rig.host_count; i++)
    {
      Host *host = &rig.hosts[i];

      host->address = make_address (NET_HOSTS, i, rig.port);
      host->fd = open_udp (&host->address);
      if (host->fd < 0)
        return false;
      host->flows = g_hash_table_new_full (hash_key, equal_keys, NULL, g_free);
      host->born_ms = wc_clock_wall_us () / 1000;
      ev_io_init (&host->io, host_readable, host->fd, EV_READ);
      host->io.data = host;
      ev_io_start (rig.loop, &host->io);
      host->ping_us = rig.now_us + (uint64_t)rig_random (0, PING_US);
      rig_host_publish (host);
    }
  for (int i = 0; i < rig.caller_count; i++)
    {
      Caller *caller = &rig.callers[i];

      address = make_address (NET_CALLERS, i, rig.port);
      caller->fd = open_udp (&address);
      if (caller->fd < 0)
        return false;
      caller->next_port = 2000;
      ev_io_init (&caller->io, caller_readable, caller->fd, EV_READ);
      caller->io.data = caller;
      ev_io_start (rig.loop, &caller->io);
      for (int u = 0; u < caller->user_count; u++)
        {
          User     *user = &caller->users[u];
          WcAddress route_address = make_address (9, 0, 0);

          user->key.caller_ip = to_ip (&address);
          user->key.route_ip = to_ip (&route_address);
          user->due_us = 0;
        }
    }
  for (int i = 0; i < rig.instance_count; i++)
    {
      Instance *instance = &rig.instances[i];
      WcAddress ready = make_address (NET_INSTANCES, i, rig.port + 1);

      instance->packets = make_address (NET_INSTANCES, i, rig.port);
      instance->settings = g_strdup_printf ("%s/instance-%d.json", rig.directory, i);
      instance->probe = wc_platform_client_new (rig.loop, &ready, 1, probe_done, instance);
      wc_platform_client_set_response_timeout_us (instance->probe, PROBE_TIMEOUT_US);
      instance->probe_us = rig.now_us + (uint64_t)rig_random (0, PROBE_INTERVAL_US);
      start_instance (instance);
    }
  return true;
}

static void
finish (int status)
{
  rig.status = status;
  for (int i = 0; i < rig.instance_count; i++)
    if (rig.instances[i].pid > 0)
      {
        kill (rig.instances[i].pid, SIGCONT);
        kill (rig.instances[i].pid, SIGKILL);
        waitpid (rig.instances[i].pid, NULL, 0);
        rig.instances[i].pid = 0;
      }
  ev_break (rig.loop, EVBREAK_ALL);
}

static void
tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  bool are_ready = true;

  (void)loop;
  (void)watcher;
  (void)events;
  rig.now_us = wc_clock_monotonic_us ();
  for (int i = 0; i < rig.instance_count; i++)
    {
      instance_tick (&rig.instances[i]);
      are_ready = are_ready && rig.instances[i].in_rotation;
    }
  for (int i = 0; i < rig.host_count; i++)
    host_tick (&rig.hosts[i]);
  for (int i = 0; i < rig.caller_count; i++)
    for (int u = 0; u < rig.callers[i].user_count; u++)
      user_tick (&rig.callers[i].users[u]);
  if (rig.traffic_us == 0 && are_ready)
    {
      rig.traffic_us = rig.now_us;
      rig.traffic = true;
      rig_record ("all instances are in rotation; traffic starts");
      for (int i = 0; i < rig.caller_count; i++)
        for (int u = 0; u < rig.callers[i].user_count; u++)
          rig.callers[i].users[u].due_us =
              rig.now_us + (uint64_t)(rig_random (0, rig.callers[i].users[u].pause_ms + 1) * 1000);
    }
  else if (rig.traffic_us == 0 && rig.now_us > rig.start_us + START_LIMIT_US)
    {
      rig_record ("the instances did not become ready");
      finish (2);
      return;
    }
  if (rig.traffic_us == 0)
    return;
  rig.scenario->step ((double)(rig.now_us - rig.traffic_us) / 1e6);
  if (rig.now_us > rig.traffic_us + (uint64_t)(rig.scenario->length_s * 1e6))
    finish (rig.broken > 0 ? 1 : 0);
}

int
main (int argc, char **argv)
{
  char     directory[] = "/tmp/review-2-XXXXXX";
  ev_timer timer;

  if (argc != 5 || sodium_init () < 0)
    {
      fprintf (stderr, "usage: rig2 SCENARIO TROUBLE PROGRAM RECORD\n");
      return 2;
    }
  for (size_t i = 0; SCENARIOS[i].name; i++)
    if (strcmp (SCENARIOS[i].name, argv[1]) == 0)
      rig.scenario = &SCENARIOS[i];
  rig.trouble = strcmp (argv[2], "0") != 0;
  rig.program = argv[3];
  rig.record = fopen (argv[4], "w");
  if (!rig.scenario || !rig.record || access (rig.program, X_OK) != 0 || !mkdtemp (directory))
    {
      fprintf (stderr, "rig2: unknown scenario, no program, or no record\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  /* Missed probes are recorded by the rig itself. */
  wc_log_set_level (WC_LOG_ERROR);
  rig.directory = directory;
  /* Not the default loop, which would collect the ended children itself. */
  rig.loop = ev_loop_new (0);
  rig.random = g_rand_new ();
  rig.work_ms = 20;
  rig.now_us = rig.start_us = wc_clock_monotonic_us ();
  rig.scenario->setup ();
  if (!setup ())
    {
      rig_record ("the stand-ins could not be started");
      finish (2);
    }
  else
    {
      ev_timer_init (&timer, tick, TICK_S, TICK_S);
      ev_timer_start (rig.loop, &timer);
      ev_run (rig.loop, 0);
    }
  rig_record ("sent %" G_GUINT64_FORMAT ", answered %" G_GUINT64_FORMAT ", failed %" G_GUINT64_FORMAT
              ", answered by another service %" G_GUINT64_FORMAT ", ends of own %d, rule broken %d times",
              rig.sent, rig.answered, rig.failed, rig.foreign_answers, rig.own_ends, rig.broken);
  fclose (rig.record);
  printf ("rig2 %s: sent %" G_GUINT64_FORMAT ", answered %" G_GUINT64_FORMAT ", failed %" G_GUINT64_FORMAT
          ", broken %d, status %d\n",
          argv[1], rig.sent, rig.answered, rig.failed, rig.broken, rig.status);
  for (int i = 0; i < rig.instance_count; i++)
    {
      char *log = g_strdup_printf ("%s/instance-%d.log", directory, i);

      if (!g_getenv ("KEEP_LOGS"))
        {
          (void)unlink (log);
          if (rig.instances[i].settings)
            (void)unlink (rig.instances[i].settings);
        }
      g_free (log);
    }
  if (!g_getenv ("KEEP_LOGS"))
    (void)rmdir (directory);
  else
    printf ("logs: %s\n", directory);
  return rig.status;
}
