/* Tables of cases for the decisions of rw-proxyd. */
#include <string.h>

#include "../decide/lease.h"
#include "../decide/fleet.h"
#include "../decide/px.h"
#include "../decide/scale.h"
#include "../decide/sse.h"
#include "../decide/tab.h"
#include "../decide/usage.h"
#include "../decide/wall.h"
#include "run.h"

#define YES true
#define NO false

/* What follows from the end of an attempt. */

static const struct {
	const char *what;
	struct px px;
	enum px_end end;
	struct px_retry_conditions room;
	enum px_action step;
} px_cases[] = {
	{ "whole",
	  { PX_AT_MOST_ONCE, 1, 1, 0, NO, NO },
	  PX_END_COMPLETE,
	  { YES, YES, YES },
	  PX_DELIVER },
	{ "once, cut: nobody knows",
	  { PX_AT_MOST_ONCE, 2, 1, 0, NO, NO },
	  PX_END_INCOMPLETE,
	  { YES, YES, YES },
	  PX_UNKNOWN },
	{ "once, proved not run: again",
	  { PX_AT_MOST_ONCE, 2, 1, 0, NO, NO },
	  PX_END_NOT_RUN,
	  { YES, YES, YES },
	  PX_RETRY },
	{ "once, proved not run, no attempt left",
	  { PX_AT_MOST_ONCE, 1, 1, 0, NO, NO },
	  PX_END_NOT_RUN,
	  { YES, YES, YES },
	  PX_REFUSE },
	{ "once, failed: the failure is the answer",
	  { PX_AT_MOST_ONCE, 2, 1, 0, NO, NO },
	  PX_END_FAILED,
	  { YES, YES, YES },
	  PX_DELIVER },
	{ "unsent costs no attempt",
	  { PX_AT_MOST_ONCE, 1, 0, 0, NO, NO },
	  PX_END_UNSENT,
	  { YES, NO, YES },
	  PX_RETRY },
	{ "unsent too often",
	  { PX_AT_MOST_ONCE, 1, 0, 3, NO, NO },
	  PX_END_UNSENT,
	  { YES, YES, YES },
	  PX_REFUSE },
	{ "idempotent, cut: again",
	  { PX_IDEMPOTENT, 2, 1, 0, NO, NO },
	  PX_END_INCOMPLETE,
	  { YES, YES, YES },
	  PX_RETRY },
	{ "idempotent, cut, no budget",
	  { PX_IDEMPOTENT, 2, 1, 0, NO, NO },
	  PX_END_INCOMPLETE,
	  { YES, NO, YES },
	  PX_UNKNOWN },
	{ "idempotent, cut, no time",
	  { PX_IDEMPOTENT, 2, 1, 0, NO, NO },
	  PX_END_INCOMPLETE,
	  { NO, YES, YES },
	  PX_UNKNOWN },
	{ "idempotent, refused after it may have run",
	  { PX_IDEMPOTENT, 2, 2, 0, YES, NO },
	  PX_END_NOT_RUN,
	  { YES, YES, YES },
	  PX_UNKNOWN },
	{ "idempotent, failed: again",
	  { PX_IDEMPOTENT, 2, 1, 0, NO, NO },
	  PX_END_FAILED,
	  { YES, YES, YES },
	  PX_RETRY },
	{ "idempotent, failed twice",
	  { PX_IDEMPOTENT, 2, 2, 0, YES, NO },
	  PX_END_FAILED,
	  { YES, YES, YES },
	  PX_DELIVER },
	{ "stream, cut before the first event",
	  { PX_STREAM, 2, 1, 0, NO, NO },
	  PX_END_INCOMPLETE,
	  { YES, YES, YES },
	  PX_UNKNOWN },
	{ "stream, cut after it",
	  { PX_STREAM, 2, 1, 0, NO, YES },
	  PX_END_INCOMPLETE,
	  { YES, YES, YES },
	  PX_ABORT },
	{ "resumable, cut: goes on",
	  { PX_RESUMABLE, 2, 1, 0, NO, YES },
	  PX_END_INCOMPLETE,
	  { YES, YES, YES },
	  PX_RESUME },
	{ "resumable, cut, no other",
	  { PX_RESUMABLE, 2, 1, 0, NO, YES },
	  PX_END_INCOMPLETE,
	  { YES, YES, NO },
	  PX_ABORT },
	/* A 500 of the second upstream must not end the answer as whole. */
	{ "resumable, fails while it goes on",
	  { PX_RESUMABLE, 2, 2, 0, YES, YES },
	  PX_END_FAILED,
	  { YES, YES, YES },
	  PX_ABORT },
	{ "resumable, fails, one attempt left",
	  { PX_RESUMABLE, 3, 2, 0, YES, YES },
	  PX_END_FAILED,
	  { YES, YES, YES },
	  PX_RESUME },
};

