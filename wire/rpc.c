/* The RPC endpoint: sockets, record marking, calls and replies. */
#include "rpc.h"

#include <arpa/inet.h>
#include <string.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>

#include "due.h"
#include "sync.h"
#include "tcp.h"

#define LISTEN_BACKLOG 256		 /* connections */
#define RECORD_MAX (24 << 20)		 /* bytes */
#define RECORD_MARK_BYTES 4		 /* record mark of RFC 5531 */
#define RECORD_LAST_FRAGMENT 0x80000000u /* bit of the record mark */
#define DATAGRAM_MAX 4096		 /* bytes */
#define QUEUED_MAX (32 << 20)		 /* bytes per peer; more is dropped */
#define IDLE_TIMEOUT_MS 60000		 /* for an unused connection */
#define CONNECT_TIMEOUT_MS 1000		 /* for connection establishment */
#define PEER_TIMEOUT_MS 2500  /* for a peer that acknowledges nothing */
#define TIMEOUT_CHECK_MS 100  /* period of the check of timeouts */
#define DROPPED_KINDS_MAX 256 /* of which the first one is known */
#define ACCEPTED_MAX 2048     /* connections */

/* After the address of a peer: the connection for large replies. */
#define LARGE_MARK "/large"

/* A connection, outgoing or accepted. */
struct rpc_conn {
	struct rpc *rpc;
	struct tcp *tcp;
	char *peer;	      /* key in rpc.peers if outgoing, else NULL */
	size_t bytes_counted; /* bytes of tcp->in included in bytes_in */
	bool connected;
	bool closing;
	bool handling; /* its input */
	clk_ms last_used;
	clk_ms created_at;
};

/* A call of RW_SYNC that awaits its reply. */
struct rpc_pending_call {
	u_int32_t xid;
	clk_ms deadline; /* loop time */
	bool packed;	 /* the reply is a w_packed */
	void (*fn)(void *ctx, const w_sync_res *res);
	void *ctx;
};

struct rpc {
	uv_loop_t *loop;
	uv_udp_t udp;
	uv_tcp_t listener;
	struct due_timer timer;
	struct rpc_handlers handlers;
	struct rpc_counters counters;
	GHashTable *peers;   /* address, LARGE_MARK after it for large
			      * replies -> struct rpc_conn, outgoing */
	GPtrArray *accepted; /* struct rpc_conn */
	struct budget_listener budget;
	GArray *pending_calls;	   /* struct rpc_pending_call */
	GHashTable *dropped_kinds; /* set of "IP procedure reason" */
	u_int32_t xid;
	char datagram[DATAGRAM_MAX];
};

static const struct tcp_ops accepted_ops;
static const struct tcp_ops outgoing_ops;

static clk_ms loop_now(const struct rpc *rpc)
{
	return (clk_ms)uv_now(rpc->loop);
}

/* Room for the credentials of a message, which are not used. The decoder would
 * allocate it, and nothing would free it. */
struct auth_room {
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
};

/* Decodes the header of a call. */
static bool header_decode(XDR *xdr, struct rpc_msg *call)
{
	struct auth_room room;
	bool ok;

	memset(call, 0, sizeof(*call));
	call->rm_call.cb_cred.oa_base = room.cred;
	call->rm_call.cb_verf.oa_base = room.verf;
	ok = xdr_callmsg(xdr, call);
	call->rm_call.cb_cred.oa_base = NULL;
	call->rm_call.cb_verf.oa_base = NULL;
	return ok;
}

