#include "core/mix.h"
#include "emulator/flow_experiment_private.h"

enum
{
  TICK_US = 100 * 1000,
  GOSSIP_US = 500 * 1000,
  /* Delay of a report between instances, with the time until a busy instance reads it. */
  GOSSIP_DELAY_US = 2 * 1000,
  /* Time after the start of an instance until it knows its peers. */
  PEERS_KNOWN_US = 300 * 1000,
  REPORTS_MAX = 16,
  /* As in the server. */
  FAILURE_REPORTS_MAX = 8,
  FAILING_HOSTS_PER_TICK = 2,
  MAX_FLOWS = 16384,
  FLOW_LIFETIME_US = 60 * 1000 * 1000,
  REVISION = 1,
  /* Index that stands for a caller whose packet has no request, because the flow is an earlier attempt's. */
  NO_REQUEST = UINT32_MAX
};

static const char SERVICE[] = "service";

static void            start_instance (WcFlowExperiment *experiment, WcFlowInstance *instance);
static void            add_host (WcForwarder *forwarder, const WcFlowExperiment *experiment, uint32_t index);
static uint32_t        domain_quark (uint32_t domain);
static WcFlowInstance *choose_instance (WcFlowExperiment *experiment, const WcFlowKey *key, uint32_t domain);
static void            schedule_timers (WcFlowInstance *instance);
static void            send_reports (WcFlowInstance *instance);
static void            send_reports_to (WcFlowInstance *instance, WcFlowInstance *peer);
static void send_report (const WcFlowInstance *instance, const WcHost *host, bool failures_only, WcFlowInstance *peer);
static void report_failures (WcFlowInstance *instance);
static WcFlowKey key_of (const WcFlowExperiment *experiment, uint32_t request);
static uint32_t  request_of (const WcFlowExperiment *experiment, const WcFlowKey *key);
static void      send_to_host (WcFlowExperiment *experiment, uint32_t index, uint32_t host, uint64_t delay_us);
static void      forward (void *user_data, const WcPacket *packet, const WcHost *host, uint32_t cookie);
static void      reset (void *user_data, const WcFlowKey *key, uint32_t sequence);
static void      decided (void *user_data, const WcDecision *decision);
static void      ignore_duration (void *user_data, uint64_t duration_us);

static const WcForwarderOps FORWARDER_OPS = { forward, reset, decided, ignore_duration, ignore_duration, NULL, NULL };

void
wc_flow_experiment_fleet_init (WcFlowExperiment *experiment)
{
  uint32_t scale = MAX (experiment->config->scale, 1);
  uint32_t per_domain = experiment->scenario->instances * scale;

  experiment->instance_count = experiment->scenario->domains * per_domain;
  experiment->instances = g_new0 (WcFlowInstance, experiment->instance_count);
  experiment->callers = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    experiment->instances[i] =
        (WcFlowInstance){ .experiment = experiment, .index = i, .domain = i / per_domain, .timers_us = UINT64_MAX };
}

void
wc_flow_experiment_fleet_finish (WcFlowExperiment *experiment)
{
  wc_flow_experiment_fleet_stop (experiment);
  g_array_unref (experiment->callers);
  g_free (experiment->instances);
}

void
wc_flow_experiment_fleet_start (WcFlowExperiment *experiment, uint64_t span_us)
{
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    wc_flow_experiment_schedule (experiment, span_us * (wc_mix64 (i) % 100) / 100, WC_FLOW_EVENT_START, 0,
                                 experiment->instances[i].epoch, i, 0);
}

void
wc_flow_experiment_fleet_stop (WcFlowExperiment *experiment)
{
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    {
      wc_forwarder_delete (experiment->instances[i].forwarder);
      experiment->instances[i].forwarder = NULL;
      experiment->instances[i].is_running = false;
      experiment->instances[i].epoch++;
    }
}

