#include "fuzz/fleet.h"

#include <sodium.h>
#include <string.h>

enum
{
  READ_US = 3000,
  TIMEOUT_US = 1000 * 1000,
  /* Size of an entry in the instance list. */
  LIST_ENTRY_BYTES = 120
};

const char *const FLEET_SERVICE_NAMES[FLEET_SERVICES] = { "catalogue", "order-desk", "pattern-delivery" };
const char *const FLEET_DOMAIN_NAMES[FLEET_DOMAINS] = { "serra-1", "serra-2", "serra-3" };

static const char *const PART_KEYS[FLEET_PARTS] = { "services", "hosts", "keys", "rules" };

static char                *format_services (void);
static char                *format_hosts (const Fleet *fleet, bool malformed);
static char                *format_keys (const Fleet *fleet);
static char                *format_rules (const Fleet *fleet);
static char                *format_head (uint64_t revision, char *const *parts);
static const FleetRevision *get_visible_revision (const Fleet *fleet, uint64_t *version);
static void                 answer_head (Fleet *fleet, FleetInstance *instance, bool reachable);
static void                 answer_part (Fleet *fleet, FleetInstance *instance, bool reachable);
static void                 answer_list (Fleet *fleet, FleetInstance *instance, bool reachable);

/* Publishes the operators' register under the revision number fleet->revision. */
void
fleet_publish (Fleet *fleet, bool malformed)
{
  FleetRevision *revision = g_new0 (FleetRevision, 1);

  if (fleet->revision == 0)
    fleet->revision = 1;
  revision->parts[0] = format_services ();
  revision->parts[1] = format_hosts (fleet, malformed);
  revision->parts[2] = format_keys (fleet);
  revision->parts[3] = format_rules (fleet);
  revision->head = format_head (fleet->revision, revision->parts);
  g_ptr_array_add (fleet->revisions, revision);
  if (malformed)
    oracle_config_overwritten (fleet->oracle);
  else
    oracle_config_published (fleet->oracle, fleet->now_us, fleet->revision, fleet->leaving);
}

void
fleet_platform_step (Fleet *fleet, FleetInstance *instance)
{
  bool reachable = !fleet->platform_down && !fleet->partitioned[instance->domain][FLEET_PLATFORM];

  if (instance->head_pending)
    answer_head (fleet, instance, reachable);
  if (instance->part_key)
    answer_part (fleet, instance, reachable);
  if (instance->list_pending)
    answer_list (fleet, instance, reachable);
}

void
fleet_platform_set (Fleet *fleet, bool down, bool stale, uint32_t versions_behind)
{
  fleet->platform_down = down;
  if (!stale)
    fleet->stale_version = 0;
  else if (fleet->stale_version == 0)
    fleet->stale_version = fleet->revisions->len - MIN (versions_behind, fleet->revisions->len - 1);
  fleet_set_partition (fleet, 0, FLEET_PLATFORM, fleet->partitioned[0][FLEET_PLATFORM]);
}

void
fleet_revision_free (gpointer data)
{
  FleetRevision *revision = data;

  for (int i = 0; i < FLEET_PARTS; i++)
    g_free (revision->parts[i]);
  g_free (revision->head);
  g_free (revision);
}

/* local functions */

