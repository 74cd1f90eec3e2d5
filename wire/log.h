/* Log of state changes, written with log4c. */
#ifndef WIRE_LOG_H
#define WIRE_LOG_H

#include <glib.h>
#include <stdbool.h>

/* Opens the log; level is named as in the settings, an empty path is stderr. */
int log_open(const char *program, const char *level, const char *path,
	     GError **error);
void log_error(const char *format, ...) __attribute__((format(printf, 1, 2)));
void log_warn(const char *format, ...) __attribute__((format(printf, 1, 2)));
void log_notice(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Logs an event with its fields, as a notice or a warning; a log function of
 * wire/budget. */
void log_event(bool is_warning, const char *event, const char *fields);
void log_close(void);

#endif
