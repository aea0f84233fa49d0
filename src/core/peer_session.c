#include "core/peer_session.h"

#include <assert.h>
#include <string.h>

#include <sodium.h>

enum
{
  SESSION_KEY_BYTES = 32,
  NAME_BYTES = 64
};

struct WcPeerSession
{
  bool        initiator;
  uint64_t    instance;
  uint64_t    incarnation;
  uint32_t    domain;
  char        name[NAME_BYTES];
  uint8_t     fleet_key[WC_KEY_BYTES];
  WcKeyring  *keyring;
  uint32_t    epochs[WC_PEER_EPOCHS_MAX];
  size_t      epoch_count;
  uint8_t     challenge[WC_PEER_CHALLENGE_BYTES];
  GByteArray *own_hello;
  bool        ready;
  bool        authenticated;
  uint64_t    peer;
  uint64_t    peer_incarnation;
  uint32_t    peer_domain;
  char        peer_name[NAME_BYTES];
  uint32_t    epoch;
  uint8_t     key[SESSION_KEY_BYTES];
  uint64_t    sent_sequence;
  uint64_t    received_sequence;
};

const char *const WC_PEER_STATUS_STRINGS[WC_PEER_STATUS_COUNT] = {
  [WC_PEER_OK] = "ok",
  [WC_PEER_MALFORMED] = "malformed frame",
  [WC_PEER_TOO_LARGE] = "frame is too large",
  [WC_PEER_FORGED] = "MAC does not match",
  [WC_PEER_OUT_OF_SEQUENCE] = "frame is out of sequence",
  [WC_PEER_UNEXPECTED] = "unexpected frame",
};

static WcPeerStatus   set_failure (WcError *error, WcPeerStatus status, const char *detail);
static WcPeerStatus   receive_hello (WcPeerSession *session, const Wc__PeerFrame *frame, const uint8_t *data,
                                     size_t size_bytes, WcError *error);
static const uint8_t *find_common_key (const WcPeerSession *session, const Wc__PeerFrame *hello, uint32_t *epoch);
static void derive_key (WcPeerSession *session, const uint8_t *key, const uint8_t *peer_hello, size_t peer_bytes);
static void
compute_mac (const WcPeerSession *session, bool sent, const Wc__PeerFrame *frame, uint8_t mac[WC_PEER_MAC_BYTES]);
static void append_packed (const Wc__PeerFrame *frame, GByteArray *out);

WcStatus
wc_peer_status_translate (WcPeerStatus status)
{
  switch (status)
    {
    case WC_PEER_OK:
      return WC_STATUS_OK;
    case WC_PEER_MALFORMED:
      return WC_STATUS_PARSE;
    case WC_PEER_TOO_LARGE:
      return WC_STATUS_TOO_LARGE;
    case WC_PEER_FORGED:
      return WC_STATUS_FORGED;
    case WC_PEER_OUT_OF_SEQUENCE:
      return WC_STATUS_STALE;
    case WC_PEER_UNEXPECTED:
    case WC_PEER_STATUS_COUNT:
      break;
    }
  return WC_STATUS_INVALID;
}

WcPeerSession *
wc_peer_session_new (const WcPeerSessionConfig *config)
{
  WcPeerSession *session;
  size_t         skip;

  assert (config != NULL);
  assert (config->fleet_key != NULL);

  session = g_new0 (WcPeerSession, 1);
  session->initiator = config->initiator;
  session->instance = config->instance;
  session->incarnation = config->incarnation;
  session->domain = config->domain;
  g_strlcpy (session->name, config->name ? config->name : "", sizeof session->name);
  memcpy (session->fleet_key, config->fleet_key, WC_KEY_BYTES);
  session->keyring = config->keyring ? wc_keyring_ref (config->keyring) : NULL;
  skip = config->epoch_count > WC_PEER_EPOCHS_MAX ? config->epoch_count - WC_PEER_EPOCHS_MAX : 0;
  for (size_t i = skip; i < config->epoch_count; i++)
    session->epochs[session->epoch_count++] = config->epochs[i];
  memcpy (session->challenge, config->challenge, sizeof session->challenge);
  session->own_hello = g_byte_array_new ();
  return session;
}

void
wc_peer_session_delete (WcPeerSession *session)
{
  if (!session)
    return;
  if (session->keyring)
    wc_keyring_unref (session->keyring);
  g_byte_array_free (session->own_hello, TRUE);
  sodium_memzero (session, sizeof *session);
  g_free (session);
}

void
wc_peer_session_pack_hello (WcPeerSession *session, GByteArray *out)
{
  Wc__PeerFrame hello = WC__PEER_FRAME__INIT;

  assert (session != NULL);
  assert (session->own_hello->len == 0);

  hello.kind = WC__PEER_FRAME__KIND__HELLO;
  hello.instance = session->instance;
  hello.incarnation = session->incarnation;
  hello.domain = session->domain;
  hello.name = session->name;
  hello.challenge.data = session->challenge;
  hello.challenge.len = sizeof session->challenge;
  hello.epochs = session->epochs;
  hello.n_epochs = session->epoch_count;
  append_packed (&hello, session->own_hello);
  g_byte_array_append (out, session->own_hello->data, session->own_hello->len);
}

