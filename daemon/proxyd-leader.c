/* Leadership for the singleton duties, and the usage reports. */
#include "proxyd-leader.h"

#include <string.h>

#include "../wire/json.h"

#define USAGE_SETTLE_MS 2500 /* after a window's end, for all reports */
/* How long after a start the other hosts and their ranks are known, or sooner
 * if this share of the hosts listed in the store is known. */
#define RANK_SETTLE_MS 3000
#define KNOWN_HOSTS_SHARE 0.8
#define CLOUD_TIMEOUT_MS 1500
#define REPORT_RETRY_MS 400
#define USAGE_LEASE_MS 600000 /* how long counts are kept in the store */
/* Before a window's report is due it is sent, whether or not all hosts have
 * sent their counts. */
#define USAGE_MARGIN_MS 2500

static void on_key_claimed(void *ctx, enum kv_outcome outcome,
			   int64_t revision);
static void window_send(struct proxyd *proxyd);

void leader_start(struct proxyd *proxyd)
{
	proxyd->leader = g_new0(struct leader, 1);
	scale_start(proxyd);
}

/* The value of the leader's key names the host and its lease. */
void leader_on_item(struct proxyd *proxyd, const struct store_item *item)
{
	struct json_object *obj;
	bool ours = false;
	gsize len;
	const char *ptr;

	if (strcmp(item->key, LEADER_KEY) != 0)
		return;
	if (item->value) {
		ptr = g_bytes_get_data(item->value, &len);
		obj = json_parse_object(ptr, len);
		ours = obj && proxyd->leader_lease.id &&
		       json_int(obj, "lease", 0) == proxyd->leader_lease.id;
		if (obj)
			json_object_put(obj);
	}
	slog(SLOG_NOTICE, "duty", "revision=%" G_GINT64_FORMAT " outcome=%s",
	     item->mod,
	     !item->value ? "free"
	     : ours	  ? "held_here"
			  : "held_elsewhere");
	if (ours)
		/* The response to the claim may be lost; seeing the key proves
		 * as much. */
		lease_on_claim(&proxyd->leader_lease, true, item->mod,
			       proxyd_boot_now());
	lease_on_key(&proxyd->leader_lease, item->value != NULL, ours,
		     proxyd_boot_now());
}

void leader_on_snapshot(struct proxyd *proxyd)
{
	const struct store_item *item = store_get(
		mirror_replica(proxyd->mirror, MIRROR_OWN), LEADER_KEY);

	if (!item || !item->value)
		lease_on_key(&proxyd->leader_lease, false, false,
			     proxyd_boot_now());
}

static void on_lease_granted(void *ctx, enum kv_outcome outcome,
			     struct kv_lease lease)
{
	struct proxyd *proxyd = ctx;
	char *value;

	lease_on_grant(&proxyd->leader_lease, outcome == KV_OK, lease.id,
		       proxyd_boot_now());
	if (proxyd->leader_lease.state != LEASE_CLAIMING)
		return;
	proxyd->leader->duty_lease = lease;
	value = g_strdup_printf("{\"host\":\"%s\",\"lease\":%" G_GINT64_FORMAT
				"}",
				proxyd->conf->name, lease.id);
	kv_change(proxyd->kv,
		  &(struct kv_change){
			  .key = LEADER_KEY,
			  .value = value,
			  .lease = lease,
		  },
		  on_key_claimed, proxyd);
	g_free(value);
}

static void on_key_claimed(void *ctx, enum kv_outcome outcome, int64_t revision)
{
	struct proxyd *proxyd = ctx;

	/* Without a response, the key itself shows the outcome. */
	if (outcome == KV_UNKNOWN)
		return;
	if (outcome != KV_OK)
		kv_lease_revoke(proxyd->kv, &proxyd->leader->duty_lease);
	lease_on_claim(&proxyd->leader_lease, outcome == KV_OK, revision,
		       proxyd_boot_now());
}

static void on_lease_renewed(void *ctx, enum kv_outcome outcome, int64_t ttl)
{
	struct proxyd *proxyd = ctx;

	(void)ttl;
	lease_on_renewal(&proxyd->leader_lease, outcome == KV_OK,
			 outcome == KV_NOT_FOUND, proxyd_boot_now());
}

