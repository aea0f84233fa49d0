#ifndef WIGEONCART_MEMBERSHIP_H
#define WIGEONCART_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/** enum WcMemberState - what is known of an instance. Only LIVE members are eligible as owners. */
typedef enum
{
  WC_MEMBER_LISTED = 0,
  WC_MEMBER_LIVE,
  WC_MEMBER_LEAVING,
  WC_MEMBER_SUSPECT,
  WC_MEMBER_COUNT
} WcMemberState;

extern const char *const WC_MEMBER_STATE_STRINGS[WC_MEMBER_COUNT];

/**
 * struct WcMember - one instance as seen from here.
 * @incarnation: random number drawn at its start; 0 while unknown.
 * @address: TCP port of its peer links; worker n receives relayed datagrams on the UDP port @address.port + n.
 * @suspect_deadline_us: when the member becomes suspect unless it is heard again.
 */
typedef struct
{
  uint64_t      id;
  uint64_t      incarnation;
  uint32_t      domain;
  uint16_t      workers;
  WcMemberState state;
  WcAddress     address;
  uint64_t      suspect_deadline_us;
} WcMember;

/** struct WcMemberTable - immutable copy of the members, sorted by id, reference-counted (atomic). */
typedef struct WcMemberTable WcMemberTable;

WcMemberTable  *wc_member_table_new (const WcMember *members, size_t count);
WcMemberTable  *wc_member_table_ref (WcMemberTable *table);
void            wc_member_table_unref (WcMemberTable *table);
const WcMember *wc_member_table_find (const WcMemberTable *table, uint64_t id);
const WcMember *wc_member_table_get (const WcMemberTable *table, size_t *count);

/** wc_member_table_get_live() - the live members of a domain, sorted by id. */
const WcMember *wc_member_table_get_live (const WcMemberTable *table, uint32_t domain, size_t *count);

/** struct WcMembership - live view, built from the lagging list and from heartbeats. */
typedef struct WcMembership WcMembership;

/**
 * wc_membership_new() - start with this instance as the only member.
 * @suspect_after_us: silence after which a member of this domain is suspect.
 */
WcMembership *wc_membership_new (const WcMember *self, uint64_t suspect_after_us);
void          wc_membership_delete (WcMembership *membership);

/**
 * wc_membership_apply_list() - take over the platform's list of instances.
 * @listed: id, domain, address, workers and state (LISTED or LEAVING) of each.
 *
 * Members of other domains count as live while listed as live. A member of this domain counts as live only while its
 * heartbeats arrive. A member that the list dropped stays while its heartbeats arrive. The list lags, so the state in
 * a recent heartbeat takes precedence over the listed one.
 */
void wc_membership_apply_list (WcMembership *membership, uint64_t now_us, const WcMember *listed, size_t count);

/** wc_membership_apply_heartbeat() - apply a heartbeat; ignores an incarnation that was replaced by a later one. */
void wc_membership_apply_heartbeat (WcMembership *membership, uint64_t now_us, const WcMember *sender);

/** wc_membership_tick() - mark silent members as suspect. Return: true when the view changed. */
bool wc_membership_tick (WcMembership *membership, uint64_t now_us);

/** wc_membership_set_self_state() - LIVE or LEAVING. */
void wc_membership_set_self_state (WcMembership *membership, WcMemberState state);

/** wc_membership_get_generation() - grows with each change of the view. */
uint64_t wc_membership_get_generation (const WcMembership *membership);

/** wc_membership_snapshot() - a new table with one reference. */
WcMemberTable *wc_membership_snapshot (const WcMembership *membership);

#endif