WcPeerStatus
wc_peer_session_pack (WcPeerSession *session, Wc__PeerFrame *frame, GByteArray *out)
{
  uint8_t mac[WC_PEER_MAC_BYTES];

  assert (session != NULL);
  assert (frame != NULL);

  if (!session->ready)
    return WC_PEER_UNEXPECTED;
  frame->sequence = session->sent_sequence + 1;
  frame->epoch = 0;
  frame->mac.len = 0;
  if (wc__peer_frame__get_packed_size (frame) + WC_PEER_MAC_BYTES + 2 > WC_PEER_FRAME_MAX_BYTES)
    return WC_PEER_TOO_LARGE;
  session->sent_sequence++;
  compute_mac (session, true, frame, mac);
  frame->mac.data = mac;
  frame->mac.len = sizeof mac;
  append_packed (frame, out);
  frame->mac.data = NULL;
  frame->mac.len = 0;
  return WC_PEER_OK;
}

WcPeerStatus
wc_peer_session_receive (WcPeerSession *session, const uint8_t *data, size_t size_bytes, Wc__PeerFrame **frame,
                         WcError *error)
{
  Wc__PeerFrame      *message;
  ProtobufCBinaryData mac;
  uint8_t             expected[WC_PEER_MAC_BYTES];
  WcPeerStatus        status = WC_PEER_OK;

  assert (session != NULL);
  assert (frame != NULL);

  *frame = NULL;
  if (size_bytes > wc_peer_session_get_max_frame_bytes (session))
    return set_failure (error, WC_PEER_TOO_LARGE, "longer than the maximum");
  message = wc__peer_frame__unpack (NULL, size_bytes, data);
  if (!message)
    return set_failure (error, WC_PEER_MALFORMED, "not a PeerFrame");
  if (!session->ready)
    {
      status = receive_hello (session, message, data, size_bytes, error);
      wc__peer_frame__free_unpacked (message, NULL);
      return status;
    }

  mac = message->mac;
  message->mac.data = NULL;
  message->mac.len = 0;
  compute_mac (session, false, message, expected);
  if (mac.len != sizeof expected || sodium_memcmp (mac.data, expected, sizeof expected) != 0)
    status = set_failure (error, WC_PEER_FORGED, "key or content differs");
  else if (message->sequence != session->received_sequence + 1)
    status = set_failure (error, WC_PEER_OUT_OF_SEQUENCE, "replayed, reordered or lost");
  else if (message->kind == WC__PEER_FRAME__KIND__HELLO)
    status = set_failure (error, WC_PEER_UNEXPECTED, "second HELLO");
  message->mac = mac;
  if (status != WC_PEER_OK)
    {
      wc__peer_frame__free_unpacked (message, NULL);
      return status;
    }
  session->received_sequence++;
  session->authenticated = true;
  *frame = message;
  return WC_PEER_OK;
}

size_t
wc_peer_session_get_max_frame_bytes (const WcPeerSession *session)
{
  assert (session != NULL);

  return session->ready ? WC_PEER_FRAME_MAX_BYTES : WC_PEER_HELLO_MAX_BYTES;
}

bool
wc_peer_session_is_ready (const WcPeerSession *session)
{
  assert (session != NULL);

  return session->ready;
}

bool
wc_peer_session_is_authenticated (const WcPeerSession *session)
{
  assert (session != NULL);

  return session->authenticated;
}

uint64_t
wc_peer_session_get_peer (const WcPeerSession *session)
{
  assert (session != NULL);

  return session->peer;
}

uint64_t
wc_peer_session_get_peer_incarnation (const WcPeerSession *session)
{
  assert (session != NULL);

  return session->peer_incarnation;
}

uint32_t
wc_peer_session_get_peer_domain (const WcPeerSession *session)
{
  assert (session != NULL);

  return session->peer_domain;
}

const char *
wc_peer_session_get_peer_name (const WcPeerSession *session)
{
  assert (session != NULL);

  return session->peer_name;
}

uint32_t
wc_peer_session_get_epoch (const WcPeerSession *session)
{
  assert (session != NULL);

  return session->epoch;
}

/* local functions */

static WcPeerStatus
set_failure (WcError *error, WcPeerStatus status, const char *detail)
{
  wc_error_set (error, wc_peer_status_translate (status), "%s: %s", WC_PEER_STATUS_STRINGS[status], detail);
  return status;
}

