/*
 * The life of a request that is passed on to upstreams: what follows from
 * the end of each attempt, and what may then be said to the caller.
 *
 * A request goes to a second upstream only if that can't run it twice, or if
 * it may run twice. "Not run" is said only of a request of which no attempt
 * may have run.
 */
#ifndef DECIDE_PX_H
#define DECIDE_PX_H

#include <stdbool.h>

/* What may be repeated. */
enum px_kind {
	PX_IDEMPOTENT,	 /* may run more than once */
	PX_AT_MOST_ONCE, /* at most once */
	PX_STREAM,	 /* a stream that may not be repeated */
	PX_RESUMABLE,	 /* a stream that another upstream can go on with */
};

/* How an attempt at an upstream ended. */
enum px_end {
	PX_END_UNSENT,	 /* no byte was sent */
	PX_END_NOT_RUN,	 /* the upstream proved that it did not run it */
	PX_END_COMPLETE, /* a whole answer */
	PX_END_FAILED,	 /* a whole answer that reports a failure of the run */
	PX_END_INCOMPLETE, /* no whole answer: it may have run */
};

/* What is to be done. */
enum px_action {
	PX_RETRY,   /* send it to another upstream from the start */
	PX_RESUME,  /* send it to another upstream, from the last event on */
	PX_DELIVER, /* pass the answer on, or finish it */
	PX_REFUSE,  /* it has not run and will not: the caller may come back */
	PX_UNKNOWN, /* nobody can say whether it ran */
	PX_TIMED_OUT, /* its time is over and it may have run */
	PX_ABORT,     /* break off the answer that has begun */
};

/* One request. */
struct px {
	enum px_kind kind;
	unsigned max_attempts; /* upstreams that it may be sent to */
	unsigned attempts;     /* upstreams that it was sent to */
	unsigned unsent;       /* attempts that sent nothing */
	bool may_have_run;     /* by some attempt that has ended */
	bool response_started; /* a part of the answer was passed on */
};

/* What allows another attempt. */
struct px_retry_conditions {
	bool has_time;	   /* enough of it is left */
	bool has_budget;   /* the retry budget has one */
	bool has_upstream; /* another upstream takes work */
};

/* An attempt is sent. */
void px_on_sent(struct px *px);
/* An attempt has ended. */
enum px_action px_on_end(struct px *px, enum px_end end,
			 const struct px_retry_conditions *room);
/* The request's time is over; running: an attempt is under way. */
enum px_action px_on_timeout(const struct px *px, bool running);
/* Whether the kind of request may run more than once. */
bool px_is_repeatable(enum px_kind kind);

#endif
