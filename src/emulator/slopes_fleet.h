#ifndef WC_EMULATOR_SLOPES_FLEET_H
#define WC_EMULATOR_SLOPES_FLEET_H

#include <glib.h>

#include "core/control.h"
#include "emulator/slopes_register.h"

enum
{
  /* Length field of a frame, and TCP and IP headers with the timestamp option. */
  WC_SLOPES_FRAME_OVERHEAD_BYTES = 4 + 52
};

typedef struct WcSlopesFleet WcSlopesFleet;

/**
 * struct WcSlopesPeer - one end of a link to a peer; both ends have an entry.
 * @wanted: the control plane of this end has requested the link.
 * @down_pending: the link is down; the control plane is notified in the next step.
 */
typedef struct
{
  bool wanted;
  bool linked;
  bool down_pending;
} WcSlopesPeer;

/** struct WcSlopesFrame - packed frame in transit, for delivery at @due_us; dropped if its sender has restarted. */
typedef struct
{
  uint32_t from;
  uint64_t incarnation;
  uint64_t due_us;
  uint8_t *packed;
  size_t   size_bytes;
} WcSlopesFrame;

/**
 * struct WcSlopesNode - control plane of one instance, its pending reads and its counters.
 * @peers: WcSlopesPeer by index of the peer, for each peer to which either end has requested a link.
 * @inbox: queue of WcSlopesFrame in the order of sending.
 * @isolated: the partition separates the instance from the first half of the domains and from the platform.
 * @head_read_pending, @list_read_pending: a read from the platform waits for its reply.
 * @head_after_version: the head read waits until @head_deadline_us for a later version than this; 0 for any.
 * @part_read_key: key of the part whose read waits for its reply; NULL for none.
 * @sent, @received: bytes of peer frames; @platform_bytes: bytes of reads from the platform.
 * @cpu_ns: thread CPU time spent in the control plane.
 */
typedef struct
{
  WcSlopesFleet *fleet;
  uint32_t       index;
  uint32_t       domain;
  WcMember       self;
  WcControl     *control;
  WcCounters     counters;
  GHashTable    *peers;
  GQueue        *inbox;
  bool           isolated;
  bool           head_read_pending;
  uint64_t       head_after_version;
  uint64_t       head_deadline_us;
  char          *part_read_key;
  bool           list_read_pending;
  uint64_t       sent;
  uint64_t       received;
  uint64_t       platform_bytes;
  uint64_t       cpu_ns;
} WcSlopesNode;

/**
 * struct WcSlopesFleet - control planes of many instances in one thread, with a virtual clock, one platform and links
 * of constant latency.
 * @by_id: WcSlopesNode by instance id.
 * @version: version of the published head.
 * @partitioned: the second half of the domains reaches neither the first half nor the platform.
 * @reads, @reads_in_s, @most_reads_in_s: reads from the platform: total, within the current second (@second) of the
 * virtual clock, and the maximum within one second.
 */
struct WcSlopesFleet
{
  WcSlopesNode     *nodes;
  GHashTable       *by_id;
  uint32_t          count;
  uint32_t          domains;
  uint64_t          now_us;
  uint64_t          step_us;
  uint64_t          last_incarnation;
  GRand            *random;
  WcSlopesRegister *reg;
  uint64_t          version;
  bool              partitioned;
  uint64_t          reads;
  uint64_t          second;
  uint32_t          reads_in_s;
  uint32_t          most_reads_in_s;
};

/** WC_SLOPES_FLEET_OPS - operations of a control plane in the fleet; the user data is its WcSlopesNode. */
extern const WcControlOps WC_SLOPES_FLEET_OPS;

WcSlopesFleet *wc_slopes_fleet_new (uint32_t domains, uint32_t instances, uint32_t hosts, uint32_t seed);
void           wc_slopes_fleet_delete (WcSlopesFleet *fleet);

/** wc_slopes_fleet_get_peer() - Return: the entry of the peer with that index, created if there is none. */
WcSlopesPeer *wc_slopes_fleet_get_peer (WcSlopesNode *node, uint32_t index);

/** wc_slopes_fleet_start() - start an instance with a new incarnation. */
void wc_slopes_fleet_start (WcSlopesFleet *fleet, uint32_t index);

/** wc_slopes_fleet_kill() - stop an instance without notice and close its links; does nothing if it is stopped. */
void wc_slopes_fleet_kill (WcSlopesFleet *fleet, uint32_t index);

/** wc_slopes_fleet_step() - advance the virtual clock by step_us and run every control plane once. */
void wc_slopes_fleet_step (WcSlopesFleet *fleet);

/** wc_slopes_fleet_edit() - publish an edit of one host. */
void wc_slopes_fleet_edit (WcSlopesFleet *fleet);

/** wc_slopes_fleet_set_partitioned() - partition the second half of the domains from the first, or end this. */
void wc_slopes_fleet_set_partitioned (WcSlopesFleet *fleet, bool partitioned);

/** wc_slopes_fleet_is_in_force() - whether every running instance serves with the published revision. */
bool wc_slopes_fleet_is_in_force (const WcSlopesFleet *fleet);

/** wc_slopes_fleet_clear_counts() - reset the counters of traffic, reads and CPU time for a new measurement. */
void wc_slopes_fleet_clear_counts (WcSlopesFleet *fleet);

#endif
