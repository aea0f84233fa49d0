#ifndef WC_CLI_LOAD_H
#define WC_CLI_LOAD_H

#include <stdint.h>
#include <stdio.h>

#include <wigeoncart/address.h>
#include <wigeoncart/client.h>

/** enum WcLoadKind - kind of a simulated caller, by the calls that it makes. */
typedef enum
{
  /* Idempotent requests with short answers. */
  WC_LOAD_SESSION = 0,
  /* Orders. */
  WC_LOAD_ORDER,
  /* Idempotent requests with large answers. */
  WC_LOAD_DOWNLOAD,
  /* One stream of events. */
  WC_LOAD_STREAM,
  WC_LOAD_KIND_COUNT
} WcLoadKind;

extern const char *const WC_LOAD_KIND_STRINGS[WC_LOAD_KIND_COUNT];

/**
 * struct WcLoadConfig - parameters of a mixed load.
 * @callers, @services: number of callers and their service, by WcLoadKind.
 * @interval_ms: by WcLoadKind; time from the start of a call to the start of the caller's next one, varied at random by
 * up to 10%. A call that ends later delays the next one until then. A stream is started again only after it ended.
 * @deadline_ms: by WcLoadKind; time limit of a call, for all kinds but streams.
 * @customers: names that are assigned to the callers in turn, terminated by NULL.
 * @download_bytes: size of a large answer.
 * @broken_after_ms: a session or stream without a successful call for this time, while it makes calls, counts as
 * broken.
 * @seconds: time during which calls are started; wc_load_run() then waits for those in progress.
 * @sockets: number of sockets that the callers share; a burst of answers to many callers overflows the receive buffer
 * of a single socket.
 * @record: file that receives one line of JSON for each order, or NULL.
 */
typedef struct
{
  WcAddress      fabric;
  WcClientConfig client;
  uint32_t       callers[WC_LOAD_KIND_COUNT];
  const char    *services[WC_LOAD_KIND_COUNT];
  uint32_t       interval_ms[WC_LOAD_KIND_COUNT];
  uint32_t       deadline_ms[WC_LOAD_KIND_COUNT];
  char         **customers;
  uint32_t       download_bytes;
  uint32_t       broken_after_ms;
  uint32_t       seconds;
  uint32_t       sockets;
  uint32_t       seed;
  FILE          *record;
} WcLoadConfig;

/** wc_load_run() - run the load and print its result as one line of JSON. Return: a WcExit. */
int wc_load_run (const WcLoadConfig *config);

#endif
