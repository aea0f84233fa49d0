#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "route_versions.h"
#include "soak.h"

#include "edge/socket_address.h"
#include "emulator/flow_wire.h"
#include "packet_wire.h"

enum
{
  HOST_ID_BYTES = 8,
  ANSWER_BYTES = 700,
  DATAGRAM_BYTES = 2048,
  /* An answer to an opening is sent again after 200 ms, then after twice the time before, eight times at most. */
  RESEND_MIN_US = 200 * 1000,
  RESEND_MAX_US = 1600 * 1000,
  RESENDS_MAX = 8
};

/*
 * A flow at its host.
 * @expected: next expected sequence number.
 * @answered: sequence number up to which the caller's data has been answered.
 * @due_us: when the answer to the current request is sent; 0 for none.
 * @resend_us: when the answer to the opening is sent again, while the flow is not open; 0 for never.
 * @resends: how often it was sent again.
 */
typedef struct
{
  WcFlowKey key;
  uint32_t  cookie;
  uint32_t  sequence;
  uint32_t  expected;
  uint32_t  answered;
  uint64_t  due_us;
  uint64_t  resend_us;
  uint32_t  resends;
  uint64_t  request_id;
  bool      is_open;
} HostFlow;

static void  readable (struct ev_loop *loop, ev_io *watcher, int events);
static void  receive (SoakHost *host, SoakInstance *instance, const WcPacket *packet);
static void  receive_opening (SoakHost *host, SoakInstance *instance, const WcPacket *packet);
static void  check_opening (SoakHost *host, SoakInstance *instance, const WcPacket *packet);
static void  check_departed (const SoakHost *host, const SoakInstance *instance, uint64_t id, const uint8_t *data,
                             size_t size_bytes);
static void  check_rollback (Soak *soak, SoakInstance *instance, const SoakRoute *route);
static char *format_key (uint64_t id);
static void  answer_opening (SoakHost *host, HostFlow *flow);
static void  run_request (SoakHost *host, HostFlow *flow);
static void  send_answer (SoakHost *host, HostFlow *flow);
static void  send_packet (SoakHost *host, const HostFlow *flow, uint8_t flags, uint32_t sequence, uint16_t data_bytes);
static guint hash_key (gconstpointer key);
static gboolean equal_keys (gconstpointer a, gconstpointer b);

bool
soak_hosts_start (Soak *soak)
{
  for (int i = 0; i < SOAK_HOSTS; i++)
    {
      SoakHost *host = &soak->hosts[i];
      WcError   error;

      host->soak = soak;
      host->number = i;
      host->domain = i % SOAK_DOMAINS;
      host->address = soak_address (soak, SOAK_SUBNET_HOSTS, i, soak->port);
      host->flows = g_hash_table_new_full (hash_key, equal_keys, NULL, g_free);
      host->fd = wc_socket_open_udp (&host->address, false, &error);
      if (host->fd < 0)
        {
          fprintf (stderr, "soak: %s\n", error.message);
          return false;
        }
      ev_io_init (&host->readable, readable, host->fd, EV_READ);
      host->readable.data = host;
      ev_io_start (soak->loop, &host->readable);
      soak_host_replace (host, i < 7 ? 0 : 1);
    }
  return true;
}

/* Replaces the host by a new one with another identifier at the same address. */
void
soak_host_replace (SoakHost *host, int service)
{
  Soak *soak = host->soak;

  g_hash_table_remove_all (host->flows);
  if (host->id != 0)
    g_hash_table_replace (soak->departed, g_memdup2 (&host->id, sizeof host->id),
                          g_memdup2 (&soak->now_us, sizeof soak->now_us));
  host->id = ++soak->next_id * 0x100000001b3 & 0xffffffffff;
  host->started_ms = soak->now_us / 1000;
  host->sequence = 0;
  host->service = service;
  host->state = SOAK_HOST_READY;
  host->state_deadline_us = 0;
  host->entry_expiry_us = 0;
  host->faults_end_us = soak->now_us;
  soak_host_publish (host);
}

void
soak_host_publish (SoakHost *host)
{
  host->sequence++;
  soak_host_publish_again (host);
}

void
soak_host_publish_again (SoakHost *host)
{
  char  address[WC_ADDRESS_TEXT_BYTES];
  char *key = format_key (host->id);
  char *value = g_strdup_printf (
      "{\"service\":\"service-%d\",\"address\":\"%s\",\"zone\":\"d%d\",\"version\":\"v1\","
      "\"slots\":2,\"state\":\"%s\",\"warmup-left-ms\":0,\"seq\":%" G_GUINT64_FORMAT ",\"born\":%" G_GUINT64_FORMAT "}",
      host->service, wc_address_format (&host->address, address), host->domain,
      host->state == SOAK_HOST_READY ? "ready" : "draining", host->sequence, host->started_ms);

  wc_emulated_store_put (host->soak->store, key, value, strlen (value));
  g_free (value);
  g_free (key);
}

