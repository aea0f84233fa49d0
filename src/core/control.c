#include "core/control_private.h"

#include <assert.h>
#include <string.h>

#include <wigeoncart/ownership.h>

enum
{
  US_PER_MS = 1000,
  /* Minimum interval of views whose only change is a new time of confirmation, which workers need to check its age. */
  CONFIRM_PUBLISH_INTERVAL_US = 250 * US_PER_MS
};

const char *const WC_PLATFORM_STATE_STRINGS[WC_PLATFORM_STATE_COUNT] = {
  [WC_PLATFORM_UNREAD] = "unread",
  [WC_PLATFORM_UP] = "up",
  [WC_PLATFORM_STALE] = "stale",
  [WC_PLATFORM_DOWN] = "down",
};

static void begin_call (WcControl *control, uint64_t now_us);
static void end_call (WcControl *control, uint64_t now_us);
static void handle_pause (WcControl *control, uint64_t now_us, uint64_t gap_us);

void
wc_control_config_init (WcControlConfig *config)
{
  assert (config != NULL);

  memset (config, 0, sizeof *config);
  config->heartbeat_us = 500 * US_PER_MS;
  config->suspect_after_us = 2000 * US_PER_MS;
  config->pause_threshold_us = 500 * US_PER_MS;
  config->confirm_limit_us = 2000 * US_PER_MS;
  config->drain_limit_us = 30000 * US_PER_MS;
  config->join_limit_us = 3000 * US_PER_MS;
  config->unconfirmed_limit_us = 3000 * US_PER_MS;
  config->read_retry_min_us = 500 * US_PER_MS;
}

WcControl *
wc_control_new (const WcControlConfig *config, const WcControlOps *ops, void *user_data, WcCounters *counters)
{
  WcControl *control;

  assert (config != NULL);
  assert (ops != NULL);
  assert (counters != NULL);
  assert (config->self.id != 0 && config->self.incarnation != 0);

  control = g_new0 (WcControl, 1);
  control->config = *config;
  control->ops = ops;
  control->user_data = user_data;
  control->counters = counters;
  control->random = g_rand_new_with_seed (config->seed);
  control->lifecycle = WC_LIFECYCLE_JOINING;
  control->membership = wc_membership_new (&config->self, config->suspect_after_us);
  control->store = wc_config_store_new ();
  control->records = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  control->links = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  control->desired = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  control->unreachable = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  control->pending_notes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  control->own_version = 1;
  control->heartbeat_factor = 1;
  control->own_state = WC_MEMBER_LISTED;
  wc_control_update_table (control);
  return control;
}

void
wc_control_delete (WcControl *control)
{
  if (!control)
    return;
  g_array_free (control->pending_notes, TRUE);
  g_hash_table_destroy (control->unreachable);
  g_hash_table_destroy (control->desired);
  g_hash_table_destroy (control->links);
  g_hash_table_destroy (control->records);
  if (control->head_in_force)
    g_bytes_unref (control->head_in_force);
  if (control->deferred_head)
    g_bytes_unref (control->deferred_head);
  if (control->keyring)
    wc_keyring_unref (control->keyring);
  wc_member_table_unref (control->table);
  wc_config_store_delete (control->store);
  wc_membership_delete (control->membership);
  g_rand_free (control->random);
  g_free (control);
}

void
wc_control_start (WcControl *control, uint64_t now_us)
{
  assert (control != NULL);

  control->last_call_us = now_us;
  control->join_started_us = now_us;
  control->view_dirty = true;
  wc_control_record_event (control, WC_EVENT_LIFECYCLE, control->lifecycle, WC_LIFECYCLE_STRINGS[control->lifecycle]);
  wc_control_tick (control, now_us);
}

void
wc_control_tick (WcControl *control, uint64_t now_us)
{
  assert (control != NULL);

  begin_call (control, now_us);
  wc_control_members_tick (control, now_us);
  wc_control_config_tick (control, now_us);
  end_call (control, now_us);
}

void
wc_control_terminate (WcControl *control, uint64_t now_us)
{
  assert (control != NULL);

  begin_call (control, now_us);
  if (control->lifecycle == WC_LIFECYCLE_SERVING)
    {
      control->drain_started_us = now_us;
      wc_membership_set_self_state (control->membership, WC_MEMBER_LEAVING);
      wc_control_set_own_state (control, now_us, WC_MEMBER_LEAVING);
      wc_control_set_lifecycle (control, WC_LIFECYCLE_DRAINING, "stop requested");
    }
  else if (control->lifecycle != WC_LIFECYCLE_STOPPED)
    wc_control_set_lifecycle (control, WC_LIFECYCLE_STOPPED,
                              control->lifecycle == WC_LIFECYCLE_JOINING ? "stop requested before serving"
                                                                         : "second stop request");
  end_call (control, now_us);
}