START_TEST(px_ends)
{
	struct px px = px_cases[_i].px;
	enum px_action step =
		px_on_end(&px, px_cases[_i].end, &px_cases[_i].room);

	ck_assert_msg(step == px_cases[_i].step, "%s: step %d, not %d",
		      px_cases[_i].what, step, px_cases[_i].step);
}
END_TEST

static const struct {
	struct px px;
	bool running;
	enum px_action step;
} px_late_cases[] = {
	{ { PX_AT_MOST_ONCE, 1, 1, 0, NO, NO }, YES, PX_TIMED_OUT },
	{ { PX_AT_MOST_ONCE, 1, 0, 1, NO, NO }, NO, PX_REFUSE },
	{ { PX_IDEMPOTENT, 2, 1, 0, YES, NO }, NO, PX_TIMED_OUT },
	{ { PX_STREAM, 1, 1, 0, NO, YES }, YES, PX_ABORT },
};

START_TEST(px_is_late)
{
	ck_assert_int_eq(
		px_on_timeout(&px_late_cases[_i].px, px_late_cases[_i].running),
		px_late_cases[_i].step);
}
END_TEST

/* Streams of events. */

static const struct {
	int64_t last;
	const char *in[4];
	bool ok;
	const char *out;
	bool whole;
	int64_t last_after;
} sse_cases[] = {
	{ -1,
	  { "id: 0\ndata: a\n\nid: 1\nda", "ta: b\n\n" },
	  YES,
	  "id: 0\ndata: a\n\nid: 1\ndata: b\n\n",
	  YES,
	  1 },
	/* A cut event is not passed on. */
	{ -1,
	  { "id: 0\ndata: a\n\nid: 1\ndata: b\n" },
	  YES,
	  "id: 0\ndata: a\n\n",
	  NO,
	  0 },
	/* Repeated events are dropped after a resumption. */
	{ 1,
	  { "id: 1\ndata: b\n\nid: 2\ndata: c\n\n" },
	  YES,
	  "id: 2\ndata: c\n\n",
	  YES,
	  2 },
	{ 1, { "id: 3\ndata: d\n\n" }, NO, "", NO, 1 },
	{ -1,
	  { "id: 0\r\ndata: a\r\n", "\r\n" },
	  YES,
	  "id: 0\r\ndata: a\r\n\r\n",
	  YES,
	  0 },
	{ -1, { "data: x\n\n" }, YES, "data: x\n\n", YES, -1 },
};

START_TEST(sse_is_taken_apart)
{
	struct sse sse;
	GString *out = g_string_new(NULL);
	bool ok = true;

	sse_init(&sse, sse_cases[_i].last);
	for (int i = 0; i < 4 && sse_cases[_i].in[i]; i++)
		ok = ok && sse_feed(&sse, sse_cases[_i].in[i],
				    strlen(sse_cases[_i].in[i]), out);
	ck_assert_int_eq(ok, sse_cases[_i].ok);
	ck_assert_str_eq(out->str, sse_cases[_i].out);
	ck_assert_int_eq(sse.last_id, sse_cases[_i].last_after);
	if (ok)
		ck_assert_int_eq(sse_is_complete(&sse), sse_cases[_i].whole);
	sse_clear(&sse);
	g_string_free(out, TRUE);
}
END_TEST

