/*
 * One request on its way through rw-proxyd. decide/px.h says what follows
 * from the end of an attempt; this says how it is done.
 */
#ifndef DAEMON_PROXYD_XFER_H
#define DAEMON_PROXYD_XFER_H

#include "../wire/trace.h"
#include "proxyd.h"

/* The response of the attempt under way. */
struct xfer_response {
	bool has_head; /* its head has come */
	int status;
	struct head_response head;
	GString *headers;     /* for the caller */
	GString *body;	      /* of a response that is passed on whole */
	bool is_event_stream; /* its events are passed on as they come */
};

/* A stream that is being moved from a worker that leaves. */
enum move_state {
	MOVE_NONE,
	MOVE_RUNNING, /* the old run stops, and its memory is copied */
	MOVE_DONE,    /* it was tried at this worker */
};

struct xfer_move {
	enum move_state state;
	struct engine_move *call; /* NULL: it is answered */
	bool source_ended;	  /* the old stream is over */
	char *handle;		  /* of the copied memory, or NULL */
	struct fleet_worker *target;
	clk_ms started_at;
};

struct xfer {
	struct proxyd *proxyd;
	struct hs_request *call; /* NULL: the caller is answered, or gone */
	struct tab *tab;	 /* by which it was routed */
	const struct tab_route *route;
	const struct tab_account *account; /* NULL: the route is public */
	const struct tab_pool *pool;
	struct quota *quota; /* that units were taken from, or NULL */
	double units;
	char *id;
	struct head_request request; /* views into the call */
	struct px px;
	struct sse sse;
	struct fleet_request fleet_request;
	struct fleet_worker *worker; /* of the attempt under way, or NULL */
	struct hc_request *attempt;
	struct xfer_response response;
	bool has_output;    /* the attempt has brought an event or a head */
	bool usage_counted; /* it is in the usage */
	int priority;	    /* of an engine, 0 first */
	clk_ms received_at; /* when the request was whole */
	clk_ms deadline;    /* its time is over */
	clk_ms sent_at;	    /* of the attempt */
	clk_ms last_received_at; /* when the attempt last brought something */
	uv_timer_t timer;
	struct trace_span span;		/* of the request */
	struct trace_span attempt_span; /* of the attempt */
	struct xfer_move move;
	bool continues_run; /* the next send goes on with moved memory */
};

/* Starts a request that is allowed; the xfer owns its references. */
void xfer_start(struct xfer *xfer);
/* Sends it to an upstream, after the last attempt is over. */
void xfer_send(struct xfer *xfer);
/* Does what decide/px said. */
void xfer_perform(struct xfer *xfer, enum px_action step, const char *why);
/* The caller has gone. */
void xfer_on_disconnect(void *ctx);

/* proxyd-move.c: a stream's worker leaves. The old stream has ended: returns
 * whether a move sees to what follows. */
bool move_on_source_end(struct xfer *xfer);
/* Forgets a move, broken off if it is under way. */
void move_clear(struct xfer *xfer);

/* An attempt has ended: what follows is decided, and done. */
void attempt_end(struct xfer *xfer, enum px_end end, const char *why);
/* proxyd-attempt.c: begins an attempt at xfer->worker. */
void attempt_start(struct xfer *xfer, const struct fleet_choice *choice);
/* Breaks the attempt under way off, if there is one. */
void attempt_cancel(struct xfer *xfer);
/* How long the upstream may be silent before it is given up, in ms. */
clk_ms attempt_silence_limit(const struct xfer *xfer);
/* The upstream was silent for too long. */
void attempt_on_stall(struct xfer *xfer);

#endif
