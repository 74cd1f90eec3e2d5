/* One attempt at an upstream: a streamed completion or a service call. */
#include "entryd.h"

#include <string.h>

#define LINE_MAX_BYTES (1 << 20) /* of one event of an engine */
#define STATUS_FENCED 409	 /* a service rejects an old fencing token */

/* The state of an attempt in flight. */
struct attempt {
	struct job *job;
	struct upstream *upstream;
	char *stream; /* the attempt's id at the engine; NULL for a service */
	struct http_fetch *fetch;
	GString *input;	   /* unparsed bytes of a stream, or a service's body */
	GHashTable *early; /* token number + 1 -> text, received out of order */
	int status;	   /* of the response; 0: none yet */
	bool done;	   /* the engine sent its end marker */
	clk_ms started_at;
	struct trace_span span;
};

static struct attempt *attempt_create(struct job *job,
				      struct upstream *upstream)
{
	struct attempt *attempt = g_new0(struct attempt, 1);
	char parent[TRACE_PARENT_LEN + 1];

	attempt->job = job;
	attempt->upstream = upstream;
	attempt->input = g_string_new(NULL);
	attempt->early = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	attempt->started_at = entryd_now(job->entryd);
	trace_parent_format(&job->span, parent);
	trace_begin(job->entryd->tracer, &attempt->span, parent,
		    TRACE_PARENT_LEN);
	return attempt;
}

static void attempt_free(struct attempt *attempt)
{
	g_string_free(attempt->input, TRUE);
	g_hash_table_destroy(attempt->early);
	g_free(attempt->stream);
	g_free(attempt);
}

/* Records the end of an attempt in router, retry budget, counters and trace. */
static void attempt_close(struct attempt *attempt, bool failed)
{
	struct entryd *entryd = attempt->job->entryd;
	clk_ms now = entryd_now(entryd);

	router_end(attempt->upstream, failed, now - attempt->started_at, now);
	if (failed) {
		entryd_count(entryd, CTR_attempts_failed);
		retry_on_failure(&attempt->job->pool->budget, now);
	} else {
		retry_on_success(&attempt->job->pool->budget, now);
	}
	trace_end(entryd->tracer, &attempt->span, "upstream",
		  attempt->job->req->id, attempt->upstream->name);
}

void attempt_cancel(struct attempt *attempt)
{
	if (attempt->fetch)
		http_fetch_cancel(attempt->fetch);
	attempt->fetch = NULL;
	attempt_close(attempt, false);
	attempt_free(attempt);
}

/* Appends the next tokens to the answer, as far as they were received. */
static void append_tokens(struct attempt *attempt)
{
	struct job *job = attempt->job;
	struct req *req = job->req;
	char *text;

	while ((text = g_hash_table_lookup(
			attempt->early,
			GSIZE_TO_POINTER(req_chunk_count(req) + 1)))) {
		size_t n = req_chunk_count(req);

		replica_chunk(job->entryd->replica, req, text, strlen(text),
			      entryd_now(job->entryd));
		g_hash_table_remove(attempt->early, GSIZE_TO_POINTER(n + 1));
	}
}

/* Handles token n of this attempt; one that the answer already has is
 * dropped. */
static void on_token(struct attempt *attempt, size_t n, const char *text)
{
	struct job *job = attempt->job;

	if (n < req_chunk_count(job->req)) {
		entryd_count(job->entryd, CTR_pieces_dropped);
		return;
	}
	entryd_count(job->entryd, CTR_pieces);
	job->last_chunk_at = entryd_now(job->entryd);
	/* Keys start at 1, as 0 would be a NULL key. */
	g_hash_table_replace(attempt->early, GSIZE_TO_POINTER(n + 1),
			     g_strdup(text));
	append_tokens(attempt);
}

/* Parses one event of an engine. */
static void on_event(struct attempt *attempt, const char *ptr, size_t len)
{
	struct json_object *obj;
	struct json_object *choices;
	struct json_object *choice = NULL;

	if (len == strlen("[DONE]") && !memcmp(ptr, "[DONE]", len)) {
		attempt->done = true;
		return;
	}
	obj = json_parse_object(ptr, len);
	if (!obj)
		return;
	if (strcmp(json_text(obj, "id", ""), attempt->stream) != 0) {
		/* The chunk belongs to another attempt. */
		entryd_count(attempt->job->entryd, CTR_pieces_dropped);
	} else if (json_object_object_get_ex(obj, "choices", &choices) &&
		   (choice = json_object_array_get_idx(choices, 0))) {
		on_token(attempt, (size_t)json_int(obj, "n", 0),
			 json_text(choice, "text", ""));
	}
	json_object_put(obj);
}

/* Parses the complete lines received so far. */
static void stream_on_data(void *ctx, const char *ptr, size_t len)
{
	struct attempt *attempt = ctx;
	struct job *job = attempt->job;
	GString *input = attempt->input;
	size_t offset = 0;

	if (attempt->status != 200)
		return;
	g_string_append_len(input, ptr, (gssize)len);
	while (offset < input->len) {
		char *line = input->str + offset;
		char *end = memchr(line, '\n', input->len - offset);

		if (!end)
			break;
		if (g_str_has_prefix(line, "data: "))
			on_event(attempt, line + 6, (size_t)(end - line - 6));
		offset = (size_t)(end - input->str) + 1;
	}
	g_string_erase(input, 0, (gssize)offset);
	if (input->len > LINE_MAX_BYTES)
		g_string_truncate(input, 0);
	job_flush_callers(job);
}

