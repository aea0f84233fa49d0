#include "emulator/speed_run.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <unistd.h>

#include "edge/socket_address.h"

enum
{
  WARMUP_MS = 200,
  LATENCY_DATAGRAMS = 10000
};

/* Required minimum of the datagrams per second and core, relative to the bare relay. */
static const double MIN_RATIO = 0.7;

/* Results of the rounds. */
typedef struct
{
  double served[WC_SPEED_MAX_ROUNDS];
  double bare[WC_SPEED_MAX_ROUNDS];
  double served_cpu[WC_SPEED_MAX_ROUNDS];
  double bare_cpu[WC_SPEED_MAX_ROUNDS];
  double ratio[WC_SPEED_MAX_ROUNDS];
  double ratio_cpu[WC_SPEED_MAX_ROUNDS];
  double served_p50[WC_SPEED_MAX_ROUNDS];
  double served_p99[WC_SPEED_MAX_ROUNDS];
  double bare_p50[WC_SPEED_MAX_ROUNDS];
  double bare_p99[WC_SPEED_MAX_ROUNDS];
} Rounds;

static bool measure_relay (const WcSpeedPlan *plan, WcSpeedProbeConfig *config, WcSpeedResult *result, WcError *error);
static bool
measure_own_service (const WcSpeedPlan *plan, WcSpeedProbeConfig *config, WcSpeedResult *result, WcError *error);
static bool measure_own_rounds (const WcSpeedPlan *plan, WcSpeedProbeConfig *config, WcSpeedKind kind, uint32_t window,
                                WcSpeedSpread *rate, WcSpeedSpread *cpu, WcSpeedResult *result, WcError *error);
static double read_resident_bytes (pid_t process);
static int    compare_doubles (const void *a, const void *b);
static void   print_json (const WcSpeedPlan *plan, const WcSpeedResult *result, FILE *stream);
static void   print_spread (FILE *stream, const char *name, const WcSpeedSpread *spread);

bool
wc_speed_run (const WcSpeedPlan *plan, WcSpeedResult *result, WcError *error)
{
  size_t             key_count;
  const WcKey       *keys = wc_register_get_keys (plan->reg, &key_count);
  WcKeyring         *keyring = wc_keyring_new (keys, key_count);
  WcSpeedProbeConfig config = {
    .window = plan->window,
    .generator_core = plan->generator_core,
    .sink_core = plan->sink_core,
    .keyring = keyring,
  };
  bool done;

  assert (plan->rounds > 0 && plan->rounds <= WC_SPEED_MAX_ROUNDS);

  *result = (WcSpeedResult){ 0 };
  config.sink = wc_socket_open_udp (&plan->sink, false, error);
  done = config.sink >= 0 && measure_relay (plan, &config, result, error);
  if (config.sink >= 0)
    close (config.sink);
  if (done && plan->own_service)
    done = measure_own_service (plan, &config, result, error);
  wc_keyring_unref (keyring);
  return done;
}

void
wc_speed_print (const WcSpeedPlan *plan, const WcSpeedResult *result, bool json, FILE *stream)
{
  if (json)
    {
      print_json (plan, result, stream);
      return;
    }
  fprintf (stream, "median (minimum to maximum) of %u rounds of %u ms, %u flows, datagrams of %u bytes\n", plan->rounds,
           plan->round_ms, plan->flows, result->datagram_bytes);
  print_spread (stream, "relayed by serve per second", &result->served);
  print_spread (stream, "relayed by the bare relay per second", &result->bare);
  print_spread (stream, "ratio", &result->ratio);
  print_spread (stream, "relayed by serve per CPU second", &result->served_cpu);
  print_spread (stream, "relayed by the bare relay per CPU second", &result->bare_cpu);
  print_spread (stream, "ratio per CPU second", &result->ratio_cpu);
  print_spread (stream, "latency of serve, median, us", &result->served_p50);
  print_spread (stream, "latency of the bare relay, median, us", &result->bare_p50);
  print_spread (stream, "latency of serve, 99th percentile, us", &result->served_p99);
  print_spread (stream, "latency of the bare relay, 99th percentile, us", &result->bare_p99);
  if (plan->own_service)
    {
      print_spread (stream, "flows opened per second", &result->opened);
      print_spread (stream, "flows opened per CPU second", &result->opened_cpu);
      print_spread (stream, "requests answered per second", &result->requests);
      print_spread (stream, "requests answered per CPU second", &result->requests_cpu);
      fprintf (stream, "%-48s %.2f (over %" PRIu64 " flows)\n", "resident bytes per open flow", result->flow_bytes,
               result->flows_opened);
    }
  fprintf (stream, "%-48s %" PRIu64 " lost, %" PRIu64 " unexpected\n", "datagrams", result->lost, result->invalid);
  fprintf (stream, "target: at least %.2f of the bare relay: %s\n", MIN_RATIO,
           wc_speed_meets_target (result) ? "met" : "MISSED");
}

