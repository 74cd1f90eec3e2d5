/* Roll-out of a software version: share, evidence and verdict. */
#include "rollout.h"

#include <math.h>
#include <string.h>

#include "check.h"

/* A target is bad only after so many failures. */
#define FAILURES_MIN 5
/* Logarithm of the probability that a sound target has as many failures. It is
 * tested about once a second for each route. */
#define CHANCE_LOG (-13.0)
/* The same of a target that is not shifted to, although it may be sound: of
 * versions that fail 2% of the requests, some show little by then. */
#define SUSPECT_LOG (-5.0)
/* Failures that count as usual before the others have shown theirs: 1 in so
 * many. */
#define USUAL_RESPONSES 100.0
/* Failures come in bursts, as a worker that is disturbed fails more than once:
 * the target's rate must be so many times that of the others. */
#define FAILURE_RATIO 2.0
#define TIMES_MIN 20 /* measured at each side before they are compared */
/* The target is slow if its mean logarithmic time is that of the others times
 * this: new workers have no prompt parts cached yet, which costs up to half. */
#define SLOW_RATIO 1.6
#define SLOW_DEVIATIONS 5.0
/* A response is late at so many times the others' median. */
#define LATE_RATIO 3.0
/* The late share of the target must be so many times that of the others. */
#define LATE_SHARE_RATIO 2.5
/* Late responses come in bursts: as FAILURE_RATIO, for their variance. */
#define LATE_DEVIATIONS 6.0
/* The others' late share is taken to be so many deviations above what they have
 * shown: after a shift they get few requests. */
#define LATE_MARGIN 3.0
#define LATE_VARIANCE 4.0
#define LATE_MIN 10
/* Responses of the target after which it may be completed, if there are so
 * many. */
#define ENOUGH_RESPONSES 30
/* Between the last shift of requests and the status: streams of old workers
 * last for 1 to 5 s. */
#define SHIFT_MAX_MS 4000
#define SHIFT_SHARE 0.25
/* Before the deadline the status must be written, over a slow link as well. Of
 * a roll-out of 2 s, 500 ms were too few on a busy machine: hosts see the order
 * some 150 ms late, and ticks, a period and two calls follow. */
#define WRITE_MAX_MS 1500
#define WRITE_SHARE 0.35

/* Totals after which a new leader has the evidence of nearly all hosts. */
#define WINDOWS_MIN 3
/* Totals older than so many observations are no longer the latest ones. */
#define WINDOW_AGE 4

static void row_free(gpointer data)
{
	struct rollout_row *row = data;

	g_free(row->route);
	g_free(row);
}

void rollout_table_init(struct rollout_table *table)
{
	table->rows = g_ptr_array_new_with_free_func(row_free);
}

void rollout_table_clear(struct rollout_table *table)
{
	if (table->rows)
		g_ptr_array_free(table->rows, TRUE);
	table->rows = NULL;
}

static struct rollout_row *row_find(const struct rollout_table *table,
				    const char *route)
{
	for (guint i = 0; table && i < table->rows->len; i++) {
		struct rollout_row *row = g_ptr_array_index(table->rows, i);

		if (!strcmp(row->route, route))
			return row;
	}
	return NULL;
}

struct rollout_row *rollout_table_row(struct rollout_table *table,
				      const char *route)
{
	struct rollout_row *row = row_find(table, route);

	if (row || table->rows->len >= ROLLOUT_ROWS_MAX)
		return row;
	row = g_new0(struct rollout_row, 1);
	row->route = g_strdup(route);
	g_ptr_array_add(table->rows, row);
	return row;
}

void rollout_count_end(struct rollout_table *table, const char *route,
		       enum rollout_side side, bool failed)
{
	struct rollout_row *row = rollout_table_row(table, route);

	if (!row)
		return;
	row->sides[side].ended++;
	row->sides[side].failed += failed;
}

void rollout_count_time(struct rollout_table *table, const char *route,
			enum rollout_side side, clk_ms time)
{
	struct rollout_row *row = rollout_table_row(table, route);
	double limit = ROLLOUT_BUCKET_FIRST_MS;
	unsigned bucket = 0;

	if (!row)
		return;
	while (bucket < ROLLOUT_BUCKETS - 1 && (double)time >= limit) {
		limit *= ROLLOUT_BUCKET_RATIO;
		bucket++;
	}
	row->sides[side].times[bucket]++;
}

uint64_t rollout_ended(const struct rollout_table *table,
		       enum rollout_side side)
{
	uint64_t sum = 0;

	for (guint i = 0; i < table->rows->len; i++) {
		const struct rollout_row *row =
			g_ptr_array_index(table->rows, i);

		sum += row->sides[side].ended;
	}
	return sum;
}

