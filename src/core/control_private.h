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
 * struct WcMemberRecord - what gossip says of a member of this domain.
 * @member: as passed to the membership; its state is that of the newest note.
 * @version: of the newest note; raised by the member only.
 * @listed: in the platform's last list.
 * @first_seen_us: when it became known; @updated_us: when the newest note arrived.
 * @last_contact_us: when it was last heard over a link, or when this instance started to monitor it.
 * @monitored: a neighbour; this instance reports its silence.
 * @replaced: earlier incarnations and their last versions, the newest first.
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
 * @config: configuration that the peer announced last; revision 0 while it has none.
 * @sent_config: configuration that was announced to the peer last.
 * @fetched_config: announced configuration whose head was fetched and not taken over.
 * @config_announced: a heartbeat has arrived.
 * @challenge_answered: the peer has answered the challenge sent after the last pause.
 * @unverified: the link is older than the last pause and the peer has not answered the challenge yet.
 * @unresponsive: the peer did not answer the last question in time, and nothing has arrived from it since.
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
 * struct WcDesiredLink - a peer that a link is wanted to.
 * @requested_us: when the link was asked for.
 */
typedef struct
{
  WcMember member;
  bool     cross_domain;
  uint64_t requested_us;
} WcDesiredLink;

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
  uint64_t        fetch_retry_us;
  uint32_t        fetch_attempts;
  uint32_t        fetch_outstanding;
  /* A difference from a peer did not fit; until the next configuration is in force, whole texts are asked for. */
  bool deltas_disabled;
};

/* control.c */
void wc_control_record_event (WcControl *control, WcEventKind kind, uint64_t value, const char *reason);
void wc_control_set_lifecycle (WcControl *control, WcLifecycle lifecycle, const char *reason);
void wc_control_publish (WcControl *control, uint64_t now_us);
/* wc_control_jitter() - @base_us times a random factor from 0.75 to 1.25. */
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
void wc_control_answer_config_query (WcControl *control, WcControlLink *link, const Wc__PeerFrame *ask);
/* wc_control_fill_delta_base() - name the configuration in force in a question, so that the answer may be a difference;
 * @config has to live as long as @ask. */
void wc_control_fill_delta_base (const WcControl *control, Wc__ConfigId *config, Wc__PeerFrame *ask);
/* wc_control_decode_head(), wc_control_decode_part() - text of an answer, whole; NULL when its difference does not fit.
 */
GBytes *wc_control_decode_head (WcControl *control, const Wc__PeerFrame *frame);
GBytes *wc_control_decode_part (WcControl *control, const Wc__PeerFrame *frame);

/* control_config.c */
void wc_control_config_tick (WcControl *control, uint64_t now_us);
void wc_control_receive_config (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);
void wc_control_offer_head (WcControl *control, uint64_t now_us, const char *text, size_t size_bytes);
void wc_control_accept_deferred_head (WcControl *control, uint64_t now_us);
/* wc_control_is_newer() - whether @id is above the one in force and not known to be invalid. */
bool wc_control_is_newer (const WcControl *control, const WcConfigId *id);
/* wc_control_peer_has_newer() - whether a linked peer has announced a newer one. */
bool wc_control_peer_has_newer (const WcControl *control);

/* control_members.c */
void wc_control_fill_note (const WcMember *member, uint32_t version, Wc__MemberNote *note);
/* wc_control_read_note() - false when the note is malformed. */
bool wc_control_read_note (const Wc__MemberNote *note, WcMember *member);
void wc_control_members_tick (WcControl *control, uint64_t now_us);
void wc_control_set_own_state (WcControl *control, uint64_t now_us, WcMemberState state);
void wc_control_update_table (WcControl *control);
void wc_control_send_heartbeat (WcControl *control, uint64_t now_us, WcControlLink *link, bool with_config);
void wc_control_announce (WcControl *control, uint64_t now_us);
void wc_control_send_challenges (WcControl *control, uint64_t now_us);
void wc_control_flush_notes (WcControl *control, uint64_t now_us, uint64_t source);
void
wc_control_receive_heartbeat (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);

/* control_list.c */
void wc_control_apply_list (WcControl *control, uint64_t now_us, const WcMember *members, size_t count);
/* wc_control_query_list() - ask a peer for its list, for an instance that starts while the platform is down. */
void wc_control_query_list (WcControl *control);
void wc_control_receive_list (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);

/* control_topology.c */
void wc_control_update_topology (WcControl *control, uint64_t now_us);

#endif
