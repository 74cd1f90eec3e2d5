/* Tests of the orders of workers, by steps and by replayed reclaims. */
#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "../decide/order.h"
#include "../decide/scale.h"
#include "run.h"

#define BOOT_MS 4000

/* One data centre, one step after another: what is wanted and ready, and which
 * order, if any, is sent; its result. */
static const struct order_step {
	const char *what;
	clk_ms at;
	int want;
	int ready;
	int sent; /* -1: none is due */
	enum order_result result;
} order_steps[] = {
	{ "as many as provided", 1000, 3, 3, -1, ORDER_ACCEPTED },
	{ "a rise", 2000, 5, 3, 5, ORDER_ACCEPTED },
	{ "they boot", 4500, 5, 3, -1, ORDER_ACCEPTED },
	{ "they have not come", 6000, 5, 3, 5, ORDER_ACCEPTED },
	{ "they are ready", 7000, 5, 5, -1, ORDER_ACCEPTED },
	{ "a fall", 8000, 2, 5, -1, ORDER_ACCEPTED },
	{ "a lasting fall", 12000, 2, 5, 2, ORDER_ACCEPTED },
	{ "they leave", 12600, 2, 4, -1, ORDER_ACCEPTED },
	{ "done", 13000, 2, 2, -1, ORDER_ACCEPTED },
	{ "one is lost", 14000, 2, 1, 2, ORDER_ACCEPTED },
	{ "it boots", 15000, 2, 1, -1, ORDER_ACCEPTED },
	{ "both are lost", 17000, 2, 0, 2, ORDER_NO_CAPACITY },
	{ "too soon", 18000, 2, 0, -1, ORDER_ACCEPTED },
	{ "a retry", 18500, 2, 0, 2, ORDER_UNKNOWN },
	{ "whether it was done is unknown", 19500, 2, 0, 2, ORDER_ACCEPTED },
};

START_TEST(order_follows_steps)
{
	struct order order;
	struct order_supply supply = { 0 };

	order_init(&order, true);
	for (size_t i = 0; i < G_N_ELEMENTS(order_steps); i++) {
		const struct order_step *step = &order_steps[i];
		int count =
			order_count(&order, step->want, step->ready, step->at);
		bool due = order_due(&order, &supply, count, step->ready,
				     BOOT_MS, step->at);

		ck_assert_msg(due == (step->sent >= 0), "%s", step->what);
		if (!due)
			continue;
		ck_assert_msg(count == step->sent, "%s: %d", step->what, count);
		order_on_sent(&order, count, step->at);
		ck_assert(!order_due(&order, &supply, count + 1, 0, BOOT_MS,
				     step->at + BOOT_MS));
		order_on_result(&order, &supply, step->result, step->at);
	}
}
END_TEST

/* A shortage everywhere: one data centre at a time is tried, and one accepted
 * order ends it for all. */
START_TEST(order_tries_one_data_centre_at_a_time)
{
	struct order orders[6];
	struct order_supply supply = { 0 };
	int calls = 0;

	for (int i = 0; i < 6; i++)
		order_init(&orders[i], true);
	for (clk_ms now = 1000; now < 19000; now += 500)
		for (int i = 0; i < 6; i++) {
			if (!order_due(&orders[i], &supply, 4, 0, BOOT_MS, now))
				continue;
			calls++;
			order_on_sent(&orders[i], 4, now);
			order_on_result(&orders[i], &supply, ORDER_NO_CAPACITY,
					now);
			ck_assert(order_unavailable(&orders[i], &supply));
			ck_assert(order_blocked(&orders[i], &supply, now));
			ck_assert(!order_blocked(&orders[i], &supply,
						 now + 9000));
		}
	/* The first order of each, then one every 1.5 s. */
	ck_assert_int_eq(calls, 6 + 11);
	ck_assert(order_scarce(&supply, 19000));
	order_on_sent(&orders[2], 4, 19000);
	order_on_result(&orders[2], &supply, ORDER_ACCEPTED, 19010);
	ck_assert(!order_scarce(&supply, 19010));
	for (int i = 0; i < 6; i++) {
		ck_assert(!order_unavailable(&orders[i], &supply));
		ck_assert(i == 2 ||
			  order_due(&orders[i], &supply, 4, 0, BOOT_MS, 19500));
	}
}
END_TEST

/*
 * The load of a quiet day of a large site: callers come in waves of 40 s, and
 * five reclaims each take the reclaimable workers of a data centre and leave
 * none to be had anywhere for a while. Compared with the simple way: surplus
 * workers are released whatever the supply, and every data centre tries again
 * by itself.
 */
#define DCS 6
#define LENGTH_MS 52000
#define STEP_MS 500
#define SPOT_PRICE 0.18
#define BUSY 60.0
#define SWING 0.3
#define WAVE_MS 40000.0

static const struct {
	clk_ms at;
	int dc;
	clk_ms dry;
} reclaims[] = {
	{ 6000, 5, 14000 }, { 12000, 4, 13000 }, { 24000, 3, 13000 },
	{ 35500, 2, 7000 }, { 40000, 1, 7000 },
};

struct replay {
	bool simple;
	struct scale_dc dcs[DCS];
	int booting[2][DCS];
	clk_ms ready_at[2][DCS]; /* of the booting ones */
	struct order orders[2][DCS];
	struct order_supply supplies[2][DCS];
	double cost;	/* worker-seconds at the on-demand price */
	double missing; /* worker-seconds below the busy ones */
	int calls;
};

static struct order_supply *replay_supply(struct replay *replay, int spot,
					  int dc)
{
	return &replay->supplies[spot][replay->simple ? dc : 0];
}

