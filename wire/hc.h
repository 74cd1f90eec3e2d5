/*
 * HTTP/1.1 client with kept connections, one request on each at a time.
 *
 * What a connection carries belongs to a request only if the request can be
 * recognised in it: a response that names another attempt is read and
 * dropped, and a connection with anything unexpected on it is not used again.
 */
#ifndef WIRE_HC_H
#define WIRE_HC_H

#include "h1.h"

struct hc;
struct hc_peer; /* a server and the connections to it */
struct hc_request;

/* How a call ended. */
enum hc_result {
	HC_COMPLETE,  /* the whole response came */
	HC_UNSENT,    /* not a byte of the request was sent */
	HC_TRUNCATED, /* the connection ended early: it may have run */
	HC_MALFORMED, /* what came is no response: it may have run */
};

struct hc_options {
	clk_ms connect_timeout; /* for a new connection */
	clk_ms idle_timeout;	/* an unused connection is closed after it */
	clk_ms peer_timeout;	/* a peer silent on the wire is given up */
	/* Header by which a response is recognised; NULL: none. */
	const char *id_header;
};

/* What is sent and who is told. */
struct hc_request_spec {
	const char *head; /* with the empty line */
	size_t head_len;
	GBytes *body;	/* or NULL */
	const char *id; /* value of the id header; NULL: not checked */
	bool is_head;	/* the method is HEAD */
	void (*on_sent)(void *ctx, bool reused); /* may be NULL */
	void (*on_head)(void *ctx, const struct h1_head *head);
	void (*on_data)(void *ctx, const char *ptr, size_t len);
	/* Called exactly once, unless the call is cancelled. */
	void (*on_end)(void *ctx, enum hc_result end);
	void *ctx;
};

struct hc_counters {
	uint64_t connects; /* connections that were begun */
	uint64_t reuses;   /* requests on a kept connection */
	uint64_t
		mismatched_responses; /* responses of other requests, dropped */
	uint64_t unexpected_data; /* connections closed for unexpected bytes */
};

struct hc *hc_create(uv_loop_t *loop, const struct hc_options *options);
const struct hc_counters *hc_counters(const struct hc *hc);
/* Adds a server at "IP:port". */
struct hc_peer *hc_peer_add(struct hc *hc, const char *address);
/* Closes idle connections; the peer goes with its last call. */
void hc_peer_remove(struct hc_peer *peer);
/* Whether a kept connection is there. */
bool hc_peer_has_idle(const struct hc_peer *peer);
/* Connections that are open or being opened. */
unsigned hc_peer_connections(const struct hc_peer *peer);

/* Starts a call. Only on_sent may come before this returns. The head is
 * copied, the body is referenced. */
struct hc_request *hc_request_start(struct hc_peer *peer,
				    const struct hc_request_spec *spec);
/* Breaks a call off; none of its callbacks is called any more. */
void hc_request_cancel(struct hc_request *call);

#endif
