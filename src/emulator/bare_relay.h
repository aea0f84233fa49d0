#ifndef WC_EMULATOR_BARE_RELAY_H
#define WC_EMULATOR_BARE_RELAY_H

#include <stdatomic.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * struct WcBareRelay - receives datagrams and sends them on unchanged, with the batched socket calls of a worker.
 *
 * It is the yardstick for the packet path of an instance: it neither parses nor copies.
 */
typedef struct WcBareRelay WcBareRelay;

/**
 * wc_bare_relay_new() - bind the sockets.
 * @listen: where datagrams arrive; port 0 for any.
 * @destination: where they are sent, from a socket of its own, as a worker does.
 *
 * Return: NULL with @error set when an address cannot be bound.
 */
WcBareRelay *wc_bare_relay_new (const WcAddress *listen, const WcAddress *destination, WcError *error);
void         wc_bare_relay_delete (WcBareRelay *relay);
void         wc_bare_relay_get_address (const WcBareRelay *relay, WcAddress *address);

/** wc_bare_relay_run() - relay until @stopping is set, which is noticed within 100 ms, or @limit_ms have passed. */
void wc_bare_relay_run (WcBareRelay *relay, const atomic_bool *stopping, uint64_t limit_ms);

uint64_t wc_bare_relay_get_count (const WcBareRelay *relay);

#endif