void
wc_flow_experiment_handle_instance (WcFlowExperiment *experiment, const WcExperimentEvent *event)
{
  WcFlowInstance *instance = &experiment->instances[event->entity];

  if (event->epoch != instance->epoch)
    return;
  if (event->kind == WC_FLOW_EVENT_START)
    {
      instance->is_running = true;
      if (experiment->config->policy->dispatch == WC_FLOW_DISPATCH_INSTANCES)
        start_instance (experiment, instance);
      return;
    }
  if (event->kind == WC_FLOW_EVENT_TIMERS)
    {
      instance->timers_us = UINT64_MAX;
      wc_forwarder_run_timers (instance->forwarder, experiment->now_us);
    }
  else if (event->kind == WC_FLOW_EVENT_TICK)
    {
      wc_forwarder_tick (instance->forwarder, experiment->now_us);
      report_failures (instance);
      if (experiment->now_us - instance->started_us >= PEERS_KNOWN_US)
        wc_forwarder_set_domain_peers (instance->forwarder,
                                       experiment->instance_count / experiment->scenario->domains - 1);
      wc_flow_experiment_schedule (experiment, TICK_US, WC_FLOW_EVENT_TICK, 0, instance->epoch, instance->index, 0);
    }
  else
    {
      send_reports (instance);
      wc_flow_experiment_schedule (experiment, GOSSIP_US, WC_FLOW_EVENT_GOSSIP, 0, instance->epoch, instance->index, 0);
    }
  schedule_timers (instance);
}

void
wc_flow_experiment_receive (WcFlowExperiment *experiment, uint32_t request, uint32_t attempt, WcFlowEventKind kind,
                            uint32_t argument)
{
  static uint8_t       bytes[31 + WC_FLOW_EXPERIMENT_REQUEST_BYTES];
  const WcFlowRequest *state = wc_flow_experiment_request (experiment, request);
  bool                 is_opening = kind == WC_FLOW_EVENT_OPENING;
  WcPacket             packet = {
                .key = key_of (experiment, request),
                .cookie = is_opening || state->host == UINT32_MAX ? 0 : state->host + 1,
                .sequence = WC_FLOW_EXPERIMENT_CALLER_SEQUENCE + (is_opening ? 0 : 1 + state->sent),
                .acknowledged = is_opening ? argument : WC_FLOW_EXPERIMENT_HOST_SEQUENCE + 1 + state->received,
                .flags = is_opening ? WC_PACKET_SYN : WC_PACKET_ACK,
                .bytes = bytes,
  };
  WcFlowDispatch  dispatch = experiment->config->policy->dispatch;
  WcFlowInstance *instance;

  if (kind == WC_FLOW_EVENT_ACKNOWLEDGED)
    packet.key.caller_port = (uint16_t)(packet.key.caller_port - (state->attempt - attempt));
  instance = choose_instance (experiment, &packet.key, state->domain);
  if (!instance->is_running)
    return;
  if (dispatch != WC_FLOW_DISPATCH_INSTANCES)
    {
      bool is_request = kind == WC_FLOW_EVENT_REQUEST && argument == 0;

      if (is_opening || (is_request && dispatch == WC_FLOW_DISPATCH_OMNISCIENT))
        wc_flow_experiment_dispatch_opening (experiment, request, attempt);
      else if (kind == WC_FLOW_EVENT_REQUEST && state->running_attempt != attempt)
        send_to_host (experiment, request, state->host, 0);
      return;
    }
  if (kind == WC_FLOW_EVENT_REQUEST)
    packet.data_bytes = WC_FLOW_EXPERIMENT_REQUEST_BYTES;
  if (kind == WC_FLOW_EVENT_ACKNOWLEDGED)
    {
      packet.sequence += WC_FLOW_EXPERIMENT_REQUEST_BYTES;
      if (argument != WC_FLOW_EXPERIMENT_ABANDON)
        packet.acknowledged += WC_FLOW_EXPERIMENT_ANSWER_BYTES;
      if (argument)
        packet.flags |= WC_PACKET_FIN;
    }
  packet.size_bytes = (uint16_t)(31 + packet.data_bytes);
  wc_forwarder_receive (instance->forwarder, &packet, experiment->now_us);
  if (experiment->now_us >= wc_forwarder_get_deadline_us (instance->forwarder))
    wc_forwarder_run_timers (instance->forwarder, experiment->now_us);
  schedule_timers (instance);
}

/* local functions */

