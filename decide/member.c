/* Membership by gossip. */
#include "member.h"

#include <string.h>
#include <xxhash.h>

#define SUSPICION_DOUBLINGS 3 /* of hosts; up to that the setting holds */
#define HELPERS 3	      /* hosts asked to probe in another's place */
#define SEND_FACTOR 2	      /* sendings of an update per doubling of hosts */
#define DOUBT_PERIODS 4	      /* periods without a tick: was paused */
#define FULL_SYNC_HOSTS 16    /* above it full exchanges become rarer */

/* A probe made for another host. */
struct relay {
	uint32_t probe;	      /* our number */
	uint32_t asked_probe; /* the asking host's number */
	char asked_by[MEMBER_ADDRESS_MAX];
	clk_ms expires;
};

/* A mark and how often it is still to be sent. */
struct mark_entry {
	struct member_mark mark;
	unsigned to_send;
};

static void probe_next(struct member_list *list, clk_ms now);

/* How often an update is sent: grows with the logarithm of the hosts. */
static unsigned send_count(const struct member_list *list)
{
	unsigned count = SEND_FACTOR;

	for (guint n = list->order->len; n > 0; n /= 2)
		count += SEND_FACTOR;
	return count;
}

struct member_list *member_list_create(const struct member_update *self,
				       const struct member_options *options)
{
	struct member_list *list = g_new0(struct member_list, 1);

	list->options = *options;
	list->self = *self;
	list->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	list->order = g_ptr_array_new();
	list->marks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	list->relays = g_array_new(FALSE, FALSE, sizeof(struct relay));
	list->self_to_send = SEND_FACTOR;
	return list;
}

void member_list_free(struct member_list *list)
{
	g_ptr_array_free(list->order, TRUE);
	g_hash_table_destroy(list->members);
	g_hash_table_destroy(list->marks);
	g_array_free(list->relays, TRUE);
	g_free(list);
}

/* Tells whether an update is a death, a suspicion or the answer to one. */
static bool is_urgent(const struct member *member)
{
	return member->info.state >= MEMBER_SUSPECT || member->info.seq > 0;
}

/* Adds the updates that are due, from a turning place of the list on. */
static void msg_add_some(struct member_list *list, struct member_msg *msg,
			 bool urgent)
{
	guint start = list->order->len ? list->probe % list->order->len : 0;

	for (guint i = 0; i < list->order->len; i++) {
		guint at = (start + i) % list->order->len;
		struct member *member = g_ptr_array_index(list->order, at);

		if (msg->update_count == MEMBER_UPDATES_MAX)
			return;
		if (member->to_send == 0 || is_urgent(member) != urgent)
			continue;
		member->to_send--;
		msg->updates[msg->update_count++] = member->info;
	}
}

/* Adds the updates that are due: deaths and suspicions go first, so that
 * many hosts that come at once do not hold them up. */
static void msg_add_updates(struct member_list *list, struct member_msg *msg)
{
	msg_add_some(list, msg, true);
	msg_add_some(list, msg, false);
}

static void msg_add_marks(struct member_list *list, struct member_msg *msg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->marks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct mark_entry *entry = value;

		if (msg->mark_count == MEMBER_MARKS_MAX)
			return;
		if (entry->to_send == 0)
			continue;
		entry->to_send--;
		msg->marks[msg->mark_count++] = entry->mark;
	}
}

/* Builds a message that carries what is to be spread. */
static void msg_build(struct member_list *list, struct member_msg *msg,
		      enum member_msg_kind kind, uint32_t probe)
{
	memset(msg, 0, sizeof(*msg));
	msg->kind = kind;
	msg->probe = probe;
	msg->settings = list->settings;
	msg->hosts = list->hosts;
	msg->updates[msg->update_count++] = list->self;
	msg_add_marks(list, msg);
}

static void msg_send(struct member_list *list, const char *rpc,
		     struct member_msg *msg)
{
	msg_add_updates(list, msg);
	list->sent++;
	list->options.ops->send(list->options.ctx, rpc, msg);
}

