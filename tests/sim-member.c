/*
 * Simulation of the membership protocol under a virtual clock. One host is
 * killed halfway through the run. Prints how long the other hosts take to
 * detect it, how many live hosts are declared dead, and the cost per host.
 *
 * With --starts two hosts start again every few seconds, a moment apart, while
 * a part of the others is paused. Prints how long they take to know all hosts
 * that run, and the cost.
 *
 * With --cuts the hosts are split into groups that don't reach each other every
 * few seconds, for long enough that they declare each other dead. Prints how
 * long after the cut's end they all know each other again, and the cost.
 *
 * Usage: sim-member [--hosts N] [--loss PERCENT] [--seconds N] [--seed N]
 *                   [--starts [--paused PERCENT] | --cuts]
 * Exits with 1 if a host does not detect the death or a live host is declared
 * dead; with --starts and --cuts, if a host does not know all others in time or
 * control costs too much.
 */
#include <math.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../decide/member.h"
#include "../wire/args.h"
#include "../sim/sim.h"

#define PERIOD_MS 500
#define SUSPICION_MS 1500
#define TICK_MS 20
#define DELAY_MS 5	    /* maximum delay of a datagram */
#define START_EVERY_MS 8000 /* between two pairs of hosts that start again */
#define START_DOWN_MS 500   /* how long a host is down before */
#define START_APART_MS 5    /* between the two hosts of a pair */
#define PAUSE_MS 3000	    /* of hosts that are paused at a start */
#define KNOWN_MS 2000	    /* within which a host must know all others */
#define KNOWN_ALL_MS 2500   /* the same where all hosts start at once */
#define CUT_EVERY_MS 30000  /* between two cuts */
#define CUT_MAX_MS 12000    /* how long one lasts at most */
#define PINGS_MAX 128	    /* listed hosts that a new one pings */
#define UPDATE_BYTES 80	    /* of an update in a datagram */
#define MEMBER_BYTES 27	    /* of a member in a compressed full exchange */
#define CONTROL_BYTES 7000  /* allowed per host and second */

struct node {
	struct cluster *cluster;
	struct member_list *list;
	bool dead;
	unsigned starts;
	clk_ms started_at;
	bool renewed; /* took its incarnation as it was declared dead */
	int group;    /* reaches only hosts of the same one */
	clk_ms paused_until;
	clk_ms detected_at; /* when it declared the victim dead; 0: not yet */
	bool knows_all;	    /* or has been found late */
	uint64_t updates;   /* sent in its messages */
};

struct cluster {
	struct sim *sim;
	struct node *nodes;
	int count;
	int loss; /* lost datagrams, in per cent */
	int victim;
	int paused;  /* hosts paused at a start, in per cent */
	bool renews; /* hosts that were declared dead go on */
	int cut_count;
	int late_cuts;	  /* that not all hosts had healed in time */
	clk_ms healed_at; /* the last one; 0: all know each other since */
	clk_ms slowest_heal;
	int pair[2];	       /* that start again */
	int started;	       /* hosts that did */
	int late;	       /* that did not know all others in time */
	clk_ms known;	       /* after which all others were known, at most */
	clk_ms known_at_first; /* the same, of the start of all */
	uint64_t exchanges;
	uint64_t exchanged; /* members in them */
	clk_ms killed_at;
	int false_deaths;
	int declared_dead; /* live hosts informed that they were declared
			      dead */
	double cpu_s;	   /* processor time in decide/ */
};

struct packet {
	struct cluster *cluster;
	int to;
	struct member_msg msg;
};

/* A full exchange on its way. */
struct exchange {
	int from;
	int to;
	unsigned starts; /* of the host that asked for it */
	struct member_update self;
	GArray *updates; /* of struct member_update; NULL: not yet answered */
};

static double cpu_now(void)
{
	return (double)clock() / CLOCKS_PER_SEC;
}

static bool reaches(const struct cluster *cluster, int from, int to)
{
	return cluster->nodes[from].group == cluster->nodes[to].group;
}

static void packet_arrive(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct packet *packet = arg;
	struct node *node = &cluster->nodes[packet->to];
	double cpu_start = cpu_now();

	if (cluster->sim->now < node->paused_until) {
		sim_after(cluster->sim, node->paused_until - cluster->sim->now,
			  packet_arrive, cluster, packet);
		return;
	}
	if (!node->dead)
		member_on_msg(node->list, &packet->msg, cluster->sim->now);
	cluster->cpu_s += cpu_now() - cpu_start;
	g_free(packet);
}

