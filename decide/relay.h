/*
 * Which host's sums a host takes, where hosts are many and a few of them add
 * up for the others. While these change places, two of them may tell a host:
 * their sums mean the same, and only one of them counts.
 */
#ifndef DECIDE_RELAY_H
#define DECIDE_RELAY_H

#include <stdbool.h>

#include "clk.h"
#include "rid.h"

/* The host that is listened to; all zero at first. */
struct relay_source {
	char process[RID_INCARNATION_MAX + 1];
	clk_ms last_report_at;
};

/* Whether to take what a process tells: another one is taken only when the
 * one before has fallen silent. */
bool relay_accepts(struct relay_source *relay, const char *process, clk_ms now);

#endif