uint64_t rollout_failed(const struct rollout_table *table,
			enum rollout_side side)
{
	uint64_t sum = 0;

	for (guint i = 0; i < table->rows->len; i++) {
		const struct rollout_row *row =
			g_ptr_array_index(table->rows, i);

		sum += row->sides[side].failed;
	}
	return sum;
}

static uint32_t above(uint32_t value, uint32_t base)
{
	return value > base ? value - base : 0;
}

/* Subtracts earlier counts. */
static void counts_subtract(struct rollout_counts *counts,
			    const struct rollout_counts *base)
{
	counts->ended = above(counts->ended, base->ended);
	counts->failed = above(counts->failed, base->failed);
	for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
		counts->times[i] = above(counts->times[i], base->times[i]);
}

static void counts_add(struct rollout_counts *sum,
		       const struct rollout_counts *counts)
{
	sum->ended += counts->ended;
	sum->failed += counts->failed;
	for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++)
		sum->times[i] += counts->times[i];
}

/* Whether the target fails more often than the others. */
static bool fails(const struct rollout_counts *sides, double chance_max,
		  struct rollout_finding *finding)
{
	const struct rollout_counts *target = &sides[ROLLOUT_TARGET];
	const struct rollout_counts *others = &sides[ROLLOUT_OTHERS];
	double usual =
		(others->failed + 1.0) / (others->ended + USUAL_RESPONSES);
	double expected = usual * target->ended;
	double failed = target->failed;
	double chance_log;

	if (target->failed < FAILURES_MIN || failed <= expected * FAILURE_RATIO)
		return false;
	/* Chernoff's bound for a Poisson distribution. */
	chance_log = failed - expected - failed * log(failed / expected);
	if (chance_log > chance_max)
		return false;
	finding->fault = ROLLOUT_FAILS;
	finding->target = failed / target->ended;
	finding->others =
		others->ended ? (double)others->failed / others->ended : 0;
	return true;
}

/* Mean and variance of the buckets' numbers, and the bucket of the median. */
struct moments {
	double count;
	double mean;
	double variance;
	unsigned median;
};

static struct moments moments_of(const struct rollout_counts *counts)
{
	struct moments moments = { .count = 0 };
	double squares = 0;
	double below = 0;

	for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++) {
		moments.count += counts->times[i];
		moments.mean += (double)i * counts->times[i];
		squares += (double)i * i * counts->times[i];
	}
	if (moments.count == 0)
		return moments;
	moments.mean /= moments.count;
	/* Times within a bucket vary, too. */
	moments.variance =
		MAX(squares / moments.count - moments.mean * moments.mean,
		    1.0 / 12);
	for (unsigned i = 0; i < ROLLOUT_BUCKETS; i++) {
		below += counts->times[i];
		if (below * 2 >= moments.count) {
			moments.median = i;
			break;
		}
	}
	return moments;
}

static double bucket_ms(double bucket)
{
	return ROLLOUT_BUCKET_FIRST_MS * pow(ROLLOUT_BUCKET_RATIO, bucket);
}

/* Whether the target is slower than the others on the whole. */
static bool is_slow(const struct moments *target, const struct moments *others,
		    struct rollout_finding *finding)
{
	double least = log(SLOW_RATIO) / log(ROLLOUT_BUCKET_RATIO);
	double difference = target->mean - others->mean;
	double deviation = sqrt(target->variance / target->count +
				others->variance / others->count);

	if (difference < least || difference < SLOW_DEVIATIONS * deviation)
		return false;
	finding->fault = ROLLOUT_SLOW;
	finding->target = bucket_ms(target->mean);
	finding->others = bucket_ms(others->mean);
	return true;
}

static double late_count(const struct rollout_counts *counts, unsigned from)
{
	double count = 0;

	for (unsigned i = from; i < ROLLOUT_BUCKETS; i++)
		count += counts->times[i];
	return count;
}

/* Whether more of the target's responses are several times slower. */
static bool is_often_slow(const struct rollout_counts *sides,
			  const struct moments *target,
			  const struct moments *others,
			  struct rollout_finding *finding)
{
	unsigned from =
		others->median +
		(unsigned)ceil(log(LATE_RATIO) / log(ROLLOUT_BUCKET_RATIO));
	double late = late_count(&sides[ROLLOUT_TARGET], from);
	double shown = late_count(&sides[ROLLOUT_OTHERS], from) + 1;
	double usual = (shown + LATE_MARGIN * sqrt(shown)) / others->count;
	double expected = usual * target->count;

	if (late < LATE_MIN || late < LATE_SHARE_RATIO * expected ||
	    late - expected < LATE_DEVIATIONS * sqrt(LATE_VARIANCE * expected))
		return false;
	finding->fault = ROLLOUT_OFTEN_SLOW;
	finding->target = late / target->count;
	finding->others = usual;
	return true;
}

