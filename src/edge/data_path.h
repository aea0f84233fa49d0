#ifndef WC_EDGE_DATA_PATH_H
#define WC_EDGE_DATA_PATH_H

#include <wigeoncart/status.h>

/** enum WcDataPath - traffic that an instance handles. */
typedef enum
{
  /* Requests in UDP datagrams: the instance terminates them and sends them to targets over HTTP. */
  WC_DATA_PATH_DATAGRAMS = 0,
  /* Packets of flows: the instance forwards them to hosts without terminating the flow. */
  WC_DATA_PATH_PACKETS,
  /* The settings file cannot be read or names another data path. */
  WC_DATA_PATH_UNKNOWN
} WcDataPath;

/**
 * wc_data_path_load() - read the data path from a settings file; WC_DATA_PATH_DATAGRAMS when the file does not set it.
 *
 * Return: the data path, or WC_DATA_PATH_UNKNOWN with @error set.
 */
WcDataPath wc_data_path_load (const char *path, WcError *error);

#endif
