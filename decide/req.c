/* Requests and their answers. */
#include "req.h"

#include "check.h"

struct req *req_create(const char *id, const struct rid *rid)
{
	struct req *req = g_new0(struct req, 1);

	req->id = g_strdup(id);
	req->rid = *rid;
	req->answer.bytes = g_string_new(NULL);
	req->answer.ends = g_array_new(FALSE, FALSE, sizeof(size_t));
	req->deadline = CLK_NEVER;
	req->revoke_deadline = CLK_NEVER;
	req->expires = CLK_NEVER;
	return req;
}

void req_free(struct req *req)
{
	g_free(req->id);
	g_free(req->acting);
	g_free(req->attrs.account);
	g_free(req->attrs.target);
	g_free(req->attrs.trace);
	if (req->attrs.body)
		g_bytes_unref(req->attrs.body);
	g_free(req->attempt.upstream);
	g_free(req->attempt.stream);
	g_string_free(req->answer.bytes, TRUE);
	g_array_free(req->answer.ends, TRUE);
	g_free(req);
}

void req_attrs_set(struct req *req, const struct req_attrs *attrs)
{
	g_free(req->attrs.account);
	g_free(req->attrs.target);
	g_free(req->attrs.trace);
	if (req->attrs.body)
		g_bytes_unref(req->attrs.body);
	req->attrs = *attrs;
	req->attrs.account = g_strdup(attrs->account);
	req->attrs.target = g_strdup(attrs->target);
	req->attrs.trace = g_strdup(attrs->trace);
	if (attrs->body)
		g_bytes_ref(attrs->body);
}

void req_attempt_set(struct req *req, const char *upstream, const char *stream)
{
	char *upstream_copy = g_strdup(upstream);
	char *stream_copy = g_strdup(stream);

	g_free(req->attempt.upstream);
	g_free(req->attempt.stream);
	req->attempt.upstream = upstream_copy;
	req->attempt.stream = stream_copy;
}

size_t req_chunk_count(const struct req *req)
{
	return req->answer.ends->len;
}

const char *req_chunk(const struct req *req, size_t n, size_t *len)
{
	const GArray *ends = req->answer.ends;
	size_t start = n ? g_array_index(ends, size_t, n - 1) : 0;

	dec_assert(n < ends->len, "the chunk exists");
	*len = g_array_index(ends, size_t, n) - start;
	return req->answer.bytes->str + start;
}

void req_chunk_add(struct req *req, const char *ptr, size_t len)
{
	size_t end;

	dec_assert(!req->answer.ended, "no chunk is added after the end");
	g_string_append_len(req->answer.bytes, ptr, (gssize)len);
	end = req->answer.bytes->len;
	g_array_append_val(req->answer.ends, end);
}

void req_drop_body(struct req *req)
{
	if (req->attrs.body)
		g_bytes_unref(req->attrs.body);
	req->attrs.body = NULL;
}

void req_drop_answer(struct req *req)
{
	dec_assert(req->answer.ended, "only an ended answer is dropped");
	g_string_free(req->answer.bytes, TRUE);
	req->answer.bytes = g_string_new(NULL);
	g_array_set_size(req->answer.ends, 0);
	req->answer_dropped = true;
}

enum err_ran req_ran(const struct req *req)
{
	if (!req->answer.ended)
		return ERR_RAN_UNKNOWN;
	return err_answer(req->answer.kind)->ran;
}

bool req_answer_end(struct req *req, enum err_kind kind, int status)
{
	struct req_answer *answer = &req->answer;

	if (answer->ended && req_ran(req) != ERR_RAN_UNKNOWN)
		return false;
	if (answer->ended && err_answer(kind)->ran == ERR_RAN_UNKNOWN)
		return false;
	answer->ended = true;
	answer->kind = kind;
	answer->status = status;
	return true;
}
