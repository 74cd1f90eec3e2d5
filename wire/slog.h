/*
 * Structured log on standard output: one line of key=value fields per event.
 * Writes never block the event loop: lines over the rate, and lines that do not
 * fit into the buffer while standard output takes none, are dropped and
 * counted.
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
	SLOG_NOTICE, /* starts, stops, dependencies, changes of state */
	SLOG_INFO,   /* decisions on single requests */
	SLOG_LEVEL_COUNT,
};

/* Opens the log of a host. Levels after max_level are not written; rate is the
 * mean number of lines a second. */
void slog_open(uv_loop_t *loop, const char *host, enum slog_level max_level,
	       int rate);
/* Sets the level and the rate, at the start or after a reload. */
void slog_configure(enum slog_level max_level, int rate);
/* Returns the level with a name, or SLOG_LEVEL_COUNT. */
enum slog_level slog_level_parse(const char *name);
/* Writes "t=<wall ms> host=<name> ev=<event> <fields>". Only SLOG_INFO lines
 * are dropped over the rate. */
void slog(enum slog_level level, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/* Returns the number of lines that were dropped. */
uint64_t slog_dropped(void);
/* Writes the buffered lines; call it before the process exits. */
void slog_flush(void);

/* Arguments of "%.*s" for a view: its length and bytes. */
#define SLOG_VIEW(view) (int)(view).len, (view).ptr

#endif
