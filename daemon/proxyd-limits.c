/*
 * The accounts that are near their limits and what remains for each, kept in
 * the store. When all hosts restart, none of them knows what had been spent:
 * without this they would reject callers of accounts that are below their
 * limits, or grant a limit twice.
 *
 * The value has the accounts' names and then "@" with the wall clock in ms and
 * a balance for each, all separated by spaces: "a b @1700000000000 a=250 b=-3".
 * Builds before BUILD_BALANCES write and read the names alone; they take the
 * rest for names of accounts that they don't have.
 *
 * At the end stands "@era=" and the era of the store in which it was written
 * (BUILD_STORED_ERAS). A value of another era comes from the copy from which
 * the store was restored, and says nothing of what was spent since; it is
 * written again at once.
 *
 * The host that ranks first writes the value when the names change and, while
 * there are any, every QUOTA_BALANCE_MS. An account stays listed as long as its
 * past spending counts.
 */
#include "proxyd.h"

#include <math.h>
#include <string.h>

#define LIMITS_KEY OWN_PREFIX "limits"
/* How long an account stays listed after it was last near its limit: a window
 * and a margin. */
#define NEAR_LIMIT_KEEP_MS 10000
#define WRITE_GAP_MS 500 /* between two writes of the key */
#define SEPARATOR " "
#define BALANCES_MARK "@"
#define BALANCES_START SEPARATOR BALANCES_MARK
#define ERA_START BALANCES_START "era="

/* Returns the names of the accounts that are, or recently were, near their
 * limits; sets balances to their list. */
static char *near_limit_list(struct proxyd *proxyd, char **balances)
{
	GString *text = g_string_new(NULL);
	GString *left = g_string_new(NULL);
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
		g_string_append_printf(
			left, SEPARATOR "%s=%.0f", (const char *)at->data,
			quota_remaining(quota, proxyd_host_count(proxyd), now));
	}
	g_list_free(names);
	*balances = g_string_free(left, FALSE);
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

/* Whether the stored names are these. */
static bool names_are(const char *stored, const char *names)
{
	size_t len = strlen(names);

	return !strncmp(stored, names, len) &&
	       (!stored[len] || g_str_has_prefix(stored + len, BALANCES_START));
}

/* Whether a value was written in the store's present era, or names none. */
static bool is_of_this_era(const struct proxyd *proxyd, const char *stored)
{
	const char *mark = strstr(stored, ERA_START);

	return !mark || g_ascii_strtoll(mark + strlen(ERA_START), NULL, 10) ==
				kv_era(proxyd->kv);
}

/* Returns the stored text, "" if there is none. The caller frees it. */
static char *stored_text(const struct store_item *item)
{
	gsize len = 0;
	const char *ptr = item && item->value
				  ? g_bytes_get_data(item->value, &len)
				  : NULL;

	return g_strndup(ptr ? ptr : "", len);
}

void limits_tick(struct proxyd *proxyd)
{
	const struct store_item *item = store_get(
		mirror_replica(proxyd->mirror, MIRROR_OWN), LIMITS_KEY);
	clk_ms now = proxyd_now(proxyd);
	char *balances;
	char *names = near_limit_list(proxyd, &balances);
	char *stored = stored_text(item);
	bool exists = item && item->value;
	bool due = !exists || !names_are(stored, names) ||
		   !is_of_this_era(proxyd, stored) ||
		   (names[0] && now >= proxyd->next_balances);

	if (due && !proxyd->limits_write_pending && proxyd->tab &&
	    mirror_reads_store(proxyd->mirror) &&
	    now >= proxyd->next_limits_write &&
	    now - proxyd->started_at >= NEAR_LIMIT_KEEP_MS &&
	    proxyd->feed.rank == 0) {
		char *text =
			g_strdup_printf("%s" BALANCES_START "%" G_GINT64_FORMAT
					"%s" ERA_START "%" G_GINT64_FORMAT,
					names, proxyd_wall(proxyd), balances,
					kv_era(proxyd->kv));

		proxyd->limits_write_pending = true;
		proxyd->next_limits_write = now + WRITE_GAP_MS;
		proxyd->next_balances = now + QUOTA_BALANCE_MS;
		kv_change(proxyd->kv,
			  &(struct kv_change){
				  .key = LIMITS_KEY,
				  .value = text,
				  .expected_revision = exists ? item->mod : 0,
			  },
			  on_written, proxyd);
		g_free(text);
	}
	g_free(stored);
	g_free(names);
	g_free(balances);
}

/* Parses a number that ends the text; returns false if it is none. */
static bool number_parse(const char *text, double *number)
{
	char *end;

	*number = g_ascii_strtod(text, &end);
	return end != text && !*end && isfinite(*number);
}

/* Applies one balance, "NAME=UNITS"; returns false if it is malformed. */
static bool balance_apply(struct proxyd *proxyd, const char *text,
			  clk_ms elapsed)
{
	const char *sign = strrchr(text, '=');
	struct quota *quota;
	double units;
	char *name;

	if (!sign || !number_parse(sign + 1, &units))
		return false;
	name = g_strndup(text, (gsize)(sign - text));
	quota = g_hash_table_lookup(proxyd->quotas, name);
	g_free(name);
	if (quota)
		quota_on_balance(quota, units, elapsed, proxyd_now(proxyd));
	return true;
}

/* Applies the balances after their mark; returns false if some are malformed:
 * their accounts begin in debt, as without a balance. */
static bool balances_apply(struct proxyd *proxyd, const char *text)
{
	char **parts = g_strsplit(text, SEPARATOR, 0);
	double written;
	bool ok = number_parse(parts[0], &written);

	for (size_t i = 1; ok && parts[i]; i++)
		if (!balance_apply(proxyd, parts[i],
				   proxyd_wall(proxyd) - (clk_ms)written))
			ok = false;
	g_strfreev(parts);
	return ok;
}

void limits_restore(struct proxyd *proxyd)
{
	const struct store_item *item = store_get(
		mirror_replica(proxyd->mirror, MIRROR_OWN), LIMITS_KEY);
	GHashTableIter iter;
	gpointer name;
	gpointer quota;
	const char *balances;
	char **listed;
	char *text;
	bool ok = true;

	if (proxyd->limits_restored || !proxyd->tab ||
	    !mirror_has_snapshot(proxyd->mirror) || proxyd->conf->first_start)
		return;
	proxyd->limits_restored = true;
	if (!item || !item->value)
		return;
	text = stored_text(item);
	if (!is_of_this_era(proxyd, text)) {
		slog(SLOG_WARN, "limits",
		     "revision=%" G_GINT64_FORMAT " near=\"%s\" "
		     "outcome=not_recalled why=store_restored",
		     item->mod, text);
		g_free(text);
		return;
	}
	listed = g_strsplit(text, SEPARATOR, 0);
	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (g_hash_table_iter_next(&iter, &name, &quota))
		if (!g_strv_contains((const char *const *)listed, name))
			quota_on_below_limit(quota, proxyd_now(proxyd));
	balances = strstr(text, BALANCES_START);
	if (balances)
		ok = balances_apply(proxyd, balances + strlen(BALANCES_START));
	if (!ok)
		proxyd_count(proxyd, CTR_bad_input);
	slog(ok ? SLOG_NOTICE : SLOG_WARN, "limits",
	     "revision=%" G_GINT64_FORMAT " near=\"%s\" outcome=%s", item->mod,
	     text, ok ? "recalled" : "recalled_in_part");
	g_strfreev(listed);
	g_free(text);
}
