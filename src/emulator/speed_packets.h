#ifndef WC_EMULATOR_SPEED_PACKETS_H
#define WC_EMULATOR_SPEED_PACKETS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/keyring.h>

/** enum WcSpeedKind - what the datagrams of a measurement ask for. */
typedef enum
{
  WC_SPEED_REQUEST = 0,
  WC_SPEED_OPEN,
  WC_SPEED_KIND_COUNT
} WcSpeedKind;

/** struct WcSpeedPacketsConfig - @service and @domain are names; @flows: different flows, each with its own token. */
typedef struct
{
  WcSpeedKind kind;
  const char *service;
  const char *domain;
  uint32_t    flows;
  uint32_t    body_bytes;
} WcSpeedPacketsConfig;

/** struct WcSpeedPackets - datagrams that were packed before a measurement. The request id of number n is n + 1. */
typedef struct WcSpeedPackets WcSpeedPackets;

/** wc_speed_packets_new() - Return: NULL when a datagram would be too long or the ring has no key. */
WcSpeedPackets *wc_speed_packets_new (const WcSpeedPacketsConfig *config, const WcKeyring *keyring);
void            wc_speed_packets_delete (WcSpeedPackets *packets);
uint32_t        wc_speed_packets_get_count (const WcSpeedPackets *packets);
const uint8_t  *wc_speed_packets_get (const WcSpeedPackets *packets, uint32_t index, size_t *size_bytes);

/** wc_speed_packets_find_id() - request id of a caller's datagram, a relayed one, or a reply; 0 when it is none. */
uint64_t wc_speed_packets_find_id (const WcKeyring *keyring, const uint8_t *data, size_t size_bytes);

#endif
