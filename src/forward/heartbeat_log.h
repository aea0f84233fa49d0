#ifndef WC_FORWARD_HEARTBEAT_LOG_H
#define WC_FORWARD_HEARTBEAT_LOG_H

#include <stdint.h>

enum
{
  /* Two a second are recorded, which covers a minute. */
  WC_HEARTBEAT_LOG_ENTRIES = 128
};

/**
 * struct WcHeartbeatLog - when an instance sent its latest heartbeats, to date heartbeats that peers echo.
 * @heartbeats, @sent_us: ring of heartbeats in the order in which they were sent.
 * @count: number of heartbeats recorded so far.
 */
typedef struct
{
  uint64_t heartbeats[WC_HEARTBEAT_LOG_ENTRIES];
  uint64_t sent_us[WC_HEARTBEAT_LOG_ENTRIES];
  uint64_t count;
} WcHeartbeatLog;

/** wc_heartbeat_log_record() - record a heartbeat; left out when another one was recorded just before. */
void wc_heartbeat_log_record (WcHeartbeatLog *log, uint64_t heartbeat, uint64_t now_us);

/**
 * wc_heartbeat_log_get_sent_us() - a time at which @heartbeat had not been sent yet or was just sent; 0 when it is too
 * old to tell.
 */
uint64_t wc_heartbeat_log_get_sent_us (const WcHeartbeatLog *log, uint64_t heartbeat);

#endif
