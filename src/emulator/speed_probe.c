#include "emulator/speed_probe.h"

#include <assert.h>
#include <pthread.h>
#include <sched.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "edge/socket_address.h"

enum
{
  BATCH_DATAGRAMS = 32,
  DATAGRAM_BYTES = 2048,
  /* One datagram in so many is unpacked, so that the sink keeps up with the process under test. */
  CHECK_EVERY = 64,
  /* Without any arrival for this long, what is under way counts as lost. */
  STALL_NS = 20 * 1000 * 1000,
  DRAIN_NS = 500 * 1000 * 1000,
  SETTLE_US = 20 * 1000,
  NS_PER_MS = 1000 * 1000
};

typedef struct
{
  const WcSpeedProbeConfig *config;
  int                       fd;
  struct sockaddr_storage   destination;
  socklen_t                 destination_bytes;
  _Atomic uint64_t          arrived;
  _Atomic uint64_t          invalid;
  atomic_bool               stopping;
  /* Times of sending and arrival by packet number; NULL while rates are measured. */
  _Atomic uint64_t *sent_ns;
  uint64_t         *latencies_ns;
  uint64_t          latency_count;
  uint32_t          id_limit;
} Probe;

static bool     start (Probe *probe, const WcSpeedProbeConfig *config, GThread **sink);
static void     stop (Probe *probe, GThread *sink);
static gpointer run_sink (gpointer data);
static void     look_into (Probe *probe, const uint8_t *data, size_t size_bytes, uint64_t now_ns);
static void     pin (int core);
static uint64_t now_ns (void);
static uint64_t process_ns (pid_t process);
static int      compare_numbers (const void *a, const void *b);

void
wc_speed_probe_measure_rate (const WcSpeedProbeConfig *config, uint32_t warmup_ms, uint32_t run_ms, WcSpeedRate *rate)
{
  Probe          probe = { 0 };
  GThread       *sink;
  struct mmsghdr headers[BATCH_DATAGRAMS] = { 0 };
  struct iovec   vectors[BATCH_DATAGRAMS];
  uint32_t       next = 0;
  uint64_t       sent = 0;
  uint64_t       settled = 0;
  uint64_t       last_arrived = 0;
  uint64_t       base_arrived = 0;
  uint64_t       base_lost = 0;
  uint64_t       lost = 0;
  uint64_t       base_cpu_ns = 0;
  uint64_t       begin_ns;
  uint64_t       measure_ns;
  uint64_t       end_ns;
  uint64_t       moved_ns;
  uint64_t       time_ns;
  bool           measuring = false;

  assert (config != NULL);
  assert (config->window >= BATCH_DATAGRAMS);
  assert (rate != NULL);

  *rate = (WcSpeedRate){ 0 };
  probe.id_limit = wc_speed_packets_get_count (config->packets);
  if (!start (&probe, config, &sink))
    return;
  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      headers[i].msg_hdr.msg_iov = &vectors[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      headers[i].msg_hdr.msg_name = &probe.destination;
      headers[i].msg_hdr.msg_namelen = probe.destination_bytes;
    }
  begin_ns = now_ns ();
  moved_ns = begin_ns;
  measure_ns = begin_ns + (uint64_t)warmup_ms * NS_PER_MS;
  end_ns = measure_ns + (uint64_t)run_ms * NS_PER_MS;
  while ((time_ns = now_ns ()) < end_ns)
    {
      uint64_t arrived = atomic_load_explicit (&probe.arrived, memory_order_acquire);
      unsigned count = 0;

      if (!measuring && time_ns >= measure_ns)
        {
          measuring = true;
          measure_ns = time_ns;
          base_arrived = arrived;
          base_lost = lost;
          base_cpu_ns = process_ns (config->process);
        }
      if (arrived != last_arrived)
        {
          settled += arrived - last_arrived;
          last_arrived = arrived;
          moved_ns = time_ns;
        }
      else if (time_ns - moved_ns > STALL_NS && sent > settled)
        {
          lost += sent - settled;
          settled = sent;
          moved_ns = time_ns;
        }
      /* A datagram that was given up may still arrive. */
      settled = MIN (settled, sent);
      if (config->window - (sent - settled) < BATCH_DATAGRAMS)
        continue;
      while (count < BATCH_DATAGRAMS)
        {
          size_t size;

          vectors[count].iov_base = (void *)wc_speed_packets_get (config->packets, next, &size);
          vectors[count].iov_len = size;
          next = next + 1 < wc_speed_packets_get_count (config->packets) ? next + 1 : 0;
          count++;
        }
      for (unsigned done = 0; done < count;)
        {
          int accepted = sendmmsg (probe.fd, headers + done, count - done, MSG_DONTWAIT);

          if (accepted > 0)
            done += (unsigned)accepted;
        }
      sent += count;
    }
  rate->arrived = atomic_load (&probe.arrived) - base_arrived;
  rate->per_second = (double)rate->arrived * 1e9 / (double)(time_ns - measure_ns);
  if (base_cpu_ns != 0)
    rate->per_cpu_second = (double)rate->arrived * 1e9 / (double)(process_ns (config->process) - base_cpu_ns);
  rate->lost = lost - base_lost;
  stop (&probe, sink);
  rate->invalid = atomic_load (&probe.invalid);
}

