/*
 * What a process can do, by its build: hosts of several builds run side by side
 * while they are replaced.
 *
 * Builds have numbers, and a build can do all that the ones before it can. Each
 * number after the first has a mark, "+" and the number. The incarnation of a
 * process ends in the marks of its build and of all before it, the newest
 * first: "h1~0123abcd+3+2" is of build 3.
 *
 * A build that sends something new to other hosts, or writes a new kind of
 * value to the store, has a new row in build.c. Whoever uses a feature asks
 * whether the other host has it.
 */
#ifndef DECIDE_BUILD_H
#define DECIDE_BUILD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "rid.h"

#define BUILD_FIRST 1 /* it has no mark */

enum build_feature {
	BUILD_GROUPS,	/* takes RW_GROUP: reports go to one relay */
	BUILD_PACKED,	/* takes RW_SYNC_PACKED */
	BUILD_PERMITS,	/* keeps to limits of workers: RW_PERMIT_* */
	BUILD_ORIGINS,	/* keeps the versions of streams: RW_ORIGIN_* */
	BUILD_ERAS,	/* reads revisions with an era of the store */
	BUILD_FORWARDS, /* takes requests that other hosts forward */
	BUILD_WRITERS,	/* writes streams of all hosts to the store */
	BUILD_FULL,	/* takes RW_FULL */
	/* takes RW_LINKS_*, and the failed workers of a forwarded request */
	BUILD_LINKS,
	BUILD_MARKS,	/* reads marks of processes in the place of versions */
	BUILD_SPEEDS,	/* takes RW_SPEEDS */
	BUILD_BALANCES, /* reads what remained for accounts near their limits */
	BUILD_ROLLOUT,	/* takes RW_ROLLOUT */
	BUILD_STORED_ERAS, /* reads records that name their era */
	BUILD_FEATURES,
};

/* Returns the number of this build. */
unsigned build_own(void);
/* Returns the number of a process's build: greater than build_own if it is a
 * later one, BUILD_FIRST if the marks are none that a build has. */
unsigned build_number(const char *incarnation);
/* Whether a process has a feature. */
bool build_has(const char *incarnation, enum build_feature feature);
/* Returns the names of the features that this build has and build number lacks,
 * separated by commas; "none" if it lacks none. The caller frees the text. */
char *build_lacks(unsigned number);
/* Writes the incarnation of a process of this build to buf, which has
 * RID_INCARNATION_MAX + 1 bytes; of a long host name it has the start. */
void build_incarnation(char *buf, const char *host, unsigned random);

#endif
