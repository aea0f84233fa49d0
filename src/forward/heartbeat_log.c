#include "forward/heartbeat_log.h"

#include <assert.h>
#include <stddef.h>

#include <glib.h>

enum
{
  /* Replies to peers that start together would otherwise overwrite the log. */
  INTERVAL_MIN_US = 250 * 1000
};

void
wc_heartbeat_log_record (WcHeartbeatLog *log, uint64_t heartbeat, uint64_t now_us)
{
  size_t latest;

  assert (log != NULL);

  latest = (log->count + WC_HEARTBEAT_LOG_ENTRIES - 1) % WC_HEARTBEAT_LOG_ENTRIES;
  if (log->count > 0 && now_us - log->sent_us[latest] < INTERVAL_MIN_US)
    return;
  log->heartbeats[log->count % WC_HEARTBEAT_LOG_ENTRIES] = heartbeat;
  log->sent_us[log->count % WC_HEARTBEAT_LOG_ENTRIES] = now_us;
  log->count++;
}

/* The latest recorded heartbeat that is not higher was sent no later than the one in question. */
uint64_t
wc_heartbeat_log_get_sent_us (const WcHeartbeatLog *log, uint64_t heartbeat)
{
  uint64_t known;

  assert (log != NULL);

  known = MIN (log->count, WC_HEARTBEAT_LOG_ENTRIES);
  for (uint64_t i = 1; i <= known; i++)
    {
      size_t index = (log->count - i) % WC_HEARTBEAT_LOG_ENTRIES;

      if (log->heartbeats[index] <= heartbeat)
        return log->sent_us[index];
    }
  return 0;
}
