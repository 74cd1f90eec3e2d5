/* The process's budget of bytes and connections. */
#include "budget.h"

#include <errno.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHECK_MS 1000
#define DEFAULT_SHARE 2 /* the budget is this part of the memory limit */
#define MB ((size_t)1 << 20)
/* Larger blocks are mapped on their own, and so returned to the kernel when
 * freed. Without a fixed value the threshold of glibc rises with each block
 * that is freed. */
#define MMAP_THRESHOLD 65536
#define TRIM_THRESHOLD 131072
#define TRIM_AFTER (4 * MB)   /* freed bytes after which the heap is trimmed */
#define PRESSURE_PERCENT 90   /* of the memory limit */
#define PRESSURE_LOG_MS 10000 /* between two log lines */
#define PEER_MAX 64
#define WINDOWS_SHARE 8	      /* of the memory limit, for receive windows */
#define DESCRIPTORS_FILES 200 /* that are not for connections */
#define CONNECTIONS_MIN 64
/* Candidates to displace for one connection that have unread input. */
#define DISPLACE_TRIES 8
#define WAIT_CHECK_MS 10 /* period of looking for a place */

static struct {
	uv_loop_t *loop; /* NULL: no budget is enforced */
	void (*log)(bool is_warning, const char *event, const char *fields);
	struct hold hold;
	size_t memory; /* bytes; limit of the process */
	uv_timer_t timer;
	uv_timer_t wait_timer; /* active while listeners wait */
	GQueue waiting;	       /* struct budget_listener */
	size_t peak;	       /* total since the last trim */
	clk_ms pressure_logged_at;
	uint64_t evictions;
	uint64_t evicted[HOLD_PURPOSES];
	uint64_t displaced;
	uint64_t turned_away; /* found no place */
	/* The same at the last log line. */
	uint64_t displaced_logged;
	uint64_t turned_away_logged;
	char displaced_peer[PEER_MAX]; /* the last one */
	bool enforcing;
	bool window_failed; /* a receive window could not be set */
	bool windows_scarce;
} budget;

static clk_ms now(void)
{
	return budget.loop ? (clk_ms)uv_now(budget.loop) : 0;
}

size_t budget_limit(int64_t budget_mb, int64_t memory_mb)
{
	return budget_mb > 0 ? (size_t)budget_mb * MB
			     : (size_t)memory_mb * MB / DEFAULT_SHARE;
}

static void log_line(bool is_warning, const char *event, const char *format,
		     ...) __attribute__((format(printf, 3, 4)));

static void log_line(bool is_warning, const char *event, const char *format,
		     ...)
{
	va_list args;
	char *fields;

	va_start(args, format);
	fields = g_strdup_vprintf(format, args);
	va_end(args);
	budget.log(is_warning, event, fields);
	g_free(fields);
}

/* Returns the resident memory of the process in bytes; 0: not known. */
static size_t resident(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	char line[128] = "";
	char *end;
	guint64 pages;

	if (!file)
		return 0;
	if (!fgets(line, sizeof(line), file))
		line[0] = '\0';
	fclose(file);
	g_ascii_strtoull(line, &end, 10); /* the whole address space */
	pages = g_ascii_strtoull(end, NULL, 10);
	return (size_t)pages * (size_t)sysconf(_SC_PAGESIZE);
}

/* Logs memory pressure that the counted bytes do not explain: the accounting
 * lacks something then. */
static void pressure_check(void)
{
	size_t memory = resident();

	if (memory < budget.memory / 100 * PRESSURE_PERCENT ||
	    budget.hold.total > budget.hold.limit)
		return;
	if (budget.pressure_logged_at &&
	    now() - budget.pressure_logged_at < PRESSURE_LOG_MS)
		return;
	budget.pressure_logged_at = now();
	log_line(true, "memory",
		 "resident=%zu limit=%zu held=%zu budget=%zu "
		 "outcome=not_counted",
		 memory, budget.memory, budget.hold.total, budget.hold.limit);
}

/* Logs that connections were displaced or turned away. */
static void connections_log(void)
{
	uint64_t displaced = budget.displaced - budget.displaced_logged;
	uint64_t turned_away = budget.turned_away - budget.turned_away_logged;

	if (displaced == 0 && turned_away == 0)
		return;
	budget.displaced_logged = budget.displaced;
	budget.turned_away_logged = budget.turned_away;
	log_line(false, "connections",
		 "displaced=%" G_GUINT64_FORMAT
		 " turned_away=%" G_GUINT64_FORMAT
		 " open=%zu limit=%zu last_displaced=%s",
		 displaced, turned_away, budget.hold.connections,
		 budget.hold.connections_limit, budget.displaced_peer);
}

