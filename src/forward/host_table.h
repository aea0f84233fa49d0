#ifndef WC_FORWARD_HOST_TABLE_H
#define WC_FORWARD_HOST_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>

#include "forward/host_failures.h"
#include "forward/host_load.h"
#include "forward/host_witness.h"
#include "forward/second_window.h"

enum
{
  WC_HOST_NAME_BYTES = 24
};

/** enum WcHostState - state of a host according to the platform. */
typedef enum
{
  /* Accepts new flows. */
  WC_HOST_READY = 0,
  /* Accepts no new flows and is about to stop; existing flows continue. */
  WC_HOST_DRAINING,
  /* No longer published; packets of existing flows are still forwarded to it. */
  WC_HOST_GONE,
  WC_HOST_STATE_COUNT
} WcHostState;

/** WC_HOST_STATE_STRINGS - name of each state for logs, indexed by WcHostState. */
extern const char *const WC_HOST_STATE_STRINGS[WC_HOST_STATE_COUNT];

/**
 * struct WcHostRecord - published entry of a host.
 * @id: never 0.
 * @name: the store key without its prefix, possibly truncated; for logs.
 * @service, @domain: GLib quarks of the names.
 * @slots: number of requests that the host runs concurrently.
 * @warm_up_left_ms: remaining warm-up time when the host published the entry.
 * @started_ms: wall-clock time of the host's start by its own clock; 0 when not published. Only compared with other
 * values of the same host.
 * @sequence: the host's count of what it published since its start; 0 when not published.
 */
typedef struct
{
  uint64_t    id;
  char        name[WC_HOST_NAME_BYTES];
  uint32_t    service;
  uint32_t    domain;
  WcAddress   address;
  WcHostState state;
  uint16_t    slots;
  uint32_t    warm_up_left_ms;
  uint64_t    started_ms;
  uint64_t    sequence;
} WcHostRecord;

/**
 * wc_host_record_compare() - order two records of the same host.
 *
 * Return: negative when @a is older than @b, positive when it is newer, 0 when they cannot be ordered.
 */
int wc_host_record_compare (const WcHostRecord *a, const WcHostRecord *b);

/**
 * struct WcHostWarmUp - new flows to a cold host; see warm_up.h.
 * @flows: openings that this instance forwarded to the host while it was cold.
 * @limit: new flows in any sliding second that this instance may send to the host while it holds the lease.
 * @is_limited: at the latest evaluation, the host was cold and its service has a limit.
 * @has_lease: at the latest evaluation, this instance held the host's lease.
 */
typedef struct
{
  WcSecondWindow flows;
  uint32_t       limit;
  bool           is_limited;
  bool           has_lease;
} WcHostWarmUp;

/**
 * struct WcHost - a host with the local state of this instance.
 * @cookie: identifies the host in the packets of its flows, in confirmed form, see cookie.h; never 0.
 * @ambiguous: another host with the same cookie owns it, so this host receives no new flows.
 * @evacuated: the host's domain is evacuated, so it receives no new flows; maintained by the forwarder.
 * @revision: store revision at which the record was written.
 * @flows: number of open flows of this instance.
 * @busy_flows: number of those that are opening or have an unanswered request, without flows that have moved to another
 * instance.
 * @busy_since_us: since when @busy_flows has been above 0.
 * @load: load reported by other instances, and service time.
 * @warm_up_deadline_us: end of the warm-up according to the published entry.
 * @assumed_cold_deadline_us: until then the host counts as cold, whatever its entry says.
 * @warm_up: limit of new flows while the host is cold.
 * @grace_deadline_us: until then a host that was ready when its entry disappeared still receives new flows, with
 * lower preference.
 * @gone_us: time at which the host was unpublished; 0 while it is published.
 * @evict_deadline_us: earliest time at which a host that is gone and has no flows is evicted.
 * @last_seen_us: time of the host's last response to a caller of this instance.
 * @evidence_start_us: packets sent before this time are no evidence. Set to the time of the last response to this or
 * another instance of the domain, and to the end of each period in which this instance could not observe the host.
 * @unanswered_flows: number of flows with an unanswered packet since @evidence_start_us, openings included.
 * @unanswered: unanswered requests since @evidence_start_us, openings excluded.
 * @witnesses: unanswered requests at other instances.
 * @query_deadline_us: when other instances are queried about the host next.
 * @suspect_deadline_us: until then the host is suspected to be unresponsive and receives new flows only when no other
 * host is usable.
 * @suspect_count: number of successive suspicions without a response in between.
 * @failures: requests that the host has not answered, and whether it is ejected for them.
 */
