/* TCP connections on a libuv loop. */
#include "tcp.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536      /* per read */
#define LISTEN_BACKLOG 1024   /* connections */
#define PROBE_COUNT 3	      /* keep-alive probes within the peer timeout */
#define INPUT_KEEP_BYTES 8192 /* larger empty input buffers are freed */

/* Queued bytes of a write. */
struct tcp_out {
	uv_write_t write;
	struct tcp *tcp;
	GList link;
	size_t len;
	size_t held;   /* bytes that it counts for */
	GBytes *bytes; /* dropped when the connection is closed */
};

/* Shared: libuv fills it and calls on_read at once. */
static char read_buffer[READ_BYTES];

bool tcp_parse_address(const char *text, struct sockaddr_in *addr)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	gint64 port;

	if (!colon || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = g_ascii_strtoll(colon + 1, NULL, 10);
	return port > 0 && port <= G_MAXUINT16 &&
	       uv_ip4_addr(host, (int)port, addr) == 0;
}

static size_t holder_taken(void *ctx)
{
	struct tcp *tcp = ctx;
	size_t before = tcp->queue_seen;

	tcp->queue_seen = uv_stream_get_write_queue_size(
		(const uv_stream_t *)&tcp->handle);
	return before > tcp->queue_seen ? before - tcp->queue_seen : 0;
}

static const char *holder_evict(void *ctx)
{
	struct tcp *tcp = ctx;
	const char *outcome = tcp->ops->on_evict(tcp->ctx);

	if (tcp->closing) {
		g_string_free(tcp->in, TRUE);
		tcp->in = g_string_sized_new(0);
	}
	tcp_account(tcp);
	return outcome;
}

static const char *holder_displace(void *ctx)
{
	struct tcp *tcp = ctx;

	return tcp->ops->on_displace(tcp->ctx);
}

static void holder_peer(void *ctx, char *buf, size_t size)
{
	const struct tcp *tcp = ctx;
	struct sockaddr_in addr;
	int len = sizeof(addr);

	buf[0] = '\0';
	if (uv_tcp_getpeername(&tcp->handle, (struct sockaddr *)&addr, &len) ==
		    0 &&
	    uv_ip4_name(&addr, buf, size) == 0)
		g_snprintf(buf + strlen(buf), size - strlen(buf), ":%d",
			   ntohs(addr.sin_port));
}

static const struct budget_ops holder_ops = {
	.taken = holder_taken,
	.evict = holder_evict,
	.displace = holder_displace,
	.peer = holder_peer,
};

void tcp_account(struct tcp *tcp)
{
	size_t in = tcp->in->allocated_len;
	bool is_empty = tcp->in->len == 0;

	if (tcp->closing)
		return;
	for (int i = HOLD_INPUT; i <= HOLD_PIPELINED; i++)
		if (i != (int)tcp->in_purpose)
			budget_set(&tcp->holder, i, 0);
	budget_set(&tcp->holder, tcp->in_purpose, is_empty ? 0 : in);
	budget_set(&tcp->holder, HOLD_SPARE, is_empty ? in : 0);
	budget_set(&tcp->holder, tcp->out_purpose, tcp->queued);
}

void tcp_note_sent(struct tcp *tcp)
{
	size_t taken = holder_taken(tcp);

	if (taken > 0)
		budget_on_bytes(&tcp->holder, taken);
}

struct tcp *tcp_create(uv_loop_t *loop, const struct tcp_ops *ops, void *ctx)
{
	struct tcp *tcp = g_new0(struct tcp, 1);

	uv_tcp_init(loop, &tcp->handle);
	tcp->handle.data = tcp;
	tcp->ops = ops;
	tcp->ctx = ctx;
	tcp->in = g_string_sized_new(0);
	tcp->in_purpose = HOLD_INPUT;
	tcp->out_purpose = HOLD_OUTPUT;
	budget_init(&tcp->holder,
		    ops->on_evict || ops->on_displace ? &holder_ops : NULL,
		    tcp);
	tcp->holder.hold.can_evict = ops->on_evict != NULL;
	return tcp;
}

