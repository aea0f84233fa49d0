#include "core/control_private.h"

enum
{
  US_PER_MS = 1000,
  PLATFORM_TIMEOUT_US = 4000 * US_PER_MS,
  /* Mean delay between a failed query to a peer and the next fetch. */
  PEER_RETRY_US = 50 * US_PER_MS
};

static WcControlLink *choose_head_source (WcControl *control);
static WcControlLink *choose_part_source (WcControl *control);
static bool           is_responsive (const WcControl *control, const WcControlLink *link);
static bool           query_parts (WcControl *control, WcControlLink *link);

void
wc_control_fetch (WcControl *control, uint64_t now_us)
{
  WcControlLink *link;
  const char    *key;
  uint8_t        digest[WC_DIGEST_BYTES];

  if (control->fetch != WC_FETCH_IDLE)
    {
      if (now_us < control->fetch_deadline_us)
        return;
      link = g_hash_table_lookup (control->links, &control->fetch_peer);
      if (link && control->fetch != WC_FETCH_PLATFORM_PART)
        link->unresponsive = true;
      wc_control_fetch_failed (control, now_us);
    }
  if (now_us < control->next_fetch_us || control->lifecycle == WC_LIFECYCLE_STOPPED)
    return;

  link = choose_head_source (control);
  if (link)
    {
      Wc__PeerFrame query = WC__PEER_FRAME__INIT;
      Wc__ConfigId  base = WC__CONFIG_ID__INIT;

      query.kind = WC__PEER_FRAME__KIND__CONFIG_ASK;
      wc_control_fill_delta_base (control, &base, &query);
      control->fetch = WC_FETCH_PEER_HEAD;
      control->fetch_peer = link->id;
      control->fetch_deadline_us = now_us + WC_CONTROL_PEER_TIMEOUT_US;
      if (!control->ops->send (control->user_data, link->id, &query))
        wc_control_fetch_failed (control, now_us);
      return;
    }
  if (!wc_config_store_get_missing (control->store, 0, &key, digest))
    return;
  link = choose_part_source (control);
  if (link && query_parts (control, link))
    {
      control->fetch = WC_FETCH_PEER_PARTS;
      control->fetch_peer = link->id;
      control->fetch_deadline_us = now_us + WC_CONTROL_PEER_TIMEOUT_US;
      return;
    }
  control->fetch = WC_FETCH_PLATFORM_PART;
  control->fetch_peer = 0;
  control->fetch_deadline_us = now_us + PLATFORM_TIMEOUT_US;
  wc_counters_add (control->counters, WC_COUNTER_PLATFORM_READS, 1);
  control->ops->read_part (control->user_data, key);
}

void
wc_control_fetch_link_down (WcControl *control, uint64_t peer)
{
  if (control->fetch == WC_FETCH_IDLE || control->fetch_peer != peer)
    return;
  control->fetch = WC_FETCH_IDLE;
  control->fetch_failures++;
}

void
wc_control_fetch_failed (WcControl *control, uint64_t now_us)
{
  bool was_platform_read = control->fetch == WC_FETCH_PLATFORM_PART;

  control->fetch = WC_FETCH_IDLE;
  control->fetch_failures++;
  control->next_fetch_us =
      now_us + wc_control_jitter (control, was_platform_read ? control->config.read_retry_min_us : PEER_RETRY_US);
}

bool
wc_control_get_missing (const WcControl *control, size_t index, uint8_t digest[WC_DIGEST_BYTES])
{
  const char *key;

  return wc_config_store_get_missing (control->store, index, &key, digest);
}

/* local functions */

/*
 * Returns the link with the newest announced configuration among the links for which
 * - the peer is responsive,
 * - the announced configuration is newer than the one in force,
 * - it is not the newest known one while parts of that are missing, and
 * - its head is not the one last fetched from this peer.
 * Heads older than the newest are fetched as well, because the newest may turn out to be invalid or incomplete.
 */
static WcControlLink *
choose_head_source (WcControl *control)
{
  const WcConfigId *newest = wc_config_store_get_newest_id (control->store);
  uint8_t           digest[WC_DIGEST_BYTES];
  bool              has_missing_parts = wc_control_get_missing (control, 0, digest);
  WcControlLink    *best = NULL;
  GHashTableIter    iterator;
  gpointer          value;

  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcControlLink *link = value;

      if (!is_responsive (control, link) || !wc_control_is_newer (control, &link->config) ||
          (has_missing_parts && wc_config_id_compare (&link->config, newest) == 0) ||
          wc_config_id_compare (&link->config, &link->fetched_config) == 0)
        continue;
      if (!best || wc_config_id_compare (&link->config, &best->config) > 0)
        best = link;
    }
  return best;
}

/* Returns a random link to a responsive peer that has a newer configuration in force; NULL when there is none, and
 * after 2, 5, 8, ... failed fetches since a head or part was last accepted. The part is then read from the platform. */
static WcControlLink *
choose_part_source (WcControl *control)
{
  GPtrArray     *sources;
  WcControlLink *source = NULL;
  GHashTableIter iterator;
  gpointer       value;

  if (control->fetch_failures % 3 == 2)
    return NULL;
  sources = g_ptr_array_new ();
  g_hash_table_iter_init (&iterator, control->links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      WcControlLink *link = value;

      if (is_responsive (control, link) && wc_control_is_newer (control, &link->config))
        g_ptr_array_add (sources, link);
    }
  if (sources->len > 0)
    source = g_ptr_array_index (sources, (guint)g_rand_int_range (control->random, 0, (gint32)sources->len));
  g_ptr_array_free (sources, TRUE);
  return source;
}

/* Whether to query the peer. Each query to an unresponsive peer blocks the fetch until its timeout. After a pause,
 * peers that have not replied to the challenge are not queried either: their timeouts would use up the time to read the
 * platform, after which the instance serves with the configuration it had before the pause. */
static bool
is_responsive (const WcControl *control, const WcControlLink *link)
{
  return !link->unresponsive && !(control->reconfirming && link->unverified);
}

static bool
query_parts (WcControl *control, WcControlLink *link)
{
  uint8_t             digests[WC_CONTROL_PARTS_PER_QUERY][WC_DIGEST_BYTES];
  ProtobufCBinaryData wanted[WC_CONTROL_PARTS_PER_QUERY];
  Wc__PeerFrame       query = WC__PEER_FRAME__INIT;
  Wc__ConfigId        base = WC__CONFIG_ID__INIT;

  query.kind = WC__PEER_FRAME__KIND__CONFIG_ASK;
  wc_control_fill_delta_base (control, &base, &query);
  query.digests = wanted;
  while (query.n_digests < WC_CONTROL_PARTS_PER_QUERY &&
         wc_control_get_missing (control, query.n_digests, digests[query.n_digests]))
    {
      wanted[query.n_digests].data = digests[query.n_digests];
      wanted[query.n_digests].len = WC_DIGEST_BYTES;
      query.n_digests++;
    }
  control->fetch_outstanding = (uint32_t)query.n_digests;
  return control->ops->send (control->user_data, link->id, &query);
}
