/*
 * Links to the workers: notices when this host has lost those to all workers of
 * a pool (decide/links.h), and relays requests over another host then (hop.h).
 * The other host handles such a request as if its caller had sent it there, and
 * never forwards it again: it takes the units from the account's limit, counts
 * the usage and checks everything anew.
 */
#include "proxyd-xfer.h"

#include <string.h>

/* A tick that comes so late, in ms: the process was paused. */
#define PAUSED_MS 300
#define CONNECT_TIMEOUT_MS 300 /* to another host */
#define PEER_TIMEOUT_MS 2500   /* of another host that acknowledges nothing */
/* Until requests are sent again where workers have no health check. */
#define REGAIN_UNCHECKED_MS 2000

/* Writes the address of a host's listener for forwarded requests, given that
 * for its RPCs. */
static void forward_address(const char *rpc, char address[MEMBER_ADDRESS_MAX])
{
	const char *colon = strrchr(rpc, ':');
	int len = colon ? (int)(colon - rpc) : 0;

	g_snprintf(address, MEMBER_ADDRESS_MAX, "%.*s:%d", len, rpc,
		   colon ? atoi(colon + 1) + FORWARD_PORT : 0);
}

static size_t op_hosts(void *ctx, struct hop_host *hosts, size_t max)
{
	const struct proxyd *proxyd = ctx;
	const GPtrArray *order = proxyd->members->order;
	size_t count = 0;

	for (guint i = 0; i < order->len && count < max; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		if (member->info.state != MEMBER_ALIVE ||
		    !peer_takes_forwarded(member->info.incarnation))
			continue;
		forward_address(member->info.rpc, hosts[count].address);
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

	proxyd->links = links_create();
	proxyd->hop = hop_create(&options);
}

/* Links. */

void forward_on_data(struct proxyd *proxyd, struct fleet_worker *worker)
{
	worker->heard_at = proxyd_now(proxyd);
	if (links_on_data(proxyd->links, worker->entry.pool))
		slog(SLOG_NOTICE, "links", "pool=%s worker=%s outcome=regained",
		     worker->entry.pool, worker->entry.id);
}

void forward_on_failure(struct proxyd *proxyd,
			const struct fleet_worker *worker)
{
	const char *pool = worker->entry.pool;

	if (worker->removed ||
	    !links_on_failure(proxyd->links, pool, worker->key,
			      fleet_count(proxyd->fleet, pool),
			      proxyd_now(proxyd)))
		return;
	proxyd_count(proxyd, CTR_links_lost);
	slog(SLOG_WARN, "links", "pool=%s worker=%s outcome=lost", pool,
	     worker->entry.id);
}

/* How long the worker of an attempt may send nothing. */
static clk_ms silence_max(const struct xfer *xfer)
{
	return links_silence_max(
		xfer->proxyd->links, xfer->pool->name,
		xfer->has_output ? 0 : MAX(xfer->route->latency_target, 1));
}

/* Whether a request waits for a worker that is silent; since: from when that
 * counts. */
static bool is_silent(const struct xfer *xfer, clk_ms since, clk_ms now)
{
	clk_ms heard_at;

	if (!xfer->attempt || !xfer->worker || !xfer->sent_at)
		return false;
	heard_at = MAX(xfer->last_received_at, xfer->worker->heard_at);
	return now - MAX(heard_at, since) >= silence_max(xfer);
}

/* Whether an attempt is given up, as its links are lost, so that another host
 * can have the request. */
static bool is_taken_back(struct xfer *xfer, clk_ms since, clk_ms now)
{
	if (!xfer->attempt || !xfer->worker ||
	    !links_lost(xfer->proxyd->links, xfer->pool->name) ||
	    !forward_is_possible(xfer))
		return false;
	if (!xfer->sent_at)
		return true;
	return px_is_repeatable(xfer->px.kind) && is_silent(xfer, since, now);
}

static void take_back(struct xfer *xfer)
{
	if (xfer->sent_at) {
		attempt_on_stall(xfer);
		return;
	}
	hc_request_cancel(xfer->attempt);
	xfer->attempt = NULL;
	attempt_end(xfer, PX_END_UNSENT, "links_lost");
}

/* Looks for silent workers, and takes requests back from them. */
static void requests_check(struct proxyd *proxyd, clk_ms since, clk_ms now)
{
	GPtrArray *requests = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, proxyd->open_requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct xfer *xfer = key;

		if (is_silent(xfer, since, now))
			forward_on_failure(proxyd, xfer->worker);
		if (links_lost(proxyd->links, xfer->pool->name))
			g_ptr_array_add(requests, key);
	}
	/* Not during the iteration: it may end requests. */
	for (guint i = 0; i < requests->len; i++) {
		struct xfer *xfer = g_ptr_array_index(requests, i);

		if (g_hash_table_contains(proxyd->open_requests, xfer) &&
		    is_taken_back(xfer, since, now))
			take_back(xfer);
	}
	g_ptr_array_free(requests, TRUE);
}

