/* Checks on a caller's request: route, account, id, deadline and limit. */
#include "proxyd-xfer.h"

#include <string.h>

#include "../decide/startup.h"
#include "startq.h"

#define START_QUEUE_MAX 2048	  /* requests that wait for the configuration */
#define DEADLINE_DEFAULT_MS 15000 /* of a request without one */
#define ENGINE_PRIORITIES 10	  /* 0 to 9 */
#define ROUTE_PRIORITIES 3	  /* within one account priority */
#define PRIORITY_DEFAULT 1	  /* of an account without one */

/* Whether an error says that another host may accept the request. */
static bool is_rejection(enum err_kind kind)
{
	return kind == RW_ENOLINK || kind == RW_ENOTREADY ||
	       kind == RW_ESTOPPING;
}

void front_reply_end(struct proxyd *proxyd, struct hs_request *call,
		     enum err_kind kind, clk_ms retry_after, const char *why,
		     const char *detail)
{
	const struct err_answer *answer = err_answer(kind);
	const struct http_view id =
		h1_header_value(hs_request_head(call), HEAD_ATTEMPT_ID);
	bool rejects = is_rejection(kind) &&
		       hs_request_server(call) == proxyd->forwarded;
	GString *headers = head_reply_build(retry_after, rejects);
	char body[256];
	int len = g_snprintf(body, sizeof(body),
			     "{\"code\":\"%s\",\"ran\":\"%s\",\"text\":\"%s\"}",
			     answer->name, err_ran_name(answer->ran),
			     answer->text);

	if (rejects)
		proxyd_count(proxyd, CTR_forwards_rejected);
	slog(SLOG_INFO, "answer",
	     "id=%.*s status=%d code=%s ran=%s retry_after_ms=%" G_GINT64_FORMAT
	     " config=%" G_GINT64_FORMAT " after_ms=%" G_GINT64_FORMAT
	     "%s why=%s",
	     SLOG_VIEW(id), answer->status, answer->name,
	     err_ran_name(answer->ran), retry_after, proxyd->tab_revision,
	     proxyd_now(proxyd) - hs_request_received_at(call), detail, why);
	hs_response_send(call, answer->status, headers->str, body, (size_t)len);
	g_string_free(headers, TRUE);
}

void front_reply_error(struct proxyd *proxyd, struct hs_request *call,
		       enum err_kind kind, clk_ms retry_after, const char *why)
{
	front_reply_end(proxyd, call, kind, retry_after, why, "");
}

void front_on_rejected(void *ctx, int status)
{
	struct proxyd *proxyd = ctx;
	bool full = status == 503 || status == 0;

	if (full)
		proxyd_count(proxyd, status ? CTR_refused_connections
					    : CTR_closed_unserved);
	else
		proxyd_count(proxyd, CTR_bad_input);
	slog(SLOG_INFO, "answer", "id= status=%d why=%s", status,
	     full ? "too_many_connections" : "not_a_whole_request");
}

void front_on_unread(void *ctx, size_t len)
{
	struct proxyd *proxyd = ctx;

	proxyd_count(proxyd, CTR_closed_unread);
	slog(SLOG_WARN, "connection",
	     "unread_bytes=%zu config=%" G_GINT64_FORMAT
	     " config_age_ms=%" G_GINT64_FORMAT " outcome=closed",
	     len, proxyd->tab_revision,
	     proxyd_now(proxyd) - proxyd->tab_applied_at);
}

/* How many id headers a request has. */
static unsigned id_count(const struct h1_head *head)
{
	unsigned count = 0;

	for (size_t i = 0; i < head->header_count; i++)
		count += h1_view_equals(head->headers[i].name, HEAD_ATTEMPT_ID);
	return count;
}

