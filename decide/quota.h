/*
 * Rate limit of an account across all hosts.
 *
 * Each host knows its own spending and, from reports, that of the other
 * hosts. It refills one global token bucket and subtracts both from it, so an
 * account can spend its whole limit wherever its callers connect. Near the
 * limit a host spends at most a multiple of its equal share between reports,
 * which bounds the total overshoot; a host that receives no reports keeps to
 * its equal share.
 *
 * While the global bucket is well filled, equal shares do not apply: with many
 * hosts, one large request exceeds a host's share many times over. The bound
 * is then that a host which has spent more than a small part of the global
 * bucket reports at once, and keeps to its share until it has done so.
 *
 * The load pattern: requests of very different sizes, the largest of which are
 * a large part of the bucket, from an account that sends several times its
 * limit. If a request needed the bucket to hold all of its units, small ones
 * would take each unit before there are enough for a large one. Below a level
 * of the bucket, which is lower for more urgent requests, they are therefore
 * admitted with a probability that depends on the level alone.
 */
#ifndef DECIDE_QUOTA_H
#define DECIDE_QUOTA_H

#include <glib.h>
#include <stdbool.h>

#include "clk.h"

#define QUOTA_RANKS 3 /* 0: the most urgent; lower ones count as the last */

struct quota {
	double rate;	     /* units per second over all hosts; 0: no limit */
	double burst;	     /* capacity of the bucket in units, all hosts */
	double slack;	     /* units by which all hosts may pass the limit */
	double global_units; /* remaining in the bucket of all hosts */
	double local_units;  /* remaining of this host's share */
	double plain_units;  /* remaining for calls to plain services */
	double coverage;     /* share of the hosts that report, 0 to 1 */
	double recent_spend; /* of the reporting hosts, exponentially decayed */
	double own_rate;     /* units per second spent by this host, likewise */
	double mean_units;   /* of the requests of late */
	bool restarted;	     /* the limit was in force before this start */
	bool unsettled;	     /* what all hosts spend is not known now */
	double units_before; /* global_units when that began */
	clk_ms refilled_at;
	clk_ms near_limit_at;  /* set by the user of this module: when the
				  account was near its limit; 0: never */
	clk_ms set_at;	       /* when the limit was first set */
	double spent;	       /* units spent by this host in total */
	double reported;       /* of these, reported to the other hosts */
	double children_spent; /* by hosts that report to this relay */
	double group_reported; /* of spent and children_spent, to relays */
	GHashTable *peers;     /* process -> struct quota_peer */
	GHashTable *groups;    /* the same, of the groups of relays */
	clk_ms last_report_at; /* when a report last arrived; 0: never */
	clk_ms asked_at[QUOTA_RANKS]; /* when this host last got a request of
				       * the rank; 0: never */
};

/* Total spending of another host or of a group. */
struct quota_peer {
	double spent;
	clk_ms reported_at; /* time of its last report */
};

/* A request that is to be admitted. */
struct quota_request {
	double units;
	/* Of its route, 0: the most urgent. QUOTA_PLAIN: a call to a plain
	 * service, which costs few units and is not held back for others. */
	int rank;
	bool takes_up;	  /* it takes up a stream that has begun */
	unsigned hosts;	  /* how many share the limit */
	double chance;	  /* random, at least 0 and below 1 */
	clk_ms time_left; /* of its client */
};

#define QUOTA_PLAIN (-1)

/* What decided that a request is refused. */
enum quota_why {
	QUOTA_ALL_HOSTS, /* the bucket of all hosts is used up */
	QUOTA_RANK,	 /* it is reserved for more urgent requests */
	QUOTA_OWN_SHARE, /* this host's share is used up */
};

struct quota_refusal {
	enum quota_why why;
	clk_ms retry_after; /* ms until there is room for such a request, at
			     * most a third of the time that its client has */
};

struct quota *quota_create(void);
/* How long a written balance may stay as it is while its account is near its
 * limit. */
