/*
 * The process's byte budget: counts what its connections hold, and evicts some
 * when that is too much. See decide/hold.h for which.
 */
#ifndef WIRE_BUDGET_H
#define WIRE_BUDGET_H

#include <uv.h>

#include "../decide/hold.h"

/* One connection. */
struct budget_holder {
	struct hold_holder hold;
	const struct budget_ops *ops;
	void *ctx;
};

struct budget_ops {
	/* Whether the connection has made progress since the last call. */
	bool (*has_progress)(void *ctx);
	/* Gives up what may be given up; returns what was done. */
	const char *(*evict)(void *ctx);
	/* Writes the client's address. */
	void (*peer)(void *ctx, char *buf, size_t size);
};

struct budget_options {
	uv_loop_t *loop;
	size_t limit;	   /* bytes, see budget_limit */
	int64_t memory_mb; /* limit of the process, in MB */
	/* Writes a log line. */
	void (*log)(bool is_warning, const char *event, const char *fields);
};

/* Begins to enforce a budget. */
void budget_start(const struct budget_options *options);
/* Returns the budget in bytes for settings in MB; budget_mb 0: the default, a
 * half of the memory limit. */
size_t budget_limit(int64_t budget_mb, int64_t memory_mb);
/* ops NULL: the connection is never evicted. */
void budget_init(struct budget_holder *holder, const struct budget_ops *ops,
		 void *ctx);
void budget_set(struct budget_holder *holder, enum hold_purpose purpose,
		size_t bytes);
void budget_on_progress(struct budget_holder *holder);
void budget_remove(struct budget_holder *holder);
/* Evicts connections until the budget suffices. To be called where no owner of
 * a connection is at work. */
void budget_enforce(void);
/* Whether more is held than the budget, after evictions: what grows now can't
 * go on. */
bool budget_is_exceeded(void);
/* Appends the metrics as "name value" lines. */
void budget_print(GString *text);

#endif
