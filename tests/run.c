/* Runs a suite of the check library. */
#include "run.h"

#include <stdio.h>
#include <stdlib.h>

int run_suite(Suite *suite, const char *name)
{
	SRunner *runner = srunner_create(suite);
	int failed;
	int total;

	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	total = srunner_ntests_run(runner);
	printf("%s: %d passed, %d failed\n", name, total - failed, failed);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
