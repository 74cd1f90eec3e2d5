/*
 * The leader's usage reports: each window is sealed in the store, then reported
 * (decide/seal.h).
 */
#include "proxyd-leader.h"

#include <string.h>

#include "../wire/json.h"

#define USAGE_SETTLE_MS 2500 /* after a window's end, for all reports */
#define CLOUD_TIMEOUT_MS 1500
#define REPORT_RETRY_MS 400
#define USAGE_LEASE_MS 600000 /* how long counts are kept in the store */
/* Before a window's report is due it is sent, whether or not all hosts have
 * sent their counts. */
#define USAGE_MARGIN_MS 2500
/* From a window's seal to its report: all hosts that follow the store read the
 * seal meanwhile. */
#define SEAL_SPREAD_MS 500

void usage_start(struct proxyd *proxyd)
{
	seal_init(&proxyd->leader->seals);
	proxyd->leader->recorded_era = -1;
}

static void count_add(void *ctx, const char *account, int64_t count)
{
	struct json_object *obj = ctx;

	json_add_int(obj, account, count);
}

/* Returns the counts of a window over all hosts, as a JSON object. */
static char *window_counts(struct proxyd *proxyd, int64_t window)
{
	struct json_object *obj = json_object_new_object();
	size_t len;
	char *text;

	usage_totals(&proxyd->usage, window, count_add, obj);
	text = g_strdup(json_print(obj, &len));
	json_object_put(obj);
	return text;
}

/* Ends the pending report; done: it was accepted. */
static void usage_report_end(struct proxyd *proxyd, bool done)
{
	struct leader *leader = proxyd->leader;

	leader->report_pending = false;
	leader->report_read_at = 0;
	if (done)
		leader->reported_window = leader->report_window;
	else
		leader->report_retry_at = proxyd_now(proxyd) + REPORT_RETRY_MS;
	g_free(leader->report_counts);
	leader->report_counts = NULL;
}

static void on_usage_reported(void *ctx, enum cloud_outcome outcome)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;

	slog(SLOG_NOTICE, "usage",
	     "window=%" G_GINT64_FORMAT " fence=%" G_GINT64_FORMAT
	     " counts=%s outcome=%s",
	     leader->report_window, lease_token(&proxyd->leader_lease),
	     leader->report_counts,
	     outcome == CLOUD_DONE ? "accepted" : "not_accepted");
	if (outcome == CLOUD_DONE)
		proxyd_count(proxyd, CTR_usage_reports);
	usage_report_end(proxyd, outcome == CLOUD_DONE);
}

/* Sends the window's counts, which are in the store by now. */
static void window_send(struct proxyd *proxyd)
{
	struct cloud_leader self = leader_self(proxyd);

	if (!leader_acts(proxyd)) {
		usage_report_end(proxyd, false);
		return;
	}
	cloud_report_usage(proxyd->cloud, &self, proxyd->leader->report_window,
			   proxyd->leader->report_counts, CLOUD_TIMEOUT_MS,
			   on_usage_reported, proxyd);
}

static char *window_key(int64_t window)
{
	return g_strdup_printf(USAGE_PREFIX "%" G_GINT64_FORMAT, window);
}

/* The window's seal was read: this leader wrote it, or another one. Its counts
 * are sent unchanged. */
static void on_window_read(void *ctx, enum kv_outcome outcome,
			   const struct kv_page *page)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;
	char *key = window_key(leader->report_window);
	GBytes *found = NULL;
	gsize len;
	const char *ptr;

	for (size_t i = 0; outcome == KV_OK && i < page->count; i++)
		if (!strcmp(page->items[i].key, key))
			found = page->items[i].value;
	g_free(key);
	if (!found) {
		usage_report_end(proxyd, false);
		return;
	}
	ptr = g_bytes_get_data(found, &len);
	g_free(leader->report_counts);
	leader->report_counts = g_strndup(ptr, len);
	seal_put(&leader->seals, leader->report_window, ptr, len);
	window_send(proxyd);
}

