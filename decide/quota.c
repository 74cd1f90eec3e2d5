/* Rate limit of an account across all hosts. */
#include "quota.h"

#include <math.h>

#define REPORT_FRESH_MS 450    /* age up to which reports are fully trusted */
#define REPORT_USABLE_MS 700   /* age from which they are not used */
#define LOCAL_MULTIPLE 2.5     /* of the equal share, with fresh reports */
#define LOCAL_BURST_S 0.3      /* seconds of this host's share in its bucket */
#define LOCAL_SLACK_SHARE 0.3  /* of the slack, over all local buckets */
#define GLOBAL_SLACK_SHARE 0.3 /* of the slack, added to the global bucket */
#define REFILL_FACTOR 1.02     /* times the rate; 1.1 is allowed */
#define DISCOVERY_MS 4000      /* after a start, until all hosts report */
#define COVERAGE_MIN 0.2       /* lower only while all hosts start */
/* Parts of the slack and of the burst that streams which are taken up may owe:
 * they go before new requests. */
#define TAKE_UP_SLACK_SHARE 0.4
#define TAKE_UP_BURST_SHARE 0.1
/* Time until a silent host is noticed and the lower coverage is known here: so
 * long the host may have spent units that it has not reported. */
#define RECENT_DECAY_MS 1700.0
/* recent_spend decays while hosts are silent; this makes up for it. */
#define SILENT_FACTOR 1.5
/* Parts of the global bucket. */
#define RESTART_DEBT_SHARE 0.15 /* owed after a restart */
#define BELOW_LIMIT_SHARE 0.7	/* remaining for an account below its limit */
#define NEAR_LIMIT_SHARE 0.6	/* with less, the account is near its limit */
#define UNREPORTED_SHARE 0.25	/* that all hosts may leave unreported */
#define GROUP_UNREPORTED_SHARE 0.1 /* that all relays may, in addition */
/* While more remains, equal shares don't apply. This much covers the hosts'
 * unreported spending, and what they spend until they receive a report that
 * less remains. */
#define UNRESTRICTED_SHARE 0.6

unsigned quota_host_count(unsigned known, unsigned listed, clk_ms since_start)
{
	return since_start < DISCOVERY_MS ? MAX(known, listed) : known;
}

struct quota *quota_create(void)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->coverage = 1;
	quota->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	quota->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return quota;
}

/* Returns the capacity of the global bucket. */
static double global_max(const struct quota *quota)
{
	return quota->burst + GLOBAL_SLACK_SHARE * quota->slack;
}

/* Returns the confidence in the known spending of the other hosts: 1 with a
 * fresh report, 0 with an old one or none. */
static double report_confidence(const struct quota *quota, unsigned hosts,
				clk_ms now)
{
	double age = (double)(now - quota->last_report_at);

	if (hosts < 2 || !quota->last_report_at)
		return 0;
	return CLAMP(1 - (age - REPORT_FRESH_MS) /
				     (REPORT_USABLE_MS - REPORT_FRESH_MS),
		     0, 1);
}

/* Returns this host's share of the limit. */
static double local_share(const struct quota *quota, unsigned hosts, clk_ms now)
{
	double multiple =
		quota->unsettled
			? 1
			: 1 + (LOCAL_MULTIPLE - 1) *
					  report_confidence(quota, hosts, now);

	return MIN(multiple / MAX(hosts, 1), 1);
}

/* Returns the capacity of the local bucket: between reports, some requests of
 * any size; without reports, this host's share of the global capacity. */
static double local_max(const struct quota *quota, unsigned hosts, clk_ms now)
{
	double share = local_share(quota, hosts, now);
	double max = MAX(quota->rate * share * LOCAL_BURST_S,
			 LOCAL_SLACK_SHARE * quota->slack / MAX(hosts, 1));

	if (quota->unsettled || report_confidence(quota, hosts, now) == 0)
		max = global_max(quota) * share;
	return MIN(max, global_max(quota));
}

