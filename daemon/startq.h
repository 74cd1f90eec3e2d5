/*
 * Requests that wait for the configuration of a host that has just started.
 * They are passed on in the order of their arrival as soon as the host can
 * route them; one whose time is over is refused.
 *
 * Knows nothing of the requests themselves: the owner decides how long each
 * waits (decide/startup.h) and passes on or refuses those that are given back.
 */
#ifndef DAEMON_STARTQ_H
#define DAEMON_STARTQ_H

#include "../wire/hs.h"

struct startq;

struct startq_options {
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

struct startq *startq_create(const struct startq_options *options);
/* Keeps a request for wait ms at most. Returns false if too many wait. */
bool startq_add(struct startq *queue, struct hs_request *call, clk_ms wait);

#endif
