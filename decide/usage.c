/* Counts of begun requests. */
#include "usage.h"

#include <stdio.h>
#include <string.h>

/* One counter; its place in the table is its window, process and account. */
struct usage_count {
	int64_t window;
	char *process;
	char *account;
	int64_t count;
};

static void count_free(gpointer data)
{
	struct usage_count *count = data;

	g_free(count->process);
	g_free(count->account);
	g_free(count);
}

void usage_init(struct usage *usage, clk_ms window)
{
	*usage = (struct usage){
		.window = window,
		.counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						count_free),
		.newest_window = INT64_MIN,
	};
}

int64_t usage_window(const struct usage *usage, clk_ms wall)
{
	return wall / usage->window;
}

static gboolean is_old(gpointer key, gpointer value, gpointer ctx)
{
	const struct usage_count *count = value;
	const struct usage *usage = ctx;

	(void)key;
	return count->window <= usage->newest_window - USAGE_WINDOWS;
}

/* Finds a counter or makes it; NULL if its window is old. */
static struct usage_count *count_get(struct usage *usage, const char *process,
				     const char *account, int64_t window)
{
	char *key;
	struct usage_count *count;

	if (window > usage->newest_window) {
		usage->newest_window = window;
		g_hash_table_foreach_remove(usage->counts, is_old, usage);
	}
	if (window <= usage->newest_window - USAGE_WINDOWS)
		return NULL;
	key = g_strdup_printf("%" G_GINT64_FORMAT "\n%s\n%s", window, process,
			      account);
	count = g_hash_table_lookup(usage->counts, key);
	if (count) {
		g_free(key);
		return count;
	}
	count = g_new0(struct usage_count, 1);
	count->window = window;
	count->process = g_strdup(process);
	count->account = g_strdup(account);
	g_hash_table_insert(usage->counts, key, count);
	return count;
}

void usage_add(struct usage *usage, const char *process, const char *account,
	       clk_ms wall)
{
	struct usage_count *count =
		count_get(usage, process, account, usage_window(usage, wall));

	if (count)
		count->count++;
}

void usage_merge(struct usage *usage, const char *process, const char *account,
		 int64_t window, int64_t n)
{
	struct usage_count *count = count_get(usage, process, account, window);

	if (count)
		count->count = MAX(count->count, n);
}

void usage_foreach(const struct usage *usage, const char *process,
		   int64_t window,
		   void (*fn)(void *ctx, const char *account, int64_t count),
		   void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, usage->counts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct usage_count *count = value;

		if (count->window == window &&
		    (!process || !strcmp(process, count->process)))
			fn(ctx, count->account, count->count);
	}
}