/* Compares the sides of one route. */
static bool compare_counts(const struct rollout_counts *sides,
			   double chance_max, bool by_time,
			   struct rollout_finding *finding)
{
	struct moments target = moments_of(&sides[ROLLOUT_TARGET]);
	struct moments others = moments_of(&sides[ROLLOUT_OTHERS]);

	if (fails(sides, chance_max, finding))
		return true;
	if (!by_time || target.count < TIMES_MIN || others.count < TIMES_MIN)
		return false;
	return is_slow(&target, &others, finding) ||
	       is_often_slow(sides, &target, &others, finding);
}

/* The same as rollout_compare; chance_max: as CHANCE_LOG. by_time: times are
 * compared, too. */
static struct rollout_finding compare_at(const struct rollout_table *table,
					 const struct rollout_table *since,
					 double chance_max, bool by_time)
{
	struct rollout_finding finding = { .route = "" };
	struct rollout_counts all[ROLLOUT_SIDES] = { 0 };

	for (guint i = 0; i < table->rows->len; i++) {
		const struct rollout_row *row =
			g_ptr_array_index(table->rows, i);
		const struct rollout_row *base = row_find(since, row->route);
		struct rollout_row recent = *row;

		for (int side = 0; side < ROLLOUT_SIDES; side++) {
			if (base)
				counts_subtract(&recent.sides[side],
						&base->sides[side]);
			counts_add(&all[side], &recent.sides[side]);
		}
		finding.route = row->route;
		if (compare_counts(recent.sides, chance_max, by_time, &finding))
			return finding;
	}
	/* Routes differ in their times, and sides in their routes. */
	finding.route = "";
	compare_counts(all, chance_max, false, &finding);
	return finding;
}

struct rollout_finding rollout_compare(const struct rollout_table *table,
				       enum rollout_phase phase)
{
	return compare_at(table, NULL, CHANCE_LOG, phase == ROLLOUT_LIMITED);
}

bool rollout_may_expose(const struct rollout_host *host)
{
	switch (host->phase) {
	case ROLLOUT_LIMITED:
		return !host->stopped &&
		       (double)(host->exposed + 1) <=
			       host->share * (double)host->requests +
				       (double)host->credit;
	case ROLLOUT_SHIFTED:
		return !host->stopped;
	case ROLLOUT_COMPLETED:
		return true;
	case ROLLOUT_ROLLED_BACK:
		return false;
	}
	return false;
}

static void table_free(gpointer data)
{
	rollout_table_clear(data);
	g_free(data);
}

void rollout_leader_init(struct rollout_leader *leader)
{
	*leader = (struct rollout_leader){
		.hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       table_free),
	};
	for (size_t i = 0; i < ROLLOUT_WINDOWS; i++)
		rollout_table_init(&leader->windows[i]);
}

void rollout_leader_clear(struct rollout_leader *leader)
{
	g_hash_table_destroy(leader->hosts);
	for (size_t i = 0; i < ROLLOUT_WINDOWS; i++)
		rollout_table_clear(&leader->windows[i]);
}

struct rollout_table *rollout_leader_host(struct rollout_leader *leader,
					  const char *process)
{
	struct rollout_table *table =
		g_hash_table_lookup(leader->hosts, process);

	if (table)
		return table;
	table = g_new0(struct rollout_table, 1);
	rollout_table_init(table);
	g_hash_table_insert(leader->hosts, g_strdup(process), table);
	return table;
}

/* Adds up the counts of all processes as the next window. */
static const struct rollout_table *totals_take(struct rollout_leader *leader)
{
	struct rollout_table *totals =
		&leader->windows[leader->window_count++ % ROLLOUT_WINDOWS];
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(totals->rows, 0);
	g_hash_table_iter_init(&iter, leader->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rollout_table *table = value;

		for (guint i = 0; i < table->rows->len; i++) {
			const struct rollout_row *row =
				g_ptr_array_index(table->rows, i);
			struct rollout_row *sum =
				rollout_table_row(totals, row->route);

			for (int side = 0; sum && side < ROLLOUT_SIDES; side++)
				counts_add(&sum->sides[side],
					   &row->sides[side]);
		}
	}
	return totals;
}

clk_ms rollout_complete_after(clk_ms duration)
{
	return duration -
	       MIN((clk_ms)((double)duration * WRITE_SHARE), WRITE_MAX_MS);
}

clk_ms rollout_shift_after(clk_ms duration)
{
	return rollout_complete_after(duration) -
	       MIN((clk_ms)((double)duration * SHIFT_SHARE), SHIFT_MAX_MS);
}

