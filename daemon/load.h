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
	bool is_model; /* a completion; else a service call */
	double weight;
};

/* What a caller was told in the end. */
enum load_outcome {
	LOAD_COMPLETE,
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_TIMED_OUT, /* no answer within the patience */
	LOAD_INVALID,	/* an answer that is not its own, or not whole */
	LOAD_OUTCOME_COUNT,
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
	int prefix_count; /* different prompt beginnings */
	int max_tokens;
	int timeout_ms;		/* how long a caller keeps at a request */
	char *direct_addresses; /* an engine to call without the system */
	bool no_stream;		/* no streaming */
	bool verify;		/* texts must be the stand-in's */
	uv_timer_t arrival_timer;
	clk_ms started_at;
	clk_ms stop_at;
	int64_t request_count; /* requests begun */
	int64_t in_flight;
	int64_t attempts; /* calls made for them */
	int64_t outcomes[LOAD_OUTCOME_COUNT];
	GArray *first_chunk_ms; /* double: time to the first piece */
	GArray *total_ms;	/* double: time to the end */
	GArray *chunk_gap_ms;	/* double: time between pieces */
};

/* load-caller.c */
/* Begins one request. */
void load_start_request(struct load *load);
/* Called by a request when it has ended. */
void load_request_done(struct load *load, enum load_outcome end);

/* load-history.c */
/* Writes one line; text may be NULL. */
void load_record_event(struct load *load, const char *event, const char *id,
		       const char *kind, const char *text);
/* Milliseconds with fractions since the start. */
double load_now_ms(const struct load *load);
void load_print_summary(const struct load *load);

#endif
