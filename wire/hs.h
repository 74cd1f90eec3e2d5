/*
 * HTTP/1.1 server that goes on reading while a request is answered, so that
 * a caller's close is noticed at once.
 *
 * A request is handed over when it is whole. It is answered by
 * hs_response_send, or by hs_response_start, hs_response_write and
 * hs_response_end, or broken off by hs_response_abort; each of
 * hs_response_send, hs_response_end and hs_response_abort ends the request's
 * life.
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
	clk_ms head_timeout; /* from a head's first byte to its last, in ms */
	clk_ms idle_timeout; /* without a request, or between bytes of one */
	size_t connections_max; /* most open ones */
};

struct hs_options {
	const char *address; /* "IP:port" */
	struct hs_limits limits;
	/* A whole request has come. */
	void (*on_request)(void *ctx, struct hs_request *call);
	/* A request was refused before it was whole; may be NULL. */
	void (*on_rejected)(void *ctx, int status);
	void *ctx;
};

struct hs *hs_create(uv_loop_t *loop, const struct hs_options *options,
		     GError **error);
void hs_set_limits(struct hs *hs, const struct hs_limits *limits);
/* From now on every answer ends its connection; idle ones are closed. */
void hs_drain(struct hs *hs);
/* Connections are no longer accepted. */
void hs_stop_listening(struct hs *hs);
/* Requests that are not answered to the end. */
size_t hs_open_requests(const struct hs *hs);
size_t hs_connections(const struct hs *hs);
/* Connections on which something is still to be read or written. */
size_t hs_busy_connections(const struct hs *hs);

const struct h1_head *hs_request_head(const struct hs_request *call);
/* The path without the query. */
struct http_view hs_request_path(const struct hs_request *call);
struct http_view hs_request_body(const struct hs_request *call);
/* Returns a copy of a query parameter, or NULL; g_free it. */
char *hs_request_query(const struct hs_request *call, const char *name);
/* Loop time at which the request was whole, in ms. */
clk_ms hs_request_received_at(const struct hs_request *call);
/* Sets what is called, at most once, if the caller goes away. The call is
 * gone when fn returns. */
void hs_request_on_disconnect(struct hs_request *call, void (*fn)(void *ctx),
			      void *ctx);

/* Answers whole; headers are "Name: value\r\n" each. The framing headers and
 * Connection are added. */
void hs_response_send(struct hs_request *call, int status, const char *headers,
		      const char *body, size_t len);
/* Begins an answer of unknown length. */
void hs_response_start(struct hs_request *call, int status,
		       const char *headers);
void hs_response_write(struct hs_request *call, const char *ptr, size_t len);
/* Bytes of the answer that the caller has not taken yet. */
size_t hs_response_unsent_bytes(const struct hs_request *call);
void hs_response_end(struct hs_request *call);
/* Breaks the answer off, so that the caller sees that it is not whole. */
void hs_response_abort(struct hs_request *call);

#endif
