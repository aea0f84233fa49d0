#ifndef WC_EDGE_TARGET_CONNECTION_H
#define WC_EDGE_TARGET_CONNECTION_H

#include <ev.h>
#include <http_parser.h>

#include <wigeoncart/node.h>

enum
{
  WC_TARGET_REQUEST_MAX_BYTES = 2048
};

/** enum WcConnectionState - CONFIRMING waits for the target to say that it serves the service's name. */
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
 * struct WcConnectionOps - what a connection reports to the pool that owns it.
 * @sending: the first byte of the attempt is about to be written; false abandons it.
 * @data: bytes of the answer; false ends the attempt and the connection.
 * @done: the answer is whole; the connection is idle, or closed when @reusable is false.
 * @ended: the attempt ended without an answer; the connection is closed.
 * @misdirected: the host does not serve the service's name.
 * @closed: the connection has no further use and is to be deleted; called last, from the event loop only.
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
 * @attempt: current attempt, 0 for none.
 * @request: the attempt's request, complete.
 * @idle_deadline_us: when an idle connection is closed.
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
  bool                   dropped;
  uint32_t               load_running;
  uint64_t               cursor;
  char                   field[24];
  char                   value[40];
  bool                   has_header_value;
  size_t                 request_bytes;
  size_t                 written_bytes;
  char                   request[WC_TARGET_REQUEST_MAX_BYTES];
};

/** wc_target_connection_new() - start to connect; errors are reported from the event loop, never from here. */
WcTargetConnection *wc_target_connection_new (struct ev_loop *loop, const WcTarget *target, const char *service_name,
                                              const WcConnectionOps *ops, void *user_data);

/** wc_target_connection_delete() - close without a report. */
void wc_target_connection_delete (WcTargetConnection *connection);

/** wc_target_connection_start() - send an attempt once the connection is ready; false when it is too long. */
bool wc_target_connection_start (WcTargetConnection *connection, const WcAttempt *attempt);

#endif
