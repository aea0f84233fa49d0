#ifndef WC_EDGE_FORWARD_SETTINGS_H
#define WC_EDGE_FORWARD_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

#include "forward/features.h"

enum
{
  WC_FORWARD_SEEDS_MAX = 16
};

/**
 * struct WcForwardSettings - settings of an instance that forwards packets, read from a JSON file with comments.
 * @instance: name of the instance.
 * @domain: name of its failure domain.
 * @packets: UDP address to which the fabric delivers packets from callers. Callers listen on the same port number.
 * @ready: HTTP address of the readiness check that the fabric polls.
 * @peers: UDP and HTTP address on which other instances reach this one.
 * @operators: HTTP address that serves the metrics to operators.
 * @store: HTTP address of the platform's store.
 * @seeds: peer addresses of some instances, used to discover the others; some may be out of date.
 * @flow_lifetime_ms: maximum lifetime of a flow.
 * @stop_limit_ms: time within which a planned stop must finish.
 * @features: decisions that the deployment asks for; key "contracts".
 * @warm_up_overrun: factor of the flows a second that a host bears while it is cold; 0 for no limit.
 * @warm_up_slack: flows a second that such a host may get in addition.
 * @other_domain_cost_ms: cost of a flow to a host of another domain, as an answer time; 0 when not given.
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

  WcForwardFeatures features;
  double            warm_up_overrun;
  uint32_t          warm_up_slack;
  uint32_t          other_domain_cost_ms;
} WcForwardSettings;

/**
 * wc_forward_settings_load() - read and validate a settings file.
 *
 * Unknown keys, duplicate keys, wrong types and values out of range are errors; the message gives the file, line, key
 * and reason.
 *
 * Return: new settings, or NULL with @error set.
 */
WcForwardSettings *wc_forward_settings_load (const char *path, WcError *error);
void               wc_forward_settings_delete (WcForwardSettings *settings);

#endif
