#ifndef WC_EDGE_PLATFORM_CLIENT_H
#define WC_EDGE_PLATFORM_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include <wigeoncart/address.h>

/** enum WcPlatformRead - what is read; each kind has at most one read in progress. */
typedef enum
{
  WC_PLATFORM_READ_CONFIG_HEAD = 0,
  WC_PLATFORM_READ_CONFIG_PART,
  WC_PLATFORM_READ_INSTANCES,
  /* Items of the platform's store, and what has changed of them. */
  WC_PLATFORM_READ_STORE_ITEMS,
  WC_PLATFORM_READ_STORE_CHANGES,
  WC_PLATFORM_READ_COUNT
} WcPlatformRead;

/** enum WcPlatformResult - how a read ended. */
typedef enum
{
  WC_PLATFORM_RESULT_OK = 0,
  /* The watch ended without a newer version. */
  WC_PLATFORM_RESULT_UNCHANGED,
  /* The history that was asked for is no longer kept. */
  WC_PLATFORM_RESULT_EXPIRED,
  /* No platform answered with a value. */
  WC_PLATFORM_RESULT_FAILED
} WcPlatformResult;

/**
 * WcPlatformCallback - end of a read, never called from inside wc_platform_client_get().
 * @version: value of X-Version, 0 when absent.
 * @body: valid during the call.
 */
typedef void (*WcPlatformCallback) (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version,
                                    const char *body, size_t size_bytes);

/** struct WcPlatformClient - HTTP reads of the platform on one event loop; connections are kept between reads. */
typedef struct WcPlatformClient WcPlatformClient;

/** wc_platform_client_new() - @addresses are tried in order, beginning with the last one that answered. */
WcPlatformClient *wc_platform_client_new (struct ev_loop *loop, const WcAddress *addresses, size_t count,
                                          WcPlatformCallback callback, void *user_data);
void              wc_platform_client_delete (WcPlatformClient *client);

/**
 * wc_platform_client_set_response_timeout_us() - time to connect, to begin an answer on top of the wait, and between
 * two parts of it; 2 s unless set.
 */
void wc_platform_client_set_response_timeout_us (WcPlatformClient *client, uint64_t limit_us);

/**
 * wc_platform_client_get() - start a read; one of the same kind in progress is dropped without an answer.
 * @path: with its query.
 * @wait_ms: how long the platform may hold the answer back.
 */
void wc_platform_client_get (WcPlatformClient *client, WcPlatformRead read, const char *path, uint32_t wait_ms);

void wc_platform_client_cancel (WcPlatformClient *client, WcPlatformRead read);

/** wc_platform_client_set_blocked() - let all reads fail (fault injection). */
void wc_platform_client_set_blocked (WcPlatformClient *client, bool blocked);

#endif
