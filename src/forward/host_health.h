#ifndef WC_FORWARD_HOST_HEALTH_H
#define WC_FORWARD_HOST_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/flow_table.h"
#include "forward/host_report.h"
#include "forward/host_table.h"

/*
 * Load pattern: a host that crashes silently, or whose links are cut, still receives its share of all requests until
 * the platform notices several seconds later, and each of these requests costs its caller the whole timeout. Hosts
 * answer callers directly, so the only evidence is in the callers' packets: a packet with a higher acknowledgement
 * number shows that the host is alive, and a retransmission shows that it did not answer within 200 ms.
 */

/**
 * wc_host_health_record_response() - record a response of the host to a caller. Return: true when the host was
 * suspected.
 */
bool wc_host_health_record_response (WcHost *host, uint64_t now_us);

/**
 * wc_host_health_record_unanswered() - record an unanswered packet of a flow.
 * @flow: counted once until the host's next response.
 * @since_us: when the packet was first forwarded.
 * @is_request: the packet belongs to an open flow. An unanswered opening is a reason to place flows on other hosts; it
 * does not show that the host is dead, because another host may have answered it.
 *
 * A flow that has moved to another instance also looks unanswered here, because the acknowledgements arrive there; but
 * its retransmissions do not arrive here either. A small number of flows is therefore evidence only if their callers
 * continue to retransmit.
 *
 * Return: true when this makes the host suspected.
 */
bool wc_host_health_record_unanswered (WcHost *host, WcFlow *flow, uint64_t since_us, bool is_request, uint64_t now_us);

/**
 * wc_host_health_apply_report() - process the report of another instance of the domain, @reporter.
 *
 * Return: true when this ends a suspicion: the host responded to another instance after the unanswered requests were
 * sent.
 */
bool wc_host_health_apply_report (WcHost *host, uint64_t reporter, const WcHostReport *report, uint64_t now_us);

/**
 * wc_host_health_query_due() - whether the host's unanswered requests are to be reported to other instances now, and
 * their observations requested.
 *
 * Return: true once per query interval while requests are unanswered.
 */
bool wc_host_health_query_due (WcHost *host, uint64_t now_us);

/**
 * struct WcHostHealth - evidence on a host, combined over the instances of a domain.
 * @is_dead: the evidence suffices to reset flows that wait for the host.
 * @witnesses: number of instances with unanswered requests at the host.
 * @unanswered: sum of their unanswered requests.
 */
typedef struct
{
  bool                 is_dead;
  uint32_t             witnesses;
  WcUnansweredRequests unanswered;
} WcHostHealth;

/**
 * wc_host_health_evaluate() - combine the evidence on a host.
 * @domain_peers: other live instances of this domain. If there are any, one of them must also have unanswered requests
 * before the host is considered dead.
 */
WcHostHealth wc_host_health_evaluate (const WcHost *host, uint32_t domain_peers, uint64_t now_us);

/**
 * wc_host_health_suspect() - suspect the host until its next trial.
 *
 * Return: true when it was not suspected before.
 */
bool wc_host_health_suspect (WcHost *host, uint64_t now_us);

/**
 * wc_host_health_most_unresponsive() - whether most hosts with flows are unresponsive at once, which indicates a fault
 * of this instance and not of the hosts.
 */
bool wc_host_health_most_unresponsive (const WcHostTable *hosts);

/** wc_host_health_reset() - discard the evidence, because this instance was paused or processes packets late. */
void wc_host_health_reset (WcHost *host, uint64_t now_us);

#endif
