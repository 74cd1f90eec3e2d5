/*
 * Requests over another host (hop.h), while this one does not reach the workers
 * (proxyd-reach.c). The other host handles such a request as if its caller had
 * sent it there, and never forwards it again: it makes all checks again, takes
 * the units from the account's limit unless the request has run, and counts the
 * usage.
 */
#include "proxyd-xfer.h"

#include <string.h>

#define CONNECT_TIMEOUT_MS 300 /* to another host */
#define PEER_TIMEOUT_MS 2500   /* of another host that acknowledges nothing */
/* Writes the address of a host's listener for forwarded requests, given that
 * for its RPCs. */
static void forward_address(const char *rpc, char address[MEMBER_ADDRESS_MAX])
{
	const char *colon = strrchr(rpc, ':');
	int len = colon ? (int)(colon - rpc) : 0;

	g_snprintf(address, MEMBER_ADDRESS_MAX, "%.*s:%d", len, rpc,
		   colon ? atoi(colon + 1) + FORWARD_PORT : 0);
}

static size_t op_hosts(void *ctx, const void *request, struct hop_host *hosts,
		       size_t max)
{
	const struct proxyd *proxyd = ctx;
	const struct xfer *xfer = request;
	clk_ms now = proxyd_now(proxyd);
	const GPtrArray *order = proxyd->members->order;
	size_t count = 0;

	for (guint i = 0; i < order->len && count < max; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		if (member->info.state != MEMBER_ALIVE ||
		    !peer_takes_forwarded(member->info.incarnation))
			continue;
		forward_address(member->info.rpc, hosts[count].address);
		hosts[count].hears =
			xfer &&
			links_host_hears(
				proxyd->links, xfer->pool->name,
				aggregate_key(member->info.incarnation), now);
		hosts[count++].near = !strcmp(member->info.data_centre,
					      proxyd->conf->data_centre);
	}
	return count;
}

static uint32_t op_random(void *ctx)
{
	struct proxyd *proxyd = ctx;

	return g_rand_int(proxyd->rand);
}

void forward_start(struct proxyd *proxyd)
{
	struct hop_options options = {
		.loop = &proxyd->loop,
		.source = proxyd->conf->address,
		.connect_timeout = CONNECT_TIMEOUT_MS,
		.peer_timeout = PEER_TIMEOUT_MS,
		.id_header = HEAD_ATTEMPT_ID,
		.hosts = op_hosts,
		.is_rejection = head_is_rejection,
		.is_failure = head_is_failure,
		.random = op_random,
		.ctx = proxyd,
	};

	proxyd->hop = hop_create(&options);
}

void forward_tick(struct proxyd *proxyd)
{
	hop_tick(proxyd->hop);
}

/* Requests that this host forwards. */

bool forward_is_possible(const struct xfer *xfer)
{
	uint32_t version = xfer->fleet_request.version;

	if (xfer->forwarded || xfer->declined)
		return false;
	/* A stream that has begun goes on at its version only. */
	if (xfer->px.response_started && !origin_is_known(version))
		return false;
	return hop_is_possible(xfer->proxyd->hop);
}

static void on_head(void *ctx, const struct h1_head *head)
{
	struct xfer *xfer = ctx;
	struct xfer_response *response = &xfer->response;

	xfer->last_received_at = proxyd_now(xfer->proxyd);
	/* The other host has taken the units of one that had not run. */
	if (xfer->quota && !xfer->usage_counted) {
		quota_refund(xfer->quota, xfer->units);
		xfer->quota = NULL;
	}
	response->has_head = true;
	response->status = head->status;
	response->headers = head_response_build(head);
	response->body = g_string_sized_new(0);
	if (head_is_signed(head))
		links_on_host(xfer->proxyd->links, xfer->pool->name,
			      LINKS_SOME_HOST, true, proxyd_now(xfer->proxyd));
	response->is_event_stream =
		head->status / 100 == 2 &&
		(xfer->px.kind == PX_STREAM || xfer->px.kind == PX_RESUMABLE);
	if (response->is_event_stream && xfer->fleet_request.version == 0) {
		uint32_t version = head_stream_version(head);

		xfer->fleet_request.version =
			version ? version : FLEET_VERSION_UNKNOWN;
	}
}