START_TEST(sse_takes_any_cut)
{
	const char *text = "id: 7\ndata: a\n\nid: 8\ndata: b\n\n";

	for (size_t cut = 0; cut <= strlen(text); cut++) {
		struct sse sse;
		GString *out = g_string_new(NULL);

		sse_init(&sse, 6);
		ck_assert(sse_feed(&sse, text, cut, out));
		ck_assert(sse_feed(&sse, text + cut, strlen(text) - cut, out));
		ck_assert_str_eq(out->str, text);
		sse_clear(&sse);
		g_string_free(out, TRUE);
	}
}
END_TEST

/* Routes. */

static const struct {
	const char *host;
	const char *path;
	const char *route; /* NULL: none */
} tab_cases[] = {
	{ "a.example", "/x/1", "x" },  { "A.Example", "/x/y/1", "xy" },
	{ "a.example", "/x/y", "x" }, /* no slash after the y */
	{ "a.example", "/x", NULL },   { "a.example", "/z/1", NULL },
	{ "b.example", "/x/1", NULL }, { "b.example", "/any", "root" },
};

START_TEST(tab_finds_the_longest_prefix)
{
	static const char *const routes[][3] = {
		{ "a.example", "/x/", "x" },
		{ "a.example", "/x/y/", "xy" },
		{ "b.example", "/", "root" },
	};
	struct tab *tab = tab_create();
	const struct tab_route *route;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		tab_route_add(tab, routes[i][0], routes[i][1],
			      tab_route_create(routes[i][2]));
	if (_i == 5)
		g_hash_table_remove(tab->routes, "b.example\n/");
	route = tab_find(tab, tab_cases[_i].host, strlen(tab_cases[_i].host),
			 tab_cases[_i].path, strlen(tab_cases[_i].path));
	if (tab_cases[_i].route) {
		ck_assert_ptr_nonnull(route);
		ck_assert_str_eq(route->name, tab_cases[_i].route);
	} else {
		ck_assert_ptr_null(route);
	}
	tab_unref(tab);
}
END_TEST

START_TEST(tab_splits_by_weight)
{
	struct tab *tab = tab_create();
	struct tab_route *route = tab_route_create("r");
	int first = 0;

	tab_target_add(route, tab_pool_get(tab, "p"), 90);
	tab_target_add(route, tab_pool_get(tab, "q"), 10);
	tab_route_add(tab, "h", "/", route);
	for (uint32_t i = 0; i < 1000; i++)
		first += !strcmp(tab_pick(route, i)->name, "p");
	ck_assert_int_eq(first, 900);
	tab_unref(tab);
}
END_TEST

/* Workers. */

static uint32_t no_random(void *ctx, uint32_t n)
{
	(void)ctx;
	(void)n;
	return 0;
}

static uint32_t any_random(void *ctx, uint32_t n)
{
	static uint32_t state = 1;

	(void)ctx;
	state = state * 1664525u + 1013904223u;
	return (state >> 8) % n;
}

static struct fleet *fleet_make(unsigned workers)
{
	struct fleet options = {
		.params = {
			.prefill_ms = 0.02,
			.per_running_ms = 2,
			.cross_dc_ms = 2,
			.cache_ttl = 60000,
		},
		.random = no_random,
	};
	struct fleet *fleet = fleet_create(&options);

	for (unsigned i = 0; i < workers; i++) {
		struct fleet_entry entry = {
			.id = g_strdup_printf("w%u", i),
			.pool = g_strdup("pool"),
			.address = g_strdup_printf("10.0.0.%u:1", i),
			.data_centre = g_strdup("dc"),
			.version = g_strdup(""),
			.slots = 4,
		};

		fleet_put(fleet, &entry, 1);
	}
	return fleet;
}

