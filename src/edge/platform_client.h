#ifndef WC_EDGE_PLATFORM_CLIENT_H
#define WC_EDGE_PLATFORM_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include <wigeoncart/address.h>

/** enum WcPlatformRead - kinds of reads; at most one read of each kind is in progress. */
typedef enum
{
  WC_PLATFORM_READ_CONFIG_HEAD = 0,
  WC_PLATFORM_READ_CONFIG_PART,
  WC_PLATFORM_READ_INSTANCES,
  /* All items of the platform's store, and the changes of items since a revision. */
  WC_PLATFORM_READ_STORE_ITEMS,
  WC_PLATFORM_READ_STORE_CHANGES,
  WC_PLATFORM_READ_COUNT
} WcPlatformRead;

/** enum WcPlatformResult - outcome of a read. */
typedef enum
{
  WC_PLATFORM_RESULT_OK = 0,
  /* The watch ended without a newer version (status 304). */
  WC_PLATFORM_RESULT_UNCHANGED,
  /* The server no longer keeps the requested history (status 410). */
  WC_PLATFORM_RESULT_EXPIRED,
  /* The server does not give its state to this reader now (status 409). */
  WC_PLATFORM_RESULT_DECLINED,
  /* No server gave a valid response. */
  WC_PLATFORM_RESULT_FAILED
} WcPlatformResult;

/**
 * WcPlatformCallback - called at the end of a read, never from inside wc_platform_client_get().
 * @version: number in the version header, see wc_platform_client_set_version_header(); 0 when absent, or when the read
 * failed before a response.
 * @body: body of the response; valid only during the call.
 */
typedef void (*WcPlatformCallback) (void *user_data, WcPlatformRead read, WcPlatformResult result, uint64_t version,
                                    const char *body, size_t size_bytes);

/** struct WcPlatformClient - HTTP client for the platform on one event loop; connections stay open between reads. */
typedef struct WcPlatformClient WcPlatformClient;

/**
 * wc_platform_client_new() - create a client.
 * @addresses: servers, tried in this order from the one that responded last.
 */
WcPlatformClient *wc_platform_client_new (struct ev_loop *loop, const WcAddress *addresses, size_t count,
                                          WcPlatformCallback callback, void *user_data);
void              wc_platform_client_delete (WcPlatformClient *client);

/**
 * wc_platform_client_set_response_timeout_us() - set the timeout for connecting, for the start of a response (in
 * addition to the wait that was requested) and between two parts of its body; 2 s by default.
 */
void wc_platform_client_set_response_timeout_us (WcPlatformClient *client, uint64_t limit_us);

/**
 * wc_platform_client_set_version_header() - set the response header that is passed to the callback as @version;
 * X-Version by default. @name: must outlive the client.
 */
void wc_platform_client_set_version_header (WcPlatformClient *client, const char *name);

/**
 * wc_platform_client_get() - start a read. A read of the same kind in progress is cancelled without a callback.
 * @path: request path with its query.
 * @wait_ms: how long the server may delay the response of a long poll.
 */
void wc_platform_client_get (WcPlatformClient *client, WcPlatformRead read, const char *path, uint32_t wait_ms);

void wc_platform_client_cancel (WcPlatformClient *client, WcPlatformRead read);

/** wc_platform_client_is_receiving() - whether a part of the body of a response was received, and more is awaited. */
bool wc_platform_client_is_receiving (const WcPlatformClient *client);

/** wc_platform_client_set_blocked() - make all reads fail while @blocked is set (fault injection). */
void wc_platform_client_set_blocked (WcPlatformClient *client, bool blocked);

#endif