#define QUOTA_BALANCE_MS 2000

/* Sets the limit. full: a new limit starts with a full bucket; a host that has
 * restarted can't know what remains, and starts with a small debt. */
void quota_set(struct quota *quota, double rate, double burst, double slack,
	       bool full, clk_ms now);
/* Returns how many hosts share limits: the known ones or, for some time after
 * a start, those listed when this host started, if they are more. Hosts that
 * start together and do not know each other yet must not each take the whole
 * limit. */
unsigned quota_host_count(unsigned known, unsigned listed, clk_ms since_start);
/* Spends the units of a request. If it is refused, returns false and says why
 * in refusal. The decision doesn't depend on the size of the request: buckets
 * that hold something admit it, and owe what they lack. */
bool quota_take(struct quota *quota, const struct quota_request *request,
		clk_ms now, struct quota_refusal *refusal);
/* Returns the name of what decided, for logs. */
const char *quota_why_name(enum quota_why why);
/* Sets the coverage. The hosts that do not report are assumed to spend at
 * the same rate, also since their last reports: they may be cut off by a
 * network partition and still be spending. */
void quota_set_coverage(struct quota *quota, double coverage, clk_ms now);
/* Sets whether the hosts that sum up spending are settled. While they change,
 * what hosts spend is counted twice or not at all: a host then keeps to its
 * equal share of an account near its limit, and gains nothing of the global
 * bucket. */
void quota_set_settled(struct quota *quota, bool settled);
/* A host that has just started learns that the account was far below its limit
 * before all hosts were lost: most of the bucket remains. */
void quota_on_below_limit(struct quota *quota, clk_ms now);
/* A host that has just started learns what remained for an account near its
 * limit before all hosts were lost: units, as written elapsed ms ago by the
 * wall clock. */
void quota_on_balance(struct quota *quota, double units, clk_ms elapsed,
		      clk_ms now);
/* Gives the units of a request that was not run back to the buckets. */
void quota_refund(struct quota *quota, double units);
/* Returns what remains of the global bucket: an aggregating host sends this to
 * the others. */
double quota_remaining(struct quota *quota, unsigned hosts, clk_ms now);
/* Replaces the global bucket by what an aggregating host sent, less this
 * host's unreported spending. */
void quota_on_remaining(struct quota *quota, double remaining, clk_ms now);
/* Whether the account is near its limit, so that reports are to be sent more
 * often. */
bool quota_near_limit(const struct quota *quota);
/* Whether this host has spent so much since its last report that it has to
 * report at once. */
bool quota_report_due(const struct quota *quota, unsigned hosts);
/* This host's report was sent to the others. */
void quota_on_report_sent(struct quota *quota);
/* Another host reports its total spending. Spending in a gap between two
 * reports of more than gap_max ms is not subtracted: it was in the aggregated
 * reports that this host received meanwhile. Returns the units that are new. */
double quota_on_report(struct quota *quota, const char *process, double spent,
		       clk_ms gap_max, unsigned hosts, clk_ms now);
/* The same for a relay that reports its group's. A relay that becomes a leaf,
 * or the other way round, goes on with another total, which is no refund. */
void quota_on_group(struct quota *quota, const char *process, double spent,
		    clk_ms gap_max, unsigned hosts, clk_ms now);

/* Whether a reported total can be true. It may be below 0: units of requests
 * that were not run are given back, also those spent before the first report
 * that this host received. */
bool quota_spent_is_valid(double spent);
/* A relay adds what a host that reports to it has spent to its group's total.
 */
void quota_add_to_group(struct quota *quota, double units);
/* Returns the total spending of a relay and the hosts that report to it. */
double quota_group_spent(const struct quota *quota);
/* Whether a group has spent so much since the relay's last report to the other
 * relays that it has to report at once; relays: their number. */
bool quota_group_due(const struct quota *quota, unsigned relays);
void quota_on_group_sent(struct quota *quota);

#endif
