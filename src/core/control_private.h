#ifndef WC_CORE_CONTROL_PRIVATE_H
#define WC_CORE_CONTROL_PRIVATE_H

#include <glib.h>

#include "core/control.h"

enum
{
  WC_CONTROL_REPLACED_INCARNATIONS = 4,
  WC_CONTROL_PEER_ANSWER_US = 1000000
};

/**
 * struct WcControlRecord - gossip state of a member of this domain.
 * @member: as passed to the membership; its state is that of the newest note.
 * @version: version of the newest note; only the member itself increments it.
 * @listed: the member is in the last list of the platform.
 * @monitored: the member is a neighbour, whose failure this instance detects and reports.
 * @first_us: time at which the member became known.
 * @changed_us: time at which the newest note arrived.
 * @direct_us: time of the last heartbeat over a link, or at which this instance started to monitor the member.
 * @vouched_us: time at which the membership was last refreshed without a heartbeat, because no note reports the member
 * as suspect; 0 when it was not since the newest note.
 * @replaced: earlier incarnations and their last versions, newest first.
 */
typedef struct
{
  WcMember member;
  uint32_t version;
  bool     listed;
  bool     monitored;
  uint64_t first_us;
  uint64_t changed_us;
  uint64_t direct_us;
  uint64_t vouched_us;
  struct
  {
    uint64_t incarnation;
    uint32_t version;
  } replaced[WC_CONTROL_REPLACED_INCARNATIONS];
} WcControlRecord;

/**
 * struct WcControlLink - an established link to a peer.
 * @heard: the peer has announced its configuration, while the link was not @doubtful.
 * @echoed: the peer has answered the challenge that was sent after the last pause.
 * @doubtful: the link is older than the last pause and the peer has not answered the challenge yet.
 * @silent: a query to the peer timed out, and no frame has arrived from it since.
 * @heard_us: time of the last heartbeat, or at which the link was established.
 * @heartbeats: number of heartbeats sent.
 * @config: configuration that the peer announced last; revision 0 while it has none.
 * @sent_config: configuration that was announced to the peer last.
 * @tried_config: value of @config when the peer's head was last fetched; it is not fetched again until @config changes.
 */
typedef struct
{
  uint64_t   id;
  uint64_t   incarnation;
  uint32_t   domain;
  bool       heard;
  bool       echoed;
  bool       doubtful;
  bool       silent;
  uint64_t   heard_us;
  uint64_t   next_heartbeat_us;
  uint32_t   heartbeats;
  WcConfigId config;
  WcConfigId sent_config;
  WcConfigId tried_config;
} WcControlLink;

/**
 * struct WcControlDesired - a peer to which a link has to be kept established.
 * @cross_domain: the peer is in another domain.
 * @since_us: time at which the link was requested.
 */
typedef struct
{
  WcMember member;
  bool     cross_domain;
  uint64_t since_us;
} WcControlDesired;

typedef enum
{
  WC_FETCH_IDLE = 0,
  WC_FETCH_PEER_HEAD,
  WC_FETCH_PEER_PARTS,
  WC_FETCH_PLATFORM_PART
} WcFetch;

struct WcControl
{
  WcControlConfig     config;
  const WcControlOps *ops;
  void               *user_data;
  WcCounters         *counters;
  GRand              *random;

  WcLifecycle lifecycle;
  uint64_t    last_us;
  uint64_t    confirmed_us;
  uint64_t    domain_confirmed_us;
  uint64_t    join_started_us;
  uint64_t    first_peer_us;
  bool        platform_accepted;
  bool        reconfirming;
  uint64_t    reconfirm_started_us;
  uint64_t    reconfirm_deadline_us;
  uint64_t    challenge;
  uint64_t    suspect_grace_us;
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
  GHashTable    *avoided;
  GArray        *pending_notes;
  uint32_t       own_version;
  WcMemberState  own_state;
  uint64_t       next_topology_us;
  uint32_t       pace;
  uint64_t       next_list_us;
  bool           list_pending;
  bool           list_known;
  bool           list_from_peer;

