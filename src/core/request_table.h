#ifndef WC_CORE_REQUEST_TABLE_H
#define WC_CORE_REQUEST_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/node.h>

enum
{
  WC_REQUEST_METHOD_BYTES = 8,
  WC_REQUEST_PATH_BYTES = 256,
  WC_REQUEST_BODY_BYTES = 1200
};

/** enum WcRequestKind - how a request is handled; all but FEED are sent by callers. */
typedef enum
{
  WC_REQUEST_IDEMPOTENT = 0,
  WC_REQUEST_ORDER,
  WC_REQUEST_POLL,
  /* Long poll of a service's event feed, sent by the node itself. */
  WC_REQUEST_FEED,
  WC_REQUEST_KIND_COUNT
} WcRequestKind;

extern const char *const WC_REQUEST_KIND_STRINGS[WC_REQUEST_KIND_COUNT];

/** enum WcRequestState - state of a request; DISPATCHED means that it uses a slot of a target. */
typedef enum
{
  WC_REQUEST_FREE = 0,
  WC_REQUEST_QUEUED,
  WC_REQUEST_DISPATCHED,
  WC_REQUEST_STATE_COUNT
} WcRequestState;

extern const char *const WC_REQUEST_STATE_STRINGS[WC_REQUEST_STATE_COUNT];

/**
 * struct WcRequest - a request that this worker has accepted and not yet answered.
 * @handle: identifies the request in the dispatcher and its attempt in WcNodeOps; changes with each attempt.
 * @token_domain: failure domain named in the flow's token.
 * @serial: serial number of an order's ticket.
 * @start_deadline_us: no attempt is started from this time on; the earlier of the deadline and the ticket's expiry.
 * @answer: id of the stored answer, 0 for none.
 * @sent: a byte of the current attempt may have been written to the target.
 * @renew_token: the flow's token is due for renewal; a new one is sent with the answer.
 * @spilled: the request was spilled by the owner in another domain.
 * @answer_dropped: the body of an order's answer is discarded because it exceeds a limit.
 */
typedef struct
{
  uint64_t       handle;
  WcRequestKind  kind;
  WcRequestState state;
  uint64_t       request_id;
  WcAddress      caller;
  uint32_t       service;
  uint32_t       shard;
  uint32_t       customer;
  uint32_t       token_domain;
  uint64_t       flow;
  uint64_t       serial;
  uint64_t       deadline_us;
  uint64_t       start_deadline_us;
  uint64_t       dispatched_us;
  uint64_t       answer;
  uint64_t       cursor;
  uint32_t       preferred_target;
  uint32_t       target;
  uint32_t       attempts;
  bool           sent;
  bool           renew_token;
  bool           spilled;
  bool           answer_dropped;
  char           method[WC_REQUEST_METHOD_BYTES];
  char           path[WC_REQUEST_PATH_BYTES];
  uint16_t       body_bytes;
  uint8_t        body[WC_REQUEST_BODY_BYTES];
} WcRequest;

/** struct WcRequestTable - fixed pool of requests, looked up by handle and by the caller's request id. */
typedef struct WcRequestTable WcRequestTable;

/** wc_request_table_new() - all memory is allocated here; @max_requests is at most 2^20. */
WcRequestTable *wc_request_table_new (uint32_t max_requests);
void            wc_request_table_delete (WcRequestTable *table);

/** wc_request_table_add() - add a zeroed request in state QUEUED with a new handle; NULL when the table is full. */
WcRequest *wc_request_table_add (WcRequestTable *table, uint64_t request_id);

/** wc_request_table_renew_handle() - give the request a new handle for its next attempt. */
void wc_request_table_renew_handle (WcRequestTable *table, WcRequest *request);

void wc_request_table_remove (WcRequestTable *table, WcRequest *request);

/** wc_request_table_find() - find a request by handle; NULL when the attempt is no longer the current one. */
WcRequest *wc_request_table_find (WcRequestTable *table, uint64_t handle);

/** wc_request_table_find_by_id() - find a request by the caller's request id; NULL when there is none. */
WcRequest *wc_request_table_find_by_id (WcRequestTable *table, uint64_t request_id);

/** wc_request_table_next_expired() - a request whose deadline has been reached, or NULL. */
WcRequest *wc_request_table_next_expired (WcRequestTable *table, uint64_t now_us);

/**
 * wc_request_table_set_deadline() - set the deadline of a request.
 *
 * Deadlines are also stored in a separate array, so that the search for expired requests reads little memory.
 */
void wc_request_table_set_deadline (WcRequestTable *table, WcRequest *request, uint64_t deadline_us);

/** wc_request_table_get() - the request at @index, which may be in state FREE; NULL past the end. */
WcRequest *wc_request_table_get (WcRequestTable *table, uint32_t index);

uint32_t wc_request_table_get_count (const WcRequestTable *table);

#endif