START_TEST(fleet_uses_a_doubted_worker_last)
{
	struct fleet *fleet = fleet_make(2);
	struct fleet_request ask = { .pool = "pool", .data_centre = "dc" };
	struct fleet_worker *first = fleet_find(fleet, "w0");
	struct fleet_worker *second = fleet_find(fleet, "w1");

	/* The entry is missing; the other worker fails: it goes first. */
	first->removal_due_at = 5000;
	for (int i = 0; i < 8; i++)
		fleet_record_outcome(second, FLEET_NO_RESPONSE, 1000);
	ck_assert_ptr_eq(fleet_choose(fleet, &ask, 1000).worker, second);
	ck_assert_uint_eq(fleet_count(fleet, "pool"), 1);
	/* Nothing else is there: the doubted one is better than none. */
	second->entry.leaving = true;
	ck_assert_ptr_eq(fleet_choose(fleet, &ask, 1000).worker, first);
	first->entry.leaving = true;
	ck_assert_ptr_null(fleet_choose(fleet, &ask, 1000).worker);
}
END_TEST

START_TEST(fleet_keeps_sessions_together)
{
	struct fleet *fleet = fleet_make(8);
	struct fleet_request ask = {
		.pool = "pool",
		.engine = true,
		.data_centre = "dc",
		.prompt_tokens = 11000,
		.prefill_tokens = 11000,
		.parts = { { 1, 500 }, { 42, 5000 }, { 7, 5500 } },
		.part_count = 3,
	};
	struct fleet_worker *home = fleet_choose(fleet, &ask, 0).worker;
	struct fleet_choice choice;

	/* Another host that knows nothing of the first request agrees. */
	ck_assert_str_eq(fleet_choose(fleet_make(8), &ask, 0).worker->entry.id,
			 home->entry.id);
	ck_assert_int_eq(fleet_choose(fleet, &ask, 0).cached_tokens, 5500);
	/* Where many prompts wait, the cache is not worth the wait. */
	for (int i = 0; i < 3; i++)
		fleet_begin(home, &ask, 0);
	choice = fleet_choose(fleet, &ask, 0);
	ck_assert_ptr_ne(choice.worker, home);
	ck_assert_int_eq(choice.cached_tokens, 0);
}
END_TEST

START_TEST(fleet_forgets_a_reborn_worker)
{
	struct fleet *fleet = fleet_make(1);
	struct fleet_worker *old = fleet_worker_ref(fleet_find(fleet, "w0"));
	struct fleet_entry entry = {
		.id = g_strdup("w0"),
		.pool = g_strdup("pool"),
		.address = g_strdup("10.0.0.0:1"),
		.data_centre = g_strdup("dc"),
		.version = g_strdup(""),
		.slots = 4,
		.started_at = 2,
	};

	old->entry.started_at = 1;
	ck_assert_ptr_ne(fleet_put(fleet, &entry, 2), old);
	ck_assert(old->removed);
	ck_assert(!fleet_takes_work(old));
	fleet_worker_unref(old);
}
END_TEST

/* In a large pool a host draws among so many workers that what it has to be
 * told does not grow with the pool; in a smaller one, among all. */
START_TEST(fleet_draws_among_the_near_ones)
{
	static const struct {
		int workers;
		guint least; /* different ones that are drawn */
		guint most;
	} cases[] = { { 150, 145, 150 }, { 3000, 130, 260 } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fleet *fleet = fleet_make(cases[i].workers);
		struct fleet_request ask = { .pool = "pool",
					     .data_centre = "dc" };
		GHashTable *drawn = g_hash_table_new(NULL, NULL);

		fleet->random = any_random;
		fleet->params.samples = 3;
		fleet->params.host_key = 77;
		for (int n = 0; n < 4000; n++)
			g_hash_table_add(drawn,
					 fleet_choose(fleet, &ask, 0).worker);
		ck_assert_uint_ge(g_hash_table_size(drawn), cases[i].least);
		ck_assert_uint_le(g_hash_table_size(drawn), cases[i].most);
		g_hash_table_destroy(drawn);
	}
}
END_TEST

/* Every worker has failed: nothing is known of their times, and requests must
 * go on to show that they work again. */
START_TEST(fleet_failures_are_no_wait)
{
	struct fleet *fleet = fleet_make(3);
	struct fleet_request ask = { .pool = "pool", .data_centre = "dc" };
	struct fleet_choice choice;

	for (int i = 0; i < 3; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%d", i);
		for (int n = 0; n < 20; n++)
			fleet_record_outcome(fleet_find(fleet, id), FLEET_ERROR,
					     0);
	}
	choice = fleet_choose(fleet, &ask, 0);
	ck_assert_ptr_nonnull(choice.worker);
	ck_assert_double_lt(choice.expected_ms, 300);
}
END_TEST