/* Usage reports. */

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
	     leader->report_window, proxyd->leader_lease.fencing_token,
	     leader->report_counts,
	     outcome == CLOUD_DONE ? "accepted" : "not_accepted");
	if (outcome == CLOUD_DONE)
		proxyd_count(proxyd, CTR_usage_reports);
	usage_report_end(proxyd, outcome == CLOUD_DONE);
}

static bool may_act(void *ctx, int64_t fencing_token)
{
	const struct proxyd *proxyd = ctx;

	return proxyd->leader_lease.fencing_token == fencing_token &&
	       lease_may_act(&proxyd->leader_lease, proxyd_boot_now());
}

struct cloud_leader leader_self(struct proxyd *proxyd)
{
	return (struct cloud_leader){
		.host = proxyd->conf->name,
		.fencing_token = proxyd->leader_lease.fencing_token,
		.may_act = may_act,
		.ctx = proxyd,
	};
}

/* Sends the window's counts, which are in the store by now. */
static void window_send(struct proxyd *proxyd)
{
	struct cloud_leader self = leader_self(proxyd);

	if (!lease_may_act(&proxyd->leader_lease, proxyd_boot_now())) {
		usage_report_end(proxyd, false);
		return;
	}
	cloud_report_usage(proxyd->cloud, &self, proxyd->leader->report_window,
			   proxyd->leader->report_counts, CLOUD_TIMEOUT_MS,
			   on_usage_reported, proxyd);
}

/* The window's counts are in the store already: another leader wrote them, or
 * this one did and the response was lost. They are sent unchanged. */
static void on_window_read(void *ctx, enum kv_outcome outcome,
			   const struct kv_page *page)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;
	char *key = g_strdup_printf(USAGE_PREFIX "%" G_GINT64_FORMAT,
				    leader->report_window);
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
	window_send(proxyd);
}

static void window_read(struct proxyd *proxyd)
{
	char *key = g_strdup_printf(USAGE_PREFIX "%" G_GINT64_FORMAT,
				    proxyd->leader->report_window);

	kv_range(proxyd->kv, key, "", false, on_window_read, proxyd);
	g_free(key);
}

static void on_window_written(void *ctx, enum kv_outcome outcome,
			      int64_t revision)
{
	struct proxyd *proxyd = ctx;

	(void)revision;
	if (outcome == KV_OK) {
		window_send(proxyd);
	} else if (outcome == KV_CONFLICT || outcome == KV_UNKNOWN) {
		window_read(proxyd);
	} else {
		/* It may have expired. */
		proxyd->leader->usage_lease = (struct kv_lease){ 0 };
		usage_report_end(proxyd, false);
	}
}

/* Writes the counts to the store before they are sent, so that any leader that
 * sends the window again sends the same counts. */
static void window_write(struct proxyd *proxyd)
{
	struct leader *leader = proxyd->leader;
	char *key;

	key = g_strdup_printf(USAGE_PREFIX "%" G_GINT64_FORMAT,
			      leader->report_window);
	kv_change(proxyd->kv,
		  &(struct kv_change){
			  .key = key,
			  .value = leader->report_counts,
			  .lease = leader->usage_lease,
		  },
		  on_window_written, proxyd);
	g_free(key);
}

static void on_usage_lease_granted(void *ctx, enum kv_outcome outcome,
				   struct kv_lease lease)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;

	if (outcome != KV_OK) {
		usage_report_end(proxyd, false);
		return;
	}
	leader->usage_lease = lease;
	leader->usage_lease_until = proxyd_boot_now() + USAGE_LEASE_MS / 2;
	window_write(proxyd);
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

/* Reports the next window that has ended and for which all hosts have had time
 * to report. */
static void usage_report_next(struct proxyd *proxyd)
{
	struct leader *leader = proxyd->leader;
	clk_ms wall = proxyd_wall(proxyd);
	int64_t ended =
		usage_window(&proxyd->usage, wall - USAGE_SETTLE_MS) - 1;
	/* A report after its due time is of no use. */
	clk_ms due = (clk_ms)(proxyd->conf->usage_delay_s * CLK_SECOND);
	int64_t oldest =
		MAX(usage_window(&proxyd->usage, wall - due),
		    usage_window(&proxyd->usage, wall) - USAGE_WINDOWS + 1);

	if (leader->report_pending ||
	    proxyd_now(proxyd) < leader->report_retry_at)
		return;
	if (leader->reported_window < oldest - 1)
		leader->reported_window = oldest - 1;
	if (leader->reported_window >= ended ||
	    !window_is_known(proxyd, leader->reported_window + 1))
		return;
	leader->report_pending = true;
	leader->report_window = leader->reported_window + 1;
	leader->report_counts = window_counts(proxyd, leader->report_window);
	if (kv_lease_is_valid(proxyd->kv, &leader->usage_lease) &&
	    proxyd_boot_now() < leader->usage_lease_until)
		window_write(proxyd);
	else
		kv_lease_grant(proxyd->kv, USAGE_LEASE_MS,
			       on_usage_lease_granted, proxyd);
}

