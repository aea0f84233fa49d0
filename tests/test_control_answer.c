#include "core/control.h"

#include <string.h>

#include "core/config_head.h"
#include "core/text_delta.h"
#include "emulator/slopes_fleet.h"
#include "test_main.h"

typedef struct
{
  WcSlopesFleet *fleet;
  WcConfigId     before;
} Fixture;

static void
run_steps (WcSlopesFleet *fleet, int steps)
{
  for (int i = 0; i < steps; i++)
    wc_slopes_fleet_step (fleet);
}

/* Creates a fleet of three instances that have an edit in force and still store the configuration before it. */
static void
set_up (Fixture *fixture)
{
  fixture->fleet = wc_slopes_fleet_new (1, 3, 300, 7);
  for (uint32_t i = 0; i < fixture->fleet->count; i++)
    wc_slopes_fleet_start (fixture->fleet, i);
  run_steps (fixture->fleet, 200);
  ck_assert (wc_slopes_fleet_is_in_force (fixture->fleet));
  fixture->before = *wc_config_store_get_id (wc_control_get_store (fixture->fleet->nodes[0].control));
  wc_slopes_fleet_edit (fixture->fleet);
  run_steps (fixture->fleet, 100);
  ck_assert (wc_slopes_fleet_is_in_force (fixture->fleet));
}

static const WcConfigStore *
get_store (const Fixture *fixture, uint32_t index)
{
  return wc_control_get_store (fixture->fleet->nodes[index].control);
}

/* Sends a query to the first instance on behalf of the second. Return: the reply. */
static Wc__PeerFrame *
query (Fixture *fixture, const WcConfigId *base, const uint8_t *part)
{
  WcSlopesNode        *nodes = fixture->fleet->nodes;
  Wc__PeerFrame        frame = WC__PEER_FRAME__INIT;
  Wc__ConfigId         config = WC__CONFIG_ID__INIT;
  ProtobufCBinaryData  digest = { WC_DIGEST_BYTES, (uint8_t *)part };
  const WcSlopesFrame *sent;

  frame.kind = WC__PEER_FRAME__KIND__CONFIG_ASK;
  if (base)
    {
      config.revision = base->revision;
      config.digest.data = (uint8_t *)base->digest;
      config.digest.len = WC_DIGEST_BYTES;
      frame.config = &config;
    }
  if (part)
    {
      frame.digests = &digest;
      frame.n_digests = 1;
    }
  wc_control_receive (nodes[0].control, fixture->fleet->now_us, nodes[1].self.id, &frame);
  sent = g_queue_peek_tail (nodes[1].inbox);
  ck_assert_ptr_nonnull (sent);
  return wc__peer_frame__unpack (NULL, sent->size_bytes, sent->packed);
}

static void
receive (Fixture *fixture, Wc__PeerFrame *frame)
{
  WcSlopesNode *nodes = fixture->fleet->nodes;

  wc_control_receive (nodes[1].control, fixture->fleet->now_us, nodes[0].self.id, frame);
}

/* Guards against a full head or part that is sent to a peer which has the previous version, against a delta that does
 * not yield the configuration in force, and against a delta that is sent to a peer which has another base or does not
 * support deltas. */
