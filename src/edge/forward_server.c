#include "edge/forward_server.h"

#include <assert.h>
#include <signal.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>
#include <sodium.h>

#include "edge/clock.h"
#include "edge/decision_log.h"
#include "edge/event_log.h"
#include "edge/explanation_json.h"
#include "edge/forward_metrics.h"
#include "edge/forward_status.h"
#include "edge/packet_socket.h"
#include "edge/peer_endpoint.h"
#include "edge/settings_watch.h"
#include "edge/status_port.h"
#include "edge/store_view.h"
#include "edge/view_reader.h"
#include "forward/forwarder.h"
#include "forward/readiness.h"

static const double TICK_S = 0.1;

enum
{
  /* Nearly twice the flows per instance at the planned size of 11 million flows on 1,200 instances. */
  MAX_FLOWS = 16384,
  /*
   * Minimum duration of a planned stop. The network fabric, which distributes packets to the instances, polls readiness
   * twice a second and removes an instance from rotation after two negative responses.
   */
  STOP_MIN_US = 1100 * 1000,
  /* After this long without a packet, the fabric has stopped sending to this instance. */
  STOP_IDLE_US = 250 * 1000,
  /* Forwarding ends this long before stop_limit_ms, the maximum duration of a planned stop. */
  STOP_RESERVE_US = 700 * 1000,
  /* A longer gap between two ticks means that the machine or the process was paused. */
  PAUSE_MIN_US = 1000 * 1000,
  /* Ticks are 100 ms apart, and a CPU quota can throttle the process for up to 90 ms of each 100 ms. */
  LATE_TICK_MIN_US = 250 * 1000,
  /* This many full batches between two ticks mean that packets are waiting in the kernel. */
  FULL_BATCHES_MIN = 2,
  /*
   * Two datagrams of 500 bytes per round make 2 kB/s, the limit for control traffic at the planned size. Datagrams may
   * be longer (WC_GOSSIP_MAX_BYTES), and queries about hosts are not included.
   */
  GOSSIP_INTERVAL_US = 500 * 1000,
  /*
   * Maximum number of hosts that peers are queried about per tick. If more hosts become unresponsive at once, the
   * likely cause is a failed link of this instance.
   */
  QUERIED_HOSTS_PER_TICK = 4,
  /* The same for hosts with a failed request; a report of 90 bytes goes to four peers, which reply. */
  FAILING_HOSTS_PER_TICK = 2,
  /*
   * Reports on hosts with recent failures in a gossip datagram. With 12 of 16, the load of the other hosts became known
   * too late, and hosts refused more requests under overload.
   */
  FAILURE_REPORTS_MAX = 8,
  /* Hosts of flows that are sent to a peer that has started; 16 datagrams. The peer asks for others when it needs them.
   */
  JOIN_FLOW_NOTES_MAX = 256,
  /* Until a peer is heard of, rounds follow at this interval for a while: instances may start before their seeds. */
  DISCOVERY_INTERVAL_US = 100 * 1000,
  DISCOVERY_MAX_US = 2000 * 1000
};

/*
 * @forwarder_timer: timer for the next deadline of the forwarder.
 * @forwarder_timer_us: when it expires, if it is active.
 * @is_view_loaded: the replica and the routes were loaded once; packets are read from then on.
 * @peers_deadline_us: until then the instance is not ready before it has heard of a peer; set with @is_view_loaded.
 * @was_ready: the instance has been ready.
 * @discovery_deadline_us: end of the time of frequent gossip rounds.
 * @last_tick_us: time of the last tick.
 * @full_batches: value of the packet socket's counter of full batches at the last tick.
 * @stop_start_us: when a planned stop began; 0 when none is in progress.
 * @next_reported_host: index of the next host to report in gossip.
 */
