/* The HTTP server: h2o's server with calls that may be answered later. */
#include "http.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <string.h>

#include "../decide/err.h"

#define LISTEN_BACKLOG 1024   /* connections */
#define IDLE_TIMEOUT_MS 30000 /* ms between requests of one connection */

struct http_server {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	struct http_server_options options;
	int port;
	size_t open_calls;
	bool stopped;
};

/* h2o's handler with a way back to the server. */
struct http_handler {
	h2o_handler_t super;
	struct http_server *server;
};

/* h2o's filter with a way back to the server. */
struct http_filter {
	h2o_filter_t super;
	struct http_server *server;
};

struct http_request {
	h2o_generator_t generator;
	h2o_req_t *req;
	struct http_server *server;
	GString *pending;  /* queued, not yet given to h2o */
	GString *inflight; /* given to h2o */
	bool sending;	   /* h2o has bytes it has not asked more after */
	bool ended;	   /* http_response_end was called */
	bool final_sent;
	bool cut; /* http_response_abort was called */
	bool aborted;
	void (*close_fn)(void *ctx);
	void *close_ctx;
};

static void call_proceed(h2o_generator_t *self, h2o_req_t *req);
static void call_stop(h2o_generator_t *self, h2o_req_t *req);

/* Tells the owner of a call, once, that its caller is gone. */
static void call_notify_close(struct http_request *call)
{
	void (*fn)(void *ctx) = call->close_fn;

	call->close_fn = NULL;
	if (fn && !call->ended)
		fn(call->close_ctx);
}

/* Frees a call; h2o calls it when it disposes of the request. */
static void call_dispose(void *ptr)
{
	struct http_request *call = ptr;

	call_notify_close(call);
	call->server->open_calls--;
	g_string_free(call->pending, TRUE);
	g_string_free(call->inflight, TRUE);
}

/* Makes a call of an h2o request and hands it to the server's owner. */
static int handler_on_req(h2o_handler_t *self, h2o_req_t *req)
{
	struct http_server *server = ((struct http_handler *)self)->server;
	struct http_request *call =
		h2o_mem_alloc_shared(&req->pool, sizeof(*call), call_dispose);

	*call = (struct http_request){
		.generator = { call_proceed, call_stop },
		.req = req,
		.server = server,
		.pending = g_string_new(NULL),
		.inflight = g_string_new(NULL),
	};
	server->open_calls++;
	server->options.on_request(server->options.ctx, call);
	return 0;
}

/* Hands one accepted connection to h2o. */
static void listener_on_connection(uv_stream_t *listener, int status)
{
	struct http_server *server = listener->data;
	uv_tcp_t *conn;

	if (status != 0)
		return;
	conn = h2o_mem_alloc(sizeof(*conn));
	uv_tcp_init(listener->loop, conn);
	if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
		uv_close((uv_handle_t *)conn, (uv_close_cb)free);
		return;
	}
	uv_tcp_nodelay(conn, 1);
	h2o_accept(&server->accept, h2o_uv_socket_create((uv_stream_t *)conn,
							 (uv_close_cb)free));
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

/* The answer in the closed list's form to what h2o itself refuses. */
static h2o_iovec_t refusal_body(h2o_req_t *req)
{
	const struct err_answer *answer =
		err_answer(req->res.status == 413 ? RW_ETOOLARGE : RW_EBADHTTP);

	return h2o_concat(&req->pool,
			  h2o_iovec_init(H2O_STRLIT("{\"error\":\"")),
			  h2o_iovec_init(answer->name, strlen(answer->name)),
			  h2o_iovec_init(H2O_STRLIT("\",\"text\":\"")),
			  h2o_iovec_init(answer->text, strlen(answer->text)),
			  h2o_iovec_init(H2O_STRLIT("\",\"ran\":\"no\"}\n")));
}

/* Sends the refusal in place of h2o's own text. */
static void refusal_do_send(h2o_ostream_t *self, h2o_req_t *req,
			    h2o_iovec_t *bufs, size_t count,
			    h2o_send_state_t state)
{
	h2o_iovec_t body = refusal_body(req);

	(void)bufs;
	(void)count;
	(void)state;
	h2o_ostream_send_next(self, req, &body, 1, H2O_SEND_STATE_FINAL);
}

/* Catches answers that h2o made by itself: only those are text/plain. */
static void refusal_on_setup(h2o_filter_t *self, h2o_req_t *req,
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
		req->res.content_length = refusal_body(req).len;
		if (server->options.on_rejected)
			server->options.on_rejected(server->options.ctx,
						    req->res.status);
		h2o_add_ostream(req, sizeof(h2o_ostream_t), slot)->do_send =
			refusal_do_send;
		slot = &(*slot)->next;
	}
	h2o_setup_next_ostream(req, slot);
}

