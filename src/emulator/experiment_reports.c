#include "emulator/experiment_state.h"

enum
{
  REPORT_CHECK_US = 100000,
  FEEDBACK_INTERVAL_US = 50000,
  REPORT_LIFETIME_US = 1000000,
  REPORT_BYTES = 80
};

static void send_report (WcExperiment *experiment, uint32_t instance, uint32_t domain);

void
wc_experiment_reports_init (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];

  wc_spill_init (&self->spill, REPORT_LIFETIME_US);
  for (uint32_t domain = 0; domain < WC_EXPERIMENT_DOMAINS; domain++)
    if (domain != self->domain)
      wc_spill_set_delay (&self->spill, domain + 1, experiment->config->workload->domain_delay_us);
  wc_experiment_report_timer (experiment, instance);
}

/* Sends a load report to the owners of the other domains if this instance is the owner and a report is due. */
void
wc_experiment_report_timer (WcExperiment *experiment, uint32_t instance)
{
  WcExperimentInstance *self = &experiment->instances[instance];
  const WcMember       *owner;
  WcSpillLoad           report;

  if (!self->alive)
    return;
  owner = wc_ownership_find_owner (self->table, self->domain + 1, WC_EXPERIMENT_SERVICE, 0);
  wc_spill_measure_load (self->dispatcher, experiment->now_us, &report);
  if (owner && owner->id == self->id && wc_spill_record_due_report (&self->spill, experiment->now_us, &report))
    for (uint32_t domain = 0; domain < WC_EXPERIMENT_DOMAINS; domain++)
      if (domain != self->domain)
        send_report (experiment, instance, domain);
  wc_experiment_schedule (experiment, experiment->now_us + REPORT_CHECK_US, WC_EXPERIMENT_REPORT_SEND, 0, instance,
                          (uint32_t)self->incarnation, 0);
}

/* Sends a load report to the domain that spilled a request, if there is a backlog, so that it stops spilling. */
void
wc_experiment_report_feedback (WcExperiment *experiment, uint32_t instance, uint32_t domain)
{
  WcExperimentInstance *self = &experiment->instances[instance];
  WcSpillLoad           report;

  wc_spill_measure_load (self->dispatcher, experiment->now_us, &report);
  if (report.backlog_us > 0 && experiment->now_us >= self->report_sent_us[domain] + FEEDBACK_INTERVAL_US)
    send_report (experiment, instance, domain);
}

void
wc_experiment_report (WcExperiment *experiment, const WcExperimentEvent *event)
{
  WcExperimentInstance *receiver = &experiment->instances[event->entity];
  WcSpillLoad           report = { .backlog_us = (int64_t)event->value, .step_us = event->epoch };

  if (receiver->alive)
    wc_spill_set_load (&receiver->spill, experiment->now_us, event->request, &report);
}

/* local functions */

static void
send_report (WcExperiment *experiment, uint32_t instance, uint32_t domain)
{
  WcExperimentInstance *self = &experiment->instances[instance];
  const WcMember       *owner = wc_ownership_find_owner (self->table, domain + 1, WC_EXPERIMENT_SERVICE, 0);
  WcSpillLoad           report;

  if (!owner)
    return;
  wc_spill_measure_load (self->dispatcher, experiment->now_us, &report);
  self->report_sent_us[domain] = experiment->now_us;
  experiment->control_bytes += REPORT_BYTES;
  for (uint32_t i = 0; i < experiment->instance_count; i++)
    if (experiment->instances[i].id == owner->id)
      wc_experiment_schedule (
          experiment, experiment->now_us + wc_experiment_generate_delay_us (experiment, self->domain, domain),
          WC_EXPERIMENT_REPORT, self->domain + 1, i, (uint32_t)report.step_us, (uint64_t)report.backlog_us);
}
