#ifndef WC_FORWARD_FLOW_NOTE_H
#define WC_FORWARD_FLOW_NOTE_H

#include <stdbool.h>
#include <stdint.h>

#include "forward/packet.h"

/**
 * struct WcFlowNote - question about the host of an open flow, or statement of it, between instances.
 * @sequence: a sequence number of the caller; tells flows apart that use the same port one after the other.
 * @cookie: cookie of the host; 0 in a question, and in the answer of an instance that does not know the flow.
 * @asks: it is a question.
 * @age_ms: time since the flow was opened, as far as the sender of a statement knows.
 */
typedef struct
{
  WcFlowKey key;
  uint32_t  sequence;
  uint32_t  cookie;
  bool      asks;
  uint32_t  age_ms;
} WcFlowNote;

#endif
