#include "cli/cli_options.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

bool
wc_cli_parse_address (const char *option, const char *text, WcAddress *address)
{
  memset (address, 0, sizeof *address);
  if (!text || wc_address_parse (text, address))
    return true;
  fprintf (stderr, "wigeoncart: --%s: '%s' is not an address such as 127.0.0.1:7000\n", option, text);
  return false;
}

int
wc_cli_error (int status, const char *command, const char *format, ...)
{
  va_list arguments;

  fprintf (stderr, "wigeoncart %s: ", command);
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
  return status;
}
