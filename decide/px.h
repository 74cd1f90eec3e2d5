/*
 * The state of a request that is relayed to upstreams: decides what follows
 * from the outcome of each attempt, and what may be reported to the caller.
 *
 * A request is sent to a second upstream only if it cannot have run on the
 * first, if it may run more than once, or if the second one goes on with the
 * same run, from its KV cache. It is reported as not run only if no attempt may
 * have run.
 */
#ifndef DECIDE_PX_H
#define DECIDE_PX_H

#include <stdbool.h>

/* Kinds of request, by whether they may be repeated. */
enum px_kind {
	PX_IDEMPOTENT,	 /* may run more than once */
	PX_AT_MOST_ONCE, /* at most once */
	PX_STREAM,	 /* a stream that may not be repeated */
	PX_RESUMABLE,	 /* a stream that another upstream can resume */
};

/* How an attempt at an upstream ended. */
enum px_end {
	PX_END_UNSENT,	   /* nothing was sent */
	PX_END_UNFIT,	   /* the same: it is not the process to send it to */
	PX_END_NOT_RUN,	   /* the upstream proved that it did not run it */
	PX_END_COMPLETE,   /* a complete response */
	PX_END_FAILED,	   /* a complete response that reports a failed run */
	PX_END_INCOMPLETE, /* no complete response: it may have run */
};

/* The next action for a request. */
enum px_action {
	PX_RETRY,     /* send it to another upstream, from the start */
	PX_RESUME,    /* send it to another upstream, after the last event */
	PX_CONTINUE,  /* the same, to one that holds its KV cache: no new run */
	PX_DELIVER,   /* relay the response, or finish it */
	PX_REFUSE,    /* it has not run and will not: the caller may retry */
	PX_UNKNOWN,   /* whether it ran is not known */
	PX_TIMED_OUT, /* its time is up and it may have run */
	PX_ABORT,     /* abort the response that has started */
};

/* The attempts of one request. */
struct px {
	enum px_kind kind;
	unsigned max_attempts; /* upstreams that it may be sent to */
	unsigned attempts;     /* upstreams that it was sent to */
	unsigned unsent;       /* attempts that reached no upstream */
	bool may_have_run;     /* in an attempt that has ended */
	bool response_started; /* part of it was relayed to the caller */
};

/* The conditions for another attempt. */
struct px_retry_conditions {
	bool has_time;	   /* enough of it remains */
	bool has_budget;   /* the retry budget allows one */
	bool has_upstream; /* another upstream accepts work */
	bool has_host;	   /* another host does, if no upstream is reached */
	bool has_cache;	   /* another upstream holds the KV cache of its run */
};

/* Records that an attempt was sent. */
void px_on_sent(struct px *px);
/* Records the outcome of an attempt and returns the next action. */
enum px_action px_on_end(struct px *px, enum px_end end,
			 const struct px_retry_conditions *cond);
/* Its run was stopped at its upstream, and can go on from its KV cache. */
enum px_action px_on_moved(struct px *px);
/* It was forwarded, and no other host has accepted it: it goes on at an
 * upstream of this host, if there is one. */
enum px_action px_on_declined(struct px *px,
			      const struct px_retry_conditions *cond);
/* Returns the action when the request's time is up. running: an attempt is in
 * progress. */
enum px_action px_on_timeout(const struct px *px, bool running);
/* Returns the action when no further attempt is made. */
enum px_action px_on_give_up(const struct px *px);
/* Returns whether so many attempts sent nothing that only another host is to be
 * tried. */
bool px_needs_host(const struct px *px);
/* Returns whether requests of a kind may run more than once. */
bool px_is_repeatable(enum px_kind kind);

#endif
