/*
 * Model of an upstream, either a model engine or a plain service, under a
 * virtual clock.
 *
 * An engine runs a continuous batch: each step generates one token of every
 * running response and prefills a chunk of the prompts, the most urgent first.
 * Prompt parts that it has read stay in a cache, which uses the memory that
 * running requests leave free and evicts the least recently used parts first.
 * A service has a number of slots and a queue.
 */
#ifndef SIM_ENGINE_H
#define SIM_ENGINE_H

#include <stdint.h>

#include "../decide/fleet.h"
#include "sim.h"

/* Capacity and speed of a pool's workers. */
struct engine_params {
	bool service;
	int slots;	     /* requests that run at once */
	int queue;	     /* maximum number of waiting requests */
	double step_ms;	     /* fixed part of a step */
	double step_slot_ms; /* added per running request */
	double prefill_ms;   /* per prompt token */
	double pair_ms;	     /* per million pairs of prompt tokens: the part
			      * of prefill that grows with the square of the
			      * length */
	int chunk;	     /* maximum prompt tokens prefilled in a step */
	int stride;	     /* tokens per event of the response stream */
	int memory;	     /* of cached and running requests, in tokens */
};

/* How a run ended. */
enum engine_result {
	ENGINE_COMPLETE,
	ENGINE_FAILED,	/* a response that reports a failure */
	ENGINE_REFUSED, /* nothing was run */
	ENGINE_LOST,	/* the worker was lost */
};

/* One request at an engine. It must live as long as the simulation, as
 * scheduled events may still point to it. */
struct engine_run {
	/* set by the user of this module */
	int urgency; /* 0: the most urgent */
	struct fleet_part parts[FLEET_PARTS_MAX];
	size_t part_count;
	int prompt_tokens;
	int output_tokens;
	double work_ms; /* of a service */
	void (*on_first)(void *ctx);
	void (*on_end)(void *ctx, enum engine_result result);
	void *ctx;
	/* set by the engine */
	struct engine *engine; /* NULL: the run has ended */
	int prefill_remaining; /* prompt tokens */
	int cached_tokens;     /* prompt tokens found in the cache */
	int generated;	       /* output tokens */
	int reserved;	       /* memory, in tokens */
	bool had_first;
	guint64 arrival; /* sequence number */
};

struct engine;

struct engine *engine_create(struct sim *sim,
			     const struct engine_params *params);
void engine_free(struct engine *engine);
/* The engine is lost: its runs end at once, as do those submitted later. */
void engine_kill(struct engine *engine);
/* Starts or queues a run; it is refused if the queue is full, and fails after a
 * short delay at the failure rate. */
void engine_submit(struct engine *engine, struct engine_run *run);
/* Stops a run without a call of on_end. */
void engine_cancel(struct engine_run *run);
/* Multiplies the duration of all later work by a factor. */
void engine_set_slowdown(struct engine *engine, double factor);
/* Sets how many of a thousand later runs fail. */
void engine_set_failure_rate(struct engine *engine, unsigned per_mille);
unsigned engine_running(const struct engine *engine);
unsigned engine_waiting(const struct engine *engine);
/* Totals of prompt tokens that were prefilled, and found in the cache. */
double engine_prefilled_tokens(const struct engine *engine);
double engine_cached_tokens(const struct engine *engine);

#endif