/* Encodes a call; returns its length, or 0 if it does not fit. */
static size_t call_encode(struct rpc *rpc, rpcproc_t proc, xdrproc_t encode,
			  const void *args, char *buf, size_t size)
{
	struct rpc_msg call = {
		.rm_xid = ++rpc->xid,
		.rm_direction = CALL,
	};
	XDR xdr;
	size_t len = 0;

	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = RW_PROGRAM;
	call.rm_call.cb_vers = RW_VERSION;
	call.rm_call.cb_proc = proc;
	call.rm_call.cb_cred = _null_auth;
	call.rm_call.cb_verf = _null_auth;
	xdrmem_create(&xdr, buf, (u_int)size, XDR_ENCODE);
	if (xdr_callmsg(&xdr, &call) && encode(&xdr, (void *)args))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

/* Writes the record mark of a single-fragment record. */
static void record_mark_write(char *buf, size_t len)
{
	u_int32_t mark = htonl(RECORD_LAST_FRAGMENT | (u_int32_t)len);

	memcpy(buf, &mark, RECORD_MARK_BYTES);
}

/* Connections. */

static void conn_close(struct rpc_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	if (conn->peer)
		g_hash_table_remove(conn->rpc->peers, conn->peer);
	else
		g_ptr_array_remove_fast(conn->rpc->accepted, conn);
	tcp_close(conn->tcp);
	g_free(conn->peer);
	g_free(conn);
}

static struct rpc_conn *conn_create(struct rpc *rpc, const struct tcp_ops *ops)
{
	struct rpc_conn *conn = g_new0(struct rpc_conn, 1);

	conn->rpc = rpc;
	conn->last_used = loop_now(rpc);
	conn->created_at = loop_now(rpc);
	conn->tcp = tcp_create(rpc->loop, ops, conn);
	return conn;
}

/* Starts reading from an established connection. */
static void conn_start(struct rpc_conn *conn)
{
	conn->connected = true;
	tcp_set_peer_timeout(conn->tcp, PEER_TIMEOUT_MS);
	tcp_read_start(conn->tcp);
}

/* Writes bytes; they are queued until the connection is established. */
static void conn_write(struct rpc_conn *conn, const void *data, size_t len)
{
	conn->last_used = loop_now(conn->rpc);
	conn->rpc->counters.bytes_out += len;
	tcp_write(conn->tcp, data, len);
}

/* Sends the reply to a call. */
static void reply_send(struct rpc_conn *conn, u_int32_t xid, xdrproc_t encode,
		       void *res)
{
	struct rpc_msg reply = { .rm_xid = xid, .rm_direction = REPLY };
	size_t size;
	char *buf;
	XDR xdr;

	reply.rm_reply.rp_stat = MSG_ACCEPTED;
	reply.acpted_rply.ar_verf = _null_auth;
	reply.acpted_rply.ar_stat = SUCCESS;
	reply.acpted_rply.ar_results.where = res;
	reply.acpted_rply.ar_results.proc = encode;
	size = xdr_sizeof(encode, res) + 256;
	buf = g_malloc(size + RECORD_MARK_BYTES);
	xdrmem_create(&xdr, buf + RECORD_MARK_BYTES, (u_int)size, XDR_ENCODE);
	if (xdr_replymsg(&xdr, &reply)) {
		size_t len = xdr_getpos(&xdr);

		record_mark_write(buf, len);
		conn_write(conn, buf, len + RECORD_MARK_BYTES);
	}
	g_free(buf);
	xdr_destroy(&xdr);
}

static void reply_sync(struct rpc_conn *conn, u_int32_t xid,
		       const w_sync_args *args)
{
	struct rpc *rpc = conn->rpc;
	w_sync_res res = { .updates.updates_len = 0 };

	rpc->handlers.on_sync(rpc->handlers.ctx, args, &res);
	reply_send(conn, xid, (xdrproc_t)xdr_w_sync_res, &res);
	xdr_free((xdrproc_t)xdr_w_sync_res, &res);
}

static void reply_sync_packed(struct rpc_conn *conn, u_int32_t xid,
			      const w_sync_args *args)
{
	struct rpc *rpc = conn->rpc;
	w_packed res = { .size = 0 };

	rpc->handlers.on_sync_packed(rpc->handlers.ctx, args, &res);
	reply_send(conn, xid, (xdrproc_t)xdr_w_packed, &res);
	xdr_free((xdrproc_t)xdr_w_packed, &res);
}

static bool speeds_receive(const struct rpc *rpc, XDR *xdr)
{
	w_speeds speeds = { .process = NULL };
	bool ok = xdr_w_speeds(xdr, &speeds);

	if (ok && rpc->handlers.on_speeds)
		rpc->handlers.on_speeds(rpc->handlers.ctx, &speeds);
	xdr_free((xdrproc_t)xdr_w_speeds, &speeds);
	return ok;
}

/* Decodes the arguments of a call and passes them to its handler. */
static enum rpc_bad dispatch_call(struct rpc_conn *conn,
				  const struct rpc_msg *msg, XDR *xdr)
{
	struct rpc *rpc = conn->rpc;
	w_home replica = { .kind = 0 };
	w_sync_args sync = { .settings_after = 0 };
	w_report report = { .process = NULL };
	w_relay relay = { .process = NULL };
	w_group group = { .reporting = 0 };
	w_rollout rollout = { .process = NULL };
	bool ok = false;

	switch (msg->rm_call.cb_proc) {
	case RW_HOME:
		if (!rpc->handlers.on_replica)
			return RPC_BAD_PROC;
		ok = xdr_w_home(xdr, &replica) &&
		     rpc_replica_from_wire(&replica, rpc->handlers.on_replica,
					   rpc->handlers.ctx);
		xdr_free((xdrproc_t)xdr_w_home, &replica);
		break;
	case RW_SYNC:
		if (!rpc->handlers.on_sync)
			return RPC_BAD_PROC;
		ok = xdr_w_sync_args(xdr, &sync);
		if (ok)
			reply_sync(conn, msg->rm_xid, &sync);
		xdr_free((xdrproc_t)xdr_w_sync_args, &sync);
		break;
	case RW_REPORT:
		ok = xdr_w_report(xdr, &report);
		if (ok && rpc->handlers.on_report)
			rpc->handlers.on_report(rpc->handlers.ctx, &report);
		xdr_free((xdrproc_t)xdr_w_report, &report);
		break;
	case RW_RELAY:
		ok = xdr_w_relay(xdr, &relay);
		if (ok && rpc->handlers.on_relay)
			rpc->handlers.on_relay(rpc->handlers.ctx, &relay);
		xdr_free((xdrproc_t)xdr_w_relay, &relay);
		break;
	case RW_SYNC_PACKED:
		ok = xdr_w_sync_args(xdr, &sync);
		if (ok && rpc->handlers.on_sync_packed)
			reply_sync_packed(conn, msg->rm_xid, &sync);
		xdr_free((xdrproc_t)xdr_w_sync_args, &sync);
		break;
	case RW_GROUP:
		ok = xdr_w_group(xdr, &group);
		if (ok && rpc->handlers.on_group)
			rpc->handlers.on_group(rpc->handlers.ctx, &group);
		xdr_free((xdrproc_t)xdr_w_group, &group);
		break;
	case RW_SPEEDS:
		ok = speeds_receive(rpc, xdr);
		break;
	case RW_ROLLOUT:
		ok = xdr_w_rollout(xdr, &rollout);
		if (ok && rpc->handlers.on_rollout)
			rpc->handlers.on_rollout(rpc->handlers.ctx, &rollout);
		xdr_free((xdrproc_t)xdr_w_rollout, &rollout);
		break;
	default:
		return RPC_BAD_PROC;
	}
	return ok ? RPC_GOOD : RPC_BAD_ARGUMENTS;
}

/* Removes the call that awaits a reply; returns false if there is none. */
static bool pending_take(struct rpc *rpc, u_int32_t xid,
			 struct rpc_pending_call *call)
{
	for (guint i = 0; i < rpc->pending_calls->len; i++) {
		*call = g_array_index(rpc->pending_calls,
				      struct rpc_pending_call, i);
		if (call->xid != xid)
			continue;
		g_array_remove_index_fast(rpc->pending_calls, i);
		return true;
	}
	return false;
}

static bool reply_decode(const char *ptr, size_t len, xdrproc_t decode,
			 void *res)
{
	struct rpc_msg reply = { .rm_direction = REPLY };
	struct auth_room room;
	XDR xdr;
	bool ok;

	reply.acpted_rply.ar_verf.oa_base = room.verf;
	reply.acpted_rply.ar_results.where = res;
	reply.acpted_rply.ar_results.proc = decode;
	xdrmem_create(&xdr, (char *)ptr, (u_int)len, XDR_DECODE);
	ok = xdr_replymsg(&xdr, &reply) &&
	     reply.rm_reply.rp_stat == MSG_ACCEPTED &&
	     reply.acpted_rply.ar_stat == SUCCESS;
	xdr_destroy(&xdr);
	return ok;
}

/* Passes a reply to the call that awaits it; a reply that comes too late is
 * dropped. */
static bool handle_reply(struct rpc *rpc, const char *ptr, size_t len)
{
	w_sync_res res = { .updates.updates_len = 0 };
	w_packed packed = { .size = 0 };
	struct rpc_pending_call call;
	u_int32_t xid;
	bool ok;

	memcpy(&xid, ptr, sizeof(xid));
	if (!pending_take(rpc, ntohl(xid), &call))
		return true;
	if (call.packed)
		ok = reply_decode(ptr, len, (xdrproc_t)xdr_w_packed, &packed) &&
		     sync_unpack(&packed, &res);
	else
		ok = reply_decode(ptr, len, (xdrproc_t)xdr_w_sync_res, &res);
	call.fn(call.ctx, ok ? &res : NULL);
	xdr_free((xdrproc_t)xdr_w_packed, &packed);
	xdr_free((xdrproc_t)xdr_w_sync_res, &res);
	return ok;
}

const char *rpc_bad_name(enum rpc_bad bad)
{
	static const char *const names[RPC_BAD_COUNT] = {
		[RPC_GOOD] = "good",
		[RPC_BAD_RECORD] = "no_record",
		[RPC_BAD_HEADER] = "no_call",
		[RPC_BAD_VERSION] = "unknown_version",
		[RPC_BAD_PROC] = "unknown_procedure",
		[RPC_BAD_ARGUMENTS] = "bad_arguments",
		[RPC_BAD_REPLY] = "bad_reply",
	};

	return names[bad];
}

/* Notes a message from an address that was dropped. */
static void message_dropped(struct rpc *rpc, const struct sockaddr_in *from,
			    unsigned proc, enum rpc_bad bad)
{
	char ip[INET_ADDRSTRLEN] = "";
	struct rpc_dropped dropped = { .from = ip, .proc = proc, .bad = bad };
	char *kind;

	inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
	kind = g_strdup_printf("%s %u %d", ip, proc, bad);
	if (g_hash_table_size(rpc->dropped_kinds) < DROPPED_KINDS_MAX)
		dropped.first = g_hash_table_add(rpc->dropped_kinds, kind);
	else
		g_free(kind);
	rpc->counters.dropped++;
	rpc->handlers.on_dropped(rpc->handlers.ctx, &dropped);
}

/* Notes a message of a connection that was dropped. */
static void record_dropped(const struct rpc_conn *conn, unsigned proc,
			   enum rpc_bad bad)
{
	struct sockaddr_in from = { .sin_family = AF_INET };
	int len = sizeof(from);

	uv_tcp_getpeername(&conn->tcp->handle, (struct sockaddr *)&from, &len);
	message_dropped(conn->rpc, &from, proc, bad);
}

/* Handles one complete record; returns false if it is no message at all. */
static bool handle_record(struct rpc_conn *conn, const char *ptr, size_t len)
{
	struct rpc_msg msg;
	enum rpc_bad bad = RPC_BAD_HEADER;
	u_int32_t direction = CALL;
	XDR xdr;

	if (len >= 2 * sizeof(direction))
		memcpy(&direction, ptr + sizeof(direction), sizeof(direction));
	if (ntohl(direction) == REPLY) {
		if (!handle_reply(conn->rpc, ptr, len))
			record_dropped(conn, 0, RPC_BAD_REPLY);
		return true;
	}
	xdrmem_create(&xdr, (char *)ptr, (u_int)len, XDR_DECODE);
	if (header_decode(&xdr, &msg))
		bad = msg.rm_call.cb_prog == RW_PROGRAM &&
				      msg.rm_call.cb_vers == RW_VERSION
			      ? dispatch_call(conn, &msg, &xdr)
			      : RPC_BAD_VERSION;
	xdr_destroy(&xdr);
	if (bad != RPC_GOOD)
		record_dropped(conn,
			       bad == RPC_BAD_HEADER
				       ? 0
				       : (unsigned)msg.rm_call.cb_proc,
			       bad);
	return bad != RPC_BAD_HEADER;
}

/* Handles the complete records of the input; a message that can't be decoded,
 * as it may be of another build, is dropped. Returns false if the input is no
 * sequence of messages: a record is too long, fragmented, or no message. */
static bool handle_input(struct rpc_conn *conn)
{
	const GString *in = conn->tcp->in;
	size_t used = 0;

	while (in->len - used >= RECORD_MARK_BYTES) {
		u_int32_t mark;
		size_t len;

		memcpy(&mark, in->str + used, RECORD_MARK_BYTES);
		mark = ntohl(mark);
		len = mark & ~RECORD_LAST_FRAGMENT;
		if (!(mark & RECORD_LAST_FRAGMENT) || len > RECORD_MAX) {
			record_dropped(conn, 0, RPC_BAD_RECORD);
			return false;
		}
		if (in->len - used - RECORD_MARK_BYTES < len)
			break;
		if (!handle_record(conn, in->str + used + RECORD_MARK_BYTES,
				   len))
			return false;
		used += RECORD_MARK_BYTES + len;
	}
	if (used > 0)
		tcp_consume(conn->tcp, used);
	return true;
}

static void conn_on_data(void *ctx)
{
	struct rpc_conn *conn = ctx;
	size_t received = conn->tcp->in->len - conn->bytes_counted;
	bool is_valid;

	conn->last_used = loop_now(conn->rpc);
	conn->rpc->counters.bytes_in += received;
	budget_on_bytes(&conn->tcp->holder, received);
	conn->handling = true;
	is_valid = handle_input(conn);
	conn->handling = false;
	if (!is_valid) {
		conn_close(conn);
		return;
	}
	conn->bytes_counted = conn->tcp->in->len;
}

static void conn_on_end(void *ctx, bool clean)
{
	(void)clean; /* an incomplete record is discarded */
	conn_close(ctx);
}

/* The other host connects again when it has something to send. */
static const char *conn_on_evict(void *ctx)
{
	conn_close(ctx);
	return "closed";
}

static const char *conn_on_displace(void *ctx)
{
	struct rpc_conn *conn = ctx;

	if (conn->handling || tcp_unread_bytes(conn->tcp) > 0)
		return NULL;
	return conn_on_evict(ctx);
}

static const struct tcp_ops accepted_ops = {
	.on_data = conn_on_data,
	.on_end = conn_on_end,
	.on_evict = conn_on_evict,
	.on_displace = conn_on_displace,
};

static const struct tcp_ops outgoing_ops = {
	.on_data = conn_on_data,
	.on_end = conn_on_end,
};

static void conn_on_connect(void *ctx, int error)
{
	if (error)
		conn_close(ctx);
	else
		conn_start(ctx);
}

/* Returns the connection to a peer, which is started if there is none. */
static struct rpc_conn *peer_get(struct rpc *rpc, const char *to, bool large)
{
	char *key = g_strconcat(to, large ? LARGE_MARK : NULL, NULL);
	struct rpc_conn *conn = g_hash_table_lookup(rpc->peers, key);

	if (conn) {
		g_free(key);
		return conn;
	}
	conn = conn_create(rpc, &outgoing_ops);
	conn->peer = key;
	g_hash_table_insert(rpc->peers, conn->peer, conn);
	if (!tcp_connect(conn->tcp, to, NULL, conn_on_connect)) {
		conn_close(conn);
		return NULL;
	}
	return conn;
}

/* Sends a call over TCP and returns its xid. The call is dropped if no
 * connection can be started or too much is queued for the peer. */
static u_int32_t call_send(struct rpc *rpc, const char *to, bool large,
			   rpcproc_t proc, xdrproc_t encode, const void *args)
{
	struct rpc_conn *conn = peer_get(rpc, to, large);
	size_t size = xdr_sizeof(encode, (void *)args) + 256;
	char *buf;
	size_t len;

	if (!conn || conn->tcp->pending > QUEUED_MAX)
		return ++rpc->xid;
	buf = g_malloc(size + RECORD_MARK_BYTES);
	len = call_encode(rpc, proc, encode, args, buf + RECORD_MARK_BYTES,
			  size);
	if (len > 0) {
		record_mark_write(buf, len);
		conn_write(conn, buf, len + RECORD_MARK_BYTES);
	}
	g_free(buf);
	return rpc->xid;
}

void rpc_send_replica(struct rpc *rpc, const char *to,
		      const struct replica_msg *msg)
{
	w_home wire;

	rpc_replica_to_wire(msg, &wire);
	call_send(rpc, to, false, RW_HOME, (xdrproc_t)xdr_w_home, &wire);
	rpc_replica_wire_clear(&wire);
}

void rpc_send_report(struct rpc *rpc, const char *to, const w_report *report)
{
	call_send(rpc, to, false, RW_REPORT, (xdrproc_t)xdr_w_report, report);
}

void rpc_send_rollout(struct rpc *rpc, const char *to, const w_rollout *message)
{
	call_send(rpc, to, false, RW_ROLLOUT, (xdrproc_t)xdr_w_rollout,
		  message);
}

void rpc_send_relay(struct rpc *rpc, const char *to, const w_relay *relay)
{
	call_send(rpc, to, false, RW_RELAY, (xdrproc_t)xdr_w_relay, relay);
}

void rpc_send_group(struct rpc *rpc, const char *to, const w_group *group)
{
	call_send(rpc, to, false, RW_GROUP, (xdrproc_t)xdr_w_group, group);
}

void rpc_send_speeds(struct rpc *rpc, const char *to, const w_speeds *speeds)
{
	call_send(rpc, to, false, RW_SPEEDS, (xdrproc_t)xdr_w_speeds, speeds);
}

void rpc_call_sync(struct rpc *rpc, const char *to, const w_sync_args *args,
		   bool packed, bool large, clk_ms timeout,
		   void (*fn)(void *ctx, const w_sync_res *res), void *ctx)
{
	struct rpc_pending_call call = {
		.packed = packed,
		.deadline = loop_now(rpc) + timeout,
		.fn = fn,
		.ctx = ctx,
	};

	call.xid = call_send(rpc, to, large, packed ? RW_SYNC_PACKED : RW_SYNC,
			     (xdrproc_t)xdr_w_sync_args, args);
	g_array_append_val(rpc->pending_calls, call);
}

unsigned rpc_replies_pending(const struct rpc *rpc)
{
	unsigned count = 0;

	for (guint i = 0; i < rpc->accepted->len; i++) {
		const struct rpc_conn *conn =
			g_ptr_array_index(rpc->accepted, i);

		count += conn->tcp->pending > 0;
	}
	return count;
}

/* Datagrams. */

/* Sends a call in a datagram; it is dropped if it does not fit or the socket is
 * full. */
static void datagram_send(struct rpc *rpc, const char *to, rpcproc_t proc,
			  xdrproc_t encode, const void *args)
{
	char buf[DATAGRAM_MAX];
	struct sockaddr_in addr;
	uv_buf_t out;
	size_t len;

	if (!tcp_parse_address(to, &addr))
		return;
	len = call_encode(rpc, proc, encode, args, buf, sizeof(buf));
	out = uv_buf_init(buf, (unsigned)len);
	if (len > 0 &&
	    uv_udp_try_send(&rpc->udp, &out, 1, (struct sockaddr *)&addr) > 0) {
		rpc->counters.datagrams_out++;
		rpc->counters.bytes_out += len;
	}
}

void rpc_send_gossip(struct rpc *rpc, const char *to,
		     const struct member_msg *msg)
{
	w_update updates[MEMBER_UPDATES_MAX];
	w_mark notices[MEMBER_NOTICES_MAX];
	w_gossip wire;

	rpc_gossip_to_wire(msg, &wire, updates, notices);
	datagram_send(rpc, to, RW_GOSSIP, (xdrproc_t)xdr_w_gossip, &wire);
}

void rpc_send_permit_ask(struct rpc *rpc, const char *to,
			 const w_permit_ask *ask)
{
	datagram_send(rpc, to, RW_PERMIT_ASK, (xdrproc_t)xdr_w_permit_ask, ask);
}

void rpc_send_permit_grant(struct rpc *rpc, const char *to,
			   const w_permit_grant *grant)
{
	datagram_send(rpc, to, RW_PERMIT_GRANT, (xdrproc_t)xdr_w_permit_grant,
		      grant);
}

void rpc_send_full(struct rpc *rpc, const char *to, const w_full *full)
{
	datagram_send(rpc, to, RW_FULL, (xdrproc_t)xdr_w_full, full);
}

void rpc_send_links_ask(struct rpc *rpc, const char *to, const w_links *ask)
{
	datagram_send(rpc, to, RW_LINKS_ASK, (xdrproc_t)xdr_w_links, ask);
}

void rpc_send_links_answer(struct rpc *rpc, const char *to,
			   const w_links *answer)
{
	datagram_send(rpc, to, RW_LINKS_ANSWER, (xdrproc_t)xdr_w_links, answer);
}

void rpc_send_origin_keep(struct rpc *rpc, const char *to,
			  const w_origin_keep *keep)
{
	datagram_send(rpc, to, RW_ORIGIN_KEEP, (xdrproc_t)xdr_w_origin_keep,
		      keep);
}

void rpc_send_origin_ask(struct rpc *rpc, const char *to,
			 const w_origin_ask *ask)
{
	datagram_send(rpc, to, RW_ORIGIN_ASK, (xdrproc_t)xdr_w_origin_ask, ask);
}

void rpc_send_origin_answer(struct rpc *rpc, const char *to,
			    const w_origin_answer *answer)
{
	datagram_send(rpc, to, RW_ORIGIN_ANSWER, (xdrproc_t)xdr_w_origin_answer,
		      answer);
}

static bool gossip_receive(struct rpc *rpc, XDR *xdr)
{
	struct member_msg msg;
	w_gossip wire = { .kind = 0 };
	bool ok = xdr_w_gossip(xdr, &wire) && rpc_gossip_from_wire(&wire, &msg);

	xdr_free((xdrproc_t)xdr_w_gossip, &wire);
	if (ok)
		rpc->handlers.on_gossip(rpc->handlers.ctx, &msg);
	return ok;
}

static bool permit_ask_receive(struct rpc *rpc, XDR *xdr)
{
	w_permit_ask ask = { .process = NULL };
	bool ok = xdr_w_permit_ask(xdr, &ask);

	if (ok && rpc->handlers.on_permit_ask)
		rpc->handlers.on_permit_ask(rpc->handlers.ctx, &ask);
	xdr_free((xdrproc_t)xdr_w_permit_ask, &ask);
	return ok;
}

static bool permit_grant_receive(struct rpc *rpc, XDR *xdr)
{
	w_permit_grant grant = { .process = NULL };
	bool ok = xdr_w_permit_grant(xdr, &grant);

	if (ok && rpc->handlers.on_permit_grant)
		rpc->handlers.on_permit_grant(rpc->handlers.ctx, &grant);
	xdr_free((xdrproc_t)xdr_w_permit_grant, &grant);
	return ok;
}

static bool full_receive(struct rpc *rpc, XDR *xdr)
{
	w_full full = { .process = NULL };
	bool ok = xdr_w_full(xdr, &full);

	if (ok && rpc->handlers.on_full)
		rpc->handlers.on_full(rpc->handlers.ctx, &full);
	xdr_free((xdrproc_t)xdr_w_full, &full);
	return ok;
}

/* Decodes a struct w_links and passes it to fn, unless it is NULL. */
static bool links_receive(struct rpc *rpc, XDR *xdr,
			  void (*fn)(void *ctx, const w_links *links))
{
	w_links links = { .process = NULL };
	bool ok = xdr_w_links(xdr, &links);

	if (ok && fn)
		fn(rpc->handlers.ctx, &links);
	xdr_free((xdrproc_t)xdr_w_links, &links);
	return ok;
}

static bool links_ask_receive(struct rpc *rpc, XDR *xdr)
{
	return links_receive(rpc, xdr, rpc->handlers.on_links_ask);
}

static bool links_answer_receive(struct rpc *rpc, XDR *xdr)
{
	return links_receive(rpc, xdr, rpc->handlers.on_links_answer);
}

static bool origin_keep_receive(struct rpc *rpc, XDR *xdr)
{
	w_origin_keep keep = { .streams.streams_len = 0 };
	bool ok = xdr_w_origin_keep(xdr, &keep);

	if (ok && rpc->handlers.on_origin_keep)
		rpc->handlers.on_origin_keep(rpc->handlers.ctx, &keep);
	xdr_free((xdrproc_t)xdr_w_origin_keep, &keep);
	return ok;
}

static bool origin_ask_receive(struct rpc *rpc, XDR *xdr)
{
	w_origin_ask ask = { .process = NULL };
	bool ok = xdr_w_origin_ask(xdr, &ask);

	if (ok && rpc->handlers.on_origin_ask)
		rpc->handlers.on_origin_ask(rpc->handlers.ctx, &ask);
	xdr_free((xdrproc_t)xdr_w_origin_ask, &ask);
	return ok;
}

static bool origin_answer_receive(struct rpc *rpc, XDR *xdr)
{
	w_origin_answer answer = { .process = NULL };
	bool ok = xdr_w_origin_answer(xdr, &answer);

	if (ok && rpc->handlers.on_origin_answer)
		rpc->handlers.on_origin_answer(rpc->handlers.ctx, &answer);
	xdr_free((xdrproc_t)xdr_w_origin_answer, &answer);
	return ok;
}

/* Decodes a datagram and passes it to its handler. Sets the procedure. */
static enum rpc_bad handle_datagram(struct rpc *rpc, const char *ptr,
				    size_t len, unsigned *proc)
{
	static const struct {
		rpcproc_t proc;
		bool (*receive)(struct rpc *rpc, XDR *xdr);
	} procs[] = {
		{ RW_GOSSIP, gossip_receive },
		{ RW_PERMIT_ASK, permit_ask_receive },
		{ RW_PERMIT_GRANT, permit_grant_receive },
		{ RW_ORIGIN_KEEP, origin_keep_receive },
		{ RW_ORIGIN_ASK, origin_ask_receive },
		{ RW_ORIGIN_ANSWER, origin_answer_receive },
		{ RW_FULL, full_receive },
		{ RW_LINKS_ASK, links_ask_receive },
		{ RW_LINKS_ANSWER, links_answer_receive },
	};
	struct rpc_msg call;
	enum rpc_bad bad = RPC_BAD_HEADER;
	XDR xdr;

	xdrmem_create(&xdr, (char *)ptr, (u_int)len, XDR_DECODE);
	if (header_decode(&xdr, &call))
		bad = call.rm_call.cb_prog == RW_PROGRAM &&
				      call.rm_call.cb_vers == RW_VERSION
			      ? RPC_BAD_PROC
			      : RPC_BAD_VERSION;
	*proc = (unsigned)call.rm_call.cb_proc;
	for (size_t i = 0; bad == RPC_BAD_PROC && i < G_N_ELEMENTS(procs); i++)
		if (*proc == procs[i].proc)
			bad = procs[i].receive(rpc, &xdr) ? RPC_GOOD
							  : RPC_BAD_ARGUMENTS;
	xdr_destroy(&xdr);
	return bad;
}

static void udp_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct rpc *rpc = handle->data;

	(void)suggested;
	*buf = uv_buf_init(rpc->datagram, sizeof(rpc->datagram));
}

