/* HTTP/1.1 messages: heads and body framing. */
#include "h1.h"

#include <string.h>

#define NUMBER_DIGITS_MAX 18 /* fit in an int64_t */

/* libh2o exports picohttpparser, but its package lacks the header. */
struct phr_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
};

int phr_parse_request(const char *buf, size_t len, const char **method,
		      size_t *method_len, const char **path, size_t *path_len,
		      int *minor_version, struct phr_header *headers,
		      size_t *num_headers, size_t last_len);
int phr_parse_response(const char *buf, size_t len, int *minor_version,
		       int *status, const char **msg, size_t *msg_len,
		       struct phr_header *headers, size_t *num_headers,
		       size_t last_len);
ssize_t phr_decode_chunked(struct h1_chunk_decoder *decoder, char *buf,
			   size_t *size);

bool h1_view_equals(struct http_view view, const char *text)
{
	return view.len == strlen(text) &&
	       g_ascii_strncasecmp(view.ptr, text, view.len) == 0;
}

int64_t h1_view_parse_number(struct http_view view)
{
	int64_t number = 0;

	if (view.len == 0 || view.len > NUMBER_DIGITS_MAX)
		return -1;
	for (size_t i = 0; i < view.len; i++) {
		if (!g_ascii_isdigit(view.ptr[i]))
			return -1;
		number = number * 10 + (view.ptr[i] - '0');
	}
	return number;
}

struct http_view h1_header_value(const struct h1_head *head, const char *name)
{
	for (size_t i = 0; i < head->header_count; i++)
		if (h1_view_equals(head->headers[i].name, name))
			return head->headers[i].value;
	return (struct http_view){ NULL, 0 };
}

/* Whether a comma-separated list contains a token, ignoring case. */
static bool list_contains(struct http_view list, struct http_view token)
{
	size_t start = 0;

	while (start <= list.len && list.len > 0) {
		size_t end = start;
		struct http_view item;

		while (end < list.len && list.ptr[end] != ',')
			end++;
		item = (struct http_view){ list.ptr + start, end - start };
		while (item.len && g_ascii_isspace(item.ptr[0]))
			item.ptr++, item.len--;
		while (item.len && g_ascii_isspace(item.ptr[item.len - 1]))
			item.len--;
		if (item.len == token.len &&
		    g_ascii_strncasecmp(item.ptr, token.ptr, token.len) == 0)
			return true;
		start = end + 1;
	}
	return false;
}

/* Whether any Connection header lists a token. */
static bool connection_lists(const struct h1_head *head, struct http_view token)
{
	for (size_t i = 0; i < head->header_count; i++)
		if (h1_view_equals(head->headers[i].name, "connection") &&
		    list_contains(head->headers[i].value, token))
			return true;
	return false;
}

static bool connection_has_token(const struct h1_head *head, const char *token)
{
	return connection_lists(head,
				(struct http_view){ token, strlen(token) });
}

