/*
 * A request that is being relayed to upstreams. decide/px.h decides what
 * follows from the outcome of an attempt; these files carry it out.
 */
#ifndef DAEMON_PROXYD_XFER_H
#define DAEMON_PROXYD_XFER_H

#include "../wire/trace.h"
#include "../decide/rollout.h"
#include "confirm.h"
#include "ident.h"
#include "proxyd.h"

/* The response of the current attempt. */
struct xfer_response {
	bool has_head;
	int status;
	struct head_response head;
	GString *headers;     /* for the caller */
	GString *body;	      /* of a response that is relayed when complete */
	bool is_event_stream; /* its events are relayed as they arrive */
	bool has_no_room;     /* the process's budget is used up */
	bool ends_with_connection; /* it has no other end */
	clk_ms began_at;	   /* when its head came */
};

/* Move of a stream away from a worker that is leaving. */
enum move_state {
	MOVE_NONE,
	MOVE_RUNNING, /* the source stops the request and copies its KV cache */
	MOVE_DONE,    /* was attempted; not repeated at this worker */
	MOVE_CONTINUED, /* the request was sent on with its KV cache, and has no
			 * output yet */
};

struct xfer_move {
	enum move_state state;
	struct engine_move *call;     /* NULL: it has ended */
	enum engine_outcome outcome;  /* once the call has ended */
	bool source_ended;	      /* the stream from the source has ended */
	enum hc_result source_result; /* how, as its connection shows */
	char *handle;		      /* names the KV cache, or NULL */
	struct fleet_worker *source;  /* keeps the KV cache, too */
	int64_t source_start;	      /* of its process, as worker_start */
	struct fleet_worker *target;  /* where the run is to go on */
	clk_ms started_at;
};

/* What is counted of a request for roll-outs, by the numbers of orders; 0:
 * none.
 */
struct xfer_rollout {
	unsigned counted;	/* it counts as a request under that order */
	unsigned spared;	/* its target has failed the request */
	unsigned order;		/* under which the current attempt was sent */
	enum rollout_side side; /* of its worker */
};

struct xfer {
	struct proxyd *proxyd;
	struct hs_request *call; /* NULL: was replied to, or the caller is
				  * disconnected */
	struct tab *tab;	 /* by which it was routed */
	const struct tab_route *route;
	const struct tab_account *account; /* NULL: the route is public */
	const struct tab_pool *pool;
	struct quota *quota; /* that the units were taken from, or NULL */
	double units;
	char *id;
	uint64_t identity; /* the same for its repeats, see guard_identity */
	struct head_request request; /* views into the call */
	struct px px;
	struct sse sse;
	struct fleet_request fleet_request;
	struct fleet_worker *worker; /* of the current attempt, or NULL */
	/* Start of its process in ms of its wall clock: as listed when the
	 * attempt was sent or, once that is known, of the one that it runs at;
	 * 0: not known. */
	int64_t worker_start;
	struct hc_request *attempt;
	struct hop_call *hop; /* the request at another host, or NULL */
	/* The worker of the attempt, which is not sent yet, is asked which
	 * process it is; or NULL. */
	struct ident *ident;
	unsigned ident_tries;
	clk_ms asked_at; /* the attempt's worker, which process, and it has not
			  * answered; 0: it was not, or has */
	unsigned unfit;	 /* attempts that met another process */
	/* Why the attempt has ended whose process is asked for after it; NULL:
	 * none was. */
	const char *settles;
	/* The attempt's response has ended with its connection; NULL unless
	 * its worker is asked whether that is the end. */
	struct confirm *confirm;
	struct xfer_response response;
	bool has_output;  /* the attempt has returned an event, or the head of
			   * a response that is not a stream */
	clk_ms output_at; /* when it did; 0: it has not */
	/* The event from which the next interval counts. */
	clk_ms interval_at;
	uint64_t interval_events; /* relayed until then */
	bool proved;		  /* it did not crash its worker */
	bool usage_counted;	  /* counted in the account's usage */
	int priority;		  /* in an engine's queue, 0 is first */
	clk_ms received_at;	  /* when the caller's request was complete */
	clk_ms deadline;
	/* When the worker of the last attempt had last sent anything; 0: never
	 * here. Noted at the attempt's end. */
	clk_ms worker_heard_at;
	clk_ms sent_at;	 /* of the attempt; 0: not sent yet */
	bool tries_room; /* it is beyond the known room of a brittle worker */
	clk_ms last_received_at; /* of data from the attempt */
	struct due_timer timer;
	struct trace_span span; /* of the request */
	struct trace_span attempt_span;
	struct xfer_move move;
	struct xfer_rollout rollout;
	bool demanded;	      /* counted in its pool's demand */
	bool waiting;	      /* in its pool's queue */
	clk_ms waiting_since; /* for the next attempt; 0: not yet */
	unsigned queue_round; /* in which it was last tried */
	bool forwarded;	      /* by another host */
	bool unreached;	      /* no worker could be reached */
	bool retry_paid; /* the budget was spent for an attempt that has sent
			  * nothing yet */
	bool declined;	 /* by the other hosts: it is not forwarded again */
	clk_ms stall_checked_at; /* its silent attempt had no alternative then
				  */
	char *forwarder;     /* incarnation of the host that has forwarded it */
	bool unknown_told;   /* others know that its version is not known */
	bool awaits_entry;   /* of a worker that may have its version */
	clk_ms awaits_until; /* for entries, before it is sent; 0: not yet */
	/* It was forwarded and cut off, and awaits which process began it. */
	bool awaits_process;
	bool resumes; /* its caller takes up a stream that has begun */
	bool asking;  /* the version that began it */
	struct origin_question question;
};