/* Makes the next call for the lease. */
static void lease_act(struct proxyd *proxyd, enum lease_action action)
{
	switch (action) {
	case LEASE_ACT_NONE:
		return;
	case LEASE_ACT_REQUEST:
		kv_lease_grant(proxyd->kv, proxyd->conf->lease_ms,
			       on_lease_granted, proxyd);
		return;
	case LEASE_ACT_RENEW:
		kv_lease_renew(proxyd->kv, &proxyd->leader->duty_lease,
			       on_lease_renewed, proxyd);
		return;
	}
}

/* Whether this host can be the leader: only a follower can, as it receives the
 * reports of all hosts and sees the leader's key. A host that has just started
 * knows too few other hosts to determine its rank. */
static bool is_eligible(const struct proxyd *proxyd)
{
	unsigned known = 1 + (unsigned)member_live_count(proxyd->members);
	clk_ms restored_at = mirror_restored_at(proxyd->mirror);
	bool settled =
		proxyd_now(proxyd) - proxyd->started_at >= RANK_SETTLE_MS ||
		known >= proxyd->listed_hosts * KNOWN_HOSTS_SHARE;

	/* A leader whose lease the store has lost may still act. */
	if (restored_at &&
	    proxyd_now(proxyd) - restored_at < proxyd->conf->lease_ms)
		return false;
	return settled && follow_ready(proxyd) && !proxyd->stopping &&
	       proxyd->feed.role == FEED_FOLLOWER;
}

/* Resigns if this host has not been a follower for RANK_SETTLE_MS: it does not
 * see the leader's key any more. */
static void role_check(struct proxyd *proxyd)
{
	struct leader *leader = proxyd->leader;
	clk_ms now = proxyd_now(proxyd);

	if (proxyd->leader_lease.state != LEASE_HELD ||
	    proxyd->feed.role == FEED_FOLLOWER) {
		leader->last_follower_at = now;
		return;
	}
	if (now - leader->last_follower_at < RANK_SETTLE_MS)
		return;
	slog(SLOG_NOTICE, "duty",
	     "fence=%" G_GINT64_FORMAT
	     " outcome=given_up why=others_rank_before hosts=%u",
	     proxyd->leader_lease.fencing_token, proxyd_host_count(proxyd));
	leader_resign(proxyd);
}

void leader_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_boot_now();
	struct leader *leader = proxyd->leader;
	bool acting;

	if (!proxyd->cloud)
		return;
	scale_observe(proxyd);
	lease_act(proxyd, lease_tick(&proxyd->leader_lease, proxyd->feed.rank,
				     is_eligible(proxyd), now));
	role_check(proxyd);
	acting = lease_may_act(&proxyd->leader_lease, now);
	if (acting != leader->was_acting) {
		leader->was_acting = acting;
		slog(SLOG_NOTICE, "duty",
		     "fence=%" G_GINT64_FORMAT " outcome=%s",
		     proxyd->leader_lease.fencing_token,
		     acting ? "acting" : "not_acting");
		if (acting) {
			proxyd_count(proxyd, CTR_duty_terms);
			scale_reset_orders(proxyd);
		} else {
			cloud_withdraw(proxyd->cloud);
		}
	}
	if (!acting)
		return;
	usage_report_next(proxyd);
	scale_run(proxyd);
}

void leader_resign(struct proxyd *proxyd)
{
	/* A pending call to the platform could arrive after the next leader's
	 * first one; then the lease is left to expire. */
	if (lease_resign(&proxyd->leader_lease, proxyd_boot_now()) &&
	    cloud_pending_calls(proxyd->cloud) == 0)
		kv_lease_revoke(proxyd->kv, &proxyd->leader->duty_lease);
}
