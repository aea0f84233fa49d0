#ifndef WC_TESTS_FUZZ_FLEET_H
#define WC_TESTS_FUZZ_FLEET_H

#include <glib.h>

#include <wigeoncart/client.h>
#include <wigeoncart/config_store.h>
#include <wigeoncart/name_id.h>
#include <wigeoncart/node.h>

#include "core/control.h"
#include "fuzz/oracle.h"

enum
{
  FLEET_DOMAINS = 3,
  FLEET_INSTANCES = 7,
  FLEET_SERVICES = 3,
  FLEET_HOSTS_PER_DOMAIN = 5,
  FLEET_HOSTS = FLEET_DOMAINS * FLEET_HOSTS_PER_DOMAIN,
  FLEET_CALLERS = 3,
  FLEET_PARTS = 4,
  FLEET_PLATFORM = FLEET_DOMAINS,
  FLEET_STEP_US = 10 * 1000,
  FLEET_LOG_LINES_MAX = 60,
  FLEET_CREDENTIALS_MAX = 8
};

/* Services: sessions with an event feed, orders, and long answers. */
enum
{
  FLEET_CATALOGUE = 0,
  FLEET_ORDERS,
  FLEET_PATTERNS
};

typedef struct Fleet Fleet;

/**
 * struct FleetInstance - a simulated process; the slot is unused while @running is false.
 * @started_us: start of the process, or of its planned stop.
 * @offset_us: offset of the process's monotonic clock from the virtual time of the fleet.
 * @link_wanted: the control state asked for a link to this peer.
 * @link_lost: the link to this peer closed while the process was paused; reported to it when it resumes.
 */
typedef struct
{
  Fleet      *fleet;
  uint32_t    index;
  uint32_t    domain;
  uint64_t    id;
  uint64_t    incarnation;
  char        name[16];
  WcAddress   address;
  WcNode     *node;
  WcControl  *control;
  WcCounters *counters;
  WcLifecycle lifecycle;
  bool        running;
  bool        paused;
  bool        draining;
  bool        stopped;
  uint64_t    started_us;
  uint64_t    offset_us;
  bool        link_wanted[FLEET_INSTANCES];
  bool        linked[FLEET_INSTANCES];
  bool        link_lost[FLEET_INSTANCES];
  uint32_t    link_id[FLEET_INSTANCES];
  /* Pending platform reads: at most one of the register's head, one of a part and one of the instance list. */
  bool        head_pending;
  uint64_t    head_after_version;
  uint64_t    head_issued_us;
  uint64_t    head_deadline_us;
  const char *part_key;
  uint64_t    part_issued_us;
  bool        list_pending;
  uint64_t    list_issued_us;
  /* Entry in the platform's instance list. The list shows the previous state until @list_changed_us. */
  bool     listed;
  bool     was_listed;
  bool     listed_leaving;
  uint64_t list_changed_us;
} FleetInstance;

typedef enum
{
  FLEET_TO_INSTANCE = 0,
  FLEET_RELAY,
  FLEET_TO_CALLER,
  FLEET_PEER_FRAME
} FleetMessageKind;

/** struct FleetMessage - a datagram or peer frame in flight; the frames of a link are delivered in order. */
typedef struct
{
  FleetMessageKind kind;
  uint64_t         due_us;
  uint64_t         serial;
  uint32_t         from;
  uint32_t         to;
  uint32_t         link_id;
  WcAddress        caller;
  uint8_t         *data;
  size_t           size_bytes;
} FleetMessage;

/**
 * enum FleetHostMode - behaviour of a host's target.
 * @FLEET_HOST_REFUSES: refuses every request.
 * @FLEET_HOST_BREAKS_BEFORE_RUN, @FLEET_HOST_BREAKS_AFTER_RUN: closes the connection instead of running or answering.
 * @FLEET_HOST_LATE: runs the request and answers after the caller's deadline.
 * @FLEET_HOST_SLOW: takes many times as long to run a request.
 * @FLEET_HOST_SHEDS: refuses half of the requests.
 */
typedef enum
{
  FLEET_HOST_HEALTHY = 0,
  FLEET_HOST_REFUSES,
  FLEET_HOST_BREAKS_BEFORE_RUN,
  FLEET_HOST_BREAKS_AFTER_RUN,
  FLEET_HOST_LATE,
  FLEET_HOST_SLOW,
  FLEET_HOST_SHEDS,
  FLEET_HOST_UNREACHABLE,
  FLEET_HOST_MODE_COUNT
} FleetHostMode;