/* Starts a request that has passed all checks. */
void xfer_start(struct xfer *xfer);
/* Sends the request to an upstream, after the last attempt has ended. */
void xfer_send(struct xfer *xfer);
/* Sets the timer of a request after it was sent. */
void xfer_timer_arm(struct xfer *xfer);
/* Carries out an action of decide/px. */
void xfer_perform(struct xfer *xfer, enum px_action step, const char *why);
/* Ends a request for which there is no worker. */
void xfer_give_up(struct xfer *xfer);
/* Ends a request that crashes workers. */
void xfer_give_up_poison(struct xfer *xfer);
/* The caller has disconnected. */
void xfer_on_disconnect(void *ctx);

/* proxyd-move.c: streams at workers that are leaving */
/* The attempt's stream has ended. Returns whether a move is in progress that
 * may have stopped it, and which then determines what follows. */
bool move_on_source_end(struct xfer *xfer, enum hc_result result);
/* Clears the move, and cancels it if it is in progress. */
void move_clear(struct xfer *xfer);
/* Whether requests may still be sent to the move's source. */
bool move_source_takes(const struct xfer *xfer);
/* Whether the run can go on at the source, after the target has not taken it.
 */
bool move_can_go_back(const struct xfer *xfer);
/* Sends the request to the worker at which its run goes on: the target or, if
 * that one has not taken it, the source. */
void move_continue(struct xfer *xfer);

/* proxyd-permit.c: limits that workers name */
/* Notes the limit that the head of the response names, or that it names none.
 */
void permit_on_head(struct xfer *xfer);
/* The same for another response of a worker, to a request that was sent at
 * sent_at. */
void permit_on_response(struct proxyd *proxyd, struct fleet_worker *worker,
			const struct head_response *head, clk_ms sent_at);
/* Asks for permits; returns whether there is one already. */
bool permit_ask_for(struct proxyd *proxyd, struct fleet_worker *worker);

/* proxyd-rollout.c: roll-outs of software versions */
/* Sets which versions may run the request, before a worker is chosen. */
void rollout_place(struct xfer *xfer);
/* No worker of the target takes the request now: allows the others. Returns
 * false if that changes nothing. */
bool rollout_place_again(struct xfer *xfer);
/* An attempt begins; has its first output; has ended after it was sent, failed:
 * the worker is to blame. */
void rollout_on_start(struct xfer *xfer);
void rollout_on_output(struct xfer *xfer);
void rollout_on_end(struct xfer *xfer, bool failed);

/* proxyd-queue.c: requests that wait for a permit */
/* Queues a request; returns false if no permit is expected for it soon. */
bool queue_add(struct xfer *xfer);
void queue_remove(struct xfer *xfer);
/* A request at a worker has ended. */
void queue_on_freed(struct proxyd *proxyd, const struct fleet_worker *worker);
/* Returns after how many ms the caller of a request that is refused for want of
 * room should come back. */
clk_ms queue_return_after(struct xfer *xfer, const struct fleet_room *room);

/* proxyd-resume.c: streams that callers take up */
/* The first event of the response is about to be relayed. */
void resume_on_first_event(struct xfer *xfer);
/* A later event is. */
void resume_on_event(struct xfer *xfer);
/* Records which process began the stream; process: its start, in ms of its wall
 * clock. */
void resume_record(struct xfer *xfer, int64_t process);
/* Sets what is known of the versions of workers and of the stream, before a
 * worker is chosen. */
void resume_update_listed(struct xfer *xfer);
/* Waits until a process is listed that may have the stream's version; returns
 * false if there is none. */
bool resume_await_entry(struct xfer *xfer);
/* Whether it may wait so, now or later. */
bool resume_may_await(const struct xfer *xfer);
/* Waits, after the host that ran the stream is lost, until the worker has
 * answered that perhaps began it; returns false if there is none to wait for.
 */
