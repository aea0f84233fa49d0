#ifndef WC_FORWARD_SERVICE_LOAD_H
#define WC_FORWARD_SERVICE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/rate_window.h"

/*
 * Load pattern: in an overload, and after a start of all instances, an instance knows little of what the others send to
 * the hosts: reports are a second old, peers are not known yet, or are gone and still counted. What it observes itself
 * is current: how many openings it can forward while others wait, and how long answers take compared with those of
 * hosts without a queue. The share of the hosts' slots that an instance uses is adjusted by the latter.
 */

enum
{
  WC_SERVICE_LOADS = 16
};

/**
 * struct WcServiceLoad - load of one service as this instance observes it, at the hosts of its own domain or at those
 * of all others.
 * @is_own_domain: hosts of the own domain.
 * @arrivals: new openings that can be answered in time.
 * @forwards: openings that were forwarded to a host.
 * @limited_since_us: since when openings have had to wait without interruption.
 * @limited_us: when an opening last had to wait; 0 for never.
 * @answer_us: mean answer time of the latest requests; 0 before the first.
 * @base_us: mean answer time while no opening had to wait; 0 before the first.
 * @base_samples: number of answers in @base_us, up to the number from which it is used.
 * @share_percent: factor of the instance's equal share of the slots.
 * @adjust_deadline_us: when @share_percent is adjusted next.
 * @used_us: time of the latest event.
 */
typedef struct
{
  uint32_t     service;
  bool         is_own_domain;
  WcRateWindow arrivals;
  WcRateWindow forwards;
  uint64_t     limited_since_us;
  uint64_t     limited_us;
  uint64_t     answer_us;
  uint64_t     base_us;
  uint32_t     base_samples;
  uint32_t     share_percent;
  uint64_t     adjust_deadline_us;
  uint64_t     used_us;
} WcServiceLoad;

/** struct WcServiceLoads - loads of the services that were used last. */
typedef struct
{
  WcServiceLoad entries[WC_SERVICE_LOADS];
} WcServiceLoads;

/** wc_service_loads_get() - the load of a service; replaces the least recently used one if necessary. */
WcServiceLoad *wc_service_loads_get (WcServiceLoads *loads, uint32_t service, bool is_own_domain, uint64_t now_us);

/** wc_service_load_record_limited() - record that an opening of the service could not be forwarded when it was due. */
void wc_service_load_record_limited (WcServiceLoad *load, uint64_t now_us);

/**
 * wc_service_load_record_answer() - record the answer time of a request to a host of the own domain, and adjust the
 * share of the slots.
 * @target_us: latency target of the request's route; 0 for none.
 */
void wc_service_load_record_answer (WcServiceLoad *load, uint64_t duration_us, uint64_t target_us, uint64_t now_us);

/**
 * wc_service_load_record_other_answer() - the same for a host of another domain.
 * @own: load of the service in the own domain.
 */
void wc_service_load_record_other_answer (WcServiceLoad *load, const WcServiceLoad *own, uint64_t duration_us,
                                          uint64_t now_us);

/** wc_service_load_get_base_us() - answer time of a host without a queue; an assumption before the first answer. */
uint64_t wc_service_load_get_base_us (const WcServiceLoad *load);

/**
 * wc_service_load_get_drain_per_s() - rate at which openings were forwarded while others had to wait.
 *
 * Return: 0 when openings have not had to wait for long enough to tell.
 */
uint64_t wc_service_load_get_drain_per_s (const WcServiceLoad *load, uint64_t now_us);

#endif