void
wc_speed_probe_measure_latency (const WcSpeedProbeConfig *config, uint32_t per_second, uint32_t count,
                                WcSpeedLatency *delay)
{
  Probe    probe = { 0 };
  GThread *sink;
  uint64_t interval_ns = 1000000000u / per_second;
  uint64_t next_ns;

  assert (config != NULL);
  assert (per_second > 0);
  assert (delay != NULL);

  *delay = (WcSpeedLatency){ 0 };
  count = MIN (count, wc_speed_packets_get_count (config->packets));
  probe.id_limit = count;
  probe.sent_ns = g_malloc0 (sizeof *probe.sent_ns * count);
  probe.latencies_ns = g_new (uint64_t, count);
  if (!start (&probe, config, &sink))
    {
      g_free (probe.sent_ns);
      g_free (probe.latencies_ns);
      return;
    }
  next_ns = now_ns ();
  for (uint32_t i = 0; i < count; i++)
    {
      size_t         size;
      const uint8_t *data = wc_speed_packets_get (config->packets, i, &size);
      uint64_t       time_ns;

      while ((time_ns = now_ns ()) < next_ns)
        ;
      /* After a pause of the generator, the lost time is not made up by a burst. */
      next_ns = MAX (next_ns + interval_ns, time_ns);
      atomic_store_explicit (&probe.sent_ns[i], time_ns, memory_order_release);
      if (sendto (probe.fd, data, size, 0, (struct sockaddr *)&probe.destination, probe.destination_bytes) > 0)
        delay->sent++;
    }
  next_ns = now_ns () + DRAIN_NS;
  while (now_ns () < next_ns && atomic_load (&probe.arrived) < delay->sent)
    ;
  stop (&probe, sink);
  delay->arrived = probe.latency_count;
  if (probe.latency_count > 0)
    {
      qsort (probe.latencies_ns, probe.latency_count, sizeof *probe.latencies_ns, compare_numbers);
      delay->p50_ns = probe.latencies_ns[probe.latency_count / 2];
      delay->p99_ns = probe.latencies_ns[probe.latency_count * 99 / 100];
    }
  g_free (probe.sent_ns);
  g_free (probe.latencies_ns);
}

/* local functions */

