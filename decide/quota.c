/* An account's limit over all hosts. */
#include "quota.h"

#include <math.h>

#define FRESH_MS 450	    /* a report is new for this long */
#define HEARD_MS 700	    /* and of some use for this long */
#define OWN_MULTIPLE 2.5    /* of the equal share, while reports are recent */
#define OWN_SAVED_S 0.3	    /* of the own part that is saved up */
#define OWN_SLACK_SHARE 0.3 /* of the slack, over all hosts' own buckets */
#define SLACK_SHARE 0.3	    /* of the slack that the common bucket holds */
#define OVERSHOOT 1.02	  /* of the rate that is let through; 1.1 is allowed */
#define DEBT_SHARE 0.15	  /* of the common bucket, owed at a restart */
#define CALM_SHARE 0.7	  /* of the common bucket, left to a calm account */
#define SETTLE_MS 4000	  /* after a start, to hear of all other hosts */
#define PRESSED_SHARE 0.6 /* of the common bucket: less is left under load */
/* Of the common bucket: with more left, equal shares don't bind. What hosts
 * owe to each other, and what they spend until they hear that less is left,
 * has room in it. */
#define FREE_SHARE 0.6
#define RECENT_MS 1700.0 /* until a host's silence is noticed and told */
#define REACH_MIN 0.2	 /* so few are heard only while all start */
#define OWED_SHARE 0.25	 /* of the common bucket, over all hosts, untold */

unsigned quota_host_count(unsigned known, unsigned listed, clk_ms since_start)
{
	return since_start < SETTLE_MS ? MAX(known, listed) : known;
}

struct quota *quota_create(void)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->coverage = 1;
	quota->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return quota;
}

/* The most that the buckets hold. */
static double all_max(const struct quota *quota)
{
	return quota->burst + SLACK_SHARE * quota->slack;
}

/* How sure it is what the others have spent: 1 with a new report, 0 with an
 * old one, or none. */
static double certainty(const struct quota *quota, unsigned hosts, clk_ms now)
{
	double age = (double)(now - quota->last_report_at);

	if (hosts < 2 || !quota->last_report_at)
		return 0;
	return CLAMP(1 - (age - FRESH_MS) / (HEARD_MS - FRESH_MS), 0, 1);
}

/* This host's part of the limit. */
static double own_part(const struct quota *quota, unsigned hosts, clk_ms now)
{
	double multiple = 1 + (OWN_MULTIPLE - 1) * certainty(quota, hosts, now);

	return MIN(multiple / MAX(hosts, 1), 1);
}

/* The most that this host's own bucket holds: between reports, some requests
 * of any size; alone, its part of what may be saved up. */
static double own_max(const struct quota *quota, unsigned hosts, clk_ms now)
{
	double part = own_part(quota, hosts, now);
	double most = MAX(quota->rate * part * OWN_SAVED_S,
			  OWN_SLACK_SHARE * quota->slack / MAX(hosts, 1));

	if (certainty(quota, hosts, now) == 0)
		most = all_max(quota) * part;
	return MIN(most, all_max(quota));
}

static void fill(struct quota *quota, unsigned hosts, clk_ms now)
{
	double seconds = (double)(now - quota->refilled_at) / CLK_SECOND;
	double part = own_part(quota, hosts, now);

	quota->recent_spend *=
		exp(-(double)(now - quota->refilled_at) / RECENT_MS);

	quota->refilled_at = now;
	/* The rule's overshoot makes up for refusing others than the first. */
	quota->global_units =
		MIN(quota->global_units + seconds * quota->rate * OVERSHOOT,
		    all_max(quota));
	quota->local_units =
		MIN(quota->local_units + seconds * quota->rate * part,
		    own_max(quota, hosts, now));
}

void quota_set(struct quota *quota, double rate, double burst, double slack,
	       bool full, clk_ms now)
{
	bool first = quota->rate <= 0;

	if (!first && quota->rate == rate && quota->burst == burst)
		return;
	quota->rate = rate;
	quota->burst = burst;
	quota->slack = slack;
	if (first) {
		quota->global_units = all_max(quota) * (full ? 1 : -DEBT_SHARE);
		quota->set_at = now;
	}
	quota->global_units = MIN(quota->global_units, all_max(quota));
	quota->local_units = quota->global_units;
	quota->refilled_at = now;
}