/* Finds the route by host and path; NULL if none matches. */
static const struct tab_route *route_find(const struct tab *tab,
					  const struct hs_request *call)
{
	struct http_view host = h1_header_value(hs_request_head(call), "host");
	struct http_view path = hs_request_path(call);
	const char *colon = memchr(host.ptr, ':', host.len);
	size_t len = colon ? (size_t)(colon - host.ptr) : host.len;

	return tab_find(tab, host.ptr, len, path.ptr, path.len);
}

/* Units that a request takes from its account's limit. */
static double request_units(const struct tab_account *account,
			    const struct head_request *request)
{
	if (!account->counts_tokens)
		return 1;
	if (!request->has_token_counts)
		return account->default_tokens;
	return request->prompt_tokens + request->output_tokens_max;
}

/* The priority in an engine's queue: by account, then by route. */
static int engine_priority(const struct tab_route *route,
			   const struct tab_account *account)
{
	int first = account && account->priority >= 0 ? account->priority
						      : PRIORITY_DEFAULT;
	int second = CLAMP(route->priority, 0, ROUTE_PRIORITIES - 1);

	return MIN(first * ROUTE_PRIORITIES + second, ENGINE_PRIORITIES - 1);
}

/* Fills the parameters for choosing a worker. */
static void fleet_request_fill(struct xfer *xfer)
{
	const struct head_request *request = &xfer->request;

	xfer->fleet_request = (struct fleet_request){
		.pool = xfer->pool->name,
		.engine = xfer->pool->engine,
		.data_centre = xfer->proxyd->conf->data_centre,
		.prompt_tokens = request->prompt_tokens,
		.part_count = request->part_count,
	};
	memcpy(xfer->fleet_request.parts, request->parts,
	       sizeof(request->parts));
}

/* The deadline of a request: the earlier of its caller's and its route's. */
static clk_ms request_deadline(const struct hs_request *call,
			       const struct head_request *request,
			       const struct tab_route *route)
{
	clk_ms remaining = request->time_left >= 0 ? request->time_left
						   : DEADLINE_DEFAULT_MS;

	return hs_request_received_at(call) + MIN(remaining, route->timeout);
}

/* Creates the state of a request that passed all checks. */
static struct xfer *xfer_create(struct proxyd *proxyd, struct hs_request *call,
				const struct tab_route *route,
				const struct tab_account *account,
				const struct head_request *request)
{
	struct xfer *xfer = g_new0(struct xfer, 1);

	xfer->proxyd = proxyd;
	xfer->call = call;
	xfer->tab = tab_ref(proxyd->tab);
	xfer->route = route;
	xfer->account = account;
	xfer->pool = tab_pick(route, g_rand_int(proxyd->rand));
	xfer->request = *request;
	xfer->id = g_strndup(request->id.ptr, request->id.len);
	xfer->px = (struct px){
		.kind = route->kind,
		.max_attempts = route->max_attempts,
	};
	sse_init(&xfer->sse, request->last_event_id);
	xfer->priority = engine_priority(route, account);
	xfer->received_at = hs_request_received_at(call);
	xfer->deadline = request_deadline(call, request, route);
	fleet_request_fill(xfer);
	return xfer;
}

/* Finds the account of a request's API key; returns false if the key is
 * unknown and the request was replied to. */
static bool account_check(struct proxyd *proxyd, struct hs_request *call,
			  const struct tab_route *route,
			  const struct head_request *request,
			  const struct tab_account **account)
{
	*account = NULL;
	if (route->is_public || !proxyd->tab->has_accounts)
		return true;
	*account = request->api_key.len > 0
			   ? tab_account_of(proxyd->tab, request->api_key.ptr,
					    request->api_key.len)
			   : NULL;
	if (*account)
		return true;
	proxyd_count(proxyd, CTR_refused_key);
	front_reply_error(proxyd, call, RW_EKEY, 0, "unknown_key");
	return false;
}

/* Whether a request takes up a stream that has begun. */
static bool takes_up_stream(const struct tab_route *route,
			    const struct head_request *request)
{
	return route->kind == PX_RESUMABLE && request->last_event_id >= 0;
}

