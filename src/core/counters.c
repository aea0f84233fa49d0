#include <wigeoncart/counters.h>

#include <assert.h>

#define COUNTER_NAME(enumerator, metric, help) [WC_COUNTER_##enumerator] = metric,
#define COUNTER_HELP(enumerator, metric, help) [WC_COUNTER_##enumerator] = help,

static const char *const NAMES[WC_COUNTER_COUNT] = { WC_COUNTER_LIST (COUNTER_NAME) };
static const char *const HELP[WC_COUNTER_COUNT] = { WC_COUNTER_LIST (COUNTER_HELP) };

const char *
wc_counters_get_name (WcCounter counter)
{
  assert (counter < WC_COUNTER_COUNT);

  return NAMES[counter];
}

const char *
wc_counters_get_help (WcCounter counter)
{
  assert (counter < WC_COUNTER_COUNT);

  return HELP[counter];
}
