#ifndef WC_EMULATOR_SPEED_RUN_H
#define WC_EMULATOR_SPEED_RUN_H

#include <stdio.h>

#include <wigeoncart/register.h>

#include "emulator/speed_probe.h"

enum
{
  WC_SPEED_MAX_ROUNDS = 50
};

/**
 * struct WcSpeedPlan - one run of the measurement.
 * @served, @served_process: instance under test; @bare, @bare_process: bare relay.
 * @sink: address that both relay to.
 * @relay_service, @relay_domain: service whose owner is the sink, and the sink's domain.
 * @own_service, @own_domain: service that the instance owns, and its domain; NULL to leave the service out.
 * @flows: different flows that the datagrams belong to.
 * @per_second: rate at which latency is measured.
 */
typedef struct
{
  WcAddress   served;
  WcAddress   bare;
  WcAddress   sink;
  pid_t       served_process;
  pid_t       bare_process;
  WcRegister *reg;
  const char *relay_service;
  const char *relay_domain;
  const char *own_service;
  const char *own_domain;
  uint32_t    rounds;
  uint32_t    round_ms;
  uint32_t    flows;
  uint32_t    body_bytes;
  uint32_t    window;
  uint32_t    per_second;
  int         generator_core;
  int         sink_core;
} WcSpeedPlan;

/** struct WcSpeedSpread - median and extremes over the rounds. */
typedef struct
{
  double median;
  double min;
  double max;
} WcSpeedSpread;

/** struct WcSpeedResult - what was measured; rates are per second, delays in microseconds. */
typedef struct
{
  uint32_t      datagram_bytes;
  WcSpeedSpread served;
  WcSpeedSpread bare;
  WcSpeedSpread served_cpu;
  WcSpeedSpread bare_cpu;
  WcSpeedSpread ratio;
  WcSpeedSpread ratio_cpu;
  WcSpeedSpread served_p50;
  WcSpeedSpread bare_p50;
  WcSpeedSpread served_p99;
  WcSpeedSpread bare_p99;
  WcSpeedSpread opened;
  WcSpeedSpread opened_cpu;
  WcSpeedSpread requests;
  WcSpeedSpread requests_cpu;
  double        flow_bytes;
  uint64_t      flows_opened;
  uint64_t      lost;
  uint64_t      invalid;
} WcSpeedResult;

/** wc_speed_run() - measure. Return: false with @error set when an address cannot be bound or nothing arrives. */
bool wc_speed_run (const WcSpeedPlan *plan, WcSpeedResult *result, WcError *error);

/** wc_speed_print() - one line of JSON, or lines to read. */
void wc_speed_print (const WcSpeedPlan *plan, const WcSpeedResult *result, bool json, FILE *stream);

/**
 * wc_speed_meets_target() - whether the median ratio reaches the target.
 *
 * Both ratios must: on a shared core the one of the wall clock varies, and the one of processor time leaves out
 * waiting.
 */
bool wc_speed_meets_target (const WcSpeedResult *result);

/** wc_speed_spread() - median, lowest and highest of @count numbers, which are sorted in place. */
WcSpeedSpread wc_speed_spread (double *values, uint32_t count);

#endif
