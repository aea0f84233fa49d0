/*
 * A small deployment for the scripts of review/: a store, a router, hosts and callers as stand-ins on loopback
 * addresses, and instances of wigeoncart as processes. It checks the rule FLOW from what callers and hosts see.
 *
 * Usage: rig SCENARIO BINARY DIRECTORY TROUBLE; exit status 1: the rule was broken, 0: it held, 2: the case did not
 * run.
 */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>
#include <sodium.h>

#include "core/mix.h"
#include "edge/clock.h"
#include "edge/platform_client.h"
#include "edge/socket_address.h"
#include "emulator/emulated_store.h"
#include "emulator/flow_wire.h"
#include "packet_wire.h"

enum
{
  INSTANCES = 3,
  HOSTS = 14,
  CALLERS = 8,
  SLOTS = 2,
  /* 127.18.0.1. */
  ROUTE_IP = 0x7f120001,
  ROUTE_PORT = 443,
  ANSWER_BYTES = 2000,
  PACKET_DATA_MAX_BYTES = 1200,
  HOST_ID_BYTES = 8,
  DATAGRAM_BYTES = 2048,
  /* A host gives up after this many retransmissions. */
  RETRANSMISSIONS_MAX = 8,
  RESET_WINDOW = 76800,
  PROBE_TIMEOUT_US = 400 * 1000,
  MISSED_PROBES_MAX = 2
};

static const double WORK_S = 0.010;
static const double RETRANSMIT_MIN_S = 0.2;
static const double RETRANSMIT_MAX_S = 1.6;
static const double OPENING_TIMES_S[] = { 0.0, 0.2, 0.6, 1.4 };
static const double REQUEST_LIMIT_S = 0.5;
static const double PROBE_INTERVAL_S = 0.5;
/* Bounds of the deployment: stable-window-ms, flow-timeout-ms. */
static const double STABLE_WINDOW_S = 4.0;
static const double FLOW_TIMEOUT_S = 2.0;
/* Leaves a pause, STABLE_WINDOW_S after it, and some seconds in which resets count. */
static const double FREEZE_INTERVAL_S = 11.5;

/*
 * @open_s, @flows: so many flows are opened evenly over this time, each with a request at once.
 * @pause_s: time from the opening of a flow to its second request.
 * @end_s: end of the run. All times are counted from the moment when all instances have been ready for STABLE_WINDOW_S.
 * @loss: share of the datagrams that are lost.
 * @roll_start_s: start of the rolling restart; 0 for none.
 * @freeze_start_s, @freeze_s: the instances are paused for @freeze_s, one after the other, FREEZE_INTERVAL_S apart; 0
 * for none.
 */
typedef struct
{
  const char *name;
  double      open_s;
  int         flows;
  double      pause_s;
  double      end_s;
  double      loss;
  double      roll_start_s;
  double      freeze_start_s;
  double      freeze_s;
} Scenario;

static const Scenario SCENARIOS[] = {
  { .name = "restart",
    .open_s = 9.0,
    .flows = 3600,
    .pause_s = 11.0,
    .end_s = 21.0,
    .loss = 0.001,
    .roll_start_s = 6.0 },
  { .name = "freeze",
    .open_s = 29.0,
    .flows = 1000,
    .pause_s = 9.0,
    .end_s = 39.0,
    .freeze_start_s = 1.0,
    .freeze_s = 3.5 },
};

typedef struct
{
  int               number;
  pid_t             pid;
  char             *settings_path;
  char             *log_path;
  WcAddress         packets;
  WcPlatformClient *probe;
  int               missed_probes;
  bool              in_rotation;
  bool              is_stopping;
} Instance;

/* A flow at a host; it is open once the host has the end of the handshake. */
typedef struct
{
  struct Host *host;
  WcFlowKey    key;
  uint32_t     cookie;
  uint32_t     first_sequence;
  uint32_t     unacknowledged;
  uint32_t     next;
  uint32_t     expected;
  uint32_t     unacknowledged_packets;
  int          retransmissions;
  bool         is_open;
  ev_timer     work;
  ev_timer     retransmit;
} HostFlow;

typedef struct Host
{
  int         number;
  uint64_t    id;
  WcAddress   address;
  int         fd;
  ev_io       readable;
  GHashTable *flows;
  double      slot_free_s[SLOTS];
} Host;

typedef enum
{
  FLOW_NEW = 0,
  FLOW_OPENING,
  FLOW_REQUESTING,
  FLOW_PAUSED,
  FLOW_ENDED
} FlowState;

/* A flow at its caller. @cookie: last cookie received on the flow. @host: the one whose answer to the opening was used.
 */
