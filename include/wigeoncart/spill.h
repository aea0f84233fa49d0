#ifndef WIGEONCART_SPILL_H
#define WIGEONCART_SPILL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/dispatcher.h>

enum
{
  WC_SPILL_MAX_DOMAINS = 8
};

/**
 * struct WcSpillLoad - load of the owner of a shard of a service.
 * @backlog_us: time until a slot is free for one more request; negative for spare capacity.
 * @step_us: increase of @backlog_us by each additional request.
 */
typedef struct
{
  int64_t  backlog_us;
  uint64_t step_us;
} WcSpillLoad;

/**
 * struct WcSpillPeer - another domain and the load of the owner of the same shard there.
 * @delay_us: one-way network delay to the domain.
 * @reported_us: time at which the last report arrived, 0 for never.
 * @load: load in the last report, raised by the requests spilled to the domain since then.
 */
typedef struct
{
  uint32_t    domain;
  uint64_t    delay_us;
  uint64_t    reported_us;
  WcSpillLoad load;
} WcSpillPeer;

/**
 * struct WcSpill - state with which the owner of a shard decides which requests to spill. To spill a request is to
 * relay it to the owner of the same shard in another domain.
 * @report_lifetime_us: older reports are ignored.
 * @sent_us: time at which the owner's own load was last reported to the other domains, 0 for never.
 * @sent_load: the load in that report.
 *
 * A request is spilled at most once, and only when its expected wait in this domain exceeds the expected wait in the
 * other domain by more than MIN_GAIN_DELAYS (spill.c) network delays. Reports are used only for this decision; the
 * receiving owner admits or rejects the request by the state of its own dispatcher.
 */
typedef struct
{
  WcSpillPeer peers[WC_SPILL_MAX_DOMAINS];
  size_t      count;
  uint64_t    report_lifetime_us;
  uint64_t    sent_us;
  WcSpillLoad sent_load;
} WcSpill;

/** wc_spill_init() - initialize without other domains. @report_lifetime_us: older reports are ignored. */
void wc_spill_init (WcSpill *spill, uint64_t report_lifetime_us);

/** wc_spill_set_delay() - add a domain or change its delay; domains beyond WC_SPILL_MAX_DOMAINS are ignored. */
void wc_spill_set_delay (WcSpill *spill, uint32_t domain, uint64_t delay_us);

/** wc_spill_set_load() - store the load that a domain reported; unknown domains are ignored. */
void wc_spill_set_load (WcSpill *spill, uint64_t now_us, uint32_t domain, const WcSpillLoad *load);

/**
 * wc_spill_choose_domain() - choose where to handle a request with an expected wait of @wait_us in this domain.
 *
 * Return: another domain, whose stored load is then raised by the request; 0 to keep the request.
 */
uint32_t wc_spill_choose_domain (WcSpill *spill, uint64_t now_us, uint64_t wait_us);

/** wc_spill_measure_load() - compute the load of an owner's own dispatcher. */
void wc_spill_measure_load (const WcDispatcher *dispatcher, uint64_t now_us, WcSpillLoad *load);

/**
 * wc_spill_record_due_report() - if a report to the other domains is due, set @sent_load to @load, the owner's
 * current load, and @sent_us to @now_us. To be called before the report is sent.
 *
 * A report is due when none was sent, when half the lifetime of the last report has elapsed, or when the backlog has
 * changed by more than the delay to the nearest domain, so that decisions based on the last report may be wrong.
 *
 * Return: whether a report is due; the caller then has to send it.
 */
bool wc_spill_record_due_report (WcSpill *spill, uint64_t now_us, const WcSpillLoad *load);

#endif