struct WcForwardServer
{
  const WcForwardSettings *settings;
  struct ev_loop          *loop;
  WcEventLog              *log;
  WcForwarder             *forwarder;
  WcStoreReplica          *replica;
  WcPeerTable             *peers;
  WcPeerEndpoint          *peer_endpoint;
  WcViewReader            *reader;
  WcPacketSocket          *packet_socket;
  WcStatusPort            *ready_port;
  WcStatusPort            *operators_port;
  WcSettingsWatch         *settings_watch;
  WcForwardMetrics         metrics;
  WcStoreViewCounters      view_counters;
  ev_timer                 tick_timer;
  ev_timer                 forwarder_timer;
  ev_signal                signals[3];
  bool                     is_view_loaded;
  uint64_t                 peers_deadline_us;
  bool                     was_ready;
  uint64_t                 discovery_deadline_us;
  uint64_t                 forwarder_timer_us;
  uint64_t                 now_us;
  uint64_t                 last_tick_us;
  uint64_t                 full_batches;
  uint64_t                 stop_start_us;
  uint64_t                 gossip_deadline_us;
  size_t                   next_reported_host;
};

static uint64_t    generate_incarnation (void);
static bool        open_sockets (WcForwardServer *server, WcError *error);
static void        start_watchers (WcForwardServer *server);
static void        forwarder_timer_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void        run_forwarder_timers (WcForwardServer *server);
static void        receive_packet (void *user_data, const WcPacket *packet, uint64_t now_us);
static void        packet_batch_received (void *user_data, uint64_t now_us);
static void        forward_packet (void *user_data, const WcPacket *packet, const WcHost *host, uint32_t cookie);
static void        reset_flow (void *user_data, const WcFlowKey *key, uint32_t sequence);
static void        log_decision (void *user_data, const WcDecision *decision);
static void        flow_opened (void *user_data, uint64_t duration_us);
static void        request_answered (void *user_data, uint64_t duration_us);
static size_t      send_flow_note (void *user_data, const WcFlowNote *note);
static void        announce_host (void *user_data, const WcFlowNote *note);
static void        apply_change (void *user_data, const WcStoreChange *change);
static void        view_updated (void *user_data);
static void        source_lost (void *user_data);
static void        indirect_changed (void *user_data, bool is_indirect);
static uint64_t    get_view_age_us (const WcForwardServer *server);
static WcReadiness get_readiness (const WcForwardServer *server);
static bool        is_ready (void *user_data);
static void        log_first_readiness (WcForwardServer *server);
static char       *format_metrics (void *user_data);
static char       *format_status (void *user_data);
static char       *format_explanation (void *user_data, const char *route, const char *caller, WcError *error);
static void        fill_own_state (void *user_data, WcGossip *gossip);
static void        add_next_host_reports (void *user_data, WcGossip *gossip);
static void        add_host_reports (void *user_data, uint64_t id, WcGossip *gossip);
static void        gossip_received (void *user_data, const WcGossip *gossip);
static WcFlowNote  answer_flow_note (void *user_data, const WcFlowNote *question);
static void        peer_joined (void *user_data, const WcPeerEntry *peer);
static void        settings_changed (void *user_data, const WcForwardSettings *settings);
static void        tick_timer_expired (struct ev_loop *loop, ev_timer *watcher, int events);
static void        detect_delay (WcForwardServer *server);
static void        run_gossip_round (WcForwardServer *server);
static void        query_peers_about_hosts (WcForwardServer *server);
static void        report_failures (WcForwardServer *server);
static void        signal_received (struct ev_loop *loop, ev_signal *watcher, int events);
static void        stop_when_idle (WcForwardServer *server);
static void        log_state (WcForwardServer *server, const char *event);

static const WcForwarderOps FORWARDER_OPS = {
  .forward = forward_packet,
  .reset = reset_flow,
  .decided = log_decision,
  .opened = flow_opened,
  .answered = request_answered,
  .ask_host = send_flow_note,
  .announce_host = announce_host,
};

static const WcStoreReplicaOps REPLICA_OPS = { .apply = apply_change, .compare = wc_store_view_compare };

static const WcViewReaderOps VIEW_READER_OPS = { .view_updated = view_updated,
                                                 .source_lost = source_lost,
                                                 .indirect_changed = indirect_changed };

