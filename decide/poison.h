/*
 * Prompt parts on which workers crash.
 *
 * A worker that crashes takes all its requests with it, and any of their
 * prompts may be the cause. Evidence against a part is a crash while a request
 * with that part had no output yet; a request with that part that runs is proof
 * that it is harmless, and deletes the evidence. Hosts exchange both, as each
 * of them sees few requests. Requests with a part that has enough evidence are
 * blocked.
 *
 * Crashes at about the same time count once, and those of several workers at
 * once not at all: then no prompt is the cause. A blocked part is tried again
 * now and then by one host, in case that it was taken for the cause wrongly.
 */
#ifndef DECIDE_POISON_H
#define DECIDE_POISON_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"
#include "fleet.h"

/* Requests that have had output for so long did not crash their worker. */
#define POISON_PROOF_MS 300

struct poison_ops {
	/* Other hosts are to learn that a request with a part had no output
	 * when its worker crashed; crash: a number for the request. */
	void (*crashed)(void *ctx, uint64_t part, uint32_t crash, clk_ms at);
	/* Other hosts are to learn that a request with a part has run; blocked:
	 * requests with it are. */
	void (*harmless)(void *ctx, uint64_t part, clk_ms at, bool blocked);
	/* Requests with a part are blocked, or no longer. */
	void (*changed)(void *ctx, uint64_t part, bool blocked);
	/* A crash is no longer evidence against a part. */
	void (*dropped)(void *ctx, uint64_t part, uint32_t crash);
	/* Nothing is recorded about a part any more. */
	void (*forgotten)(void *ctx, uint64_t part);
	/* Whether this host tries a blocked part again. */
	bool (*tries)(void *ctx, uint64_t part);
};

struct poison {
	GHashTable *parts; /* id -> struct poison_part */
	GHashTable *ran;   /* set of parts of requests that have run anywhere */
	GPtrArray *unproved; /* of struct unproved_crash, own and recent */
	uint64_t runs;	     /* requests of this host that have run */
	const struct poison_ops *ops;
	void *ctx;
};

/* Times are of the wall clock, as hosts exchange them. Prompts are given by
 * those parts that other requests may share. */

struct poison *poison_create(const struct poison_ops *ops, void *ctx);
void poison_free(struct poison *poison);

/* An own request that had no output when its worker crashed. */
struct poison_loss {
	const struct fleet_part *parts;
	size_t count;
	uint32_t worker;     /* its key */
	const void *request; /* the same for all attempts */
	uint32_t crash;	     /* a number that no other attempt has */
};

void poison_on_crash(struct poison *poison, const struct poison_loss *loss,
		     clk_ms now);
/* A request of this host has run. */
void poison_on_run(struct poison *poison, const struct fleet_part *parts,
		   size_t count, clk_ms now);
/* Another host's evidence; returns whether it counts. */
bool poison_add_crash(struct poison *poison, uint64_t part, uint32_t crash,
		      clk_ms at, clk_ms now);
/* Another host has seen a request with a part run at a time. Returns whether
 * that matters: something is recorded about the part. */
bool poison_add_run(struct poison *poison, uint64_t part, clk_ms at,
		    clk_ms now);
/* Whether a prompt has a blocked part. */
bool poison_blocks(const struct poison *poison, const struct fleet_part *parts,
		   size_t count);
/* Whether a new request is accepted: it has no blocked part, or this host tries
 * that part again. */
bool poison_admits(struct poison *poison, const struct fleet_part *parts,
		   size_t count, clk_ms now);
/* Reports own crashes when they are due, decides what is blocked, and drops old
 * evidence. */
void poison_tick(struct poison *poison, clk_ms now);

#endif
