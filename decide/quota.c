/* An account's limit over all hosts. */
#include "quota.h"

#define HEARD_MS 3000	 /* a report is recent for this long */
#define OWN_MULTIPLE 2.5 /* of the equal share, while reports are recent */
#define OWN_SAVED_S 0.6	 /* of the own part that is saved up between reports */
#define SLACK_SHARE 0.5	 /* of the slack that is used */

struct quota *quota_create(void)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->others =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return quota;
}

/* The most that the buckets hold. */
static double all_max(const struct quota *quota)
{
	return quota->burst + SLACK_SHARE * quota->slack;
}

/* The most that this host's own bucket holds. */
static double own_max(const struct quota *quota, double part)
{
	return MIN(quota->rate * part * OWN_SAVED_S, all_max(quota) * part);
}

/* This host's part of the limit. */
static double own_part(const struct quota *quota, unsigned hosts, clk_ms now)
{
	double part = 1.0 / MAX(hosts, 1);

	if (hosts > 1 && quota->heard && now - quota->heard < HEARD_MS)
		part *= OWN_MULTIPLE;
	return MIN(part, 1);
}

static void fill(struct quota *quota, unsigned hosts, clk_ms now)
{
	double seconds = (double)(now - quota->last) / CLK_SECOND;
	double part = own_part(quota, hosts, now);

	quota->last = now;
	quota->all = MIN(quota->all + seconds * quota->rate, all_max(quota));
	quota->own = MIN(quota->own + seconds * quota->rate * part,
			 own_max(quota, part));
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
	if (first)
		quota->all = full ? all_max(quota) : 0;
	quota->all = MIN(quota->all, all_max(quota));
	quota->own = quota->all;
	quota->last = now;
}

bool quota_take(struct quota *quota, double units, unsigned hosts, clk_ms now,
		clk_ms *come_back)
{
	double part;
	double need_all;
	double need_own;
	double lacking;

	if (quota->rate <= 0)
		return true;
	fill(quota, hosts, now);
	part = own_part(quota, hosts, now);
	/* A request larger than a bucket passes when the bucket is full. */
	need_all = MIN(units, all_max(quota));
	need_own = MIN(units, own_max(quota, part));
	if (quota->all >= need_all && quota->own >= need_own) {
		quota->all -= units;
		quota->own -= units;
		quota->spent += units;
		return true;
	}
	lacking = MAX((need_all - quota->all) / quota->rate,
		      (need_own - quota->own) / (quota->rate * part));
	*come_back = (clk_ms)(lacking * CLK_SECOND) + 1;
	return false;
}

void quota_give(struct quota *quota, double units)
{
	quota->all += units;
	quota->own += units;
	quota->spent -= units;
}

void quota_on_report(struct quota *quota, const char *process, double spent,
		     unsigned hosts, clk_ms now)
{
	double *known = g_hash_table_lookup(quota->others, process);

	if (!known) {
		/* What it spent before it was known here is in the past. */
		known = g_new(double, 1);
		*known = spent;
		g_hash_table_insert(quota->others, g_strdup(process), known);
	}
	fill(quota, hosts, now);
	quota->all -= spent - *known;
	*known = spent;
	quota->heard = now;
}
