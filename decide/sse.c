/* Splitting and deduplication of server-sent events. */
#include "sse.h"

#include <string.h>

#define EVENT_MAX (1 << 20) /* bytes of one event */
/* Larger buffers are fitted to what they hold. */
#define BUFFER_KEEP_BYTES 8192

void sse_init(struct sse *sse, int64_t last_id)
{
	*sse = (struct sse){
		.buf = g_string_new(NULL),
		.last_id = last_id,
	};
}

void sse_clear(struct sse *sse)
{
	if (sse->buf)
		g_string_free(sse->buf, TRUE);
	sse->buf = NULL;
}

void sse_discard_partial(struct sse *sse)
{
	sse->was_partial |= sse->buf->len > 0;
	g_string_truncate(sse->buf, 0);
	sse->scanned = 0;
}

/* Returns the id of an event, or -1 if it has none. */
static int64_t event_id(const char *ptr, size_t len)
{
	const char *end = ptr + len;

	while (ptr < end) {
		const char *line = ptr;
		const char *stop = memchr(ptr, '\n', (size_t)(end - ptr));
		size_t size = (size_t)((stop ? stop : end) - line);

		if (size > 3 && memcmp(line, "id:", 3) == 0)
			return g_ascii_strtoll(line + 3, NULL, 10);
		ptr = stop ? stop + 1 : end;
	}
	return -1;
}

/* Relays one complete event. Returns false if events before it are missing. */
static bool event_relay(struct sse *sse, const char *ptr, size_t len,
			GString *out)
{
	int64_t id = event_id(ptr, len);

	if (id >= 0) {
		if (id <= sse->last_id)
			return true;
		if (sse->last_id >= 0 && id != sse->last_id + 1)
			return false;
		sse->last_id = id;
	}
	sse->events++;
	sse->was_partial = false;
	g_string_append_len(out, ptr, (gssize)len);
	return true;
}

bool sse_feed(struct sse *sse, const char *ptr, size_t len, GString *out)
{
	size_t start = 0;
	GString *buf = sse->buf;

	g_string_append_len(buf, ptr, (gssize)len);
	for (size_t i = sse->scanned; i < buf->len; i++) {
		bool ends = i > 0 && buf->str[i] == '\n' &&
			    (buf->str[i - 1] == '\n' ||
			     (i > 2 && buf->str[i - 1] == '\r' &&
			      buf->str[i - 2] == '\n'));

		if (!ends || i + 1 - start < 2)
			continue;
		if (!event_relay(sse, buf->str + start, i + 1 - start, out))
			return false;
		start = i + 1;
	}
	g_string_erase(buf, 0, (gssize)start);
	sse->scanned = buf->len > 0 ? buf->len - 1 : 0;
	if (buf->allocated_len > BUFFER_KEEP_BYTES &&
	    buf->allocated_len / 4 > buf->len) {
		buf->str = g_realloc(buf->str, buf->len + 1);
		buf->allocated_len = buf->len + 1;
	}
	return buf->len <= EVENT_MAX;
}

bool sse_is_complete(const struct sse *sse)
{
	return sse->buf->len == 0;
}
