#include "edge/forward_metrics.h"

#include <assert.h>
#include <string.h>

static void add_counter (GString *text, const char *name, const char *help, uint64_t value);
static void add_gauge (GString *text, const char *name, const char *help, double value);
static void add_decisions (GString *text, const WcForwardMetrics *metrics);
static void add_openings (GString *text, const WcOpeningCounters *counters);
static void add_warm_up (GString *text, const WcForwarder *forwarder);
static void add_destinations (GString *text, const WcForwardMetrics *metrics);
static void add_hosts (GString *text, const WcHostTable *hosts);

const char *const WC_DESTINATION_STRINGS[WC_DESTINATION_COUNT] = { "own", "other" };

void
wc_forward_metrics_init (WcForwardMetrics *metrics)
{
  assert (metrics != NULL);

  memset (metrics, 0, sizeof *metrics);
  metrics->opening = wc_latency_histogram_new ();
  metrics->answer = wc_latency_histogram_new ();
}

void
wc_forward_metrics_finish (WcForwardMetrics *metrics)
{
  wc_latency_histogram_delete (metrics->opening);
  wc_latency_histogram_delete (metrics->answer);
}

char *
wc_forward_metrics_format (const WcForwardMetrics *metrics, const WcForwardGauges *gauges)
{
  GString            *text = g_string_new (NULL);
  const WcRouteTable *routes;

  assert (metrics != NULL && gauges != NULL);

  routes = wc_forwarder_get_routes (gauges->forwarder);
  add_decisions (text, metrics);
  add_destinations (text, metrics);
  add_counter (text, "forward_packets_received_total", "Packets received from callers.", gauges->packets->received);
  add_counter (text, "forward_packets_sent_total", "Packets sent to hosts.", gauges->packets->forwarded);
  add_counter (text, "forward_packets_malformed_total", "Datagrams that are no packets.", gauges->packets->malformed);
  add_counter (text, "forward_resets_sent_total", "Resets sent to callers.", gauges->packets->resets);
  add_counter (text, "view_store_reads_total", "Reads of the platform's store.", gauges->reader->store_reads);
  add_counter (text, "view_peer_reads_total", "Reads of the store through a peer.", gauges->reader->peer_reads);
  add_counter (text, "view_read_failures_total", "Reads that failed.", gauges->reader->failures);
  add_counter (text, "view_history_expired_total", "Reads from a revision that the source does not know.",
               gauges->reader->expired);
  add_counter (text, "view_overdue_reads_total", "Reads of the store because peers did not confirm the view in time.",
               gauges->reader->overdue);
  add_counter (text, "view_items_rejected_total", "Items in answers of the store that could not be used.",
               gauges->reader->rejected);
  add_counter (text, "hosts_rejected_total", "Entries of hosts that could not be used.", gauges->view->hosts_rejected);
  add_counter (text, "routes_rejected_total", "Routes, services of routes and rates that could not be used.",
               gauges->view->routes_rejected);
  add_counter (text, "configs_rejected_total", "Configurations that could not be used.",
               gauges->view->configs_rejected);
  add_counter (text, "view_peers_behind_total", "Peers given up because their view was older than one known elsewhere.",
               gauges->reader->behind);
  add_counter (text, "peer_datagrams_malformed_total", "Datagrams that are no news of a peer.",
               gauges->peer_datagrams_malformed);
  add_counter (text, "log_lines_suppressed_total", "Log lines not written to keep within limits.",
               gauges->log_lines_suppressed);
  add_gauge (text, "config_version", "Version of the configuration in force.",
             routes ? (double)wc_route_table_get_version (routes) : 0);
  add_gauge (text, "view_era", "Number of the store's history that is known.", (double)gauges->view_era);
  add_gauge (text, "view_held_changes", "Changes of a restored store that are held back.",
             (double)gauges->held_changes);
  add_gauge (text, "view_revision", "Revision of the store that is known.", (double)gauges->view_revision);
  add_gauge (text, "view_age_seconds", "Time since the store confirmed the view; -1 for never.",
             gauges->view_age_us == UINT64_MAX ? -1 : (double)gauges->view_age_us / 1e6);
  add_gauge (text, "evacuated_domains", "Domains whose hosts receive no new flows.",
             (double)wc_evacuation_get_count (wc_forwarder_get_evacuation (gauges->forwarder)));
  add_gauge (text, "peers", "Other instances that are live.", gauges->peers);
  add_gauge (text, "flows", "Flows remembered.", (double)wc_forwarder_get_flow_count (gauges->forwarder));
  add_openings (text, wc_forwarder_get_opening_counters (gauges->forwarder));
  add_warm_up (text, gauges->forwarder);
  add_hosts (text, wc_forwarder_get_hosts (gauges->forwarder));
  wc_latency_histogram_print (metrics->opening, "opening_seconds",
                              "From an opening packet to the first packet of the open flow.", text);
  wc_latency_histogram_print (metrics->answer, "answer_seconds",
                              "From a request to the acknowledgement of the first part of its answer.", text);
  return g_string_free (text, FALSE);
}