static void window_read(struct proxyd *proxyd)
{
	char *key = window_key(proxyd->leader->report_window);

	proxyd->leader->report_read_at = 0;
	kv_range(proxyd->kv, key, "", false, on_window_read, proxyd);
	g_free(key);
}

static void on_window_written(void *ctx, enum kv_outcome outcome,
			      int64_t revision)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;

	(void)revision;
	if (outcome == KV_OK)
		seal_put(&leader->seals, leader->report_window,
			 leader->report_counts, strlen(leader->report_counts));
	if (outcome == KV_OK || outcome == KV_UNKNOWN) {
		leader->report_read_at = proxyd_now(proxyd) + SEAL_SPREAD_MS;
	} else if (outcome == KV_CONFLICT) {
		window_read(proxyd);
	} else {
		/* It may have expired. */
		leader->usage_lease = (struct kv_lease){ 0 };
		usage_report_end(proxyd, false);
	}
}

/* Writes a window's seal if there is none. */
static void seal_write(struct proxyd *proxyd, int64_t window,
		       const char *counts, kv_number_fn fn)
{
	char *key = window_key(window);

	kv_change(proxyd->kv,
		  &(struct kv_change){
			  .key = key,
			  .value = counts,
			  .lease = proxyd->leader->usage_lease,
		  },
		  fn, proxyd);
	g_free(key);
}

static void on_usage_lease_granted(void *ctx, enum kv_outcome outcome,
				   struct kv_lease lease)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;

	leader->usage_lease_pending = false;
	if (outcome != KV_OK) {
		leader->report_retry_at = proxyd_now(proxyd) + REPORT_RETRY_MS;
		return;
	}
	leader->usage_lease = lease;
	leader->usage_lease_until = proxyd_boot_now() + USAGE_LEASE_MS / 2;
}

/* Whether there is a lease for seals; else one is requested. */
static bool has_usage_lease(struct proxyd *proxyd)
{
	struct leader *leader = proxyd->leader;

	if (kv_lease_is_valid(proxyd->kv, &leader->usage_lease) &&
	    proxyd_boot_now() < leader->usage_lease_until)
		return true;
	if (!leader->usage_lease_pending) {
		leader->usage_lease_pending = true;
		kv_lease_grant(proxyd->kv, USAGE_LEASE_MS,
			       on_usage_lease_granted, proxyd);
	}
	return false;
}

/* Whether this host has the counts of a window: it has collected them since
 * then, or all hosts have sent what they had before. Near the time when the
 * report is due, what is missing is noted. */
static bool window_is_known(struct proxyd *proxyd, int64_t window)
{
	clk_ms length = proxyd->usage.window;
	clk_ms age = proxyd_wall(proxyd) - (window + 1) * length;
	clk_ms due = (clk_ms)(proxyd->conf->usage_delay_s * CLK_SECOND);
	clk_ms since = proxyd->collecting_since
			       ? proxyd_now(proxyd) - proxyd->collecting_since
			       : 0;
	unsigned missing =
		since < age + length ? report_hosts_missing(proxyd) : 0;

	if (missing == 0)
		return true;
	if (age < due - USAGE_MARGIN_MS)
		return false;
	proxyd_count(proxyd, CTR_usage_short);
	slog(SLOG_WARN, "usage",
	     "window=%" G_GINT64_FORMAT " hosts_missing=%u "
	     "collecting_ms=%" G_GINT64_FORMAT " outcome=incomplete",
	     window, missing, since);
	return true;
}

/* Returns the oldest window whose report is still of use: it is not due yet,
 * and its counts are kept. */
static int64_t oldest_window(struct proxyd *proxyd)
{
	clk_ms wall = proxyd_wall(proxyd);
	clk_ms due = (clk_ms)(proxyd->conf->usage_delay_s * CLK_SECOND);

	return MAX(usage_window(&proxyd->usage, wall - due),
		   usage_window(&proxyd->usage, wall) - USAGE_WINDOWS + 1);
}

