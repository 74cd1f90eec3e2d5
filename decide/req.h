/*
 * One request as its primary or standby stores it, and its answer.
 */
#ifndef DECIDE_REQ_H
#define DECIDE_REQ_H

#include <glib.h>
#include <stdbool.h>

#include "clk.h"
#include "err.h"
#include "rid.h"

/* State of a request. */
enum req_phase {
	REQ_NEW,	/* no hold was sent yet */
	REQ_HOLD_SENT,	/* a hold is in flight */
	REQ_HELD,	/* the standby has it: accepted */
	REQ_GRANT_SENT, /* the grant was requested */
	REQ_GRANTED,	/* it may have been dispatched */
	REQ_REVOKING,	/* cancelled; the standby has yet to confirm */
	REQ_ENDED,	/* it has its final answer */
	REQ_MOVED,	/* another host has the authority over it */
	REQ_PHASE_COUNT,
};

/* Attributes of a request, common to all attempts. */
struct req_attrs {
	char *account;
	char *target;	    /* model or route name */
	char *trace;	    /* W3C traceparent of the primary's span */
	GBytes *body;	    /* as the caller sent it; NULL once ended */
	bool model;	    /* a completion, not a service call */
	bool idempotent;    /* may be run more than once */
	uint64_t body_hash; /* detects reuse of an id with another body */
	bool streaming;	    /* the caller requested a streamed answer */
};

/* The chunks of an answer and how it ended. */
struct req_answer {
	GString *bytes; /* all chunks, concatenated */
	GArray *ends;	/* size_t: end offset of each chunk in bytes */
	bool ended;
	enum err_kind kind; /* RW_OK: complete */
	int status;	    /* of the upstream, for service calls; else 0 */
};

/* The current attempt at an upstream, replicated for a takeover. */
struct req_attempt {
	char *upstream;	   /* name, or NULL */
	char *stream;	   /* the attempt's id at the upstream, or NULL */
	unsigned count;	   /* attempts begun */
	unsigned grant_no; /* grants requested; only the last is valid */
};

struct req {
	char *id;
	struct rid rid;
	char *acting; /* incarnation with the authority, as known here */
	enum req_phase phase;
	bool standby_copy;     /* this host is the standby */
	bool inherited;	       /* taken over from another incarnation */
	bool accepted;	       /* the caller may be notified */
	bool want_run;	       /* an upstream has capacity */
	bool hold_sent;	       /* the standby may have it */
	bool running;	       /* passed to the dispatcher */
	bool probing;	       /* its outcome is being queried */
	bool proved_not_run;   /* the dispatcher has evidence */
	bool attempt_reported; /* the attempt was sent to the standby */
	bool answer_dropped;   /* the answer's bytes were freed */
	bool replicated;       /* the standby has the request itself */
	struct req_attrs attrs;
	struct req_answer answer;
	struct req_attempt attempt;
	size_t acked;	/* chunks that the standby has */
	bool end_acked; /* the standby has the end */
	int64_t epoch;	/* latest epoch it was held under */
	clk_ms created;
	clk_ms deadline;
	clk_ms next_send;	/* when to resend unanswered messages */
	clk_ms revoke_deadline; /* end of the wait for a revocation's ack */
	clk_ms ended_at;	/* when it got its final answer */
	clk_ms expires;		/* when to free it; CLK_NEVER before its end */
	enum err_kind refusal;	/* error to send once the revocation is acked */
	GList *active_link;	/* its link in replica.active, or NULL */
	void *owner;		/* the daemon's data; unused in decide/ */
};

/* Creates a request with an empty answer; the id must be valid. */
struct req *req_create(const char *id, const struct rid *rid);
void req_free(struct req *req);
/* Copies attributes; the body is shared. */
void req_attrs_set(struct req *req, const struct req_attrs *attrs);
/* Sets the upstream and stream of the current attempt. */
void req_attempt_set(struct req *req, const char *upstream, const char *stream);

size_t req_chunk_count(const struct req *req);
/* Returns chunk n and its length. */
const char *req_chunk(const struct req *req, size_t n, size_t *len);
void req_chunk_add(struct req *req, const char *ptr, size_t len);
/* Ends the answer; a definite end may replace an unknown one. Returns whether
 * the answer changed. */
bool req_answer_end(struct req *req, enum err_kind kind, int status);
/* Frees the bytes of an ended answer. */
void req_drop_answer(struct req *req);
void req_drop_body(struct req *req);
/* Returns whether the request ran, from the end of its answer. */
enum err_ran req_ran(const struct req *req);

#endif
