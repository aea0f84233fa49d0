#ifndef WC_EMULATOR_BARE_RELAY_H
#define WC_EMULATOR_BARE_RELAY_H

#include <stdatomic.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * struct WcBareRelay - UDP relay that forwards datagrams unchanged, with the same batched socket calls as a worker.
 *
 * It is the baseline in measurements of an instance's packet path: it neither parses nor copies datagrams.
 */
typedef struct WcBareRelay WcBareRelay;

/**
 * wc_bare_relay_new() - open and bind the sockets.
 * @listen: address that receives datagrams; port 0 for any.
 * @destination: address to which datagrams are sent, from a separate socket as in a worker.
 *
 * Return: NULL with @error set when an address cannot be bound.
 */
WcBareRelay *wc_bare_relay_new (const WcAddress *listen, const WcAddress *destination, WcError *error);
void         wc_bare_relay_delete (WcBareRelay *relay);
void         wc_bare_relay_get_address (const WcBareRelay *relay, WcAddress *address);

/** wc_bare_relay_run() - relay for @limit_ms, or until @stopping is set, which is checked at least every 100 ms. */
void wc_bare_relay_run (WcBareRelay *relay, const atomic_bool *stopping, uint64_t limit_ms);

/** wc_bare_relay_get_count() - datagrams received so far, including those that could not be sent. */
uint64_t wc_bare_relay_get_count (const WcBareRelay *relay);

#endif
