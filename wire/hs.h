/*
 * HTTP/1.1 server that keeps reading from a connection while its request is
 * answered, so that a disconnect of the caller is noticed at once.
 *
 * A request is passed to on_request when it is complete. It is answered by
 * hs_response_send, or by hs_response_start, hs_response_write and
 * hs_response_end; hs_response_abort ends it without a complete response.
 * hs_response_send, hs_response_end and hs_response_abort free the request.
 *
 * What a connection holds counts in the process's budget (wire/budget.h). When
 * that is used up, requests that are not complete are refused, clients that
 * don't read their responses are cut off, and idle connections are closed.
 *
 * Timers run before the loop reads what has arrived: no timeout and no stop
 * ends a connection on which bytes wait to be read.
 */
#ifndef WIRE_HS_H
#define WIRE_HS_H

#include "h1.h"

struct hs;
struct hs_request;

/* Limits on what a caller may send. */
struct hs_limits {
	size_t head_max;     /* bytes */
	size_t body_max;     /* bytes */
	clk_ms head_timeout; /* from first byte of a head to its last, in ms */
	/* Between requests, or between bytes of a body. A connection that is
	 * idle keeps the one of when it became so. */
	clk_ms idle_timeout;
	/* Further requests are refused with 503. Some more connections may be
	 * open; if those are too many, one without a request in flight is
	 * closed (decide/hold.h). */
	size_t in_flight_max;
};

struct hs_options {
	const char *address; /* "IP:port" */
	struct hs_limits limits;
	/* A complete request was received. */
	void (*on_request)(void *ctx, struct hs_request *request);
	/* A request was rejected before it was complete; status 0: its
	 * connection was closed at once, as none of those that are open could
	 * be. May be NULL. */
	void (*on_rejected)(void *ctx, int status);
	/* Headers of a refusal beyond in_flight_max, "Name: value\r\n" each;
	 * may be NULL. */
	const char *refusal_headers;
	/* A connection was closed although bytes on it were not read; may be
	 * NULL. */
	void (*on_unread)(void *ctx, size_t len);
	void *ctx;
};

struct hs *hs_create(uv_loop_t *loop, const struct hs_options *options,
		     GError **error);
void hs_set_limits(struct hs *hs, const struct hs_limits *limits);
/* From now on every response closes its connection, unless another request on
 * it has arrived. Idle ones stay open: their next request may be on its way. */
void hs_drain(struct hs *hs);
/* Stops accepting connections, once all that have arrived are accepted: to be
 * called until it returns true. */
bool hs_stop_listening(struct hs *hs);
/* Requests whose response is not complete, also those still being read. */
size_t hs_open_requests(const struct hs *hs);
size_t hs_connections(const struct hs *hs);
/* Connections that are not idle, or have bytes that were not sent or read yet.
 */
size_t hs_busy_connections(const struct hs *hs);

/* The server that received the request. */
const struct hs *hs_request_server(const struct hs_request *request);
/* Writes the caller's IP address; "" if it is not known. */
void hs_request_peer(const struct hs_request *request, char *buf, size_t size);
const struct h1_head *hs_request_head(const struct hs_request *request);
/* Returns the path without the query. */
struct http_view hs_request_path(const struct hs_request *request);
struct http_view hs_request_body(const struct hs_request *request);
/* Returns a reference to the body, which it does not copy; NULL: it is empty.
 */
GBytes *hs_request_body_ref(const struct hs_request *request);
/* Returns a copy of a query parameter, to be freed with g_free, or NULL. */
char *hs_request_query(const struct hs_request *request, const char *name);
/* Loop time in ms at which the request was complete. */
clk_ms hs_request_received_at(const struct hs_request *request);
/* Sets a function to call, at most once, if the caller disconnects. The request
 * is freed when fn returns. */
void hs_request_on_disconnect(struct hs_request *request, void (*fn)(void *ctx),
			      void *ctx);

/* Sends a complete response. headers holds "Name: value\r\n" lines;
 * Content-Length and Connection are added. */
void hs_response_send(struct hs_request *request, int status,
		      const char *headers, const char *body, size_t len);
/* Starts a chunked response. */
void hs_response_start(struct hs_request *request, int status,
		       const char *headers);
void hs_response_write(struct hs_request *request, const char *ptr, size_t len);
/* Returns the queued bytes that the kernel has not accepted yet. */
size_t hs_response_unsent_bytes(const struct hs_request *request);
/* Counts the bytes of a response that is being received for the request in the
 * process's budget (wire/budget.h). */
void hs_request_hold(struct hs_request *request, size_t bytes);
void hs_response_end(struct hs_request *request);
/* Closes the connection, so that the caller sees an incomplete response. */
void hs_response_abort(struct hs_request *request);

#endif
