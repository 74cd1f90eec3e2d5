/*
 * Bytes that a process holds on behalf of its clients and upstreams, and which
 * connection is evicted first when they exceed the process's budget.
 *
 * That is the one which, among those holding bytes that may be given up, has
 * gone longest without progress. What a request in flight needs is never given
 * up: such a request has perhaps run.
 */
#ifndef DECIDE_HOLD_H
#define DECIDE_HOLD_H

#include <glib.h>
#include <stdbool.h>

#include "clk.h"

/* What bytes are held for. */
enum hold_purpose {
	HOLD_INPUT,	/* of a request that has not arrived completely */
	HOLD_PIPELINED, /* input behind the request that is being answered */
	HOLD_OUTPUT,	/* that a client has not read */
	HOLD_BODY,	/* of a request in flight */
	HOLD_UPLOAD,	/* the part of it that its upstream has not read */
	HOLD_RESPONSE,	/* of an upstream, not complete */
	HOLD_SPARE,	/* empty buffers */
	HOLD_PURPOSES,
};

/* All holders of a process. */
struct hold {
	size_t limit; /* bytes; 0: none */
	size_t total;
	size_t bytes[HOLD_PURPOSES];
	GQueue order; /* struct hold_holder that may be evicted, the one that
		       * has gone longest without progress first */
};

/* One connection. */
struct hold_holder {
	size_t bytes[HOLD_PURPOSES]; /* as allocated */
	clk_ms progress_at; /* last progress, or when it began to hold bytes */
	bool can_evict;	    /* its owner knows how */
	bool is_listed;
	GList link;
};

void hold_init(struct hold_holder *holder, bool can_evict);
/* Sets how many bytes are held for a purpose. */
void hold_set(struct hold *hold, struct hold_holder *holder,
	      enum hold_purpose purpose, size_t bytes, clk_ms now);
/* The connection has made progress: bytes of a request have arrived, or its
 * client has read some. */
void hold_on_progress(struct hold *hold, struct hold_holder *holder,
		      clk_ms now);
/* The connection is closed. */
void hold_remove(struct hold *hold, struct hold_holder *holder);
/* Returns the bytes that an eviction would free. */
size_t hold_evictable(const struct hold_holder *holder);
/* Returns the purpose that it holds most of these bytes for. */
enum hold_purpose hold_main_purpose(const struct hold_holder *holder);
/* Returns the holder to evict now; NULL: none. */
struct hold_holder *hold_next_eviction(const struct hold *hold);
const char *hold_purpose_name(enum hold_purpose purpose);

#endif
