/* What a process holds, and which connection gives way first. */
#include "hold.h"

/* Connections that hold less than this are spared, so that ordinary requests
 * are served while requests in flight use up the budget, ... */
#define SMALL_BYTES 16384
/* ... up to this share of the budget beyond it. */
#define SMALL_SHARE 8
/* The part of what is left of the receive windows that a connection gets. */
#define WINDOW_SHARE 64
/* Least lag of a connection that is displaced while no request on it is in
 * flight. Its client's first bytes need a round trip; the limit also bounds the
 * rate at which reconnecting clients displace each other. */
#define GRACE_MS 250
/* The same while its client does not read the response in flight. */
#define STALL_MS 2000

static const struct {
	const char *name;
	bool may_evict;
} purposes[HOLD_PURPOSES] = {
	[HOLD_INPUT] = { "input", true },
	[HOLD_PIPELINED] = { "pipelined", true },
	[HOLD_OUTPUT] = { "output", true },
	[HOLD_BODY] = { "body", false },
	[HOLD_UPLOAD] = { "upload", false },
	[HOLD_RESPONSE] = { "response", false },
	[HOLD_SPARE] = { "spare", false },
};

const char *hold_purpose_name(enum hold_purpose purpose)
{
	return purposes[purpose].name;
}

void hold_init(struct hold_holder *holder, bool can_evict)
{
	*holder = (struct hold_holder){ .can_evict = can_evict };
	holder->link.data = holder;
	holder->group_link.data = holder;
}

void hold_group_add(struct hold *hold, struct hold_group *group, size_t limit)
{
	*group = (struct hold_group){ .limit = limit };
	group->link.data = group;
	g_queue_push_tail_link(&hold->groups, &group->link);
}

size_t hold_evictable(const struct hold_holder *holder)
{
	size_t sum = 0;

	for (int i = 0; i < HOLD_PURPOSES; i++)
		if (purposes[i].may_evict)
			sum += holder->bytes[i];
	return sum;
}

enum hold_purpose hold_main_purpose(const struct hold_holder *holder)
{
	enum hold_purpose most = HOLD_INPUT;

	for (int i = 0; i < HOLD_PURPOSES; i++)
		if (purposes[i].may_evict &&
		    holder->bytes[i] > holder->bytes[most])
			most = i;
	return most;
}

/* Inserts a holder by its progress. The search begins at the end, where most
 * holders belong: their progress is at the current time. */
static void order_insert(GQueue *order, GList *link)
{
	const struct hold_holder *holder = link->data;
	GList *at = order->tail;

	while (at && ((struct hold_holder *)at->data)->progress_at >
			     holder->progress_at)
		at = at->prev;
	if (at)
		g_queue_insert_after_link(order, at, link);
	else
		g_queue_push_head_link(order, link);
}

static void holder_unlist(struct hold *hold, struct hold_holder *holder)
{
	if (holder->is_listed)
		g_queue_unlink(&hold->order, &holder->link);
	holder->is_listed = false;
}

/* Moves a holder in the orders that it is in. */
static void holder_move(struct hold *hold, struct hold_holder *holder)
{
	if (holder->is_listed) {
		g_queue_unlink(&hold->order, &holder->link);
		order_insert(&hold->order, &holder->link);
	}
	if (holder->may_displace) {
		g_queue_unlink(&holder->group->order, &holder->group_link);
		order_insert(&holder->group->order, &holder->group_link);
	}
}

/* Adds a holder to its group's order, or takes it out: one with a request in
 * flight is in it only while its client has output to take. */
static void group_order_update(struct hold_holder *holder)
{
	struct hold_group *group = holder->group;
	bool may_displace =
		group && (!holder->is_busy || holder->bytes[HOLD_OUTPUT] > 0);

	if (may_displace == holder->may_displace)
		return;
	holder->may_displace = may_displace;
	if (may_displace)
		order_insert(&group->order, &holder->group_link);
	else
		g_queue_unlink(&group->order, &holder->group_link);
}

void hold_set(struct hold *hold, struct hold_holder *holder,
	      enum hold_purpose purpose, size_t bytes, clk_ms now)
{
	size_t before = holder->bytes[purpose];
	bool lists;

	if (bytes == before)
		return;
	holder->bytes[purpose] = bytes;
	hold->bytes[purpose] += bytes - before;
	hold->total += bytes - before;
	group_order_update(holder);
	lists = holder->can_evict && hold_evictable(holder) > 0;
	if (lists && !holder->is_listed) {
		holder->progress_at = now;
		holder->is_listed = true;
		g_queue_push_tail_link(&hold->order, &holder->link);
		holder_move(hold, holder);
	} else if (!lists) {
		holder_unlist(hold, holder);
	}
}

void hold_on_progress(struct hold *hold, struct hold_holder *holder, clk_ms now)
{
	holder->progress_at = now;
	holder_move(hold, holder);
}