static void udp_on_recv(uv_udp_t *udp, ssize_t count, const uv_buf_t *buf,
			const struct sockaddr *addr, unsigned flags)
{
	struct rpc *rpc = udp->data;
	unsigned proc;
	enum rpc_bad bad;

	(void)flags;
	if (count <= 0 || !addr)
		return;
	rpc->counters.datagrams_in++;
	rpc->counters.bytes_in += (uint64_t)count;
	bad = handle_datagram(rpc, buf->base, (size_t)count, &proc);
	if (bad != RPC_GOOD)
		message_dropped(rpc, (const struct sockaddr_in *)addr, proc,
				bad);
}

static void listener_on_connection(uv_stream_t *listener, int status)
{
	struct rpc *rpc = listener->data;
	struct rpc_conn *conn;

	if (status != 0 || !budget_may_accept(&rpc->budget))
		return;
	conn = conn_create(rpc, &accepted_ops);
	g_ptr_array_add(rpc->accepted, conn);
	if (tcp_accept(conn->tcp, &rpc->budget))
		conn_start(conn);
	else
		conn_close(conn);
}

/* Fails calls whose reply is overdue and closes connections that are idle or
 * could not be established in time. */
static void on_timer(void *ctx)
{
	struct rpc *rpc = ctx;
	clk_ms now = loop_now(rpc);
	GList *conns;

	for (guint i = rpc->pending_calls->len; i-- > 0;) {
		struct rpc_pending_call call = g_array_index(
			rpc->pending_calls, struct rpc_pending_call, i);

		if (now < call.deadline)
			continue;
		g_array_remove_index_fast(rpc->pending_calls, i);
		call.fn(call.ctx, NULL);
	}
	conns = g_hash_table_get_values(rpc->peers);
	for (GList *at = conns; at; at = at->next) {
		struct rpc_conn *conn = at->data;

		if (now - conn->last_used > IDLE_TIMEOUT_MS ||
		    (!conn->connected &&
		     now - conn->created_at > CONNECT_TIMEOUT_MS))
			conn_close(conn);
	}
	g_list_free(conns);
}