static bool
start (Probe *probe, const WcSpeedProbeConfig *config, GThread **sink)
{
  WcAddress any = config->destination;
  uint8_t   rest[DATAGRAM_BYTES];

  any.port = 0;
  probe->config = config;
  probe->fd = wc_socket_open_udp (&any, false, NULL);
  if (probe->fd < 0)
    return false;
  probe->destination_bytes = wc_socket_address_to_sockaddr (&config->destination, &probe->destination);
  /* Late datagrams of an earlier run must not count in this one. */
  g_usleep (SETTLE_US);
  if (config->sink >= 0)
    while (recv (config->sink, rest, sizeof rest, MSG_DONTWAIT) >= 0)
      ;
  *sink = g_thread_new ("speed-sink", run_sink, probe);
  pin (config->generator_core);
  return true;
}

static void
stop (Probe *probe, GThread *sink)
{
  atomic_store (&probe->stopping, true);
  g_thread_join (sink);
  close (probe->fd);
}

static gpointer
run_sink (gpointer data)
{
  Probe         *probe = data;
  int            fd = probe->config->sink >= 0 ? probe->config->sink : probe->fd;
  struct mmsghdr headers[BATCH_DATAGRAMS] = { 0 };
  struct iovec   vectors[BATCH_DATAGRAMS];
  uint8_t       *buffer = g_malloc ((size_t)BATCH_DATAGRAMS * DATAGRAM_BYTES);
  uint64_t       arrived = 0;

  pin (probe->config->sink_core);
  for (unsigned i = 0; i < BATCH_DATAGRAMS; i++)
    {
      vectors[i] = (struct iovec){ buffer + (size_t)i * DATAGRAM_BYTES, DATAGRAM_BYTES };
      headers[i].msg_hdr.msg_iov = &vectors[i];
      headers[i].msg_hdr.msg_iovlen = 1;
    }
  /* The sink never sleeps, so that its wake-up time is no part of what is measured. */
  while (!atomic_load_explicit (&probe->stopping, memory_order_relaxed))
    {
      int      count = recvmmsg (fd, headers, BATCH_DATAGRAMS, MSG_DONTWAIT, NULL);
      uint64_t time_ns;

      if (count <= 0)
        continue;
      time_ns = now_ns ();
      for (int i = 0; i < count; i++)
        if (probe->sent_ns || (arrived + (unsigned)i) % CHECK_EVERY == 0)
          look_into (probe, vectors[i].iov_base, headers[i].msg_len, time_ns);
      arrived += (unsigned)count;
      atomic_store_explicit (&probe->arrived, arrived, memory_order_release);
    }
  g_free (buffer);
  return NULL;
}

static void
look_into (Probe *probe, const uint8_t *data, size_t size_bytes, uint64_t time_ns)
{
  uint64_t id = wc_speed_packets_find_id (probe->config->keyring, data, size_bytes);
  uint64_t sent_ns;

  if (id == 0 || id > probe->id_limit)
    {
      atomic_fetch_add (&probe->invalid, 1);
      return;
    }
  if (!probe->sent_ns)
    return;
  sent_ns = atomic_exchange_explicit (&probe->sent_ns[id - 1], 0, memory_order_acq_rel);
  if (sent_ns != 0)
    probe->latencies_ns[probe->latency_count++] = time_ns - sent_ns;
}

static void
pin (int core)
{
  cpu_set_t cores;

  if (core < 0 || core >= CPU_SETSIZE)
    return;
  CPU_ZERO (&cores);
  CPU_SET ((unsigned)core, &cores);
  pthread_setaffinity_np (pthread_self (), sizeof cores, &cores);
}

static uint64_t
now_ns (void)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  return (uint64_t)time.tv_sec * 1000000000u + (uint64_t)time.tv_nsec;
}

static uint64_t
process_ns (pid_t process)
{
  struct timespec time;
  clockid_t       clock;

  if (process == 0 || clock_getcpuclockid (process, &clock) != 0 || clock_gettime (clock, &time) != 0)
    return 0;
  return (uint64_t)time.tv_sec * 1000000000u + (uint64_t)time.tv_nsec;
}

static int
compare_numbers (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left > right) - (left < right);
}
