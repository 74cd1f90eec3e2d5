/* The life of a request that is passed on to upstreams. */
#include "px.h"

#define UNSENT_MAX 3 /* attempts without a byte sent, of one request */

bool px_may_repeat(enum px_kind kind)
{
	return kind == PX_IDEMPOTENT || kind == PX_RESUMABLE;
}

void px_on_sent(struct px *px)
{
	px->attempts++;
}

/* What is left when there is no further attempt. */
static enum px_step give_up(const struct px *px)
{
	if (px->begun)
		return PX_BREAK;
	return px->may_have_run ? PX_UNKNOWN : PX_REFUSE;
}

/* Another attempt if there is room for it. */
static enum px_step try_again(const struct px *px, const struct px_room *room)
{
	if (px->attempts >= px->max_attempts || !room->time || !room->other ||
	    (px->attempts > 0 && !room->budget))
		return give_up(px);
	return px->begun ? PX_RESUME : PX_AGAIN;
}

enum px_step px_on_end(struct px *px, enum px_end end,
		       const struct px_room *room)
{
	switch (end) {
	case PX_END_WHOLE:
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
		if (px->begun)
			return px_may_repeat(px->kind) ? try_again(px, room)
						       : PX_BREAK;
		if (px_may_repeat(px->kind) && try_again(px, room) == PX_AGAIN)
			return PX_AGAIN;
		return PX_DELIVER;
	case PX_END_CUT:
		px->may_have_run = true;
		return px_may_repeat(px->kind) ? try_again(px, room)
					       : give_up(px);
	}
	return give_up(px);
}

enum px_step px_on_timeout(const struct px *px, bool running)
{
	if (px->begun)
		return PX_BREAK;
	return running || px->may_have_run ? PX_LATE : PX_REFUSE;
}
