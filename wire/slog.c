/* The structured log on standard output. */
#include "slog.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#define FLUSH_MS 100	 /* from a line to its write */
#define BUFFER_MAX 65536 /* bytes; what is more is dropped */
#define BURST_SECONDS 4	 /* of the rate that may be saved up */
#define LINE_BYTES 640	 /* longest line */

static struct {
	uv_timer_t timer;
	bool open;
	bool armed;
	char host[64];
	enum slog_level least;
	double rate;
	double saved;
	uint64_t last; /* loop time of the last filling, in ms */
	GString *buffer;
	uint64_t dropped;
	uint64_t told; /* dropped lines that a line has told of */
} state = { .least = SLOG_NOTICE };

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

void slog_configure(enum slog_level least, int rate)
{
	state.least = least;
	state.rate = rate;
}

void slog_open(uv_loop_t *loop, const char *host, enum slog_level least,
	       int rate)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	uv_timer_init(loop, &state.timer);
	uv_unref((uv_handle_t *)&state.timer);
	g_strlcpy(state.host, host, sizeof(state.host));
	state.buffer = g_string_sized_new(4096);
	state.saved = (double)rate * BURST_SECONDS;
	state.last = uv_now(loop);
	state.open = true;
	slog_configure(least, rate);
}

uint64_t slog_dropped(void)
{
	return state.dropped;
}

void slog_flush(void)
{
	ssize_t done;

	if (!state.open || state.buffer->len == 0)
		return;
	done = write(STDOUT_FILENO, state.buffer->str, state.buffer->len);
	if (done > 0)
		g_string_erase(state.buffer, 0, done);
	else if (done < 0 && errno != EAGAIN && errno != EINTR)
		g_string_truncate(state.buffer, 0); /* nobody reads it */
}

static void arm(void);

static void on_timer(uv_timer_t *timer)
{
	(void)timer;
	state.armed = false;
	slog_flush();
	if (state.buffer->len > 0)
		arm();
}

/* Has the buffer written soon. */
static void arm(void)
{
	if (state.armed)
		return;
	state.armed = true;
	uv_timer_start(&state.timer, on_timer, FLUSH_MS, 0);
}

/* Whether the rate allows a line. */
static bool rate_allows(enum slog_level level)
{
	uint64_t now = uv_now(state.timer.loop);

	state.saved += (double)(now - state.last) * state.rate / CLK_SECOND;
	state.saved = MIN(state.saved, state.rate * BURST_SECONDS);
	state.last = now;
	if (state.saved < 1 && level > SLOG_NOTICE)
		return false;
	state.saved -= 1;
	return true;
}

void slog(enum slog_level level, const char *event, const char *format, ...)
{
	char line[LINE_BYTES];
	va_list args;
	int len;

	if (!state.open || level > state.least)
		return;
	if (!rate_allows(level) ||
	    state.buffer->len + LINE_BYTES > BUFFER_MAX) {
		state.dropped++;
		return;
	}
	if (state.told < state.dropped) {
		g_string_append_printf(
			state.buffer,
			"t=%" G_GINT64_FORMAT
			" host=%s ev=lines_dropped total=%" G_GUINT64_FORMAT
			"\n",
			g_get_real_time() / 1000, state.host, state.dropped);
		state.told = state.dropped;
	}
	len = g_snprintf(line, sizeof(line),
			 "t=%" G_GINT64_FORMAT " host=%s ev=%s ",
			 g_get_real_time() / 1000, state.host, event);
	va_start(args, format);
	len += g_vsnprintf(line + len, sizeof(line) - (gulong)len, format,
			   args);
	va_end(args);
	len = MIN(len, LINE_BYTES - 1);
	/* A value from outside must not begin a line of its own. */
	for (int i = 0; i < len; i++)
		if ((unsigned char)line[i] < ' ')
			line[i] = '?';
	g_string_append_len(state.buffer, line, len);
	g_string_append_c(state.buffer, '\n');
	arm();
}
