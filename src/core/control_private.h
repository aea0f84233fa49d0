#ifndef WC_CORE_CONTROL_PRIVATE_H
#define WC_CORE_CONTROL_PRIVATE_H

#include <glib.h>

#include "core/control.h"

enum
{
  WC_CONTROL_REPLACED_INCARNATIONS = 4,
  WC_CONTROL_PEER_TIMEOUT_US = 1000000
};

/**
 * struct WcMemberRecord - gossip state of a member of this domain. A note is a gossip message with the state of one
 * member; of several notes on a member, the one with the highest version is used.
 * @member: as passed to the membership; its state is that of the newest note.
 * @version: version of the newest note; only the member itself increments it.
 * @listed: the member is in the last list of the platform.
 * @monitored: the member is a neighbour, whose failure this instance detects and reports.
 * @first_seen_us: time at which the member became known.
 * @updated_us: time at which the newest note arrived.
 * @last_contact_us: time of the last heartbeat over a link, or at which this instance started to monitor the member.
 * @refreshed_us: last time at which the membership was refreshed without a heartbeat of the member, only because no
 * note reports it as suspect; 0 when that has not happened since the newest note.
 * @replaced: earlier incarnations and their last versions, newest first.
 */
typedef struct
{
  WcMember member;
  uint32_t version;
  bool     listed;
  bool     monitored;
  uint64_t first_seen_us;
  uint64_t updated_us;
  uint64_t last_contact_us;
  uint64_t refreshed_us;
  struct
  {
    uint64_t incarnation;
    uint32_t version;
  } replaced[WC_CONTROL_REPLACED_INCARNATIONS];
} WcMemberRecord;

/**
 * struct WcControlLink - an established link to a peer.
 * @config_announced: the peer has announced its configuration; not set by announcements on an @unverified link.
 * @challenge_answered: the peer has replied to the challenge that was sent after the last pause.
 * @unverified: the link is older than the last pause and the peer has not replied to the challenge yet.
 * @unresponsive: a query to the peer timed out, and no frame has arrived from it since.
 * @last_seen_us: time of the last heartbeat, or at which the link was established.
 * @heartbeats: number of heartbeats sent.
 * @config: configuration that the peer announced last; revision 0 while it has none.
 * @sent_config: configuration that was announced to the peer last.
 * @fetched_config: value of @config when the peer's head was last fetched; it is not fetched again until @config
 * changes.
 */
typedef struct
{
  uint64_t   id;
  uint64_t   incarnation;
  uint32_t   domain;
  bool       config_announced;
  bool       challenge_answered;
  bool       unverified;
  bool       unresponsive;
  uint64_t   last_seen_us;
  uint64_t   next_heartbeat_us;
  uint32_t   heartbeats;
  WcConfigId config;
  WcConfigId sent_config;
  WcConfigId fetched_config;
} WcControlLink;

/**
 * struct WcDesiredLink - a peer to which a link has to be kept established.
 * @cross_domain: the peer is in another domain.
 * @requested_us: time at which the link was requested.
 */
typedef struct
{
  WcMember member;
  bool     cross_domain;
  uint64_t requested_us;
} WcDesiredLink;

/** enum WcFetch - what is being fetched, a head or parts, and from where. */
typedef enum
{
  WC_FETCH_IDLE = 0,
  WC_FETCH_PEER_HEAD,
  WC_FETCH_PEER_PARTS,
  WC_FETCH_PLATFORM_PART
} WcFetch;

/**
 * struct WcControl - see control.h.
 * @confirmed_us: time of the last confirmation of the configuration; @domain_confirmed_us: of the last one by a peer of
 * the domain.
 * @first_announcement_us: time at which the first peer announced its configuration; 0 before.
 * @platform_accepted: the join has reached the point at which the platform's head may be used; before that the head is
 * kept in @deferred_head.
 * @reconfirming: the configuration has not been confirmed since the last pause.
 * @challenge: random number that the peers have to send back after a pause.
 * @suspect_grace_deadline_us: no member becomes suspect before this time, after a pause.
 * @view_dirty: the view has changed since it was last published.
 * @table: copy of @membership at @generation.
 * @records: WcMemberRecord of each member of the domain, by id.
 * @links: WcControlLink of each connected peer, by id.
 * @desired: WcDesiredLink of each peer that was requested to be connected, by id.
 * @unreachable: ids of members of other domains to which no link could be established, with the time at which they may
 * be tried again.
 * @pending_notes: ids of the members whose records have changed and are to be sent to the peers.
 * @own_version: version of the notes on this instance.
 * @heartbeat_factor: factor on the heartbeat interval and the failure detection time: 1 in a full mesh, else
 * WC_CONTROL_RING_HEARTBEAT_FACTOR.
 * @list_known: a list was read from the platform; @list_from_peer: one was received from a peer.
 * @head_in_force: text of the head in force.
 * @head_version: the platform's version of `head` in the last read; 0 when the next read must not be a watch.
 * @head_pending: a read of `head` is in progress since @head_issued_us; @head_is_watch: it is a watch.
 * @watches: number of watches issued.
 * @fetch_failures: number of failed fetches since the last progress; selects the source of the next one.
 * @fetch_outstanding: number of parts that the queried peer has not sent yet.
 * @deltas_disabled: a delta from a peer could not be applied; peers are asked for full texts until the next
 * configuration is in force.
 */
struct WcControl
{
  WcControlConfig     config;
  const WcControlOps *ops;
  void               *user_data;
  WcCounters         *counters;
  GRand              *random;

