/* Unit tests of the modules in decide/, of settings and of trace ids. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../decide/admit.h"
#include "../decide/err.h"
#include "../decide/limit.h"
#include "../decide/member.h"
#include "../decide/retry.h"
#include "../decide/rid.h"
#include "../decide/route.h"
#include "../decide/store.h"
#include "../wire/conf.h"
#include "../wire/json.h"
#include "../wire/trace.h"
#include "run.h"

/* Request ids. */

static const struct {
	const char *text;
	bool ok;
	const char *primary;
	clk_ms time;
} rid_cases[] = {
	{ "e0~01234567.1f-a", true, "e0~01234567", 0x1f },
	{ "a-b_c~89abcdef.0-n_1-2", true, "a-b_c~89abcdef", 0 },
	{ "", false, NULL, 0 },
	{ "e0~01234567.1f-", false, NULL, 0 },
	{ "e0~01234567.-a", false, NULL, 0 },
	{ "e0~0123456.1f-a", false, NULL, 0 },
	{ "e0~0123456g.1f-a", false, NULL, 0 },
	{ "~01234567.1f-a", false, NULL, 0 },
	{ "e0~01234567.1g-a", false, NULL, 0 },
	{ "e0~01234567.1f-a b", false, NULL, 0 },
	{ "e0~01234567.1111111111111111-a", false, NULL, 0 },
	{ "e0.1f-a", false, NULL, 0 },
};

START_TEST(rid_is_parsed)
{
	struct rid rid;
	const char *text = rid_cases[_i].text;

	ck_assert_int_eq(rid_parse(text, strlen(text), &rid), rid_cases[_i].ok);
	if (!rid_cases[_i].ok)
		return;
	ck_assert_str_eq(rid.primary, rid_cases[_i].primary);
	ck_assert_int_eq(rid.time, rid_cases[_i].time);
}
END_TEST

START_TEST(rid_is_generated)
{
	char incarnation[RID_INCARNATION_MAX + 1];
	char prefix[RID_MAX];
	char id[RID_MAX + 8];
	struct rid rid;

	rid_incarnation(incarnation, sizeof(incarnation), "host-1", 0xabcdu);
	rid_prefix(prefix, sizeof(prefix), incarnation, 123456789);
	snprintf(id, sizeof(id), "%s-n", prefix);
	ck_assert(rid_parse(id, strlen(id), &rid));
	ck_assert_str_eq(rid.primary, incarnation);
	ck_assert_int_eq(rid.time, 123456789);
}
END_TEST

/* The closed list of errors. */

START_TEST(err_answers_are_complete)
{
	enum err_kind kind = (enum err_kind)_i;
	const struct err_answer *answer = err_answer(kind);

	ck_assert_ptr_nonnull(answer->name);
	ck_assert_ptr_nonnull(answer->text);
	ck_assert_int_ge(answer->status, 200);
	ck_assert_int_lt(answer->status, 600);
	ck_assert_int_eq(err_kind_parse(answer->name, strlen(answer->name)),
			 kind);
	/* Only a complete response may report that the request ran. */
	ck_assert_int_eq(answer->ran == ERR_RAN_YES, kind == RW_OK);
}
END_TEST

/* Settings. */

static const struct {
	const char *key;
	const char *text;
	const char *error; /* NULL: valid */
} conf_cases[] = {
	{ "t/model/m", "{\"pool\":\"p\"}", NULL },
	{ "t/model/m", "// c\n{\"pool\":\"p\" /* c */}", NULL },
	{ "t/model/m", "{}", "line 1: model.pool: is required" },
	{ "t/model/m", "{\"pool\":1}", "line 1: model.pool: must be a text" },
	{ "t/model/m", "{\"pool\":\"a b\"}",
	  "line 1: model.pool: must be a name" },
	{ "t/model/m", "{\n\"pool\":\"p\",\n\"extra\":1}",
	  "line 3: model.extra: is not a known key" },
	{ "t/model/m", "{\"pool\":\"p\",\n\"priority\":10}",
	  "line 2: model.priority: must be from 0 to 9" },
	{ "t/model/m", "{\"pool\":\"p\",\"priority\":1.5}",
	  "line 1: model.priority: must be a whole number" },
	{ "t/model/m", "{\"pool\":\"p\",\"batch\":1}",
	  "line 1: model.batch: must be true or false" },
	{ "t/route/r", "{\"pool\":\"p\",\"path\":\"/x\"}",
	  "line 1: route.idempotent: is required" },
	{ "t/routing/p", "{\"policy\":\"best\"}",
	  "line 1: routing.policy: must be one of: cost, random" },
	{ "t/account/a", "{\"weight\":\"x\"}",
	  "line 1: account.weight: must be a number" },
	{ "t/account/a", "[]", "not one JSON object" },
	{ "t/account/a", "{\"weight\":1", "line 1: " },
	{ "t/account/a", "{} {}", "not one JSON object" },
	{ "t/entry/a", "{}", "key \"t/entry/a\" is not" },
	{ "t/account", "{}", "key \"t/account\" is not" },
	{ "t/account/a/b", "{}", "key \"t/account/a/b\" is not" },
};

