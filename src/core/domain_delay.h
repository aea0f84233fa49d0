#ifndef WC_CORE_DOMAIN_DELAY_H
#define WC_CORE_DOMAIN_DELAY_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/spill.h>

/**
 * struct WcDomainDelay - round trips to one domain; the smallest of the current and of the previous window count.
 * @window_end_us: end of the current window.
 */
typedef struct
{
  uint32_t domain;
  uint64_t window_end_us;
  uint64_t current_min_us;
  uint64_t previous_min_us;
} WcDomainDelay;

/** struct WcDomainDelays - one-way delays to other domains, measured as half of the smallest recent round trip. */
typedef struct
{
  WcDomainDelay entries[WC_SPILL_MAX_DOMAINS];
  size_t        count;
} WcDomainDelays;

/** wc_domain_delays_add() - a round trip was measured; domains beyond WC_SPILL_MAX_DOMAINS are left out. */
void wc_domain_delays_add (WcDomainDelays *delays, uint64_t now_us, uint32_t domain, uint64_t round_trip_us);

/** wc_domain_delays_get_us() - delay one way; a default until a round trip was measured. */
uint64_t wc_domain_delays_get_us (const WcDomainDelays *delays, uint32_t domain);

#endif
