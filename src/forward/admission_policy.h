#ifndef WC_FORWARD_ADMISSION_POLICY_H
#define WC_FORWARD_ADMISSION_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/admission_shares.h"
#include "forward/held_opening.h"
#include "forward/placement.h"
#include "forward/service_load.h"

/**
 * struct WcAdmissionView - what an instance knows when it decides on an opening.
 * @placement: requirements of the opening.
 * @load, @other_load: load of the service at the hosts of the own domain, and at those of all others.
 * @shares: loads of priorities and callers; NULL for a policy that does not use them.
 * @is_starting: this instance has received packets for so short a time that its rates say little.
 * @handshake_us: time from forwarding an opening until its request arrives.
 */
typedef struct
{
  const WcHostTable       *hosts;
  const WcPlacement       *placement;
  const WcServiceLoad     *load;
  const WcServiceLoad     *other_load;
  const WcAdmissionShares *shares;
  bool                     is_starting;
  uint64_t                 handshake_us;
  uint64_t                 now_us;
} WcAdmissionView;

/**
 * struct WcAdmissionPolicy - decides which openings are forwarded, held or rejected.
 * @name: for reports.
 * @admits: whether an opening is to be forwarded now to @host, the best host available.
 * @is_before: whether @a is forwarded before @b.
 * @is_hopeless: whether an opening that cannot be forwarded now is to be rejected rather than held. @position: number
 * of held openings of its service that precede it.
 * @allows_trial: whether an opening may be the one that is forwarded regardless of load; NULL for any.
 * @trial_interval_us: at least one opening per interval is forwarded regardless of load, because the instance's
 * information on the hosts may be wrong.
 * @uses_shares: the policy needs the loads of priorities and callers.
 */
typedef struct
{
  const char *name;
  bool (*admits) (const WcHeldOpening *held, const WcAdmissionView *view, const WcHost *host);
  bool (*is_before) (const WcHeldOpening *a, const WcHeldOpening *b, uint64_t now_us);
  bool (*is_hopeless) (const WcHeldOpening *held, size_t position, const WcAdmissionView *view);
  bool (*allows_trial) (const WcHeldOpening *held, const WcAdmissionView *view);
  uint64_t trial_interval_us;
  bool     uses_shares;
} WcAdmissionPolicy;

/** WC_ADMISSION_NEWEST_FIRST - policy of earlier versions, kept for comparisons. */
extern const WcAdmissionPolicy WC_ADMISSION_NEWEST_FIRST;

/** WC_ADMISSION_DEADLINE - default policy. */
extern const WcAdmissionPolicy WC_ADMISSION_DEADLINE;

/** WC_ADMISSION_WEIGHTED - the default policy with shares of priorities and callers. */
extern const WcAdmissionPolicy WC_ADMISSION_WEIGHTED;

/**
 * wc_admission_get_capacity_per_s() - requests a second that this instance's equal part of the hosts of its domain can
 * answer; of those of other domains when the own domain has none. The time that packets spend on the network, which is
 * that of a handshake, does not count.
 */
uint64_t wc_admission_get_capacity_per_s (const WcAdmissionView *view);

/**
 * wc_admission_is_hopeless() - the deadline policy's decision whether an opening is rejected rather than held.
 * @open_flows_per_s: rate of the answers on open flows, which the hosts give beside those of openings; 0 for none.
 */
bool wc_admission_is_hopeless (const WcHeldOpening *held, size_t position, uint64_t open_flows_per_s,
                               const WcAdmissionView *view);

#endif
