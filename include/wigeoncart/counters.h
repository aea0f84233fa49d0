#ifndef WIGEONCART_COUNTERS_H
#define WIGEONCART_COUNTERS_H

#include <stdatomic.h>
#include <stdint.h>

/* X (enumerator, name of the metric without prefix, help text) */
#define WC_COUNTER_LIST(X)                                                                                             \
  X (PACKETS_RECEIVED, "packets_received_total", "Datagrams received from callers.")                                   \
  X (PACKETS_RELAYED, "packets_relayed_total", "Datagrams relayed to another worker or instance.")                     \
  X (RELAYS_RECEIVED, "relays_received_total", "Relayed datagrams received.")                                          \
  X (RELAYS_REJECTED, "relays_rejected_total", "Relayed datagrams with a bad MAC, too many hops or no route.")         \
  X (PACKETS_MALFORMED, "packets_malformed_total", "Datagrams that could not be parsed.")                              \
  X (TOKENS_REJECTED, "tokens_rejected_total", "Tokens that were forged, expired or of an unknown key.")               \
  X (TICKETS_REJECTED, "tickets_rejected_total", "Tickets that were forged or of an unknown key.")                     \
  X (SERVICE_MISMATCHES, "service_mismatches_total", "Packets whose service differs from their token's.")              \
  X (FLOWS_OPENED, "flows_opened_total", "Flows opened.")                                                              \
  X (FLOWS_MOVED, "flows_moved_total", "Flows that got a fresh token because owner or target changed.")                \
  X (TICKETS_ISSUED, "tickets_issued_total", "Tickets issued.")                                                        \
  X (TICKETS_REPEATED, "tickets_repeated_total", "Orders that arrived again with a used ticket.")                      \
  X (REQUESTS_DISPATCHED, "requests_dispatched_total", "Attempts sent to targets.")                                    \
  X (REQUESTS_DONE, "requests_done_total", "Requests answered by a target.")                                           \
  X (REQUESTS_RETRIED, "requests_retried_total", "Attempts after the first.")                                          \
  X (REFUSED_BUSY, "refused_busy_total", "Idempotent requests refused.")                                               \
  X (REFUSED_NOT_RUN, "refused_not_run_total", "Orders refused as not run.")                                           \
  X (OUTCOME_UNKNOWN, "outcome_unknown_total", "Orders with unknown outcome.")                                         \
  X (TARGET_REFUSALS, "target_refusals_total", "Attempts that the target refused.")                                    \
  X (TARGET_FAILURES, "target_failures_total", "Attempts that ended without an answer.")                               \
  X (TARGET_MISDIRECTED, "target_misdirected_total", "Connections refused because the host serves another name.")      \
  X (ANSWER_PARTS_SENT, "answer_parts_sent_total", "Parts of answers sent.")                                           \
  X (ANSWER_PARTS_REPEATED, "answer_parts_repeated_total", "Parts sent again on request.")                             \
  X (ANSWERS_TOO_LARGE, "answers_too_large_total", "Answers dropped because they exceed the limit.")                   \
  X (ANSWERS_NO_SPACE, "answers_no_space_total", "Requests refused because no memory for the answer was left.")        \
  X (CONFIG_ACCEPTED, "config_accepted_total", "Revisions put in force.")                                              \
  X (CONFIG_REJECTED, "config_rejected_total", "Revisions rejected.")                                                  \
  X (CONFIG_STALE, "config_stale_total", "Offers of a revision that is not newer.")                                    \
  X (PLATFORM_READS, "platform_reads_total", "Reads and watches of the platform.")                                     \
  X (PLATFORM_ERRORS, "platform_errors_total", "Reads of the platform that failed.")                                   \
  X (PEER_FRAMES_SENT, "peer_frames_sent_total", "Frames sent to peers.")                                              \
  X (PEER_FRAMES_RECEIVED, "peer_frames_received_total", "Frames received from peers.")                                \
  X (PEER_FRAMES_REJECTED, "peer_frames_rejected_total", "Peer frames that were malformed or not authentic.")          \
  X (PEER_BYTES_SENT, "peer_bytes_sent_total", "Bytes sent to peers.")                                                 \
  X (PEER_BYTES_RECEIVED, "peer_bytes_received_total", "Bytes received from peers.")                                   \
  X (REPORTS_SENT, "reports_sent_total", "Backlog reports sent to owners in other domains.")                           \
  X (REPORT_BYTES_SENT, "report_bytes_sent_total", "Bytes of backlog reports sent, with UDP and IPv4 headers.")        \
  X (REPORTS_RECEIVED, "reports_received_total", "Backlog reports received.")                                          \
  X (INSTANCES_REJECTED, "instances_rejected_total", "Malformed entries in the platform's list of instances.")         \
  X (REPORTS_REJECTED, "reports_rejected_total", "Backlog reports that were forged, stale or not of the owner.")       \
  X (PACKETS_PASSED_ON, "packets_passed_on_total", "Requests and ticket requests passed on to another domain.")        \
  X (PAUSES_DETECTED, "pauses_detected_total", "Gaps in the process's own clock that made it reconfirm its view.")     \
  X (EVENTS_RECORDED, "events_recorded_total", "Events recorded for the time line.")

typedef enum
{
#define WC_COUNTER_ENUM(enumerator, metric, help) WC_COUNTER_##enumerator,
  WC_COUNTER_LIST (WC_COUNTER_ENUM)
#undef WC_COUNTER_ENUM
      WC_COUNTER_COUNT
} WcCounter;

/** struct WcCounters - counters of one thread; only that thread writes, any thread may read. */
typedef struct
{
  _Atomic uint64_t values[WC_COUNTER_COUNT];
} WcCounters;

/** wc_counters_get_name() - name in the Prometheus text format, without the prefix "wigeoncart_". */
const char *wc_counters_get_name (WcCounter counter);
const char *wc_counters_get_help (WcCounter counter);

/** wc_counters_add() - add to a counter; to be called by the thread that owns @counters only. */
static inline void
wc_counters_add (WcCounters *counters, WcCounter counter, uint64_t amount)
{
  uint64_t value = atomic_load_explicit (&counters->values[counter], memory_order_relaxed);

  atomic_store_explicit (&counters->values[counter], value + amount, memory_order_relaxed);
}

/** wc_counters_get() - read a counter; may be called by any thread. */
static inline uint64_t
wc_counters_get (const WcCounters *counters, WcCounter counter)
{
  return atomic_load_explicit (&counters->values[counter], memory_order_relaxed);
}

#endif
