#include "forward/opening_queue.h"

#include <assert.h>

#include <glib.h>

#include "forward/opening.h"

enum
{
  /* 40 ms of openings at the highest planned rate, 100 a second on an instance, with reserve for a burst. */
  CAPACITY = 256
};

typedef struct
{
  uint64_t  deadline_us;
  bool      superseded;
  WcOpening opening;
} Entry;

struct WcOpeningQueue
{
  uint32_t first;
  uint32_t count;
  Entry    entries[CAPACITY];
};

WcOpeningQueue *
wc_opening_queue_new (void)
{
  return g_new0 (WcOpeningQueue, 1);
}

void
wc_opening_queue_delete (WcOpeningQueue *queue)
{
  g_free (queue);
}

void
wc_opening_queue_add (WcOpeningQueue *queue, const WcPacket *packet, uint64_t deadline_us)
{
  Entry *entry;

  assert (queue != NULL && packet != NULL);

  if (queue->count == CAPACITY)
    return;
  entry = &queue->entries[(queue->first + queue->count) % CAPACITY];
  if (!wc_opening_set (&entry->opening, packet))
    return;
  entry->deadline_us = deadline_us;
  entry->superseded = false;
  queue->count++;
}

bool
wc_opening_queue_supersede (WcOpeningQueue *queue, const WcFlowKey *key, WcFlowKey *refused)
{
  for (uint32_t i = queue->count; i > 0; i--)
    {
      Entry           *entry = &queue->entries[(queue->first + i - 1) % CAPACITY];
      const WcFlowKey *other = &entry->opening.packet.key;

      if (entry->superseded || other->caller_ip != key->caller_ip || other->route_ip != key->route_ip ||
          other->route_port != key->route_port || other->caller_port == key->caller_port)
        continue;
      entry->superseded = true;
      *refused = *other;
      return true;
    }
  return false;
}

uint64_t
wc_opening_queue_get_deadline_us (const WcOpeningQueue *queue)
{
  return queue->count > 0 ? queue->entries[queue->first].deadline_us : UINT64_MAX;
}

bool
wc_opening_queue_take (WcOpeningQueue *queue, uint64_t now_us, WcPacket *packet, bool *superseded)
{
  const Entry *entry = &queue->entries[queue->first];

  assert (queue != NULL && packet != NULL);

  if (queue->count == 0 || now_us < entry->deadline_us)
    return false;
  *packet = wc_opening_get_packet (&entry->opening);
  *superseded = entry->superseded;
  queue->first = (queue->first + 1) % CAPACITY;
  queue->count--;
  return true;
}

void
wc_opening_queue_clear (WcOpeningQueue *queue)
{
  queue->count = 0;
}
