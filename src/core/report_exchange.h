#ifndef WC_CORE_REPORT_EXCHANGE_H
#define WC_CORE_REPORT_EXCHANGE_H

#include "core/backlog_report.h"
#include "core/domain_delay.h"

/**
 * struct WcReportPeer - owner of the same shard in another domain, and its newest report.
 * @incarnation: that sent the newest report.
 * @newest_sent_us: sender's time of the newest report; 0 for none.
 * @received_us: when it arrived.
 * @sent_us: when a report was last sent to this owner.
 */
typedef struct
{
  uint32_t domain;
  uint64_t instance;
  uint64_t incarnation;
  uint64_t newest_sent_us;
  uint64_t received_us;
  uint64_t sent_us;
} WcReportPeer;

/**
 * struct WcReportExchange - backlog reports between the owners of one shard of a service.
 * @last_request_us: when this owner last had a request.
 * @last_active_report_us: when a report of an active owner last arrived.
 */
typedef struct
{
  WcSpill      spill;
  WcReportPeer peers[WC_SPILL_MAX_DOMAINS];
  size_t       count;
  uint64_t     last_request_us;
  uint64_t     last_active_report_us;
  uint64_t     last_sent_us;
} WcReportExchange;

void wc_report_exchange_init (WcReportExchange *exchange);

/**
 * wc_report_exchange_set_peers() - use these owners; only @domain and @instance of each are read.
 *
 * What is known of an owner that stays is kept; a new owner of a domain starts without a report.
 */
void wc_report_exchange_set_peers (WcReportExchange *exchange, const WcReportPeer *peers, size_t count,
                                   const WcDomainDelays *delays);

/** wc_report_exchange_is_active() - whether this owner had requests lately. */
bool wc_report_exchange_is_active (const WcReportExchange *exchange, uint64_t now_us);

/** wc_report_exchange_is_needed() - whether this owner or another one had requests lately. */
bool wc_report_exchange_is_needed (const WcReportExchange *exchange, uint64_t now_us);

/** wc_report_exchange_fill() - set time, echo and activity of a report to a peer; it counts as sent. */
void wc_report_exchange_fill (WcReportExchange *exchange, uint64_t now_us, WcReportPeer *peer, WcBacklogReport *report);

/**
 * wc_report_exchange_accept() - use a report that has arrived.
 * @incarnation: of this instance.
 * @delays: gets the round trip that the report's echo shows.
 *
 * Return: false for a report that is not newer than the last one, that took longer than its life, or whose sender is
 * not the owner or another incarnation than the one heard within a report's life.
 */
bool wc_report_exchange_accept (WcReportExchange *exchange, uint64_t now_us, uint64_t incarnation,
                                const WcBacklogReport *report, WcDomainDelays *delays);

/** wc_report_exchange_find() - NULL for a domain that has no owner to exchange reports with. */
WcReportPeer *wc_report_exchange_find (WcReportExchange *exchange, uint32_t domain);

#endif
