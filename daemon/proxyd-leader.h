/* What the holder of the duties keeps. */
#ifndef DAEMON_PROXYD_LEADER_H
#define DAEMON_PROXYD_LEADER_H

#include "../decide/scale.h"
#include "proxyd.h"

struct leader {
	GHashTable *pools; /* pool -> struct scaled; proxyd-scale.c */
	clk_ms next_observe;
	clk_ms next_scale;
	int64_t reported_window; /* newest window whose report is done */
	bool report_pending;	 /* a report is under way */
	int64_t report_window;	 /* of the report under way */
	char *report_counts;	 /* its JSON object */
	clk_ms report_retry_at;
	int64_t usage_lease;	  /* of the windows' keys; 0: none */
	clk_ms usage_lease_until; /* windows are written under it */
	clk_ms last_relay_at; /* when it was last known to be among the first */
	bool was_acting;
};

/* What the holder before has ordered is not known. */
void scale_reset_orders(struct proxyd *proxyd);

#endif
