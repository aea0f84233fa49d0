#ifndef WC_EMULATOR_SPEED_PROBE_H
#define WC_EMULATOR_SPEED_PROBE_H

#include <glib.h>
#include <sys/types.h>

#include <wigeoncart/address.h>

#include "emulator/speed_packets.h"

/**
 * struct WcSpeedProbeConfig - generator of datagrams, and the sink that receives them or the replies to them.
 * @destination: address of the process under test.
 * @process: id of that process, for its CPU time; 0 for unknown.
 * @sink: socket that the process relays to; -1 when it replies to the generator.
 * @window: maximum number of datagrams in flight, so that none is dropped because a socket buffer is full.
 * @generator_core, @sink_core: CPU cores of the two threads; -1 for any.
 * @packets: datagrams to send.
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
 * struct WcSpeedRate - result of wc_speed_probe_measure_rate().
 * @per_second: datagrams received by the sink per second of wall-clock time.
 * @per_cpu_second: the same per second of CPU time of all threads of the process under test; 0 if unknown.
 * @arrived: datagrams received by the sink.
 * @lost: datagrams that did not arrive before the stall timeout.
 * @invalid: checked datagrams, also those of the warm-up, without an expected request id.
 */
typedef struct
{
  double   per_second;
  double   per_cpu_second;
  uint64_t arrived;
  uint64_t lost;
  uint64_t invalid;
} WcSpeedRate;

/** wc_speed_probe_measure_rate() - keep @window datagrams in flight for @warmup_ms, then measure for @run_ms. */
void
wc_speed_probe_measure_rate (const WcSpeedProbeConfig *config, uint32_t warmup_ms, uint32_t run_ms, WcSpeedRate *rate);

/** struct WcSpeedLatency - median and 99th percentile of the time from sending to arrival. */
typedef struct
{
  uint64_t p50_ns;
  uint64_t p99_ns;
  uint64_t sent;
  uint64_t arrived;
} WcSpeedLatency;

/** wc_speed_probe_measure_latency() - send up to @count of the packets, each once, at the rate @per_second. */
void wc_speed_probe_measure_latency (const WcSpeedProbeConfig *config, uint32_t per_second, uint32_t count,
                                     WcSpeedLatency *latency);

#endif
