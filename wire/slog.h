/*
 * The structured log on standard output: one line an event, as key=value
 * fields. Lines are written from the loop and never block it: what standard
 * output does not take, and what is over the rate, is dropped and counted.
 */
#ifndef WIRE_SLOG_H
#define WIRE_SLOG_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "http.h"

enum slog_level {
	SLOG_ERROR,
	SLOG_WARN,
	SLOG_NOTICE, /* starts, stops, dependencies, what is believed */
	SLOG_INFO,   /* decisions on single requests */
	SLOG_LEVEL_COUNT,
};

/* Opens the log of a host; rate: lines a second on average. */
void slog_open(uv_loop_t *loop, const char *host, enum slog_level least,
	       int rate);
/* Changes what a reload may change. */
void slog_configure(enum slog_level least, int rate);
/* Returns the level of that name, or SLOG_LEVEL_COUNT. */
enum slog_level slog_level_parse(const char *name);
/* Writes "t=<wall ms> host=<name> ev=<event> <fields>". Lines above
 * SLOG_NOTICE go out even over the rate. */
void slog(enum slog_level level, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/* Lines that were dropped. */
uint64_t slog_dropped(void);
/* Writes out what is buffered; at the end of the process. */
void slog_flush(void);

/* For "%.*s": the length and the bytes of a view. */
#define SLOG_VIEW(view) (int)(view).len, (view).ptr

#endif
