#ifndef WC_EDGE_STORE_READER_H
#define WC_EDGE_STORE_READER_H

#include <ev.h>

#include <wigeoncart/address.h>

#include "edge/event_log.h"
#include "forward/store_replica.h"

/** struct WcStoreReader - reads the platform's store into a replica. */
typedef struct WcStoreReader WcStoreReader;

/** WcStoreReaderUpdated - the store has answered, with changes or without. */
typedef void (*WcStoreReaderUpdated) (void *user_data);

WcStoreReader *wc_store_reader_new (struct ev_loop *loop, const WcAddress *store, WcStoreReplica *replica,
                                    WcEventLog *log, WcStoreReaderUpdated updated, void *user_data);
void           wc_store_reader_delete (WcStoreReader *reader);

/** wc_store_reader_restart() - drop the read in progress and read anew, such as after the machine stood still. */
void wc_store_reader_restart (WcStoreReader *reader);

/** wc_store_reader_get_reads() - reads sent so far. */
uint64_t wc_store_reader_get_reads (const WcStoreReader *reader);

#endif
