#include "forward/flow_table.h"

#include <assert.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "core/mix.h"

enum
{
  /* Initial size of the table; it doubles when three quarters of the slots are in use. */
  INITIAL_SLOTS = 256
};

/* Open addressing with linear probing. A slot is in use when its route address is not 0, which no route has. */
struct WcFlowTable
{
  size_t  max_flows;
  size_t  count;
  size_t  slots;
  size_t  cursor;
  WcFlow *flows;
};

static bool   is_used (const WcFlow *flow);
static size_t home_slot (const WcFlowTable *table, const WcFlowKey *key);
static size_t find_free_slot (const WcFlowTable *table, const WcFlowKey *key);
static void   grow (WcFlowTable *table);
static bool   visit_slot (WcFlowTable *table, size_t slot, WcFlowVisit visit, void *user_data);

WcFlowTable *
wc_flow_table_new (size_t max_flows)
{
  WcFlowTable *table = g_new0 (WcFlowTable, 1);

  assert (max_flows > 0);

  table->max_flows = max_flows;
  table->slots = INITIAL_SLOTS;
  table->flows = g_new0 (WcFlow, table->slots);
  return table;
}

void
wc_flow_table_delete (WcFlowTable *table)
{
  if (!table)
    return;
  g_free (table->flows);
  g_free (table);
}

size_t
wc_flow_table_get_count (const WcFlowTable *table)
{
  return table->count;
}

WcFlow *
wc_flow_table_find (const WcFlowTable *table, const WcFlowKey *key)
{
  assert (table != NULL && key != NULL);

  for (size_t slot = home_slot (table, key); is_used (&table->flows[slot]); slot = (slot + 1) & (table->slots - 1))
    if (wc_flow_key_equal (&table->flows[slot].key, key))
      return &table->flows[slot];
  return NULL;
}

WcFlow *
wc_flow_table_add (WcFlowTable *table, const WcFlowKey *key)
{
  WcFlow *flow;

  assert (table != NULL && key != NULL);

  if (table->count >= table->max_flows || key->route_ip == 0)
    return NULL;
  if (table->count >= table->slots / 4 * 3)
    grow (table);
  flow = &table->flows[find_free_slot (table, key)];
  flow->key = *key;
  table->count++;
  return flow;
}

/* Shifts later flows of the same probe sequence back, so that no lookup ends early at the freed slot. */
void
wc_flow_table_remove (WcFlowTable *table, WcFlow *flow)
{
  size_t hole = (size_t)(flow - table->flows);
  size_t mask = table->slots - 1;

  assert (hole < table->slots && is_used (flow));

  for (size_t slot = (hole + 1) & mask; is_used (&table->flows[slot]); slot = (slot + 1) & mask)
    {
      size_t home = home_slot (table, &table->flows[slot].key);

      if (((slot - home) & mask) < ((slot - hole) & mask))
        continue;
      table->flows[hole] = table->flows[slot];
      hole = slot;
    }
  memset (&table->flows[hole], 0, sizeof table->flows[hole]);
  table->count--;
}

void
wc_flow_table_walk (WcFlowTable *table, size_t max_slots, WcFlowVisit visit, void *user_data)
{
  if (max_slots > table->slots)
    max_slots = table->slots;
  for (size_t i = 0; i < max_slots; i++)
    {
      table->cursor &= table->slots - 1;
      if (visit_slot (table, table->cursor, visit, user_data))
        table->cursor++;
    }
}

void
wc_flow_table_walk_all (WcFlowTable *table, WcFlowVisit visit, void *user_data)
{
  for (size_t slot = 0; slot < table->slots;)
    if (visit_slot (table, slot, visit, user_data))
      slot++;
}

bool
wc_flow_key_equal (const WcFlowKey *a, const WcFlowKey *b)
{
  return a->caller_ip == b->caller_ip && a->route_ip == b->route_ip && a->caller_port == b->caller_port &&
         a->route_port == b->route_port;
}

uint64_t
wc_flow_key_hash (const WcFlowKey *key)
{
  uint64_t ips = (uint64_t)key->caller_ip << 32 | key->route_ip;
  uint64_t ports = (uint64_t)key->caller_port << 16 | key->route_port;

  return wc_mix64 (wc_mix64 (ips) ^ ports);
}

/* local functions */

static bool
is_used (const WcFlow *flow)
{
  return flow->key.route_ip != 0;
}

static size_t
home_slot (const WcFlowTable *table, const WcFlowKey *key)
{
  return (size_t)wc_flow_key_hash (key) & (table->slots - 1);
}

static size_t
find_free_slot (const WcFlowTable *table, const WcFlowKey *key)
{
  size_t slot = home_slot (table, key);

  while (is_used (&table->flows[slot]))
    slot = (slot + 1) & (table->slots - 1);
  return slot;
}

static void
grow (WcFlowTable *table)
{
  WcFlow *old = table->flows;
  size_t  old_slots = table->slots;

  table->slots *= 2;
  table->flows = g_new0 (WcFlow, table->slots);
  for (size_t i = 0; i < old_slots; i++)
    if (is_used (&old[i]))
      table->flows[find_free_slot (table, &old[i].key)] = old[i];
  g_free (old);
}

/* Return: false when the flow was removed, so that its slot may now contain another flow. */
static bool
visit_slot (WcFlowTable *table, size_t slot, WcFlowVisit visit, void *user_data)
{
  WcFlow *flow = &table->flows[slot];

  if (!is_used (flow) || visit (user_data, flow))
    return true;
  wc_flow_table_remove (table, flow);
  return false;
}