static WcPeerStatus
receive_hello (WcPeerSession *session, const Wc__PeerFrame *frame, const uint8_t *data, size_t size_bytes,
               WcError *error)
{
  const uint8_t *key;

  if (frame->kind != WC__PEER_FRAME__KIND__HELLO)
    return set_failure (error, WC_PEER_UNEXPECTED, "the first frame is not a HELLO");
  if (session->own_hello->len == 0)
    return set_failure (error, WC_PEER_UNEXPECTED, "HELLO before this instance sent its own");
  if (frame->challenge.len != WC_PEER_CHALLENGE_BYTES || frame->instance == 0 || frame->incarnation == 0)
    return set_failure (error, WC_PEER_MALFORMED, "HELLO without challenge or identity");
  /* The instance is connected to its own port, or an attacker has reflected its HELLO. */
  if (frame->instance == session->instance ||
      memcmp (frame->challenge.data, session->challenge, WC_PEER_CHALLENGE_BYTES) == 0)
    return set_failure (error, WC_PEER_UNEXPECTED, "the peer uses this instance's identity");
  if (frame->n_epochs > WC_PEER_EPOCHS_MAX)
    return set_failure (error, WC_PEER_MALFORMED, "HELLO with too many epochs");

  key = find_common_key (session, frame, &session->epoch);
  session->peer = frame->instance;
  session->peer_incarnation = frame->incarnation;
  session->peer_domain = frame->domain;
  g_strlcpy (session->peer_name, frame->name, sizeof session->peer_name);
  derive_key (session, key, data, size_bytes);
  session->ready = true;
  return WC_PEER_OK;
}

/* The fleet key is the fallback for an instance that has no configuration, or whose keys were all rotated out while it
 * was partitioned; otherwise such an instance could not fetch the new keys from its peers. */
static const uint8_t *
find_common_key (const WcPeerSession *session, const Wc__PeerFrame *hello, uint32_t *epoch)
{
  const uint8_t *key = session->fleet_key;

  *epoch = 0;
  if (!session->keyring)
    return key;
  for (size_t i = 0; i < hello->n_epochs; i++)
    for (size_t j = 0; j < session->epoch_count; j++)
      if (hello->epochs[i] == session->epochs[j] && hello->epochs[i] > *epoch)
        {
          const uint8_t *found = wc_keyring_find (session->keyring, hello->epochs[i], WC_KEY_USE_PEER);

          if (found)
            {
              *epoch = hello->epochs[i];
              key = found;
            }
        }
  return key;
}

static void
derive_key (WcPeerSession *session, const uint8_t *key, const uint8_t *peer_hello, size_t peer_bytes)
{
  static const char        label[] = "wigeoncart peer session 1";
  const uint8_t           *own = session->own_hello->data + WC_PEER_LENGTH_BYTES;
  size_t                   own_bytes = session->own_hello->len - WC_PEER_LENGTH_BYTES;
  uint8_t                  lengths[8];
  crypto_generichash_state state;
  uint32_t                 first = GUINT32_TO_BE ((uint32_t)(session->initiator ? own_bytes : peer_bytes));
  uint32_t                 second = GUINT32_TO_BE ((uint32_t)(session->initiator ? peer_bytes : own_bytes));

  memcpy (lengths, &first, sizeof first);
  memcpy (lengths + sizeof first, &second, sizeof second);
  crypto_generichash_init (&state, key, WC_KEY_BYTES, SESSION_KEY_BYTES);
  crypto_generichash_update (&state, (const uint8_t *)label, sizeof label);
  crypto_generichash_update (&state, lengths, sizeof lengths);
  crypto_generichash_update (&state, session->initiator ? own : peer_hello,
                             session->initiator ? own_bytes : peer_bytes);
  crypto_generichash_update (&state, session->initiator ? peer_hello : own,
                             session->initiator ? peer_bytes : own_bytes);
  crypto_generichash_final (&state, session->key, SESSION_KEY_BYTES);
}

static void
compute_mac (const WcPeerSession *session, bool sent, const Wc__PeerFrame *frame, uint8_t mac[WC_PEER_MAC_BYTES])
{
  uint8_t                  direction = sent == session->initiator ? 1 : 2;
  size_t                   size_bytes = wc__peer_frame__get_packed_size (frame);
  uint8_t                 *packed = g_malloc (size_bytes + 1);
  crypto_generichash_state state;

  wc__peer_frame__pack (frame, packed);
  crypto_generichash_init (&state, session->key, SESSION_KEY_BYTES, WC_PEER_MAC_BYTES);
  crypto_generichash_update (&state, &direction, sizeof direction);
  crypto_generichash_update (&state, packed, size_bytes);
  crypto_generichash_final (&state, mac, WC_PEER_MAC_BYTES);
  g_free (packed);
}

static void
append_packed (const Wc__PeerFrame *frame, GByteArray *out)
{
  size_t   size_bytes = wc__peer_frame__get_packed_size (frame);
  uint32_t length = GUINT32_TO_BE ((uint32_t)size_bytes);
  guint    start = out->len;

  g_byte_array_set_size (out, (guint)(start + WC_PEER_LENGTH_BYTES + size_bytes));
  memcpy (out->data + start, &length, sizeof length);
  wc__peer_frame__pack (frame, out->data + start + WC_PEER_LENGTH_BYTES);
}
