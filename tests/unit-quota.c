/* Tests of limits over all hosts, by replayed loads. */
#include <glib.h>

#include "../decide/quota.h"
#include "../decide/relay.h"
#include "run.h"

#define YES true
#define NO false

/* Limits over all hosts: a hot account, hosts that hear of each other late,
 * and restarts of all of them. */

#define QUOTA_HOSTS 6
#define QUOTA_WINDOW_MS 8000 /* in which the limit is checked */
#define QUOTA_PERIOD_MS 500  /* of reports */
#define QUOTA_PRESSED_MS 120 /* of reports near the limit */

static const struct {
	const char *what;
	double rate; /* units a second that the account asks for */
	clk_ms restart_at;
	bool cut;	   /* hosts don't hear of each other */
	bool one;	   /* all callers are at one host */
	double served_min; /* part of what is asked for, or of the limit */
} quota_cases[] = {
	{ "usual", 60000, 0, NO, NO, 0.995 },
	{ "usual, all at one host", 30000, 0, NO, YES, 0.9 },
	{ "hot", 800000, 0, NO, NO, 0.9 },
	{ "hot, all hosts restart", 800000, 9000, NO, NO, 0.7 },
	{ "hot, cut off from each other", 800000, 0, YES, NO, 0.8 },
	{ "usual, cut off from each other", 60000, 0, YES, NO, 0.9 },
};

START_TEST(quota_holds_over_hosts)
{
	const double rate = 107683;
	const double slack = 140000;
	const double allowed =
		(rate * QUOTA_WINDOW_MS / 1000 + rate) * 1.1 + slack;
	const double asked = quota_cases[_i].rate;
	struct quota *quotas[QUOTA_HOSTS];
	double run[30000 / 50] = { 0 };
	double total = 0;
	double owed = 0;
	double told[QUOTA_HOSTS] = { 0 };
	GRand *rand = g_rand_new_with_seed(7);
	int incarnation = 0;

	for (int i = 0; i < QUOTA_HOSTS; i++) {
		quotas[i] = quota_create();
		quota_set(quotas[i], rate, rate, slack, true, 0);
	}
	for (clk_ms now = 0; now < 30000; now += 5) {
		double units = g_rand_double_range(rand, 500, 14000);
		bool cut = quota_cases[_i].cut && now > 6000 && now < 16000;
		clk_ms age = now - quota_cases[_i].restart_at;
		bool unknown =
			quota_cases[_i].restart_at && age >= 0 && age < 1000;
		/* At first a host knows itself, and what is listed. */
		unsigned hosts = quota_sharers(unknown ? 1 : QUOTA_HOSTS,
					       QUOTA_HOSTS, age);

		if (quota_cases[_i].restart_at == now && now > 0) {
			incarnation++;
			for (int i = 0; i < QUOTA_HOSTS; i++) {
				quotas[i] = quota_create();
				quota_set(quotas[i], rate, rate, slack, false,
					  now);
				told[i] = 0;
			}
		}
		for (int i = 0; i < QUOTA_HOSTS; i++) {
			char name[32];

			if (cut || unknown ||
			    now % (quota_pressed(quotas[i]) ||
						   quota_owes(quotas[i], hosts)
					   ? QUOTA_PRESSED_MS
					   : QUOTA_PERIOD_MS))
				continue;
			g_snprintf(name, sizeof(name), "h%d~%d", i,
				   incarnation);
			/* What is told is as old as the last message. */
			for (int j = 0; j < QUOTA_HOSTS; j++)
				if (i != j)
					quota_on_report(quotas[j], name,
							told[i], CLK_NEVER / 2,
							QUOTA_HOSTS, now);
			told[i] = quotas[i]->spent;
			quota_on_told(quotas[i]);
		}
		/* As many requests as the account's rate means. */
		for (double left = asked * 5 / 1000; left > 0;) {
			int host = quota_cases[_i].one
					   ? 0
					   : g_rand_int_range(rand, 0,
							      QUOTA_HOSTS);
			clk_ms back;

			if (units > left && g_rand_double(rand) > left / units)
				break;
			left -= units;
			owed += units;
			if (!quota_take(quotas[host], units, hosts, now, &back))
				continue;
			run[now / 50] += units;
			total += units;
		}
	}
	for (size_t i = 0; i + QUOTA_WINDOW_MS / 50 <= G_N_ELEMENTS(run); i++) {
		double sum = 0;

		for (size_t j = i; j < i + QUOTA_WINDOW_MS / 50; j++)
			sum += run[j];
		ck_assert_msg(sum <= allowed, "%s: %.0f in a window, not %.0f",
			      quota_cases[_i].what, sum, allowed);
	}
	ck_assert_msg(total >=
			      quota_cases[_i].served_min * MIN(owed, rate * 30),
		      "%s: %.0f of %.0f served", quota_cases[_i].what, total,
		      MIN(owed, rate * 30));
	g_rand_free(rand);
}
END_TEST

