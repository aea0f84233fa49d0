#ifndef WC_FORWARD_HOST_TABLE_H
#define WC_FORWARD_HOST_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>

#include "forward/host_load.h"
#include "forward/host_witness.h"

enum
{
  WC_HOST_NAME_BYTES = 24
};

/** enum WcHostState - state of a host according to the platform. */
typedef enum
{
  /* Accepts new flows. */
  WC_HOST_READY = 0,
  /* About to leave; keeps its flows. */
  WC_HOST_DRAINING,
  /* No longer published; existing flows may continue for a while. */
  WC_HOST_GONE,
  WC_HOST_STATE_COUNT
} WcHostState;

/** WC_HOST_STATE_STRINGS - name of each state for logs, indexed by WcHostState. */
extern const char *const WC_HOST_STATE_STRINGS[WC_HOST_STATE_COUNT];

/**
 * struct WcHostRecord - published entry of a host.
 * @id: never 0.
 * @name: the identifier as published, for logs.
 * @service, @domain: GLib quarks of the names.
 * @slots: number of requests that the host runs concurrently.
 * @warm_up_left_ms: remaining warm-up time when the host published the entry.
 * @started_ms: wall-clock time of the host's start by its own clock; 0 when not published. Only compared with other
 * values of the same host.
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
} WcHostRecord;

/**
 * struct WcHost - a host with the local state of this instance.
 * @cookie: identifies the host in the packets of its flows; never 0.
 * @ambiguous: another host has the same cookie; this one receives no new flows.
 * @revision: store revision at which the record was written.
 * @flows: number of open flows of this instance.
 * @busy_flows: number of those with an unanswered request.
 * @busy_since_us: since when @busy_flows has been above 0.
 * @load: load reported by other instances, and service time.
 * @warm_up_deadline_us: end of the warm-up.
 * @grace_deadline_us: until then a host that was ready when its entry disappeared may still be used.
 * @gone_us: since when the host is no longer published; 0 while it is.
 * @evict_deadline_us: from then on a host that is gone is removed.
 * @last_seen_us: time of the host's last response to a caller of this instance.
 * @evidence_start_us: only packets sent after this count as evidence: time of the last response to this or another
 * instance, or end of a period in which this instance could not observe the host.
 * @unanswered_flows: number of flows with an unanswered packet since then, openings included.
 * @unanswered: unanswered requests among them, openings excluded.
 * @witnesses: unanswered requests at other instances.
 * @query_deadline_us: when other instances are queried about the host next.
 * @suspect_deadline_us: until then the host is suspected to be unreachable and receives no new flows.
 * @suspect_count: number of successive suspicions without a response in between.
 */
typedef struct
{
  WcHostRecord         record;
  uint32_t             cookie;
  bool                 ambiguous;
  uint64_t             revision;
  uint32_t             flows;
  uint32_t             busy_flows;
  uint64_t             busy_since_us;
  WcHostLoad           load;
  uint64_t             warm_up_deadline_us;
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
} WcHost;

/** struct WcHostTable - hosts indexed by identifier and by cookie; hosts that are gone stay until they are evicted. */
typedef struct WcHostTable WcHostTable;

/**
 * wc_host_table_new() - create a table. @gone_retention_us: how long flows of a host that is gone are still forwarded.
 */
WcHostTable *wc_host_table_new (uint64_t gone_retention_us);
void         wc_host_table_delete (WcHostTable *table);

/** wc_host_table_put() - add or update a host. Return: the host. */
WcHost *wc_host_table_put (WcHostTable *table, const WcHostRecord *record, uint64_t revision, uint64_t now_us);

/** wc_host_table_set_gone() - mark a host as no longer published. Return: the host, or NULL when it is unknown. */
WcHost *wc_host_table_set_gone (WcHostTable *table, uint64_t id, uint64_t now_us);

/** wc_host_table_evict() - remove hosts that are gone when their deadline has expired. Return: number removed. */
size_t wc_host_table_evict (WcHostTable *table, uint64_t now_us);

WcHost *wc_host_table_find (const WcHostTable *table, uint64_t id);
WcHost *wc_host_table_find_cookie (const WcHostTable *table, uint32_t cookie);

/* All hosts in no particular order; valid until the next addition or eviction. */
size_t  wc_host_table_get_count (const WcHostTable *table);
WcHost *wc_host_table_get (const WcHostTable *table, size_t index);

#endif
