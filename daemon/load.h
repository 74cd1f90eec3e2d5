/*
 * rw-load: a load generator that simulates callers. Requests arrive at a fixed
 * rate regardless of the responses, or in a closed loop. Like a mobile client,
 * a caller retries its request under the same id at one host after the other.
 * Its events are written to a history file.
 */
#ifndef DAEMON_LOAD_H
#define DAEMON_LOAD_H

#include <glib.h>
#include <stdio.h>
#include <uv.h>

#include "../wire/http.h"
#include "../wire/json.h"
#include "../wire/trace.h"

/* A kind of request; from --mix. */
struct load_kind {
	char *name;    /* of the model or service route */
	bool is_model; /* completion request; otherwise a service call */
	double weight;
};

/* The final outcome of a request, as its caller sees it. */
enum load_outcome {
	LOAD_COMPLETE,
	LOAD_NOT_RUN,	/* an error that says it was not executed */
	LOAD_UNKNOWN,	/* whether it was executed is unknown */
	LOAD_TIMED_OUT, /* no outcome within timeout_ms */
	LOAD_INVALID,	/* a response that is incomplete or has wrong content */
	LOAD_OUTCOME_COUNT,
};

struct load {
	uv_loop_t loop;
	struct http_client *client;
	GRand *rand;
	FILE *history; /* or NULL */
	struct tracer *tracer;
	GPtrArray *entries; /* char *: addresses for locate, the newest last */
	char **accounts;
	GArray *kinds;	 /* struct load_kind */
	double rate;	 /* arrivals per second; 0 for a closed loop */
	int concurrency; /* callers in a closed loop */
	int seconds;	 /* duration of the arrivals */
	int prompt_bytes;
	int prefix_count; /* distinct prompt prefixes */
	int max_tokens;
	int timeout_ms;		/* after which a request is given up */
	char *direct_addresses; /* engines to call bypassing the system */
	bool no_stream;		/* do not request streaming */
	bool verify; /* compare texts with those of the fake engine */
	uv_timer_t arrival_timer;
	clk_ms started_at;
	clk_ms stop_at;
	int64_t request_count; /* requests started */
	int64_t in_flight;
	int64_t attempts; /* HTTP requests sent for them, without locates */
	int64_t outcomes[LOAD_OUTCOME_COUNT];
	GArray *first_chunk_ms; /* double: time to the first chunk */
	GArray *total_ms;	/* double: time to completion */
	GArray *chunk_gap_ms;	/* double: time between chunks */
};

/* load-caller.c */
/* Starts one request. */
void load_start_request(struct load *load);
/* Called when a request has reached its outcome. */
void load_request_done(struct load *load, enum load_outcome outcome);

/* load-history.c */
/* Writes one line to the history, if there is one; text may be NULL. */
void load_record_event(struct load *load, const char *event, const char *id,
		       const char *kind, const char *text);
/* Returns monotonic time in milliseconds, with a fraction. */
double load_now_ms(const struct load *load);
/* Prints counts, throughput and latency percentiles; sorts the samples. */
void load_print_summary(const struct load *load);

#endif