/* Many hosts: a few of them hear all others and relay the sums. */

#define NET_HOSTS 63
#define NET_RELAYS 3
#define NET_SPARE NET_RELAYS /* it takes the first one's place for a time */
#define NET_TICK_MS 100	     /* at which hosts look whether to report */
#define NET_REPORT_MS 500
#define NET_GAP_MS 1500
#define NET_END_MS 30000

static const struct {
	const char *what;
	double asked;	   /* of the account's rate */
	clk_ms hot_from;   /* then it asks for 8 times as much */
	clk_ms away_from;  /* the first relay is replaced by another one */
	clk_ms away_until; /* and takes its place again */
	clk_ms both;	   /* at each change, both relay for so long */
	double served_min; /* part of what is owed */
} net_cases[] = {
	{ "usual", 0.55, NET_END_MS, 0, 0, 0, 0.995 },
	{ "near the limit", 0.9, NET_END_MS, 0, 0, 0, 0.95 },
	{ "hot", 0.55, 8000, 0, 0, 0, 0.9 },
	{ "usual, a relay is replaced", 0.55, NET_END_MS, 8000, 16000, 0,
	  0.99 },
	{ "usual, two relays at once", 0.55, NET_END_MS, 8000, 16000, 900,
	  0.99 },
	{ "hot, two relays at once", 0.55, 7000, 8000, 16000, 900, 0.88 },
};

struct net_host {
	char name[16];
	struct quota *quota;
	struct relay relay;
	clk_ms next; /* report */
};

struct net {
	struct net_host hosts[NET_HOSTS];
	int which; /* of net_cases */
};

/* The host that has a place among the relays, or the other one while both
 * think so; NULL if there is none. */
static struct net_host *net_relay(struct net *net, int place, bool other,
				  clk_ms now)
{
	clk_ms from = net_cases[net->which].away_from;
	clk_ms until = net_cases[net->which].away_until;
	clk_ms both = net_cases[net->which].both;
	bool away = place == 0 && now >= from && now < until;
	bool change = place == 0 && until > 0 &&
		      ((now >= from && now < from + both) ||
		       (now >= until && now < until + both));

	if (other)
		return change ? &net->hosts[away ? 0 : NET_SPARE] : NULL;
	return &net->hosts[away ? NET_SPARE : place];
}

static void net_report_to(struct net_host *relay, const struct net_host *host,
			  clk_ms now)
{
	if (relay && relay != host)
		quota_on_report(relay->quota, host->name, host->quota->spent,
				NET_GAP_MS, NET_HOSTS, now);
}

static void net_relay_to(const struct net_host *relay, struct net_host *host,
			 clk_ms now)
{
	char name[32];

	if (!relay || relay == host ||
	    !relay_accepts(&host->relay, relay->name, now))
		return;
	g_snprintf(name, sizeof(name), "others~%s", relay->name);
	quota_on_report(host->quota, name,
			quota_without(relay->quota, host->name), NET_GAP_MS,
			NET_HOSTS, now);
}

static bool net_is_relay(struct net *net, const struct net_host *host,
			 clk_ms now)
{
	for (int place = 0; place < NET_RELAYS; place++)
		if (net_relay(net, place, false, now) == host)
			return true;
	return false;
}