void
soak_host_unpublish (Soak *soak, uint64_t id)
{
  char *key = format_key (id);

  wc_emulated_store_remove (soak->store, key);
  g_free (key);
}

void
soak_config_publish (Soak *soak)
{
  soak->config_version += 1 + (uint64_t)soak_random_range (soak, 0, 3);
  soak_config_publish_again (soak);
}

void
soak_config_publish_again (Soak *soak)
{
  GString *text = g_string_new (NULL);
  bool     is_first = true;

  g_string_printf (text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", soak->config_version);
  for (int i = 0; i < SOAK_ROUTES; i++)
    if (soak->routes[i].exists)
      {
        g_string_append_printf (text,
                                "%s{\"name\":\"r%d\",\"host\":\"198.18.0.1\",\"prefix\":\"/%u/\",\"kind\":\"%s\","
                                "\"service\":\"service-%d\",\"priority\":1}",
                                is_first ? "" : ",", i, soak->routes[i].port,
                                soak->routes[i].is_once ? "unsafe" : "safe", soak->routes[i].service);
        is_first = false;
      }
  g_string_append (text, "],\"services\":[],\"limits\":{\"idle-timeout-ms\":15000}}");
  wc_emulated_store_put (soak->store, "op/config", text->str, text->len);
  g_string_free (text, TRUE);
}

void
soak_hosts_tick (Soak *soak)
{
  for (int i = 0; i < SOAK_HOSTS; i++)
    {
      SoakHost      *host = &soak->hosts[i];
      GHashTableIter iter;
      gpointer       value;

      if (host->entry_expiry_us > 0 && soak->now_us >= host->entry_expiry_us)
        {
          soak_host_unpublish (soak, host->id);
          host->entry_expiry_us = 0;
        }
      if (host->state_deadline_us > 0 && soak->now_us >= host->state_deadline_us)
        {
          soak_host_unpublish (soak, host->id);
          /* The replacement sometimes serves the other service at the same address. */
          soak_host_replace (host, soak_random_range (soak, 0, 1) < 0.3 ? 1 - host->service : host->service);
        }
      g_hash_table_iter_init (&iter, host->flows);
      while (host->state != SOAK_HOST_UNRESPONSIVE && g_hash_table_iter_next (&iter, NULL, &value))
        {
          HostFlow *flow = value;

          if (flow->due_us > 0 && soak->now_us >= flow->due_us)
            send_answer (host, flow);
          if (flow->resend_us > 0 && soak->now_us >= flow->resend_us)
            answer_opening (host, flow);
        }
    }
}

bool
soak_host_has_open_flow (const SoakHost *host, uint64_t id, const WcFlowKey *key)
{
  const HostFlow *flow = g_hash_table_lookup (host->flows, key);

  return host->id == id && flow && flow->is_open;
}

void
soak_hosts_stop (Soak *soak)
{
  for (int i = 0; i < SOAK_HOSTS; i++)
    if (soak->hosts[i].flows)
      {
        ev_io_stop (soak->loop, &soak->hosts[i].readable);
        close (soak->hosts[i].fd);
        g_hash_table_destroy (soak->hosts[i].flows);
      }
}

/* local functions */

static void
readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  SoakHost               *host = watcher->data;
  Soak                   *soak = host->soak;
  uint8_t                 data[DATAGRAM_BYTES];
  struct sockaddr_storage from;
  socklen_t               length = sizeof from;
  ssize_t                 size = recvfrom (host->fd, data, sizeof data, 0, (struct sockaddr *)&from, &length);
  uint64_t                id = 0;
  WcAddress               address;
  SoakInstance           *instance;
  WcPacket                packet;

  (void)loop;
  (void)events;
  if (size < HOST_ID_BYTES || !wc_socket_address_from_sockaddr (&from, &address))
    return;
  instance = soak_instance_find (soak, &address);
  if (!instance || host->state == SOAK_HOST_UNRESPONSIVE || instance->blocked_domain == host->domain ||
      soak_random_range (soak, 0, 1) < soak->loss)
    return;
  for (int i = 0; i < HOST_ID_BYTES; i++)
    id = id << 8 | data[i];
  if (id == 0)
    soak_report_violation (soak, "addressed to one host", "instance %d sent a packet without a host identifier",
                           instance->number);
  if (!wc_flow_wire_has_valid_checksum (data + HOST_ID_BYTES, (size_t)size - HOST_ID_BYTES))
    soak_report_violation (soak, "unchanged packets", "host %d received a packet with an invalid checksum",
                           host->number);
  else if (id != host->id)
    {
      soak->counts.wrong_host++;
      check_departed (host, instance, id, data + HOST_ID_BYTES, (size_t)size - HOST_ID_BYTES);
    }
  else if (wc_packet_wire_decode (data + HOST_ID_BYTES, (size_t)size - HOST_ID_BYTES, &packet))
    receive (host, instance, &packet);
}

