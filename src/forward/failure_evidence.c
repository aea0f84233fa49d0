#include "forward/failure_evidence.h"

#include <assert.h>
#include <stddef.h>

#include <glib.h>

enum
{
  /* An instance reports a new failure at once and repeats it with its gossip; the window of the counts. */
  REPORT_LIFETIME_US = 2000 * 1000,
  /* An instance at the planned size sends all hosts together 100 requests a second. */
  PLAUSIBLE_MAX = 1000,
  /* The same for the sum over the instances of a domain. */
  ESTIMATE_PLAUSIBLE_MAX = 100 * 1000,
  MILLI = 1000
};

static void            add_counts (WcFailureSum *sum, uint32_t *failed_max, const WcFailureCounts *counts);
static WcFailureCounts get_current (const WcFailureReport *report, uint64_t now_us);
static int             get_weight (const WcFailureReport *report, uint64_t now_us);

bool
wc_failure_counts_are_plausible (const WcFailureCounts *counts)
{
  return counts->answered <= PLAUSIBLE_MAX && counts->failed <= PLAUSIBLE_MAX;
}

void
wc_failure_evidence_add_report (WcFailureEvidence *evidence, uint64_t reporter, const WcFailureCounts *counts,
                                uint64_t now_us)
{
  WcFailureReport *slot = &evidence->reports[0];

  assert (evidence != NULL && counts != NULL && reporter != 0);

  if (!wc_failure_counts_are_plausible (counts))
    return;
  for (int i = 0; i < WC_FAILURE_REPORTERS; i++)
    {
      WcFailureReport *report = &evidence->reports[i];

      if (report->reporter == reporter)
        {
          slot = report;
          break;
        }
      if (get_weight (report, now_us) < get_weight (slot, now_us) ||
          (get_weight (report, now_us) == get_weight (slot, now_us) && report->deadline_us < slot->deadline_us))
        slot = report;
    }
  /* Counts without a failure only replace the reporter's own or expired ones. */
  if (slot->reporter == reporter || counts->failed > 0 || get_weight (slot, now_us) == 0)
    *slot = (WcFailureReport){ reporter, *counts, now_us + REPORT_LIFETIME_US };
}

void
wc_failure_evidence_add_estimate (WcFailureEvidence *evidence, uint64_t origin, const WcFailureCounts *counts,
                                  uint64_t age_us, uint64_t now_us)
{
  WcFailureEstimate *slot = &evidence->estimates[0];
  uint64_t           deadline_us;

  assert (counts != NULL && origin != 0);

  if (age_us >= WC_FAILURE_ESTIMATE_LIFETIME_US || counts->answered > ESTIMATE_PLAUSIBLE_MAX ||
      counts->failed > ESTIMATE_PLAUSIBLE_MAX)
    return;
  deadline_us = now_us + WC_FAILURE_ESTIMATE_LIFETIME_US - age_us;
  for (int i = 0; i < WC_FAILURE_ESTIMATES; i++)
    {
      WcFailureEstimate *estimate = &evidence->estimates[i];

      if (estimate->origin == origin)
        {
          slot = estimate;
          break;
        }
      if (estimate->deadline_us < slot->deadline_us)
        slot = estimate;
    }
  /* A relayed copy may arrive later than a newer estimate. */
  if (deadline_us > slot->deadline_us)
    *slot = (WcFailureEstimate){ origin, *counts, deadline_us };
}

WcFailureSum
wc_failure_evidence_sum (const WcFailureEvidence *evidence, const WcFailureCounts *own, uint32_t peers,
                         uint64_t peer_answered_milli, uint64_t now_us)
{
  WcFailureSum sum = { 0 };
  uint32_t     failed_max = 0;
  uint32_t     known = 0;

  assert (own != NULL);

  add_counts (&sum, &failed_max, own);
  for (int i = 0; evidence && i < WC_FAILURE_REPORTERS; i++)
    if (now_us < evidence->reports[i].deadline_us)
      {
        const WcFailureCounts counts = get_current (&evidence->reports[i], now_us);

        add_counts (&sum, &failed_max, &counts);
        known++;
      }
  if (known < peers)
    {
      uint64_t known_milli = (uint64_t)sum.counts.answered * MILLI / (known + 1);

      sum.counts.answered += (uint32_t)((peers - known) * MIN (known_milli, peer_answered_milli) / MILLI);
    }
  if (peers > 0)
    sum.counts.failed = MIN (sum.counts.failed, 2 * (sum.counts.failed - failed_max));
  return sum;
}

const WcFailureEstimate *
wc_failure_evidence_get_estimate (const WcFailureEvidence *evidence, uint64_t now_us)
{
  const WcFailureEstimate *weaker = &evidence->estimates[0];

  assert (evidence != NULL);

  for (int i = 0; i < WC_FAILURE_ESTIMATES; i++)
    {
      if (now_us >= evidence->estimates[i].deadline_us)
        return NULL;
      if (evidence->estimates[i].counts.failed < weaker->counts.failed)
        weaker = &evidence->estimates[i];
    }
  return weaker;
}

const WcFailureEstimate *
wc_failure_evidence_pick_estimate (const WcFailureEvidence *evidence, uint64_t selector, uint64_t now_us)
{
  assert (evidence != NULL);

  for (uint64_t i = 0; i < WC_FAILURE_ESTIMATES; i++)
    {
      const WcFailureEstimate *estimate = &evidence->estimates[(selector + i) % WC_FAILURE_ESTIMATES];

      if (now_us < estimate->deadline_us)
        return estimate;
    }
  return NULL;
}

uint64_t
wc_failure_evidence_get_estimate_age_us (const WcFailureEstimate *estimate, uint64_t now_us)
{
  uint64_t made_us = estimate->deadline_us - WC_FAILURE_ESTIMATE_LIFETIME_US;

  return now_us > made_us ? now_us - made_us : 0;
}

bool
wc_failure_evidence_is_empty (const WcFailureEvidence *evidence, uint64_t now_us)
{
  for (int i = 0; i < WC_FAILURE_REPORTERS; i++)
    if (now_us < evidence->reports[i].deadline_us)
      return false;
  return wc_failure_evidence_pick_estimate (evidence, 0, now_us) == NULL;
}

/* local functions */

static void
add_counts (WcFailureSum *sum, uint32_t *failed_max, const WcFailureCounts *counts)
{
  sum->counts.answered += counts->answered;
  sum->counts.failed += counts->failed;
  sum->reporters += counts->failed > 0;
  *failed_max = MAX (*failed_max, counts->failed);
}

/*
 * The answers of a report leave the window as it ages, while the failures were new when it was sent. With undiminished
 * answers from before a fault, the rate stayed below the threshold for 2 s.
 */
static WcFailureCounts
get_current (const WcFailureReport *report, uint64_t now_us)
{
  uint64_t left_us = MIN (report->deadline_us - now_us, REPORT_LIFETIME_US);

  return (WcFailureCounts){ (uint32_t)(report->counts.answered * left_us / REPORT_LIFETIME_US), report->counts.failed };
}

/* Return: 0 for expired or unused counts, 1 for counts without a failure, 2 for others. */
static int
get_weight (const WcFailureReport *report, uint64_t now_us)
{
  return now_us >= report->deadline_us ? 0 : report->counts.failed == 0 ? 1 : 2;
}
