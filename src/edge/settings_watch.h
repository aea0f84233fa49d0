#ifndef WC_EDGE_SETTINGS_WATCH_H
#define WC_EDGE_SETTINGS_WATCH_H

#include <stdint.h>

#include "edge/event_log.h"
#include "edge/forward_settings.h"

/** struct WcSettingsWatch - reloads the settings file when it has changed. */
typedef struct WcSettingsWatch WcSettingsWatch;

/** WcSettingsChanged - called with new, valid settings; only those that do not require a restart may be applied. */
typedef void (*WcSettingsChanged) (void *user_data, const WcForwardSettings *settings);

/**
 * wc_settings_watch_new() - watch a settings file.
 * @settings: settings in force, read from @path; must outlive the watch.
 */
WcSettingsWatch *wc_settings_watch_new (const char *path, const WcForwardSettings *settings, WcEventLog *log,
                                        WcSettingsChanged changed, void *user_data);
void             wc_settings_watch_delete (WcSettingsWatch *watch);

/** wc_settings_watch_tick() - poll the file, at most once a second, and reload it when it has changed. */
void wc_settings_watch_tick (WcSettingsWatch *watch, uint64_t now_us);

/**
 * wc_settings_watch_reload() - reload the file and log the result.
 *
 * New seeds take effect immediately. Other changes take effect at the next start, which the log line says. An invalid
 * file changes nothing.
 */
void wc_settings_watch_reload (WcSettingsWatch *watch);

#endif
