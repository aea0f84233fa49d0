#include "core/report_exchange.h"

#include <assert.h>

enum
{
  REPORT_LIFETIME_US = 1000 * 1000,
  /* Time after its last request for which an owner is active; less frequent requests gain nothing from reports. */
  ACTIVE_PERIOD_US = 2 * 1000 * 1000
};

void
wc_report_exchange_init (WcReportExchange *exchange)
{
  assert (exchange != NULL);

  *exchange = (WcReportExchange){ 0 };
  wc_spill_init (&exchange->spill, REPORT_LIFETIME_US);
}

void
wc_report_exchange_set_peers (WcReportExchange *exchange, const WcReportPeer *peers, size_t count,
                              const WcDomainDelays *delays)
{
  WcReportExchange old;

  assert (exchange != NULL);
  assert (peers != NULL || count == 0);
  assert (count <= WC_SPILL_MAX_DOMAINS);

  old = *exchange;
  exchange->count = count;
  wc_spill_init (&exchange->spill, REPORT_LIFETIME_US);
  exchange->spill.sent_load = old.spill.sent_load;
  exchange->spill.sent_us = old.spill.sent_us;
  for (size_t i = 0; i < count; i++)
    {
      const WcReportPeer *known = wc_report_exchange_find (&old, peers[i].domain);

      wc_spill_set_delay (&exchange->spill, peers[i].domain, wc_domain_delays_get_us (delays, peers[i].domain));
      if (known && known->instance == peers[i].instance)
        {
          exchange->peers[i] = *known;
          for (size_t j = 0; j < old.spill.count; j++)
            if (old.spill.peers[j].domain == peers[i].domain)
              exchange->spill.peers[i] = old.spill.peers[j];
          continue;
        }
      exchange->peers[i] = (WcReportPeer){ .domain = peers[i].domain, .instance = peers[i].instance };
      /* Makes a report due immediately, for the new owner. */
      exchange->spill.sent_us = 0;
    }
}

bool
wc_report_exchange_is_active (const WcReportExchange *exchange, uint64_t now_us)
{
  assert (exchange != NULL);

  return exchange->last_request_us != 0 && now_us < exchange->last_request_us + ACTIVE_PERIOD_US;
}

bool
wc_report_exchange_is_needed (const WcReportExchange *exchange, uint64_t now_us)
{
  return wc_report_exchange_is_active (exchange, now_us) ||
         (exchange->last_active_report_us != 0 && now_us < exchange->last_active_report_us + REPORT_LIFETIME_US);
}

void
wc_report_exchange_fill (WcReportExchange *exchange, uint64_t now_us, WcReportPeer *peer, WcBacklogReport *report)
{
  assert (exchange != NULL);
  assert (peer != NULL);
  assert (report != NULL);

  exchange->last_sent_us = now_us > exchange->last_sent_us ? now_us : exchange->last_sent_us + 1;
  peer->sent_us = now_us;
  report->sent_us = exchange->last_sent_us;
  report->active = wc_report_exchange_is_active (exchange, now_us);
  report->echo_us = 0;
  report->echo_held_us = 0;
  report->echo_incarnation = 0;
  if (peer->newest_sent_us == 0 || now_us - peer->received_us > REPORT_LIFETIME_US)
    return;
  report->echo_us = peer->newest_sent_us;
  report->echo_held_us = (uint32_t)(now_us - peer->received_us);
  report->echo_incarnation = (uint32_t)peer->incarnation;
}

bool
wc_report_exchange_accept (WcReportExchange *exchange, uint64_t now_us, uint64_t incarnation,
                           const WcBacklogReport *report, WcDomainDelays *delays)
{
  WcReportPeer *peer = NULL;
  uint64_t      round_trip_us = 0;
  bool          has_echo;

  assert (exchange != NULL);
  assert (report != NULL);
  assert (delays != NULL);

  for (size_t i = 0; i < exchange->count; i++)
    if (exchange->peers[i].instance == report->instance)
      peer = &exchange->peers[i];
  if (!peer || report->sent_us == 0)
    return false;
  if (peer->newest_sent_us != 0 && report->incarnation == peer->incarnation && report->sent_us <= peer->newest_sent_us)
    return false;
  /* Incarnations are not ordered, so a change is accepted only when the last report has expired. Otherwise, a delayed
   * report of the old incarnation could replace one of the new incarnation. */
  if (peer->newest_sent_us != 0 && report->incarnation != peer->incarnation &&
      now_us - peer->received_us <= REPORT_LIFETIME_US)
    return false;
  has_echo = report->echo_us != 0 && report->echo_incarnation == (uint32_t)incarnation &&
             report->echo_us + report->echo_held_us <= now_us;
  if (has_echo)
    {
      round_trip_us = now_us - report->echo_us - report->echo_held_us;
      if (round_trip_us > REPORT_LIFETIME_US)
        return false;
      wc_domain_delays_add (delays, now_us, peer->domain, round_trip_us);
    }

  peer->incarnation = report->incarnation;
  peer->newest_sent_us = report->sent_us;
  peer->received_us = now_us;
  if (report->active)
    exchange->last_active_report_us = now_us;
  wc_spill_set_delay (&exchange->spill, peer->domain, wc_domain_delays_get_us (delays, peer->domain));
  wc_spill_set_load (&exchange->spill, now_us, peer->domain, &report->load);
  return true;
}

WcReportPeer *
wc_report_exchange_find (WcReportExchange *exchange, uint32_t domain)
{
  assert (exchange != NULL);

  for (size_t i = 0; i < exchange->count; i++)
    if (exchange->peers[i].domain == domain)
      return &exchange->peers[i];
  return NULL;
}
