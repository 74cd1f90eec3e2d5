/*
 * Simulates the roll-out of a version of a service (decide/rollout.h) over many
 * hosts, with messages that are late or lost, a leader that is replaced, and
 * hosts that are cut off. Checks that the share of requests that a version gets
 * keeps to its limit, also of hosts that are cut off, that bad versions are
 * rolled back in time, and that good ones are completed by the deadline.
 *
 * Usage: sim-rollout [--hosts N] [--seed N]; seeds N to N + SEEDS - 1 are run.
 * RW_SEEDS in the environment replaces SEEDS.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../decide/rollout.h"
#include "sim-args.h"

#define SEEDS 1000
#define STEP_MS 100
#define DURATION_MS 20000
#define REQUESTS_PER_S 788.0 /* of all hosts together */
#define ROUTES 5
#define WORKERS 40     /* of the former version, and of the target */
#define SEND_MS 600    /* between two messages of a host */
#define LOST_SHARE 0.2 /* of the messages */
#define LATE_SHARE 0.3 /* of those that arrive, by one period */
#define CUT_SHARE 0.1  /* of the hosts, in every second run */
#define PLAN_MAX_MS (SEND_MS + 200) /* until a host knows a phase */
#define SHARE 0.1
#define TOLERANCE 50
#define ROLLBACK_MS 5000
#define BAD_RESPONSES 50
#define GOOD_SHARE 0.99 /* of good versions are completed by the deadline */
#define USUAL_FAILURES 0.002
#define USUAL_MS                                                               \
	60.0		/* median time of the first route; the next are longer \
			 */
#define TIME_SPREAD 0.6 /* of the logarithm */

/* A disturbance of all workers. */
#define DISTURBED_FROM_MS 6000
#define DISTURBED_TO_MS 10000
#define DISTURBED_FAILURES 0.3
#define DISTURBED_FACTOR 2.5

static const struct version {
	const char *what;
	double failures; /* share of the responses */
	double factor;	 /* of their time */
	clk_ms from;	 /* since when it is bad */
	double load;	 /* of a usual worker, above which it is bad */
	int route;	 /* on which it is bad; -1: on all */
	bool disturbed;	 /* all workers are, for some time */
} versions[] = {
	{ "good", 0, 1, 0, 0, -1, false },
	{ "good, all disturbed", 0, 1, 0, 0, -1, true },
	{ "2% fail", 0.02, 1, 0, 0, -1, false },
	{ "10% fail", 0.1, 1, 0, 0, -1, false },
	{ "60% fail", 0.6, 1, 0, 0, -1, false },
	{ "2 times slower", 0, 2, 0, 0, -1, false },
	{ "5 times slower", 0, 5, 0, 0, -1, false },
	{ "10% fail after 10 s", 0.1, 1, 10000, 0, -1, false },
	{ "5 times slower after 10 s", 0, 5, 10000, 0, -1, false },
	{ "10% fail above half of the load", 0.1, 1, 0, 0.5, -1, false },
	{ "10% fail on one route", 0.1, 1, 0, 0, 3, false },
	{ "5 times slower on one route", 0, 5, 0, 0, 3, false },
	{ "10% fail, all disturbed", 0.1, 1, 0, 0, -1, true },
};

struct host {
	struct rollout_host state;
	char name[16];
	bool is_cut;
	enum rollout_phase next_phase; /* arrives at next_at */
	clk_ms next_at;
	struct rollout_table late; /* a message on its way */
	bool has_late;
	clk_ms send_at;
};

struct run {
	const struct version *version;
	GRand *rand;
	struct host *hosts;
	int host_count;
	struct rollout_leader leader;
	struct rollout_plan plan;
	clk_ms now;
	uint64_t requests;
	uint64_t exposed;
	double load; /* of the target's workers that are used, at last */
	unsigned bad;
	clk_ms bad_at;	/* 50th bad response; 0: not yet */
	clk_ms last_at; /* last request to the target, of a host not cut off */
	clk_ms completed_at;
	bool over_limit;
};

struct result {
	unsigned completed;
	unsigned over_limit;
	unsigned late;	/* rolled back too late, or not at all */
	clk_ms slowest; /* from the 50th bad response, or 0 */
	double most;	/* share of the requests that was exposed, at most */
};

static const char *const routes[ROUTES] = { "a", "b", "c", "d", "e" };