static void op_send(void *ctx, const char *rpc, const struct member_msg *msg)
{
	struct node *node = ctx;
	struct cluster *cluster = node->cluster;
	struct packet *packet;
	int to = (int)strtol(rpc, NULL, 10);

	node->updates += msg->update_count;
	if (!reaches(cluster, (int)(node - cluster->nodes), to) ||
	    sim_chance(cluster->sim, (guint)cluster->loss * 10))
		return;
	packet = g_new(struct packet, 1);
	packet->cluster = cluster;
	packet->to = to;
	packet->msg = *msg;
	sim_after(cluster->sim, 1 + sim_random(cluster->sim, DELAY_MS),
		  packet_arrive, cluster, packet);
}

static void exchange_free(struct exchange *exchange)
{
	if (exchange->updates)
		g_array_unref(exchange->updates);
	g_free(exchange);
}

static void exchange_answered(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct exchange *exchange = arg;
	struct node *node = &cluster->nodes[exchange->from];
	clk_ms now = cluster->sim->now;

	if (!node->dead && node->starts == exchange->starts) {
		for (guint i = 0; i < exchange->updates->len; i++)
			member_on_update(node->list,
					 &g_array_index(exchange->updates,
							struct member_update,
							i),
					 now);
		member_on_synced(node->list, now);
	}
	exchange_free(exchange);
}

static void exchange_arrive(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct exchange *exchange = arg;
	struct node *peer = &cluster->nodes[exchange->to];
	const GPtrArray *order = peer->list->order;

	if (peer->dead || cluster->sim->now < peer->paused_until ||
	    !reaches(cluster, exchange->from, exchange->to)) {
		exchange_free(exchange);
		return;
	}
	member_on_update(peer->list, &exchange->self, cluster->sim->now);
	exchange->updates =
		g_array_new(FALSE, FALSE, sizeof(struct member_update));
	g_array_append_val(exchange->updates, peer->list->self);
	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		g_array_append_val(exchange->updates, member->info);
	}
	cluster->exchanges++;
	cluster->exchanged += exchange->updates->len;
	sim_after(cluster->sim, 1 + sim_random(cluster->sim, DELAY_MS),
		  exchange_answered, cluster, exchange);
}

static void op_sync(void *ctx, const char *rpc)
{
	struct node *node = ctx;
	struct cluster *cluster = node->cluster;
	struct exchange *exchange = g_new0(struct exchange, 1);

	exchange->from = (int)(node - cluster->nodes);
	exchange->to = (int)strtol(rpc, NULL, 10);
	exchange->starts = node->starts;
	exchange->self = node->list->self;
	sim_after(cluster->sim, 1 + sim_random(cluster->sim, DELAY_MS),
		  exchange_arrive, cluster, exchange);
}

static void op_changed(void *ctx, const struct member *member)
{
	struct node *node = ctx;
	struct cluster *cluster = node->cluster;
	int subject = (int)strtol(member->info.rpc, NULL, 10);

	if (member->info.state != MEMBER_DEAD)
		return;
	if (!cluster->nodes[subject].dead)
		cluster->false_deaths++;
	else if (subject == cluster->victim && !node->detected_at)
		node->detected_at = cluster->sim->now;
}

/* Names a host's next incarnation. */
static void incarnation_next(struct node *node, char *buf, size_t size)
{
	struct cluster *cluster = node->cluster;
	int n = (int)(node - cluster->nodes);
	char name[16];

	snprintf(name, sizeof(name), "h%d", n);
	rid_incarnation(buf, size, name,
			(unsigned)n + (unsigned)cluster->count * node->starts);
	node->starts++;
}

static void op_declared_dead(void *ctx)
{
	struct node *node = ctx;
	struct cluster *cluster = node->cluster;
	char incarnation[RID_INCARNATION_MAX + 1];

	cluster->declared_dead++;
	if (!cluster->renews)
		return;
	incarnation_next(node, incarnation, sizeof(incarnation));
	node->renewed = true;
	member_renew(node->list, incarnation, cluster->sim->now);
}

static void op_notice_received(void *ctx, const struct member_notice *notice)
{
	(void)ctx;
	(void)notice;
}

