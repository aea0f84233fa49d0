#ifndef WC_EMULATOR_EMULATED_TARGETS_H
#define WC_EMULATOR_EMULATED_TARGETS_H

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/register.h>
#include <wigeoncart/status.h>

#include "emulator/emulated_target.h"

/**
 * struct WcEmulatedTargetsConfig - settings of a process of targets.
 * @control: address of the control endpoints; family 0 for none.
 * @event_ms: time between two events of a service's feed.
 * @feed_max_events: events of a feed that can be read.
 * The others are described at struct WcTargetShared.
 */
typedef struct
{
  WcAddress control;
  uint32_t  seed;
  uint32_t  event_ms;
  uint32_t  feed_max_events;
  WcRunTime run_time;
  uint32_t  queue_max;
  uint32_t  max_connections;
  double    cold_factor;
  uint32_t  load_lag_ms;
} WcEmulatedTargetsConfig;

void wc_emulated_targets_config_init (WcEmulatedTargetsConfig *config);

/** struct WcEmulatedTargets - targets of one process, their event feeds, records and control endpoints. */
typedef struct WcEmulatedTargets WcEmulatedTargets;

/** wc_emulated_targets_new() - Return: NULL with @error set when the control address is in use. */
WcEmulatedTargets      *
wc_emulated_targets_new (struct ev_loop *loop, const WcEmulatedTargetsConfig *config, WcError *error);
void wc_emulated_targets_delete (WcEmulatedTargets *targets);

/** wc_emulated_targets_add() - start a target. Return: NULL with @error set when its address is in use. */
WcEmulatedTarget *wc_emulated_targets_add (WcEmulatedTargets *targets, const WcTargetSpec *plan, WcError *error);

/** wc_emulated_targets_add_register() - start the targets of a register; @domain names one domain, or NULL for all. */
WcStatus wc_emulated_targets_add_register (WcEmulatedTargets *targets, const WcRegister *reg, const char *domain,
                                           WcError *error);

size_t    wc_emulated_targets_get_count (const WcEmulatedTargets *targets);
void      wc_emulated_targets_get_control_address (const WcEmulatedTargets *targets, WcAddress *address);
WcRunLog *wc_emulated_targets_get_run_log (WcEmulatedTargets *targets);

#endif
