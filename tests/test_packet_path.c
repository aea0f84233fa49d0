#include <dlfcn.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <wigeoncart/name_id.h>
#include <wigeoncart/node.h>

#include "edge/socket_address.h"
#include "edge/udp_batch.h"
#include "emulator/speed_packets.h"
#include "test_main.h"

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define COUNT_CALLS 0
#else
#define COUNT_CALLS 1
#endif

#if COUNT_CALLS
static unsigned long allocations;
static unsigned long locks;

/*
 * These functions replace those of the C library and of GLib in this program and in its libraries, to count the calls.
 * They are left out under the sanitizers, which need their own versions.
 */
void *__libc_malloc (size_t size);
void *__libc_calloc (size_t count, size_t size);
void *__libc_realloc (void *memory, size_t size);

void *
malloc (size_t size)
{
  allocations++;
  return __libc_malloc (size);
}

void *
calloc (size_t count, size_t size)
{
  allocations++;
  return __libc_calloc (count, size);
}

void *
realloc (void *memory, size_t size)
{
  allocations++;
  return __libc_realloc (memory, size);
}

int
pthread_mutex_lock (pthread_mutex_t *mutex)
{
  int (*next) (pthread_mutex_t *) = (int (*) (pthread_mutex_t *))dlsym (RTLD_NEXT, "pthread_mutex_lock");

  locks++;
  return next (mutex);
}

void
g_mutex_lock (GMutex *mutex)
{
  void (*next) (GMutex *) = (void (*) (GMutex *))dlsym (RTLD_NEXT, "g_mutex_lock");

  locks++;
  next (mutex);
}
#endif

static const char REGISTER[] =
    "{\"revision\": 1, \"domains\": [\"here\", \"there\"],"
    "\"services\": [{\"name\": \"far\", \"affinity\": \"session\"}, {\"name\": \"near\"}],"
    "\"hosts\": ["
    "{\"name\": \"h1\", \"domain\": \"there\", \"targets\": [{\"service\": \"far\", \"address\": \"127.0.0.1:1\","
    "\"slots\": 2, \"max_connections\": 16, \"cold_start_ms\": 0}]},"
    "{\"name\": \"h2\", \"domain\": \"here\", \"targets\": [{\"service\": \"near\", \"address\": \"127.0.0.1:2\","
    "\"slots\": 2, \"max_connections\": 16, \"cold_start_ms\": 0}]}],"
    "\"customers\": [],"
    "\"keys\": [{\"epoch\": 1, \"secret\": \"SW63tU1Uz7KkWdLvJkeBByKDa5L3md5wVLkdxb13VRk=\"}],"
    "\"rules\": {}}";

static unsigned long relays;
static unsigned long replies;

static void
send_reply (void *user_data, const WcAddress *caller, const uint8_t *data, size_t size_bytes)
{
  replies++;
  wc_udp_batch_send (user_data, caller, data, size_bytes);
}

static void
send_relay (void *user_data, const WcAddress *worker, const uint8_t *data, size_t size_bytes)
{
  relays++;
  wc_udp_batch_send (user_data, worker, data, size_bytes);
}

static void
dispatch (void *user_data, const WcAttempt *attempt)
{
  (void)user_data;
  (void)attempt;
}

static void
cancel (void *user_data, uint64_t attempt)
{
  (void)user_data;
  (void)attempt;
}

static const WcNodeOps OPS = { .send = send_reply, .relay = send_relay, .dispatch = dispatch, .cancel = cancel };

