#ifndef WC_CLI_HTTP_GET_H
#define WC_CLI_HTTP_GET_H

/**
 * wc_http_get() - send an HTTP GET request to an operators' port, with a timeout of 3 s.
 * @address: IP address and port.
 * @error: set to a statically allocated message if the request fails or its status is not 200.
 *
 * Return: body of the answer, freed with g_free(), or NULL.
 */
char *wc_http_get (const char *address, const char *path, const char **error);

#endif
