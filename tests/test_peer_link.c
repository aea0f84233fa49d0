#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

#include "core/peer_session.h"
#include "edge/log.h"
#include "edge/peer_link.h"

#include "test_main.h"

enum
{
  DOMAIN_ID = 5
};

typedef struct
{
  WcPeerLinks *links;
  WcCounters   counters;
  WcMember     member;
  bool         blocked;
  unsigned     ups;
  unsigned     downs;
  unsigned     frames;
  size_t       content_bytes;
} Endpoint;

static uint8_t fleet_key[WC_KEY_BYTES] = { 1 };
static uint8_t other_key[WC_KEY_BYTES] = { 2 };

static void
on_up (void *user_data, uint64_t peer, uint64_t incarnation, uint32_t domain, const char *name)
{
  (void)peer;
  (void)incarnation;
  (void)name;
  ck_assert_uint_eq (domain, DOMAIN_ID);
  ((Endpoint *)user_data)->ups++;
}

static void
on_down (void *user_data, uint64_t peer)
{
  (void)peer;
  ((Endpoint *)user_data)->downs++;
}

static void
on_receive (void *user_data, uint64_t peer, const Wc__PeerFrame *frame)
{
  Endpoint *end = user_data;

  (void)peer;
  end->frames++;
  end->content_bytes += frame->content.len;
}

static bool
on_is_blocked (void *user_data, uint32_t domain)
{
  return ((Endpoint *)user_data)->blocked && domain == DOMAIN_ID;
}

static const WcPeerLinkOps OPS = {
  .up = on_up,
  .down = on_down,
  .receive = on_receive,
  .is_blocked = on_is_blocked,
};

