/* Requests that wait for the configuration of a host that has just started. */
#include "startq.h"

#include "../wire/due.h"

#define CHECK_MS 10 /* between two checks whether requests can be routed */

struct waiting {
	struct startq *queue;
	struct hs_request *call;
	clk_ms until;
	GList link; /* in the queue */
};

struct startq {
	struct startq_options options;
	GQueue queued; /* struct waiting, in the order of their arrival */
	struct due_timer timer;
};

static clk_ms loop_now(const struct startq *queue)
{
	return (clk_ms)uv_now(queue->options.loop);
}

static void waiting_free(struct waiting *waiting)
{
	g_queue_unlink(&waiting->queue->queued, &waiting->link);
	g_free(waiting);
}

/* Returns the request, whose disconnect is no longer reported here. */
static struct hs_request *waiting_take(struct waiting *waiting)
{
	struct hs_request *call = waiting->call;

	hs_request_on_disconnect(call, NULL, NULL);
	waiting_free(waiting);
	return call;
}

static void on_disconnect(void *ctx)
{
	struct waiting *waiting = ctx;
	struct startq *queue = waiting->queue;

	waiting_free(waiting);
	queue->options.on_disconnect(queue->options.ctx);
}

/* Passes on all requests. One that is passed on may end others' connections, so
 * that each step starts at the head again. */
static void pass_all(struct startq *queue)
{
	struct waiting *waiting;

	while ((waiting = g_queue_peek_head(&queue->queued)))
		queue->options.on_ready(queue->options.ctx,
					waiting_take(waiting));
}

/* Refuses the requests whose time is over. */
static void expire(struct startq *queue)
{
	clk_ms now = loop_now(queue);
	GList *at = queue->queued.head;

	while (at) {
		struct waiting *waiting = at->data;

		at = at->next;
		if (now >= waiting->until)
			queue->options.on_expired(queue->options.ctx,
						  waiting_take(waiting));
	}
}

static void on_timer(void *ctx)
{
	struct startq *queue = ctx;

	if (queue->options.is_ready(queue->options.ctx))
		pass_all(queue);
	else
		expire(queue);
	if (queue->queued.length == 0)
		due_stop(&queue->timer);
}

struct startq *startq_create(const struct startq_options *options)
{
	struct startq *queue = g_new0(struct startq, 1);

	queue->options = *options;
	g_queue_init(&queue->queued);
	due_init(options->loop, &queue->timer, on_timer, queue);
	return queue;
}

bool startq_add(struct startq *queue, struct hs_request *call, clk_ms wait)
{
	struct waiting *waiting;

	if (queue->queued.length >= queue->options.max)
		return false;
	waiting = g_new0(struct waiting, 1);
	waiting->queue = queue;
	waiting->call = call;
	waiting->until = loop_now(queue) + wait;
	waiting->link.data = waiting;
	g_queue_push_tail_link(&queue->queued, &waiting->link);
	hs_request_on_disconnect(call, on_disconnect, waiting);
	if (!due_is_active(&queue->timer))
		due_start(&queue->timer, CHECK_MS, CHECK_MS);
	return true;
}