static void
start_instance (WcFlowExperiment *experiment, WcFlowInstance *instance)
{
  const WcFlowExperimentScenario *scenario = experiment->scenario;
  const WcForwarderSettings       settings = {
          .domain = domain_quark (instance->domain),
          .incarnation = 1 + instance->index,
          .max_flows = MAX_FLOWS,
          .flow_lifetime_us = FLOW_LIFETIME_US,
          .features = experiment->config->policy->features,
          .admission = experiment->config->policy->admission,
  };
  WcRouteTable *routes = wc_route_table_new (1);

  for (uint32_t i = 0; i < scenario->class_count; i++)
    {
      const WcFlowExperimentClass *class = &scenario->classes[i];
      const WcRoute route = {
        .ip = WC_FLOW_EXPERIMENT_ROUTE_IP,
        .port = (uint16_t)(WC_FLOW_EXPERIMENT_ROUTE_PORT + i),
        .kind = WC_TRAFFIC_IDEMPOTENT,
        .priority = (uint8_t)i,
        .target_latency_ms = (uint32_t)(class->target_us / 1000),
        .time_limit_ms = (uint32_t)(class->limit_us / 1000),
        .service_count = 1,
        .services = { { g_quark_from_static_string (SERVICE), 1 } },
      };

      wc_route_table_add (routes, &route);
    }
  instance->started_us = experiment->now_us;
  instance->timers_us = UINT64_MAX;
  instance->forwarder = wc_forwarder_new (&settings, &FORWARDER_OPS, instance);
  wc_forwarder_set_routes (instance->forwarder, routes, experiment->now_us);
  for (uint32_t i = 0; i < experiment->host_count; i++)
    add_host (instance->forwarder, experiment, i);
  wc_flow_experiment_schedule (experiment, TICK_US * (1 + instance->index) / experiment->instance_count,
                               WC_FLOW_EVENT_TICK, 0, instance->epoch, instance->index, 0);
  wc_flow_experiment_schedule (experiment, GOSSIP_US * (1 + instance->index) / experiment->instance_count,
                               WC_FLOW_EVENT_GOSSIP, 0, instance->epoch, instance->index, 0);
}

static void
add_host (WcForwarder *forwarder, const WcFlowExperiment *experiment, uint32_t index)
{
  const WcHostRecord record = {
    .id = index + 1,
    .service = g_quark_from_static_string (SERVICE),
    .domain = domain_quark (experiment->hosts[index].domain),
    .address = { .ip = { 10, 1, (uint8_t)(index >> 8), (uint8_t)index }, .family = 4, .port = 8080 },
    .state = WC_HOST_READY,
    .slots = (uint16_t)experiment->scenario->slots,
  };

  wc_forwarder_put_host (forwarder, &record, REVISION, experiment->now_us);
}

static uint32_t
domain_quark (uint32_t domain)
{
  char name[16];

  g_snprintf (name, sizeof name, "domain-%u", domain);
  return g_quark_from_string (name);
}

static WcFlowInstance *
choose_instance (WcFlowExperiment *experiment, const WcFlowKey *key, uint32_t domain)
{
  uint32_t per_domain = experiment->instance_count / experiment->scenario->domains;
  uint64_t hash = wc_mix64 ((uint64_t)key->caller_ip << 32 | (uint32_t)key->caller_port << 16 | key->route_port);

  return &experiment->instances[domain * per_domain + hash % per_domain];
}

static void
schedule_timers (WcFlowInstance *instance)
{
  WcFlowExperiment *experiment = instance->experiment;
  uint64_t          deadline_us = wc_forwarder_get_deadline_us (instance->forwarder);

  if (deadline_us >= instance->timers_us)
    return;
  instance->timers_us = deadline_us;
  wc_flow_experiment_schedule (experiment, deadline_us - MIN (deadline_us, experiment->now_us), WC_FLOW_EVENT_TIMERS, 0,
                               instance->epoch, instance->index, 0);
}

