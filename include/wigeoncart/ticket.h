#ifndef WIGEONCART_TICKET_H
#define WIGEONCART_TICKET_H

#include <wigeoncart/seal.h>

enum
{
  WC_TICKET_MAX_BYTES = 128
};

/**
 * struct WcTicket - permission to run one non-idempotent request, valid for one incarnation only.
 * @flow: identifier of the flow, which gives the shard whose targets run the order.
 * @serial: unique in the worker that issued it.
 * @expiry_us: on the monotonic clock of the issuer; no other instance interprets it.
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

/** wc_ticket_seal() - Return: bytes written to @sealed, 0 when the ring is empty. */
size_t wc_ticket_seal (WcSealer *sealer, const WcKeyring *keyring, const WcTicket *ticket,
                       uint8_t sealed[WC_TICKET_MAX_BYTES]);

/**
 * wc_ticket_open() - check and decrypt; does not allocate.
 * @ticket: filled on OK, unchanged otherwise.
 *
 * The owner checks the expiry.
 *
 * Return: OK, FORGED, UNKNOWN_KEY, or PARSE.
 */
WcStatus wc_ticket_open (const WcKeyring *keyring, const uint8_t *sealed, size_t sealed_bytes, WcTicket *ticket);

#endif