bool
wc_speed_meets_target (const WcSpeedResult *result)
{
  /* The CPU rates are 0 if the process ids are not known. */
  return result->ratio.median >= MIN_RATIO && (result->ratio_cpu.median >= MIN_RATIO || result->ratio_cpu.median == 0);
}

WcSpeedSpread
wc_speed_spread (double *values, uint32_t count)
{
  assert (values != NULL);
  assert (count > 0);

  qsort (values, count, sizeof *values, compare_doubles);
  return (WcSpeedSpread){
    .median = count % 2 == 1 ? values[count / 2] : (values[count / 2 - 1] + values[count / 2]) / 2,
    .min = values[0],
    .max = values[count - 1],
  };
}

/* local functions */

static bool
measure_relay (const WcSpeedPlan *plan, WcSpeedProbeConfig *config, WcSpeedResult *result, WcError *error)
{
  WcSpeedPacketsConfig packets_config = {
    .kind = WC_SPEED_REQUEST,
    .service = plan->relay_service,
    .domain = plan->relay_domain,
    .flows = plan->flows,
    .body_bytes = plan->body_bytes,
  };
  WcSpeedPackets *packets = wc_speed_packets_new (&packets_config, config->keyring);
  Rounds         *rounds;
  size_t          size;

  if (!packets)
    {
      wc_error_set (error, WC_STATUS_TOO_LARGE, "datagrams exceed the maximum length, or the register has no keys");
      return false;
    }
  rounds = g_new0 (Rounds, 1);
  config->packets = packets;
  wc_speed_packets_get (packets, 0, &size);
  result->datagram_bytes = (uint32_t)size;
  for (uint32_t i = 0; i < plan->rounds; i++)
    for (int serve = 0; serve < 2; serve++)
      {
        WcSpeedRate    rate;
        WcSpeedLatency latency;

        config->destination = serve ? plan->served : plan->bare;
        config->process = serve ? plan->served_process : plan->bare_process;
        wc_speed_probe_measure_rate (config, WARMUP_MS, plan->round_ms, &rate);
        wc_speed_probe_measure_latency (config, plan->per_second, LATENCY_DATAGRAMS, &latency);
        (serve ? rounds->served : rounds->bare)[i] = rate.per_second;
        (serve ? rounds->served_cpu : rounds->bare_cpu)[i] = rate.per_cpu_second;
        (serve ? rounds->served_p50 : rounds->bare_p50)[i] = (double)latency.p50_ns / 1000;
        (serve ? rounds->served_p99 : rounds->bare_p99)[i] = (double)latency.p99_ns / 1000;
        result->lost += rate.lost + (latency.sent - latency.arrived);
        result->invalid += rate.invalid;
        if (rate.arrived == 0 || latency.arrived == 0)
          {
            wc_error_set (error, WC_STATUS_INVALID, "no datagram arrives at the sink through %s",
                          serve ? "the instance" : "the bare relay");
            wc_speed_packets_delete (packets);
            g_free (rounds);
            return false;
          }
      }
  for (uint32_t i = 0; i < plan->rounds; i++)
    {
      rounds->ratio[i] = rounds->served[i] / rounds->bare[i];
      rounds->ratio_cpu[i] = rounds->bare_cpu[i] > 0 ? rounds->served_cpu[i] / rounds->bare_cpu[i] : 0;
    }
  result->served = wc_speed_spread (rounds->served, plan->rounds);
  result->bare = wc_speed_spread (rounds->bare, plan->rounds);
  result->served_cpu = wc_speed_spread (rounds->served_cpu, plan->rounds);
  result->bare_cpu = wc_speed_spread (rounds->bare_cpu, plan->rounds);
  result->ratio = wc_speed_spread (rounds->ratio, plan->rounds);
  result->ratio_cpu = wc_speed_spread (rounds->ratio_cpu, plan->rounds);
  result->served_p50 = wc_speed_spread (rounds->served_p50, plan->rounds);
  result->served_p99 = wc_speed_spread (rounds->served_p99, plan->rounds);
  result->bare_p50 = wc_speed_spread (rounds->bare_p50, plan->rounds);
  result->bare_p99 = wc_speed_spread (rounds->bare_p99, plan->rounds);
  wc_speed_packets_delete (packets);
  g_free (rounds);
  return true;
}

/* Measures flows that the instance opens, and requests that its own targets answer; it replies to the generator. */
static bool
measure_own_service (const WcSpeedPlan *plan, WcSpeedProbeConfig *config, WcSpeedResult *result, WcError *error)
{
  double   before;
  uint64_t opened_before;

  config->sink = -1;
  config->destination = plan->served;
  config->process = plan->served_process;
  /* The first flows grow buffers that later flows reuse, so memory is measured after a first set of rounds. */
  if (!measure_own_rounds (plan, config, WC_SPEED_OPEN, plan->window, &result->opened, &result->opened_cpu, result,
                           error))
    return false;
  before = read_resident_bytes (plan->served_process);
  opened_before = result->flows_opened;
  if (!measure_own_rounds (plan, config, WC_SPEED_OPEN, plan->window, &result->opened, &result->opened_cpu, result,
                           error))
    return false;
  result->flows_opened -= opened_before;
  result->flow_bytes = (read_resident_bytes (plan->served_process) - before) / (double)result->flows_opened;
  return measure_own_rounds (plan, config, WC_SPEED_REQUEST, plan->window, &result->requests, &result->requests_cpu,
                             result, error);
}

