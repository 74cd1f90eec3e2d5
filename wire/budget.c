/* The process's byte budget. */
#include "budget.h"

#include <malloc.h>
#include <stdio.h>
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

static struct {
	uv_loop_t *loop; /* NULL: no budget is enforced */
	void (*log)(bool is_warning, const char *event, const char *fields);
	struct hold hold;
	size_t memory; /* bytes; limit of the process */
	uv_timer_t timer;
	size_t peak; /* total since the last trim */
	clk_ms pressure_logged_at;
	uint64_t evictions;
	uint64_t evicted[HOLD_PURPOSES];
	bool enforcing;
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

static void on_check(uv_timer_t *timer)
{
	(void)timer;
	budget_enforce();
	if (budget.peak > budget.hold.total + TRIM_AFTER) {
		malloc_trim(0);
		budget.peak = budget.hold.total;
	}
	pressure_check();
}

void budget_start(const struct budget_options *options)
{
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
	mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD);
	budget.loop = options->loop;
	budget.log = options->log;
	budget.hold.limit = options->limit;
	budget.memory = (size_t)options->memory_mb * MB;
	uv_timer_init(options->loop, &budget.timer);
	uv_timer_start(&budget.timer, on_check, CHECK_MS, CHECK_MS);
	uv_unref((uv_handle_t *)&budget.timer);
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

void budget_remove(struct budget_holder *holder)
{
	hold_remove(&budget.hold, &holder->hold);
}

static void evict(struct budget_holder *holder)
{
	size_t bytes = hold_evictable(&holder->hold);
	enum hold_purpose purpose = hold_main_purpose(&holder->hold);
	clk_ms idle = now() - holder->hold.progress_at;
	size_t total = budget.hold.total;
	char peer[PEER_MAX];
	const char *outcome;

	holder->ops->peer(holder->ctx, peer, sizeof(peer));
	outcome = holder->ops->evict(holder->ctx);
	budget.evictions++;
	budget.evicted[purpose]++;
	log_line(false, "evicted",
		 "client=%s held_for=%s bytes=%zu idle_ms=%" G_GINT64_FORMAT
		 " held=%zu budget=%zu outcome=%s",
		 peer, hold_purpose_name(purpose), bytes, idle, total,
		 budget.hold.limit, outcome);
}

void budget_enforce(void)
{
	struct hold_holder *next;

	if (budget.enforcing)
		return;
	budget.enforcing = true;
	while ((next = hold_next_eviction(&budget.hold)) != NULL) {
		struct budget_holder *holder = (struct budget_holder *)next;

		if (holder->ops->has_progress(holder->ctx))
			budget_on_progress(holder);
		else
			evict(holder);
	}
	budget.enforcing = false;
}

bool budget_is_exceeded(void)
{
	return budget.hold.limit > 0 && budget.hold.total > budget.hold.limit;
}

void budget_print(GString *text)
{
	g_string_append_printf(text,
			       "held_bytes %zu\nheld_limit %zu\nevictions "
			       "%" G_GUINT64_FORMAT "\n",
			       budget.hold.total, budget.hold.limit,
			       budget.evictions);
	for (int i = 0; i < HOLD_PURPOSES; i++)
		g_string_append_printf(text,
				       "held_bytes_%s %zu\nevictions_%s "
				       "%" G_GUINT64_FORMAT "\n",
				       hold_purpose_name(i),
				       budget.hold.bytes[i],
				       hold_purpose_name(i), budget.evicted[i]);
}
