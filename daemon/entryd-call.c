/* HTTP requests of callers: locate, completions, service calls, answers. */
#include "entryd.h"

#include <string.h>
#include <xxhash.h>

#define LOCATE_KEEP_MS 30000 /* how long a caller may use the result */
#define LOCATE_HOSTS 3	     /* maximum addresses in the result */
#define CALL_PREFIX "/v1/call/"
#define FUTURE_MAX_MS 60000 /* a primary's clock may be ahead by this */

/* The parsed input of a POST. */
struct call_input {
	char id[RID_MAX + 1];
	struct rid rid;
	struct req_attrs attrs;
	char *account;
	char *target;
	char trace[TRACE_PARENT_LEN + 1];
	struct trace_span span;
};

static void input_clear(struct call_input *input)
{
	g_free(input->account);
	g_free(input->target);
	if (input->attrs.body)
		g_bytes_unref(input->attrs.body);
}

/* Rejects a call with invalid input, before a request is created for it. */
static void answer_bad_input(struct entryd *entryd, struct http_request *call,
			     enum err_kind kind, const char *detail)
{
	entryd_count(entryd, CTR_bad_input);
	answer_error(call, kind, 0, detail);
}

/* Reads the request id from its header, or makes one whose primary is this
 * host. */
static enum err_kind input_parse_id(struct entryd *entryd,
				    struct http_request *call,
				    struct call_input *input)
{
	struct http_view header = http_request_header(call, "x-request-id");
	char prefix[RID_MAX];
	clk_ms wall = entryd_wall_time();

	if (header.len > RID_MAX)
		return RW_EBADID;
	if (header.len > 0) {
		memcpy(input->id, header.ptr, header.len);
		input->id[header.len] = '\0';
	} else {
		rid_prefix(prefix, sizeof(prefix), entryd->replica->self, wall);
		g_snprintf(input->id, sizeof(input->id), "%s-%08x%08x", prefix,
			   g_rand_int(entryd->rand), g_rand_int(entryd->rand));
	}
	if (!rid_parse(input->id, strlen(input->id), &input->rid) ||
	    input->rid.time > wall + FUTURE_MAX_MS)
		return RW_EBADID;
	if (wall - input->rid.time > entryd->conf->retention_ms)
		return RW_EEXPIRED;
	return RW_OK;
}

/* Reads the model of a completion or the route of a service call. */
static enum err_kind input_parse_target(struct http_request *call,
					struct call_input *input,
					struct json_object *body)
{
	struct http_view path = http_request_path(call);
	const char *model;

	if (input->attrs.model) {
		model = json_text(body, "model", NULL);
		if (!model || !json_text(body, "prompt", NULL))
			return RW_EBADFIELD;
		input->target = g_strdup(model);
		input->attrs.streaming = json_flag(body, "stream", 0);
	} else {
		input->target = g_strndup(path.ptr + strlen(CALL_PREFIX),
					  path.len - strlen(CALL_PREFIX));
		if (!rid_host_ok(input->target, strlen(input->target)))
			return RW_ENOROUTE;
	}
	input->attrs.target = input->target;
	return RW_OK;
}

/* Parses a call; input->attrs points into input. */
static enum err_kind input_parse(struct entryd *entryd,
				 struct http_request *call, bool model,
				 struct call_input *input)
{
	struct http_view body = http_request_body(call);
	struct http_view account = http_request_header(call, "x-account");
	struct json_object *obj;
	enum err_kind kind = input_parse_id(entryd, call, input);

	if (kind != RW_OK)
		return kind;
	input->attrs.model = model;
	input->account = g_strndup(account.ptr, account.len);
	input->attrs.account = input->account;
	if (!conf_find_account(entryd, input->account))
		return RW_ENOACCOUNT;
	obj = json_parse_object(body.ptr, body.len);
	if (!obj)
		return RW_EBADJSON;
	kind = input_parse_target(call, input, obj);
	json_object_put(obj);
	input->attrs.body = g_bytes_new(body.ptr, body.len);
	input->attrs.body_hash = XXH64(body.ptr, body.len, 0);
	return kind;
}

/* Begins this host's span of a request. */
static void input_trace(struct entryd *entryd, struct http_request *call,
			struct call_input *input)
{
	struct http_view parent = http_request_header(call, "traceparent");

	trace_begin(entryd->tracer, &input->span, parent.ptr, parent.len);
	trace_parent_format(&input->span, input->trace);
	input->attrs.trace = input->trace;
}

/* Attaches a caller to a request that this host has. */
static void attach_existing(struct entryd *entryd, struct http_request *call,
			    struct req *req, size_t next, bool streaming)
{
	if (req->phase == REQ_MOVED && !req->answer.ended) {
		forward_remainder(entryd, call, req->id, req->acting, next,
				  streaming, false);
		return;
	}
	caller_attach(entryd, call, job_get(entryd, req), next, streaming);
}

/* Refuses a request that no other host has received; the refusal is final. */
static void reject(struct entryd *entryd, struct http_request *call,
		   struct call_input *input, struct job *job,
		   enum err_kind kind)
{
	job->req = replica_reject(entryd->replica, input->id, &input->rid,
				  &input->attrs, kind, job, entryd_now(entryd));
	caller_attach(entryd, call, job, 0, input->attrs.streaming);
}