START_TEST(conf_is_checked)
{
	GError *error = NULL;
	const char *text = conf_cases[_i].text;
	bool ok = conf_check(conf_cases[_i].key, text, strlen(text), &error);

	if (!conf_cases[_i].error) {
		ck_assert_msg(ok, "%s", error ? error->message : "");
		return;
	}
	ck_assert(!ok);
	ck_assert_msg(strstr(error->message, conf_cases[_i].error) != NULL,
		      "\"%s\" has no \"%s\"", error->message,
		      conf_cases[_i].error);
	g_error_free(error);
}
END_TEST

/* Replicated settings. */

static const struct {
	const char *key;
	const char *value; /* NULL: deleted */
	int64_t mod;
	bool adopted;
} store_cases[] = {
	{ "a", "1", 5, true },	  { "a", "0", 4, false },
	{ "a", "1", 5, false },	  { "a", "2", 6, true },
	{ "b", "1", 3, true },	  { "a", NULL, 9, true },
	{ "a", "old", 8, false }, { "a", "new", 10, true },
};

START_TEST(store_rejects_older_revisions)
{
	struct store *store = store_create(NULL, NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(store_cases); i++) {
		const char *text = store_cases[i].value;
		GBytes *value = text ? g_bytes_new(text, strlen(text)) : NULL;

		ck_assert_int_eq(store_put(store, store_cases[i].key, value,
					   store_cases[i].mod),
				 store_cases[i].adopted);
		if (value)
			g_bytes_unref(value);
	}
	ck_assert_int_eq(store_get(store, "a")->mod, 10);
	store_complete(store, 10);
	store_complete(store, 7);
	ck_assert_int_eq(store->revision, 10);
	store_free(store);
}
END_TEST

START_TEST(store_snapshot_deletes_missing_keys)
{
	struct store *store = store_create(NULL, NULL);
	GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
	GBytes *value = g_bytes_new("x", 1);

	store_put(store, "gone", value, 3);
	store_put(store, "kept", value, 4);
	store_put(store, "newer", value, 12);
	g_hash_table_add(present, "kept");
	store_snapshot(store, present, 10);
	ck_assert_ptr_null(store_get(store, "gone")->value);
	ck_assert_ptr_nonnull(store_get(store, "kept")->value);
	ck_assert_ptr_nonnull(store_get(store, "newer")->value);
	/* A peer that has not received the deletion can't undo it. */
	ck_assert(!store_put(store, "gone", value, 3));
	g_bytes_unref(value);
	g_hash_table_destroy(present);
	store_free(store);
}
END_TEST

/* Routing. */

/* A linear congruential generator: the same numbers in every run. */
static uint32_t lcg_random(void *ctx, uint32_t n)
{
	uint32_t *state = ctx;

	*state = *state * 1664525u + 1013904223u;
	return n ? (*state >> 8) % n : 0;
}

static struct router *router_with(uint32_t *seed, int upstreams)
{
	struct router *router = router_create(lcg_random, seed);
	char name[16];

	for (int i = 0; i < upstreams; i++) {
		snprintf(name, sizeof(name), "u%d", i);
		router_set_pool(router, router_get(router, name), "p");
	}
	return router;
}

START_TEST(route_skips_leaving_upstreams)
{
	uint32_t seed = 1;
	struct router *router = router_with(&seed, 3);
	struct route_request request = { .pool = "p", .data_centre = "a" };

	router_get(router, "u0")->state = UPSTREAM_LEAVING;
	router_get(router, "u1")->leaving_notice = true;
	for (int i = 0; i < 100; i++)
		ck_assert_str_eq(router_choose(router, &request, 0)->name,
				 "u2");
	request.exclude = "u2";
	ck_assert_ptr_null(router_choose(router, &request, 0));
	request.pool = "none";
	ck_assert_ptr_null(router_choose(router, &request, 0));
	router_free(router);
}
END_TEST

