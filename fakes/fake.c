/* What the stand-ins share. */
#include "fake.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_BODY (8 << 20) /* bytes */

void fake_reply_error(struct http_request *call, int status, const char *text)
{
	struct json_object *obj = json_object_new_object();

	json_add_text(obj, "error", text);
	json_reply(call, status, obj);
}

void fake_drop_response(struct http_request *call)
{
	http_response_start(call, 200, "application/json");
	http_response_abort(call);
}

struct json_object *fake_parse_body(struct http_request *call)
{
	struct http_view body = http_request_body(call);
	struct json_object *obj = json_parse_object(body.ptr, body.len);

	if (!obj)
		fake_reply_error(call, 400, "the body is not a JSON object");
	return obj;
}

bool fake_matches(const struct http_request *call, const char *method,
		  const char *path)
{
	struct http_view m = http_request_method(call);
	struct http_view p = http_request_path(call);

	return m.len == strlen(method) && !memcmp(m.ptr, method, m.len) &&
	       p.len == strlen(path) && !memcmp(p.ptr, path, p.len);
}

void fake_dispatch(const struct fake_route *paths, void *ctx,
		   struct http_request *call)
{
	for (; paths->path; paths++) {
		if (fake_matches(call, paths->method, paths->path)) {
			paths->fn(ctx, call);
			return;
		}
	}
	fake_reply_error(call, 404, "no such path");
}

char *fake_view_dup(struct http_view view)
{
	return g_strndup(view.ptr, view.len);
}

int64_t fake_query_int(const struct http_request *call, const char *name,
		       int64_t fallback)
{
	char *text = http_request_query(call, name);
	int64_t value = text ? g_ascii_strtoll(text, NULL, 10) : fallback;

	g_free(text);
	return value;
}

/* Ends the stand-in at once: it has nothing to keep. */
static void on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	uv_stop(handle->loop);
}

int fake_serve(uv_loop_t *loop, int port,
	       void (*on_call)(void *ctx, struct http_request *call), void *ctx)
{
	struct http_server_options options = {
		.address = "127.0.0.1",
		.port = port,
		.max_body = MAX_BODY,
		.on_request = on_call,
		.ctx = ctx,
	};
	GError *error = NULL;
	struct http_server *server = http_server_create(loop, &options, &error);
	uv_signal_t term;
	uv_signal_t interrupt;

	if (!server) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	uv_signal_init(loop, &term);
	uv_signal_start(&term, on_signal, SIGTERM);
	uv_signal_init(loop, &interrupt);
	uv_signal_start(&interrupt, on_signal, SIGINT);
	printf("listening %d\n", http_server_port(server));
	fflush(stdout);
	uv_run(loop, UV_RUN_DEFAULT);
	return EXIT_SUCCESS;
}
