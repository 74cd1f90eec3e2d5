/* What callers ask for: where to go, completions, service calls, answers. */
#include "entryd.h"

#include <string.h>
#include <xxhash.h>

#define LOCATE_KEEP_MS 30000 /* how long a caller may use an answer */
#define LOCATE_HOSTS 3	     /* addresses in an answer */
#define CALL_PREFIX "/v1/call/"
#define FUTURE_MAX_MS 60000 /* a home's clock may be ahead by so much */

/* A call taken apart. */
struct ask {
	char id[RID_MAX + 1];
	struct rid rid;
	struct req_attrs attrs;
	char *account;
	char *target;
	char trace[TRACE_PARENT_LEN + 1];
	struct trace_span span;
};

static void ask_clear(struct ask *ask)
{
	g_free(ask->account);
	g_free(ask->target);
	if (ask->attrs.body)
		g_bytes_unref(ask->attrs.body);
}

/* Answers a call that is refused before it is a request. */
static void refuse_input(struct entryd *entryd, struct http_request *call,
			 enum err_kind kind, const char *detail)
{
	entryd_count(entryd, CTR_bad_input);
	answer_error(call, kind, 0, detail);
}

/* Reads the id, or makes one of this host. */
static enum err_kind ask_id(struct entryd *entryd, struct http_request *call,
			    struct ask *ask)
{
	struct http_view header = http_request_header(call, "x-request-id");
	char prefix[RID_MAX];
	clk_ms wall = entryd_wall();

	if (header.len > RID_MAX)
		return RW_EBADID;
	if (header.len > 0) {
		memcpy(ask->id, header.ptr, header.len);
		ask->id[header.len] = '\0';
	} else {
		rid_prefix(prefix, sizeof(prefix), entryd->replica->self, wall);
		g_snprintf(ask->id, sizeof(ask->id), "%s-%08x%08x", prefix,
			   g_rand_int(entryd->rand), g_rand_int(entryd->rand));
	}
	if (!rid_parse(ask->id, strlen(ask->id), &ask->rid) ||
	    ask->rid.time > wall + FUTURE_MAX_MS)
		return RW_EBADID;
	if (wall - ask->rid.time > entryd->conf->retention_ms)
		return RW_EEXPIRED;
	return RW_OK;
}

/* Reads what a service call or a completion names. */
static enum err_kind ask_target(struct http_request *call, struct ask *ask,
				struct json_object *body)
{
	struct http_view path = http_request_path(call);
	const char *model;

	if (ask->attrs.model) {
		model = json_text(body, "model", NULL);
		if (!model || !json_text(body, "prompt", NULL))
			return RW_EBADFIELD;
		ask->target = g_strdup(model);
		ask->attrs.streaming = json_flag(body, "stream", 0);
	} else {
		ask->target = g_strndup(path.ptr + strlen(CALL_PREFIX),
					path.len - strlen(CALL_PREFIX));
		if (!rid_host_ok(ask->target, strlen(ask->target)))
			return RW_ENOROUTE;
	}
	ask->attrs.target = ask->target;
	return RW_OK;
}

/* Reads a call; the attributes point into ask. */
static enum err_kind ask_parse(struct entryd *entryd, struct http_request *call,
			       bool model, struct ask *ask)
{
	struct http_view body = http_request_body(call);
	struct http_view account = http_request_header(call, "x-account");
	struct json_object *obj;
	enum err_kind kind = ask_id(entryd, call, ask);

	if (kind != RW_OK)
		return kind;
	ask->attrs.model = model;
	ask->account = g_strndup(account.ptr, account.len);
	ask->attrs.account = ask->account;
	if (!conf_account_find(entryd, ask->account))
		return RW_ENOACCOUNT;
	obj = json_parse_object(body.ptr, body.len);
	if (!obj)
		return RW_EBADJSON;
	kind = ask_target(call, ask, obj);
	json_object_put(obj);
	ask->attrs.body = g_bytes_new(body.ptr, body.len);
	ask->attrs.body_hash = XXH64(body.ptr, body.len, 0);
	return kind;
}

/* Begins the home's span of a request. */
static void ask_trace(struct entryd *entryd, struct http_request *call,
		      struct ask *ask)
{
	struct http_view parent = http_request_header(call, "traceparent");

	trace_begin(entryd->tracer, &ask->span, parent.ptr, parent.len);
	trace_parent_format(&ask->span, ask->trace);
	ask->attrs.trace = ask->trace;
}

