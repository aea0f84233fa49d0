#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

#include "edge/socket_address.h"
#include "emulator/flow_wire.h"
#include "packet_wire.h"

enum
{
  ROUTE_IP = 0xc6120001,
  ATTEMPTS = 3,
  OPENING_TIMEOUT_US = 1400 * 1000,
  REQUEST_TIMEOUT_US = 2500 * 1000,
  REQUEST_TEXT_BYTES = 160,
  DATAGRAM_BYTES = 2048
};

/* Times of the retransmissions after the first transmission. */
static const double REMOVED_ROUTE_SHARE = 0.08;

static const uint64_t RETRANSMIT_US[] = { 200 * 1000, 600 * 1000, 1400 * 1000, 3000 * 1000 };

typedef enum
{
  USER_IDLE = 0,
  USER_OPENING,
  USER_REQUESTING
} UserState;

/*
 * A user of a caller, with one flow at a time.
 * @host_id: identifier of the flow's host; 0 without an open flow.
 * @due_us: when the next request starts.
 * @is_recovery: the request started in the recovery phase, after the end of all faults.
 */
typedef struct
{
  struct Caller   *caller;
  UserState        state;
  const SoakRoute *route;
  WcFlowKey        key;
  uint32_t         cookie;
  uint32_t         sequence;
  uint32_t         acknowledged;
  uint64_t         host_id;
  SoakHost        *host;
  uint64_t         request_id;
  uint64_t         request_start_us;
  uint64_t         sent_us;
  uint32_t         retransmits;
  uint32_t         attempts;
  uint64_t         due_us;
  bool             is_recovery;
} User;

typedef struct Caller
{
  Soak    *soak;
  uint32_t ip;
  uint16_t next_port;
  int      fd;
  ev_io    readable;
  User     users[SOAK_USERS];
} Caller;

static void             readable (struct ev_loop *loop, ev_io *watcher, int events);
static void             receive (User *user, const WcPacket *packet, SoakHost *host);
static void             check_host_reset (const User *user, const SoakHost *host);
static void             receive_system_reset (User *user, const WcPacket *packet, const SoakInstance *instance);
static User            *find_user (Caller *caller, const WcPacket *packet);
static void             start_request (User *user);
static const SoakRoute *pick_route (Soak *soak);
static void             open_flow (User *user);
static void             step (User *user);
static void             attempt_failed (User *user, bool may_have_run);
static void             end_request (User *user, bool done);
static void             close_flow (User *user);
static void             send_request (User *user);
static void send_packet (User *user, uint8_t flags, uint32_t sequence, uint32_t acknowledged, const void *data,
                         uint16_t data_bytes);
static void free_caller (gpointer data);

bool
soak_callers_start (Soak *soak)
{
  soak->callers = g_ptr_array_new_with_free_func (free_caller);
  for (int i = 0; i < SOAK_CALLERS; i++)
    {
      Caller   *caller = g_new0 (Caller, 1);
      WcAddress address = soak_address (soak, SOAK_SUBNET_CALLERS, i, soak->port);
      WcError   error;

      caller->soak = soak;
      caller->ip =
          (uint32_t)address.ip[0] << 24 | (uint32_t)address.ip[1] << 16 | (uint32_t)address.ip[2] << 8 | address.ip[3];
      caller->next_port = 1024;
      caller->fd = wc_socket_open_udp (&address, false, &error);
      if (caller->fd < 0)
        {
          fprintf (stderr, "soak: %s\n", error.message);
          g_free (caller);
          return false;
        }
      ev_io_init (&caller->readable, readable, caller->fd, EV_READ);
      caller->readable.data = caller;
      ev_io_start (soak->loop, &caller->readable);
      for (int u = 0; u < SOAK_USERS; u++)
        {
          caller->users[u].caller = caller;
          caller->users[u].due_us = soak->now_us + (uint64_t)soak_random_range (soak, 1000e3, 1500e3);
        }
      g_ptr_array_add (soak->callers, caller);
    }
  return true;
}

