/*
 * Timers that give up, close or reject something unless input has arrived.
 *
 * libuv runs timers before it polls. After the loop was held up, or the process
 * was stopped, a timer of libuv thus runs before input that arrived in time is
 * read. A callback of these timers runs after the poll that follows: all that
 * had arrived when the timer was due has been passed on by then.
 *
 * The loop's data belong to these timers.
 */
#ifndef WIRE_DUE_H
#define WIRE_DUE_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "../decide/clk.h"

struct due_queue;

struct due_timer {
	uv_timer_t handle;
	struct due_queue *queue; /* of the loop */
	void (*fn)(void *ctx);
	void (*closed)(void *ctx); /* or NULL */
	void *ctx;
	bool is_due; /* fn runs after the next poll */
	GList link;  /* in the list of those that are due */
};

void due_init(uv_loop_t *loop, struct due_timer *timer, void (*fn)(void *ctx),
	      void *ctx);
/* Calls fn once after delay ms, or each period ms from then on unless period is
 * 0. A timer that runs already is set anew. */
void due_start(struct due_timer *timer, clk_ms delay, clk_ms period);
void due_stop(struct due_timer *timer);
/* Whether fn is still to be called. */
bool due_is_active(const struct due_timer *timer);
/* Stops a timer for good; then closed is called, with the timer's ctx, unless
 * it is NULL. The timer may be freed from then on. */
void due_close(struct due_timer *timer, void (*closed)(void *ctx));

#endif
