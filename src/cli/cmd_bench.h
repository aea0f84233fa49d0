#ifndef WC_CLI_CMD_BENCH_H
#define WC_CLI_CMD_BENCH_H

/** wc_cmd_bench() - compare balancing policies in virtual time. Return: a WcExit. */
int wc_cmd_bench (int argc, char **argv);

#endif
