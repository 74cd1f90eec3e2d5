/* Runs a suite of the check library and prints a summary. */
#ifndef TESTS_RUN_H
#define TESTS_RUN_H

#include <check.h>

/* Runs and frees a suite and prints "<name>: N passed, N failed". Returns the
 * exit status of the process. */
int run_suite(Suite *suite, const char *name);

#endif
