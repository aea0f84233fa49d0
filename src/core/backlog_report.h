#ifndef WC_CORE_BACKLOG_REPORT_H
#define WC_CORE_BACKLOG_REPORT_H

#include <wigeoncart/keyring.h>
#include <wigeoncart/spill.h>

#include "core/arena.h"

enum
{
  WC_BACKLOG_REPORT_MAX_BYTES = 128
};

/**
 * struct WcBacklogReport - what the owner of a shard of a service tells the shard's owner in another domain.
 * @sent_us: time of the sender; grows from report to report of one incarnation.
 * @echo_us: @sent_us of the newest report received from the other side, 0 for none.
 * @echo_held_us: how long the sender had that report when it sent this one.
 * @echo_incarnation: low half of the incarnation that sent the echoed report.
 * @active: the sender had requests lately and wants reports.
 */
typedef struct
{
  uint64_t    instance;
  uint64_t    incarnation;
  uint32_t    service;
  uint32_t    shard;
  uint64_t    sent_us;
  WcSpillLoad load;
  uint64_t    echo_us;
  uint32_t    echo_held_us;
  uint32_t    echo_incarnation;
  bool        active;
} WcBacklogReport;

/** wc_backlog_report_matches() - whether a datagram of the relay port is a report rather than a relayed datagram. */
bool wc_backlog_report_matches (const uint8_t *data, size_t size_bytes);

/** wc_backlog_report_pack() - Return: bytes written, 0 when there is no key. */
size_t wc_backlog_report_pack (const WcKeyring *keyring, const WcBacklogReport *report,
                               uint8_t buffer[WC_BACKLOG_REPORT_MAX_BYTES]);

/** wc_backlog_report_open() - check and unpack. Return: OK, PARSE, UNKNOWN_KEY or FORGED. */
WcStatus wc_backlog_report_open (const WcKeyring *keyring, const uint8_t *data, size_t size_bytes, WcArena *arena,
                                 WcBacklogReport *report);

#endif
