/* Tests of rate limits across all hosts, by simulated demand. */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "../decide/quota.h"
#include "../decide/relay.h"
#include "run.h"

#define TIMEOUT_S 60

#define YES true
#define NO false

/* Takes units for a request of the most urgent rank. */
static bool admits(struct quota *quota, GRand *rand, double units,
		   bool takes_up, unsigned hosts, clk_ms now)
{
	struct quota_refusal refusal;

	return quota_take(quota,
			  &(struct quota_request){
				  .units = units,
				  .takes_up = takes_up,
				  .hosts = hosts,
				  .chance = g_rand_double(rand),
				  .time_left = 10000,
			  },
			  now, &refusal);
}

/* A rate limit across a few hosts, each of which reports to all others: an
 * account far above its limit, late reports, and restarts of all hosts. */

#define QUOTA_HOSTS 6
#define QUOTA_WINDOW_MS 8000	/* in which the limit is checked */
#define QUOTA_PERIOD_MS 500	/* between reports */
#define QUOTA_NEAR_LIMIT_MS 120 /* between reports near the limit */

static const struct {
	const char *what;
	double demand; /* units per second that callers request */
	clk_ms restart_at;
	bool partitioned;  /* hosts receive no reports for some time */
	bool single_host;  /* all requests arrive at one host */
	double served_min; /* part of the demand, or of the limit */
	double storm;	   /* demand in the RETURN_MS after the restart */
	double taken_up;   /* units of streams that are taken up then */
} quota_cases[] = {
	{ "usual", 60000, 0, NO, NO, 0.995, 0, 0 },
	{ "usual, all at one host", 30000, 0, NO, YES, 0.9, 0, 0 },
	{ "hot", 800000, 0, NO, NO, 0.9, 0, 0 },
	{ "hot, all hosts restart", 800000, 9000, NO, NO, 0.7, 0, 0 },
	{ "hot, partitioned", 800000, 0, YES, NO, 0.8, 0, 0 },
	{ "usual, partitioned", 60000, 0, YES, NO, 0.9, 0, 0 },
	{ "near its limit, all hosts restart, streams are taken up", 120000,
	  9000, NO, NO, 0.7, 430000, 160000 },
	{ "hot, all hosts restart, streams are taken up", 800000, 9000, NO, NO,
	  0.7, 800000, 160000 },
};

/* Callers come back within this time after all hosts restarted; streams are
 * taken up in the second half of it. */
#define RETURN_MS 3000.0
#define TAKEN_UP_MIN 0.9 /* of the share of new requests that are admitted */

START_TEST(quota_holds_over_hosts)
{
	const double rate = 107683;
	const double slack = 140000;
	const double allowed =
		(rate * QUOTA_WINDOW_MS / 1000 + rate) * 1.1 + slack;
	const double demand = quota_cases[_i].demand;
	struct quota *quotas[QUOTA_HOSTS];
	double admitted[30000 / 50] = { 0 };
	double total = 0;
	double requested = 0;
	double reported[QUOTA_HOSTS] = { 0 };
	double taken_up = 0;
	double gone_on = 0;
	GRand *rand = g_rand_new_with_seed(7);
	int incarnation = 0;

	for (int i = 0; i < QUOTA_HOSTS; i++) {
		quotas[i] = quota_create();
		quota_set(quotas[i], rate, rate, slack, true, 0);
	}
	for (clk_ms now = 0; now < 30000; now += 5) {
		double units = g_rand_double_range(rand, 500, 14000);
		bool partitioned = quota_cases[_i].partitioned && now > 6000 &&
				   now < 16000;
		clk_ms age = now - quota_cases[_i].restart_at;
		bool restarting =
			quota_cases[_i].restart_at && age >= 0 && age < 1000;
		/* A host that restarts knows itself and the listed hosts. */
		unsigned hosts = quota_host_count(restarting ? 1 : QUOTA_HOSTS,
						  QUOTA_HOSTS, age);

		if (quota_cases[_i].restart_at == now && now > 0) {
			incarnation++;
			for (int i = 0; i < QUOTA_HOSTS; i++) {
				quotas[i] = quota_create();
				quota_set(quotas[i], rate, rate, slack, false,
					  now);
				reported[i] = 0;
			}
		}
		for (int i = 0; i < QUOTA_HOSTS; i++) {
			char name[32];

			if (partitioned || restarting ||
			    now % (quota_near_limit(quotas[i]) ||
						   quota_report_due(quotas[i],
								    hosts)
					   ? QUOTA_NEAR_LIMIT_MS
					   : QUOTA_PERIOD_MS))
				continue;
			g_snprintf(name, sizeof(name), "h%d~%d", i,
				   incarnation);
			/* The reported total is that of the message before. */
			for (int j = 0; j < QUOTA_HOSTS; j++)
				if (i != j)
					quota_on_report(quotas[j], name,
							reported[i],
							CLK_NEVER / 2,
							QUOTA_HOSTS, now);
			reported[i] = quotas[i]->spent;
			quota_on_report_sent(quotas[i]);
		}
		bool returning = quota_cases[_i].storm > 0 && age >= 0 &&
				 (double)age < RETURN_MS;

		if (returning && (double)age >= RETURN_MS / 2 &&
		    taken_up < quota_cases[_i].taken_up *
				       ((double)age - RETURN_MS / 2) /
				       (RETURN_MS / 2)) {
			int host = g_rand_int_range(rand, 0, QUOTA_HOSTS);

			taken_up += units;
			if (admits(quotas[host], rand, units, true, hosts,
				   now)) {
				gone_on += units;
				admitted[now / 50] += units;
			}
		}
		/* As many requests as the demand amounts to. */
		for (double remaining =
			     (returning ? quota_cases[_i].storm : demand) * 5 /
			     1000;
		     remaining > 0;) {
			int host = quota_cases[_i].single_host
					   ? 0
					   : g_rand_int_range(rand, 0,
							      QUOTA_HOSTS);

			if (units > remaining &&
			    g_rand_double(rand) > remaining / units)
				break;
			remaining -= units;
			requested += units;
			if (!admits(quotas[host], rand, units, false, hosts,
				    now))
				continue;
			admitted[now / 50] += units;
			total += units;
		}
	}
	for (size_t i = 0; i + QUOTA_WINDOW_MS / 50 <= G_N_ELEMENTS(admitted);
	     i++) {
		double sum = 0;

		for (size_t j = i; j < i + QUOTA_WINDOW_MS / 50; j++)
			sum += admitted[j];
		ck_assert_msg(sum <= allowed,
			      "%s: %.0f in a window, %.0f allowed",
			      quota_cases[_i].what, sum, allowed);
	}
	ck_assert_msg(total >= quota_cases[_i].served_min *
				       MIN(requested, rate * 30),
		      "%s: %.0f of %.0f served", quota_cases[_i].what, total,
		      MIN(requested, rate * 30));
	ck_assert_msg(gone_on >= TAKEN_UP_MIN * taken_up * total / requested,
		      "%s: %.0f of %.0f taken up, %.0f of %.0f new",
		      quota_cases[_i].what, gone_on, taken_up, total,
		      requested);
	g_rand_free(rand);
}
END_TEST