/* One that has failed and is well again gets requests again in time. */
START_TEST(fleet_tries_again_what_failed)
{
	struct fleet *fleet = fleet_make(3);
	struct fleet_request ask = { .pool = "pool", .data_centre = "dc" };
	struct fleet_worker *bad = fleet_find(fleet, "w1");
	unsigned tries = 0;

	/* The others have more to do. */
	fleet_begin(fleet_find(fleet, "w0"), &ask, 0);
	fleet_begin(fleet_find(fleet, "w2"), &ask, 0);
	for (int i = 0; i < 40; i++)
		fleet_record_outcome(bad, FLEET_ERROR, 0);
	for (clk_ms now = 1000; now < 20000; now += 10) {
		struct fleet_worker *worker =
			fleet_choose(fleet, &ask, now).worker;

		tries += worker == bad;
		fleet_record_outcome(worker, FLEET_OK, now);
	}
	ck_assert_uint_gt(tries, 100);
}
END_TEST

START_TEST(fleet_avoids_what_fails)
{
	struct fleet *fleet = fleet_make(3);
	struct fleet_request ask = { .pool = "pool", .data_centre = "dc" };
	struct fleet_worker *bad = fleet_find(fleet, "w1");
	clk_ms now = 0;

	/* It fails half of its calls, whole: it is left out, not at once. */
	for (int i = 0; i < 40; i++) {
		fleet_record_outcome(bad, i % 2 ? FLEET_ERROR : FLEET_OK, now);
		now += 10;
	}
	for (int i = 0; i < 10; i++)
		ck_assert_ptr_ne(fleet_choose(fleet, &ask, now).worker, bad);
}
END_TEST

/* The duties. */

START_TEST(duty_is_taken_renewed_and_lost)
{
	struct lease duty;

	lease_init(&duty, 3000);
	ck_assert_int_eq(lease_tick(&duty, 0, true, 0), LEASE_ACT_NONE);
	lease_on_key(&duty, false, false, 1000);
	ck_assert_int_eq(lease_tick(&duty, 0, true, 1100), LEASE_ACT_NONE);
	ck_assert_int_eq(lease_tick(&duty, 0, false, 1300), LEASE_ACT_NONE);
	ck_assert_int_eq(lease_tick(&duty, 0, true, 1300), LEASE_ACT_REQUEST);
	lease_on_grant(&duty, true, 7, 1310);
	lease_on_claim(&duty, true, 42, 1320);
	ck_assert_int_eq(duty.fencing_token, 42);
	/* The holder before has stopped before its lease could lapse. */
	ck_assert(lease_may_act(&duty, 2000));
	ck_assert_int_eq(lease_tick(&duty, 0, true, 2400), LEASE_ACT_RENEW);
	lease_on_renewal(&duty, true, false, 2410);
	ck_assert_int_eq(lease_tick(&duty, 0, true, 3500), LEASE_ACT_RENEW);
	lease_on_renewal(&duty, true, false, 3510);
	ck_assert(lease_may_act(&duty, 4400));
	/* No answer to the renewal: it stops before the lease can lapse. */
	ck_assert_int_eq(lease_tick(&duty, 0, true, 4600), LEASE_ACT_RENEW);
	lease_on_renewal(&duty, false, false, 6100);
	ck_assert(lease_may_act(&duty, 5800));
	ck_assert(!lease_may_act(&duty, 5950));
	/* The lease had paused with the store: it holds again. */
	ck_assert_int_eq(lease_tick(&duty, 0, true, 6200), LEASE_ACT_RENEW);
	lease_on_renewal(&duty, true, false, 6210);
	ck_assert(lease_may_act(&duty, 6300));
	ck_assert_int_eq(duty.fencing_token, 42);
	/* It has lapsed: the next term has another fence. */
	ck_assert_int_eq(lease_tick(&duty, 0, true, 7300), LEASE_ACT_RENEW);
	lease_on_renewal(&duty, false, true, 7310);
	ck_assert(!lease_may_act(&duty, 7320));
	ck_assert_int_eq(duty.fencing_token, 0);
}
END_TEST

