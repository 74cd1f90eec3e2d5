/*
 * Streams of server-sent events: takes bytes apart into whole events, which
 * are passed on unchanged, and numbers them.
 *
 * A stream that is resumed elsewhere goes on with the event after the last
 * one that was passed on; repeated events are dropped, a gap is an error.
 */
#ifndef DECIDE_SSE_H
#define DECIDE_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sse {
	GString *buf;	 /* bytes of an event that is not whole */
	size_t scanned;	 /* bytes of part without an event's end */
	int64_t last_id; /* of the last event passed on; -1: none */
	uint64_t events; /* that were passed on */
};

void sse_init(struct sse *sse, int64_t last_id);
void sse_clear(struct sse *sse);
/* Forgets a partial event, before the stream goes on elsewhere. */
void sse_restart(struct sse *sse);
/* Takes bytes and appends the whole new events to out. Returns false if
 * events are missing. */
bool sse_feed(struct sse *sse, const char *ptr, size_t len, GString *out);
/* Whether no event is incomplete. */
bool sse_is_complete(const struct sse *sse);

#endif