bool h1_is_hop_by_hop(const struct h1_head *head,
		      const struct h1_header *header)
{
	static const char *const names[] = {
		"connection",
		"keep-alive",
		"proxy-connection",
		"proxy-authenticate",
		"proxy-authorization",
		"te",
		"trailer",
		"transfer-encoding",
		"upgrade",
		"expect",
		"content-length",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (h1_view_equals(header->name, names[i]))
			return true;
	return connection_lists(head, header->name);
}

/* Copies the parser's headers; returns false if one is a folded line
 * (obs-fold). */
static bool headers_convert(struct h1_head *head, const struct phr_header *from)
{
	for (size_t i = 0; i < head->header_count; i++) {
		if (!from[i].name)
			return false;
		head->headers[i] = (struct h1_header){
			.name = { from[i].name, from[i].name_len },
			.value = { from[i].value, from[i].value_len },
		};
	}
	return true;
}

/* Evaluates the headers that determine framing and persistence. Returns false
 * if they conflict or are malformed. */
static bool framing_parse(struct h1_head *head, int minor)
{
	int64_t length = -1;
	bool chunked = false;

	head->keep_alive_s = -1;
	for (size_t i = 0; i < head->header_count; i++) {
		const struct h1_header *header = &head->headers[i];

		if (h1_view_equals(header->name, "content-length")) {
			int64_t number = h1_view_parse_number(header->value);

			if (number < 0 || (length >= 0 && length != number))
				return false;
			length = number;
		} else if (h1_view_equals(header->name, "transfer-encoding")) {
			if (chunked ||
			    !h1_view_equals(header->value, "chunked"))
				return false;
			chunked = true;
		} else if (h1_view_equals(header->name, "expect")) {
			head->expects_continue =
				h1_view_equals(header->value, "100-continue");
		} else if (h1_view_equals(header->name, "keep-alive")) {
			const char *at = g_strstr_len(header->value.ptr,
						      (gssize)header->value.len,
						      "timeout=");

			if (at)
				head->keep_alive_s =
					(int)g_ascii_strtoll(at + 8, NULL, 10);
		}
	}
	if (chunked && (length >= 0 || minor < 1))
		return false;
	head->close = connection_has_token(head, "close") ||
		      (minor < 1 && !connection_has_token(head, "keep-alive"));
	head->framing = chunked	      ? H1_CHUNKED
			: length >= 0 ? H1_LENGTH
				      : H1_NONE;
	head->content_length = length > 0 ? (uint64_t)length : 0;
	return true;
}

ssize_t h1_parse_request(const char *buf, size_t len, size_t seen,
			 struct h1_head *head)
{
	struct phr_header headers[H1_HEADERS_MAX];
	int minor;
	int used;

	memset(head, 0, offsetof(struct h1_head, headers));
	head->expects_continue = false;
	head->header_count = H1_HEADERS_MAX;
	used = phr_parse_request(buf, len, &head->method.ptr, &head->method.len,
				 &head->target.ptr, &head->target.len, &minor,
				 headers, &head->header_count, seen);
	if (used < 0)
		return used == -2 ? H1_INCOMPLETE : H1_MALFORMED;
	if (!headers_convert(head, headers) || !framing_parse(head, minor))
		return H1_MALFORMED;
	return used;
}

bool h1_status_is_valid(int status)
{
	return status >= 100 && status <= 599 && status != 101;
}

ssize_t h1_parse_response(const char *buf, size_t len, size_t seen,
			  bool is_head, struct h1_head *head)
{
	struct phr_header headers[H1_HEADERS_MAX];
	const char *text;
	size_t text_len;
	int minor;
	int used;

	memset(head, 0, offsetof(struct h1_head, headers));
	head->expects_continue = false;
	head->header_count = H1_HEADERS_MAX;
	used = phr_parse_response(buf, len, &minor, &head->status, &text,
				  &text_len, headers, &head->header_count,
				  seen);
	if (used < 0)
		return used == -2 ? H1_INCOMPLETE : H1_MALFORMED;
	if (!h1_status_is_valid(head->status) ||
	    !headers_convert(head, headers) || !framing_parse(head, minor))
		return H1_MALFORMED;
	if (is_head || head->status / 100 == 1 || head->status == 204 ||
	    head->status == 304)
		head->framing = H1_NONE;
	else if (head->framing == H1_NONE)
		head->framing = H1_UNTIL_CLOSE;
	if (head->framing == H1_UNTIL_CLOSE)
		head->close = true;
	return used;
}

void h1_body_init(struct h1_body *body, const struct h1_head *head)
{
	*body = (struct h1_body){
		.framing = head->framing,
		.remaining = head->content_length,
		.chunk_decoder = { .consume_trailer = 1 },
	};
	body->done = head->framing == H1_NONE ||
		     (head->framing == H1_LENGTH && head->content_length == 0);
}

bool h1_body_decode(struct h1_body *body, char *buf, size_t len, size_t *out,
		    size_t *used)
{
	size_t size = len;
	ssize_t rest;

	*out = *used = 0;
	if (body->done)
		return true;
	switch (body->framing) {
	case H1_NONE:
		return true;
	case H1_UNTIL_CLOSE:
		*out = *used = len;
		return true;
	case H1_LENGTH:
		*out = *used = (size_t)MIN((uint64_t)len, body->remaining);
		body->remaining -= *out;
		body->done = body->remaining == 0;
		return true;
	case H1_CHUNKED:
		rest = phr_decode_chunked(&body->chunk_decoder, buf, &size);
		if (rest == -1)
			return false;
		*out = size;
		body->done = rest >= 0;
		*used = body->done ? len - (size_t)rest : len;
		return true;
	}
	return false;
}
