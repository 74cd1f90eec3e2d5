/* HTTP server over h2o's server; requests may be answered later. */
#include "http.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <string.h>

#include "../decide/err.h"
#include "http-held.h"
#include "tcp.h"

#define LISTEN_BACKLOG 1024   /* connections */
#define IDLE_TIMEOUT_MS 30000 /* between requests on a connection */

struct http_server {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	struct http_server_options options;
	struct http_held *held;
	int port;
	size_t open_requests;
	bool stopped;
};

/* An h2o handler with a pointer to its server. */
struct http_handler {
	h2o_handler_t super;
	struct http_server *server;
};

/* An h2o filter with a pointer to its server. */
struct http_filter {
	h2o_filter_t super;
	struct http_server *server;
};

struct http_request {
	h2o_generator_t generator;
	h2o_req_t *req;
	struct http_server *server;
	struct http_held_conn *held;
	GString *pending;  /* queued, not yet passed to h2o */
	GString *inflight; /* passed to h2o */
	bool sending;	   /* h2o is writing inflight */
	bool ended;	   /* ended or aborted by the owner */
	bool final_sent;
	bool abort_requested;
	bool disconnected;
	void (*disconnect_fn)(void *ctx);
	void *disconnect_ctx;
};

static void request_on_proceed(h2o_generator_t *self, h2o_req_t *req);
static void request_on_stop(h2o_generator_t *self, h2o_req_t *req);

/* Reports the caller's disconnect to the owner, once. */
static void request_notify_disconnect(struct http_request *request)
{
	void (*fn)(void *ctx) = request->disconnect_fn;

	request->disconnect_fn = NULL;
	if (fn && !request->ended)
		fn(request->disconnect_ctx);
}

/* Frees a request; called by h2o when it disposes of its own. */
static void request_dispose(void *ptr)
{
	struct http_request *request = ptr;

	request_notify_disconnect(request);
	request->server->open_requests--;
	http_held_end(request->held);
	g_string_free(request->pending, TRUE);
	g_string_free(request->inflight, TRUE);
}

/* Wraps an h2o request and passes it to the server's owner. */
static int handler_on_req(h2o_handler_t *self, h2o_req_t *req)
{
	struct http_server *server = ((struct http_handler *)self)->server;
	struct http_request *request = h2o_mem_alloc_shared(
		&req->pool, sizeof(*request), request_dispose);

	*request = (struct http_request){
		.generator = { request_on_proceed, request_on_stop },
		.req = req,
		.server = server,
		.pending = g_string_new(NULL),
		.inflight = g_string_new(NULL),
		.held = http_held_begin(
			server->held,
			req->conn->callbacks->get_socket(req->conn)),
	};
	server->open_requests++;
	server->options.on_request(server->options.ctx, request);
	return 0;
}

/* Accepts a connection and passes it to h2o. */
static void listener_on_connection(uv_stream_t *listener, int status)
{
	struct http_server *server = listener->data;
	struct http_held_conn *held;
	h2o_socket_t *sock;
	uv_tcp_t *conn;

	if (status != 0 || !http_held_may_accept(server->held))
		return;
	conn = h2o_mem_alloc(sizeof(*conn));
	uv_tcp_init(listener->loop, conn);
	held = uv_accept(listener, (uv_stream_t *)conn) == 0
		       ? http_held_accept(server->held, conn)
		       : NULL;
	if (!held) {
		uv_close((uv_handle_t *)conn, (uv_close_cb)free);
		return;
	}
	uv_tcp_nodelay(conn, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)conn, (uv_close_cb)free);
	http_held_add(held, sock);
	h2o_accept(&server->accept, sock);
}

/* Binds and listens; returns 0 or a libuv error. */
static int server_listen(struct http_server *server, uv_loop_t *loop)
{
	struct sockaddr_in addr;
	struct sockaddr_in bound;
	int bound_len = sizeof(bound);
	int rc = uv_ip4_addr(server->options.address, server->options.port,
			     &addr);

	if (rc != 0)
		return rc;
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (struct sockaddr *)&addr, 0);
	tcp_limit_listener(&server->listener);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
			       listener_on_connection);
	if (rc != 0)
		return rc;
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&bound,
			   &bound_len);
	server->port = ntohs(bound.sin_port);
	return 0;
}

/* Builds the JSON error body for a request that h2o itself rejects. */
static h2o_iovec_t rejection_body(h2o_req_t *req)
{
	const struct err_answer *reason =
		err_answer(req->res.status == 413 ? RW_ETOOLARGE : RW_EBADHTTP);

	return h2o_concat(&req->pool,
			  h2o_iovec_init(H2O_STRLIT("{\"error\":\"")),
			  h2o_iovec_init(reason->name, strlen(reason->name)),
			  h2o_iovec_init(H2O_STRLIT("\",\"text\":\"")),
			  h2o_iovec_init(reason->text, strlen(reason->text)),
			  h2o_iovec_init(H2O_STRLIT("\",\"ran\":\"no\"}\n")));
}