static void
receive (SoakHost *host, SoakInstance *instance, const WcPacket *packet)
{
  HostFlow *flow = g_hash_table_lookup (host->flows, &packet->key);

  if (packet->flags & WC_PACKET_SYN)
    {
      receive_opening (host, instance, packet);
      return;
    }
  if (packet->flags & WC_PACKET_RST)
    {
      g_hash_table_remove (host->flows, &packet->key);
      return;
    }
  if (!flow)
    {
      const HostFlow unknown = { .key = packet->key, .cookie = packet->cookie };

      send_packet (host, &unknown, WC_PACKET_RST, packet->acknowledged, 0);
      return;
    }
  /* A flow opens at the host whose sequence number the caller acknowledges first, and at no other that accepted it. */
  if (!flow->is_open && packet->acknowledged != flow->sequence)
    {
      if (packet->data_bytes > 0)
        send_packet (host, flow, WC_PACKET_RST, packet->acknowledged, 0);
      return;
    }
  flow->cookie = packet->cookie;
  flow->is_open = true;
  flow->resend_us = 0;
  if (packet->data_bytes > 0 && packet->sequence == flow->expected && flow->due_us == 0)
    {
      flow->expected += packet->data_bytes;
      flow->request_id = packet->request_id;
      run_request (host, flow);
    }
  else if (packet->data_bytes > 0 && flow->due_us == 0 && packet->sequence + packet->data_bytes == flow->answered)
    send_packet (host, flow, WC_PACKET_ACK, flow->sequence - ANSWER_BYTES, ANSWER_BYTES);
  if (packet->flags & WC_PACKET_FIN)
    {
      flow->expected++;
      send_packet (host, flow, WC_PACKET_ACK | WC_PACKET_FIN, flow->sequence, 0);
      g_hash_table_remove (host->flows, &packet->key);
    }
}

static void
receive_opening (SoakHost *host, SoakInstance *instance, const WcPacket *packet)
{
  HostFlow *flow = g_hash_table_lookup (host->flows, &packet->key);

  check_opening (host, instance, packet);
  if (!flow)
    {
      flow = g_new0 (HostFlow, 1);
      flow->key = packet->key;
      flow->sequence = g_rand_int (host->soak->random);
      flow->expected = packet->sequence + 1;
      flow->answered = flow->expected;
      g_hash_table_insert (host->flows, &flow->key, flow);
    }
  flow->cookie = packet->cookie;
  flow->resends = 0;
  answer_opening (host, flow);
}

static void
answer_opening (SoakHost *host, HostFlow *flow)
{
  uint64_t pause_us = MIN (RESEND_MIN_US << flow->resends, RESEND_MAX_US);

  send_packet (host, flow, WC_PACKET_SYN | WC_PACKET_ACK, flow->sequence, 0);
  flow->resend_us = !flow->is_open && flow->resends++ < RESENDS_MAX ? host->soak->now_us + pause_us : 0;
}

static void
check_opening (SoakHost *host, SoakInstance *instance, const WcPacket *packet)
{
  Soak *soak = host->soak;
  bool  is_stable = soak_instance_is_stable (instance) && soak_is_stable (soak);

  soak_evacuation_check_opening (host, instance);
  soak->counts.checked_openings += is_stable;
  soak->counts.checked_drains += is_stable && host->state == SOAK_HOST_DRAINING;
  for (int i = 0; i < SOAK_ROUTES; i++)
    {
      const SoakRoute *route = &soak->routes[i];

      if (route->port != packet->key.route_port)
        continue;
      check_rollback (soak, instance, route);
      if (route->service != host->service)
        soak_report_violation (soak, "services stay apart",
                               "host %d of service %d received a flow of route %u from instance %d", host->number,
                               host->service, route->port, instance->number);
      if (!route->exists && is_stable && soak->now_us > route->changed_us + SOAK_APPLY_US)
        soak_report_violation (soak, "configuration",
                               "instance %d forwards an opening packet of route %u, which was removed %.1f s ago",
                               instance->number, route->port, (double)(soak->now_us - route->changed_us) / 1e6);
    }
  if (host->state == SOAK_HOST_DRAINING && is_stable && soak->now_us > host->drain_start_us + SOAK_DRAIN_US)
    soak_report_violation (soak, "draining", "instance %d sent host %d a new flow %.1f s after draining was published",
                           instance->number, host->number, (double)(soak->now_us - host->drain_start_us) / 1e6);
}