/**
 * struct FleetHost - a host with one target.
 * @generation: generation of the program at this address; incremented when another program takes over the address.
 * @running: requests in progress.
 */
typedef struct
{
  uint32_t      service;
  uint32_t      domain;
  WcAddress     address;
  uint32_t      generation;
  FleetHostMode mode;
  uint32_t      running;
} FleetHost;

typedef enum
{
  FLEET_ATTEMPT_CONNECTING = 0,
  FLEET_ATTEMPT_SENT,
  FLEET_ATTEMPT_RUNNING,
  FLEET_ATTEMPT_POLLING
} FleetAttemptState;

/**
 * struct FleetAttempt - an attempt of an instance to run a request at a target.
 * @generation: generation of the target's program when the connection was established.
 * @runs: the request is counted in the host's @running.
 * @breaks: the connection will be closed without an answer.
 */
typedef struct
{
  FleetAttemptState state;
  FleetInstance    *instance;
  uint64_t          id;
  uint32_t          host;
  uint32_t          generation;
  char              service_name[32];
  char              path[256];
  uint64_t          due_us;
  uint64_t          poll_deadline_us;
  char             *body;
  size_t            body_bytes;
  bool              runs;
  bool              refused;
  bool              breaks;
} FleetAttempt;

typedef struct
{
  Fleet    *fleet;
  uint32_t  index;
  WcAddress address;
  WcClient *client;
  uint64_t  flows[FLEET_SERVICES];
  uint64_t  poll_handle;
  uint64_t  poll_cursor;
  /* Calls in progress, by the client's handle; the value is the call number. */
  GHashTable *calls;
} FleetCaller;

/** struct FleetRevision - a revision of the register as published by the operators. */
typedef struct
{
  char *head;
  char *parts[FLEET_PARTS];
} FleetRevision;

/** struct FleetCredential - a sealed token or ticket from a caller's packet, to be sent for another service. */
typedef struct
{
  uint32_t service;
  size_t   size_bytes;
  uint8_t  data[128];
} FleetCredential;

/**
 * struct Fleet - a simulated fleet with its callers, targets, platform and network, in virtual time.
 * @partitioned: pairs of domains that cannot reach each other; index FLEET_PLATFORM is the platform.
 * @events: number of the last event in the feed of each service.
 * @leaving: bit mask of the hosts that are leaving according to the register.
 * @leaving_since_us: when a host began to leave or came back.
 * @first_epoch, @last_epoch: epochs of the keys in the register.
 * @epoch_us: when the last key was added.
 * @previous_malformed: the previous revision was malformed.
 * @stale_version: version that a stale platform serves; 0 while it serves the newest.
 * @last_order: copy of the last order packet, for replays.
 */
struct Fleet
{
  Oracle  *oracle;
  GRand   *random;
  uint64_t now_us;
  uint64_t serial;
  bool     strict;
  /* Prints every message and control action; set by the environment variable FUZZ_TRACE. */
  bool          trace;
  FleetInstance instances[FLEET_INSTANCES];
  FleetHost     hosts[FLEET_HOSTS];
  FleetCaller   callers[FLEET_CALLERS];
  GPtrArray    *messages;
  GPtrArray    *attempts;
  bool          partitioned[FLEET_DOMAINS + 1][FLEET_DOMAINS + 1];
  uint64_t      events[FLEET_SERVICES];
  uint32_t      last_call_number;

  /* The operators' register and the platform. */
  GPtrArray *revisions;
  uint64_t   revision;
  uint32_t   leaving;
  uint64_t   leaving_since_us[FLEET_HOSTS];
  uint32_t   weights[FLEET_HOSTS];
  uint32_t   first_epoch;
  uint32_t   last_epoch;
  uint64_t   epoch_us;
  bool       previous_malformed;
  bool       platform_down;
  size_t     stale_version;

  FleetCredential tokens[FLEET_CREDENTIALS_MAX];
  FleetCredential tickets[FLEET_CREDENTIALS_MAX];
  FleetMessage   *last_order;
  uint32_t        credential_count;

  char     log[FLEET_LOG_LINES_MAX][120];
  uint64_t log_count;
};