/* Hosts that hear nothing of each other any more, as they were lost or cut off:
 * the limit holds though all of them go on, and each serves its share. */

#define SILENT_FROM_MS 9000
#define SILENT_UNTIL_MS 16000
#define SILENT_NOTICED_MS 1200 /* after the last report */
#define SILENT_DEMAND 8.0      /* times the limit */
#define SILENT_SHARE_MIN 0.7   /* of the equal share, at each host */

static const struct {
	const char *what;
	int alone; /* hosts that hear nothing; the others hear each other */
	bool lost; /* all others were lost */
} silent_cases[] = {
	{ "one is cut off", 1, false },
	{ "all are cut off", QUOTA_HOSTS, false },
	{ "one survives", 1, true },
};

/* Whether two hosts hear each other. */
static bool are_in_touch(int case_idx, int i, int j, clk_ms now)
{
	int alone = silent_cases[case_idx].alone;

	return now < SILENT_FROM_MS || now >= SILENT_UNTIL_MS ||
	       (i >= alone && j >= alone);
}

START_TEST(quota_holds_while_hosts_are_silent)
{
	const double rate = 107683;
	const double slack = 140000;
	const double allowed =
		(rate * QUOTA_WINDOW_MS / 1000 + rate) * 1.1 + slack;
	struct quota *quotas[QUOTA_HOSTS];
	double admitted[24000 / 50] = { 0 };
	double served = 0;
	GRand *rand = g_rand_new_with_seed(3);
	clk_ms measured_from = SILENT_FROM_MS + 2 * SILENT_NOTICED_MS;

	for (int i = 0; i < QUOTA_HOSTS; i++) {
		quotas[i] = quota_create();
		quota_set(quotas[i], rate, rate, slack, true, 0);
	}
	for (clk_ms now = 0; now < 24000; now += 5) {
		bool lost = silent_cases[_i].lost && now >= SILENT_FROM_MS &&
			    now < SILENT_UNTIL_MS;
		bool noticed = now >= SILENT_FROM_MS + SILENT_NOTICED_MS &&
			       now < SILENT_UNTIL_MS + SILENT_NOTICED_MS;

		for (int i = 0; i < QUOTA_HOSTS; i++) {
			char name[8];
			int heard = 0;

			for (int j = 0; j < QUOTA_HOSTS; j++)
				heard += i == j || are_in_touch(_i, i, j, now);
			quota_set_coverage(
				quotas[i],
				noticed ? heard / (double)QUOTA_HOSTS : 1, now);
			if (now % QUOTA_NEAR_LIMIT_MS)
				continue;
			g_snprintf(name, sizeof(name), "h%d", i);
			for (int j = 0; j < QUOTA_HOSTS; j++)
				if (i != j && are_in_touch(_i, i, j, now) &&
				    !(lost && i > 0))
					quota_on_report(quotas[j], name,
							quotas[i]->spent, 1500,
							QUOTA_HOSTS, now);
			quota_on_report_sent(quotas[i]);
		}
		for (double remaining = SILENT_DEMAND * rate * 5 / 1000;
		     remaining > 0;) {
			double units = g_rand_double_range(rand, 500, 14000);
			int host =
				lost ? 0
				     : g_rand_int_range(rand, 0, QUOTA_HOSTS);

			if (units > remaining &&
			    g_rand_double(rand) > remaining / units)
				break;
			remaining -= units;
			if (!admits(quotas[host], rand, units, false,
				    QUOTA_HOSTS, now))
				continue;
			admitted[now / 50] += units;
			if (host == 0 && now >= measured_from &&
			    now < SILENT_UNTIL_MS)
				served += units;
		}
	}
	for (size_t i = 0; i + QUOTA_WINDOW_MS / 50 <= G_N_ELEMENTS(admitted);
	     i++) {
		double sum = 0;

		for (size_t j = i; j < i + QUOTA_WINDOW_MS / 50; j++)
			sum += admitted[j];
		ck_assert_msg(sum <= allowed,
			      "%s: %.0f in a window from %zu ms, %.0f allowed",
			      silent_cases[_i].what, sum, i * 50, allowed);
	}
	ck_assert_msg(
		served >= SILENT_SHARE_MIN * rate / QUOTA_HOSTS *
				  (double)(SILENT_UNTIL_MS - measured_from) /
				  CLK_SECOND,
		"%s: %.0f served by the first host", silent_cases[_i].what,
		served);
	g_rand_free(rand);
}
END_TEST

/* Many hosts: each reports to one of a few relays. The relays exchange the
 * spending of their groups, and send what remains of the limit to the hosts
 * that report to them. */

#define NET_HOSTS 63
#define NET_HOSTS_MAX 89
#define NET_LATE 8 /* messages of a relay on the way to one host */
#define NET_RELAYS 8
#define NET_REPLACEMENT NET_RELAYS /* host that replaces the first relay */
#define NET_TICK_MS 100		   /* between a host's ticks */
#define NET_REPORT_MS 500
#define NET_GAP_MS 1500
#define NET_END_MS 30000

#define NET_PARTITION 42 /* first host that is partitioned off */
/* How long a host counts as reporting after its last report. */
#define NET_REPORTED_MS 1200
#define NET_VIEW_DELAY_MS 700 /* until all hosts know of new relays */
#define NET_RESTART_MS 1000   /* from a restart to the first reports */
#define NET_RATE 164460
#define NET_SLACK 140000