static void events_pass(struct xfer *xfer, const GString *events)
{
	struct proxyd *proxyd = xfer->proxyd;

	if (events->len == 0)
		return;
	if (!xfer->px.response_started) {
		hist_add(&proxyd->first_ms,
			 proxyd_now(proxyd) - xfer->received_at);
		hs_response_start(xfer->call, xfer->response.status,
				  xfer->response.headers->str);
		xfer->px.response_started = true;
	}
	hs_response_write(xfer->call, events->str, events->len);
	proxyd_count(proxyd, CTR_events);
}

/* The response is incomplete. */
static void hop_cut(struct xfer *xfer, const char *why)
{
	struct px_retry_conditions cond;

	if (resume_await_process(xfer, why))
		return;
	cond = attempt_retry_conditions(xfer);
	xfer_perform(xfer, px_on_end(&xfer->px, PX_END_INCOMPLETE, &cond), why);
}

void forward_on_settled(struct xfer *xfer)
{
	hop_cut(xfer, xfer->settles);
}

/* No other host has accepted the request: sends it to a worker from this host,
 * if its attempts allow that. */
static void hop_declined(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct px_retry_conditions cond = {
		.has_time = xfer->deadline - proxyd_now(proxyd) > 0,
		.has_budget = true, /* it was spent to forward the request */
	};
	enum px_action action;

	proxyd_count(proxyd, CTR_forwards_declined);
	links_on_host(proxyd->links, xfer->pool->name, LINKS_SOME_HOST, false,
		      proxyd_now(proxyd));
	xfer->declined = true;
	xfer->retry_paid = true;
	resume_update_listed(xfer);
	cond.has_upstream =
		fleet_has_other(proxyd->fleet, &xfer->fleet_request, NULL);
	action = px_on_declined(&xfer->px, &cond);
	if (action == PX_RETRY || action == PX_RESUME) {
		slog(SLOG_INFO, "forward", "id=%s outcome=declined", xfer->id);
		xfer->fleet_request.exclude = NULL;
		xfer_send(xfer);
		return;
	}
	xfer->unreached = true;
	xfer_perform(xfer, action, "no_host");
}

static void on_data(void *ctx, const char *ptr, size_t len)
{
	struct xfer *xfer = ctx;
	const char *why;

	if (!attempt_receive(xfer, ptr, len, events_pass, &why)) {
		hop_cancel(xfer->hop);
		xfer->hop = NULL;
		hop_cut(xfer, why);
	} else {
		attempt_check_room(xfer);
	}
}

static void on_end(void *ctx, enum hop_result result)
{
	struct xfer *xfer = ctx;
	const struct xfer_response *response = &xfer->response;

	xfer->hop = NULL;
	switch (result) {
	case HOP_NOT_ACCEPTED:
		hop_declined(xfer);
		return;
	case HOP_CUT:
		hop_cut(xfer, "host_cut_off");
		return;
	case HOP_COMPLETE:
		break;
	}
	if (response->is_event_stream ? !sse_is_complete(&xfer->sse)
				      : xfer->px.response_started)
		hop_cut(xfer, "host_stopped_stream");
	else
		xfer_perform(xfer, PX_DELIVER, "answered");
}

/* Whether all hosts know the failed workers of a forwarded request: others
 * would pass them on to a worker. */
static bool failed_are_known(const struct proxyd *proxyd)
{
	const GPtrArray *order = proxyd->members->order;

	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		if (member->info.state != MEMBER_DEAD &&
		    !peer_knows_links(member->info.incarnation))
			return false;
	}
	return true;
}

