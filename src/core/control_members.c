#include "core/control_private.h"

#include <assert.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  /* One in this many heartbeats has the configuration id although it is unchanged. */
  HEARTBEATS_PER_CONFIG = 8,
  /* Factor on the heartbeat interval of links to other domains, which only serve to distribute configuration ids. */
  CROSS_DOMAIN_HEARTBEAT_FACTOR = 4,
  EVICT_AFTER_US = 300 * 1000 * US_PER_MS
};

static bool note_is_newer (const WcMemberRecord *record, uint64_t incarnation, uint32_t version, uint32_t state);
static void apply_note (WcControl *control, uint64_t now_us, const WcMember *member, uint32_t version);
static void apply_own_note (WcControl *control, uint64_t now_us, const WcMember *member, uint32_t version);
static void add_replaced_incarnation (WcMemberRecord *record);
static void queue_note (WcControl *control, uint64_t id);
static void send_notes (WcControl *control, WcControlLink *link, const uint64_t *ids, size_t count);
static void monitor_neighbours (WcControl *control, uint64_t now_us, bool connected);
static bool is_connected (const WcControl *control, uint64_t now_us);
static void fill_heartbeat (const WcControl *control, Wc__PeerFrame *frame);
static void get_own_config (const WcControl *control, WcConfigId *id);

void
wc_control_members_tick (WcControl *control, uint64_t now_us)
{
  GHashTableIter iterator;
  gpointer       value;

  if (control->lifecycle == WC_LIFECYCLE_STOPPED)
    return;
  monitor_neighbours (control, now_us, is_connected (control, now_us));
  if (!control->reconfirming && now_us >= control->suspect_grace_deadline_us)
    wc_membership_tick (control->membership, now_us);
  wc_control_update_table (control);
  if (now_us >= control->next_topology_us)
    {
      control->next_topology_us = now_us + control->config.heartbeat_us;
      wc_control_update_topology (control, now_us);
    }
  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcControlLink *link = value;

      if (now_us >= link->next_heartbeat_us)
        wc_control_send_heartbeat (control, now_us, link, false);
    }
}

void
wc_control_set_own_state (WcControl *control, uint64_t now_us, WcMemberState state)
{
  if (control->own_state == state)
    return;
  control->own_state = state;
  control->own_version++;
  queue_note (control, control->config.self.id);
  wc_control_announce (control, now_us);
}

void
wc_control_update_table (WcControl *control)
{
  uint64_t generation = wc_membership_get_generation (control->membership);

  if (control->table && generation == control->generation)
    return;
  if (control->table)
    {
      wc_member_table_unref (control->table);
      wc_control_record_event (control, WC_EVENT_MEMBER_CHANGED, generation, NULL);
    }
  control->generation = generation;
  control->table = wc_membership_snapshot (control->membership);
  control->view_dirty = true;
}

void
wc_control_send_heartbeat (WcControl *control, uint64_t now_us, WcControlLink *link, bool with_config)
{
  Wc__PeerFrame frame = WC__PEER_FRAME__INIT;
  Wc__ConfigId  config = WC__CONFIG_ID__INIT;
  WcConfigId    own;
  uint64_t      interval_us = control->config.heartbeat_us * control->heartbeat_factor;
  bool          first = link->heartbeats == 0;

  if (link->domain != control->config.self.domain)
    interval_us *= CROSS_DOMAIN_HEARTBEAT_FACTOR;
  link->next_heartbeat_us = now_us + wc_control_jitter (control, interval_us);
  get_own_config (control, &own);
  fill_heartbeat (control, &frame);
  if (with_config || link->heartbeats % HEARTBEATS_PER_CONFIG == 0 ||
      wc_config_id_compare (&own, &link->sent_config) != 0)
    {
      config.revision = own.revision;
      config.digest.data = own.digest;
      config.digest.len = sizeof own.digest;
      frame.config = &config;
      link->sent_config = own;
    }
  link->heartbeats++;
  control->ops->send (control->user_data, link->id, &frame);

  if (first)
    {
      GArray        *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      GHashTableIter iterator;
      gpointer       value;

      g_array_append_val (ids, control->config.self.id);
      g_hash_table_iter_init (&iterator, control->records);
      while (link->domain == control->config.self.domain && g_hash_table_iter_next (&iterator, NULL, &value))
        {
          WcMemberRecord *record = value;

          if (record->member.incarnation != 0)
            g_array_append_val (ids, record->member.id);
        }
      send_notes (control, link, (const uint64_t *)(void *)ids->data, ids->len);
      g_array_free (ids, TRUE);
    }
}