static const struct {
	const char *what;
	double demand;	   /* relative to the account's rate */
	double hot_factor; /* of the demand from hot_from on */
	clk_ms hot_from;
	clk_ms replaced_from;  /* another host replaces the first relay */
	clk_ms replaced_until; /* the first relay takes over again */
	clk_ms overlap; /* at each replacement, both relay for this time */
	clk_ms partitioned_from; /* a third of the hosts */
	clk_ms partitioned_until;
	clk_ms restart_at; /* of all hosts; 0: never */
	/* From this time on other hosts are the relays every so many ms, of
	 * which each host learns with a delay of its own. */
	clk_ms relays_change_from;
	clk_ms relays_change_every;
	double served_min; /* part of the demand within the limit */
} net_cases[] = {
	{ .what = "usual", .demand = 0.55, .served_min = 0.995 },
	{ .what = "near the limit", .demand = 0.9, .served_min = 0.95 },
	{ .what = "hot",
	  .demand = 0.55,
	  .hot_factor = 8,
	  .hot_from = 8000,
	  .served_min = 0.9 },
	{ .what = "usual, a relay is replaced",
	  .demand = 0.55,
	  .replaced_from = 8000,
	  .replaced_until = 16000,
	  .served_min = 0.99 },
	{ .what = "usual, two relays at once",
	  .demand = 0.55,
	  .replaced_from = 8000,
	  .replaced_until = 16000,
	  .overlap = 900,
	  .served_min = 0.99 },
	{ .what = "hot, two relays at once",
	  .demand = 0.55,
	  .hot_factor = 8,
	  .hot_from = 7000,
	  .replaced_from = 8000,
	  .replaced_until = 16000,
	  .overlap = 900,
	  .served_min = 0.88 },
	{ .what = "usual, a third is partitioned off",
	  .demand = 0.55,
	  .partitioned_from = 8000,
	  .partitioned_until = 20000,
	  .served_min = 0.95 },
	{ .what = "hot as a third is partitioned off",
	  .demand = 0.55,
	  .hot_factor = 8,
	  .hot_from = 8070,
	  .partitioned_from = 8000,
	  .partitioned_until = 20000,
	  .served_min = 0.7 },
	{ .what = "hot, then a third is partitioned off",
	  .demand = 0.55,
	  .hot_factor = 8,
	  .hot_from = 6000,
	  .partitioned_from = 9000,
	  .partitioned_until = 20000,
	  .served_min = 0.7 },
	{ .what = "hot, then all restart",
	  .demand = 0.55,
	  .hot_factor = 6,
	  .hot_from = 6000,
	  .restart_at = 10000,
	  .served_min = 0.7 },
	{ .what = "usual, relays change",
	  .demand = 0.55,
	  .relays_change_from = 6000,
	  .relays_change_every = 2500,
	  .served_min = 0.95 },
	{ .what = "hot, relays change",
	  .demand = 0.55,
	  .hot_factor = 8,
	  .hot_from = 4000,
	  .relays_change_from = 6000,
	  .relays_change_every = 2500,
	  .served_min = 0.7 },
	{ .what = "hot, relays change once",
	  .demand = 0.55,
	  .hot_factor = 8,
	  .hot_from = 4000,
	  .relays_change_from = 9000,
	  .relays_change_every = 60000,
	  .served_min = 0.85 },
};

struct net_host {
	char name[24];
	struct quota *quota;
	struct relay_source source;
	clk_ms next_report_at;
	clk_ms reported_at[NET_HOSTS_MAX]; /* to this relay, by each host */
	unsigned groups[NET_HOSTS_MAX];	   /* reporting to other relays */
	clk_ms group_at[NET_HOSTS_MAX];
	unsigned reporting_hosts; /* by the last aggregated report */
	clk_ms relay_since;	  /* 0: it is no relay */
	unsigned relay_changes;	  /* that this host knows of */
	clk_ms relays_changed_at; /* 0: never */
	clk_ms sent_report_at;
	struct {
		double remaining;
		clk_ms at; /* it arrives; 0: none */
	} late[NET_LATE];
};

struct net {
	struct net_host hosts[NET_HOSTS_MAX];
	int hosts_count;
	int relays;
	double rate;
	clk_ms near_limit_ms; /* between a leaf's reports near the limit */
	clk_ms late_ms;	      /* of what a relay sends to its hosts */
	clk_ms restart_at;    /* of all hosts; 0: never */
	int case_idx;
	clk_ms now;
};

static bool net_within(const struct net *net, clk_ms from, clk_ms until)
{
	return until > 0 && net->now >= from && net->now < until;
}

/* Returns whether a host is partitioned off now. */
static bool net_is_partitioned(const struct net *net,
			       const struct net_host *host)
{
	return host - net->hosts >= NET_PARTITION &&
	       net_within(net, net_cases[net->case_idx].partitioned_from,
			  net_cases[net->case_idx].partitioned_until);
}

/* Returns how often the relays have changed, as far as a host knows. */
static unsigned net_relay_changes(const struct net *net,
				  const struct net_host *host)
{
	clk_ms from = net_cases[net->case_idx].relays_change_from;
	clk_ms every = net_cases[net->case_idx].relays_change_every;
	clk_ms delay = (host - net->hosts) * 37 % NET_VIEW_DELAY_MS;

	if (every == 0 || net->now - delay < from)
		return 0;
	return (unsigned)(1 + (net->now - delay - from) / every);
}

/* Returns the host at a place among the relays of a host or, if overlapping is
 * set, the other host that acts as that relay during a replacement; NULL if
 * there is none. */
