/*
 * HTTP over h2o on one libuv loop: a small server and a small client.
 *
 * All calls and callbacks happen on the loop's thread.
 */
#ifndef WIRE_HTTP_H
#define WIRE_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "../decide/clk.h"

struct http_server;
struct http_request; /* one request that the server received */
struct http_client;
struct http_fetch; /* one request that the client sends */

/* A length-counted view of bytes that somebody else owns. */
struct http_view {
	const char *ptr;
	size_t len; /* bytes */
};

/* How a server is built. */
struct http_server_options {
	const char *address; /* IP number */
	int port;	     /* 0: any free one */
	size_t max_body;     /* bytes */
	void (*on_request)(void *ctx, struct http_request *call);
	void (*on_rejected)(void *ctx, int status); /* refused before on_call */
	void *ctx;
};

/* Creates a server that listens; NULL with error set if it can't. */
struct http_server *http_server_create(uv_loop_t *loop,
				       const struct http_server_options *opt,
				       GError **error);

/* Returns the port the server listens on. */
int http_server_port(const struct http_server *server);

/* Stops taking connections; open ones end after their answer. */
void http_server_stop(struct http_server *server);

/* Whether http_server_stop was called. */
bool http_server_stopped(const struct http_server *server);

/* Returns how many received requests have not been answered to the end. */
size_t http_server_open_requests(const struct http_server *server);

struct http_view http_request_method(const struct http_request *call);
/* The path without the query. */
struct http_view http_request_path(const struct http_request *call);
struct http_view http_request_body(const struct http_request *call);
/* Returns a header's value; length 0 if it is not there. */
struct http_view http_request_header(const struct http_request *call,
				     const char *name);
/* Returns a copy of a query parameter, or NULL; caller frees with g_free. */
char *http_request_query(const struct http_request *call, const char *name);

/* Sets what is called once if the caller goes away before the end. */
void http_request_on_disconnect(struct http_request *call,
				void (*fn)(void *ctx), void *ctx);
/* Adds a header to the answer; name and value are copied. */
void http_response_add_header(struct http_request *call, const char *name,
			      const char *value);
/* Answers whole. */
void http_response_send(struct http_request *call, int status, const char *type,
			const char *body, size_t len);
/* Begins a streamed answer. */
void http_response_start(struct http_request *call, int status,
			 const char *type);
/* Queues bytes of a streamed answer. */
void http_response_write(struct http_request *call, const char *ptr,
			 size_t len);
/* Ends a streamed answer once all that was queued is written. */
void http_response_end(struct http_request *call);
/* Breaks a streamed answer off, so that the caller sees it is cut. */
void http_response_abort(struct http_request *call);

/* How a fetch ended. */
enum http_result {
	HTTP_COMPLETE,	     /* the whole answer came */
	HTTP_CONNECT_FAILED, /* no connection: not a byte was sent */
	HTTP_TRUNCATED,	     /* the connection broke after it was made */
	HTTP_TIMEOUT,	     /* no whole answer within the time */
};

/* What is to be fetched and who is told. */
struct http_fetch_spec {
	const char *address; /* "IP:port" */
	const char *method;
	const char *path;    /* with query */
	const char *headers; /* "Name: value\r\n" each, or NULL */
	GBytes *body;	     /* or NULL */
	clk_ms timeout;	     /* for the whole fetch; 0: none */
	clk_ms idle_timeout; /* between two pieces of the answer; 0: none */
	void (*on_head)(void *ctx, int status); /* may be NULL */
	void (*on_data)(void *ctx, const char *ptr, size_t len);
	/* Called exactly once unless the fetch is cancelled. */
	void (*on_done)(void *ctx, enum http_result result, int status);
	void *ctx;
};

struct http_client *http_client_create(uv_loop_t *loop);
/* Starts a fetch; no callback comes before this returns. */
struct http_fetch *http_fetch_start(struct http_client *client,
				    const struct http_fetch_spec *spec);
/* Whether the answer is a stream of events; known from on_head on. */
bool http_fetch_is_event_stream(const struct http_fetch *fetch);
/* Breaks a fetch off; none of its callbacks is called any more. */
void http_fetch_cancel(struct http_fetch *fetch);

#endif
