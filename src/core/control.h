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
  /* Up to this many members, a domain is a full mesh of links. In a larger domain, the members form a ring ordered by
   * id. Each member connects to those at the distances 1, n^(1/3) and n^(2/3) on the ring, so it has 6 links. Changes
   * of membership spread by gossip between neighbours. */
  WC_CONTROL_MESH_MAX_MEMBERS = 9,
  WC_CONTROL_RING_OFFSETS = 3,
  /* Factor on the heartbeat interval and the failure detection time in a domain that is not a full mesh. Keeps the
   * control traffic at 240 members per domain below 2 KB/s per instance. */
  WC_CONTROL_RING_HEARTBEAT_FACTOR = 4,
  /* Maximum number of notes in one heartbeat; each is on one member and takes about 45 bytes. */
  WC_CONTROL_NOTES_PER_FRAME = 256,
  /* Maximum number of parts in one CONFIG_ASK; bounds the replies to 8 MB. */
  WC_CONTROL_PARTS_PER_QUERY = 8,
  /* Maximum duration of a watch of the head. */
  WC_CONTROL_WATCH_MS = 25000
};

/**
 * struct WcControlConfig - identity and time limits of one instance.
 * @self: id, incarnation, domain, workers and peer address of this instance; state LIVE.
 * @heartbeat_us: interval of heartbeats to the peers of the domain.
 * @suspect_after_us: time without a heartbeat after which a member of the domain becomes suspect.
 * @pause_threshold_us: time between two calls above which the process counts as having been paused.
 * @confirm_limit_us: time after a pause within which a peer or the platform has to confirm the configuration; after it
 * the instance serves with the configuration it had before the pause.
 * @drain_limit_us: maximum duration of a drain.
 * @join_limit_us: time that a joining instance waits for a peer before it accepts the platform's configuration.
 * @unconfirmed_limit_us: time without a confirmation from a peer of the domain after which the platform is read
 * directly.
 * @read_retry_min_us: base delay of a read of the platform after a failed one, and of the next head read while the
 * configuration is being reconfirmed. Doubled with each consecutive failed head read, up to BACKOFF_MAX_US
 * (control_config.c), and varied at random by up to 25%.
 * @seed: seed of the random number generator for jitter, challenges and the choice of peers.
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

/** wc_control_config_init() - set the default limits; the caller has to set @self and @seed. */
void wc_control_config_init (WcControlConfig *config);

/**
 * struct WcControlOps - input and output operations that the user of WcControl implements. None of them may call
 * WcControl.
 * @connect: keep a link to the member established, with reconnects, until @disconnect.
 * @send: send a frame on the established link to @peer; false when there is none. The link sets the fields of the
 * session: sequence number, logical clock and MAC.
 * @read_head: read the key `head`: its current value when @after is 0, else a long poll (watch) of up to @wait_ms for a
 * version higher than @after. A new read replaces the one in progress. Completed by wc_control_head_received(),
 * wc_control_head_unchanged() or wc_control_head_failed().
 * @cancel_head: cancel the read of `head`, which is then not completed.
 * @read_part: read a part; completed by wc_control_part_received() or wc_control_part_failed().
 * @read_list: read the list of instances; completed by wc_control_list_received() or wc_control_list_failed().
 * @publish: publish a view to the workers; it is valid only during the call unless a reference is taken.
 * @record: record an event in the timeline.
 * @workers_idle: whether all workers are idle, so that a stop aborts nothing.
 * @stop: called once, when the instance has stopped.
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

/**
 * enum WcPlatformState - state of the platform as of the last read.
 * @WC_PLATFORM_UNREAD: no read has completed.
 * @WC_PLATFORM_STALE: the platform's head is not the one in force, nor a newer one that is being fetched; it is older
 * or was rejected.
 * @WC_PLATFORM_DOWN: the read failed.
 */
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
 * The configuration and the list of instances come from the platform's store, which the instance reads directly or
 * through its peers.
 *
 * Not thread-safe. Driven by the calls below, each with the time of the monotonic clock. Every call compares the time
 * with that of the previous one, so that a pause of the process is detected whichever event arrives first.
 */
typedef struct WcControl WcControl;

WcControl      *
wc_control_new (const WcControlConfig *config, const WcControlOps *ops, void *user_data, WcCounters *counters);
void wc_control_delete (WcControl *control);

/** wc_control_start() - start joining the fleet. */
void wc_control_start (WcControl *control, uint64_t now_us);

/** wc_control_tick() - process timers; to be called at least four times per pause_threshold_us. */
void wc_control_tick (WcControl *control, uint64_t now_us);

/** wc_control_terminate() - the first call starts a drain, the second stops at once; an instance that does not serve
 * yet stops at once on the first call. */
void wc_control_terminate (WcControl *control, uint64_t now_us);

/** wc_control_link_up() - an authenticated link to @peer was established. */
void wc_control_link_up (WcControl *control, uint64_t now_us, uint64_t peer, uint64_t incarnation, uint32_t domain);

/** wc_control_link_down() - the last link to @peer was closed. */
void wc_control_link_down (WcControl *control, uint64_t now_us, uint64_t peer);

/** wc_control_receive() - process an authenticated frame from @peer. */
void wc_control_receive (WcControl *control, uint64_t now_us, uint64_t peer, const Wc__PeerFrame *frame);

/** wc_control_head_received() - a read of `head` returned a value and its version. */
void
wc_control_head_received (WcControl *control, uint64_t now_us, uint64_t version, const char *text, size_t size_bytes);

/** wc_control_head_unchanged() - a watch of `head` ended without a newer version. */
void wc_control_head_unchanged (WcControl *control, uint64_t now_us);
void wc_control_head_failed (WcControl *control, uint64_t now_us);

void wc_control_part_received (WcControl *control, uint64_t now_us, const void *data, size_t size_bytes);
void wc_control_part_failed (WcControl *control, uint64_t now_us);

/** wc_control_list_received() - a read of the list of instances returned @members; the interval to the next read is
 * proportional to @size_bytes, the size of the reply. */
void wc_control_list_received (WcControl *control, uint64_t now_us, const WcMember *members, size_t count,
                               size_t size_bytes);
void wc_control_list_failed (WcControl *control, uint64_t now_us);

WcLifecycle wc_control_get_lifecycle (const WcControl *control);

/** wc_control_is_ready() - whether the instance serves with a confirmed configuration; otherwise @reason is set. */
bool wc_control_is_ready (const WcControl *control, uint64_t now_us, const char **reason);

/** wc_control_get_store() - configuration store, for reading only. */
const WcConfigStore *wc_control_get_store (const WcControl *control);

/** wc_control_get_in_force_us() - time at which the current register was put in force; 0 when there is none. */
uint64_t wc_control_get_in_force_us (const WcControl *control);
/** wc_control_get_confirmed_us() - time of the last confirmation of the configuration. */
uint64_t        wc_control_get_confirmed_us (const WcControl *control);
WcPlatformState wc_control_get_platform_state (const WcControl *control);
/** wc_control_is_reader() - whether this instance reads the platform for its domain. */
bool     wc_control_is_reader (const WcControl *control);
uint32_t wc_control_get_link_count (const WcControl *control);

/** wc_control_snapshot_members() - current member table. Return: a reference that the caller has to release. */
WcMemberTable *wc_control_snapshot_members (const WcControl *control);

#endif
