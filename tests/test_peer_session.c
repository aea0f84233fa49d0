#include <check.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "core/peer_session.h"

#include "test_main.h"

typedef struct
{
  WcPeerSession *left;
  WcPeerSession *right;
  GByteArray    *to_right;
  GByteArray    *to_left;
} Pair;

static uint8_t fleet_key[WC_KEY_BYTES] = { 1, 2, 3 };

static WcKeyring *
make_keyring (const uint32_t *epochs, size_t count)
{
  WcKey keys[8];

  memset (keys, 0, sizeof keys);
  for (size_t i = 0; i < count; i++)
    {
      keys[i].epoch = epochs[i];
      keys[i].secret[0] = (uint8_t)epochs[i];
    }
  return wc_keyring_new (keys, count);
}

static WcPeerSession *
make_session (bool initiator, uint64_t instance, uint8_t challenge, const uint8_t *key, const uint32_t *epochs,
              size_t count)
{
  WcPeerSessionConfig config = { 0 };
  WcKeyring          *keyring = count > 0 ? make_keyring (epochs, count) : NULL;
  WcPeerSession      *session;

  config.initiator = initiator;
  config.instance = instance;
  config.incarnation = instance * 10;
  config.domain = 5;
  config.name = initiator ? "left" : "right";
  config.fleet_key = key;
  config.keyring = keyring;
  config.epochs = epochs;
  config.epoch_count = count;
  memset (config.challenge, challenge, sizeof config.challenge);
  session = wc_peer_session_new (&config);
  if (keyring)
    wc_keyring_unref (keyring);
  return session;
}

/* Passes the frames in @bytes to @session; @frame, unless NULL, is set to the last authentic frame. */
static WcPeerStatus
deliver (WcPeerSession *session, GByteArray *bytes, Wc__PeerFrame **frame)
{
  WcPeerStatus status = WC_PEER_OK;
  guint        offset = 0;

  while (status == WC_PEER_OK && offset < bytes->len)
    {
      Wc__PeerFrame *received;
      uint32_t       length;

      memcpy (&length, bytes->data + offset, sizeof length);
      length = GUINT32_FROM_BE (length);
      offset += WC_PEER_LENGTH_BYTES;
      status = wc_peer_session_receive (session, bytes->data + offset, length, &received, NULL);
      offset += length;
      if (received && frame)
        {
          *frame = received;
          frame = NULL;
        }
      else if (received)
        wc__peer_frame__free_unpacked (received, NULL);
    }
  g_byte_array_set_size (bytes, 0);
  return status;
}

static void
pair_init (Pair *pair, const uint32_t *left, size_t left_count, const uint32_t *right, size_t right_count)
{
  pair->left = make_session (true, 1, 0x11, fleet_key, left, left_count);
  pair->right = make_session (false, 2, 0x22, fleet_key, right, right_count);
  pair->to_right = g_byte_array_new ();
  pair->to_left = g_byte_array_new ();
  wc_peer_session_pack_hello (pair->left, pair->to_right);
  wc_peer_session_pack_hello (pair->right, pair->to_left);
}

static void
pair_handshake (Pair *pair)
{
  ck_assert_int_eq (deliver (pair->right, pair->to_right, NULL), WC_PEER_OK);
  ck_assert_int_eq (deliver (pair->left, pair->to_left, NULL), WC_PEER_OK);
}

static void
pair_clear (Pair *pair)
{
  wc_peer_session_delete (pair->left);
  wc_peer_session_delete (pair->right);
  g_byte_array_free (pair->to_right, TRUE);
  g_byte_array_free (pair->to_left, TRUE);
}

static WcPeerStatus
send_content (WcPeerSession *session, const char *content, GByteArray *out)
{
  Wc__PeerFrame frame = WC__PEER_FRAME__INIT;

  frame.kind = WC__PEER_FRAME__KIND__CONFIG_HEAD;
  frame.content.data = (uint8_t *)content;
  frame.content.len = strlen (content);
  return wc_peer_session_pack (session, &frame, out);
}

