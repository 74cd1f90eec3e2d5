/*
 * HTTP/1.1 client with a pool of persistent connections per server and no
 * pipelining: a connection carries one request at a time.
 *
 * A response that has the id header must have the id of its request: one with
 * the id of another attempt is read and dropped. A connection on which
 * unexpected bytes arrive is closed and not reused.
 *
 * A response without a length ends with its connection, which the kernel also
 * closes in order when the server's process dies: daemon/confirm.h finds out
 * whether such a response is whole.
 *
 * A connection leads to one process of the server as long as it lasts. A
 * response may name that process, by a positive number. Another connection to
 * the address leads there, too, if the process has served the address both
 * before and after that connection was established.
 */
#ifndef WIRE_HC_H
#define WIRE_HC_H

#include "h1.h"

struct hc;
struct hc_peer; /* a server and its connection pool */
struct hc_request;

/* How a request ended. */
enum hc_result {
	HC_COMPLETE,  /* the whole response was received */
	HC_CLOSED,    /* the connection was closed in order, which is the only
		       * end that the response has; it may be truncated */
	HC_UNSENT,    /* no byte of the request was sent */
	HC_WITHDRAWN, /* the same, as may_send has denied it */
	HC_TRUNCATED, /* connection ended early; the request may have run */
	HC_MALFORMED, /* response is malformed; the request may have run */
};

struct hc_options {
	clk_ms connect_timeout; /* for connection establishment */
	/* For an unused connection: until it carries no request that may not be
	 * sent again, and the same of a server that does not say how long it
	 * keeps one. */
	clk_ms idle_timeout;
	/* Until it is closed, if the server says that it keeps it so long; 0:
	 * idle_timeout. */
	clk_ms keep_max;
	/* Idle connections to all servers that are not closed for their number
	 * (the one idle longest is); 0: any number. */
	unsigned idle_max;
	clk_ms peer_timeout; /* for a peer that acknowledges nothing */
	/* IP address that connections come from; NULL: any. */
	const char *source;
	/* Header that matches a response to its request, or NULL. */
	const char *id_header;
};

/* The request to send and the callbacks for its progress. */
struct hc_request_spec {
	const char *head; /* including the final empty line */
	size_t head_len;
	GBytes *body;	/* or NULL */
	const char *id; /* expected value of id_header; NULL: not checked */
	bool is_head;	/* the method is HEAD */
	bool is_last;	/* the connection is closed after the response */
	/* It can be sent again if it is lost on a connection that the server
	 * has closed meanwhile. */
	bool is_repeatable;
	/* Sent only on an idle connection on which a response has named this
	 * process (see hc_peer_has_idle_to), else on_end gets HC_UNSENT; 0: on
	 * any connection, if possible on one of which the process is known. */
	int64_t process;
	/* Returns the process that the response names; 0: none, and its
	 * connection is not kept. Called at HC_COMPLETE and HC_CLOSED, before
	 * on_end. NULL: the request does not ask for it. */
	int64_t (*names_process)(void *ctx);
	/* Asked when a new connection is established, whether the request is
	 * still to be sent; may be NULL. */
	bool (*may_send)(void *ctx);
	void (*on_sent)(void *ctx, bool reused); /* may be NULL */
	/* Nothing listens at the address; on_end follows. May be NULL. */
	void (*on_refused)(void *ctx);
	void (*on_head)(void *ctx, const struct h1_head *head);
	void (*on_data)(void *ctx, const char *ptr, size_t len);
	/* Called exactly once, unless the request is cancelled. */
	void (*on_end)(void *ctx, enum hc_result result);
	void *ctx;
};

struct hc_counters {
	uint64_t connects; /* connection attempts */
	/* Of these, for a question which process the server is, and for a
	 * request that ends its connection. */
	uint64_t connects_question;
	uint64_t connects_last;
	/* Idle connections closed for their age, by the server, and for their
	 * number. */
	uint64_t idle_over;
	uint64_t idle_ended;
	uint64_t idle_evicted;
	uint64_t reuses;	       /* requests on a pooled connection */
	uint64_t mismatched_responses; /* dropped: wrong id */
	uint64_t unexpected_data;      /* connections closed for it */
};

struct hc *hc_create(uv_loop_t *loop, const struct hc_options *options);
const struct hc_counters *hc_counters(const struct hc *hc);
/* Adds a server at "IP:port". */
struct hc_peer *hc_peer_add(struct hc *hc, const char *address);
/* Closes the idle connections; the peer is freed when its last request ends. */
void hc_peer_remove(struct hc_peer *peer);
/* Whether the pool has an idle connection. */
bool hc_peer_has_idle(const struct hc_peer *peer);
/* Whether it has one that is not too old for a request. It may have ended. */
bool hc_peer_has_idle_for(const struct hc_peer *peer, bool is_repeatable);
/* Whether it has one of which the process is known (hc_request_process) for a
 * request with an id. */
bool hc_peer_has_idle_known(struct hc_peer *peer, bool is_repeatable);
/* Whether it has one on which a response has named a process. */
bool hc_peer_has_idle_to(struct hc_peer *peer, int64_t process);
/* Whether a connection is open that had carried a response before a time. */
bool hc_peer_has_older(const struct hc_peer *peer, clk_ms time);
/* Whether the server has ended a connection since a time that had carried a
 * response, other than as the end of a response without a length. */
bool hc_peer_ended_older(const struct hc_peer *peer, clk_ms since);
/* Connections that are open or being opened. */
unsigned hc_peer_connections(const struct hc_peer *peer);

/* Starts a request. Of the callbacks only on_sent may run before this returns.
 * The head is copied, and the body copied or referenced. */
struct hc_request *hc_request_start(struct hc_peer *peer,
				    const struct hc_request_spec *spec);
/* Returns the process at the other end of the request's connection; 0: it is
 * not known. */
int64_t hc_request_process(struct hc_request *request);
/* Cancels and frees a request; none of its callbacks runs after this. */
void hc_request_cancel(struct hc_request *request);
/* The same; bytes of the request that were not sent yet are dropped. */
void hc_request_reset(struct hc_request *request);

#endif
