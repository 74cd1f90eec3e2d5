/*
 * A simple HTTP server and client over h2o, on one libuv loop.
 *
 * All functions and callbacks run on the thread of the loop.
 */
#ifndef WIRE_HTTP_H
#define WIRE_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "../decide/clk.h"

struct http_server;
struct http_request; /* a request received by the server */
struct http_client;
struct http_fetch; /* a request sent by the client */

/* A view of bytes owned by another object, not necessarily NUL-terminated. */
struct http_view {
	const char *ptr;
	size_t len; /* bytes */
};

/* Configuration of a server. */
struct http_server_options {
	const char *address; /* IP number */
	int port;	     /* 0: any free port */
	size_t max_body;     /* bytes */
	void (*on_request)(void *ctx, struct http_request *request);
	/* h2o rejected a request, before on_request; may be NULL. */
	void (*on_rejected)(void *ctx, int status);
	void *ctx;
};

/* Creates a listening server; returns NULL and sets error on failure. */
struct http_server *http_server_create(uv_loop_t *loop,
				       const struct http_server_options *opt,
				       GError **error);

int http_server_port(const struct http_server *server);

/* Stops accepting connections; open ones close after their response. */
void http_server_stop(struct http_server *server);

/* Whether http_server_stop was called. */
bool http_server_stopped(const struct http_server *server);

/* Returns the number of requests whose response is not complete. */
size_t http_server_open_requests(const struct http_server *server);

struct http_view http_request_method(const struct http_request *request);
/* Returns the path without the query. */
struct http_view http_request_path(const struct http_request *request);
struct http_view http_request_body(const struct http_request *request);
/* Returns a header's value, of length 0 if there is none. */
struct http_view http_request_header(const struct http_request *request,
				     const char *name);
/* Returns a copy of a query parameter, to be freed with g_free, or NULL. */
char *http_request_query(const struct http_request *request, const char *name);

/* Sets a function to call once if the caller disconnects before the response is
 * complete. */
void http_request_on_disconnect(struct http_request *request,
				void (*fn)(void *ctx), void *ctx);
/* Adds a header to the response; name and value are copied. */
void http_response_add_header(struct http_request *request, const char *name,
			      const char *value);
/* Sends a complete response. */
void http_response_send(struct http_request *request, int status,
			const char *type, const char *body, size_t len);
/* Makes a streamed response end with its connection, instead of its last chunk;
 * to be called before http_response_start. */
void http_response_omit_framing(struct http_request *request);
/* Starts a streamed response. */
void http_response_start(struct http_request *request, int status,
			 const char *type);
/* Queues bytes of a streamed response. */
void http_response_write(struct http_request *request, const char *ptr,
			 size_t len);
/* Ends a streamed response once all queued bytes are written. */
void http_response_end(struct http_request *request);
/* Aborts a streamed response, so that the caller sees it as truncated. */
void http_response_abort(struct http_request *request);

/*
 * How a fetch ended.
 *
 * HTTP_UNFRAMED does not tell a whole body from one whose sender has died, as
 * the kernel closes the connections of a dead process in order. Such a body is
 * whole only if it has an end of its own.
 */
enum http_result {
	HTTP_COMPLETE,	     /* the whole response, by its length or chunks */
	HTTP_UNFRAMED,	     /* it has neither and ended with its connection */
	HTTP_CONNECT_FAILED, /* no connection; no byte was sent */
	HTTP_TRUNCATED,	     /* connection lost after it was established */
	HTTP_TIMEOUT,	     /* no complete response within the timeout */
};

/* The request to send and the callbacks for its progress. */
struct http_fetch_spec {
	const char *address; /* "IP:port" */
	const char *method;
	const char *path;    /* path and query */
	const char *headers; /* "Name: value\r\n" each, or NULL */
	GBytes *body;	     /* or NULL */
	clk_ms timeout;	     /* for the whole fetch; 0: none */
	clk_ms idle_timeout; /* between two chunks of the response; 0: none */
	void (*on_head)(void *ctx, int status); /* may be NULL */
	void (*on_data)(void *ctx, const char *ptr, size_t len);
	/* Called exactly once, unless the fetch is cancelled. */
	void (*on_done)(void *ctx, enum http_result result, int status);
	void *ctx;
};

struct http_client *http_client_create(uv_loop_t *loop);
/* Starts a fetch; no callback runs before this returns. */
struct http_fetch *http_fetch_start(struct http_client *client,
				    const struct http_fetch_spec *spec);
/* Whether the response is a stream of server-sent events; valid from on_head
 * on. */
bool http_fetch_is_event_stream(const struct http_fetch *fetch);
/* Whether the response may be whole: it is, if it has a length or chunks or its
 * body is one JSON object, which has an end of its own. */
bool http_result_may_be_whole(enum http_result result);
/* Whether the response is JSON; valid from on_head until on_done returns. */
bool http_fetch_is_json(const struct http_fetch *fetch);
/* Cancels and frees a fetch; none of its callbacks runs after this. */
void http_fetch_cancel(struct http_fetch *fetch);

#endif
