#ifndef WC_EDGE_ULFIUS_LIBRARY_H
#define WC_EDGE_ULFIUS_LIBRARY_H

#include <ulfius.h>

#include <wigeoncart/status.h>

/* The functions of libulfius that are in use. */
#define WC_ULFIUS_FUNCTIONS(X)                                                                                         \
  X (ulfius_init_instance)                                                                                             \
  X (ulfius_init_instance_ipv6)                                                                                        \
  X (ulfius_clean_instance)                                                                                            \
  X (ulfius_start_framework)                                                                                           \
  X (ulfius_stop_framework)                                                                                            \
  X (ulfius_add_endpoint_by_val)                                                                                       \
  X (ulfius_set_default_endpoint)                                                                                      \
  X (ulfius_set_string_body_response)                                                                                  \
  X (ulfius_init_request)                                                                                              \
  X (ulfius_clean_request)                                                                                             \
  X (ulfius_init_response)                                                                                             \
  X (ulfius_clean_response)                                                                                            \
  X (ulfius_send_http_request)                                                                                         \
  X (u_map_get)                                                                                                        \
  X (u_map_put)

#define WC_ULFIUS_FUNCTION_POINTER(name) __typeof__ (&(name)) name;

/** struct WcUlfius - the library's functions under their own names. */
typedef struct
{
  WC_ULFIUS_FUNCTIONS (WC_ULFIUS_FUNCTION_POINTER)
} WcUlfius;

/**
 * wc_ulfius_load() - load libulfius when it is first needed.
 *
 * The library brings 40 others with it (TLS, LDAP, Kerberos). An instance that only forwards packets needs none of
 * them, and its machine has to pay for their memory and for loading them at every start.
 *
 * Return: the functions, or NULL with @error set. Not thread-safe; to be called before threads start.
 */
const WcUlfius *wc_ulfius_load (WcError *error);

#endif
