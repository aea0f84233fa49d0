#ifndef WIGEONCART_TICKET_H
#define WIGEONCART_TICKET_H

#include <wigeoncart/seal.h>

enum
{
  WC_TICKET_MAX_BYTES = 128
};

/**
 * struct WcTicket - permission to run one non-idempotent request, valid only for the incarnation that issued it.
 * @flow: identifier of the flow; it selects the shard whose targets run the order.
 * @serial: unique within the worker that issued the ticket.
 * @expiry_us: on the monotonic clock of the issuer; meaningless to other instances.
 */
typedef struct
{
  uint32_t service;
  uint32_t customer;
  uint32_t domain;
  uint64_t owner;
  uint64_t incarnation;
  uint32_t worker;
  uint64_t flow;
  uint64_t serial;
  uint64_t expiry_us;
} WcTicket;

/** wc_ticket_seal() - encode and encrypt. Return: bytes written to @sealed, 0 when the keyring is empty. */
size_t wc_ticket_seal (WcSealer *sealer, const WcKeyring *keyring, const WcTicket *ticket,
                       uint8_t sealed[WC_TICKET_MAX_BYTES]);

/**
 * wc_ticket_open() - authenticate and decrypt; does not allocate memory.
 * @ticket: set on OK, unchanged otherwise.
 *
 * The expiry is not checked here but by the owner.
 *
 * Return: OK, FORGED, UNKNOWN_KEY, or PARSE.
 */
WcStatus wc_ticket_open (const WcKeyring *keyring, const uint8_t *sealed, size_t sealed_bytes, WcTicket *ticket);

#endif
