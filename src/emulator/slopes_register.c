#include "emulator/slopes_register.h"

#include <assert.h>
#include <glib.h>

enum
{
  HOSTS_PER_SERVICE = 2,
  /* Prime, so that successive edits change hosts in different parts of the register. */
  EDIT_STRIDE = 1009
};

struct WcSlopesRegister
{
  uint32_t         domains;
  uint32_t         hosts;
  uint64_t         revision;
  uint8_t         *slots;
  WcRegisterSplit *split;
};

static void update_split (WcSlopesRegister *reg);

WcSlopesRegister *
wc_slopes_register_new (uint32_t domains, uint32_t hosts)
{
  WcSlopesRegister *reg = g_new0 (WcSlopesRegister, 1);

  assert (domains > 0 && hosts > 0);

  reg->domains = domains;
  reg->hosts = hosts;
  reg->revision = 1;
  reg->slots = g_malloc (hosts);
  for (uint32_t i = 0; i < hosts; i++)
    reg->slots[i] = 2;
  update_split (reg);
  return reg;
}

void
wc_slopes_register_delete (WcSlopesRegister *reg)
{
  if (!reg)
    return;
  wc_register_split_delete (reg->split);
  g_free (reg->slots);
  g_free (reg);
}

void
wc_slopes_register_edit (WcSlopesRegister *reg)
{
  uint64_t host;

  assert (reg != NULL);

  host = reg->revision++ * EDIT_STRIDE % reg->hosts;
  reg->slots[host] = reg->slots[host] == 2 ? 3 : 2;
  update_split (reg);
}

const WcRegisterSplit *
wc_slopes_register_get_split (const WcSlopesRegister *reg)
{
  assert (reg != NULL);

  return reg->split;
}

/* local functions */

static void
update_split (WcSlopesRegister *reg)
{
  GString *text = g_string_new (NULL);
  WcError  error = { 0 };

  assert (reg->domains > 0);

  g_string_append_printf (text, "{\"revision\": %" G_GUINT64_FORMAT ", \"domains\": [", reg->revision);
  for (uint32_t i = 0; i < reg->domains; i++)
    g_string_append_printf (text, "%s\"d%u\"", i > 0 ? ", " : "", i + 1);
  g_string_append (text, "], \"services\": [");
  for (uint32_t i = 0; i * HOSTS_PER_SERVICE < reg->hosts; i++)
    g_string_append_printf (text, "%s{\"name\": \"service-%u\", \"default_deadline_ms\": 2000}", i > 0 ? ", " : "", i);
  g_string_append (text, "], \"hosts\": [");
  for (uint32_t i = 0; i < reg->hosts; i++)
    g_string_append_printf (text,
                            "%s{\"name\": \"host-%u\", \"domain\": \"d%u\", \"targets\": [{\"service\": "
                            "\"service-%u\", \"address\": \"10.%u.%u.%u:9001\", \"slots\": %u, "
                            "\"max_connections\": 16, \"cold_start_ms\": 0}]}",
                            i > 0 ? ", " : "", i, 1 + i % reg->domains, i / HOSTS_PER_SERVICE, i >> 16, (i >> 8) & 255,
                            i & 255, reg->slots[i]);
  g_string_append (text, "], \"customers\": [{\"name\": \"dealer-1\", \"worth\": 5}], \"keys\": [{\"epoch\": 1, "
                         "\"secret\": \"Zf3LfJf+QNXEZFyAInvxAYjIUPnc1NnQ9j7C6JxA4Ik=\"}]}");
  wc_register_split_delete (reg->split);
  reg->split = wc_register_split_new ("slopes", text->str, text->len, &error);
  /* The generated register is valid for any size, so an error is a bug. */
  if (!reg->split)
    g_error ("slopes: %s", error.message);
  g_string_free (text, TRUE);
}
