#ifndef WC_FORWARD_HOST_HEALTH_H
#define WC_FORWARD_HOST_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/flow_table.h"
#include "forward/host_report.h"
#include "forward/host_table.h"

/*
 * Load pattern: a host that crashes silently, or whose links are cut, goes on getting a share of all requests until the
 * platform notices after some seconds; each of them costs its caller the whole time limit. Hosts answer callers
 * directly, so that the only evidence is in what the callers send: a packet that acknowledges more than before shows
 * that the host lives, and a packet that is sent again shows that it did not answer within 200 ms.
 */

/** wc_host_health_record_response() - a caller received something from the host. Return: true when the host was
 * suspected. */
bool wc_host_health_record_response (WcHost *host, uint64_t now_us);

/**
 * wc_host_health_record_unanswered() - a flow's packet was not answered.
 * @flow: counted once until the next sign of life.
 * @since_us: when the packet was first forwarded.
 * @is_request: the packet belongs to an open flow. An opening that is not answered is a reason to place flows
 * elsewhere; it does not show that the host is dead, because another host may have answered it.
 *
 * A flow that has moved to another instance looks silent too, because its answers are seen there; it does not repeat
 * here, however. So few flows are evidence only when they go on repeating.
 *
 * Return: true when the host becomes suspected by this.
 */
bool wc_host_health_record_unanswered (WcHost *host, WcFlow *flow, uint64_t since_us, bool is_request, uint64_t now_us);

/**
 * wc_host_health_apply_report() - what another instance of the domain, @reporter, saw of the host.
 *
 * Return: true when the host was suspected here because of requests that were sent before it answered there.
 */
bool wc_host_health_apply_report (WcHost *host, uint64_t reporter, const WcHostReport *report, uint64_t now_us);

/**
 * wc_host_health_query_due() - whether other instances are to be told of the host's silence, and asked what they see.
 *
 * Return: true once in each interval while requests are unanswered.
 */
bool wc_host_health_query_due (WcHost *host, uint64_t now_us);

/**
 * struct WcHostHealth - the evidence of all instances of a domain on a host.
 * @is_dead: it is strong enough to end flows that wait for the host.
 * @witnesses: instances that see its silence.
 * @unanswered: what they see together.
 */
typedef struct
{
  bool                 is_dead;
  uint32_t             witnesses;
  WcUnansweredRequests unanswered;
} WcHostHealth;

/**
 * wc_host_health_evaluate() - add up the evidence on a host.
 * @domain_peers: other live instances of this domain. When there are any, one of them must see the silence too.
 */
WcHostHealth wc_host_health_evaluate (const WcHost *host, uint32_t domain_peers, uint64_t now_us);

/** wc_host_health_suspect() - other instances see that the host is silent. Return: true when it is suspected now. */
bool wc_host_health_suspect (WcHost *host, uint64_t now_us);

/** wc_host_health_most_unresponsive() - most hosts look silent at once, so that it is this instance that sees nothing
 * in time. */
bool wc_host_health_most_unresponsive (const WcHostTable *hosts);

/** wc_host_health_reset() - forget what was seen; used when this instance itself stood still or works late. */
void wc_host_health_reset (WcHost *host, uint64_t now_us);

#endif
