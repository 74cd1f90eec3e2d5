/* Requests that wait for the configuration of a host that has just started. */
#include "holdq.h"

#include "../wire/due.h"

#define CHECK_MS 10 /* between two checks whether requests can be routed */

struct held {
	struct holdq *queue;
	struct hs_request *call;
	clk_ms until;
	GList link; /* in the queue */
};

struct holdq {
	struct holdq_options options;
	GQueue waiting; /* struct held, in the order of their arrival */
	struct due_timer timer;
};

static clk_ms loop_now(const struct holdq *queue)
{
	return (clk_ms)uv_now(queue->options.loop);
}

static void held_free(struct held *held)
{
	g_queue_unlink(&held->queue->waiting, &held->link);
	g_free(held);
}

/* Returns the request, whose disconnect is no longer reported here. */
static struct hs_request *held_take(struct held *held)
{
	struct hs_request *call = held->call;

	hs_request_on_disconnect(call, NULL, NULL);
	held_free(held);
	return call;
}

static void on_disconnect(void *ctx)
{
	struct held *held = ctx;
	struct holdq *queue = held->queue;

	held_free(held);
	queue->options.on_disconnect(queue->options.ctx);
}

/* Passes on all requests. One that is passed on may end others' connections, so
 * that each step starts at the head again. */
static void pass_all(struct holdq *queue)
{
	struct held *held;

	while ((held = g_queue_peek_head(&queue->waiting)))
		queue->options.on_ready(queue->options.ctx, held_take(held));
}

/* Refuses the requests whose time is over. */
static void expire(struct holdq *queue)
{
	clk_ms now = loop_now(queue);
	GList *at = queue->waiting.head;

	while (at) {
		struct held *held = at->data;

		at = at->next;
		if (now >= held->until)
			queue->options.on_expired(queue->options.ctx,
						  held_take(held));
	}
}

static void on_timer(void *ctx)
{
	struct holdq *queue = ctx;

	if (queue->options.is_ready(queue->options.ctx))
		pass_all(queue);
	else
		expire(queue);
	if (queue->waiting.length == 0)
		due_stop(&queue->timer);
}

struct holdq *holdq_create(const struct holdq_options *options)
{
	struct holdq *queue = g_new0(struct holdq, 1);

	queue->options = *options;
	g_queue_init(&queue->waiting);
	due_init(options->loop, &queue->timer, on_timer, queue);
	return queue;
}

bool holdq_add(struct holdq *queue, struct hs_request *call, clk_ms wait)
{
	struct held *held;

	if (queue->waiting.length >= queue->options.max)
		return false;
	held = g_new0(struct held, 1);
	held->queue = queue;
	held->call = call;
	held->until = loop_now(queue) + wait;
	held->link.data = held;
	g_queue_push_tail_link(&queue->waiting, &held->link);
	hs_request_on_disconnect(call, on_disconnect, held);
	if (!due_is_active(&queue->timer))
		due_start(&queue->timer, CHECK_MS, CHECK_MS);
	return true;
}

size_t holdq_length(const struct holdq *queue)
{
	return queue->waiting.length;
}
