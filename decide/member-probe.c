/* Probing, suspicion, expiry of members and full exchanges. */
#include "member-int.h"

#include <string.h>

#define SUSPICION_DOUBLINGS 3  /* the timeout grows from 16 members on */
#define INDIRECT_PROBES 3      /* most members asked for an indirect probe */
#define PAUSE_PERIODS 4	       /* a longer gap between ticks is a pause */
#define SMALL_CLUSTER_HOSTS 16 /* above it full exchanges are rarer */
#define SYNC_RETRY_MS 300      /* until another host is asked in place of one */
#define SYNC_TRIES 8	       /* unanswered, after which tries get rarer */
#define SYNC_DELAY_DOUBLINGS 4 /* of the time between tries */
/* Exchanges of a host that has just started, before the usual period: those
 * that bring no new member, and any. The time between them is doubled by each
 * of the former. */
#define START_SYNCS 3
#define START_SYNCS_MAX 8

/* Requests indirect probes of the member that did not answer. */
static void probe_request_indirect(struct member_list *list)
{
	struct member_msg msg;

	list->indirect_sent = true;
	for (unsigned i = 0; i < INDIRECT_PROBES && list->order->len > 1; i++) {
		guint idx = list->options.ops->random(list->options.ctx,
						      list->order->len);
		const struct member *helper =
			g_ptr_array_index(list->order, idx);

		if (helper->info.state >= MEMBER_SUSPECT ||
		    !strcmp(helper->info.incarnation, list->probed))
			continue;
		member_msg_build(list, &msg, MEMBER_PING_REQ, list->own_probe);
		g_strlcpy(msg.target, list->probed, sizeof(msg.target));
		member_msg_send(list, helper->info.rpc, &msg);
	}
}

/* Probes a random seed, so that a host with no live members joins the
 * cluster. */
static void probe_seed(struct member_list *list)
{
	char **seeds = list->options.seeds;
	guint count = seeds ? g_strv_length(seeds) : 0;
	struct member_msg msg;
	const char *seed;

	if (count == 0)
		return;
	seed = seeds[list->options.ops->random(list->options.ctx, count)];
	if (!strcmp(seed, list->self.rpc))
		return;
	member_msg_build(list, &msg, MEMBER_PING, ++list->probe);
	member_msg_send(list, seed, &msg);
}

void member_probe_next(struct member_list *list, clk_ms now)
{
	struct member_msg msg;

	list->period_start = now;
	list->indirect_sent = false;
	list->probed[0] = '\0';
	for (guint i = 0; i < list->order->len; i++) {
		guint idx = list->next_probed++ % list->order->len;
		const struct member *member =
			g_ptr_array_index(list->order, idx);

		if (member->info.state == MEMBER_DEAD)
			continue;
		list->own_probe = ++list->probe;
		member_msg_build(list, &msg, MEMBER_PING, list->own_probe);
		g_strlcpy(list->probed, member->info.incarnation,
			  sizeof(list->probed));
		if (member->info.state == MEMBER_SUSPECT)
			msg.updates[msg.update_count++] = member->info;
		member_msg_send(list, member->info.rpc, &msg);
		return;
	}
	probe_seed(list);
}

void member_ping(struct member_list *list, const char *rpc)
{
	struct member_msg msg;

	member_msg_build(list, &msg, MEMBER_PING, ++list->probe);
	member_msg_send(list, rpc, &msg);
}

void member_announce(struct member_list *list, const char *rpc)
{
	struct member_msg msg;

	/* An ack of no probe is processed, but not answered. */
	member_msg_build(list, &msg, MEMBER_ACK, 0);
	member_msg_send(list, rpc, &msg);
}

/* Informs a member that this host suspects it, so that it can refute it. */
static void notify_suspect(struct member_list *list,
			   const struct member *member)
{
	struct member_msg msg;

	member_msg_build(list, &msg, MEMBER_PING, ++list->probe);
	msg.updates[msg.update_count++] = member->info;
	member_msg_send(list, member->info.rpc, &msg);
}

/* Informs all members that this host itself suspects; runs once a period. */
static void notify_suspects(struct member_list *list)
{
	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);

		if (member->suspected_by_self &&
		    member->info.state == MEMBER_SUSPECT)
			notify_suspect(list, member);
	}
}

/* Suspects the probed member if it did not answer within the period. */
static void probe_expire(struct member_list *list, clk_ms now)
{
	struct member *member;

	if (!list->probed[0])
		return;
	member = member_get(list, list->probed);
	if (!member || member->info.state >= MEMBER_SUSPECT)
		return;
	member->suspected_by_self = true;
	member_set_state(list, member, MEMBER_SUSPECT, now);
}

/* Returns how long a suspect has to refute. Grows with the logarithm of the
 * host count, as the time that updates take to spread does. */
static clk_ms suspicion_timeout(const struct member_list *list)
{
	unsigned doublings = 0;

	for (guint n = list->order->len; n > 1; n /= 2)
		doublings++;
	return list->options.suspicion_timeout *
	       MAX(doublings, SUSPICION_DOUBLINGS) / SUSPICION_DOUBLINGS;
}