static bool
measure_own_rounds (const WcSpeedPlan *plan, WcSpeedProbeConfig *config, WcSpeedKind kind, uint32_t window,
                    WcSpeedSpread *rate, WcSpeedSpread *cpu, WcSpeedResult *result, WcError *error)
{
  WcSpeedPacketsConfig packets_config = {
    .kind = kind,
    .service = plan->own_service,
    .domain = plan->own_domain,
    .flows = plan->flows,
    .body_bytes = plan->body_bytes,
  };
  WcSpeedPackets *packets = wc_speed_packets_new (&packets_config, config->keyring);
  double          rates[WC_SPEED_MAX_ROUNDS] = { 0 };
  double          cpu_rates[WC_SPEED_MAX_ROUNDS] = { 0 };

  assert (packets != NULL);

  config->packets = packets;
  config->window = window;
  for (uint32_t i = 0; i < plan->rounds; i++)
    {
      WcSpeedRate round_rate;

      wc_speed_probe_measure_rate (config, WARMUP_MS, plan->round_ms, &round_rate);
      if (round_rate.arrived == 0)
        {
          wc_error_set (error, WC_STATUS_INVALID, "the instance does not answer %s",
                        kind == WC_SPEED_OPEN ? "packets that open flows" : "requests");
          wc_speed_packets_delete (packets);
          return false;
        }
      rates[i] = round_rate.per_second;
      cpu_rates[i] = round_rate.per_cpu_second;
      result->lost += round_rate.lost;
      result->invalid += round_rate.invalid;
      if (kind == WC_SPEED_OPEN)
        result->flows_opened += round_rate.arrived;
    }
  *rate = wc_speed_spread (rates, plan->rounds);
  *cpu = wc_speed_spread (cpu_rates, plan->rounds);
  wc_speed_packets_delete (packets);
  return true;
}

static double
read_resident_bytes (pid_t process)
{
  char         *path = g_strdup_printf ("/proc/%d/statm", (int)process);
  char         *text = NULL;
  unsigned long size = 0;
  unsigned long resident = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    sscanf (text, "%lu %lu", &size, &resident);
  g_free (text);
  g_free (path);
  return (double)resident * (double)sysconf (_SC_PAGESIZE);
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static void
print_json (const WcSpeedPlan *plan, const WcSpeedResult *result, FILE *stream)
{
  const struct
  {
    const char          *key;
    const WcSpeedSpread *spread;
  } lines[] = {
    { "served_per_s", &result->served },
    { "bare_per_s", &result->bare },
    { "ratio", &result->ratio },
    { "served_per_cpu_s", &result->served_cpu },
    { "bare_per_cpu_s", &result->bare_cpu },
    { "ratio_cpu", &result->ratio_cpu },
    { "served_p50_us", &result->served_p50 },
    { "bare_p50_us", &result->bare_p50 },
    { "served_p99_us", &result->served_p99 },
    { "bare_p99_us", &result->bare_p99 },
    { "opened_per_s", &result->opened },
    { "opened_per_cpu_s", &result->opened_cpu },
    { "requests_per_s", &result->requests },
    { "requests_per_cpu_s", &result->requests_cpu },
  };

  fprintf (stream, "{\"rounds\": %u, \"round_ms\": %u, \"flows\": %u, \"datagram_bytes\": %u, \"latency_rate\": %u",
           plan->rounds, plan->round_ms, plan->flows, result->datagram_bytes, plan->per_second);
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    fprintf (stream, ", \"%s\": [%.2f, %.2f, %.2f]", lines[i].key, lines[i].spread->median, lines[i].spread->min,
             lines[i].spread->max);
  fprintf (stream,
           ", \"flow_bytes\": %.2f, \"flows_opened\": %" PRIu64 ", \"lost\": %" PRIu64 ", \"unexpected\": %" PRIu64
           ", \"ratio_target\": %.2f, \"target_met\": %s}\n",
           result->flow_bytes, result->flows_opened, result->lost, result->invalid, MIN_RATIO,
           wc_speed_meets_target (result) ? "true" : "false");
}

static void
print_spread (FILE *stream, const char *name, const WcSpeedSpread *spread)
{
  int digits = spread->median < 10 ? 3 : spread->median < 1000 ? 1 : 0;

  fprintf (stream, "%-48s %.*f (%.*f to %.*f)\n", name, digits, spread->median, digits, spread->min, digits,
           spread->max);
}
