/* Counts of started requests by account and window. */
#include "usage.h"

#include <stdio.h>
#include <string.h>

/* One counter; its key in the table is made of its window, process and
 * account. */
struct usage_entry {
	int64_t window;
	char *process;
	char *account;
	int64_t count;
};

static void entry_free(gpointer data)
{
	struct usage_entry *entry = data;

	g_free(entry->process);
	g_free(entry->account);
	g_free(entry);
}

void usage_init(struct usage *usage, clk_ms window)
{
	*usage = (struct usage){
		.window = window,
		.counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						entry_free),
		.newest_window = INT64_MIN,
	};
}

int64_t usage_window(const struct usage *usage, clk_ms wall)
{
	return wall / usage->window;
}

static gboolean is_expired(gpointer key, gpointer value, gpointer ctx)
{
	const struct usage_entry *entry = value;
	const struct usage *usage = ctx;

	(void)key;
	return entry->window <= usage->newest_window - USAGE_WINDOWS;
}

/* Returns a counter, created if missing; NULL if its window has expired. */
static struct usage_entry *entry_get(struct usage *usage, const char *process,
				     const char *account, int64_t window)
{
	char *key;
	struct usage_entry *entry;

	if (window > usage->newest_window) {
		usage->newest_window = window;
		g_hash_table_foreach_remove(usage->counts, is_expired, usage);
	}
	if (window <= usage->newest_window - USAGE_WINDOWS)
		return NULL;
	key = g_strdup_printf("%" G_GINT64_FORMAT "\n%s\n%s", window, process,
			      account);
	entry = g_hash_table_lookup(usage->counts, key);
	if (entry) {
		g_free(key);
		return entry;
	}
	entry = g_new0(struct usage_entry, 1);
	entry->window = window;
	entry->process = g_strdup(process);
	entry->account = g_strdup(account);
	g_hash_table_insert(usage->counts, key, entry);
	return entry;
}

void usage_add(struct usage *usage, const char *process, const char *account,
	       clk_ms wall)
{
	struct usage_entry *entry =
		entry_get(usage, process, account, usage_window(usage, wall));

	if (entry)
		entry->count++;
}

void usage_merge(struct usage *usage, const char *process, const char *account,
		 int64_t window, int64_t count)
{
	struct usage_entry *entry = entry_get(usage, process, account, window);

	if (entry)
		entry->count = MAX(entry->count, count);
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
		const struct usage_entry *entry = value;

		if (entry->window == window &&
		    (!process || !strcmp(process, entry->process)))
			fn(ctx, entry->account, entry->count);
	}
}