static struct net_host *net_relay_at(struct net *net,
				     const struct net_host *host, int place,
				     bool overlapping)
{
	clk_ms from = net_cases[net->case_idx].replaced_from;
	clk_ms until = net_cases[net->case_idx].replaced_until;
	clk_ms overlap = net_cases[net->case_idx].overlap;
	bool replaced = place == 0 && net_within(net, from, until);
	bool changing = place == 0 && until > 0 &&
			(net_within(net, from, from + overlap) ||
			 net_within(net, until, until + overlap));

	if (net_is_partitioned(net, host))
		return overlapping ? NULL : &net->hosts[NET_PARTITION + place];
	if (overlapping)
		return changing ? &net->hosts[replaced ? 0 : NET_REPLACEMENT]
				: NULL;
	if (net_cases[net->case_idx].relays_change_every > 0)
		place = (int)((unsigned)place +
			      net_relay_changes(net, host) * NET_RELAYS) %
			net->hosts_count;
	return &net->hosts[replaced ? NET_REPLACEMENT : place];
}

static void net_report_to(struct net *net, struct net_host *relay,
			  const struct net_host *host)
{
	if (!relay || relay == host)
		return;
	relay->reported_at[host - net->hosts] = net->now;
	quota_add_to_group(relay->quota,
			   quota_on_report(relay->quota, host->name,
					   host->quota->spent, NET_GAP_MS,
					   net->hosts_count, net->now));
}

static bool net_is_recent(const struct net *net, clk_ms at)
{
	return at > 0 && at >= net->now - NET_REPORTED_MS;
}

/* Counts the hosts that report to a relay, itself included. */
static unsigned net_group_size(const struct net *net,
			       const struct net_host *relay)
{
	unsigned count = 1;

	for (int i = 0; i < net->hosts_count; i++)
		count += net_is_recent(net, relay->reported_at[i]);
	return count;
}

/* Counts the hosts whose spending a relay knows. */
static unsigned net_reporting_hosts(const struct net *net,
				    const struct net_host *relay)
{
	unsigned count = net_group_size(net, relay);

	/* Hosts have only begun to report to a new relay. */
	if (net->now - relay->relay_since < NET_REPORTED_MS)
		return net->hosts_count;
	for (int i = 0; i < net->hosts_count; i++)
		if (net_is_recent(net, relay->group_at[i]))
			count += relay->groups[i];
	return MIN(count, net->hosts_count);
}

/* A relay sends another one the spending of its group. */
static void net_group_to(struct net *net, struct net_host *other,
			 const struct net_host *relay)
{
	if (!other || other == relay)
		return;
	other->groups[relay - net->hosts] = net_group_size(net, relay);
	other->group_at[relay - net->hosts] = net->now;
	quota_on_group(other->quota, relay->name,
		       quota_group_spent(relay->quota), NET_GAP_MS,
		       net->hosts_count, net->now);
}

static void net_send_remaining(const struct net *net,
			       const struct net_host *relay,
			       struct net_host *host)
{
	double remaining;
	int slot;

	if (relay == host ||
	    !relay_accepts(&host->source, relay->name, net->now))
		return;
	host->reporting_hosts = net_reporting_hosts(net, relay);
	remaining = quota_remaining(relay->quota, (unsigned)net->hosts_count,
				    net->now);
	if (net->late_ms == 0) {
		quota_on_remaining(host->quota, remaining, net->now);
		return;
	}
	slot = (int)(net->now / NET_TICK_MS) % NET_LATE;
	host->late[slot].remaining = remaining;
	host->late[slot].at = net->now + net->late_ms;
}

/* Delivers what was on the way. */
static void net_deliver(struct net *net)
{
	for (int i = 0; i < net->hosts_count; i++)
		for (int j = 0; j < NET_LATE; j++)
			if (net->hosts[i].late[j].at == net->now)
				quota_on_remaining(
					net->hosts[i].quota,
					net->hosts[i].late[j].remaining,
					net->now);
}

static bool net_is_relay(struct net *net, const struct net_host *host)
{
	for (int place = 0; place < net->relays; place++)
		if (net_relay_at(net, host, place, false) == host)
			return true;
	return false;
}

/* A relay sends what remains of the limit to the hosts that it serves. */
static void net_relay_to_hosts(struct net *net, const struct net_host *relay,
			       int place)
{
	if (net_relay_at(net, relay, place, false) != relay &&
	    net_relay_at(net, relay, place, true) != relay)
		return;
	for (int i = 0; i < net->hosts_count; i++) {
		struct net_host *host = &net->hosts[i];

		if (i % net->relays == place && !net_is_relay(net, host) &&
		    net_is_partitioned(net, host) ==
			    net_is_partitioned(net, relay))
			net_send_remaining(net, relay, host);
	}
}

static void net_group_send(struct net *net, struct net_host *relay)
{
	for (int place = 0; place < net->relays; place++) {
		net_group_to(net, net_relay_at(net, relay, place, false),
			     relay);
		net_group_to(net, net_relay_at(net, relay, place, true), relay);
	}
	quota_on_group_sent(relay->quota);
}

/* One host's tick. */
static void net_tick(struct net *net, struct net_host *host)
{
	bool due = net->now >= host->next_report_at;
	bool near_limit = quota_near_limit(host->quota);
	clk_ms restart = net->restart_at;
	clk_ms started = restart && net->now >= restart ? restart : 0;
	unsigned hosts = (unsigned)net->hosts_count;

	if (started && net->now - started < NET_RESTART_MS)
		return;
	if (!net_is_relay(net, host)) {
		host->relay_since = 0;
	} else {
		if (!host->relay_since)
			host->relay_since = net->now;
		host->reporting_hosts = net_reporting_hosts(net, host);
	}
	if (net_relay_changes(net, host) != host->relay_changes) {
		host->relay_changes = net_relay_changes(net, host);
		host->relays_changed_at = net->now;
	}
	quota_set_settled(host->quota,
			  !host->relays_changed_at ||
				  net->now - host->relays_changed_at >=
					  NET_REPORTED_MS);
	if (net->now - started > NET_GAP_MS)
		quota_set_coverage(host->quota,
				   (double)host->reporting_hosts /
					   net->hosts_count,
				   net->now);
	if (host->relay_since) {
		if (due || near_limit ||
		    quota_group_due(host->quota, (unsigned)net->relays))
			net_group_send(net, host);
	} else if (due || quota_report_due(host->quota, hosts) ||
		   (near_limit &&
		    net->now - host->sent_report_at >= net->near_limit_ms)) {
		int place = (int)(host - net->hosts) % net->relays;

		net_report_to(net, net_relay_at(net, host, place, false), host);
		net_report_to(net, net_relay_at(net, host, place, true), host);
		quota_on_report_sent(host->quota);
		host->sent_report_at = net->now;
	}
	for (int place = 0; place < net->relays && (due || near_limit); place++)
		net_relay_to_hosts(net, host, place);
	if (due)
		host->next_report_at = net->now + NET_REPORT_MS;
}

