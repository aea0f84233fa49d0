#include <wigeoncart/ownership.h>

#include <assert.h>

#include "core/mix.h"

/* Purpose of a hash, which is part of its input, so that readers and owners are chosen independently. */
enum
{
  KEY_OWNER = 1,
  KEY_READER = 2,
  KEY_WORKER = 3
};

static uint64_t hash_key (uint64_t use, uint32_t domain, uint32_t service, uint32_t shard);
static uint64_t member_weight (uint64_t member, uint64_t key);

uint32_t
wc_ownership_get_shard_count (size_t target_count)
{
  return target_count <= WC_TARGETS_PER_SHARD
             ? 1
             : (uint32_t)((target_count + WC_TARGETS_PER_SHARD - 1) / WC_TARGETS_PER_SHARD);
}

const WcMember *
wc_ownership_find_owner (const WcMemberTable *table, uint32_t domain, uint32_t service, uint32_t shard)
{
  const WcMember *members;
  const WcMember *owner = NULL;
  uint64_t        key = hash_key (KEY_OWNER, domain, service, shard);
  uint64_t        best = 0;
  size_t          count;

  assert (table != NULL);

  members = wc_member_table_get_live (table, domain, &count);
  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = member_weight (members[i].id, key);

      /* Members are sorted by id, so that all instances choose the lowest id among equal weights. */
      if (owner && weight <= best)
        continue;
      owner = &members[i];
      best = weight;
    }
  return owner;
}

uint32_t
wc_ownership_get_worker (uint32_t service, uint32_t shard, uint32_t worker_count)
{
  assert (worker_count > 0);

  return (uint32_t)(hash_key (KEY_WORKER, 0, service, shard) % worker_count);
}

bool
wc_ownership_is_reader (const WcMemberTable *table, uint64_t self, uint32_t domain)
{
  const WcMember *members;
  uint64_t        key = hash_key (KEY_READER, domain, 0, 0);
  uint64_t        own = member_weight (self, key);
  size_t          count;
  size_t          higher_count = 0;
  bool            found = false;

  assert (table != NULL);

  members = wc_member_table_get_live (table, domain, &count);
  for (size_t i = 0; i < count; i++)
    {
      uint64_t weight = member_weight (members[i].id, key);

      if (members[i].id == self)
        found = true;
      else if (weight > own || (weight == own && members[i].id < self))
        higher_count++;
    }
  return found && higher_count < WC_READERS_PER_DOMAIN;
}

/* local functions */

static uint64_t
hash_key (uint64_t use, uint32_t domain, uint32_t service, uint32_t shard)
{
  return wc_mix64 (wc_mix64 ((uint64_t)domain << 32 | service) ^ (use << 32 | shard));
}

/* The hash need not be keyed: member ids are hashes of names that operators choose, not callers. */
static uint64_t
member_weight (uint64_t member, uint64_t key)
{
  return wc_mix64 (member ^ key);
}
