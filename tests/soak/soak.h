#ifndef WC_TESTS_SOAK_SOAK_H
#define WC_TESTS_SOAK_SOAK_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <ev.h>
#include <glib.h>

#include <wigeoncart/address.h>

#include "edge/platform_client.h"
#include "emulator/emulated_store.h"
#include "emulator/tcp_relay.h"
#include "forward/packet.h"

/*
 * Soak test of real instances: processes of the binary under test on loopback, with emulated callers, hosts and store
 * in this process. Faults are injected from outside; the guarantees are checked on the packets that callers and hosts
 * receive.
 */

enum
{
  SOAK_DOMAINS = 2,
  SOAK_INSTANCES = 4,
  SOAK_HOSTS = 10,
  SOAK_CALLERS = 8,
  SOAK_USERS = 6,
  SOAK_ROUTES = 6,
  SOAK_SERVICES = 2,

  /* Time limits from the platform's documentation. The guarantees hold again SOAK_STABLE_US after a fault, a change of
   * the configuration is in force after SOAK_APPLY_US, and a draining host gets no new flows after SOAK_DRAIN_US. */
  SOAK_STABLE_US = 4000 * 1000,
  SOAK_APPLY_US = 3000 * 1000,
  /* An evacuation is in force on all instances. */
  SOAK_EVACUATE_US = 5000 * 1000,
  /* An instance that has shown the effect of a configuration does not go back to an older one after this time. */
  SOAK_ROLLBACK_US = 250 * 1000,
  /* A host whose entry was removed may still be used while it could register again. */
  SOAK_DEPARTED_US = 5500 * 1000,
  SOAK_DRAIN_US = 3000 * 1000,
  SOAK_RESET_WINDOW = 76800,
  SOAK_STOP_MS = 6000
};

/* Subnets of the addresses of a run, see soak_address(). */
enum
{
  SOAK_SUBNET_STORE = 0,
  SOAK_SUBNET_INSTANCES,
  SOAK_SUBNET_HOSTS,
  SOAK_SUBNET_CALLERS
};

/* Ports of an instance, relative to the port for packets. */
enum
{
  SOAK_READY_PORT = 1,
  SOAK_PEERS_PORT = 2,
  SOAK_OPERATORS_PORT = 3
};

/**
 * struct SoakInstance - a process under test.
 * @in_rotation: the fabric sends it packets, because readiness probes succeed.
 * @faults_end_us: end of the last fault on this instance; it counts as stable SOAK_STABLE_US later.
 * @restart_deadline_us: when the process is started again; 0 while it runs.
 * @stop_deadline_us: time limit of a planned stop; 0 for none.
 * @blocked_domain, @blocked_deadline_us: domain whose hosts the instance cannot reach, and until when; -1 for none.
 * @relay_deadline_us: end of the fault on the instance's store connections; 0 for none.
 * @status: reads the status of the process.
 * @shown_version, @shown_us: lowest version that the process can have after what it has stated and hosts have seen of
 * it since its start, and since when.
 * @shows_evacuation: the process has had to observe the current evacuation of a domain, and does so under any fault.
 */
typedef struct
{
  struct Soak      *soak;
  int               number;
  pid_t             pid;
  WcAddress         packets;
  char             *settings_path;
  WcTcpRelay       *store_relay;
  WcPlatformClient *probe;
  WcPlatformClient *status;
  bool              in_rotation;
  int               missed_probes;
  bool              is_paused;
  uint64_t          resume_deadline_us;
  uint64_t          faults_end_us;
  uint64_t          restart_deadline_us;
  uint64_t          stop_deadline_us;
  int               blocked_domain;
  uint64_t          blocked_deadline_us;
  uint64_t          relay_deadline_us;
  uint64_t          shown_version;
  uint64_t          shown_us;
  bool              shows_evacuation[SOAK_DOMAINS];
} SoakInstance;

/** enum SoakHostState - state of an emulated host; SOAK_HOST_UNRESPONSIVE drops all packets. */
typedef enum
{
  SOAK_HOST_READY = 0,
  SOAK_HOST_DRAINING,
  SOAK_HOST_UNRESPONSIVE
} SoakHostState;

