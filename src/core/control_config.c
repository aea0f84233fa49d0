#include "core/control_private.h"

#include <assert.h>
#include <string.h>

#include <wigeoncart/ownership.h>

enum
{
  US_PER_MS = 1000,
  MIN_READ_INTERVAL_US = 200 * US_PER_MS,
  /* A revision has to be in force within 5 s after the platform has recovered, even when a read failed just before
   * that. Both with 2 readers per domain and with 1,200 instances that no peer confirms, the load stays below the
   * platform's limit of 2,000 reads/s. */
  BACKOFF_MAX_US = 2000 * US_PER_MS,
  /* One in this many watches is replaced by a read of the current value: when the platform is restored from a backup,
   * its version may be lower than before, and a watch for a higher version would not return. */
  WATCHES_PER_READ = 4
};

static void     start_read (WcControl *control, uint64_t now_us, bool watch);
static void     schedule_head_read (WcControl *control, uint64_t now_us);
static uint64_t get_backoff_us (WcControl *control);
static void     activate (WcControl *control, uint64_t now_us);
static void     rebuild_keyring (WcControl *control);
static void     receive_head (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame);
static void     receive_part (WcControl *control, uint64_t now_us, const Wc__PeerFrame *frame);

bool
wc_control_is_newer (const WcControl *control, const WcConfigId *id)
{
  WcConfigId rejected;

  if (wc_config_id_compare (id, wc_config_store_get_id (control->store)) <= 0)
    return false;
  return !wc_config_store_get_rejection (control->store, &rejected) || wc_config_id_compare (id, &rejected) != 0;
}

bool
wc_control_peer_has_newer (const WcControl *control)
{
  GHashTableIter iterator;
  gpointer       value;

  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (wc_control_is_newer (control, &((WcControlLink *)value)->config))
      return true;
  return false;
}

/* A joining instance reads the head. After that, the two readers of a domain watch it, and the other instances read it
 * only when no peer of the domain has confirmed the configuration for unconfirmed_limit_us. */
void
wc_control_config_tick (WcControl *control, uint64_t now_us)
{
  bool reader = wc_control_is_reader (control);
  bool unconfirmed = now_us >= control->domain_confirmed_us + control->config.unconfirmed_limit_us;
  bool joining = control->lifecycle == WC_LIFECYCLE_JOINING;

  if (control->lifecycle == WC_LIFECYCLE_STOPPED)
    return;
  if (!control->list_pending && now_us >= control->next_list_read_us)
    {
      control->list_pending = true;
      wc_counters_add (control->counters, WC_COUNTER_PLATFORM_READS, 1);
      control->ops->read_list (control->user_data);
    }
  if (control->head_pending)
    {
      if (control->head_is_watch && !reader)
        {
          control->ops->cancel_head (control->user_data);
          control->head_pending = false;
        }
      return;
    }
  /* A new reader reads at once: the read scheduled for missing confirmations would come 5 to 10 s after the previous
   * readers failed. */
  if (reader && !control->was_reader)
    control->next_head_read_us = MIN (control->next_head_read_us, now_us);
  control->was_reader = reader;
  if (!joining && !reader && !unconfirmed && !control->reconfirming)
    {
      /* Random, to spread the reads of a domain whose instances lose their confirmations at the same time. */
      control->next_head_read_us =
          now_us +
          (uint64_t)g_rand_int_range (control->random, 0, (gint32)MAX (control->config.unconfirmed_limit_us, 1));
      return;
    }
  if (now_us < control->next_head_read_us)
    return;
  start_read (control, now_us, !joining && reader && !control->reconfirming);
}

void
wc_control_receive_config (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame)
{
  switch (frame->kind)
    {
    case WC__PEER_FRAME__KIND__CONFIG_ASK:
      wc_control_answer_config_query (control, link, frame);
      break;
    case WC__PEER_FRAME__KIND__CONFIG_HEAD:
      if (control->fetch == WC_FETCH_PEER_HEAD && control->fetch_peer == link->id)
        control->fetch = WC_FETCH_IDLE;
      link->fetched_config = link->config;
      if (frame->content.len > 0)
        receive_head (control, now_us, link, frame);
      break;
    case WC__PEER_FRAME__KIND__CONFIG_PART:
      if (frame->content.len == 0)
        {
          if (control->fetch == WC_FETCH_PEER_PARTS && control->fetch_peer == link->id)
            wc_control_fetch_failed (control, now_us);
          break;
        }
      if (control->fetch == WC_FETCH_PEER_PARTS && control->fetch_peer == link->id)
        {
          control->fetch_deadline_us = now_us + WC_CONTROL_PEER_TIMEOUT_US;
          if (--control->fetch_outstanding == 0)
            control->fetch = WC_FETCH_IDLE;
        }
      receive_part (control, now_us, frame);
      break;
    default:
      wc_counters_add (control->counters, WC_COUNTER_PEER_FRAMES_REJECTED, 1);
      break;
    }
}

