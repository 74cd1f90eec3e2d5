/*
 * Tracing: one span per hop, with W3C traceparent, written as JSON lines.
 */
#ifndef WIRE_TRACE_H
#define WIRE_TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define TRACE_PARENT_LEN 55 /* bytes of a traceparent */

struct tracer;

/* A span that has begun. */
struct trace_span {
	char trace[33];
	char span[17];
	char parent[17]; /* "" if it is the root */
	int64_t start;	 /* wall clock, ms */
};

/* Opens a trace file for appending; with an empty path nothing is written. */
struct tracer *trace_open(const char *path, const char *host, GRand *rand,
			  GError **error);
void trace_close(struct tracer *tracer);
/* Begins a span under a traceparent; starts a new trace if it is malformed. */
void trace_begin(struct tracer *tracer, struct trace_span *span,
		 const char *parent, size_t len);
/* Writes the traceparent for the children of a span. */
void trace_parent_format(const struct trace_span *span,
			 char buf[TRACE_PARENT_LEN + 1]);
/* Ends a span and writes its line. */
void trace_end(struct tracer *tracer, const struct trace_span *span,
	       const char *name, const char *id, const char *detail);
/* Whether text is a well-formed traceparent. */
bool trace_parent_is_valid(const char *text, size_t len);

#endif
