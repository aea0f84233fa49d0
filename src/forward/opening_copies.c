#include "forward/opening_copies.h"

#include <assert.h>

#include <glib.h>

#include "forward/cookie.h"
#include "forward/flow_table.h"
#include "forward/opening.h"

enum
{
  /* Memory of up to 55 kB; an opening is removed at once when its caller has chosen the only host that has it. */
  COPIES_MAX = 256,
  /* A host that is not chosen repeats its answer for 9.4 s after the last copy of the opening. */
  LIFETIME_US = 10 * 1000 * 1000,
  /* Shortest interval at which a host repeats its answer. */
  REPEAT_INTERVAL_US = 200 * 1000
};

/* @repeat_deadline_us: earliest time at which a host is visited again for the cookie of a packet. */
typedef struct
{
  WcOpening opening;
  size_t    host_count;
  uint32_t  hosts[WC_OPENING_COPIES_HOSTS];
  uint64_t  expire_deadline_us;
  uint64_t  repeat_deadline_us;
  GList     link;
} Copy;

/* @by_age: the copies, in the order of their deadlines. */
struct WcOpeningCopies
{
  GHashTable *by_key;
  GQueue      by_age;
};

static Copy    *find_copy (const WcOpeningCopies *copies, const WcFlowKey *key);
static Copy    *add_copy (WcOpeningCopies *copies, const WcPacket *opening);
static void     remove_copy (WcOpeningCopies *copies, Copy *copy);
static guint    hash_key (gconstpointer key);
static gboolean equal_keys (gconstpointer a, gconstpointer b);

WcOpeningCopies *
wc_opening_copies_new (void)
{
  WcOpeningCopies *copies = g_new0 (WcOpeningCopies, 1);

  copies->by_key = g_hash_table_new (hash_key, equal_keys);
  g_queue_init (&copies->by_age);
  return copies;
}

void
wc_opening_copies_delete (WcOpeningCopies *copies)
{
  Copy *copy;

  if (!copies)
    return;
  while ((copy = g_queue_peek_head (&copies->by_age)) != NULL)
    remove_copy (copies, copy);
  g_hash_table_destroy (copies->by_key);
  g_free (copies);
}

void
wc_opening_copies_add (WcOpeningCopies *copies, const WcPacket *opening, uint32_t cookie, uint64_t now_us)
{
  Copy *copy;
  Copy *oldest;

  assert (copies != NULL && opening != NULL && (opening->flags & WC_PACKET_SYN));

  while ((oldest = g_queue_peek_head (&copies->by_age)) != NULL && now_us >= oldest->expire_deadline_us)
    remove_copy (copies, oldest);
  copy = find_copy (copies, &opening->key);
  if (copy && copy->opening.packet.sequence != opening->sequence)
    {
      remove_copy (copies, copy);
      copy = NULL;
    }
  copy = copy ? copy : add_copy (copies, opening);
  if (!copy)
    return;
  copy->expire_deadline_us = now_us + LIFETIME_US;
  g_queue_unlink (&copies->by_age, &copy->link);
  g_queue_push_tail_link (&copies->by_age, &copy->link);
  for (size_t i = 0; i < copy->host_count; i++)
    if (copy->hosts[i] == cookie)
      return;
  if (copy->host_count < WC_OPENING_COPIES_HOSTS)
    copy->hosts[copy->host_count++] = cookie;
}

bool
wc_opening_copies_has (const WcOpeningCopies *copies, const WcPacket *packet)
{
  const Copy *copy;

  assert (copies != NULL && packet != NULL);

  copy = find_copy (copies, &packet->key);
  return copy && packet->sequence == copy->opening.packet.sequence + 1;
}

void
wc_opening_copies_remove (WcOpeningCopies *copies, const WcFlowKey *key)
{
  Copy *copy;

  assert (copies != NULL && key != NULL);

  copy = find_copy (copies, key);
  if (copy)
    remove_copy (copies, copy);
}

void
wc_opening_copies_visit_others (WcOpeningCopies *copies, const WcFlowKey *key, uint32_t chosen, uint64_t now_us,
                                WcOpeningCopyVisit visit, void *user_data)
{
  Copy    *copy;
  WcPacket opening;
  size_t   others = 0;

  assert (copies != NULL && key != NULL && visit != NULL);

  copy = find_copy (copies, key);
  if (!copy)
    return;
  opening = wc_opening_get_packet (&copy->opening);
  for (size_t i = 0; i < copy->host_count; i++)
    {
      if (copy->hosts[i] == chosen)
        continue;
      visit (user_data, &opening, copy->hosts[i]);
      others++;
    }
  copy->repeat_deadline_us = now_us + REPEAT_INTERVAL_US;
  if (others == 0)
    remove_copy (copies, copy);
}

void
wc_opening_copies_visit_sender (WcOpeningCopies *copies, const WcPacket *packet, uint32_t chosen, uint64_t now_us,
                                WcOpeningCopyVisit visit, void *user_data)
{
  Copy    *copy;
  WcPacket opening;

  assert (copies != NULL && packet != NULL && visit != NULL);

  copy = find_copy (copies, &packet->key);
  if (!copy || now_us < copy->repeat_deadline_us || now_us >= copy->expire_deadline_us)
    return;
  opening = wc_opening_get_packet (&copy->opening);
  for (size_t i = 0; i < copy->host_count; i++)
    {
      if (copy->hosts[i] == chosen || packet->cookie != wc_cookie_for_opening (copy->hosts[i], &opening))
        continue;
      copy->repeat_deadline_us = now_us + REPEAT_INTERVAL_US;
      visit (user_data, &opening, copy->hosts[i]);
    }
}

/* local functions */

static Copy *
find_copy (const WcOpeningCopies *copies, const WcFlowKey *key)
{
  return g_hash_table_lookup (copies->by_key, key);
}

/* Return: NULL when the packet is too long to be kept. */
static Copy *
add_copy (WcOpeningCopies *copies, const WcPacket *opening)
{
  Copy *copy = g_new0 (Copy, 1);
  Copy *oldest = g_queue_peek_head (&copies->by_age);

  if (!wc_opening_set (&copy->opening, opening))
    {
      g_free (copy);
      return NULL;
    }
  if (oldest && copies->by_age.length >= COPIES_MAX)
    remove_copy (copies, oldest);
  copy->link.data = copy;
  g_queue_push_tail_link (&copies->by_age, &copy->link);
  g_hash_table_insert (copies->by_key, &copy->opening.packet.key, copy);
  return copy;
}

static void
remove_copy (WcOpeningCopies *copies, Copy *copy)
{
  g_hash_table_remove (copies->by_key, &copy->opening.packet.key);
  g_queue_unlink (&copies->by_age, &copy->link);
  g_free (copy);
}

static guint
hash_key (gconstpointer key)
{
  return (guint)wc_flow_key_hash (key);
}

static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  return wc_flow_key_equal (a, b);
}
