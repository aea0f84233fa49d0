#include <wigeoncart/address.h>

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
wc_address_parse (const char *text, WcAddress *address)
{
  char          ip[WC_ADDRESS_TEXT_BYTES];
  const char   *colon;
  char         *end;
  unsigned long port;
  size_t        length;

  assert (text != NULL);
  assert (address != NULL);

  colon = strrchr (text, ':');
  if (!colon || colon == text)
    return false;
  length = (size_t)(colon - text);
  if (length >= sizeof ip || colon[1] < '0' || colon[1] > '9')
    return false;
  port = strtoul (colon + 1, &end, 10);
  if (*end != '\0' || port > UINT16_MAX)
    return false;

  memset (address, 0, sizeof *address);
  address->port = (uint16_t)port;
  if (text[0] == '[' && text[length - 1] == ']' && length > 2)
    {
      memcpy (ip, text + 1, length - 2);
      ip[length - 2] = '\0';
      address->family = 6;
      return inet_pton (AF_INET6, ip, address->ip) == 1;
    }
  memcpy (ip, text, length);
  ip[length] = '\0';
  address->family = 4;
  return inet_pton (AF_INET, ip, address->ip) == 1;
}

const char *
wc_address_format (const WcAddress *address, char text[WC_ADDRESS_TEXT_BYTES])
{
  char ip[INET6_ADDRSTRLEN];

  assert (address != NULL);

  if (address->family == 0)
    snprintf (text, WC_ADDRESS_TEXT_BYTES, "-");
  else if (inet_ntop (address->family == 6 ? AF_INET6 : AF_INET, address->ip, ip, sizeof ip))
    snprintf (text, WC_ADDRESS_TEXT_BYTES, address->family == 6 ? "[%s]:%u" : "%s:%u", ip, address->port);
  return text;
}

bool
wc_address_equal (const WcAddress *a, const WcAddress *b)
{
  assert (a != NULL);
  assert (b != NULL);

  return a->family == b->family && a->port == b->port && memcmp (a->ip, b->ip, a->family == 6 ? 16 : 4) == 0;
}
