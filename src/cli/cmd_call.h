#ifndef WC_CLI_CMD_CALL_H
#define WC_CLI_CMD_CALL_H

/** wc_cmd_call_run() - `wigeoncart call`: one request, order or stream, or a mixed load. */
int wc_cmd_call_run (int argc, char **argv);

#endif
