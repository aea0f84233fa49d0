#include "edge/decision_log.h"

#include <assert.h>

#include <glib.h>

enum
{
  FLOW_TEXT_BYTES = 64
};

static void add_flow (WcEventLine *line, const WcFlowKey *key);
static void add_domain (WcEventLine *line, const WcDecision *decision);
static void add_host (WcEventLine *line, const WcHost *host);

void
wc_decision_log_write (WcEventLog *log, const WcDecision *decision, uint64_t view_revision, uint64_t view_age_us,
                       uint64_t now_us)
{
  WcEventLine *line = wc_event_log_begin (log, "forward", wc_decision_get_name (decision->kind));

  assert (decision != NULL);

  if (!line)
    return;
  if (decision->key)
    add_flow (line, decision->key);
  if (decision->request_id != 0)
    wc_event_line_add_id (line, "request", decision->request_id);
  if (decision->host)
    add_host (line, decision->host);
  if (decision->domain != 0)
    add_domain (line, decision);
  if (decision->evidence_us > 0)
    wc_event_line_add_uint (line, "evidence_ms", (now_us - decision->evidence_us) / 1000);
  if (decision->count > 0 && decision->domain == 0)
    wc_event_line_add_uint (line, "evidence_count", decision->count);
  if (decision->witnesses > 0)
    wc_event_line_add_uint (line, "witnesses", decision->witnesses);
  if (decision->answered > 0)
    wc_event_line_add_uint (line, "answered", decision->answered);
  if (decision->forwards_per_s > 0)
    wc_event_line_add_uint (line, "forwards_per_s", decision->forwards_per_s);
  if (decision->share_percent > 0)
    {
      wc_event_line_add_uint (line, "share_percent", decision->share_percent);
      wc_event_line_add_uint (line, "priority", decision->priority);
    }
  if (decision->is_guaranteed)
    wc_event_line_add_uint (line, "guaranteed", 1);
  if (decision->exceeds_share)
    wc_event_line_add_uint (line, "exceeds_share", 1);
  if (decision->kind == WC_DECISION_PLACED_AWAY)
    {
      wc_event_line_add_uint (line, "own_expected_us", decision->own_expected_us);
      wc_event_line_add_uint (line, "other_expected_us", decision->other_expected_us);
      wc_event_line_add_uint (line, "away_rate_milli", decision->away_rate_milli);
    }
  wc_event_line_add_uint (line, "config", decision->version);
  wc_event_line_add_uint (line, "view_revision", view_revision);
  wc_event_line_add_uint (line, "view_age_ms", view_age_us / 1000);
  wc_event_line_end (line);
}

/* local functions */

/* Formats the flow as "caller>route", each an IPv4 address with its port. */
static void
add_flow (WcEventLine *line, const WcFlowKey *key)
{
  char text[FLOW_TEXT_BYTES];

  g_snprintf (text, sizeof text, "%u.%u.%u.%u:%u>%u.%u.%u.%u:%u", key->caller_ip >> 24, key->caller_ip >> 16 & 255,
              key->caller_ip >> 8 & 255, key->caller_ip & 255, key->caller_port, key->route_ip >> 24,
              key->route_ip >> 16 & 255, key->route_ip >> 8 & 255, key->route_ip & 255, key->route_port);
  wc_event_line_add_text (line, "flow", text);
}

static void
add_domain (WcEventLine *line, const WcDecision *decision)
{
  wc_event_line_add_text (line, "domain", g_quark_to_string (decision->domain));
  wc_event_line_add_uint (line, "domain_revision", decision->domain_revision);
  wc_event_line_add_uint (line, "domain_hosts", decision->count);
}

static void
add_host (WcEventLine *line, const WcHost *host)
{
  char address[WC_ADDRESS_TEXT_BYTES];

  wc_event_line_add_text (line, "host", host->record.name);
  wc_event_line_add_text (line, "address", wc_address_format (&host->record.address, address));
  wc_event_line_add_text (line, "service", g_quark_to_string (host->record.service));
  wc_event_line_add_text (line, "state", WC_HOST_STATE_STRINGS[host->record.state]);
  wc_event_line_add_uint (line, "host_revision", host->revision);
  wc_event_line_add_uint (line, "host_flows", host->flows);
  wc_event_line_add_uint (line, "host_busy", host->busy_flows);
}
