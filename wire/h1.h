/*
 * HTTP/1.1 messages: heads and the framing of bodies, without I/O. The
 * parser is h2o's own (picohttpparser), which libh2o exports.
 *
 * A message whose end could be read in two ways is refused.
 */
#ifndef WIRE_H1_H
#define WIRE_H1_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "http.h"

#define H1_HEADERS_MAX 100 /* of one message */
#define H1_INCOMPLETE 0	   /* the head is not complete yet */
#define H1_MALFORMED (-1)  /* this is not a message */

/* One header. */
struct h1_header {
	struct http_view name;
	struct http_view value;
};

/* How the end of a body is found. */
enum h1_framing {
	H1_NONE,	/* there is no body */
	H1_LENGTH,	/* by Content-Length */
	H1_CHUNKED,	/* by the last chunk */
	H1_UNTIL_CLOSE, /* by the end of the connection */
};

/* A parsed head; its views point into the buffer that was parsed. */
struct h1_head {
	struct http_view method; /* of a request */
	struct http_view target; /* of a request: path and query */
	int status;		 /* of a response */
	struct h1_header headers[H1_HEADERS_MAX];
	size_t header_count;
	enum h1_framing framing;
	uint64_t content_length; /* bytes of the body, if H1_LENGTH */
	bool close;		 /* the connection ends after this message */
	bool expects_continue;
	int keep_alive_s; /* of the Keep-Alive header, in seconds; or -1 */
};

/* State of a decoder of chunks; laid out as the parser expects it. */
struct h1_chunk_decoder {
	size_t bytes_left_in_chunk;
	char consume_trailer;
	char hex_count;
	char state;
};

/* A body that is being read. */
struct h1_body {
	enum h1_framing framing;
	uint64_t remaining; /* bytes, if H1_LENGTH */
	struct h1_chunk_decoder chunk_decoder;
	bool done;
};

/* Parses a request's head at the start of buf; seen is how much of it was
 * looked at before. Returns the head's bytes, H1_INCOMPLETE or H1_MALFORMED. */
ssize_t h1_parse_request(const char *buf, size_t len, size_t seen,
			 struct h1_head *head);
/* The same for a response; head_only: to a HEAD request. */
ssize_t h1_parse_response(const char *buf, size_t len, size_t seen,
			  bool head_only, struct h1_head *head);
/* Returns a header's value; length 0 if it is not there. */
struct http_view h1_header_value(const struct h1_head *head, const char *name);
/* Whether the header concerns one connection only: by its name, or because
 * Connection names it. */
bool h1_is_hop_by_hop(const struct h1_head *head,
		      const struct h1_header *header);

/* Begins to read the body that a head announces. */
void h1_body_init(struct h1_body *body, const struct h1_head *head);
/* Decodes bytes in place. Sets out to how many bytes of the body they hold,
 * which then stand at the start of buf, and used to how many bytes were
 * taken; what is left stands behind the decoded bytes. Returns false if they
 * are not part of a body. */
bool h1_body_decode(struct h1_body *body, char *buf, size_t len, size_t *out,
		    size_t *used);

bool h1_view_equals(struct http_view view, const char *text);
/* Parses decimal digits only; returns -1 if there is anything else. */
int64_t h1_view_parse_number(struct http_view view);

#endif