/* Probes a worker of a pool: one that has not failed yet, if there is any. */
static void pool_probe(struct proxyd *proxyd, const char *name,
		       const GPtrArray *workers)
{
	struct fleet_worker *chosen = NULL;
	clk_ms lost_at;
	uint32_t start = proxyd_random(proxyd, workers->len);

	for (guint i = 0; i < workers->len; i++) {
		struct fleet_worker *worker =
			g_ptr_array_index(workers, (start + i) % workers->len);

		if (!fleet_takes_work(worker))
			continue;
		if (!chosen)
			chosen = worker;
		if (links_failed(proxyd->links, name, worker->key))
			continue;
		chosen = worker;
		break;
	}
	if (chosen && probe_link(proxyd, chosen))
		return;
	/* Without a health check, requests find out. */
	lost_at = links_lost_at(proxyd->links, name);
	if (!chosen || (lost_at >= 0 &&
			proxyd_now(proxyd) - lost_at >= REGAIN_UNCHECKED_MS))
		links_on_data(proxyd->links, name);
}

void forward_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	clk_ms last = proxyd->links_checked_at;
	GHashTableIter iter;
	gpointer name;
	gpointer workers;

	proxyd->links_checked_at = now;
	hop_tick(proxyd->hop);
	/* Responses may have arrived in a pause without being read. */
	if (now - last > PAUSED_MS)
		proxyd->paused_at = now;
	requests_check(proxyd, proxyd->paused_at, now);
	g_hash_table_iter_init(&iter, proxyd->fleet->pools);
	while (g_hash_table_iter_next(&iter, &name, &workers))
		if (links_probe_due(proxyd->links, name, now))
			pool_probe(proxyd, name, workers);
}

/* Requests that this host forwards. */

bool forward_is_possible(const struct xfer *xfer)
{
	uint32_t version = xfer->fleet_request.version;

	if (xfer->forwarded)
		return false;
	/* A stream that has begun goes on at its version only. */
	if (xfer->px.response_started &&
	    (version == 0 || version == FLEET_VERSION_UNKNOWN))
		return false;
	return hop_is_possible(xfer->proxyd->hop);
}

static void on_head(void *ctx, const struct h1_head *head)
{
	struct xfer *xfer = ctx;
	struct xfer_response *response = &xfer->response;

	xfer->last_received_at = proxyd_now(xfer->proxyd);
	response->has_head = true;
	response->status = head->status;
	response->headers = head_response_build(head);
	response->body = g_string_sized_new(0);
	if (head_is_signed(head))
		links_on_host(xfer->proxyd->links, xfer->pool->name, true);
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
	struct px_retry_conditions cond = attempt_retry_conditions(xfer);

	xfer_perform(xfer, px_on_end(&xfer->px, PX_END_INCOMPLETE, &cond), why);
}

static void on_data(void *ctx, const char *ptr, size_t len)
{
	struct xfer *xfer = ctx;
	const char *why;

	if (!attempt_receive(xfer, ptr, len, events_pass, &why)) {
		hop_cancel(xfer->hop);
		xfer->hop = NULL;
		hop_cut(xfer, why);
	} else if (attempt_caller_is_slow(xfer))
		xfer_perform(xfer, PX_ABORT, "caller_does_not_read");
}

static void on_end(void *ctx, enum hop_result result)
{
	struct xfer *xfer = ctx;
	const struct xfer_response *response = &xfer->response;

	xfer->hop = NULL;
	switch (result) {
	case HOP_NOT_ACCEPTED:
		xfer->unreached = true;
		links_on_host(xfer->proxyd->links, xfer->pool->name, false);
		xfer_perform(xfer, px_on_give_up(&xfer->px), "no_host");
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
	struct hop_spec spec = {
		.id = xfer->id,
		.is_head = h1_view_equals(head->method, "HEAD"),
		.on_head = on_head,
		.on_data = on_data,
		.on_end = on_end,
		.ctx = xfer,
	};
	GString *text;

	if ((!links_lost(proxyd->links, xfer->pool->name) &&
	     !px_needs_host(&xfer->px)) ||
	    !forward_is_possible(xfer))
		return false;
	g_strlcpy(forwarded.host, proxyd->members->self.incarnation,
		  sizeof(forwarded.host));
	text = head_forward_build(head, &added, &forwarded);
	spec.head = text->str;
	spec.head_len = text->len;
	spec.body = body.len > 0 ? g_bytes_new(body.ptr, body.len) : NULL;
	xfer->hop = hop_start(proxyd->hop, &spec);
	g_string_free(text, TRUE);
	if (spec.body)
		g_bytes_unref(spec.body);
	if (!xfer->hop)
		return false;
	px_on_sent(&xfer->px);
	xfer->last_received_at = proxyd_now(proxyd);
	/* The other host takes the units. */
	if (xfer->quota)
		quota_refund(xfer->quota, xfer->units);
	xfer->quota = NULL;
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

	proxyd_count(proxyd, CTR_forwards_received);
	if (!head_forward_parse(hs_request_head(call), &forwarded)) {
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
	front_accept(proxyd, call, &forwarded);
}
