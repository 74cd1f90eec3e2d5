/*
 * One request as its home or its guardian knows it, and its answer.
 */
#ifndef DECIDE_REQ_H
#define DECIDE_REQ_H

#include <glib.h>
#include <stdbool.h>

#include "clk.h"
#include "err.h"
#include "rid.h"

/* How far a request has come. */
enum req_phase {
	REQ_NEW,	/* no hold was sent yet */
	REQ_HOLD_SENT,	/* a hold is on its way */
	REQ_HELD,	/* the guardian has it: accepted */
	REQ_GRANT_SENT, /* the guardian was asked for the grant */
	REQ_GRANTED,	/* it may have been dispatched */
	REQ_REVOKING,	/* given up; the guardian is to confirm */
	REQ_ENDED,	/* it has its final answer */
	REQ_MOVED,	/* another host has the authority over it */
	REQ_PHASE_COUNT,
};

/* What is the same in every attempt at a request. */
struct req_attrs {
	char *account;
	char *target;	    /* model or route name */
	char *trace;	    /* W3C traceparent of the home's span */
	GBytes *body;	    /* as the caller sent it; NULL once ended */
	bool model;	    /* a completion, not a service call */
	bool idempotent;    /* may be run more than once */
	uint64_t body_hash; /* tells an id that is used again wrongly */
	bool streaming;	    /* the caller asked for a streamed answer */
};

/* The pieces of an answer and how it ended. */
struct req_answer {
	GString *bytes; /* all pieces, one after the other */
	GArray *ends;	/* size_t: where each piece ends in bytes */
	bool ended;
	enum err_kind kind; /* RW_OK: whole */
	int status;	    /* of the upstream, for service calls; else 0 */
};

/* The attempt at an upstream that is under way, for a successor. */
struct req_attempt {
	char *upstream;	   /* name, or NULL */
	char *stream;	   /* the attempt's id at the upstream, or NULL */
	unsigned count;	   /* attempts begun */
	unsigned grant_no; /* grants asked for; the last one counts */
};

struct req {
	char *id;
	struct rid rid;
	char *acting; /* incarnation with the authority, as known here */
	enum req_phase phase;
	bool standby_copy;     /* this host is the guardian, not the home */
	bool inherited;	       /* taken over from a lost home */
	bool accepted;	       /* the caller may be told so */
	bool want_run;	       /* an upstream has room */
	bool hold_sent;	       /* the guardian may know of it */
	bool running;	       /* handed to the dispatcher */
	bool probing;	       /* its outcome is being asked for */
	bool proved_not_run;   /* the dispatcher has evidence of that */
	bool attempt_reported; /* the guardian was told of the attempt */
	bool answer_dropped;   /* the answer was kept long enough and is gone */
	bool replicated;       /* the guardian has the request itself */
	struct req_attrs attrs;
	struct req_answer answer;
	struct req_attempt attempt;
	size_t acked;	/* pieces that the guardian has */
	bool end_acked; /* the guardian has the end */
	int64_t epoch;	/* of the guardianship under which it was held */
	clk_ms created;
	clk_ms deadline;
	clk_ms next_send;	/* when to repeat what is unanswered */
	clk_ms revoke_deadline; /* when an unanswered revocation is unknown */
	clk_ms ended_at;	/* when it got its final answer */
	clk_ms expires;	       /* when to forget it; CLK_NEVER before its end */
	enum err_kind refusal; /* what a confirmed revocation answers */
	GList *active_link;    /* its place among those that need attention */
	void *owner;	       /* the daemon's part; not decide's */
};

/* Creates a request with an empty answer; the id must parse. */
struct req *req_create(const char *id, const struct rid *rid);
void req_free(struct req *req);
/* Copies attributes; the body is shared. */
void req_attrs_set(struct req *req, const struct req_attrs *attrs);
/* Names the attempt under way. */
void req_attempt_set(struct req *req, const char *upstream, const char *stream);

size_t req_chunk_count(const struct req *req);
/* Returns piece n and its length. */
const char *req_chunk(const struct req *req, size_t n, size_t *len);
void req_chunk_add(struct req *req, const char *ptr, size_t len);
/* Ends the answer; an unknown end may be replaced by a known one. */
bool req_answer_end(struct req *req, enum err_kind kind, int status);
/* Frees the bytes of an ended answer, and of the body. */
void req_drop_answer(struct req *req);
void req_drop_body(struct req *req);
/* Whether it ran, from the answer's end. */
enum err_ran req_ran(const struct req *req);

#endif
