/* Usage windows that may be reported. */
#include "seal.h"

#include <stdio.h>

void seal_init(struct seals *seals)
{
	*seals = (struct seals){
		.counts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free),
		.known_from = SEAL_NEVER,
	};
}

void seal_put(struct seals *seals, int64_t window, const char *counts,
	      size_t len)
{
	g_hash_table_replace(seals->counts, g_memdup2(&window, sizeof(window)),
			     g_strndup(counts, len));
}

const char *seal_counts(const struct seals *seals, int64_t window)
{
	return g_hash_table_lookup(seals->counts, &window);
}

void seal_on_era(struct seals *seals, bool followed, int64_t next)
{
	if (!followed)
		seals->known_from = next;
}

void seal_on_record(struct seals *seals, int64_t from)
{
	seals->known_from = MIN(seals->known_from, from);
}

int64_t seal_first(const struct seals *seals, int64_t counted_from)
{
	return MIN(seals->known_from, counted_from);
}

char *seal_record_print(int64_t era, int64_t from)
{
	return g_strdup_printf(
		"era=%" G_GINT64_FORMAT " from=%" G_GINT64_FORMAT, era, from);
}

bool seal_record_parse(const char *text, size_t len, int64_t *era,
		       int64_t *from)
{
	char *copy = g_strndup(text, len);
	int end = -1;
	bool ok = sscanf(copy,
			 "era=%" G_GINT64_FORMAT " from=%" G_GINT64_FORMAT "%n",
			 era, from, &end) == 2 &&
		  end == (int)len;

	g_free(copy);
	return ok;
}

static gboolean is_before(gpointer key, gpointer value, gpointer ctx)
{
	(void)value;
	return *(const int64_t *)key < *(const int64_t *)ctx;
}

void seal_expire(struct seals *seals, int64_t oldest)
{
	g_hash_table_foreach_remove(seals->counts, is_before, &oldest);
}
