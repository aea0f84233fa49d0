#include "edge/fault_request.h"

#include <json-c/json.h>

bool
wc_fault_request_parse (const char *text, size_t size_bytes, GPtrArray *domains, bool *block_platform)
{
  struct json_tokener *tokener;
  struct json_object  *root;
  struct json_object  *list = NULL;
  struct json_object  *block = NULL;
  bool                 valid;

  if (!text || size_bytes == 0)
    return false;
  tokener = json_tokener_new ();
  root = json_tokener_parse_ex (tokener, text, (int)size_bytes);
  valid = json_object_is_type (root, json_type_object);
  if (valid && json_object_object_get_ex (root, "block_domains", &list))
    {
      valid = json_object_is_type (list, json_type_array);
      for (size_t i = 0; valid && i < json_object_array_length (list); i++)
        {
          struct json_object *name = json_object_array_get_idx (list, i);

          valid = json_object_is_type (name, json_type_string);
          if (valid)
            g_ptr_array_add (domains, g_strdup (json_object_get_string (name)));
        }
    }
  if (valid && json_object_object_get_ex (root, "block_platform", &block))
    {
      valid = json_object_is_type (block, json_type_boolean);
      *block_platform = json_object_get_boolean (block);
    }
  json_object_put (root);
  json_tokener_free (tokener);
  return valid;
}
