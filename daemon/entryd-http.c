/* The paths of rw-entryd. */
#include "entryd.h"

#include <string.h>

/* One path: method, path, whether it is a prefix, and who serves it. */
struct path {
	const char *method;
	const char *path;
	bool prefix;
	bool needs_ready; /* settings must be known */
	void (*fn)(struct entryd *entryd, struct http_request *call);
};

static const struct path paths[] = {
	{ "GET", "/v1/locate", false, true, call_locate },
	{ "POST", "/v1/completions", false, true, call_completion },
	{ "POST", "/v1/call/", true, true, call_service },
	{ "GET", REQUEST_PREFIX, true, true, call_request },
	{ "GET", "/v1/health", false, false, operate_health },
	{ "GET", "/v1/counters", false, false, operate_counters },
	{ "GET", "/v1/hosts", false, false, operate_hosts },
	{ "GET", "/v1/upstreams", false, false, operate_upstreams },
	{ "GET", "/v1/settings", false, false, operate_settings },
	{ "POST", "/v1/drain", false, false, operate_drain },
};

static bool path_matches(const struct path *path, struct http_view have)
{
	size_t len = strlen(path->path);

	if (path->prefix ? have.len <= len : have.len != len)
		return false;
	return !memcmp(have.ptr, path->path, len);
}

static bool method_matches(const struct path *path, struct http_view have)
{
	return have.len == strlen(path->method) &&
	       !memcmp(have.ptr, path->method, have.len);
}

void http_on_request(void *ctx, struct http_request *call)
{
	struct entryd *entryd = ctx;
	struct http_view have = http_request_path(call);
	enum err_kind kind = RW_ENOROUTE;

	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		const struct path *path = &paths[i];

		if (!path_matches(path, have))
			continue;
		kind = RW_EMETHOD;
		if (!method_matches(path, http_request_method(call)))
			continue;
		if (path->needs_ready && !entryd->ready)
			answer_error(call, RW_ENOHOME, 0, "starting");
		else
			path->fn(entryd, call);
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
