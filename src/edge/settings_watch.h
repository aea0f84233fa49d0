#ifndef WC_EDGE_SETTINGS_WATCH_H
#define WC_EDGE_SETTINGS_WATCH_H

#include <stdint.h>

#include "edge/event_log.h"
#include "edge/forward_settings.h"

/** struct WcSettingsWatch - reloads the settings file when it has changed. */
typedef struct WcSettingsWatch WcSettingsWatch;

/** WcSettingsChanged - called with new, valid settings. It may apply only those that need no restart. */
typedef void (*WcSettingsChanged) (void *user_data, const WcForwardSettings *settings);

/**
 * wc_settings_watch_new() - watch a settings file.
 * @settings: settings with which the instance was started, read from @path. They and @log must outlive the watch.
 */
WcSettingsWatch *wc_settings_watch_new (const char *path, const WcForwardSettings *settings, WcEventLog *log,
                                        WcSettingsChanged changed, void *user_data);
void             wc_settings_watch_delete (WcSettingsWatch *watch);

/** wc_settings_watch_tick() - poll the file, at most once a second, and reload it when it has changed. */
void wc_settings_watch_tick (WcSettingsWatch *watch, uint64_t now_us);

/**
 * wc_settings_watch_reload() - reload the file and log the result.
 *
 * New seeds take effect immediately. Other changes take effect at the next start; the log line then says so in the
 * field other_changes. An invalid file changes nothing.
 */
void wc_settings_watch_reload (WcSettingsWatch *watch);

#endif
