#ifndef WC_EDGE_FORWARD_METRICS_H
#define WC_EDGE_FORWARD_METRICS_H

#include <stdint.h>

#include "edge/event_log.h"
#include "edge/latency_histogram.h"
#include "edge/packet_socket.h"
#include "edge/store_view.h"
#include "edge/view_reader.h"
#include "forward/decision.h"
#include "forward/forwarder.h"

/** enum WcDestination - domain of the host that a flow was given to, relative to that of the instance. */
typedef enum
{
  WC_DESTINATION_OWN_DOMAIN = 0,
  WC_DESTINATION_OTHER_DOMAIN,
  WC_DESTINATION_COUNT
} WcDestination;

/** WC_DESTINATION_STRINGS - name of each destination for metrics, indexed by WcDestination. */
extern const char *const WC_DESTINATION_STRINGS[WC_DESTINATION_COUNT];

/**
 * struct WcForwardMetrics - counters and latencies of an instance that forwards packets.
 * @decisions: number of decisions by WcDecisionKind.
 * @placed: flows given to a host, by WcDestination; one that is given to a second host counts twice.
 * @opening: time from the opening packet of a flow to the first packet on the established flow.
 * @answer: time from a request to the first packet that acknowledges a part of its answer.
 */
typedef struct
{
  uint64_t            decisions[WC_DECISION_COUNT];
  uint64_t            placed[WC_DESTINATION_COUNT];
  WcLatencyHistogram *opening;
  WcLatencyHistogram *answer;
} WcForwardMetrics;

/**
 * struct WcForwardGauges - current state, exported together with the counters.
 * @view: entries of the store that could not be used.
 * @held_changes: changes of a restored store that are held back.
 * @view_age_us: time since the store confirmed the view; UINT64_MAX when it never did.
 * @peers: number of other live instances.
 */
typedef struct
{
  const WcForwarder            *forwarder;
  const WcPacketSocketCounters *packets;
  const WcViewReaderCounters   *reader;
  const WcStoreViewCounters    *view;
  uint64_t                      view_era;
  uint64_t                      view_revision;
  size_t                        held_changes;
  uint64_t                      view_age_us;
  uint32_t                      peers;
  uint64_t                      peer_datagrams_malformed;
  uint64_t                      log_lines_suppressed;
} WcForwardGauges;

void wc_forward_metrics_init (WcForwardMetrics *metrics);
void wc_forward_metrics_finish (WcForwardMetrics *metrics);

/** wc_forward_metrics_format() - format all metrics in the Prometheus text format; free the result with g_free(). */
char *wc_forward_metrics_format (const WcForwardMetrics *metrics, const WcForwardGauges *gauges);

#endif
