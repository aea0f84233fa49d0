#include "forward/readiness.h"

#include <assert.h>

/*
 * Load pattern: instances are restarted while others serve. The fabric gives a ready instance its flows back at once,
 * and it knows the hosts of none of them. Where their cookies do not prove them, peers know; an instance that has heard
 * of none has nobody to ask and is not ready yet. It waits for a bounded time only, because it may be the only one. The
 * fabric uses instances that are not ready when there are too few others, so that the wait costs nothing then.
 *
 * The host information of an isolated instance becomes stale, so the fabric prefers other instances.
 */

enum
{
  /* An instance that has received data neither from the store nor from a peer for this long counts as isolated. */
  ISOLATION_TIMEOUT_US = 3000 * 1000
};

const char *const WC_READINESS_STRINGS[WC_READINESS_COUNT] = {
  [WC_READINESS_READY] = "ready",         [WC_READINESS_STOPPING] = "stopping", [WC_READINESS_NO_VIEW] = "no view",
  [WC_READINESS_NO_PEER] = "no peer yet", [WC_READINESS_ISOLATED] = "isolated",
};

WcReadiness
wc_readiness_evaluate (const WcReadinessInput *input, const WcPeerTable *peers, uint64_t now_us)
{
  assert (input != NULL && peers != NULL);

  if (input->is_stopping)
    return WC_READINESS_STOPPING;
  if (!input->is_view_loaded)
    return WC_READINESS_NO_VIEW;
  if (now_us < input->peers_deadline_us && wc_peer_table_has_seeds (peers) && !wc_peer_table_has_heard (peers))
    return WC_READINESS_NO_PEER;
  if (input->view_age_us > ISOLATION_TIMEOUT_US && wc_peer_table_is_isolated (peers, ISOLATION_TIMEOUT_US, now_us))
    return WC_READINESS_ISOLATED;
  return WC_READINESS_READY;
}
