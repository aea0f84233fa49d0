#ifndef WC_FORWARD_COOKIE_H
#define WC_FORWARD_COOKIE_H

#include <stdint.h>

/*
 * The cookie in the packets of a flow names a host. Both ends repeat the value that they received last, so that an
 * instance without state of the flow knows its host.
 *
 * Several hosts may answer an opening, each with its own cookie, and an answer that the caller did not choose may reach
 * it at any time afterwards. An opening therefore carries another value than the packets of an open flow. A host that
 * sends its cookie in the second form, confirmed, has received packets of the open flow, and is its host. The first
 * form shows only that the host has answered the opening.
 *
 * Earlier releases use the confirmed form for both.
 */

/** wc_cookie_from_host() - the cookie of the host with identifier @id, in its confirmed form; never 0. */
uint32_t wc_cookie_from_host (uint64_t id);

/** wc_cookie_get_unconfirmed() - the form of a cookie that openings carry; never 0. */
uint32_t wc_cookie_get_unconfirmed (uint32_t cookie);

/**
 * wc_cookie_for_packet() - the form of a cookie that a packet carries to its host.
 * @flags: combination of WcPacketFlag.
 */
uint32_t wc_cookie_for_packet (uint32_t cookie, uint8_t flags);

#endif