typedef struct
{
  int       number;
  FlowState state;
  WcFlowKey key;
  uint32_t  cookie;
  Host     *host;
  uint32_t  sequence;
  uint32_t  request_end;
  uint32_t  expected;
  uint32_t  answer_end;
  uint32_t  packets_since_ack;
  uint32_t  sent_openings;
  uint32_t  requests;
  double    request_start_s;
  double    retransmit_s;
  bool      opened;
  /* Packets that reached other hosts, and the time of the first, since the flow's host had one. */
  uint32_t elsewhere;
  double   elsewhere_start_s;
  ev_timer timer;
} Flow;

static struct
{
  const Scenario  *scenario;
  bool             has_trouble;
  const char      *binary;
  const char      *directory;
  FILE            *record;
  struct ev_loop  *loop;
  WcEmulatedStore *store;
  uint8_t          net;
  uint16_t         port;
  Instance         instances[INSTANCES];
  Host             hosts[HOSTS];
  int              callers[CALLERS];
  ev_io            caller_readable[CALLERS];
  Flow            *flows;
  double           wait_start_s;
  double           start_s;
  double           stable_s;
  int              rolled;
  int              freezes;
  bool             is_frozen;
  double           thawed_s;
  uint64_t         datagrams;
  int              opened;
  int              second_answers;
  int              done;
  int              failed;
  int              broken;
  int              status;
} rig;

static void start_all (void);
static void start_instance (Instance *instance);
static void tick (struct ev_loop *loop, ev_timer *timer, int events);
static void probe_all (struct ev_loop *loop, ev_timer *timer, int events);
static void
probe_done (void *data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body, size_t size);
static void     roll (void);
static void     freeze (void);
static void     flow_timer (struct ev_loop *loop, ev_timer *timer, int events);
static void     caller_readable (struct ev_loop *loop, ev_io *io, int events);
static void     host_readable (struct ev_loop *loop, ev_io *io, int events);
static void     work_done (struct ev_loop *loop, ev_timer *timer, int events);
static void     host_retransmit (struct ev_loop *loop, ev_timer *timer, int events);
static guint    hash_flow (gconstpointer key);
static gboolean equal_flows (gconstpointer a, gconstpointer b);

static double
now_s (void)
{
  return (double)wc_clock_monotonic_us () / 1e6;
}

static void
note (const char *format, ...)
{
  va_list arguments;

  fprintf (rig.record, "%9.4f ", rig.start_s > 0 ? now_s () - rig.start_s : now_s () - rig.wait_start_s - 100);
  va_start (arguments, format);
  vfprintf (rig.record, format, arguments);
  va_end (arguments);
  fputc ('\n', rig.record);
}

/* A datagram is lost with the scenario's probability; the choice depends on the count of datagrams only. */
static bool
is_lost (void)
{
  return (double)(wc_mix64 (++rig.datagrams * 0x9e3779b97f4a7c15) >> 11) / 9007199254740992.0 < rig.scenario->loss;
}

static WcAddress
make_address (int subnet, int number, int port)
{
  return (WcAddress){ .ip = { 127, rig.net, (uint8_t)subnet, (uint8_t)(10 + number) },
                      .family = 4,
                      .port = (uint16_t)port };
}

static uint32_t
get_ip (const WcAddress *address)
{
  return (uint32_t)address->ip[0] << 24 | (uint32_t)address->ip[1] << 16 | (uint32_t)address->ip[2] << 8 |
         address->ip[3];
}

static void
send_to (int fd, const WcAddress *address, const void *data, size_t size)
{
  struct sockaddr_storage storage;
  socklen_t               length = wc_socket_address_to_sockaddr (address, &storage);

  if (!is_lost ())
    (void)sendto (fd, data, size, 0, (struct sockaddr *)&storage, length);
}

static int
open_socket (const WcAddress *address)
{
  WcError error = { 0 };
  int     fd = wc_socket_open_udp (address, false, &error);
  int     bytes = 4 << 20;

  if (fd < 0)
    {
      fprintf (stderr, "rig: %s\n", error.message);
      exit (2);
    }
  (void)setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  return fd;
}

