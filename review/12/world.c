/*
 * Stand-ins for a small deployment on loopback addresses: the platform's store, its routers, hosts and callers.
 *
 *   world NET PORT INSTANCES RATE RECORD
 *
 * NET: the first three parts of the addresses, such as 127.80.3. The store listens on NET.1, callers on NET.2, instance I
 * on NET.(10+I), host H on NET.(100+H); instance and host N are in zone N % 3. PORT: packets; readiness is asked for at
 * PORT + 1. RATE: new flows a second. RECORD: file for what was sent, answered and run.
 *
 * Commands on standard input: "evacuate ZONE", "take-back ZONE", "mark TEXT", "end". At "end" the program checks what cold
 * hosts got and exits with 1 if one got more than LIMIT flows in a second, else with 0.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  ZONES = 3,
  HOSTS = 9,
  INSTANCES_MAX = 12,
  ROUTE_IP = 0x7fc80001,
  ROUTE_PORT = 443,
  HEADER_BYTES = 31,
  PACKET_MAX_BYTES = 1300,
  HTTP_MAX = 64,
  HEARTBEAT_MS = 770,
  WARM_UP_MS = 2000,
  /* warmup-per-s 4, warmup-overrun 1.5 and warmup-slack 5. */
  LIMIT = 11,
  WINDOW_US = 1000 * 1000,
  PROBE_MS = 500,
  FLOWS_MAX = 1 << 16,
  /* The callers' ports begin here; a port is used for one flow. */
  FIRST_PORT = 1024,
  SYN = 1,
  RST = 8,
  FIN = 32,
  ACK = 128
};

typedef struct
{
  char     key[64];
  char     value[2048];
  bool     deleted;
  uint64_t revision;
} Item;

typedef struct
{
  int      fd;
  size_t   used;
  char     request[2048];
  uint64_t after;
  uint64_t deadline_us;
} Client;

typedef struct
{
  int      fd;
  uint64_t id;
  uint64_t beat_us;
  uint64_t sequence;
  uint64_t cold_until_us;
  uint64_t cold_since_us;
  uint32_t opened;
} Host;

/* @misses: failed probes in a row. @probe: connection of the current probe, or -1. */
typedef struct
{
  bool     in_rotation;
  int      misses;
  int      probe;
  bool     asked;
  uint64_t probe_us;
} Instance;

/* A flow of a caller. @host: index of the host that took it, -1 before. */
typedef struct
{
  uint64_t sent_us;
  uint64_t arrived_us;
  uint64_t due_us;
  uint32_t sequence;
  uint32_t host_sequence;
  uint32_t cookie;
  int      copies;
  int      host;
  int      candidate;
  uint32_t candidate_sequence;
  enum { OPENING, OPEN, DONE, REFUSED, FAILED } state;
} Flow;

static const char *net;
static uint16_t    port;
static int         instance_count;
static FILE       *record;
static Item        items[64];
static size_t      item_count;
static uint64_t    revision = 100;
static Client      clients[HTTP_MAX];
static size_t      client_count;
static Host        hosts[HOSTS];
static Instance    instances[INSTANCES_MAX];
static Flow        flows[FLOWS_MAX];
static uint32_t    flow_count;
static int         store_fd;
static int         caller_fd;
static uint64_t    start_us;

static uint64_t
get_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

static void __attribute__ ((format (printf, 1, 2)))
note (const char *format, ...)
{
  va_list arguments;

  fprintf (record, "%9.3f ", (double)(get_now_us () - start_us) / 1e6);
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
}

static struct sockaddr_in
make_address (int last, int to_port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)to_port) };
  char               text[64];

  snprintf (text, sizeof text, "%s.%d", net, last);
  if (inet_pton (AF_INET, text, &address.sin_addr) != 1)
    exit (2);
  return address;
}

static int
open_socket (int type, int last)
{
  struct sockaddr_in address = make_address (last, port);
  int                fd = socket (AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int                on = 1;

  if (type == SOCK_STREAM)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0 ||
      (type == SOCK_STREAM && listen (fd, 64) != 0))
    {
      fprintf (stderr, "world: cannot open %s.%d:%u: %s\n", net, last, port, strerror (errno));
      exit (2);
    }
  return fd;
}

/* The store. */

