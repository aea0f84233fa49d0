#ifndef WC_FORWARD_ADMISSION_SHARES_H
#define WC_FORWARD_ADMISSION_SHARES_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/caller_share.h"
#include "forward/class_load.h"
#include "forward/held_opening.h"

/**
 * struct WcAdmissionShares - what the weighted admission policy knows of priorities and callers; see
 * admission_weighted.c. The functions that record do nothing when @shares is NULL, which stands for another policy.
 */
typedef struct
{
  WcClassLoads   classes;
  WcCallerShares callers;
} WcAdmissionShares;

WcAdmissionShares *wc_admission_shares_new (void);
void               wc_admission_shares_delete (WcAdmissionShares *shares);

/**
 * wc_admission_shares_classify() - record a new opening and set its @is_guaranteed and @exceeds_share.
 * @capacity_per_s: requests that this instance's part of the hosts can answer a second; 0 when unknown.
 */
void
wc_admission_shares_classify (WcAdmissionShares *shares, WcHeldOpening *held, uint64_t capacity_per_s, uint64_t now_us);

/** wc_admission_shares_record_waited() - record that an opening had to wait for capacity or was rejected. */
void wc_admission_shares_record_waited (WcAdmissionShares *shares, const WcHeldOpening *held, uint64_t now_us);

/** wc_admission_shares_record_opening() - record that an opening was forwarded. */
void wc_admission_shares_record_opening (WcAdmissionShares *shares, const WcHeldOpening *held, bool is_own_domain,
                                         uint64_t now_us);

/**
 * wc_admission_shares_record_progress() - record the progress of a flow to a host of the own domain.
 * @is_request: a request begins.
 * @is_answer: a request was answered.
 */
void wc_admission_shares_record_progress (WcAdmissionShares *shares, uint32_t service, uint8_t priority,
                                          bool is_request, bool is_answer, uint64_t now_us);

/**
 * wc_admission_shares_is_contended() - whether openings that have precedence had to wait lately: those of more urgent
 * classes, and for an opening that exceeds the fair part of its address those of the same class.
 */
bool wc_admission_shares_is_contended (const WcAdmissionShares *shares, const WcHeldOpening *held, uint64_t now_us);

/** wc_admission_shares_has_waited() - whether openings of this class or of a more urgent one had to wait lately. */
bool wc_admission_shares_has_waited (const WcAdmissionShares *shares, const WcHeldOpening *held, uint64_t now_us);

/**
 * wc_admission_shares_get_spare_per_s() - rate of requests that may be admitted of the class of @held, beside those of
 * more urgent classes.
 */
uint64_t wc_admission_shares_get_spare_per_s (const WcAdmissionShares *shares, const WcHeldOpening *held,
                                              uint64_t capacity_per_s, uint64_t now_us);

/** wc_admission_shares_is_spent() - whether the class of @held already uses @spare_per_s. */
bool wc_admission_shares_is_spent (const WcAdmissionShares *shares, const WcHeldOpening *held, uint64_t spare_per_s,
                                   uint64_t now_us);

#endif
