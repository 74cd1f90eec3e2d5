/*
 * Finds out whether the process that sent a response without a length still
 * runs now that the response has ended with its connection: asks the worker,
 * over platform/health, and judges by decide/proof.
 */
#ifndef DAEMON_CONFIRM_H
#define DAEMON_CONFIRM_H

#include "../decide/proof.h"
#include "../wire/hc.h"

struct confirm;

/* What was found. */
struct confirm_result {
	enum proof_verdict verdict;
	bool is_refused; /* no process listens at the address */
	unsigned checks; /* times that the worker was asked */
	clk_ms took;	 /* ms */
};

struct confirm_spec {
	struct hc_peer *peer; /* must outlive the call */
	const char *address;
	const char *worker; /* its id */
	const char *health_path;
	bool says_start; /* as in struct proof_evidence, also the next */
	int64_t sent_start;
	clk_ms began_at; /* when the response did */
	clk_ms timeout;	 /* in ms; CLK_NEVER: none */
	/* Returns the start of the process that is listed with the id. */
	int64_t (*listed_start)(void *ctx);
	/* Called once, unless the call is cancelled. */
	void (*fn)(void *ctx, const struct confirm_result *result);
	void *ctx;
};

/* The strings are copied. None of the callbacks runs before this returns. */
struct confirm *confirm_start(uv_loop_t *loop, const struct confirm_spec *spec);
void confirm_cancel(struct confirm *confirm);

#endif
