#ifndef WC_CLI_OPTIONS_H
#define WC_CLI_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

#include <wigeoncart/address.h>

/**
 * wc_cli_parse() - parse the options of a command; prints --help and --version and what is wrong.
 * @entries: ended by an entry without a name; --version is added.
 *
 * Return: -1 to go on, or the exit status of the command.
 */
int wc_cli_parse (const char *command, const char *summary, const GOptionEntry *entries, int argc, char **argv);

/** wc_cli_address() - parse the address of an option; prints what is wrong. NULL gives no address (family 0). */
bool wc_cli_address (const char *option, const char *text, WcAddress *address);

/** wc_cli_error() - print "wigeoncart COMMAND: message" to stderr and return @status. */
int wc_cli_error (int status, const char *command, const char *format, ...) __attribute__ ((format (printf, 3, 4)));

#endif