/* Lets a caller wait for a request that is known here. */
static void attach_known(struct entryd *entryd, struct http_request *call,
			 struct req *req, size_t next, bool streaming)
{
	if (req->phase == REQ_MOVED && !req->answer.ended) {
		forward_remainder(entryd, call, req->id, req->acting, next,
				  streaming, false);
		return;
	}
	caller_attach(entryd, call, job_get(entryd, req), next, streaming);
}

/* Refuses a request that no other host has seen, for good. */
static void reject(struct entryd *entryd, struct http_request *call,
		   struct ask *ask, struct job *job, enum err_kind kind)
{
	job->req = replica_reject(entryd->replica, ask->id, &ask->rid,
				  &ask->attrs, kind, job, entryd_now(entryd));
	caller_attach(entryd, call, job, 0, ask->attrs.streaming);
}

/* Tells whether a request may be taken on, by limits and load. */
static enum err_kind admit(struct entryd *entryd, struct job *job,
			   const struct ask *ask)
{
	struct account *account = conf_account_find(entryd, ask->account);
	struct admit_pool pool = pool_state(entryd, job->pool);
	clk_ms now = entryd_now(entryd);

	if (entryd->stopping)
		return RW_ESTOPPING;
	if (router_slots(entryd->router, job->pool->name) == 0)
		return RW_ENOUPSTREAM;
	job->ticket.deadline = now + job->deadline_ms;
	if (!admit_check(job->pool->queue, &job->ticket, &pool, now,
			 &job->retry_after)) {
		entryd_count(entryd, CTR_refused_busy);
		return RW_EBUSY;
	}
	if (!limit_take(&account->limit, job->ticket.tokens, now,
			&job->retry_after)) {
		entryd_count(entryd, CTR_refused_limit);
		return RW_ELIMIT;
	}
	return RW_OK;
}

/* Begins a request that nobody here knows yet. */
static void begin(struct entryd *entryd, struct http_request *call,
		  struct ask *ask)
{
	bool own = !strcmp(ask->rid.primary, entryd->replica->self);
	enum err_kind kind = RW_OK;
	clk_ms now = entryd_now(entryd);
	struct req *req;
	struct upstream *upstream = NULL;
	struct job *job;

	ask_trace(entryd, call, ask);
	job = job_create(entryd, &ask->attrs, &kind);
	if (!job) {
		refuse_input(entryd, call, kind, ask->target);
		return;
	}
	job->span = ask->span;
	trace_begin(entryd->tracer, &job->hold_span, ask->trace,
		    strlen(ask->trace));
	if (own)
		kind = admit(entryd, job, ask);
	if (kind != RW_OK) {
		reject(entryd, call, ask, job, kind);
		return;
	}
	if (job->pool->queue->tickets.length == 0 &&
	    pool_state(entryd, job->pool).capacity > 0)
		upstream = job_choose_upstream(job);
	req = replica_submit(entryd->replica, ask->id, &ask->rid, &ask->attrs,
			     now + job->deadline_ms,
			     upstream ? upstream->name : NULL, job, &kind, now);
	if (!req) {
		job_free(job);
		answer_error(call, kind, 0, "");
		return;
	}
	caller_attach(entryd, call, job_get(entryd, req), 0,
		      ask->attrs.streaming);
}

/* Joins a request that is known, unless it is another one. */
static void join(struct entryd *entryd, struct http_request *call,
		 const struct ask *ask, struct req *req)
{
	if (req->attrs.body_hash != ask->attrs.body_hash) {
		refuse_input(entryd, call, RW_EIDREUSED, "");
		return;
	}
	entryd_count(entryd, CTR_reconnects);
	attach_known(entryd, call, req, 0, ask->attrs.streaming);
}

/* Tells whether a call is for this host to answer, and if not, for whom. */
static bool is_here(struct entryd *entryd, const struct ask *ask)
{
	if (replica_find(entryd->replica, ask->id))
		return true;
	return replica_authority(entryd->replica, ask->rid.primary) ==
	       REPLICA_LOCAL;
}

/* Sets the route's idempotence, which the settings declare. */
static void ask_idempotent(struct entryd *entryd, struct ask *ask)
{
	struct account *account = conf_account_find(entryd, ask->account);
	const struct conf_route *route =
		conf_find(entryd, CONF_ROUTE, account->team, ask->target);

	ask->attrs.idempotent =
		ask->attrs.model || (route && route->idempotent);
}

/* Serves a POST: here, or at the host that its id names. */
static void serve(struct entryd *entryd, struct http_request *call, bool model,
		  bool here)
{
	struct ask ask = { .account = NULL };
	enum err_kind kind = ask_parse(entryd, call, model, &ask);
	struct req *req;

	if (kind != RW_OK) {
		refuse_input(entryd, call, kind, ask.target ? ask.target : "");
		ask_clear(&ask);
		return;
	}
	ask_idempotent(entryd, &ask);
	req = replica_find(entryd->replica, ask.id);
	if (req)
		join(entryd, call, &ask, req);
	else if (here || is_here(entryd, &ask))
		begin(entryd, call, &ask);
	else
		forward_call(entryd, call, ask.rid.primary);
	ask_clear(&ask);
}

