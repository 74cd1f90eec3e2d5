/*
 * An account's limit over all hosts.
 *
 * Each host knows what it has let through itself and, from the others'
 * reports, what they have. It fills one bucket for all hosts and takes both
 * out of it, so an account can spend its whole limit wherever its callers
 * connect. Near the limit a host lets through a multiple of its equal share
 * between reports at most, which bounds what all hosts together can pass by;
 * a host that hears of no other keeps to its equal share.
 *
 * Where much is left for all, equal shares don't bind: with many hosts, one
 * large request is many times a host's share. The bound is then that a host
 * which has spent more than a small part of what all have reports at once,
 * and keeps to its share until it has.
 */
#ifndef DECIDE_QUOTA_H
#define DECIDE_QUOTA_H

#include <glib.h>
#include <stdbool.h>

#include "clk.h"

struct quota {
	double rate;	     /* units a second over all hosts; 0: no limit */
	double burst;	     /* units that may be saved up, over all hosts */
	double slack;	     /* units by which all hosts may pass the limit */
	double global_units; /* units left in the bucket of all hosts */
	double local_units;  /* units left of this host's share */
	double coverage;     /* part of the hosts that are heard, 0 to 1 */
	double recent_spend; /* units that those heard have spent, aged */
	clk_ms refilled_at;
	clk_ms near_limit_at; /* of the caller: when it was near its limit; 0:
			      never */
	clk_ms set_at;	      /* when the limit was set first */
	double spent;	      /* units that this host has let through, in all */
	double reported;      /* of these, the others know */
	GHashTable *peers;    /* process -> struct quota_peer */
	clk_ms last_report_at; /* when a report came last; 0: never */
};

/* What another host has let through, in all. */
struct quota_peer {
	double spent;
	clk_ms reported_at; /* of its last report */
};

struct quota *quota_create(void);
/* Sets the limit. full: a limit that is new begins with all that may be saved
 * up; a host that has restarted can't know what is left, and begins with
 * nothing. */
void quota_set(struct quota *quota, double rate, double burst, double slack,
	       bool full, clk_ms now);
/* How many hosts share limits: those known, or, for some time after a start,
 * those that were listed when this host started, if they are more. Hosts that
 * start at once, and know nobody yet, must not each take all for theirs. */
unsigned quota_host_count(unsigned known, unsigned listed, clk_ms since_start);
/* Takes units for a request; hosts: those that share the limit. If there are
 * too few, returns false and sets come_back to the ms until there are. */
bool quota_take(struct quota *quota, double units, unsigned hosts, clk_ms now,
		clk_ms *come_back);
/* Sets the part of the hosts that report. What the others spend is taken to be
 * like what these do, also since the last reports of the others: they may be
 * cut off, and be spending. */
void quota_set_coverage(struct quota *quota, double reach, clk_ms now);
/* A host that has just started learns that the account was far from its limit
 * before all hosts were lost: most of the bucket is left. */
void quota_on_below_limit(struct quota *quota, clk_ms now);
/* Gives back what a request that was not run had taken. */
void quota_refund(struct quota *quota, double units);
/* What is left of the bucket of all hosts: what a host that adds up for others
 * tells them. */
double quota_remaining(struct quota *quota, unsigned hosts, clk_ms now);
/* Takes what such a host tells in place of what is known here, less what this
 * host has spent untold. */
void quota_on_remaining(struct quota *quota, double left, clk_ms now);
/* Whether the account comes near its limit: reports are then to be sent more
 * often. */
bool quota_near_limit(const struct quota *quota);
/* Whether this host has spent so much since its last report that the others
 * have to know at once. */
bool quota_report_due(const struct quota *quota, unsigned hosts);
/* This host's report is sent to the others. */
void quota_on_report_sent(struct quota *quota);
/* Another host's report of all that it has let through. What it has spent in
 * a gap between two reports that is longer than gap_max, in ms, does not
 * count: it has told others, whose sums had it. */
void quota_on_report(struct quota *quota, const char *process, double spent,
		     clk_ms gap_max, unsigned hosts, clk_ms now);

#endif