/* Notes a member's new state and spreads it. */
static void member_set(struct member_list *list, struct member *member,
		       enum member_state state, clk_ms now)
{
	member->info.state = state;
	member->since = now;
	member->to_send = send_count(list);
	if (state == MEMBER_DEAD)
		list->died++;
	list->options.ops->changed(list->options.ctx, member);
}

static struct member *member_get(const struct member_list *list,
				 const char *incarnation)
{
	return g_hash_table_lookup(list->members, incarnation);
}

/* Adds a member at a random place of the order of probing. */
static struct member *member_add(struct member_list *list,
				 const struct member_update *update, clk_ms now)
{
	struct member *member = g_new0(struct member, 1);
	guint at = list->options.ops->random(list->options.ctx,
					     list->order->len + 1);

	member->info = *update;
	g_hash_table_insert(list->members, member->info.incarnation, member);
	g_ptr_array_insert(list->order, (gint)at, member);
	member_set(list, member, update->state, now);
	return member;
}

/* Answers what is said of this host itself. */
static void self_on_update(struct member_list *list,
			   const struct member_update *update)
{
	if (update->state == MEMBER_DEAD) {
		list->options.ops->declared_dead(list->options.ctx);
		return;
	}
	if (update->state == MEMBER_SUSPECT && update->seq >= list->self.seq) {
		list->self.seq = update->seq + 1;
		list->self_to_send = send_count(list);
		list->refuted++;
	}
}

/* Tells whether an update is news against what is known. */
static bool update_is_news(const struct member_update *known,
			   const struct member_update *update)
{
	if (known->state == MEMBER_DEAD)
		return false;
	if (update->state == MEMBER_DEAD)
		return true;
	if (update->seq != known->seq)
		return update->seq > known->seq;
	return update->state > known->state;
}

void member_on_update(struct member_list *list,
		      const struct member_update *update, clk_ms now)
{
	struct member *member;

	if (!strcmp(update->incarnation, list->self.incarnation)) {
		self_on_update(list, update);
		return;
	}
	member = member_get(list, update->incarnation);
	if (!member) {
		member_add(list, update, now);
		return;
	}
	if (!update_is_news(&member->info, update))
		return;
	member->info.seq = update->seq;
	member_set(list, member, update->state, now);
}

void member_on_mark(struct member_list *list, const struct member_mark *mark)
{
	struct mark_entry *entry =
		g_hash_table_lookup(list->marks, mark->upstream);

	if (entry && entry->mark.stamp >= mark->stamp)
		return;
	if (!entry) {
		entry = g_new0(struct mark_entry, 1);
		entry->mark = *mark;
		g_hash_table_insert(list->marks, entry->mark.upstream, entry);
	}
	entry->mark = *mark;
	entry->to_send = send_count(list);
	list->options.ops->marked(list->options.ctx, mark);
}

/* Tells a sender that is held for dead so. */
static void tell_dead(struct member_list *list, const struct member *member,
		      uint32_t probe)
{
	struct member_msg msg;

	msg_build(list, &msg, MEMBER_ACK, probe);
	msg.updates[msg.update_count++] = member->info;
	msg_send(list, member->info.rpc, &msg);
}

/* Probes a host for another one. */
static void relay_begin(struct member_list *list, const struct member_msg *msg,
			clk_ms now)
{
	const struct member *target = member_get(list, msg->target);
	struct relay relay = {
		.probe = ++list->probe,
		.asked_probe = msg->probe,
		.expires = now + list->options.period,
	};
	struct member_msg ping;

	if (!target)
		return;
	g_strlcpy(relay.asked_by, msg->updates[0].rpc, MEMBER_ADDRESS_MAX);
	g_array_append_val(list->relays, relay);
	msg_build(list, &ping, MEMBER_PING, relay.probe);
	msg_send(list, target->info.rpc, &ping);
}

