#include "cli/http_get.h"

#include <glib.h>

#include <wigeoncart/address.h>

#include "edge/ulfius_library.h"

enum
{
  LIMIT_S = 3
};

char *
wc_http_get (const char *address, const char *path, const char **error)
{
  const WcUlfius    *ulfius = wc_ulfius_load (NULL);
  struct _u_request  request;
  struct _u_response response;
  WcAddress          parsed;
  char              *body = NULL;

  if (!wc_address_parse (address, &parsed) || parsed.port == 0)
    {
      *error = "not an IP address with a port";
      return NULL;
    }
  if (!ulfius)
    {
      *error = "libulfius cannot be loaded";
      return NULL;
    }
  ulfius->ulfius_init_request (&request);
  ulfius->ulfius_init_response (&response);
  request.http_url = g_strdup_printf ("http://%s%s", address, path);
  request.http_verb = g_strdup ("GET");
  request.timeout = LIMIT_S;
  if (ulfius->ulfius_send_http_request (&request, &response) != U_OK)
    *error = "no answer";
  else if (response.status != 200)
    *error = "the answer is not 200";
  else
    body = g_strndup (response.binary_body, response.binary_body_length);
  ulfius->ulfius_clean_request (&request);
  ulfius->ulfius_clean_response (&response);
  return body;
}
