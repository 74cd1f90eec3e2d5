/* What the stand-ins share: JSON answers and their main loop. */
#ifndef FAKES_FAKE_H
#define FAKES_FAKE_H

#include "../wire/http.h"
#include "../wire/json.h"

/* Answers {"error": text}. */
void fake_reply_error(struct http_request *call, int status, const char *text);
/* Answers nothing and breaks the connection, as a lost answer. */
void fake_drop_response(struct http_request *call);
/* Parses the body; answers 400 and returns NULL if it is no object. */
struct json_object *fake_parse_body(struct http_request *call);
/* Tells whether the call has this method and path. */
bool fake_matches(const struct http_request *call, const char *method,
		  const char *path);
/* One path of a stand-in. */
struct fake_route {
	const char *method;
	const char *path;
	void (*fn)(void *ctx, struct http_request *call);
};

/* Serves a call by a table that ends with an empty path. */
void fake_dispatch(const struct fake_route *paths, void *ctx,
		   struct http_request *call);
/* Returns a copy of a view as text; the caller frees it. */
char *fake_view_dup(struct http_view view);
/* Returns a query parameter as a number, or fallback. */
int64_t fake_query_int(const struct http_request *call, const char *name,
		       int64_t fallback);
/* Serves until SIGTERM or SIGINT; prints "listening PORT" first. */
int fake_serve(uv_loop_t *loop, int port,
	       void (*on_call)(void *ctx, struct http_request *call),
	       void *ctx);

#endif
