#ifndef WC_EMULATOR_SLOPES_H
#define WC_EMULATOR_SLOPES_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * struct WcSlopesPlan - parameters of a measurement of how the cost of the control plane (traffic, reads from the
 * platform, CPU time, memory) grows with the size of the fleet and the rate of changes. The control planes of all
 * instances run in one process, in virtual time.
 * @instances: number of instances in each failure domain.
 * @hosts: number of hosts in the register.
 * @changes_per_day, @starts_per_day: rates of register edits and of restarts in the whole fleet.
 * @steady_s: virtual length of the idle phase, and minimum length of the changes and starts phases, which last a whole
 * number of intervals.
 * @burst: number of edits in the burst phase, which are published at intervals of 1 s.
 * @outage_s: time for which the second half of the domains is partitioned from the others and from the platform; 0 for
 * no partition.
 */
typedef struct
{
  uint32_t domains;
  uint32_t instances;
  uint32_t hosts;
  uint32_t changes_per_day;
  uint32_t starts_per_day;
  uint32_t steady_s;
  uint32_t burst;
  uint32_t outage_s;
  uint32_t seed;
} WcSlopesPlan;

/** enum WcSlopesPhase - phase of a measurement. */
typedef enum
{
  /* All instances start at once. */
  WC_SLOPES_JOIN = 0,
  WC_SLOPES_IDLE,
  /* Edits at the planned rate. */
  WC_SLOPES_CHANGES,
  /* One edit a second. */
  WC_SLOPES_BURST,
  /* Restarts at the planned rate. */
  WC_SLOPES_STARTS,
  /* From the end of the partition: the separated instances receive the edits that they missed. */
  WC_SLOPES_RETURN,
  WC_SLOPES_PHASE_COUNT
} WcSlopesPhase;

extern const char *const WC_SLOPES_PHASE_STRINGS[WC_SLOPES_PHASE_COUNT];

/**
 * struct WcSlopesStats - measurements of one phase. Bytes include 56 bytes for each peer frame (length field, TCP and
 * IP headers) and 300 bytes for each read from the platform.
 * @seconds: virtual length of the phase.
 * @sent, @received: peer traffic in bytes per second and instance; @platform_bytes: the same for reads from the
 * platform.
 * @most_sent: bytes per second of the instance that sent most to its peers.
 * @most_received: bytes per second of the instance that received most from its peers and the platform.
 * @reads_per_s: reads from the platform by the whole fleet; @most_reads_in_s: maximum within one second.
 * @cpu_percent: CPU time of the control plane per instance, in percent of one CPU core; excludes MACs and system calls.
 * @in_force_ms: maximum time from an edit (in the return phase: from the end of the partition) until it was in force on
 * every instance, or found to be late. An edit that is not in force when the next one is published is not counted; 0 if
 * none was counted.
 * @late: number of edits that were not in force on every instance within 5 s; an edit that was followed by another one
 * before is not counted.
 */
typedef struct
{
  double   seconds;
  double   sent;
  double   received;
  double   most_sent;
  double   most_received;
  double   platform_bytes;
  double   reads_per_s;
  uint32_t most_reads_in_s;
  double   cpu_percent;
  uint32_t in_force_ms;
  uint32_t late;
} WcSlopesStats;

/**
 * struct WcSlopesResult - result of all phases.
 * @phases: a phase that was not run has a length of 0 s.
 * @heap_bytes: increase of the heap from before the first start to the end of the idle phase, per instance; includes
 * frames in transit.
 * @register_bytes: size of all parts of the published register; @head_bytes: size of its head.
 * @parts: number of parts.
 * @joined: every instance has joined and serves with the published revision at the end of the join phase.
 */
typedef struct
{
  WcSlopesStats phases[WC_SLOPES_PHASE_COUNT];
  uint64_t      heap_bytes;
  uint32_t      register_bytes;
  uint32_t      head_bytes;
  uint32_t      parts;
  bool          joined;
} WcSlopesResult;

/** wc_slopes_run() - run all phases; deterministic for a given seed, except heap and CPU time. Not thread-safe. */
void wc_slopes_run (const WcSlopesPlan *plan, WcSlopesResult *result);

/** wc_slopes_print() - print the plan, the sizes and one line for each phase that was run, or all as one line of JSON.
 */
void wc_slopes_print (const WcSlopesPlan *plan, const WcSlopesResult *result, bool json, FILE *stream);

#endif