typedef struct
{
  WcHostRecord         record;
  uint32_t             cookie;
  bool                 ambiguous;
  bool                 evacuated;
  uint64_t             revision;
  uint32_t             flows;
  uint32_t             busy_flows;
  uint64_t             busy_since_us;
  WcHostLoad           load;
  uint64_t             warm_up_deadline_us;
  uint64_t             assumed_cold_deadline_us;
  WcHostWarmUp         warm_up;
  uint64_t             grace_deadline_us;
  uint64_t             gone_us;
  uint64_t             evict_deadline_us;
  uint64_t             last_seen_us;
  uint64_t             evidence_start_us;
  uint32_t             unanswered_flows;
  WcUnansweredRequests unanswered;
  WcHostWitnesses      witnesses;
  uint64_t             query_deadline_us;
  uint64_t             suspect_deadline_us;
  uint32_t             suspect_count;
  WcHostFailures       failures;
} WcHost;

/** wc_host_is_cold() - whether the host has not warmed up since its start, or is assumed not to have. */
bool wc_host_is_cold (const WcHost *host, uint64_t now_us);

/** struct WcHostTable - hosts indexed by identifier and by cookie; hosts that are gone stay until they are evicted. */
typedef struct WcHostTable WcHostTable;

/**
 * wc_host_table_new() - create a table. @gone_retention_us: minimum time for which a host that is gone is kept, so that
 * its flows are still forwarded.
 */
WcHostTable *wc_host_table_new (uint64_t gone_retention_us);
void         wc_host_table_delete (WcHostTable *table);

/** wc_host_table_put() - add or update a host. Return: the host. */
WcHost *wc_host_table_put (WcHostTable *table, const WcHostRecord *record, uint64_t revision, uint64_t now_us);

/** wc_host_table_set_gone() - mark a host as no longer published. Return: the host, or NULL when it is unknown. */
WcHost *wc_host_table_set_gone (WcHostTable *table, uint64_t id, uint64_t now_us);

/**
 * wc_host_table_evict() - remove hosts that are gone, have no flows and have reached their @evict_deadline_us.
 *
 * Return: number removed.
 */
size_t wc_host_table_evict (WcHostTable *table, uint64_t now_us);

WcHost *wc_host_table_find (const WcHostTable *table, uint64_t id);

/** wc_host_table_find_cookie() - look up a cookie in confirmed form. Return: the host, or NULL. */
WcHost *wc_host_table_find_cookie (const WcHostTable *table, uint32_t cookie);

/**
 * struct WcHostGroup - the hosts of a service in a domain.
 * @gone: number of hosts in the group that are gone.
 * @hosts: @count hosts in no particular order; valid until the table changes.
 */
typedef struct
{
  uint32_t       service;
  uint32_t       domain;
  size_t         gone;
  size_t         count;
  WcHost *const *hosts;
} WcHostGroup;

/**
 * wc_host_table_next_group() - the next group of a service.
 * @service: 0 for the groups of all services.
 * @cursor: 0 before the first call.
 *
 * Return: false at the end.
 */
bool wc_host_table_next_group (const WcHostTable *table, uint32_t service, size_t *cursor, WcHostGroup *group);

/* Access by index, in no particular order. An eviction frees hosts and changes the indices of others. */
size_t  wc_host_table_get_count (const WcHostTable *table);
WcHost *wc_host_table_get (const WcHostTable *table, size_t index);

#endif
