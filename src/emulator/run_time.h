#ifndef WC_EMULATOR_RUN_TIME_H
#define WC_EMULATOR_RUN_TIME_H

#include <glib.h>
#include <stdbool.h>

/** enum WcRunShape - shape of the distribution of run times. */
typedef enum
{
  WC_RUN_FIXED = 0,
  WC_RUN_EXPONENTIAL,
  WC_RUN_LOGNORMAL,
  WC_RUN_SHAPE_COUNT
} WcRunShape;

extern const char *const WC_RUN_SHAPE_STRINGS[WC_RUN_SHAPE_COUNT];

/** struct WcRunTime - distribution of the time that a target takes to run a request. */
typedef struct
{
  double     mean_ms;
  WcRunShape shape;
} WcRunTime;

/**
 * wc_run_time_parse() - parse "MEAN_MS" or "MEAN_MS:SHAPE"; the default shape is exponential.
 *
 * Return: false when the text is malformed or the mean is above one hour.
 */
bool wc_run_time_parse (const char *text, WcRunTime *run_time);

/** wc_run_time_generate_ms() - random run time from the distribution, in ms. */
double wc_run_time_generate_ms (const WcRunTime *run_time, GRand *random);

#endif