static void op_revisions(void *ctx, const char *rpc, uint64_t settings,
			 uint64_t hosts)
{
	(void)ctx;
	(void)rpc;
	(void)settings;
	(void)hosts;
}

static uint32_t op_random(void *ctx, uint32_t n)
{
	return sim_random(((struct node *)ctx)->cluster->sim, n);
}

static const struct member_ops ops = {
	.send = op_send,
	.sync = op_sync,
	.changed = op_changed,
	.declared_dead = op_declared_dead,
	.notice_received = op_notice_received,
	.revisions = op_revisions,
	.random = op_random,
};

/* Whether a host knows all others that run, even if it takes one for dead.
 * Hosts that were declared dead and took a new incarnation are left out. */
static bool knows_all(const struct cluster *cluster, const struct node *node)
{
	clk_ms now = cluster->sim->now;

	for (int i = 0; i < cluster->count; i++) {
		const struct node *other = &cluster->nodes[i];

		if (other == node || other->dead || now < other->paused_until ||
		    other->renewed)
			continue;
		if (!member_find(node->list, other->list->self.incarnation))
			return false;
	}
	return true;
}

/* Notes when a host that has started knows all others. */
static void knowledge_check(struct cluster *cluster, struct node *node)
{
	bool first = node->started_at == 0;
	clk_ms age = cluster->sim->now - node->started_at;

	if (node->knows_all)
		return;
	if (knows_all(cluster, node)) {
		clk_ms *known =
			first ? &cluster->known_at_first : &cluster->known;

		*known = MAX(*known, age);
	} else if (age > (first ? KNOWN_ALL_MS : KNOWN_MS)) {
		cluster->late++;
	} else {
		return;
	}
	node->knows_all = true;
}

/* Whether all hosts know each other and take none for dead. */
static bool all_know_each_other(const struct cluster *cluster)
{
	for (int i = 0; i < cluster->count; i++)
		for (int j = 0; j < cluster->count; j++)
			if (i != j &&
			    !member_is_live(
				    cluster->nodes[i].list,
				    cluster->nodes[j].list->self.incarnation))
				return false;
	return true;
}

/* Notes when all hosts know each other after a cut. */
static void heal_check(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	clk_ms age = cluster->sim->now - cluster->healed_at;

	(void)arg;
	/* The next cut has begun. */
	if (!cluster->healed_at)
		return;
	if (!all_know_each_other(cluster)) {
		sim_after(cluster->sim, TICK_MS, heal_check, cluster, NULL);
		return;
	}
	cluster->late_cuts += age > KNOWN_MS;
	cluster->slowest_heal = MAX(cluster->slowest_heal, age);
	cluster->healed_at = 0;
}

static void cut_end(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;

	(void)arg;
	for (int i = 0; i < cluster->count; i++)
		cluster->nodes[i].group = 0;
	cluster->healed_at = cluster->sim->now;
	heal_check(cluster, NULL);
}

/* Splits the hosts into two halves, three parts, or one host and the rest. */
static void cut_begin(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct sim *sim = cluster->sim;
	unsigned parts = 1 + sim_random(sim, 3);
	clk_ms lasts = 1000 + (clk_ms)sim_random(sim, CUT_MAX_MS - 1000);

	(void)arg;
	/* Hosts that still don't know each other are late. */
	cluster->late_cuts += cluster->healed_at != 0;
	cluster->healed_at = 0;
	cluster->cut_count++;
	for (int i = 0; i < cluster->count; i++)
		cluster->nodes[i].group =
			parts == 1 ? 0 : (int)sim_random(sim, parts);
	if (parts == 1)
		cluster->nodes[sim_random(sim, (guint)cluster->count)].group =
			1;
	sim_after(sim, lasts, cut_end, cluster, NULL);
	sim_after(sim, CUT_EVERY_MS, cut_begin, cluster, NULL);
}

static void node_tick(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct node *node = arg;
	double cpu_start = cpu_now();

	if (node->dead)
		return;
	if (cluster->sim->now < node->paused_until) {
		sim_after(cluster->sim, node->paused_until - cluster->sim->now,
			  node_tick, cluster, node);
		return;
	}
	member_tick(node->list, cluster->sim->now);
	cluster->cpu_s += cpu_now() - cpu_start;
	knowledge_check(cluster, node);
	sim_after(cluster->sim, TICK_MS, node_tick, cluster, node);
}

