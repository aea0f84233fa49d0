#include <wigeoncart/spill.h>

#include <assert.h>
#include <stdlib.h>

enum
{
  /* Spare slots beyond this number do not count as a change of the load. */
  MAX_SPARE_REQUESTS = 2,
  /* The wait saved must exceed 5 times the network delay: the delay itself, and 4 times as much because traffic between
   * domains is costly. */
  MIN_GAIN_DELAYS = 5
};

static int64_t      get_relevant_backlog (const WcSpillLoad *load);
static WcSpillPeer *find_peer (WcSpill *spill, uint32_t domain);

void
wc_spill_init (WcSpill *spill, uint64_t report_lifetime_us)
{
  assert (spill != NULL);

  *spill = (WcSpill){ .report_lifetime_us = report_lifetime_us };
}

void
wc_spill_set_delay (WcSpill *spill, uint32_t domain, uint64_t delay_us)
{
  WcSpillPeer *peer;

  assert (spill != NULL);
  assert (domain != 0);

  peer = find_peer (spill, domain);
  if (!peer && spill->count == WC_SPILL_MAX_DOMAINS)
    return;
  if (!peer)
    {
      peer = &spill->peers[spill->count++];
      *peer = (WcSpillPeer){ .domain = domain };
    }
  peer->delay_us = delay_us;
}

void
wc_spill_set_load (WcSpill *spill, uint64_t now_us, uint32_t domain, const WcSpillLoad *load)
{
  WcSpillPeer *peer;

  assert (spill != NULL);
  assert (load != NULL);

  peer = find_peer (spill, domain);
  if (!peer)
    return;
  peer->load = *load;
  peer->reported_us = now_us;
}

uint32_t
wc_spill_choose_domain (WcSpill *spill, uint64_t now_us, uint64_t wait_us)
{
  WcSpillPeer *best = NULL;
  uint64_t     best_wait_us = wait_us;

  assert (spill != NULL);

  for (size_t i = 0; i < spill->count && wait_us > 0; i++)
    {
      WcSpillPeer *peer = &spill->peers[i];
      int64_t      backlog_us = peer->load.backlog_us;
      uint64_t     remote_wait_us = MIN_GAIN_DELAYS * peer->delay_us + (backlog_us > 0 ? (uint64_t)backlog_us : 0);

      if (peer->reported_us == 0 || now_us - peer->reported_us > spill->report_lifetime_us)
        continue;
      if (remote_wait_us < best_wait_us ||
          (best && remote_wait_us == best_wait_us && backlog_us < best->load.backlog_us))
        {
          best = peer;
          best_wait_us = remote_wait_us;
        }
    }
  if (!best)
    return 0;
  best->load.backlog_us += (int64_t)best->load.step_us;
  return best->domain;
}

void
wc_spill_measure_load (const WcDispatcher *dispatcher, uint64_t now_us, WcSpillLoad *load)
{
  WcDispatchLoad dispatch_load;

  assert (dispatcher != NULL);
  assert (load != NULL);

  wc_dispatcher_get_load (dispatcher, now_us, &dispatch_load);
  load->step_us = dispatch_load.open_slots > 0 ? dispatch_load.run_us / dispatch_load.open_slots : 0;
  load->backlog_us = ((int64_t)dispatch_load.queued - (int64_t)dispatch_load.free_slots + 1) * (int64_t)load->step_us;
  /* Without an open slot, no request can be taken over. */
  if (dispatch_load.open_slots == 0)
    load->backlog_us = INT64_MAX / 2;
}

bool
wc_spill_record_due_report (WcSpill *spill, uint64_t now_us, const WcSpillLoad *load)
{
  uint64_t threshold_us = UINT64_MAX;
  int64_t  change_us;

  assert (spill != NULL);
  assert (load != NULL);

  for (size_t i = 0; i < spill->count; i++)
    threshold_us = MIN (threshold_us, spill->peers[i].delay_us);
  change_us = get_relevant_backlog (load) - get_relevant_backlog (&spill->sent_load);
  if (spill->sent_us != 0 && now_us - spill->sent_us < spill->report_lifetime_us / 2 &&
      (uint64_t)llabs (change_us) <= threshold_us)
    return false;
  spill->sent_us = now_us;
  spill->sent_load = *load;
  return true;
}

/* local functions */

/* Backlog with spare capacity limited to MAX_SPARE_REQUESTS requests: more does not affect the choice of the other
 * owners. */
static int64_t
get_relevant_backlog (const WcSpillLoad *load)
{
  int64_t min_us = -MAX_SPARE_REQUESTS * (int64_t)load->step_us;

  return load->backlog_us > min_us ? load->backlog_us : min_us;
}

static WcSpillPeer *
find_peer (WcSpill *spill, uint32_t domain)
{
  for (size_t i = 0; i < spill->count; i++)
    if (spill->peers[i].domain == domain)
      return &spill->peers[i];
  return NULL;
}
