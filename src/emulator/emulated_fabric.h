#ifndef WC_EMULATOR_EMULATED_FABRIC_H
#define WC_EMULATOR_EMULATED_FABRIC_H

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * struct WcFabricFaults - faults injected in each direction; shares are between 0 and 1.
 * @loss: share of datagrams dropped.
 * @duplicate: share of datagrams sent twice.
 * @reorder: share of datagrams that are delayed by @reorder_ms in addition.
 * @delay_ms: one-way delay; a uniform random jitter of up to @jitter_ms is added.
 */
typedef struct
{
  double loss;
  double duplicate;
  double reorder;
  double reorder_ms;
  double delay_ms;
  double jitter_ms;
} WcFabricFaults;

/**
 * struct WcEmulatedFabricConfig - settings of an emulated fabric.
 * @control: address of the HTTP control endpoints; family 0 for none.
 * @instances: addresses among which datagrams of callers are distributed.
 * @idle_timeout_s: time without datagrams after which a caller's socket is closed, in s.
 */
typedef struct
{
  WcAddress        listen;
  WcAddress        control;
  const WcAddress *instances;
  size_t           instance_count;
  WcFabricFaults   faults;
  uint32_t         seed;
  double           idle_timeout_s;
} WcEmulatedFabricConfig;

/**
 * struct WcEmulatedFabric - emulated network between callers and instances. Each datagram of a caller goes to a random
 * instance; datagrams that come back go to the caller.
 */
typedef struct WcEmulatedFabric WcEmulatedFabric;

WcEmulatedFabric *wc_emulated_fabric_new (struct ev_loop *loop, const WcEmulatedFabricConfig *config, WcError *error);
void              wc_emulated_fabric_delete (WcEmulatedFabric *fabric);
void              wc_emulated_fabric_get_address (const WcEmulatedFabric *fabric, WcAddress *address);

/** wc_emulated_fabric_get_control_address() - address of the control endpoints; @fabric must have been given one. */
void wc_emulated_fabric_get_control_address (const WcEmulatedFabric *fabric, WcAddress *address);

#endif