static WcView *
make_view (WcKeyring **keyring)
{
  WcError     error = { 0 };
  WcRegister *reg = wc_register_parse ("test", REGISTER, strlen (REGISTER), &error);
  WcMember    members[2] = {
       { .id = wc_name_id64 ("one"), .domain = wc_name_id32 ("here"), .workers = 1, .state = WC_MEMBER_LIVE },
       { .id = wc_name_id64 ("two"), .domain = wc_name_id32 ("there"), .workers = 1, .state = WC_MEMBER_LIVE },
  };
  WcMemberTable *table;
  WcView        *view;
  size_t         key_count;

  ck_assert_msg (reg != NULL, "%s", error.message);
  for (unsigned i = 0; i < 2; i++)
    ck_assert (wc_address_parse ("127.0.0.1:9", &members[i].address));
  table = wc_member_table_new (members, 2);
  *keyring = wc_keyring_new (wc_register_get_keys (reg, &key_count), 1);
  view = wc_view_new (reg, *keyring, table, WC_LIFECYCLE_SERVING, 1);
  wc_member_table_unref (table);
  wc_register_unref (reg);
  return view;
}

/* Guards against memory allocation or locking while a datagram is relayed, opens a flow or is rejected. */
START_TEST (test_no_allocation_and_no_lock)
{
  const WcSpeedPacketsConfig configs[] = {
    { .kind = WC_SPEED_REQUEST, .service = "far", .domain = "there", .flows = 300, .body_bytes = 64 },
    { .kind = WC_SPEED_OPEN, .service = "near", .domain = "here", .flows = 300 },
    { .kind = WC_SPEED_REQUEST, .service = "far", .domain = "there", .flows = 300, .body_bytes = 1100 },
  };
  WcNodeConfig config;
  WcCounters   counters = { 0 };
  WcKeyring   *keyring;
  WcView      *view = make_view (&keyring);
  WcAddress    any;
  WcUdpBatch  *batch;
  WcNode      *node;

  ck_assert (wc_address_parse ("127.0.0.1:0", &any));
  batch = wc_udp_batch_new (wc_socket_open_udp (&any, false, NULL));
  wc_node_config_init (&config);
  config.instance = wc_name_id64 ("one");
  config.incarnation = 1;
  config.domain = wc_name_id32 ("here");
  node = wc_node_new (&config, &OPS, batch, &counters);
  wc_node_set_view (node, 1, view);
  ck_assert (wc_address_parse ("127.0.0.1:10", &any));
  for (unsigned c = 0; c < G_N_ELEMENTS (configs); c++)
    {
      WcSpeedPackets *packets = wc_speed_packets_new (&configs[c], keyring);
      unsigned long   handled_before;
#if COUNT_CALLS
      unsigned long allocations_before;
      unsigned long locks_before;
      unsigned long allocations_after;
      unsigned long locks_after;
#endif

      /* The first pass allocates the state of the service, so only the second one is checked. */
      for (unsigned pass = 0; pass < 2; pass++)
        {
          handled_before = relays + replies;
#if COUNT_CALLS
          allocations_before = allocations;
          locks_before = locks;
#endif
          for (uint32_t i = 0; i < 300; i++)
            {
              uint8_t        changed[WC_DATAGRAM_MAX_BYTES];
              size_t         size;
              const uint8_t *data = wc_speed_packets_get (packets, i, &size);

              wc_node_receive (node, 2, &any, data, size);
              memcpy (changed, data, size);
              changed[40] ^= 1;
              wc_node_receive (node, 2, &any, changed, size);
              wc_node_receive (node, 2, &any, data, size / 2);
            }
          wc_udp_batch_flush (batch);
          wc_node_tick (node, 3);
#if COUNT_CALLS
          /* Saved before the assertions, which allocate and lock themselves. */
          allocations_after = allocations;
          locks_after = locks;
          if (pass > 0)
            {
              ck_assert_uint_eq (allocations_after, allocations_before);
              ck_assert_uint_eq (locks_after, locks_before);
            }
#endif
          ck_assert_uint_ge (relays + replies, handled_before + 300);
        }
      wc_speed_packets_delete (packets);
    }
  ck_assert_uint_ge (relays, 1200);
#if COUNT_CALLS
  ck_assert_uint_gt (allocations, 0);
#endif
  wc_node_delete (node);
  wc_udp_batch_delete (batch);
  wc_view_unref (view);
  wc_keyring_unref (keyring);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_no_allocation_and_no_lock);
}

int
main (void)
{
  return wc_test_run ("packet_path", add_tests);
}
