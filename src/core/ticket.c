#include <wigeoncart/ticket.h>

#include <assert.h>

#include "core/arena.h"
#include "wigeoncart.pb-c.h"

enum
{
  PLAIN_MAX_BYTES = WC_TICKET_MAX_BYTES - WC_SEAL_OVERHEAD_BYTES,
  /* Space for the message and for a few fields that a later version may add. */
  ARENA_BYTES = 512
};

size_t
wc_ticket_seal (WcSealer *sealer, const WcKeyring *keyring, const WcTicket *ticket, uint8_t sealed[WC_TICKET_MAX_BYTES])
{
  Wc__TicketBody body = WC__TICKET_BODY__INIT;
  uint8_t        plain[PLAIN_MAX_BYTES];
  size_t         plain_bytes;

  assert (sealer != NULL);
  assert (keyring != NULL);
  assert (ticket != NULL);
  assert (sealed != NULL);

  body.service = ticket->service;
  body.customer = ticket->customer;
  body.domain = ticket->domain;
  body.owner = ticket->owner;
  body.incarnation = ticket->incarnation;
  body.worker = ticket->worker;
  body.flow = ticket->flow;
  body.serial = ticket->serial;
  body.expiry_us = ticket->expiry_us;
  assert (wc__ticket_body__get_packed_size (&body) <= sizeof plain);
  plain_bytes = wc__ticket_body__pack (&body, plain);
  return wc_seal (sealer, keyring, WC_KEY_USE_TICKET, plain, plain_bytes, sealed, WC_TICKET_MAX_BYTES);
}

WcStatus
wc_ticket_open (const WcKeyring *keyring, const uint8_t *sealed, size_t sealed_bytes, WcTicket *ticket)
{
  Wc__TicketBody *body;
  WcArena         arena;
  uint8_t         buffer[ARENA_BYTES];
  uint8_t         plain[PLAIN_MAX_BYTES];
  size_t          plain_bytes;
  WcStatus        status;

  assert (keyring != NULL);
  assert (sealed != NULL || sealed_bytes == 0);
  assert (ticket != NULL);

  status = wc_seal_open (keyring, WC_KEY_USE_TICKET, sealed, sealed_bytes, plain, sizeof plain, &plain_bytes);
  if (status != WC_STATUS_OK)
    return status == WC_STATUS_TOO_LARGE ? WC_STATUS_FORGED : status;
  wc_arena_init (&arena, buffer, sizeof buffer);
  body = wc__ticket_body__unpack (wc_arena_get_allocator (&arena), plain_bytes, plain);
  if (!body)
    return WC_STATUS_PARSE;
  ticket->service = body->service;
  ticket->customer = body->customer;
  ticket->domain = body->domain;
  ticket->owner = body->owner;
  ticket->incarnation = body->incarnation;
  ticket->worker = body->worker;
  ticket->flow = body->flow;
  ticket->serial = body->serial;
  ticket->expiry_us = body->expiry_us;
  return WC_STATUS_OK;
}
