#include <wigeoncart/token.h>

#include <assert.h>

#include "core/arena.h"
#include "wigeoncart.pb-c.h"

enum
{
  PLAIN_MAX_BYTES = WC_TOKEN_MAX_BYTES - WC_SEAL_OVERHEAD_BYTES,
  /* Space for the message and for a few fields that a later version may add. */
  ARENA_BYTES = 512
};

size_t
wc_token_seal (WcSealer *sealer, const WcKeyring *keyring, const WcToken *token, uint8_t sealed[WC_TOKEN_MAX_BYTES])
{
  Wc__TokenBody body = WC__TOKEN_BODY__INIT;
  uint8_t       plain[PLAIN_MAX_BYTES];
  size_t        plain_bytes;

  assert (sealer != NULL);
  assert (keyring != NULL);
  assert (token != NULL);
  assert (sealed != NULL);

  body.service = token->service;
  body.customer = token->customer;
  body.domain = token->domain;
  body.owner = token->owner;
  body.incarnation = token->incarnation;
  body.worker = token->worker;
  body.target = token->target;
  body.expiry_wall_s = token->expiry_wall_s;
  body.flow = token->flow;
  assert (wc__token_body__get_packed_size (&body) <= sizeof plain);
  plain_bytes = wc__token_body__pack (&body, plain);
  return wc_seal (sealer, keyring, WC_KEY_USE_TOKEN, plain, plain_bytes, sealed, WC_TOKEN_MAX_BYTES);
}

WcStatus
wc_token_open (const WcKeyring *keyring, uint64_t wall_s, const uint8_t *sealed, size_t sealed_bytes, WcToken *token)
{
  Wc__TokenBody *body;
  WcArena        arena;
  uint8_t        buffer[ARENA_BYTES];
  uint8_t        plain[PLAIN_MAX_BYTES];
  size_t         plain_bytes;
  WcStatus       status;

  assert (keyring != NULL);
  assert (sealed != NULL || sealed_bytes == 0);
  assert (token != NULL);

  status = wc_seal_open (keyring, WC_KEY_USE_TOKEN, sealed, sealed_bytes, plain, sizeof plain, &plain_bytes);
  if (status != WC_STATUS_OK)
    return status == WC_STATUS_TOO_LARGE ? WC_STATUS_FORGED : status;
  wc_arena_init (&arena, buffer, sizeof buffer);
  body = wc__token_body__unpack (wc_arena_get_allocator (&arena), plain_bytes, plain);
  if (!body)
    return WC_STATUS_PARSE;
  token->service = body->service;
  token->customer = body->customer;
  token->domain = body->domain;
  token->owner = body->owner;
  token->incarnation = body->incarnation;
  token->worker = body->worker;
  token->target = body->target;
  token->expiry_wall_s = body->expiry_wall_s;
  token->flow = body->flow;
  return wall_s >= token->expiry_wall_s ? WC_STATUS_EXPIRED : WC_STATUS_OK;
}