static const WcPeerEndpointOps PEER_ENDPOINT_OPS = {
  .fill_own_state = fill_own_state,
  .add_next_reports = add_next_host_reports,
  .add_host_reports = add_host_reports,
  .gossip_received = gossip_received,
  .answer_flow_note = answer_flow_note,
  .peer_joined = peer_joined,
};

static const WcStatusPortOps READY_PORT_OPS = { .ready = is_ready, .metrics = format_metrics };

static const WcStatusPortOps OPERATORS_PORT_OPS = {
  .ready = is_ready,
  .metrics = format_metrics,
  .status = format_status,
  .explain = format_explanation,
};

static const WcPacketSocketOps PACKET_SOCKET_OPS = { .received = receive_packet,
                                                     .batch_received = packet_batch_received };

WcForwardServer *
wc_forward_server_new (const WcForwardSettings *settings, const char *path, WcError *error)
{
  WcForwardServer          *server = g_new0 (WcForwardServer, 1);
  const WcForwarderSettings forwarder_settings = {
    .domain = g_quark_from_string (settings->domain),
    .incarnation = generate_incarnation (),
    .max_flows = MAX_FLOWS,
    .flow_lifetime_us = (uint64_t)settings->flow_lifetime_ms * 1000,
    .features = settings->features,
    .warm_up_overrun_milli = (uint64_t)(settings->warm_up_overrun * 1000),
    .warm_up_slack = settings->warm_up_slack,
    .other_domain_cost_us = (uint64_t)settings->other_domain_cost_ms * 1000,
  };
  const WcPeerEntry self = {
    .address = settings->peers,
    .incarnation = forwarder_settings.incarnation,
    .domain = forwarder_settings.domain,
  };

  server->settings = settings;
  server->loop = ev_default_loop (EVFLAG_AUTO);
  server->log = wc_event_log_new (server->loop, STDOUT_FILENO, settings->instance);
  server->forwarder = wc_forwarder_new (&forwarder_settings, &FORWARDER_OPS, server);
  server->replica = wc_store_replica_new (forwarder_settings.flow_lifetime_us, &REPLICA_OPS, server);
  server->peers = wc_peer_table_new (&self);
  wc_peer_table_set_seeds (server->peers, settings->seeds, settings->seed_count);
  wc_forward_metrics_init (&server->metrics);
  server->settings_watch = wc_settings_watch_new (path, settings, server->log, settings_changed, server);
  if (!open_sockets (server, error))
    {
      wc_forward_server_delete (server);
      return NULL;
    }
  start_watchers (server);
  server->now_us = wc_clock_monotonic_us ();
  server->discovery_deadline_us = server->now_us + DISCOVERY_MAX_US;
  run_gossip_round (server);
  server->reader = wc_view_reader_new (server->loop, &settings->store, server->replica, server->peers, server->log,
                                       &VIEW_READER_OPS, server);
  log_state (server, "started");
  return server;
}

void
wc_forward_server_delete (WcForwardServer *server)
{
  if (!server)
    return;
  wc_view_reader_delete (server->reader);
  wc_peer_endpoint_delete (server->peer_endpoint);
  wc_status_port_delete (server->operators_port);
  wc_status_port_delete (server->ready_port);
  wc_packet_socket_delete (server->packet_socket);
  wc_settings_watch_delete (server->settings_watch);
  wc_forward_metrics_finish (&server->metrics);
  wc_peer_table_delete (server->peers);
  wc_store_replica_delete (server->replica);
  wc_forwarder_delete (server->forwarder);
  wc_event_log_delete (server->log);
  g_free (server);
}

void
wc_forward_server_run (WcForwardServer *server)
{
  assert (server != NULL);

  ev_run (server->loop, 0);
  wc_forwarder_reject_held (server->forwarder, wc_clock_monotonic_us ());
  wc_packet_socket_flush (server->packet_socket);
  log_state (server, "stopped");
}

/* local functions */

