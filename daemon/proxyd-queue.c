/*
 * Requests that wait a moment for a permit (proxyd-permit.c), as no worker of
 * their pool takes one without, or for room at a brittle worker. Only as many
 * wait as permits or room are expected soon; a request beyond that number is
 * rejected at once. The Retry-After values of rejected requests are spread, so
 * that their callers return one by one.
 */
#include "proxyd-xfer.h"

#define SERVE_MAX_MS 100    /* between two checks for permits that begin */
#define FREED_MS 250	    /* that a request waits for room at most */
#define RETURN_MAX_MS 10000 /* that a refused caller is asked to wait */

static gint xfer_cmp(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct xfer *x = a;
	const struct xfer *y = b;

	(void)data;
	if (x->route->priority != y->route->priority)
		return x->route->priority - y->route->priority;
	return x->received_at < y->received_at ? -1 : 1;
}

static struct pool_state *queue_of(const struct xfer *xfer)
{
	return proxyd_pool(xfer->proxyd, xfer->pool->name);
}

/* Counts the waiting requests that go before one. */
static guint count_ahead(const struct pool_state *pool, const struct xfer *xfer)
{
	guint ahead = 0;

	for (const GList *at = pool->waiting.head; at; at = at->next)
		ahead += xfer_cmp(at->data, xfer, NULL) < 0;
	return ahead;
}

static void timer_arm(struct proxyd *proxyd);

static void on_timer(void *ctx)
{
	struct proxyd *proxyd = ctx;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_state *pool = value;

		if (pool->waiting.length > 0)
			queue_update(proxyd, pool->name);
	}
	timer_arm(proxyd);
}

/* Lets the timer run after a delay, or by the next poll if it is due already.
 */
static void timer_set(struct proxyd *proxyd, clk_ms delay)
{
	if (!proxyd->queue_timer.is_due)
		due_start(&proxyd->queue_timer, delay, 0);
}

/* Sets the timer to when the next permit begins that a request waits for. */
static void timer_arm(struct proxyd *proxyd)
{
	clk_ms next = SERVE_MAX_MS;
	bool waiting = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_state *pool = value;
		struct fleet_room room;

		if (pool->waiting.length == 0)
			continue;
		waiting = true;
		room = fleet_room(proxyd->fleet, pool->name,
				  proxyd_now(proxyd));
		if (room.next >= 0)
			next = MIN(next, room.next);
	}
	if (waiting)
		timer_set(proxyd, next);
}

void queue_start(struct proxyd *proxyd)
{
	due_init(&proxyd->loop, &proxyd->queue_timer, on_timer, proxyd);
}

bool queue_add(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct pool_state *pool = queue_of(xfer);
	clk_ms now = proxyd_now(proxyd);
	struct fleet_room room = fleet_room(proxyd->fleet, pool->name, now);

	if (!xfer->waiting_since || now - xfer->waiting_since < FREED_MS)
		room.expected += room.freed;
	if (count_ahead(pool, xfer) >= room.expected)
		return false;
	if (!xfer->waiting_since) {
		xfer->waiting_since = now;
		proxyd_count(proxyd, CTR_waited);
	}
	xfer->waiting = true;
	xfer->queue_round = pool->queue_round;
	g_queue_insert_sorted(&pool->waiting, xfer, xfer_cmp, NULL);
	if (!due_is_active(&proxyd->queue_timer))
		timer_arm(proxyd);
	/* The least urgent one has to go. */
	if (pool->waiting.length > room.expected)
		xfer_give_up(g_queue_peek_tail(&pool->waiting));
	return true;
}

void queue_on_freed(struct proxyd *proxyd, const struct fleet_worker *worker)
{
	if (worker->brittle.limited &&
	    proxyd_pool(proxyd, worker->entry.pool)->waiting.length > 0)
		timer_set(proxyd, 0);
}

void queue_remove(struct xfer *xfer)
{
	if (!xfer->waiting)
		return;
	xfer->waiting = false;
	g_queue_remove(&queue_of(xfer)->waiting, xfer);
}

/* Returns the first waiting request that was not tried in this round. */
static struct xfer *next_untried(const struct pool_state *pool)
{
	for (const GList *at = pool->waiting.head; at; at = at->next) {
		struct xfer *xfer = at->data;

		if (xfer->queue_round != pool->queue_round)
			return xfer;
	}
	return NULL;
}

void queue_update(struct proxyd *proxyd, const char *pool_name)
{
	struct pool_state *pool = proxyd_pool(proxyd, pool_name);
	struct xfer *xfer;

	/* Requests that go on waiting are added again, in the same round. */
	pool->queue_round++;
	while ((xfer = next_untried(pool))) {
		queue_remove(xfer);
		xfer_send(xfer);
	}
	timer_arm(proxyd);
}

clk_ms queue_return_after(struct xfer *xfer, const struct fleet_room *room)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct pool_state *pool = queue_of(xfer);
	clk_ms now = proxyd_now(proxyd);
	clk_ms gap = 0;

	if (room->rate > 0)
		gap = (clk_ms)(CLK_SECOND * proxyd_host_count(proxyd) /
			       room->rate);
	pool->return_at = MAX(pool->return_at + gap, now + MAX(room->wait, 0));
	pool->return_at = MIN(pool->return_at, now + RETURN_MAX_MS);
	return pool->return_at - now;
}
