/* Runs one suite of the check library and says how it ended. */
#ifndef TESTS_RUN_H
#define TESTS_RUN_H

#include <check.h>

/* Prints "<name>: N passed, N failed"; returns the exit status. */
int run_suite(Suite *suite, const char *name);

#endif
