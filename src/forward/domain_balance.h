#ifndef WC_FORWARD_DOMAIN_BALANCE_H
#define WC_FORWARD_DOMAIN_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Load pattern: the callers of one domain ask for several times what its hosts can serve, or part of its hosts are
 * slow, while hosts of other domains are idle. Every instance of the domain sees the same idle hosts at the same time,
 * through reports that are up to seconds old, and none of them knows what the others send. New flows that leave the
 * domain together fill the queues there, push out the callers of that domain, and come back when its answers turn slow.
 * In addition a link between domains may be cut while the flow is open, which fails its requests.
 *
 * A flow leaves the domain only if its answer is expected sooner in another one, by more than the cost of the way and
 * the risk of the link. Each instance limits the openings that it sends to each other domain: the limit grows in steps
 * while the answers that the instance itself observes are short, and is reduced by the first long or missing one.
 * Reports only bound it from above.
 */

enum
{
  /* Services and domains, the own one included, for which state is kept. A domain beyond these gets no flows. */
  WC_DOMAIN_BALANCE_SERVICES = 16,
  WC_DOMAIN_BALANCE_DOMAINS = 8
};

/**
 * struct WcDomainBalance - expected answer times of the domains, and limits of the openings that leave the own one. Its
 * size is fixed. Uses no clock; the time is an argument of each call.
 */
typedef struct WcDomainBalance WcDomainBalance;

/**
 * wc_domain_balance_new() - create the state of an instance.
 * @domain: quark of its domain.
 * @cost_us: cost of a flow to another domain as the operator sets it, as an answer time.
 */
WcDomainBalance *wc_domain_balance_new (uint32_t domain, uint64_t cost_us);
void             wc_domain_balance_delete (WcDomainBalance *balance);

/** wc_domain_balance_record_opened() - a host accepted an opening @duration_us after it was forwarded. */
void wc_domain_balance_record_opened (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t duration_us,
                                      uint64_t now_us);

/**
 * wc_domain_balance_record_answer() - a request was answered.
 * @target_us: latency target of its route; 0 for none.
 */
void wc_domain_balance_record_answer (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t duration_us,
                                      uint64_t target_us, uint64_t now_us);

/** wc_domain_balance_record_unanswered() - an opening or request was not answered in time. */
void wc_domain_balance_record_unanswered (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t now_us);

/** wc_domain_balance_record_sent() - an opening was sent to another domain. */
void wc_domain_balance_record_sent (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t now_us);

/**
 * wc_domain_balance_record_report() - an instance of another domain reported its load.
 * @busy: requests that all callers of that domain have at its hosts, estimated from the report.
 */
void wc_domain_balance_record_report (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t busy,
                                      uint64_t now_us);

/**
 * wc_domain_balance_set_capacity() - set what is known of the hosts of another domain; to be called several times a
 * second.
 * @slots: slots of its hosts that accept flows.
 * @senders: instances of the own domain, this one included, that may send openings there.
 */
void wc_domain_balance_set_capacity (WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t slots,
                                     uint32_t senders, uint64_t now_us);

/** wc_domain_balance_get_service() - service at @index of those with state; 0 at the end. */
uint32_t wc_domain_balance_get_service (const WcDomainBalance *balance, size_t index);

/**
 * wc_domain_balance_get_cost_us() - cost of a flow to a domain beyond the time of its answer: the longer way of the
 * opening, the operator's cost, and the risk that the link is cut while the flow is open. 0 for the own domain.
 * @limit_us: time limit of the route, which a caller loses when the link is cut; 0 for an assumed one.
 */
uint64_t wc_domain_balance_get_cost_us (const WcDomainBalance *balance, uint32_t service, uint32_t domain,
                                        uint64_t limit_us, uint64_t now_us);

/**
 * wc_domain_balance_get_answer_us() - expected answer time at a domain.
 * @estimate_us: estimate for the chosen host, from the requests of this instance and the reports of others.
 */
uint64_t wc_domain_balance_get_answer_us (const WcDomainBalance *balance, uint32_t service, uint32_t domain,
                                          uint64_t estimate_us, uint64_t now_us);

/**
 * wc_domain_balance_get_shortest_us() - time from forwarding an opening until its answer, without queues, at that of
 * the other domains where it is shortest, as far as answers of the last second show; UINT64_MAX when they show none.
 */
uint64_t wc_domain_balance_get_shortest_us (const WcDomainBalance *balance, uint32_t service, uint64_t now_us);

/** wc_domain_balance_allows() - whether an opening may be sent to another domain now. */
bool wc_domain_balance_allows (const WcDomainBalance *balance, uint32_t service, uint32_t domain, uint64_t now_us);

/** wc_domain_balance_get_rate_milli() - openings that may be sent to another domain, in thousandths per second. */
uint64_t wc_domain_balance_get_rate_milli (const WcDomainBalance *balance, uint32_t service, uint32_t domain);

/** wc_domain_balance_sum_rates_milli() - the sum over all other domains. */
uint64_t wc_domain_balance_sum_rates_milli (const WcDomainBalance *balance, uint32_t service);

#endif
