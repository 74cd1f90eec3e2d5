/*
 * Finds out whether the process that sent a response without a length still
 * runs now that the response has ended with its connection (decide/proof.h).
 */
#ifndef DAEMON_CONFIRM_H
#define DAEMON_CONFIRM_H

#include "../decide/proof.h"
#include "../wire/hc.h"

struct confirm;

struct confirm_spec {
	struct hc_peer *peer; /* must outlive the call */
	const char *address;
	const char *worker; /* its id */
	const char *health_path;
	bool reports;	 /* its kind of worker reports what it does */
	int64_t sent_to; /* start of the process that the request was sent to,
			  * as in struct proof_evidence */
	/* Returns the start of the process that is listed with the id. */
	int64_t (*listed)(void *ctx);
	/* Called once, unless the call is cancelled; took: how long it was, in
	 * ms. */
	void (*fn)(void *ctx, enum proof_verdict verdict, clk_ms took);
	void *ctx;
};

/* The strings are copied. None of the callbacks runs before this returns. */
struct confirm *confirm_start(uv_loop_t *loop, const struct confirm_spec *spec);
void confirm_cancel(struct confirm *confirm);

#endif
