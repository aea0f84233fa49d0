#ifndef WC_FORWARD_CLASS_LOAD_H
#define WC_FORWARD_CLASS_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/sliding_count.h"

/*
 * Load pattern: callers of urgent and of less urgent routes use the same hosts, most of them with flows that carry many
 * requests. A flow that is admitted in a gap of a few milliseconds sends its further requests for seconds, when the
 * urgent callers need the capacity, and these requests cannot be refused. The load of each priority is therefore
 * measured in requests.
 */

enum
{
  /* Bounds the memory of an instance; the class that was used longest ago is replaced. */
  WC_CLASS_LOADS = 32
};

/**
 * struct WcClassLoad - load of the routes of one service and priority, as this instance observes it.
 * @arrivals: new openings that can be answered in time.
 * @forwards: openings forwarded to hosts of any domain.
 * @openings: those of them that went to hosts of the own domain.
 * @requests, @answers: requests on flows to these hosts, and answers.
 * @flow_openings, @flow_requests: the same as @openings and @requests, over the time from which the number of requests
 * per flow is estimated.
 * @waited_us: when an opening within the fair part of its caller's address last had to wait for capacity or was
 * rejected for lack of it; 0 for never.
 * @guaranteed_us: earliest time of the next opening that precedes those of more urgent routes.
 * @used_us: time of the latest event; 0 for an unused entry.
 */
typedef struct
{
  uint32_t       service;
  uint8_t        priority;
  WcSlidingCount arrivals;
  WcSlidingCount forwards;
  WcSlidingCount openings;
  WcSlidingCount requests;
  WcSlidingCount answers;
  WcSlidingCount flow_openings;
  WcSlidingCount flow_requests;
  uint64_t       waited_us;
  uint64_t       guaranteed_us;
  uint64_t       used_us;
} WcClassLoad;

/** struct WcClassLoads - the classes that were used last. */
typedef struct
{
  WcClassLoad entries[WC_CLASS_LOADS];
} WcClassLoads;

/** wc_class_loads_get() - the load of a class; replaces the least recently used one if necessary. */
WcClassLoad *wc_class_loads_get (WcClassLoads *loads, uint32_t service, uint8_t priority, uint64_t now_us);

/** wc_class_loads_find() - Return: the load of a class, NULL when it is not known. */
const WcClassLoad *wc_class_loads_find (const WcClassLoads *loads, uint32_t service, uint8_t priority);

void wc_class_load_record_arrival (WcClassLoad *load, uint64_t now_us);
void wc_class_load_record_opening (WcClassLoad *load, bool is_own_domain, uint64_t now_us);
void wc_class_load_record_request (WcClassLoad *load, uint64_t now_us);
void wc_class_load_record_answer (WcClassLoad *load, uint64_t now_us);

/** wc_class_load_get_requests_per_flow() - mean number of requests that a flow carries, at least 1. */
uint64_t wc_class_load_get_requests_per_flow (const WcClassLoad *load, uint64_t now_us);

/** wc_class_load_get_openings_per_s() - rate of admitted openings. */
uint64_t wc_class_load_get_openings_per_s (const WcClassLoad *load, uint64_t now_us);

/** wc_class_load_get_usage_per_s() - rate of the requests on flows that were admitted. */
uint64_t wc_class_load_get_usage_per_s (const WcClassLoad *load, uint64_t now_us);

/**
 * wc_class_loads_has_waited() - whether an opening of the service with a @priority below @end had to wait in the last
 * second.
 */
bool wc_class_loads_has_waited (const WcClassLoads *loads, uint32_t service, uint32_t end, uint64_t now_us);

/**
 * wc_class_loads_get_urgent_per_s() - rate of the requests of all more urgent classes of the service, with those that
 * arriving openings will bring.
 */
uint64_t
wc_class_loads_get_urgent_per_s (const WcClassLoads *loads, uint32_t service, uint8_t priority, uint64_t now_us);

/** wc_class_loads_get_forwards_per_s() - rate of the requests on admitted flows of all classes, to hosts of any domain.
 */
uint64_t wc_class_loads_get_forwards_per_s (const WcClassLoads *loads, uint32_t service, uint64_t now_us);

/** wc_class_loads_get_answers_per_s() - rate of the answers to requests of all classes of the service. */
uint64_t wc_class_loads_get_answers_per_s (const WcClassLoads *loads, uint32_t service, uint64_t now_us);

/** wc_class_loads_get_open_flows_per_s() - those of them that are answers to further requests of open flows. */
uint64_t wc_class_loads_get_open_flows_per_s (const WcClassLoads *loads, uint32_t service, uint64_t now_us);

#endif
