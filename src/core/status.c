#include <wigeoncart/status.h>

#include <stdarg.h>
#include <stdio.h>

const char *const WC_STATUS_STRINGS[WC_STATUS_COUNT] = {
  [WC_STATUS_OK] = "ok",
  [WC_STATUS_INVALID] = "invalid",
  [WC_STATUS_PARSE] = "parse error",
  [WC_STATUS_TOO_LARGE] = "too large",
  [WC_STATUS_NO_SPACE] = "no space",
  [WC_STATUS_NOT_FOUND] = "not found",
  [WC_STATUS_EXPIRED] = "expired",
  [WC_STATUS_FORGED] = "forged",
  [WC_STATUS_UNKNOWN_KEY] = "unknown key",
  [WC_STATUS_MISMATCH] = "mismatch",
  [WC_STATUS_STALE] = "stale",
};

WcStatus
wc_error_set (WcError *error, WcStatus status, const char *format, ...)
{
  va_list arguments;

  if (!error)
    return status;
  error->status = status;
  va_start (arguments, format);
  vsnprintf (error->message, sizeof error->message, format, arguments);
  va_end (arguments);
  return status;
}
