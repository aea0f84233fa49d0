#include <wigeoncart/name_id.h>

#include <assert.h>
#include <sodium.h>
#include <string.h>

static uint64_t hash_name (const char *name);

uint32_t
wc_name_id32 (const char *name)
{
  uint32_t id = (uint32_t)hash_name (name);

  return id != 0 ? id : 1;
}

uint64_t
wc_name_id64 (const char *name)
{
  uint64_t id = hash_name (name);

  return id != 0 ? id : 1;
}

/* local functions */

static uint64_t
hash_name (const char *name)
{
  uint8_t  digest[crypto_generichash_BYTES];
  uint64_t id = 0;

  assert (name != NULL);

  crypto_generichash (digest, sizeof digest, (const unsigned char *)name, strlen (name), NULL, 0);
  for (int i = 7; i >= 0; i--)
    id = id << 8 | digest[i];
  return id;
}
