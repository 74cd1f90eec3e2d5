/*
 * Requests that wait for the configuration of a host that has just started.
 * They are passed on in the order of their arrival as soon as the host can
 * route them; one whose time is over is refused.
 *
 * Knows nothing of the requests themselves: the owner decides how long each
 * waits (decide/hold.h) and passes on or refuses those that are given back.
 */
#ifndef DAEMON_HOLDQ_H
#define DAEMON_HOLDQ_H

#include "../wire/hs.h"

struct holdq;

struct holdq_options {
	uv_loop_t *loop;
	size_t max; /* requests that wait at a time */
	/* Whether requests can be routed. */
	bool (*is_ready)(void *ctx);
	/* The wait of a request has ended. Called from a timer. */
	void (*on_ready)(void *ctx, struct hs_request *call);
	void (*on_expired)(void *ctx, struct hs_request *call);
	/* The caller of a waiting request has disconnected. */
	void (*on_disconnect)(void *ctx);
	void *ctx;
};

struct holdq *holdq_create(const struct holdq_options *options);
/* Keeps a request for wait ms at most. Returns false if too many wait. */
bool holdq_add(struct holdq *queue, struct hs_request *call, clk_ms wait);
size_t holdq_length(const struct holdq *queue);

#endif