bool tcp_accept(struct tcp *tcp, struct budget_listener *listener)
{
	uv_os_fd_t fd;

	if (uv_accept(listener->stream, (uv_stream_t *)&tcp->handle) != 0 ||
	    !budget_join(&tcp->holder, listener))
		return false;
	if (uv_fileno((const uv_handle_t *)&tcp->handle, &fd) == 0)
		budget_set_window(&tcp->holder, fd);
	uv_tcp_nodelay(&tcp->handle, 1);
	return true;
}

static void on_connected(uv_connect_t *request, int status)
{
	struct tcp *tcp = request->data;

	if (!tcp->closing)
		tcp->on_connect(tcp->ctx, status);
}

/* Binds a socket to a local IP address and any port. */
static bool bind_source(int fd, const char *source)
{
	struct sockaddr_in addr;
	int later = 1;

	if (uv_ip4_addr(source, 0, &addr) != 0)
		return false;
	/* connect() chooses the port, which then need not differ from those of
	 * connections to other peers. */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &later,
		   sizeof(later));
	return bind(fd, (const struct sockaddr *)&addr, sizeof(addr)) == 0;
}

/* Opens the socket of a connection to be established. */
static bool open_outgoing(struct tcp *tcp, const char *source)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return false;
	if ((source && !bind_source(fd, source)) ||
	    uv_tcp_open(&tcp->handle, fd) != 0) {
		close(fd);
		return false;
	}
	budget_join_outgoing(&tcp->holder);
	budget_set_window(&tcp->holder, fd);
	return true;
}

bool tcp_connect(struct tcp *tcp, const char *address, const char *source,
		 void (*fn)(void *ctx, int error))
{
	struct sockaddr_in addr;

	if (!tcp_parse_address(address, &addr) || !open_outgoing(tcp, source))
		return false;
	tcp->on_connect = fn;
	tcp->connect.data = tcp;
	if (uv_tcp_connect(&tcp->connect, &tcp->handle,
			   (const struct sockaddr *)&addr, on_connected) != 0)
		return false;
	uv_tcp_nodelay(&tcp->handle, 1);
	return true;
}

void tcp_set_peer_timeout(struct tcp *tcp, clk_ms timeout)
{
	unsigned user_timeout = (unsigned)timeout;
	int probe_s = (int)MAX(timeout / PROBE_COUNT / CLK_SECOND, 1);
	int probes = PROBE_COUNT;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&tcp->handle, &fd) != 0)
		return;
	uv_tcp_keepalive(&tcp->handle, 1, (unsigned)probe_s);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof(probe_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
		   sizeof(user_timeout));
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Passes received bytes on. This is called from the loop, so that no owner of a
 * connection is at work, and connections may be evicted. */
static void pass_input(struct tcp *tcp, const char *ptr, size_t len)
{
	g_string_append_len(tcp->in, ptr, (gssize)len);
	tcp->ops->on_data(tcp->ctx);
	tcp_account(tcp);
	budget_enforce();
}

/* libuv also reports UV_EOF if a reset follows bytes that it has read, so the
 * socket is read until recv reports which of the two it is. Remaining bytes are
 * passed on first. */
static void read_until_end(struct tcp *tcp)
{
	uv_os_fd_t fd;
	ssize_t len = -1;

	if (uv_fileno((uv_handle_t *)&tcp->handle, &fd) == 0) {
		while ((len = recv(fd, read_buffer, sizeof(read_buffer),
				   MSG_DONTWAIT)) > 0) {
			pass_input(tcp, read_buffer, (size_t)len);
			if (tcp->closing)
				return;
		}
	}
	tcp->ops->on_end(tcp->ctx, len == 0);
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct tcp *tcp = stream->data;

	if (tcp->closing || len == 0)
		return;
	if (len < 0) {
		uv_read_stop(stream);
		if (len == UV_EOF)
			read_until_end(tcp);
		else
			tcp->ops->on_end(tcp->ctx, false);
		return;
	}
	pass_input(tcp, buf->base, (size_t)len);
}

