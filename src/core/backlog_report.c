#include "core/backlog_report.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

#include "wigeoncart.pb-c.h"

enum
{
  /* Protobuf key of field 1 with wire type fixed 64-bit. A RelayPacket begins with a length-delimited field 1, the
   * caller's address, so the first byte tells the two apart. */
  REPORT_FIRST_BYTE = 1 << 3 | 1
};

static uint64_t compute_mac (const uint8_t *key, const Wc__BacklogReport *message);

bool
wc_backlog_report_matches (const uint8_t *data, size_t size_bytes)
{
  assert (data != NULL || size_bytes == 0);

  return size_bytes > 0 && data[0] == REPORT_FIRST_BYTE;
}

size_t
wc_backlog_report_pack (const WcKeyring *keyring, const WcBacklogReport *report,
                        uint8_t buffer[WC_BACKLOG_REPORT_MAX_BYTES])
{
  Wc__BacklogReport message = WC__BACKLOG_REPORT__INIT;
  const uint8_t    *key;

  assert (keyring != NULL);
  assert (report != NULL);
  assert (report->instance != 0);

  message.epoch = wc_keyring_get_newest_epoch (keyring);
  key = wc_keyring_find (keyring, message.epoch, WC_KEY_USE_REPORT);
  if (!key)
    return 0;
  message.instance = report->instance;
  message.incarnation = report->incarnation;
  message.service = report->service;
  message.shard = report->shard;
  message.sent_us = report->sent_us;
  message.backlog_us = report->load.backlog_us;
  message.step_us = report->load.step_us;
  message.echo_us = report->echo_us;
  message.echo_held_us = report->echo_held_us;
  message.echo_incarnation = report->echo_incarnation;
  message.active = report->active;
  message.mac = compute_mac (key, &message);
  return wc__backlog_report__pack (&message, buffer);
}

WcStatus
wc_backlog_report_open (const WcKeyring *keyring, const uint8_t *data, size_t size_bytes, WcArena *arena,
                        WcBacklogReport *report)
{
  Wc__BacklogReport *message;
  const uint8_t     *key;
  uint8_t            canonical[WC_BACKLOG_REPORT_MAX_BYTES];

  assert (keyring != NULL);
  assert (report != NULL);

  if (size_bytes > WC_BACKLOG_REPORT_MAX_BYTES)
    return WC_STATUS_PARSE;
  message = wc__backlog_report__unpack (wc_arena_get_allocator (arena), size_bytes, data);
  if (!message || message->instance == 0 || message->base.n_unknown_fields > 0)
    return WC_STATUS_PARSE;
  /* The MAC covers the values of the fields, not the received bytes, so only the canonical encoding is accepted. */
  if (wc__backlog_report__pack (message, canonical) != size_bytes || memcmp (canonical, data, size_bytes) != 0)
    return WC_STATUS_PARSE;
  key = wc_keyring_find (keyring, message->epoch, WC_KEY_USE_REPORT);
  if (!key)
    return WC_STATUS_UNKNOWN_KEY;
  if (compute_mac (key, message) != message->mac)
    return WC_STATUS_FORGED;

  *report = (WcBacklogReport){
    .instance = message->instance,
    .incarnation = message->incarnation,
    .service = message->service,
    .shard = message->shard,
    .sent_us = message->sent_us,
    .load = { .backlog_us = message->backlog_us, .step_us = message->step_us },
    .echo_us = message->echo_us,
    .echo_held_us = message->echo_held_us,
    .echo_incarnation = message->echo_incarnation,
    .active = message->active,
  };
  return WC_STATUS_OK;
}

/* local functions */

static uint64_t
compute_mac (const uint8_t *key, const Wc__BacklogReport *message)
{
  uint8_t           input[WC_BACKLOG_REPORT_MAX_BYTES];
  Wc__BacklogReport covered = *message;
  uint64_t          mac;

  _Static_assert(crypto_shorthash_BYTES == sizeof mac, "the MAC is one 64-bit word");

  covered.mac = 0;
  crypto_shorthash ((unsigned char *)&mac, input, wc__backlog_report__pack (&covered, input), key);
  return mac;
}
