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
		unsigned hosts = quota_host_count(unknown ? 1 : QUOTA_HOSTS,
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
			    now % (quota_near_limit(quotas[i]) ||
						   quota_report_due(quotas[i],
								    hosts)
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
			quota_on_report_sent(quotas[i]);
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

#define NET_CUT 42 /* hosts from this one on are cut off from the others */
#define NET_HEARD_MS 1200
#define NET_LOST_MS 1000 /* between a restart and the first reports */
#define NET_RATE 164460
#define NET_SLACK 140000

static const struct {
	const char *what;
	double asked;	  /* of the account's rate */
	double hot_times; /* then it asks for so much more */
	clk_ms hot_from;
	clk_ms away_from;  /* the first relay is replaced by another one */
	clk_ms away_until; /* and takes its place again */
	clk_ms both;	   /* at each change, both relay for so long */
	clk_ms cut_from;   /* a third of the hosts is cut off */
	clk_ms cut_until;
	clk_ms restart;	   /* all hosts start again; 0: they don't */
	double served_min; /* part of what is owed */
} net_cases[] = {
	{ .what = "usual", .asked = 0.55, .served_min = 0.995 },
	{ .what = "near the limit", .asked = 0.9, .served_min = 0.95 },
	{ .what = "hot",
	  .asked = 0.55,
	  .hot_times = 8,
	  .hot_from = 8000,
	  .served_min = 0.9 },
	{ .what = "usual, a relay is replaced",
	  .asked = 0.55,
	  .away_from = 8000,
	  .away_until = 16000,
	  .served_min = 0.99 },
	{ .what = "usual, two relays at once",
	  .asked = 0.55,
	  .away_from = 8000,
	  .away_until = 16000,
	  .both = 900,
	  .served_min = 0.99 },
	{ .what = "hot, two relays at once",
	  .asked = 0.55,
	  .hot_times = 8,
	  .hot_from = 7000,
	  .away_from = 8000,
	  .away_until = 16000,
	  .both = 900,
	  .served_min = 0.88 },
	{ .what = "usual, a third is cut off",
	  .asked = 0.55,
	  .cut_from = 8000,
	  .cut_until = 20000,
	  .served_min = 0.95 },
	{ .what = "hot as a third is cut off",
	  .asked = 0.55,
	  .hot_times = 8,
	  .hot_from = 8070,
	  .cut_from = 8000,
	  .cut_until = 20000,
	  .served_min = 0.7 },
	{ .what = "hot, then a third is cut off",
	  .asked = 0.55,
	  .hot_times = 8,
	  .hot_from = 6000,
	  .cut_from = 9000,
	  .cut_until = 20000,
	  .served_min = 0.7 },
	{ .what = "hot, then all start again",
	  .asked = 0.55,
	  .hot_times = 6,
	  .hot_from = 6000,
	  .restart = 10000,
	  .served_min = 0.7 },
};

struct net_host {
	char name[24];
	struct quota *quota;
	struct relay_source relay;
	clk_ms next;		    /* report */
	clk_ms heard_at[NET_HOSTS]; /* of a relay: reports of each host */
	unsigned heard;		    /* hosts, by the last relayed sums */
	clk_ms relay_since;	    /* it is one; 0: it isn't */
};

struct net {
	struct net_host hosts[NET_HOSTS];
	int which; /* of net_cases */
	clk_ms now;
};

static bool net_within(const struct net *net, clk_ms from, clk_ms until)
{
	return until > 0 && net->now >= from && net->now < until;
}

/* Whether a host stands beyond the cut. */
static bool net_beyond(const struct net *net, const struct net_host *host)
{
	return host - net->hosts >= NET_CUT &&
	       net_within(net, net_cases[net->which].cut_from,
			  net_cases[net->which].cut_until);
}

/* The host that has a place among a host's relays, or the other one while
 * both think so; NULL if there is none. */
static struct net_host *net_relay(struct net *net, const struct net_host *of,
				  int place, bool other)
{
	clk_ms from = net_cases[net->which].away_from;
	clk_ms until = net_cases[net->which].away_until;
	clk_ms both = net_cases[net->which].both;
	bool away = place == 0 && net_within(net, from, until);
	bool change = place == 0 && until > 0 &&
		      (net_within(net, from, from + both) ||
		       net_within(net, until, until + both));

	if (net_beyond(net, of))
		return other ? NULL : &net->hosts[NET_CUT + place];
	if (other)
		return change ? &net->hosts[away ? 0 : NET_SPARE] : NULL;
	return &net->hosts[away ? NET_SPARE : place];
}

static void net_report_to(struct net *net, struct net_host *relay,
			  const struct net_host *host)
{
	if (!relay || relay == host)
		return;
	relay->heard_at[host - net->hosts] = net->now;
	quota_on_report(relay->quota, host->name, host->quota->spent,
			NET_GAP_MS, NET_HOSTS, net->now);
}

/* Hosts that a relay hears, itself included. */
static unsigned net_heard(const struct net *net, const struct net_host *relay)
{
	unsigned count = 1;

	/* At first hosts are only beginning to report to it. */
	if (net->now - relay->relay_since < NET_HEARD_MS)
		return NET_HOSTS;
	for (int i = 0; i < NET_HOSTS; i++)
		count += relay->heard_at[i] > 0 &&
			 relay->heard_at[i] >= net->now - NET_HEARD_MS;
	return count;
}

static void net_relay_to(const struct net *net, const struct net_host *relay,
			 struct net_host *host)
{
	if (relay == host ||
	    !relay_accepts(&host->relay, relay->name, net->now))
		return;
	host->heard = net_heard(net, relay);
	quota_on_remaining(host->quota,
			   quota_remaining(relay->quota, NET_HOSTS, net->now),
			   net->now);
}

static bool net_is_relay(struct net *net, const struct net_host *host)
{
	for (int place = 0; place < NET_RELAYS; place++)
		if (net_relay(net, host, place, false) == host)
			return true;
	return false;
}

/* What a relay does for its part of the others. */
static void net_relay_all(struct net *net, const struct net_host *relay,
			  int place)
{
	if (net_relay(net, relay, place, false) != relay &&
	    net_relay(net, relay, place, true) != relay)
		return;
	for (int i = 0; i < NET_HOSTS; i++) {
		struct net_host *host = &net->hosts[i];

		if (i % NET_RELAYS == place && !net_is_relay(net, host) &&
		    net_beyond(net, host) == net_beyond(net, relay))
			net_relay_to(net, relay, host);
	}
}

/* One host's tick. */
static void net_tick(struct net *net, struct net_host *host)
{
	bool due = net->now >= host->next;
	bool pressed = quota_near_limit(host->quota);
	clk_ms restart = net_cases[net->which].restart;
	clk_ms started = restart && net->now >= restart ? restart : 0;

	if (started && net->now - started < NET_LOST_MS)
		return;
	if (!net_is_relay(net, host)) {
		host->relay_since = 0;
	} else {
		if (!host->relay_since)
			host->relay_since = net->now;
		host->heard = net_heard(net, host);
	}
	if (net->now - started > NET_GAP_MS)
		quota_set_coverage(host->quota, (double)host->heard / NET_HOSTS,
				   net->now);
	if (due || pressed || quota_report_due(host->quota, NET_HOSTS)) {
		for (int place = 0; place < NET_RELAYS; place++) {
			net_report_to(net, net_relay(net, host, place, false),
				      host);
			net_report_to(net, net_relay(net, host, place, true),
				      host);
		}
		quota_on_report_sent(host->quota);
	}
	for (int place = 0; place < NET_RELAYS && (due || pressed); place++)
		net_relay_all(net, host, place);
	if (due)
		host->next = net->now + NET_REPORT_MS;
}

/* All hosts start, for the first time or again. */
static void net_start(struct net *net, GRand *rand)
{
	for (int i = 0; i < NET_HOSTS; i++) {
		struct net_host *host = &net->hosts[i];

		*host = (struct net_host){ .heard = NET_HOSTS };
		g_snprintf(host->name, sizeof(host->name), "h%d~%d", i,
			   (int)net->now);
		host->quota = quota_create();
		host->next =
			net->now + g_rand_int_range(rand, 0, NET_REPORT_MS);
		quota_set(host->quota, NET_RATE, NET_RATE, NET_SLACK,
			  net->now == 0, net->now);
	}
}

/* Callers ask for units, in requests of very different sizes; returns what
 * is let through. */
static double net_ask(struct net *net, GRand *rand, double *left)
{
	double through = 0;

	while (*left > 0) {
		double size = g_rand_double_range(rand, 0, 1);
		double units = 200 + 20000 * size * size * size;
		int host = g_rand_int_range(rand, 0, NET_HOSTS);
		clk_ms back;

		*left -= units;
		if (quota_take(net->hosts[host].quota, units, NET_HOSTS,
			       net->now, &back))
			through += units;
	}
	return through;
}

START_TEST(quota_holds_over_many_hosts)
{
	const double allowed =
		(NET_RATE * QUOTA_WINDOW_MS / 1000.0 + NET_RATE) * 1.1 +
		NET_SLACK;
	struct net *net = g_new0(struct net, 1);
	double run[NET_END_MS / 50] = { 0 };
	double total = 0;
	double owed = 0;
	double left = 0;
	GRand *rand = g_rand_new_with_seed(11);

	net->which = _i;
	net_start(net, rand);
	for (net->now = 1; net->now < NET_END_MS; net->now++) {
		bool hot = net_cases[_i].hot_times > 0 &&
			   net->now >= net_cases[_i].hot_from;
		double asked = NET_RATE * net_cases[_i].asked *
			       (hot ? net_cases[_i].hot_times : 1);
		double through;

		if (net->now == net_cases[_i].restart)
			net_start(net, rand);
		for (int i = 0; i < NET_HOSTS; i++)
			if ((net->now + i) % NET_TICK_MS == 0)
				net_tick(net, &net->hosts[i]);
		owed += MIN(asked, NET_RATE) / 1000;
		left += asked / 1000;
		through = net_ask(net, rand, &left);
		run[net->now / 50] += through;
		total += through;
	}
	for (int from = 0; from + QUOTA_WINDOW_MS / 50 <= NET_END_MS / 50;
	     from++) {
		double sum = 0;

		for (int at = from; at < from + QUOTA_WINDOW_MS / 50; at++)
			sum += run[at];
		ck_assert_msg(sum <= allowed,
			      "%s: %.0f let through in 8 s from %d ms, "
			      "%.0f allowed",
			      net_cases[_i].what, sum, from * 50, allowed);
	}
	ck_assert_msg(total >= net_cases[_i].served_min * owed,
		      "%s: %.4f of what is owed served", net_cases[_i].what,
		      total / owed);
	g_rand_free(rand);
}
END_TEST

START_TEST(relay_listens_to_one)
{
	struct relay_source relay = { .last_report_at = 0 };

	ck_assert(relay_accepts(&relay, "a", 100));
	ck_assert(!relay_accepts(&relay, "b", 200));
	ck_assert(relay_accepts(&relay, "a", 600));
	/* The first one is silent. */
	ck_assert(!relay_accepts(&relay, "b", 1200));
	ck_assert(relay_accepts(&relay, "b", 1400));
	ck_assert(!relay_accepts(&relay, "a", 1500));
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
