#ifndef WC_EMULATOR_EMULATED_PLATFORM_H
#define WC_EMULATOR_EMULATED_PLATFORM_H

#include <ev.h>
#include <json-c/json.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

/**
 * struct WcEmulatedPlatformConfig - settings of an emulated platform.
 * @register_text: register published at the start as JSON, where comments are allowed; NULL for none.
 * @instances_text: list of instances as the platform serves it, as JSON; NULL for an empty list.
 * @reads_per_s: maximum rate of reads over all readers; a watch counts as one read.
 */
typedef struct
{
  WcAddress   listen;
  const char *register_text;
  const char *instances_text;
  uint32_t    reads_per_s;
} WcEmulatedPlatformConfig;

/** struct WcEmulatedPlatform - emulated configuration service and list of instances, with fault injection. */
typedef struct WcEmulatedPlatform WcEmulatedPlatform;

WcEmulatedPlatform      *
wc_emulated_platform_new (struct ev_loop *loop, const WcEmulatedPlatformConfig *config, WcError *error);
void wc_emulated_platform_delete (WcEmulatedPlatform *platform);
void wc_emulated_platform_get_address (const WcEmulatedPlatform *platform, WcAddress *address);

#endif
