#ifndef WC_EDGE_VIEW_READER_H
#define WC_EDGE_VIEW_READER_H

#include <ev.h>

#include <wigeoncart/address.h>

#include "edge/event_log.h"
#include "forward/peer_table.h"
#include "forward/store_replica.h"

/** struct WcViewReader - keeps a replica of the store up to date, from the store or from a peer. */
typedef struct WcViewReader WcViewReader;

/**
 * struct WcViewReaderCounters - reads sent so far.
 * @store_reads, @peer_reads: by source.
 * @failures: reads that failed.
 */
typedef struct
{
  uint64_t store_reads;
  uint64_t peer_reads;
  uint64_t failures;
} WcViewReaderCounters;

/**
 * struct WcViewReaderOps - what a reader calls.
 * @updated: a source has answered, with changes or without.
 * @lost: a read of the store has failed; those that read through this instance should not wait for it.
 */
typedef struct
{
  void (*updated) (void *user_data);
  void (*lost) (void *user_data);
} WcViewReaderOps;

/** wc_view_reader_new() - @replica, @peers and @log must live as long. Reads begin at once. */
WcViewReader *wc_view_reader_new (struct ev_loop *loop, const WcAddress *store, WcStoreReplica *replica,
                                  WcPeerTable *peers, WcEventLog *log, const WcViewReaderOps *ops, void *user_data);
void          wc_view_reader_delete (WcViewReader *reader);

/** wc_view_reader_restart() - drop the read in progress and read anew, such as after the machine stood still. */
void wc_view_reader_restart (WcViewReader *reader);

const WcViewReaderCounters *wc_view_reader_get_counters (const WcViewReader *reader);

#endif