/* Adds the filter for h2o's own answers to a path. */
static void refusal_register(struct http_server *server, h2o_pathconf_t *path)
{
	struct http_filter *filter =
		(struct http_filter *)h2o_create_filter(path, sizeof(*filter));

	filter->super.on_setup_ostream = refusal_on_setup;
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
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct http_handler *)h2o_create_handler(path,
							    sizeof(*handler));
	handler->super.on_req = handler_on_req;
	handler->server = server;
	refusal_register(server, path);
	refusal_register(server, &host->fallback_path);
}

struct http_server *http_server_create(uv_loop_t *loop,
				       const struct http_server_options *opt,
				       GError **error)
{
	struct http_server *server = g_new0(struct http_server, 1);
	int rc;

	server->options = *opt;
	server_configure(server);
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
	return NULL; /* the program ends: h2o's parts are not undone */
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
	uv_close((uv_handle_t *)&server->listener, NULL);
	h2o_context_request_shutdown(&server->context);
}

bool http_server_stopped(const struct http_server *server)
{
	return server->stopped;
}

size_t http_server_open_requests(const struct http_server *server)
{
	return server->open_calls;
}

struct http_view http_request_method(const struct http_request *call)
{
	return (struct http_view){ call->req->method.base,
				   call->req->method.len };
}

struct http_view http_request_path(const struct http_request *call)
{
	const h2o_req_t *req = call->req;
	size_t len = req->query_at == SIZE_MAX ? req->path.len : req->query_at;

	return (struct http_view){ req->path.base, len };
}

struct http_view http_request_body(const struct http_request *call)
{
	return (struct http_view){ call->req->entity.base,
				   call->req->entity.len };
}

struct http_view http_request_header(const struct http_request *call,
				     const char *name)
{
	ssize_t at = h2o_find_header_by_str(&call->req->headers, name,
					    strlen(name), -1);
	const h2o_header_t *header;

	if (at < 0)
		return (struct http_view){ "", 0 };
	header = &call->req->headers.entries[at];
	return (struct http_view){ header->value.base, header->value.len };
}

char *http_request_query(const struct http_request *call, const char *name)
{
	const h2o_req_t *req = call->req;
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

void http_request_on_disconnect(struct http_request *call,
				void (*fn)(void *ctx), void *ctx)
{
	call->close_fn = fn;
	call->close_ctx = ctx;
}

void http_response_add_header(struct http_request *call, const char *name,
			      const char *value)
{
	h2o_req_t *req = call->req;
	h2o_iovec_t name_copy = h2o_strdup(&req->pool, name, SIZE_MAX);
	h2o_iovec_t value_copy = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base,
			      name_copy.len, 0, NULL, value_copy.base,
			      value_copy.len);
}

/* Sets status and type of the answer. */
static void call_set_head(struct http_request *call, int status,
			  const char *type)
{
	call->req->res.status = status;
	call->req->res.reason = "-";
	http_response_add_header(call, "content-type", type);
}

void http_response_send(struct http_request *call, int status, const char *type,
			const char *body, size_t len)
{
	call_set_head(call, status, type);
	call->req->res.content_length = len;
	call->ended = true;
	call->final_sent = true;
	h2o_send_inline(call->req, body, len);
}

/* Gives h2o what is queued, if it is ready for more. */
static void call_flush(struct http_request *call)
{
	GString *full;
	h2o_iovec_t buf;
	bool final = call->ended;

	if (call->sending || call->final_sent || call->aborted || call->cut)
		return;
	if (call->pending->len == 0 && !final)
		return;
	full = call->pending;
	call->pending = call->inflight;
	call->inflight = full;
	g_string_truncate(call->pending, 0);
	call->sending = true;
	call->final_sent = final;
	buf = h2o_iovec_init(full->str, full->len);
	h2o_send(call->req, &buf, full->len ? 1 : 0,
		 final ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/* h2o wrote all it had and takes more. */
static void call_proceed(h2o_generator_t *self, h2o_req_t *req)
{
	struct http_request *call = (struct http_request *)self;

	(void)req;
	call->sending = false;
	if (call->cut)
		http_response_abort(call);
	else
		call_flush(call);
}

/* The caller's connection broke while the answer was streamed. */
static void call_stop(h2o_generator_t *self, h2o_req_t *req)
{
	struct http_request *call = (struct http_request *)self;

	(void)req;
	call->aborted = true;
	call_notify_close(call);
}

void http_response_start(struct http_request *call, int status,
			 const char *type)
{
	call_set_head(call, status, type);
	h2o_start_response(call->req, &call->generator);
}

void http_response_write(struct http_request *call, const char *ptr, size_t len)
{
	g_string_append_len(call->pending, ptr, (gssize)len);
	call_flush(call);
}

void http_response_end(struct http_request *call)
{
	call->ended = true;
	call_flush(call);
}

void http_response_abort(struct http_request *call)
{
	if (call->final_sent || call->aborted)
		return;
	call->ended = true;
	call->cut = true;
	if (call->sending)
		return; /* h2o takes it when it has written the last part */
	call->final_sent = true;
	h2o_send(call->req, NULL, 0, H2O_SEND_STATE_ERROR);
}
