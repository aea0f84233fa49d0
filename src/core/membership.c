#include <wigeoncart/membership.h>

#include <assert.h>
#include <glib.h>
#include <string.h>

enum
{
  /* Number of replaced incarnations per member that are stored: a process that resumes after a pause may send
   * heartbeats of an incarnation that was replaced several restarts ago. */
  MAX_REPLACED_INCARNATIONS = 8
};

/*
 * @listed: the member is in the last list, with the state @listed_state.
 * @alive: a heartbeat has arrived within the time limit, with the state @heartbeat_state.
 * @replaced: earlier incarnations, newest first; 0 in unused elements.
 */
typedef struct
{
  WcMember      member;
  bool          listed;
  WcMemberState listed_state;
  bool          alive;
  WcMemberState heartbeat_state;
  uint64_t      replaced[MAX_REPLACED_INCARNATIONS];
} Entry;

struct WcMembership
{
  WcMember    self;
  uint64_t    suspect_after_us;
  uint64_t    generation;
  GHashTable *entries;
};

static Entry *get_entry (WcMembership *membership, uint64_t id);
static bool   is_replaced (const Entry *entry, uint64_t incarnation);
static void   set_incarnation (Entry *entry, uint64_t incarnation);
static bool   update_states (WcMembership *membership);
static void   expire_heartbeats (WcMembership *membership, uint64_t now_us);
static bool   derive_state (const WcMembership *membership, const Entry *entry, WcMemberState *state);

WcMembership *
wc_membership_new (const WcMember *self, uint64_t suspect_after_us)
{
  WcMembership *membership = g_new0 (WcMembership, 1);

  assert (self != NULL);

  membership->self = *self;
  membership->self.suspect_deadline_us = UINT64_MAX;
  membership->suspect_after_us = suspect_after_us;
  membership->generation = 1;
  membership->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return membership;
}

void
wc_membership_delete (WcMembership *membership)
{
  if (!membership)
    return;
  g_hash_table_unref (membership->entries);
  g_free (membership);
}

void
wc_membership_apply_list (WcMembership *membership, uint64_t now_us, const WcMember *listed, size_t count)
{
  GHashTableIter iter;
  gpointer       value;
  bool           changed = false;

  assert (membership != NULL);
  assert (listed != NULL || count == 0);

  expire_heartbeats (membership, now_us);
  g_hash_table_iter_init (&iter, membership->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Entry *)value)->listed = false;
  for (size_t i = 0; i < count; i++)
    {
      Entry *entry;

      if (listed[i].id == membership->self.id)
        continue;
      entry = get_entry (membership, listed[i].id);
      entry->listed = true;
      entry->listed_state = listed[i].state;
      /* The address in a heartbeat comes from the instance itself and takes precedence over the lagging list. */
      if (!entry->alive && (entry->member.domain != listed[i].domain || entry->member.workers != listed[i].workers ||
                            !wc_address_equal (&entry->member.address, &listed[i].address)))
        {
          entry->member.domain = listed[i].domain;
          entry->member.workers = listed[i].workers;
          entry->member.address = listed[i].address;
          changed = true;
        }
    }
  changed |= update_states (membership);
  membership->generation += changed;
}

void
wc_membership_apply_heartbeat (WcMembership *membership, uint64_t now_us, const WcMember *sender)
{
  Entry        *entry;
  WcMemberState state;
  bool          changed = false;

  assert (membership != NULL);
  assert (sender != NULL);

  if (sender->id == membership->self.id || sender->incarnation == 0)
    return;
  entry = get_entry (membership, sender->id);
  if (!is_replaced (entry, sender->incarnation))
    {
      WcMember *member = &entry->member;

      changed |= member->incarnation != sender->incarnation || member->domain != sender->domain ||
                 member->workers != sender->workers || !wc_address_equal (&member->address, &sender->address);
      set_incarnation (entry, sender->incarnation);
      member->domain = sender->domain;
      member->workers = sender->workers;
      member->address = sender->address;
      member->suspect_deadline_us = now_us + membership->suspect_after_us;
      entry->alive = true;
      entry->heartbeat_state = sender->state == WC_MEMBER_LEAVING ? WC_MEMBER_LEAVING : WC_MEMBER_LIVE;
    }
  /* Updates this entry only, because hundreds of heartbeats per second arrive in a large domain. */
  if (derive_state (membership, entry, &state))
    {
      changed |= entry->member.state != state;
      entry->member.state = state;
    }
  membership->generation += changed;
}

