/*
 * What hosts see of the speed of each worker, exchanged the way of their
 * requests at workers (proxyd-report.c, proxyd-group.c, proxyd-relay.c): by
 * reports to one relay or to all, sums between the relays, and sums for the
 * others. See decide/fleet-speed.c.
 */
#include "proxyd.h"

#include <math.h>
#include <string.h>

#define PERIOD_MS 1000
/* Periods between two messages of a relay to a host that it feeds: of all these
 * messages they are the largest and the most. */
#define FEED_PERIODS 2
#define TTL_MS 5000  /* how long a host's last word counts */
#define UNITS 1000.0 /* of the values in messages */
#define WEIGHT_MAX 1e6
#define MEAN_MAX 12.0	  /* a logarithm of ms */
#define WEIGHT_LEAST 0.05 /* less is not worth a message */

/* Whose observations a message has. */
enum scope { SCOPE_HOST, SCOPE_GROUP, SCOPE_OTHERS, SCOPES };

/* Sums of observations over hosts, by worker. */
struct speed_sums {
	struct aggregate *weights;
	struct aggregate *sums;
};

struct speeds {
	struct speed_sums others; /* all other hosts */
	struct speed_sums group;  /* those that report to this relay */
	clk_ms next;
	unsigned periods;
};

static void weight_changed(void *ctx, uint32_t key, double total)
{
	struct proxyd *proxyd = ctx;

	fleet_on_peer_speed_weight(proxyd->fleet, key, total);
}

static void sum_changed(void *ctx, uint32_t key, double total)
{
	struct proxyd *proxyd = ctx;

	fleet_on_peer_speed_sum(proxyd->fleet, key, total);
}

void speed_start(struct proxyd *proxyd)
{
	struct speeds *speeds = g_new0(struct speeds, 1);

	speeds->others.weights = aggregate_create(weight_changed, proxyd);
	speeds->others.sums = aggregate_create(sum_changed, proxyd);
	speeds->group.weights = aggregate_create(NULL, NULL);
	speeds->group.sums = aggregate_create(NULL, NULL);
	proxyd->speeds = speeds;
}

static void sums_expire(struct speed_sums *sums, clk_ms before)
{
	aggregate_expire(sums->weights, before);
	aggregate_expire(sums->sums, before);
}

/* Lists own observations and those in sums, if any, without those of a host, if
 * any. The caller frees the list. */
static void message_fill(struct proxyd *proxyd, w_speeds *message,
			 const struct speed_sums *sums, const char *without)
{
	GHashTable *workers = proxyd->fleet->workers;
	uint32_t host_key = without ? aggregate_key(without) : 0;
	GHashTableIter iter;
	gpointer value;

	message->process = proxyd->members->self.incarnation;
	message->workers.workers_len = 0;
	message->workers.workers_val =
		g_new(w_speed, g_hash_table_size(workers));
	g_hash_table_iter_init(&iter, workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_worker *worker = value;
		double weight = worker->speed.weight;
		double sum = worker->speed.sum;

		if (without &&
		    !fleet_in_subset(proxyd->fleet, worker, host_key))
			continue;
		if (sums) {
			weight += aggregate_total(sums->weights, worker->key);
			sum += aggregate_total(sums->sums, worker->key);
		}
		if (without) {
			weight -= aggregate_lookup(sums->weights, without,
						   worker->key);
			sum -= aggregate_lookup(sums->sums, without,
						worker->key);
		}
		if (weight < WEIGHT_LEAST || sum < 0)
			continue;
		message->workers.workers_val[message->workers.workers_len++] =
			(w_speed){
				.key = worker->key,
				.weight = (u_int)(MIN(weight, WEIGHT_MAX) *
						  UNITS),
				.mean = (u_int)(MIN(sum / weight, MEAN_MAX) *
						UNITS),
			};
	}
}

/* Sends this host's observations, or its group's, to its parent or to the other
 * relays. */