/* Sends the JSON error body in place of h2o's text. */
static void rejection_do_send(h2o_ostream_t *self, h2o_req_t *req,
			      h2o_iovec_t *bufs, size_t count,
			      h2o_send_state_t state)
{
	h2o_iovec_t body = rejection_body(req);

	(void)bufs;
	(void)count;
	(void)state;
	h2o_ostream_send_next(self, req, &body, 1, H2O_SEND_STATE_FINAL);
}

/* Replaces error responses made by h2o itself, which are the only ones of type
 * text/plain. */
static void rejection_on_setup(h2o_filter_t *self, h2o_req_t *req,
			       h2o_ostream_t **slot)
{
	struct http_server *server = ((struct http_filter *)self)->server;
	ssize_t at =
		h2o_find_header(&req->res.headers, H2O_TOKEN_CONTENT_TYPE, -1);
	h2o_header_t *type = at < 0 ? NULL : &req->res.headers.entries[at];

	if (req->res.status >= 400 && type &&
	    h2o_memis(type->value.base, type->value.len,
		      H2O_STRLIT("text/plain; charset=utf-8"))) {
		type->value = h2o_iovec_init(H2O_STRLIT("application/json"));
		req->res.content_length = rejection_body(req).len;
		if (server->options.on_rejected)
			server->options.on_rejected(server->options.ctx,
						    req->res.status);
		h2o_add_ostream(req, sizeof(h2o_ostream_t), slot)->do_send =
			rejection_do_send;
		slot = &(*slot)->next;
	}
	h2o_setup_next_ostream(req, slot);
}

/* Adds the filter for h2o's own error responses to a path. */
static void rejection_register(struct http_server *server, h2o_pathconf_t *path)
{
	struct http_filter *filter =
		(struct http_filter *)h2o_create_filter(path, sizeof(*filter));

	filter->super.on_setup_ostream = rejection_on_setup;
	filter->server = server;
}

/* Fills h2o's configuration: one host, one path, one handler. */
static void server_configure(struct http_server *server)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct http_handler *handler;

	h2o_config_init(&server->config);
	server->config.max_request_entity_size = server->options.max_body;
	server->config.http1.req_timeout = IDLE_TIMEOUT_MS;
	/* The bodies of an HTTP/2 connection are not counted by
	 * wire/http-held. */
	server->config.http1.upgrade_to_http2 = 0;
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct http_handler *)h2o_create_handler(path,
							    sizeof(*handler));
	handler->super.on_req = handler_on_req;
	handler->server = server;
	rejection_register(server, path);
	rejection_register(server, &host->fallback_path);
}

struct http_server *http_server_create(uv_loop_t *loop,
				       const struct http_server_options *opt,
				       GError **error)
{
	struct http_server *server = g_new0(struct http_server, 1);
	int rc;

	server->options = *opt;
	server_configure(server);
	server->held = http_held_create(loop, (uv_stream_t *)&server->listener,
					listener_on_connection);
	h2o_context_init(&server->context, loop, &server->config);
	server->accept = (h2o_accept_ctx_t){
		.ctx = &server->context,
		.hosts = server->config.hosts,
	};
	rc = server_listen(server, loop);
	if (rc == 0)
		return server;
	g_set_error(error, g_quark_from_static_string("http"), rc,
		    "cannot listen on %s:%d: %s", opt->address, opt->port,
		    uv_strerror(rc));
	return NULL; /* the process exits: h2o's state is not freed */
}

int http_server_port(const struct http_server *server)
{
	return server->port;
}

void http_server_stop(struct http_server *server)
{
	if (server->stopped)
		return;
	server->stopped = true;
	http_held_stop(server->held);
	uv_close((uv_handle_t *)&server->listener, NULL);
	h2o_context_request_shutdown(&server->context);
}

bool http_server_stopped(const struct http_server *server)
{
	return server->stopped;
}

size_t http_server_open_requests(const struct http_server *server)
{
	return server->open_requests;
}

struct http_view http_request_method(const struct http_request *request)
{
	return (struct http_view){ request->req->method.base,
				   request->req->method.len };
}

struct http_view http_request_path(const struct http_request *request)
{
	const h2o_req_t *req = request->req;
	size_t len = req->query_at == SIZE_MAX ? req->path.len : req->query_at;

	return (struct http_view){ req->path.base, len };
}

