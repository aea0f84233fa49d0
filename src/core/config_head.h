#ifndef WC_CORE_CONFIG_HEAD_H
#define WC_CORE_CONFIG_HEAD_H

#include <glib.h>

#include <wigeoncart/config_store.h>

#include "core/json_doc.h"

enum
{
  WC_HEAD_MAX_PARTS = 4096
};

/** struct WcHeadPart - entry of a head: key and digest of a part. */
typedef struct
{
  char    key[WC_JSON_NAME_MAX_BYTES + 1];
  uint8_t digest[WC_DIGEST_BYTES];
} WcHeadPart;

/**
 * struct WcConfigHead - head of a published configuration: its revision and the list of its parts.
 * @parts: elements of type WcHeadPart.
 */
typedef struct
{
  WcConfigId id;
  GArray    *parts;
} WcConfigHead;

/** wc_config_head_parse() - parse the text of a head. Return: a new head, or NULL with PARSE, INVALID or TOO_LARGE in
 * @error. */
WcConfigHead *wc_config_head_parse (const char *text, size_t size_bytes, WcError *error);
void          wc_config_head_delete (WcConfigHead *head);

/** wc_config_head_format() - format a head as JSON text. Return: text to be freed with g_free(). */
char *wc_config_head_format (uint64_t revision, const WcHeadPart *parts, size_t count);

/** wc_config_digest() - compute the BLAKE2b hash of a head or part. */
void wc_config_digest (const void *data, size_t size_bytes, uint8_t digest[WC_DIGEST_BYTES]);

#endif
