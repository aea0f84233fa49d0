#ifndef WC_CORE_PEER_SESSION_H
#define WC_CORE_PEER_SESSION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/keyring.h>
#include <wigeoncart/status.h>

#include "wigeoncart.pb-c.h"

enum
{
  WC_PEER_CHALLENGE_BYTES = 32,
  WC_PEER_MAC_BYTES = 16,
  WC_PEER_LENGTH_BYTES = 4,
  WC_PEER_EPOCHS_MAX = 64,
  /* Maximum length of the HELLO, so that an unauthenticated peer cannot make this instance buffer a large frame. */
  WC_PEER_HELLO_MAX_BYTES = 2048,
  /* One part of the register and the other fields of its frame. */
  WC_PEER_FRAME_MAX_BYTES = WC_REGISTER_PART_MAX_BYTES + 4096
};

/** enum WcPeerStatus - result of a call on a peer session. The link is closed on any value but OK. */
typedef enum
{
  WC_PEER_OK = 0,
  WC_PEER_MALFORMED,
  WC_PEER_TOO_LARGE,
  WC_PEER_FORGED,
  WC_PEER_OUT_OF_SEQUENCE,
  WC_PEER_UNEXPECTED,
  WC_PEER_STATUS_COUNT
} WcPeerStatus;

extern const char *const WC_PEER_STATUS_STRINGS[WC_PEER_STATUS_COUNT];

/** wc_peer_status_translate() - map a WcPeerStatus to the WcStatus of the same meaning. */
WcStatus wc_peer_status_translate (WcPeerStatus status);

/**
 * struct WcPeerSessionConfig - parameters of a session; wc_peer_session_new() copies or references them.
 * @initiator: this side opened the connection.
 * @name: name of this instance, for the peer's logs.
 * @fleet_key: key of epoch 0, used when the two peers have no published epoch in common.
 * @keyring: published keys, or NULL.
 * @epochs: epochs of @keyring; at most the newest WC_PEER_EPOCHS_MAX are used.
 * @challenge: bytes from a secure random source, never used before.
 */
typedef struct
{
  bool            initiator;
  uint64_t        instance;
  uint64_t        incarnation;
  uint32_t        domain;
  const char     *name;
  const uint8_t  *fleet_key;
  WcKeyring      *keyring;
  const uint32_t *epochs;
  size_t          epoch_count;
  uint8_t         challenge[WC_PEER_CHALLENGE_BYTES];
} WcPeerSessionConfig;

/**
 * struct WcPeerSession - authenticated session with one peer, independent of the socket.
 *
 * Each side sends a HELLO with a random challenge and the epochs of its keys. The session key is a keyed hash of both
 * HELLOs, with the key of the newest common epoch. The first frame after the HELLOs therefore authenticates identities,
 * challenges and offered epochs. Every later frame has a MAC over direction, sequence number and content. A session
 * keeps its key when the fleet's keys are rotated.
 */
typedef struct WcPeerSession WcPeerSession;

WcPeerSession *wc_peer_session_new (const WcPeerSessionConfig *config);
void           wc_peer_session_delete (WcPeerSession *session);

/** wc_peer_session_pack_hello() - append the HELLO and its length to @out; to be called exactly once, before any other
 * frame is packed. */
void wc_peer_session_pack_hello (WcPeerSession *session, GByteArray *out);

/**
 * wc_peer_session_pack() - append a frame with length, sequence number and MAC to @out.
 * @frame: its fields sequence, epoch and mac are overwritten.
 *
 * Return: OK, UNEXPECTED before the peer's HELLO has arrived, or TOO_LARGE.
 */
WcPeerStatus wc_peer_session_pack (WcPeerSession *session, Wc__PeerFrame *frame, GByteArray *out);

/**
 * wc_peer_session_receive() - unpack and authenticate one frame.
 * @data: the frame without its length.
 * @frame: set to the frame when it is authentic, to be freed with wc__peer_frame__free_unpacked(); set to NULL for the
 * HELLO and on failure.
 * @error: description of a failure; may be NULL.
 */
WcPeerStatus wc_peer_session_receive (WcPeerSession *session, const uint8_t *data, size_t size_bytes,
                                      Wc__PeerFrame **frame, WcError *error);

/** wc_peer_session_get_max_frame_bytes() - maximum length of the next frame in bytes. */
size_t wc_peer_session_get_max_frame_bytes (const WcPeerSession *session);

/** wc_peer_session_is_ready() - whether the peer's HELLO has arrived, so that frames can be sent. */
bool wc_peer_session_is_ready (const WcPeerSession *session);

/** wc_peer_session_is_authenticated() - whether the peer has proven that it has the key. */
bool wc_peer_session_is_authenticated (const WcPeerSession *session);

/* Identity in the peer's HELLO; not trustworthy before the session is authenticated. */
uint64_t    wc_peer_session_get_peer (const WcPeerSession *session);
uint64_t    wc_peer_session_get_peer_incarnation (const WcPeerSession *session);
uint32_t    wc_peer_session_get_peer_domain (const WcPeerSession *session);
const char *wc_peer_session_get_peer_name (const WcPeerSession *session);

/** wc_peer_session_get_epoch() - epoch of the key that the session key is derived from; 0 for the fleet key. */
uint32_t wc_peer_session_get_epoch (const WcPeerSession *session);

#endif