clk_ms rollout_duration(double seconds)
{
	if (!(seconds > 0) || seconds > ROLLOUT_DURATION_MAX_S)
		return 0;
	return MAX((clk_ms)(seconds * CLK_SECOND), 1);
}

bool rollout_is_final(enum rollout_phase phase)
{
	return phase == ROLLOUT_COMPLETED || phase == ROLLOUT_ROLLED_BACK;
}

/* Decides on a target that has shown no fault. */
static void decide_sound(struct rollout_decision *decision,
			 const struct rollout_table *totals,
			 const struct rollout_plan *plan,
			 const struct rollout_view *view, clk_ms now)
{
	clk_ms age = now - plan->ordered_at;
	bool is_late = age >= rollout_complete_after(plan->duration);
	uint64_t target = decision->ended[ROLLOUT_TARGET];
	uint64_t others = decision->ended[ROLLOUT_OTHERS];

	if (age < rollout_shift_after(plan->duration))
		return;
	if (!view->is_served) {
		if (!is_late)
			return;
		decision->phase = ROLLOUT_ROLLED_BACK;
		decision->why = "not_served";
		return;
	}
	/* A service with few requests shows little: what there is counts. */
	if (target < ENOUGH_RESPONSES && !is_late)
		return;
	/* Before it was shifted there was evidence, which this leader may lack.
	 */
	if (target == 0 && others > 0 && plan->phase == ROLLOUT_LIMITED) {
		if (age < plan->duration)
			return;
		decision->phase = ROLLOUT_ROLLED_BACK;
		decision->why = "no_evidence";
		return;
	}
	if (plan->phase == ROLLOUT_LIMITED)
		decision->finding = compare_at(totals, NULL, SUSPECT_LOG, true);
	if (decision->finding.fault != ROLLOUT_SOUND) {
		if (!is_late)
			return;
		decision->phase = ROLLOUT_ROLLED_BACK;
		decision->why = "suspect";
		return;
	}
	if (is_late || (plan->phase == ROLLOUT_SHIFTED && view->is_idle)) {
		decision->phase = ROLLOUT_COMPLETED;
		decision->why = "sound";
	} else if (plan->phase == ROLLOUT_LIMITED) {
		decision->phase = ROLLOUT_SHIFTED;
		decision->why = "sound";
	}
}

struct rollout_decision rollout_decide(struct rollout_leader *leader,
				       const struct rollout_plan *plan,
				       const struct rollout_view *view,
				       clk_ms now)
{
	struct rollout_decision decision = {
		.phase = plan->phase,
		.why = "",
	};
	const struct rollout_table *totals;
	const struct rollout_table *before;

	if (rollout_is_final(plan->phase))
		return decision;
	totals = totals_take(leader);
	for (int side = 0; side < ROLLOUT_SIDES; side++) {
		decision.ended[side] =
			rollout_ended(totals, (enum rollout_side)side);
		decision.failed[side] =
			rollout_failed(totals, (enum rollout_side)side);
	}
	decision.finding = rollout_compare(totals, plan->phase);
	if (decision.finding.fault == ROLLOUT_SOUND &&
	    plan->phase == ROLLOUT_LIMITED &&
	    leader->window_count > WINDOW_AGE) {
		before = &leader->windows[(leader->window_count - 1 -
					   WINDOW_AGE) %
					  ROLLOUT_WINDOWS];
		decision.finding = compare_at(totals, before, CHANCE_LOG, true);
	}
	if (decision.finding.fault != ROLLOUT_SOUND) {
		decision.phase = ROLLOUT_ROLLED_BACK;
		decision.why = rollout_fault_name(decision.finding.fault);
	} else if (leader->window_count >= WINDOWS_MIN ||
		   plan->phase == ROLLOUT_SHIFTED) {
		decide_sound(&decision, totals, plan, view, now);
	}
	return decision;
}

const char *rollout_phase_name(enum rollout_phase phase)
{
	static const char *const names[] = {
		[ROLLOUT_LIMITED] = "limited",
		[ROLLOUT_SHIFTED] = "shifted",
		[ROLLOUT_COMPLETED] = "completed",
		[ROLLOUT_ROLLED_BACK] = "rolled_back",
	};

	dec_assert(phase < G_N_ELEMENTS(names), "a phase has a name");
	return names[phase];
}

const char *rollout_fault_name(enum rollout_fault fault)
{
	static const char *const names[] = {
		[ROLLOUT_SOUND] = "sound",
		[ROLLOUT_FAILS] = "fails",
		[ROLLOUT_SLOW] = "slow",
		[ROLLOUT_OFTEN_SLOW] = "often_slow",
	};

	dec_assert(fault < G_N_ELEMENTS(names), "a fault has a name");
	return names[fault];
}
