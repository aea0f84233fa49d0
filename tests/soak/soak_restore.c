#include "soak.h"

/*
 * The store is away for a while and returns as the copy that was saved some seconds before. Then its writers write what
 * was lost again, and the entries of hosts that left meanwhile expire.
 */

enum
{
  /* Entries of hosts that left expire this long after the return, three heartbeats of a host. */
  EXPIRY_US = 2300 * 1000
};

static double random_range (Soak *soak, double low, double high);
static void   go_away (Soak *soak);
static void   come_back (Soak *soak);
static void   write_again (Soak *soak);
static void   expire_departed (Soak *soak);

void
soak_restore_begin (Soak *soak)
{
  SoakRestore *restore = &soak->restore;

  if (restore->state != SOAK_RESTORE_NONE)
    return;
  wc_emulated_store_save_copy (soak->store);
  restore->copy_us = soak->now_us;
  restore->state = SOAK_RESTORE_SAVED;
  restore->deadline_us = soak->now_us + (uint64_t)random_range (soak, 100e3, 6000e3);
  soak_mark_unstable (soak, restore->deadline_us);
}

void
soak_restore_tick (Soak *soak)
{
  SoakRestore *restore = &soak->restore;

  if (restore->state == SOAK_RESTORE_NONE || soak->now_us < restore->deadline_us)
    return;
  switch (restore->state)
    {
    case SOAK_RESTORE_SAVED:
      go_away (soak);
      break;
    case SOAK_RESTORE_AWAY:
      come_back (soak);
      break;
    case SOAK_RESTORE_RETURNED:
      write_again (soak);
      break;
    case SOAK_RESTORE_WRITTEN:
      expire_departed (soak);
      break;
    case SOAK_RESTORE_NONE:
      break;
    }
  soak_mark_unstable (soak, restore->deadline_us);
}

/* local functions */

static double
random_range (Soak *soak, double low, double high)
{
  return g_rand_double_range (soak->fault_random, low, high);
}

static void
go_away (Soak *soak)
{
  wc_emulated_store_set_mode (soak->store, (WcStoreMode)random_range (soak, WC_STORE_IS_BUSY, WC_STORE_MODE_COUNT));
  soak->restore.state = SOAK_RESTORE_AWAY;
  soak->restore.deadline_us = soak->now_us + (uint64_t)random_range (soak, 100e3, 3000e3);
  soak->store_deadline_us = MAX (soak->store_deadline_us, soak->restore.deadline_us);
}

static void
come_back (Soak *soak)
{
  soak_trace (soak, "store is restored from the copy of %.3f s",
              (double)(soak->restore.copy_us - soak->start_us) / 1e6);
  wc_emulated_store_restore_copy (soak->store);
  soak->counts.restores++;
  soak->restore.state = SOAK_RESTORE_RETURNED;
  soak->restore.returned_us = soak->now_us;
  soak->restore.deadline_us = soak->now_us + (uint64_t)random_range (soak, 0, 1200e3);
}

static void
write_again (Soak *soak)
{
  soak_config_publish_again (soak);
  soak_evacuation_publish_again (soak);
  for (int i = 0; i < SOAK_HOSTS; i++)
    if (soak->hosts[i].state != SOAK_HOST_UNRESPONSIVE)
      soak_host_publish_again (&soak->hosts[i]);
  soak->restore.state = SOAK_RESTORE_WRITTEN;
  soak->restore.deadline_us = soak->restore.returned_us + EXPIRY_US;
}

/* Removes the entries of hosts that left since the copy was saved. */
static void
expire_departed (Soak *soak)
{
  GHashTableIter iter;
  gpointer       id;
  gpointer       departed_us;

  g_hash_table_iter_init (&iter, soak->departed);
  while (g_hash_table_iter_next (&iter, &id, &departed_us))
    if (*(const uint64_t *)departed_us >= soak->restore.copy_us)
      soak_host_unpublish (soak, *(const uint64_t *)id);
  soak->restore.state = SOAK_RESTORE_NONE;
  soak->restore.deadline_us = soak->now_us;
}
