#ifndef WC_EMULATOR_TCP_RELAY_H
#define WC_EMULATOR_TCP_RELAY_H

#include <ev.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/** enum WcRelayFault - what a relay does to the connections through it. */
typedef enum
{
  WC_RELAY_PASSES = 0,
  /* Bytes wait for a while in both directions. */
  WC_RELAY_DELAYS,
  /* Connections that are open go silent for good; new ones pass. */
  WC_RELAY_SILENCES,
  /* Nothing comes back: answers are swallowed, requests pass. */
  WC_RELAY_CUTS_ANSWERS,
  /* Nothing passes, and new connections hang. */
  WC_RELAY_CUTS,
  /* Open connections are reset, new ones too. */
  WC_RELAY_RESETS,
  WC_RELAY_FAULT_COUNT
} WcRelayFault;

/** WC_RELAY_FAULT_STRINGS - name of each fault, indexed by WcRelayFault. */
extern const char *const WC_RELAY_FAULT_STRINGS[WC_RELAY_FAULT_COUNT];

/** struct WcTcpRelay - passes TCP connections on to another address and harms them on request. */
typedef struct WcTcpRelay WcTcpRelay;

/** wc_tcp_relay_new() - listen on @listen, pass on to @target. Return: NULL with @error set. */
WcTcpRelay *wc_tcp_relay_new (struct ev_loop *loop, const WcAddress *listen, const WcAddress *target, WcError *error);
void        wc_tcp_relay_delete (WcTcpRelay *relay);

/** wc_tcp_relay_get_address() - where it listens, for port 0. */
void wc_tcp_relay_get_address (const WcTcpRelay *relay, WcAddress *address);

void wc_tcp_relay_set_fault (WcTcpRelay *relay, WcRelayFault fault);

#endif