/**
 * struct SoakHost - an emulated host.
 * @started_ms, @sequence: published start, and number of entries published since then.
 * @drain_start_us: when the draining state was published.
 * @faults_end_us: when the host was last replaced; it counts as stable SOAK_STABLE_US later.
 * @state_deadline_us: when a draining or unresponsive host is replaced by another host at the same address.
 * @entry_expiry_us: when the store entry of an unresponsive host expires; 0 for none.
 */
typedef struct
{
  struct Soak  *soak;
  int           number;
  uint64_t      id;
  uint64_t      started_ms;
  uint64_t      sequence;
  int           service;
  int           domain;
  SoakHostState state;
  uint64_t      drain_start_us;
  uint64_t      faults_end_us;
  uint64_t      state_deadline_us;
  uint64_t      entry_expiry_us;
  WcAddress     address;
  int           fd;
  ev_io         readable;
  GHashTable   *flows;
} SoakHost;

/**
 * struct SoakRoute - a route of the configuration.
 * @changed_us, @changed_version: when it was last added or removed, and in which version.
 * @changes: see route_versions.h.
 */
typedef struct
{
  uint16_t port;
  int      service;
  bool     is_once;
  bool     exists;
  uint64_t changed_us;
  uint64_t changed_version;
  GArray  *changes;
} SoakRoute;

/** struct SoakEvacuation - evacuation of a domain; @since_us, @deadline_us: when it was published, and when it ends. */
typedef struct
{
  bool     is_active;
  uint64_t since_us;
  uint64_t deadline_us;
} SoakEvacuation;

/** enum SoakRestoreState - progress of a restore of the store from a copy. */
typedef enum
{
  SOAK_RESTORE_NONE = 0,
  /* The copy was saved; what is written from now on will be lost. */
  SOAK_RESTORE_SAVED,
  SOAK_RESTORE_AWAY,
  SOAK_RESTORE_RETURNED,
  /* The writers have written again what was lost. */
  SOAK_RESTORE_WRITTEN
} SoakRestoreState;

/** struct SoakRestore - a restore in progress; @deadline_us: end of the current state. */
typedef struct
{
  SoakRestoreState state;
  uint64_t         copy_us;
  uint64_t         returned_us;
  uint64_t         deadline_us;
} SoakRestore;

/** struct SoakCounts - events that callers and hosts observed; recovery requests start after the end of all faults. */
typedef struct
{
  uint64_t requests;
  uint64_t done;
  uint64_t failed;
  uint64_t recovery_requests;
  uint64_t recovery_done;
  uint64_t system_resets;
  /* Resets of open flows by hosts that do not hold them, whether counted as violations or not. */
  uint64_t foreign_resets;
  /* Checks made while the instance and the system were stable. */
  uint64_t checked_openings;
  uint64_t checked_drains;
  uint64_t checked_resets;
  uint64_t checked_rollbacks;
  uint64_t checked_evacuations;
  uint64_t evacuations;
  uint64_t restores;
  uint64_t wrong_host;
  uint64_t faults;
  uint64_t stalls;
  uint64_t starts;
} SoakCounts;

/**
 * struct Soak - a run of the soak test.
 * @random: random numbers of callers and hosts.
 * @fault_random: random numbers of the faults, so that a seed gives the same faults whatever the packets do.
 * @net: second byte of the loopback addresses of this run.
 * @recovery_start_us: when the faults were ended, to check the recovery; 0 before.
 * @global_faults_end_us: end of the last fault that affects all instances.
 * @without_host_us: when each service last had no host that may receive new flows; 0 for never.
 * @departed: when each host that left was removed, by identifier.
 * @runs: how often each request was run by a host, by request ID.
 */
