/* Converts messages between primary and standby to and from XDR. */
#include "rpc.h"

#include <string.h>

static char empty[] = "";

/* XDR strings must not be NULL. */
static char *string_or_empty(const char *text)
{
	return text ? (char *)text : empty;
}

/* The reverse: an empty XDR string stands for NULL. */
static const char *string_or_null(const char *text)
{
	return text[0] ? text : NULL;
}

static void attrs_to_wire(const struct req_attrs *attrs, w_attrs *wire)
{
	gsize len = 0;
	const void *data =
		attrs->body ? g_bytes_get_data(attrs->body, &len) : NULL;

	wire->account = string_or_empty(attrs->account);
	wire->target = string_or_empty(attrs->target);
	wire->trace = string_or_empty(attrs->trace);
	wire->body.body_val = (char *)data;
	wire->body.body_len = (u_int)len;
	wire->model = attrs->model;
	wire->idempotent = attrs->idempotent;
	wire->streaming = attrs->streaming;
	wire->body_hash = attrs->body_hash;
}

/* Encodes the chunks from msg->first on as one byte array and a list of end
 * offsets. */
static void chunks_to_wire(const struct replica_msg *msg, w_home *wire)
{
	size_t count = msg->chunk_count;
	size_t len;
	const char *start;
	u_int end = 0;

	if (!msg->chunks || count == 0)
		return;
	start = req_chunk(msg->chunks, msg->first_chunk - msg->chunks_base,
			  &len);
	wire->ends.ends_val = g_new(u_int, count);
	wire->ends.ends_len = (u_int)count;
	for (size_t n = 0; n < count; n++) {
		req_chunk(msg->chunks, msg->first_chunk - msg->chunks_base + n,
			  &len);
		end += (u_int)len;
		wire->ends.ends_val[n] = end;
	}
	wire->pieces.pieces_val = (char *)start;
	wire->pieces.pieces_len = end;
}

void rpc_replica_to_wire(const struct replica_msg *msg, w_home *wire)
{
	memset(wire, 0, sizeof(*wire));
	wire->kind = msg->kind;
	wire->from = string_or_empty(msg->from);
	wire->to = string_or_empty(msg->to);
	wire->home = string_or_empty(msg->primary);
	wire->epoch = msg->epoch;
	wire->id = string_or_empty(msg->id);
	wire->want_grant = msg->want_grant;
	wire->grant_no = msg->grant_no;
	wire->copy = msg->copy;
	wire->granted = msg->granted;
	if (msg->attrs) {
		wire->attrs = g_new0(w_attrs, 1);
		attrs_to_wire(msg->attrs, wire->attrs);
	}
	wire->time_left = msg->time_left;
	wire->upstream = string_or_empty(msg->upstream);
	wire->stream = string_or_empty(msg->stream);
	wire->first = (u_int)msg->first_chunk;
	chunks_to_wire(msg, wire);
	wire->ended = msg->ended;
	wire->end_kind = msg->end_kind;
	wire->end_status = msg->end_status;
	wire->verdict = msg->ack;
	wire->acked = (u_int)msg->acked;
	wire->end_acked = msg->end_acked;
}

void rpc_replica_wire_clear(w_home *wire)
{
	g_free(wire->attrs);
	g_free(wire->ends.ends_val);
}

/* Whether the enumerators, the epoch and the end offsets of a message are in
 * range. */
static bool is_valid(const w_home *wire)
{
	u_int previous_end = 0;

	if (wire->kind >= REPLICA_MSG_COUNT || wire->verdict >= ACK_COUNT ||
	    wire->end_kind >= ERR_KIND_COUNT || wire->epoch < 0)
		return false;
	for (u_int n = 0; n < wire->ends.ends_len; n++) {
		if (wire->ends.ends_val[n] < previous_end)
			return false;
		previous_end = wire->ends.ends_val[n];
	}
	return previous_end == wire->pieces.pieces_len;
}

/* Builds a request that holds only the chunks of a message. */
static struct req *chunks_from_wire(const w_home *wire)
{
	struct rid none = { .time = 0 };
	struct req *req = req_create("", &none);
	u_int start = 0;

	for (u_int n = 0; n < wire->ends.ends_len; n++) {
		u_int end = wire->ends.ends_val[n];

		req_chunk_add(req, wire->pieces.pieces_val + start,
			      end - start);
		start = end;
	}
	return req;
}

static void attrs_from_wire(const w_attrs *wire, struct req_attrs *attrs)
{
	*attrs = (struct req_attrs){
		.account = wire->account,
		.target = wire->target,
		.trace = wire->trace,
		.model = wire->model,
		.idempotent = wire->idempotent,
		.streaming = wire->streaming,
		.body_hash = wire->body_hash,
	};
	if (wire->body.body_len)
		attrs->body =
			g_bytes_new(wire->body.body_val, wire->body.body_len);
}

bool rpc_replica_from_wire(const w_home *wire,
			   void (*fn)(void *ctx, const struct replica_msg *msg),
			   void *ctx)
{
	struct req_attrs attrs = { .body = NULL };
	struct replica_msg msg;
	struct req *chunks;

	if (!is_valid(wire))
		return false;
	if (wire->attrs)
		attrs_from_wire(wire->attrs, &attrs);
	chunks = chunks_from_wire(wire);
	msg = (struct replica_msg){
		.kind = (enum replica_msg_kind)wire->kind,
		.from = wire->from,
		.to = wire->to,
		.primary = wire->home,
		.epoch = wire->epoch,
		.id = wire->id,
		.want_grant = wire->want_grant,
		.grant_no = wire->grant_no,
		.copy = wire->copy,
		.granted = wire->granted,
		.attrs = wire->attrs ? &attrs : NULL,
		.time_left = wire->time_left,
		.upstream = string_or_null(wire->upstream),
		.stream = string_or_null(wire->stream),
		.first_chunk = wire->first,
		.chunks = chunks,
		.chunks_base = wire->first,
		.chunk_count = wire->ends.ends_len,
		.ended = wire->ended,
		.end_kind = (enum err_kind)wire->end_kind,
		.end_status = wire->end_status,
		.ack = (enum replica_ack)wire->verdict,
		.acked = wire->acked,
		.end_acked = wire->end_acked,
	};
	fn(ctx, &msg);
	req_free(chunks);
	if (attrs.body)
		g_bytes_unref(attrs.body);
	return true;
}