START_TEST(route_keeps_prefixes_together)
{
	uint32_t seed = 1;
	struct router *router = router_with(&seed, 12);
	struct route_request request = {
		.pool = "p",
		.data_centre = "",
		.prefix = 77,
		.prompt_tokens = 4000,
	};
	struct upstream *first = router_choose(router, &request, 0);

	router_begin(router, first, &request, 0);
	for (int i = 1; i < 50; i++) {
		struct upstream *next = router_choose(router, &request, i);

		ck_assert_ptr_eq(next, first);
	}
	/* An idle upstream is preferred to a busy one with the prefix. */
	first->inflight = 200;
	ck_assert_ptr_ne(router_choose(router, &request, 60), first);
	router_free(router);
}
END_TEST

START_TEST(route_counts_own_calls_exactly)
{
	uint32_t seed = 1;
	struct router *router = router_with(&seed, 1);
	struct upstream *upstream = router_get(router, "u0");
	struct upstream_load load = { .slots = 4, .running = 3, .received = 1 };
	struct route_request request = { .pool = "p", .data_centre = "" };

	router_begin(router, upstream, &request, 0);
	router_on_load(router, upstream, &load);
	ck_assert_int_eq(router_capacity(router, "p", 2), 1);
	router_begin(router, upstream, &request, 2);
	ck_assert_int_eq(router_capacity(router, "p", 2), 0);
	router_end(upstream, false, 1, 3);
	router_end(upstream, false, 1, 3);
	ck_assert_int_eq(router_capacity(router, "p", 3), 2);
	router_free(router);
}
END_TEST

/* Admission. */

START_TEST(admit_is_fair)
{
	struct admit_queue *queue = admit_queue_create(100);
	struct admit_ticket tickets[30];
	int last_small = 0;

	/* A large account queues 25 requests before a small one queues 5. */
	for (int i = 0; i < 30; i++) {
		tickets[i] = (struct admit_ticket){
			.account = i < 25 ? "large" : "small",
			.weight = 1,
			.tokens = 100,
			.deadline = CLK_NEVER,
		};
		admit_push(queue, &tickets[i]);
	}
	for (int i = 0; i < 30; i++)
		if (!strcmp(admit_pop(queue)->account, "small"))
			last_small = i;
	ck_assert_int_le(last_small, 11);
	admit_queue_free(queue);
}
END_TEST

START_TEST(admit_orders_by_priority)
{
	struct admit_queue *queue = admit_queue_create(100);
	struct admit_ticket batch = {
		.account = "a", .weight = 1, .batch = true, .tokens = 1
	};
	struct admit_ticket low = {
		.account = "b", .weight = 1, .priority = 5, .tokens = 1
	};
	struct admit_ticket high = {
		.account = "c", .weight = 1, .priority = 1, .tokens = 1
	};

	admit_push(queue, &batch);
	admit_push(queue, &low);
	admit_push(queue, &high);
	ck_assert_ptr_eq(admit_pop(queue), &high);
	ck_assert_ptr_eq(admit_pop(queue), &low);
	ck_assert_ptr_eq(admit_pop(queue), &batch);
	ck_assert_ptr_null(admit_pop(queue));
	admit_queue_free(queue);
}
END_TEST

static const struct {
	int capacity;
	int waiting;
	clk_ms deadline;
	bool admitted;
} admit_cases[] = {
	{ 1, 0, 1, true },     /* a free slot: served at once */
	{ 0, 0, 3000, true },  /* one call, then its own */
	{ 0, 0, 1000, false }, /* ends after its deadline */
	/* 11 calls on 2 slots, a fifth as margin, then its own: 7600 ms */
	{ 0, 10, 7700, true },
	{ 0, 10, 7500, false },	     /* would wait past its deadline */
	{ 0, 20, CLK_NEVER, false }, /* the queue is full */
};

START_TEST(admit_rejects_on_arrival)
{
	struct admit_queue *queue = admit_queue_create(20);
	struct admit_pool pool = {
		.slots = 2,
		.capacity = admit_cases[_i].capacity,
		.service_ms = 1000,
	};
	struct admit_ticket waiting[20];
	struct admit_ticket ticket = {
		.account = "b",
		.weight = 1,
		.deadline = admit_cases[_i].deadline,
	};
	clk_ms retry_after = 0;

	for (int i = 0; i < admit_cases[_i].waiting; i++) {
		waiting[i] =
			(struct admit_ticket){ .account = "a", .weight = 1 };
		admit_push(queue, &waiting[i]);
	}
	ck_assert_int_eq(admit_check(queue, &ticket, &pool, 0, &retry_after),
			 admit_cases[_i].admitted);
	if (!admit_cases[_i].admitted)
		ck_assert_int_gt(retry_after, 0);
	admit_queue_free(queue);
}
END_TEST