static uint64_t
generate_incarnation (void)
{
  uint64_t incarnation = 0;

  while (incarnation == 0)
    randombytes_buf (&incarnation, sizeof incarnation);
  return incarnation;
}

static bool
open_sockets (WcForwardServer *server, WcError *error)
{
  const WcForwardSettings *settings = server->settings;

  server->packet_socket = wc_packet_socket_new (server->loop, &settings->packets, &PACKET_SOCKET_OPS, server, error);
  if (!server->packet_socket)
    return false;
  server->ready_port = wc_status_port_new (server->loop, &settings->ready, &READY_PORT_OPS, server, error);
  if (!server->ready_port)
    return false;
  server->operators_port = wc_status_port_new (server->loop, &settings->operators, &OPERATORS_PORT_OPS, server, error);
  if (!server->operators_port)
    return false;
  server->peer_endpoint = wc_peer_endpoint_new (server->loop, &settings->peers, server->peers, server->replica,
                                                server->log, &PEER_ENDPOINT_OPS, server, error);
  return server->peer_endpoint != NULL;
}

static void
start_watchers (WcForwardServer *server)
{
  static const int signal_numbers[] = { SIGTERM, SIGINT, SIGHUP };

  ev_timer_init (&server->forwarder_timer, forwarder_timer_expired, 0.0, 0.0);
  server->forwarder_timer.data = server;
  ev_timer_init (&server->tick_timer, tick_timer_expired, TICK_S, TICK_S);
  server->tick_timer.data = server;
  ev_timer_start (server->loop, &server->tick_timer);
  for (size_t i = 0; i < G_N_ELEMENTS (signal_numbers); i++)
    {
      ev_signal_init (&server->signals[i], signal_received, signal_numbers[i]);
      server->signals[i].data = server;
      ev_signal_start (server->loop, &server->signals[i]);
    }
  signal (SIGPIPE, SIG_IGN);
}

static void
forwarder_timer_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  WcForwardServer *server = watcher->data;

  (void)loop;
  (void)events;
  server->now_us = wc_clock_monotonic_us ();
  run_forwarder_timers (server);
}

/*
 * Handles the forwarder's expired deadlines and starts the timer for the next one. A timer that expires too early is
 * left as it is, which is cheaper than to move it with each batch of packets.
 */
static void
run_forwarder_timers (WcForwardServer *server)
{
  uint64_t deadline_us;

  wc_forwarder_run_timers (server->forwarder, server->now_us);
  wc_packet_socket_flush (server->packet_socket);
  deadline_us = wc_forwarder_get_deadline_us (server->forwarder);
  if (deadline_us == UINT64_MAX ||
      (ev_is_active (&server->forwarder_timer) && server->forwarder_timer_us <= deadline_us))
    return;
  server->forwarder_timer_us = deadline_us;
  ev_timer_stop (server->loop, &server->forwarder_timer);
  ev_timer_set (&server->forwarder_timer,
                deadline_us > server->now_us ? (double)(deadline_us - server->now_us) / 1e6 : 0.0, 0.0);
  ev_timer_start (server->loop, &server->forwarder_timer);
}

static void
receive_packet (void *user_data, const WcPacket *packet, uint64_t now_us)
{
  WcForwardServer *server = user_data;

  server->now_us = now_us;
  wc_forwarder_receive (server->forwarder, packet, now_us);
}

static void
packet_batch_received (void *user_data, uint64_t now_us)
{
  WcForwardServer *server = user_data;

  server->now_us = now_us;
  run_forwarder_timers (server);
}

static void
forward_packet (void *user_data, const WcPacket *packet, const WcHost *host, uint32_t cookie)
{
  wc_packet_socket_send_packet (((WcForwardServer *)user_data)->packet_socket, packet, host, cookie);
}

static void
reset_flow (void *user_data, const WcFlowKey *key, uint32_t sequence)
{
  wc_packet_socket_send_reset (((WcForwardServer *)user_data)->packet_socket, key, sequence);
}

