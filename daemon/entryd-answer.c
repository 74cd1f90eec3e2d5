/* Answers to callers: event streams, single bodies and errors. */
#include "entryd.h"

#include <string.h>
#include <xxhash.h>

#define DETAIL_MAX 200 /* bytes of an error's detail */

/* Returns the JSON body of an error. */
static struct json_object *error_body(enum err_kind kind, clk_ms retry_after,
				      const char *detail)
{
	const struct err_answer *answer = err_answer(kind);
	struct json_object *obj = json_object_new_object();
	char *safe = g_strndup(detail, DETAIL_MAX);

	json_add_text(obj, "error", answer->name);
	json_add_text(obj, "text", answer->text);
	json_add_text(obj, "ran", err_ran_name(answer->ran));
	if (detail[0])
		json_add_text(obj, "detail", safe);
	if (retry_after)
		json_add_int(obj, "come_back_ms", retry_after);
	g_free(safe);
	return obj;
}

void answer_error(struct http_request *call, enum err_kind kind,
		  clk_ms retry_after, const char *detail)
{
	const struct err_answer *answer = err_answer(kind);
	char seconds[24];

	if (!retry_after)
		retry_after = answer->retry_after_ms;
	if (retry_after) {
		g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
			   (retry_after + CLK_SECOND - 1) / CLK_SECOND);
		http_response_add_header(call, "retry-after", seconds);
	}
	json_reply(call, answer->status, error_body(kind, retry_after, detail));
}

/* Returns after how many ms a refused caller should retry, with up to half of
 * that time added at random so that callers do not retry at once; 0: no retry.
 */
static clk_ms retry_after_of(struct caller *caller, enum err_kind kind)
{
	clk_ms mean = caller->job->retry_after;

	if (!mean)
		mean = err_answer(kind)->retry_after_ms;
	if (!mean)
		return 0;
	return mean + entryd_random(caller->entryd, (uint32_t)mean / 2 + 1);
}

/* Frees a caller whose call is answered, detached or disconnected. */
static void caller_free(struct caller *caller)
{
	if (caller->job)
		g_ptr_array_remove_fast(caller->job->callers, caller);
	g_hash_table_remove(caller->entryd->callers, caller);
	g_free(caller);
}

static void caller_on_disconnect(void *ctx)
{
	caller_free(ctx);
}

struct http_request *caller_detach(struct caller *caller)
{
	struct http_request *call = caller->call;

	http_request_on_disconnect(call, NULL, NULL);
	caller_free(caller);
	return call;
}

/* Writes one server-sent event; id -1 omits the id. */
static void event_write(struct http_request *call, const char *event,
			int64_t id, const char *data, size_t len)
{
	GString *text = g_string_new(NULL);

	if (id >= 0)
		g_string_append_printf(text, "id: %" G_GINT64_FORMAT "\n", id);
	g_string_append_printf(text, "event: %s\ndata: ", event);
	g_string_append_len(text, data, (gssize)len);
	g_string_append(text, "\n\n");
	http_response_write(call, text->str, text->len);
	g_string_free(text, TRUE);
}

/* Writes an event with an object as data, and frees the object. */
static void event_write_json(struct http_request *call, const char *event,
			     struct json_object *obj)
{
	size_t len;
	const char *text = json_print(obj, &len);

	event_write(call, event, -1, text, len);
	json_object_put(obj);
}

/* Writes chunk n as an event. */
static void chunk_write(struct caller *caller, size_t n)
{
	struct json_object *obj = json_object_new_object();
	size_t len;
	const char *chunk = req_chunk(caller->job->req, n, &len);
	const char *text;

	json_object_object_add(obj, "text",
			       json_object_new_string_len(chunk, (int)len));
	text = json_print(obj, &len);
	event_write(caller->call, "piece", (int64_t)n, text, len);
	json_object_put(obj);
}

/* Formats the hash of all chunks, with which a caller verifies that it has the
 * complete answer. */
static void answer_hash(const struct req *req, char *buf, size_t size)
{
	const GString *bytes = req->answer.bytes;

	g_snprintf(buf, size, "%016" G_GINT64_MODIFIER "x",
		   (guint64)XXH64(bytes->str, bytes->len, 0));
}

/* Returns the id, chunk count and hash of a complete answer. */
static struct json_object *end_body(const struct req *req)
{
	struct json_object *obj = json_object_new_object();
	char hash[20];

