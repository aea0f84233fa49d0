#ifndef WC_EMULATOR_EMULATED_FABRIC_H
#define WC_EMULATOR_EMULATED_FABRIC_H

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * struct WcFabricFaults - faults of each direction; shares are between 0 and 1.
 * @reorder: share of datagrams that are held back for @reorder_ms more.
 * @delay_ms: one-way delay, with a uniform jitter of up to @jitter_ms on top.
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
 * @control: address of the control endpoints; family 0 for none.
 * @idle_timeout_s: life of a caller's socket without datagrams.
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

/** struct WcEmulatedFabric - sends each datagram of a caller to a random instance, and answers back to the caller. */
typedef struct WcEmulatedFabric WcEmulatedFabric;

WcEmulatedFabric *wc_emulated_fabric_new (struct ev_loop *loop, const WcEmulatedFabricConfig *config, WcError *error);
void              wc_emulated_fabric_delete (WcEmulatedFabric *fabric);
void              wc_emulated_fabric_get_address (const WcEmulatedFabric *fabric, WcAddress *address);

/** wc_emulated_fabric_get_control_address() - address of the control endpoints, when there are any. */
void wc_emulated_fabric_get_control_address (const WcEmulatedFabric *fabric, WcAddress *address);

#endif
