#include "core/shard_state.h"

#include <assert.h>

#include <wigeoncart/ownership.h>

enum
{
  REFUSAL_BACKOFF_US = 50 * 1000
};

WcShardState *
wc_shard_state_new (uint32_t service, uint32_t shard, const WcNodeConfig *config, GRand *random)
{
  WcShardState      *state = g_new0 (WcShardState, 1);
  WcDispatcherConfig dispatcher_config = {
    .queue_max_requests = config->queue_max_requests,
    .retry_budget_percent = config->retry_budget_percent,
    .refusal_backoff_us = REFUSAL_BACKOFF_US,
    .late_binding = true,
  };

  state->service = service;
  state->shard = shard;
  wc_report_exchange_init (&state->exchange);
  state->dispatcher = wc_dispatcher_new (&dispatcher_config, config->policy, random);
  return state;
}

void
wc_shard_state_delete (WcShardState *state)
{
  if (!state)
    return;
  wc_dispatcher_delete (state->dispatcher);
  g_free (state);
}

void
wc_shard_state_update_targets (WcShardState *state, uint64_t now_us, const WcRegister *reg, uint32_t domain)
{
  WcDispatchTarget shard_targets[WC_TARGETS_PER_SHARD];
  size_t           count;
  size_t           shard_target_count = 0;
  const WcTarget  *targets;
  uint32_t         shard_count;

  assert (reg != NULL);

  targets = wc_register_get_service_targets (reg, state->service, domain, &count);
  shard_count = wc_ownership_get_shard_count (count);
  for (size_t i = state->shard; i < count && shard_target_count < WC_TARGETS_PER_SHARD; i += shard_count)
    shard_targets[shard_target_count++] = (WcDispatchTarget){
      .id = targets[i].id,
      .slots = targets[i].slots,
      .weight = targets[i].weight,
      .cold_start_ms = targets[i].cold_start_ms,
      .leaving = targets[i].leaving,
    };
  wc_dispatcher_set_targets (state->dispatcher, now_us, shard_targets, shard_target_count);
}
