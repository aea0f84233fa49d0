#ifndef WC_EMULATOR_EMULATED_TARGETS_H
#define WC_EMULATOR_EMULATED_TARGETS_H

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/register.h>
#include <wigeoncart/status.h>

#include "emulator/emulated_target.h"

/**
 * struct WcEmulatedTargetsConfig - settings of the emulated targets of a process.
 * @control: address of the HTTP control endpoints; family 0 for none.
 * @seed: seed of all random numbers.
 * @event_ms: interval between two events of a service's feed; 0 for no events.
 * @feed_max_events: number of newest events of a feed that can be read.
 * The other fields are described at struct WcTargetShared.
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

/** struct WcEmulatedTargets - emulated targets of a process, with their event feeds, run log and control endpoints. */
typedef struct WcEmulatedTargets WcEmulatedTargets;

/** wc_emulated_targets_new() - Return: NULL with @error set when the control address is in use. */
WcEmulatedTargets      *
wc_emulated_targets_new (struct ev_loop *loop, const WcEmulatedTargetsConfig *config, WcError *error);
void wc_emulated_targets_delete (WcEmulatedTargets *targets);

/** wc_emulated_targets_add() - start a target. Return: NULL with @error set when its address is in use. */
WcEmulatedTarget *wc_emulated_targets_add (WcEmulatedTargets *targets, const WcTargetSpec *spec, WcError *error);

/**
 * wc_emulated_targets_add_register() - start the targets of a register.
 * @domain: only the targets of this failure domain, or NULL for all.
 *
 * Return: WC_STATUS_INVALID with @error set when the address of a target is in use.
 */
WcStatus wc_emulated_targets_add_register (WcEmulatedTargets *targets, const WcRegister *reg, const char *domain,
                                           WcError *error);

size_t    wc_emulated_targets_get_count (const WcEmulatedTargets *targets);
void      wc_emulated_targets_get_control_address (const WcEmulatedTargets *targets, WcAddress *address);
WcRunLog *wc_emulated_targets_get_run_log (WcEmulatedTargets *targets);

#endif
