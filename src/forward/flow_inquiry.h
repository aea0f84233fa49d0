#ifndef WC_FORWARD_FLOW_INQUIRY_H
#define WC_FORWARD_FLOW_INQUIRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "forward/packet.h"

/** struct WcFlowInquiries - flows about whose hosts peers were asked, with the packets that wait for the answers. */
typedef struct WcFlowInquiries WcFlowInquiries;

WcFlowInquiries *wc_flow_inquiries_new (void);
void             wc_flow_inquiries_delete (WcFlowInquiries *inquiries);

/** wc_flow_inquiries_has() - whether peers were asked about a flow and the answer is awaited. */
bool wc_flow_inquiries_has (const WcFlowInquiries *inquiries, const WcFlowKey *key);

/** wc_flow_inquiries_is_full() - whether no further inquiry can be started. */
bool wc_flow_inquiries_is_full (const WcFlowInquiries *inquiries);

/**
 * wc_flow_inquiries_start() - start an inquiry; there must be none about the flow, and a place for it.
 * @asked: number of peers that were asked.
 * @deadline_us: when it ends without an answer.
 */
void wc_flow_inquiries_start (WcFlowInquiries *inquiries, const WcFlowKey *key, size_t asked, uint64_t deadline_us);

/** wc_flow_inquiries_hold() - copy a packet of a flow with an inquiry; drops it when too many are held. */
void wc_flow_inquiries_hold (WcFlowInquiries *inquiries, const WcPacket *packet);

/** wc_flow_inquiries_record_unknown() - a peer does not know the flow. Return: true when no other answer is awaited. */
bool wc_flow_inquiries_record_unknown (WcFlowInquiries *inquiries, const WcFlowKey *key);

/** wc_flow_inquiries_get_deadline_us() - earliest deadline; UINT64_MAX when there is no inquiry. */
uint64_t wc_flow_inquiries_get_deadline_us (const WcFlowInquiries *inquiries);

/** wc_flow_inquiries_find_expired() - an inquiry whose deadline has passed. Return: false when there is none. */
bool wc_flow_inquiries_find_expired (const WcFlowInquiries *inquiries, uint64_t now_us, WcFlowKey *key);

/** WcFlowInquiryRelease - callback for each packet of an inquiry that ends; must not use the inquiries. */
typedef void (*WcFlowInquiryRelease) (void *user_data, const WcPacket *packet);

/** wc_flow_inquiries_end() - end an inquiry if there is one, and pass its packets on in the order of their arrival. */
void
wc_flow_inquiries_end (WcFlowInquiries *inquiries, const WcFlowKey *key, WcFlowInquiryRelease release, void *user_data);

#endif
