#include "core/register_private.h"

#include <assert.h>
#include <sodium.h>

const char *const WC_AFFINITY_STRINGS[WC_AFFINITY_COUNT] = {
  [WC_AFFINITY_REQUEST] = "request",
  [WC_AFFINITY_SESSION] = "session",
};

static const void *find_by_id (const GArray *array, uint32_t id);
static guint       lower_bound (const GArray *targets, uint32_t service, uint64_t domain);

WcRegister *
wc_register_new (uint64_t revision)
{
  WcRegister *reg = g_new0 (WcRegister, 1);

  reg->references = 1;
  reg->revision = revision;
  reg->strings = g_string_chunk_new (4096);
  reg->domains = g_array_new (FALSE, FALSE, sizeof (WcDomain));
  reg->services = g_array_new (FALSE, FALSE, sizeof (WcService));
  reg->customers = g_array_new (FALSE, FALSE, sizeof (WcCustomer));
  reg->keys = g_array_new (FALSE, FALSE, sizeof (WcKey));
  reg->targets = g_array_new (FALSE, FALSE, sizeof (WcTarget));
  reg->target_index = g_array_new (FALSE, FALSE, sizeof (WcTargetIndexEntry));
  return reg;
}

WcRegister *
wc_register_ref (WcRegister *reg)
{
  assert (reg != NULL);

  g_atomic_int_inc (&reg->references);
  return reg;
}

void
wc_register_unref (WcRegister *reg)
{
  if (!reg || !g_atomic_int_dec_and_test (&reg->references))
    return;
  if (reg->keys->len > 0)
    sodium_memzero (reg->keys->data, reg->keys->len * sizeof (WcKey));
  g_array_unref (reg->domains);
  g_array_unref (reg->services);
  g_array_unref (reg->customers);
  g_array_unref (reg->keys);
  g_array_unref (reg->targets);
  g_array_unref (reg->target_index);
  g_string_chunk_free (reg->strings);
  g_free (reg);
}

uint64_t
wc_register_get_revision (const WcRegister *reg)
{
  assert (reg != NULL);

  return reg->revision;
}

const WcService *
wc_register_find_service (const WcRegister *reg, uint32_t id)
{
  assert (reg != NULL);

  return find_by_id (reg->services, id);
}

const WcTarget *
wc_register_find_target (const WcRegister *reg, uint32_t id)
{
  const WcTargetIndexEntry *found;

  assert (reg != NULL);

  found = find_by_id (reg->target_index, id);
  return found ? &g_array_index (reg->targets, WcTarget, found->position) : NULL;
}

const WcCustomer *
wc_register_find_customer (const WcRegister *reg, uint32_t id)
{
  assert (reg != NULL);

  return find_by_id (reg->customers, id);
}

const WcKey *
wc_register_find_key (const WcRegister *reg, uint32_t epoch)
{
  assert (reg != NULL);

  return find_by_id (reg->keys, epoch);
}

const WcDomain *
wc_register_get_domains (const WcRegister *reg, size_t *count)
{
  assert (reg != NULL);
  assert (count != NULL);

  *count = reg->domains->len;
  return (const WcDomain *)(const void *)reg->domains->data;
}

const WcService *
wc_register_get_services (const WcRegister *reg, size_t *count)
{
  assert (reg != NULL);
  assert (count != NULL);

  *count = reg->services->len;
  return (const WcService *)(const void *)reg->services->data;
}

const WcKey *
wc_register_get_keys (const WcRegister *reg, size_t *count)
{
  assert (reg != NULL);
  assert (count != NULL);

  *count = reg->keys->len;
  return (const WcKey *)(const void *)reg->keys->data;
}

const WcTarget *
wc_register_get_targets (const WcRegister *reg, size_t *count)
{
  assert (reg != NULL);
  assert (count != NULL);

  *count = reg->targets->len;
  return (const WcTarget *)(const void *)reg->targets->data;
}

const WcTarget *
wc_register_get_service_targets (const WcRegister *reg, uint32_t service, uint32_t domain, size_t *count)
{
  guint first;
  guint last;

  assert (reg != NULL);
  assert (count != NULL);

  first = lower_bound (reg->targets, service, domain);
  last = lower_bound (reg->targets, service, domain != 0 ? (uint64_t)domain + 1 : UINT64_MAX);
  *count = last - first;
  return first < last ? &g_array_index (reg->targets, WcTarget, first) : NULL;
}

/* local functions */

/* Binary search; the first member of each element must be its identifier. */
static const void *
find_by_id (const GArray *array, uint32_t id)
{
  size_t size_bytes = g_array_get_element_size ((GArray *)array);
  guint  low = 0;
  guint  high = array->len;

  while (low < high)
    {
      guint       middle = low + (high - low) / 2;
      const void *element = array->data + middle * size_bytes;
      uint32_t    found = *(const uint32_t *)element;

      if (found == id)
        return element;
      if (found < id)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

/* Return: index of the first target that does not sort before (service, domain). */
static guint
lower_bound (const GArray *targets, uint32_t service, uint64_t domain)
{
  guint low = 0;
  guint high = targets->len;

  while (low < high)
    {
      guint           middle = low + (high - low) / 2;
      const WcTarget *target = &g_array_index (targets, WcTarget, middle);

      if (target->service < service || (target->service == service && target->domain < domain))
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}