/* Limits and retries. */

START_TEST(limit_holds_over_time)
{
	struct limit limit = { .rate = 0 };
	clk_ms retry_after = 0;
	int taken = 0;

	limit_set(&limit, 1000, 0.5, 0);
	for (clk_ms now = 0; now <= 10000; now++)
		if (limit_take(&limit, 10, now, &retry_after))
			taken += 10;
	/* 500 tokens/s for 10 s, and the initial content of the bucket. */
	ck_assert_int_le(taken, 5000 + 1000 + 10);
	ck_assert_int_ge(taken, 5000);
	ck_assert_int_gt(retry_after, 0);
}
END_TEST

START_TEST(retry_budget_limits_load)
{
	struct retry_options options = {
		.share = 0.1,
		.burst = 10,
		.backoff_base = 50,
		.backoff_max = 1000,
		.max_attempts = 5,
	};
	struct retry_budget budget;
	int retries = 0;

	retry_budget_init(&budget, &options);
	for (int i = 0; i < 10000; i++) {
		retry_on_first_attempt(&budget, 0);
		/* Every attempt fails, and a retry is requested. */
		for (unsigned n = 1; n < 5; n++)
			if (retry_request(&budget, n, 500, 0, CLK_NEVER) >= 0)
				retries++;
	}
	ck_assert_int_le(retries, 1000 + 10);
	ck_assert_int_eq(retry_request(&budget, 5, 0, 0, CLK_NEVER), -1);
	budget.tokens = 5;
	ck_assert_int_eq(retry_request(&budget, 1, 0, 100, 101), -1);
	ck_assert_int_eq(retry_request(&budget, 1, 0, 0, CLK_NEVER), 25);
}
END_TEST

/* Traces. */

