#ifndef WIGEONCART_ANSWER_STORE_H
#define WIGEONCART_ANSWER_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/status.h>

enum
{
  WC_ANSWER_PART_BYTES = 1100
};

/** struct WcAnswerStore - answers of targets stored by one worker in bounded memory, looked up by random identifier.
 */
typedef struct WcAnswerStore WcAnswerStore;

WcAnswerStore *wc_answer_store_new (size_t max_bytes, uint32_t max_answers);
void           wc_answer_store_delete (WcAnswerStore *store);

/**
 * wc_answer_store_begin() - add an empty, incomplete answer.
 * @id: unique random number, not 0.
 * @max_bytes: maximum length; an append beyond it fails with TOO_LARGE.
 *
 * When the store is full, expired answers are evicted first.
 *
 * Return: OK, INVALID when the id is in use, or NO_SPACE when the store is full of answers that have not expired.
 */
WcStatus wc_answer_store_begin (WcAnswerStore *store, uint64_t now_us, uint64_t id, size_t max_bytes);

/**
 * wc_answer_store_append() - append bytes to an incomplete answer; either all or none are stored.
 *
 * Return: OK, TOO_LARGE, NO_SPACE, NOT_FOUND, or INVALID when the answer is complete.
 */
WcStatus wc_answer_store_append (WcAnswerStore *store, uint64_t id, const void *data, size_t size_bytes);

/**
 * wc_answer_store_finish() - mark an answer as complete; it is kept until @expiry_us.
 *
 * An incomplete answer does not expire; the caller releases it when its attempt fails.
 *
 * Return: OK, NOT_FOUND, or INVALID when the answer is already complete.
 */
WcStatus wc_answer_store_finish (WcAnswerStore *store, uint64_t id, uint32_t http_status, uint64_t expiry_us);

/** wc_answer_store_release() - remove an answer; unknown ids are ignored. */
void wc_answer_store_release (WcAnswerStore *store, uint64_t id);

/**
 * wc_answer_store_get_info() - status, length and number of parts of a complete answer; an empty one has one part.
 *
 * Return: false when the id is unknown or the answer is incomplete.
 */
bool wc_answer_store_get_info (const WcAnswerStore *store, uint64_t id, uint32_t *http_status, uint32_t *total_bytes,
                               uint32_t *part_count);

/**
 * wc_answer_store_get_part() - bytes of one part of a complete answer, valid until the store changes.
 *
 * Return: NULL when the id is unknown, the answer is incomplete or it has no such part; @size_bytes is then set to 0.
 * The only part of an empty answer is not NULL and has 0 bytes.
 */
const uint8_t *wc_answer_store_get_part (const WcAnswerStore *store, uint64_t id, uint32_t part, size_t *size_bytes);

/** wc_answer_store_expire() - evict answers with @expiry_us <= @now_us. Return: number of evicted answers. */
uint32_t wc_answer_store_expire (WcAnswerStore *store, uint64_t now_us);

uint32_t wc_answer_store_get_count (const WcAnswerStore *store);

/** wc_answer_store_get_bytes() - stored bytes of all answers, including incomplete ones. */
size_t wc_answer_store_get_bytes (const WcAnswerStore *store);

#endif
