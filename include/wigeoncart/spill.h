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
 * struct WcSpillLoad - load of the owner of the same service in another domain.
 * @backlog_us: time until a slot is free for one more request; negative for spare capacity.
 * @step_us: by how much one more request raises @backlog_us.
 */
typedef struct
{
  int64_t  backlog_us;
  uint64_t step_us;
} WcSpillLoad;

/**
 * struct WcSpillPeer - another domain, as its last report and the requests sent since then have it.
 * @delay_us: one way to the domain.
 * @reported_us: when the last report arrived; 0 for never.
 */
typedef struct
{
  uint32_t    domain;
  uint64_t    delay_us;
  uint64_t    reported_us;
  WcSpillLoad report;
} WcSpillPeer;

/**
 * struct WcSpill - chooses requests that an owner passes on to the owner in another domain.
 *
 * A request is passed on at most once, and only when its expected wait here clearly exceeds the delay and the expected
 * wait there. Reports inform this choice only; the receiving owner decides on admission by its own counts.
 */
typedef struct
{
  WcSpillPeer peers[WC_SPILL_MAX_DOMAINS];
  size_t      count;
  uint64_t    report_lifetime_us;
  uint64_t    sent_us;
  WcSpillLoad sent;
} WcSpill;

/** wc_spill_init() - @report_lifetime_us: age at which a report is no longer used. */
void wc_spill_init (WcSpill *spill, uint64_t report_lifetime_us);

/** wc_spill_set_delay() - add a domain or change its delay; domains beyond WC_SPILL_MAX_DOMAINS are left out. */
void wc_spill_set_delay (WcSpill *spill, uint32_t domain, uint64_t delay_us);

/** wc_spill_set_load() - a report has arrived from a domain; unknown domains are ignored. */
void wc_spill_set_load (WcSpill *spill, uint64_t now_us, uint32_t domain, const WcSpillLoad *report);

/**
 * wc_spill_choose_domain() - domain for a request with an expected wait of @wait_us here.
 *
 * Return: a domain, and the request counts as sent there; 0 to keep it.
 */
uint32_t wc_spill_choose_domain (WcSpill *spill, uint64_t now_us, uint64_t wait_us);

/** wc_spill_measure_load() - report on an owner's own dispatcher. */
void wc_spill_measure_load (const WcDispatcher *dispatcher, uint64_t now_us, WcSpillLoad *report);

/**
 * wc_spill_is_report_due() - whether @report, made now, is worth sending to the other domains.
 *
 * It is when the last one sent is about to expire there, or when a choice based on that one may turn out wrong by
 * more than the delay to the nearest domain. Return: true, and @report counts as sent.
 */
bool wc_spill_is_report_due (WcSpill *spill, uint64_t now_us, const WcSpillLoad *report);

#endif
