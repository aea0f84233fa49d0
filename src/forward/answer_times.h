#ifndef WC_FORWARD_ANSWER_TIMES_H
#define WC_FORWARD_ANSWER_TIMES_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct WcAnswerTimes - answer and handshake times of the hosts of a domain, as this instance observes them.
 * @handshake_us, @answer_us: means of the latest samples; 0 before the first.
 * @long_us: mean of the answer times over more samples.
 * @base_us: answer time without queues: the lowest @long_us, which is raised slowly while @long_us is above it; 0 until
 * there are enough answers.
 * @samples: number of answers, up to the number from which the means are used.
 * @answered_us: time of the latest answer.
 */
typedef struct
{
  uint64_t handshake_us;
  uint64_t answer_us;
  uint64_t long_us;
  uint64_t base_us;
  uint32_t samples;
  uint64_t answered_us;
} WcAnswerTimes;

/** wc_answer_times_record_opened() - a host accepted an opening @duration_us after it was forwarded. */
void wc_answer_times_record_opened (WcAnswerTimes *times, uint64_t duration_us);

/** wc_answer_times_record_answer() - a host answered a request after @duration_us. */
void wc_answer_times_record_answer (WcAnswerTimes *times, uint64_t duration_us, uint64_t now_us);

/** wc_answer_times_is_recent() - whether @answer_us is based on enough answers and the latest is recent. */
bool wc_answer_times_is_recent (const WcAnswerTimes *times, uint64_t now_us);

#endif
