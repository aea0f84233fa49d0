#ifndef WC_CLI_SERVE_H
#define WC_CLI_SERVE_H

/** wc_serve_run() - run an instance until it is stopped. */
int wc_serve_run (int argc, char **argv);

#endif
