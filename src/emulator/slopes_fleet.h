#ifndef WC_EMULATOR_SLOPES_FLEET_H
#define WC_EMULATOR_SLOPES_FLEET_H

#include <glib.h>

#include "core/control.h"
#include "emulator/slopes_register.h"

enum
{
  /* Length field, and TCP and IP headers with timestamps. */
  WC_SLOPES_FRAME_OVERHEAD_BYTES = 4 + 52
};

typedef struct WcSlopesFleet WcSlopesFleet;

/** struct WcSlopesPeer - link to a peer, kept by both ends. */
typedef struct
{
  bool wanted;
  bool linked;
  bool down_pending;
} WcSlopesPeer;

/** struct WcSlopesFrame - a packed frame under way; dropped when its sender has restarted. */
typedef struct
{
  uint32_t from;
  uint64_t incarnation;
  uint64_t due_us;
  uint8_t *packed;
  size_t   size_bytes;
} WcSlopesFrame;

/**
 * struct WcSlopesNode - one control state with its counts.
 * @peers: WcSlopesPeer by index of the peer; only peers that a link is or was wanted to.
 * @cpu_ns: thread CPU time spent in the control state.
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
 * struct WcSlopesFleet - control states of many instances in one thread, with a virtual clock, one platform and links
 * of constant latency.
 * @partitioned: domains above the first half reach neither the others nor the platform.
 * @reads, @reads_in_s, @most_reads_in_s: of the platform, in all and within a second of the virtual clock.
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

/** WC_SLOPES_FLEET_OPS - what a control state acts through; the user data is its WcSlopesNode. */
extern const WcControlOps WC_SLOPES_FLEET_OPS;

WcSlopesFleet *wc_slopes_fleet_new (uint32_t domains, uint32_t instances, uint32_t hosts, uint32_t seed);
void           wc_slopes_fleet_delete (WcSlopesFleet *fleet);

/** wc_slopes_fleet_get_peer() - the entry of the peer with that index, made when there is none. */
WcSlopesPeer *wc_slopes_fleet_get_peer (WcSlopesNode *node, uint32_t index);

void wc_slopes_fleet_start (WcSlopesFleet *fleet, uint32_t index);
void wc_slopes_fleet_kill (WcSlopesFleet *fleet, uint32_t index);
void wc_slopes_fleet_step (WcSlopesFleet *fleet);

/** wc_slopes_fleet_edit() - publish an edit of one host. */
void wc_slopes_fleet_edit (WcSlopesFleet *fleet);

/** wc_slopes_fleet_set_partitioned() - cut the second half of the domains off, or heal the cut. */
void wc_slopes_fleet_set_partitioned (WcSlopesFleet *fleet, bool partitioned);

/** wc_slopes_fleet_is_in_force() - whether every running instance serves with the published revision. */
bool wc_slopes_fleet_is_in_force (const WcSlopesFleet *fleet);

/** wc_slopes_fleet_clear_counts() - start a new measurement. */
void wc_slopes_fleet_clear_counts (WcSlopesFleet *fleet);

#endif