static void
log_decision (void *user_data, const WcDecision *decision)
{
  WcForwardServer *server = user_data;
  uint64_t         age_us = get_view_age_us (server);

  server->metrics.decisions[decision->kind]++;
  if (decision->kind == WC_DECISION_PLACED || decision->kind == WC_DECISION_PLACED_AGAIN)
    server->metrics.placed[decision->host->record.domain == wc_peer_table_get_self (server->peers)->domain
                               ? WC_DESTINATION_OWN_DOMAIN
                               : WC_DESTINATION_OTHER_DOMAIN]++;
  wc_decision_log_write (server->log, decision, wc_store_replica_get_version (server->replica).revision,
                         age_us != UINT64_MAX ? age_us : 0, server->now_us);
}

static void
flow_opened (void *user_data, uint64_t duration_us)
{
  WcForwardServer *server = user_data;

  wc_latency_histogram_add (server->metrics.opening, duration_us);
}

static void
request_answered (void *user_data, uint64_t duration_us)
{
  WcForwardServer *server = user_data;

  wc_latency_histogram_add (server->metrics.answer, duration_us);
}

static size_t
send_flow_note (void *user_data, const WcFlowNote *note)
{
  WcForwardServer *server = user_data;

  return wc_peer_endpoint_send_flow_note (server->peer_endpoint, note, server->now_us);
}

static void
announce_host (void *user_data, const WcFlowNote *note)
{
  (void)send_flow_note (user_data, note);
}

static void
apply_change (void *user_data, const WcStoreChange *change)
{
  WcForwardServer *server = user_data;

  server->now_us = wc_clock_monotonic_us ();
  wc_store_view_apply (server->forwarder, server->log, change, server->now_us, &server->view_counters);
}

static void
view_updated (void *user_data)
{
  WcForwardServer *server = user_data;

  wc_peer_endpoint_view_changed (server->peer_endpoint);
  /* The evacuation of a domain resets held openings. */
  wc_packet_socket_flush (server->packet_socket);
  if (server->is_view_loaded || wc_store_replica_get_version (server->replica).revision == 0 ||
      !wc_forwarder_get_routes (server->forwarder))
    return;
  server->is_view_loaded = true;
  server->peers_deadline_us = wc_clock_monotonic_us () + WC_READINESS_PEERS_WAIT_US;
  /* Packets that arrived earlier are still in the kernel's receive buffer. */
  wc_packet_socket_start (server->packet_socket);
  log_first_readiness (server);
}

static void
source_lost (void *user_data)
{
  wc_peer_endpoint_source_lost (((WcForwardServer *)user_data)->peer_endpoint);
}

static void
indirect_changed (void *user_data, bool is_indirect)
{
  wc_peer_endpoint_set_indirect (((WcForwardServer *)user_data)->peer_endpoint, is_indirect);
}

static uint64_t
get_view_age_us (const WcForwardServer *server)
{
  uint64_t view_us = wc_store_replica_get_confirmed_us (server->replica);

  return view_us > 0 ? wc_clock_monotonic_us () - view_us : UINT64_MAX;
}

static WcReadiness
get_readiness (const WcForwardServer *server)
{
  const WcReadinessInput input = {
    .is_stopping = server->stop_start_us > 0,
    .is_view_loaded = server->is_view_loaded,
    .view_age_us = get_view_age_us (server),
    .peers_deadline_us = server->peers_deadline_us,
  };

  return wc_readiness_evaluate (&input, server->peers, wc_clock_monotonic_us ());
}

static bool
is_ready (void *user_data)
{
  return get_readiness (user_data) == WC_READINESS_READY;
}

static void
log_first_readiness (WcForwardServer *server)
{
  if (server->was_ready || !is_ready (server))
    return;
  server->was_ready = true;
  log_state (server, "ready");
}

