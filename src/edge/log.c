#include "edge/log.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  LINE_BYTES = 1024,
  RATE_LIMITED_SITES = 64
};

/* Rate limit of one call site, identified by the addresses of its constant strings. */
typedef struct
{
  const char *component;
  const char *format;
  uint64_t    next_line_s;
  uint32_t    dropped;
} RateLimitedSite;

static const struct
{
  const char *name;
  WcLogLevel  level;
} LEVELS[] = {
  { "error", WC_LOG_ERROR }, { "warning", WC_LOG_WARNING }, { "notice", WC_LOG_NOTICE },
  { "info", WC_LOG_INFO },   { "debug", WC_LOG_DEBUG },
};

static atomic_int      log_level = WC_LOG_INFO;
static pthread_mutex_t rate_limit_mutex = PTHREAD_MUTEX_INITIALIZER;
static RateLimitedSite rate_limited_sites[RATE_LIMITED_SITES];

static void write_line (WcLogLevel level, const char *component, uint32_t dropped, const char *format,
                        va_list arguments) __attribute__ ((format (printf, 4, 0)));
static bool rate_limit_admit (const char *component, const char *format, uint32_t *dropped);

void
wc_log_set_level (WcLogLevel level)
{
  atomic_store (&log_level, (int)level);
}

bool
wc_log_parse_level (const char *text, WcLogLevel *level)
{
  for (size_t i = 0; i < sizeof LEVELS / sizeof LEVELS[0]; i++)
    if (strcmp (text, LEVELS[i].name) == 0)
      {
        *level = LEVELS[i].level;
        return true;
      }
  return false;
}

void
wc_log (WcLogLevel level, const char *component, const char *format, ...)
{
  va_list arguments;

  if ((int)level > atomic_load (&log_level))
    return;
  va_start (arguments, format);
  write_line (level, component, 0, format, arguments);
  va_end (arguments);
}

void
wc_log_ratelimited (WcLogLevel level, const char *component, const char *format, ...)
{
  uint32_t dropped = 0;
  va_list  arguments;

  if ((int)level > atomic_load (&log_level) || !rate_limit_admit (component, format, &dropped))
    return;
  va_start (arguments, format);
  write_line (level, component, dropped, format, arguments);
  va_end (arguments);
}

/* local functions */

/* A single write() per line keeps the lines of different threads from interleaving. */
static void
write_line (WcLogLevel level, const char *component, uint32_t dropped, const char *format, va_list arguments)
{
  char   line[LINE_BYTES];
  size_t used;
  int    written;

  written = snprintf (line, sizeof line, "<%d>wigeoncart[%d]: %s: ", (int)level, (int)getpid (), component);
  used = written > 0 ? (size_t)written : 0;
  if (used < sizeof line - 1)
    {
      written = vsnprintf (line + used, sizeof line - used, format, arguments);
      used += written > 0 ? (size_t)written : 0;
    }
  if (used < sizeof line - 1 && dropped > 0)
    {
      written = snprintf (line + used, sizeof line - used, " (%u more lines dropped)", dropped);
      used += written > 0 ? (size_t)written : 0;
    }
  if (used > sizeof line - 2)
    used = sizeof line - 2;
  line[used] = '\n';
  if (write (STDERR_FILENO, line, used + 1) < 0)
    return;
}

static bool
rate_limit_admit (const char *component, const char *format, uint32_t *dropped)
{
  RateLimitedSite *site = NULL;
  struct timespec  now;
  bool             admit = true;

  clock_gettime (CLOCK_MONOTONIC, &now);
  pthread_mutex_lock (&rate_limit_mutex);
  for (size_t i = 0; i < RATE_LIMITED_SITES && !site; i++)
    if (!rate_limited_sites[i].component ||
        (rate_limited_sites[i].component == component && rate_limited_sites[i].format == format))
      site = &rate_limited_sites[i];
  if (site)
    {
      site->component = component;
      site->format = format;
      admit = (uint64_t)now.tv_sec >= site->next_line_s;
      if (admit)
        {
          *dropped = site->dropped;
          site->dropped = 0;
          site->next_line_s = (uint64_t)now.tv_sec + 1;
        }
      else
        site->dropped++;
    }
  pthread_mutex_unlock (&rate_limit_mutex);
  return admit;
}
