#include "core/control_private.h"

static void check_join (WcControl *control, uint64_t now_us);
static bool heard_enough_peers (const WcControl *control, uint64_t now_us, bool peer_has_config);
static void check_reconfirm (WcControl *control, uint64_t now_us);
static void check_drain (WcControl *control, uint64_t now_us);

void
wc_control_confirm (WcControl *control, uint64_t now_us)
{
  control->confirmed_us = now_us;
  if (!control->reconfirming)
    return;
  control->reconfirming = false;
  control->view_dirty = true;
  wc_control_record_event (control, WC_EVENT_LIFECYCLE, control->lifecycle, "configuration confirmed after a pause");
}

void
wc_control_check_lifecycle (WcControl *control, uint64_t now_us)
{
  if (control->lifecycle == WC_LIFECYCLE_JOINING)
    check_join (control, now_us);
  if (control->reconfirming)
    check_reconfirm (control, now_us);
  if (control->lifecycle == WC_LIFECYCLE_DRAINING || control->lifecycle == WC_LIFECYCLE_CLOSING)
    check_drain (control, now_us);
}

/* local functions */

/* The instance serves once the newest configuration that any peer has announced is in force. The platform's head is not
 * used before that: it may be stale, or a revision that the peers have rejected. */
static void
check_join (WcControl *control, uint64_t now_us)
{
  const WcConfigId *id = wc_config_store_get_id (control->store);
  bool              join_expired = now_us >= control->join_started_us + control->config.join_limit_us;
  bool              peer_has_config = false;
  bool              newer = false;
  GHashTableIter    iterator;
  gpointer          value;

  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcControlLink *link = value;

      peer_has_config = peer_has_config || (link->config_announced && link->config.revision > 0);
      newer = newer || (link->config_announced && wc_control_is_newer (control, &link->config));
    }
  if (!join_expired && (newer || !heard_enough_peers (control, now_us, peer_has_config)))
    return;
  if (!control->platform_accepted)
    {
      control->platform_accepted = true;
      wc_control_accept_deferred_head (control, now_us);
    }
  if (id->revision == 0 || !wc_config_store_get_register (control->store) || (newer && !join_expired))
    return;
  wc_control_set_own_state (control, now_us, WC_MEMBER_LIVE);
  wc_control_confirm (control, now_us);
  wc_control_set_lifecycle (control, WC_LIFECYCLE_SERVING,
                            peer_has_config ? "configuration confirmed by a peer"
                                            : "no peer announced a configuration; using the platform's");
}

/* Whether enough peers have announced their configurations: those of all requested links; or, when at least one peer
 * has a configuration, those that did so within two heartbeat intervals of the first. When no peer has a configuration,
 * all of them may have just started, so the instance waits for the remaining links. */
static bool
heard_enough_peers (const WcControl *control, uint64_t now_us, bool peer_has_config)
{
  GHashTableIter iterator;
  gpointer       value;
  uint32_t       announced = 0;
  uint32_t       missing = 0;

  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    announced += ((WcControlLink *)value)->config_announced ? 1 : 0;
  if (announced == 0)
    return false;
  g_hash_table_iter_init (&iterator, control->desired);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcDesiredLink *desired = value;
      WcControlLink *link = g_hash_table_lookup (control->links, &desired->member.id);

      missing += !link || !link->config_announced ? 1 : 0;
    }
  return missing == 0 ||
         (peer_has_config && now_us >= control->first_announcement_us + 2 * control->config.heartbeat_us);
}

static void
check_reconfirm (WcControl *control, uint64_t now_us)
{
  GHashTableIter iterator;
  gpointer       value;
  bool           confirmed = false;
  bool           newer = false;

  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcControlLink *link = value;

      if (!link->challenge_answered || link->config.revision == 0)
        continue;
      confirmed = true;
      newer = newer || wc_control_is_newer (control, &link->config);
    }
  if (confirmed && !newer)
    wc_control_confirm (control, now_us);
  else if (now_us >= control->reconfirm_deadline_us)
    {
      control->reconfirming = false;
      control->confirmed_us = now_us;
      control->view_dirty = true;
      wc_control_record_event (
          control, WC_EVENT_LIFECYCLE, control->lifecycle,
          "neither a peer nor the platform confirmed the configuration in time; serving without confirmation");
    }
}

/* A drain takes at least two heartbeat intervals, so that peers and workers have received the announcement. A worker
 * that reported itself idle may accept work until it has the CLOSING view, so the instance stops only when the workers
 * are idle in that state as well. */
static void
check_drain (WcControl *control, uint64_t now_us)
{
  if (now_us >= control->drain_started_us + control->config.drain_limit_us)
    wc_control_set_lifecycle (control, WC_LIFECYCLE_STOPPED, "drain limit reached");
  else if (now_us < control->drain_started_us + 2 * control->config.heartbeat_us ||
           !control->ops->workers_idle (control->user_data))
    return;
  else if (control->lifecycle == WC_LIFECYCLE_DRAINING)
    wc_control_set_lifecycle (control, WC_LIFECYCLE_CLOSING, "drained");
  else
    wc_control_set_lifecycle (control, WC_LIFECYCLE_STOPPED, "no work left");
}
