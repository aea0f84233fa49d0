#ifndef WIGEONCART_ADDRESS_H
#define WIGEONCART_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  WC_ADDRESS_TEXT_BYTES = 64
};

/**
 * struct WcAddress - IP address and port, independent of the socket API.
 * @ip: network byte order; the first 4 bytes for IPv4, 16 for IPv6.
 * @family: 4, 6, or 0 for no address.
 * @port: host byte order.
 */
typedef struct
{
  uint8_t  ip[16];
  uint8_t  family;
  uint16_t port;
} WcAddress;

/** wc_address_parse() - parse "127.0.0.1:80" or "[::1]:80". Return: false when malformed. */
bool wc_address_parse (const char *text, WcAddress *address);

/** wc_address_format() - format an address as text, "-" when it has no family. Return: @text. */
const char *wc_address_format (const WcAddress *address, char text[WC_ADDRESS_TEXT_BYTES]);

/** wc_address_equal() - whether family, port and IP (16 bytes for IPv6, otherwise 4) are equal. */
bool wc_address_equal (const WcAddress *a, const WcAddress *b);

#endif
