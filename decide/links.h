/*
 * Whether this host has lost its links to the workers of a pool, and which
 * other host its requests are then forwarded to.
 *
 * A worker that can't be reached, or that says nothing, is no sign by itself:
 * it may have crashed or stalled. Several in a row, with nothing received from
 * any worker of their pool meanwhile, put the links in doubt: all of them may
 * also be down or silent. The links count as lost only once another host, which
 * is asked, has said that it hears workers of the pool; anything that is
 * received from one ends both.
 *
 * A request that is at a worker is taken back only if the links are lost; one
 * that is at none has nothing to lose.
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

#define LINKS_HEARD_MS 150 /* how long a worker counts as heard after data */

/* In place of the key of a host. */
#define LINKS_SOME_HOST 0

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
bool links_on_data(struct links *links, const char *name, clk_ms now);
/* A connection to a worker, given by its key, has failed or ended. workers: in
 * the pool that accept requests. Returns whether the links to the pool are in
 * doubt from now on. */
bool links_on_failure(struct links *links, const char *name, uint32_t worker,
		      unsigned workers, clk_ms now);
/* The same for a worker that is silent; it does not count while others of its
 * pool are heard. */
bool links_on_silence(struct links *links, const char *name, uint32_t worker,
		      unsigned workers, clk_ms now);
/* Whether other hosts are to be asked now if they hear the pool; if so, it
 * counts as done. silent: some of its workers are. */
bool links_ask_due(struct links *links, const char *name, bool silent,
		   clk_ms now);
/* Whether this host hears the pool, as the answer to another one; it does if
 * nothing is in doubt and something was received lately. */
bool links_hears(const struct links *links, const char *name, clk_ms now);
/* Another host, given by the key of its process or LINKS_SOME_HOST, has
 * answered, has had a response from a worker for this one, or has said that it
 * does not reach them either. Returns whether it is the first that reaches
 * them: they are then to be probed once more, as they may be back. */
bool links_on_host(struct links *links, const char *name, uint32_t host,
		   bool reached, clk_ms now);
/* Whether that host hears the pool, by what it has said lately. */
bool links_host_hears(const struct links *links, const char *name,
		      uint32_t host, clk_ms now);
/* Concludes that the links to a pool are lost, if that follows now. Returns
 * whether they are from now on. */
bool links_update(struct links *links, const char *name, clk_ms now);

/* Where the links to a pool are in doubt. */
enum links_view {
	LINKS_GOOD,	       /* they are not */
	LINKS_UNSURE,	       /* not known yet */
	LINKS_LOST_HERE,       /* another host reaches the workers */
	LINKS_LOST_EVERYWHERE, /* no host does: they may be down */
};

/* key: aggregate_key of the pool's name. */
enum links_view links_view(const struct links *links, uint32_t key, clk_ms now);
bool links_lost(const struct links *links, const char *name);
/* Whether a request that is at no worker is better forwarded: the links to the
 * pool are lost, or in doubt as connections have failed. */
bool links_avoided(const struct links *links, const char *name);
/* Since when the links to a pool are in doubt; -1: they are not. */
clk_ms links_doubted_at(const struct links *links, const char *name);
/* Whether a worker of the pool is to be probed now; if so, it counts as done.
 */
bool links_probe_due(struct links *links, const char *name, clk_ms now);
/* Whether a worker is among those that have failed. */
bool links_failed(const struct links *links, const char *name, uint32_t worker);

/* Another host, as a target of forwarded requests. */
struct links_host {
	bool near;  /* in the data centre of this host */
	bool hears; /* it has said that it receives data from the workers */
	clk_ms avoid_until; /* it has just not accepted one; 0: it has not */
};

/* Chooses the host to forward a request to, among those that are not to be
 * avoided: one that hears the workers before others, then a near one. random:
 * any number. Returns its index, or -1. */
int links_choose(const struct links_host *hosts, size_t count, uint32_t random,
		 clk_ms now);

#endif
