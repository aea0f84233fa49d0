#ifndef WC_EMULATOR_SLOPES_H
#define WC_EMULATOR_SLOPES_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * struct WcSlopesPlan - size of a fleet of control states that run in virtual time, and lengths of the phases.
 * @instances: number in each failure domain.
 * @hosts: number in the register.
 * @changes_per_day, @starts_per_day: rates of register edits and of restarts in the whole fleet.
 * @steady_s: virtual length of each phase at a steady rate.
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
  /* The partition has ended. */
  WC_SLOPES_RETURN,
  WC_SLOPES_PHASE_COUNT
} WcSlopesPhase;

extern const char *const WC_SLOPES_PHASE_STRINGS[WC_SLOPES_PHASE_COUNT];

/**
 * struct WcSlopesStats - measurements of one phase. Bytes include 52 bytes of TCP and IP headers for each peer frame,
 * and 300 bytes for each read from the platform.
 * @seconds: virtual length of the phase.
 * @sent, @received: peer traffic in bytes per second and node; @platform_bytes: the same for reads from the platform.
 * @most_sent: bytes per second of the node that sent most to its peers.
 * @most_received: bytes per second of the node that received most from its peers and the platform.
 * @reads_per_s: reads from the platform by the whole fleet; @most_reads_in_s: maximum within one second.
 * @cpu_percent: CPU time of the control core per node, in percent of a core; excludes MACs and system calls.
 * @in_force_ms: maximum time until an edit was in force on every instance; 0 without an edit.
 * @late: number of edits that were not in force on every instance within 5 s.
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
 * @heap_bytes: heap memory per node in the idle phase.
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

/** wc_slopes_print() - print one line of text per phase, or a single line of JSON. */
void wc_slopes_print (const WcSlopesPlan *plan, const WcSlopesResult *result, bool json, FILE *stream);

#endif