void tcp_read_start(struct tcp *tcp)
{
	uv_read_start((uv_stream_t *)&tcp->handle, on_alloc, on_read);
}

void tcp_read_stop(struct tcp *tcp)
{
	uv_read_stop((uv_stream_t *)&tcp->handle);
}

static void on_written(uv_write_t *request, int status)
{
	struct tcp_out *out = request->data;
	struct tcp *tcp = out->tcp;

	g_queue_unlink(&tcp->outs, &out->link);
	if (!tcp->closing) {
		tcp->pending -= out->len;
		tcp->queued -= out->held;
		budget_on_bytes(&tcp->holder, out->len);
		tcp_account(tcp);
		if (status != 0)
			tcp->ops->on_end(tcp->ctx, false);
		else if (tcp->pending == 0 && tcp->ops->on_drain)
			tcp->ops->on_drain(tcp->ctx);
	}
	g_clear_pointer(&out->bytes, g_bytes_unref);
	g_free(out);
}

/* Writes what the kernel accepts at once; returns how much that was. */
static size_t write_now(struct tcp *tcp, const char *ptr, size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)ptr, (unsigned)len);
	int written;

	if (tcp->pending > 0)
		return 0;
	written = uv_try_write((uv_stream_t *)&tcp->handle, &buf, 1);
	return written > 0 ? (size_t)written : 0; /* the queued write fails */
}

/* Queues bytes and takes their reference; held: what they count for. */
static void write_later(struct tcp *tcp, GBytes *bytes, size_t held)
{
	struct tcp_out *out = g_new0(struct tcp_out, 1);
	gconstpointer ptr = g_bytes_get_data(bytes, &out->len);
	uv_buf_t buf = uv_buf_init((char *)ptr, (unsigned)out->len);

	out->bytes = bytes;
	out->held = sizeof(*out) + held;
	out->link.data = out;
	g_queue_push_tail_link(&tcp->outs, &out->link);
	out->tcp = tcp;
	out->write.data = out;
	tcp->pending += out->len;
	tcp->queued += out->held;
	tcp_account(tcp);
	uv_write(&out->write, (uv_stream_t *)&tcp->handle, &buf, 1, on_written);
}

void tcp_write(struct tcp *tcp, const char *ptr, size_t len)
{
	size_t written;

	if (tcp->closing || len == 0)
		return;
	written = write_now(tcp, ptr, len);
	if (written < len)
		write_later(tcp, g_bytes_new(ptr + written, len - written),
			    len - written);
}

void tcp_write_bytes(struct tcp *tcp, GBytes *bytes)
{
	size_t len;
	const char *ptr = g_bytes_get_data(bytes, &len);
	size_t written;

	if (tcp->closing || len == 0)
		return;
	written = write_now(tcp, ptr, len);
	if (written < len)
		write_later(
			tcp,
			g_bytes_new_from_bytes(bytes, written, len - written),
			0);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
	(void)status; /* a lost connection is reported by on_end */
	g_free(request);
}

void tcp_shutdown(struct tcp *tcp)
{
	uv_shutdown_t *request;

	if (tcp->closing || tcp->shutdown_started)
		return;
	tcp->shutdown_started = true;
	request = g_new0(uv_shutdown_t, 1);
	if (uv_shutdown(request, (uv_stream_t *)&tcp->handle, on_shutdown) != 0)
		g_free(request);
}

static void on_closed(uv_handle_t *handle)
{
	struct tcp *tcp = handle->data;

	g_string_free(tcp->in, TRUE);
	g_free(tcp);
}

/* Frees what is queued. libuv reports queued writes as cancelled only at the
 * end of the loop's iteration, in which much more may be read. */
static void outs_clear(struct tcp *tcp)
{
	for (const GList *at = tcp->outs.head; at; at = at->next) {
		struct tcp_out *out = at->data;

		g_clear_pointer(&out->bytes, g_bytes_unref);
	}
}

void tcp_close(struct tcp *tcp)
{
	if (tcp->closing)
		return;
	budget_remove(&tcp->holder);
	tcp->closing = true;
	uv_close((uv_handle_t *)&tcp->handle, on_closed);
	outs_clear(tcp);
}