/* Declares suspects dead after their timeout and removes long-dead members. */
static void members_expire(struct member_list *list, clk_ms now)
{
	for (guint i = list->order->len; i-- > 0;) {
		struct member *member = g_ptr_array_index(list->order, i);
		clk_ms age = now - member->state_since;

		if (member->info.state == MEMBER_SUSPECT &&
		    age >= suspicion_timeout(list))
			member_set_state(list, member, MEMBER_DEAD, now);
		if (member->info.state == MEMBER_DEAD &&
		    now - member->state_since >= list->options.dead_retention) {
			g_ptr_array_remove_index(list->order, i);
			g_hash_table_remove(list->members,
					    member->info.incarnation);
		}
	}
}

/* Returns a random seed for a full exchange, or NULL. */
static const char *sync_seed(const struct member_list *list, guint seeds)
{
	if (seeds == 0)
		return NULL;
	return list->options
		.seeds[list->options.ops->random(list->options.ctx, seeds)];
}

/* Returns the first member after a random one that is thought to respond, for
 * a full exchange, or NULL if there is none. */
static const char *sync_member(const struct member_list *list)
{
	guint hosts = list->order->len;
	guint start;

	if (hosts == 0)
		return NULL;
	start = list->options.ops->random(list->options.ctx, hosts);
	for (guint i = 0; i < hosts; i++) {
		const struct member *member =
			g_ptr_array_index(list->order, (start + i) % hosts);

		if (member->info.state < MEMBER_SUSPECT)
			return member->info.rpc;
	}
	return NULL;
}

/* Starts a full exchange with one host, so that no update is lost for good.
 * Every other exchange is with a seed, in whatever state it is listed, so that
 * separate clusters merge: hosts that found only each other, or that were
 * partitioned for long. A host that does not respond soon is not waited for:
 * the next one is asked. */
static void sync_tick(struct member_list *list, clk_ms now)
{
	guint seeds =
		list->options.seeds ? g_strv_length(list->options.seeds) : 0;
	unsigned doublings =
		MIN(list->sync_tries / SYNC_TRIES, SYNC_DELAY_DOUBLINGS);
	const char *rpc;

	if (now < list->next_sync)
		return;
	list->next_sync = now + (SYNC_RETRY_MS << doublings);
	list->sync_with_seed = !list->sync_with_seed;
	rpc = list->sync_with_seed ? sync_seed(list, seeds) : sync_member(list);
	if (!rpc || !strcmp(rpc, list->self.rpc))
		return;
	list->sync_tries++;
	list->options.ops->sync(list->options.ctx, rpc);
}

void member_on_synced(struct member_list *list, clk_ms now)
{
	guint seeds =
		list->options.seeds ? g_strv_length(list->options.seeds) : 0;
	guint hosts = list->order->len;
	clk_ms factor = 1 + hosts / SMALL_CLUSTER_HOSTS;
	clk_ms wait = list->options.sync_period * factor;

	/* Hosts that started beside this one may be known to few as yet. */
	if (list->synced < START_SYNCS_MAX && list->start_syncs < START_SYNCS) {
		wait = SYNC_RETRY_MS << list->start_syncs;
		list->synced++;
		list->start_syncs += hosts == list->synced_hosts;
		list->synced_hosts = hosts;
	} else if (hosts + 1 < seeds) {
		wait = list->options.period;
	}
	list->sync_tries = 0;
	list->next_sync = now + wait;
}

/* Detects that this host was paused. No timeout that passed meanwhile is
 * applied, because acks may have arrived and are still unread; state ages are
 * moved by the gap. */
static bool was_paused(struct member_list *list, clk_ms now)
{
	clk_ms gap = now - list->last_tick;
	bool paused =
		list->last_tick && gap > PAUSE_PERIODS * list->options.period;

	list->last_tick = now;
	if (!paused)
		return false;
	list->maybe_dead = true;
	for (guint i = 0; i < list->order->len; i++) {
		struct member *member = g_ptr_array_index(list->order, i);

		member->state_since += gap;
	}
	member_probe_next(list, now);
	return true;
}

void member_tick(struct member_list *list, clk_ms now)
{
	clk_ms age = now - list->period_start;

	if (was_paused(list, now))
		return;
	if (list->probed[0] && !list->indirect_sent &&
	    age >= list->options.ack_timeout)
		probe_request_indirect(list);
	if (age >= list->options.period) {
		probe_expire(list, now);
		notify_suspects(list);
		member_probe_next(list, now);
	}
	members_expire(list, now);
	member_indirect_expire(list, now);
	sync_tick(list, now);
}

void member_leave(struct member_list *list, clk_ms now)
{
	struct member_msg msg;

	list->self.state = MEMBER_LEAVING;
	list->self.seq++;
	/* In a small cluster all members are informed at once, so that few
	 * have to wait for gossip. */
	for (guint i = 0; i < list->order->len && i < SMALL_CLUSTER_HOSTS;
	     i++) {
		const struct member *member = g_ptr_array_index(list->order, i);

		if (member->info.state == MEMBER_DEAD)
			continue;
		member_msg_build(list, &msg, MEMBER_PING, ++list->probe);
		member_msg_send(list, member->info.rpc, &msg);
	}
	list->probed[0] = '\0';
	list->period_start = now;
}

void member_renew(struct member_list *list, const char *incarnation, clk_ms now)
{
	g_strlcpy(list->self.incarnation, incarnation,
		  sizeof(list->self.incarnation));
	list->self.seq = 0;
	list->synced = 0;
	list->start_syncs = 0;
	list->next_sync = now;
	member_probe_next(list, now);
}
