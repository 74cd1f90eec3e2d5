/* State of the singleton duties: usage reports and orders of workers. */
#ifndef DAEMON_PROXYD_LEADER_H
#define DAEMON_PROXYD_LEADER_H

#include "../decide/scale.h"
#include "../decide/seal.h"
#include "proxyd.h"

struct leader {
	/* Orders (proxyd-scale.c). */
	GHashTable *pools; /* name -> struct pool_scaling */
	clk_ms next_observe;
	clk_ms next_scale;

	/* Leadership (proxyd-leader.c). */
	int64_t acting_token; /* under which this host acts; 0: it does not */
	unsigned lease_calls; /* for the leader's key, that are pending */
	struct kv_lease duty_lease; /* of that key */
	int64_t read_era; /* of the store, when all items were last read */
	/* The last key of another leader that was read, and its revision
	 * without an era. */
	GBytes *former_key;
	int64_t former_revision;
	clk_ms last_follower_at; /* when this host was last a follower */

	/* Usage reports (proxyd-usage.c). */
	int64_t reported_window; /* newest window that was reported */
	bool report_pending;
	int64_t report_window; /* of the pending report */
	char *report_counts;   /* of that window, a JSON object */
	clk_ms report_read_at; /* when its seal is read again; 0: not due */
	clk_ms report_retry_at;
	struct kv_lease usage_lease; /* of the windows' keys */
	clk_ms usage_lease_until;    /* when to replace that lease */
	bool usage_lease_pending;
	struct seals seals;

	/* The record of the store's era, in proxyd-usage.c too. */
	int64_t recorded_era; /* of the record in the store; -1: none */
	bool record_pending; /* it, or a seal that it needs, is being written */
	int64_t record_era;  /* of the record being written */
	int64_t record_from; /* its first window */
	int64_t reseal_window; /* its seal is being written again */
	int64_t resealed;      /* the newest such window of this era */
};

/* This host as the leader, for calls to the platform. */
struct cloud_leader leader_self(struct proxyd *proxyd);
/* Whether this host may make calls to the platform now: not while calls under a
 * former fencing token are pending. */
bool leader_acts(const struct proxyd *proxyd);

/* proxyd-usage.c: usage reports */
void usage_start(struct proxyd *proxyd);
/* Makes the next call for the reports, as the leader. */
void usage_run(struct proxyd *proxyd);
/* An item under OWN_PREFIX has changed. */
void usage_on_item(struct proxyd *proxyd, const struct store_item *item);
/* The store begins an era; restored: from an older copy. */
void usage_on_era(struct proxyd *proxyd, bool restored);
/* Whether a leader of the store's present era has recorded which windows may
 * have been reported before. */
bool usage_is_recorded(const struct proxyd *proxyd);

/* Discards the accepted orders: another host was the leader since, and what it
 * ordered is not known. */
void scale_reset_orders(struct proxyd *proxyd);

#endif
