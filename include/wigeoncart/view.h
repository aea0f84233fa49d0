#ifndef WIGEONCART_VIEW_H
#define WIGEONCART_VIEW_H

#include <glib.h>

#include <wigeoncart/keyring.h>
#include <wigeoncart/membership.h>
#include <wigeoncart/register.h>

/** enum WcLifecycle - states of an instance from start to stop. */
typedef enum
{
  WC_LIFECYCLE_JOINING = 0,
  WC_LIFECYCLE_SERVING,
  WC_LIFECYCLE_RECONFIRMING,
  WC_LIFECYCLE_DRAINING,
  /* Drained: accepts no more work, and stops once all workers have confirmed that none is left. */
  WC_LIFECYCLE_CLOSING,
  WC_LIFECYCLE_STOPPED,
  WC_LIFECYCLE_COUNT
} WcLifecycle;

extern const char *const WC_LIFECYCLE_STRINGS[WC_LIFECYCLE_COUNT];

/**
 * struct WcView - snapshot of configuration, membership and lifecycle that the control thread publishes to the workers;
 * immutable, with an atomic reference count.
 * @keyring: keys derived from those of @reg.
 * @confirmed_us: time of the last confirmation that the configuration is current, on the monotonic clock.
 */
typedef struct WcView
{
  WcRegister    *reg;
  WcKeyring     *keyring;
  WcMemberTable *members;
  WcLifecycle    lifecycle;
  uint64_t       confirmed_us;
  gint           references;
} WcView;

/** wc_view_new() - new view with one reference; takes a reference to each argument. @reg and @keyring may be NULL while
 * the instance is joining. */
WcView *
wc_view_new (WcRegister *reg, WcKeyring *keyring, WcMemberTable *members, WcLifecycle lifecycle, uint64_t confirmed_us);
WcView *wc_view_ref (WcView *view);
void    wc_view_unref (WcView *view);

#endif