START_TEST(duty_frozen_holder_does_not_act)
{
	struct lease duty;

	lease_init(&duty, 3000);
	lease_on_key(&duty, false, false, 0);
	ck_assert_int_eq(lease_tick(&duty, 0, true, 300), LEASE_ACT_REQUEST);
	lease_on_grant(&duty, true, 7, 310);
	lease_on_claim(&duty, true, 42, 320);
	for (clk_ms now = 1400; now < 5000; now += 1000) {
		ck_assert_int_eq(lease_tick(&duty, 0, true, now),
				 LEASE_ACT_RENEW);
		lease_on_renewal(&duty, true, false, now + 10);
	}
	ck_assert(lease_may_act(&duty, 5000));
	/* It was frozen while the answer was on its way. */
	ck_assert_int_eq(lease_tick(&duty, 0, true, 5400), LEASE_ACT_RENEW);
	lease_on_renewal(&duty, true, false, 9500);
	ck_assert(!lease_may_act(&duty, 9500));
}
END_TEST

START_TEST(duty_lost_claim_is_not_repeated)
{
	struct lease duty;

	lease_init(&duty, 3000);
	lease_on_key(&duty, false, false, 0);
	ck_assert_int_eq(lease_tick(&duty, 0, true, 300), LEASE_ACT_REQUEST);
	lease_on_grant(&duty, true, 7, 310);
	lease_on_claim(&duty, false, 0, 320);
	/* The key is another's: this host waits until it is free. */
	for (clk_ms now = 400; now < 20000; now += 100)
		ck_assert_int_eq(lease_tick(&duty, 0, true, now),
				 LEASE_ACT_NONE);
	lease_on_key(&duty, false, false, 20000);
	ck_assert_int_eq(lease_tick(&duty, 0, true, 20300), LEASE_ACT_REQUEST);
}
END_TEST

START_TEST(duty_two_hosts_never_act_at_once)
{
	struct lease a;
	struct lease b;

	lease_init(&a, 3000);
	lease_init(&b, 3000);
	lease_on_key(&a, false, false, 0);
	ck_assert_int_eq(lease_tick(&a, 0, true, 300), LEASE_ACT_REQUEST);
	lease_on_grant(&a, true, 1, 310);
	lease_on_claim(&a, true, 10, 320);
	for (clk_ms now = 1400; now < 4000; now += 1000) {
		ck_assert_int_eq(lease_tick(&a, 0, true, now), LEASE_ACT_RENEW);
		lease_on_renewal(&a, true, false, now + 10);
	}
	/* a is cut off at 4000; its lease, last renewed at 3400, lapses at
	 * 6400 at the earliest, and b sees the key go. */
	lease_on_key(&b, false, false, 6400);
	ck_assert_int_eq(lease_tick(&b, 1, true, 6700), LEASE_ACT_NONE);
	ck_assert_int_eq(lease_tick(&b, 1, true, 7000), LEASE_ACT_REQUEST);
	lease_on_grant(&b, true, 2, 7010);
	lease_on_claim(&b, true, 20, 7020);
	/* a has stopped before the key could be free. */
	for (clk_ms now = 6400; now < 12000; now += 10)
		ck_assert(!lease_may_act(&a, now));
	ck_assert(lease_may_act(&b, 7030));
	ck_assert_int_gt(b.fencing_token, 10);
	/* b is stopped at once: a could come back too soon after it acted. */
	ck_assert(!lease_resign(&b, 7500));
}
END_TEST

/* Usage. */

static void sum_add(void *ctx, const char *account, int64_t count)
{
	(void)account;
	*(int64_t *)ctx += count;
}

