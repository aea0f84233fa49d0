#ifndef WC_CLI_HTTP_GET_H
#define WC_CLI_HTTP_GET_H

/**
 * wc_http_get() - GET from an operators' port, within a few seconds.
 * @address: IP address and port.
 * @error: set to a text with static storage when there is no 200 answer.
 *
 * Return: body to be freed with g_free(), or NULL.
 */
char *wc_http_get (const char *address, const char *path, const char **error);

#endif