bool
wc_membership_tick (WcMembership *membership, uint64_t now_us)
{
  bool changed;

  assert (membership != NULL);

  expire_heartbeats (membership, now_us);
  changed = update_states (membership);
  membership->generation += changed;
  return changed;
}

void
wc_membership_set_self_state (WcMembership *membership, WcMemberState state)
{
  assert (membership != NULL);

  if (membership->self.state == state)
    return;
  membership->self.state = state;
  membership->generation++;
}

uint64_t
wc_membership_get_generation (const WcMembership *membership)
{
  assert (membership != NULL);

  return membership->generation;
}

WcMemberTable *
wc_membership_snapshot (const WcMembership *membership)
{
  GHashTableIter iter;
  gpointer       value;
  GArray        *members;
  WcMemberTable *table;

  assert (membership != NULL);

  members = g_array_new (FALSE, FALSE, sizeof (WcMember));
  g_array_append_val (members, membership->self);
  g_hash_table_iter_init (&iter, membership->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (members, ((Entry *)value)->member);
  table = wc_member_table_new ((const WcMember *)(const void *)members->data, members->len);
  g_array_unref (members);
  return table;
}

/* local functions */

static Entry *
get_entry (WcMembership *membership, uint64_t id)
{
  Entry *entry = g_hash_table_lookup (membership->entries, &id);

  if (entry)
    return entry;
  entry = g_new0 (Entry, 1);
  entry->member.id = id;
  /* No derived state has this value, so the new member counts as a change of the view. */
  entry->member.state = WC_MEMBER_COUNT;
  g_hash_table_insert (membership->entries, &entry->member.id, entry);
  return entry;
}

static bool
is_replaced (const Entry *entry, uint64_t incarnation)
{
  for (size_t i = 0; i < MAX_REPLACED_INCARNATIONS; i++)
    if (entry->replaced[i] == incarnation)
      return true;
  return false;
}

static void
set_incarnation (Entry *entry, uint64_t incarnation)
{
  if (entry->member.incarnation == incarnation)
    return;
  if (entry->member.incarnation != 0)
    {
      memmove (entry->replaced + 1, entry->replaced, sizeof entry->replaced - sizeof entry->replaced[0]);
      entry->replaced[0] = entry->member.incarnation;
    }
  entry->member.incarnation = incarnation;
}

/* Recomputes all states, and removes members that are neither listed nor have a recent heartbeat. Return: true when the
 * view changed. */
static bool
update_states (WcMembership *membership)
{
  GHashTableIter iter;
  gpointer       value;
  bool           changed = false;

  g_hash_table_iter_init (&iter, membership->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry        *entry = value;
      WcMemberState state;

      if (!derive_state (membership, entry, &state))
        {
          g_hash_table_iter_remove (&iter);
          changed = true;
          continue;
        }
      changed |= entry->member.state != state;
      entry->member.state = state;
    }
  return changed;
}

static void
expire_heartbeats (WcMembership *membership, uint64_t now_us)
{
  GHashTableIter iter;
  gpointer       value;

  g_hash_table_iter_init (&iter, membership->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;

      if (entry->alive && now_us >= entry->member.suspect_deadline_us)
        entry->alive = false;
    }
}

/* Return: false when the member is not listed and has no recent heartbeat. */
static bool
derive_state (const WcMembership *membership, const Entry *entry, WcMemberState *state)
{
  if (entry->alive)
    *state = entry->heartbeat_state;
  else if (!entry->listed)
    return false;
  else if (entry->listed_state == WC_MEMBER_LEAVING)
    *state = WC_MEMBER_LEAVING;
  else if (entry->member.domain != membership->self.domain)
    *state = WC_MEMBER_LIVE;
  else
    *state = entry->member.incarnation != 0 ? WC_MEMBER_SUSPECT : WC_MEMBER_LISTED;
  return true;
}