/* One host's tick. */
static void net_tick(struct net *net, int number, clk_ms now)
{
	struct net_host *host = &net->hosts[number];
	bool due = now >= host->next;
	bool pressed = quota_pressed(host->quota);

	if (due || pressed || quota_owes(host->quota, NET_HOSTS)) {
		for (int place = 0; place < NET_RELAYS; place++) {
			net_report_to(net_relay(net, place, false, now), host,
				      now);
			net_report_to(net_relay(net, place, true, now), host,
				      now);
		}
		quota_on_told(host->quota);
	}
	for (int place = 0; place < NET_RELAYS; place++) {
		if ((!due && !pressed) ||
		    (net_relay(net, place, false, now) != host &&
		     net_relay(net, place, true, now) != host))
			continue;
		for (int i = 0; i < NET_HOSTS; i++)
			if (i % NET_RELAYS == place &&
			    !net_is_relay(net, &net->hosts[i], now))
				net_relay_to(host, &net->hosts[i], now);
	}
	if (due)
		host->next = now + NET_REPORT_MS;
}

START_TEST(quota_holds_over_many_hosts)
{
	const double rate = 164460;
	const double slack = 140000;
	const double allowed =
		(rate * QUOTA_WINDOW_MS / 1000 + rate) * 1.1 + slack;
	struct net *net = g_new0(struct net, 1);
	double run[NET_END_MS / 50] = { 0 };
	double total = 0;
	double owed = 0;
	double left = 0;
	GRand *rand = g_rand_new_with_seed(11);

	net->which = _i;
	for (int i = 0; i < NET_HOSTS; i++) {
		struct net_host *host = &net->hosts[i];

		g_snprintf(host->name, sizeof(host->name), "h%d", i);
		host->quota = quota_create();
		host->next = g_rand_int_range(rand, 0, NET_REPORT_MS);
		quota_set(host->quota, rate, rate, slack, true, 0);
	}
	for (clk_ms now = 1; now < NET_END_MS; now++) {
		double asked = rate * net_cases[_i].asked *
			       (now >= net_cases[_i].hot_from ? 8 : 1);

		for (int i = 0; i < NET_HOSTS; i++)
			if ((now + i) % NET_TICK_MS == 0)
				net_tick(net, i, now);
		/* Callers ask for what is owed to them, in requests of very
		 * different sizes. */
		owed += MIN(asked, rate) / 1000;
		for (left += asked / 1000; left > 0;) {
			double size = g_rand_double_range(rand, 0, 1);
			double units = 200 + 20000 * size * size * size;
			int host = g_rand_int_range(rand, 0, NET_HOSTS);
			clk_ms back;

			left -= units;
			if (!quota_take(net->hosts[host].quota, units,
					NET_HOSTS, now, &back))
				continue;
			run[now / 50] += units;
			total += units;
		}
	}
	for (int from = 0; from + QUOTA_WINDOW_MS / 50 <= NET_END_MS / 50;
	     from++) {
		double sum = 0;

		for (int at = from; at < from + QUOTA_WINDOW_MS / 50; at++)
			sum += run[at];
		ck_assert_msg(sum <= allowed,
			      "%s: %.0f let through in 8 s, "
			      "%.0f allowed",
			      net_cases[_i].what, sum, allowed);
	}
	ck_assert_msg(total >= net_cases[_i].served_min * owed,
		      "%s: %.4f of what is owed served", net_cases[_i].what,
		      total / owed);
	g_rand_free(rand);
}
END_TEST

START_TEST(relay_listens_to_one)
{
	struct relay relay = { .heard = 0 };

	ck_assert(relay_accepts(&relay, "a", 100));
	ck_assert(!relay_accepts(&relay, "b", 200));
	ck_assert(relay_accepts(&relay, "a", 600));
	/* The first one is silent. */
	ck_assert(!relay_accepts(&relay, "b", 1700));
	ck_assert(relay_accepts(&relay, "b", 1900));
	ck_assert(!relay_accepts(&relay, "a", 2000));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("unit_quota");
	TCase *tcase = tcase_create("quota");

	tcase_add_loop_test(tcase, quota_holds_over_hosts, 0,
			    G_N_ELEMENTS(quota_cases));
	tcase_add_loop_test(tcase, quota_holds_over_many_hosts, 0,
			    G_N_ELEMENTS(net_cases));
	tcase_add_test(tcase, relay_listens_to_one);
	suite_add_tcase(suite, tcase);
	return run_suite(suite, "unit_quota");
}