int
main (int argc, char **argv)
{
  ev_timer tick_timer;
  ev_timer probe_timer;
  char    *path;

  if (argc != 5 || sodium_init () < 0)
    {
      fprintf (stderr, "Usage: rig SCENARIO BINARY DIRECTORY TROUBLE\n");
      return 2;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (SCENARIOS); i++)
    if (strcmp (argv[1], SCENARIOS[i].name) == 0)
      rig.scenario = &SCENARIOS[i];
  if (!rig.scenario)
    return 2;
  rig.binary = argv[2];
  rig.directory = argv[3];
  rig.has_trouble = strcmp (argv[4], "0") != 0;
  path = g_build_filename (rig.directory, "record.txt", NULL);
  rig.record = fopen (path, "w");
  if (!rig.record)
    return 2;
  rig.loop = ev_loop_new (0);
  rig.net = (uint8_t)(1 + getpid () % 250);
  rig.port = (uint16_t)(20000 + getpid () % 2500 * 4);
  rig.wait_start_s = now_s ();
  rig.status = 2;
  start_all ();
  ev_timer_init (&tick_timer, tick, 0.005, 0.005);
  ev_timer_start (rig.loop, &tick_timer);
  ev_timer_init (&probe_timer, probe_all, 0.0, PROBE_INTERVAL_S);
  ev_timer_start (rig.loop, &probe_timer);
  ev_run (rig.loop, 0);
  for (int i = 0; i < INSTANCES; i++)
    if (rig.instances[i].pid > 0)
      {
        kill (rig.instances[i].pid, SIGCONT);
        kill (rig.instances[i].pid, SIGKILL);
        waitpid (rig.instances[i].pid, NULL, 0);
      }
  note ("end: %d flows opened, %d answered by a second host, %d requests done, %d failed, %d times FLOW broken",
        rig.opened, rig.second_answers, rig.done, rig.failed, rig.broken);
  fclose (rig.record);
  printf ("%s, trouble %d: %d flows opened, %d answered by a second host, %d requests done, %d failed, "
          "%d times FLOW broken\n",
          rig.scenario->name, rig.has_trouble, rig.opened, rig.second_answers, rig.done, rig.failed, rig.broken);
  return rig.status;
}

static void
put_config (void)
{
  char *text = g_strdup_printf (
      "{\"version\":3,\"routes\":[{\"name\":\"r-1\",\"host\":\"127.18.0.1\",\"prefix\":\"/%d/\",\"kind\":\"safe\","
      "\"timeout-ms\":500,\"target-latency-ms\":120,\"priority\":2,\"service\":\"desk\",\"max-attempts\":2}],"
      "\"services\":[{\"name\":\"desk\",\"health-path\":\"/health\"}],"
      "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
      "\"idle-timeout-ms\":15000}}",
      ROUTE_PORT);

  wc_emulated_store_put (rig.store, "op/config", text, strlen (text));
  g_free (text);
}

static void
start_host (Host *host, int number)
{
  char  address[WC_ADDRESS_TEXT_BYTES];
  char *key;
  char *value;

  host->number = number;
  host->id = 0x7f3a91c200 + (uint64_t)number * 0x1357;
  host->address = make_address (12, number, rig.port);
  host->flows = g_hash_table_new_full (hash_flow, equal_flows, NULL, NULL);
  host->fd = open_socket (&host->address);
  ev_io_init (&host->readable, host_readable, host->fd, EV_READ);
  host->readable.data = host;
  ev_io_start (rig.loop, &host->readable);
  key = g_strdup_printf ("servers/i-%010" G_GINT64_MODIFIER "x", host->id);
  value = g_strdup_printf ("{\"service\":\"desk\",\"address\":\"%s\",\"zone\":\"whk-a\",\"version\":\"v1\","
                           "\"slots\":%d,\"state\":\"ready\",\"warmup-left-ms\":0,\"seq\":4,\"born\":1796453826000}",
                           wc_address_format (&host->address, address), SLOTS);
  wc_emulated_store_put (rig.store, key, value, strlen (value));
  g_free (key);
  g_free (value);
}

static void
write_settings (Instance *instance)
{
  WcAddress addresses[4];
  WcAddress seed = make_address (11, 0, rig.port + 2);
  WcAddress store;
  char      text[6][WC_ADDRESS_TEXT_BYTES];
  char     *settings;

  for (int i = 0; i < 4; i++)
    {
      addresses[i] = make_address (11, instance->number, rig.port + i);
      wc_address_format (&addresses[i], text[i]);
    }
  wc_emulated_store_get_address (rig.store, &store);
  wc_address_format (&store, text[4]);
  wc_address_format (&seed, text[5]);
  settings =
      g_strdup_printf ("{\"data_path\": \"packets\", \"instance\": \"frontend-whk-a-%d\", \"domain\": \"whk-a\",\n"
                       " \"packets\": \"%s\", \"ready\": \"%s\", \"peers\": \"%s\", \"operators\": \"%s\",\n"
                       " \"store\": \"%s\", \"seeds\": [\"%s\"], \"flow_life_s\": 60, \"stop_limit_s\": 6,\n"
                       " \"contracts\": [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]}\n",
                       instance->number + 1, text[0], text[1], text[2], text[3], text[4], text[5]);
  g_file_set_contents (instance->settings_path, settings, -1, NULL);
  g_free (settings);
}

