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

/** enum WcHostState - what the platform last said of a host. */
typedef enum
{
  /* Takes new flows. */
  WC_HOST_READY = 0,
  /* Will leave; keeps its flows. */
  WC_HOST_DRAINING,
  /* No longer published; its flows may live on for a while. */
  WC_HOST_GONE,
  WC_HOST_STATE_COUNT
} WcHostState;

/** WC_HOST_STATE_STRINGS - name of each state for logs, indexed by WcHostState. */
extern const char *const WC_HOST_STATE_STRINGS[WC_HOST_STATE_COUNT];

/**
 * struct WcHostRecord - a host as published.
 * @id: never 0.
 * @name: the identifier as published, for logs.
 * @service, @domain: GLib quarks of the names.
 * @slots: requests that the host runs at once.
 * @warm_up_left_ms: how much longer the host was slow after its start when it published this.
 * @started_ms: wall-clock time of the host's start, from the host's own clock; 0 when not published. Compared only with
 *   other values of the same host.
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
 * struct WcHost - a host, and what this instance knows of it beyond the record.
 * @cookie: names the host in the packets of its flows; never 0.
 * @ambiguous: another host has the same cookie; this one gets no new flows.
 * @revision: revision of the store at which the record was written.
 * @flows: open flows of this instance.
 * @busy_flows: those of them with a request that is not answered.
 * @busy_since_us: since when it has had any of these.
 * @load: what other instances report, and how long the host takes.
 * @warm_up_deadline_us: until then the host is slow after its start.
 * @grace_deadline_us: until then a host that was ready when its entry vanished may still be used.
 * @gone_us: since when the host is not published; 0 while it is.
 * @evict_deadline_us: from then on a host that is gone is forgotten.
 * @last_seen_us: when a packet last showed that the host is alive.
 * @evidence_start_us: only what callers sent after this is evidence: the last sign of life here or at another instance,
 * or the end of a time in which this instance could not tell.
 * @unanswered_flows: flows that sent again in vain since then.
 * @unanswered: those of them that were open and sent data.
 * @witnesses: the silence of the host at other instances.
 * @query_deadline_us: from then on other instances are told of the silence again.
 * @suspect_deadline_us: until then the host is suspected to be unreachable and gets no new flows.
 * @suspect_count: how often it was suspected again without a sign of life in between.
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

/** struct WcHostTable - hosts by identifier and by cookie, those that are gone included until they are forgotten. */
typedef struct WcHostTable WcHostTable;

/** wc_host_table_new() - @gone_retention_us: how long flows of a host that is gone are still forwarded. */
WcHostTable *wc_host_table_new (uint64_t gone_retention_us);
void         wc_host_table_delete (WcHostTable *table);

/** wc_host_table_put() - add or update a host. Return: the host. */
WcHost *wc_host_table_put (WcHostTable *table, const WcHostRecord *record, uint64_t revision, uint64_t now_us);

/** wc_host_table_set_gone() - the host is no longer published. Return: the host, or NULL when it is not known. */
WcHost *wc_host_table_set_gone (WcHostTable *table, uint64_t id, uint64_t now_us);

/** wc_host_table_evict() - remove hosts that have been gone for long. Return: how many. */
size_t wc_host_table_evict (WcHostTable *table, uint64_t now_us);

WcHost *wc_host_table_find (const WcHostTable *table, uint64_t id);
WcHost *wc_host_table_find_cookie (const WcHostTable *table, uint32_t cookie);

/* All hosts in no particular order; valid until the next put or forget. */
size_t  wc_host_table_get_count (const WcHostTable *table);
WcHost *wc_host_table_get (const WcHostTable *table, size_t index);

#endif