static char *
format_metrics (void *user_data)
{
  const WcForwardServer *server = user_data;
  const WcForwardGauges  gauges = {
     .forwarder = server->forwarder,
     .packets = wc_packet_socket_get_counters (server->packet_socket),
     .reader = wc_view_reader_get_counters (server->reader),
     .view = &server->view_counters,
     .view_era = wc_store_replica_get_version (server->replica).era,
     .held_changes = wc_store_replica_get_held (server->replica),
     .view_revision = wc_store_replica_get_version (server->replica).revision,
     .view_age_us = get_view_age_us (server),
     .peers = wc_peer_table_count_live (server->peers, wc_clock_monotonic_us ()),
     .peer_datagrams_malformed = wc_peer_endpoint_get_malformed (server->peer_endpoint),
     .log_lines_suppressed = wc_event_log_get_suppressed (server->log),
  };

  return wc_forward_metrics_format (&server->metrics, &gauges);
}

static char *
format_status (void *user_data)
{
  WcForwardServer      *server = user_data;
  const WcForwardStatus status = {
    .instance = server->settings->instance,
    .domain = server->settings->domain,
    .forwarder = server->forwarder,
    .view_age_us = get_view_age_us (server),
    .readiness = get_readiness (server),
  };

  return wc_forward_status_format (&status, wc_clock_monotonic_us ());
}

static char *
format_explanation (void *user_data, const char *route, const char *caller, WcError *error)
{
  const WcForwardServer *server = user_data;
  const WcRouteTable    *routes = wc_forwarder_get_routes (server->forwarder);
  uint64_t               age_us = get_view_age_us (server);
  WcExplanation          explanation;
  WcFlowKey              key;
  char                  *text;

  if (wc_explanation_json_parse_flow (route, caller, &key, error) != WC_STATUS_OK)
    return NULL;
  wc_forwarder_explain (server->forwarder, &key, wc_clock_monotonic_us (), &explanation);
  text = wc_explanation_json_format (
      &explanation, server->settings->instance, routes ? wc_route_table_get_version (routes) : 0,
      wc_store_replica_get_version (server->replica).revision, age_us != UINT64_MAX ? age_us : 0);
  wc_explanation_finish (&explanation);
  return text;
}

static void
fill_own_state (void *user_data, WcGossip *gossip)
{
  const WcForwardServer *server = user_data;
  uint64_t               age_us = get_view_age_us (server);

  gossip->revision = wc_store_replica_get_version (server->replica).revision;
  gossip->view_age_ms = age_us != UINT64_MAX ? (uint32_t)(age_us / 1000) : UINT32_MAX;
  gossip->stopping = server->stop_start_us > 0;
}

/*
 * Reports hosts with recent failures first, then all in round-robin order, because one datagram may not hold all of
 * them.
 */
static void
add_next_host_reports (void *user_data, WcGossip *gossip)
{
  WcForwardServer   *server = user_data;
  const WcHostTable *hosts = wc_forwarder_get_hosts (server->forwarder);
  size_t             count = wc_host_table_get_count (hosts);
  uint64_t           now_us = wc_clock_monotonic_us ();

  gossip->host_count +=
      wc_forwarder_add_failure_reports (server->forwarder, gossip->hosts, FAILURE_REPORTS_MAX, now_us);
  for (size_t i = 0; i < count && gossip->host_count < WC_GOSSIP_MAX_HOSTS; i++)
    {
      const WcHost *host = wc_host_table_get (hosts, server->next_reported_host++ % count);

      if (host->record.state != WC_HOST_GONE && host->flows > 0 &&
          !wc_forwarder_has_failure_news (server->forwarder, host, now_us))
        gossip->hosts[gossip->host_count++] = wc_forwarder_get_report (server->forwarder, host, now_us);
    }
}

/* Adds the report of this instance first, then the reports that it received from peers. */
static void
add_host_reports (void *user_data, uint64_t id, WcGossip *gossip)
{
  WcForwardServer *server = user_data;
  const WcHost    *host = wc_host_table_find (wc_forwarder_get_hosts (server->forwarder), id);
  uint64_t         now_us = wc_clock_monotonic_us ();

  if (!host || gossip->host_count + 1 + WC_HOST_WITNESSES > WC_GOSSIP_MAX_HOSTS)
    return;
  gossip->hosts[gossip->host_count++] = wc_forwarder_get_report (server->forwarder, host, now_us);
  gossip->host_count += wc_host_report_from_witnesses (host, now_us, &gossip->hosts[gossip->host_count]);
}

