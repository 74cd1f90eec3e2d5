/*
 * Which host's aggregated reports a host accepts, where hosts are many and a
 * few of them, the relays, aggregate for the others. While the relays change,
 * a host may receive reports from two of them: these cover the same hosts, so
 * only one of them may count.
 */
#ifndef DECIDE_RELAY_H
#define DECIDE_RELAY_H

#include <stdbool.h>

#include "clk.h"
#include "rid.h"

/* The process whose reports are accepted; all zero at first. */
struct relay_source {
	char process[RID_INCARNATION_MAX + 1];
	clk_ms last_report_at;
};

/* Whether to accept a process's aggregated report: another process replaces
 * the current one only when that has sent nothing for some time. */
bool relay_accepts(struct relay_source *source, const char *process,
		   clk_ms now);

#endif