void
soak_callers_tick (Soak *soak)
{
  for (guint i = 0; i < soak->callers->len; i++)
    for (int u = 0; u < SOAK_USERS; u++)
      step (&((Caller *)soak->callers->pdata[i])->users[u]);
}

void
soak_callers_stop (Soak *soak)
{
  if (soak->callers)
    g_ptr_array_free (soak->callers, TRUE);
}

/* local functions */

static void
readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  Caller                 *caller = watcher->data;
  Soak                   *soak = caller->soak;
  uint8_t                 data[DATAGRAM_BYTES];
  struct sockaddr_storage from;
  socklen_t               length = sizeof from;
  ssize_t                 size = recvfrom (caller->fd, data, sizeof data, 0, (struct sockaddr *)&from, &length);
  WcAddress               address;
  WcPacket                packet;
  SoakInstance           *instance;
  User                   *user;

  (void)loop;
  (void)events;
  if (size <= 0 || !wc_socket_address_from_sockaddr (&from, &address) ||
      !wc_packet_wire_decode (data, (size_t)size, &packet))
    return;
  instance = soak_instance_find (soak, &address);
  user = find_user (caller, &packet);
  if (instance && !wc_flow_wire_is_system_reset (data, (size_t)size))
    soak_report_violation (soak, "unchanged packets", "instance %d sent a caller a packet other than a reset",
                           instance->number);
  else if (instance && user)
    receive_system_reset (user, &packet, instance);
  else if (!instance && user)
    for (int i = 0; i < SOAK_HOSTS; i++)
      if (wc_address_equal (&soak->hosts[i].address, &address))
        receive (user, &packet, &soak->hosts[i]);
}

static void
receive (User *user, const WcPacket *packet, SoakHost *host)
{
  if (packet->flags & WC_PACKET_RST)
    {
      if (user->state != USER_OPENING && user->host_id != 0 && user->host_id != host->id)
        check_host_reset (user, host);
      if (user->state == USER_OPENING || user->host_id != 0)
        attempt_failed (user, user->state == USER_REQUESTING);
      return;
    }
  user->cookie = packet->cookie;
  if (user->state == USER_OPENING && (packet->flags & WC_PACKET_SYN))
    {
      user->acknowledged = packet->sequence;
      user->host_id = host->id;
      user->host = host;
      user->state = USER_REQUESTING;
      user->sent_us = user->caller->soak->now_us;
      user->retransmits = 0;
      send_request (user);
      return;
    }
  if (host->id != user->host_id || packet->data_bytes == 0 || packet->sequence != user->acknowledged)
    return;
  user->acknowledged += packet->data_bytes;
  user->sequence = packet->acknowledged;
  send_packet (user, WC_PACKET_ACK, user->sequence, user->acknowledged, NULL, 0);
  if (packet->flags & WC_PACKET_FIN)
    close_flow (user);
  if (user->state == USER_REQUESTING)
    end_request (user, true);
}

/* A host resets what it does not hold, so that an open flow must not reach another host than its own. */
static void
check_host_reset (const User *user, const SoakHost *host)
{
  Soak *soak = user->caller->soak;
  bool  is_stable = soak_is_stable (soak);

  /* A flow whose host has not received the end of the handshake is not open. */
  if (!soak_host_has_open_flow (user->host, user->host_id, &user->key))
    return;
  soak->counts.foreign_resets++;
  soak_trace (soak, "host %d reset flow %u>%u, which is open at host %d", host->number, user->key.caller_port,
              user->key.route_port, user->host->number);
  for (int i = 0; i < SOAK_INSTANCES; i++)
    is_stable = is_stable && soak_instance_is_stable (&soak->instances[i]);
  if (is_stable && user->host->state != SOAK_HOST_UNRESPONSIVE &&
      soak->now_us > user->host->faults_end_us + SOAK_STABLE_US && soak->now_us > host->faults_end_us + SOAK_STABLE_US)
    soak_report_violation (soak, "open flows", "host %d reset a flow that is open at host %d, which is serving",
                           host->number, user->host->number);
}