/* Passes an answer on to the host that asked for the probe. */
static bool relay_answer(struct member_list *list, const struct member_msg *msg)
{
	for (guint i = 0; i < list->relays->len; i++) {
		struct relay *relay =
			&g_array_index(list->relays, struct relay, i);
		struct member_msg ack;

		if (relay->probe != msg->probe)
			continue;
		msg_build(list, &ack, MEMBER_ACK, relay->asked_probe);
		g_strlcpy(ack.target, msg->updates[0].incarnation,
			  sizeof(ack.target));
		msg_send(list, relay->asked_by, &ack);
		g_array_remove_index_fast(list->relays, i);
		return true;
	}
	return false;
}

/* A probe was answered, directly or through another host. */
static void on_ack(struct member_list *list, const struct member_msg *msg)
{
	list->in_doubt = false;
	if (relay_answer(list, msg))
		return;
	/* Another incarnation at the same address does not answer for it. */
	if (msg->probe == list->own_probe &&
	    (!strcmp(msg->updates[0].incarnation, list->probed) ||
	     !strcmp(msg->target, list->probed)))
		list->probed[0] = '\0';
}

/* A host that answers under a new incarnation has lost its old one. */
static void replaced_at(struct member_list *list,
			const struct member_update *sender, clk_ms now)
{
	for (guint i = 0; i < list->order->len; i++) {
		struct member *member = g_ptr_array_index(list->order, i);

		if (member->info.state != MEMBER_DEAD &&
		    !strcmp(member->info.rpc, sender->rpc) &&
		    strcmp(member->info.incarnation, sender->incarnation) != 0)
			member_set(list, member, MEMBER_DEAD, now);
	}
}

void member_on_msg(struct member_list *list, const struct member_msg *msg,
		   clk_ms now)
{
	const struct member *sender;
	struct member_msg answer;

	if (msg->update_count == 0)
		return;
	sender = member_get(list, msg->updates[0].incarnation);
	if (sender && sender->info.state == MEMBER_DEAD) {
		tell_dead(list, sender, msg->probe);
		return;
	}
	list->last_heard = now;
	replaced_at(list, &msg->updates[0], now);
	for (size_t i = 0; i < msg->update_count; i++)
		member_on_update(list, &msg->updates[i], now);
	for (size_t i = 0; i < msg->mark_count; i++)
		member_on_mark(list, &msg->marks[i]);
	switch (msg->kind) {
	case MEMBER_PING:
		msg_build(list, &answer, MEMBER_ACK, msg->probe);
		/* A suspect gets the chance to refute. */
		sender = member_get(list, msg->updates[0].incarnation);
		if (sender && sender->info.state == MEMBER_SUSPECT)
			answer.updates[answer.update_count++] = sender->info;
		msg_send(list, msg->updates[0].rpc, &answer);
		break;
	case MEMBER_ACK:
		on_ack(list, msg);
		break;
	case MEMBER_PING_REQ:
		relay_begin(list, msg, now);
		break;
	default:
		break;
	}
	list->options.ops->revisions(list->options.ctx, msg->updates[0].rpc,
				     msg->settings, msg->hosts);
}

/* Asks some others to probe the host that did not answer. */
static void probe_help(struct member_list *list)
{
	struct member_msg msg;

	list->helped = true;
	for (unsigned i = 0; i < HELPERS && list->order->len > 1; i++) {
		guint at = list->options.ops->random(list->options.ctx,
						     list->order->len);
		const struct member *helper =
			g_ptr_array_index(list->order, at);

		if (helper->info.state >= MEMBER_SUSPECT ||
		    !strcmp(helper->info.incarnation, list->probed))
			continue;
		msg_build(list, &msg, MEMBER_PING_REQ, list->own_probe);
		g_strlcpy(msg.target, list->probed, sizeof(msg.target));
		msg_send(list, helper->info.rpc, &msg);
	}
}

/* Probes a seed, so that a host that knows nobody becomes known. */
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
	msg_build(list, &msg, MEMBER_PING, ++list->probe);
	msg_send(list, seed, &msg);
}

