/*
 * Requests and prompt parts on which workers crash.
 *
 * A worker that crashes takes all its requests with it, and any of them, or of
 * the parts of their prompts, may be the cause. Evidence against a suspect is
 * the end of a worker's process while a request with it had no output there; a
 * request with it that runs is proof that it is harmless, and deletes the
 * evidence. Hosts exchange both, as each of them sees few requests. Requests
 * with a suspect that has enough evidence are blocked.
 *
 * What counts is how many processes ended, not when: workers that crash
 * together come back together, and crash again together. A loss of many workers
 * for another reason tells itself apart as what was running there has nothing
 * in common that never runs elsewhere. A cause that is found explains the ends
 * of its workers for all else that was running there.
 *
 * A blocked suspect is tried again a few times by one host, in case that it was
 * taken for the cause wrongly.
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

enum poison_kind {
	POISON_CALL,   /* a request without a prompt, as a whole */
	POISON_PROMPT, /* one with a prompt, as a whole */
	POISON_PART,   /* a part of a prompt */
	POISON_KINDS,
};

/* What may be a cause. */
struct poison_key {
	enum poison_kind kind;
	uint64_t id; /* of the part; or identifies a request and its repeats */
};

/* The end of a worker's process while a request had no output there. */
struct poison_crash {
	uint32_t process; /* identifies it */
	uint32_t request; /* the same for repeats of the request */
	clk_ms at;
};

/* What is known of a crash of which this host may have seen no more than the
 * end of its own links. */
enum poison_doubt {
	POISON_SURE, /* it counts */
	POISON_WAIT, /* not known yet */
	POISON_NONE, /* there was none */
};

struct poison_ops {
	/* Judges an own crash of a pool, by its aggregate_key; NULL: all are
	 * sure. */
	enum poison_doubt (*doubt)(void *ctx, uint32_t pool);
	/* Other hosts are to learn of a crash at once; before: how many are
	 * known. */
	void (*crashed)(void *ctx, const struct poison_key *key,
			const struct poison_crash *crash, unsigned before);
	/* Hosts that start are to learn of a crash, or no longer. */
	void (*kept)(void *ctx, const struct poison_key *key,
		     const struct poison_crash *crash);
	void (*dropped)(void *ctx, const struct poison_key *key,
			const struct poison_crash *crash);
	/* Other hosts are to learn that a request with a suspect has run;
	 * blocked: requests with it are. */
	void (*harmless)(void *ctx, const struct poison_key *key, clk_ms at,
			 bool blocked);
	/* Requests with a suspect are blocked, or no longer. */
	void (*changed)(void *ctx, const struct poison_key *key, bool blocked);
	/* Nothing is recorded about a suspect any more. */
	void (*forgotten)(void *ctx, const struct poison_key *key);
	/* Whether this host tries a blocked suspect again. */
	bool (*tries)(void *ctx, const struct poison_key *key);
};

/* How attempts at workers of one kind ended on this host lately. */
struct poison_rate {
	double runs; /* exponentially decayed */
	uint64_t total_runs;
	clk_ms updated_at;
	GArray *cuts; /* of struct poison_crash, the last ones */
};

struct poison {
	GHashTable *suspects; /* struct poison_key -> struct poison_suspect */
	GHashTable *ran[2];   /* sets of keys of requests that have run on any
			       * host; the second one has older ones */
	clk_ms ran_since;     /* when the first one was begun */
	GPtrArray *unproved;  /* of struct unproved_crash, own and recent */
	struct poison_rate rates[2]; /* of calls, of requests with prompts */
	unsigned blocked;	     /* suspects */
	bool outdated;		     /* the evidence has changed */
	clk_ms decided_at;	     /* what is blocked */
	clk_ms expired_at;	     /* old evidence was last dropped */
	const struct poison_ops *ops;
	void *ctx;
};

/* A request, as far as it may be a cause. */
struct poison_request {
	uint64_t identity; /* the same for its repeats */
	bool has_prompt;
	const struct fleet_part *parts; /* that other requests may share */
	size_t part_count;
};

/* Times are of the wall clock, as hosts exchange them. */

struct poison *poison_create(const struct poison_ops *ops, void *ctx);
void poison_free(struct poison *poison);

/* An attempt of this host was cut off without output; process identifies that
 * of its worker, and pool the worker's pool. */
void poison_on_cut(struct poison *poison, const struct poison_request *request,
		   uint32_t process, uint32_t pool, clk_ms now);
/* Something was received from a worker's process: it has not ended, unless it
 * is replaced soon. */
void poison_on_alive(struct poison *poison, uint32_t process);
/* Another process is listed under the worker's id. */
void poison_on_replaced(struct poison *poison, uint32_t process);
/* A request of this host has run. */
void poison_on_run(struct poison *poison, const struct poison_request *request,
		   clk_ms now);
/* Another host's evidence; returns whether it is to be kept for hosts that
 * start. */
bool poison_add_crash(struct poison *poison, const struct poison_key *key,
		      const struct poison_crash *crash, clk_ms now);
/* Another host has seen a request with a suspect run at a time. Returns whether
 * that matters: something is recorded about it. */
bool poison_add_run(struct poison *poison, const struct poison_key *key,
		    clk_ms at, clk_ms now);
/* Whether a request, or a part of its prompt, is blocked; cause, unless it is
 * NULL, is set to which. */
bool poison_blocks(const struct poison *poison,
		   const struct poison_request *request,
		   struct poison_key *cause);
/* Whether a new request is accepted: nothing in it is blocked, or this host
 * tries that again. */
bool poison_admits(struct poison *poison, const struct poison_request *request,
		   clk_ms now);
/* Reports own crashes when they are due, decides what is blocked, and drops old
 * evidence. */
void poison_tick(struct poison *poison, clk_ms now);

#endif
