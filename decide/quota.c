/* Rate limit of an account across all hosts. */
#include "quota.h"

#include <math.h>

#define REPORT_FRESH_MS 450    /* age up to which reports are fully trusted */
#define REPORT_USABLE_MS 700   /* age from which they are not used */
#define LOCAL_MULTIPLE 2.5     /* of the equal share, with fresh reports */
#define LOCAL_BURST_S 0.15     /* seconds of this host's share in its bucket */
#define LOCAL_SLACK_SHARE 0.3  /* of the slack, over all local buckets */
#define GLOBAL_SLACK_SHARE 0.3 /* of the slack, added to the global bucket */
#define REFILL_FACTOR 1.02     /* times the rate; 1.1 is allowed */
/* Times its equal share, that a host spends before its first report. */
#define STARTED_MULTIPLE 4
#define DISCOVERY_MS 4000     /* after a start, until all hosts report */
#define FIRST_REPORTS_MS 2500 /* after a start, until these arrive */
#define COVERAGE_MIN 0.2      /* lower only while all hosts start */
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
/* Time after a balance was written for which it is assumed that the refill was
 * spent: until the next one would have been, and its way to the store. */
#define BALANCE_SPENT_MS (QUOTA_BALANCE_MS + 1000)
#define NEAR_LIMIT_SHARE 0.6  /* with less, the account is near its limit */
#define UNREPORTED_SHARE 0.25 /* that all hosts may leave unreported */
#define GROUP_UNREPORTED_SHARE 0.1 /* that all relays may, in addition */
/* While more remains, equal shares don't apply. This much covers the hosts'
 * unreported spending, and what they spend until they receive a report that
 * less remains. */
#define UNRESTRICTED_SHARE 0.6
#define OWN_RATE_MS 2000.0 /* time constant of own_rate */
/* Of what a host has spent lately, this multiple is its share if that is more
 * than the other rule gives: an account's clients may all use one host. */
#define OWN_RATE_MULTIPLE 1.5
/* A refused client comes back at this part of the expected time at the
 * earliest, and at most the same part later than it. */
#define RETRY_SPREAD 0.3
#define RETRY_LEFT_SHARE (1 / 3.0) /* of the time that a client has left */

/* By rank, the parts of the bucket below which no request is admitted, and
 * above which all are. Between them the probability grows with the level, so
 * that hosts which act on reports of the same age do not all admit at once. */
static const struct {
	double none;
	double all;
} rank_levels[QUOTA_RANKS] = {
	{ 0, 0.4 },
	{ 0.35, 0.65 },
	{ 0.5, 0.72 },
};

/* Nothing is reserved for ranks that the account hasn't used for so long. */
#define RANK_USED_MS 30000
/* Of the limit, for calls to plain services whatever else was spent. As it is
 * less than the refill, debts are paid back meanwhile. */
#define PLAIN_SHARE 0.1

/* Most that is owed. After a partition each side learns at once what the other
 * has spent, for which the refill of that time is no longer known. */
#define DEBT_MAX_SHARE 1.0

#define MEAN_WEIGHT 0.05 /* of a request in mean_units */
/* Of the global bucket: what all hosts may owe that have just started. */
#define START_DEBT_SHARE 0.5
#define FULL_SHARE 0.99 /* of a bucket that counts as full */

static const char *const why_names[] = {
	[QUOTA_ALL_HOSTS] = "all_hosts",
	[QUOTA_RANK] = "rank",
	[QUOTA_OWN_SHARE] = "own_share",
};

const char *quota_why_name(enum quota_why why)
{
	return why_names[why];
}

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

	double share = multiple / MAX(hosts, 1);

	/* Over all hosts, own rates add up to what is admitted by the global
	 * bucket. */
	if (multiple > 1)
		share = MAX(share,
			    OWN_RATE_MULTIPLE * quota->own_rate / quota->rate);
	return MIN(share, 1);
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
	if (quota->unsettled)
		max = MAX(max, quota->mean_units);
	return MIN(max, global_max(quota));
}

/* Returns how much the global bucket may hold now. Before the first reports
 * after a start, the refill that would not fit is what others have spent. */
static double global_room(const struct quota *quota, clk_ms now)
{
	clk_ms age = now - quota->set_at;

	if (age >= FIRST_REPORTS_MS)
		return global_max(quota);
	return global_max(quota) + quota->rate * (double)age / CLK_SECOND;
}