/* Logs when receive windows begin, or cease, to be the smallest. */
static void windows_log(void)
{
	bool are_scarce = hold_windows_are_scarce(&budget.hold);

	if (are_scarce == budget.windows_scarce)
		return;
	budget.windows_scarce = are_scarce;
	log_line(false, "windows", "bytes=%zu limit=%zu open=%zu outcome=%s",
		 budget.hold.windows, budget.hold.windows_limit,
		 budget.hold.connections, are_scarce ? "scarce" : "ample");
}

static void on_check(uv_timer_t *timer)
{
	(void)timer;
	budget_enforce();
	connections_log();
	windows_log();
	if (budget.peak > budget.hold.total + TRIM_AFTER) {
		malloc_trim(0);
		budget.peak = budget.hold.total;
	}
	pressure_check();
}

/* Returns the connections that the descriptors of the process suffice for. */
static size_t connections_max(int64_t descriptors)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur != RLIM_INFINITY &&
	    (descriptors == 0 || (int64_t)limit.rlim_cur < descriptors))
		descriptors = (int64_t)limit.rlim_cur;
	return (size_t)MAX(descriptors - DESCRIPTORS_FILES, CONNECTIONS_MIN);
}

void budget_start(const struct budget_options *options)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
	mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD);
	budget.loop = options->loop;
	budget.log = options->log;
	budget.hold.limit = options->limit;
	budget.memory = (size_t)options->memory_mb * MB;
	budget.hold.windows_limit = budget.memory / WINDOWS_SHARE;
	budget.hold.connections_limit = connections_max(options->descriptors);
	uv_timer_init(options->loop, &budget.timer);
	uv_timer_start(&budget.timer, on_check, CHECK_MS, CHECK_MS);
	uv_unref((uv_handle_t *)&budget.timer);
	uv_timer_init(options->loop, &budget.wait_timer);
}

size_t budget_connections_max(void)
{
	return budget.loop ? budget.hold.connections_limit : G_MAXINT;
}

void budget_init(struct budget_holder *holder, const struct budget_ops *ops,
		 void *ctx)
{
	hold_init(&holder->hold, ops != NULL);
	holder->ops = ops;
	holder->ctx = ctx;
}

void budget_set(struct budget_holder *holder, enum hold_purpose purpose,
		size_t bytes)
{
	hold_set(&budget.hold, &holder->hold, purpose, bytes, now());
	budget.peak = MAX(budget.peak, budget.hold.total);
}

void budget_on_progress(struct budget_holder *holder)
{
	hold_on_progress(&budget.hold, &holder->hold, now());
}

void budget_on_bytes(struct budget_holder *holder, size_t bytes)
{
	hold_on_bytes(&budget.hold, &holder->hold, bytes, now());
}

void budget_remove(struct budget_holder *holder)
{
	hold_remove(&budget.hold, &holder->hold);
}

static void evict(struct budget_holder *holder)
{
	size_t bytes = hold_evictable(&holder->hold);
	enum hold_purpose purpose = hold_main_purpose(&holder->hold);
	clk_ms lag = hold_lag(&holder->hold, now());
	size_t total = budget.hold.total;
	char peer[PEER_MAX];
	const char *outcome;

	holder->ops->peer(holder->ctx, peer, sizeof(peer));
	outcome = holder->ops->evict(holder->ctx);
	budget.evictions++;
	budget.evicted[purpose]++;
	log_line(false, "evicted",
		 "client=%s held_for=%s bytes=%zu lag_ms=%" G_GINT64_FORMAT
		 " held=%zu budget=%zu outcome=%s",
		 peer, hold_purpose_name(purpose), bytes, lag, total,
		 budget.hold.limit, outcome);
}

/* Closes a connection, unless it has unread input. */
static void displace(struct budget_holder *holder)
{
	char peer[PEER_MAX];

	holder->ops->peer(holder->ctx, peer, sizeof(peer));
	if (!holder->ops->displace(holder->ctx)) {
		budget_on_progress(holder);
		return;
	}
	budget.displaced++;
	memcpy(budget.displaced_peer, peer, sizeof(peer));
}

/* Displaces connections until there is a place. Returns false if there is none
 * yet, but waiting may help. */
static bool place_make(const struct hold_group *group)
{
	clk_ms wait = CLK_NEVER;

	for (int i = 0; i < DISPLACE_TRIES; i++) {
		struct hold_holder *next;

		if (hold_has_place(&budget.hold, group))
			return true;
		next = hold_next_displaced(&budget.hold, group, now(), &wait);
		if (!next)
			return wait == CLK_NEVER;
		displace((struct budget_holder *)next);
	}
	return hold_has_place(&budget.hold, group);
}