static void refill(struct quota *quota, unsigned hosts, clk_ms now)
{
	double seconds = (double)(now - quota->refilled_at) / CLK_SECOND;
	double share = local_share(quota, hosts, now);

	quota->recent_spend *=
		exp(-(double)(now - quota->refilled_at) / RECENT_DECAY_MS);
	quota->refilled_at = now;
	/* The higher rate compensates for refusing other requests than the
	 * first one above the limit. */
	quota->global_units =
		MIN(quota->global_units + seconds * quota->rate * REFILL_FACTOR,
		    global_max(quota));
	quota->local_units =
		MIN(quota->local_units + seconds * quota->rate * share,
		    local_max(quota, hosts, now));
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
		quota->global_units =
			global_max(quota) * (full ? 1 : -RESTART_DEBT_SHARE);
		quota->set_at = now;
	}
	quota->global_units = MIN(quota->global_units, global_max(quota));
	quota->local_units = quota->global_units;
	quota->refilled_at = now;
}

/* Whether equal shares apply when so many units remain. */
static bool is_restricted(const struct quota *quota, double remaining)
{
	return remaining < UNRESTRICTED_SHARE * global_max(quota);
}

/* Returns what remains in the global bucket, without what was gained while the
 * spending of all hosts was not known. */
static double known_remaining(const struct quota *quota)
{
	return quota->unsettled && is_restricted(quota, quota->units_before)
		       ? MIN(quota->global_units, quota->units_before)
		       : quota->global_units;
}

void quota_set_settled(struct quota *quota, bool settled)
{
	if (quota->unsettled == !settled)
		return;
	if (settled)
		quota->global_units = known_remaining(quota);
	quota->unsettled = !settled;
	if (settled)
		return;
	quota->units_before = quota->global_units;
	/* Otherwise all hosts would spend their local buckets at once. */
	if (is_restricted(quota, quota->global_units))
		quota->local_units = MIN(quota->local_units, 0);
}

void quota_on_below_limit(struct quota *quota, clk_ms now)
{
	double remaining = BELOW_LIMIT_SHARE * global_max(quota) - quota->spent;

	if (quota->rate <= 0 || now - quota->set_at >= DISCOVERY_MS)
		return;
	quota->global_units = MAX(quota->global_units, remaining);
	/* The next refill caps this at the local bucket's capacity. */
	quota->local_units = MAX(quota->local_units, remaining);
}

/* Subtracts units spent by the reporting hosts, scaled up by the coverage to
 * all hosts. */
static void global_spend(struct quota *quota, double units)
{
	quota->global_units -= units / quota->coverage;
	quota->recent_spend += units;
}

void quota_set_coverage(struct quota *quota, double coverage, clk_ms now)
{
	double before = quota->coverage;

	quota->coverage = CLAMP(coverage, COVERAGE_MIN, 1);
	if (quota->rate <= 0 || quota->coverage >= before)
		return;
	quota->recent_spend *=
		exp(-(double)(now - quota->refilled_at) / RECENT_DECAY_MS);
	/* Their share of what was spent lately may have been spent once more.
	 */
	quota->global_units -= quota->recent_spend * SILENT_FACTOR *
			       (1 - quota->coverage / before);
}

/* Returns what a request may owe to the global bucket. */
static double debt_max(const struct quota *quota, bool takes_up)
{
	if (!takes_up)
		return 0;
	return TAKE_UP_SLACK_SHARE * quota->slack +
	       TAKE_UP_BURST_SHARE * quota->burst;
}

