#ifndef WC_FORWARD_SEND_RATE_H
#define WC_FORWARD_SEND_RATE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Load pattern: many instances send openings to the same idle hosts, none knows what the others send, and the answers
 * that show the hosts' queues come later. The rate of each instance grows in steps of a part of its upper bound, at
 * most one per answer time and only while it is used up, and falls by a quarter at once.
 */

/**
 * struct WcSendRate - limit of the openings that are sent to a domain: additive increase, multiplicative decrease,
 * below an upper bound. Rates are in thousandths of openings per second.
 * @has_bound: the bound was set at least once.
 * @is_limited: the rate was used up since it was last increased.
 * @tokens: openings that could be sent at @tokens_us, in millionths.
 * @sent_us: when an opening was last sent; 0 for never.
 */
typedef struct
{
  bool     has_bound;
  bool     is_limited;
  uint64_t bound_milli;
  uint64_t rate_milli;
  uint64_t tokens;
  uint64_t tokens_us;
  uint64_t sent_us;
  uint64_t increase_deadline_us;
  uint64_t decrease_deadline_us;
} WcSendRate;

/** wc_send_rate_init() - start with one opening. */
void wc_send_rate_init (WcSendRate *rate, uint64_t now_us);

/** wc_send_rate_set_bound() - set the upper bound; the first one determines the rate at the start. */
void wc_send_rate_set_bound (WcSendRate *rate, uint64_t bound_milli, uint64_t now_us);

/** wc_send_rate_record_sent() - record that an opening was sent. */
void wc_send_rate_record_sent (WcSendRate *rate, uint64_t now_us);

/**
 * wc_send_rate_increase() - increase the rate by a step if it was used up, at most once per answer time.
 * @answer_us: current answer time of the domain.
 */
void wc_send_rate_increase (WcSendRate *rate, uint64_t answer_us, uint64_t now_us);

/** wc_send_rate_decrease() - decrease the rate, at most once per half of the answer time. */
void wc_send_rate_decrease (WcSendRate *rate, uint64_t answer_us, uint64_t now_us);

/** wc_send_rate_stop() - reduce the rate to trials, the first of them after their full interval. */
void wc_send_rate_stop (WcSendRate *rate, uint64_t now_us);

/** wc_send_rate_get_milli() - the rate; never less than that of trials. */
uint64_t wc_send_rate_get_milli (const WcSendRate *rate);

/** wc_send_rate_allows() - whether an opening may be sent now. */
bool wc_send_rate_allows (const WcSendRate *rate, uint64_t now_us);

#endif
