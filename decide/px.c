/* The life of a request that is passed on to upstreams. */
#include "px.h"

#define UNSENT_MAX 3 /* attempts without a byte sent, of one request */

bool px_is_repeatable(enum px_kind kind)
{
	return kind == PX_IDEMPOTENT || kind == PX_RESUMABLE;
}

void px_on_sent(struct px *px)
{
	px->attempts++;
}

/* What is left when there is no further attempt. */
static enum px_action give_up(const struct px *px)
{
	if (px->response_started)
		return PX_ABORT;
	return px->may_have_run ? PX_UNKNOWN : PX_REFUSE;
}

/* Another attempt if there is room for it. */
static enum px_action try_again(const struct px *px,
				const struct px_retry_conditions *room)
{
	if (px->attempts >= px->max_attempts || !room->has_time ||
	    !room->has_upstream || (px->attempts > 0 && !room->has_budget))
		return give_up(px);
	return px->response_started ? PX_RESUME : PX_RETRY;
}

enum px_action px_on_end(struct px *px, enum px_end end,
			 const struct px_retry_conditions *room)
{
	switch (end) {
	case PX_END_COMPLETE:
		return PX_DELIVER;
	case PX_END_UNSENT:
		if (++px->unsent > UNSENT_MAX)
			return give_up(px);
		return try_again(px, room);
	case PX_END_NOT_RUN:
		return try_again(px, room);
	case PX_END_FAILED:
		px->may_have_run = true;
		/* A failure can't end an answer that has begun. */
		if (px->response_started)
			return px_is_repeatable(px->kind) ? try_again(px, room)
							  : PX_ABORT;
		if (px_is_repeatable(px->kind) &&
		    try_again(px, room) == PX_RETRY)
			return PX_RETRY;
		return PX_DELIVER;
	case PX_END_INCOMPLETE:
		px->may_have_run = true;
		return px_is_repeatable(px->kind) ? try_again(px, room)
						  : give_up(px);
	}
	return give_up(px);
}

enum px_action px_on_timeout(const struct px *px, bool running)
{
	if (px->response_started)
		return PX_ABORT;
	return running || px->may_have_run ? PX_TIMED_OUT : PX_REFUSE;
}