/* Sends reports on the next hosts to the next peer of the domain, and of another domain if the scenario says so. */
static void
send_reports (WcFlowInstance *instance)
{
  const WcFlowExperiment *experiment = instance->experiment;
  uint32_t                per_domain = experiment->instance_count / experiment->scenario->domains;
  uint32_t                round = (uint32_t)(experiment->now_us / GOSSIP_US);
  uint32_t                offset = per_domain > 1 ? 1 + round % (per_domain - 1) : 0;
  uint32_t                other;

  send_reports_to (instance,
                   &experiment->instances[instance->domain * per_domain + (instance->index + offset) % per_domain]);
  if (!experiment->scenario->gossips_across_domains)
    return;
  other = (instance->domain + 1 + round % (experiment->scenario->domains - 1)) % experiment->scenario->domains;
  send_reports_to (instance, &experiment->instances[other * per_domain + (instance->index + round) % per_domain]);
}

static void
send_reports_to (WcFlowInstance *instance, WcFlowInstance *peer)
{
  WcFlowExperiment  *experiment = instance->experiment;
  const WcHostTable *hosts = wc_forwarder_get_hosts (instance->forwarder);
  size_t             count = wc_host_table_get_count (hosts);
  WcHostReport       failures[FAILURE_REPORTS_MAX];
  WcHostReport       reports[REPORTS_MAX];
  bool               is_own_domain = peer->domain == instance->domain;
  size_t             failure_count = 0;
  size_t             sent = 0;

  if (peer == instance || !peer->forwarder)
    return;
  if (is_own_domain)
    failure_count =
        wc_forwarder_add_failure_reports (instance->forwarder, failures, FAILURE_REPORTS_MAX, experiment->now_us);
  for (size_t i = 0; i < failure_count; i++)
    wc_forwarder_apply_report (peer->forwarder, 1 + instance->index, true, &failures[i],
                               experiment->now_us + GOSSIP_DELAY_US);
  for (size_t i = 0; i < count && failure_count + sent < REPORTS_MAX; i++)
    {
      const WcHost *host = wc_host_table_get (hosts, instance->next_reported_host++ % count);

      if (host->flows == 0 ||
          (is_own_domain && wc_forwarder_has_failure_news (instance->forwarder, host, experiment->now_us)))
        continue;
      reports[sent++] = wc_forwarder_get_report (instance->forwarder, host, experiment->now_us);
    }
  for (size_t i = 0; i < sent; i++)
    wc_forwarder_apply_report (peer->forwarder, 1 + instance->index, peer->domain == instance->domain, &reports[i],
                               experiment->now_us + GOSSIP_DELAY_US);
  wc_forwarder_apply_domain_load (peer->forwarder, domain_quark (instance->domain),
                                  experiment->instance_count / experiment->scenario->domains, reports, sent,
                                  experiment->now_us + GOSSIP_DELAY_US);
  schedule_timers (peer);
}

static void
send_report (const WcFlowInstance *instance, const WcHost *host, bool failures_only, WcFlowInstance *peer)
{
  uint64_t     now_us = instance->experiment->now_us;
  WcHostReport report = wc_forwarder_get_report (instance->forwarder, host, now_us);

  report.failures_only = failures_only;
  wc_forwarder_apply_report (peer->forwarder, 1 + instance->index, true, &report, now_us + GOSSIP_DELAY_US);
}

/*
 * Sends the reports on hosts with new failures to the peers that join them, which reply with theirs. The peers follow
 * one another from an index that depends on the host, as if in the order of their ranks.
 */
static void
report_failures (WcFlowInstance *instance)
{
  WcFlowExperiment *experiment = instance->experiment;
  uint32_t          per_domain = experiment->instance_count / experiment->scenario->domains;

  for (int i = 0; i < FAILING_HOSTS_PER_TICK; i++)
    {
      const WcHost *host = wc_forwarder_next_failure (instance->forwarder, experiment->now_us);
      uint32_t      first;

      if (!host)
        return;
      first = (uint32_t)(wc_mix64 (host->record.id) % per_domain);
      for (uint32_t offset = 0, sent = 0; offset < per_domain && sent < WC_HOST_WITNESSES; offset++)
        {
          WcFlowInstance *peer = &experiment->instances[instance->domain * per_domain + (first + offset) % per_domain];
          const WcHost   *copy = peer->forwarder && peer != instance
                                     ? wc_host_table_find (wc_forwarder_get_hosts (peer->forwarder), host->record.id)
                                     : NULL;

          if (!copy)
            continue;
          send_report (instance, host, true, peer);
          send_report (peer, copy, true, instance);
          schedule_timers (peer);
          sent++;
        }
    }
}

