#ifndef WIGEONCART_STATUS_H
#define WIGEONCART_STATUS_H

#include <stdint.h>

/**
 * enum WcStatus - result of a call into the core.
 * @WC_STATUS_COUNT: number of values, not a status.
 */
typedef enum
{
  WC_STATUS_OK = 0,
  WC_STATUS_INVALID,
  WC_STATUS_PARSE,
  WC_STATUS_TOO_LARGE,
  WC_STATUS_NO_SPACE,
  WC_STATUS_NOT_FOUND,
  WC_STATUS_EXPIRED,
  WC_STATUS_FORGED,
  WC_STATUS_UNKNOWN_KEY,
  WC_STATUS_MISMATCH,
  WC_STATUS_STALE,
  WC_STATUS_COUNT
} WcStatus;

/** WC_STATUS_STRINGS - text of each status, indexed by WcStatus. */
extern const char *const WC_STATUS_STRINGS[WC_STATUS_COUNT];

enum
{
  WC_ERROR_MESSAGE_BYTES = 240
};

/**
 * struct WcError - kind and description of a failure.
 * @status: kind of failure.
 * @message: one short sentence, always null-terminated.
 */
typedef struct
{
  WcStatus status;
  char     message[WC_ERROR_MESSAGE_BYTES];
} WcError;

/**
 * wc_error_set() - store a status and a formatted message.
 * @error: destination, or NULL to discard both.
 *
 * Return: @status, so that a caller can write `return wc_error_set (...)`.
 */
WcStatus
wc_error_set (WcError *error, WcStatus status, const char *format, ...) __attribute__ ((format (printf, 3, 4)));

#endif