static void node_start(struct cluster *cluster, int n)
{
	static char *seeds[] = { "0", "1", "2", NULL };
	struct node *node = &cluster->nodes[n];
	struct member_update self = { .state = MEMBER_ALIVE };
	struct member_options options = {
		.ops = &ops,
		.ctx = node,
		.period = PERIOD_MS,
		.ack_timeout = PERIOD_MS / 2,
		.suspicion_timeout = SUSPICION_MS,
		.dead_retention = 600000,
		.sync_period = 10000,
		.seeds = seeds,
	};

	node->cluster = cluster;
	incarnation_next(node, self.incarnation, sizeof(self.incarnation));
	snprintf(self.rpc, sizeof(self.rpc), "%d", n);
	snprintf(self.data_centre, sizeof(self.data_centre), "dc%d", n % 12);
	node->list = member_list_create(&self, &options);
	node->started_at = cluster->sim->now;
	node->renewed = false;
}

static void node_restart(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct node *node = arg;
	uint64_t sent = node->list->sent;
	int pinged = 0;

	member_list_free(node->list);
	node->dead = false;
	node->knows_all = false;
	node_start(cluster, (int)(node - cluster->nodes));
	node->list->sent = sent;
	cluster->started++;
	for (int i = 0; i < cluster->count && pinged < PINGS_MAX; i++) {
		/* The other one of the pair is not listed yet. */
		if (i == cluster->pair[0] || i == cluster->pair[1])
			continue;
		member_ping(node->list, cluster->nodes[i].list->self.rpc);
		pinged++;
	}
	node_tick(cluster, node);
}

/* Ends two hosts and pauses others, then starts the two again. */
static void pair_end(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct sim *sim = cluster->sim;

	(void)arg;
	cluster->pair[0] = (int)sim_random(sim, (guint)cluster->count);
	do
		cluster->pair[1] = (int)sim_random(sim, (guint)cluster->count);
	while (cluster->pair[1] == cluster->pair[0]);
	for (int i = 0; i < cluster->count; i++) {
		struct node *node = &cluster->nodes[i];

		if (i == cluster->pair[0] || i == cluster->pair[1])
			node->dead = true;
		else if (sim_chance(sim, (guint)cluster->paused * 10))
			node->paused_until =
				sim->now + START_DOWN_MS + PAUSE_MS;
	}
	for (int i = 0; i < 2; i++)
		sim_after(sim, START_DOWN_MS + (clk_ms)i * START_APART_MS,
			  node_restart, cluster,
			  &cluster->nodes[cluster->pair[i]]);
	sim_after(sim, START_EVERY_MS, pair_end, cluster, NULL);
}

static void kill_victim(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;

	(void)arg;
	cluster->nodes[cluster->victim].dead = true;
	cluster->killed_at = cluster->sim->now;
}

/* Prints the results; returns whether all hosts detected the death and no live
 * host was declared dead. */
static bool report(struct cluster *cluster, int seconds)
{
	uint64_t sent = 0;
	uint64_t updates = 0;
	clk_ms slowest = 0;
	int undetected = 0;

	for (int i = 0; i < cluster->count; i++) {
		struct node *node = &cluster->nodes[i];

		sent += node->list->sent;
		updates += node->updates;
		if (i == cluster->victim)
			continue;
		if (!node->detected_at)
			undetected++;
		else
			slowest = MAX(slowest,
				      node->detected_at - cluster->killed_at);
	}
	printf("hosts %d loss %d%%: death detected by all after "
	       "%" G_GINT64_FORMAT
	       " ms, missed by %d, false deaths %d, per host and second "
	       "%.2f datagrams, %.2f updates, %.1f us\n",
	       cluster->count, cluster->loss, slowest, undetected,
	       cluster->false_deaths, (double)sent / cluster->count / seconds,
	       (double)updates / cluster->count / seconds,
	       cluster->cpu_s * 1e6 / cluster->count / seconds);
	return undetected == 0 && cluster->false_deaths == 0;
}

/* Returns the bytes that a host has sent a second, and the datagrams of all. */
static double cost(const struct cluster *cluster, int seconds, uint64_t *sent)
{
	double bytes = (double)cluster->exchanged * MEMBER_BYTES;

	*sent = 0;
	for (int i = 0; i < cluster->count; i++) {
		*sent += cluster->nodes[i].list->sent;
		bytes += (double)cluster->nodes[i].updates * UPDATE_BYTES;
	}
	return bytes / ((double)cluster->count * seconds);
}

