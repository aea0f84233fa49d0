#ifndef WC_CLI_COMMAND_H
#define WC_CLI_COMMAND_H

#define WC_VERSION "0.1.0"

/** enum WcExit - exit status of every command. */
typedef enum
{
  /* Success. */
  WC_EXIT_OK = 0,
  /* The command ran with a negative result, such as a missed target, a rejected request or a file that "check" found to
   * be invalid. */
  WC_EXIT_FAILED = 1,
  /* Wrong arguments, or files that the command needs and cannot read or use. */
  WC_EXIT_USAGE = 2,
  /* Failure of the environment, such as an address in use or an unreachable peer. */
  WC_EXIT_ENVIRONMENT = 3
} WcExit;

/**
 * struct WcCommand - a command of the binary.
 * @run: as main(), with the name of the command as the first argument; returns a WcExit.
 */
typedef struct
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
} WcCommand;

extern const WcCommand WC_COMMAND_SERVE;
extern const WcCommand WC_COMMAND_CHECK;
extern const WcCommand WC_COMMAND_EXPORT;
extern const WcCommand WC_COMMAND_EMULATE;
extern const WcCommand WC_COMMAND_CALL;
extern const WcCommand WC_COMMAND_SLOPES;
extern const WcCommand WC_COMMAND_SPEED;
extern const WcCommand WC_COMMAND_STATUS;
extern const WcCommand WC_COMMAND_TIMELINE;
extern const WcCommand WC_COMMAND_EXPLAIN;
extern const WcCommand WC_COMMAND_BENCH;
extern const WcCommand WC_COMMAND_BENCH_FLOWS;

#endif