/* Starts or restarts all hosts. */
static void net_start(struct net *net, GRand *rand)
{
	for (int i = 0; i < net->hosts_count; i++) {
		struct net_host *host = &net->hosts[i];

		*host = (struct net_host){ .reporting_hosts =
						   net->hosts_count };
		g_snprintf(host->name, sizeof(host->name), "h%d~%d", i,
			   (int)net->now);
		host->quota = quota_create();
		host->next_report_at =
			net->now + g_rand_int_range(rand, 0, NET_REPORT_MS);
		quota_set(host->quota, net->rate, net->rate, NET_SLACK,
			  net->now == 0, net->now);
	}
}

/* Sends requests of very different sizes until no units remain; returns the
 * admitted units. */
static double net_send_requests(struct net *net, GRand *rand, double *remaining)
{
	double admitted = 0;

	while (*remaining > 0) {
		double size = g_rand_double_range(rand, 0, 1);
		double units = 200 + 20000 * size * size * size;
		int host = g_rand_int_range(rand, 0, net->hosts_count);

		*remaining -= units;
		if (admits(net->hosts[host].quota, rand, units, false,
			   net->hosts_count, net->now))
			admitted += units;
	}
	return admitted;
}

START_TEST(quota_holds_over_many_hosts)
{
	const double allowed =
		(NET_RATE * QUOTA_WINDOW_MS / 1000.0 + NET_RATE) * 1.1 +
		NET_SLACK;
	struct net *net = g_new0(struct net, 1);
	double admitted[NET_END_MS / 50] = { 0 };
	double total = 0;
	double entitled = 0;
	double remaining = 0;
	GRand *rand = g_rand_new_with_seed(11);

	net->case_idx = _i;
	net->hosts_count = NET_HOSTS;
	net->relays = NET_RELAYS;
	net->rate = NET_RATE;
	net->near_limit_ms = NET_TICK_MS;
	net->restart_at = net_cases[_i].restart_at;
	net_start(net, rand);
	for (net->now = 1; net->now < NET_END_MS; net->now++) {
		bool hot = net_cases[_i].hot_factor > 0 &&
			   net->now >= net_cases[_i].hot_from;
		double demand = NET_RATE * net_cases[_i].demand *
				(hot ? net_cases[_i].hot_factor : 1);
		double units;

		if (net->now == net->restart_at)
			net_start(net, rand);
		for (int i = 0; i < NET_HOSTS; i++)
			if ((net->now + i) % NET_TICK_MS == 0)
				net_tick(net, &net->hosts[i]);
		entitled += MIN(demand, NET_RATE) / 1000;
		remaining += demand / 1000;
		units = net_send_requests(net, rand, &remaining);
		admitted[net->now / 50] += units;
		total += units;
	}
	for (int from = 0; from + QUOTA_WINDOW_MS / 50 <= NET_END_MS / 50;
	     from++) {
		double sum = 0;

		for (int slot = from; slot < from + QUOTA_WINDOW_MS / 50;
		     slot++)
			sum += admitted[slot];
		ck_assert_msg(sum <= allowed,
			      "%s: %.0f admitted in 8 s from %d ms, "
			      "%.0f allowed",
			      net_cases[_i].what, sum, from * 50, allowed);
	}
	ck_assert_msg(total >= net_cases[_i].served_min * entitled,
		      "%s: served %.4f of the demand within the limit",
		      net_cases[_i].what, total / entitled);
	g_rand_free(rand);
}
END_TEST

/* An account with requests of very different sizes and ranks, at, below and
 * above its limit: it is refused neither by size nor by where its clients
 * connect, and the more urgent requests get the bucket. */

#define MIX_SIZES 10 /* classes by size, of equal numbers */
#define MIX_KINDS 4
#define MIX_FROM_MS                                                            \
	6000 /* measured from here on, when the burst is used up               \
	      */
#define MIX_PROMPT_MAX 54600
#define MIX_LOST_MS 1000 /* until all hosts run again */
#define MIX_RUNS 5	 /* whose counts are added up */
/* The largest tenth and the fifth below it, against all of the kind. */
#define MIX_SIZE_MIN 0.8
#define MIX_KIND_MARGIN 0.03 /* by chance, between two ranks */

/* Per second of deployment K; units are tokens. */
static const struct {
	const char *name;
	int rank;
	double shared, own, out;
	double per_s, value;
} mix_kinds[MIX_KINDS] = {
	{ "long dialogue", 0, 5382, 6610, 380, 143, 5.8 },
	{ "short brief", 1, 198, 628, 290, 106, 1.1 },
	{ "digest", 2, 568, 1800, 20, 336, 0.075 },
	{ "order", QUOTA_PLAIN, 0, 0, 200, 204, 1 },
};