static int *replay_ready(struct replay *replay, int spot, int dc)
{
	return spot ? &replay->dcs[dc].spot_ready
		    : &replay->dcs[dc].on_demand_ready;
}

static bool replay_is_dry(clk_ms now)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reclaims); i++)
		if (now >= reclaims[i].at &&
		    now < reclaims[i].at + reclaims[i].dry)
			return true;
	return false;
}

static void replay_platform(struct replay *replay, clk_ms now)
{
	for (int dc = 0; dc < DCS; dc++)
		for (int spot = 0; spot < 2; spot++)
			if (replay->booting[spot][dc] &&
			    now >= replay->ready_at[spot][dc]) {
				*replay_ready(replay, spot, dc) +=
					replay->booting[spot][dc];
				replay->booting[spot][dc] = 0;
			}
	for (size_t i = 0; i < G_N_ELEMENTS(reclaims); i++)
		if (reclaims[i].at == now) {
			replay->dcs[reclaims[i].dc].spot_ready = 0;
			replay->booting[1][reclaims[i].dc] = 0;
		}
}

static enum order_result replay_order(struct replay *replay, int spot, int dc,
				      int count, clk_ms now)
{
	int *ready = replay_ready(replay, spot, dc);
	int more = count - *ready - replay->booting[spot][dc];

	replay->calls++;
	if (more > 0 && spot && replay_is_dry(now))
		return ORDER_NO_CAPACITY;
	if (more > 0) {
		replay->booting[spot][dc] += more;
		replay->ready_at[spot][dc] = now + BOOT_MS;
	} else if (count < *ready) {
		*ready = count;
	}
	return ORDER_ACCEPTED;
}

static void replay_send(struct replay *replay, int spot, int dc, int want,
			clk_ms now)
{
	struct order *order = &replay->orders[spot][dc];
	struct order_supply *supply = replay_supply(replay, spot, dc);
	int ready = *replay_ready(replay, spot, dc);
	int count = order_count(order, want, ready, now);

	if (!order_due(order, supply, count, ready, BOOT_MS, now))
		return;
	order_on_sent(order, count, now);
	order_on_result(order, supply,
			replay_order(replay, spot, dc, count, now), now);
}

static void replay_plan(struct replay *replay, double busy, clk_ms now)
{
	struct scale_limits limits = {
		.min = 1,
		.max = 86,
		.spot_scarce = !replay->simple &&
			       order_scarce(replay_supply(replay, 1, 0), now),
	};

	for (int dc = 0; dc < DCS; dc++) {
		struct scale_dc *it = &replay->dcs[dc];

		it->spot_unavailable = order_unavailable(
			&replay->orders[1][dc], replay_supply(replay, 1, dc));
		it->on_demand_unavailable = order_unavailable(
			&replay->orders[0][dc], replay_supply(replay, 0, dc));
	}
	scale_plan(replay->dcs, DCS, &limits, busy);
	for (int dc = 0; dc < DCS; dc++) {
		replay_send(replay, 1, dc, replay->dcs[dc].want_spot, now);
		replay_send(replay, 0, dc, replay->dcs[dc].want_on_demand, now);
	}
}

static void replay_count(struct replay *replay, double busy)
{
	double ready = 0;

	for (int dc = 0; dc < DCS; dc++) {
		const struct scale_dc *it = &replay->dcs[dc];

		ready += it->spot_ready + it->on_demand_ready;
		replay->cost += (it->on_demand_ready + replay->booting[0][dc] +
				 (it->spot_ready + replay->booting[1][dc]) *
					 SPOT_PRICE) *
				it->price * STEP_MS / 1000;
	}
	replay->missing += MAX(busy - ready, 0) * STEP_MS / 1000;
}

static void replay_run(struct replay *replay, bool simple)
{
	static const double prices[DCS] = { 1, 0.8, 1.25, 0.9, 1, 0.8 };
	struct scale_demand demand = { .busy = BUSY };

	*replay = (struct replay){ .simple = simple };
	for (int dc = 0; dc < DCS; dc++) {
		replay->dcs[dc] = (struct scale_dc){
			.price = prices[dc],
			.spot_ready = 20,
		};
		for (int spot = 0; spot < 2; spot++)
			order_init(&replay->orders[spot][dc], spot);
	}
	for (clk_ms now = STEP_MS; now <= LENGTH_MS; now += STEP_MS) {
		double busy =
			BUSY *
			(1 + SWING * sin(2 * G_PI * (double)now / WAVE_MS));

		replay_platform(replay, now);
		scale_demand_update(&demand, busy, now);
		replay_plan(replay, demand.busy, now);
		replay_count(replay, busy);
	}
	printf("%s: cost %.0f, missing %.1f worker-seconds, %d orders\n",
	       simple ? "simple" : "ours", replay->cost, replay->missing,
	       replay->calls);
}

START_TEST(scale_keeps_workers_while_none_are_to_be_had)
{
	struct replay simple;
	struct replay ours;

	replay_run(&simple, true);
	replay_run(&ours, false);
	ck_assert_double_lt(ours.cost, simple.cost);
	ck_assert_double_le(ours.missing, simple.missing);
	ck_assert_int_lt(ours.calls, simple.calls);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("unit-scale");
	TCase *tcase = tcase_create("tables");

	suite_add_tcase(suite, tcase);
	tcase_add_test(tcase, order_follows_steps);
	tcase_add_test(tcase, order_tries_one_data_centre_at_a_time);
	tcase_add_test(tcase, scale_keeps_workers_while_none_are_to_be_had);
	return run_suite(suite, "unit-scale");
}
