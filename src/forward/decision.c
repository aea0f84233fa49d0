#include "forward/decision.h"

#include <assert.h>

#define DECISION_NAME(name, text, help) [WC_DECISION_##name] = text,
#define DECISION_HELP(name, text, help) [WC_DECISION_##name] = help,

static const char *const NAMES[WC_DECISION_COUNT] = { WC_DECISION_LIST (DECISION_NAME) };
static const char *const HELP[WC_DECISION_COUNT] = { WC_DECISION_LIST (DECISION_HELP) };

const char *
wc_decision_get_name (WcDecisionKind kind)
{
  assert (kind < WC_DECISION_COUNT);

  return NAMES[kind];
}

const char *
wc_decision_get_help (WcDecisionKind kind)
{
  assert (kind < WC_DECISION_COUNT);

  return HELP[kind];
}
