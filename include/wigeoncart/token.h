#ifndef WIGEONCART_TOKEN_H
#define WIGEONCART_TOKEN_H

#include <wigeoncart/seal.h>

enum
{
  WC_TOKEN_MAX_BYTES = 128
};

/**
 * struct WcToken - what a flow's token says.
 * @owner: instance that opened the flow; @incarnation and @worker belong to it.
 * @target: preferred target.
 * @expiry_wall_s: wall-clock time after which the caller opens a new flow; no invariant depends on it.
 * @flow: random identifier, for the time line.
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

/** wc_token_seal() - Return: bytes written to @sealed, 0 when the ring is empty. */
size_t
wc_token_seal (WcSealer *sealer, const WcKeyring *keyring, const WcToken *token, uint8_t sealed[WC_TOKEN_MAX_BYTES]);

/**
 * wc_token_open() - check and decrypt; does not allocate.
 * @token: filled on OK and EXPIRED, unchanged otherwise.
 *
 * A token is expired when @wall_s has reached its @expiry_wall_s.
 *
 * Return: OK, FORGED, UNKNOWN_KEY, EXPIRED, or PARSE.
 */
WcStatus
wc_token_open (const WcKeyring *keyring, uint64_t wall_s, const uint8_t *sealed, size_t sealed_bytes, WcToken *token);

#endif
