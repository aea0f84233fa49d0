#ifndef WC_CORE_REGISTER_DRAFT_H
#define WC_CORE_REGISTER_DRAFT_H

#include <glib.h>

#include <wigeoncart/register.h>

#include "core/json_doc.h"

/** struct WcTextPosition - where an entry stands, for messages of checks that follow after all parts were read. */
typedef struct
{
  uint32_t part;
  uint32_t line;
} WcTextPosition;

/* Entries of the sections with names that are not resolved yet. Names belong to the register's strings. */
typedef struct
{
  WcDomain       domain;
  WcTextPosition position;
} WcDraftDomain;

typedef struct
{
  WcService      service;
  WcTextPosition position;
} WcDraftService;

typedef struct
{
  WcCustomer     customer;
  WcTextPosition position;
} WcDraftCustomer;

typedef struct
{
  WcKey          key;
  WcTextPosition position;
} WcDraftKey;

typedef struct
{
  char          *name;
  char          *domain;
  WcTextPosition position;
  uint32_t       weight;
  bool           has_weight;
  bool           leaving;
} WcDraftHost;

typedef struct
{
  WcTarget target;
  char    *service;
  /* Position in hosts. */
  guint          host;
  WcTextPosition position;
} WcDraftTarget;

/** struct WcDraftRule - a name in a rule; @group numbers the groups of "separate", @weight is for "weights". */
typedef struct
{
  char          *name;
  uint32_t       group;
  uint32_t       weight;
  WcTextPosition position;
} WcDraftRule;

/** struct WcDraft - sections of all parts as they were read. */
typedef struct
{
  const WcRegisterPart *parts;
  WcRegister           *reg;
  GArray               *domains;
  GArray               *services;
  GArray               *customers;
  GArray               *keys;
  GArray               *hosts;
  GArray               *targets;
  GArray               *separate;
  GArray               *leaving;
  GArray               *weights;
  uint32_t              group_count;
} WcDraft;

/** wc_draft_read() - read the sections of one part; the root was checked to be an object. */
bool wc_draft_read (WcDraft *draft, uint32_t part, const WcJsonDoc *doc, bool whole, WcError *error);

/** wc_draft_resolve() - check the sections against each other and fill the register. */
bool wc_draft_resolve (WcDraft *draft, WcError *error);

/** wc_draft_check_rules() - check the rules and apply weights and leaving hosts; the targets are sorted by service. */
bool wc_draft_check_rules (WcDraft *draft, GHashTable *services, GHashTable *hosts, WcError *error);

/** wc_draft_fail() - store the message "part:line: key: reason". Return: false. */
bool wc_draft_fail (const WcDraft *draft, WcError *error, WcTextPosition position, const char *key, const char *format,
                    ...) __attribute__ ((format (printf, 5, 6)));

#endif
