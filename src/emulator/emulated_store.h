#ifndef WC_EMULATOR_EMULATED_STORE_H
#define WC_EMULATOR_EMULATED_STORE_H

#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/** enum WcStoreMode - how an emulated store handles calls. */
typedef enum
{
  WC_STORE_SERVES = 0,
  /* Every call gets status 503. */
  WC_STORE_IS_BUSY,
  /* Every call gets status 429. */
  WC_STORE_RATE_LIMITS,
  /* Connections are closed without a response. */
  WC_STORE_RESETS,
  /* Calls get no response; connections stay open. */
  WC_STORE_IS_SILENT,
  WC_STORE_MODE_COUNT
} WcStoreMode;

/** WC_STORE_MODE_STRINGS - name of each mode, indexed by WcStoreMode. */
extern const char *const WC_STORE_MODE_STRINGS[WC_STORE_MODE_COUNT];

/**
 * struct WcEmulatedStore - emulation of the platform's store by its published protocol: range reads in pages, watches
 * as long polls, and a history of changes that can be discarded.
 */
typedef struct WcEmulatedStore WcEmulatedStore;

/**
 * wc_emulated_store_new() - start an empty store that listens on @address.
 * @page_items: maximum number of items in a page of a range read.
 *
 * Return: NULL with @error set when the address cannot be bound.
 */
WcEmulatedStore      *
wc_emulated_store_new (struct ev_loop *loop, const WcAddress *address, size_t page_items, WcError *error);
void wc_emulated_store_delete (WcEmulatedStore *store);

void wc_emulated_store_get_address (const WcEmulatedStore *store, WcAddress *address);

/** wc_emulated_store_put() - write an item; the value may contain any bytes. Return: revision of the write. */
uint64_t wc_emulated_store_put (WcEmulatedStore *store, const char *key, const void *value, size_t size_bytes);

/** wc_emulated_store_remove() - delete an item. Return: revision of the deletion, or 0 when there is no such item. */
uint64_t wc_emulated_store_remove (WcEmulatedStore *store, const char *key);

/** wc_emulated_store_set_mode() - set the mode, and close all connections if it is an error status or resets. */
void wc_emulated_store_set_mode (WcEmulatedStore *store, WcStoreMode mode);

/**
 * wc_emulated_store_drop_history() - discard the changes so far: a watch from an earlier revision gets status 410. All
 * connections are closed.
 */
void wc_emulated_store_drop_history (WcEmulatedStore *store);

/** wc_emulated_store_save_copy() - save a copy of all items and of the revision; it replaces the one saved before. */
void wc_emulated_store_save_copy (WcEmulatedStore *store);

/**
 * wc_emulated_store_restore_copy() - go back to the saved copy: what was written since is lost, its revisions are given
 * out again, and the era in the responses increases by 1. The history is empty. All connections are closed.
 */
void wc_emulated_store_restore_copy (WcEmulatedStore *store);

/** wc_emulated_store_get_calls() - number of calls received in any mode. */
uint64_t wc_emulated_store_get_calls (const WcEmulatedStore *store);

#endif