void
wc_control_link_up (WcControl *control, uint64_t now_us, uint64_t peer, uint64_t incarnation, uint32_t domain)
{
  WcControlLink *link;

  assert (control != NULL);

  begin_call (control, now_us);
  link = g_new0 (WcControlLink, 1);
  link->id = peer;
  link->incarnation = incarnation;
  link->domain = domain;
  link->last_seen_us = now_us;
  g_hash_table_replace (control->links, &link->id, link);
  wc_control_send_heartbeat (control, now_us, link, true);
  end_call (control, now_us);
}

void
wc_control_link_down (WcControl *control, uint64_t now_us, uint64_t peer)
{
  assert (control != NULL);

  begin_call (control, now_us);
  g_hash_table_remove (control->links, &peer);
  wc_control_fetch_link_down (control, peer);
  end_call (control, now_us);
}

void
wc_control_receive (WcControl *control, uint64_t now_us, uint64_t peer, const Wc__PeerFrame *frame)
{
  WcControlLink *link;

  assert (control != NULL);
  assert (frame != NULL);

  begin_call (control, now_us);
  link = g_hash_table_lookup (control->links, &peer);
  if (link)
    {
      link->unresponsive = false;
      if (frame->kind == WC__PEER_FRAME__KIND__HEARTBEAT)
        wc_control_receive_heartbeat (control, now_us, link, frame);
      else if (frame->kind == WC__PEER_FRAME__KIND__LIST_ASK || frame->kind == WC__PEER_FRAME__KIND__LIST)
        wc_control_receive_list (control, now_us, link, frame);
      else
        wc_control_receive_config (control, now_us, link, frame);
    }
  end_call (control, now_us);
}

void
wc_control_list_received (WcControl *control, uint64_t now_us, const WcMember *members, size_t count, size_t size_bytes)
{
  /* Limits the average traffic of the list to 256 bytes per second; a list of 1,200 instances has about 144 KB. */
  static const uint64_t us_per_byte = 1000 * US_PER_MS / 256;
  uint64_t              pace_us = size_bytes * us_per_byte;

  assert (control != NULL);
  assert (members != NULL || count == 0);

  begin_call (control, now_us);
  control->list_pending = false;
  control->list_known = true;
  control->next_list_read_us = now_us + wc_control_jitter (control, MAX (pace_us, (uint64_t)5000 * US_PER_MS));
  wc_control_apply_list (control, now_us, members, count);
  wc_control_members_tick (control, now_us);
  end_call (control, now_us);
}

void
wc_control_list_failed (WcControl *control, uint64_t now_us)
{
  assert (control != NULL);

  begin_call (control, now_us);
  control->list_pending = false;
  control->next_list_read_us =
      now_us + wc_control_jitter (control, control->list_known ? 5000 * US_PER_MS : 1000 * US_PER_MS);
  if (!control->list_known)
    wc_control_query_list (control);
  end_call (control, now_us);
}

WcLifecycle
wc_control_get_lifecycle (const WcControl *control)
{
  assert (control != NULL);

  if (control->reconfirming && control->lifecycle != WC_LIFECYCLE_STOPPED)
    return WC_LIFECYCLE_RECONFIRMING;
  return control->lifecycle;
}

bool
wc_control_is_ready (const WcControl *control, uint64_t now_us, const char **reason)
{
  assert (control != NULL);
  assert (reason != NULL);

  *reason = NULL;
  if (control->lifecycle == WC_LIFECYCLE_JOINING)
    *reason = wc_config_store_get_register (control->store) ? "joining: configuration is not confirmed by a peer yet"
                                                            : "joining: no configuration yet";
  else if (control->lifecycle == WC_LIFECYCLE_DRAINING || control->lifecycle == WC_LIFECYCLE_CLOSING)
    *reason = "draining";
  else if (control->lifecycle == WC_LIFECYCLE_STOPPED)
    *reason = "stopped";
  else if (control->reconfirming)
    *reason = "reconfirming after a pause";
  else if (now_us > control->last_call_us + control->config.pause_threshold_us)
    *reason = "the control thread does not respond";
  return *reason == NULL;
}

const WcConfigStore *
wc_control_get_store (const WcControl *control)
{
  assert (control != NULL);

  return control->store;
}

uint64_t
wc_control_get_in_force_us (const WcControl *control)
{
  assert (control != NULL);

  return control->in_force_us;
}

uint64_t
wc_control_get_confirmed_us (const WcControl *control)
{
  assert (control != NULL);

  return control->confirmed_us;
}

WcPlatformState
wc_control_get_platform_state (const WcControl *control)
{
  assert (control != NULL);

  return control->platform_state;
}

bool
wc_control_is_reader (const WcControl *control)
{
  size_t live;

  assert (control != NULL);

  /* A draining instance is a reader only when its domain has no live member. */
  wc_member_table_get_live (control->table, control->config.self.domain, &live);
  return live == 0 || wc_ownership_is_reader (control->table, control->config.self.id, control->config.self.domain);
}

uint32_t
wc_control_get_link_count (const WcControl *control)
{
  assert (control != NULL);

  return g_hash_table_size (control->links);
}

