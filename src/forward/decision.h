#ifndef WC_FORWARD_DECISION_H
#define WC_FORWARD_DECISION_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/host_table.h"
#include "forward/packet.h"

/* name, text in logs and metrics, help text of its counter */
#define WC_DECISION_LIST(X)                                                                                            \
  X (PLACED, "placed", "New flows given to a host.")                                                                   \
  X (PLACED_AGAIN, "placed_again", "Flows given to another host because the first did not answer.")                    \
  X (SECOND_REFUSED, "second_refused", "Openings not given to another host because the budget is used up.")            \
  X (PLACED_AWAY, "placed_away", "Placed flows that went to a host of another domain, with domain balance.")           \
  X (HELD, "held", "New flows held until a host can take them.")                                                       \
  X (FORWARDED, "forwarded", "Requests forwarded to the host of their flow.")                                          \
  X (REJECTED_NO_ROUTE, "rejected_no_route", "New flows rejected because no route exists.")                            \
  X (REJECTED_NO_HOST, "rejected_no_host", "New flows rejected because no host of the service is in use.")             \
  X (REJECTED_OVERLOAD, "rejected_overload", "New flows rejected because no host could take them in time.")            \
  X (REJECTED_LESS_URGENT, "rejected_less_urgent", "New flows rejected because more urgent ones need the capacity.")   \
  X (REJECTED_STOPPING, "rejected_stopping", "Held flows rejected because this instance ends.")                        \
  X (RESET_NO_ROUTE, "reset_no_route", "Open flows reset because their route was removed.")                            \
  X (RESET_HOST_GONE, "reset_host_gone", "Open flows reset because their host has left.")                              \
  X (RESET_HOST_SILENT, "reset_host_silent", "Open flows reset because their host does not answer.")                   \
  X (DROPPED_UNKNOWN_HOST, "dropped_unknown_host", "Packets dropped because their host is not known.")                 \
  X (DROPPED_UNRESOLVED, "dropped_unresolved", "Packets dropped because neither cookie nor peers show their host.")    \
  X (DROPPED_LATE_OPENING, "dropped_late_opening", "Delayed copies of openings of flows that are open.")               \
  X (HOST_ASKED, "host_asked", "Flows about whose hosts peers were asked.")                                            \
  X (HOST_LEARNED, "host_learned", "Flows whose hosts peers have named.")                                              \
  X (HOST_ASSUMED, "host_assumed", "Flows forwarded by an unconfirmed cookie, because no peer knew them.")             \
  X (HOST_ANNOUNCED, "host_announced", "Flows whose hosts were named to peers.")                                       \
  X (COOKIE_CORRECTED, "cookie_corrected", "Hosts not chosen by a caller that were sent the cookie of the chosen.")    \
  X (HOST_READY, "host_ready", "Hosts that became ready.")                                                             \
  X (HOST_DRAINING, "host_draining", "Hosts that began to drain.")                                                     \
  X (HOST_GONE, "host_gone", "Hosts that are no longer published.")                                                    \
  X (HOST_SUSPECTED, "host_suspected", "Hosts taken out because they do not answer.")                                  \
  X (HOST_CLEARED, "host_cleared", "Suspected hosts that answered again.")                                             \
  X (DOMAIN_EVACUATED, "domain_evacuated", "Domains whose hosts no longer receive new flows.")                         \
  X (DOMAIN_RESTORED, "domain_restored", "Domains whose evacuation ended.")                                            \
  X (HOST_FAILING, "host_failing", "Hosts avoided because they fail more requests than others.")                       \
  X (HOST_RECOVERED, "host_recovered", "Avoided hosts that are used again.")                                           \
  X (HOST_WARMING, "host_warming", "Cold hosts to which new flows began to be limited.")                               \
  X (LINK_LOSSY, "link_lossy", "Times at which the link of this instance began to lose openings.")                     \
  X (ROUTES_IN_FORCE, "routes_in_force", "Configurations put in force.")

#define WC_DECISION_ENUM(name, text, help) WC_DECISION_##name,

/** enum WcDecisionKind - decision on a flow, or change in the instance's view of hosts, link and configuration. */
typedef enum
{
  WC_DECISION_LIST (WC_DECISION_ENUM) WC_DECISION_COUNT
} WcDecisionKind;

const char *wc_decision_get_name (WcDecisionKind kind);
const char *wc_decision_get_help (WcDecisionKind kind);

/**
 * struct WcDecision - a decision and its inputs.
 * @key: the flow; NULL when the decision does not concern a single flow.
 * @request_id: last request on the flow; 0 when unknown.
 * @host: the host, or NULL.
 * @version: version of the active configuration; 0 for none.
 * @evidence_us: when the first unanswered request was sent, or for a held opening the caller's first transmission, or
 * for the end of an evacuation its start; 0 for none.
 * @answered: number of answered requests of the domain beside the failed ones; 0 when the decision does not depend on
 * them.
 * @count: number of unanswered requests, or of flows with an unanswered packet if higher; for an opening, the number of
 * held openings; for a failing or recovered host, failed requests of the domain; for a domain, the number of its hosts.
 * @witnesses: number of instances with unanswered or failed requests at the host, this one included; 0 when the
 * decision does not depend on them.
 * @forwards_per_s: for an opening that had to wait, rate at which this instance forwards openings of the service; 0
 * when not known. For a cold host, new flows that the holder of its lease may send to it in any second.
 * @priority: for such an opening, priority of its route.
 * @is_guaranteed, @exceeds_share: for such an opening, see WcHeldOpening.
 * @share_percent: for such an opening, factor of this instance's equal share of the hosts' slots; 0 otherwise.
 * @domain: quark of the domain that was evacuated or restored; 0 for other decisions.
 * @domain_revision: store revision of that change.
 * @own_expected_us, @other_expected_us: for a flow that leaves the domain, expected time to its answer in the own
 * domain, 0 when its hosts were not considered, and in the other one, with the cost of the way.
 * @away_rate_milli: for such a flow, openings that may be sent to that domain, in thousandths per second.
 */
typedef struct
{
  WcDecisionKind   kind;
  const WcFlowKey *key;
  uint64_t         request_id;
  const WcHost    *host;
  uint64_t         version;
  uint64_t         evidence_us;
  uint32_t         count;
  uint32_t         witnesses;
  uint32_t         answered;
  uint64_t         forwards_per_s;
  uint32_t         share_percent;
  uint32_t         domain;
  uint64_t         domain_revision;
  uint8_t          priority;
  bool             is_guaranteed;
  bool             exceeds_share;
  uint64_t         own_expected_us;
  uint64_t         other_expected_us;
  uint64_t         away_rate_milli;
} WcDecision;

#endif
