#ifndef WC_FORWARD_READINESS_H
#define WC_FORWARD_READINESS_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/peer_table.h"

enum
{
  /*
   * How long an instance that could serve waits for a peer. Peers look for an instance that has stopped about once a
   * second each, and the fabric asks for readiness twice a second.
   */
  WC_READINESS_PEERS_WAIT_US = 1000 * 1000
};

/** enum WcReadiness - whether an instance is ready for packets, and why not. */
typedef enum
{
  WC_READINESS_READY = 0,
  WC_READINESS_STOPPING,
  WC_READINESS_NO_VIEW,
  WC_READINESS_NO_PEER,
  WC_READINESS_ISOLATED,
  WC_READINESS_COUNT
} WcReadiness;

extern const char *const WC_READINESS_STRINGS[WC_READINESS_COUNT];

/**
 * struct WcReadinessInput - what the decision depends on beside the peers.
 * @is_stopping: a planned stop is in progress.
 * @is_view_loaded: hosts and routes are known.
 * @view_age_us: time since the store confirmed the view; UINT64_MAX when it never did.
 * @peers_deadline_us: until when a peer is waited for; valid when @is_view_loaded.
 */
typedef struct
{
  bool     is_stopping;
  bool     is_view_loaded;
  uint64_t view_age_us;
  uint64_t peers_deadline_us;
} WcReadinessInput;

/** wc_readiness_evaluate() - decide whether the instance is ready for packets now. */
WcReadiness wc_readiness_evaluate (const WcReadinessInput *input, const WcPeerTable *peers, uint64_t now_us);

#endif