/* Returns the first window that this host has counted whole. */
static int64_t counted_from(struct proxyd *proxyd)
{
	clk_ms since = proxyd->collecting_since;

	if (!since)
		return SEAL_NEVER;
	return 1 +
	       usage_window(&proxyd->usage,
			    proxyd_wall(proxyd) - (proxyd_now(proxyd) - since));
}

/* The record of an era: all seals from a window on are in the store. */

void usage_on_item(struct proxyd *proxyd, const struct store_item *item)
{
	struct leader *leader = proxyd->leader;
	int64_t era;
	int64_t from;
	gsize len;
	const char *ptr;

	if (!item->value)
		return;
	ptr = g_bytes_get_data(item->value, &len);
	if (g_str_has_prefix(item->key, USAGE_PREFIX)) {
		seal_expire(&leader->seals, oldest_window(proxyd));
		seal_put(&leader->seals,
			 g_ascii_strtoll(item->key + strlen(USAGE_PREFIX), NULL,
					 10),
			 ptr, len);
		return;
	}
	if (strcmp(item->key, USAGE_RECORD_KEY) != 0)
		return;
	if (!seal_record_parse(ptr, len, &era, &from)) {
		proxyd_count(proxyd, CTR_bad_input);
		slog(SLOG_WARN, "usage",
		     "revision=%" G_GINT64_FORMAT " outcome=record_malformed",
		     item->mod);
		return;
	}
	/* That of another era is in the copy from which the store came back. */
	if (era != kv_era(proxyd->kv))
		return;
	leader->recorded_era = era;
	seal_on_record(&leader->seals, from);
}

bool usage_is_recorded(const struct proxyd *proxyd)
{
	return proxyd->leader->recorded_era == kv_era(proxyd->kv);
}

void usage_on_era(struct proxyd *proxyd, bool restored)
{
	struct leader *leader = proxyd->leader;
	bool followed = restored && mirror_followed(proxyd->mirror);
	int64_t next = usage_window(&proxyd->usage, proxyd_wall(proxyd)) + 1;

	seal_on_era(&leader->seals, followed, next);
	/* Nothing was reported before the whole system first started. */
	if (!restored && proxyd->conf->first_start)
		seal_on_record(&leader->seals, 0);
	leader->resealed = 0;
	slog(SLOG_NOTICE, "usage",
	     "era=%" G_GINT64_FORMAT " followed=%d known_from=%" G_GINT64_FORMAT
	     " outcome=new_era",
	     kv_era(proxyd->kv), followed, leader->seals.known_from);
}

static void on_resealed(void *ctx, enum kv_outcome outcome, int64_t revision)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;

	(void)revision;
	leader->record_pending = false;
	if (outcome == KV_OK || outcome == KV_CONFLICT) {
		leader->resealed = leader->reseal_window;
		return;
	}
	if (outcome == KV_NOT_FOUND)
		leader->usage_lease = (struct kv_lease){ 0 };
	leader->report_retry_at = proxyd_now(proxyd) + REPORT_RETRY_MS;
}

static void on_recorded(void *ctx, enum kv_outcome outcome, int64_t revision)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;

	leader->record_pending = false;
	slog(SLOG_NOTICE, "usage",
	     "era=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT
	     " from=%" G_GINT64_FORMAT " outcome=%s",
	     leader->record_era, revision, leader->record_from,
	     outcome == KV_OK ? "recorded" : "not_recorded");
	/* Otherwise the store was restored meanwhile. */
	if (outcome == KV_OK && leader->record_era == kv_era(proxyd->kv)) {
		leader->recorded_era = leader->record_era;
		seal_on_record(&leader->seals, leader->record_from);
		return;
	}
	leader->report_retry_at = proxyd_now(proxyd) + REPORT_RETRY_MS;
}

/* Returns the oldest window whose seal the restored store lacks; 0: none. */
static int64_t unsealed_window(struct proxyd *proxyd)
{
	const struct store *own = mirror_replica(proxyd->mirror, MIRROR_OWN);
	struct leader *leader = proxyd->leader;
	int64_t last = usage_window(&proxyd->usage, proxyd_wall(proxyd));

	for (int64_t window = MAX(oldest_window(proxyd), leader->resealed + 1);
	     window <= last; window++) {
		char *key = window_key(window);
		const struct store_item *item = store_get(own, key);

		g_free(key);
		if (seal_counts(&leader->seals, window) &&
		    (!item || !item->value))
			return window;
	}
	return 0;
}

