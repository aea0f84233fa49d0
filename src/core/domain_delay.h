#ifndef WC_CORE_DOMAIN_DELAY_H
#define WC_CORE_DOMAIN_DELAY_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/spill.h>

/**
 * struct WcDomainDelay - minimum round-trip time to one domain in the current and in the previous time window.
 * @window_end_us: end of the current window.
 * @current_min_us: minimum of the current window, UINT64_MAX without a measurement.
 * @previous_min_us: minimum of the previous window, UINT64_MAX without a measurement.
 */
typedef struct
{
  uint32_t domain;
  uint64_t window_end_us;
  uint64_t current_min_us;
  uint64_t previous_min_us;
} WcDomainDelay;

/** struct WcDomainDelays - one-way delays to other domains, estimated as half of the minimum recent round-trip time. */
typedef struct
{
  WcDomainDelay entries[WC_SPILL_MAX_DOMAINS];
  size_t        count;
} WcDomainDelays;

/** wc_domain_delays_add() - add a measured round-trip time; ignored for domains beyond WC_SPILL_MAX_DOMAINS. */
void wc_domain_delays_add (WcDomainDelays *delays, uint64_t now_us, uint32_t domain, uint64_t round_trip_us);

/** wc_domain_delays_get_us() - one-way delay to a domain; a default value while there is no measurement. */
uint64_t wc_domain_delays_get_us (const WcDomainDelays *delays, uint32_t domain);

#endif
