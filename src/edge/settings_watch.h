#ifndef WC_EDGE_SETTINGS_WATCH_H
#define WC_EDGE_SETTINGS_WATCH_H

#include <stdint.h>

#include "edge/event_log.h"
#include "edge/forward_settings.h"

/** struct WcSettingsWatch - reads the settings file again when it has changed. */
typedef struct WcSettingsWatch WcSettingsWatch;

/** WcSettingsChanged - new settings are valid; only those that can change without a new start may be used. */
typedef void (*WcSettingsChanged) (void *user_data, const WcForwardSettings *settings);

/** wc_settings_watch_new() - @settings: those in force, read from @path. */
WcSettingsWatch *wc_settings_watch_new (const char *path, const WcForwardSettings *settings, WcEventLog *log,
                                        WcSettingsChanged changed, void *user_data);
void             wc_settings_watch_delete (WcSettingsWatch *watch);

/** wc_settings_watch_tick() - look at the file once a second; a change need not be announced. */
void wc_settings_watch_tick (WcSettingsWatch *watch, uint64_t now_us);

/**
 * wc_settings_watch_reload() - read the file now, and log what takes effect.
 *
 * The seeds take effect. Another change is kept for the next start, and said so. A file that is not valid changes
 * nothing.
 */
void wc_settings_watch_reload (WcSettingsWatch *watch);

#endif
