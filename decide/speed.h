/*
 * The speed of a pool's engines, learnt from the times to the first event.
 *
 * It addresses pools whose engines are several times as fast or as slow as the
 * settings say: costs, shed decisions and worker orders would be off by as
 * much. The time to the first event is taken as
 *
 *	fixed + token x uncached + pair x uncached x (cached + uncached / 2)
 *
 * and fitted to recent samples by least absolute deviations, so that a minority
 * of wrong samples (a queue or an eviction that this host could not see, a
 * worker that answers without working) doesn't matter. Close to the settings,
 * the settings are used.
 */
#ifndef DECIDE_SPEED_H
#define DECIDE_SPEED_H

#include <stdbool.h>
#include <stddef.h>

#include "clk.h"

#define SPEED_SAMPLES 96 /* that are kept */

/* A first event of a request before which nothing was known to be queued. */
struct speed_sample {
	double took;	 /* ms from the request to the first event */
	double uncached; /* prompt tokens, as expected */
	double cached;
	clk_ms at;
};

/* Parameters of the time to the first event. */
struct speed_fit {
	double fixed_ms;
	double token_ms; /* per uncached token */
	double pair_ms;	 /* per million pairs of tokens */
};

struct speed {
	double initial_ms; /* per uncached token, by the settings */
	struct speed_sample samples[SPEED_SAMPLES];
	size_t count;
	size_t next; /* place of the next sample */
	struct speed_fit fit;
	clk_ms fitted_at; /* 0: never */
	bool differs;	  /* from the settings, so that the fit is used */
	double depth;	  /* mean tokens before an uncached one */
	double spread; /* mean time of samples, relative to the fit: above 1 if
			* some workers are slower than most */
};

void speed_init(struct speed *speed, double initial_ms);
/* The settings have changed. */
void speed_set_initial(struct speed *speed, double initial_ms);
/* Adds a sample; refits if the last fit is old enough. Returns whether it did.
 */
bool speed_add(struct speed *speed, const struct speed_sample *sample);
/* Returns the expected ms to prefill one prompt. */
double speed_prompt_ms(const struct speed *speed, double uncached,
		       double cached);
/* Returns the expected ms to prefill so many tokens of prompts of the lengths
 * that are usual in the pool. */
double speed_queue_ms(const struct speed *speed, double tokens);
/* Returns the work of a prompt, in ms, for a mean worker of the pool. */
double speed_work_ms(const struct speed *speed, double uncached, double cached);

#endif
