#include "emulator/experiment_state.h"

enum
{
  HEARTBEAT_INTERVAL_US = 250000,
  SUSPECT_AFTER_US = 750000,
  LIST_INTERVAL_US = 1000000,
  /* The platform's list shows an instance's state of this long ago. */
  LIST_LAG_US = 1000000,
  HEARTBEAT_BYTES = 120,
  LIST_ENTRY_BYTES = 100
};

static WcMember make_member (const WcExperimentInstance *instance, WcMemberState state);
static void     refresh (WcExperiment *experiment, uint32_t instance);

void
wc_experiment_views_init (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];
  WcMember              member = make_member (self, WC_MEMBER_LIVE);

  self->membership = wc_membership_new (&member, SUSPECT_AFTER_US);
  self->generation = 0;
  /* A new instance hears its peers while it joins, before it serves. */
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    {
      member = make_member (&experiment->instances[i], WC_MEMBER_LIVE);
      if (experiment->instances[i].alive)
        wc_membership_apply_heartbeat (self->membership, experiment->now_us, &member);
    }
  wc_experiment_list (experiment, instance);
  wc_experiment_heartbeat_send (experiment, instance);
}

void
wc_experiment_views_finish (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];

  wc_member_table_unref (self->table);
  wc_membership_delete (self->membership);
  self->table = NULL;
  self->membership = NULL;
}

void
wc_experiment_heartbeat_send (WcExperiment *experiment, uint32_t instance)
{
  const WcExperimentInstance *self = &experiment->instances[instance];

  if (!self->alive)
    return;
  wc_membership_tick (self->membership, experiment->now_us);
  refresh (experiment, instance);
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    if (i != instance && experiment->instances[i].domain == self->domain)
      {
        experiment->control_bytes += HEARTBEAT_BYTES;
        wc_experiment_schedule (
            experiment, experiment->now_us + wc_experiment_generate_delay_us (experiment, self->domain, self->domain),
            WC_EXPERIMENT_HEARTBEAT, instance, i, 0, self->incarnation);
      }
  wc_experiment_schedule (experiment, experiment->now_us + HEARTBEAT_INTERVAL_US, WC_EXPERIMENT_HEARTBEAT_SEND, 0,
                          instance, (uint32_t)self->incarnation, 0);
}

void
wc_experiment_heartbeat (WcExperiment *experiment, uint32_t sender, uint32_t receiver, uint64_t incarnation)
{
  WcMember member = make_member (&experiment->instances[sender], WC_MEMBER_LIVE);

  if (!experiment->instances[receiver].alive)
    return;
  member.incarnation = incarnation;
  wc_membership_apply_heartbeat (experiment->instances[receiver].membership, experiment->now_us, &member);
  refresh (experiment, receiver);
}

void
wc_experiment_list (WcExperiment *experiment, uint32_t instance)
{
  WcMember listed[WC_EXPERIMENT_MAX_INSTANCES];
  size_t   count = 0;

  if (!experiment->instances[instance].alive)
    return;
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    {
      const WcExperimentInstance *entry = &experiment->instances[i];
      bool                        changed = experiment->now_us >= entry->alive_changed_us + LIST_LAG_US;

      if (entry->alive == changed || entry->alive_changed_us == 0)
        listed[count++] = make_member (entry, WC_MEMBER_LISTED);
    }
  experiment->control_bytes += count * LIST_ENTRY_BYTES;
  wc_membership_apply_list (experiment->instances[instance].membership, experiment->now_us, listed, count);
  refresh (experiment, instance);
  wc_experiment_schedule (experiment, experiment->now_us + LIST_INTERVAL_US, WC_EXPERIMENT_LIST, 0, instance,
                          (uint32_t)experiment->instances[instance].incarnation, 0);
}

/* local functions */

static WcMember
make_member (const WcExperimentInstance *instance, WcMemberState state)
{
  return (WcMember){ .id = instance->id,
                     .incarnation = instance->incarnation,
                     .domain = instance->domain + 1,
                     .workers = 1,
                     .state = state };
}

/* Takes a snapshot and recomputes the shares when the view has changed. */
static void
refresh (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];
  uint64_t              generation = wc_membership_get_generation (self->membership);

  if (self->table && generation == self->generation)
    return;
  wc_member_table_unref (self->table);
  self->table = wc_membership_snapshot (self->membership);
  self->generation = generation;
  self->shares.count = WC_EXPERIMENT_DOMAINS;
  for (uint32_t domain = 0; domain < WC_EXPERIMENT_DOMAINS; domain++)
    {
      const WcExperimentWorkload *workload = experiment->config->workload;
      size_t                      live;

      wc_member_table_get_live (self->table, domain + 1, &live);
      self->shares.shares[domain] = (WcDomainShare){ .domain = domain + 1,
                                                     .slots = (uint64_t)workload->hosts[domain] * workload->slots,
                                                     .instances = live };
    }
}
