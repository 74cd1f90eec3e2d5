/* What the connections of h2o's server hold. */
#include "http-held.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include "budget.h"

/* What a caller is sent whose request is not complete. */
#define REFUSAL                                                                \
	"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"               \
	"Content-Type: application/json\r\nConnection: close\r\n"              \
	"Content-Length: 67\r\n\r\n"                                           \
	"{\"error\":\"RW_EBUSY\",\"text\":\"no memory for the request\","      \
	"\"ran\":\"no\"}\n"

#define DROP_BYTES 65536 /* of unread input, at a time */
#define DROPS_MAX 64
/* The other connections of the process are those of its requests in flight. */
#define ACCEPTED_SHARE 2

struct http_held {
	uv_check_t check;
	struct budget_listener budget;
	GHashTable *conns;  /* h2o_socket_t -> struct http_held_conn */
	GHashTable *by_tcp; /* uv_tcp_t -> the same */
};

struct http_held_conn {
	struct http_held *held;
	struct budget_holder holder;
	h2o_socket_t *sock; /* NULL: closed */
	uv_tcp_t *tcp;
	uv_read_cb read_cb; /* of h2o */
	size_t input;	    /* bytes in the buffer, when last looked at */
	size_t queued;	    /* bytes not written, when last looked at */
	size_t output;	    /* of responses, not passed to h2o yet */
	unsigned open;	    /* requests in flight */
};

/* A process has one server. libuv passes only the stream to on_read, whose data
 * belong to h2o. */
static struct http_held *the_held;

static size_t conn_taken(void *ctx)
{
	struct http_held_conn *conn = ctx;
	size_t before = conn->queued;

	conn->queued =
		uv_stream_get_write_queue_size((const uv_stream_t *)conn->tcp);
	return before > conn->queued ? before - conn->queued : 0;
}

/* Refuses a request that is not complete; returns whether that was written. */
static bool conn_refuse(uv_os_fd_t fd)
{
	static char dropped[DROP_BYTES];
	bool sent = send(fd, REFUSAL, sizeof(REFUSAL) - 1,
			 MSG_DONTWAIT | MSG_NOSIGNAL) > 0;

	shutdown(fd, SHUT_WR);
	/* Unread bytes would reset the connection, and the refusal be lost. */
	for (int i = 0; i < DROPS_MAX; i++)
		if (recv(fd, dropped, sizeof(dropped),
			 MSG_DONTWAIT | MSG_TRUNC) <= 0)
			break;
	return sent;
}

static const char *conn_evict(void *ctx)
{
	struct http_held_conn *conn = ctx;
	h2o_socket_t *sock = conn->sock;
	const char *outcome = "closed";
	uv_os_fd_t fd;

	budget_remove(&conn->holder);
	if (uv_fileno((const uv_handle_t *)conn->tcp, &fd) != 0)
		return outcome;
	if (conn->open > 0 || conn->queued > 0 || !sock->_cb.read) {
		shutdown(fd, SHUT_RDWR);
		return outcome;
	}
	if (sock->input->size > 0 && conn_refuse(fd))
		outcome = "refused";
	/* As if the connection had failed. A mere end would not do: h2o would
	 * first read all that the caller goes on to send. */
	sock->_cb.read(sock, h2o_socket_error_io);
	return outcome;
}

/* An idle connection with unread input may have a request that has not been
 * read only because the process is busy. */
static const char *conn_displace(void *ctx)
{
	struct http_held_conn *conn = ctx;
	uv_os_fd_t fd;
	int unread = 0;

	if (conn->open == 0 && conn->sock->input->size == 0 &&
	    uv_fileno((const uv_handle_t *)conn->tcp, &fd) == 0 &&
	    ioctl(fd, FIONREAD, &unread) == 0 && unread > 0)
		return NULL;
	return conn_evict(ctx);
}

static void conn_peer(void *ctx, char *buf, size_t size)
{
	const struct http_held_conn *conn = ctx;
	struct sockaddr_in addr;
	int len = sizeof(addr);

	if (uv_tcp_getpeername(conn->tcp, (struct sockaddr *)&addr, &len) !=
		    0 ||
	    uv_ip4_name(&addr, buf, size) != 0)
		buf[0] = '\0';
}

static const struct budget_ops conn_ops = {
	.taken = conn_taken,
	.evict = conn_evict,
	.displace = conn_displace,
	.peer = conn_peer,
};

static void conn_free_if_unused(struct http_held_conn *conn)
{
	if (!conn->sock && conn->open == 0)
		g_free(conn);
}

