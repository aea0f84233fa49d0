#include "forward/flow_inquiry.h"

#include <assert.h>

#include <glib.h>

#include "forward/flow_table.h"

enum
{
  /* Bounds the memory to about 300 kB. Callers retransmit what is dropped. */
  INQUIRIES_MAX = 64,
  PACKETS_MAX = 4
};

typedef struct
{
  WcPacket packet;
  uint8_t *bytes;
} HeldPacket;

/* @awaited: peers that have not answered yet. */
typedef struct
{
  WcFlowKey  key;
  size_t     awaited;
  uint64_t   deadline_us;
  size_t     packet_count;
  HeldPacket packets[PACKETS_MAX];
} Inquiry;

struct WcFlowInquiries
{
  GPtrArray *inquiries;
};

static Inquiry *find_inquiry (const WcFlowInquiries *inquiries, const WcFlowKey *key);
static void     free_inquiry (gpointer data);

WcFlowInquiries *
wc_flow_inquiries_new (void)
{
  WcFlowInquiries *inquiries = g_new0 (WcFlowInquiries, 1);

  inquiries->inquiries = g_ptr_array_new_with_free_func (free_inquiry);
  return inquiries;
}

void
wc_flow_inquiries_delete (WcFlowInquiries *inquiries)
{
  if (!inquiries)
    return;
  g_ptr_array_free (inquiries->inquiries, TRUE);
  g_free (inquiries);
}

bool
wc_flow_inquiries_has (const WcFlowInquiries *inquiries, const WcFlowKey *key)
{
  assert (inquiries != NULL && key != NULL);

  return find_inquiry (inquiries, key) != NULL;
}

bool
wc_flow_inquiries_is_full (const WcFlowInquiries *inquiries)
{
  assert (inquiries != NULL);

  return inquiries->inquiries->len >= INQUIRIES_MAX;
}

void
wc_flow_inquiries_start (WcFlowInquiries *inquiries, const WcFlowKey *key, size_t asked, uint64_t deadline_us)
{
  Inquiry *inquiry;

  assert (!wc_flow_inquiries_has (inquiries, key) && !wc_flow_inquiries_is_full (inquiries));

  inquiry = g_new0 (Inquiry, 1);
  inquiry->key = *key;
  inquiry->awaited = asked;
  inquiry->deadline_us = deadline_us;
  g_ptr_array_add (inquiries->inquiries, inquiry);
}

void
wc_flow_inquiries_hold (WcFlowInquiries *inquiries, const WcPacket *packet)
{
  Inquiry    *inquiry;
  HeldPacket *held;

  assert (inquiries != NULL && packet != NULL);

  inquiry = find_inquiry (inquiries, &packet->key);
  assert (inquiry != NULL);
  if (inquiry->packet_count == PACKETS_MAX)
    return;
  held = &inquiry->packets[inquiry->packet_count++];
  held->bytes = g_memdup2 (packet->bytes, packet->size_bytes);
  held->packet = *packet;
  held->packet.bytes = held->bytes;
}

bool
wc_flow_inquiries_record_unknown (WcFlowInquiries *inquiries, const WcFlowKey *key)
{
  Inquiry *inquiry;

  assert (inquiries != NULL && key != NULL);

  inquiry = find_inquiry (inquiries, key);
  if (!inquiry)
    return false;
  inquiry->awaited -= inquiry->awaited > 0;
  return inquiry->awaited == 0;
}

uint64_t
wc_flow_inquiries_get_deadline_us (const WcFlowInquiries *inquiries)
{
  uint64_t deadline_us = UINT64_MAX;

  assert (inquiries != NULL);

  for (guint i = 0; i < inquiries->inquiries->len; i++)
    deadline_us = MIN (deadline_us, ((const Inquiry *)inquiries->inquiries->pdata[i])->deadline_us);
  return deadline_us;
}

bool
wc_flow_inquiries_find_expired (const WcFlowInquiries *inquiries, uint64_t now_us, WcFlowKey *key)
{
  assert (inquiries != NULL && key != NULL);

  for (guint i = 0; i < inquiries->inquiries->len; i++)
    {
      const Inquiry *inquiry = inquiries->inquiries->pdata[i];

      if (now_us < inquiry->deadline_us)
        continue;
      *key = inquiry->key;
      return true;
    }
  return false;
}

void
wc_flow_inquiries_end (WcFlowInquiries *inquiries, const WcFlowKey *key, WcFlowInquiryRelease release, void *user_data)
{
  Inquiry *inquiry;
  guint    index;

  assert (inquiries != NULL && release != NULL);

  inquiry = find_inquiry (inquiries, key);
  if (!inquiry || !g_ptr_array_find (inquiries->inquiries, inquiry, &index))
    return;
  g_ptr_array_steal_index (inquiries->inquiries, index);
  for (size_t i = 0; i < inquiry->packet_count; i++)
    release (user_data, &inquiry->packets[i].packet);
  free_inquiry (inquiry);
}

/* local functions */

static Inquiry *
find_inquiry (const WcFlowInquiries *inquiries, const WcFlowKey *key)
{
  for (guint i = 0; i < inquiries->inquiries->len; i++)
    {
      Inquiry *inquiry = inquiries->inquiries->pdata[i];

      if (wc_flow_key_equal (&inquiry->key, key))
        return inquiry;
    }
  return NULL;
}

static void
free_inquiry (gpointer data)
{
  Inquiry *inquiry = data;

  for (size_t i = 0; i < inquiry->packet_count; i++)
    g_free (inquiry->packets[i].bytes);
  g_free (inquiry);
}