void hold_on_bytes(struct hold *hold, struct hold_holder *holder, size_t bytes,
		   clk_ms now)
{
	clk_ms lag = hold_lag(holder, now);

	holder->progress_at = now - lag + MIN(lag, (clk_ms)bytes);
	holder_move(hold, holder);
}

clk_ms hold_lag(const struct hold_holder *holder, clk_ms now)
{
	return MAX(now - holder->progress_at, 0);
}

void hold_remove(struct hold *hold, struct hold_holder *holder)
{
	struct hold_group *group = holder->group;

	hold_set_busy(holder, false);
	if (holder->may_displace)
		g_queue_unlink(&group->order, &holder->group_link);
	if (group)
		group->connections--;
	for (int i = 0; i < HOLD_PURPOSES; i++) {
		hold->bytes[i] -= holder->bytes[i];
		hold->total -= holder->bytes[i];
	}
	holder_unlist(hold, holder);
	hold->connections -= holder->is_counted;
	hold->windows -= holder->window;
	hold_init(holder, false);
}

struct hold_holder *hold_next_eviction(const struct hold *hold)
{
	bool spares = hold->total <= hold->limit + hold->limit / SMALL_SHARE;

	if (hold->limit == 0 || hold->total <= hold->limit)
		return NULL;
	for (const GList *at = hold->order.head; at; at = at->next) {
		struct hold_holder *holder = at->data;

		if (!spares || hold_evictable(holder) >= SMALL_BYTES)
			return holder;
	}
	return NULL;
}

void hold_join(struct hold *hold, struct hold_group *group,
	       struct hold_holder *holder, clk_ms now)
{
	holder->progress_at = now;
	holder->is_counted = true;
	hold->connections++;
	holder->group = group;
	if (!group)
		return;
	group->connections++;
	group_order_update(holder);
}

static bool group_is_full(const struct hold_group *group)
{
	return group && group->connections >= group->limit + HOLD_WAITING_MAX;
}

bool hold_has_place(const struct hold *hold, const struct hold_group *group)
{
	return !group_is_full(group) &&
	       (hold->connections_limit == 0 ||
		hold->connections < hold->connections_limit);
}

/* Returns the connection of a group that lags most and may be closed; if there
 * is none, sets when one may be. */
static struct hold_holder *group_first(const struct hold_group *group,
				       clk_ms now, clk_ms *wait)
{
	for (const GList *at = group->order.head; at; at = at->next) {
		struct hold_holder *holder = at->data;
		clk_ms lag = hold_lag(holder, now);

		if (lag >= (holder->is_busy ? STALL_MS : GRACE_MS))
			return holder;
		if (!holder->is_busy) {
			*wait = MIN(*wait, GRACE_MS - lag);
			break;
		}
	}
	return NULL;
}

struct hold_holder *hold_next_displaced(const struct hold *hold,
					const struct hold_group *group,
					clk_ms now, clk_ms *wait)
{
	struct hold_holder *first = NULL;

	*wait = CLK_NEVER;
	if (group_is_full(group))
		return group_first(group, now, wait);
	for (const GList *at = hold->groups.head; at; at = at->next) {
		struct hold_holder *holder = group_first(at->data, now, wait);

		if (holder &&
		    (!first || holder->progress_at < first->progress_at))
			first = holder;
	}
	return first;
}

void hold_set_busy(struct hold_holder *holder, bool is_busy)
{
	if (holder->group && holder->is_busy != is_busy) {
		holder->group->busy -= holder->is_busy;
		holder->group->busy += is_busy;
	}
	holder->is_busy = is_busy;
	group_order_update(holder);
}

bool hold_may_serve(const struct hold *hold, const struct hold_group *group)
{
	size_t used = hold->connections;

	if (group->busy >= group->limit)
		return false;
	/* A first one always: readiness checks need no other connection. */
	if (hold->connections_limit == 0 || group->busy == 0)
		return true;
	/* The others can be displaced. */
	for (const GList *at = hold->groups.head; at; at = at->next) {
		const struct hold_group *each = at->data;

		used -= each->connections - each->busy;
	}
	return used + HOLD_WAITING_MAX < hold->connections_limit;
}

/* Returns the part of the receive windows that a connection may get. */
static size_t window_share(const struct hold *hold)
{
	if (hold->windows >= hold->windows_limit)
		return 0;
	return (hold->windows_limit - hold->windows) / WINDOW_SHARE;
}

bool hold_windows_are_scarce(const struct hold *hold)
{
	return hold->windows_limit > 0 && window_share(hold) <= HOLD_WINDOW_MIN;
}

size_t hold_reserve_window(struct hold *hold, struct hold_holder *holder)
{
	if (hold->windows_limit == 0)
		return 0;
	hold->windows -= holder->window;
	holder->window =
		CLAMP(window_share(hold), HOLD_WINDOW_MIN, HOLD_WINDOW_MAX);
	hold->windows += holder->window;
	return holder->window;
}
