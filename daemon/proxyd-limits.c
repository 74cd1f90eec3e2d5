/*
 * The list of the accounts that are near their limits, kept in the store. When
 * all hosts restart, none of them knows what had been spent; without the list
 * they would reject callers of accounts that are far below their limits.
 *
 * The host that ranks first writes the names when they change. An account stays
 * listed as long as its past spending counts.
 */
#include "proxyd.h"

#include <string.h>

#define LIMITS_KEY OWN_PREFIX "limits"
/* How long an account stays listed after it was last near its limit: a window
 * and a margin. */
#define NEAR_LIMIT_KEEP_MS 10000
#define WRITE_GAP_MS 500 /* between two writes of the key */
#define SEPARATOR " "

/* Returns the names of the accounts that are, or recently were, near their
 * limits. */
static char *near_limit_list(struct proxyd *proxyd)
{
	GString *text = g_string_new(NULL);
	clk_ms now = proxyd_now(proxyd);
	GList *names = g_list_sort(g_hash_table_get_keys(proxyd->quotas),
				   (GCompareFunc)strcmp);

	for (GList *at = names; at; at = at->next) {
		struct quota *quota =
			g_hash_table_lookup(proxyd->quotas, at->data);

		if (quota_near_limit(quota))
			quota->near_limit_at = now;
		if (!quota->near_limit_at ||
		    now - quota->near_limit_at > NEAR_LIMIT_KEEP_MS)
			continue;
		if (text->len > 0)
			g_string_append(text, SEPARATOR);
		g_string_append(text, at->data);
	}
	g_list_free(names);
	return g_string_free(text, FALSE);
}

static void on_written(void *ctx, enum kv_outcome outcome, int64_t revision)
{
	struct proxyd *proxyd = ctx;

	proxyd->limits_write_pending = false;
	/* A refused or lost write is retried by limits_tick; another host's
	 * write that came first arrives by the watch. */
	slog(SLOG_NOTICE, "limits", "revision=%" G_GINT64_FORMAT " outcome=%s",
	     revision, outcome == KV_OK ? "written" : "not_written");
}

void limits_tick(struct proxyd *proxyd)
{
	const struct store_item *item = store_get(
		mirror_replica(proxyd->mirror, MIRROR_OWN), LIMITS_KEY);
	clk_ms now = proxyd_now(proxyd);
	char *text = near_limit_list(proxyd);
	gsize len = 0;
	const char *stored = item && item->value
				     ? g_bytes_get_data(item->value, &len)
				     : NULL;
	bool same = stored && len == strlen(text) && !memcmp(stored, text, len);

	if (!same && !proxyd->limits_write_pending && proxyd->tab &&
	    mirror_reads_store(proxyd->mirror) &&
	    now >= proxyd->next_limits_write &&
	    now - proxyd->started_at >= NEAR_LIMIT_KEEP_MS &&
	    proxyd->feed.rank == 0) {
		proxyd->limits_write_pending = true;
		proxyd->next_limits_write = now + WRITE_GAP_MS;
		kv_change(proxyd->kv,
			  &(struct kv_change){
				  .key = LIMITS_KEY,
				  .value = text,
				  .expected_revision = stored ? item->mod : 0,
			  },
			  on_written, proxyd);
	}
	g_free(text);
}

void limits_restore(struct proxyd *proxyd)
{
	const struct store_item *item = store_get(
		mirror_replica(proxyd->mirror, MIRROR_OWN), LIMITS_KEY);
	GHashTableIter iter;
	gpointer name;
	gpointer quota;
	const char *ptr;
	char **listed;
	char *text;
	gsize len;

	if (proxyd->limits_restored || !proxyd->tab ||
	    !mirror_has_snapshot(proxyd->mirror) || proxyd->conf->first_start)
		return;
	proxyd->limits_restored = true;
	if (!item || !item->value)
		return;
	ptr = g_bytes_get_data(item->value, &len);
	text = g_strndup(ptr, len);
	listed = g_strsplit(text, SEPARATOR, 0);
	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (g_hash_table_iter_next(&iter, &name, &quota))
		if (!g_strv_contains((const char *const *)listed, name))
			quota_on_below_limit(quota, proxyd_now(proxyd));
	slog(SLOG_NOTICE, "limits",
	     "revision=%" G_GINT64_FORMAT " near=\"%s\" outcome=recalled",
	     item->mod, text);
	g_strfreev(listed);
	g_free(text);
}