/* Takes a request's units from its account's limit; returns false if it is
 * refused and was replied to. */
static bool quota_spend(struct proxyd *proxyd, struct hs_request *call,
			const struct tab_account *account,
			const struct quota_request *request,
			struct quota **quota)
{
	struct quota_refusal refusal;

	*quota = account ? g_hash_table_lookup(proxyd->quotas, account->name)
			 : NULL;
	if (!*quota ||
	    quota_take(*quota, request, proxyd_now(proxyd), &refusal))
		return true;
	proxyd_count(proxyd, CTR_refused_limit);
	if (refusal.why != QUOTA_ALL_HOSTS)
		proxyd_count(proxyd, refusal.why == QUOTA_RANK
					     ? CTR_refused_limit_rank
					     : CTR_refused_limit_own);
	slog(SLOG_INFO, "limit",
	     "id=%.*s account=%s units=%.0f rank=%d rate=%.0f left_all=%.0f "
	     "left_own=%.0f hosts=%u heard_ms=%" G_GINT64_FORMAT
	     " coverage=%.2f resumes=%d decided_by=%s",
	     SLOG_VIEW(h1_header_value(hs_request_head(call), HEAD_ATTEMPT_ID)),
	     account->name, request->units, request->rank, (*quota)->rate,
	     (*quota)->global_units, (*quota)->local_units, request->hosts,
	     proxyd_now(proxyd) - (*quota)->last_report_at, (*quota)->coverage,
	     request->takes_up, quota_why_name(refusal.why));
	front_reply_error(proxyd, call, RW_ELIMIT, refusal.retry_after,
			  "over_limit");
	return false;
}

/* Returns the rank of a route's requests at the limit of an account. */
static int limit_rank(const struct tab_route *route)
{
	for (guint i = 0; i < route->targets->len; i++)
		if (g_array_index(route->targets, struct tab_target, i)
			    .pool->engine)
			return MAX(route->priority, 0);
	return QUOTA_PLAIN;
}

/* Returns what an account's limit has to admit. */
static struct quota_request limit_request(struct proxyd *proxyd,
					  const struct tab_route *route,
					  const struct head_request *request,
					  double units, clk_ms deadline)
{
	return (struct quota_request){
		.units = units,
		.rank = limit_rank(route),
		.takes_up = takes_up_stream(route, request),
		.hosts = proxyd_host_count(proxyd),
		.chance = proxyd_chance(proxyd),
		.time_left = deadline - proxyd_now(proxyd),
	};
}

/* Applies what the host says that has forwarded a request. */
static void forwarded_apply(struct xfer *xfer,
			    const struct head_forwarded *forwarded)
{
	xfer->forwarded = true;
	xfer->forwarder = g_strdup(forwarded->host);
	xfer->px.max_attempts = MIN(xfer->px.max_attempts, forwarded->attempts);
	xfer->fleet_request.version = forwarded->version;
	xfer->resumes = forwarded->version != 0;
	xfer->usage_counted = forwarded->counted;
	for (unsigned i = 0; i < forwarded->failed_count; i++)
		fleet_request_failed(&xfer->fleet_request,
				     forwarded->failed[i]);
}

