#ifndef WC_CLI_LOAD_H
#define WC_CLI_LOAD_H

#include <stdint.h>
#include <stdio.h>

#include <wigeoncart/address.h>
#include <wigeoncart/client.h>

/** enum WcLoadKind - kind of calls that a caller of the load makes. */
typedef enum
{
  /* Short idempotent requests. */
  WC_LOAD_SESSION = 0,
  WC_LOAD_ORDER,
  /* Large answers. */
  WC_LOAD_DOWNLOAD,
  WC_LOAD_STREAM,
  WC_LOAD_KIND_COUNT
} WcLoadKind;

extern const char *const WC_LOAD_KIND_STRINGS[WC_LOAD_KIND_COUNT];

/**
 * struct WcLoadConfig - parameters of a mixed load.
 * @callers, @services, @interval_ms, @deadline_ms: indexed by WcLoadKind. A caller starts its next call @interval_ms
 * after the start of the previous one, or at the end of the previous one if that is later.
 * @customers: names that are assigned to the callers in turn, terminated by NULL.
 * @download_bytes: size of a large answer.
 * @broken_after_ms: time after which a session or stream that makes calls without success counts as broken.
 * @seconds: duration of the load.
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
