#include "forward/gossip.h"

#include <assert.h>
#include <string.h>

#include <zlib.h>

#include "wigeoncart.pb-c.h"

enum
{
  /*
   * Changes of single hosts are shorter; longer messages contain a configuration or all hosts and compress to a tenth.
   */
  COMPRESS_BYTES = 4096,
  /* Same as the limit on replies of peers, see platform_client.c. */
  UNPACKED_MAX_BYTES = 8 << 20
};

static void             pack_entry (const WcPeerEntry *entry, Wc__PeerEntry *message);
static bool             unpack_entry (const Wc__PeerEntry *message, WcPeerEntry *entry);
static GBytes          *compress_changes (uint8_t *data, size_t size_bytes);
static Wc__ViewChanges *uncompress_changes (Wc__ViewChanges *message);
static void             pack_report (const WcHostReport *report, Wc__HostReport *message);
static void             unpack_report (const Wc__HostReport *message, WcHostReport *report);
static void             pack_flow (const WcFlowNote *note, Wc__FlowNote *message);
static bool             unpack_flow (const Wc__FlowNote *message, WcFlowNote *note);

size_t
wc_gossip_pack (const WcGossip *gossip, uint8_t out[WC_GOSSIP_MAX_BYTES])
{
  Wc__PeerNews    message = WC__PEER_NEWS__INIT;
  Wc__PeerEntry   sender;
  Wc__PeerEntry   entries[WC_GOSSIP_MAX_PEERS];
  Wc__PeerEntry  *entry_list[WC_GOSSIP_MAX_PEERS];
  Wc__HostReport  hosts[WC_GOSSIP_MAX_HOSTS];
  Wc__HostReport *host_list[WC_GOSSIP_MAX_HOSTS];
  Wc__FlowNote    flows[WC_GOSSIP_MAX_FLOWS];
  Wc__FlowNote   *flow_list[WC_GOSSIP_MAX_FLOWS];

  assert (gossip != NULL);
  assert (gossip->known_count <= WC_GOSSIP_MAX_PEERS && gossip->host_count <= WC_GOSSIP_MAX_HOSTS);
  assert (gossip->flow_count <= WC_GOSSIP_MAX_FLOWS);

  pack_entry (&gossip->sender, &sender);
  for (size_t i = 0; i < gossip->known_count; i++)
    {
      pack_entry (&gossip->known[i], &entries[i]);
      entry_list[i] = &entries[i];
    }
  for (size_t i = 0; i < gossip->host_count; i++)
    {
      pack_report (&gossip->hosts[i], &hosts[i]);
      host_list[i] = &hosts[i];
    }
  for (size_t i = 0; i < gossip->flow_count; i++)
    {
      pack_flow (&gossip->flows[i], &flows[i]);
      flow_list[i] = &flows[i];
    }
  message.sender = &sender;
  message.revision = gossip->revision;
  message.view_age_ms = gossip->view_age_ms;
  message.stopping = gossip->stopping;
  message.logical = gossip->logical;
  message.asks = gossip->asks;
  message.echo_heartbeat = gossip->echo_heartbeat;
  message.echo_incarnation = gossip->echo_incarnation;
  message.domain_instances = gossip->domain_instances;
  message.n_known = gossip->known_count;
  message.known = entry_list;
  message.n_hosts = gossip->host_count;
  message.hosts = host_list;
  message.n_flows = gossip->flow_count;
  message.flows = flow_list;
  if (wc__peer_news__get_packed_size (&message) > WC_GOSSIP_MAX_BYTES)
    return 0;
  return wc__peer_news__pack (&message, out);
}

