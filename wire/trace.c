/* Tracing to JSON lines. */
#include "trace.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "json.h"

#define TRACE_ID_OFFSET 3 /* in a traceparent */
#define SPAN_ID_OFFSET 36
#define TRACE_ID_LEN 32
#define SPAN_ID_LEN 16

struct tracer {
	FILE *file; /* NULL: nothing is written */
	char *host;
	GRand *rand;
};

struct tracer *trace_open(const char *path, const char *host, GRand *rand,
			  GError **error)
{
	struct tracer *tracer = g_new0(struct tracer, 1);

	tracer->host = g_strdup(host);
	tracer->rand = rand;
	if (!path[0])
		return tracer;
	tracer->file = fopen(path, "a");
	if (tracer->file) {
		setvbuf(tracer->file, NULL, _IOLBF, BUFSIZ);
		return tracer;
	}
	g_set_error(error, g_quark_from_static_string("trace"), errno,
		    "cannot open trace file \"%s\": %s", path, strerror(errno));
	trace_close(tracer);
	return NULL;
}

void trace_close(struct tracer *tracer)
{
	if (tracer->file)
		fclose(tracer->file);
	g_free(tracer->host);
	g_free(tracer);
}

bool trace_parent_is_valid(const char *text, size_t len)
{
	if (len != TRACE_PARENT_LEN || text[2] != '-' ||
	    text[SPAN_ID_OFFSET - 1] != '-' ||
	    text[SPAN_ID_OFFSET + SPAN_ID_LEN] != '-')
		return false;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isxdigit(text[i]) && text[i] != '-')
			return false;
	return true;
}

/* Writes random hex digits. */
static void random_hex(GRand *rand, char *buf, size_t digits)
{
	for (size_t i = 0; i < digits; i++)
		buf[i] = "0123456789abcdef"[g_rand_int_range(rand, 0, 16)];
	buf[digits] = '\0';
}

void trace_begin(struct tracer *tracer, struct trace_span *span,
		 const char *parent, size_t len)
{
	memset(span, 0, sizeof(*span));
	if (trace_parent_is_valid(parent, len)) {
		memcpy(span->trace, parent + TRACE_ID_OFFSET, TRACE_ID_LEN);
		memcpy(span->parent, parent + SPAN_ID_OFFSET, SPAN_ID_LEN);
	} else {
		random_hex(tracer->rand, span->trace, TRACE_ID_LEN);
	}
	random_hex(tracer->rand, span->span, SPAN_ID_LEN);
	span->start = g_get_real_time() / 1000;
}

void trace_parent_format(const struct trace_span *span,
			 char buf[TRACE_PARENT_LEN + 1])
{
	g_snprintf(buf, TRACE_PARENT_LEN + 1, "00-%s-%s-01", span->trace,
		   span->span);
}

void trace_end(struct tracer *tracer, const struct trace_span *span,
	       const char *name, const char *id, const char *detail)
{
	struct json_object *line;
	size_t len;

	if (!tracer->file)
		return;
	line = json_object_new_object();
	json_add_text(line, "trace", span->trace);
	json_add_text(line, "span", span->span);
	json_add_text(line, "parent", span->parent);
	json_add_text(line, "name", name);
	json_add_text(line, "host", tracer->host);
	json_add_text(line, "id", id);
	json_add_int(line, "start_ms", span->start);
	json_add_int(line, "end_ms", g_get_real_time() / 1000);
	json_add_text(line, "detail", detail);
	fprintf(tracer->file, "%s\n", json_print(line, &len));
	json_object_put(line);
}