void call_completion(struct entryd *entryd, struct http_request *call)
{
	entryd_count(entryd, CTR_requests);
	serve(entryd, call, true, false);
}

void call_service(struct entryd *entryd, struct http_request *call)
{
	entryd_count(entryd, CTR_requests);
	serve(entryd, call, false, false);
}

/* Reads where a caller wants an answer to go on: the piece after the last
 * that it has. */
static size_t next_piece(struct http_request *call)
{
	struct http_view last = http_request_header(call, "last-event-id");
	char *text = g_strndup(last.ptr, last.len);
	size_t next = 0;

	if (last.len > 0)
		next = (size_t)g_ascii_strtoull(text, NULL, 10) + 1;
	g_free(text);
	return next;
}

/* Tells whether a caller takes events. */
static bool wants_events(struct http_request *call)
{
	struct http_view accept = http_request_header(call, "accept");

	return g_strstr_len(accept.ptr, (gssize)accept.len, EVENT_TYPE) != NULL;
}

/* Serves GET /v1/requests/ID. */
static void serve_request(struct entryd *entryd, struct http_request *call,
			  bool here)
{
	struct http_view path = http_request_path(call);
	size_t skip = strlen(REQUEST_PREFIX);
	char *id = g_strndup(path.ptr + skip, path.len - skip);
	struct req *req = replica_find(entryd->replica, id);
	struct rid rid;

	if (req)
		attach_known(entryd, call, req, next_piece(call),
			     wants_events(call));
	else if (!rid_parse(id, strlen(id), &rid))
		refuse_input(entryd, call, RW_EBADID, "");
	else if (here || replica_authority(entryd->replica, rid.primary) ==
				 REPLICA_LOCAL)
		answer_error(call, RW_EUNSEEN, 0, "");
	else
		forward_call(entryd, call, rid.primary);
	g_free(id);
}

void call_request(struct entryd *entryd, struct http_request *call)
{
	entryd_count(entryd, CTR_reconnects);
	serve_request(entryd, call, false);
}

void call_serve_local(struct entryd *entryd, struct http_request *call)
{
	struct http_view path = http_request_path(call);

	if (!strncmp(path.ptr, REQUEST_PREFIX, strlen(REQUEST_PREFIX)))
		serve_request(entryd, call, true);
	else
		serve(entryd, call,
		      strncmp(path.ptr, CALL_PREFIX, strlen(CALL_PREFIX)) != 0,
		      true);
}

/* Adds some other live hosts, from a random place of the list on. */
static void locate_others(struct entryd *entryd, struct json_object *list)
{
	size_t used = json_object_array_length(list);
	GPtrArray *order = entryd->members->order;
	guint start = entryd_random(entryd, order->len);

	for (guint i = 0; i < order->len && used < LOCATE_HOSTS; i++) {
		const struct member *member =
			g_ptr_array_index(order, (start + i) % order->len);

		if (member->info.state != MEMBER_ALIVE)
			continue;
		json_object_array_add(
			list, json_object_new_string(member->info.http));
		used++;
	}
}

/* Tells whether this host can be a home now. */
static bool can_be_home(const struct entryd *entryd)
{
	return !entryd->stopping && entryd->replica->state != REPLICA_CLOSED &&
	       entryd->replica->state != REPLICA_OPENING &&
	       entryd->replica->state < REPLICA_RESIGNING &&
	       !entryd->members->maybe_dead;
}

void call_locate(struct entryd *entryd, struct http_request *call)
{
	struct json_object *obj;
	struct json_object *list;
	const struct member *guardian;
	char home[RID_MAX];

	if (!can_be_home(entryd)) {
		forward_call(entryd, call, "");
		return;
	}
	obj = json_object_new_object();
	list = json_object_new_array();
	rid_prefix(home, sizeof(home), entryd->replica->self, entryd_wall());
	json_object_array_add(list,
			      json_object_new_string(entryd->http_address));
	guardian = member_find(entryd->members, entryd->replica->record.peer);
	if (guardian)
		json_object_array_add(
			list, json_object_new_string(guardian->info.http));
	locate_others(entryd, list);
	json_add_text(obj, "home", home);
	json_object_object_add(obj, "addresses", list);
	json_add_int(obj, "keep_ms", LOCATE_KEEP_MS);
	json_reply(call, 200, obj);
}
