#ifndef WIGEONCART_REGISTER_H
#define WIGEONCART_REGISTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <wigeoncart/address.h>
#include <wigeoncart/status.h>

enum
{
  WC_KEY_BYTES = 32,
  /* The platform's limit on the size of one value. */
  WC_REGISTER_PART_MAX_BYTES = 1000000,
  /* Limit on the size of all parts of a register, three times that of a register of 7,400 hosts; bounds the memory of
   * the control thread. */
  WC_REGISTER_MAX_BYTES = 4000000
};

/** enum WcAffinity - REQUEST: the target is chosen anew for each request. SESSION: a request with a token goes to the
 * target in the token if possible. */
typedef enum
{
  WC_AFFINITY_REQUEST = 0,
  WC_AFFINITY_SESSION,
  WC_AFFINITY_COUNT
} WcAffinity;

extern const char *const WC_AFFINITY_STRINGS[WC_AFFINITY_COUNT];

typedef struct
{
  uint32_t id;
  char    *name;
} WcDomain;

/**
 * struct WcTarget - one service on one host.
 * @id: hash of "service/host/address", the same in all revisions.
 * @slots: requests that the target runs concurrently.
 * @max_connections: maximum number of connections of one instance to the target.
 * @weight: percentage, 0 to 1000, that scales the share of requests that @slots give the target; 100 is neutral.
 * @cold_start_ms: time over which the share of a new target ramps up.
 * @leaving: the target gets no new work, because its host is leaving or its domain is evacuated.
 */
typedef struct
{
  uint32_t  id;
  uint32_t  service;
  uint32_t  domain;
  char     *host;
  WcAddress address;
  uint32_t  slots;
  uint32_t  max_connections;
  uint32_t  weight;
  uint32_t  cold_start_ms;
  bool      leaving;
} WcTarget;

/**
 * struct WcService - a published service.
 * @default_deadline_ms: deadline of a request that does not specify one.
 * @answer_max_bytes: maximum length of an answer of a target.
 */
typedef struct
{
  uint32_t   id;
  char      *name;
  WcAffinity affinity;
  uint32_t   default_deadline_ms;
  uint32_t   answer_max_bytes;
} WcService;

typedef struct
{
  uint32_t id;
  char    *name;
  uint32_t worth;
} WcCustomer;

/**
 * struct WcKey - a key of the register.
 * @epoch: number of the key, from 1; 0 is reserved for the fleet key in the settings.
 */
typedef struct
{
  uint32_t epoch;
  uint8_t  secret[WC_KEY_BYTES];
} WcKey;

/** struct WcRegister - a valid revision of the configuration: domains, services, targets, customers and keys;
 * immutable, with an atomic reference count. */
typedef struct WcRegister WcRegister;

/**
 * struct WcRegisterPart - JSON text with some of the sections of a register, which are its top-level keys.
 * @name: name of the text in error messages (a file name or a key of the store).
 */
typedef struct
{
  const char *name;
  const char *text;
  size_t      size_bytes;
} WcRegisterPart;

/**
 * wc_register_parse() - parse and validate a register in one text.
 * @name: name of the text in error messages (a file name or a key of the store).
 *
 * Validation depends on the text only, so that all instances accept or reject the same revisions. The error message has
 * the line, the key and the reason.
 *
 * Return: a new register with one reference, or NULL with @error set.
 */
WcRegister *wc_register_parse (const char *name, const char *text, size_t size_bytes, WcError *error);

/**
 * wc_register_parse_parts() - parse and validate a register in several parts.
 * @revision: revision number, from 1, taken from the head (see config_store.h); the parts have none.
 *
 * The arrays of each section are concatenated over all parts. Only one part at a time is kept as a JSON tree, which
 * limits the memory that parsing takes.
 *
 * Return: a new register with one reference, or NULL with PARSE, INVALID or TOO_LARGE in @error.
 */
WcRegister *wc_register_parse_parts (uint64_t revision, const WcRegisterPart *parts, size_t count, WcError *error);

WcRegister *wc_register_ref (WcRegister *reg);
void        wc_register_unref (WcRegister *reg);

uint64_t          wc_register_get_revision (const WcRegister *reg);
const WcService  *wc_register_find_service (const WcRegister *reg, uint32_t id);
const WcTarget   *wc_register_find_target (const WcRegister *reg, uint32_t id);
const WcCustomer *wc_register_find_customer (const WcRegister *reg, uint32_t id);
const WcKey      *wc_register_find_key (const WcRegister *reg, uint32_t epoch);

/* The arrays returned below belong to the register. Domains and services are sorted by id, keys by epoch. */
const WcDomain  *wc_register_get_domains (const WcRegister *reg, size_t *count);
const WcService *wc_register_get_services (const WcRegister *reg, size_t *count);
const WcKey     *wc_register_get_keys (const WcRegister *reg, size_t *count);

/** wc_register_get_targets() - all targets, sorted by service, then domain, then id. */
const WcTarget *wc_register_get_targets (const WcRegister *reg, size_t *count);

/** wc_register_get_service_targets() - targets of a service in a domain, or in all domains when @domain is 0. */
const WcTarget *
wc_register_get_service_targets (const WcRegister *reg, uint32_t service, uint32_t domain, size_t *count);

#endif
