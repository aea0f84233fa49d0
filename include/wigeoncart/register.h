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
  /* The platform's limit for one value. */
  WC_REGISTER_PART_MAX_BYTES = 1000000,
  /* All parts together; three times a register of 7,400 hosts, so that the memory of the control thread stays bounded.
   */
  WC_REGISTER_MAX_BYTES = 4000000
};

/** enum WcAffinity - whether a flow's requests prefer the target of its token. */
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
 * @id: hash of "service/host/address", stable over revisions.
 * @slots: requests that the target runs at once.
 * @max_connections: connections that one instance may hold to the target.
 * @weight: percent of the normal share, 0 to 1000.
 * @cold_start_ms: time over which a new target's share ramps up.
 * @leaving: no new work is sent to the target.
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
 * @default_deadline_ms: deadline of a request that names none.
 * @answer_max_bytes: longest answer that is accepted from a target.
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

typedef struct
{
  uint32_t epoch;
  uint8_t  secret[WC_KEY_BYTES];
} WcKey;

/** struct WcRegister - one accepted revision, immutable and reference-counted (atomic). */
typedef struct WcRegister WcRegister;

/**
 * struct WcRegisterPart - text of some sections of a register.
 * @name: what messages call the text (a file name or a key).
 */
typedef struct
{
  const char *name;
  const char *text;
  size_t      size_bytes;
} WcRegisterPart;

/**
 * wc_register_parse() - parse and validate a whole register.
 * @name: what messages call the text (a file name or a key).
 *
 * Validation depends on the text alone, so that all instances reach the same verdict. On failure the message names
 * line, key and reason.
 *
 * Return: a new register with one reference, or NULL with @error set.
 */
WcRegister *wc_register_parse (const char *name, const char *text, size_t size_bytes, WcError *error);

/**
 * wc_register_parse_parts() - parse and validate the parts of a register together.
 * @revision: revision of the head, from 1; the parts hold none.
 *
 * The arrays of a section are joined over all parts. One part at a time is held as a tree, so that small parts need
 * little memory.
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

const WcDomain  *wc_register_get_domains (const WcRegister *reg, size_t *count);
const WcService *wc_register_get_services (const WcRegister *reg, size_t *count);
const WcKey     *wc_register_get_keys (const WcRegister *reg, size_t *count);

/** wc_register_get_targets() - all targets, sorted by service, then domain, then id. */
const WcTarget *wc_register_get_targets (const WcRegister *reg, size_t *count);

/** wc_register_get_service_targets() - the targets of a service in a domain; domain 0 for all domains. */
const WcTarget *
wc_register_get_service_targets (const WcRegister *reg, uint32_t service, uint32_t domain, size_t *count);

#endif