static char *
format_services (void)
{
  GString *text = g_string_new ("{\"domains\":[\"serra-1\",\"serra-2\",\"serra-3\"],\"services\":[");

  for (int i = 0; i < FLEET_SERVICES; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"%s\",\"affinity\":\"%s\",\"default_deadline_ms\":4000,"
                            "\"answer_max_bytes\":%d}",
                            i > 0 ? "," : "", FLEET_SERVICE_NAMES[i], i == FLEET_CATALOGUE ? "session" : "request",
                            i == FLEET_ORDERS ? 16384 : 65536);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static char *
format_hosts (const Fleet *fleet, bool malformed)
{
  GString *text = g_string_new ("{\"hosts\":[");

  for (uint32_t i = 0; i < FLEET_HOSTS; i++)
    {
      const FleetHost *host = &fleet->hosts[i];
      char             address[WC_ADDRESS_TEXT_BYTES];

      g_string_append_printf (text,
                              "%s{\"name\":\"host-%u\",\"domain\":\"%s\",\"targets\":[{\"service\":\"%s\","
                              "\"address\":\"%s\",\"slots\":2,\"max_connections\":8,\"cold_start_ms\":0}]}",
                              i > 0 ? "," : "", i, FLEET_DOMAIN_NAMES[host->domain],
                              malformed && i == 3 ? "unknown-service" : FLEET_SERVICE_NAMES[host->service],
                              wc_address_format (&host->address, address));
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static char *
format_keys (const Fleet *fleet)
{
  GString *text = g_string_new ("{\"keys\":[");

  for (uint32_t epoch = fleet->first_epoch; epoch <= fleet->last_epoch; epoch++)
    {
      uint8_t secret[WC_KEY_BYTES];
      char    encoded[sodium_base64_ENCODED_LEN (WC_KEY_BYTES, sodium_base64_VARIANT_ORIGINAL)];

      memset (secret, (int)epoch, sizeof secret);
      sodium_bin2base64 (encoded, sizeof encoded, secret, sizeof secret, sodium_base64_VARIANT_ORIGINAL);
      g_string_append_printf (text, "%s{\"epoch\":%u,\"secret\":\"%s\"}", epoch > fleet->first_epoch ? "," : "", epoch,
                              encoded);
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static char *
format_rules (const Fleet *fleet)
{
  GString    *text = g_string_new ("{\"customers\":[{\"name\":\"dealer-1\",\"worth\":5}],"
                                      "\"rules\":{\"separate\":[[\"order-desk\",\"pattern-delivery\"]],\"leaving\":[");
  const char *comma = "";

  for (uint32_t i = 0; i < FLEET_HOSTS; i++)
    if (fleet->leaving >> i & 1)
      {
        g_string_append_printf (text, "%s\"host-%u\"", comma, i);
        comma = ",";
      }
  g_string_append (text, "],\"weights\":{");
  for (uint32_t i = 0; i < FLEET_HOSTS; i++)
    g_string_append_printf (text, "%s\"host-%u\":%u", i > 0 ? "," : "", i, fleet->weights[i]);
  g_string_append (text, "}}}");
  return g_string_free (text, FALSE);
}

static char *
format_head (uint64_t revision, char *const *parts)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "{\"revision\":%" G_GUINT64_FORMAT ",\"parts\":[", revision);
  for (int i = 0; i < FLEET_PARTS; i++)
    {
      uint8_t digest[WC_DIGEST_BYTES];
      char    hex[2 * WC_DIGEST_BYTES + 1];

      crypto_generichash (digest, sizeof digest, (const uint8_t *)parts[i], strlen (parts[i]), NULL, 0);
      sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
      g_string_append_printf (text, "%s{\"key\":\"%s\",\"digest\":\"%s\"}", i > 0 ? "," : "", PART_KEYS[i], hex);
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static const FleetRevision *
get_visible_revision (const Fleet *fleet, uint64_t *version)
{
  *version = fleet->stale_version != 0 ? fleet->stale_version : fleet->revisions->len;
  return g_ptr_array_index (fleet->revisions, *version - 1);
}

static void
answer_head (Fleet *fleet, FleetInstance *instance, bool reachable)
{
  uint64_t             now_us = fleet_instance_now (instance);
  uint64_t             version;
  const FleetRevision *revision = get_visible_revision (fleet, &version);

  if (!reachable)
    {
      if (fleet->now_us < instance->head_issued_us + TIMEOUT_US)
        return;
      instance->head_pending = false;
      wc_control_head_failed (instance->control, now_us);
    }
  else if (fleet->now_us < instance->head_issued_us + READ_US)
    return;
  else if (version > instance->head_after_version)
    {
      instance->head_pending = false;
      wc_control_head_received (instance->control, now_us, version, revision->head, strlen (revision->head));
    }
  else if (fleet->now_us >= instance->head_deadline_us)
    {
      instance->head_pending = false;
      wc_control_head_unchanged (instance->control, now_us);
    }
}

static void
answer_part (Fleet *fleet, FleetInstance *instance, bool reachable)
{
  uint64_t             version;
  const FleetRevision *revision = get_visible_revision (fleet, &version);
  const char          *key = instance->part_key;

  if (fleet->now_us < instance->part_issued_us + (reachable ? READ_US : TIMEOUT_US))
    return;
  instance->part_key = NULL;
  for (int i = 0; reachable && i < FLEET_PARTS; i++)
    if (strcmp (key, PART_KEYS[i]) == 0)
      {
        wc_control_part_received (instance->control, fleet_instance_now (instance), revision->parts[i],
                                  strlen (revision->parts[i]));
        return;
      }
  wc_control_part_failed (instance->control, fleet_instance_now (instance));
}

static void
answer_list (Fleet *fleet, FleetInstance *instance, bool reachable)
{
  WcMember members[FLEET_INSTANCES];
  size_t   count = 0;

  if (fleet->now_us < instance->list_issued_us + (reachable ? READ_US : TIMEOUT_US))
    return;
  instance->list_pending = false;
  if (!reachable)
    {
      wc_control_list_failed (instance->control, fleet_instance_now (instance));
      return;
    }
  for (uint32_t i = 0; i < FLEET_INSTANCES; i++)
    {
      const FleetInstance *listed = &fleet->instances[i];
      bool                 lags = fleet->now_us < listed->list_changed_us;

      if (!listed->fleet || (lags ? !listed->was_listed : !listed->listed))
        continue;
      members[count++] = (WcMember){
        .id = listed->id,
        .domain = wc_name_id32 (FLEET_DOMAIN_NAMES[listed->domain]),
        .workers = 1,
        .state = listed->listed_leaving && !lags ? WC_MEMBER_LEAVING : WC_MEMBER_LISTED,
        .address = listed->address,
      };
    }
  wc_control_list_received (instance->control, fleet_instance_now (instance), members, count, count * LIST_ENTRY_BYTES);
}