struct http_view http_request_body(const struct http_request *request)
{
	return (struct http_view){ request->req->entity.base,
				   request->req->entity.len };
}

struct http_view http_request_header(const struct http_request *request,
				     const char *name)
{
	ssize_t at = h2o_find_header_by_str(&request->req->headers, name,
					    strlen(name), -1);
	const h2o_header_t *header;

	if (at < 0)
		return (struct http_view){ "", 0 };
	header = &request->req->headers.entries[at];
	return (struct http_view){ header->value.base, header->value.len };
}

char *http_request_query(const struct http_request *request, const char *name)
{
	const h2o_req_t *req = request->req;
	char *query;
	char **pairs;
	char *found = NULL;
	size_t name_len = strlen(name);

	if (req->query_at == SIZE_MAX)
		return NULL;
	query = g_strndup(req->path.base + req->query_at + 1,
			  req->path.len - req->query_at - 1);
	pairs = g_strsplit(query, "&", -1);
	for (char **pair = pairs; *pair && !found; pair++)
		if (!strncmp(*pair, name, name_len) && (*pair)[name_len] == '=')
			found = g_uri_unescape_string(*pair + name_len + 1,
						      NULL);
	g_strfreev(pairs);
	g_free(query);
	return found;
}

void http_request_on_disconnect(struct http_request *request,
				void (*fn)(void *ctx), void *ctx)
{
	request->disconnect_fn = fn;
	request->disconnect_ctx = ctx;
}

void http_response_add_header(struct http_request *request, const char *name,
			      const char *value)
{
	h2o_req_t *req = request->req;
	h2o_iovec_t name_copy = h2o_strdup(&req->pool, name, SIZE_MAX);
	h2o_iovec_t value_copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base,
			      name_copy.len, 0, NULL, value_copy.base,
			      value_copy.len);
}

/* Sets status and content type of the response. */
static void response_set_head(struct http_request *request, int status,
			      const char *type)
{
	request->req->res.status = status;
	request->req->res.reason = "-";
	http_response_add_header(request, "content-type", type);
}

void http_response_send(struct http_request *request, int status,
			const char *type, const char *body, size_t len)
{
	response_set_head(request, status, type);
	request->req->res.content_length = len;
	request->ended = true;
	request->final_sent = true;
	h2o_send_inline(request->req, body, len);
}

/* Passes queued bytes to h2o if it is ready for more. */
static void response_flush(struct http_request *request)
{
	GString *ready;
	h2o_iovec_t buf;
	bool final = request->ended;

	if (request->sending || request->final_sent || request->disconnected ||
	    request->abort_requested)
		return;
	if (request->pending->len == 0 && !final)
		return;
	ready = request->pending;
	request->pending = request->inflight;
	request->inflight = ready;
	g_string_truncate(request->pending, 0);
	request->sending = true;
	request->final_sent = final;
	buf = h2o_iovec_init(ready->str, ready->len);
	h2o_send(request->req, &buf, ready->len ? 1 : 0,
		 final ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/* Called by h2o when it has written inflight. */
static void request_on_proceed(h2o_generator_t *self, h2o_req_t *req)
{
	struct http_request *request = (struct http_request *)self;

	(void)req;
	request->sending = false;
	if (request->abort_requested)
		http_response_abort(request);
	else
		response_flush(request);
}

/* Called by h2o when the connection is lost during a streamed response. */
static void request_on_stop(h2o_generator_t *self, h2o_req_t *req)
{
	struct http_request *request = (struct http_request *)self;

	(void)req;
	request->disconnected = true;
	request_notify_disconnect(request);
}

void http_response_omit_framing(struct http_request *request)
{
	request->req->version = 0x100; /* HTTP/1.0 has no chunks */
	request->req->http1_is_persistent = 0;
}

void http_response_start(struct http_request *request, int status,
			 const char *type)
{
	response_set_head(request, status, type);
	h2o_start_response(request->req, &request->generator);
}

void http_response_write(struct http_request *request, const char *ptr,
			 size_t len)
{
	g_string_append_len(request->pending, ptr, (gssize)len);
	response_flush(request);
	http_held_set_output(request->held,
			     request->pending->len + request->inflight->len);
}

void http_response_end(struct http_request *request)
{
	request->ended = true;
	response_flush(request);
}

void http_response_abort(struct http_request *request)
{
	if (request->final_sent || request->disconnected)
		return;
	request->ended = true;
	request->abort_requested = true;
	if (request->sending)
		return; /* request_on_proceed aborts after inflight */
	request->final_sent = true;
	h2o_send(request->req, NULL, 0, H2O_SEND_STATE_ERROR);
}
