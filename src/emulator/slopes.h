#ifndef WC_EMULATOR_SLOPES_H
#define WC_EMULATOR_SLOPES_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * struct WcSlopesPlan - size of a fleet whose control states run in virtual time, and lengths of the phases.
 * @instances: per domain.
 * @changes_per_day, @starts_per_day: over the whole fleet.
 * @steady_s: virtual length of each phase at a steady rate.
 * @burst: edits published one second apart.
 * @outage_s: time for which the second half of the domains is cut off from the others and from the platform; 0 for
 * none.
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

/** enum WcSlopesPhase - what a fleet is measured under. */
typedef enum
{
  /* All instances start at once. */
  WC_SLOPES_JOIN = 0,
  WC_SLOPES_IDLE,
  WC_SLOPES_CHANGES,
  WC_SLOPES_BURST,
  WC_SLOPES_STARTS,
  WC_SLOPES_RETURN,
  WC_SLOPES_PHASE_COUNT
} WcSlopesPhase;

extern const char *const WC_SLOPES_PHASE_STRINGS[WC_SLOPES_PHASE_COUNT];

/**
 * struct WcSlopesStats - rates in one phase. Bytes include 52 bytes of TCP and IP header for each peer frame, and 300
 * bytes for each read of the platform.
 * @seconds: virtual length.
 * @sent, @received: peer bytes per second and node; @platform_bytes: the same, read from the platform.
 * @most_received: of the node that received most, from peers and the platform.
 * @reads_per_s: of the platform, by the whole fleet; @most_reads_in_s: highest count within one second.
 * @cpu_percent: processor time of the control core a node, in percent of a core; excludes MAC and system calls.
 * @in_force_ms: longest time until an edit was in force on every instance; 0 without an edit.
 * @late: edits that were not in force on every instance within 5 s.
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
 * struct WcSlopesResult - @phases not run have 0 seconds.
 * @heap_bytes: of one node in the idle phase.
 * @head_bytes, @part_bytes: published head, and the part that an edit changes.
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

/** wc_slopes_run() - run all phases; deterministic for a seed, but for heap and processor time. Not thread-safe. */
void wc_slopes_run (const WcSlopesPlan *plan, WcSlopesResult *result);

/** wc_slopes_print() - one line a phase as text, or one line of JSON. */
void wc_slopes_print (const WcSlopesPlan *plan, const WcSlopesResult *result, bool json, FILE *stream);

#endif