static void send_up(struct proxyd *proxyd)
{
	const struct feed *feed = &proxyd->feed;
	const GPtrArray *order = proxyd->members->order;
	bool groups = group_is_active(proxyd);
	w_speeds message = { .scope = groups ? SCOPE_GROUP : SCOPE_HOST };

	message_fill(proxyd, &message, groups ? &proxyd->speeds->group : NULL,
		     NULL);
	for (guint i = 0; i < order->len; i++) {
		const struct member *to = g_ptr_array_index(order, i);
		bool gets = feed->grouped && !groups
				    ? !strcmp(to->info.rpc, feed->parent)
				    : g_hash_table_contains(feed->relays,
							    to->info.rpc);

		if (gets && to->info.state != MEMBER_DEAD &&
		    build_has(to->info.incarnation, BUILD_SPEEDS))
			rpc_send_speeds(proxyd->rpc, to->info.rpc, &message);
	}
	g_free(message.workers.workers_val);
}

/* Sends the hosts that this relay feeds what all others have seen. */
static void send_down(struct proxyd *proxyd)
{
	const GArray *targets = proxyd->feed.targets;

	for (guint i = 0; i < targets->len; i++) {
		const struct feed_target *target =
			&g_array_index(targets, struct feed_target, i);
		w_speeds message = { .scope = SCOPE_OTHERS };

		if (!target->primary ||
		    !build_has(target->incarnation, BUILD_SPEEDS))
			continue;
		message_fill(proxyd, &message, &proxyd->speeds->others,
			     target->incarnation);
		rpc_send_speeds(proxyd->rpc, target->rpc, &message);
		g_free(message.workers.workers_val);
	}
}

void speed_tick(struct proxyd *proxyd)
{
	struct speeds *speeds = proxyd->speeds;
	clk_ms now = proxyd_now(proxyd);

	if (now < speeds->next)
		return;
	speeds->next = now + PERIOD_MS;
	sums_expire(&speeds->others, now - TTL_MS);
	sums_expire(&speeds->group, now - TTL_MS);
	fleet_speeds_update(proxyd->fleet, now);
	send_up(proxyd);
	if (!proxyd->feed.all_follow && proxyd->feed.role != FEED_LEAF &&
	    ++speeds->periods % FEED_PERIODS == 0)
		send_down(proxyd);
}

static bool message_is_valid(const w_speeds *message)
{
	for (u_int i = 0; i < message->workers.workers_len; i++) {
		const w_speed *speed = &message->workers.workers_val[i];

		if (speed->weight > WEIGHT_MAX * UNITS ||
		    speed->mean > MEAN_MAX * UNITS)
			return false;
	}
	return message->scope < SCOPES;
}

static void sums_apply(struct proxyd *proxyd, struct speed_sums *sums,
		       const char *process, const w_speeds *message)
{
	u_int count = message->workers.workers_len;
	struct aggregate_value *weights = g_new(struct aggregate_value, count);
	struct aggregate_value *totals = g_new(struct aggregate_value, count);
	clk_ms now = proxyd_now(proxyd);

	for (u_int i = 0; i < count; i++) {
		const w_speed *speed = &message->workers.workers_val[i];
		double weight = speed->weight / UNITS;

		weights[i] = (struct aggregate_value){ speed->key, weight };
		totals[i] = (struct aggregate_value){
			speed->key, weight * speed->mean / UNITS
		};
	}
	aggregate_update(sums->weights, process, weights, count, now);
	aggregate_update(sums->sums, process, totals, count, now);
	g_free(weights);
	g_free(totals);
}

void speed_on_speeds(void *ctx, const w_speeds *message)
{
	struct proxyd *proxyd = ctx;
	struct speeds *speeds = proxyd->speeds;
	char *process;

	if (!message_is_valid(message)) {
		report_bad_value(proxyd, message->process, "bad_speed");
		return;
	}
	/* A host that was replaced may still send what it has summed up. */
	if (!member_is_live(proxyd->members, message->process))
		return;
	if (message->scope != SCOPE_OTHERS) {
		sums_apply(proxyd, &speeds->others, message->process, message);
		if (message->scope == SCOPE_HOST && group_is_active(proxyd))
			sums_apply(proxyd, &speeds->group, message->process,
				   message);
		return;
	}
	if (proxyd->feed.role != FEED_LEAF)
		return;
	/* It takes the place of what another relay has sent. */
	sums_expire(&speeds->others, proxyd_now(proxyd));
	process = g_strconcat("others~", message->process, NULL);
	sums_apply(proxyd, &speeds->others, process, message);
	g_free(process);
}
