#include "forward/opening_queue.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

enum
{
  /* Openings of 40 ms at the highest rate planned for, 100 a second on an instance, with room for a burst. */
  CAPACITY = 256,
  /* An opening packet has a head only. */
  PACKET_BYTES = 64
};

typedef struct
{
  uint64_t deadline_us;
  WcPacket packet;
  uint8_t  bytes[PACKET_BYTES];
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

  if (queue->count == CAPACITY || packet->size_bytes > PACKET_BYTES)
    return;
  entry = &queue->entries[(queue->first + queue->count++) % CAPACITY];
  entry->deadline_us = deadline_us;
  entry->packet = *packet;
  memcpy (entry->bytes, packet->bytes, packet->size_bytes);
  entry->packet.bytes = entry->bytes;
}

uint64_t
wc_opening_queue_get_deadline_us (const WcOpeningQueue *queue)
{
  return queue->count > 0 ? queue->entries[queue->first].deadline_us : UINT64_MAX;
}

bool
wc_opening_queue_take (WcOpeningQueue *queue, uint64_t now_us, WcPacket *packet)
{
  const Entry *entry = &queue->entries[queue->first];

  assert (queue != NULL && packet != NULL);

  if (queue->count == 0 || now_us < entry->deadline_us)
    return false;
  *packet = entry->packet;
  queue->first = (queue->first + 1) % CAPACITY;
  queue->count--;
  return true;
}

void
wc_opening_queue_clear (WcOpeningQueue *queue)
{
  queue->count = 0;
}