void
wc_control_announce (WcControl *control, uint64_t now_us)
{
  GHashTableIter iterator;
  gpointer       value;

  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    wc_control_send_heartbeat (control, now_us, value, true);
}

void
wc_control_send_challenges (WcControl *control, uint64_t now_us)
{
  GHashTableIter iterator;
  gpointer       value;

  (void)now_us;
  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcControlLink *link = value;
      Wc__PeerFrame  frame = WC__PEER_FRAME__INIT;

      fill_heartbeat (control, &frame);
      frame.challenge.data = (uint8_t *)&control->challenge;
      frame.challenge.len = sizeof control->challenge;
      control->ops->send (control->user_data, link->id, &frame);
    }
}

void
wc_control_flush_notes (WcControl *control, uint64_t now_us, uint64_t source)
{
  GHashTableIter iterator;
  gpointer       value;

  (void)now_us;
  if (control->pending_notes->len == 0)
    return;
  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcControlLink *link = value;

      if (link->id != source && link->domain == control->config.self.domain)
        send_notes (control, link, (const uint64_t *)(void *)control->pending_notes->data, control->pending_notes->len);
    }
  g_array_set_size (control->pending_notes, 0);
}

void
wc_control_receive_heartbeat (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame)
{
  WcMemberRecord *record;
  WcConfigId      own;
  WcMember        member;

  link->last_seen_us = now_us;
  if (frame->echo.len == sizeof control->challenge &&
      memcmp (frame->echo.data, &control->challenge, sizeof control->challenge) == 0)
    {
      link->challenge_answered = true;
      link->unverified = false;
    }
  if (frame->config && frame->config->digest.len == WC_DIGEST_BYTES)
    {
      link->config.revision = frame->config->revision;
      memcpy (link->config.digest, frame->config->digest.data, WC_DIGEST_BYTES);
      if (!link->unverified && !link->config_announced && control->first_announcement_us == 0)
        control->first_announcement_us = now_us;
      link->config_announced = link->config_announced || !link->unverified;
    }
  wc_control_flush_notes (control, now_us, 0);
  for (size_t i = 0; i < frame->n_members; i++)
    if (wc_control_read_note (frame->members[i], &member) && member.incarnation != 0 &&
        member.domain == control->config.self.domain)
      apply_note (control, now_us, &member, frame->members[i]->version);
  wc_control_flush_notes (control, now_us, link->id);

  record = g_hash_table_lookup (control->records, &link->id);
  if (record && record->member.incarnation == link->incarnation)
    {
      record->last_contact_us = now_us;
      if (frame->state == WC_MEMBER_LIVE || frame->state == WC_MEMBER_LEAVING)
        {
          member = record->member;
          member.state = (WcMemberState)frame->state;
          wc_membership_apply_heartbeat (control->membership, now_us, &member);
        }
      /* The peer was reported as suspect. It refutes this note with one of a higher version. */
      if (record->member.state == WC_MEMBER_SUSPECT)
        send_notes (control, link, &record->member.id, 1);
    }

  if (frame->challenge.len > 0 && frame->challenge.len <= sizeof control->challenge)
    {
      Wc__PeerFrame echo = WC__PEER_FRAME__INIT;
      Wc__ConfigId  config = WC__CONFIG_ID__INIT;

      get_own_config (control, &own);
      fill_heartbeat (control, &echo);
      config.revision = own.revision;
      config.digest.data = own.digest;
      config.digest.len = sizeof own.digest;
      echo.config = &config;
      echo.echo = frame->challenge;
      control->ops->send (control->user_data, link->id, &echo);
    }
  /* A heartbeat confirms the configuration if the peer is past joining and no peer has announced a newer one. */
  if (!control->reconfirming && control->lifecycle != WC_LIFECYCLE_JOINING && link->config.revision > 0 &&
      frame->state != WC_MEMBER_LISTED && !wc_control_peer_has_newer (control))
    {
      wc_control_confirm (control, now_us);
      if (link->domain == control->config.self.domain)
        control->domain_confirmed_us = now_us;
    }
}

