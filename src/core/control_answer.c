#include "core/control_private.h"

#include <string.h>

#include "core/config_head.h"
#include "core/text_delta.h"

static void    send_head (WcControl *control, WcControlLink *link, const Wc__PeerFrame *query);
static void    send_part (WcControl *control, WcControlLink *link, const Wc__PeerFrame *query, size_t index);
static GBytes *apply_delta (const void *base, size_t base_bytes, const Wc__PeerFrame *frame);

/* A peer that states its configuration in force in the query gets deltas against it where they are shorter. */
void
wc_control_answer_config_query (WcControl *control, WcControlLink *link, const Wc__PeerFrame *query)
{
  if (query->n_digests == 0)
    send_head (control, link, query);
  for (size_t i = 0; i < query->n_digests && i < WC_CONTROL_PARTS_PER_QUERY; i++)
    if (query->digests[i].len == WC_DIGEST_BYTES)
      send_part (control, link, query, i);
}

void
wc_control_fill_delta_base (const WcControl *control, Wc__ConfigId *config, Wc__PeerFrame *query)
{
  const WcConfigId *id = wc_config_store_get_id (control->store);

  if (id->revision == 0 || control->deltas_disabled)
    return;
  config->revision = id->revision;
  config->digest.data = (uint8_t *)id->digest;
  config->digest.len = WC_DIGEST_BYTES;
  query->config = config;
}

GBytes *
wc_control_decode_head (WcControl *control, const Wc__PeerFrame *frame)
{
  const char *base;
  size_t      base_bytes;
  GBytes     *text;
  uint8_t     digest[WC_DIGEST_BYTES];
  gsize       size_bytes;
  const void *data;

  if (frame->n_digests < 2)
    return g_bytes_new (frame->content.data, frame->content.len);
  base = wc_config_store_find_head (control->store, frame->digests[1].data, frame->digests[1].len, &base_bytes);
  text = base ? apply_delta (base, base_bytes, frame) : NULL;
  if (text)
    {
      data = g_bytes_get_data (text, &size_bytes);
      wc_config_digest (data, size_bytes, digest);
      if (frame->digests[0].len == WC_DIGEST_BYTES && memcmp (digest, frame->digests[0].data, WC_DIGEST_BYTES) == 0)
        return text;
      g_bytes_unref (text);
    }
  control->deltas_disabled = true;
  return NULL;
}

GBytes *
wc_control_decode_part (WcControl *control, const Wc__PeerFrame *frame)
{
  const void *base = NULL;
  size_t      base_bytes;
  GBytes     *part;

  if (frame->n_digests < 2)
    return g_bytes_new (frame->content.data, frame->content.len);
  if (frame->digests[1].len == WC_DIGEST_BYTES)
    base = wc_config_store_find_part (control->store, frame->digests[1].data, &base_bytes);
  /* The digest is not checked here: the store rejects a part whose digest no candidate lists. */
  part = base ? apply_delta (base, base_bytes, frame) : NULL;
  if (!part)
    control->deltas_disabled = true;
  return part;
}

/* local functions */

static void
send_head (WcControl *control, WcControlLink *link, const Wc__PeerFrame *query)
{
  Wc__PeerFrame       reply = WC__PEER_FRAME__INIT;
  const WcConfigId   *id = wc_config_store_get_id (control->store);
  ProtobufCBinaryData digests[2];
  GBytes             *delta = NULL;
  const char         *base = NULL;
  size_t              base_bytes;
  gsize               size_bytes = 0;

  reply.kind = WC__PEER_FRAME__KIND__CONFIG_HEAD;
  if (control->head_in_force)
    reply.content.data = (uint8_t *)g_bytes_get_data (control->head_in_force, &size_bytes);
  if (control->head_in_force && query->config)
    base =
        wc_config_store_find_head (control->store, query->config->digest.data, query->config->digest.len, &base_bytes);
  if (base)
    delta = wc_text_delta_make (base, base_bytes, reply.content.data, size_bytes);
  if (delta)
    {
      digests[0].data = (uint8_t *)id->digest;
      digests[0].len = WC_DIGEST_BYTES;
      digests[1] = query->config->digest;
      reply.digests = digests;
      reply.n_digests = 2;
      reply.content.data = (uint8_t *)g_bytes_get_data (delta, &size_bytes);
    }
  reply.content.len = size_bytes;
  control->ops->send (control->user_data, link->id, &reply);
  if (delta)
    g_bytes_unref (delta);
}

/* The reply for a part that is not stored is empty, so that the peer queries another source without waiting for a
 * timeout. */
static void
send_part (WcControl *control, WcControlLink *link, const Wc__PeerFrame *query, size_t index)
{
  Wc__PeerFrame       reply = WC__PEER_FRAME__INIT;
  ProtobufCBinaryData digests[2] = { query->digests[index], { 0, NULL } };
  uint8_t             base_digest[WC_DIGEST_BYTES];
  GBytes             *delta = NULL;

  reply.kind = WC__PEER_FRAME__KIND__CONFIG_PART;
  reply.digests = digests;
  reply.n_digests = 1;
  reply.content.data = (uint8_t *)wc_config_store_find_part (control->store, digests[0].data, &reply.content.len);
  if (!reply.content.data)
    reply.content.len = 0;
  else if (query->config && wc_config_store_find_base_digest (control->store, query->config->digest.data,
                                                              query->config->digest.len, digests[0].data, base_digest))
    {
      size_t      base_bytes;
      const void *base = wc_config_store_find_part (control->store, base_digest, &base_bytes);

      if (base)
        delta = wc_text_delta_make (base, base_bytes, reply.content.data, reply.content.len);
    }
  if (delta)
    {
      digests[1].data = base_digest;
      digests[1].len = sizeof base_digest;
      reply.n_digests = 2;
      reply.content.data = (uint8_t *)g_bytes_get_data (delta, &reply.content.len);
    }
  control->ops->send (control->user_data, link->id, &reply);
  if (delta)
    g_bytes_unref (delta);
}

static GBytes *
apply_delta (const void *base, size_t base_bytes, const Wc__PeerFrame *frame)
{
  return wc_text_delta_apply (base, base_bytes, frame->content.data, frame->content.len, WC_REGISTER_PART_MAX_BYTES);
}
