/* Calls of rwctl to rw-admind. */
#include "ctl.h"

#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 30000

static void on_data(void *ctx, const char *ptr, size_t len)
{
	struct ctl_response *answer = ctx;

	g_string_append_len(answer->body, ptr, (gssize)len);
}

static void on_done(void *ctx, enum http_result result, int status)
{
	struct ctl_response *answer = ctx;

	answer->result = result;
	answer->status = status;
	uv_stop(answer->loop);
}

void ctl_call(const struct ctl *ctl, const char *method, const char *path,
	      const char *body, size_t len, struct ctl_response *answer)
{
	uv_loop_t loop;
	char *headers =
		g_strdup_printf("x-operator: %s\r\n", ctl->operator_name);
	struct http_fetch_spec spec = {
		.address = ctl->admin,
		.method = method,
		.path = path,
		.headers = headers,
		.body = body ? g_bytes_new(body, len) : NULL,
		.timeout = CALL_TIMEOUT_MS,
		.on_data = on_data,
		.on_done = on_done,
		.ctx = answer,
	};

	*answer = (struct ctl_response){
		.result = HTTP_CONNECT_FAILED,
		.body = g_string_new(NULL),
		.loop = &loop,
	};
	uv_loop_init(&loop);
	http_fetch_start(http_client_create(&loop), &spec);
	uv_run(&loop, UV_RUN_DEFAULT);
	if (answer->result == HTTP_COMPLETE)
		answer->obj =
			json_parse_object(answer->body->str, answer->body->len);
	if (spec.body)
		g_bytes_unref(spec.body);
	g_free(headers);
}

void ctl_response_clear(struct ctl_response *answer)
{
	json_object_put(answer->obj);
	g_string_free(answer->body, TRUE);
}

enum ctl_exit ctl_print_error(const struct ctl_response *answer)
{
	struct json_object *obj = answer->obj;
	const char *kind = obj ? json_text(obj, "error", "") : "";
	const char *text = obj ? json_text(obj, "text", "") : "";
	const char *detail = obj ? json_text(obj, "detail", "") : "";

	if (answer->result != HTTP_COMPLETE) {
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
