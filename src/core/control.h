#ifndef WC_CORE_CONTROL_H
#define WC_CORE_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/config_store.h>
#include <wigeoncart/counters.h>
#include <wigeoncart/event.h>
#include <wigeoncart/membership.h>
#include <wigeoncart/view.h>

#include "wigeoncart.pb-c.h"

enum
{
  /* Up to this many members a domain is a full mesh; beyond it each member keeps links at ring offsets 1, n^(1/3) and
   * n^(2/3), 6 in total, and news of a member is passed on by its neighbours. */
  WC_CONTROL_MESH_MAX_MEMBERS = 9,
  WC_CONTROL_RING_OFFSETS = 3,
  /* Heartbeats and the limits on silence are stretched by this factor in a domain that is not a full mesh, to keep the
   * control traffic of 240 members per domain below 2 KB/s a node. */
  WC_CONTROL_RING_HEARTBEAT_FACTOR = 4,
  /* Members in one heartbeat: about 45 bytes each. */
  WC_CONTROL_NOTES_PER_FRAME = 256,
  /* Parts asked for in one CONFIG_ASK; bounds the answer to 8 MB. */
  WC_CONTROL_PARTS_PER_QUERY = 8,
  WC_CONTROL_WATCH_MS = 25000
};

/**
 * struct WcControlConfig - facts and limits of one instance.
 * @self: id, incarnation, domain, workers and peer address of this instance; state LIVE.
 * @join_limit_us: how long a joining instance waits for a peer before it accepts the platform's configuration.
 * @unconfirmed_limit_us: time without a confirmation from a peer of the domain after which the platform is read
 * directly.
 * @read_retry_min_us: shortest delay after a failed read of the platform.
 */
typedef struct
{
  WcMember self;
  uint64_t heartbeat_us;
  uint64_t suspect_after_us;
  uint64_t pause_threshold_us;
  uint64_t confirm_limit_us;
  uint64_t drain_limit_us;
  uint64_t join_limit_us;
  uint64_t unconfirmed_limit_us;
  uint64_t read_retry_min_us;
  uint32_t seed;
} WcControlConfig;

/** wc_control_config_init() - default limits; @self and @seed are the caller's to set. */
void wc_control_config_init (WcControlConfig *config);

/**
 * struct WcControlOps - actions of the control state, carried out by what surrounds it. None may call back.
 * @connect: keep a link to the member up, with reconnects, until @disconnect.
 * @send: send a frame on the established link to @peer; false when there is none. Fields of the session are set by the
 * link.
 * @read_head: GET of key `head`; @after 0 for the value now, else a watch for a version above it. One at a time: a new
 * one replaces the one in progress. Answered by wc_control_head_received() and its siblings.
 * @cancel_head: stop the read of `head`; no answer follows.
 * @read_part: GET of a part, answered by wc_control_part_received() or wc_control_part_failed().
 * @read_list: GET of the list of instances, answered by wc_control_list_received() or wc_control_list_failed().
 * @publish: hand a snapshot to the workers; the view is valid during the call unless referenced.
 * @record: an event for the time line.
 * @workers_idle: whether no worker has work that a stop would cut off.
 * @stop: the instance is stopped.
 */
typedef struct
{
  void (*connect) (void *user_data, const WcMember *member);
  void (*disconnect) (void *user_data, uint64_t peer);
  bool (*send) (void *user_data, uint64_t peer, Wc__PeerFrame *frame);
  void (*read_head) (void *user_data, uint64_t after, uint32_t wait_ms);
  void (*cancel_head) (void *user_data);
  void (*read_part) (void *user_data, const char *key);
  void (*read_list) (void *user_data);
  void (*publish) (void *user_data, WcView *view);
  void (*record) (void *user_data, const WcEvent *event);
  bool (*workers_idle) (void *user_data);
  void (*stop) (void *user_data);
} WcControlOps;

/** enum WcPlatformState - what the last read of the platform said. */
typedef enum
{
  WC_PLATFORM_UNREAD = 0,
  WC_PLATFORM_UP,
  WC_PLATFORM_STALE,
  WC_PLATFORM_DOWN,
  WC_PLATFORM_STATE_COUNT
} WcPlatformState;

extern const char *const WC_PLATFORM_STATE_STRINGS[WC_PLATFORM_STATE_COUNT];

/**
 * struct WcControl - lifecycle, configuration, membership and heartbeats of one instance.
 *
 * Not thread-safe; driven by the calls below, each with the time on the monotonic clock. Every call checks for a gap
 * since the last one, so that a process that was paused notices it whichever event arrives first.
 */
typedef struct WcControl WcControl;

WcControl      *
wc_control_new (const WcControlConfig *config, const WcControlOps *ops, void *user_data, WcCounters *counters);
void wc_control_delete (WcControl *control);

/** wc_control_start() - begin to join. */
void wc_control_start (WcControl *control, uint64_t now_us);

/** wc_control_tick() - deadlines; call at least every quarter of pause_threshold_us. */
void wc_control_tick (WcControl *control, uint64_t now_us);

/** wc_control_terminate() - first call: drain; second call: stop at once. */
void wc_control_terminate (WcControl *control, uint64_t now_us);

/** wc_control_link_up() - a link to @peer is authenticated. */
void wc_control_link_up (WcControl *control, uint64_t now_us, uint64_t peer, uint64_t incarnation, uint32_t domain);

/** wc_control_link_down() - the last link to @peer is gone. */
void wc_control_link_down (WcControl *control, uint64_t now_us, uint64_t peer);

/** wc_control_receive() - an authentic frame from @peer. */
void wc_control_receive (WcControl *control, uint64_t now_us, uint64_t peer, const Wc__PeerFrame *frame);

/** wc_control_head_received() - the platform's value of `head` and its version. */
void
wc_control_head_received (WcControl *control, uint64_t now_us, uint64_t version, const char *text, size_t size_bytes);
void wc_control_head_unchanged (WcControl *control, uint64_t now_us);
void wc_control_head_failed (WcControl *control, uint64_t now_us);

void wc_control_part_received (WcControl *control, uint64_t now_us, const void *data, size_t size_bytes);
void wc_control_part_failed (WcControl *control, uint64_t now_us);

/** wc_control_list_received() - instances as the platform lists them; @size_bytes of the answer set the pace of reads.
 */
void wc_control_list_received (WcControl *control, uint64_t now_us, const WcMember *members, size_t count,
                               size_t size_bytes);
void wc_control_list_failed (WcControl *control, uint64_t now_us);

WcLifecycle wc_control_get_lifecycle (const WcControl *control);

/** wc_control_is_ready() - serving with a confirmed view; otherwise @reason says why not. */
bool wc_control_is_ready (const WcControl *control, uint64_t now_us, const char **reason);

/** wc_control_get_store() - configuration; read only. */
const WcConfigStore *wc_control_get_store (const WcControl *control);

/** wc_control_get_in_force_us() - when the register in force was put in force; 0 when there is none. */
uint64_t        wc_control_get_in_force_us (const WcControl *control);
uint64_t        wc_control_get_confirmed_us (const WcControl *control);
WcPlatformState wc_control_get_platform_state (const WcControl *control);
bool            wc_control_is_reader (const WcControl *control);
uint32_t        wc_control_get_link_count (const WcControl *control);

/** wc_control_snapshot_members() - a new table with one reference. */
WcMemberTable *wc_control_snapshot_members (const WcControl *control);

#endif