void
wc_control_fill_note (const WcMember *member, uint32_t version, Wc__MemberNote *note)
{
  wc__member_note__init (note);
  note->instance = member->id;
  note->incarnation = member->incarnation;
  note->version = version;
  note->state = (uint32_t)member->state;
  note->workers = member->workers;
  note->domain = member->domain;
  note->ip.data = (uint8_t *)member->address.ip;
  note->ip.len = member->address.family == 6 ? 16 : 4;
  note->port = member->address.port;
}

bool
wc_control_read_note (const Wc__MemberNote *note, WcMember *member)
{
  memset (member, 0, sizeof *member);
  if (note->instance == 0 || note->state >= WC_MEMBER_COUNT || (note->ip.len != 4 && note->ip.len != 16) ||
      note->port > UINT16_MAX || note->workers == 0 || note->workers > UINT16_MAX)
    return false;
  member->id = note->instance;
  member->incarnation = note->incarnation;
  member->domain = note->domain;
  member->workers = (uint16_t)note->workers;
  member->state = (WcMemberState)note->state;
  member->address.family = note->ip.len == 16 ? 6 : 4;
  memcpy (member->address.ip, note->ip.data, note->ip.len);
  member->address.port = (uint16_t)note->port;
  return true;
}

/* local functions */

static bool
note_is_newer (const WcMemberRecord *record, uint64_t incarnation, uint32_t version, uint32_t state)
{
  if (record->member.incarnation == incarnation)
    return version > record->version || (version == record->version && state > (uint32_t)record->member.state);
  /* A replaced incarnation is accepted again only with a higher version, which proves that it is still alive. */
  for (size_t i = 0; i < WC_CONTROL_REPLACED_INCARNATIONS; i++)
    if (record->replaced[i].incarnation == incarnation)
      return version > record->replaced[i].version;
  return true;
}

static void
apply_note (WcControl *control, uint64_t now_us, const WcMember *member, uint32_t version)
{
  WcMemberRecord *record;

  if (member->id == control->config.self.id)
    {
      apply_own_note (control, now_us, member, version);
      return;
    }
  record = g_hash_table_lookup (control->records, &member->id);
  if (!record)
    {
      record = g_new0 (WcMemberRecord, 1);
      record->member.id = member->id;
      record->first_seen_us = now_us;
      g_hash_table_insert (control->records, &record->member.id, record);
    }
  else if (record->member.incarnation != 0 &&
           !note_is_newer (record, member->incarnation, version, (uint32_t)member->state))
    return;
  if (record->member.incarnation != member->incarnation)
    {
      add_replaced_incarnation (record);
      record->last_contact_us = now_us;
    }
  record->member = *member;
  record->version = version;
  record->updated_us = now_us;
  record->refreshed_us = 0;
  control->next_topology_us = now_us;
  queue_note (control, record->member.id);
}

/* Refutes a note that reports this instance as suspect or with another incarnation, by a note with a higher version. */
static void
apply_own_note (WcControl *control, uint64_t now_us, const WcMember *member, uint32_t version)
{
  if (member->incarnation == control->config.self.incarnation &&
      (version < control->own_version || (version == control->own_version && member->state <= control->own_state)))
    return;
  control->own_version = MAX (control->own_version, version) + 1;
  queue_note (control, control->config.self.id);
  wc_control_flush_notes (control, now_us, 0);
}

static void
add_replaced_incarnation (WcMemberRecord *record)
{
  if (record->member.incarnation == 0)
    return;
  memmove (&record->replaced[1], &record->replaced[0],
           sizeof record->replaced[0] * (WC_CONTROL_REPLACED_INCARNATIONS - 1));
  record->replaced[0].incarnation = record->member.incarnation;
  record->replaced[0].version = record->version;
}

static void
queue_note (WcControl *control, uint64_t id)
{
  for (guint i = 0; i < control->pending_notes->len; i++)
    if (g_array_index (control->pending_notes, uint64_t, i) == id)
      return;
  g_array_append_val (control->pending_notes, id);
}

