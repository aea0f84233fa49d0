#ifndef WC_CLI_LOAD_H
#define WC_CLI_LOAD_H

#include <stdint.h>
#include <stdio.h>

#include <wigeoncart/address.h>
#include <wigeoncart/client.h>

/** enum WcLoadKind - what a caller of the load does. */
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
 * struct WcLoadConfig - a mixed load.
 * @callers, @services, @interval_ms, @deadline_ms: by WcLoadKind; a caller starts its next call @interval_ms after the
 * start of the last one, or at its end if that is later.
 * @customers: names, given to the callers in turn; ended by NULL.
 * @limit_ms: a session or stream is broken when it had no success for this long although it asked.
 * @sockets: callers share this many sockets; a burst of answers to many callers overflows the buffer of a single one.
 * @record: file for one line of JSON an order, or NULL.
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
  uint32_t       sheet_bytes;
  uint32_t       limit_ms;
  uint32_t       seconds;
  uint32_t       sockets;
  uint32_t       seed;
  FILE          *record;
} WcLoadConfig;

/** wc_load_run() - run the load and print its result as one line of JSON. Return: a WcExit. */
int wc_load_run (const WcLoadConfig *config);

#endif
