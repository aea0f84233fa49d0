#ifndef WC_CLI_CMD_EMULATE_H
#define WC_CLI_CMD_EMULATE_H

/** wc_cmd_emulate_run() - `wigeoncart emulate platform|targets|fabric`. */
int wc_cmd_emulate_run (int argc, char **argv);

#endif