static void
start_all (void)
{
  WcAddress address = make_address (13, 0, 0);
  WcError   error = { 0 };

  rig.store = wc_emulated_store_new (rig.loop, &address, 50, &error);
  if (!rig.store)
    exit (2);
  put_config ();
  for (int i = 0; i < HOSTS; i++)
    start_host (&rig.hosts[i], i);
  for (int i = 0; i < CALLERS; i++)
    {
      address = make_address (14, i, rig.port);
      rig.callers[i] = open_socket (&address);
      ev_io_init (&rig.caller_readable[i], caller_readable, rig.callers[i], EV_READ);
      ev_io_start (rig.loop, &rig.caller_readable[i]);
    }
  rig.flows = g_new0 (Flow, rig.scenario->flows);
  for (int i = 0; i < rig.scenario->flows; i++)
    {
      Flow *flow = &rig.flows[i];

      address = make_address (14, i % CALLERS, rig.port);
      flow->number = i;
      flow->key = (WcFlowKey){ get_ip (&address), ROUTE_IP, (uint16_t)(1024 + i / CALLERS), ROUTE_PORT };
      ev_timer_init (&flow->timer, flow_timer, 0.0, 0.0);
      flow->timer.data = flow;
    }
  for (int i = 0; i < INSTANCES; i++)
    {
      Instance *instance = &rig.instances[i];
      WcAddress ready = make_address (11, i, rig.port + 1);

      instance->number = i;
      instance->packets = make_address (11, i, rig.port);
      instance->settings_path = g_strdup_printf ("%s/instance-%d.json", rig.directory, i);
      instance->log_path = g_strdup_printf ("%s/instance-%d.log", rig.directory, i);
      instance->probe = wc_platform_client_new (rig.loop, &ready, 1, probe_done, instance);
      wc_platform_client_set_response_timeout_us (instance->probe, PROBE_TIMEOUT_US);
      write_settings (instance);
      start_instance (instance);
    }
}

