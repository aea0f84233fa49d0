#include "core/control_private.h"

#include <string.h>

#include "core/config_head.h"
#include "core/text_delta.h"

static void    answer_head (WcControl *control, WcControlLink *link, const Wc__PeerFrame *ask);
static void    answer_part (WcControl *control, WcControlLink *link, const Wc__PeerFrame *ask, size_t index);
static GBytes *apply (const void *base, size_t base_bytes, const Wc__PeerFrame *frame);

/* Peers that name the configuration that they have in force get differences from it where that is shorter. */
void
wc_control_answer_config_query (WcControl *control, WcControlLink *link, const Wc__PeerFrame *ask)
{
  if (ask->n_digests == 0)
    answer_head (control, link, ask);
  for (size_t i = 0; i < ask->n_digests && i < WC_CONTROL_PARTS_PER_QUERY; i++)
    if (ask->digests[i].len == WC_DIGEST_BYTES)
      answer_part (control, link, ask, i);
}

void
wc_control_fill_delta_base (const WcControl *control, Wc__ConfigId *config, Wc__PeerFrame *ask)
{
  const WcConfigId *id = wc_config_store_get_id (control->store);

  if (id->revision == 0 || control->deltas_disabled)
    return;
  config->revision = id->revision;
  config->digest.data = (uint8_t *)id->digest;
  config->digest.len = WC_DIGEST_BYTES;
  ask->config = config;
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
  text = base ? apply (base, base_bytes, frame) : NULL;
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
  /* The store refuses a part of another digest than the one that it misses. */
  part = base ? apply (base, base_bytes, frame) : NULL;
  if (!part)
    control->deltas_disabled = true;
  return part;
}

/* local functions */

static void
answer_head (WcControl *control, WcControlLink *link, const Wc__PeerFrame *ask)
{
  Wc__PeerFrame       answer = WC__PEER_FRAME__INIT;
  const WcConfigId   *id = wc_config_store_get_id (control->store);
  ProtobufCBinaryData digests[2];
  GBytes             *delta = NULL;
  const char         *base = NULL;
  size_t              base_bytes;
  gsize               size_bytes = 0;

  answer.kind = WC__PEER_FRAME__KIND__CONFIG_HEAD;
  if (control->head_in_force)
    answer.content.data = (uint8_t *)g_bytes_get_data (control->head_in_force, &size_bytes);
  if (control->head_in_force && ask->config)
    base = wc_config_store_find_head (control->store, ask->config->digest.data, ask->config->digest.len, &base_bytes);
  if (base)
    delta = wc_text_delta_make (base, base_bytes, answer.content.data, size_bytes);
  if (delta)
    {
      digests[0].data = (uint8_t *)id->digest;
      digests[0].len = WC_DIGEST_BYTES;
      digests[1] = ask->config->digest;
      answer.digests = digests;
      answer.n_digests = 2;
      answer.content.data = (uint8_t *)g_bytes_get_data (delta, &size_bytes);
    }
  answer.content.len = size_bytes;
  control->ops->send (control->user_data, link->id, &answer);
  if (delta)
    g_bytes_unref (delta);
}

/* A part that is not held is answered by an empty one, so that the peer asks elsewhere at once. */
static void
answer_part (WcControl *control, WcControlLink *link, const Wc__PeerFrame *ask, size_t index)
{
  Wc__PeerFrame       answer = WC__PEER_FRAME__INIT;
  ProtobufCBinaryData digests[2] = { ask->digests[index], { 0, NULL } };
  uint8_t             base_digest[WC_DIGEST_BYTES];
  GBytes             *delta = NULL;

  answer.kind = WC__PEER_FRAME__KIND__CONFIG_PART;
  answer.digests = digests;
  answer.n_digests = 1;
  answer.content.data = (uint8_t *)wc_config_store_find_part (control->store, digests[0].data, &answer.content.len);
  if (!answer.content.data)
    answer.content.len = 0;
  else if (ask->config && wc_config_store_find_base_digest (control->store, ask->config->digest.data,
                                                            ask->config->digest.len, digests[0].data, base_digest))
    {
      size_t      base_bytes;
      const void *base = wc_config_store_find_part (control->store, base_digest, &base_bytes);

      if (base)
        delta = wc_text_delta_make (base, base_bytes, answer.content.data, answer.content.len);
    }
  if (delta)
    {
      digests[1].data = base_digest;
      digests[1].len = sizeof base_digest;
      answer.n_digests = 2;
      answer.content.data = (uint8_t *)g_bytes_get_data (delta, &answer.content.len);
    }
  control->ops->send (control->user_data, link->id, &answer);
  if (delta)
    g_bytes_unref (delta);
}

static GBytes *
apply (const void *base, size_t base_bytes, const Wc__PeerFrame *frame)
{
  return wc_text_delta_apply (base, base_bytes, frame->content.data, frame->content.len, WC_REGISTER_PART_MAX_BYTES);
}
