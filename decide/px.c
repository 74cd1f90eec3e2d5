/* Decisions about a request that is relayed to upstreams. */
#include "px.h"

#define UNSENT_MAX 3 /* attempts of one request that reached no upstream */

bool px_is_repeatable(enum px_kind kind)
{
	return kind == PX_IDEMPOTENT || kind == PX_RESUMABLE;
}

bool px_needs_host(const struct px *px)
{
	return px->unsent > UNSENT_MAX;
}

void px_on_sent(struct px *px)
{
	px->attempts++;
}

enum px_action px_on_give_up(const struct px *px)
{
	if (px->response_started)
		return PX_ABORT;
	return px->may_have_run ? PX_UNKNOWN : PX_REFUSE;
}

/* Whether the request may be run, or run again, from its start. */
static bool may_start(const struct px *px)
{
	return px_is_repeatable(px->kind) ||
	       !(px->may_have_run || px->response_started);
}

/* Returns the action for another attempt if the conditions allow one, or the
 * final action. */
static enum px_action retry_action(const struct px *px,
				   const struct px_retry_conditions *cond)
{
	bool can_send = px_needs_host(px) ? cond->has_host : cond->has_upstream;

	if (!may_start(px) || px->attempts >= px->max_attempts ||
	    !cond->has_time || !can_send ||
	    (px->attempts > 0 && !cond->has_budget))
		return px_on_give_up(px);
	return px->response_started ? PX_RESUME : PX_RETRY;
}

/* Returns the action after an attempt that has not run the request. */
static enum px_action not_run_action(const struct px *px,
				     const struct px_retry_conditions *cond)
{
	if (cond->has_cache && cond->has_time && cond->has_budget)
		return PX_CONTINUE;
	return retry_action(px, cond);
}

enum px_action px_on_moved(struct px *px)
{
	px->may_have_run = true;
	return PX_CONTINUE;
}

enum px_action px_on_end(struct px *px, enum px_end end,
			 const struct px_retry_conditions *cond)
{
	struct px_retry_conditions paid = *cond;

	/* The budget was spent when an attempt that sent nothing was decided.
	 */
	paid.has_budget = true;
	switch (end) {
	case PX_END_COMPLETE:
		return PX_DELIVER;
	case PX_END_UNSENT:
		px->unsent++;
		return not_run_action(px, &paid);
	case PX_END_UNFIT:
		return not_run_action(px, &paid);
	case PX_END_NOT_RUN:
		return not_run_action(px, cond);
	case PX_END_FAILED:
		px->may_have_run = true;
		/* A response that has started cannot end in a failure. */
		if (px->response_started)
			return px_is_repeatable(px->kind)
				       ? retry_action(px, cond)
				       : PX_ABORT;
		if (px_is_repeatable(px->kind) &&
		    retry_action(px, cond) == PX_RETRY)
			return PX_RETRY;
		return PX_DELIVER;
	case PX_END_INCOMPLETE:
		px->may_have_run = true;
		return px_is_repeatable(px->kind) ? retry_action(px, cond)
						  : px_on_give_up(px);
	}
	return px_on_give_up(px);
}

enum px_action px_on_declined(struct px *px,
			      const struct px_retry_conditions *cond)
{
	px->attempts--;
	return retry_action(px, cond);
}

enum px_action px_on_timeout(const struct px *px, bool running)
{
	if (px->response_started)
		return PX_ABORT;
	return running || px->may_have_run ? PX_TIMED_OUT : PX_REFUSE;
}