static void table_copy(struct rollout_table *to,
		       const struct rollout_table *from)
{
	for (guint i = 0; i < from->rows->len; i++) {
		const struct rollout_row *row =
			g_ptr_array_index(from->rows, i);

		memcpy(rollout_table_row(to, row->route)->sides, row->sides,
		       sizeof(row->sides));
	}
}

/* Whether a request of the target meets the version's fault. */
static bool is_hit(const struct run *run, int route)
{
	const struct version *version = run->version;

	return run->now >= version->from &&
	       (version->route < 0 || version->route == route) &&
	       (version->load == 0 || run->load > version->load);
}

/* A normally distributed random number, by the central limit theorem. */
static double random_normal(GRand *rand)
{
	double sum = 0;

	for (int i = 0; i < 4; i++)
		sum += g_rand_double(rand) - 0.5;
	return sum * sqrt(3.0);
}

static void request_run(struct run *run, struct host *host)
{
	const struct version *version = run->version;
	int route = g_rand_int_range(run->rand, 0, ROUTES);
	bool disturbed = version->disturbed && run->now >= DISTURBED_FROM_MS &&
			 run->now < DISTURBED_TO_MS;
	double failures = disturbed ? DISTURBED_FAILURES : USUAL_FAILURES;
	double time = USUAL_MS * (1 + route) *
		      exp(TIME_SPREAD * random_normal(run->rand)) *
		      (disturbed ? DISTURBED_FACTOR : 1);
	enum rollout_side side = ROLLOUT_OTHERS;
	bool failed;
	bool blamed = false;

	host->state.requests++;
	run->requests++;
	if (rollout_may_expose(&host->state)) {
		side = ROLLOUT_TARGET;
		host->state.exposed++;
		run->exposed++;
		if (!host->is_cut)
			run->last_at = run->now;
	}
	failed = g_rand_double(run->rand) < failures;
	if (side == ROLLOUT_TARGET && is_hit(run, route)) {
		blamed = version->factor > 1 ||
			 g_rand_double(run->rand) < version->failures;
		failed |= blamed && version->factor == 1;
		time *= version->factor;
	}
	run->bad += blamed;
	if (run->bad >= BAD_RESPONSES && !run->bad_at)
		run->bad_at = run->now;
	rollout_count_end(&host->state.counts, routes[route], side, failed);
	if (!failed)
		rollout_count_time(&host->state.counts, routes[route], side,
				   (clk_ms)time);
}

/* Delivers a host's counts to the leader: at once, a period later, or never. */
static void evidence_send(struct run *run, struct host *host)
{
	struct rollout_table *table;

	if (run->now < host->send_at)
		return;
	host->send_at = run->now + SEND_MS;
	if (rollout_compare(&host->state.counts, host->state.phase).fault !=
	    ROLLOUT_SOUND)
		host->state.stopped = true;
	if (host->is_cut || g_rand_double(run->rand) < LOST_SHARE)
		return;
	table = rollout_leader_host(&run->leader, host->name);
	if (host->has_late)
		table_copy(table, &host->late);
	host->has_late = g_rand_double(run->rand) < LATE_SHARE;
	table_copy(host->has_late ? &host->late : table, &host->state.counts);
}

static void host_step(struct run *run, struct host *host)
{
	double mean = REQUESTS_PER_S * STEP_MS / 1000 / run->host_count;
	double left = -log(1 - g_rand_double(run->rand));

	if (host->next_at && run->now >= host->next_at && !host->is_cut) {
		host->state.phase = host->next_phase;
		host->next_at = 0;
	}
	/* Poisson arrivals. */
	for (; left < mean; left -= log(1 - g_rand_double(run->rand)))
		request_run(run, host);
	evidence_send(run, host);
}

static void leader_step(struct run *run)
{
	/* Workers of the former version never are idle. */
	struct rollout_view view = { .is_served = true };
	struct rollout_decision decision =
		rollout_decide(&run->leader, &run->plan, &view, run->now);

	if (decision.phase == run->plan.phase)
		return;
	run->plan.phase = decision.phase;
	if (decision.phase == ROLLOUT_COMPLETED)
		run->completed_at = run->now;
	for (int i = 0; i < run->host_count; i++) {
		run->hosts[i].next_phase = decision.phase;
		run->hosts[i].next_at =
			run->now + STEP_MS +
			g_rand_int_range(run->rand, 0, PLAN_MAX_MS);
	}
}

/* The next leader has no evidence until the hosts send theirs again. */
static void leader_replace(struct run *run)
{
	rollout_leader_clear(&run->leader);
	rollout_leader_init(&run->leader);
}