void quota_on_below_limit(struct quota *quota, clk_ms now)
{
	double left = CALM_SHARE * all_max(quota) - quota->spent;

	if (quota->rate <= 0 || now - quota->set_at >= SETTLE_MS)
		return;
	quota->global_units = MAX(quota->global_units, left);
	quota->local_units = MAX(quota->local_units,
				 left); /* no more than the own part holds */
}

/* Those that are heard have spent units. */
static void all_spend(struct quota *quota, double units)
{
	quota->global_units -= units / quota->coverage;
	quota->recent_spend += units;
}

void quota_set_coverage(struct quota *quota, double reach, clk_ms now)
{
	double before = quota->coverage;

	quota->coverage = CLAMP(reach, REACH_MIN, 1);
	if (quota->rate <= 0 || quota->coverage >= before)
		return;
	quota->recent_spend *=
		exp(-(double)(now - quota->refilled_at) / RECENT_MS);
	quota->global_units -=
		quota->recent_spend * (1 / quota->coverage - 1 / before);
}

bool quota_take(struct quota *quota, double units, unsigned hosts, clk_ms now,
		clk_ms *come_back)
{
	double part;
	double need;
	double need_own;
	double lacking;

	if (quota->rate <= 0)
		return true;
	fill(quota, hosts, now);
	if (certainty(quota, hosts, now) > 0 &&
	    !quota_report_due(quota, hosts) &&
	    quota->global_units - units >= FREE_SHARE * all_max(quota)) {
		all_spend(quota, units);
		quota->spent += units;
		return true;
	}
	part = own_part(quota, hosts, now);
	/* A request larger than a bucket passes when the bucket is full. */
	need = MIN(units, all_max(quota));
	need_own = MIN(units, own_max(quota, hosts, now));
	if (quota->global_units >= need && quota->local_units >= need_own) {
		all_spend(quota, units);
		quota->local_units -= units;
		quota->spent += units;
		return true;
	}
	lacking = MAX((need - quota->global_units) / quota->rate,
		      (need_own - quota->local_units) / (quota->rate * part));
	*come_back = (clk_ms)(lacking * CLK_SECOND) + 1;
	return false;
}

void quota_refund(struct quota *quota, double units)
{
	all_spend(quota, -units);
	quota->local_units += units;
	quota->spent -= units;
}

bool quota_report_due(const struct quota *quota, unsigned hosts)
{
	return quota->rate > 0 &&
	       quota->spent - quota->reported >
		       OWED_SHARE * all_max(quota) / MAX(hosts, 1);
}

void quota_on_report_sent(struct quota *quota)
{
	quota->reported = quota->spent;
}

void quota_on_report(struct quota *quota, const char *process, double spent,
		     clk_ms gap_max, unsigned hosts, clk_ms now)
{
	struct quota_peer *other = g_hash_table_lookup(quota->peers, process);

	if (!other) {
		/* What it spent before it was known here is in the past,
		 * unless this host itself is new: then it may be what has been
		 * saved up since. */
		if (now - quota->set_at < SETTLE_MS)
			quota->global_units -=
				MIN(spent, MAX(quota->global_units, 0));
		other = g_new(struct quota_peer, 1);
		*other = (struct quota_peer){ .spent = spent };
		g_hash_table_insert(quota->peers, g_strdup(process), other);
	} else if (now - other->reported_at > gap_max) {
		other->spent = spent;
	}
	other->reported_at = now;
	fill(quota, hosts, now);
	all_spend(quota, spent - other->spent);
	other->spent = spent;
	quota->last_report_at = now;
}

double quota_remaining(struct quota *quota, unsigned hosts, clk_ms now)
{
	fill(quota, hosts, now);
	return quota->global_units;
}

void quota_on_remaining(struct quota *quota, double left, clk_ms now)
{
	double untold = (quota->spent - quota->reported) / quota->coverage;

	quota->global_units = MIN(left - untold, all_max(quota));
	quota->last_report_at = now;
}

bool quota_near_limit(const struct quota *quota)
{
	return quota->rate > 0 &&
	       quota->global_units < PRESSED_SHARE * all_max(quota);
}