bool quota_take(struct quota *quota, double units, bool takes_up,
		unsigned hosts, clk_ms now, clk_ms *retry_after)
{
	bool restricted;
	bool equal_share;
	double share;
	double need;
	double need_local;
	double wait_s;

	if (quota->rate <= 0)
		return true;
	refill(quota, hosts, now);
	restricted = is_restricted(quota, known_remaining(quota) - units);
	if (report_confidence(quota, hosts, now) > 0 &&
	    !quota_report_due(quota, hosts) && !restricted) {
		global_spend(quota, units);
		quota->spent += units;
		return true;
	}
	equal_share = quota->unsettled && restricted;
	share = local_share(quota, hosts, now);
	/* A request larger than a bucket is admitted by a full bucket. */
	need = MIN(units, global_max(quota)) - debt_max(quota, takes_up);
	need_local =
		equal_share ? units : MIN(units, local_max(quota, hosts, now));
	need_local -= share * debt_max(quota, takes_up);
	if ((equal_share || quota->global_units >= need) &&
	    quota->local_units >= need_local) {
		global_spend(quota, units);
		quota->local_units -= units;
		quota->spent += units;
		return true;
	}
	wait_s = MAX((need - quota->global_units) / quota->rate,
		     (need_local - quota->local_units) / (quota->rate * share));
	*retry_after = (clk_ms)(wait_s * CLK_SECOND) + 1;
	return false;
}

void quota_refund(struct quota *quota, double units)
{
	global_spend(quota, -units);
	quota->local_units += units;
	quota->spent -= units;
}

bool quota_report_due(const struct quota *quota, unsigned hosts)
{
	return quota->rate > 0 &&
	       quota->spent - quota->reported >
		       UNREPORTED_SHARE * global_max(quota) / MAX(hosts, 1);
}

void quota_on_report_sent(struct quota *quota)
{
	quota->reported = quota->spent;
}

/* A total in one of the tables of struct quota_peer has arrived. */
static double total_apply(struct quota *quota, GHashTable *totals,
			  const char *process, double spent, clk_ms gap_max,
			  unsigned hosts, clk_ms now)
{
	struct quota_peer *peer = g_hash_table_lookup(totals, process);
	double added = 0;

	if (!peer) {
		/* Its earlier spending is already refilled, unless this host
		 * itself is new: then it may have used up what was saved up
		 * since. */
		if (now - quota->set_at < DISCOVERY_MS) {
			added = MIN(spent, MAX(quota->global_units, 0));
			quota->global_units -= added;
		}
		peer = g_new(struct quota_peer, 1);
		*peer = (struct quota_peer){ .spent = spent };
		g_hash_table_insert(totals, g_strdup(process), peer);
	} else if (now - peer->reported_at > gap_max) {
		peer->spent = spent;
	}
	peer->reported_at = now;
	refill(quota, hosts, now);
	global_spend(quota, spent - peer->spent);
	added += spent - peer->spent;
	peer->spent = spent;
	quota->last_report_at = now;
	return added;
}

double quota_on_report(struct quota *quota, const char *process, double spent,
		       clk_ms gap_max, unsigned hosts, clk_ms now)
{
	return total_apply(quota, quota->peers, process, spent, gap_max, hosts,
			   now);
}

void quota_on_group(struct quota *quota, const char *process, double spent,
		    clk_ms gap_max, unsigned hosts, clk_ms now)
{
	total_apply(quota, quota->groups, process, spent, gap_max, hosts, now);
}

bool quota_spent_is_valid(double spent)
{
	return isfinite(spent);
}

void quota_add_to_group(struct quota *quota, double units)
{
	quota->children_spent += units;
}

double quota_group_spent(const struct quota *quota)
{
	return quota->spent + quota->children_spent;
}

bool quota_group_due(const struct quota *quota, unsigned relays)
{
	return quota->rate > 0 &&
	       quota_group_spent(quota) - quota->group_reported >
		       GROUP_UNREPORTED_SHARE * global_max(quota) /
			       MAX(relays, 1);
}

void quota_on_group_sent(struct quota *quota)
{
	quota->group_reported = quota_group_spent(quota);
	quota->reported = quota->spent;
}

double quota_remaining(struct quota *quota, unsigned hosts, clk_ms now)
{
	refill(quota, hosts, now);
	return known_remaining(quota);
}

void quota_on_remaining(struct quota *quota, double remaining, clk_ms now)
{
	double unreported = (quota->spent - quota->reported) / quota->coverage;

	quota->global_units = MIN(remaining - unreported, global_max(quota));
	quota->last_report_at = now;
}

bool quota_near_limit(const struct quota *quota)
{
	return quota->rate > 0 &&
	       quota->global_units < NEAR_LIMIT_SHARE * global_max(quota);
}