static const struct {
	const char *what;
	int hosts;
	double rate;	     /* of the account */
	double demand;	     /* as a multiple of it */
	int clients_at;	     /* hosts to which its clients connect; 0: all */
	double served_min;   /* of each kind */
	double value_min;    /* of the best order known afterwards */
	clk_ms lost_at;	     /* all hosts are; 0: never */
	double demand_after; /* from then on; 0: the same */
	bool unreadable;     /* the store, when they start again */
} mix_cases[] = {
	{ .what = "6 hosts, below, all lost, clients return at once",
	  .hosts = 6,
	  .rate = 300000,
	  .demand = 0.9,
	  .value_min = 0.8,
	  .lost_at = 15000,
	  .demand_after = 6 },
	{ .what = "63 hosts, below, all lost, clients return at once",
	  .hosts = 63,
	  .rate = 600000,
	  .demand = 0.9,
	  .value_min = 0.8,
	  .lost_at = 15000,
	  .demand_after = 6 },
	{ .what = "89 hosts, below, all lost, clients return at once",
	  .hosts = 89,
	  .rate = 900000,
	  .demand = 0.9,
	  .value_min = 0.8,
	  .lost_at = 15000,
	  .demand_after = 6 },
	{ .what = "89 hosts, small, below, all lost, clients return at once",
	  .hosts = 89,
	  .rate = 164460,
	  .demand = 0.9,
	  .value_min = 0.8,
	  .lost_at = 15000,
	  .demand_after = 6 },

	{ .what = "6 hosts, below",
	  .hosts = 6,
	  .rate = 300000,
	  .demand = 0.9,
	  .served_min = 0.99,
	  .value_min = 0.99 },
	{ .what = "63 hosts, below",
	  .hosts = 63,
	  .rate = 600000,
	  .demand = 0.9,
	  .served_min = 0.99,
	  .value_min = 0.99 },
	{ .what = "89 hosts, below",
	  .hosts = 89,
	  .rate = 900000,
	  .demand = 0.9,
	  .served_min = 0.99,
	  .value_min = 0.99 },
	{ .what = "89 hosts, clients at 9",
	  .hosts = 89,
	  .rate = 900000,
	  .demand = 0.9,
	  .clients_at = 9,
	  .served_min = 0.99,
	  .value_min = 0.99 },
	{ .what = "89 hosts, clients at one",
	  .hosts = 89,
	  .rate = 900000,
	  .demand = 0.7,
	  .clients_at = 1,
	  .served_min = 0.99,
	  .value_min = 0.99 },
	{ .what = "89 hosts, small, below",
	  .hosts = 89,
	  .rate = 164460,
	  .demand = 0.9,
	  .served_min = 0.99,
	  .value_min = 0.99 },
	{ .what = "6 hosts, below, all lost",
	  .hosts = 6,
	  .rate = 300000,
	  .demand = 0.9,
	  .served_min = 0.99,
	  .value_min = 0.99,
	  .lost_at = 15000 },
	{ .what = "63 hosts, below, all lost",
	  .hosts = 63,
	  .rate = 600000,
	  .demand = 0.9,
	  .served_min = 0.99,
	  .value_min = 0.99,
	  .lost_at = 15000 },
	{ .what = "89 hosts, below, all lost",
	  .hosts = 89,
	  .rate = 900000,
	  .demand = 0.9,
	  .served_min = 0.99,
	  .value_min = 0.99,
	  .lost_at = 15000 },
	{ .what = "6 hosts, six times, all lost",
	  .hosts = 6,
	  .rate = 300000,
	  .demand = 6,
	  .value_min = 0.8,
	  .lost_at = 15000 },
	{ .what = "63 hosts, six times, all lost",
	  .hosts = 63,
	  .rate = 600000,
	  .demand = 6,
	  .value_min = 0.8,
	  .lost_at = 15000 },
	{ .what = "89 hosts, six times, all lost",
	  .hosts = 89,
	  .rate = 900000,
	  .demand = 6,
	  .value_min = 0.8,
	  .lost_at = 15000 },
	{ .what = "89 hosts, small, six times, all lost",
	  .hosts = 89,
	  .rate = 164460,
	  .demand = 6,
	  .value_min = 0.8,
	  .lost_at = 15000 },
	{ .what = "89 hosts, three times, all lost, store unreadable",
	  .hosts = 89,
	  .rate = 900000,
	  .demand = 3,
	  .value_min = 0.8,
	  .lost_at = 15000,
	  .unreadable = true },
	{ .what = "6 hosts, at the limit",
	  .hosts = 6,
	  .rate = 300000,
	  .demand = 1,
	  .value_min = 0.9 },
	{ .what = "63 hosts, at the limit",
	  .hosts = 63,
	  .rate = 600000,
	  .demand = 1,
	  .value_min = 0.9 },
	{ .what = "89 hosts, at the limit",
	  .hosts = 89,
	  .rate = 900000,
	  .demand = 1,
	  .value_min = 0.9 },
	{ .what = "6 hosts, three times",
	  .hosts = 6,
	  .rate = 300000,
	  .demand = 3,
	  .value_min = 0.9 },
	{ .what = "63 hosts, three times",
	  .hosts = 63,
	  .rate = 600000,
	  .demand = 3,
	  .value_min = 0.9 },
	{ .what = "89 hosts, three times",
	  .hosts = 89,
	  .rate = 900000,
	  .demand = 3,
	  .value_min = 0.9 },
	{ .what = "89 hosts, small, three times",
	  .hosts = 89,
	  .rate = 164460,
	  .demand = 3,
	  .value_min = 0.9 },
};

struct mix {
	struct net net;
	GRand *rand;
	double bounds[MIX_SIZES - 1]; /* of the classes, of own / its mean */
	double asked[MIX_KINDS][MIX_SIZES];
	double served[MIX_KINDS][MIX_SIZES];
	double asked_units[MIX_KINDS];
	double served_units;
	unsigned longest_wait; /* refusals whose retry_after is too long */
};

/* Returns a factor of mean 1 for the own tokens of a prompt: log-normal. */
static double mix_factor(GRand *rand)
{
	double sum = -6;

	for (int i = 0; i < 12; i++)
		sum += g_rand_double(rand);
	return exp(sum - 0.5);
}

static int compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Finds the bounds of the classes by a sample. */
static void mix_bounds(struct mix *mix)
{
	double sample[10000];

	for (size_t i = 0; i < G_N_ELEMENTS(sample); i++)
		sample[i] = mix_factor(mix->rand);
	qsort(sample, G_N_ELEMENTS(sample), sizeof(double), compare_doubles);
	for (int i = 1; i < MIX_SIZES; i++)
		mix->bounds[i - 1] =
			sample[(size_t)i * G_N_ELEMENTS(sample) / MIX_SIZES];
}

/* Units of all kinds per second of K. */
static double mix_units_per_s(void)
{
	double sum = 0;

	for (int i = 0; i < MIX_KINDS; i++)
		sum += mix_kinds[i].per_s *
		       (mix_kinds[i].shared + mix_kinds[i].own +
			mix_kinds[i].out);
	return sum;
}

