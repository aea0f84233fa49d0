#ifndef WC_CLI_CMD_SPEED_H
#define WC_CLI_CMD_SPEED_H

/** wc_cmd_speed_run() - `wigeoncart speed run|bare|memory`. */
int wc_cmd_speed_run (int argc, char **argv);

#endif
