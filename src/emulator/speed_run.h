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
 * struct WcSpeedPlan - parameters of a measurement.
 * @served, @served_process: address and process id of the instance under test.
 * @bare, @bare_process: address and process id of the bare relay.
 * @sink: address that both relay to.
 * @reg: register whose keys seal the tokens.
 * @relay_service, @relay_domain: service whose owner is the sink, and the sink's domain.
 * @own_service, @own_domain: service that the instance owns, and its domain; NULL to skip its measurement.
 * @flows: number of flows that the datagrams belong to.
 * @window: maximum number of datagrams in flight while rates are measured.
 * @per_second: rate of datagrams at which latency is measured.
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

/** struct WcSpeedSpread - median, minimum and maximum over the rounds. */
typedef struct
{
  double median;
  double min;
  double max;
} WcSpeedSpread;

/**
 * struct WcSpeedResult - result of a measurement; rates are per second, latencies in microseconds.
 * @ratio, @ratio_cpu: rate of the instance divided by that of the bare relay, per second of wall-clock and of CPU time.
 * @flow_bytes: resident memory of the instance per open flow.
 * @flows_opened: number of flows that @flow_bytes was measured over.
 */
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

/** wc_speed_run() - Return: false with @error set if an address cannot be bound or no datagram arrives. */
bool wc_speed_run (const WcSpeedPlan *plan, WcSpeedResult *result, WcError *error);

/** wc_speed_print() - print a single line of JSON, or a table as text. */
void wc_speed_print (const WcSpeedPlan *plan, const WcSpeedResult *result, bool json, FILE *stream);

/**
 * wc_speed_meets_target() - whether both median ratios are at least 0.7.
 *
 * Both ratios are checked: the one of wall-clock time varies when the cores are shared, and the one of CPU time does
 * not include waiting. A ratio of CPU time of 0, which is unknown, is not checked.
 */
bool wc_speed_meets_target (const WcSpeedResult *result);

/** wc_speed_spread() - compute median, minimum and maximum of @count numbers, which are sorted in place. */
WcSpeedSpread wc_speed_spread (double *values, uint32_t count);

#endif
