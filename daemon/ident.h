/*
 * Asks a worker which process it is, by the start that its report says, on a
 * connection that is kept: that connection is then known to lead there (see
 * hc_request_spec).
 */
#ifndef DAEMON_IDENT_H
#define DAEMON_IDENT_H

#include "../platform/health.h"

struct ident;

enum ident_outcome {
	IDENT_SAID,    /* the process says when it started */
	IDENT_OTHER,   /* it has another id */
	IDENT_MUTE,    /* it does not say when it started */
	IDENT_REFUSED, /* no process accepts connections */
	IDENT_SILENT,  /* none has answered, and the caller waits no longer */
};

struct ident_answer {
	enum ident_outcome outcome;
	int64_t start; /* wall clock of the process's start, in ms; or 0 */
	struct json_object *report; /* or NULL; freed after the callback */
	bool is_sent;		    /* the question was, on some connection */
	clk_ms took;		    /* ms */
};

struct ident_spec {
	struct hc_peer *peer;
	const char *address;
	const char *worker; /* its id */
	/* Called each period, in ms, without an answer, with the ms that have
	 * passed; returns whether to wait on, else the outcome is IDENT_SILENT.
	 */
	clk_ms period;
	/* The periods begin once the question is sent: the connect timeout
	 * bounds the time until then. */
	bool from_sent;
	bool (*waits)(void *ctx, clk_ms waited);
	/* Called once, unless the question is cancelled. */
	void (*fn)(void *ctx, const struct ident_answer *answer);
	void *ctx;
};

/* The strings are copied. None of the callbacks runs before this returns. */
struct ident *ident_start(uv_loop_t *loop, const struct ident_spec *spec);
void ident_cancel(struct ident *ident);
const char *ident_name(enum ident_outcome outcome);

#endif
