#ifndef WC_EDGE_ULFIUS_LIBRARY_H
#define WC_EDGE_ULFIUS_LIBRARY_H

#include <ulfius.h>

#include <wigeoncart/status.h>

/* Functions of libulfius that wc_ulfius_load() resolves. */
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

/** struct WcUlfius - pointers to the functions of libulfius, under the names of the functions. */
typedef struct
{
  WC_ULFIUS_FUNCTIONS (WC_ULFIUS_FUNCTION_POINTER)
} WcUlfius;

/**
 * wc_ulfius_load() - load libulfius on first use.
 *
 * The library depends on 40 others (TLS, LDAP, Kerberos). An instance that only forwards packets needs none of them;
 * linking libulfius would cost memory and time to load at every start of such an instance.
 *
 * Return: the functions, or NULL with @error set. Not thread-safe; must be called before other threads start.
 */
const WcUlfius *wc_ulfius_load (WcError *error);

#endif