static void mix_request(struct mix *mix, int case_idx, int kind,
			double *admitted)
{
	struct net *net = &mix->net;
	int clients_at = mix_cases[case_idx].clients_at;
	double factor = mix_factor(mix->rand);
	struct quota_refusal refusal = { .retry_after = 0 };
	struct quota_request request = {
		.units = MIN(mix_kinds[kind].shared +
				     factor * mix_kinds[kind].own,
			     MIX_PROMPT_MAX) +
			 mix_kinds[kind].out,
		.rank = mix_kinds[kind].rank,
		.hosts = (unsigned)net->hosts_count,
		.chance = g_rand_double(mix->rand),
		.time_left = 2500,
	};
	int host = g_rand_int_range(mix->rand, 0,
				    clients_at ? clients_at : net->hosts_count);
	bool taken = quota_take(net->hosts[host].quota, &request, net->now,
				&refusal);
	int size = 0;

	if (taken)
		admitted[net->now / 50] += request.units;
	else
		mix->longest_wait +=
			refusal.retry_after > request.time_left / 3 + 1;
	if (net->now < MIX_FROM_MS)
		return;
	while (size < MIX_SIZES - 1 && factor > mix->bounds[size])
		size++;
	mix->asked[kind][size]++;
	mix->asked_units[kind] += request.units;
	if (!taken)
		return;
	mix->served[kind][size]++;
	mix->served_units += request.units;
}

/* Returns the part of a kind that was served, of the classes by size from first
 * to last. */
static double mix_part(const struct mix *mix, int kind, int first, int last)
{
	double asked = 0;
	double served = 0;

	for (int i = first; i <= last; i++) {
		asked += mix->asked[kind][i];
		served += mix->served[kind][i];
	}
	return asked > 0 ? served / asked : 1;
}

/* Returns the value that was served, as a part of what the same units give if
 * they go to the most urgent requests first. */
static double mix_value(const struct mix *mix)
{
	static const int order[MIX_KINDS] = { 3, 0, 1, 2 };
	double left = mix->served_units;
	double best = 0;
	double served = 0;

	for (int i = 0; i < MIX_KINDS; i++) {
		int kind = order[i];
		double asked = 0;
		double units = MIN(left, mix->asked_units[kind]);

		for (int j = 0; j < MIX_SIZES; j++)
			asked += mix->asked[kind][j];
		best += mix_kinds[kind].value * asked * units /
			mix->asked_units[kind];
		left -= units;
		served += mix_kinds[kind].value * asked *
			  mix_part(mix, kind, 0, MIX_SIZES - 1);
	}
	return served / best;
}

static void mix_check(const struct mix *mix, int case_idx)
{
	const char *what = mix_cases[case_idx].what;
	double more_urgent = 1;

	for (int kind = 0; kind < MIX_KINDS; kind++) {
		double all = mix_part(mix, kind, 0, MIX_SIZES - 1);
		double tenth = mix_part(mix, kind, 9, 9);
		double fifth = mix_part(mix, kind, 7, 8);

		printf("%s, %s: served %.3f, largest tenth %.3f, fifth below "
		       "%.3f\n",
		       what, mix_kinds[kind].name, all, tenth, fifth);
		ck_assert_msg(all >= mix_cases[case_idx].served_min,
			      "%s: %.3f of %s served", what, all,
			      mix_kinds[kind].name);
		/* Where hardly any are served, chance decides. */
		ck_assert_msg(all < 0.1 || (tenth >= MIX_SIZE_MIN * all &&
					    fifth >= MIX_SIZE_MIN * all),
			      "%s, %s: %.3f of the largest tenth, %.3f of the "
			      "fifth below, %.3f of all",
			      what, mix_kinds[kind].name, tenth, fifth, all);
		ck_assert_msg(mix_kinds[kind].rank < 0 ||
				      all <= more_urgent + MIX_KIND_MARGIN,
			      "%s: %.3f of %s served, %.3f of a more urgent "
			      "kind",
			      what, all, mix_kinds[kind].name, more_urgent);
		more_urgent = all;
	}
}

/* What the first host has written to the store. */
struct mix_balance {
	bool listed;
	double units;
	clk_ms at;
};

/* Writes the balance as proxyd-limits.c does. */
static void mix_write(struct net *net, struct mix_balance *balance)
{
	struct quota *quota = net->hosts[0].quota;
	bool near_limit = quota_near_limit(quota);

	if (near_limit == balance->listed &&
	    (!near_limit || net->now - balance->at < QUOTA_BALANCE_MS))
		return;
	*balance = (struct mix_balance){
		.listed = near_limit,
		.units = quota_remaining(quota, (unsigned)net->hosts_count,
					 net->now),
		.at = net->now,
	};
}

/* Starts all hosts again. */
static void mix_restart(struct mix *mix, const struct mix_balance *balance,
			bool unreadable)
{
	struct net *net = &mix->net;

	net_start(net, mix->rand);
	for (int i = 0; i < net->hosts_count && !unreadable; i++) {
		if (balance->listed)
			quota_on_balance(net->hosts[i].quota, balance->units,
					 net->now - balance->at, net->now);
		else
			quota_on_below_limit(net->hosts[i].quota, net->now);
	}
}

static void mix_check_windows(int case_idx, const double *admitted)
{
	double rate = mix_cases[case_idx].rate;
	double allowed =
		(rate * QUOTA_WINDOW_MS / 1000 + rate) * 1.1 + NET_SLACK;

	for (int from = 0; from + QUOTA_WINDOW_MS / 50 <= NET_END_MS / 50;
	     from++) {
		double sum = 0;

		for (int slot = from; slot < from + QUOTA_WINDOW_MS / 50;
		     slot++)
			sum += admitted[slot];
		ck_assert_msg(sum <= allowed,
			      "%s: %.0f admitted in 8 s from %d ms, "
			      "%.0f allowed",
			      mix_cases[case_idx].what, sum, from * 50,
			      allowed);
	}
}

