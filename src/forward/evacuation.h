#ifndef WC_FORWARD_EVACUATION_H
#define WC_FORWARD_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Load pattern: operators take all hosts of a failure domain out of service, because of maintenance or a fault, while
 * its callers continue to arrive. New flows must go to the other domains on every instance within 5 s, also when an
 * instance starts meanwhile or the store is restored; open flows end at their own pace.
 */

/**
 * struct WcEvacuatedDomain - a domain whose hosts receive no new flows.
 * @domain: its quark.
 * @revision: store revision at which the evacuation was last written.
 * @since_us: when this instance learned of the evacuation.
 */
typedef struct
{
  uint32_t domain;
  uint64_t revision;
  uint64_t since_us;
} WcEvacuatedDomain;

/** struct WcEvacuation - the set of evacuated domains; one entry per domain that the store lists as evacuated. */
typedef struct WcEvacuation WcEvacuation;

WcEvacuation *wc_evacuation_new (void);
void          wc_evacuation_delete (WcEvacuation *evacuation);

/**
 * wc_evacuation_set() - add a domain to the set or remove it. An evacuation that is written again keeps its start.
 *
 * Return: true when the domain was added or removed.
 */
bool
wc_evacuation_set (WcEvacuation *evacuation, uint32_t domain, bool is_evacuated, uint64_t revision, uint64_t now_us);

/** wc_evacuation_find() - the entry of a domain, valid until the set changes; NULL when it is not evacuated. */
const WcEvacuatedDomain *wc_evacuation_find (const WcEvacuation *evacuation, uint32_t domain);

/* Access by index, in no particular order. */
size_t                   wc_evacuation_get_count (const WcEvacuation *evacuation);
const WcEvacuatedDomain *wc_evacuation_get (const WcEvacuation *evacuation, size_t index);

#endif