void tcp_reset(struct tcp *tcp)
{
	if (tcp->closing)
		return;
	budget_remove(&tcp->holder);
	/* It fails for a connection that is being shut down. */
	if (uv_tcp_close_reset(&tcp->handle, on_closed) != 0)
		tcp_close(tcp);
	else
		outs_clear(tcp);
	tcp->closing = true;
}

size_t tcp_unread_bytes(const struct tcp *tcp)
{
	uv_os_fd_t fd;
	int len = 0;

	if (tcp->closing ||
	    uv_fileno((const uv_handle_t *)&tcp->handle, &fd) != 0 ||
	    ioctl(fd, FIONREAD, &len) != 0)
		return 0;
	return (size_t)MAX(len, 0);
}

size_t tcp_unsent_bytes(const struct tcp *tcp)
{
	const uv_stream_t *stream = (const uv_stream_t *)&tcp->handle;
	uv_os_fd_t fd;
	int len = 0;

	if (tcp->closing ||
	    uv_fileno((const uv_handle_t *)&tcp->handle, &fd) != 0)
		return 0;
	if (ioctl(fd, SIOCOUTQ, &len) != 0)
		len = 0;
	return uv_stream_get_write_queue_size(stream) + (size_t)MAX(len, 0);
}

clk_ms tcp_sent_ago(const struct tcp *tcp)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);
	uv_os_fd_t fd;

	if (tcp->closing ||
	    uv_fileno((const uv_handle_t *)&tcp->handle, &fd) != 0 ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return CLK_NEVER;
	return info.tcpi_last_data_sent;
}

bool tcp_input_waits(const struct tcp *tcp)
{
	uv_os_fd_t fd;
	char byte;

	return tcp->closing ||
	       uv_fileno((const uv_handle_t *)&tcp->handle, &fd) != 0 ||
	       recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
	       (errno != EAGAIN && errno != EINTR);
}

/* Whether any of the events is pending at a handle's socket. */
static bool poll_events(const uv_handle_t *handle, short events)
{
	struct pollfd waiting = { .events = events };
	uv_os_fd_t fd;

	if (uv_fileno(handle, &fd) != 0)
		return false;
	waiting.fd = fd;
	return poll(&waiting, 1, 0) > 0;
}

bool tcp_peer_closed(const struct tcp *tcp)
{
	return !tcp->closing &&
	       poll_events((const uv_handle_t *)&tcp->handle, POLLRDHUP);
}

void tcp_consume(struct tcp *tcp, size_t len)
{
	g_string_erase(tcp->in, 0, (gssize)len);
	if (tcp->in->len == 0 && tcp->in->allocated_len > INPUT_KEEP_BYTES) {
		g_string_free(tcp->in, TRUE);
		tcp->in = g_string_sized_new(0);
	}
}

void tcp_discard(struct tcp *tcp)
{
	tcp_consume(tcp, tcp->in->len);
	tcp_account(tcp);
}

bool tcp_listen(uv_loop_t *loop, uv_tcp_t *listener, const char *address,
		uv_connection_cb fn, GError **error)
{
	struct sockaddr_in addr;
	int code = UV_EINVAL;

	uv_tcp_init(loop, listener);
	if (tcp_parse_address(address, &addr)) {
		code = uv_tcp_bind(listener, (const struct sockaddr *)&addr, 0);
		tcp_limit_listener(listener);
		if (code == 0)
			code = uv_listen((uv_stream_t *)listener,
					 LISTEN_BACKLOG, fn);
	}
	if (code == 0)
		return true;
	g_set_error(error, g_quark_from_static_string("tcp"), code,
		    "cannot listen on \"%s\": %s", address, uv_strerror(code));
	return false;
}

void tcp_limit_listener(const uv_tcp_t *listener)
{
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)listener, &fd) == 0)
		budget_set_listener_window(fd);
}

bool tcp_accept_is_due(const uv_tcp_t *listener)
{
	return poll_events((const uv_handle_t *)listener, POLLIN);
}