/* Guards against a handshake after which one side does not have the peer's identity or the session key. */
START_TEST (handshake)
{
  Pair           pair;
  Wc__PeerFrame *frame = NULL;

  pair_init (&pair, NULL, 0, NULL, 0);
  ck_assert_int_eq (send_content (pair.left, "early", pair.to_right), WC_PEER_UNEXPECTED);
  pair_handshake (&pair);
  ck_assert (!wc_peer_session_is_authenticated (pair.right));
  ck_assert_uint_eq (wc_peer_session_get_peer (pair.right), 1);
  ck_assert_uint_eq (wc_peer_session_get_peer_incarnation (pair.left), 20);
  ck_assert_uint_eq (wc_peer_session_get_peer_domain (pair.left), 5);
  ck_assert_str_eq (wc_peer_session_get_peer_name (pair.left), "right");
  for (int i = 0; i < 3; i++)
    {
      ck_assert_int_eq (send_content (pair.left, "question", pair.to_right), WC_PEER_OK);
      ck_assert_int_eq (send_content (pair.right, "answer", pair.to_left), WC_PEER_OK);
      ck_assert_int_eq (deliver (pair.right, pair.to_right, NULL), WC_PEER_OK);
      ck_assert_int_eq (deliver (pair.left, pair.to_left, &frame), WC_PEER_OK);
      ck_assert_uint_eq (frame->content.len, strlen ("answer"));
      wc__peer_frame__free_unpacked (frame, NULL);
    }
  ck_assert (wc_peer_session_is_authenticated (pair.right));
  ck_assert (wc_peer_session_is_authenticated (pair.left));
  pair_clear (&pair);
}
END_TEST

/* Guards against a session that does not use the newest common key while a key rotation is being distributed. */
START_TEST (newest_common_epoch)
{
  static const struct
  {
    uint32_t left[3];
    size_t   left_count;
    uint32_t right[3];
    size_t   right_count;
    uint32_t expected;
  } CASES[] = {
    { { 1, 2 }, 2, { 1, 2 }, 2, 2 },       { { 1, 2, 3 }, 3, { 1, 2 }, 2, 2 }, { { 1, 2 }, 2, { 2, 3, 4 }, 3, 2 },
    { { 3, 1, 2 }, 3, { 4, 1, 2 }, 3, 2 }, { { 0 }, 0, { 1, 2 }, 2, 0 },       { { 1 }, 1, { 2 }, 1, 0 },
  };
  Pair pair;

  pair_init (&pair, CASES[_i].left, CASES[_i].left_count, CASES[_i].right, CASES[_i].right_count);
  pair_handshake (&pair);
  ck_assert_uint_eq (wc_peer_session_get_epoch (pair.left), CASES[_i].expected);
  ck_assert_uint_eq (wc_peer_session_get_epoch (pair.right), CASES[_i].expected);
  ck_assert_int_eq (send_content (pair.left, "x", pair.to_right), WC_PEER_OK);
  ck_assert_int_eq (deliver (pair.right, pair.to_right, NULL), WC_PEER_OK);
  pair_clear (&pair);
}
END_TEST

/* Guards against accepting a peer with another fleet key, or with another secret for the same epoch. */
START_TEST (different_key)
{
  static uint8_t other_key[WC_KEY_BYTES] = { 9 };
  Pair           pair;

  pair_init (&pair, NULL, 0, NULL, 0);
  wc_peer_session_delete (pair.left);
  g_byte_array_set_size (pair.to_right, 0);
  pair.left = make_session (true, 1, 0x11, other_key, NULL, 0);
  wc_peer_session_pack_hello (pair.left, pair.to_right);
  pair_handshake (&pair);
  send_content (pair.left, "x", pair.to_right);
  ck_assert_int_eq (deliver (pair.right, pair.to_right, NULL), WC_PEER_FORGED);
  ck_assert (!wc_peer_session_is_authenticated (pair.right));
  pair_clear (&pair);
}
END_TEST