static void
gossip_received (void *user_data, const WcGossip *gossip)
{
  WcForwardServer *server = user_data;
  uint64_t         now_us = wc_clock_monotonic_us ();
  bool             is_own_domain = gossip->sender.domain == wc_peer_table_get_self (server->peers)->domain;

  server->now_us = now_us;
  log_first_readiness (server);
  wc_forwarder_set_domain_peers (server->forwarder, wc_peer_table_count_domain (server->peers, now_us));
  wc_forwarder_update_leases (server->forwarder, server->peers, now_us);
  for (size_t i = 0; i < gossip->host_count; i++)
    wc_forwarder_apply_report (server->forwarder, gossip->sender.incarnation, is_own_domain, &gossip->hosts[i], now_us);
  wc_forwarder_apply_domain_load (server->forwarder, gossip->sender.domain,
                                  wc_peer_table_count_in (server->peers, gossip->sender.domain, now_us), gossip->hosts,
                                  gossip->host_count, now_us);
  for (size_t i = 0; i < gossip->flow_count; i++)
    if (!gossip->flows[i].asks)
      wc_forwarder_apply_flow_note (server->forwarder, &gossip->flows[i], now_us);
  wc_packet_socket_flush (server->packet_socket);
}

static WcFlowNote
answer_flow_note (void *user_data, const WcFlowNote *question)
{
  return wc_forwarder_answer_flow_note (((WcForwardServer *)user_data)->forwarder, question, wc_clock_monotonic_us ());
}

/* An instance that has started knows no flow. */
static void
peer_joined (void *user_data, const WcPeerEntry *peer)
{
  WcForwardServer *server = user_data;
  WcFlowNote       notes[JOIN_FLOW_NOTES_MAX];
  size_t           count;

  if (peer->domain != wc_peer_table_get_self (server->peers)->domain)
    return;
  count = wc_forwarder_get_flow_notes (server->forwarder, notes, G_N_ELEMENTS (notes), wc_clock_monotonic_us ());
  wc_peer_endpoint_send_flow_notes (server->peer_endpoint, &peer->address, notes, count);
}

static void
settings_changed (void *user_data, const WcForwardSettings *settings)
{
  WcForwardServer *server = user_data;

  wc_peer_table_set_seeds (server->peers, settings->seeds, settings->seed_count);
}

static void
tick_timer_expired (struct ev_loop *loop, ev_timer *watcher, int events)
{
  WcForwardServer *server = watcher->data;

  (void)loop;
  (void)events;
  server->now_us = wc_clock_monotonic_us ();
  detect_delay (server);
  log_first_readiness (server);
  wc_forwarder_update_leases (server->forwarder, server->peers, server->now_us);
  wc_forwarder_tick (server->forwarder, server->now_us);
  wc_peer_endpoint_tick (server->peer_endpoint, server->now_us);
  wc_settings_watch_tick (server->settings_watch, server->now_us);
  if (server->now_us >= server->gossip_deadline_us)
    run_gossip_round (server);
  query_peers_about_hosts (server);
  report_failures (server);
  wc_packet_socket_flush (server->packet_socket);
  if (server->stop_start_us > 0)
    stop_when_idle (server);
}

/*
 * Discards the evidence on hosts when this instance itself may have delayed packets: after a late tick, or when packets
 * were waiting in the socket. After a pause, the view is read again as well.
 */