typedef struct Soak
{
  struct ev_loop  *loop;
  GRand           *random;
  GRand           *fault_random;
  uint32_t         seed;
  char            *directory;
  const char      *binary;
  uint8_t          net;
  uint16_t         port;
  uint64_t         now_us;
  uint64_t         start_us;
  uint64_t         recovery_start_us;
  uint64_t         end_us;
  uint64_t         global_faults_end_us;
  uint64_t         store_deadline_us;
  bool             entries_expired;
  double           loss;
  uint64_t         loss_deadline_us;
  uint64_t         config_version;
  uint64_t         next_id;
  WcEmulatedStore *store;
  SoakInstance     instances[SOAK_INSTANCES];
  SoakHost         hosts[SOAK_HOSTS];
  SoakRoute        routes[SOAK_ROUTES];
  GPtrArray       *callers;
  SoakEvacuation   evacuations[SOAK_DOMAINS];
  uint64_t         without_host_us[SOAK_SERVICES];
  SoakRestore      restore;
  GHashTable      *departed;
  GHashTable      *runs;
  SoakCounts       counts;
  uint32_t         violations;
} Soak;

/** soak_report_violation() - count a violated guarantee; the first ones are printed with the seed and the time. */
void soak_report_violation (Soak *soak, const char *guarantee, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
void soak_trace (Soak *soak, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/** soak_address() - loopback address of endpoint @number in the subnet @subnet (SOAK_SUBNET_...) of this run. */
WcAddress soak_address (const Soak *soak, int subnet, int number, uint16_t port);
double    soak_random_range (Soak *soak, double low, double high);
bool      soak_is_stable (const Soak *soak);
/** soak_mark_unstable() - a fault that affects all instances lasts until @until_us. */
void soak_mark_unstable (Soak *soak, uint64_t until_us);

/* Processes. */
bool          soak_instances_start (Soak *soak);
void          soak_instance_start (SoakInstance *instance);
void          soak_instances_tick (Soak *soak);
void          soak_instances_probe (Soak *soak);
void          soak_instance_write_settings (SoakInstance *instance);
bool          soak_instance_is_stable (const SoakInstance *instance);
SoakInstance *soak_instance_find (Soak *soak, const WcAddress *address);
/** soak_instance_pick() - the instance to which the fabric sends a flow; NULL for none. */
SoakInstance *soak_instance_pick (Soak *soak, const WcFlowKey *key);
void          soak_instances_stop (Soak *soak);

/* Hosts and configuration. */
bool soak_hosts_start (Soak *soak);
/** soak_host_has_open_flow() - whether @host is still the one with identifier @id, and the flow is open there. */
bool soak_host_has_open_flow (const SoakHost *host, uint64_t id, const WcFlowKey *key);
void soak_host_publish (SoakHost *host);
/** soak_host_publish_again() - write the entry again that was published last. */
void soak_host_publish_again (SoakHost *host);
/** soak_host_unpublish() - remove the entry of a host. */
void soak_host_unpublish (Soak *soak, uint64_t id);
void soak_host_replace (SoakHost *host, int service);
void soak_hosts_tick (Soak *soak);
void soak_hosts_stop (Soak *soak);
void soak_config_publish (Soak *soak);
/** soak_config_publish_again() - write the configuration again that was published last. */
void soak_config_publish_again (Soak *soak);

/* Callers. */
bool soak_callers_start (Soak *soak);
void soak_callers_tick (Soak *soak);
void soak_callers_stop (Soak *soak);

/* Evacuations of domains. */
void soak_evacuation_begin (Soak *soak);
void soak_evacuation_tick (Soak *soak);
/** soak_evacuation_recover() - end all evacuations but one, which lasts until the end of the run. */
void soak_evacuation_recover (Soak *soak);
/** soak_evacuation_publish_again() - write the keys again after the store was restored, or remove them. */
void soak_evacuation_publish_again (Soak *soak);
/** soak_evacuation_check_opening() - check that @instance may send a new flow to @host. */
void soak_evacuation_check_opening (const SoakHost *host, const SoakInstance *instance);
/** soak_evacuation_may_reject() - whether a service had no host that may receive new flows shortly before. */
bool soak_evacuation_may_reject (const Soak *soak, int service);

/* Restore of the store from a copy. */
void soak_restore_begin (Soak *soak);
void soak_restore_tick (Soak *soak);

/* Faults. */
void soak_faults_tick (Soak *soak);
void soak_faults_end (Soak *soak);

#endif