/* Binds both sockets; returns 0 or a libuv error. */
static int rpc_bind(struct rpc *rpc, const char *address, int port)
{
	struct sockaddr_in addr;
	int rc = uv_ip4_addr(address, port, &addr);

	if (rc == 0)
		rc = uv_udp_bind(&rpc->udp, (struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_tcp_bind(&rpc->listener, (struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&rpc->udp, udp_alloc, udp_on_recv);
	tcp_limit_listener(&rpc->listener);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&rpc->listener, LISTEN_BACKLOG,
			       listener_on_connection);
	return rc;
}

struct rpc *rpc_create(uv_loop_t *loop, const char *address, int port,
		       const struct rpc_handlers *handlers, GError **error)
{
	struct rpc *rpc = g_new0(struct rpc, 1);
	int rc;

	rpc->loop = loop;
	rpc->handlers = *handlers;
	rpc->peers = g_hash_table_new(g_str_hash, g_str_equal);
	rpc->dropped_kinds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rpc->accepted = g_ptr_array_new();
	budget_listener_add(&rpc->budget, (uv_stream_t *)&rpc->listener,
			    listener_on_connection, ACCEPTED_MAX);
	rpc->pending_calls =
		g_array_new(FALSE, FALSE, sizeof(struct rpc_pending_call));
	uv_udp_init(loop, &rpc->udp);
	uv_tcp_init(loop, &rpc->listener);
	due_init(loop, &rpc->timer, on_timer, rpc);
	rpc->udp.data = rpc;
	rpc->listener.data = rpc;
	rc = rpc_bind(rpc, address, port);
	if (rc != 0) {
		g_set_error(error, g_quark_from_static_string("rpc"), rc,
			    "cannot listen on %s:%d: %s", address, port,
			    uv_strerror(rc));
		return NULL; /* the process exits: nothing is freed */
	}
	due_start(&rpc->timer, TIMEOUT_CHECK_MS, TIMEOUT_CHECK_MS);
	return rpc;
}

void rpc_stop(struct rpc *rpc)
{
	due_stop(&rpc->timer);
	uv_udp_recv_stop(&rpc->udp);
}

const struct rpc_counters *rpc_counters(const struct rpc *rpc)
{
	return &rpc->counters;
}
