#include <wigeoncart/answer_store.h>

#include <assert.h>
#include <glib.h>
#include <string.h>

/*
 * An answer, stored in parts of the size in which they are sent. Appending copies no stored bytes, and an incomplete
 * answer wastes less than one part of memory.
 *
 * @expiry_link: link of a complete answer in WcAnswerStore.by_expiry.
 */
typedef struct
{
  uint64_t   id;
  uint64_t   expiry_us;
  size_t     max_bytes;
  size_t     total_bytes;
  GPtrArray *parts;
  uint32_t   http_status;
  bool       complete;
  GList      expiry_link;
} Answer;

/* @by_expiry: complete answers, the earliest expiry first. */
struct WcAnswerStore
{
  GHashTable *by_id;
  GQueue      by_expiry;
  size_t      max_bytes;
  size_t      bytes;
  uint32_t    max_answers;
};

/* The only part of an empty answer: not NULL, 0 bytes are used. */
static const uint8_t EMPTY_PART[1];

static void    delete_answer (void *data);
static Answer *find_answer (const WcAnswerStore *store, uint64_t id);
static bool    is_full (const WcAnswerStore *store);
static size_t  get_part_bytes (const Answer *answer, uint32_t part);
static void    insert_by_expiry (WcAnswerStore *store, Answer *answer);
static void    remove_answer (WcAnswerStore *store, Answer *answer);

WcAnswerStore *
wc_answer_store_new (size_t max_bytes, uint32_t max_answers)
{
  WcAnswerStore *store = g_new0 (WcAnswerStore, 1);

  store->by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, delete_answer);
  g_queue_init (&store->by_expiry);
  store->max_bytes = max_bytes;
  store->max_answers = max_answers;
  return store;
}

void
wc_answer_store_delete (WcAnswerStore *store)
{
  if (!store)
    return;
  g_hash_table_destroy (store->by_id);
  g_free (store);
}

WcStatus
wc_answer_store_begin (WcAnswerStore *store, uint64_t now_us, uint64_t id, size_t max_bytes)
{
  Answer *answer;

  assert (store != NULL);
  assert (id != 0);
  assert (max_bytes <= UINT32_MAX);

  if (is_full (store))
    wc_answer_store_expire (store, now_us);
  if (find_answer (store, id))
    return WC_STATUS_INVALID;
  if (is_full (store))
    return WC_STATUS_NO_SPACE;
  answer = g_new0 (Answer, 1);
  answer->id = id;
  answer->max_bytes = max_bytes;
  answer->parts = g_ptr_array_new_with_free_func (g_free);
  answer->expiry_link.data = answer;
  g_hash_table_insert (store->by_id, &answer->id, answer);
  return WC_STATUS_OK;
}

WcStatus
wc_answer_store_append (WcAnswerStore *store, uint64_t id, const void *data, size_t size_bytes)
{
  const uint8_t *bytes = data;
  Answer        *answer;

  assert (store != NULL);
  assert (data != NULL || size_bytes == 0);

  answer = find_answer (store, id);
  if (!answer)
    return WC_STATUS_NOT_FOUND;
  if (answer->complete)
    return WC_STATUS_INVALID;
  if (size_bytes > answer->max_bytes - answer->total_bytes)
    return WC_STATUS_TOO_LARGE;
  if (size_bytes > store->max_bytes - store->bytes)
    return WC_STATUS_NO_SPACE;
  store->bytes += size_bytes;
  while (size_bytes > 0)
    {
      size_t offset = answer->total_bytes % WC_ANSWER_PART_BYTES;
      size_t chunk_bytes = MIN (size_bytes, WC_ANSWER_PART_BYTES - offset);

      if (offset == 0)
        g_ptr_array_add (answer->parts, g_malloc (WC_ANSWER_PART_BYTES));
      memcpy ((uint8_t *)answer->parts->pdata[answer->parts->len - 1] + offset, bytes, chunk_bytes);
      answer->total_bytes += chunk_bytes;
      bytes += chunk_bytes;
      size_bytes -= chunk_bytes;
    }
  return WC_STATUS_OK;
}

