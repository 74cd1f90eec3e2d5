/* Shared by the fake servers. */
#include "fake.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_BODY (8 << 20) /* bytes */

void fake_reply_error(struct http_request *request, int status,
		      const char *text)
{
	struct json_object *obj = json_object_new_object();

	json_add_text(obj, "error", text);
	json_reply(request, status, obj);
}

void fake_drop_response(struct http_request *request)
{
	http_response_start(request, 200, "application/json");
	http_response_abort(request);
}

struct json_object *fake_parse_body(struct http_request *request)
{
	struct http_view body = http_request_body(request);
	struct json_object *obj = json_parse_object(body.ptr, body.len);

	if (!obj)
		fake_reply_error(request, 400, "the body is not a JSON object");
	return obj;
}

bool fake_matches(const struct http_request *request, const char *method,
		  const char *path)
{
	struct http_view request_method = http_request_method(request);
	struct http_view request_path = http_request_path(request);

	return request_method.len == strlen(method) &&
	       !memcmp(request_method.ptr, method, request_method.len) &&
	       request_path.len == strlen(path) &&
	       !memcmp(request_path.ptr, path, request_path.len);
}

void fake_dispatch(const struct fake_route *routes, void *ctx,
		   struct http_request *request)
{
	for (; routes->path; routes++) {
		if (fake_matches(request, routes->method, routes->path)) {
			routes->fn(ctx, request);
			return;
		}
	}
	fake_reply_error(request, 404, "no such path");
}

char *fake_view_dup(struct http_view view)
{
	return g_strndup(view.ptr, view.len);
}

int64_t fake_query_int(const struct http_request *request, const char *name,
		       int64_t fallback)
{
	char *text = http_request_query(request, name);
	int64_t value = text ? g_ascii_strtoll(text, NULL, 10) : fallback;

	g_free(text);
	return value;
}

/* Stops the loop at once, as a fake has no state to save. */
static void on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	uv_stop(handle->loop);
}

int fake_serve(uv_loop_t *loop, int port,
	       void (*on_request)(void *ctx, struct http_request *request),
	       void *ctx)
{
	struct http_server_options options = {
		.address = "127.0.0.1",
		.port = port,
		.max_body = MAX_BODY,
		.on_request = on_request,
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
