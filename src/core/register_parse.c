#include <wigeoncart/register.h>

#include <assert.h>
#include <string.h>

#include "core/register_draft.h"
#include "core/register_private.h"

static WcRegister *parse (uint64_t revision, const WcRegisterPart *parts, size_t count, WcError *error);
static void        draft_init (WcDraft *draft, const WcRegisterPart *parts, uint64_t revision);
static void        draft_finish (WcDraft *draft);
static bool        read_parts (WcDraft *draft, size_t count, bool whole, WcError *error);

WcRegister *
wc_register_parse (const char *name, const char *text, size_t size_bytes, WcError *error)
{
  WcRegisterPart part = { name, text, size_bytes };

  assert (name != NULL);

  return parse (0, &part, 1, error);
}

WcRegister *
wc_register_parse_parts (uint64_t revision, const WcRegisterPart *parts, size_t count, WcError *error)
{
  assert (parts != NULL);
  assert (count > 0);
  assert (revision > 0);

  for (size_t i = 0; i < count; i++)
    if (parts[i].size_bytes > WC_REGISTER_PART_MAX_BYTES)
      {
        wc_error_set (error, WC_STATUS_TOO_LARGE, "%s:1: the part has more than %d bytes", parts[i].name,
                      WC_REGISTER_PART_MAX_BYTES);
        return NULL;
      }
  return parse (revision, parts, count, error);
}

/* local functions */

/* @revision: 0 for a whole register in one text, which has the revision number. */
static WcRegister *
parse (uint64_t revision, const WcRegisterPart *parts, size_t count, WcError *error)
{
  WcDraft     draft;
  WcRegister *reg = NULL;
  size_t      total_bytes = 0;

  for (size_t i = 0; i < count; i++)
    {
      total_bytes += parts[i].size_bytes;
      if (total_bytes > WC_REGISTER_MAX_BYTES)
        {
          wc_error_set (error, WC_STATUS_TOO_LARGE, "%s:1: the register has more than %d bytes", parts[i].name,
                        WC_REGISTER_MAX_BYTES);
          return NULL;
        }
    }

  draft_init (&draft, parts, revision);
  if (read_parts (&draft, count, revision == 0, error) && wc_draft_resolve (&draft, error))
    reg = wc_register_ref (draft.reg);
  draft_finish (&draft);
  return reg;
}

static void
draft_init (WcDraft *draft, const WcRegisterPart *parts, uint64_t revision)
{
  memset (draft, 0, sizeof *draft);
  draft->parts = parts;
  draft->reg = wc_register_new (revision);
  draft->domains = g_array_new (FALSE, FALSE, sizeof (WcDraftDomain));
  draft->services = g_array_new (FALSE, FALSE, sizeof (WcDraftService));
  draft->customers = g_array_new (FALSE, FALSE, sizeof (WcDraftCustomer));
  draft->keys = g_array_new (FALSE, FALSE, sizeof (WcDraftKey));
  draft->hosts = g_array_new (FALSE, FALSE, sizeof (WcDraftHost));
  draft->targets = g_array_new (FALSE, FALSE, sizeof (WcDraftTarget));
  draft->separate = g_array_new (FALSE, FALSE, sizeof (WcDraftRule));
  draft->leaving = g_array_new (FALSE, FALSE, sizeof (WcDraftRule));
  draft->evacuated = g_array_new (FALSE, FALSE, sizeof (WcDraftRule));
  draft->weights = g_array_new (FALSE, FALSE, sizeof (WcDraftRule));
}

static void
draft_finish (WcDraft *draft)
{
  g_array_unref (draft->domains);
  g_array_unref (draft->services);
  g_array_unref (draft->customers);
  g_array_unref (draft->keys);
  g_array_unref (draft->hosts);
  g_array_unref (draft->targets);
  g_array_unref (draft->separate);
  g_array_unref (draft->leaving);
  g_array_unref (draft->evacuated);
  g_array_unref (draft->weights);
  wc_register_unref (draft->reg);
}

static bool
read_parts (WcDraft *draft, size_t count, bool whole, WcError *error)
{
  for (size_t i = 0; i < count; i++)
    {
      const WcRegisterPart *part = &draft->parts[i];
      WcJsonDoc            *doc = wc_json_doc_new (part->name, part->text, part->size_bytes, error);
      bool                  read;

      if (!doc)
        return false;
      read = wc_draft_read (draft, (uint32_t)i, doc, whole, error);
      wc_json_doc_delete (doc);
      if (!read)
        return false;
    }
  return true;
}