/* local functions */

static void
add_counter (GString *text, const char *name, const char *help, uint64_t value)
{
  g_string_append_printf (
      text, "# HELP wigeoncart_%s %s\n# TYPE wigeoncart_%s counter\nwigeoncart_%s %" G_GUINT64_FORMAT "\n", name, help,
      name, name, value);
}

static void
add_gauge (GString *text, const char *name, const char *help, double value)
{
  g_string_append_printf (text, "# HELP wigeoncart_%s %s\n# TYPE wigeoncart_%s gauge\nwigeoncart_%s %.15g\n", name,
                          help, name, name, value);
}

static void
add_decisions (GString *text, const WcForwardMetrics *metrics)
{
  g_string_append (text, "# HELP wigeoncart_decisions_total Decisions by kind.\n"
                         "# TYPE wigeoncart_decisions_total counter\n");
  for (int kind = 0; kind < WC_DECISION_COUNT; kind++)
    g_string_append_printf (text, "wigeoncart_decisions_total{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            wc_decision_get_name ((WcDecisionKind)kind), metrics->decisions[kind]);
}

static void
add_openings (GString *text, const WcOpeningCounters *counters)
{
  add_counter (text, "openings_first_total", "Openings forwarded to a first host.", counters->first);
  g_string_append (text, "# HELP wigeoncart_openings_second_total Openings forwarded to another host, by cause.\n"
                         "# TYPE wigeoncart_openings_second_total counter\n");
  for (int cause = 0; cause < WC_OPENING_CAUSE_COUNT; cause++)
    g_string_append_printf (text, "wigeoncart_openings_second_total{cause=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            WC_OPENING_CAUSE_STRINGS[cause], counters->second[cause]);
  add_counter (text, "openings_second_refused_total", "Openings not forwarded to another host because of the budget.",
               counters->refused);
  add_counter (text, "openings_abandoned_total", "Flows abandoned by their callers before a host answered.",
               counters->abandoned);
}

static void
add_warm_up (GString *text, const WcForwarder *forwarder)
{
  const WcForwarderWarmUp warm_up = wc_forwarder_get_warm_up (forwarder);

  add_counter (text, "flows_diverted_total", "New flows placed elsewhere because a cold host could not take them.",
               warm_up.flows_diverted);
  add_gauge (text, "hosts_warming", "Cold hosts to which new flows are limited.", warm_up.limited_hosts);
  add_gauge (text, "hosts_warming_leased", "Those of them to which this instance may send new flows.", warm_up.leases);
}

static void
add_destinations (GString *text, const WcForwardMetrics *metrics)
{
  g_string_append (text, "# HELP wigeoncart_flows_placed_total Flows given to a host, by the domain of the host.\n"
                         "# TYPE wigeoncart_flows_placed_total counter\n");
  for (int destination = 0; destination < WC_DESTINATION_COUNT; destination++)
    g_string_append_printf (text, "wigeoncart_flows_placed_total{domain=\"%s\"} %" G_GUINT64_FORMAT "\n",
                            WC_DESTINATION_STRINGS[destination], metrics->placed[destination]);
}

static void
add_hosts (GString *text, const WcHostTable *hosts)
{
  uint32_t counts[WC_HOST_STATE_COUNT] = { 0 };
  uint32_t failing = 0;

  for (size_t i = 0; i < wc_host_table_get_count (hosts); i++)
    {
      const WcHost *host = wc_host_table_get (hosts, i);

      counts[host->record.state]++;
      failing += wc_host_failures_is_ejected (&host->failures);
    }
  g_string_append (text, "# HELP wigeoncart_hosts Hosts by state.\n# TYPE wigeoncart_hosts gauge\n");
  for (int state = 0; state < WC_HOST_STATE_COUNT; state++)
    g_string_append_printf (text, "wigeoncart_hosts{state=\"%s\"} %u\n", WC_HOST_STATE_STRINGS[state], counts[state]);
  add_gauge (text, "hosts_failing", "Hosts avoided because they fail more requests than others.", failing);
}