WcMemberTable *
wc_control_snapshot_members (const WcControl *control)
{
  assert (control != NULL);

  return wc_member_table_ref (control->table);
}

void
wc_control_record_event (WcControl *control, WcEventKind kind, uint64_t value, const char *reason)
{
  WcEvent event = { .kind = kind, .value = value, .reason = reason };

  wc_counters_add (control->counters, WC_COUNTER_EVENTS_RECORDED, 1);
  control->ops->record (control->user_data, &event);
}

void
wc_control_publish (WcControl *control, uint64_t now_us)
{
  WcView *view;

  (void)now_us;
  wc_control_update_table (control);
  if (!control->view_dirty && control->confirmed_us < control->published_confirmed_us + CONFIRM_PUBLISH_INTERVAL_US)
    return;
  control->view_dirty = false;
  control->published_confirmed_us = control->confirmed_us;
  view = wc_view_new (wc_config_store_get_register (control->store), control->keyring, control->table,
                      wc_control_get_lifecycle (control), control->confirmed_us);
  control->ops->publish (control->user_data, view);
  wc_view_unref (view);
}

void
wc_control_set_lifecycle (WcControl *control, WcLifecycle lifecycle, const char *reason)
{
  control->lifecycle = lifecycle;
  control->view_dirty = true;
  wc_control_record_event (control, WC_EVENT_LIFECYCLE, lifecycle, reason);
}

uint64_t
wc_control_jitter (WcControl *control, uint64_t base_us)
{
  return (uint64_t)((double)base_us * g_rand_double_range (control->random, 0.75, 1.25));
}

/* local functions */

static void
begin_call (WcControl *control, uint64_t now_us)
{
  uint64_t gap_us = now_us > control->last_call_us ? now_us - control->last_call_us : 0;

  control->last_call_us = MAX (now_us, control->last_call_us);
  if (gap_us > control->config.pause_threshold_us)
    handle_pause (control, now_us, gap_us);
}

static void
end_call (WcControl *control, uint64_t now_us)
{
  if (control->stopped)
    return;
  wc_control_fetch (control, now_us);
  wc_control_check_lifecycle (control, now_us);
  wc_control_flush_notes (control, now_us, 0);
  wc_control_publish (control, now_us);
  if (control->lifecycle == WC_LIFECYCLE_STOPPED)
    {
      control->stopped = true;
      control->ops->stop (control->user_data);
    }
}

/* Frames that arrived during the pause may still be in socket buffers, so only the reply to a challenge that is sent
 * after the pause confirms the configuration. */
static void
handle_pause (WcControl *control, uint64_t now_us, uint64_t gap_us)
{
  GHashTableIter  iterator;
  gpointer        value;
  size_t          count;
  const WcMember *members = wc_member_table_get (control->table, &count);

  wc_counters_add (control->counters, WC_COUNTER_PAUSES_DETECTED, 1);
  wc_control_record_event (control, WC_EVENT_PAUSE_DETECTED, gap_us,
                           "the control thread did not run for longer than the pause threshold");
  control->suspect_grace_deadline_us = now_us + control->config.suspect_after_us;
  g_hash_table_iter_init (&iterator, control->records);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcMemberRecord *record = value;

      record->last_contact_us = MAX (record->last_contact_us, now_us);
    }
  /* No heartbeats were received because this instance was paused, which is no evidence against the members. */
  for (size_t i = 0; i < count; i++)
    if (members[i].domain == control->config.self.domain &&
        (members[i].state == WC_MEMBER_LIVE || members[i].state == WC_MEMBER_LEAVING))
      wc_membership_apply_heartbeat (control->membership, now_us, &members[i]);
  control->challenge = ((uint64_t)g_rand_int (control->random) << 32) | g_rand_int (control->random) | 1;
  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcControlLink *link = value;

      link->challenge_answered = false;
      link->unverified = true;
      /* What peers announced before the pause may be outdated; a joining instance waits for new announcements. */
      if (control->lifecycle == WC_LIFECYCLE_JOINING)
        link->config_announced = false;
    }
  if (control->lifecycle == WC_LIFECYCLE_JOINING)
    {
      control->join_started_us = now_us;
      control->first_announcement_us = 0;
    }
  else if (control->lifecycle != WC_LIFECYCLE_STOPPED)
    {
      if (!control->reconfirming)
        wc_control_record_event (control, WC_EVENT_LIFECYCLE, WC_LIFECYCLE_RECONFIRMING, "pause detected");
      control->reconfirming = true;
      control->reconfirm_started_us = now_us;
      control->reconfirm_deadline_us = now_us + control->config.confirm_limit_us;
      control->view_dirty = true;
      /* The workers must stop dispatching before the event that ended the pause is processed. */
      wc_control_publish (control, now_us);
      if (control->head_pending)
        control->ops->cancel_head (control->user_data);
      control->head_pending = false;
      control->next_head_read_us = now_us + g_rand_int_range (control->random, 0, 100) * US_PER_MS;
    }
  wc_control_send_challenges (control, now_us);
}