static void mix_run(struct mix *mix, int case_idx)
{
	struct net *net = &mix->net;
	double admitted[NET_END_MS / 50] = { 0 };
	double scale = mix_cases[case_idx].demand * mix_cases[case_idx].rate /
		       mix_units_per_s() / 1000;
	double due[MIX_KINDS] = { 0 };
	clk_ms lost_at = mix_cases[case_idx].lost_at;
	struct mix_balance balance = { .at = 0 };
	double after = mix_cases[case_idx].demand_after > 0
			       ? mix_cases[case_idx].demand_after /
					 mix_cases[case_idx].demand
			       : 1;

	*net = (struct net){
		.hosts_count = mix_cases[case_idx].hosts,
		.relays = MIN(NET_RELAYS, mix_cases[case_idx].hosts),
		.rate = mix_cases[case_idx].rate,
		.near_limit_ms = 300,
		.late_ms = mix_cases[case_idx].hosts > NET_RELAYS ? 200 : 0,
		.restart_at = lost_at ? lost_at + MIX_LOST_MS : 0,
	};
	net_start(net, mix->rand);
	for (net->now = 1; net->now < NET_END_MS; net->now++) {
		if (lost_at && net->now >= lost_at &&
		    net->now < net->restart_at)
			continue;
		if (lost_at && net->now == net->restart_at)
			mix_restart(mix, &balance,
				    mix_cases[case_idx].unreadable);
		mix_write(net, &balance);
		net_deliver(net);
		for (int i = 0; i < net->hosts_count; i++)
			if ((net->now + i) % NET_TICK_MS == 0)
				net_tick(net, &net->hosts[i]);
		for (int kind = 0; kind < MIX_KINDS; kind++) {
			due[kind] +=
				scale * mix_kinds[kind].per_s * 2 *
				g_rand_double(mix->rand) *
				(lost_at && net->now > lost_at ? after : 1);
			for (; due[kind] >= 1; due[kind]--)
				mix_request(mix, case_idx, kind, admitted);
		}
	}
	mix_check_windows(case_idx, admitted);
}

START_TEST(quota_serves_sizes_and_ranks)
{
	struct mix *mix = g_new0(struct mix, 1);
	double value;

	mix->rand = g_rand_new_with_seed(5);
	mix_bounds(mix);
	for (int run = 0; run < MIX_RUNS; run++)
		mix_run(mix, _i);
	value = mix_value(mix);
	printf("%s: value %.3f of the best order's, units %.3f of the limit\n",
	       mix_cases[_i].what, value,
	       mix->served_units / mix_cases[_i].rate / MIX_RUNS /
		       (NET_END_MS - MIX_FROM_MS) * 1000);
	mix_check(mix, _i);
	ck_assert_msg(value >= mix_cases[_i].value_min,
		      "%s: value %.3f of the best order's", mix_cases[_i].what,
		      value);
	ck_assert_uint_eq(mix->longest_wait, 0);
	g_rand_free(mix->rand);
	g_free(mix);
}
END_TEST

/* A host reports to another relay after it had spent, and units are given back:
 * the total of the relay's group falls below 0, which other relays accept. */
START_TEST(quota_group_total_may_be_negative)
{
	struct quota *relay = quota_create();
	double total;

	quota_set(relay, NET_RATE, NET_RATE, NET_SLACK, true, 0);
	quota_add_to_group(relay, quota_on_report(relay, "child", 5000,
						  NET_GAP_MS, 20, 9000));
	ck_assert_double_eq(quota_group_spent(relay), 0);
	quota_add_to_group(relay, quota_on_report(relay, "child", 4000,
						  NET_GAP_MS, 20, 9500));
	total = quota_group_spent(relay);
	ck_assert_double_eq(total, -1000);
	ck_assert(quota_spent_is_valid(total));
	ck_assert(!quota_spent_is_valid(NAN));
	ck_assert(!quota_spent_is_valid(INFINITY));
}
END_TEST

/* A relay that becomes a leaf goes on to report, without its group's spending:
 * nothing was given back. The same if it is a relay again. */
START_TEST(quota_role_change_is_no_refund)
{
	struct quota *parent = quota_create();
	double left;

	quota_set(parent, NET_RATE, NET_RATE, NET_SLACK, true, 0);
	quota_on_group(parent, "host", 50000, NET_GAP_MS, 20, 9000);
	quota_on_group(parent, "host", 50000 + NET_RATE, NET_GAP_MS, 20, 9100);
	left = quota_remaining(parent, 20, 9200);
	quota_add_to_group(parent, quota_on_report(parent, "host", 4000,
						   NET_GAP_MS, 20, 9200));
	ck_assert_double_eq(quota_remaining(parent, 20, 9200), left);
	ck_assert_double_eq(quota_group_spent(parent), 0);
	quota_add_to_group(parent, quota_on_report(parent, "host", 4400,
						   NET_GAP_MS, 20, 9200));
	ck_assert_double_eq(quota_remaining(parent, 20, 9200), left - 400);
	quota_on_group(parent, "host", 50400 + NET_RATE, NET_GAP_MS, 20, 9200);
	ck_assert_double_le(quota_remaining(parent, 20, 9200), left - 400);
}
END_TEST

START_TEST(relay_accepts_one_source)
{
	struct relay_source source = { .last_report_at = 0 };

	ck_assert(relay_accepts(&source, "a", 100));
	ck_assert(!relay_accepts(&source, "b", 200));
	ck_assert(relay_accepts(&source, "a", 600));
	/* The first source has stopped sending. */
	ck_assert(!relay_accepts(&source, "b", 1200));
	ck_assert(relay_accepts(&source, "b", 1400));
	ck_assert(!relay_accepts(&source, "a", 1500));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("unit_quota");
	TCase *tcase = tcase_create("quota");

	/* The default of 4 s expired on a busy machine, with 5 simulations in
	 * a case. */
	tcase_set_timeout(tcase, TIMEOUT_S);

	tcase_add_loop_test(tcase, quota_holds_over_hosts, 0,
			    G_N_ELEMENTS(quota_cases));
	tcase_add_loop_test(tcase, quota_holds_while_hosts_are_silent, 0,
			    G_N_ELEMENTS(silent_cases));
	tcase_add_loop_test(tcase, quota_holds_over_many_hosts, 0,
			    G_N_ELEMENTS(net_cases));
	tcase_add_loop_test(tcase, quota_serves_sizes_and_ranks, 0,
			    G_N_ELEMENTS(mix_cases));
	tcase_add_test(tcase, quota_group_total_may_be_negative);
	tcase_add_test(tcase, quota_role_change_is_no_refund);
	tcase_add_test(tcase, relay_accepts_one_source);
	suite_add_tcase(suite, tcase);
	return run_suite(suite, "unit_quota");
}
