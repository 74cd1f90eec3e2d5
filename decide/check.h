/* Invariants that are checked in every build. */
#ifndef DECIDE_CHECK_H
#define DECIDE_CHECK_H

#include <stdio.h>
#include <stdlib.h>

/* Prints the rule and aborts if an invariant does not hold. */
#define dec_assert(cond, rule)                                                 \
	do {                                                                   \
		if (!(cond)) {                                                 \
			fprintf(stderr, "%s:%d: invariant broken: %s\n",       \
				__FILE__, __LINE__, rule);                     \
			abort();                                               \
		}                                                              \
	} while (0)

#endif
