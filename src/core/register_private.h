#ifndef WC_CORE_REGISTER_PRIVATE_H
#define WC_CORE_REGISTER_PRIVATE_H

#include <glib.h>

#include <wigeoncart/register.h>

/* Largest revision number that tools which represent numbers as doubles preserve exactly. */
#define WC_REVISION_MAX ((UINT64_C (1) << 53) - 1)

/** struct WcTargetIndexEntry - entry of the index of targets; small, so that a binary search touches little memory. */
typedef struct
{
  uint32_t id;
  uint32_t position;
} WcTargetIndexEntry;

/**
 * struct WcRegister - see register.h.
 * @strings: owns all names.
 * @domains, @services, @customers: sorted by id; @keys: sorted by epoch.
 * @targets: sorted by service, domain and id.
 * @target_index: WcTargetIndexEntry, sorted by id.
 */
struct WcRegister
{
  gint          references;
  uint64_t      revision;
  GStringChunk *strings;
  GArray       *domains;
  GArray       *services;
  GArray       *customers;
  GArray       *keys;
  GArray       *targets;
  GArray       *target_index;
};

/** wc_register_new() - new empty register with one reference. */
WcRegister *wc_register_new (uint64_t revision);

#endif
