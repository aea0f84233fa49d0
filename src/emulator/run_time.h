#ifndef WC_EMULATOR_RUN_TIME_H
#define WC_EMULATOR_RUN_TIME_H

#include <glib.h>
#include <stdbool.h>

/** enum WcRunShape - distribution of run times. */
typedef enum
{
  WC_RUN_FIXED = 0,
  WC_RUN_EXPONENTIAL,
  WC_RUN_LOGNORMAL,
  WC_RUN_SHAPE_COUNT
} WcRunShape;

extern const char *const WC_RUN_SHAPE_STRINGS[WC_RUN_SHAPE_COUNT];

/** struct WcRunTime - how long a target works on a request. */
typedef struct
{
  double     mean_ms;
  WcRunShape shape;
} WcRunTime;

/** wc_run_time_parse() - "MEAN_MS" or "MEAN_MS:SHAPE"; exponential unless named; false when malformed. */
bool wc_run_time_parse (const char *text, WcRunTime *run_time);

/** wc_run_time_generate_ms() - a run time. */
double wc_run_time_generate_ms (const WcRunTime *run_time, GRand *random);

#endif