void budget_enforce(void)
{
	struct hold_holder *next;

	if (budget.enforcing)
		return;
	budget.enforcing = true;
	while ((next = hold_next_eviction(&budget.hold)) != NULL) {
		struct budget_holder *holder = (struct budget_holder *)next;
		size_t taken = holder->ops->taken(holder->ctx);

		if (taken > 0)
			budget_on_bytes(holder, taken);
		else
			evict(holder);
	}
	if (budget.hold.connections > budget.hold.connections_limit)
		place_make(NULL);
	budget.enforcing = false;
}

static void on_wait(uv_timer_t *timer)
{
	guint count = budget.waiting.length;

	while (count-- > 0) {
		GList *link = g_queue_pop_head_link(&budget.waiting);
		struct budget_listener *listener = link->data;

		listener->waits = false;
		listener->fn(listener->stream, 0);
	}
	if (budget.waiting.length == 0)
		uv_timer_stop(timer);
}

void budget_listener_add(struct budget_listener *listener, uv_stream_t *stream,
			 uv_connection_cb fn, size_t limit)
{
	hold_group_add(&budget.hold, &listener->group, limit);
	listener->stream = stream;
	listener->fn = fn;
	listener->link.data = listener;
}

void budget_listener_remove(struct budget_listener *listener)
{
	if (listener->waits)
		g_queue_unlink(&budget.waiting, &listener->link);
	listener->waits = false;
}

bool budget_may_accept(struct budget_listener *listener)
{
	if (place_make(&listener->group))
		return true;
	if (!budget.loop) /* nothing would look again */
		return true;
	listener->waits = true;
	g_queue_push_tail_link(&budget.waiting, &listener->link);
	uv_timer_start(&budget.wait_timer, on_wait, WAIT_CHECK_MS,
		       WAIT_CHECK_MS);
	return false;
}

bool budget_join(struct budget_holder *holder, struct budget_listener *listener)
{
	if (!hold_has_place(&budget.hold, &listener->group)) {
		budget.turned_away++;
		return false;
	}
	hold_join(&budget.hold, &listener->group, &holder->hold, now());
	return true;
}

bool budget_may_serve(const struct budget_listener *listener)
{
	return hold_may_serve(&budget.hold, &listener->group);
}

void budget_join_outgoing(struct budget_holder *holder)
{
	hold_join(&budget.hold, NULL, &holder->hold, now());
}

/* Linux doubles the value, and buffers no more than that. */
static void window_apply(uv_os_fd_t fd, size_t window)
{
	int value = (int)(window / 2);

	if (setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &value, sizeof(value)) == 0 ||
	    budget.window_failed)
		return;
	budget.window_failed = true;
	log_line(true, "memory", "window=%zu error=\"%s\" outcome=not_limited",
		 window, g_strerror(errno));
}

void budget_set_window(struct budget_holder *holder, uv_os_fd_t fd)
{
	size_t window = hold_reserve_window(&budget.hold, &holder->hold);

	if (window > 0)
		window_apply(fd, window);
}

void budget_set_listener_window(uv_os_fd_t fd)
{
	if (budget.hold.windows_limit > 0)
		window_apply(fd, HOLD_WINDOW_MIN);
}

bool budget_is_exceeded(void)
{
	return budget.hold.limit > 0 && budget.hold.total > budget.hold.limit;
}

void budget_print(GString *text)
{
	const struct hold *hold = &budget.hold;

	g_string_append_printf(text,
			       "held_bytes %zu\nheld_limit %zu\nevictions "
			       "%" G_GUINT64_FORMAT "\n",
			       hold->total, hold->limit, budget.evictions);
	g_string_append_printf(text,
			       "connections %zu\nconnections_limit %zu\n"
			       "connections_displaced %" G_GUINT64_FORMAT "\n"
			       "connections_turned_away %" G_GUINT64_FORMAT "\n"
			       "windows_bytes %zu\nwindows_limit %zu\n",
			       hold->connections, hold->connections_limit,
			       budget.displaced, budget.turned_away,
			       hold->windows, hold->windows_limit);
	for (int i = 0; i < HOLD_PURPOSES; i++)
		g_string_append_printf(text,
				       "held_bytes_%s %zu\nevictions_%s "
				       "%" G_GUINT64_FORMAT "\n",
				       hold_purpose_name(i), hold->bytes[i],
				       hold_purpose_name(i), budget.evicted[i]);
}
