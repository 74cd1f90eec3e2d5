/* Structured log on standard output. */
#include "slog.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#define FLUSH_MS 100	 /* from a line to the write */
#define BUFFER_MAX 65536 /* bytes; lines beyond are dropped */
#define BURST_SECONDS 4	 /* depth of the token bucket: this times the rate */
#define LINE_BYTES 640	 /* longest line, with the final NUL */

static struct {
	uv_timer_t timer;
	bool open;
	bool flush_pending;
	char host[64];
	enum slog_level max_level; /* the least severe that is written */
	double rate;
	double tokens;
	uint64_t refilled_at; /* loop time of the last refill, in ms */
	GString *buffer;
	uint64_t dropped;
	uint64_t dropped_reported; /* value of dropped in the last report */
} state = { .max_level = SLOG_NOTICE };

static const char *const level_names[SLOG_LEVEL_COUNT] = {
	[SLOG_ERROR] = "error",
	[SLOG_WARN] = "warn",
	[SLOG_NOTICE] = "notice",
	[SLOG_INFO] = "info",
};

enum slog_level slog_level_parse(const char *name)
{
	int level = 0;

	while (level < SLOG_LEVEL_COUNT &&
	       strcmp(level_names[level], name) != 0)
		level++;
	return (enum slog_level)level;
}

void slog_configure(enum slog_level max_level, int rate)
{
	state.max_level = max_level;
	state.rate = rate;
}

void slog_open(uv_loop_t *loop, const char *host, enum slog_level max_level,
	       int rate)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	uv_timer_init(loop, &state.timer);
	uv_unref((uv_handle_t *)&state.timer);
	g_strlcpy(state.host, host, sizeof(state.host));
	state.buffer = g_string_sized_new(4096);
	state.tokens = (double)rate * BURST_SECONDS;
	state.refilled_at = uv_now(loop);
	state.open = true;
	slog_configure(max_level, rate);
}

uint64_t slog_dropped(void)
{
	return state.dropped;
}

void slog_flush(void)
{
	ssize_t written;

	if (!state.open || state.buffer->len == 0)
		return;
	written = write(STDOUT_FILENO, state.buffer->str, state.buffer->len);
	if (written > 0)
		g_string_erase(state.buffer, 0, written);
	else if (written < 0 && errno != EAGAIN && errno != EINTR)
		g_string_truncate(state.buffer, 0); /* the reader is gone */
}

static void schedule_flush(void);

static void on_flush_timer(uv_timer_t *timer)
{
	(void)timer;
	state.flush_pending = false;
	slog_flush();
	if (state.buffer->len > 0)
		schedule_flush();
}

/* Schedules a write of the buffer. */
static void schedule_flush(void)
{
	if (state.flush_pending)
		return;
	state.flush_pending = true;
	uv_timer_start(&state.timer, on_flush_timer, FLUSH_MS, 0);
}

/* Takes a token for a line; returns false if there is none. Lines up to
 * SLOG_NOTICE always get one, even if the token count becomes negative. */
static bool take_token(enum slog_level level)
{
	uint64_t now = uv_now(state.timer.loop);

	state.tokens +=
		(double)(now - state.refilled_at) * state.rate / CLK_SECOND;
	state.tokens = MIN(state.tokens, state.rate * BURST_SECONDS);
	state.refilled_at = now;
	if (state.tokens < 1 && level > SLOG_NOTICE)
		return false;
	state.tokens -= 1;
	return true;
}

void slog(enum slog_level level, const char *event, const char *format, ...)
{
	char line[LINE_BYTES];
	va_list args;
	int len;

	if (!state.open || level > state.max_level)
		return;
	if (!take_token(level) || state.buffer->len + LINE_BYTES > BUFFER_MAX) {
		state.dropped++;
		return;
	}
	if (state.dropped_reported < state.dropped) {
		g_string_append_printf(
			state.buffer,
			"t=%" G_GINT64_FORMAT
			" host=%s ev=lines_dropped total=%" G_GUINT64_FORMAT
			"\n",
			g_get_real_time() / 1000, state.host, state.dropped);
		state.dropped_reported = state.dropped;
	}
	len = g_snprintf(line, sizeof(line),
			 "t=%" G_GINT64_FORMAT " host=%s ev=%s ",
			 g_get_real_time() / 1000, state.host, event);
	va_start(args, format);
	len += g_vsnprintf(line + len, sizeof(line) - (gulong)len, format,
			   args);
	va_end(args);
	len = MIN(len, LINE_BYTES - 1);
	/* Control characters in a received value must not forge log lines. */
	for (int i = 0; i < len; i++)
		if ((unsigned char)line[i] < ' ')
			line[i] = '?';
	g_string_append_len(state.buffer, line, len);
	g_string_append_c(state.buffer, '\n');
	schedule_flush();
}