/* Returns a TCP port of the loopback address that is free at the time of the call. */
static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t          length = sizeof address;
  int                descriptor = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (bind (descriptor, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (getsockname (descriptor, (struct sockaddr *)&address, &length), 0);
  close (descriptor);
  return ntohs (address.sin_port);
}

static void
endpoint_open (Endpoint *end, struct ev_loop *loop, uint64_t id, uint64_t incarnation, const uint8_t *key)
{
  WcPeerLinkConfig config = { 0 };
  WcError          error;

  if (end->member.address.port == 0)
    end->member.address.port = free_port ();
  end->member.id = id;
  end->member.incarnation = incarnation;
  end->member.domain = DOMAIN_ID;
  end->member.workers = 1;
  end->member.address.family = 4;
  end->member.address.ip[0] = 127;
  end->member.address.ip[3] = 1;
  config.instance = id;
  config.incarnation = incarnation;
  config.domain = DOMAIN_ID;
  config.name = "end";
  config.address = end->member.address;
  config.fleet_key = key;
  end->links = wc_peer_links_new (loop, &config, &OPS, end, &end->counters, &error);
  ck_assert_msg (end->links != NULL, "%s", error.message);
}

/* Runs the loop until @condition holds; if it never does, the timeout of the test program ends the run. */
#define RUN_UNTIL(loop, condition)                                                                                     \
  while (!(condition))                                                                                                 \
  ev_run (loop, EVRUN_ONCE)

/* Guards against two instances that connect to each other at the same time and each close the link that the other
 * keeps, and against frames of the maximum size that do not arrive on the link that remains. */
START_TEST (simultaneous_links)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Endpoint        left = { 0 };
  Endpoint        right = { 0 };
  Wc__PeerFrame   frame = WC__PEER_FRAME__INIT;
  uint8_t        *content = g_malloc0 (WC_REGISTER_PART_MAX_BYTES);

  endpoint_open (&left, loop, 1, 11, fleet_key);
  endpoint_open (&right, loop, 2, 22, fleet_key);
  wc_peer_links_connect (left.links, &right.member);
  wc_peer_links_connect (right.links, &left.member);
  RUN_UNTIL (loop, left.ups > left.downs && right.ups > right.downs);
  frame.kind = WC__PEER_FRAME__KIND__CONFIG_PART;
  frame.content.data = content;
  frame.content.len = WC_REGISTER_PART_MAX_BYTES;
  while (right.content_bytes < WC_REGISTER_PART_MAX_BYTES || left.content_bytes < WC_REGISTER_PART_MAX_BYTES)
    {
      /* Frames queued on the link that is closed as a duplicate are lost, so they are sent again. */
      wc_peer_links_send (left.links, 2, &frame);
      wc_peer_links_send (right.links, 1, &frame);
      for (int i = 0; i < 20; i++)
        ev_run (loop, EVRUN_NOWAIT);
    }
  g_free (content);
  wc_peer_links_delete (left.links);
  wc_peer_links_delete (right.links);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against a link that is not reopened after the peer restarted with a new incarnation, or whose loss and return
 * are not reported. */
START_TEST (reconnect_after_restart)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Endpoint        left = { 0 };
  Endpoint        right = { 0 };

  endpoint_open (&left, loop, 1, 11, fleet_key);
  endpoint_open (&right, loop, 2, 22, fleet_key);
  wc_peer_links_connect (left.links, &right.member);
  RUN_UNTIL (loop, left.ups == 1 && right.ups == 1);
  wc_peer_links_delete (right.links);
  RUN_UNTIL (loop, left.downs == 1);
  endpoint_open (&right, loop, 2, 23, fleet_key);
  RUN_UNTIL (loop, left.ups == 2);
  wc_peer_links_disconnect (left.links, 2);
  RUN_UNTIL (loop, left.downs == 2);
  wc_peer_links_delete (left.links);
  wc_peer_links_delete (right.links);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against a link to an instance with another fleet key, and against a link that is accepted while fault
 * injection blocks its domain. */
START_TEST (rejected_and_blocked_links)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Endpoint        left = { 0 };
  Endpoint        right = { 0 };
  Endpoint        untrusted = { 0 };
  Wc__PeerFrame   frame = WC__PEER_FRAME__INIT;

  endpoint_open (&left, loop, 1, 11, fleet_key);
  endpoint_open (&right, loop, 2, 22, fleet_key);
  endpoint_open (&untrusted, loop, 3, 33, other_key);
  wc_peer_links_connect (untrusted.links, &left.member);
  RUN_UNTIL (loop, wc_counters_get (&left.counters, WC_COUNTER_PEER_FRAMES_REJECTED) > 0 ||
                       wc_counters_get (&untrusted.counters, WC_COUNTER_PEER_FRAMES_REJECTED) > 0);
  ck_assert_uint_eq (left.ups, 0);
  ck_assert_uint_eq (untrusted.ups, 0);
  wc_peer_links_delete (untrusted.links);

  wc_peer_links_connect (left.links, &right.member);
  RUN_UNTIL (loop, left.ups == 1 && right.ups == 1);
  left.blocked = true;
  wc_peer_links_close_blocked (left.links);
  ck_assert_uint_eq (left.downs, 1);
  ck_assert (!wc_peer_links_send (left.links, 2, &frame));
  wc_peer_links_connect (right.links, &left.member);
  RUN_UNTIL (loop, right.downs >= 3);
  ck_assert_uint_eq (left.ups, 1);
  left.blocked = false;
  RUN_UNTIL (loop, left.ups == 2);
  wc_peer_links_delete (left.links);
  wc_peer_links_delete (right.links);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against an unauthenticated client that makes an instance buffer a large frame, and against a malformed first
 * frame that is not rejected. */
START_TEST (malformed_frames)
{
  static const uint8_t FRAMES[][8] = { { 0x7f, 0xff, 0xff, 0xff }, { 0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff } };
  struct ev_loop      *loop = ev_loop_new (EVFLAG_AUTO);
  Endpoint             end = { 0 };
  struct sockaddr_in   address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int                  descriptor = socket (AF_INET, SOCK_STREAM, 0);

  endpoint_open (&end, loop, 1, 11, fleet_key);
  address.sin_port = htons (end.member.address.port);
  ck_assert_int_eq (connect (descriptor, (struct sockaddr *)&address, sizeof address), 0);
  ck_assert_int_eq (send (descriptor, FRAMES[_i], sizeof FRAMES[_i], 0), sizeof FRAMES[_i]);
  RUN_UNTIL (loop, wc_counters_get (&end.counters, WC_COUNTER_PEER_FRAMES_REJECTED) == 1);
  ck_assert_uint_eq (end.ups, 0);
  close (descriptor);
  wc_peer_links_delete (end.links);
  ev_loop_destroy (loop);
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("peer_link");

  wc_log_set_level (WC_LOG_ERROR);
  tcase_add_test (cases, simultaneous_links);
  tcase_add_test (cases, reconnect_after_restart);
  tcase_add_test (cases, rejected_and_blocked_links);
  tcase_add_loop_test (cases, malformed_frames, 0, 2);
  return wc_test_run_case ("peer_link", cases);
}
