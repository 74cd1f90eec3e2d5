/* Log of state changes, written with log4c. */
#include "log.h"

#include <errno.h>
#include <log4c.h>
#include <log4c/appender_type_stream2.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static log4c_category_t *category;
static FILE *file;

int log_open(const char *program, const char *level, const char *path,
	     GError **error)
{
	log4c_appender_t *appender;

	log4c_init();
	file = path[0] ? fopen(path, "a") : stderr;
	if (!file) {
		g_set_error(error, g_quark_from_static_string("log"), errno,
			    "cannot open log file \"%s\": %s", path,
			    strerror(errno));
		return -1;
	}
	setvbuf(file, NULL, _IOLBF, BUFSIZ);
	appender = log4c_appender_get(program);
	log4c_appender_set_type(appender, log4c_appender_type_get("stream2"));
	log4c_stream2_set_fp(appender, file);
	log4c_appender_set_layout(appender, log4c_layout_get("dated"));
	log4c_layout_set_type(log4c_layout_get("dated"),
			      log4c_layout_type_get("dated"));
	category = log4c_category_get(program);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, log4c_priority_to_int(level));
	return 0;
}

/* Writes a line if its priority is enabled. */
static void log_line(int priority, const char *format, va_list args)
{
	if (category && log4c_category_is_priority_enabled(category, priority))
		log4c_category_vlog(category, priority, format, args);
}

#define LOG_FUNCTION(name, priority)                                           \
	void name(const char *format, ...)                                     \
	{                                                                      \
		va_list args;                                                  \
                                                                               \
		va_start(args, format);                                        \
		log_line(priority, format, args);                              \
		va_end(args);                                                  \
	}

LOG_FUNCTION(log_error, LOG4C_PRIORITY_ERROR)
LOG_FUNCTION(log_warn, LOG4C_PRIORITY_WARN)
LOG_FUNCTION(log_notice, LOG4C_PRIORITY_NOTICE)

void log_event(bool is_warning, const char *event, const char *fields)
{
	if (is_warning)
		log_warn("%s: %s", event, fields);
	else
		log_notice("%s: %s", event, fields);
}

void log_close(void)
{
	log4c_fini();
	if (file && file != stderr)
		fclose(file);
}
