/*
 * HTTP/1.1 messages: heads and body framing, without I/O. The parser is
 * picohttpparser, which libh2o exports.
 *
 * A message whose length is ambiguous is rejected.
 */
#ifndef WIRE_H1_H
#define WIRE_H1_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "http.h"

#define H1_HEADERS_MAX 100 /* of one message */
#define H1_INCOMPLETE 0	   /* the head is incomplete */
#define H1_MALFORMED (-1)  /* the head is malformed */

struct h1_header {
	struct http_view name;
	struct http_view value;
};

/* How the length of a body is determined. */
enum h1_framing {
	H1_NONE, /* no body */
	H1_LENGTH,
	H1_CHUNKED,
	H1_UNTIL_CLOSE,
};

/* A parsed head; its views point into the parsed buffer. */
struct h1_head {
	struct http_view method; /* request only */
	struct http_view target; /* request only: path and query */
	int status;		 /* response only */
	struct h1_header headers[H1_HEADERS_MAX];
	size_t header_count;
	enum h1_framing framing;
	uint64_t content_length; /* bytes, if H1_LENGTH */
	bool close;		 /* the connection closes after this message */
	bool expects_continue;
	int keep_alive_s; /* timeout of the Keep-Alive header, or -1 */
};

/* State of the chunk decoder; the layout is that of phr_chunked_decoder. */
struct h1_chunk_decoder {
	size_t bytes_left_in_chunk;
	char consume_trailer;
	char hex_count;
	char state;
};

/* State of a body that is being received. */
struct h1_body {
	enum h1_framing framing;
	uint64_t remaining; /* bytes, if H1_LENGTH */
	struct h1_chunk_decoder chunk_decoder;
	bool done;
};

/* Parses a request's head at the start of buf, of which the first seen bytes
 * were parsed before. Returns the head's length, H1_INCOMPLETE or
 * H1_MALFORMED. */
ssize_t h1_parse_request(const char *buf, size_t len, size_t seen,
			 struct h1_head *head);
/* The same for a response; is_head: to a HEAD request. */
ssize_t h1_parse_response(const char *buf, size_t len, size_t seen,
			  bool is_head, struct h1_head *head);
/* Whether a response may have a status: a final one is 200 to 599, others of
 * 100 to 199 precede it. 101 ends HTTP, which no request here asks for. */
bool h1_status_is_valid(int status);
/* Returns the value of the first header of that name; length 0 if none. */
struct http_view h1_header_value(const struct h1_head *head, const char *name);
/* Whether a header applies to one connection only (hop-by-hop), by its name or
 * because Connection lists it. */
bool h1_is_hop_by_hop(const struct h1_head *head,
		      const struct h1_header *header);

/* Prepares to receive the body that belongs to a head. */
void h1_body_init(struct h1_body *body, const struct h1_head *head);
/* Decodes bytes in place. Sets out to the number of decoded bytes, which are
 * then at the start of buf, and used to the number of bytes consumed; bytes
 * that follow the body are moved behind the decoded ones. Returns false if the
 * framing is malformed. */
bool h1_body_decode(struct h1_body *body, char *buf, size_t len, size_t *out,
		    size_t *used);

/* Compares without regard to case. */
bool h1_view_equals(struct http_view view, const char *text);
/* Parses up to 18 decimal digits; returns -1 for anything else. */
int64_t h1_view_parse_number(struct http_view view);

#endif