bool resume_await_process(struct xfer *xfer, const char *why);
/* Finds out which version began the stream, and then sends the request, or
 * rejects it. */
void resume_start_stream(struct xfer *xfer);
/* The request has ended. */
void resume_cancel(struct xfer *xfer);

/* proxyd-guard.c: requests and prompt parts that crash workers */
/* Fills in what may be a cause in a request; its parts are those of head. */
void guard_request_fill(struct poison_request *request,
			const struct head_request *head, uint64_t identity);
/* The attempt's worker has ended its connection. */
void guard_on_cut(struct xfer *xfer);
/* The attempt's worker has sent something. */
void guard_on_data(struct xfer *xfer);
/* The attempt has output. */
void guard_on_output(struct xfer *xfer, bool complete);
/* Whether the request crashes workers, or a part of its prompt does, and it has
 * not run yet. */
bool guard_blocks(const struct xfer *xfer);

/* proxyd-front.c */
/* Checks a request and starts it, or replies to it; forwarded: what the host
 * says that has forwarded it; NULL: its caller has sent it. */
void front_accept(struct proxyd *proxyd, struct hs_request *call,
		  const struct head_forwarded *forwarded);

/* proxyd-forward.c: requests over another host */
/* Whether another host may be able to take a request. */
bool forward_is_possible(const struct xfer *xfer);
/* Forwards a request that has no attempt, if the links to its workers are lost,
 * or none of several workers could be reached; returns whether it has. */
bool forward_request(struct xfer *xfer);
/* A stream that was cut off need not wait any longer until it is known which
 * process began it. */
void forward_on_settled(struct xfer *xfer);

/* proxyd-process.c: which process of a worker an attempt runs at */
/* Asks the worker of the attempt which process it is; then sends the attempt,
 * or ends it. */
void process_prove(struct xfer *xfer);
/* Whether an attempt that may go to any process waits for the answer. */
bool process_is_asked_first(const struct xfer *xfer);
/* The attempt's stream was cut off. Asks its worker which process it is, if
 * that of the stream is not known, and ends the attempt then; returns false if
 * there is nothing to ask. */
bool process_settle(struct xfer *xfer, const char *why);

/* proxyd-ends.c */
/* Counts a request that ends without a whole answer. */
void ends_count(struct proxyd *proxyd, const char *why);

/* proxyd-attempt.c: one attempt at an upstream */
/* Returns the conditions for one more attempt. */
struct px_retry_conditions attempt_retry_conditions(struct xfer *xfer);
/* Sends the request to the chosen worker, or asks it first which process it is.
 */
void attempt_start(struct xfer *xfer, const struct fleet_choice *choice);
/* Sends the attempt that has been started. */
void attempt_send(struct xfer *xfer);
/* Whether the next attempt may be followed by another one if it is lost. */
bool attempt_is_repeatable(const struct xfer *xfer);
/* Whether the request may be sent to the worker that was chosen for it: while a
 * connection was being established, or the worker was asked which process it
 * is, it may have begun to leave. */
bool attempt_may_send(const struct xfer *xfer);
/* Ends the attempt, which was not sent as the worker can't be reached. */
void attempt_end_unreached(struct xfer *xfer);
/* Whether another worker that has sent something lately could have the request
 * now. */
bool attempt_has_sound_other(struct xfer *xfer);
/* Adds bytes to the response: complete events of a stream are passed to relay,
 * other responses are buffered. Returns false if the response can't go on; why
 * is set then. */
bool attempt_receive(struct xfer *xfer, const char *ptr, size_t len,
		     void (*relay)(struct xfer *xfer, const GString *events),
		     const char **why);
/* Ends a request for whose response there is no room: its caller does not read,
 * or the process's budget is used up. To be called after attempt_receive. */
void attempt_check_room(struct xfer *xfer);
/* Judges the end of the attempt by its connection and its response. A response
 * without a length is judged once its worker was asked. */
void attempt_judge(struct xfer *xfer, enum hc_result result);
/* Records how the attempt ended and carries out what follows. */
void attempt_end(struct xfer *xfer, enum px_end end, const char *why);
/* Cancels the current attempt, if there is one. */
void attempt_cancel(struct xfer *xfer);
/* How long the upstream may send nothing before the attempt counts as stalled,
 * in ms. */
clk_ms attempt_silence_limit(const struct xfer *xfer);
/* The upstream has sent nothing for that long: ends the attempt if another
 * upstream can take the request, one that was heard from lately. */
void attempt_on_stall(struct xfer *xfer);
/* Ends an attempt whose link is lost, so that another upstream or host can have
 * the request. */
void attempt_take_back(struct xfer *xfer);

#endif
