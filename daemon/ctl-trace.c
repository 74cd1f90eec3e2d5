/* rwctl trace: prints the spans of one request as a tree. */
#include "ctl.h"

#include <stdio.h>
#include <string.h>

/* Reads a request's spans from a trace file; NULL if it cannot be read. */
static GPtrArray *spans_read(const char *path, const char *id)
{
	GPtrArray *spans = g_ptr_array_new();
	char *trace = NULL;
	char *text;
	char **lines;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		g_ptr_array_free(spans, TRUE);
		return NULL;
	}
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++) {
		struct json_object *span =
			json_parse_object(*line, strlen(*line));

		if (span && !strcmp(json_text(span, "id", ""), id)) {
			if (!trace)
				trace = g_strdup(json_text(span, "trace", ""));
			g_ptr_array_add(spans, span);
		} else {
			json_object_put(span);
		}
	}
	g_strfreev(lines);
	g_free(text);
	g_free(trace);
	return spans;
}

/* Whether a span with that id is in the list. */
static bool has_span(GPtrArray *spans, const char *id)
{
	for (guint i = 0; i < spans->len; i++)
		if (!strcmp(json_text(g_ptr_array_index(spans, i), "span", ""),
			    id))
			return true;
	return false;
}

/* Prints a span and its descendants, indented by depth. */
static void span_print(GPtrArray *spans, struct json_object *span, int depth)
{
	int64_t start = json_int(span, "start_ms", 0);

	printf("%*s%s on %s: %" PRId64 " ms  %s\n", depth * 2, "",
	       json_text(span, "name", ""), json_text(span, "host", ""),
	       json_int(span, "end_ms", 0) - start,
	       json_text(span, "detail", ""));
	for (guint i = 0; i < spans->len; i++) {
		struct json_object *child = g_ptr_array_index(spans, i);

		if (child != span && !strcmp(json_text(child, "parent", "-"),
					     json_text(span, "span", "")))
			span_print(spans, child, depth + 1);
	}
}

enum ctl_exit ctl_trace(const struct ctl *ctl, const char **args)
{
	GPtrArray *spans = spans_read(args[0], args[1]);

	(void)ctl;
	if (!spans) {
		fprintf(stderr, "rwctl: cannot read \"%s\"\n", args[0]);
		return CTL_REFUSED;
	}
	for (guint i = 0; i < spans->len; i++) {
		struct json_object *span = g_ptr_array_index(spans, i);

		if (!has_span(spans, json_text(span, "parent", "")))
			span_print(spans, span, 0);
	}
	if (spans->len == 0)
		fprintf(stderr, "rwctl: no span of request \"%s\"\n", args[1]);
	return spans->len ? CTL_OK : CTL_REFUSED;
}
