/* Dispatches HTTP requests to their handlers by method and path. */
#include "entryd.h"

#include <string.h>

struct handler {
	const char *method;
	const char *path;
	bool prefix;	  /* any longer path matches too */
	bool needs_ready; /* settings and hosts must be known */
	void (*fn)(struct entryd *entryd, struct http_request *call);
};

static const struct handler handlers[] = {
	{ "GET", "/v1/locate", false, true, call_locate },
	{ "POST", "/v1/completions", false, true, call_completion },
	{ "POST", "/v1/call/", true, true, call_service },
	{ "GET", REQUEST_PREFIX, true, true, call_request },
	{ "GET", "/v1/health", false, false, operator_get_health },
	{ "GET", "/v1/counters", false, false, operator_get_counters },
	{ "GET", "/v1/hosts", false, false, operator_list_hosts },
	{ "GET", "/v1/upstreams", false, false, operator_list_upstreams },
	{ "GET", "/v1/settings", false, false, operator_list_settings },
	{ "POST", "/v1/drain", false, false, operator_drain_upstream },
};

static bool path_matches(const struct handler *handler, struct http_view actual)
{
	size_t len = strlen(handler->path);

	if (handler->prefix ? actual.len <= len : actual.len != len)
		return false;
	return !memcmp(actual.ptr, handler->path, len);
}

static bool method_matches(const struct handler *handler,
			   struct http_view actual)
{
	return actual.len == strlen(handler->method) &&
	       !memcmp(actual.ptr, handler->method, actual.len);
}

void http_on_request(void *ctx, struct http_request *call)
{
	struct entryd *entryd = ctx;
	struct http_view actual = http_request_path(call);
	enum err_kind kind = RW_ENOROUTE;

	for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
		const struct handler *handler = &handlers[i];

		if (!path_matches(handler, actual))
			continue;
		kind = RW_EMETHOD;
		if (!method_matches(handler, http_request_method(call)))
			continue;
		if (handler->needs_ready && !entryd->ready)
			answer_error(call, RW_ENOHOME, 0, "starting");
		else
			handler->fn(entryd, call);
		return;
	}
	entryd_count(entryd, CTR_bad_input);
	answer_error(call, kind, 0, "");
}

void http_on_rejected(void *ctx, int status)
{
	(void)status;
	entryd_count(ctx, CTR_bad_input);
}
