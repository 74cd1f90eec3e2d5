/*
 * rw-load: callers as a load tool. Arrivals come at a fixed rate whatever
 * the answers do; each caller keeps at its request as a phone would, by its
 * id, at one host after the other. What it sees goes to a history file.
 */
#ifndef DAEMON_LOAD_H
#define DAEMON_LOAD_H

#include <glib.h>
#include <stdio.h>
#include <uv.h>

#include "../wire/http.h"
#include "../wire/json.h"
#include "../wire/trace.h"

/* What a kind of request asks for; from --mix. */
struct load_kind {
	char *name;
	bool model; /* a completion; else a service call */
	double weight;
};

/* What a caller was told in the end. */
enum load_end {
	LOAD_WHOLE,
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_GIVEN_UP, /* no answer within the patience */
	LOAD_WRONG,    /* an answer that is not its own, or not whole */
	LOAD_END_COUNT,
};

struct load {
	uv_loop_t loop;
	struct http_client *client;
	GRand *rand;
	FILE *history; /* or NULL */
	struct tracer *tracer;
	GPtrArray *entries; /* addresses to ask, the newest last */
	char **accounts;
	GArray *kinds;	 /* struct load_kind */
	double rate;	 /* arrivals per second; 0: closed loop */
	int concurrency; /* callers of a closed loop */
	int seconds;
	int prompt_bytes;
	int prefixes; /* different prompt beginnings */
	int max_tokens;
	int patience_ms; /* how long a caller keeps at a request */
	char *direct;	 /* an engine to call without the system */
	bool whole;	 /* no streaming */
	bool verify;	 /* texts must be the stand-in's */
	uv_timer_t arrivals;
	clk_ms begun;
	clk_ms until;
	int64_t made; /* requests begun */
	int64_t open;
	int64_t tries; /* calls made for them */
	int64_t ends[LOAD_END_COUNT];
	GArray *first_ms; /* double: time to the first piece */
	GArray *total_ms; /* double: time to the end */
	GArray *gap_ms;	  /* double: time between pieces */
};

/* load-caller.c */
/* Begins one request. */
void load_begin(struct load *load);
/* Called by a request when it has ended. */
void load_ended(struct load *load, enum load_end end);

/* load-history.c */
/* Writes one line; text may be NULL. */
void load_note(struct load *load, const char *event, const char *id,
	       const char *kind, const char *text);
/* Milliseconds with fractions since the start. */
double load_now(const struct load *load);
void load_print(const struct load *load);

#endif
