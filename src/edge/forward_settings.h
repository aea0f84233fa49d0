#ifndef WC_EDGE_FORWARD_SETTINGS_H
#define WC_EDGE_FORWARD_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

enum
{
  WC_FORWARD_SEEDS_MAX = 16
};

/**
 * struct WcForwardSettings - settings of an instance that forwards packets, from a JSON file with comments.
 * @instance: name of the instance.
 * @domain: name of its failure domain.
 * @packets: UDP address that the fabric sends callers' packets to. Callers listen on the same port number.
 * @ready: HTTP address that the fabric asks whether the instance takes packets.
 * @peers: UDP and HTTP address for other instances.
 * @operators: HTTP address of the metrics.
 * @store: HTTP address of the platform's store.
 * @seeds: addresses for peers of some instances; they may be out of date.
 * @flow_lifetime_ms: a flow may live this long.
 * @stop_limit_ms: a planned stop must end within this time.
 */
typedef struct
{
  char     *instance;
  char     *domain;
  WcAddress packets;
  WcAddress ready;
  WcAddress peers;
  WcAddress operators;
  WcAddress store;
  WcAddress seeds[WC_FORWARD_SEEDS_MAX];
  size_t    seed_count;
  uint32_t  flow_lifetime_ms;
  uint32_t  stop_limit_ms;
} WcForwardSettings;

/**
 * wc_forward_settings_load() - read and check a settings file.
 *
 * Every key is checked: unknown and duplicate keys, types, ranges. The message names file, line, key and reason.
 *
 * Return: new settings, or NULL with @error set.
 */
WcForwardSettings *wc_forward_settings_load (const char *path, WcError *error);
void               wc_forward_settings_delete (WcForwardSettings *settings);

#endif