  WcLifecycle lifecycle;
  uint64_t    last_call_us;
  uint64_t    confirmed_us;
  uint64_t    domain_confirmed_us;
  uint64_t    join_started_us;
  uint64_t    first_announcement_us;
  bool        platform_accepted;
  bool        reconfirming;
  uint64_t    reconfirm_started_us;
  uint64_t    reconfirm_deadline_us;
  uint64_t    challenge;
  uint64_t    suspect_grace_deadline_us;
  uint64_t    drain_started_us;
  bool        stopped;

  bool     view_dirty;
  uint64_t published_confirmed_us;

  WcMembership  *membership;
  WcMemberTable *table;
  uint64_t       generation;
  GHashTable    *records;
  GHashTable    *links;
  GHashTable    *desired;
  GHashTable    *unreachable;
  GArray        *pending_notes;
  uint32_t       own_version;
  WcMemberState  own_state;
  uint64_t       next_topology_us;
  uint32_t       heartbeat_factor;
  uint64_t       next_list_read_us;
  bool           list_pending;
  bool           list_known;
  bool           list_from_peer;

  WcConfigStore  *store;
  WcKeyring      *keyring;
  GBytes         *head_in_force;
  GBytes         *deferred_head;
  uint64_t        in_force_us;
  uint64_t        head_version;
  bool            head_pending;
  bool            head_is_watch;
  uint64_t        head_issued_us;
  uint64_t        next_head_read_us;
  bool            was_reader;
  uint32_t        watches;
  uint32_t        platform_failures;
  WcPlatformState platform_state;
  WcFetch         fetch;
  uint64_t        fetch_peer;
  uint64_t        fetch_deadline_us;
  uint64_t        next_fetch_us;
  uint32_t        fetch_failures;
  uint32_t        fetch_outstanding;
  bool            deltas_disabled;
};

/* control.c */
void wc_control_record_event (WcControl *control, WcEventKind kind, uint64_t value, const char *reason);
void wc_control_set_lifecycle (WcControl *control, WcLifecycle lifecycle, const char *reason);
void wc_control_publish (WcControl *control, uint64_t now_us);
/* wc_control_jitter() - @base_us multiplied by a random factor from 0.75 to 1.25. */
uint64_t wc_control_jitter (WcControl *control, uint64_t base_us);

/* control_lifecycle.c */
void wc_control_confirm (WcControl *control, uint64_t now_us);
void wc_control_check_lifecycle (WcControl *control, uint64_t now_us);

/* control_fetch.c */
void wc_control_fetch (WcControl *control, uint64_t now_us);
void wc_control_fetch_failed (WcControl *control, uint64_t now_us);
void wc_control_fetch_link_down (WcControl *control, uint64_t peer);
/* wc_control_get_missing() - digest of the @index-th missing part; false when there is none. */
bool wc_control_get_missing (const WcControl *control, size_t index, uint8_t digest[WC_DIGEST_BYTES]);

/* control_answer.c */
void wc_control_answer_config_query (WcControl *control, WcControlLink *link, const Wc__PeerFrame *query);
/* wc_control_fill_delta_base() - set the configuration in force in a query, so that the reply may be a delta against
 * it; @config must live as long as @query. */
void wc_control_fill_delta_base (const WcControl *control, Wc__ConfigId *config, Wc__PeerFrame *query);
/* wc_control_decode_head(), wc_control_decode_part() - full text in a reply; NULL when its delta cannot be applied. */
GBytes *wc_control_decode_head (WcControl *control, const Wc__PeerFrame *frame);
GBytes *wc_control_decode_part (WcControl *control, const Wc__PeerFrame *frame);

/* control_config.c */
void wc_control_config_tick (WcControl *control, uint64_t now_us);
void wc_control_receive_config (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);
void wc_control_offer_head (WcControl *control, uint64_t now_us, const char *text, size_t size_bytes);
void wc_control_accept_deferred_head (WcControl *control, uint64_t now_us);
/* wc_control_is_newer() - whether @id is newer than the configuration in force and is not the last one rejected. */
bool wc_control_is_newer (const WcControl *control, const WcConfigId *id);
/* wc_control_peer_has_newer() - whether a linked peer has announced a newer configuration. */
bool wc_control_peer_has_newer (const WcControl *control);

/* control_members.c */
void wc_control_fill_note (const WcMember *member, uint32_t version, Wc__MemberNote *note);
/* wc_control_read_note() - decode a note. Return: false when it is malformed. */
bool wc_control_read_note (const Wc__MemberNote *note, WcMember *member);
void wc_control_members_tick (WcControl *control, uint64_t now_us);
void wc_control_set_own_state (WcControl *control, uint64_t now_us, WcMemberState state);
void wc_control_update_table (WcControl *control);
void wc_control_send_heartbeat (WcControl *control, uint64_t now_us, WcControlLink *link, bool with_config);
/* wc_control_announce() - send a heartbeat with the configuration id on all links. */
void wc_control_announce (WcControl *control, uint64_t now_us);
void wc_control_send_challenges (WcControl *control, uint64_t now_us);
/* wc_control_flush_notes() - send the pending notes to all peers of the domain but @source, from which they came. */
void wc_control_flush_notes (WcControl *control, uint64_t now_us, uint64_t source);
void
wc_control_receive_heartbeat (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);

/* control_list.c */
void wc_control_apply_list (WcControl *control, uint64_t now_us, const WcMember *members, size_t count);
/* wc_control_query_list() - query a random peer for its list; used when an instance starts while the platform is
 * down. */
void wc_control_query_list (WcControl *control);
void wc_control_receive_list (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);

/* control_topology.c */
void wc_control_update_topology (WcControl *control, uint64_t now_us);

#endif
