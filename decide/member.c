/* The member list: applying updates, and selection by rendezvous hash. */
#include "member-int.h"

#include <string.h>
#include <xxhash.h>

#include "check.h"

#define SENDS_PER_DOUBLING 2 /* of an update, per doubling of hosts */

/* Returns how many messages carry an update: grows with the logarithm of the
 * number of hosts. */
static unsigned send_count(const struct member_list *list)
{
	unsigned count = SENDS_PER_DOUBLING;

	for (guint n = list->order->len; n > 0; n /= 2)
		count += SENDS_PER_DOUBLING;
	return count;
}

const char *member_state_name(enum member_state state)
{
	static const char *const names[MEMBER_STATE_COUNT] = {
		[MEMBER_ALIVE] = "alive",
		[MEMBER_LEAVING] = "leaving",
		[MEMBER_SUSPECT] = "suspect",
		[MEMBER_DEAD] = "dead",
	};

	return names[state];
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
	list->notices =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	list->indirect_probes =
		g_array_new(FALSE, FALSE, sizeof(struct indirect_probe));
	list->self_to_send = SENDS_PER_DOUBLING;
	return list;
}

void member_list_free(struct member_list *list)
{
	g_ptr_array_free(list->order, TRUE);
	g_hash_table_destroy(list->members);
	g_hash_table_destroy(list->notices);
	g_array_free(list->indirect_probes, TRUE);
	g_free(list);
}

void member_set_state(struct member_list *list, struct member *member,
		      enum member_state state, clk_ms now)
{
	member->announced_leave =
		state == MEMBER_LEAVING ||
		(state == MEMBER_DEAD && member->announced_leave);
	member->info.state = state;
	member->state_since = now;
	member->to_send = send_count(list);
	if (state == MEMBER_DEAD)
		list->deaths++;
	list->options.ops->changed(list->options.ctx, member);
}

struct member *member_get(const struct member_list *list,
			  const char *incarnation)
{
	return g_hash_table_lookup(list->members, incarnation);
}

/* Adds a member at a random position in the probing order. */
static struct member *member_add(struct member_list *list,
				 const struct member_update *update, clk_ms now)
{
	struct member *member = g_new0(struct member, 1);
	guint idx = list->options.ops->random(list->options.ctx,
					      list->order->len + 1);

	member->info = *update;
	g_hash_table_insert(list->members, member->info.incarnation, member);
	g_ptr_array_insert(list->order, (gint)idx, member);
	member_set_state(list, member, update->state, now);
	return member;
}

/* Handles an update about this host itself: refutes a suspicion. */
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

/* Returns whether an update supersedes the known one. */
static bool update_is_newer(const struct member_update *known,
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
	if (!update_is_newer(&member->info, update))
		return;
	member->info.seq = update->seq;
	member_set_state(list, member, update->state, now);
}

void member_forget_notice(struct member_list *list, const char *subject)
{
	g_hash_table_remove(list->notices, subject);
}

void member_each_notice(const struct member_list *list,
			void (*fn)(void *ctx,
				   const struct member_notice *notice),
			void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->notices);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, &((const struct notice_entry *)value)->notice);
}

void member_on_notice(struct member_list *list,
		      const struct member_notice *notice)
{
	struct notice_entry *entry =
		g_hash_table_lookup(list->notices, notice->subject);

	if (entry && entry->notice.stamp >= notice->stamp)
		return;
	if (!entry) {
		entry = g_new0(struct notice_entry, 1);
		entry->notice = *notice;
		g_hash_table_insert(list->notices, entry->notice.subject,
				    entry);
	}
	entry->notice = *notice;
	entry->to_send = send_count(list);
	list->options.ops->notice_received(list->options.ctx, notice);
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

uint64_t member_weight(const char *incarnation, const char *key)
{
	return XXH64(incarnation, strlen(incarnation),
		     XXH64(key, strlen(key), 0));
}

const struct member *member_pick(const struct member_list *list,
				 const char *key, const char *avoid_dc)
{
	const struct member *best = NULL;
	bool best_other_dc = false;
	uint64_t best_weight = 0;

	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);
		bool other_dc = strcmp(member->info.data_centre, avoid_dc) != 0;
		uint64_t weight;

		if (member->info.state != MEMBER_ALIVE)
			continue;
		weight = member_weight(member->info.incarnation, key);
		if (best &&
		    (best_other_dc > other_dc ||
		     (best_other_dc == other_dc && best_weight >= weight)))
			continue;
		best = member;
		best_other_dc = other_dc;
		best_weight = weight;
	}
	return best;
}

