#ifndef WC_EDGE_FORWARD_STATUS_H
#define WC_EDGE_FORWARD_STATUS_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/forwarder.h"
#include "forward/readiness.h"

/**
 * struct WcForwardStatus - state of an instance that forwards packets, for the command "status".
 * @view_age_us: time since the store confirmed the view; UINT64_MAX when it never did.
 * @readiness: whether the instance answers readiness checks with success, and why not.
 */
typedef struct
{
  const char        *instance;
  const char        *domain;
  const WcForwarder *forwarder;
  uint64_t           view_age_us;
  WcReadiness        readiness;
} WcForwardStatus;

/** wc_forward_status_format() - format the status as JSON; free the result with g_free(). */
char *wc_forward_status_format (const WcForwardStatus *status, uint64_t now_us);

#endif
