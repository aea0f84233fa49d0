#include "edge/data_path.h"

#include <string.h>

#include "core/json_doc.h"

static const char *const DATA_PATH_STRINGS[] = { "datagrams", "packets" };

WcDataPath
wc_data_path_load (const char *path, WcError *error)
{
  WcJsonDoc  *doc = wc_json_doc_load (path, error);
  WcDataPath  data_path = WC_DATA_PATH_UNKNOWN;
  const char *text;

  if (!doc)
    return data_path;
  text = wc_json_get_string (wc_json_doc_get_root (doc), "data_path", DATA_PATH_STRINGS[WC_DATA_PATH_DATAGRAMS]);
  for (int i = 0; i < WC_DATA_PATH_UNKNOWN; i++)
    if (strcmp (text, DATA_PATH_STRINGS[i]) == 0)
      data_path = (WcDataPath)i;
  if (data_path == WC_DATA_PATH_UNKNOWN)
    wc_error_set (error, WC_STATUS_INVALID, "%s: data_path: must be datagrams or packets", path);
  wc_json_doc_delete (doc);
  return data_path;
}
