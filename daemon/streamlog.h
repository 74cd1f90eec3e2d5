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

#include "../decide/clk.h"
#include "../platform/kv.h"

#define STREAMLOG_PERIOD_MS 200 /* between two writes */

struct streamlog;

/* prefix: of the keys that this process writes; no other process has it. */
struct streamlog *streamlog_create(struct kv *kv, const char *prefix);
/* Adds a stream that has begun. */
void streamlog_add(struct streamlog *log, uint64_t stream, uint32_t version);
/* Writes what is due. now: of the loop; wall: of the wall clock, by which the
 * hosts write in turn; hosts: that share the store. */
void streamlog_tick(struct streamlog *log, clk_ms now, clk_ms wall,
		    unsigned hosts);
/* Streams that were not written, as there were too many. */
uint64_t streamlog_dropped(const struct streamlog *log);

#endif