bool forward_request(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	const struct h1_head *head = hs_request_head(xfer->call);
	struct http_view body = hs_request_body(xfer->call);
	struct head_added added = {
		.time_left = MAX(xfer->deadline - proxyd_now(proxyd), 1),
		.last_event_id =
			xfer->px.response_started ? xfer->sse.last_id : -1,
		.body_len = body.len,
		.has_body = body.len > 0 || head->framing != H1_NONE,
	};
	struct head_forwarded forwarded = {
		.attempts = xfer->px.max_attempts - xfer->px.attempts,
		.version = xfer->fleet_request.version,
		.counted = xfer->usage_counted,
	};
	const struct fleet_request *placed = &xfer->fleet_request;
	struct hop_spec spec = {
		.id = xfer->id,
		.is_head = h1_view_equals(head->method, "HEAD"),
		.on_head = on_head,
		.on_data = on_data,
		.on_end = on_end,
		.ctx = xfer,
	};
	GString *text;

	if ((!links_avoided(proxyd->links, xfer->pool->name) &&
	     !px_needs_host(&xfer->px)) ||
	    !forward_is_possible(xfer))
		return false;
	g_strlcpy(forwarded.host, proxyd->members->self.incarnation,
		  sizeof(forwarded.host));
	if (failed_are_known(proxyd)) {
		memcpy(forwarded.failed, placed->failed,
		       sizeof(forwarded.failed));
		forwarded.failed_count = placed->failed_count;
	}
	text = head_forward_build(head, &added, &forwarded);
	spec.head = text->str;
	spec.head_len = text->len;
	spec.body = hs_request_body_ref(xfer->call);
	xfer->hop = hop_start(proxyd->hop, &spec);
	g_string_free(text, TRUE);
	if (spec.body)
		g_bytes_unref(spec.body);
	if (!xfer->hop)
		return false;
	px_on_sent(&xfer->px);
	xfer->retry_paid = false;
	xfer->last_received_at = proxyd_now(proxyd);
	proxyd_count(proxyd, CTR_forwarded);
	slog(SLOG_INFO, "forward",
	     "id=%s route=%s host=%s attempts=%u version=%08x "
	     "left_ms=%" G_GINT64_FORMAT " outcome=sent",
	     xfer->id, xfer->route->name, hop_address(xfer->hop),
	     forwarded.attempts, forwarded.version, added.time_left);
	return true;
}

/* Requests that other hosts forward. */

/* Whether a request comes from the address of a live host. */
static bool is_from_host(const struct proxyd *proxyd,
			 const struct hs_request *call, const char *incarnation)
{
	const struct member *member = member_find(proxyd->members, incarnation);
	char peer[MEMBER_ADDRESS_MAX];
	size_t len;

	hs_request_peer(call, peer, sizeof(peer));
	len = strlen(peer);
	return len > 0 && member && member->info.state != MEMBER_DEAD &&
	       !strncmp(member->info.rpc, peer, len) &&
	       member->info.rpc[len] == ':';
}

void forward_on_request(void *ctx, struct hs_request *call)
{
	struct proxyd *proxyd = ctx;
	struct head_forwarded forwarded;
	bool bad;

	proxyd_count(proxyd, CTR_forwards_received);
	if (!head_forward_parse(hs_request_head(call), &forwarded, &bad)) {
		proxyd_count(proxyd, CTR_bad_input);
		front_reply_error(proxyd, call, RW_EBADFIELD, 0,
				  "not_forwarded");
		return;
	}
	if (!is_from_host(proxyd, call, forwarded.host)) {
		slog(SLOG_WARN, "forward", "host=%s outcome=unknown_host",
		     forwarded.host);
		front_reply_error(proxyd, call, RW_ENOLINK,
				  err_answer(RW_ENOLINK)->retry_after_ms,
				  "unknown_host");
		return;
	}
	if (bad) {
		proxyd_count(proxyd, CTR_bad_input);
		slog(SLOG_WARN, "forward",
		     "host=%s outcome=failed_workers_ignored", forwarded.host);
	}
	front_accept(proxyd, call, &forwarded);
}