/* Records in the store what this host knows of the windows, so that the next
 * leaders know it: first the seals that are missing, then from which window on
 * they are complete. */
static void record_next(struct proxyd *proxyd)
{
	const struct store_item *item = store_get(
		mirror_replica(proxyd->mirror, MIRROR_OWN), USAGE_RECORD_KEY);
	struct leader *leader = proxyd->leader;
	int64_t window;
	char *text;

	if (leader->record_pending || leader->read_era != kv_era(proxyd->kv) ||
	    !has_usage_lease(proxyd))
		return;
	leader->record_pending = true;
	window = unsealed_window(proxyd);
	if (window) {
		leader->reseal_window = window;
		seal_write(proxyd, window, seal_counts(&leader->seals, window),
			   on_resealed);
		return;
	}
	leader->record_era = kv_era(proxyd->kv);
	leader->record_from = seal_first(&leader->seals, counted_from(proxyd));
	text = seal_record_print(leader->record_era, leader->record_from);
	kv_change(proxyd->kv,
		  &(struct kv_change){
			  .key = USAGE_RECORD_KEY,
			  .value = text,
			  .expected_revision =
				  item && item->value ? item->mod : 0,
		  },
		  on_recorded, proxyd);
	g_free(text);
}

/* Whether a window may be reported; else it is passed over: a report of it with
 * other counts may have been accepted. */
static bool window_check(struct proxyd *proxyd, int64_t window)
{
	struct leader *leader = proxyd->leader;
	int64_t first = seal_first(&leader->seals, counted_from(proxyd));

	if (window >= first)
		return true;
	proxyd_count(proxyd, CTR_usage_skipped);
	slog(SLOG_WARN, "usage",
	     "window=%" G_GINT64_FORMAT " era=%" G_GINT64_FORMAT
	     " first=%" G_GINT64_FORMAT " outcome=skipped "
	     "why=may_be_reported",
	     window, kv_era(proxyd->kv), first);
	leader->reported_window = window;
	return false;
}

/* Reports the next window that has ended and for which all hosts have had time
 * to report. */
static void window_report_next(struct proxyd *proxyd)
{
	struct leader *leader = proxyd->leader;
	clk_ms wall = proxyd_wall(proxyd);
	int64_t ended =
		usage_window(&proxyd->usage, wall - USAGE_SETTLE_MS) - 1;
	int64_t oldest = oldest_window(proxyd);
	const char *sealed;
	int64_t window;

	if (leader->reported_window < oldest - 1)
		leader->reported_window = oldest - 1;
	window = leader->reported_window + 1;
	if (window > ended)
		return;
	sealed = seal_counts(&leader->seals, window);
	if (!sealed &&
	    (!window_check(proxyd, window) || !window_is_known(proxyd, window)))
		return;
	if (!has_usage_lease(proxyd))
		return;
	leader->report_pending = true;
	leader->report_window = window;
	leader->report_counts =
		sealed ? g_strdup(sealed) : window_counts(proxyd, window);
	slog(SLOG_INFO, "usage",
	     "window=%" G_GINT64_FORMAT " era=%" G_GINT64_FORMAT
	     " source=%s outcome=begun",
	     window, kv_era(proxyd->kv), sealed ? "seal" : "counts");
	seal_write(proxyd, window, leader->report_counts, on_window_written);
}

void usage_run(struct proxyd *proxyd)
{
	struct leader *leader = proxyd->leader;
	clk_ms now = proxyd_now(proxyd);

	if (leader->report_read_at && now >= leader->report_read_at)
		window_read(proxyd);
	if (leader->report_pending || now < leader->report_retry_at)
		return;
	if (usage_is_recorded(proxyd))
		window_report_next(proxyd);
	else
		record_next(proxyd);
}