void
wc_control_offer_head (WcControl *control, uint64_t now_us, const char *text, size_t size_bytes)
{
  WcError  error;
  WcStatus status = wc_config_store_offer_head (control->store, text, size_bytes, &error);

  if (status == WC_STATUS_STALE)
    wc_counters_add (control->counters, WC_COUNTER_CONFIG_STALE, 1);
  else if (status != WC_STATUS_OK)
    {
      wc_counters_add (control->counters, WC_COUNTER_CONFIG_REJECTED, 1);
      wc_control_record_event (control, WC_EVENT_CONFIG_REJECTED, 0, "malformed head");
    }
  else
    {
      control->fetch_failures = 0;
      control->next_fetch_us = 0;
      activate (control, now_us);
    }
}

void
wc_control_accept_deferred_head (WcControl *control, uint64_t now_us)
{
  const char *text;
  gsize       size_bytes;
  GBytes     *head = control->deferred_head;

  if (!head)
    return;
  control->deferred_head = NULL;
  text = g_bytes_get_data (head, &size_bytes);
  wc_control_offer_head (control, now_us, text, size_bytes);
  g_bytes_unref (head);
}

void
wc_control_head_received (WcControl *control, uint64_t now_us, uint64_t version, const char *text, size_t size_bytes)
{
  const char *current;
  gsize       current_bytes = 0;
  uint8_t     digest[WC_DIGEST_BYTES];

  assert (control != NULL);
  assert (text != NULL);

  /* The tick detects a pause and then cancels a read that was issued before it, so that its reply is ignored. */
  wc_control_tick (control, now_us);
  if (!control->head_pending)
    return;
  control->head_pending = false;
  control->head_version = version;
  control->platform_failures = 0;
  control->platform_state = WC_PLATFORM_UP;
  schedule_head_read (control, now_us);
  if (control->lifecycle == WC_LIFECYCLE_JOINING && !control->platform_accepted)
    {
      if (control->deferred_head)
        g_bytes_unref (control->deferred_head);
      control->deferred_head = g_bytes_new (text, size_bytes);
      wc_control_tick (control, now_us);
      return;
    }
  wc_control_offer_head (control, now_us, text, size_bytes);
  current = control->head_in_force ? g_bytes_get_data (control->head_in_force, &current_bytes) : NULL;
  if (current && current_bytes == size_bytes && memcmp (current, text, size_bytes) == 0)
    wc_control_confirm (control, now_us);
  else if (current && !wc_control_get_missing (control, 0, digest))
    control->platform_state = WC_PLATFORM_STALE;
  wc_control_tick (control, now_us);
}

void
wc_control_head_unchanged (WcControl *control, uint64_t now_us)
{
  uint8_t digest[WC_DIGEST_BYTES];

  assert (control != NULL);

  wc_control_tick (control, now_us);
  if (!control->head_pending)
    return;
  control->head_pending = false;
  control->platform_failures = 0;
  schedule_head_read (control, now_us);
  if (control->platform_state == WC_PLATFORM_UP && !wc_control_get_missing (control, 0, digest) &&
      control->head_issued_us >= control->reconfirm_started_us)
    wc_control_confirm (control, now_us);
  wc_control_tick (control, now_us);
}

void
wc_control_head_failed (WcControl *control, uint64_t now_us)
{
  assert (control != NULL);

  wc_control_tick (control, now_us);
  if (!control->head_pending)
    return;
  control->head_pending = false;
  control->platform_failures++;
  control->platform_state = WC_PLATFORM_DOWN;
  control->next_head_read_us = now_us + get_backoff_us (control);
  wc_counters_add (control->counters, WC_COUNTER_PLATFORM_ERRORS, 1);
}

void
wc_control_part_received (WcControl *control, uint64_t now_us, const void *data, size_t size_bytes)
{
  WcError error;

  assert (control != NULL);

  if (control->fetch == WC_FETCH_PLATFORM_PART)
    {
      control->fetch = WC_FETCH_IDLE;
      /* A part whose digest is not listed is older or newer than the head, so the head is read again. */
      if (wc_config_store_offer_part (control->store, data, size_bytes, &error) == WC_STATUS_OK)
        {
          control->fetch_failures = 0;
          activate (control, now_us);
        }
      else
        {
          wc_control_fetch_failed (control, now_us);
          control->head_version = 0;
        }
    }
  wc_control_tick (control, now_us);
}