/* Probes the next host of the order. */
static void probe_next(struct member_list *list, clk_ms now)
{
	struct member_msg msg;

	list->period_start = now;
	list->helped = false;
	list->probed[0] = '\0';
	for (guint i = 0; i < list->order->len; i++) {
		guint at = list->next++ % list->order->len;
		const struct member *member =
			g_ptr_array_index(list->order, at);

		if (member->info.state == MEMBER_DEAD)
			continue;
		list->own_probe = ++list->probe;
		msg_build(list, &msg, MEMBER_PING, list->own_probe);
		g_strlcpy(list->probed, member->info.incarnation,
			  sizeof(list->probed));
		if (member->info.state == MEMBER_SUSPECT)
			msg.updates[msg.update_count++] = member->info;
		msg_send(list, member->info.rpc, &msg);
		return;
	}
	probe_seed(list);
}

/* Tells a host that this one suspects it, so that it can refute that. */
static void tell_suspect(struct member_list *list, const struct member *member)
{
	struct member_msg msg;

	msg_build(list, &msg, MEMBER_PING, ++list->probe);
	msg.updates[msg.update_count++] = member->info;
	msg_send(list, member->info.rpc, &msg);
}

/* Tells all that this host itself suspects, once a period. */
static void tell_suspects(struct member_list *list)
{
	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);

		if (member->own_suspect && member->info.state == MEMBER_SUSPECT)
			tell_suspect(list, member);
	}
}

/* Suspects the probed host if it did not answer in its period. */
static void probe_judge(struct member_list *list, clk_ms now)
{
	struct member *member;

	if (!list->probed[0])
		return;
	member = member_get(list, list->probed);
	if (!member || member->info.state >= MEMBER_SUSPECT)
		return;
	member->own_suspect = true;
	member_set(list, member, MEMBER_SUSPECT, now);
}

/* How long a suspect has to refute: longer, the longer news travel. */
static clk_ms suspicion_time(const struct member_list *list)
{
	unsigned doublings = 0;

	for (guint n = list->order->len; n > 1; n /= 2)
		doublings++;
	return list->options.suspicion * MAX(doublings, SUSPICION_DOUBLINGS) /
	       SUSPICION_DOUBLINGS;
}

/* Declares suspects dead, forgets those long dead. */
static void members_age(struct member_list *list, clk_ms now)
{
	for (guint i = list->order->len; i-- > 0;) {
		struct member *member = g_ptr_array_index(list->order, i);
		clk_ms age = now - member->since;

		if (member->info.state == MEMBER_SUSPECT &&
		    age >= suspicion_time(list))
			member_set(list, member, MEMBER_DEAD, now);
		if (member->info.state == MEMBER_DEAD &&
		    now - member->since >= list->options.dead_keep) {
			g_ptr_array_remove_index(list->order, i);
			g_hash_table_remove(list->members,
					    member->info.incarnation);
		}
	}
}

/* Picks a seed for a full exchange, or NULL. */
static const char *sync_seed(const struct member_list *list, guint seeds)
{
	if (seeds == 0)
		return NULL;
	return list->options
		.seeds[list->options.ops->random(list->options.ctx, seeds)];
}

/* Picks a live member for a full exchange, or NULL. */
static const char *sync_member(const struct member_list *list)
{
	guint hosts = list->order->len;
	const struct member *member;

	if (hosts == 0)
		return NULL;
	member = g_ptr_array_index(
		list->order,
		list->options.ops->random(list->options.ctx, hosts));
	return member->info.state == MEMBER_DEAD ? NULL : member->info.rpc;
}

/* Exchanges everything with one host, so that no update is lost for ever.
 * Every other time it is a seed, whatever is known of it: hosts that found
 * only each other, or were cut off for long, come together again. */
static void sync_tick(struct member_list *list, clk_ms now)
{
	guint seeds =
		list->options.seeds ? g_strv_length(list->options.seeds) : 0;
	guint hosts = list->order->len;
	clk_ms factor = 1 + hosts / FULL_SYNC_HOSTS;
	const char *rpc;

	if (now < list->next_sync)
		return;
	list->next_sync =
		now + (hosts + 1 < seeds ? list->options.period
					 : list->options.sync_period * factor);
	list->sync_turn = !list->sync_turn;
	rpc = list->sync_turn ? sync_seed(list, seeds) : sync_member(list);
	if (rpc && strcmp(rpc, list->self.rpc) != 0)
		list->options.ops->sync(list->options.ctx, rpc);
}

