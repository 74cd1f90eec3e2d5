/*
 * Streams of server-sent events: splits bytes into complete events, which are
 * relayed unchanged, and tracks their ids.
 *
 * A stream that is resumed on another upstream continues after the last relayed
 * event. Repeated events are dropped; a gap is an error.
 */
#ifndef DECIDE_SSE_H
#define DECIDE_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sse {
	GString *buf;	  /* bytes of an incomplete event */
	size_t scanned;	  /* bytes of buf known to contain no end of an event */
	int64_t last_id;  /* of the last relayed event; -1: none */
	uint64_t events;  /* relayed events */
	bool was_partial; /* part of the next one has come, and was discarded */
};

void sse_init(struct sse *sse, int64_t last_id);
void sse_clear(struct sse *sse);
/* Discards an incomplete event before the stream resumes on another
 * upstream. */
void sse_discard_partial(struct sse *sse);
/* Parses bytes and appends the complete new events to out. Returns false if
 * events are missing or one is too large. */
bool sse_feed(struct sse *sse, const char *ptr, size_t len, GString *out);
/* Returns whether there is no incomplete event. */
bool sse_is_complete(const struct sse *sse);

#endif
