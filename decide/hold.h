/*
 * What a process holds on behalf of its clients and upstreams, and which
 * connection gives way first when that exceeds the process's budget: bytes in
 * its memory, receive windows (bytes that the kernel may receive and the
 * process has not read), and connections.
 *
 * That is the one which, among those holding something that may be given up,
 * lags most. A connection's lag grows with time and shrinks by a millisecond
 * with each byte that its client sends or takes: a client that stalls, or
 * trickles, gives way before one that sends. What a request in flight needs is
 * never given up: such a request has perhaps run.
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

/* Connections that one listener has accepted. */
struct hold_group {
	size_t limit; /* requests in flight; connections may be
		       * HOLD_WAITING_MAX more */
	size_t connections;
	size_t busy;  /* of these, with a request in flight */
	GQueue order; /* struct hold_holder that may be displaced, the one that
		       * lags most first */
	GList link;
};

/* Connections of a listener beyond its limit of requests in flight, and of the
 * process beyond those that such requests use. */
#define HOLD_WAITING_MAX 64

/* All holders of a process. */
struct hold {
	size_t limit; /* bytes; 0: none */
	size_t total;
	size_t bytes[HOLD_PURPOSES];
	GQueue order; /* struct hold_holder that may be evicted, the one that
		       * lags most first */
	size_t connections_limit; /* accepted and outgoing ones; 0: none */
	size_t connections;
	size_t windows_limit; /* bytes, but for HOLD_WINDOW_MIN of each; 0: no
			       * window is set */
	size_t windows;
	GQueue groups; /* struct hold_group */
};

/* Receive windows, in bytes. */
#define HOLD_WINDOW_MIN 4096
#define HOLD_WINDOW_MAX 65536

/* One connection. */
struct hold_holder {
	size_t bytes[HOLD_PURPOSES]; /* as allocated */
	clk_ms progress_at; /* the current time less the connection's lag */
	bool can_evict;	    /* its owner knows how */
	bool is_listed;	    /* in hold's order */
	bool is_counted;
	bool is_busy;	   /* a request is in flight */
	bool may_displace; /* in its group's order */
	size_t window;
	struct hold_group *group; /* NULL: outgoing */
	GList link;
	GList group_link;
};

void hold_init(struct hold_holder *holder, bool can_evict);
/* Adds the connections of a listener. */
void hold_group_add(struct hold *hold, struct hold_group *group, size_t limit);
/* Sets how many bytes are held for a purpose. */
void hold_set(struct hold *hold, struct hold_holder *holder,
	      enum hold_purpose purpose, size_t bytes, clk_ms now);
/* The connection's lag ends: it begins a request, or has its response. */
void hold_on_progress(struct hold *hold, struct hold_holder *holder,
		      clk_ms now);
/* Bytes of a request have arrived, or its client has taken some. */
void hold_on_bytes(struct hold *hold, struct hold_holder *holder, size_t bytes,
		   clk_ms now);
/* Returns how far the connection lags, in ms. */
clk_ms hold_lag(const struct hold_holder *holder, clk_ms now);
/* Counts a connection; group NULL: an outgoing one. */
void hold_join(struct hold *hold, struct hold_group *group,
	       struct hold_holder *holder, clk_ms now);
/* Whether another connection may be accepted for a group, or opened (NULL). */
bool hold_has_place(const struct hold *hold, const struct hold_group *group);
/* Returns the connection to close in favour of another one; NULL: none may be
 * closed yet, but one may after *wait ms (CLK_NEVER: none). */
struct hold_holder *hold_next_displaced(const struct hold *hold,
					const struct hold_group *group,
					clk_ms now, clk_ms *wait);
/* A request of the connection is, or is no longer, in flight. */
void hold_set_busy(struct hold_holder *holder, bool is_busy);
/* Whether another request of a group may be in flight. If not, it is rejected;
 * HOLD_WAITING_MAX connections of the process are reserved for that. */
bool hold_may_serve(const struct hold *hold, const struct hold_group *group);
/* Reserves a receive window for a connection, and returns its size in bytes; 0:
 * windows are not limited. While many are reserved, further ones are small. */
size_t hold_reserve_window(struct hold *hold, struct hold_holder *holder);
/* Whether so many windows are reserved that further ones are the smallest. */
bool hold_windows_are_scarce(const struct hold *hold);
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