WcStatus
wc_gossip_unpack (const uint8_t *data, size_t size_bytes, WcGossip *gossip)
{
  Wc__PeerNews *message = wc__peer_news__unpack (NULL, size_bytes, data);
  WcStatus      status = WC_STATUS_OK;

  assert (gossip != NULL);

  if (!message)
    return WC_STATUS_PARSE;
  memset (gossip, 0, sizeof *gossip);
  if (!message->sender || !unpack_entry (message->sender, &gossip->sender) || message->n_known > WC_GOSSIP_MAX_PEERS ||
      message->n_hosts > WC_GOSSIP_MAX_HOSTS || message->n_flows > WC_GOSSIP_MAX_FLOWS)
    status = WC_STATUS_INVALID;
  for (size_t i = 0; status == WC_STATUS_OK && i < message->n_known; i++)
    if (unpack_entry (message->known[i], &gossip->known[gossip->known_count]))
      gossip->known_count++;
  for (size_t i = 0; status == WC_STATUS_OK && i < message->n_hosts; i++)
    unpack_report (message->hosts[i], &gossip->hosts[gossip->host_count++]);
  for (size_t i = 0; status == WC_STATUS_OK && i < message->n_flows; i++)
    if (unpack_flow (message->flows[i], &gossip->flows[gossip->flow_count]))
      gossip->flow_count++;
  gossip->revision = message->revision;
  gossip->view_age_ms = message->view_age_ms;
  gossip->stopping = message->stopping;
  gossip->logical = message->logical;
  gossip->asks = message->asks;
  gossip->echo_heartbeat = message->echo_heartbeat;
  gossip->echo_incarnation = message->echo_incarnation;
  gossip->domain_instances = message->domain_instances;
  wc__peer_news__free_unpacked (message, NULL);
  return status;
}

GBytes *
wc_view_changes_pack (const WcStoreReply *reply, const WcViewOrigin *origin)
{
  Wc__ViewChanges  message = WC__VIEW_CHANGES__INIT;
  size_t           count = reply->changes->len;
  Wc__ViewChange  *changes = g_new0 (Wc__ViewChange, count);
  Wc__ViewChange **list = g_new0 (Wc__ViewChange *, count);
  size_t           size_bytes;
  uint8_t         *data;

  for (size_t i = 0; i < count; i++)
    {
      const WcStoreChange *change = &g_array_index (reply->changes, WcStoreChange, i);

      wc__view_change__init (&changes[i]);
      changes[i].key = change->key;
      changes[i].revision = change->version.revision;
      changes[i].era = change->version.era;
      changes[i].deleted = change->value == NULL;
      if (change->value)
        changes[i].value.data = (uint8_t *)g_bytes_get_data (change->value, &changes[i].value.len);
      list[i] = &changes[i];
    }
  message.revision = reply->version.revision;
  message.era = reply->version.era;
  message.age_ms = origin->age_ms;
  message.logical = origin->logical;
  message.indirect = origin->is_indirect;
  message.n_changes = count;
  message.changes = list;
  size_bytes = wc__view_changes__get_packed_size (&message);
  data = g_malloc (size_bytes);
  wc__view_changes__pack (&message, data);
  g_free (list);
  g_free (changes);
  return size_bytes < COMPRESS_BYTES ? g_bytes_new_take (data, size_bytes) : compress_changes (data, size_bytes);
}

WcStatus
wc_view_changes_unpack (const void *data, size_t size_bytes, WcStoreReply *reply, WcViewOrigin *origin)
{
  Wc__ViewChanges *message = wc__view_changes__unpack (NULL, size_bytes, data);

  assert (reply != NULL && origin != NULL);

  if (message && message->compressed.len > 0)
    message = uncompress_changes (message);
  if (!message)
    return WC_STATUS_PARSE;
  for (size_t i = 0; i < message->n_changes; i++)
    {
      const Wc__ViewChange *change = message->changes[i];
      const WcStoreVersion  version = { change->era, change->revision };

      wc_store_reply_add (reply, change->key,
                          change->deleted ? NULL : g_bytes_new (change->value.data, change->value.len), version);
    }
  reply->version = (WcStoreVersion){ message->era, message->revision };
  *origin = (WcViewOrigin){ message->age_ms, message->logical, message->indirect };
  wc__view_changes__free_unpacked (message, NULL);
  return WC_STATUS_OK;
}

/* local functions */

static void
pack_entry (const WcPeerEntry *entry, Wc__PeerEntry *message)
{
  wc__peer_entry__init (message);
  memcpy (&message->ip, entry->address.ip, sizeof message->ip);
  message->port = entry->address.port;
  message->incarnation = entry->incarnation;
  message->domain = (char *)g_quark_to_string (entry->domain);
  message->heartbeat = entry->heartbeat;
}

static bool
unpack_entry (const Wc__PeerEntry *message, WcPeerEntry *entry)
{
  size_t length = strlen (message->domain);

  if (message->ip == 0 || message->port == 0 || message->port > UINT16_MAX || message->incarnation == 0 ||
      length == 0 || length >= WC_PEER_DOMAIN_BYTES)
    return false;
  memset (entry, 0, sizeof *entry);
  entry->address.family = 4;
  memcpy (entry->address.ip, &message->ip, sizeof message->ip);
  entry->address.port = (uint16_t)message->port;
  entry->incarnation = message->incarnation;
  entry->domain = g_quark_from_string (message->domain);
  entry->heartbeat = message->heartbeat;
  return true;
}