const struct member *member_first(const struct member_list *list,
				  const char *key, bool leaving,
				  bool (*accepts)(const char *incarnation))
{
	uint64_t seed = XXH64(key, strlen(key), 0);
	const char *self = list->self.incarnation;
	uint64_t best = leaving ? 0 : XXH64(self, strlen(self), seed);
	const struct member *first = NULL;

	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);
		const char *incarnation = member->info.incarnation;
		uint64_t weight;

		if (member->info.state != MEMBER_ALIVE || !accepts(incarnation))
			continue;
		weight = XXH64(incarnation, strlen(incarnation), seed);
		if (weight > best) {
			best = weight;
			first = member;
		}
	}
	return first;
}

size_t member_rank_add(struct member_rank *ranks, size_t count, size_t n,
		       struct member_rank rank)
{
	size_t at = count;

	while (at > 0 && ranks[at - 1].weight < rank.weight)
		at--;
	if (at >= n)
		return count;
	count = MIN(count + 1, n);
	for (size_t j = count - 1; j > at; j--)
		ranks[j] = ranks[j - 1];
	ranks[at] = rank;
	return count;
}

size_t member_top(const struct member_list *list, uint64_t key,
		  bool (*accepts)(const char *incarnation),
		  const struct member **top, size_t n)
{
	struct member_rank ranks[MEMBER_TOP_MAX];
	size_t count = 0;

	dec_assert(n <= MEMBER_TOP_MAX, "few members rank highest");
	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);
		const char *incarnation = member->info.incarnation;
		struct member_rank rank = { .index = i };

		if (member->info.state != MEMBER_ALIVE || !accepts(incarnation))
			continue;
		rank.weight = XXH64(incarnation, strlen(incarnation), key);
		count = member_rank_add(ranks, count, n, rank);
	}
	for (size_t i = 0; i < count; i++)
		top[i] = g_ptr_array_index(list->order, ranks[i].index);
	return count;
}

unsigned member_top_self_rank(const struct member_list *list, uint64_t key,
			      bool (*accepts)(const char *incarnation))
{
	const char *self = list->self.incarnation;
	uint64_t own = XXH64(self, strlen(self), key);
	unsigned higher = 0;

	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);
		const char *incarnation = member->info.incarnation;

		higher += member->info.state == MEMBER_ALIVE &&
			  accepts(incarnation) &&
			  XXH64(incarnation, strlen(incarnation), key) > own;
	}
	return higher;
}

unsigned member_self_rank(const struct member_list *list, const char *key)
{
	uint64_t own = member_weight(list->self.incarnation, key);
	unsigned higher = 0;

	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);

		if (member->info.state == MEMBER_ALIVE &&
		    member_weight(member->info.incarnation, key) > own)
			higher++;
	}
	return higher;
}

bool member_self_in_top(const struct member_list *list, const char *key,
			unsigned n)
{
	return member_self_rank(list, key) < n;
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

/* Returns whether this host or a live member has an RPC address. */
static bool address_is_live(const struct member_list *list, const char *rpc)
{
	if (!strcmp(list->self.rpc, rpc))
		return true;
	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);

		if (member->info.state != MEMBER_DEAD &&
		    !strcmp(member->info.rpc, rpc))
			return true;
	}
	return false;
}

size_t member_maybe_running_count(const struct member_list *list, clk_ms since)
{
	size_t count = 0;

	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);

		count += member->info.state != MEMBER_DEAD ||
			 (member->state_since >= since &&
			  !member->announced_leave &&
			  !address_is_live(list, member->info.rpc));
	}
	return count;
}