static void on_head(void *ctx, int status)
{
	((struct attempt *)ctx)->status = status;
}

/* Returns whether all tokens of a stream were received. */
static bool stream_is_complete(const struct attempt *attempt)
{
	return attempt->done && g_hash_table_size(attempt->early) == 0;
}

static void stream_on_done(void *ctx, enum http_result result, int status)
{
	struct attempt *attempt = ctx;
	struct job *job = attempt->job;
	struct entryd *entryd = job->entryd;
	bool complete = stream_is_complete(attempt);

	attempt->fetch = NULL;
	attempt_close(attempt, !complete);
	job->attempt = NULL;
	if (complete) {
		replica_end(entryd->replica, job->req, RW_OK, 200,
			    entryd_now(entryd));
	} else {
		/* The engine lost the stream or does not respond: it is not
		 * resumed there. */
		if (result == HTTP_CONNECT_FAILED || status != 200 ||
		    result == HTTP_TIMEOUT) {
			req_attempt_set(job->req, NULL, NULL);
			g_free(job->failed_upstream);
			job->failed_upstream =
				g_strdup(attempt->upstream->name);
		}
		job_attempt_failed(job, false);
	}
	attempt_free(attempt);
}

/* Builds the body of a completion request; it continues a begun answer. */
static GBytes *completion_request_body(const struct job *job)
{
	const struct req *req = job->req;
	const struct conf_model *conf = conf_find_setting(
		job->entryd, CONF_MODEL, job->team, req->attrs.target);
	struct json_object *obj = json_object_new_object();
	size_t len;
	const char *text;
	GBytes *body;

	json_add_text(obj, "model", req->attrs.target);
	json_add_text(obj, "prompt", job->prompt);
	json_add_int(obj, "max_tokens", job->max_tokens);
	json_add_int(obj, "priority", job->priority);
	json_object_object_add(obj, "stream", json_object_new_boolean(1));
	if (conf && conf->version[0])
		json_add_text(obj, "version", conf->version);
	if (conf && conf->adapter[0])
		json_add_text(obj, "adapter", conf->adapter);
	if (req_chunk_count(req) > 0) {
		json_add_int(obj, "from", (int64_t)req_chunk_count(req));
		json_object_object_add(obj, "so_far",
				       json_object_new_string_len(
					       req->answer.bytes->str,
					       (int)req->answer.bytes->len));
	}
	text = json_print(obj, &len);
	body = g_bytes_new(text, len);
	json_object_put(obj);
	return body;
}

/* Returns the headers common to all calls to upstreams. */
static GString *headers_create(const struct attempt *attempt)
{
	GString *headers = g_string_new("content-type: application/json\r\n");
	char parent[TRACE_PARENT_LEN + 1];

	trace_parent_format(&attempt->span, parent);
	g_string_append_printf(headers,
			       "x-request-id: %s\r\ntraceparent: %s\r\n",
			       attempt->job->req->id, parent);
	return headers;
}

/* Starts the fetch of an attempt; frees headers and unreferences body. */
static void attempt_fetch(struct attempt *attempt, struct http_fetch_spec *spec,
			  GString *headers, GBytes *body)
{
	spec->address = attempt->upstream->address;
	spec->headers = headers ? headers->str : NULL;
	spec->body = body;
	spec->on_head = on_head;
	spec->ctx = attempt;
	attempt->fetch = http_fetch_start(attempt->job->entryd->client, spec);
	if (headers)
		g_string_free(headers, TRUE);
	if (body)
		g_bytes_unref(body);
}

/* Requests the answer, or the remainder of it, from an engine. */
static void completion_start(struct attempt *attempt)
{
	struct job *job = attempt->job;
	struct req *req = job->req;
	GString *headers = headers_create(attempt);
	struct http_fetch_spec spec = {
		.method = "POST",
		.path = "/v1/completions",
		.idle_timeout = job->timeout_ms,
		.on_data = stream_on_data,
		.on_done = stream_on_done,
	};

	if (req_chunk_count(req) > 0) {
		entryd_count(job->entryd, CTR_restarted);
		job->entryd->ctrs.values[CTR_tokens_again] +=
			(uint64_t)job->prompt_tokens + req_chunk_count(req);
	}
	attempt->stream =
		g_strdup_printf("%s#%u.%08x", req->id, req->attempt.count + 1,
				g_rand_int(job->entryd->rand));
	replica_attempt(job->entryd->replica, req, attempt->upstream->name,
			attempt->stream, entryd_now(job->entryd));
	g_string_append_printf(headers, "x-stream-id: %s\r\n", attempt->stream);
	attempt_fetch(attempt, &spec, headers, completion_request_body(job));
}

