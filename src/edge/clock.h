#ifndef WC_EDGE_CLOCK_H
#define WC_EDGE_CLOCK_H

#include <stdint.h>
#include <time.h>

/**
 * wc_clock_monotonic_us() - the clock of all deadlines, of the control thread and the workers alike.
 *
 * CLOCK_BOOTTIME also counts while the machine is suspended, so that a ticket cannot outlive its life that way and a
 * suspension is noticed as a pause.
 */
static inline uint64_t
wc_clock_monotonic_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

/** wc_clock_wall_us() - wall-clock time, to show only. */
static inline uint64_t
wc_clock_wall_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

#endif