static void
send_notes (WcControl *control, WcControlLink *link, const uint64_t *ids, size_t count)
{
  WcMember own = control->config.self;

  own.state = control->own_state;
  while (count > 0)
    {
      size_t           chunk = MIN (count, (size_t)WC_CONTROL_NOTES_PER_FRAME);
      Wc__MemberNote  *notes = g_new (Wc__MemberNote, chunk);
      Wc__MemberNote **pointers = g_new (Wc__MemberNote *, chunk);
      Wc__PeerFrame    frame = WC__PEER_FRAME__INIT;

      fill_heartbeat (control, &frame);
      frame.members = pointers;
      for (size_t i = 0; i < chunk; i++)
        {
          WcMemberRecord *record = g_hash_table_lookup (control->records, &ids[i]);

          if (!record && ids[i] != control->config.self.id)
            continue;
          wc_control_fill_note (record ? &record->member : &own, record ? record->version : control->own_version,
                                &notes[frame.n_members]);
          pointers[frame.n_members] = &notes[frame.n_members];
          frame.n_members++;
        }
      control->ops->send (control->user_data, link->id, &frame);
      g_free (pointers);
      g_free (notes);
      ids += chunk;
      count -= chunk;
    }
}

/* Reports neighbours without heartbeats as suspect, and refreshes members that other instances monitor. A neighbour
 * that only this instance cannot reach refutes the report, and its note then counts as evidence for two detection
 * times. */
static void
monitor_neighbours (WcControl *control, uint64_t now_us, bool connected)
{
  uint64_t       detection_us = control->config.suspect_after_us * control->heartbeat_factor;
  uint64_t       refresh_interval_us = control->config.suspect_after_us / 2;
  GHashTableIter iterator;
  gpointer       value;

  g_hash_table_iter_init (&iterator, control->records);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcMemberRecord *record = value;
      bool            linked = g_hash_table_contains (control->links, &record->member.id);
      bool            alive = record->member.state == WC_MEMBER_LIVE || record->member.state == WC_MEMBER_LEAVING;
      bool            recent_note = record->updated_us > 0 && now_us < record->updated_us + 2 * detection_us;

      if (linked && !record->monitored)
        {
          record->monitored = true;
          record->last_contact_us = now_us;
        }
      if (!alive)
        {
          uint64_t last_update_us = MAX (record->updated_us, MAX (record->first_seen_us, record->last_contact_us));

          if (!record->listed && !record->monitored && now_us >= last_update_us + EVICT_AFTER_US)
            g_hash_table_iter_remove (&iterator);
          continue;
        }
      if (record->monitored && !control->reconfirming && now_us >= control->suspect_grace_deadline_us &&
          now_us >= record->last_contact_us + detection_us && now_us >= record->updated_us + detection_us)
        {
          record->member.state = WC_MEMBER_SUSPECT;
          record->updated_us = now_us;
          control->next_topology_us = now_us;
          queue_note (control, record->member.id);
        }
      else if (connected && now_us >= record->last_contact_us + refresh_interval_us &&
               now_us >= record->refreshed_us + refresh_interval_us &&
               (!record->monitored || recent_note || now_us < record->last_contact_us + detection_us))
        {
          record->refreshed_us = now_us;
          wc_membership_apply_heartbeat (control->membership, now_us, &record->member);
        }
    }
}

/* Whether a peer of the domain has sent a heartbeat recently, so that notes on other members would have arrived. */
static bool
is_connected (const WcControl *control, uint64_t now_us)
{
  GHashTableIter iterator;
  gpointer       value;

  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const WcControlLink *link = value;

      if (link->domain == control->config.self.domain && link->config_announced &&
          now_us < link->last_seen_us + control->config.suspect_after_us * control->heartbeat_factor)
        return true;
    }
  return false;
}

static void
fill_heartbeat (const WcControl *control, Wc__PeerFrame *frame)
{
  frame->kind = WC__PEER_FRAME__KIND__HEARTBEAT;
  frame->state = (uint32_t)control->own_state;
}

/* Only a configuration in force is announced, so that a peer can fetch all of its parts from this instance. */
static void
get_own_config (const WcControl *control, WcConfigId *id)
{
  *id = *wc_config_store_get_id (control->store);
}