/* A system reset may end an open flow only if its host or a link has a fault or its route was removed. */
static void
receive_system_reset (User *user, const WcPacket *packet, const SoakInstance *instance)
{
  Soak *soak = user->caller->soak;
  bool  is_open = user->host_id != 0;

  soak->counts.system_resets++;
  soak->counts.checked_resets += soak_instance_is_stable (instance) && soak_is_stable (soak);
  if (is_open && (int32_t)(packet->sequence - user->acknowledged) > SOAK_RESET_WINDOW)
    soak_report_violation (soak, "resets", "instance %d sent a reset with a sequence number outside the flow's window",
                           instance->number);
  if (is_open && user->host->id == user->host_id && user->host->state != SOAK_HOST_UNRESPONSIVE &&
      user->route->exists && soak->now_us > user->host->faults_end_us + SOAK_STABLE_US &&
      soak->now_us > user->route->changed_us + SOAK_STABLE_US && soak_instance_is_stable (instance) &&
      soak_is_stable (soak))
    soak_report_violation (soak, "open flows", "instance %d reset a flow to host %d, which is serving",
                           instance->number, user->host->number);
  if (!is_open && user->state == USER_OPENING && user->route->exists && soak_instance_is_stable (instance) &&
      soak_is_stable (soak) && soak->now_us > user->route->changed_us + SOAK_APPLY_US &&
      !soak_evacuation_may_reject (soak, user->route->service))
    soak_report_violation (soak, "configuration",
                           "instance %d rejects an opening packet of route %u, which was added %.1f s ago",
                           instance->number, user->route->port, (double)(soak->now_us - user->route->changed_us) / 1e6);
  attempt_failed (user, is_open && user->state == USER_REQUESTING);
}

/* Packets to a caller have the caller's port as destination, which is in the route's field of the key. */
static User *
find_user (Caller *caller, const WcPacket *packet)
{
  for (int u = 0; u < SOAK_USERS; u++)
    if (caller->users[u].key.caller_port == packet->key.route_port && caller->users[u].key.caller_port != 0)
      return &caller->users[u];
  return NULL;
}

static void
step (User *user)
{
  Soak *soak = user->caller->soak;

  if (user->state == USER_IDLE)
    {
      if (soak->now_us >= user->due_us)
        start_request (user);
      return;
    }
  if (user->state == USER_REQUESTING && soak->now_us >= user->request_start_us + REQUEST_TIMEOUT_US)
    {
      close_flow (user);
      end_request (user, false);
    }
  else if (user->state == USER_OPENING && soak->now_us >= user->sent_us + OPENING_TIMEOUT_US)
    attempt_failed (user, false);
  else if (soak->now_us >= user->sent_us + RETRANSMIT_US[user->retransmits])
    {
      user->retransmits++;
      if (user->state == USER_OPENING)
        send_packet (user, WC_PACKET_SYN, user->sequence - 1, user->retransmits, NULL, 0);
      else
        send_request (user);
    }
}

static void
start_request (User *user)
{
  Soak *soak = user->caller->soak;

  user->request_id = ((uint64_t)g_rand_int (soak->random) << 32 | g_rand_int (soak->random)) | 1;
  user->request_start_us = soak->now_us;
  user->attempts = 0;
  user->is_recovery = soak->recovery_start_us > 0 && soak->now_us > soak->recovery_start_us + SOAK_STABLE_US;
  soak->counts.requests++;
  soak->counts.recovery_requests += user->is_recovery;
  if (user->host_id != 0 && user->route->exists)
    {
      user->state = USER_REQUESTING;
      user->sent_us = soak->now_us;
      user->retransmits = 0;
      send_request (user);
      return;
    }
  user->route = pick_route (soak);
  open_flow (user);
}

