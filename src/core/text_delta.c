#include "core/text_delta.h"

#include <assert.h>
#include <string.h>

enum
{
  RECORD_FIELDS = 3,
  FIELD_BYTES = 4,
  RECORD_BYTES = RECORD_FIELDS * FIELD_BYTES
};

/* A range to copy from the base, followed by a range of literal bytes in the target. */
typedef struct
{
  size_t copy_offset;
  size_t copy_bytes;
  size_t literal_offset;
  size_t literal_bytes;
} Record;

static size_t      get_segment_bytes (const uint8_t *text, size_t offset, size_t size_bytes);
static GHashTable *index_segments (const uint8_t *text, size_t size_bytes);
static bool        find_segment (GHashTable *index, const uint8_t *segment, size_t size_bytes, size_t *offset);
static void        append_record (GByteArray *delta, const Record *record, const uint8_t *target);

GBytes *
wc_text_delta_make (const void *base, size_t base_bytes, const void *target, size_t target_bytes)
{
  const uint8_t *base_text = base;
  const uint8_t *target_text = target;
  GHashTable    *index;
  GByteArray    *delta;
  Record         record = { 0 };
  size_t         size_bytes;

  assert (base != NULL && target != NULL);

  if (base_bytes > UINT32_MAX || target_bytes > UINT32_MAX)
    return NULL;
  index = index_segments (base_text, base_bytes);
  delta = g_byte_array_new ();
  for (size_t offset = 0; offset < target_bytes; offset += size_bytes)
    {
      size_t next = record.copy_offset + record.copy_bytes;
      size_t found;

      size_bytes = get_segment_bytes (target_text, offset, target_bytes);
      /* Extends the current copy if possible: short segments occur often, and the index has only one offset of each. */
      if (record.literal_bytes == 0 && size_bytes <= base_bytes - next &&
          memcmp (base_text + next, target_text + offset, size_bytes) == 0)
        record.copy_bytes += size_bytes;
      else if (size_bytes > RECORD_BYTES && find_segment (index, target_text + offset, size_bytes, &found))
        {
          append_record (delta, &record, target_text);
          record = (Record){ .copy_offset = found, .copy_bytes = size_bytes };
        }
      else
        {
          if (record.literal_bytes == 0)
            record.literal_offset = offset;
          record.literal_bytes += size_bytes;
        }
    }
  append_record (delta, &record, target_text);
  g_hash_table_destroy (index);
  if (delta->len >= target_bytes / 2)
    {
      g_byte_array_unref (delta);
      return NULL;
    }
  return g_byte_array_free_to_bytes (delta);
}

GBytes *
wc_text_delta_apply (const void *base, size_t base_bytes, const void *delta, size_t delta_bytes, size_t max_bytes)
{
  const uint8_t *next = delta;
  size_t         remaining = delta_bytes;
  GByteArray    *target = g_byte_array_new ();

  assert (base != NULL && delta != NULL);

  while (remaining >= RECORD_BYTES)
    {
      uint32_t fields[RECORD_FIELDS];

      memcpy (fields, next, sizeof fields);
      for (int i = 0; i < RECORD_FIELDS; i++)
        fields[i] = GUINT32_FROM_LE (fields[i]);
      next += RECORD_BYTES;
      remaining -= RECORD_BYTES;
      if (fields[0] > base_bytes || fields[1] > base_bytes - fields[0] || fields[2] > remaining ||
          (size_t)fields[1] + fields[2] > max_bytes - target->len)
        break;
      g_byte_array_append (target, (const uint8_t *)base + fields[0], fields[1]);
      g_byte_array_append (target, next, fields[2]);
      next += fields[2];
      remaining -= fields[2];
      if (remaining == 0)
        return g_byte_array_free_to_bytes (target);
    }
  g_byte_array_unref (target);
  return NULL;
}

/* local functions */

/* Return: length of the segment at @offset. Segments end after each closing brace, so that an object in an array
 * never shares a segment with the next one. */
static size_t
get_segment_bytes (const uint8_t *text, size_t offset, size_t size_bytes)
{
  const uint8_t *end = memchr (text + offset, '}', size_bytes - offset);

  return end ? (size_t)(end - text) + 1 - offset : size_bytes - offset;
}

/* Return: table that maps the bytes of each segment to the offset of their last occurrence. */
static GHashTable *
index_segments (const uint8_t *text, size_t size_bytes)
{
  GHashTable *index = g_hash_table_new_full (g_bytes_hash, g_bytes_equal, (GDestroyNotify)g_bytes_unref, NULL);
  size_t      segment_bytes;

  for (size_t offset = 0; offset < size_bytes; offset += segment_bytes)
    {
      segment_bytes = get_segment_bytes (text, offset, size_bytes);
      g_hash_table_insert (index, g_bytes_new_static (text + offset, segment_bytes), GSIZE_TO_POINTER (offset));
    }
  return index;
}

static bool
find_segment (GHashTable *index, const uint8_t *segment, size_t size_bytes, size_t *offset)
{
  GBytes  *key = g_bytes_new_static (segment, size_bytes);
  gpointer value;
  bool     found = g_hash_table_lookup_extended (index, key, NULL, &value);

  g_bytes_unref (key);
  if (found)
    *offset = GPOINTER_TO_SIZE (value);
  return found;
}

static void
append_record (GByteArray *delta, const Record *record, const uint8_t *target)
{
  uint32_t fields[RECORD_FIELDS] = { GUINT32_TO_LE ((uint32_t)record->copy_offset),
                                     GUINT32_TO_LE ((uint32_t)record->copy_bytes),
                                     GUINT32_TO_LE ((uint32_t)record->literal_bytes) };

  if (record->copy_bytes == 0 && record->literal_bytes == 0)
    return;
  g_byte_array_append (delta, (const uint8_t *)fields, sizeof fields);
  g_byte_array_append (delta, target + record->literal_offset, (guint)record->literal_bytes);
}