static void refill(struct quota *quota, unsigned hosts, clk_ms now)
{
	double seconds = (double)(now - quota->refilled_at) / CLK_SECOND;
	double share = local_share(quota, hosts, now);

	quota->recent_spend *=
		exp(-(double)(now - quota->refilled_at) / RECENT_DECAY_MS);
	quota->own_rate *=
		exp(-(double)(now - quota->refilled_at) / OWN_RATE_MS);
	quota->refilled_at = now;
	/* The higher rate compensates for refusing other requests than the
	 * first one above the limit. */
	quota->global_units =
		MIN(quota->global_units + seconds * quota->rate * REFILL_FACTOR,
		    global_room(quota, now));
	quota->local_units =
		MIN(quota->local_units + seconds * quota->rate * share,
		    local_max(quota, hosts, now));
	quota->plain_units =
		MIN(quota->plain_units +
			    PLAIN_SHARE * seconds * quota->rate * share,
		    PLAIN_SHARE * global_max(quota) * share);
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
		quota->restarted = !full;
	}
	quota->global_units = MIN(quota->global_units, global_max(quota));
	/* A debt is all hosts' and not each one's. */
	quota->local_units = MAX(quota->global_units, 0);
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

void quota_on_balance(struct quota *quota, double units, clk_ms elapsed,
		      clk_ms now)
{
	double refilled = quota->rate *
			  (double)MAX(elapsed - BALANCE_SPENT_MS, 0) /
			  CLK_SECOND;
	double remaining;

	if (quota->rate <= 0 || now - quota->set_at >= DISCOVERY_MS)
		return;
	remaining = MIN(MAX(units, 0) + refilled,
			BELOW_LIMIT_SHARE * global_max(quota)) -
		    quota->spent;
	quota->global_units = MAX(quota->global_units, remaining);
	quota->local_units = MAX(quota->local_units, remaining);
}

/* Subtracts units spent by the reporting hosts, scaled up by the coverage to
 * all hosts. */