static void
encode_base64 (const char *text, char *out)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t            size = strlen (text);

  for (size_t i = 0; i < size; i += 3)
    {
      uint32_t bits = (uint32_t)(uint8_t)text[i] << 16;

      if (i + 1 < size)
        bits |= (uint32_t)(uint8_t)text[i + 1] << 8;
      if (i + 2 < size)
        bits |= (uint8_t)text[i + 2];
      *out++ = digits[bits >> 18];
      *out++ = digits[bits >> 12 & 63];
      *out++ = i + 1 < size ? digits[bits >> 6 & 63] : '=';
      *out++ = i + 2 < size ? digits[bits & 63] : '=';
    }
  *out = '\0';
}

static void
put_item (const char *key, const char *value)
{
  size_t i = 0;

  while (i < item_count && strcmp (items[i].key, key) != 0)
    i++;
  if (i == item_count)
    item_count++;
  snprintf (items[i].key, sizeof items[i].key, "%s", key);
  snprintf (items[i].value, sizeof items[i].value, "%s", value ? value : "");
  items[i].deleted = !value;
  items[i].revision = ++revision;
}

static void
respond (Client *client, bool is_range)
{
  static char body[256 * 1024];
  char        head[160];
  char        value[4096];
  size_t      used = (size_t)snprintf (body, sizeof body, "{\"%s\":[", is_range ? "items" : "events");
  bool        is_first = true;

  for (size_t i = 0; i < item_count; i++)
    {
      const Item *item = &items[i];

      if (is_range ? item->deleted : item->revision <= client->after)
        continue;
      encode_base64 (item->value, value);
      used += (size_t)snprintf (body + used, sizeof body - used, "%s{\"key\":\"%s\",\"mod-rev\":%" PRIu64,
                                is_first ? "" : ",", item->key, item->revision);
      used += item->deleted ? (size_t)snprintf (body + used, sizeof body - used, ",\"deleted\":true}")
                            : (size_t)snprintf (body + used, sizeof body - used,
                                                ",\"value\":\"%s\",\"create-rev\":1,\"lease\":0}", value);
      is_first = false;
    }
  used += (size_t)snprintf (body + used, sizeof body - used, "]%s,\"as-of\":%" PRIu64 "}",
                            is_range ? ",\"has-more\":false" : "", revision);
  snprintf (head, sizeof head, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n", used);
  (void)send (client->fd, head, strlen (head), MSG_NOSIGNAL);
  (void)send (client->fd, body, used, MSG_NOSIGNAL);
  client->deadline_us = 0;
}

/* Return: false when the connection is closed. */
static bool
read_client (Client *client)
{
  ssize_t     size = recv (client->fd, client->request + client->used, sizeof client->request - 1 - client->used, 0);
  const char *text;

  if (size <= 0)
    return size < 0 && errno == EAGAIN;
  client->used += (size_t)size;
  client->request[client->used] = '\0';
  if (!strstr (client->request, "\r\n\r\n"))
    return true;
  client->used = 0;
  if (strncmp (client->request, "GET /v1/kv-range", 16) == 0)
    {
      respond (client, true);
      return true;
    }
  text = strstr (client->request, "after=");
  client->after = text ? strtoull (text + 6, NULL, 10) : 0;
  text = strstr (client->request, "wait-ms=");
  client->deadline_us = get_now_us () + (text ? strtoull (text + 8, NULL, 10) : 0) * 1000;
  return true;
}

static void
run_store (void)
{
  uint64_t now_us = get_now_us ();
  int      fd;

  while (client_count < HTTP_MAX && (fd = accept4 (store_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    clients[client_count++] = (Client){ .fd = fd };
  for (size_t i = client_count; i > 0; i--)
    {
      Client *client = &clients[i - 1];

      if (client->deadline_us > 0 && (revision > client->after || now_us >= client->deadline_us))
        respond (client, false);
      if (read_client (client))
        continue;
      close (client->fd);
      *client = clients[--client_count];
    }
}

static void
put_host (Host *host)
{
  uint64_t now_us = get_now_us ();
  int      index = (int)(host - hosts);
  char     key[64];
  char     value[512];
  uint64_t left_ms = host->cold_until_us > now_us ? (host->cold_until_us - now_us) / 1000 : 0;

  snprintf (key, sizeof key, "servers/i-%010" PRIx64, host->id);
  snprintf (value, sizeof value,
            "{\"service\":\"desk\",\"address\":\"%s.%d:%u\",\"zone\":\"zone-%d\",\"version\":\"v1\",\"slots\":2,"
            "\"state\":\"ready\",\"warmup-left-ms\":%" PRIu64 ",\"seq\":%" PRIu64 ",\"born\":1700000000000}",
            net, 100 + index, port, index % ZONES, left_ms, ++host->sequence);
  put_item (key, value);
}

/* Hosts write about every HEARTBEAT_MS, if more than "seq" has changed. */
static void
run_heartbeats (void)
{
  uint64_t now_us = get_now_us ();

  for (int i = 0; i < HOSTS; i++)
    {
      Host *host = &hosts[i];
      bool  was_cold = host->cold_since_us > 0;

      if (now_us < host->beat_us)
        continue;
      host->beat_us += HEARTBEAT_MS * 1000;
      if (!was_cold)
        continue;
      if (host->cold_until_us <= now_us)
        host->cold_since_us = 0;
      put_host (host);
      note ("host %d writes its entry, %s", i, host->cold_until_us > now_us ? "cold" : "warm");
    }
}

/* Packets. */

static uint32_t
read_be (const uint8_t *bytes, int count)
{
  uint32_t value = 0;

  for (int i = 0; i < count; i++)
    value = value << 8 | bytes[i];
  return value;
}

static void
write_be (uint8_t *bytes, int count, uint32_t value)
{
  for (int i = count; i > 0; i--, value >>= 8)
    bytes[i - 1] = (uint8_t)value;
}

/* @is_caller: the packet is sent by the caller. */
static size_t
make_packet (uint8_t *out, uint32_t flow, bool is_caller, uint32_t cookie, int flags, uint32_t sequence, uint32_t ack,
             const char *data)
{
  uint32_t caller_ip = ntohl (make_address (2, port).sin_addr.s_addr);
  uint16_t caller_port = (uint16_t)(FIRST_PORT + flow);
  size_t   size = strlen (data);

  memset (out, 0, HEADER_BYTES);
  write_be (out, 2, (uint32_t)size);
  write_be (out + 2, 4, cookie);
  write_be (out + 6, 2, is_caller ? ROUTE_PORT : caller_port);
  write_be (out + 8, 2, is_caller ? caller_port : ROUTE_PORT);
  write_be (out + 10, 4, is_caller ? ROUTE_IP : caller_ip);
  write_be (out + 14, 4, is_caller ? caller_ip : ROUTE_IP);
  out[18] = (uint8_t)flags;
  write_be (out + 23, 4, sequence);
  write_be (out + 27, 4, ack);
  memcpy (out + HEADER_BYTES, data, size);
  return HEADER_BYTES + size;
}

static uint64_t
mix (uint64_t value)
{
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdull;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ull;
  return value ^ value >> 33;
}

/* The router of the callers' zone: the nodes in rotation, or all if fewer than half are; "steady". */
static int
choose_instance (uint32_t flow)
{
  int      zone = (int)(flow % ZONES);
  int      usable = 0;
  int      count = 0;
  int      chosen = -1;
  uint64_t best = 0;

  for (int i = zone; i < instance_count; i += ZONES)
    {
      count++;
      usable += instances[i].in_rotation;
    }
  for (int i = zone; i < instance_count; i += ZONES)
    {
      uint64_t rank = mix ((uint64_t)flow << 8 | (uint64_t)i) | 1;

      if ((usable * 2 < count || instances[i].in_rotation) && rank > best)
        {
          best = rank;
          chosen = i;
        }
    }
  return chosen;
}

static void
send_from_caller (uint32_t flow, int flags, uint32_t sequence, uint32_t ack, const char *data)
{
  uint8_t            packet[PACKET_MAX_BYTES];
  size_t             size = make_packet (packet, flow, true, flows[flow].cookie, flags, sequence, ack, data);
  struct sockaddr_in address = make_address (10 + choose_instance (flow), port);

  (void)sendto (caller_fd, packet, size, 0, (struct sockaddr *)&address, sizeof address);
}

static void
receive_at_caller (void)
{
  uint8_t packet[PACKET_MAX_BYTES];
  ssize_t size;

  while ((size = recv (caller_fd, packet, sizeof packet, 0)) >= HEADER_BYTES)
    {
      uint32_t index = read_be (packet + 6, 2) - FIRST_PORT;
      Flow    *flow = &flows[index];
      uint32_t sequence = read_be (packet + 23, 4);

      if (index >= flow_count)
        continue;
      if (packet[18] & RST)
        {
          if (flow->state == OPENING)
            flow->state = REFUSED;
          else if (flow->state == OPEN && (packet[19] | packet[20] | packet[21] | packet[22]) == 0)
            flow->state = FAILED;
          continue;
        }
      flow->cookie = read_be (packet + 2, 4);
      if (flow->state == OPENING && (packet[18] & (SYN | ACK)) == (SYN | ACK))
        {
          flow->state = OPEN;
          flow->host_sequence = sequence;
          flow->due_us = get_now_us () + 200 * 1000;
          send_from_caller (index, ACK, flow->sequence + 1, sequence + 1, "GET / HTTP/1.1\r\n\r\n");
        }
      else if (flow->state == OPEN && !(packet[18] & SYN) && read_be (packet, 2) > 0)
        {
          flow->state = DONE;
          send_from_caller (index, ACK | FIN, flow->sequence + 19, sequence + read_be (packet, 2) + 1, "");
        }
    }
}

static void
run_callers (uint64_t *next_us, uint32_t rate)
{
  uint64_t now_us = get_now_us ();

  for (; *next_us <= now_us && flow_count < FLOWS_MAX - FIRST_PORT; *next_us += 1000 * 1000 / rate)
    {
      Flow *flow = &flows[flow_count];

      *flow = (Flow){ .sent_us = now_us, .due_us = now_us + 200 * 1000, .sequence = (uint32_t)mix (flow_count + 7),
                      .host = -1, .candidate = -1 };
      send_from_caller (flow_count++, SYN, flow->sequence, 0, "");
    }
  for (uint32_t i = flow_count > 4000 ? flow_count - 4000 : 0; i < flow_count; i++)
    {
      Flow *flow = &flows[i];

      if (flow->state > OPEN || now_us < flow->due_us)
        continue;
      if (flow->state == OPENING && flow->copies == 2)
        flow->state = FAILED;
      else if (flow->state == OPENING)
        {
          flow->copies++;
          flow->due_us = flow->sent_us + (flow->copies == 1 ? 600 : 1400) * 1000;
          send_from_caller (i, SYN, flow->sequence, (uint32_t)flow->copies, "");
        }
      else if (now_us > flow->sent_us + 3000 * 1000)
        flow->state = FAILED;
      else
        {
          flow->due_us = now_us + 400 * 1000;
          send_from_caller (i, ACK, flow->sequence + 1, flow->host_sequence + 1, "GET / HTTP/1.1\r\n\r\n");
        }
    }
}

static void
send_from_host (const Host *host, uint32_t flow, uint32_t cookie, int flags, uint32_t sequence, uint32_t ack,
                const char *data)
{
  uint8_t            packet[PACKET_MAX_BYTES];
  size_t             size = make_packet (packet, flow, false, cookie, flags, sequence, ack, data);
  struct sockaddr_in address = make_address (2, port);

  /* The key of the sum is not disclosed; anything but 0 tells the packet from a reset of the system. */
  write_be (packet + 19, 4, 1);
  (void)sendto (host->fd, packet, size, 0, (struct sockaddr *)&address, sizeof address);
}

static void
receive_at_host (Host *host)
{
  uint8_t data[PACKET_MAX_BYTES + 8];
  ssize_t size;

  while ((size = recv (host->fd, data, sizeof data, 0)) >= HEADER_BYTES + 8)
    {
      const uint8_t *packet = data + 8;
      uint64_t       id = (uint64_t)read_be (data, 4) << 32 | read_be (data + 4, 4);
      uint32_t       index = read_be (packet + 8, 2) - FIRST_PORT;
      uint32_t       cookie = read_be (packet + 2, 4);
      uint32_t       sequence = read_be (packet + 23, 4);
      Flow          *flow = &flows[index];
      uint32_t       own = (uint32_t)mix ((uint64_t)index << 8 | (uint64_t)(host - hosts));

      if ((id != 0 && id != host->id) || index >= flow_count)
        continue;
      if (packet[18] & SYN)
        {
          flow->candidate = (int)(host - hosts);
          flow->arrived_us = get_now_us ();
          send_from_host (host, index, cookie, SYN | ACK, own, sequence + 1, "");
        }
      else if (read_be (packet + 27, 4) - own > 1 << 20)
        send_from_host (host, index, cookie, RST, read_be (packet + 27, 4), 0, "");
      else if (read_be (packet, 2) > 0)
        {
          if (flow->host < 0)
            {
              flow->host = (int)(host - hosts);
              host->opened++;
              if (get_now_us () < host->cold_until_us)
                note ("host %d, cold, takes flow %u, sent %.3f, arrived %.3f, through instance %d", flow->host, index,
                      (double)(flow->sent_us - start_us) / 1e6, (double)(flow->arrived_us - start_us) / 1e6,
                      choose_instance (index));
            }
          send_from_host (host, index, cookie, ACK | FIN, own + 1, sequence + read_be (packet, 2),
                          "HTTP/1.1 200 OK\r\n\r\n");
        }
    }
}

/* Readiness. */

static void
end_probe (int index, bool is_ready)
{
  Instance *instance = &instances[index];
  bool      before = instance->in_rotation;

  close (instance->probe);
  instance->probe = -1;
  instance->misses = is_ready ? 0 : instance->misses + 1;
  if (is_ready)
    instance->in_rotation = true;
  else if (instance->misses >= 2)
    instance->in_rotation = false;
  if (before != instance->in_rotation)
    note ("instance %d %s rotation", index, before ? "leaves" : "enters");
}

static void
run_probes (void)
{
  uint64_t now_us = get_now_us ();

  for (int i = 0; i < instance_count; i++)
    {
      Instance          *instance = &instances[i];
      struct sockaddr_in address = make_address (10 + i, port + 1);
      char               answer[512] = "";

      if (instance->probe < 0 && now_us >= instance->probe_us)
        {
          instance->probe_us += PROBE_MS * 1000;
          instance->asked = false;
          instance->probe = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
          if (connect (instance->probe, (struct sockaddr *)&address, sizeof address) != 0 && errno != EINPROGRESS)
            end_probe (i, false);
        }
      if (instance->probe < 0)
        continue;
      if (!instance->asked)
        {
          static const char request[] = "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n";

          instance->asked = send (instance->probe, request, sizeof request - 1, MSG_NOSIGNAL) > 0;
          if (!instance->asked && errno != EAGAIN && errno != ENOTCONN)
            end_probe (i, false);
        }
      else if (recv (instance->probe, answer, sizeof answer - 1, 0) > 0)
        end_probe (i, strstr (answer, " 200 ") != NULL);
      else if (errno != EAGAIN)
        end_probe (i, false);
      if (instance->probe >= 0 && now_us + 50 * 1000 >= instance->probe_us)
        end_probe (i, false);
    }
}

/* Commands. */

static void
set_cold (int zone)
{
  uint64_t now_us = get_now_us ();

  for (int i = zone; i < HOSTS; i += ZONES)
    {
      hosts[i].cold_since_us = now_us;
      hosts[i].cold_until_us = now_us + WARM_UP_MS * 1000;
    }
}

static bool
run_command (char *line)
{
  char key[64];
  int  zone = 0;

  line[strcspn (line, "\n")] = '\0';
  note ("%s", line);
  if (sscanf (line, "evacuate %d", &zone) == 1 || sscanf (line, "take-back %d", &zone) == 1)
    {
      snprintf (key, sizeof key, "op/evacuate/zone-%d", zone);
      put_item (key, line[0] == 'e' ? "{}" : NULL);
      if (line[0] == 't')
        set_cold (zone);
    }
  return strcmp (line, "end") != 0;
}

/* Return: the most flows that a host got in a second in which it was cold; only what was sent and arrived in it counts. */
static uint32_t
find_most (int host, uint64_t since_us, uint64_t until_us)
{
  uint32_t most = 0;

  for (uint32_t first = 0; first < flow_count; first++)
    {
      uint64_t from_us = flows[first].sent_us;
      uint32_t count = 0;

      if (flows[first].host != host || from_us < since_us || from_us >= until_us)
        continue;
      for (uint32_t i = 0; i < flow_count; i++)
        count += flows[i].host == host && flows[i].sent_us >= from_us && flows[i].arrived_us >= since_us &&
                 flows[i].arrived_us < until_us && flows[i].arrived_us <= from_us + WINDOW_US;
      most = count > most ? count : most;
    }
  return most;
}

static int
check (void)
{
  uint32_t states[FAILED + 1] = { 0 };
  bool     is_broken = false;

  for (uint32_t i = 0; i < flow_count; i++)
    states[flows[i].state]++;
  note ("flows: %u answered, %u refused, %u failed, %u not ended", states[DONE], states[REFUSED], states[FAILED],
        states[OPENING] + states[OPEN]);
  for (int i = 0; i < HOSTS; i++)
    {
      uint32_t most;

      if (hosts[i].cold_until_us == 0)
        continue;
      most = find_most (i, hosts[i].cold_until_us - WARM_UP_MS * 1000, hosts[i].cold_until_us);
      note ("host %d, cold: at most %u flows in a second, limit %d", i, most, LIMIT);
      is_broken = is_broken || most > LIMIT;
    }
  note (is_broken ? "broken" : "held");
  return is_broken;
}

int
main (int argc, char **argv)
{
  uint32_t rate = argc == 6 ? (uint32_t)atoi (argv[4]) : 0;
  uint64_t next_us;
  char     line[256];

  if (rate == 0 || !(record = fopen (argv[5], "w")))
    return 2;
  net = argv[1];
  port = (uint16_t)atoi (argv[2]);
  instance_count = atoi (argv[3]);
  start_us = get_now_us ();
  store_fd = open_socket (SOCK_STREAM, 1);
  caller_fd = open_socket (SOCK_DGRAM, 2);
  put_item ("op/config",
            "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"127.200.0.1\",\"prefix\":\"/443/\",\"kind\":\"safe\","
            "\"timeout-ms\":4000,\"target-latency-ms\":600,\"priority\":2,\"service\":\"desk\",\"max-attempts\":2}],"
            "\"services\":[{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":2000,\"warmup-s\":2.0,"
            "\"warmup-per-s\":4.0}],\"limits\":{\"idle-timeout-ms\":15000}}");
  for (int i = 0; i < HOSTS; i++)
    {
      hosts[i] = (Host){ .fd = open_socket (SOCK_DGRAM, 100 + i), .id = mix ((uint64_t)i + 1) >> 24 | 1,
                         .beat_us = start_us + (uint64_t)(HEARTBEAT_MS * 1000 / HOSTS * i) };
      put_host (&hosts[i]);
    }
  for (int i = 0; i < instance_count; i++)
    instances[i] = (Instance){ .probe = -1, .probe_us = start_us + (uint64_t)(PROBE_MS * 1000 / instance_count * i) };
  fcntl (STDIN_FILENO, F_SETFL, O_NONBLOCK);
  next_us = start_us + 3000 * 1000;
  for (size_t used = 0;;)
    {
      struct pollfd fds[HOSTS + 3];
      ssize_t       size = read (STDIN_FILENO, line + used, sizeof line - 1 - used);
      char         *end;

      if (size == 0)
        return 2;
      used += size > 0 ? (size_t)size : 0;
      line[used] = '\0';
      while ((end = strchr (line, '\n')) != NULL)
        {
          *end = '\0';
          if (!run_command (line))
            return check ();
          memmove (line, end + 1, strlen (end + 1) + 1);
          used = strlen (line);
        }
      run_heartbeats ();
      run_store ();
      run_probes ();
      run_callers (&next_us, rate);
      for (int i = 0; i < HOSTS; i++)
        receive_at_host (&hosts[i]);
      receive_at_caller ();
      for (int i = 0; i < HOSTS; i++)
        fds[i] = (struct pollfd){ .fd = hosts[i].fd, .events = POLLIN };
      fds[HOSTS] = (struct pollfd){ .fd = caller_fd, .events = POLLIN };
      fds[HOSTS + 1] = (struct pollfd){ .fd = STDIN_FILENO, .events = POLLIN };
      fds[HOSTS + 2] = (struct pollfd){ .fd = store_fd, .events = POLLIN };
      poll (fds, HOSTS + 3, 1);
    }
}
