/* Shared by the fake servers: requests, responses and the main loop. */
#ifndef FAKES_FAKE_H
#define FAKES_FAKE_H

#include "../wire/http.h"
#include "../wire/json.h"

/* Responds with {"error": text}. */
void fake_reply_error(struct http_request *request, int status,
		      const char *text);
/* Starts a response and aborts it, to simulate a lost response. */
void fake_drop_response(struct http_request *request);
/* Parses the body; responds with 400 and returns NULL if it is not a JSON
 * object. */
struct json_object *fake_parse_body(struct http_request *request);
/* Whether the request has this method and path. */
bool fake_matches(const struct http_request *request, const char *method,
		  const char *path);
/* A route of a fake server. */
struct fake_route {
	const char *method;
	const char *path;
	void (*fn)(void *ctx, struct http_request *request);
};

/* Serves a request from a table of routes that ends with a NULL path. */
void fake_dispatch(const struct fake_route *routes, void *ctx,
		   struct http_request *request);
/* Returns a copy of a view as a string, to be freed with g_free. */
char *fake_view_dup(struct http_view view);
/* Returns a query parameter as a number, or fallback. */
int64_t fake_query_int(const struct http_request *request, const char *name,
		       int64_t fallback);
/* Serves until SIGTERM or SIGINT; prints "listening PORT" first. */
int fake_serve(uv_loop_t *loop, int port,
	       void (*on_request)(void *ctx, struct http_request *request),
	       void *ctx);

#endif
