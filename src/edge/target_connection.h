#ifndef WC_EDGE_TARGET_CONNECTION_H
#define WC_EDGE_TARGET_CONNECTION_H

#include <ev.h>
#include <http_parser.h>

#include <wigeoncart/node.h>

enum
{
  WC_TARGET_REQUEST_MAX_BYTES = 2048,
  /* Number of requests of a connection whose late answers are recognised, if the target names the request. */
  WC_CONNECTION_REQUEST_IDS = 8
};

/**
 * enum WcConnectionState - state of a connection to a target.
 * @WC_CONNECTION_CONFIRMING: an OPTIONS request was sent; its response confirms that the target serves the service.
 * @WC_CONNECTION_FAILED: the connection could not be opened or is to be closed.
 */
typedef enum
{
  WC_CONNECTION_CONNECTING = 0,
  WC_CONNECTION_CONFIRMING,
  WC_CONNECTION_IDLE,
  WC_CONNECTION_SENDING,
  WC_CONNECTION_RECEIVING,
  WC_CONNECTION_FAILED,
  WC_CONNECTION_STATE_COUNT
} WcConnectionState;

extern const char *const WC_CONNECTION_STATE_STRINGS[WC_CONNECTION_STATE_COUNT];

typedef struct WcTargetConnection WcTargetConnection;

/**
 * struct WcConnectionOps - callbacks by which a connection reports to the pool that owns it.
 * @sending: the first byte of the attempt is about to be written; returning false cancels the attempt.
 * @data: part of the answer was received; returning false cancels the attempt and closes the connection.
 * @done: the answer is complete; the connection is idle, or will be closed when it cannot be reused.
 * @ended: the attempt ended without an answer; the connection will be closed.
 * @misdirected: the host does not serve the service (HTTP status 421).
 * @closed: the connection is no longer usable and must be deleted; the last callback, called from the event loop only.
 */
typedef struct
{
  bool (*sending) (void *user_data, uint64_t attempt);
  bool (*data) (void *user_data, uint64_t attempt, const uint8_t *data, size_t size_bytes);
  void (*done) (void *user_data, uint64_t attempt, uint32_t http_status, uint32_t load_running, uint64_t cursor);
  void (*ended) (void *user_data, uint64_t attempt, WcAttemptEnd end);
  void (*misdirected) (void *user_data, const WcTargetConnection *connection);
  void (*closed) (void *user_data, WcTargetConnection *connection);
} WcConnectionOps;

/**
 * struct WcTargetConnection - one HTTP/1.1 connection to a target, with at most one attempt in progress.
 * @attempt: identifier of the current attempt, 0 for none.
 * @idle_deadline_us: time at which the pool closes the connection if it is still idle.
 * @complete: the response was parsed to its end.
 * @cancelled: the pool cancelled the attempt while the answer was being received.
 * @is_earlier: the answer names an earlier request of this connection.
 * @request_ids: identifiers of the latest requests, as a ring; 0 for none.
 * @request_count: number of requests; the current one is the last in @request_ids.
 * @load_running: value of the X-Load header, UINT32_MAX when there is none.
 * @cursor: value of the X-Cursor header, 0 when there is none.
 * @request: complete HTTP request of the attempt, head and body.
 */
struct WcTargetConnection
{
  struct ev_loop        *loop;
  const WcConnectionOps *ops;
  void                  *user_data;
  ev_io                  io;
  int                    fd;
  WcConnectionState      state;
  uint32_t               target;
  uint64_t               attempt;
  uint64_t               idle_deadline_us;
  char                   service_name[128];
  http_parser            parser;
  bool                   complete;
  bool                   cancelled;
  bool                   is_earlier;
  uint64_t               request_ids[WC_CONNECTION_REQUEST_IDS];
  uint32_t               request_count;
  uint32_t               load_running;
  uint64_t               cursor;
  char                   header_name[24];
  char                   header_value[40];
  bool                   has_header_value;
  size_t                 request_bytes;
  size_t                 written_bytes;
  char                   request[WC_TARGET_REQUEST_MAX_BYTES];
};

/** wc_target_connection_new() - start to connect. Errors are reported later, by callbacks from the event loop. */
WcTargetConnection *wc_target_connection_new (struct ev_loop *loop, const WcTarget *target, const char *service_name,
                                              const WcConnectionOps *ops, void *user_data);

/** wc_target_connection_delete() - close the connection without calling any callback. */
void wc_target_connection_delete (WcTargetConnection *connection);

/**
 * wc_target_connection_start() - send the request of an attempt as soon as the connection is ready.
 *
 * Return: false when the request is longer than WC_TARGET_REQUEST_MAX_BYTES.
 */
bool wc_target_connection_start (WcTargetConnection *connection, const WcAttempt *attempt);

#endif