/* h2o has closed the connection. */
static void conn_on_close(void *data)
{
	struct http_held_conn *conn = data;

	g_hash_table_remove(conn->held->conns, conn->sock);
	g_hash_table_remove(conn->held->by_tcp, conn->tcp);
	budget_remove(&conn->holder);
	conn->sock = NULL;
	conn_free_if_unused(conn);
}

static void conn_account(struct http_held_conn *conn)
{
	const h2o_buffer_t *input = conn->sock->input;
	size_t bytes = input->size > 0 ? input->capacity : 0;
	size_t taken;

	/* It was evicted. */
	if (!conn->holder.hold.can_evict)
		return;
	if (conn->input == 0 && input->size > 0)
		budget_on_progress(&conn->holder);
	taken = conn_taken(conn);
	if (input->size != conn->input || taken > 0)
		budget_on_bytes(&conn->holder,
				taken + (input->size > conn->input
						 ? input->size - conn->input
						 : 0));
	conn->input = input->size;
	/* h2o keeps the body of a request in flight in this buffer, and what
	 * is pipelined behind it. */
	budget_set(&conn->holder, HOLD_INPUT, conn->open > 0 ? 0 : bytes);
	budget_set(&conn->holder, HOLD_BODY, conn->open > 0 ? bytes : 0);
	budget_set(&conn->holder, HOLD_OUTPUT, conn->queued + conn->output);
}

/* Calls h2o, and then enforces the budget: in one iteration of the loop h2o may
 * read as much as the kernel holds for all connections. */
static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct http_held_conn *conn =
		g_hash_table_lookup(the_held->by_tcp, stream);

	conn->read_cb(stream, len, buf);
	/* It may be closed. */
	conn = g_hash_table_lookup(the_held->by_tcp, stream);
	if (conn)
		conn_account(conn);
	budget_enforce();
}

/* Runs after each poll of the loop: no owner of a connection is at work. */
static void on_check(uv_check_t *check)
{
	struct http_held *held = check->data;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, held->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct http_held_conn *conn = value;
		uv_stream_t *stream = (uv_stream_t *)conn->tcp;

		/* h2o sets its callback whenever it begins to read. */
		if (stream->read_cb && stream->read_cb != on_read) {
			conn->read_cb = stream->read_cb;
			stream->read_cb = on_read;
		}
		conn_account(conn);
	}
	budget_enforce();
}

struct http_held *http_held_create(uv_loop_t *loop, uv_stream_t *listener,
				   uv_connection_cb fn)
{
	struct http_held *held = g_new0(struct http_held, 1);

	held->conns = g_hash_table_new(NULL, NULL);
	held->by_tcp = g_hash_table_new(NULL, NULL);
	the_held = held;
	budget_listener_add(&held->budget, listener, fn,
			    budget_connections_max() / ACCEPTED_SHARE);
	uv_check_init(loop, &held->check);
	held->check.data = held;
	uv_check_start(&held->check, on_check);
	uv_unref((uv_handle_t *)&held->check);
	return held;
}

void http_held_stop(struct http_held *held)
{
	budget_listener_remove(&held->budget);
}

bool http_held_may_accept(struct http_held *held)
{
	return budget_may_accept(&held->budget);
}

struct http_held_conn *http_held_accept(struct http_held *held, uv_tcp_t *tcp)
{
	struct http_held_conn *conn = g_new0(struct http_held_conn, 1);
	uv_os_fd_t fd = -1;

	conn->held = held;
	conn->tcp = tcp;
	budget_init(&conn->holder, &conn_ops, conn);
	if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 ||
	    !budget_join(&conn->holder, &held->budget)) {
		conn_refuse(fd);
		g_free(conn);
		return NULL;
	}
	budget_set_window(&conn->holder, fd);
	return conn;
}

void http_held_add(struct http_held_conn *conn, h2o_socket_t *sock)
{
	conn->sock = sock;
	sock->on_close.cb = conn_on_close;
	sock->on_close.data = conn;
	g_hash_table_insert(conn->held->conns, sock, conn);
	g_hash_table_insert(conn->held->by_tcp, conn->tcp, conn);
}

struct http_held_conn *http_held_begin(struct http_held *held,
				       h2o_socket_t *sock)
{
	struct http_held_conn *conn = g_hash_table_lookup(held->conns, sock);

	if (!conn)
		return NULL;
	conn->open++;
	hold_set_busy(&conn->holder.hold, true);
	return conn;
}

void http_held_set_output(struct http_held_conn *conn, size_t bytes)
{
	if (conn)
		conn->output = bytes;
}

void http_held_end(struct http_held_conn *conn)
{
	if (!conn)
		return;
	conn->open--;
	conn->output = 0;
	hold_set_busy(&conn->holder.hold, conn->open > 0);
	budget_on_progress(&conn->holder);
	conn_free_if_unused(conn);
}