static WcFlowKey
key_of (const WcFlowExperiment *experiment, uint32_t request)
{
  const WcFlowRequest *state = &g_array_index (experiment->requests, WcFlowRequest, request);

  if (state->caller >= experiment->callers->len)
    g_array_set_size (experiment->callers, state->caller + 1);
  g_array_index (experiment->callers, uint32_t, state->caller) = request;
  return (WcFlowKey){ WC_FLOW_EXPERIMENT_CALLER_IP + state->caller, WC_FLOW_EXPERIMENT_ROUTE_IP,
                      (uint16_t)(WC_FLOW_EXPERIMENT_CALLER_PORT + state->port),
                      (uint16_t)(WC_FLOW_EXPERIMENT_ROUTE_PORT + state->class_index) };
}

/* Return: index of the request whose current attempt uses the flow, or NO_REQUEST. */
static uint32_t
request_of (const WcFlowExperiment *experiment, const WcFlowKey *key)
{
  uint32_t index = g_array_index (experiment->callers, uint32_t, key->caller_ip - WC_FLOW_EXPERIMENT_CALLER_IP);
  const WcFlowRequest *request = &g_array_index (experiment->requests, WcFlowRequest, index);

  return request->end_us == 0 && WC_FLOW_EXPERIMENT_CALLER_PORT + request->port == key->caller_port ? index
                                                                                                    : NO_REQUEST;
}

static void
forward (void *user_data, const WcPacket *packet, const WcHost *host, uint32_t cookie)
{
  WcFlowInstance   *instance = user_data;
  WcFlowExperiment *experiment = instance->experiment;
  uint32_t          index = request_of (experiment, &packet->key);
  uint32_t          host_index = (uint32_t)host->record.id - 1;
  WcFlowRequest    *request;
  uint64_t          delay_us;

  (void)cookie;
  if (index == NO_REQUEST)
    return;
  request = wc_flow_experiment_request (experiment, index);
  delay_us = experiment->hosts[host_index].domain == instance->domain ? 0 : experiment->scenario->domain_delay_us;
  if (packet->flags & WC_PACKET_SYN)
    wc_flow_experiment_host_opening (experiment, host_index, index, request->attempt, delay_us);
  else if (packet->data_bytes > 0 && request->running_attempt != request->attempt)
    send_to_host (experiment, index, host_index, delay_us);
}

static void
send_to_host (WcFlowExperiment *experiment, uint32_t index, uint32_t host, uint64_t delay_us)
{
  WcFlowRequest *request = wc_flow_experiment_request (experiment, index);

  request->running_attempt = request->attempt;
  wc_flow_experiment_schedule (experiment, delay_us, WC_FLOW_EVENT_AT_HOST, index, request->attempt, host, 0);
}

static void
reset (void *user_data, const WcFlowKey *key, uint32_t sequence)
{
  const WcFlowInstance *instance = user_data;
  WcFlowExperiment     *experiment = instance->experiment;
  uint32_t              index = request_of (experiment, key);
  const WcFlowRequest  *request;

  (void)sequence;
  experiment->rejections++;
  if (index == NO_REQUEST)
    return;
  request = wc_flow_experiment_request (experiment, index);
  wc_flow_experiment_schedule (experiment, experiment->scenario->caller_delay_us, WC_FLOW_EVENT_REJECTED, index,
                               request->attempt, 0, 0);
}

static void
decided (void *user_data, const WcDecision *decision)
{
  const WcFlowInstance *instance = user_data;
  uint64_t              age_us;

  if (decision->kind != WC_DECISION_REJECTED_OVERLOAD && decision->kind != WC_DECISION_REJECTED_LESS_URGENT)
    return;
  age_us = instance->experiment->now_us - decision->evidence_us;
  g_array_append_val (instance->experiment->rejection_times_us, age_us);
}

static void
ignore_duration (void *user_data, uint64_t duration_us)
{
  (void)user_data;
  (void)duration_us;
}
