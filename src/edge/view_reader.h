#ifndef WC_EDGE_VIEW_READER_H
#define WC_EDGE_VIEW_READER_H

#include <ev.h>

#include <wigeoncart/address.h>

#include "edge/event_log.h"
#include "forward/peer_table.h"
#include "forward/store_replica.h"

/** struct WcViewReader - keeps a replica of the store up to date by reading the store or a peer. */
typedef struct WcViewReader WcViewReader;

/**
 * struct WcViewReaderCounters - reads since the start.
 * @store_reads: reads sent to the store.
 * @peer_reads: reads sent to a peer.
 * @failures: reads that failed, of either source.
 * @expired: reads whose source no longer knew the requested revision.
 * @overdue: reads of the store because the view was overdue although a peer was available.
 * @rejected: items in answers of the store that could not be used.
 * @behind: peers that were given up because their view was older than one known elsewhere.
 */
typedef struct
{
  uint64_t store_reads;
  uint64_t peer_reads;
  uint64_t failures;
  uint64_t expired;
  uint64_t overdue;
  uint64_t rejected;
  uint64_t behind;
} WcViewReaderCounters;

/**
 * struct WcViewReaderOps - callbacks of a view reader.
 * @view_updated: the source has answered, with or without changes.
 * @source_lost: a read of the store has failed and no other domain can be read instead; peers that read through this
 * instance should not wait for it.
 * @indirect_changed: whether the domain of this instance reads the store through another domain; false at first. May be
 * NULL.
 */
typedef struct
{
  void (*view_updated) (void *user_data);
  void (*source_lost) (void *user_data);
  void (*indirect_changed) (void *user_data, bool is_indirect);
} WcViewReaderOps;

/** wc_view_reader_new() - create a reader and start reading. @replica, @peers and @log must outlive it. */
WcViewReader *wc_view_reader_new (struct ev_loop *loop, const WcAddress *store, WcStoreReplica *replica,
                                  WcPeerTable *peers, WcEventLog *log, const WcViewReaderOps *ops, void *user_data);
void          wc_view_reader_delete (WcViewReader *reader);

/** wc_view_reader_restart() - cancel the read in progress and start a new one, for example after a pause. */
void wc_view_reader_restart (WcViewReader *reader);

const WcViewReaderCounters *wc_view_reader_get_counters (const WcViewReader *reader);

#endif