static void global_spend(struct quota *quota, double units)
{
	quota->global_units = MAX(
		quota->global_units - units / quota->coverage,
		MIN(quota->global_units, -DEBT_MAX_SHARE * global_max(quota)));
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

/* Returns the row of rank_levels for a request: the account's more urgent ranks
 * in use count. */
static int level_row(const struct quota *quota,
		     const struct quota_request *request, clk_ms now)
{
	int rank = MIN(request->rank, QUOTA_RANKS - 1);
	int row = 0;

	for (int i = 0; i < rank; i++)
		row += quota->asked_at[i] &&
		       now - quota->asked_at[i] < RANK_USED_MS;
	return row;
}

/* Returns the part of the requests that are admitted at a level of the global
 * bucket, by their row of rank_levels. */
static double admitted_part(const struct quota *quota,
			    const struct quota_request *request, int row,
			    double level)
{
	double max = global_max(quota);
	double none = rank_levels[row].none * max;
	double all = rank_levels[row].all * max;

	level += debt_max(quota, request->takes_up);
	return CLAMP((level - none) / (all - none), 0, 1);
}

/* Returns what the local bucket must exceed. A host that doesn't know what the
 * others spend saves up for a request of the usual size: otherwise each of the
 * hosts would owe most of a request. */
static double local_need(const struct quota *quota,
			 const struct quota_request *request, double share,
			 clk_ms now)
{
	unsigned hosts = request->hosts;
	double doubt =
		quota->unsettled ? 1 : 1 - report_confidence(quota, hosts, now);
	/* Slightly less than the bucket holds, so that a full one admits. */
	double saved = MIN(quota->mean_units,
			   FULL_SHARE * local_max(quota, hosts, now));

	/* The hosts have not told each other anything since they started, and
	 * the account was below its limit before. If a host's share holds less
	 * than a usual request, the first ones are too much as it is. */
	if (!quota->last_report_at && now - quota->set_at < FIRST_REPORTS_MS &&
	    !is_restricted(quota, quota->global_units) &&
	    quota->mean_units < local_max(quota, hosts, now))
		saved = -START_DEBT_SHARE * global_max(quota) * share;
	return doubt * saved - share * debt_max(quota, request->takes_up);
}

/* Whether a request is one of the calls to plain services that are admitted in
 * any case. */
static bool is_plain_within_share(const struct quota *quota,
				  const struct quota_request *request)
{
	return request->rank == QUOTA_PLAIN && quota->plain_units > 0;
}

static void spend(struct quota *quota, double units)
{
	global_spend(quota, units);
	quota->spent += units;
	quota->own_rate += units / OWN_RATE_MS * CLK_SECOND;
}

/* Returns the time in ms until a request like the refused one is admitted: the
 * global bucket has reached the level at which this one would have been, and
 * the host's share has room. It is spread, and bounded by the client's time. */
static clk_ms retry_after(const struct quota *quota,
			  const struct quota_request *request, int row,
			  double missing_own_s)
{
	double wanted =
		global_max(quota) * (rank_levels[row].none +
				     request->chance * (rank_levels[row].all -
							rank_levels[row].none));
	double wait_s = MAX((wanted - known_remaining(quota)) / quota->rate,
			    missing_own_s);
	double spread = 1 + RETRY_SPREAD * (2 * request->chance - 1);
	double wait_ms = MAX(wait_s, 0) * spread * CLK_SECOND;
	double longest = RETRY_LEFT_SHARE * (double)MAX(request->time_left, 0);

	return (clk_ms)MIN(wait_ms, longest) + 1;
}

/* Decides a request by the level of the global bucket and by this host's share.
 * Returns whether it is admitted. */
static bool take_restricted(struct quota *quota,
			    const struct quota_request *request, clk_ms now,
			    struct quota_refusal *refusal)
{
	double level = known_remaining(quota);
	double share = local_share(quota, request->hosts, now);
	double missing_own =
		local_need(quota, request, share, now) - quota->local_units;
	int row = level_row(quota, request, now);
	/* While what all spend is not known, equal shares alone decide. */
	bool by_level =
		(quota->unsettled && is_restricted(quota, level)) ||
		admitted_part(quota, request, row, level) > request->chance;

	if ((by_level && missing_own < 0) ||
	    is_plain_within_share(quota, request))
		return true;
	if (by_level)
		refusal->why = QUOTA_OWN_SHARE;
	else if (admitted_part(quota, request, 0, level) > request->chance)
		refusal->why = QUOTA_RANK;
	else
		refusal->why = QUOTA_ALL_HOSTS;
	refusal->retry_after = retry_after(quota, request, row,
					   missing_own / (quota->rate * share));
	return false;
}

bool quota_take(struct quota *quota, const struct quota_request *request,
		clk_ms now, struct quota_refusal *refusal)
{
	if (quota->rate <= 0)
		return true;
	if (request->rank >= 0)
		quota->asked_at[MIN(request->rank, QUOTA_RANKS - 1)] = now;
	/* Otherwise all hosts that start together would admit their first
	 * request, however small their shares are. */
	if (quota->mean_units <= 0 && quota->restarted)
		quota->local_units =
			MIN(quota->local_units,
			    local_max(quota, request->hosts, now)) -
			request->chance * request->units;
	quota->mean_units += (request->units - quota->mean_units) *
			     (quota->mean_units > 0 ? MEAN_WEIGHT : 1);
	refill(quota, request->hosts, now);
	if (report_confidence(quota, request->hosts, now) > 0 &&
	    !quota_report_due(quota, request->hosts) &&
	    !is_restricted(quota, known_remaining(quota)) &&
	    admitted_part(quota, request, level_row(quota, request, now),
			  known_remaining(quota)) > request->chance) {
		spend(quota, request->units);
		return true;
	}
	if (!take_restricted(quota, request, now, refusal))
		return false;
	spend(quota, request->units);
	quota->local_units -= request->units;
	if (is_plain_within_share(quota, request))
		quota->plain_units -= request->units;
	return true;
}

void quota_refund(struct quota *quota, double units)
{
	global_spend(quota, -units);
	quota->local_units += units;
	quota->spent -= units;
}

bool quota_report_due(const struct quota *quota, unsigned hosts)
{
	double share =
		MAX(1.0 / MAX(hosts, 1), quota->own_rate / MAX(quota->rate, 1));

	return quota->rate > 0 &&
	       quota->spent - quota->reported >
		       UNREPORTED_SHARE * global_max(quota) * MIN(share, 1);
}

void quota_on_report_sent(struct quota *quota)
{
	quota->reported = quota->spent;
}

/* Returns the most that another host is likely to have spent if it has started
 * together with this one. */
static double started_spend_max(const struct quota *quota, unsigned hosts,
				clk_ms now)
{
	double seconds = (double)(now - quota->set_at) / CLK_SECOND;

	return STARTED_MULTIPLE * (global_max(quota) + quota->rate * seconds) /
	       MAX(hosts, 1);
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
			added = spent <= started_spend_max(quota, hosts, now)
					? spent
					: MIN(spent,
					      MAX(quota->global_units, 0));
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