static void
pack_report (const WcHostReport *report, Wc__HostReport *message)
{
  wc__host_report__init (message);
  message->host = report->host;
  message->reporter = report->reporter;
  message->busy = report->busy;
  message->life_age_ms = report->life_age_ms;
  message->silent_requests = report->silent_requests;
  message->repeating_requests = report->repeating_requests;
  message->silence_age_ms = report->silence_age_ms;
  message->answered = report->answered;
  message->failed = report->failed;
  message->joined_answered = report->joined_answered;
  message->joined_failed = report->joined_failed;
  message->joined_age_ms = report->joined_age_ms;
  message->joined_by = report->joined_by;
  message->failures_only = report->failures_only;
}

static void
unpack_report (const Wc__HostReport *message, WcHostReport *report)
{
  *report = (WcHostReport){
    .host = message->host,
    .reporter = message->reporter,
    .busy = message->busy,
    .life_age_ms = message->life_age_ms,
    .silent_requests = message->silent_requests,
    .repeating_requests = message->repeating_requests,
    .silence_age_ms = message->silence_age_ms,
    .answered = message->answered,
    .failed = message->failed,
    .joined_answered = message->joined_answered,
    .joined_failed = message->joined_failed,
    .joined_age_ms = message->joined_age_ms,
    .joined_by = message->joined_by,
    .failures_only = message->failures_only,
  };
}

static void
pack_flow (const WcFlowNote *note, Wc__FlowNote *message)
{
  wc__flow_note__init (message);
  message->caller_ip = note->key.caller_ip;
  message->route_ip = note->key.route_ip;
  message->caller_port = note->key.caller_port;
  message->route_port = note->key.route_port;
  message->sequence = note->sequence;
  message->cookie = note->cookie;
  message->asks = note->asks;
  message->age_ms = note->age_ms;
}

static bool
unpack_flow (const Wc__FlowNote *message, WcFlowNote *note)
{
  if (message->caller_ip == 0 || message->route_ip == 0 || message->caller_port > UINT16_MAX ||
      message->route_port > UINT16_MAX)
    return false;
  *note = (WcFlowNote){
    .key = { message->caller_ip, message->route_ip, (uint16_t)message->caller_port, (uint16_t)message->route_port },
    .sequence = message->sequence,
    .cookie = message->cookie,
    .asks = message->asks,
    .age_ms = message->age_ms,
  };
  return true;
}

/* Takes ownership of @data. A message that cannot be compressed is sent unchanged. */
static GBytes *
compress_changes (uint8_t *data, size_t size_bytes)
{
  Wc__ViewChanges message = WC__VIEW_CHANGES__INIT;
  uLongf          length = compressBound (size_bytes);
  uint8_t        *compressed = g_malloc (length);
  uint8_t        *packed;
  size_t          packed_bytes;

  if (size_bytes > UNPACKED_MAX_BYTES || compress2 (compressed, &length, data, size_bytes, Z_BEST_SPEED) != Z_OK)
    {
      g_free (compressed);
      return g_bytes_new_take (data, size_bytes);
    }
  message.compressed.data = compressed;
  message.compressed.len = length;
  message.unpacked_bytes = (uint32_t)size_bytes;
  packed_bytes = wc__view_changes__get_packed_size (&message);
  packed = g_malloc (packed_bytes);
  wc__view_changes__pack (&message, packed);
  g_free (compressed);
  g_free (data);
  return g_bytes_new_take (packed, packed_bytes);
}

/* Takes ownership of @message. Return: the decompressed inner message, or NULL. */
static Wc__ViewChanges *
uncompress_changes (Wc__ViewChanges *message)
{
  uLongf           length = message->unpacked_bytes;
  uint8_t         *data = length <= UNPACKED_MAX_BYTES ? g_malloc (length + 1) : NULL;
  Wc__ViewChanges *inner = NULL;

  if (data && uncompress (data, &length, message->compressed.data, message->compressed.len) == Z_OK)
    inner = wc__view_changes__unpack (NULL, length, data);
  g_free (data);
  wc__view_changes__free_unpacked (message, NULL);
  return inner;
}
