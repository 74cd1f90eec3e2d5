/*
 * Simulation of the membership protocol under a virtual clock. One host is
 * killed halfway through the run. Prints how long the other hosts take to
 * detect it, how many live hosts are declared dead, and the cost per host.
 *
 * Usage: sim-member [--hosts N] [--loss PERCENT] [--seconds N] [--seed N]
 * Exits with 1 if a host does not detect the death or a live host is declared
 * dead.
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
#define DELAY_MS 5 /* maximum delay of a datagram */

struct node {
	struct cluster *cluster;
	struct member_list *list;
	bool dead;
	clk_ms detected_at; /* when it declared the victim dead; 0: not yet */
	uint64_t updates;   /* sent in its messages */
};

struct cluster {
	struct sim *sim;
	struct node *nodes;
	int count;
	int loss; /* lost datagrams, in per cent */
	int victim;
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

static double cpu_now(void)
{
	return (double)clock() / CLOCKS_PER_SEC;
}

static void packet_arrive(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct packet *packet = arg;
	struct node *node = &cluster->nodes[packet->to];
	double cpu_start = cpu_now();

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

	node->updates += msg->update_count;
	if (sim_chance(cluster->sim, (guint)cluster->loss * 10))
		return;
	packet = g_new(struct packet, 1);
	packet->cluster = cluster;
	packet->to = (int)strtol(rpc, NULL, 10);
	packet->msg = *msg;
	sim_after(cluster->sim, 1 + sim_random(cluster->sim, DELAY_MS),
		  packet_arrive, cluster, packet);
}

static void op_sync(void *ctx, const char *rpc)
{
	struct node *node = ctx;
	struct cluster *cluster = node->cluster;
	struct node *peer = &cluster->nodes[strtol(rpc, NULL, 10)];

	if (peer->dead)
		return;
	member_on_update(peer->list, &node->list->self, cluster->sim->now);
	member_on_update(node->list, &peer->list->self, cluster->sim->now);
	for (guint i = 0; i < peer->list->order->len; i++) {
		const struct member *member =
			g_ptr_array_index(peer->list->order, i);

		member_on_update(node->list, &member->info, cluster->sim->now);
	}
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

static void op_declared_dead(void *ctx)
{
	((struct node *)ctx)->cluster->declared_dead++;
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

static void node_tick(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct node *node = arg;
	double cpu_start = cpu_now();

	if (node->dead)
		return;
	member_tick(node->list, cluster->sim->now);
	cluster->cpu_s += cpu_now() - cpu_start;
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
	char name[16];

	snprintf(name, sizeof(name), "h%d", n);
	rid_incarnation(self.incarnation, sizeof(self.incarnation), name,
			(unsigned)n);
	snprintf(self.rpc, sizeof(self.rpc), "%d", n);
	snprintf(self.data_centre, sizeof(self.data_centre), "dc%d", n % 12);
	node->cluster = cluster;
	node->list = member_list_create(&self, &options);
	sim_after(cluster->sim, sim_random(cluster->sim, PERIOD_MS), node_tick,
		  cluster, node);
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

int main(int argc, const char **argv)
{
	struct cluster cluster = { .count = 8, .victim = 5 };
	int seconds = 60;
	int seed = 1;
	bool ok;
	struct poptOption options[] = {
		{ "hosts", 'n', POPT_ARG_INT, &cluster.count, 0,
		  "number of hosts", "N" },
		{ "loss", 'l', POPT_ARG_INT, &cluster.loss, 0,
		  "share of datagrams lost", "PERCENT" },
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
	cluster.sim = sim_create((guint32)seed);
	cluster.nodes = g_new0(struct node, cluster.count);
	for (int i = 0; i < cluster.count; i++)
		node_start(&cluster, i);
	sim_after(cluster.sim, (clk_ms)seconds * 500, kill_victim, &cluster,
		  NULL);
	sim_run(cluster.sim, (clk_ms)seconds * CLK_SECOND);
	ok = report(&cluster, seconds);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