  WcConfigStore  *store;
  WcKeyring      *keyring;
  GBytes         *head_in_force;
  GBytes         *held_head;
  uint64_t        in_force_us;
  uint64_t        head_version;
  bool            head_pending;
  bool            head_is_watch;
  uint64_t        head_issued_us;
  uint64_t        next_head_us;
  bool            was_reader;
  uint32_t        watches;
  uint32_t        platform_failures;
  WcPlatformState platform_state;
  WcFetch         fetch;
  uint64_t        fetch_peer;
  uint64_t        fetch_deadline_us;
  uint64_t        fetch_retry_us;
  uint32_t        fetch_attempts;
  uint32_t        fetch_outstanding;
  /* A delta from a peer could not be applied; peers are asked for full texts until the next configuration is in
   * force. */
  bool ask_whole;
};

/* control.c */
void wc_control_record (WcControl *control, WcEventKind kind, uint64_t value, const char *reason);
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
void wc_control_link_lost_fetch (WcControl *control, uint64_t peer);
/* wc_control_get_missing() - digest of the @index-th missing part; false when there is none. */
bool wc_control_get_missing (const WcControl *control, size_t index, uint8_t digest[WC_DIGEST_BYTES]);

/* control_answer.c */
void wc_control_answer_ask (WcControl *control, WcControlLink *link, const Wc__PeerFrame *ask);
/* wc_control_fill_base() - set the configuration in force in a query, so that the answer may be a delta against it;
 * @config must live as long as @ask. */
void wc_control_fill_base (const WcControl *control, Wc__ConfigId *config, Wc__PeerFrame *ask);
/* wc_control_read_head(), wc_control_read_part() - full text of an answer; NULL when its delta cannot be applied. */
GBytes *wc_control_read_head (WcControl *control, const Wc__PeerFrame *frame);
GBytes *wc_control_read_part (WcControl *control, const Wc__PeerFrame *frame);

/* control_config.c */
void wc_control_config_tick (WcControl *control, uint64_t now_us);
void wc_control_config_receive (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);
void wc_control_offer_head (WcControl *control, uint64_t now_us, const char *text, size_t size_bytes);
void wc_control_accept_platform (WcControl *control, uint64_t now_us);
/* wc_control_is_newer() - whether @id is newer than the configuration in force and is not the last one rejected. */
bool wc_control_is_newer (const WcControl *control, const WcConfigId *id);
/* wc_control_knows_newer() - whether a linked peer has announced a newer configuration. */
bool wc_control_knows_newer (const WcControl *control);

/* control_members.c */
void wc_control_fill_note (const WcMember *member, uint32_t version, Wc__MemberNote *note);
/* wc_control_read_note() - decode a note. Return: false when it is malformed. */
bool wc_control_read_note (const Wc__MemberNote *note, WcMember *member);
void wc_control_members_tick (WcControl *control, uint64_t now_us);
void wc_control_set_own_state (WcControl *control, uint64_t now_us, WcMemberState state);
void wc_control_update_table (WcControl *control);
void wc_control_send_heartbeat (WcControl *control, uint64_t now_us, WcControlLink *link, bool with_config);
void wc_control_announce (WcControl *control, uint64_t now_us);
void wc_control_send_challenges (WcControl *control, uint64_t now_us);
void wc_control_flush_notes (WcControl *control, uint64_t now_us, uint64_t source);
void
wc_control_heartbeat_receive (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);

/* control_list.c */
void wc_control_apply_list (WcControl *control, uint64_t now_us, const WcMember *members, size_t count);
/* wc_control_ask_list() - query a random peer for its list; used when an instance starts while the platform is down. */
void wc_control_ask_list (WcControl *control);
void wc_control_list_receive (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);

/* control_topology.c */
void wc_control_update_topology (WcControl *control, uint64_t now_us);

#endif