/* Checks a request by the configuration and starts it, or replies to it. */
static void front_serve(struct proxyd *proxyd, struct hs_request *call,
			const struct head_forwarded *forwarded)
{
	const struct tab_account *account;
	const struct tab_route *route;
	struct head_request request;
	struct quota_request limited;
	struct quota *quota;
	struct xfer *xfer;
	uint64_t identity;
	double units;
	clk_ms deadline;

	head_request_parse(hs_request_head(call), &request);
	route = route_find(proxyd->tab, call);
	if (!route) {
		proxyd_count(proxyd, CTR_refused_route);
		front_reply_error(proxyd, call, RW_ENOROUTE, 0, "no_route");
		return;
	}
	if (!account_check(proxyd, call, route, &request, &account))
		return;
	if (id_count(hs_request_head(call)) != 1 || request.id.len == 0) {
		proxyd_count(proxyd, CTR_bad_input);
		front_reply_error(proxyd, call, RW_EBADFIELD, 0,
				  "no_single_id");
		return;
	}
	deadline = request_deadline(call, &request, route);
	if (!proxyd_accepts(proxyd, deadline)) {
		proxyd_count(proxyd, CTR_refused_not_run);
		front_reply_error(proxyd, call, RW_ESTOPPING,
				  err_answer(RW_ESTOPPING)->retry_after_ms,
				  "stopping");
		return;
	}
	identity = guard_identity(call, account);
	if (!guard_admits(proxyd, &request, identity)) {
		proxyd_count(proxyd, CTR_refused_poison);
		front_reply_error(proxyd, call, RW_EPOISON,
				  err_answer(RW_EPOISON)->retry_after_ms,
				  "crashes_workers");
		return;
	}
	units = account ? request_units(account, &request) : 0;
	limited = limit_request(proxyd, route, &request, units, deadline);
	/* The units of a request that has run are those of the host that has
	 * its caller. */
	if (forwarded && forwarded->counted)
		quota = NULL;
	else if (!quota_spend(proxyd, call, account, &limited, &quota))
		return;
	xfer = xfer_create(proxyd, call, route, account, &request);
	xfer->identity = identity;
	xfer->quota = quota;
	xfer->units = units;
	if (forwarded)
		forwarded_apply(xfer, forwarded);
	xfer_start(xfer);
}

/* Keeps a request until the host knows its configuration, if that is expected
 * soon; returns false if not. */
static bool await_configuration(struct proxyd *proxyd, struct hs_request *call)
{
	struct head_request request;
	clk_ms wait;

	head_request_parse(hs_request_head(call), &request);
	/* What other hosts and the store know of its version arrives later than
	 * the configuration. */
	if (request.last_event_id >= 0)
		return false;
	wait = startup_wait(proxyd_now(proxyd) - proxyd->started_at,
			    request.time_left, proxyd->conf->start_wait_ms);
	if (wait <= 0 || !startq_add(proxyd->starting, call, wait))
		return false;
	proxyd_count(proxyd, CTR_awaited_start);
	return true;
}

static bool start_is_ready(void *ctx)
{
	return follow_ready(ctx);
}

static void start_on_ready(void *ctx, struct hs_request *call)
{
	front_serve(ctx, call, NULL);
}

static void start_on_expired(void *ctx, struct hs_request *call)
{
	front_reply_error(ctx, call, RW_ENOTREADY,
			  err_answer(RW_ENOTREADY)->retry_after_ms,
			  "no_configuration");
}

static void start_on_disconnect(void *ctx)
{
	proxyd_count(ctx, CTR_callers_gone);
}

void front_start(struct proxyd *proxyd)
{
	struct startq_options options = {
		.loop = &proxyd->loop,
		.max = START_QUEUE_MAX,
		.is_ready = start_is_ready,
		.on_ready = start_on_ready,
		.on_expired = start_on_expired,
		.on_disconnect = start_on_disconnect,
		.ctx = proxyd,
	};

	proxyd->starting = startq_create(&options);
}

void front_accept(struct proxyd *proxyd, struct hs_request *call,
		  const struct head_forwarded *forwarded)
{
	proxyd_count(proxyd, CTR_requests);
	if (follow_ready(proxyd)) {
		front_serve(proxyd, call, forwarded);
		return;
	}
	/* The host that has forwarded one asks another at once. */
	if (!forwarded && await_configuration(proxyd, call))
		return;
	front_reply_error(proxyd, call, RW_ENOTREADY,
			  err_answer(RW_ENOTREADY)->retry_after_ms,
			  "no_configuration");
}

void front_on_request(void *ctx, struct hs_request *call)
{
	front_accept(ctx, call, NULL);
}
