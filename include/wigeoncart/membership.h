#ifndef WIGEONCART_MEMBERSHIP_H
#define WIGEONCART_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * enum WcMemberState - state of an instance in the membership view. Only LIVE members are eligible as owners.
 * @WC_MEMBER_LISTED: the platform lists it, but no heartbeat has arrived.
 * @WC_MEMBER_LEAVING: it drains before a planned stop.
 * @WC_MEMBER_SUSPECT: its heartbeats have stopped.
 */
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
 * struct WcMember - an instance as this instance sees it.
 * @incarnation: random number drawn when the instance starts; 0 while unknown.
 * @address: TCP address of its peer links; worker n receives relayed datagrams on the UDP port @address.port + n.
 * @suspect_deadline_us: time at which the member becomes suspect unless another heartbeat arrives.
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

/** struct WcMemberTable - copy of the members, sorted by id; immutable, with an atomic reference count. */
typedef struct WcMemberTable WcMemberTable;

WcMemberTable  *wc_member_table_new (const WcMember *members, size_t count);
WcMemberTable  *wc_member_table_ref (WcMemberTable *table);
void            wc_member_table_unref (WcMemberTable *table);
const WcMember *wc_member_table_find (const WcMemberTable *table, uint64_t id);
const WcMember *wc_member_table_get (const WcMemberTable *table, size_t *count);

/** wc_member_table_get_live() - live members of a domain, sorted by id. */
const WcMember *wc_member_table_get_live (const WcMemberTable *table, uint32_t domain, size_t *count);

/** struct WcMembership - membership view, built from heartbeats and from the platform's list, which lags behind. */
typedef struct WcMembership WcMembership;

/**
 * wc_membership_new() - new view with this instance as its only member.
 * @suspect_after_us: time without a heartbeat after which a member of this domain becomes suspect.
 */
WcMembership *wc_membership_new (const WcMember *self, uint64_t suspect_after_us);
void          wc_membership_delete (WcMembership *membership);

/**
 * wc_membership_apply_list() - apply the platform's list of instances.
 * @listed: id, domain, address, workers and state (LISTED or LEAVING) of each instance.
 *
 * Members of other domains, from which no heartbeats arrive, are live while they are listed and not leaving. A member
 * of this domain is live only while its heartbeats arrive, and then also when it is no longer listed. The list lags
 * behind, so the state in a recent heartbeat takes precedence over the listed one.
 */
void wc_membership_apply_list (WcMembership *membership, uint64_t now_us, const WcMember *listed, size_t count);

/** wc_membership_apply_heartbeat() - apply a heartbeat of @sender; that of a replaced incarnation is ignored. */
void wc_membership_apply_heartbeat (WcMembership *membership, uint64_t now_us, const WcMember *sender);

/** wc_membership_tick() - mark members whose heartbeats have stopped as suspect. Return: true when the view changed. */
bool wc_membership_tick (WcMembership *membership, uint64_t now_us);

/** wc_membership_set_self_state() - set the state of this instance, LIVE or LEAVING. */
void wc_membership_set_self_state (WcMembership *membership, WcMemberState state);

/** wc_membership_get_generation() - number that increases with each change of the view. */
uint64_t wc_membership_get_generation (const WcMembership *membership);

/** wc_membership_snapshot() - copy of the view, a new table with one reference. */
WcMemberTable *wc_membership_snapshot (const WcMembership *membership);

#endif