/* After a pause nothing that was due is judged: the answers are unread. */
static bool was_paused(struct member_list *list, clk_ms now)
{
	clk_ms gap = now - list->last_tick;
	bool paused =
		list->last_tick && gap > DOUBT_PERIODS * list->options.period;

	list->last_tick = now;
	if (!paused)
		return false;
	list->in_doubt = true;
	for (guint i = 0; i < list->order->len; i++) {
		struct member *member = g_ptr_array_index(list->order, i);

		member->since += gap;
	}
	probe_next(list, now);
	return true;
}

/* Forgets probes made for others that were not answered. */
static void relays_age(struct member_list *list, clk_ms now)
{
	for (guint i = list->relays->len; i-- > 0;)
		if (g_array_index(list->relays, struct relay, i).expires <= now)
			g_array_remove_index_fast(list->relays, i);
}

void member_tick(struct member_list *list, clk_ms now)
{
	clk_ms age = now - list->period_start;

	if (was_paused(list, now))
		return;
	if (list->probed[0] && !list->helped && age >= list->options.ack_wait)
		probe_help(list);
	if (age >= list->options.period) {
		probe_judge(list, now);
		tell_suspects(list);
		probe_next(list, now);
	}
	members_age(list, now);
	relays_age(list, now);
	sync_tick(list, now);
}

void member_leave(struct member_list *list, clk_ms now)
{
	struct member_msg msg;

	list->self.state = MEMBER_LEAVING;
	list->self.seq++;
	/* Few wait for this: all are told at once, in a small cluster. */
	for (guint i = 0; i < list->order->len && i < FULL_SYNC_HOSTS; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);

		if (member->info.state == MEMBER_DEAD)
			continue;
		msg_build(list, &msg, MEMBER_PING, ++list->probe);
		msg_send(list, member->info.rpc, &msg);
	}
	list->probed[0] = '\0';
	list->period_start = now;
}

void member_renew(struct member_list *list, const char *incarnation, clk_ms now)
{
	g_strlcpy(list->self.incarnation, incarnation,
		  sizeof(list->self.incarnation));
	list->self.seq = 0;
	list->next_sync = now;
	probe_next(list, now);
}

const struct member *member_find(const struct member_list *list,
				 const char *incarnation)
{
	return member_get(list, incarnation);
}

bool member_is_live(const struct member_list *list, const char *incarnation)
{
	const struct member *member = member_get(list, incarnation);

	return member && member->info.state != MEMBER_DEAD;
}

/* The rendezvous weight of an incarnation for a key. */
static uint64_t weight_of(const char *incarnation, const char *key)
{
	return XXH64(incarnation, strlen(incarnation),
		     XXH64(key, strlen(key), 0));
}

const struct member *member_pick(const struct member_list *list,
				 const char *key, const char *avoid_dc)
{
	const struct member *best = NULL;
	bool best_far = false;
	uint64_t best_weight = 0;

	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);
		bool far = strcmp(member->info.data_centre, avoid_dc) != 0;
		uint64_t weight;

		if (member->info.state != MEMBER_ALIVE)
			continue;
		weight = weight_of(member->info.incarnation, key);
		if (best && (best_far > far ||
			     (best_far == far && best_weight >= weight)))
			continue;
		best = member;
		best_far = far;
		best_weight = weight;
	}
	return best;
}

bool member_self_is_among(const struct member_list *list, const char *key,
			  unsigned n)
{
	uint64_t own = weight_of(list->self.incarnation, key);
	unsigned better = 0;

	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);

		if (member->info.state == MEMBER_ALIVE &&
		    weight_of(member->info.incarnation, key) > own)
			better++;
	}
	return better < n;
}

size_t member_live_count(const struct member_list *list)
{
	size_t count = 0;

	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);

		count += member->info.state != MEMBER_DEAD;
	}
	return count;
}
