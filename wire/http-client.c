/* HTTP client over h2o's client; one connection per fetch. */
#include "due.h"
#include "h1.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdlib.h>
#include <string.h>

#define SOCKET_IO_TIMEOUT_MS 600000 /* fetches use their own timers */

struct http_client {
	uv_loop_t *loop;
	h2o_http1client_ctx_t context;
	h2o_timeout_t io_timeout;
	h2o_timeout_t zero_timeout;
};

/* What ends the body of a response. */
enum framing {
	FRAMING_CLOSE, /* the end of the connection */
	FRAMING_LENGTH,
	FRAMING_CHUNKS,
	FRAMING_CONTRADICTORY, /* both: h2o's decoder can't read the body */
};

struct http_fetch {
	struct http_client *client;
	struct http_fetch_spec spec;
	h2o_http1client_t *h2o;
	h2o_iovec_t request[2]; /* head, body */
	struct due_timer timer;
	clk_ms deadline; /* loop time; 0: none */
	int status;
	enum framing framing;
	bool connected;
	bool is_event_stream;  /* by the response's content type */
	bool is_json;	       /* by the response's content type */
	bool in_callback;      /* h2o is the caller and closes by itself */
	bool deferred_failure; /* on_done will be called from the timer */
};

static void fetch_on_timer(void *ctx);

struct http_client *http_client_create(uv_loop_t *loop)
{
	struct http_client *client = g_new0(struct http_client, 1);

	client->loop = loop;
	h2o_timeout_init(loop, &client->io_timeout, SOCKET_IO_TIMEOUT_MS);
	h2o_timeout_init(loop, &client->zero_timeout, 0);
	client->context = (h2o_http1client_ctx_t){
		.loop = loop,
		.io_timeout = &client->io_timeout,
	};
	return client;
}

/* Frees a fetch after its timer is closed. */
static void fetch_on_closed(void *ctx)
{
	struct http_fetch *fetch = ctx;

	g_free(fetch->request[0].base);
	if (fetch->spec.body)
		g_bytes_unref(fetch->spec.body);
	g_free(fetch);
}

/* Closes the timer, which frees the fetch. */
static void fetch_free(struct http_fetch *fetch)
{
	due_close(&fetch->timer, fetch_on_closed);
}

/* Reports the result of a fetch to its owner and frees it. */
static void fetch_finish(struct http_fetch *fetch, enum http_result result)
{
	fetch->h2o = NULL;
	fetch->spec.on_done(fetch->spec.ctx, result, fetch->status);
	fetch_free(fetch);
}

/* Starts the timer for the earlier of deadline and idle timeout. */
static void fetch_start_timer(struct http_fetch *fetch)
{
	clk_ms now = (clk_ms)uv_now(fetch->client->loop);
	clk_ms wait = CLK_NEVER;

	if (fetch->deadline)
		wait = MAX(fetch->deadline - now, 1);
	if (fetch->spec.idle_timeout)
		wait = MIN(wait, fetch->spec.idle_timeout);
	if (wait != CLK_NEVER)
		due_start(&fetch->timer, wait, 0);
}

/* Passes received bytes to on_data; returns false if it cancelled the fetch. */
static bool fetch_consume_input(struct http_fetch *fetch)
{
	h2o_socket_t *sock = fetch->h2o->sock;
	size_t len = sock->input->size;

	if (len == 0)
		return true;
	fetch_start_timer(fetch);
	fetch->in_callback = true;
	fetch->spec.on_data(fetch->spec.ctx, sock->input->bytes, len);
	fetch->in_callback = false;
	if (!fetch->h2o)
		return false;
	h2o_buffer_consume(&sock->input, len);
	return true;
}

/*
 * Returns the result of a fetch for which h2o reports the end of the body.
 *
 * h2o reports it also for a connection that was closed between two chunks. No
 * bytes were read then, while the last chunk is always read.
 */
static enum http_result fetch_result_at_end(const struct http_fetch *fetch)
{
	if (fetch->framing == FRAMING_CLOSE)
		return HTTP_UNFRAMED;
	if (fetch->framing == FRAMING_CHUNKS &&
	    fetch->h2o->sock->bytes_read == 0)
		return HTTP_TRUNCATED;
	return HTTP_COMPLETE;
}

/* Called by h2o for each chunk of the body and for its end. */
static int fetch_on_body(h2o_http1client_t *h2o, const char *errstr)
{
	struct http_fetch *fetch = h2o->data;

	if (!fetch_consume_input(fetch))
		return -1;
	if (errstr == h2o_http1client_error_is_eos)
		fetch_finish(fetch, fetch_result_at_end(fetch));
	else if (errstr)
		fetch_finish(fetch, HTTP_TRUNCATED);
	return 0;
}

/* Returns the value of a header, or NULL. */
static const h2o_iovec_t *header_find(const h2o_header_t *headers, size_t count,
				      const char *name)
{
	for (size_t i = 0; i < count; i++)
		if (h2o_lcstris(headers[i].name->base, headers[i].name->len,
				name, strlen(name)))
			return &headers[i].value;
	return NULL;
}

/* Whether a header's value contains a text; value may be NULL. */
static bool header_contains(const h2o_iovec_t *value, const char *text)
{
	return value && g_strstr_len(value->base, (gssize)value->len, text);
}

/* Returns what ends the body. */
static enum framing headers_framing(const h2o_header_t *headers, size_t count)
{
	const h2o_iovec_t *coding =
		header_find(headers, count, "transfer-encoding");
	bool length = header_find(headers, count, "content-length") != NULL;

	if (coding &&
	    h2o_lcstris(coding->base, coding->len, H2O_STRLIT("chunked")))
		return length ? FRAMING_CONTRADICTORY : FRAMING_CHUNKS;
	return length ? FRAMING_LENGTH : FRAMING_CLOSE;
}