/* Requests the remainder of a stream from the engine that runs it. */
static void resume_start(struct attempt *attempt)
{
	struct job *job = attempt->job;
	struct req *req = job->req;
	char *stream = g_uri_escape_string(req->attempt.stream, NULL, FALSE);
	char *path = g_strdup_printf("/v1/resume?stream=%s&from=%zu", stream,
				     req_chunk_count(req));
	struct http_fetch_spec spec = {
		.method = "GET",
		.path = path,
		.idle_timeout = job->timeout_ms,
		.on_data = stream_on_data,
		.on_done = stream_on_done,
	};

	entryd_count(job->entryd, CTR_resumed);
	attempt->stream = g_strdup(req->attempt.stream);
	attempt_fetch(attempt, &spec, NULL, NULL);
	g_free(stream);
	g_free(path);
}

static void service_on_data(void *ctx, const char *ptr, size_t len)
{
	struct attempt *attempt = ctx;

	g_string_append_len(attempt->input, ptr, (gssize)len);
}

/* Returns whether a status of a service means that it did not run the call. */
static bool status_is_not_run(const struct job *job, int status)
{
	if (job->fencing && status == STATUS_FENCED)
		return true;
	return job->not_run_status && status == job->not_run_status;
}

/* Returns whether the body is whole: by its framing, or as a JSON value that
 * has an end of its own. */
static bool service_body_is_whole(const struct attempt *attempt,
				  enum http_result result)
{
	if (result != HTTP_UNFRAMED)
		return result == HTTP_COMPLETE;
	return http_fetch_is_json(attempt->fetch) &&
	       json_is_whole(attempt->input->str, attempt->input->len);
}

static void service_on_done(void *ctx, enum http_result result, int status)
{
	struct attempt *attempt = ctx;
	struct job *job = attempt->job;
	struct entryd *entryd = job->entryd;
	struct req *req = job->req;
	/* The status alone is the refusal. */
	bool not_run = result == HTTP_CONNECT_FAILED ||
		       (http_result_may_be_whole(result) &&
			status_is_not_run(job, status));
	bool complete = service_body_is_whole(attempt, result) && !not_run &&
			status < 500;

	attempt->fetch = NULL;
	attempt_close(attempt, !complete);
	job->attempt = NULL;
	if (complete && !req->answer.ended) {
		clk_ms now = entryd_now(entryd);

		replica_chunk(entryd->replica, req, attempt->input->str,
			      attempt->input->len, now);
		replica_end(entryd->replica, req, RW_OK, status, now);
	} else if (!complete) {
		g_free(job->failed_upstream);
		job->failed_upstream = g_strdup(attempt->upstream->name);
		job_attempt_failed(job, not_run);
	}
	attempt_free(attempt);
}

/* Sends the call to the service, with a fencing token if it checks them. */
static void service_start(struct attempt *attempt)
{
	struct job *job = attempt->job;
	struct req *req = job->req;
	GString *headers = headers_create(attempt);
	int64_t token = replica_fencing_token(job->entryd->replica, req);
	struct http_fetch_spec spec = {
		.method = "POST",
		.path = job->path,
		.timeout = job->timeout_ms,
		.on_data = service_on_data,
		.on_done = service_on_done,
	};

	replica_attempt(job->entryd->replica, req, attempt->upstream->name,
			NULL, entryd_now(job->entryd));
	if (job->fencing && token > 0)
		g_string_append_printf(headers, "x-fence: %s %" PRId64 "\r\n",
				       req->rid.primary, token);
	attempt_fetch(attempt, &spec, headers,
		      req->attrs.body ? g_bytes_ref(req->attrs.body) : NULL);
}

/* Returns the engine of a stream that can be resumed, or NULL. */
static struct upstream *resumable_upstream(struct job *job)
{
	const struct req_attempt *last = &job->req->attempt;
	struct upstream *upstream;

	if (!job->req->attrs.model || !last->upstream || !last->stream)
		return NULL;
	upstream = router_get(job->entryd->router, last->upstream);
	return upstream->state == UPSTREAM_GONE || !upstream->address[0]
		       ? NULL
		       : upstream;
}

/* Returns the upstream of the next attempt, or NULL. A call that is not
 * idempotent goes only to the upstream that its grant names. */
static struct upstream *attempt_choose_upstream(struct job *job)
{
	const struct req *req = job->req;

	if (!req->attrs.idempotent)
		return req->attempt.upstream ? router_get(job->entryd->router,
							  req->attempt.upstream)
					     : NULL;
	return job_choose_upstream(job);
}

bool attempt_start(struct job *job)
{
	struct upstream *resume = resumable_upstream(job);
	struct upstream *upstream =
		resume ? resume : attempt_choose_upstream(job);
	struct attempt *attempt;

	if (!upstream)
		return false;
	attempt = attempt_create(job, upstream);
	job->attempt = attempt;
	job->attempts++;
	entryd_count(job->entryd, CTR_attempts);
	job_route_begin(job, upstream);
	if (resume)
		resume_start(attempt);
	else if (job->req->attrs.model)
		completion_start(attempt);
	else
		service_start(attempt);
	return true;
}
