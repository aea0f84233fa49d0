#include "emulator/run_time.h"

#include <assert.h>
#include <math.h>
#include <string.h>

const char *const WC_RUN_SHAPE_STRINGS[WC_RUN_SHAPE_COUNT] = {
  [WC_RUN_FIXED] = "fixed",
  [WC_RUN_EXPONENTIAL] = "exponential",
  [WC_RUN_LOGNORMAL] = "lognormal",
};

/* Standard deviation of the logarithm; it puts the 99th percentile at about 5 times the mean. */
static const double LOGNORMAL_SIGMA = 0.87;

bool
wc_run_time_parse (const char *text, WcRunTime *run_time)
{
  char *end;

  assert (text != NULL);
  assert (run_time != NULL);

  run_time->mean_ms = g_ascii_strtod (text, &end);
  run_time->shape = WC_RUN_EXPONENTIAL;
  if (end == text || !(run_time->mean_ms >= 0) || run_time->mean_ms > 3600000)
    return false;
  if (*end == '\0')
    return true;
  if (*end != ':')
    return false;
  for (int shape = 0; shape < WC_RUN_SHAPE_COUNT; shape++)
    if (strcmp (end + 1, WC_RUN_SHAPE_STRINGS[shape]) == 0)
      {
        run_time->shape = (WcRunShape)shape;
        return true;
      }
  return false;
}

double
wc_run_time_generate_ms (const WcRunTime *run_time, GRand *random)
{
  double radius;
  double normal;

  assert (run_time != NULL);
  assert (random != NULL);

  switch (run_time->shape)
    {
    case WC_RUN_EXPONENTIAL:
      return -run_time->mean_ms * log (1 - g_rand_double (random));
    case WC_RUN_LOGNORMAL:
      radius = sqrt (-2 * log (1 - g_rand_double (random)));
      normal = radius * cos (2 * G_PI * g_rand_double (random));
      return run_time->mean_ms * exp (LOGNORMAL_SIGMA * normal - LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2);
    case WC_RUN_FIXED:
    case WC_RUN_SHAPE_COUNT:
      break;
    }
  return run_time->mean_ms;
}