/* Returns RW_OK, or why a request is refused by limits or load. */
static enum err_kind admit(struct entryd *entryd, struct job *job,
			   const struct call_input *input)
{
	struct account *account = conf_find_account(entryd, input->account);
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

/* Creates a request for an id that this host does not have. */
static void submit(struct entryd *entryd, struct http_request *call,
		   struct call_input *input)
{
	bool own = !strcmp(input->rid.primary, entryd->replica->self);
	enum err_kind kind = RW_OK;
	clk_ms now = entryd_now(entryd);
	struct req *req;
	struct upstream *upstream = NULL;
	struct job *job;

	input_trace(entryd, call, input);
	job = job_create(entryd, &input->attrs, &kind);
	if (!job) {
		answer_bad_input(entryd, call, kind, input->target);
		return;
	}
	job->span = input->span;
	trace_begin(entryd->tracer, &job->hold_span, input->trace,
		    strlen(input->trace));
	if (own)
		kind = admit(entryd, job, input);
	if (kind != RW_OK) {
		reject(entryd, call, input, job, kind);
		return;
	}
	if (job->pool->queue->tickets.length == 0 &&
	    pool_state(entryd, job->pool).capacity > 0)
		upstream = job_choose_upstream(job);
	req = replica_submit(entryd->replica, input->id, &input->rid,
			     &input->attrs, now + job->deadline_ms,
			     upstream ? upstream->name : NULL, job, &kind, now);
	if (!req) {
		job_free(job);
		answer_error(call, kind, 0, "");
		return;
	}
	caller_attach(entryd, call, job_get(entryd, req), 0,
		      input->attrs.streaming);
}

/* Attaches a caller to an existing request if it repeats the same body. */
static void reconnect(struct entryd *entryd, struct http_request *call,
		      const struct call_input *input, struct req *req)
{
	if (req->attrs.body_hash != input->attrs.body_hash) {
		answer_bad_input(entryd, call, RW_EIDREUSED, "");
		return;
	}
	entryd_count(entryd, CTR_reconnects);
	attach_existing(entryd, call, req, 0, input->attrs.streaming);
}

/* Returns whether this host has the request or the authority over its id. */
static bool input_is_local(struct entryd *entryd,
			   const struct call_input *input)
{
	if (replica_find(entryd->replica, input->id))
		return true;
	return replica_authority(entryd->replica, input->rid.primary) ==
	       REPLICA_LOCAL;
}

/* Sets whether the call is idempotent, as its route in the settings says. */
static void input_set_idempotent(struct entryd *entryd,
				 struct call_input *input)
{
	struct account *account = conf_find_account(entryd, input->account);
	const struct conf_route *route = conf_find_setting(
		entryd, CONF_ROUTE, account->team, input->target);

	input->attrs.idempotent =
		input->attrs.model || (route && route->idempotent);
}

/* Serves a POST on this host, or forwards it to the primary of its id. */
static void serve(struct entryd *entryd, struct http_request *call, bool model,
		  bool local)
{
	struct call_input input = { .account = NULL };
	enum err_kind kind = input_parse(entryd, call, model, &input);
	struct req *req;

	if (kind != RW_OK) {
		answer_bad_input(entryd, call, kind,
				 input.target ? input.target : "");
		input_clear(&input);
		return;
	}
	input_set_idempotent(entryd, &input);
	req = replica_find(entryd->replica, input.id);
	if (req)
		reconnect(entryd, call, &input, req);
	else if (local || input_is_local(entryd, &input))
		submit(entryd, call, &input);
	else
		forward_call(entryd, call, input.rid.primary);
	input_clear(&input);
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

/* Returns the first chunk to send: the one after last-event-id, or 0. */
static size_t requested_chunk(struct http_request *call)
{
	struct http_view last = http_request_header(call, "last-event-id");
	char *text = g_strndup(last.ptr, last.len);
	size_t next = 0;

	if (last.len > 0)
		next = (size_t)g_ascii_strtoull(text, NULL, 10) + 1;
	g_free(text);
	return next;
}

/* Returns whether a caller accepts an event stream. */
static bool wants_events(struct http_request *call)
{
	struct http_view accept = http_request_header(call, "accept");

	return g_strstr_len(accept.ptr, (gssize)accept.len, EVENT_TYPE) != NULL;
}

/* Serves GET /v1/requests/ID. */
static void serve_request(struct entryd *entryd, struct http_request *call,
			  bool local)
{
	struct http_view path = http_request_path(call);
	size_t skip = strlen(REQUEST_PREFIX);
	char *id = g_strndup(path.ptr + skip, path.len - skip);
	struct req *req = replica_find(entryd->replica, id);
	struct rid rid;

	if (req)
		attach_existing(entryd, call, req, requested_chunk(call),
				wants_events(call));
	else if (!rid_parse(id, strlen(id), &rid))
		answer_bad_input(entryd, call, RW_EBADID, "");
	else if (local || replica_authority(entryd->replica, rid.primary) ==
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

/* Adds other live hosts, starting at a random index. */
static void locate_add_others(struct entryd *entryd, struct json_object *list)
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

/* Returns whether this host can be the primary of new requests now. */
static bool can_be_primary(const struct entryd *entryd)
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
	const struct member *standby;
	char prefix[RID_MAX];

	if (!can_be_primary(entryd)) {
		forward_call(entryd, call, "");
		return;
	}
	obj = json_object_new_object();
	list = json_object_new_array();
	rid_prefix(prefix, sizeof(prefix), entryd->replica->self,
		   entryd_wall_time());
	json_object_array_add(list,
			      json_object_new_string(entryd->http_address));
	standby = member_find(entryd->members, entryd->replica->record.peer);
	if (standby)
		json_object_array_add(
			list, json_object_new_string(standby->info.http));
	locate_add_others(entryd, list);
	json_add_text(obj, "home", prefix);
	json_object_object_add(obj, "addresses", list);
	json_add_int(obj, "keep_ms", LOCATE_KEEP_MS);
	json_reply(call, 200, obj);
}
