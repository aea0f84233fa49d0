#ifndef WC_CORE_REGISTER_DRAFT_H
#define WC_CORE_REGISTER_DRAFT_H

#include <glib.h>

#include <wigeoncart/register.h>

#include "core/json_doc.h"

/** struct WcTextPosition - position of an entry: index of the part and line number. Used in the error messages of
 * checks that run after all parts were read. */
typedef struct
{
  uint32_t part;
  uint32_t line;
} WcTextPosition;

/* Entries of the sections, in which references by name are not resolved yet. The register's string chunk owns the
 * names. */
typedef struct
{
  WcDomain       domain;
  WcTextPosition position;
  bool           evacuated;
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

/* @has_weight: a rule has set @weight. */
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
  /* Index in WcDraft.hosts. */
  guint          host;
  WcTextPosition position;
} WcDraftTarget;

/**
 * struct WcDraftRule - a name in a rule.
 * @group: index of the group, in the rule "separate".
 * @weight: weight of the host in percent, in the rule "weights".
 */
typedef struct
{
  char          *name;
  uint32_t       group;
  uint32_t       weight;
  WcTextPosition position;
} WcDraftRule;

/** struct WcDraft - register under construction: the sections of all parts read so far. */
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
  GArray               *evacuated;
  GArray               *weights;
  uint32_t              group_count;
} WcDraft;

/**
 * wc_draft_read() - read the sections of one part.
 * @part: index of the part.
 * @whole: the text is a whole register and has the revision number.
 */
bool wc_draft_read (WcDraft *draft, uint32_t part, const WcJsonDoc *doc, bool whole, WcError *error);

/** wc_draft_resolve() - resolve the references between the sections, check them, and fill the register. */
bool wc_draft_resolve (WcDraft *draft, WcError *error);

/** wc_draft_check_rules() - check the rules, and apply weights, leaving hosts and evacuated domains, whose hosts are
 * leaving; the targets must be sorted by service. */
bool
wc_draft_check_rules (WcDraft *draft, GHashTable *domains, GHashTable *services, GHashTable *hosts, WcError *error);

/** wc_draft_fail() - set @error to INVALID with the message "part:line: key: reason". Return: false. */
bool wc_draft_fail (const WcDraft *draft, WcError *error, WcTextPosition position, const char *key, const char *format,
                    ...) __attribute__ ((format (printf, 5, 6)));

#endif