/* Guards against a man in the middle that modifies a HELLO: its identity, or the epochs that it offers. */
START_TEST (modified_hello)
{
  static const uint32_t EPOCHS[] = { 1, 2 };
  Pair                  pair;
  Wc__PeerFrame        *hello;
  uint8_t              *packed;
  size_t                size_bytes;
  Wc__PeerFrame        *received;

  pair_init (&pair, EPOCHS, 2, EPOCHS, 2);
  hello = wc__peer_frame__unpack (NULL, pair.to_right->len - 4, pair.to_right->data + 4);
  if (_i == 0)
    hello->incarnation++;
  else if (_i == 1)
    hello->n_epochs = 0;
  else
    hello->challenge.data[0] ^= 1;
  size_bytes = wc__peer_frame__get_packed_size (hello);
  packed = g_malloc (size_bytes);
  wc__peer_frame__pack (hello, packed);
  hello->n_epochs = 2;
  wc__peer_frame__free_unpacked (hello, NULL);
  ck_assert_int_eq (wc_peer_session_receive (pair.right, packed, size_bytes, &received, NULL), WC_PEER_OK);
  ck_assert_int_eq (deliver (pair.left, pair.to_left, NULL), WC_PEER_OK);
  g_byte_array_set_size (pair.to_right, 0);
  send_content (pair.left, "x", pair.to_right);
  ck_assert_int_eq (deliver (pair.right, pair.to_right, NULL), WC_PEER_FORGED);
  g_free (packed);
  pair_clear (&pair);
}
END_TEST

/* Guards against accepting a frame twice, out of order, after a lost one, or from another session. */
START_TEST (replay_and_reorder)
{
  Pair        pair;
  GByteArray *first = g_byte_array_new ();
  GByteArray *second = g_byte_array_new ();
  GByteArray *copy = g_byte_array_new ();

  pair_init (&pair, NULL, 0, NULL, 0);
  pair_handshake (&pair);
  send_content (pair.left, "first", first);
  send_content (pair.left, "second", second);
  if (_i == 0)
    {
      g_byte_array_append (copy, first->data, first->len);
      ck_assert_int_eq (deliver (pair.right, first, NULL), WC_PEER_OK);
      ck_assert_int_eq (deliver (pair.right, copy, NULL), WC_PEER_OUT_OF_SEQUENCE);
    }
  else if (_i == 1)
    ck_assert_int_eq (deliver (pair.right, second, NULL), WC_PEER_OUT_OF_SEQUENCE);
  else if (_i == 2)
    {
      /* The frame is reflected to its sender. */
      ck_assert_int_eq (deliver (pair.left, first, NULL), WC_PEER_FORGED);
    }
  else
    {
      Pair later;

      pair_init (&later, NULL, 0, NULL, 0);
      wc_peer_session_delete (later.right);
      g_byte_array_set_size (later.to_left, 0);
      later.right = make_session (false, 2, 0x33, fleet_key, NULL, 0);
      wc_peer_session_pack_hello (later.right, later.to_left);
      pair_handshake (&later);
      ck_assert_int_eq (deliver (later.right, first, NULL), WC_PEER_FORGED);
      pair_clear (&later);
    }
  g_byte_array_free (first, TRUE);
  g_byte_array_free (second, TRUE);
  g_byte_array_free (copy, TRUE);
  pair_clear (&pair);
}
END_TEST

/* Guards against accepting a frame in which any one byte was modified. */
START_TEST (modified_byte)
{
  Pair           pair;
  Wc__PeerFrame *frame;

  pair_init (&pair, NULL, 0, NULL, 0);
  pair_handshake (&pair);
  send_content (pair.left, "content", pair.to_right);
  for (guint i = 4; i < pair.to_right->len; i++)
    {
      uint8_t     *data = pair.to_right->data;
      WcPeerStatus status;

      data[i] ^= 1;
      status = wc_peer_session_receive (pair.right, data + 4, pair.to_right->len - 4, &frame, NULL);
      ck_assert_int_ne (status, WC_PEER_OK);
      ck_assert_ptr_null (frame);
      data[i] ^= 1;
    }
  ck_assert_int_eq (deliver (pair.right, pair.to_right, NULL), WC_PEER_OK);
  pair_clear (&pair);
}
END_TEST

