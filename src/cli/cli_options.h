#ifndef WC_CLI_OPTIONS_H
#define WC_CLI_OPTIONS_H

#include <stdbool.h>

#include <wigeoncart/address.h>

/** wc_cli_parse_address() - parse the address of an option; prints what is wrong. NULL gives no address (family 0). */
bool wc_cli_parse_address (const char *option, const char *text, WcAddress *address);

/** wc_cli_error() - print "wigeoncart COMMAND: message" to stderr and return @status. */
int wc_cli_error (int status, const char *command, const char *format, ...) __attribute__ ((format (printf, 3, 4)));

#endif
