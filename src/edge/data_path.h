#ifndef WC_EDGE_DATA_PATH_H
#define WC_EDGE_DATA_PATH_H

#include <wigeoncart/status.h>

/** enum WcDataPath - what an instance carries. */
typedef enum
{
  /* Requests in datagrams, which end at the instance and go on to targets over HTTP. */
  WC_DATA_PATH_DATAGRAMS = 0,
  /* Packets of flows, which are forwarded to hosts unchanged. */
  WC_DATA_PATH_PACKETS,
  /* The settings do not tell. */
  WC_DATA_PATH_UNKNOWN
} WcDataPath;

/** wc_data_path_load() - data path of a settings file, datagrams unless it says otherwise. Sets @error when unknown. */
WcDataPath wc_data_path_load (const char *path, WcError *error);

#endif
