#ifndef WC_FORWARD_CALLER_SHARE_H
#define WC_FORWARD_CALLER_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/sliding_count.h"

/*
 * Load pattern: one address opens many flows at once, and its openings, which arrive first, are served first. Each
 * address has a fair part of the admissions of its class; what it opens beyond that is served after the openings of
 * the others.
 */

enum
{
  /* Addresses remembered at a time. An address with many openings is used often and is not replaced. */
  WC_CALLER_SHARES = 64
};

/**
 * struct WcCallerShare - openings of an address to one class.
 * @fair: openings of the last second within the fair part.
 * @used_us: time of the latest opening; 0 for an unused entry.
 */
typedef struct
{
  uint32_t       caller_ip;
  uint32_t       service;
  uint8_t        priority;
  WcSlidingCount fair;
  uint64_t       used_us;
} WcCallerShare;

/** struct WcCallerShares - the addresses that opened flows last. */
typedef struct
{
  WcCallerShare entries[WC_CALLER_SHARES];
} WcCallerShares;

/**
 * wc_caller_shares_record() - record a new opening of an address.
 * @admissions_per_s: rate at which openings of the class can be admitted.
 *
 * Return: whether the opening exceeds the fair part of its address.
 */
bool wc_caller_shares_record (WcCallerShares *shares, uint32_t caller_ip, uint32_t service, uint8_t priority,
                              uint64_t admissions_per_s, uint64_t now_us);

#endif