static const struct {
	const char *text;
	bool ok;
} trace_cases[] = {
	{ "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true },
	{ "", false },
	{ "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0", false },
	{ "00-0af7651916cd43dd8448eb211c80319c-b7ad6b716920333x-01", false },
	{ "00-0af7651916cd43dd8448eb211c80319cb7ad6b7169203331--01", false },
};

START_TEST(trace_parent_is_checked)
{
	const char *text = trace_cases[_i].text;

	ck_assert_int_eq(trace_parent_is_valid(text, strlen(text)),
			 trace_cases[_i].ok);
}
END_TEST

/* Members. */

static uint32_t op_random(void *ctx, uint32_t n)
{
	(void)ctx;
	return n - 1;
}

static void op_changed(void *ctx, const struct member *member)
{
	(void)ctx;
	(void)member;
}

static unsigned msgs_sent;

static void op_send(void *ctx, const char *rpc, const struct member_msg *msg)
{
	(void)ctx;
	(void)rpc;
	(void)msg;
	msgs_sent++;
}

static const struct member_ops quiet_ops = {
	.send = op_send,
	.random = op_random,
	.changed = op_changed,
};

static struct member_list *quiet_list(const char *incarnation, const char *rpc)
{
	struct member_update self = { .state = MEMBER_ALIVE };
	struct member_options options = { .ops = &quiet_ops };

	g_strlcpy(self.incarnation, incarnation, sizeof(self.incarnation));
	g_strlcpy(self.rpc, rpc, sizeof(self.rpc));
	return member_list_create(&self, &options);
}

static void quiet_add(struct member_list *list, const char *incarnation,
		      const char *rpc, enum member_state state)
{
	struct member_update update = { .state = state, .seq = 1 };

	g_strlcpy(update.incarnation, incarnation, sizeof(update.incarnation));
	g_strlcpy(update.rpc, rpc, sizeof(update.rpc));
	member_on_update(list, &update, 1000);
}

static const struct {
	const char *what;
	const char *rpc; /* of a dead member; this host's is h0:1 */
	const char *live_rpc;
	clk_ms since;
	size_t count; /* that may be running */
} running_cases[] = {
	{ "lost a moment ago", "h1:1", NULL, 500, 1 },
	{ "lost long ago", "h1:1", NULL, 1500, 0 },
	{ "started again", "h1:1", "h1:1", 500, 1 },
	{ "this host, before it started", "h0:1", NULL, 500, 0 },
};

START_TEST(dead_members_may_be_running)
{
	struct member_list *list = quiet_list("h0~1", "h0:1");

	quiet_add(list, "dead~1", running_cases[_i].rpc, MEMBER_DEAD);
	if (running_cases[_i].live_rpc)
		quiet_add(list, "live~1", running_cases[_i].live_rpc,
			  MEMBER_ALIVE);
	ck_assert_msg(
		member_maybe_running_count(list, running_cases[_i].since) ==
			running_cases[_i].count,
		"%s", running_cases[_i].what);
	member_list_free(list);
}
END_TEST

static const struct {
	enum member_msg_kind kind;
	unsigned answers;
} dead_sender_cases[] = {
	{ MEMBER_PING, 1 },
	{ MEMBER_PING_REQ, 1 },
	{ MEMBER_ACK, 0 }, /* it may take this host for dead, too */
};

START_TEST(members_do_not_answer_acks_of_the_dead)
{
	struct member_list *list = quiet_list("h0~1", "h0:1");
	struct member_msg msg = { .kind = dead_sender_cases[_i].kind,
				  .update_count = 1 };

	quiet_add(list, "h1~1", "h1:1", MEMBER_DEAD);
	g_strlcpy(msg.updates[0].incarnation, "h1~1",
		  sizeof(msg.updates[0].incarnation));
	msgs_sent = 0;
	member_on_msg(list, &msg, 2000);
	ck_assert_uint_eq(msgs_sent, dead_sender_cases[_i].answers);
	member_list_free(list);
}
END_TEST

static bool accepts_some(const char *incarnation)
{
	return incarnation[0] != 'x';
}

/* All hosts agree on which of them rank highest. */
START_TEST(members_rank_alike)
{
	static const char *const hosts[] = { "a~1", "b~1", "c~1", "x~1",
					     "d~1" };
	unsigned first = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
		struct member_list *list = quiet_list(hosts[i], hosts[i]);

		if (!accepts_some(hosts[i])) {
			member_list_free(list);
			continue;
		}
		for (size_t j = 0; j < G_N_ELEMENTS(hosts); j++)
			if (j != i)
				quiet_add(list, hosts[j], hosts[j],
					  MEMBER_ALIVE);
		first += member_top_self_rank(list, _i, accepts_some) < 2;
		member_list_free(list);
	}
	ck_assert_uint_eq(first, 2);
}
END_TEST

static Suite *unit_suite(void)
{
	Suite *suite = suite_create("unit");
	TCase *tcase = tcase_create("tables");

	suite_add_tcase(suite, tcase);
	tcase_add_loop_test(tcase, rid_is_parsed, 0, G_N_ELEMENTS(rid_cases));
	tcase_add_test(tcase, rid_is_generated);
	tcase_add_loop_test(tcase, err_answers_are_complete, 0, ERR_KIND_COUNT);
	tcase_add_loop_test(tcase, conf_is_checked, 0,
			    G_N_ELEMENTS(conf_cases));
	tcase_add_test(tcase, store_rejects_older_revisions);
	tcase_add_test(tcase, store_snapshot_deletes_missing_keys);
	tcase_add_test(tcase, route_skips_leaving_upstreams);
	tcase_add_test(tcase, route_keeps_prefixes_together);
	tcase_add_test(tcase, route_counts_own_calls_exactly);
	tcase_add_test(tcase, admit_is_fair);
	tcase_add_test(tcase, admit_orders_by_priority);
	tcase_add_loop_test(tcase, admit_rejects_on_arrival, 0,
			    G_N_ELEMENTS(admit_cases));
	tcase_add_test(tcase, limit_holds_over_time);
	tcase_add_test(tcase, retry_budget_limits_load);
	tcase_add_loop_test(tcase, trace_parent_is_checked, 0,
			    G_N_ELEMENTS(trace_cases));
	tcase_add_loop_test(tcase, dead_members_may_be_running, 0,
			    G_N_ELEMENTS(running_cases));
	tcase_add_loop_test(tcase, members_do_not_answer_acks_of_the_dead, 0,
			    G_N_ELEMENTS(dead_sender_cases));
	tcase_add_loop_test(tcase, members_rank_alike, 0, 8);
	return suite;
}

int main(void)
{
	return run_suite(unit_suite(), "unit");
}