	answer_hash(req, hash, sizeof(hash));
	json_add_text(obj, "id", req->id);
	json_add_int(obj, "count", (int64_t)req_chunk_count(req));
	json_add_text(obj, "hash", hash);
	return obj;
}

/* Ends a streamed answer and frees its caller. */
static void stream_end(struct caller *caller)
{
	struct req *req = caller->job->req;
	enum err_kind kind = req->answer.kind;
	struct http_request *call = caller->call;

	if (kind == RW_OK)
		event_write_json(call, "end", end_body(req));
	else
		event_write_json(
			call, "error",
			error_body(kind, retry_after_of(caller, kind), ""));
	http_request_on_disconnect(call, NULL, NULL);
	caller_free(caller);
	http_response_end(call);
}

/* Sends a streaming caller the events that it lacks. */
static void stream_flush(struct caller *caller)
{
	struct req *req = caller->job->req;

	if (!caller->head_sent) {
		caller->head_sent = true;
		http_response_add_header(caller->call, "x-request-id", req->id);
		http_response_start(caller->call, 200, EVENT_TYPE);
	}
	if (!caller->accepted_sent && (req->accepted || req->inherited)) {
		struct json_object *obj = json_object_new_object();

		caller->accepted_sent = true;
		json_add_text(obj, "id", req->id);
		event_write_json(caller->call, "accepted", obj);
	}
	if (caller->restart_pending && caller->accepted_sent) {
		caller->restart_pending = false;
		caller->next_chunk = 0;
		event_write(caller->call, "restart", -1, "{}", 2);
	}
	while (caller->accepted_sent &&
	       caller->next_chunk < req_chunk_count(req))
		chunk_write(caller, caller->next_chunk++);
	if (req->answer.ended)
		stream_end(caller);
}

/* Sends an ended answer as one body. */
static void body_reply(struct caller *caller)
{
	struct req *req = caller->job->req;
	enum err_kind kind = req->answer.kind;
	clk_ms retry_after = retry_after_of(caller, kind);
	struct http_request *call = caller->call;
	struct json_object *obj;
	GString *bytes = req->answer.bytes;

	http_request_on_disconnect(call, NULL, NULL);
	http_response_add_header(call, "x-request-id", req->id);
	caller_free(caller);
	if (kind != RW_OK) {
		answer_error(call, kind, retry_after, "");
		return;
	}
	if (!req->attrs.model) {
		http_response_send(call, req->answer.status, JSON_TYPE,
				   bytes->str, bytes->len);
		return;
	}
	obj = end_body(req);
	json_object_object_add(
		obj, "text",
		json_object_new_string_len(bytes->str, (int)bytes->len));
	json_reply(call, 200, obj);
}

void caller_flush(struct caller *caller)
{
	struct req *req = caller->job->req;

	if (req->answer_dropped) {
		struct http_request *call = caller_detach(caller);

		answer_error(call, RW_EEXPIRED, 0, "the answer was dropped");
		return;
	}
	/* An error before the stream began is sent with its HTTP status. */
	if (caller->streaming && !caller->head_sent && req->answer.ended &&
	    req->answer.kind != RW_OK)
		caller->streaming = false;
	if (caller->streaming) {
		if (caller->head_sent || req->accepted || req->inherited)
			stream_flush(caller);
	} else if (req->answer.ended) {
		body_reply(caller);
	}
}

struct caller *caller_attach(struct entryd *entryd, struct http_request *call,
			     struct job *job, size_t next, bool streaming)
{
	struct caller *caller = g_new0(struct caller, 1);

	caller->entryd = entryd;
	caller->call = call;
	caller->job = job;
	caller->next_chunk = next;
	caller->streaming = streaming;
	/* A host that took over may lack chunks that the failed primary had
	 * sent, and the chunks that replace them may differ. */
	caller->restart_pending = next > req_chunk_count(job->req);
	g_ptr_array_add(job->callers, caller);
	g_hash_table_add(entryd->callers, caller);
	http_request_on_disconnect(call, caller_on_disconnect, caller);
	caller_flush(caller);
	return caller;
}

void job_flush_callers(struct job *job)
{
	for (guint i = job->callers->len; i-- > 0;)
		caller_flush(g_ptr_array_index(job->callers, i));
}
