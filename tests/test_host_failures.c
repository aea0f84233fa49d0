#include "test_main.h"

#include <string.h>

#include "forward/host_failures.h"

/*
 * One instance of a domain of 27 with 12 hosts. Each 400 ms, this instance sends each host a request, and four peers
 * report 3 each, or one of a trial or an open flow while the host is ejected.
 */

enum
{
  HOSTS = 12,
  PEERS = 26,
  REPORTERS = 4,
  TICK_US = 100 * 1000
};

typedef struct
{
  WcHostFailures       hosts[HOSTS];
  WcHostFailuresMember members[HOSTS];
  uint32_t             fail_percent[HOSTS];
  uint32_t             requests;
  uint32_t             ejected[HOSTS];
  uint32_t             recovered[HOSTS];
  bool                 is_full;
  bool                 reports_stopped;
  uint64_t             now_us;
} Domain;

static void
changed (void *user_data, size_t index, WcHostFailuresChange change, const WcFailureSum *sum)
{
  Domain *domain = user_data;

  (void)sum;
  if (change == WC_HOST_FAILURES_EJECTED)
    domain->ejected[index]++;
  else
    domain->recovered[index]++;
}

static void
init (Domain *domain)
{
  memset (domain, 0, sizeof *domain);
  domain->now_us = 1000 * 1000 * 1000;
  for (size_t i = 0; i < HOSTS; i++)
    domain->members[i] = (WcHostFailuresMember){ &domain->hosts[i], 100 + i };
}

static void
finish (Domain *domain)
{
  for (size_t i = 0; i < HOSTS; i++)
    wc_host_failures_finish (&domain->hosts[i]);
}

/* The failures are spread evenly over the requests. */
static bool
fails (Domain *domain, size_t host)
{
  uint32_t number = domain->requests++;

  return (number + 1) * 37 % 100 < domain->fail_percent[host];
}

static void
send_requests (Domain *domain, size_t host)
{
  bool allows_flow = wc_host_failures_allows_flow (&domain->hosts[host]);
  int  peer_requests = wc_host_failures_is_in_use (&domain->hosts[host]) ? 3 : 1;

  wc_host_failures_record_flow (&domain->hosts[host]);
  if (allows_flow && fails (domain, host))
    wc_host_failures_record_failed (&domain->hosts[host], domain->now_us);
  else if (allows_flow)
    wc_host_failures_record_answered (&domain->hosts[host], domain->now_us);
  for (uint64_t reporter = 1; reporter <= REPORTERS && !domain->reports_stopped; reporter++)
    {
      WcFailureCounts counts = { 0 };

      for (int i = 0; i < peer_requests; i++)
        if (fails (domain, host))
          counts.failed++;
        else
          counts.answered++;
      wc_host_failures_apply_report (&domain->hosts[host], reporter, &counts, domain->now_us);
    }
}

static void
run (Domain *domain, uint64_t seconds)
{
  const WcHostFailuresView view = { .incarnation = 77, .domain_peers = PEERS, .is_full = domain->is_full };

  for (uint64_t tick = 0; tick < seconds * 10; tick++)
    {
      domain->now_us += TICK_US;
      for (size_t i = 0; i < HOSTS; i++)
        if (tick % 4 == i % 4)
          send_requests (domain, i);
      wc_host_failures_evaluate (domain->members, HOSTS, &view, domain->now_us, changed, domain);
    }
}

static uint32_t
count_ejected (const Domain *domain)
{
  uint32_t count = 0;

  for (size_t i = 0; i < HOSTS; i++)
    count += wc_host_failures_is_ejected (&domain->hosts[i]);
  return count;
}

/* Guards against a host that keeps its share because it answers half of its requests, and against its neighbours. */
START_TEST (failing_host_is_ejected)
{
  Domain domain;

  init (&domain);
  run (&domain, 4);
  ck_assert_uint_eq (count_ejected (&domain), 0);
  domain.fail_percent[3] = 50;
  run (&domain, 2);
  ck_assert_uint_eq (count_ejected (&domain), 1);
  ck_assert (!wc_host_failures_allows_flow (&domain.hosts[3]));
  ck_assert_uint_eq (domain.ejected[3], 1);
  finish (&domain);
}
END_TEST

