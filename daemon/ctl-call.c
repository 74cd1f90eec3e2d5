/* rwctl: requests to rw-admind. */
#include "ctl.h"

#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 30000

static void on_data(void *ctx, const char *ptr, size_t len)
{
	struct ctl_response *response = ctx;

	g_string_append_len(response->body, ptr, (gssize)len);
}

static void on_done(void *ctx, enum http_result result, int status)
{
	struct ctl_response *response = ctx;

	response->result = result;
	response->status = status;
	uv_stop(response->loop);
}

void ctl_call(const struct ctl *ctl, const char *method, const char *path,
	      const char *body, size_t len, struct ctl_response *response)
{
	uv_loop_t loop = { .data = NULL };
	char *headers =
		g_strdup_printf("x-operator: %s\r\n", ctl->operator_name);
	struct http_fetch_spec spec = {
		.address = ctl->admin,
		.method = method,
		.path = path,
		.headers = headers,
		.body = body ? g_bytes_new(body, len) : NULL,
		.timeout = REQUEST_TIMEOUT_MS,
		.on_data = on_data,
		.on_done = on_done,
		.ctx = response,
	};

	*response = (struct ctl_response){
		.result = HTTP_CONNECT_FAILED,
		.body = g_string_new(NULL),
		.loop = &loop,
	};
	uv_loop_init(&loop);
	http_fetch_start(http_client_create(&loop), &spec);
	uv_run(&loop, UV_RUN_DEFAULT);
	if (response->result == HTTP_COMPLETE)
		response->obj = json_parse_object(response->body->str,
						  response->body->len);
	if (spec.body)
		g_bytes_unref(spec.body);
	g_free(headers);
}

void ctl_response_clear(struct ctl_response *response)
{
	json_object_put(response->obj);
	g_string_free(response->body, TRUE);
}

enum ctl_exit ctl_print_error(const struct ctl_response *response)
{
	struct json_object *obj = response->obj;
	const char *kind = obj ? json_text(obj, "error", "") : "";
	const char *text = obj ? json_text(obj, "text", "") : "";
	const char *detail = obj ? json_text(obj, "detail", "") : "";

	if (response->result != HTTP_COMPLETE) {
		fprintf(stderr, "rwctl: rw-admind does not answer\n");
		return CTL_NO_RESPONSE;
	}
	fprintf(stderr, "rwctl: %s: %s%s%s\n", kind, text,
		detail[0] ? ": " : "", detail);
	if (!strcmp(kind, "RW_ECONFLICT")) {
		fprintf(stderr,
			"stored now, revision %" PRId64 ", by %s:\n%s\n",
			json_int(obj, "revision", 0),
			json_text(obj, "by", "nobody"),
			json_text(obj, "value", "(deleted)"));
		return CTL_CONFLICT;
	}
	return strcmp(kind, "RW_EPLATFORM") != 0 ? CTL_REFUSED : CTL_UNKNOWN;
}
