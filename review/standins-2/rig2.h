#ifndef REVIEW_STANDINS_2_RIG2_H
#define REVIEW_STANDINS_2_RIG2_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include <ev.h>
#include <glib.h>

#include "edge/platform_client.h"
#include "emulator/emulated_store.h"
#include "forward/packet.h"

enum
{
  SEEDS = 3,
  INSTANCES_MAX = 9,
  HOSTS_MAX = 24,
  CALLERS_MAX = 12,
  SERVICE_COUNT = 2,
  ROUTE_PORT = 8443,
  NET_STORE = 0,
  NET_INSTANCES = 1,
  NET_HOSTS = 2,
  NET_CALLERS = 3,
  /* Bounds of the site chocalho-sul. */
  STABLE_US = 4000 * 1000,
  DRAIN_US = 3000 * 1000,
  SEED_LAG_US = 3000 * 1000,
  RESET_WINDOW = 76800,
  /* Length of an answer. */
  ANSWER_BYTES = 2000
};

static const char *const SERVICES[SERVICE_COUNT] = { "balcao", "moldes" };
static const char *const ZONES[] = { "caxias-a", "bento-b", "farroupilha-c" };

typedef struct
{
  int               number;
  int               zone;
  pid_t             pid;
  WcAddress         packets;
  char             *settings;
  WcPlatformClient *probe;
  uint64_t          probe_us;
  int               misses;
  bool              in_rotation;
  bool              asked_to_end;
  uint64_t          started_us;
  uint64_t          fault_us;
  uint64_t          restart_us;
} Instance;

typedef struct
{
  WcFlowKey key;
  uint32_t  cookie;
  uint32_t  iss;
  uint32_t  next;
  uint32_t  expected;
  uint32_t  answer_start;
  char      answer[ANSWER_BYTES];
  uint32_t  answer_acked;
  unsigned  answer_resends;
  uint64_t  answer_resend_us;
  uint64_t  request_id;
  uint64_t  due_us;
  uint64_t  resend_us;
  unsigned  resends;
  bool      is_open;
} HostFlow;

/* @draining_us: when the store accepted the report that the host is draining; 0 for not. */
typedef struct
{
  int         number;
  int         service;
  int         zone;
  uint64_t    id;
  uint64_t    born_ms;
  uint64_t    seq;
  WcAddress   address;
  int         fd;
  ev_io       io;
  uint64_t    ping_us;
  uint64_t    draining_us;
  uint64_t    foreign_us;
  const char *published_state;
  bool        overwritten;
  bool        is_down;
  uint64_t    openings;
  uint64_t    runs;
  uint64_t    ignored;
  GHashTable *flows;
} Host;

typedef enum
{
  USER_IDLE = 0,
  USER_OPENING,
  USER_OPEN
} UserState;

typedef struct
{
  struct Caller *caller;
  UserState      state;
  int            service;
  /* Requests in a flow, and the mean pause between them. */
  int       requests;
  double    pause_ms;
  int       requests_left;
  WcFlowKey key;
  uint32_t  cookie;
  uint32_t  sequence;
  uint32_t  acknowledged;
  uint32_t  copies;
  uint32_t  request_bytes;
  uint32_t  received;
  bool      is_foreign;
  unsigned  resends;
  uint64_t  request_id;
  uint64_t  opened_us;
  uint64_t  started_us;
  uint64_t  resend_us;
  uint64_t  due_us;
  Host     *host;
  Instance *through;
} User;

typedef struct Caller
{
  int      number;
  int      zone;
  int      fd;
  ev_io    io;
  uint16_t next_port;
  int      user_count;
  User    *users;
} Caller;

/* @step: called every 2 ms with the time since the start of traffic. */
typedef struct
{
  const char *name;
  double      length_s;
  void (*setup) (void);
  void (*step) (double now_s);
} Scenario;

typedef struct
{
  const Scenario  *scenario;
  bool             trouble;
  const char      *program;
  const char      *directory;
  FILE            *record;
  struct ev_loop  *loop;
  GRand           *random;
  uint8_t          net;
  int              port;
  uint64_t         start_us;
  uint64_t         now_us;
  uint64_t         traffic_us;
  bool             traffic;
  double           loss;
  double           work_ms;
  const char      *kinds[SERVICE_COUNT];
  int              seeds[SEEDS];
  WcEmulatedStore *store;
  int              instance_count;
  Instance         instances[INSTANCES_MAX];
  int              host_count;
  Host             hosts[HOSTS_MAX];
  int              caller_count;
  Caller           callers[CALLERS_MAX];
  uint64_t         next_request;
  uint64_t         sent;
  uint64_t         answered;
  uint64_t         failed;
  uint64_t         foreign_answers;
  int              own_ends;
  int              broken;
  int              status;
  /* Hooks of the scenario; may be NULL. */
  void (*opening_taken) (Host *host, Instance *instance, const WcPacket *packet);
  void (*request_run) (Host *host, Instance *instance, const WcPacket *packet);
  void (*reset_received) (User *user, Host *host, Instance *instance);
  uint64_t (*opening_delay_us) (Host *host);
} Rig;

extern Rig            rig;
extern const Scenario SCENARIOS[];

uint64_t rig_now_ms (void);
void     rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void     rig_broken (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
double   rig_random (double low, double high);
void     rig_add_instance (int zone);
Host    *rig_add_host (int service, int zone);
void     rig_add_users (int zone, int service, int count, int requests, double pause_ms);
void     rig_publish_config (uint64_t version);
void     rig_host_publish (Host *host);
char    *rig_host_entry (const Host *host, const char *state);
char    *rig_host_key (const Host *host);
/* Another writer writes @value under the key of @host. */
void rig_write_foreign (Host *host, const char *value);
void rig_signal (Instance *instance, int number);
/* The platform changes the settings file of a running instance. */
void rig_change_seeds (Instance *instance, const int seeds[SEEDS]);
/* Whether the instance has been free of restarts and signals for the stable window. */
bool rig_in_touch (const Instance *instance);

#endif