START_TEST (answers_with_deltas)
{
  Fixture        fixture;
  WcConfigId     unknown;
  Wc__PeerFrame *reply;
  size_t         head_bytes;
  size_t         base_bytes;
  const char    *head;
  const char    *base;
  GBytes        *text;
  gsize          size_bytes;
  WcConfigHead  *parsed;
  WcError        error;
  size_t         deltas = 0;

  set_up (&fixture);
  head = wc_config_store_get_head (get_store (&fixture, 0), &head_bytes);
  base = wc_config_store_find_head (get_store (&fixture, 0), fixture.before.digest, WC_DIGEST_BYTES, &base_bytes);
  ck_assert_ptr_nonnull (base);

  reply = query (&fixture, &fixture.before, NULL);
  ck_assert_uint_eq (reply->n_digests, 2);
  ck_assert_uint_lt (reply->content.len, head_bytes / 2);
  text = wc_text_delta_apply (base, base_bytes, reply->content.data, reply->content.len, head_bytes);
  ck_assert_ptr_nonnull (text);
  ck_assert_mem_eq (g_bytes_get_data (text, &size_bytes), head, head_bytes);
  g_bytes_unref (text);
  wc__peer_frame__free_unpacked (reply, NULL);

  unknown = fixture.before;
  unknown.digest[0] ^= 1;
  for (int i = 0; i < 2; i++)
    {
      reply = query (&fixture, i == 0 ? NULL : &unknown, NULL);
      ck_assert_uint_eq (reply->n_digests, 0);
      ck_assert_uint_eq (reply->content.len, head_bytes);
      ck_assert_mem_eq (reply->content.data, head, head_bytes);
      wc__peer_frame__free_unpacked (reply, NULL);
    }

  parsed = wc_config_head_parse (head, head_bytes, &error);
  for (guint i = 0; i < parsed->parts->len; i++)
    {
      const uint8_t *digest = g_array_index (parsed->parts, WcHeadPart, i).digest;
      size_t         part_bytes;
      const void    *part = wc_config_store_find_part (get_store (&fixture, 0), digest, &part_bytes);

      reply = query (&fixture, NULL, digest);
      ck_assert_uint_eq (reply->n_digests, 1);
      ck_assert_uint_eq (reply->content.len, part_bytes);
      ck_assert_mem_eq (reply->content.data, part, part_bytes);
      wc__peer_frame__free_unpacked (reply, NULL);
      reply = query (&fixture, &fixture.before, digest);
      ck_assert_uint_eq (reply->n_digests, 2);
      ck_assert_uint_lt (reply->content.len, MAX (part_bytes / 4, 100));
      deltas++;
      wc__peer_frame__free_unpacked (reply, NULL);
    }
  ck_assert_uint_gt (deltas, 2);
  wc_config_head_delete (parsed);
  wc_slopes_fleet_delete (fixture.fleet);
}
END_TEST

/* Guards against a delta with the wrong base that is accepted as a head, or after which the instance never gets the
 * next edit. */
START_TEST (mismatched_delta)
{
  Fixture             fixture;
  Wc__PeerFrame       frame = WC__PEER_FRAME__INIT;
  ProtobufCBinaryData digests[2];
  uint8_t             target[WC_DIGEST_BYTES] = { 1 };
  uint8_t             junk[40];
  /* This delta yields a well-formed head with another revision, whose digest is not the announced one. */
  uint8_t    whole[12] = { 0 };
  WcConfigId newest;
  size_t     base_bytes;

  set_up (&fixture);
  newest = *wc_config_store_get_newest_id (get_store (&fixture, 1));
  wc_config_store_get_head (get_store (&fixture, 1), &base_bytes);
  memset (junk, 255, sizeof junk);
  memcpy (whole + 4, &(uint32_t){ GUINT32_TO_LE ((uint32_t)base_bytes) }, 4);
  digests[0].data = target;
  digests[0].len = sizeof target;
  digests[1].data = newest.digest;
  digests[1].len = WC_DIGEST_BYTES;
  frame.digests = digests;
  frame.n_digests = 2;
  for (int i = 0; i < 6; i++)
    {
      frame.kind = i % 2 ? WC__PEER_FRAME__KIND__CONFIG_HEAD : WC__PEER_FRAME__KIND__CONFIG_PART;
      frame.content.data = i < 4 ? junk : whole;
      frame.content.len = i < 4 ? sizeof junk : sizeof whole;
      digests[0].len = i < 2 ? 0 : WC_DIGEST_BYTES;
      digests[1].len = i < 2 ? 5 : WC_DIGEST_BYTES;
      receive (&fixture, &frame);
      ck_assert_int_eq (wc_config_id_compare (wc_config_store_get_newest_id (get_store (&fixture, 1)), &newest), 0);
    }
  for (int edit = 0; edit < 3; edit++)
    {
      wc_slopes_fleet_edit (fixture.fleet);
      run_steps (fixture.fleet, 100);
      ck_assert (wc_slopes_fleet_is_in_force (fixture.fleet));
    }
  wc_slopes_fleet_delete (fixture.fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, answers_with_deltas);
  tcase_add_test (tests, mismatched_delta);
}

int
main (void)
{
  return wc_test_run ("control_answer", add_tests);
}
