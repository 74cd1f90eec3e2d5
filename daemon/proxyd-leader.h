/* State of the singleton duties: usage reports and orders of workers. */
#ifndef DAEMON_PROXYD_LEADER_H
#define DAEMON_PROXYD_LEADER_H

#include "../decide/scale.h"
#include "proxyd.h"

struct leader {
	GHashTable *pools; /* name -> struct pool_scaling */
	clk_ms next_observe;
	clk_ms next_scale;
	int64_t reported_window; /* newest window that was reported */
	bool report_pending;
	int64_t report_window; /* of the pending report */
	char *report_counts;   /* of that window, a JSON object */
	clk_ms report_retry_at;
	struct kv_lease duty_lease;  /* of the leader's key */
	struct kv_lease usage_lease; /* of the windows' keys */
	clk_ms usage_lease_until;    /* when to replace that lease */
	clk_ms last_follower_at;     /* when this host was last a follower */
	bool was_acting;
};

/* This host as the leader, for calls to the platform. */
struct cloud_leader leader_self(struct proxyd *proxyd);
/* Discards the accepted orders: another host was the leader since, and what it
 * ordered is not known. */
void scale_reset_orders(struct proxyd *proxyd);

#endif
