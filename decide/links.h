/*
 * Whether this host has lost its links to the workers of a pool, and which
 * other host its requests are then forwarded to.
 *
 * A worker that can't be reached, or that says nothing, is no sign by itself:
 * it may have crashed or stalled. Several in a row, with nothing received from
 * any worker of their pool meanwhile, are. All of them may also be down; the
 * other host then says that it does not reach them either.
 */
#ifndef DECIDE_LINKS_H
#define DECIDE_LINKS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"

/* Between two probes of a pool, while some worker has failed and none was heard
 * from since. */
#define LINKS_PROBE_MS 250

struct links {
	GHashTable *pools; /* name -> struct links_pool */
};

struct links *links_create(void);
void links_free(struct links *links);
/* A worker of a pool has begun to respond, so many ms after the request was
 * sent. */
void links_on_response(struct links *links, const char *name, clk_ms ms);
/* Returns how long a worker of a pool, at which this host has a request, may
 * send nothing. target: ms in which its first output is expected; 0: there was
 * some. */
clk_ms links_silence_max(const struct links *links, const char *name,
			 clk_ms target);
/* Something was received from a worker of a pool. Returns whether the links to
 * the pool were lost until now. */
bool links_on_data(struct links *links, const char *name);
/* A connection to a worker, given by its key, has failed or ended, or the
 * worker is silent. workers: in the pool that accept requests. Returns whether
 * the links to the pool count as lost from now on. */
bool links_on_failure(struct links *links, const char *name, uint32_t worker,
		      unsigned workers, clk_ms now);
/* Another host has had a response from a worker of a pool for this one, or has
 * said that it does not reach them either. */
void links_on_host(struct links *links, const char *name, bool reached);

/* Where the links to a pool are lost. */
enum links_view {
	LINKS_GOOD,	       /* they are not */
	LINKS_UNSURE,	       /* not known yet */
	LINKS_LOST_HERE,       /* another host reaches the workers */
	LINKS_LOST_EVERYWHERE, /* no host does: they may be down */
};

/* key: aggregate_key of the pool's name. */
enum links_view links_view(const struct links *links, uint32_t key, clk_ms now);
bool links_lost(const struct links *links, const char *name);
/* When the links to a pool were lost; -1: they are not. */
clk_ms links_lost_at(const struct links *links, const char *name);
/* Whether a worker of the pool is to be probed now; if so, it counts as done.
 */
bool links_probe_due(struct links *links, const char *name, clk_ms now);
/* Whether a worker is among those that have failed. */
bool links_failed(const struct links *links, const char *name, uint32_t worker);

/* Another host, as a target of forwarded requests. */
struct links_host {
	bool near;	    /* in the data centre of this host */
	clk_ms avoid_until; /* it has just not accepted one; 0: it has not */
};

/* Chooses the host to forward a request to: a near one, if there is any that is
 * not to be avoided. random: any number. Returns its index, or -1. */
int links_choose(const struct links_host *hosts, size_t count, uint32_t random,
		 clk_ms now);

#endif
