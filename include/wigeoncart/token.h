#ifndef WIGEONCART_TOKEN_H
#define WIGEONCART_TOKEN_H

#include <wigeoncart/seal.h>

enum
{
  WC_TOKEN_MAX_BYTES = 128
};

/**
 * struct WcToken - content of a flow's token.
 * @target: preferred target of the flow.
 * @owner: instance that opened the flow, with its @incarnation and @worker.
 * @expiry_wall_s: wall-clock time at which the token expires and the caller has to open a new flow; wrong clocks break
 * no guarantee.
 * @flow: random identifier of the flow, also recorded in the timeline.
 */
typedef struct
{
  uint32_t service;
  uint32_t customer;
  uint32_t domain;
  uint32_t target;
  uint64_t owner;
  uint64_t incarnation;
  uint32_t worker;
  uint64_t expiry_wall_s;
  uint64_t flow;
} WcToken;

/** wc_token_seal() - encode and encrypt. Return: bytes written to @sealed, 0 when the keyring is empty. */
size_t
wc_token_seal (WcSealer *sealer, const WcKeyring *keyring, const WcToken *token, uint8_t sealed[WC_TOKEN_MAX_BYTES]);

/**
 * wc_token_open() - authenticate and decrypt; does not allocate memory.
 * @token: set on OK and EXPIRED, unchanged otherwise.
 *
 * A token is expired when @wall_s >= @expiry_wall_s.
 *
 * Return: OK, FORGED, UNKNOWN_KEY, EXPIRED, or PARSE.
 */
WcStatus
wc_token_open (const WcKeyring *keyring, uint64_t wall_s, const uint8_t *sealed, size_t sealed_bytes, WcToken *token);

#endif
