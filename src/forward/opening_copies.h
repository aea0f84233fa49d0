#ifndef WC_FORWARD_OPENING_COPIES_H
#define WC_FORWARD_OPENING_COPIES_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/packet.h"

enum
{
  /* Hosts to which an instance forwards one opening, at most: at first, after a timeout, and with two retransmissions.
   */
  WC_OPENING_COPIES_HOSTS = 4
};

/**
 * struct WcOpeningCopies - the latest openings that this instance has forwarded, each with the hosts that it was
 * forwarded to. Bounded in number and time.
 */
typedef struct WcOpeningCopies WcOpeningCopies;

WcOpeningCopies *wc_opening_copies_new (void);
void             wc_opening_copies_delete (WcOpeningCopies *copies);

/**
 * wc_opening_copies_add() - record that an opening is forwarded to a host. An opening with another sequence number
 * replaces that of an earlier flow of the same port.
 * @cookie: the host's cookie in confirmed form.
 */
void wc_opening_copies_add (WcOpeningCopies *copies, const WcPacket *opening, uint32_t cookie, uint64_t now_us);

/** wc_opening_copies_has() - whether @packet is the first one after an opening that this instance has forwarded. */
bool wc_opening_copies_has (const WcOpeningCopies *copies, const WcPacket *packet);

/** wc_opening_copies_remove() - forget an opening; does nothing when it is not known. */
void wc_opening_copies_remove (WcOpeningCopies *copies, const WcFlowKey *key);

/**
 * WcOpeningCopyVisit - callback for a host that has an opening whose caller has chosen another host; must not use the
 * copies.
 * @cookie: the host's cookie in confirmed form.
 */
typedef void (*WcOpeningCopyVisit) (void *user_data, const WcPacket *opening, uint32_t cookie);

/**
 * wc_opening_copies_visit_others() - visit the hosts that an opening was forwarded to, except the chosen one. Forgets
 * the opening when there is no other.
 * @chosen: cookie of the chosen host in confirmed form.
 */
void wc_opening_copies_visit_others (WcOpeningCopies *copies, const WcFlowKey *key, uint32_t chosen, uint64_t now_us,
                                     WcOpeningCopyVisit visit, void *user_data);

/**
 * wc_opening_copies_visit_sender() - visit the host, other than the chosen one, from which the cookie of a packet is,
 * if it is in opening form and no host of the opening was visited for a retransmission interval.
 */
void wc_opening_copies_visit_sender (WcOpeningCopies *copies, const WcPacket *packet, uint32_t chosen, uint64_t now_us,
                                     WcOpeningCopyVisit visit, void *user_data);

#endif