START_TEST(usage_survives_repeats_and_losses)
{
	struct usage usage;
	int64_t sum = 0;

	usage_init(&usage, 5000);
	for (int i = 0; i < 7; i++)
		usage_add(&usage, "self", "a", 12000);
	usage_merge(&usage, "peer", "a", 2, 5);
	usage_merge(&usage, "peer", "a", 2, 9);
	usage_merge(&usage, "peer", "a", 2, 5); /* late */
	usage_merge(&usage, "gone", "a", 2, 1); /* its host was killed */
	usage_foreach(&usage, NULL, 2, sum_add, &sum);
	ck_assert_int_eq(sum, 17);
	/* Old windows make room. */
	usage_add(&usage, "self", "a", 60000);
	sum = 0;
	usage_foreach(&usage, NULL, 2, sum_add, &sum);
	ck_assert_int_eq(sum, 0);
}
END_TEST

START_TEST(wall_ignores_jumps)
{
	struct wall wall;

	wall_init(&wall, 1000000, 0);
	ck_assert_int_eq(wall_read(&wall, 1001000, 1000), 1001000);
	/* The clock is set back by two seconds, and forward again. */
	ck_assert_int_eq(wall_read(&wall, 1000000, 2000), 1002000);
	ck_assert_int_eq(wall_read(&wall, 1006000, 6000), 1006000);
	/* It drifts, and is followed. */
	ck_assert_int_eq(wall_read(&wall, 1007020, 7000), 1007020);
	/* What lasts is adopted. */
	wall_read(&wall, 1010000, 8000);
	ck_assert_int_eq(wall_read(&wall, 1080000, 78000), 1080000);
}
END_TEST

/* How many workers. */

static const struct {
	const char *what;
	double busy;
	bool dry[4];
	int ready[4]; /* reclaimable workers */
	int full_ready[4];
	int spot[4];
	int full[4];
} scale_cases[] = {
	/* 5.1 busy ones need 9, 3.1 need 6; any three data centres have
	 * them. */
	{ "spread", 5.1, { 0 }, { 3, 3, 3, 3 }, { 0 }, { 3, 3, 3, 3 }, { 0 } },
	/* Full workers would come no sooner: none are ordered. */
	{ "not there yet", 5.1, { 0 }, { 0 }, { 0 }, { 3, 3, 3, 3 }, { 0 } },
	/* Those that are there are kept until then, the cheapest first. */
	{ "not there yet, but full ones",
	  5.1,
	  { 0 },
	  { 0 },
	  { 3, 3, 3, 3 },
	  { 3, 3, 3, 3 },
	  { 3, 3, 0, 3 } },
	{ "some have come",
	  5.1,
	  { 0 },
	  { 3, 3, 0, 0 },
	  { 3, 3, 3, 3 },
	  { 3, 3, 3, 3 },
	  { 0, 3, 0, 0 } },
	/* What is left has to do; the minimum holds. */
	{ "one data centre dry",
	  5.1,
	  { YES },
	  { 0, 5, 5, 5 },
	  { 0 },
	  { 3, 5, 5, 5 },
	  { 1, 0, 0, 0 } },
	{ "all dry",
	  3.1,
	  { YES, YES, YES, YES },
	  { 0 },
	  { 0 },
	  { 2, 2, 2, 2 },
	  { 1, 3, 1, 1 } },
	/* Orders find none, but those of some data centres still serve. */
	{ "dry after a loss",
	  3.1,
	  { YES, YES, YES, YES },
	  { 0, 2, 2, 2 },
	  { 0 },
	  { 2, 2, 2, 2 },
	  { 1, 0, 0, 0 } },
	{ "dry after two losses",
	  3.1,
	  { YES, YES, YES, YES },
	  { 0, 0, 2, 2 },
	  { 0 },
	  { 2, 2, 2, 2 },
	  { 1, 1, 0, 0 } },
	{ "dry after three losses",
	  3.1,
	  { YES, YES, YES, YES },
	  { 0, 0, 0, 2 },
	  { 0, 0, 1, 0 },
	  { 2, 2, 2, 2 },
	  { 1, 2, 1, 0 } },
	{ "small", 0.1, { 0 }, { 1, 1, 1, 1 }, { 0 }, { 1, 1, 1, 1 }, { 0 } },
};