/* Guards against accepting a HELLO that is reflected, malformed or repeated, and a frame without a HELLO before it. */
START_TEST (rejected_hello)
{
  Pair           pair;
  Wc__PeerFrame  invalid = WC__PEER_FRAME__INIT;
  Wc__PeerFrame *frame;
  uint8_t        packed[256];
  size_t         size_bytes;

  pair_init (&pair, NULL, 0, NULL, 0);
  ck_assert_int_eq (wc_peer_session_receive (pair.left, pair.to_right->data + 4, pair.to_right->len - 4, &frame, NULL),
                    WC_PEER_UNEXPECTED);
  ck_assert_int_eq (wc_peer_session_receive (pair.left, (const uint8_t *)"\xff\xff", 2, &frame, NULL),
                    WC_PEER_MALFORMED);
  invalid.kind = WC__PEER_FRAME__KIND__HEARTBEAT;
  size_bytes = wc__peer_frame__pack (&invalid, packed);
  ck_assert_int_eq (wc_peer_session_receive (pair.left, packed, size_bytes, &frame, NULL), WC_PEER_UNEXPECTED);
  invalid.kind = WC__PEER_FRAME__KIND__HELLO;
  invalid.instance = 2;
  invalid.incarnation = 3;
  size_bytes = wc__peer_frame__pack (&invalid, packed);
  ck_assert_int_eq (wc_peer_session_receive (pair.left, packed, size_bytes, &frame, NULL), WC_PEER_MALFORMED);
  pair_handshake (&pair);
  wc_peer_session_pack (pair.left, &invalid, pair.to_right);
  ck_assert_int_eq (deliver (pair.right, pair.to_right, NULL), WC_PEER_UNEXPECTED);
  pair_clear (&pair);
}
END_TEST

/* Guards against frames that make a peer buffer more than one part, and against an unauthenticated peer that can send a
 * frame longer than a HELLO. */
START_TEST (size_limits)
{
  Pair           pair;
  char          *large = g_malloc0 (WC_PEER_FRAME_MAX_BYTES + 1);
  Wc__PeerFrame *frame;

  pair_init (&pair, NULL, 0, NULL, 0);
  ck_assert_uint_eq (wc_peer_session_get_max_frame_bytes (pair.left), WC_PEER_HELLO_MAX_BYTES);
  ck_assert_int_eq (wc_peer_session_receive (pair.left, (uint8_t *)large, WC_PEER_HELLO_MAX_BYTES + 1, &frame, NULL),
                    WC_PEER_TOO_LARGE);
  pair_handshake (&pair);
  memset (large, 'x', WC_PEER_FRAME_MAX_BYTES);
  ck_assert_int_eq (send_content (pair.left, large, pair.to_right), WC_PEER_TOO_LARGE);
  ck_assert_uint_eq (pair.to_right->len, 0);
  large[WC_REGISTER_PART_MAX_BYTES] = '\0';
  ck_assert_int_eq (send_content (pair.left, large, pair.to_right), WC_PEER_OK);
  ck_assert_int_eq (deliver (pair.right, pair.to_right, NULL), WC_PEER_OK);
  g_free (large);
  pair_clear (&pair);
}
END_TEST

/* Guards against a WcPeerStatus without a text or a corresponding WcStatus. */
START_TEST (statuses)
{
  for (int i = 0; i < WC_PEER_STATUS_COUNT; i++)
    {
      ck_assert_ptr_nonnull (WC_PEER_STATUS_STRINGS[i]);
      ck_assert_int_eq (wc_peer_status_translate ((WcPeerStatus)i) == WC_STATUS_OK, i == WC_PEER_OK);
    }
}
END_TEST

int
main (void)
{
  TCase *cases = tcase_create ("peer_session");

  tcase_add_test (cases, handshake);
  tcase_add_loop_test (cases, newest_common_epoch, 0, 6);
  tcase_add_test (cases, different_key);
  tcase_add_loop_test (cases, modified_hello, 0, 3);
  tcase_add_loop_test (cases, replay_and_reorder, 0, 4);
  tcase_add_test (cases, modified_byte);
  tcase_add_test (cases, rejected_hello);
  tcase_add_test (cases, size_limits);
  tcase_add_test (cases, statuses);
  return wc_test_run_case ("peer_session", cases);
}
