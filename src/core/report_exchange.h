#ifndef WC_CORE_REPORT_EXCHANGE_H
#define WC_CORE_REPORT_EXCHANGE_H

#include "core/backlog_report.h"
#include "core/domain_delay.h"

/**
 * struct WcReportPeer - owner of the same shard in another domain.
 * @incarnation: incarnation that sent the newest report.
 * @newest_sent_us: sending time of the newest report on the sender's clock, 0 for none.
 * @received_us: time at which the newest report arrived.
 * @sent_us: time at which a report was last sent to this owner.
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
 * struct WcReportExchange - backlog reports between the owners of one shard of a service in different domains.
 * @last_request_us: time of this owner's last request, 0 for none.
 * @last_active_report_us: time at which a report of an active owner last arrived, 0 for none.
 * @last_sent_us: sending time written into the last report; it increases with each report, also within one microsecond.
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
 * wc_report_exchange_set_peers() - set the owners in the other domains; only @domain and @instance are read.
 *
 * The state of an unchanged owner is kept; a new owner of a domain starts without a report.
 */
void wc_report_exchange_set_peers (WcReportExchange *exchange, const WcReportPeer *peers, size_t count,
                                   const WcDomainDelays *delays);

/** wc_report_exchange_is_active() - whether this owner had requests recently. */
bool wc_report_exchange_is_active (const WcReportExchange *exchange, uint64_t now_us);

/** wc_report_exchange_is_needed() - whether reports are needed because this or another owner had requests recently. */
bool wc_report_exchange_is_needed (const WcReportExchange *exchange, uint64_t now_us);

/** wc_report_exchange_fill() - set sending time, echo and activity of a report, and record it as sent to @peer. */
void wc_report_exchange_fill (WcReportExchange *exchange, uint64_t now_us, WcReportPeer *peer, WcBacklogReport *report);

/**
 * wc_report_exchange_accept() - process a received report.
 * @incarnation: incarnation of this instance.
 * @delays: updated with the round trip computed from the report's echo.
 *
 * Return: false, with the report ignored, when it is not newer than the last one, was in transit for longer than its
 * lifetime, or was sent by an instance that is not the owner, or by another incarnation within the lifetime of the last
 * report.
 */
bool wc_report_exchange_accept (WcReportExchange *exchange, uint64_t now_us, uint64_t incarnation,
                                const WcBacklogReport *report, WcDomainDelays *delays);

/** wc_report_exchange_find() - NULL for a domain that has no owner to exchange reports with. */
WcReportPeer *wc_report_exchange_find (WcReportExchange *exchange, uint32_t domain);

#endif