/* Prints the results of cuts; returns whether all hosts knew each other in time
 * after each, at a bounded cost. */
static bool report_cuts(struct cluster *cluster, int seconds)
{
	uint64_t sent;
	double bytes = cost(cluster, seconds, &sent);

	printf("hosts %d loss %d%%: %d cuts of %d healed late, all others "
	       "known after at most %" G_GINT64_FORMAT
	       " ms, per host and second %.2f datagrams, %.3f exchanges, "
	       "%.0f bytes\n",
	       cluster->count, cluster->loss, cluster->late_cuts,
	       cluster->cut_count, cluster->slowest_heal,
	       (double)sent / cluster->count / seconds,
	       (double)cluster->exchanges / cluster->count / seconds, bytes);
	return cluster->late_cuts == 0 && bytes <= CONTROL_BYTES;
}

/* Prints the results of starts; returns whether all hosts knew the others in
 * time, at a bounded cost. */
static bool report_starts(struct cluster *cluster, int seconds)
{
	uint64_t sent;
	double bytes = cost(cluster, seconds, &sent);

	printf("hosts %d loss %d%% paused %d%%: %d hosts of %d late, all "
	       "others "
	       "known after at most %" G_GINT64_FORMAT " ms, where all start "
	       "%" G_GINT64_FORMAT " ms, per host and second %.2f datagrams, "
	       "%.3f exchanges, %.0f bytes\n",
	       cluster->count, cluster->loss, cluster->paused, cluster->late,
	       cluster->started + cluster->count, cluster->known,
	       cluster->known_at_first, (double)sent / cluster->count / seconds,
	       (double)cluster->exchanges / cluster->count / seconds, bytes);
	return cluster->late == 0 && bytes <= CONTROL_BYTES;
}

int main(int argc, const char **argv)
{
	struct cluster cluster = { .count = 8, .victim = 5 };
	int seconds = 60;
	int seed = 1;
	int starts = 0;
	int cuts = 0;
	bool ok;
	struct poptOption options[] = {
		{ "hosts", 'n', POPT_ARG_INT, &cluster.count, 0,
		  "number of hosts", "N" },
		{ "loss", 'l', POPT_ARG_INT, &cluster.loss, 0,
		  "share of datagrams lost", "PERCENT" },
		{ "starts", 'r', POPT_ARG_NONE, &starts, 0, "hosts start again",
		  NULL },
		{ "cuts", 'c', POPT_ARG_NONE, &cuts, 0,
		  "hosts are cut into groups", NULL },
		{ "paused", 'p', POPT_ARG_INT, &cluster.paused, 0,
		  "share of hosts paused at a start", "PERCENT" },
		{ "seconds", 't', POPT_ARG_INT, &seconds, 0,
		  "simulated seconds", "N" },
		{ "seed", 's', POPT_ARG_INT, &seed, 0, "seed", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (!args_read(popt, "sim-member"))
		return 2;
	if (cluster.count <= cluster.victim) {
		fprintf(stderr, "sim-member: --hosts %d: must be at least %d\n",
			(int)cluster.count, (int)cluster.victim + 1);
		return 2;
	}
	cluster.renews = starts || cuts;
	cluster.sim = sim_create((guint32)seed);
	cluster.nodes = g_new0(struct node, cluster.count);
	for (int i = 0; i < cluster.count; i++) {
		node_start(&cluster, i);
		sim_after(cluster.sim, sim_random(cluster.sim, PERIOD_MS),
			  node_tick, &cluster, &cluster.nodes[i]);
	}
	if (cuts)
		sim_after(cluster.sim, START_EVERY_MS, cut_begin, &cluster,
			  NULL);
	else if (starts)
		sim_after(cluster.sim, START_EVERY_MS, pair_end, &cluster,
			  NULL);
	else
		sim_after(cluster.sim, (clk_ms)seconds * 500, kill_victim,
			  &cluster, NULL);
	sim_run(cluster.sim, (clk_ms)seconds * CLK_SECOND);
	if (cuts)
		ok = report_cuts(&cluster, seconds);
	else
		ok = starts ? report_starts(&cluster, seconds)
			    : report(&cluster, seconds);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
