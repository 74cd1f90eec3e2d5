/*
 * A modelled worker under a virtual clock.
 *
 * An engine runs a batch: each step makes one token of every running answer
 * and reads a chunk of the prompts, the most urgent first. Parts of prompts
 * that it has read are kept, the least recently used ones dropped first, in
 * the memory that running requests leave. A service has places and a queue.
 */
#ifndef SIM_ENGINE_H
#define SIM_ENGINE_H

#include <stdint.h>

#include "../decide/fleet.h"
#include "sim.h"

/* Sizes and speeds of a pool's workers. */
struct engine_params {
	bool service;
	int slots;	     /* requests that run at once */
	int queue;	     /* that wait at most */
	double step_ms;	     /* of a step */
	double step_slot_ms; /* for each running request */
	double prefill_ms;   /* of a prompt token */
	double pair_ms;	     /* of a million pairs of prompt tokens */
	int chunk;	     /* prompt tokens that a step reads at most */
	int stride;	     /* tokens of an event */
	int memory;	     /* tokens */
};

/* How a run ended. */
enum engine_result {
	ENGINE_COMPLETE,
	ENGINE_FAILED,	/* an answer that reports a failure */
	ENGINE_REFUSED, /* nothing was run */
	ENGINE_LOST,	/* the worker is gone */
};

/* One run. It lives as long as the simulation: events may still name it. */
struct engine_run {
	/* to be set by the caller */
	int urgency; /* 0 is first */
	struct fleet_part parts[FLEET_PARTS_MAX];
	size_t part_count;
	int prompt_tokens;
	int output_tokens;
	double work_ms; /* of a service */
	void (*on_first)(void *ctx);
	void (*on_end)(void *ctx, enum engine_result end);
	void *ctx;
	/* of the engine */
	struct engine *engine;
	int prefill_remaining; /* prompt tokens */
	int cached_tokens;     /* that were cached */
	int generated;	       /* output tokens */
	int reserved;	       /* tokens of memory */
	bool had_first;
	guint64 arrival; /* of arrival */
};

struct engine;

struct engine *engine_create(struct sim *sim, const struct engine_params *kind);
void engine_free(struct engine *engine);
/* It is gone: its runs end at once, as do those that come. */
void engine_kill(struct engine *engine);
void engine_submit(struct engine *engine, struct engine_run *run);
void engine_cancel(struct engine_run *run);
/* Makes all it does from now on x times as slow. */
void engine_set_slowdown(struct engine *engine, double x);
/* Makes it fail so many of a thousand runs. */
void engine_set_failure_rate(struct engine *engine, unsigned per_mille);
unsigned engine_running(const struct engine *engine);
unsigned engine_waiting(const struct engine *engine);
/* Prompt tokens read, and found kept, so far. */
double engine_prefilled_tokens(const struct engine *engine);
double engine_cached_tokens(const struct engine *engine);

#endif