START_TEST(scale_plans)
{
	struct scale_dc dcs[4] = {
		{ .name = "a", .price = 1.0 },
		{ .name = "b", .price = 0.8 },
		{ .name = "c", .price = 1.25 },
		{ .name = "d", .price = 0.9 },
	};
	struct scale_limits limits = { .min = 1, .max = 6 };

	for (int i = 0; i < 4; i++) {
		dcs[i].spot_unavailable = scale_cases[_i].dry[i];
		dcs[i].spot_ready = scale_cases[_i].ready[i];
		dcs[i].on_demand_ready = scale_cases[_i].full_ready[i];
	}
	scale_plan(dcs, 4, &limits, scale_cases[_i].busy);
	for (int i = 0; i < 4; i++) {
		ck_assert_msg(dcs[i].want_spot == scale_cases[_i].spot[i],
			      "%s: data centre %d: %d reclaimable ones",
			      scale_cases[_i].what, i, dcs[i].want_spot);
		ck_assert_msg(dcs[i].want_on_demand == scale_cases[_i].full[i],
			      "%s: data centre %d: %d full ones",
			      scale_cases[_i].what, i, dcs[i].want_on_demand);
	}
}
END_TEST

/* Load that comes in large requests, and a jump of it. */
START_TEST(scale_follows_demand)
{
	struct scale_demand need = { .busy = 6 };
	GRand *rand = g_rand_new_with_seed(3);
	double sum = 0;

	for (clk_ms now = 500; now <= 60000; now += 500) {
		double mean = now > 50000 ? 7.2 : 4.2;
		double busy = 0;

		/* Requests of 0.2 s each; 0.5 s have some ten of them. */
		for (int i = 0; i < 100; i++)
			if (g_rand_double(rand) < mean * 0.5 / 0.2 / 100)
				busy += 0.2 / 0.5;
		scale_demand_update(&need, busy, now);
		if (now > 20000 && now <= 50000)
			sum += need.busy / 60;
		if (now == 54000)
			ck_assert_double_gt(need.busy, 5.8);
	}
	/* Not much more than the mean, not less. */
	ck_assert_double_gt(sum, 4.2);
	ck_assert_double_lt(sum, 4.2 * 1.3);
	g_rand_free(rand);
}
END_TEST

static Suite *proxy_suite(void)
{
	Suite *suite = suite_create("unit-proxy");
	TCase *tcase = tcase_create("tables");

	suite_add_tcase(suite, tcase);
	tcase_add_loop_test(tcase, px_ends, 0, G_N_ELEMENTS(px_cases));
	tcase_add_loop_test(tcase, px_is_late, 0, G_N_ELEMENTS(px_late_cases));
	tcase_add_loop_test(tcase, sse_is_taken_apart, 0,
			    G_N_ELEMENTS(sse_cases));
	tcase_add_test(tcase, sse_takes_any_cut);
	tcase_add_loop_test(tcase, tab_finds_the_longest_prefix, 0,
			    G_N_ELEMENTS(tab_cases));
	tcase_add_test(tcase, tab_splits_by_weight);
	tcase_add_test(tcase, fleet_uses_a_doubted_worker_last);
	tcase_add_test(tcase, fleet_keeps_sessions_together);
	tcase_add_test(tcase, fleet_forgets_a_reborn_worker);
	tcase_add_test(tcase, fleet_avoids_what_fails);
	tcase_add_test(tcase, fleet_failures_are_no_wait);
	tcase_add_test(tcase, fleet_draws_among_the_near_ones);
	tcase_add_test(tcase, fleet_tries_again_what_failed);
	tcase_add_test(tcase, duty_is_taken_renewed_and_lost);
	tcase_add_test(tcase, duty_frozen_holder_does_not_act);
	tcase_add_test(tcase, duty_lost_claim_is_not_repeated);
	tcase_add_test(tcase, duty_two_hosts_never_act_at_once);
	tcase_add_test(tcase, usage_survives_repeats_and_losses);
	tcase_add_test(tcase, wall_ignores_jumps);
	tcase_add_test(tcase, scale_follows_demand);
	tcase_add_loop_test(tcase, scale_plans, 0, G_N_ELEMENTS(scale_cases));
	return suite;
}

int main(void)
{
	return run_suite(proxy_suite(), "unit-proxy");
}