/* Guards against ejections when the cause is a link or the load: most hosts fail, or all are as slow as each other. */
START_TEST (most_failing_changes_nothing)
{
  Domain domain;

  init (&domain);
  run (&domain, 4);
  for (size_t i = 0; i < 8; i++)
    domain.fail_percent[i] = 60;
  run (&domain, 10);
  ck_assert_uint_eq (count_ejected (&domain), 0);
  for (size_t i = 0; i < HOSTS; i++)
    domain.fail_percent[i] = i == 5 ? 45 : 25;
  run (&domain, 20);
  ck_assert_uint_eq (count_ejected (&domain), 0);
  for (size_t i = 0; i < HOSTS; i++)
    ck_assert_uint_eq (domain.ejected[i], 0);
  finish (&domain);
}
END_TEST

/* Guards against a domain without hosts: at most a third is ejected, the worst first. */
START_TEST (at_most_a_third_is_ejected)
{
  Domain domain;

  init (&domain);
  for (size_t i = 0; i < 5; i++)
    domain.fail_percent[i] = i == 2 ? 30 : 90;
  run (&domain, 3);
  ck_assert_uint_eq (count_ejected (&domain), 4);
  ck_assert (!wc_host_failures_is_ejected (&domain.hosts[2]));
  finish (&domain);
}
END_TEST

/* Guards against hosts that stay ejected after they recovered, and against trials that end while they still fail. */
START_TEST (recovered_host_is_used_again)
{
  Domain domain;

  init (&domain);
  domain.fail_percent[3] = 50;
  run (&domain, 20);
  ck_assert_uint_gt (domain.ejected[3], 1);
  ck_assert_uint_eq (domain.recovered[3], 0);
  domain.fail_percent[3] = 0;
  run (&domain, 20);
  ck_assert_uint_eq (domain.recovered[3], 1);
  ck_assert (wc_host_failures_allows_flow (&domain.hosts[3]));
  finish (&domain);
}
END_TEST

/* Guards against a host that stays ejected because nobody reports on it any more. */
START_TEST (host_without_reports_is_used_again)
{
  Domain domain;

  init (&domain);
  domain.fail_percent[3] = 50;
  run (&domain, 3);
  ck_assert_uint_eq (count_ejected (&domain), 1);
  domain.fail_percent[3] = 0;
  domain.reports_stopped = true;
  /* The last reports may cause a second ejection, of 8 s. */
  run (&domain, 14);
  ck_assert_uint_eq (count_ejected (&domain), 0);
  finish (&domain);
}
END_TEST

/* Guards against rejected openings: a host that answers half of its requests is used when the others are full. */
START_TEST (needed_host_is_used)
{
  Domain domain;

  init (&domain);
  domain.fail_percent[3] = 50;
  run (&domain, 3);
  ck_assert (!wc_host_failures_allows_flow (&domain.hosts[3]));
  domain.is_full = true;
  domain.fail_percent[4] = 50;
  run (&domain, 1);
  ck_assert (wc_host_failures_allows_flow (&domain.hosts[3]));
  ck_assert (wc_host_failures_allows_flow (&domain.hosts[4]));
  domain.is_full = false;
  run (&domain, 1);
  ck_assert (!wc_host_failures_allows_flow (&domain.hosts[3]));
  finish (&domain);
}
END_TEST

/* Guards against an estimate of a single instance that ejects a host which nobody else saw fail. */
START_TEST (single_estimate_needs_failures)
{
  const WcFailureCounts estimate = { 20, 20 };
  const WcFailureCounts failed = { 0, 1 };
  Domain                domain;

  init (&domain);
  domain.reports_stopped = true;
  run (&domain, 4);
  wc_host_failures_apply_estimate (&domain.hosts[3], 11, &estimate, 0, domain.now_us);
  run (&domain, 1);
  ck_assert_uint_eq (count_ejected (&domain), 0);
  wc_host_failures_apply_estimate (&domain.hosts[3], 11, &estimate, 0, domain.now_us);
  wc_host_failures_apply_report (&domain.hosts[3], 12, &failed, domain.now_us);
  wc_host_failures_apply_report (&domain.hosts[3], 13, &failed, domain.now_us);
  run (&domain, 1);
  ck_assert_uint_eq (domain.ejected[3], 1);
  ck_assert_uint_eq (count_ejected (&domain), 1);
  finish (&domain);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, failing_host_is_ejected);
  tcase_add_test (tests, most_failing_changes_nothing);
  tcase_add_test (tests, at_most_a_third_is_ejected);
  tcase_add_test (tests, recovered_host_is_used_again);
  tcase_add_test (tests, host_without_reports_is_used_again);
  tcase_add_test (tests, needed_host_is_used);
  tcase_add_test (tests, single_estimate_needs_failures);
}

int
main (void)
{
  return wc_test_run ("host_failures", add_tests);
}
