#ifndef WC_EDGE_CLOCK_H
#define WC_EDGE_CLOCK_H

#include <stdint.h>
#include <time.h>

/**
 * wc_clock_monotonic_us() - monotonic time in microseconds. All deadlines, in the control thread and in the workers,
 * use this clock.
 *
 * CLOCK_BOOTTIME keeps counting while the machine is suspended. A suspension therefore does not extend the lifetime of
 * tickets, and is detected as a pause of the process.
 */
static inline uint64_t
wc_clock_monotonic_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

/** wc_clock_wall_us() - wall-clock time in microseconds, for log lines only. */
static inline uint64_t
wc_clock_wall_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

#endif
