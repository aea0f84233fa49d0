#ifndef WC_EMULATOR_SPEED_PACKETS_H
#define WC_EMULATOR_SPEED_PACKETS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/keyring.h>

/** enum WcSpeedKind - kind of the packets in the datagrams of a measurement: requests, or the opening of flows. */
typedef enum
{
  WC_SPEED_REQUEST = 0,
  WC_SPEED_OPEN,
  WC_SPEED_KIND_COUNT
} WcSpeedKind;

/**
 * struct WcSpeedPacketsConfig - contents of the datagrams.
 * @service, @domain: names.
 * @flows: number of datagrams, each of its own flow with its own token.
 * @body_bytes: length of the body of a request.
 */
typedef struct
{
  WcSpeedKind kind;
  const char *service;
  const char *domain;
  uint32_t    flows;
  uint32_t    body_bytes;
} WcSpeedPacketsConfig;

/** struct WcSpeedPackets - datagrams that are packed before a measurement. The request id of datagram n is n + 1. */
typedef struct WcSpeedPackets WcSpeedPackets;

/** wc_speed_packets_new() - Return: NULL if a datagram would exceed WC_DATAGRAM_MAX_BYTES or @keyring has no key. */
WcSpeedPackets *wc_speed_packets_new (const WcSpeedPacketsConfig *config, const WcKeyring *keyring);
void            wc_speed_packets_delete (WcSpeedPackets *packets);
uint32_t        wc_speed_packets_get_count (const WcSpeedPackets *packets);
const uint8_t  *wc_speed_packets_get (const WcSpeedPackets *packets, uint32_t index, size_t *size_bytes);

/**
 * wc_speed_packets_find_id() - extract the request id of a datagram.
 *
 * Return: the id of a caller's packet, of a relayed one with a valid MAC, or of a successful reply; 0 for all others.
 */
uint64_t wc_speed_packets_find_id (const WcKeyring *keyring, const uint8_t *data, size_t size_bytes);

#endif
