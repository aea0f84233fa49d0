#include "core/control_private.h"

/* Applies the list to the membership, and keeps a record of each listed member of this domain, so that links to the
 * members can be requested. */
void
wc_control_apply_list (WcControl *control, uint64_t now_us, const WcMember *members, size_t count)
{
  GHashTableIter iterator;
  gpointer       value;

  wc_membership_apply_list (control->membership, now_us, members, count);
  g_hash_table_iter_init (&iterator, control->records);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    ((WcMemberRecord *)value)->listed = false;
  for (size_t i = 0; i < count; i++)
    {
      WcMemberRecord *record;

      if (members[i].domain != control->config.self.domain || members[i].id == control->config.self.id)
        continue;
      record = g_hash_table_lookup (control->records, &members[i].id);
      if (!record)
        {
          record = g_new0 (WcMemberRecord, 1);
          record->member = members[i];
          record->member.incarnation = 0;
          record->member.state = WC_MEMBER_LISTED;
          record->first_seen_us = now_us;
          g_hash_table_insert (control->records, &record->member.id, record);
        }
      else if (record->member.incarnation == 0)
        {
          record->member.address = members[i].address;
          record->member.workers = members[i].workers;
        }
      record->listed = true;
    }
  control->next_topology_us = now_us;
}

void
wc_control_query_list (WcControl *control)
{
  Wc__PeerFrame  query = WC__PEER_FRAME__INIT;
  GHashTableIter iterator;
  gpointer       value;
  guint          count = g_hash_table_size (control->links);
  guint          skip;

  if (count == 0 || control->list_from_peer)
    return;
  query.kind = WC__PEER_FRAME__KIND__LIST_ASK;
  skip = (guint)g_rand_int_range (control->random, 0, (gint32)count);
  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (skip-- == 0)
      {
        control->ops->send (control->user_data, ((WcControlLink *)value)->id, &query);
        return;
      }
}

void
wc_control_receive_list (WcControl *control, uint64_t now_us, WcControlLink *link, const Wc__PeerFrame *frame)
{
  if (frame->kind == WC__PEER_FRAME__KIND__LIST_ASK)
    {
      Wc__PeerFrame    reply = WC__PEER_FRAME__INIT;
      size_t           count;
      const WcMember  *members = wc_member_table_get (control->table, &count);
      Wc__MemberNote  *notes = g_new (Wc__MemberNote, count);
      Wc__MemberNote **pointers = g_new (Wc__MemberNote *, count);

      for (size_t i = 0; i < count; i++)
        {
          wc_control_fill_note (&members[i], 0, &notes[i]);
          pointers[i] = &notes[i];
        }
      reply.kind = WC__PEER_FRAME__KIND__LIST;
      reply.members = pointers;
      reply.n_members = control->list_known ? count : 0;
      control->ops->send (control->user_data, link->id, &reply);
      g_free (pointers);
      g_free (notes);
      return;
    }

  if (!control->list_known && frame->n_members > 0)
    {
      WcMember *members = g_new (WcMember, frame->n_members);
      size_t    count = 0;

      for (size_t i = 0; i < frame->n_members; i++)
        if (wc_control_read_note (frame->members[i], &members[count]))
          {
            if (members[count].state != WC_MEMBER_LEAVING)
              members[count].state = WC_MEMBER_LISTED;
            count++;
          }
      control->list_from_peer = true;
      wc_control_apply_list (control, now_us, members, count);
      g_free (members);
    }
}
