#ifndef WC_EMULATOR_SPEED_PROBE_H
#define WC_EMULATOR_SPEED_PROBE_H

#include <glib.h>
#include <sys/types.h>

#include <wigeoncart/address.h>

#include "emulator/speed_packets.h"

/**
 * struct WcSpeedProbeConfig - a generator of datagrams and the sink that they or their replies end at.
 * @destination: process under test.
 * @process: id of that process, for its processor time; 0 for none.
 * @sink: where the process sends to; family 0 when it replies to the generator.
 * @window: datagrams under way at most, so that none is dropped for want of a socket buffer.
 * @generator_core, @sink_core: cores of the two threads; -1 for any.
 */
typedef struct
{
  WcAddress             destination;
  pid_t                 process;
  int                   sink;
  uint32_t              window;
  int                   generator_core;
  int                   sink_core;
  const WcKeyring      *keyring;
  const WcSpeedPackets *packets;
} WcSpeedProbeConfig;

/**
 * struct WcSpeedRate - outcome of wc_speed_probe_measure_rate().
 * @per_second: datagrams that arrived at the sink, per second of wall-clock time.
 * @per_cpu_second: the same per second of processor time of the process under test, all its threads; 0 if unknown.
 * @lost: datagrams that were given up.
 * @invalid: of the datagrams that were looked into, those that were not what was expected.
 */
typedef struct
{
  double   per_second;
  double   per_cpu_second;
  uint64_t arrived;
  uint64_t lost;
  uint64_t invalid;
} WcSpeedRate;

/** wc_speed_probe_measure_rate() - keep @window datagrams under way for @warmup_ms and then @run_ms, and count. */
void
wc_speed_probe_measure_rate (const WcSpeedProbeConfig *config, uint32_t warmup_ms, uint32_t run_ms, WcSpeedRate *rate);

/** struct WcSpeedLatency - times from send to arrival, in nanoseconds. */
typedef struct
{
  uint64_t p50_ns;
  uint64_t p99_ns;
  uint64_t sent;
  uint64_t arrived;
} WcSpeedLatency;

/** wc_speed_probe_measure_latency() - send @count datagrams at @per_second, at most as many as there are packets. */
void wc_speed_probe_measure_latency (const WcSpeedProbeConfig *config, uint32_t per_second, uint32_t count,
                                     WcSpeedLatency *delay);

#endif