/** fleet_new() - create a fleet with two serving instances per domain. @strict: only planned changes will happen. */
Fleet *fleet_new (bool strict, uint32_t seed);
void   fleet_delete (Fleet *fleet);

/** fleet_run() - advance virtual time; process the messages, target work, platform reads and timers that become due. */
void fleet_run (Fleet *fleet, uint64_t duration_us);
/** fleet_get_elapsed_s() - virtual time since the start, in seconds. */
double fleet_get_elapsed_s (const Fleet *fleet);
void   fleet_log (Fleet *fleet, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* fleet_instance.c */
void     fleet_instance_start (Fleet *fleet, uint32_t index);
void     fleet_instance_kill (Fleet *fleet, uint32_t index);
void     fleet_instance_stop (Fleet *fleet, uint32_t index);
void     fleet_instance_pause (Fleet *fleet, uint32_t index);
void     fleet_instance_resume (Fleet *fleet, uint32_t index);
void     fleet_instance_step (Fleet *fleet, FleetInstance *instance);
uint64_t fleet_instance_now (const FleetInstance *instance);
uint32_t fleet_count_serving (const Fleet *fleet, uint32_t domain);

/* fleet_net.c */
void          fleet_send (Fleet *fleet, FleetMessageKind kind, uint32_t from, uint32_t to, const WcAddress *caller,
                          const uint8_t *data, size_t size_bytes);
void          fleet_deliver (Fleet *fleet, FleetMessage *message);
void          fleet_deliver_due (Fleet *fleet);
void          fleet_duplicate (Fleet *fleet, const FleetMessage *message);
FleetMessage *fleet_pick_datagram (Fleet *fleet, uint32_t number);
void          fleet_drop (Fleet *fleet, FleetMessage *message);
void          fleet_links_step (Fleet *fleet);
void          fleet_close_link (Fleet *fleet, uint32_t a, uint32_t b);
void          fleet_message_free (gpointer message);
void          fleet_set_partition (Fleet *fleet, uint32_t a, uint32_t b, bool partitioned);

/* fleet_target.c */
void     fleet_attempt_start (FleetInstance *instance, const WcAttempt *attempt);
void     fleet_attempt_cancel (FleetInstance *instance, uint64_t id);
void     fleet_targets_step (Fleet *fleet);
void     fleet_attempts_discard (Fleet *fleet, const FleetInstance *instance);
uint32_t fleet_count_runs (const Fleet *fleet, const FleetInstance *instance);
void     fleet_attempt_free (gpointer attempt);
void     fleet_host_move (Fleet *fleet, uint32_t host, uint32_t service);

/* fleet_platform.c */
extern const char *const FLEET_SERVICE_NAMES[FLEET_SERVICES];
extern const char *const FLEET_DOMAIN_NAMES[FLEET_DOMAINS];
void                     fleet_publish (Fleet *fleet, bool malformed);
void                     fleet_platform_step (Fleet *fleet, FleetInstance *instance);
/**
 * fleet_platform_set() - set the state of the platform.
 * @stale: the platform keeps serving an old version.
 * @versions_behind: how many versions behind the newest it is, at most.
 */
void fleet_platform_set (Fleet *fleet, bool down, bool stale, uint32_t versions_behind);
void fleet_revision_free (gpointer revision);

/* fleet_caller.c */
void fleet_callers_init (Fleet *fleet);
void fleet_callers_finish (Fleet *fleet);
/** fleet_call() - send a request or order; Return: the call number, or 0 if too many calls are in progress. */
uint32_t fleet_call (Fleet *fleet, uint32_t caller, uint32_t service, bool order, size_t answer_bytes);
void     fleet_cancel (Fleet *fleet, uint32_t caller, uint32_t choice);
void     fleet_poll (Fleet *fleet, uint32_t caller);
void     fleet_send_mismatched (Fleet *fleet, uint32_t caller, uint32_t choice, bool order);
void     fleet_replay_order (Fleet *fleet);

/* fleet_ops.c */
/** fleet_apply() - run the operations that @data encodes; Return: their number. */
uint32_t fleet_apply (Fleet *fleet, const uint8_t *data, size_t size_bytes);
/** fleet_check_recovery() - repair all failures, then check calls, event streams and configurations. */
void fleet_check_recovery (Fleet *fleet);

#endif
