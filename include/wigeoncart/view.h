#ifndef WIGEONCART_VIEW_H
#define WIGEONCART_VIEW_H

#include <glib.h>

#include <wigeoncart/keyring.h>
#include <wigeoncart/membership.h>
#include <wigeoncart/register.h>

/** enum WcLifecycle - what an instance may do now. */
typedef enum
{
  WC_LIFECYCLE_JOINING = 0,
  WC_LIFECYCLE_SERVING,
  WC_LIFECYCLE_RECONFIRMING,
  WC_LIFECYCLE_DRAINING,
  /* Drained: takes nothing in any more and ends once all workers have confirmed that nothing is left. */
  WC_LIFECYCLE_CLOSING,
  WC_LIFECYCLE_STOPPED,
  WC_LIFECYCLE_COUNT
} WcLifecycle;

extern const char *const WC_LIFECYCLE_STRINGS[WC_LIFECYCLE_COUNT];

/**
 * struct WcView - immutable snapshot that the control thread hands to the workers, reference-counted (atomic).
 * @keyring: keys of @reg.
 * @confirmed_us: when the control thread last confirmed the view, on the monotonic clock.
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

/** wc_view_new() - takes a reference of each argument. @reg and @keyring may be NULL while joining. */
WcView *
wc_view_new (WcRegister *reg, WcKeyring *keyring, WcMemberTable *members, WcLifecycle lifecycle, uint64_t confirmed_us);
WcView *wc_view_ref (WcView *view);
void    wc_view_unref (WcView *view);

#endif