/* Some requests use a removed route, to see whether an instance goes back to a configuration that had it. */
static const SoakRoute *
pick_route (Soak *soak)
{
  bool may_be_removed = soak->recovery_start_us == 0 && soak_random_range (soak, 0, 1) < REMOVED_ROUTE_SHARE;
  const SoakRoute *route;

  do
    route = &soak->routes[(int)soak_random_range (soak, 0, SOAK_ROUTES)];
  while (!route->exists && !may_be_removed);
  return route;
}

static void
open_flow (User *user)
{
  Soak               *soak = user->caller->soak;
  const SoakInstance *instance;

  close_flow (user);
  user->attempts++;
  user->key = (WcFlowKey){ user->caller->ip, ROUTE_IP, user->caller->next_port++, user->route->port };
  instance = soak_instance_pick (soak, &user->key);
  soak->counts.checked_rollbacks +=
      instance && !user->route->exists && user->route->changed_version <= instance->shown_version;
  if (user->caller->next_port < 1024)
    user->caller->next_port = 1024;
  user->cookie = 0;
  user->sequence = g_rand_int (soak->random);
  user->state = USER_OPENING;
  user->sent_us = soak->now_us;
  user->retransmits = 0;
  send_packet (user, WC_PACKET_SYN, user->sequence, 0, NULL, 0);
  user->sequence++;
}

static void
attempt_failed (User *user, bool may_have_run)
{
  close_flow (user);
  if (user->state == USER_IDLE)
    return;
  if (user->attempts >= ATTEMPTS || (may_have_run && user->route->is_once) || !user->route->exists)
    end_request (user, false);
  else
    open_flow (user);
}

static void
end_request (User *user, bool done)
{
  Soak *soak = user->caller->soak;

  soak->counts.done += done;
  soak->counts.failed += !done;
  soak->counts.recovery_done += done && user->is_recovery;
  user->state = USER_IDLE;
  user->due_us = soak->now_us + (uint64_t)(user == user->caller->users ? soak_random_range (soak, 5000e3, 9000e3)
                                                                       : soak_random_range (soak, 50e3, 300e3));
  if (done && user->host_id != 0 && soak_random_range (soak, 0, 1) < 0.3)
    {
      send_packet (user, WC_PACKET_ACK | WC_PACKET_FIN, user->sequence, user->acknowledged, NULL, 0);
      close_flow (user);
    }
}

static void
close_flow (User *user)
{
  user->host_id = 0;
  user->host = NULL;
}

static void
send_request (User *user)
{
  char text[REQUEST_TEXT_BYTES] = { 0 };

  g_snprintf (text, sizeof text, "POST / HTTP/1.1\r\nX-Wigeoncart-Request-Id: %016" G_GINT64_MODIFIER "x\r\n\r\n",
              user->request_id);
  send_packet (user, WC_PACKET_ACK, user->sequence, user->acknowledged, text, sizeof text);
}

static void
send_packet (User *user, uint8_t flags, uint32_t sequence, uint32_t acknowledged, const void *data, uint16_t data_bytes)
{
  Soak               *soak = user->caller->soak;
  const SoakInstance *instance = soak_instance_pick (soak, &user->key);
  const WcPacket      packet = {
         .key = user->key,
         .cookie = flags & WC_PACKET_SYN ? 0 : user->cookie,
         .sequence = sequence,
         .acknowledged = acknowledged,
         .data_bytes = data_bytes,
         .flags = flags,
  };
  uint8_t                 out[WC_FLOW_WIRE_MAX_BYTES];
  size_t                  size = wc_flow_wire_write (&packet, data, out);
  struct sockaddr_storage storage;
  socklen_t               length;

  if (!instance || soak_random_range (soak, 0, 1) < soak->loss)
    return;
  length = wc_socket_address_to_sockaddr (&instance->packets, &storage);
  (void)sendto (user->caller->fd, out, size, 0, (struct sockaddr *)&storage, length);
}

static void
free_caller (gpointer data)
{
  Caller *caller = data;

  ev_io_stop (caller->soak->loop, &caller->readable);
  close (caller->fd);
  g_free (caller);
}
