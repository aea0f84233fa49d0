#ifndef WC_EMULATOR_TCP_RELAY_H
#define WC_EMULATOR_TCP_RELAY_H

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/** enum WcRelayFault - fault that a relay injects into its connections. */
typedef enum
{
  WC_RELAY_PASSES = 0,
  /* Data is delayed in both directions. */
  WC_RELAY_DELAYS,
  /* All data of connections that are open now is dropped until they close; new connections work. */
  WC_RELAY_SILENCES,
  /* Data from the target is dropped; data to the target is forwarded. */
  WC_RELAY_CUTS_ANSWERS,
  /* Data of open and new connections is dropped in both directions, so that they hang. */
  WC_RELAY_CUTS,
  /* Open and new connections are reset. */
  WC_RELAY_RESETS,
  WC_RELAY_FAULT_COUNT
} WcRelayFault;

/** WC_RELAY_FAULT_STRINGS - name of each fault, indexed by WcRelayFault. */
extern const char *const WC_RELAY_FAULT_STRINGS[WC_RELAY_FAULT_COUNT];

/** struct WcTcpRelay - forwards TCP connections to another address, with fault injection. */
typedef struct WcTcpRelay WcTcpRelay;

/** wc_tcp_relay_new() - listen on @listen, forward to @target. Return: NULL with @error set when it cannot listen. */
WcTcpRelay *wc_tcp_relay_new (struct ev_loop *loop, const WcAddress *listen, const WcAddress *target, WcError *error);
void        wc_tcp_relay_delete (WcTcpRelay *relay);

/** wc_tcp_relay_get_address() - address on which the relay listens; tells the port if @listen had port 0. */
void wc_tcp_relay_get_address (const WcTcpRelay *relay, WcAddress *address);

void wc_tcp_relay_set_fault (WcTcpRelay *relay, WcRelayFault fault);

#endif