void
wc_control_part_failed (WcControl *control, uint64_t now_us)
{
  assert (control != NULL);

  if (control->fetch == WC_FETCH_PLATFORM_PART)
    {
      wc_counters_add (control->counters, WC_COUNTER_PLATFORM_ERRORS, 1);
      wc_control_fetch_failed (control, now_us);
    }
  wc_control_tick (control, now_us);
}

/* local functions */

static void
start_read (WcControl *control, uint64_t now_us, bool watch)
{
  uint64_t after = 0;

  if (watch && control->head_version > 0 && ++control->watches % WATCHES_PER_READ != 0)
    after = control->head_version;
  control->head_pending = true;
  control->head_is_watch = after > 0;
  control->head_issued_us = now_us;
  wc_counters_add (control->counters, WC_COUNTER_PLATFORM_READS, 1);
  control->ops->read_head (control->user_data, after, after > 0 ? WC_CONTROL_WATCH_MS : 0);
}

/* Schedules the next read after a successful one. A reader starts the next watch at once, but issues at most 5 reads
 * per second. */
static void
schedule_head_read (WcControl *control, uint64_t now_us)
{
  if (control->lifecycle == WC_LIFECYCLE_JOINING)
    control->next_head_read_us = now_us + wc_control_jitter (control, 2000 * US_PER_MS);
  else if (control->reconfirming)
    control->next_head_read_us = now_us + wc_control_jitter (control, control->config.read_retry_min_us);
  else if (wc_control_is_reader (control) && control->head_version > 0)
    control->next_head_read_us = MAX (now_us, control->head_issued_us + MIN_READ_INTERVAL_US);
  else
    control->next_head_read_us = now_us + wc_control_jitter (control, control->config.unconfirmed_limit_us);
}

static uint64_t
get_backoff_us (WcControl *control)
{
  uint32_t shift = MIN (control->platform_failures, 6);
  uint64_t delay_us = MIN (control->config.read_retry_min_us << shift, (uint64_t)BACKOFF_MAX_US);

  return wc_control_jitter (control, delay_us);
}

static void
activate (WcControl *control, uint64_t now_us)
{
  WcError     error;
  WcConfigId  before = { 0 };
  WcConfigId  after = { 0 };
  const char *head;
  size_t      head_bytes;
  WcStatus    status;

  wc_config_store_get_rejection (control->store, &before);
  status = wc_config_store_activate (control->store, &error);
  if (wc_config_store_get_rejection (control->store, &after) && wc_config_id_compare (&before, &after) != 0)
    {
      wc_counters_add (control->counters, WC_COUNTER_CONFIG_REJECTED, 1);
      wc_control_record_event (control, WC_EVENT_CONFIG_REJECTED, after.revision, "invalid register");
    }
  if (status != WC_STATUS_OK)
    return;
  head = wc_config_store_get_head (control->store, &head_bytes);
  if (control->head_in_force)
    g_bytes_unref (control->head_in_force);
  control->head_in_force = g_bytes_new (head, head_bytes);
  control->in_force_us = now_us;
  control->deltas_disabled = false;
  control->view_dirty = true;
  rebuild_keyring (control);
  wc_counters_add (control->counters, WC_COUNTER_CONFIG_ACCEPTED, 1);
  wc_control_record_event (control, WC_EVENT_CONFIG_ACCEPTED, wc_config_store_get_id (control->store)->revision, NULL);
  wc_control_publish (control, now_us);
  wc_control_announce (control, now_us);
}

static void
rebuild_keyring (WcControl *control)
{
  size_t       count;
  const WcKey *keys = wc_register_get_keys (wc_config_store_get_register (control->store), &count);

  if (control->keyring)
    wc_keyring_unref (control->keyring);
  control->keyring = wc_keyring_new (keys, count);
}

/* If the delta of a head cannot be applied, the full head is fetched. */
static void
receive_head (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame)
{
  GBytes     *head = wc_control_decode_head (control, frame);
  gsize       size_bytes;
  const char *text;

  if (!head)
    {
      memset (&link->fetched_config, 0, sizeof link->fetched_config);
      return;
    }
  text = g_bytes_get_data (head, &size_bytes);
  wc_control_offer_head (control, now_us, text, size_bytes);
  g_bytes_unref (head);
}

static void
receive_part (WcControl *control, uint64_t now_us, const Wc__PeerFrame *frame)
{
  GBytes     *part = wc_control_decode_part (control, frame);
  gsize       size_bytes;
  const void *data = part ? g_bytes_get_data (part, &size_bytes) : NULL;
  WcError     error;

  if (data && wc_config_store_offer_part (control->store, data, size_bytes, &error) == WC_STATUS_OK)
    {
      control->fetch_failures = 0;
      activate (control, now_us);
    }
  if (part)
    g_bytes_unref (part);
}
