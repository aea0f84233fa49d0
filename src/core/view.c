#include <wigeoncart/view.h>

#include <assert.h>

const char *const WC_LIFECYCLE_STRINGS[WC_LIFECYCLE_COUNT] = {
  [WC_LIFECYCLE_JOINING] = "joining",           [WC_LIFECYCLE_SERVING] = "serving",
  [WC_LIFECYCLE_RECONFIRMING] = "reconfirming", [WC_LIFECYCLE_DRAINING] = "draining",
  [WC_LIFECYCLE_CLOSING] = "closing",           [WC_LIFECYCLE_STOPPED] = "stopped",
};

WcView *
wc_view_new (WcRegister *reg, WcKeyring *keyring, WcMemberTable *members, WcLifecycle lifecycle, uint64_t confirmed_us)
{
  WcView *view = g_new0 (WcView, 1);

  assert (members != NULL);

  view->reg = reg ? wc_register_ref (reg) : NULL;
  view->keyring = keyring ? wc_keyring_ref (keyring) : NULL;
  view->members = wc_member_table_ref (members);
  view->lifecycle = lifecycle;
  view->confirmed_us = confirmed_us;
  view->references = 1;
  return view;
}

WcView *
wc_view_ref (WcView *view)
{
  assert (view != NULL);

  g_atomic_int_inc (&view->references);
  return view;
}

void
wc_view_unref (WcView *view)
{
  if (!view || !g_atomic_int_dec_and_test (&view->references))
    return;
  if (view->reg)
    wc_register_unref (view->reg);
  if (view->keyring)
    wc_keyring_unref (view->keyring);
  wc_member_table_unref (view->members);
  g_free (view);
}