WcStatus
wc_answer_store_finish (WcAnswerStore *store, uint64_t id, uint32_t http_status, uint64_t expiry_us)
{
  Answer *answer;

  assert (store != NULL);

  answer = find_answer (store, id);
  if (!answer)
    return WC_STATUS_NOT_FOUND;
  if (answer->complete)
    return WC_STATUS_INVALID;
  answer->complete = true;
  answer->http_status = http_status;
  answer->expiry_us = expiry_us;
  if (answer->parts->len > 0)
    {
      uint32_t last = answer->parts->len - 1;

      answer->parts->pdata[last] = g_realloc (answer->parts->pdata[last], get_part_bytes (answer, last));
    }
  insert_by_expiry (store, answer);
  return WC_STATUS_OK;
}

void
wc_answer_store_release (WcAnswerStore *store, uint64_t id)
{
  Answer *answer;

  assert (store != NULL);

  answer = find_answer (store, id);
  if (answer)
    remove_answer (store, answer);
}

bool
wc_answer_store_get_info (const WcAnswerStore *store, uint64_t id, uint32_t *http_status, uint32_t *total_bytes,
                          uint32_t *part_count)
{
  const Answer *answer;

  assert (store != NULL);
  assert (http_status != NULL);
  assert (total_bytes != NULL);
  assert (part_count != NULL);

  answer = find_answer (store, id);
  if (!answer || !answer->complete)
    return false;
  *http_status = answer->http_status;
  *total_bytes = (uint32_t)answer->total_bytes;
  *part_count = MAX (answer->parts->len, 1);
  return true;
}

const uint8_t *
wc_answer_store_get_part (const WcAnswerStore *store, uint64_t id, uint32_t part, size_t *size_bytes)
{
  const Answer *answer;

  assert (store != NULL);
  assert (size_bytes != NULL);

  *size_bytes = 0;
  answer = find_answer (store, id);
  if (!answer || !answer->complete)
    return NULL;
  if (answer->parts->len == 0 && part == 0)
    return EMPTY_PART;
  if (part >= answer->parts->len)
    return NULL;
  *size_bytes = get_part_bytes (answer, part);
  return answer->parts->pdata[part];
}

uint32_t
wc_answer_store_expire (WcAnswerStore *store, uint64_t now_us)
{
  uint32_t evicted = 0;

  assert (store != NULL);

  for (; store->by_expiry.head; evicted++)
    {
      Answer *answer = store->by_expiry.head->data;

      if (answer->expiry_us > now_us)
        break;
      remove_answer (store, answer);
    }
  return evicted;
}

uint32_t
wc_answer_store_get_count (const WcAnswerStore *store)
{
  assert (store != NULL);

  return g_hash_table_size (store->by_id);
}

size_t
wc_answer_store_get_bytes (const WcAnswerStore *store)
{
  assert (store != NULL);

  return store->bytes;
}

/* local functions */

static void
delete_answer (void *data)
{
  Answer *answer = data;

  g_ptr_array_unref (answer->parts);
  g_free (answer);
}

static Answer *
find_answer (const WcAnswerStore *store, uint64_t id)
{
  return g_hash_table_lookup (store->by_id, &id);
}

static bool
is_full (const WcAnswerStore *store)
{
  return g_hash_table_size (store->by_id) >= store->max_answers || store->bytes >= store->max_bytes;
}

static size_t
get_part_bytes (const Answer *answer, uint32_t part)
{
  return MIN (answer->total_bytes - (size_t)part * WC_ANSWER_PART_BYTES, WC_ANSWER_PART_BYTES);
}

static void
insert_by_expiry (WcAnswerStore *store, Answer *answer)
{
  GList *previous = store->by_expiry.tail;

  /* All answers are stored for about the same time, so a new one nearly always belongs at the end. */
  while (previous && ((Answer *)previous->data)->expiry_us > answer->expiry_us)
    previous = previous->prev;
  g_queue_insert_after_link (&store->by_expiry, previous, &answer->expiry_link);
}

static void
remove_answer (WcAnswerStore *store, Answer *answer)
{
  uint64_t id = answer->id;

  store->bytes -= answer->total_bytes;
  if (answer->complete)
    g_queue_unlink (&store->by_expiry, &answer->expiry_link);
  g_hash_table_remove (store->by_id, &id);
}