/* Stores the properties of the response that its headers tell. */
static void fetch_set_headers(struct http_fetch *fetch,
			      const h2o_header_t *headers, size_t count)
{
	const h2o_iovec_t *type = header_find(headers, count, "content-type");

	fetch->framing = headers_framing(headers, count);
	fetch->is_event_stream = header_contains(type, "text/event-stream");
	fetch->is_json = header_contains(type, "application/json");
}

bool http_result_may_be_whole(enum http_result result)
{
	return result == HTTP_COMPLETE || result == HTTP_UNFRAMED;
}

bool http_fetch_is_json(const struct http_fetch *fetch)
{
	return fetch->is_json;
}

bool http_fetch_is_event_stream(const struct http_fetch *fetch)
{
	return fetch->is_event_stream;
}

/* Called by h2o with the response's head. */
static h2o_http1client_body_cb
fetch_on_head(h2o_http1client_t *h2o, const char *errstr, int minor_version,
	      int status, h2o_iovec_t msg, h2o_header_t *headers,
	      size_t num_headers, int rlen)
{
	struct http_fetch *fetch = h2o->data;

	(void)minor_version;
	(void)msg;
	(void)rlen;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		fetch_finish(fetch, HTTP_TRUNCATED);
		return NULL;
	}
	fetch_set_headers(fetch, headers, num_headers);
	if (!h1_status_is_valid(status) ||
	    fetch->framing == FRAMING_CONTRADICTORY) {
		fetch_finish(fetch, HTTP_TRUNCATED);
		return NULL;
	}
	fetch->status = status;
	fetch_start_timer(fetch);
	fetch->in_callback = true;
	if (fetch->spec.on_head)
		fetch->spec.on_head(fetch->spec.ctx, status);
	fetch->in_callback = false;
	if (!fetch->h2o)
		return NULL;
	if (errstr) {
		fetch_finish(fetch, HTTP_COMPLETE);
		return NULL;
	}
	return fetch_on_body;
}

/* Called by h2o when connected, to get the request. */
static h2o_http1client_head_cb
fetch_on_connect(h2o_http1client_t *h2o, const char *errstr,
		 h2o_iovec_t **reqbufs, size_t *reqbufcnt, int *method_is_head)
{
	struct http_fetch *fetch = h2o->data;

	if (errstr) {
		fetch_finish(fetch, HTTP_CONNECT_FAILED);
		return NULL;
	}
	fetch->connected = true;
	*reqbufs = fetch->request;
	*reqbufcnt = fetch->spec.body ? 2 : 1;
	*method_is_head = 0;
	return fetch_on_head;
}

/* Handles a timeout, or reports a deferred failure. */
static void fetch_on_timer(void *ctx)
{
	struct http_fetch *fetch = ctx;
	h2o_http1client_t *h2o = fetch->h2o;

	if (fetch->deferred_failure) {
		fetch_finish(fetch, HTTP_CONNECT_FAILED);
		return;
	}
	if (h2o)
		h2o_http1client_cancel(h2o);
	fetch_finish(fetch,
		     fetch->connected ? HTTP_TIMEOUT : HTTP_CONNECT_FAILED);
}

/* Builds the request's head; the caller frees its base. */
static h2o_iovec_t fetch_build_head(const struct http_fetch_spec *spec)
{
	GString *head = g_string_new(NULL);

	g_string_append_printf(head, "%s %s HTTP/1.1\r\nhost: %s\r\n",
			       spec->method, spec->path, spec->address);
	g_string_append(head, "connection: close\r\n");
	if (spec->headers)
		g_string_append(head, spec->headers);
	if (spec->body)
		g_string_append_printf(head, "content-length: %zu\r\n",
				       g_bytes_get_size(spec->body));
	g_string_append(head, "\r\n");
	return h2o_iovec_init(head->str, head->len);
}

/* Splits "IP:port"; returns the port, or 0 if there is none. */
static uint16_t address_split(const char *address, h2o_iovec_t *host)
{
	const char *colon = strrchr(address, ':');

	if (!colon)
		return 0;
	*host = h2o_iovec_init(address, (size_t)(colon - address));
	return (uint16_t)strtoul(colon + 1, NULL, 10);
}

struct http_fetch *http_fetch_start(struct http_client *client,
				    const struct http_fetch_spec *spec)
{
	struct http_fetch *fetch = g_new0(struct http_fetch, 1);
	h2o_iovec_t host = { NULL, 0 };
	uint16_t port = address_split(spec->address, &host);

	fetch->client = client;
	fetch->spec = *spec;
	fetch->request[0] = fetch_build_head(spec);
	if (spec->body) {
		gsize len;
		const void *data = g_bytes_get_data(spec->body, &len);

		fetch->request[1] = h2o_iovec_init(data, len);
		g_bytes_ref(spec->body);
	}
	due_init(client->loop, &fetch->timer, fetch_on_timer, fetch);
	if (port == 0) {
		fetch->deferred_failure = true;
		due_start(&fetch->timer, 0, 0);
		return fetch;
	}
	if (spec->timeout)
		fetch->deadline = (clk_ms)uv_now(client->loop) + spec->timeout;
	fetch_start_timer(fetch);
	h2o_http1client_connect(&fetch->h2o, fetch, &client->context, host,
				port, 0, fetch_on_connect);
	return fetch;
}

void http_fetch_cancel(struct http_fetch *fetch)
{
	h2o_http1client_t *h2o = fetch->h2o;

	fetch->h2o = NULL;
	if (h2o && !fetch->in_callback)
		h2o_http1client_cancel(h2o);
	fetch_free(fetch);
}
