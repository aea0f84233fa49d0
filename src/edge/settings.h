#ifndef WC_EDGE_SETTINGS_H
#define WC_EDGE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/register.h>
#include <wigeoncart/status.h>

/**
 * struct WcSettings - settings of one instance that handles datagrams, read from a JSON file with comments.
 * @instance: name of the instance; its identifier is wc_name_id64() of it.
 * @domain: name of its failure domain.
 * @listen: UDP address for callers, shared by all workers (SO_REUSEPORT).
 * @peer: TCP address for peer links; worker n receives relayed datagrams on UDP port @peer.port + n.
 * @operators: TCP address of the operators' HTTP interface; loopback by default.
 * @platforms: HTTP addresses of the platform, tried in order.
 * @fleet_key: key that authenticates peers while no keys are published (epoch 0).
 * @fault_injection: allows the operators' HTTP interface to block peer links, for tests only; off by default.
 */
typedef struct
{
  char      *instance;
  char      *domain;
  WcAddress  listen;
  WcAddress  peer;
  WcAddress  operators;
  WcAddress *platforms;
  size_t     platform_count;
  uint16_t   workers;
  uint8_t    fleet_key[WC_KEY_BYTES];
  uint32_t   ticket_life_ms;
  uint32_t   answer_life_ms;
  uint32_t   token_life_s;
  uint32_t   ledger_max_entries;
  uint32_t   requests_max;
  uint32_t   queue_max_requests;
  uint32_t   answers_max;
  uint32_t   answers_max_bytes;
  uint32_t   stream_max_waiters;
  uint32_t   retry_budget_percent;
  uint32_t   drain_limit_ms;
  uint32_t   heartbeat_ms;
  uint32_t   suspect_after_ms;
  uint32_t   pause_threshold_ms;
  uint32_t   confirm_limit_ms;
  uint32_t   event_ring_entries;
  char      *log_level;
  bool       fault_injection;
} WcSettings;

/**
 * wc_settings_load() - read and validate a settings file.
 *
 * Unknown keys, duplicate keys, wrong types and values out of range are errors; the message gives the file, line, key
 * and reason.
 *
 * Return: new settings, or NULL with @error set.
 */
WcSettings *wc_settings_load (const char *path, WcError *error);
void        wc_settings_delete (WcSettings *settings);

#endif