/* A host that left may not get new flows once its removal is known. */
static void
check_departed (const SoakHost *host, const SoakInstance *instance, uint64_t id, const uint8_t *data, size_t size_bytes)
{
  Soak           *soak = host->soak;
  const uint64_t *departed_us = g_hash_table_lookup (soak->departed, &id);
  WcPacket        packet;

  if (!departed_us || !soak_instance_is_stable (instance) || !soak_is_stable (soak) ||
      soak->now_us < *departed_us + SOAK_DEPARTED_US || !wc_packet_wire_decode (data, size_bytes, &packet) ||
      !(packet.flags & WC_PACKET_SYN))
    return;
  soak_report_violation (soak, "departed hosts", "instance %d sent a new flow to a host that left %.1f s ago",
                         instance->number, (double)(soak->now_us - *departed_us) / 1e6);
}

/*
 * A host sees a new flow of @route, so that the instance has a version in which the route exists. It may not be older
 * than one that the instance has shown before; this holds under any fault, until the process ends. A route that was
 * removed and added again exists in several ranges of versions, of which the lowest possible one is what is shown.
 */
static void
check_rollback (Soak *soak, SoakInstance *instance, const SoakRoute *route)
{
  uint64_t version;

  if (route_versions_find (route->changes, instance->shown_version, &version))
    {
      if (version > instance->shown_version)
        instance->shown_us = soak->now_us;
      instance->shown_version = version;
      return;
    }
  if (soak->now_us > MAX (instance->shown_us, route->changed_us) + SOAK_ROLLBACK_US)
    soak_report_violation (soak, "configuration",
                           "instance %d forwards an opening packet of route %u, which version %" G_GUINT64_FORMAT
                           " has removed, after it has applied version %" G_GUINT64_FORMAT,
                           instance->number, route->port, route->changed_version, instance->shown_version);
}

static char *
format_key (uint64_t id)
{
  return g_strdup_printf ("servers/i-%010" G_GINT64_MODIFIER "x", id);
}

static void
run_request (SoakHost *host, HostFlow *flow)
{
  Soak   *soak = host->soak;
  gint64 *key = g_new (gint64, 1);
  guint   runs;

  *key = (gint64)flow->request_id;
  runs = GPOINTER_TO_UINT (g_hash_table_lookup (soak->runs, key)) + 1;
  g_hash_table_replace (soak->runs, key, GUINT_TO_POINTER (runs));
  for (int i = 0; i < SOAK_ROUTES; i++)
    if (soak->routes[i].port == flow->key.route_port && soak->routes[i].is_once && runs > 1)
      soak_report_violation (soak, "at most once", "order %016" G_GINT64_MODIFIER "x ran %u times", flow->request_id,
                             runs);
  flow->due_us = soak->now_us + (uint64_t)soak_random_range (soak, 3e3, 25e3);
}

/* A draining host closes a flow with the next answer. */
static void
send_answer (SoakHost *host, HostFlow *flow)
{
  uint8_t flags = WC_PACKET_ACK | (host->state == SOAK_HOST_DRAINING ? WC_PACKET_FIN : 0);

  flow->due_us = 0;
  flow->answered = flow->expected;
  flow->sequence += ANSWER_BYTES;
  send_packet (host, flow, flags, flow->sequence - ANSWER_BYTES, ANSWER_BYTES);
}

static void
send_packet (SoakHost *host, const HostFlow *flow, uint8_t flags, uint32_t sequence, uint16_t data_bytes)
{
  static const uint8_t data[ANSWER_BYTES];
  Soak                *soak = host->soak;
  const WcPacket       packet = {
          .key = { flow->key.route_ip, flow->key.caller_ip, flow->key.route_port, flow->key.caller_port },
          .cookie = flow->cookie,
          .sequence = sequence,
          .acknowledged = flow->expected,
          .data_bytes = data_bytes,
          .flags = flags,
  };
  uint8_t                 out[WC_FLOW_WIRE_MAX_BYTES];
  size_t                  size = wc_flow_wire_write (&packet, data, out);
  WcAddress               caller = { .family = 4, .port = soak->port };
  struct sockaddr_storage storage;
  socklen_t               length;

  if (soak_random_range (soak, 0, 1) < soak->loss)
    return;
  for (int i = 0; i < 4; i++)
    caller.ip[i] = (uint8_t)(flow->key.caller_ip >> (24 - 8 * i));
  length = wc_socket_address_to_sockaddr (&caller, &storage);
  (void)sendto (host->fd, out, size, 0, (struct sockaddr *)&storage, length);
}

static guint
hash_key (gconstpointer key)
{
  const WcFlowKey *flow = key;

  return flow->caller_ip * 31 + flow->caller_port * 131071u + flow->route_port;
}

static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  const WcFlowKey *first = a;
  const WcFlowKey *second = b;

  return first->caller_ip == second->caller_ip && first->caller_port == second->caller_port &&
         first->route_ip == second->route_ip && first->route_port == second->route_port;
}
