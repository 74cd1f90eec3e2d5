/*
 * Streams and the versions that began them, kept in the store, so that they
 * outlive all hosts. A few hosts write what all have begun, each of them once
 * in STREAMLOG_PERIOD_MS, under keys of its own, which expire with a lease;
 * whoever reads the store learns of them. A host with nothing to write makes no
 * calls.
 */
#ifndef DAEMON_STREAMLOG_H
#define DAEMON_STREAMLOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "../decide/clk.h"
#include "../platform/kv.h"

#define STREAMLOG_PERIOD_MS 200 /* between two writes of a host */
#define STREAMLOG_WRITERS 2	/* hosts that write, in turn */

struct streamlog;

struct streamlog_options {
	uv_loop_t *loop;
	struct kv *kv;
	/* Of the keys that this process writes; no other process has it. */
	const char *prefix;
	/* Returns the time of the wall clock, by which the hosts take turns. */
	clk_ms (*wall)(void *ctx);
	void *ctx;
};

struct streamlog *streamlog_create(const struct streamlog_options *options);
/* Adds a stream that has begun; it is written at this host's next turn. */
void streamlog_add(struct streamlog *log, uint64_t stream, uint32_t version);
/* Keeps the lease. turn: of this host among those that write; hosts: that share
 * the store. */
void streamlog_tick(struct streamlog *log, clk_ms now, unsigned turn,
		    unsigned hosts);
/* Streams that were not written, as there were too many. */
uint64_t streamlog_dropped(const struct streamlog *log);

#endif