static void
detect_delay (WcForwardServer *server)
{
  uint64_t gap_us = server->last_tick_us > 0 ? server->now_us - server->last_tick_us : 0;
  uint64_t full_batches = wc_packet_socket_get_counters (server->packet_socket)->full_batches;

  if (gap_us > LATE_TICK_MIN_US || full_batches - server->full_batches >= FULL_BATCHES_MIN)
    wc_forwarder_discard_evidence (server->forwarder, server->now_us);
  server->last_tick_us = server->now_us;
  server->full_batches = full_batches;
  if (gap_us <= PAUSE_MIN_US)
    return;
  log_state (server, "paused");
  wc_view_reader_restart (server->reader);
}

static void
run_gossip_round (WcForwardServer *server)
{
  bool is_discovering = server->now_us < server->discovery_deadline_us && !wc_peer_table_has_heard (server->peers);

  server->gossip_deadline_us = server->now_us + (is_discovering ? DISCOVERY_INTERVAL_US : GOSSIP_INTERVAL_US);
  wc_peer_table_evict (server->peers, server->now_us);
  wc_forwarder_set_domain_peers (server->forwarder, wc_peer_table_count_domain (server->peers, server->now_us));
  wc_peer_endpoint_send_gossip (server->peer_endpoint, server->now_us);
}

/* Sends the reports on unresponsive hosts to peers of the own domain and requests theirs. */
static void
query_peers_about_hosts (WcForwardServer *server)
{
  for (int i = 0; i < QUERIED_HOSTS_PER_TICK; i++)
    {
      const WcHost *host = wc_forwarder_next_query (server->forwarder, server->now_us);

      if (!host)
        return;
      wc_peer_endpoint_query_peers (server->peer_endpoint, host->record.id, server->now_us);
    }
}

/* Sends the reports on hosts with new failures to the peers that join them, and requests theirs. */
static void
report_failures (WcForwardServer *server)
{
  for (int i = 0; i < FAILING_HOSTS_PER_TICK; i++)
    {
      const WcHost *host = wc_forwarder_next_failure (server->forwarder, server->now_us);

      if (!host)
        return;
      wc_peer_endpoint_report_failures (server->peer_endpoint, host->record.id, server->now_us);
    }
}

/* The first SIGTERM or SIGINT begins a planned stop, the second one ends the instance immediately. */
static void
signal_received (struct ev_loop *loop, ev_signal *watcher, int events)
{
  WcForwardServer *server = watcher->data;

  (void)events;
  if (watcher->signum == SIGHUP)
    {
      wc_settings_watch_reload (server->settings_watch);
      return;
    }
  if (server->stop_start_us > 0)
    {
      ev_break (loop, EVBREAK_ALL);
      return;
    }
  server->stop_start_us = wc_clock_monotonic_us ();
  wc_forwarder_release_leases (server->forwarder, server->stop_start_us);
  log_state (server, "stopping");
}

/* Ends forwarding once the fabric has removed this instance from rotation, or shortly before stop_limit_ms is over. */
static void
stop_when_idle (WcForwardServer *server)
{
  uint64_t elapsed_us = server->now_us - server->stop_start_us;
  uint64_t limit_us = (uint64_t)server->settings->stop_limit_ms * 1000;

  if (elapsed_us + STOP_RESERVE_US >= limit_us ||
      (elapsed_us >= STOP_MIN_US &&
       server->now_us - wc_packet_socket_get_last_received_us (server->packet_socket) >= STOP_IDLE_US))
    ev_break (server->loop, EVBREAK_ALL);
}

static void
log_state (WcForwardServer *server, const char *event)
{
  WcEventLine        *line = wc_event_log_begin (server->log, "serve", event);
  const WcRouteTable *routes = wc_forwarder_get_routes (server->forwarder);

  wc_event_line_add_text (line, "domain", server->settings->domain);
  wc_event_line_add_uint (line, "config", routes ? wc_route_table_get_version (routes) : 0);
  wc_event_line_add_uint (line, "view_era", wc_store_replica_get_version (server->replica).era);
  wc_event_line_add_uint (line, "view_revision", wc_store_replica_get_version (server->replica).revision);
  wc_event_line_add_uint (line, "flows", wc_forwarder_get_flow_count (server->forwarder));
  wc_event_line_end (line);
}
