#ifndef WC_EMULATOR_EMULATED_STORE_H
#define WC_EMULATOR_EMULATED_STORE_H

#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/** enum WcStoreMode - how an emulated store answers. */
typedef enum
{
  WC_STORE_SERVES = 0,
  /* 503 to every call. */
  WC_STORE_IS_BUSY,
  /* 429 to every call. */
  WC_STORE_LIMITS,
  /* Connections are closed without an answer. */
  WC_STORE_RESETS,
  /* Calls are never answered. */
  WC_STORE_IS_SILENT,
  WC_STORE_MODE_COUNT
} WcStoreMode;

/** WC_STORE_MODE_STRINGS - name of each mode, indexed by WcStoreMode. */
extern const char *const WC_STORE_MODE_STRINGS[WC_STORE_MODE_COUNT];

/**
 * struct WcEmulatedStore - the platform's store as its published protocol describes it: ranges in pages, watches that
 * wait, a bounded history.
 */
typedef struct WcEmulatedStore WcEmulatedStore;

/** wc_emulated_store_new() - listen on @address. @page_items: items in a page. Return: NULL with @error set. */
WcEmulatedStore      *
wc_emulated_store_new (struct ev_loop *loop, const WcAddress *address, size_t page_items, WcError *error);
void wc_emulated_store_delete (WcEmulatedStore *store);

void wc_emulated_store_get_address (const WcEmulatedStore *store, WcAddress *address);

/** wc_emulated_store_put() - write an item; any bytes. Return: its revision. */
uint64_t wc_emulated_store_put (WcEmulatedStore *store, const char *key, const void *value, size_t size_bytes);

/** wc_emulated_store_remove() - delete an item. Return: the revision of the deletion, 0 when there was no such item. */
uint64_t wc_emulated_store_remove (WcEmulatedStore *store, const char *key);

void wc_emulated_store_set_mode (WcEmulatedStore *store, WcStoreMode mode);

/** wc_emulated_store_drop_history() - changes so far can no longer be watched; waiting watches are cut. */
void wc_emulated_store_drop_history (WcEmulatedStore *store);

/** wc_emulated_store_get_calls() - calls received, refused ones included. */
uint64_t wc_emulated_store_get_calls (const WcEmulatedStore *store);

#endif