static void run_play(struct run *run)
{
	clk_ms replaced_at = g_rand_int_range(run->rand, 1000, DURATION_MS);

	for (run->now = 0; run->now < DURATION_MS; run->now += STEP_MS) {
		uint64_t requests = run->requests;
		uint64_t exposed = run->exposed;

		for (int i = 0; i < run->host_count; i++)
			host_step(run, &run->hosts[i]);
		requests = run->requests - requests;
		exposed = run->exposed - exposed;
		/* Its share goes to SHARE of its workers. */
		run->load =
			requests ? (double)exposed / (double)requests /
					   (run->plan.phase == ROLLOUT_LIMITED
						    ? SHARE
						    : 1)
				 : 0;
		if (run->now / STEP_MS == replaced_at / STEP_MS)
			leader_replace(run);
		if (run->now % (SEND_MS) == 0)
			leader_step(run);
		if (run->plan.phase != ROLLOUT_SHIFTED &&
		    run->plan.phase != ROLLOUT_COMPLETED &&
		    (double)run->exposed >
			    SHARE * (double)run->requests + TOLERANCE)
			run->over_limit = true;
	}
}

static void run_judge(const struct run *run, struct result *result)
{
	const struct version *version = run->version;
	bool is_good = version->failures == 0 && version->factor == 1;
	double share = (double)run->exposed / (double)run->requests;

	result->completed += run->plan.phase == ROLLOUT_COMPLETED;
	if (is_good) {
		result->over_limit += run->over_limit;
		return;
	}
	result->over_limit += run->over_limit ||
			      (double)run->exposed >
				      SHARE * (double)run->requests + TOLERANCE;
	result->most = MAX(result->most, share);
	if (!run->bad_at)
		return;
	result->slowest = MAX(result->slowest, run->last_at - run->bad_at);
	result->late += run->last_at > run->bad_at + ROLLBACK_MS ||
			run->plan.phase != ROLLOUT_ROLLED_BACK;
}

static void seed_run(const struct version *version, int hosts, int seed,
		     struct result *result)
{
	struct run run = {
		.version = version,
		.rand = g_rand_new_with_seed((guint32)seed),
		.hosts = g_new0(struct host, (gsize)hosts),
		.host_count = hosts,
		.plan = { .duration = DURATION_MS },
	};

	rollout_leader_init(&run.leader);
	for (int i = 0; i < hosts; i++) {
		struct host *host = &run.hosts[i];

		g_snprintf(host->name, sizeof(host->name), "h%d", i);
		host->state.share = SHARE;
		host->state.credit = (uint64_t)(TOLERANCE * 0.25 / hosts);
		rollout_table_init(&host->state.counts);
		rollout_table_init(&host->late);
		host->is_cut =
			seed % 2 == 0 && g_rand_double(run.rand) < CUT_SHARE;
		host->send_at = g_rand_int_range(run.rand, 0, SEND_MS);
	}
	run_play(&run);
	run_judge(&run, result);
	for (int i = 0; i < hosts; i++) {
		rollout_table_clear(&run.hosts[i].state.counts);
		rollout_table_clear(&run.hosts[i].late);
	}
	rollout_leader_clear(&run.leader);
	g_rand_free(run.rand);
	g_free(run.hosts);
}

static bool version_check(const struct version *version, int hosts, int first,
			  int seeds)
{
	bool is_good = version->failures == 0 && version->factor == 1;
	struct result result = { .completed = 0 };
	bool ok;

	for (int seed = first; seed < first + seeds; seed++)
		seed_run(version, hosts, seed, &result);
	ok = result.over_limit == 0 && result.late == 0 &&
	     (is_good ? result.completed >= GOOD_SHARE * seeds
		      : result.completed == 0);
	printf("%-34s completed %u, over the limit %u, late %u of %d; exposed "
	       "%.3f at most, last request %" G_GINT64_FORMAT
	       " ms after the 50th bad response%s\n",
	       version->what, result.completed, result.over_limit, result.late,
	       seeds, result.most, result.slowest, ok ? "" : " FAILED");
	return ok;
}

int main(int argc, const char **argv)
{
	const char *seeds = g_getenv("RW_SEEDS");
	int hosts = 8;
	int seed = 1;
	bool ok = true;

	if (!sim_args_read(argc, argv, "sim-rollout", &hosts, &seed))
		return EXIT_FAILURE;
	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++)
		ok &= version_check(&versions[i], hosts, seed,
				    seeds ? atoi(seeds) : SEEDS);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
