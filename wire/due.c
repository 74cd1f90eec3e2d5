/* Timers that run after input has been read. */
#include "due.h"

/* A poll that took longer has held the loop up: more may have arrived. */
#define HELD_UP_MS 50
#define POLLS_MAX 3 /* that timers wait for */

/* The timers of a loop that are due, in the order in which they became so. */
struct due_queue {
	GQueue timers;
	clk_ms polled_at; /* when the last poll began */
	unsigned polls;	  /* that have held the loop up, in succession */
	uv_idle_t idle;	  /* keeps the poll from waiting */
	uv_check_t check;
};

/* Returns the queue of a loop, which keeps it for good. */
static struct due_queue *queue_of(uv_loop_t *loop)
{
	struct due_queue *queue = loop->data;

	if (queue)
		return queue;
	queue = g_new0(struct due_queue, 1);
	g_queue_init(&queue->timers);
	uv_idle_init(loop, &queue->idle);
	uv_check_init(loop, &queue->check);
	queue->check.data = queue;
	loop->data = queue;
	return queue;
}

static void on_idle(uv_idle_t *idle)
{
	(void)idle;
}

/* Runs after each poll while timers are due. */
static void on_check(uv_check_t *check)
{
	struct due_queue *queue = check->data;
	GList *link;
	clk_ms now;

	uv_update_time(check->loop);
	now = (clk_ms)uv_now(check->loop);
	if (now - queue->polled_at > HELD_UP_MS && ++queue->polls < POLLS_MAX) {
		queue->polled_at = now;
		return;
	}
	queue->polls = 0;
	while ((link = g_queue_pop_head_link(&queue->timers))) {
		struct due_timer *timer = link->data;

		timer->is_due = false;
		timer->fn(timer->ctx);
	}
	uv_idle_stop(&queue->idle);
	uv_check_stop(check);
}

static void on_timer(uv_timer_t *handle)
{
	struct due_timer *timer = handle->data;
	struct due_queue *queue = timer->queue;

	if (timer->is_due)
		return;
	timer->is_due = true;
	queue->polled_at = (clk_ms)uv_now(handle->loop);
	g_queue_push_tail_link(&queue->timers, &timer->link);
	uv_idle_start(&queue->idle, on_idle);
	uv_check_start(&queue->check, on_check);
}

void due_init(uv_loop_t *loop, struct due_timer *timer, void (*fn)(void *ctx),
	      void *ctx)
{
	*timer = (struct due_timer){
		.queue = queue_of(loop),
		.fn = fn,
		.ctx = ctx,
		.link.data = timer,
	};
	uv_timer_init(loop, &timer->handle);
	timer->handle.data = timer;
}

void due_start(struct due_timer *timer, clk_ms delay, clk_ms period)
{
	due_stop(timer);
	uv_timer_start(&timer->handle, on_timer, (uint64_t)delay,
		       (uint64_t)period);
}

void due_stop(struct due_timer *timer)
{
	uv_timer_stop(&timer->handle);
	if (timer->is_due)
		g_queue_unlink(&timer->queue->timers, &timer->link);
	timer->is_due = false;
}

bool due_is_active(const struct due_timer *timer)
{
	return timer->is_due ||
	       uv_is_active((const uv_handle_t *)&timer->handle);
}

static void on_closed(uv_handle_t *handle)
{
	struct due_timer *timer = handle->data;

	timer->closed(timer->ctx);
}

void due_close(struct due_timer *timer, void (*closed)(void *ctx))
{
	due_stop(timer);
	timer->closed = closed;
	uv_close((uv_handle_t *)&timer->handle, closed ? on_closed : NULL);
}