static void
start_instance (Instance *instance)
{
  instance->is_stopping = false;
  instance->pid = fork ();
  if (instance->pid == 0)
    {
      int fd;

      /* Ends with this process, also if that is killed. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      fd = open (instance->log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);

      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (rig.binary, rig.binary, "serve", "--settings", instance->settings_path, (char *)NULL);
      _exit (127);
    }
  note ("instance %d is started", instance->number);
}

static int
count_in_rotation (void)
{
  int count = 0;

  for (int i = 0; i < INSTANCES; i++)
    count += rig.instances[i].in_rotation;
  return count;
}

static void
begin (void)
{
  const Scenario *scenario = rig.scenario;

  rig.start_s = now_s ();
  note ("all instances are ready; flows are opened");
  for (int i = 0; i < scenario->flows; i++)
    {
      ev_timer_set (&rig.flows[i].timer, scenario->open_s * i / scenario->flows, 0.0);
      ev_timer_start (rig.loop, &rig.flows[i].timer);
    }
}

static void
tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  double now = now_s ();

  (void)timer;
  (void)events;
  if (rig.start_s == 0)
    {
      if (count_in_rotation () < INSTANCES)
        rig.stable_s = 0;
      else if (rig.stable_s == 0)
        rig.stable_s = now;
      else if (now - rig.stable_s >= STABLE_WINDOW_S)
        begin ();
      if (now - rig.wait_start_s > 25)
        ev_break (loop, EVBREAK_ALL);
      return;
    }
  for (int i = 0; i < INSTANCES; i++)
    {
      Instance *instance = &rig.instances[i];
      int       status;

      if (instance->pid <= 0 || waitpid (instance->pid, &status, WNOHANG) != instance->pid)
        continue;
      note ("instance %d has ended, wait status %d", i, status);
      instance->pid = 0;
      if (!instance->is_stopping)
        ev_break (loop, EVBREAK_ALL);
      else
        start_instance (instance);
    }
  if (rig.has_trouble && rig.scenario->roll_start_s > 0)
    roll ();
  if (rig.has_trouble && rig.scenario->freeze_start_s > 0)
    freeze ();
  if (now - rig.start_s < rig.scenario->end_s)
    return;
  rig.status = rig.broken > 0 ? 1 : rig.done > 0 ? 0 : 2;
  ev_break (loop, EVBREAK_ALL);
}

/* Stops one instance after the other, each once the one before runs again and is back in rotation. */
static void
roll (void)
{
  Instance *instance;

  if (now_s () - rig.start_s < rig.scenario->roll_start_s || rig.rolled == INSTANCES)
    return;
  for (int i = 0; i < INSTANCES; i++)
    if (!rig.instances[i].in_rotation || rig.instances[i].is_stopping)
      return;
  instance = &rig.instances[rig.rolled++];
  note ("instance %d gets SIGTERM", instance->number);
  instance->is_stopping = true;
  kill (instance->pid, SIGTERM);
}

static void
freeze (void)
{
  double start_s = rig.scenario->freeze_start_s + rig.freezes * FREEZE_INTERVAL_S;
  double elapsed_s = now_s () - rig.start_s;

  if (rig.freezes == INSTANCES)
    return;
  if (!rig.is_frozen && elapsed_s >= start_s)
    {
      rig.is_frozen = true;
      note ("instance %d is frozen", rig.freezes);
      kill (rig.instances[rig.freezes].pid, SIGSTOP);
    }
  if (rig.is_frozen && elapsed_s >= start_s + rig.scenario->freeze_s)
    {
      rig.is_frozen = false;
      rig.thawed_s = now_s ();
      note ("instance %d runs again", rig.freezes);
      kill (rig.instances[rig.freezes].pid, SIGCONT);
      rig.freezes++;
    }
}

/* the router */

static void
probe_all (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
  for (int i = 0; i < INSTANCES; i++)
    wc_platform_client_get (rig.instances[i].probe, WC_PLATFORM_READ_STORE_ITEMS, "/v1/ready", 0);
}

static void
probe_done (void *data, WcPlatformRead read, WcPlatformResult result, uint64_t version, const char *body, size_t size)
{
  Instance *instance = data;
  bool      was_in_rotation = instance->in_rotation;

  (void)read;
  (void)version;
  (void)body;
  (void)size;
  instance->missed_probes = result == WC_PLATFORM_RESULT_OK ? 0 : instance->missed_probes + 1;
  instance->in_rotation =
      instance->missed_probes == 0 || (instance->in_rotation && instance->missed_probes < MISSED_PROBES_MAX);
  if (instance->in_rotation != was_in_rotation)
    note ("instance %d is %s rotation", instance->number, instance->in_rotation ? "in" : "out of");
}

/* Only the flows of an instance that leaves the rotation move. */
static Instance *
pick_instance (const WcFlowKey *key)
{
  bool      use_all = count_in_rotation () * 2 < INSTANCES;
  Instance *best = NULL;
  uint64_t  best_weight = 0;

  for (int i = 0; i < INSTANCES; i++)
    {
      Instance *instance = &rig.instances[i];
      uint64_t  weight = wc_mix64 (wc_mix64 ((uint64_t)key->caller_ip << 16 | key->caller_port) + (uint64_t)i * 7919);

      if ((!use_all && !instance->in_rotation) || (best && weight <= best_weight))
        continue;
      best = instance;
      best_weight = weight;
    }
  return best;
}

/* callers */

static void
send_packet (Flow *flow, uint8_t flags, uint32_t sequence, uint32_t acknowledged, const char *data)
{
  const WcPacket packet = {
    .key = flow->key,
    .cookie = flags & WC_PACKET_SYN ? 0 : flow->cookie,
    .sequence = sequence,
    .acknowledged = acknowledged,
    .data_bytes = (uint16_t)(data ? strlen (data) : 0),
    .flags = flags,
  };
  uint8_t   bytes[WC_FLOW_WIRE_MAX_BYTES];
  size_t    size = wc_flow_wire_write (&packet, data, bytes);
  Instance *instance = pick_instance (&flow->key);

  note ("flow %d sends %s%s, cookie %08x, through instance %d", flow->number,
        flags & WC_PACKET_SYN ? "an opening"
        : data                ? "a request"
                              : "an acknowledgement",
        flags & WC_PACKET_SYN && acknowledged > 0 ? " again" : "", packet.cookie, instance->number);
  send_to (rig.callers[flow->number % CALLERS], &instance->packets, bytes, size);
}

static void
send_request (Flow *flow)
{
  char text[200];

  g_snprintf (text, sizeof text,
              "GET /%d HTTP/1.1\r\nHost: desk\r\nX-Wigeoncart-Request-Id: %08x%08x\r\nX-Number: %010u\r\n\r\n",
              flow->number, 0x1000 + flow->number, flow->requests, flow->requests);
  flow->request_end = flow->sequence + (uint32_t)strlen (text);
  send_packet (flow, WC_PACKET_ACK, flow->sequence, flow->expected, text);
}

static void
set_timer (Flow *flow, double delay_s)
{
  ev_timer_stop (rig.loop, &flow->timer);
  ev_timer_set (&flow->timer, delay_s > 0 ? delay_s : 0, 0.0);
  ev_timer_start (rig.loop, &flow->timer);
}

static void
start_request (Flow *flow)
{
  flow->state = FLOW_REQUESTING;
  flow->requests++;
  flow->request_start_s = now_s ();
  flow->retransmit_s = RETRANSMIT_MIN_S;
  flow->answer_end = flow->expected + ANSWER_BYTES;
  flow->packets_since_ack = 0;
  send_request (flow);
  set_timer (flow, flow->retransmit_s);
}

static void
end_flow (Flow *flow, const char *reason)
{
  note ("flow %d ends: %s", flow->number, reason);
  rig.failed++;
  flow->state = FLOW_ENDED;
  ev_timer_stop (rig.loop, &flow->timer);
}

static void
flow_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  Flow *flow = timer->data;

  (void)loop;
  (void)events;
  switch (flow->state)
    {
    case FLOW_NEW:
      flow->state = FLOW_OPENING;
      flow->sequence = (uint32_t)wc_mix64 ((uint64_t)flow->number + 77);
      G_GNUC_FALLTHROUGH;
    case FLOW_OPENING:
      if (flow->sent_openings == G_N_ELEMENTS (OPENING_TIMES_S) - 1)
        {
          end_flow (flow, "no answer to its opening");
          return;
        }
      send_packet (flow, WC_PACKET_SYN, flow->sequence, flow->sent_openings, NULL);
      flow->sent_openings++;
      set_timer (flow, OPENING_TIMES_S[flow->sent_openings] - OPENING_TIMES_S[flow->sent_openings - 1]);
      return;
    case FLOW_REQUESTING:
      if (now_s () - flow->request_start_s >= REQUEST_LIMIT_S - 0.001)
        {
          end_flow (flow, "time limit of its request");
          return;
        }
      send_request (flow);
      flow->retransmit_s = MIN (flow->retransmit_s * 2, RETRANSMIT_MAX_S);
      set_timer (flow, MIN (flow->retransmit_s, flow->request_start_s + REQUEST_LIMIT_S - now_s ()));
      return;
    case FLOW_PAUSED:
      start_request (flow);
      return;
    default:
      return;
    }
}

/* Whether the flow is open at its host. */
static bool
is_open (const Flow *flow)
{
  const HostFlow *at_host = flow->host ? g_hash_table_lookup (flow->host->flows, &flow->key) : NULL;

  return at_host && at_host->is_open;
}

/* Planned work always counts; after a freeze, all instances must have been without impairment for STABLE_WINDOW_S. */
static bool
is_judged (void)
{
  return !rig.is_frozen && now_s () - rig.thawed_s >= STABLE_WINDOW_S;
}

static void
receive_reset (Flow *flow, const char *sender, int number)
{
  if (flow->state == FLOW_ENDED)
    return;
  if (is_open (flow))
    {
      bool judged = is_judged ();

      note ("%s: flow %d is open at host %d, and its caller gets a reset from %s %d",
            judged ? "FLOW BROKEN" : "not judged, an instance is not in touch", flow->number, flow->host->number,
            sender, number);
      rig.broken += judged;
    }
  end_flow (flow, "reset");
}

static void
receive_answer_to_opening (Flow *flow, Host *host, const WcPacket *packet)
{
  flow->host = host;
  flow->sequence += 1;
  flow->expected = packet->sequence + 1;
  rig.opened++;
  note ("flow %d uses the answer of host %d to its opening", flow->number, host->number);
  start_request (flow);
}

static void
receive_data (Flow *flow, const WcPacket *packet)
{
  if (packet->data_bytes == 0)
    return;
  if (packet->sequence != flow->expected)
    {
      send_packet (flow, WC_PACKET_ACK, flow->request_end, flow->expected, NULL);
      return;
    }
  flow->expected += packet->data_bytes;
  if (++flow->packets_since_ack % 2 == 0)
    send_packet (flow, WC_PACKET_ACK, flow->request_end, flow->expected, NULL);
  if (flow->state != FLOW_REQUESTING || flow->expected != flow->answer_end)
    return;
  note ("flow %d has the answer to its request %u", flow->number, flow->requests);
  rig.done++;
  flow->sequence = flow->request_end;
  flow->state = FLOW_PAUSED;
  if (flow->requests == 1)
    set_timer (flow, rig.scenario->pause_s);
  else
    ev_timer_stop (rig.loop, &flow->timer);
}

static void
caller_readable (struct ev_loop *loop, ev_io *io, int events)
{
  uint8_t                 data[DATAGRAM_BYTES];
  struct sockaddr_storage from;
  socklen_t               length = sizeof from;
  ssize_t                 size = recvfrom (io->fd, data, sizeof data, 0, (struct sockaddr *)&from, &length);
  WcAddress               address;
  WcPacket                packet;
  Flow                   *flow;
  Host                   *host = NULL;
  int                     number;

  (void)loop;
  (void)events;
  if (size <= 0 || !wc_socket_address_from_sockaddr (&from, &address) ||
      !wc_packet_wire_decode (data, (size_t)size, &packet))
    return;
  /* Packets to a caller have its address and port as destination. */
  number = (packet.key.route_port - 1024) * CALLERS + (int)(packet.key.route_ip & 0xff) - 10;
  if (number < 0 || number >= rig.scenario->flows)
    return;
  flow = &rig.flows[number];
  if (flow->state == FLOW_NEW || flow->state == FLOW_ENDED)
    return;
  for (int i = 0; i < HOSTS; i++)
    if (wc_address_equal (&rig.hosts[i].address, &address))
      host = &rig.hosts[i];
  if (!host)
    {
      for (int i = 0; i < INSTANCES; i++)
        if (wc_address_equal (&rig.instances[i].packets, &address) &&
            wc_flow_wire_is_system_reset (data, (size_t)size) &&
            (flow->state == FLOW_OPENING ||
             (uint32_t)(packet.sequence - flow->expected + RESET_WINDOW) <= 2 * RESET_WINDOW))
          receive_reset (flow, "instance", i);
      return;
    }
  if (packet.flags & WC_PACKET_RST)
    {
      receive_reset (flow, "host", host->number);
      return;
    }
  flow->cookie = packet.cookie;
  if (flow->state == FLOW_OPENING && (packet.flags & WC_PACKET_SYN))
    receive_answer_to_opening (flow, host, &packet);
  else if (packet.flags & WC_PACKET_SYN)
    {
      rig.second_answers += host != flow->host;
      note ("flow %d gets an answer to its opening from host %d, its host is %d", number, host->number,
            flow->host->number);
    }
  else if (host == flow->host)
    receive_data (flow, &packet);
}

/* hosts */

static void
host_send (HostFlow *flow, uint8_t flags, uint32_t sequence, uint16_t data_bytes)
{
  static const uint8_t data[PACKET_DATA_MAX_BYTES];
  const WcPacket       packet = {
          .key = { flow->key.route_ip, flow->key.caller_ip, flow->key.route_port, flow->key.caller_port },
          .cookie = flow->cookie,
          .sequence = sequence,
          .acknowledged = flow->expected,
          .data_bytes = data_bytes,
          .flags = flags,
  };
  uint8_t   bytes[WC_FLOW_WIRE_MAX_BYTES];
  size_t    size = wc_flow_wire_write (&packet, data, bytes);
  WcAddress caller = { .family = 4, .port = rig.port };

  for (int i = 0; i < 4; i++)
    caller.ip[i] = (uint8_t)(flow->key.caller_ip >> (24 - 8 * i));
  send_to (flow->host->fd, &caller, bytes, size);
}

static int
get_flow_number (const WcFlowKey *key)
{
  return (key->caller_port - 1024) * CALLERS + (int)(key->caller_ip & 0xff) - 10;
}

static void
host_start_retransmitting (HostFlow *flow)
{
  flow->retransmissions = 0;
  ev_timer_stop (rig.loop, &flow->retransmit);
  ev_timer_set (&flow->retransmit, RETRANSMIT_MIN_S, 0.0);
  ev_timer_start (rig.loop, &flow->retransmit);
}

/* Sends what the caller has not acknowledged: the answer to the opening, or data. */
static void
host_send_unacknowledged (HostFlow *flow)
{
  if (!flow->is_open)
    {
      host_send (flow, WC_PACKET_SYN | WC_PACKET_ACK, flow->first_sequence, 0);
      return;
    }
  for (uint32_t sequence = flow->unacknowledged; sequence != flow->next;)
    {
      uint32_t bytes = MIN (flow->next - sequence, (uint32_t)PACKET_DATA_MAX_BYTES);

      host_send (flow, WC_PACKET_ACK, sequence, (uint16_t)bytes);
      sequence += bytes;
    }
}

static void
host_retransmit (struct ev_loop *loop, ev_timer *timer, int events)
{
  HostFlow *flow = timer->data;

  (void)events;
  if (flow->retransmissions++ == RETRANSMISSIONS_MAX)
    {
      /* Gives up. */
      ev_timer_stop (loop, &flow->work);
      g_hash_table_remove (flow->host->flows, &flow->key);
      g_free (flow);
      return;
    }
  host_send_unacknowledged (flow);
  ev_timer_set (timer, MIN (RETRANSMIT_MIN_S * (1 << flow->retransmissions), RETRANSMIT_MAX_S), 0.0);
  ev_timer_start (loop, timer);
}

static void
work_done (struct ev_loop *loop, ev_timer *timer, int events)
{
  HostFlow *flow = timer->data;

  (void)loop;
  (void)events;
  flow->next += ANSWER_BYTES;
  host_send_unacknowledged (flow);
  host_start_retransmitting (flow);
}

static void
host_receive_opening (Host *host, const WcPacket *packet)
{
  HostFlow *flow = g_hash_table_lookup (host->flows, &packet->key);

  note ("host %d gets an opening of flow %d", host->number, get_flow_number (&packet->key));
  if (flow && flow->is_open)
    return;
  if (!flow)
    {
      flow = g_new0 (HostFlow, 1);
      flow->host = host;
      flow->key = packet->key;
      flow->first_sequence = (uint32_t)randombytes_random ();
      flow->unacknowledged = flow->next = flow->first_sequence + 1;
      ev_timer_init (&flow->work, work_done, 0.0, 0.0);
      ev_timer_init (&flow->retransmit, host_retransmit, 0.0, 0.0);
      flow->work.data = flow->retransmit.data = flow;
      g_hash_table_insert (host->flows, &flow->key, flow);
      host_start_retransmitting (flow);
    }
  flow->expected = packet->sequence + 1;
  flow->cookie = packet->cookie;
  host_send_unacknowledged (flow);
}

static void
run_request (HostFlow *flow, const WcPacket *packet)
{
  Host  *host = flow->host;
  double now = now_s ();
  int    slot = 0;

  for (int i = 1; i < SLOTS; i++)
    if (host->slot_free_s[i] < host->slot_free_s[slot])
      slot = i;
  host->slot_free_s[slot] = MAX (host->slot_free_s[slot], now) + WORK_S;
  note ("host %d runs request %016" G_GINT64_MODIFIER "x of flow %d", host->number, packet->request_id,
        get_flow_number (&flow->key));
  ev_timer_set (&flow->work, host->slot_free_s[slot] - now, 0.0);
  ev_timer_start (rig.loop, &flow->work);
}

/* For FLOW (b): packets of a flow that is open at one host and reach others only. */
static void
count_place (const Host *host, const WcPacket *packet)
{
  int   number = get_flow_number (&packet->key);
  Flow *flow = number >= 0 && number < rig.scenario->flows ? &rig.flows[number] : NULL;

  if (!flow || !is_open (flow) || flow->state == FLOW_ENDED)
    return;
  if (host == flow->host)
    {
      flow->elsewhere = 0;
      return;
    }
  if (flow->elsewhere++ == 0)
    flow->elsewhere_start_s = now_s ();
  note ("host %d gets a packet of flow %d, which is open at host %d", host->number, number, flow->host->number);
  if (flow->elsewhere >= 3 && now_s () - flow->elsewhere_start_s >= FLOW_TIMEOUT_S && is_judged ())
    {
      note ("FLOW BROKEN: for 2 s the packets of flow %d have reached other hosts only", number);
      rig.broken++;
      flow->elsewhere = 0;
    }
}

static void
host_receive (Host *host, const WcPacket *packet)
{
  HostFlow *flow = g_hash_table_lookup (host->flows, &packet->key);

  if (packet->flags & WC_PACKET_SYN)
    {
      host_receive_opening (host, packet);
      return;
    }
  count_place (host, packet);
  /* The flow is not held here when the caller continues with another host's sequence numbers. */
  if (!flow || (!flow->is_open && packet->acknowledged != flow->first_sequence + 1))
    {
      HostFlow unknown = { .host = host, .key = packet->key, .cookie = packet->cookie };

      note ("host %d does not hold flow %d and sends a reset", host->number, get_flow_number (&packet->key));
      host_send (&unknown, WC_PACKET_RST, packet->acknowledged, 0);
      return;
    }
  flow->cookie = packet->cookie;
  flow->is_open = true;
  if ((int32_t)(packet->acknowledged - flow->unacknowledged) > 0)
    flow->unacknowledged = packet->acknowledged;
  if (flow->unacknowledged == flow->next)
    ev_timer_stop (rig.loop, &flow->retransmit);
  if (packet->data_bytes == 0)
    return;
  if (packet->sequence == flow->expected)
    {
      flow->expected += packet->data_bytes;
      run_request (flow, packet);
    }
  else if (!ev_is_active (&flow->work))
    host_send (flow, WC_PACKET_ACK, flow->next, 0);
}

static void
host_readable (struct ev_loop *loop, ev_io *io, int events)
{
  Host    *host = io->data;
  uint8_t  data[DATAGRAM_BYTES];
  ssize_t  size = recv (io->fd, data, sizeof data, 0);
  uint64_t id = 0;
  WcPacket packet;

  (void)loop;
  (void)events;
  if (size < HOST_ID_BYTES || is_lost ())
    return;
  for (int i = 0; i < HOST_ID_BYTES; i++)
    id = id << 8 | data[i];
  if ((id == host->id || id == 0) &&
      wc_flow_wire_has_valid_checksum (data + HOST_ID_BYTES, (size_t)size - HOST_ID_BYTES) &&
      wc_packet_wire_decode (data + HOST_ID_BYTES, (size_t)size - HOST_ID_BYTES, &packet))
    host_receive (host, &packet);
}

static guint
hash_flow (gconstpointer key)
{
  const WcFlowKey *flow = key;

  return (guint)wc_mix64 ((uint64_t)flow->caller_ip << 16 | flow->caller_port);
}

static gboolean
equal_flows (gconstpointer a, gconstpointer b)
{
  const WcFlowKey *first = a;
  const WcFlowKey *second = b;

  return first->caller_ip == second->caller_ip && first->caller_port == second->caller_port;
}
