/* The singleton duties: holding them, and reports of usage. */
#include "proxyd-leader.h"

#include <string.h>

#include "../wire/json.h"

#define SETTLE_MS 2500	/* after a window, for all hosts' counts */
#define TERM_SHARE 0.8	/* of the time in which holders may not change back */
#define SETTLED_MS 3000 /* to know the other hosts, and their ranks */
#define KNOWN_SHARE 0.8 /* of the hosts listed, to tell ranks sooner */
#define CLOUD_TIMEOUT_MS 1500
#define REPORT_RETRY_MS 400
#define USAGE_LEASE_MS 600000 /* windows' counts are kept in the store */

static void on_claimed(void *ctx, enum kv_outcome outcome, int64_t revision);
static void window_send(struct proxyd *proxyd);

clk_ms leader_lease_ms(const struct proxyd *proxyd)
{
	/* Shorter than the time in which holders may not change back and
	 * forth: two terms that lapse lie between, and the duties are taken
	 * over sooner. */
	return (clk_ms)((double)proxyd->conf->lease_ms * TERM_SHARE);
}

void duty_start(struct proxyd *proxyd)
{
	proxyd->leader = g_new0(struct leader, 1);
	scale_start(proxyd);
}

/* The holder's key names the host and its lease. */
void duty_on_item(struct proxyd *proxyd, const struct store_item *item)
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
		/* The answer to the claim may be lost: this is as good. */
		lease_on_claim(&proxyd->leader_lease, true, item->mod,
			       proxyd_boot_now());
	lease_on_key(&proxyd->leader_lease, item->value != NULL, ours,
		     proxyd_boot_now());
}

void duty_on_snapshot(struct proxyd *proxyd)
{
	const struct store_item *item =
		store_get(proxyd->follow[FOLLOW_OWN].replica, LEADER_KEY);

	if (!item || !item->value)
		lease_on_key(&proxyd->leader_lease, false, false,
			     proxyd_boot_now());
}

static void on_lease(void *ctx, enum kv_outcome outcome, int64_t lease)
{
	struct proxyd *proxyd = ctx;
	char *value;

	lease_on_grant(&proxyd->leader_lease, outcome == KV_OK, lease,
		       proxyd_boot_now());
	if (proxyd->leader_lease.state != LEASE_CLAIMING)
		return;
	value = g_strdup_printf("{\"host\":\"%s\",\"lease\":%" G_GINT64_FORMAT
				"}",
				proxyd->conf->name, lease);
	kv_change(proxyd->kv,
		  &(struct kv_change){
			  .key = LEADER_KEY,
			  .value = value,
			  .lease = lease,
		  },
		  on_claimed, proxyd);
	g_free(value);
}

static void on_claimed(void *ctx, enum kv_outcome outcome, int64_t revision)
{
	struct proxyd *proxyd = ctx;

	/* Without an answer the key itself tells, when it is seen. */
	if (outcome == KV_UNKNOWN)
		return;
	if (outcome != KV_OK)
		kv_lease_revoke(proxyd->kv, proxyd->leader_lease.id);
	lease_on_claim(&proxyd->leader_lease, outcome == KV_OK, revision,
		       proxyd_boot_now());
}

static void on_renewed(void *ctx, enum kv_outcome outcome, int64_t number)
{
	struct proxyd *proxyd = ctx;

	(void)number;
	lease_on_renewal(&proxyd->leader_lease, outcome == KV_OK,
			 outcome == KV_NOT_FOUND, proxyd_boot_now());
}

/* Usage. */

static void counts_add(void *ctx, const char *account, int64_t count)
{
	struct json_object *obj = ctx;

	json_add_int(obj, account, json_int(obj, account, 0) + count);
}

/* Adds a window's counts up. */
static char *window_counts(struct proxyd *proxyd, int64_t window)
{
	struct json_object *obj = json_object_new_object();
	size_t len;
	char *text;

	usage_foreach(&proxyd->usage, NULL, window, counts_add, obj);
	text = g_strdup(json_print(obj, &len));
	json_object_put(obj);
	return text;
}

/* The report under way is over. */
static void report_end(struct proxyd *proxyd, bool done)
{
	struct leader *leader = proxyd->leader;

	leader->reporting = false;
	if (done)
		leader->reported = leader->window;
	else
		leader->next_report = proxyd_now(proxyd) + REPORT_RETRY_MS;
	g_free(leader->counts);
	leader->counts = NULL;
}

static void on_reported(void *ctx, enum cloud_outcome outcome)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;

	slog(SLOG_NOTICE, "usage",
	     "window=%" G_GINT64_FORMAT " fence=%" G_GINT64_FORMAT
	     " counts=%s outcome=%s",
	     leader->window, proxyd->leader_lease.fencing_token, leader->counts,
	     outcome == CLOUD_DONE ? "accepted" : "not_accepted");
	if (outcome == CLOUD_DONE)
		proxyd_count(proxyd, CTR_usage_reports);
	report_end(proxyd, outcome == CLOUD_DONE);
}

/* Sends what the store holds for the window. */
static void window_send(struct proxyd *proxyd)
{
	struct cloud_leader holder = {
		.host = proxyd->conf->name,
		.fencing_token = proxyd->leader_lease.fencing_token,
	};

	if (!lease_may_act(&proxyd->leader_lease, proxyd_boot_now())) {
		report_end(proxyd, false);
		return;
	}
	cloud_report_usage(proxyd->cloud, &holder, proxyd->leader->window,
			   proxyd->leader->counts, CLOUD_TIMEOUT_MS,
			   on_reported, proxyd);
}

/* Another holder has fixed the window's counts, or this one has and did not
 * hear of it: they are read and sent as they are. */
static void on_window_read(void *ctx, enum kv_outcome outcome,
			   const struct kv_page *page)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;
	char *key = g_strdup_printf(USAGE_PREFIX "%" G_GINT64_FORMAT,
				    leader->window);
	GBytes *found = NULL;
	gsize len;
	const char *ptr;

	for (size_t i = 0; outcome == KV_OK && i < page->count; i++)
		if (!strcmp(page->items[i].key, key))
			found = page->items[i].value;
	g_free(key);
	if (!found) {
		report_end(proxyd, false);
		return;
	}
	ptr = g_bytes_get_data(found, &len);
	g_free(leader->counts);
	leader->counts = g_strndup(ptr, len);
	window_send(proxyd);
}

static void window_read(struct proxyd *proxyd)
{
	char *key = g_strdup_printf(USAGE_PREFIX "%" G_GINT64_FORMAT,
				    proxyd->leader->window);

	kv_range(proxyd->kv, key, "", on_window_read, proxyd);
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
		proxyd->leader->usage_lease = 0; /* it may have ended */
		report_end(proxyd, false);
	}
}

/* Counts are written before they are sent, so that whoever sends the window
 * again sends the same. */
static void window_write(struct proxyd *proxyd)
{
	struct leader *leader = proxyd->leader;
	char *key;

	key = g_strdup_printf(USAGE_PREFIX "%" G_GINT64_FORMAT, leader->window);
	kv_change(proxyd->kv,
		  &(struct kv_change){
			  .key = key,
			  .value = leader->counts,
			  .lease = leader->usage_lease,
		  },
		  on_window_written, proxyd);
	g_free(key);
}

static void on_usage_lease(void *ctx, enum kv_outcome outcome, int64_t lease)
{
	struct proxyd *proxyd = ctx;
	struct leader *leader = proxyd->leader;

	if (outcome != KV_OK) {
		report_end(proxyd, false);
		return;
	}
	leader->usage_lease = lease;
	leader->lease_until = proxyd_boot_now() + USAGE_LEASE_MS / 2;
	window_write(proxyd);
}

/* Reports the next window that is over and settled. */
static void usage_run(struct proxyd *proxyd)
{
	struct leader *leader = proxyd->leader;
	clk_ms wall = proxyd_wall(proxyd);
	int64_t ended = usage_window(&proxyd->usage, wall - SETTLE_MS) - 1;
	/* A report after it is due is of no use. */
	clk_ms due = (clk_ms)(proxyd->conf->usage_delay_s * CLK_SECOND);
	int64_t oldest =
		MAX(usage_window(&proxyd->usage, wall - due),
		    usage_window(&proxyd->usage, wall) - USAGE_WINDOWS + 1);

	if (leader->reporting || proxyd_now(proxyd) < leader->next_report)
		return;
	if (leader->reported < oldest - 1)
		leader->reported = oldest - 1;
	if (leader->reported >= ended)
		return;
	leader->reporting = true;
	leader->window = leader->reported + 1;
	leader->counts = window_counts(proxyd, leader->window);
	if (leader->usage_lease && proxyd_boot_now() < leader->lease_until)
		window_write(proxyd);
	else
		kv_lease_grant(proxyd->kv, USAGE_LEASE_MS, on_usage_lease,
			       proxyd);
}

/* Does what the duties ask for next. */
static void step_do(struct proxyd *proxyd, enum lease_action step)
{
	switch (step) {
	case LEASE_ACT_NONE:
		return;
	case LEASE_ACT_REQUEST:
		kv_lease_grant(proxyd->kv, leader_lease_ms(proxyd), on_lease,
			       proxyd);
		return;
	case LEASE_ACT_RENEW:
		kv_lease_renew(proxyd->kv, proxyd->leader_lease.id, on_renewed,
			       proxyd);
		return;
	}
}

/* Whether this host may take the duties: it is one of those that hear all
 * reports, in the eyes of all. A host that has just started knows too few
 * others to tell. */
static bool is_eligible(const struct proxyd *proxyd)
{
	unsigned known = 1 + (unsigned)member_live_count(proxyd->members);
	bool settled = proxyd_now(proxyd) - proxyd->started_at >= SETTLED_MS ||
		       known >= proxyd->listed_hosts * KNOWN_SHARE;

	return settled && follow_ready(proxyd) && !proxyd->stopping &&
	       peer_is_relay(proxyd) && proxyd->follow[FOLLOW_OWN].has_snapshot;
}

/* A holder to which the others do not report gives the duties up. */
static void rank_check(struct proxyd *proxyd)
{
	struct leader *leader = proxyd->leader;
	clk_ms now = proxyd_now(proxyd);

	if (proxyd->leader_lease.state != LEASE_HELD || peer_is_relay(proxyd)) {
		leader->first_at = now;
		return;
	}
	if (now - leader->first_at < SETTLED_MS)
		return;
	slog(SLOG_NOTICE, "duty",
	     "fence=%" G_GINT64_FORMAT
	     " outcome=given_up why=others_rank_before hosts=%u",
	     proxyd->leader_lease.fencing_token, proxyd_host_count(proxyd));
	duty_stop(proxyd);
}

void duty_run(struct proxyd *proxyd)
{
	clk_ms now = proxyd_boot_now();
	struct leader *leader = proxyd->leader;
	bool holds;

	if (!proxyd->cloud)
		return;
	scale_observe(proxyd);
	step_do(proxyd,
		lease_tick(&proxyd->leader_lease,
			   member_self_rank(proxyd->members, LEADER_RANK),
			   is_eligible(proxyd), now));
	rank_check(proxyd);
	holds = lease_may_act(&proxyd->leader_lease, now);
	if (holds != leader->was_holder) {
		leader->was_holder = holds;
		slog(SLOG_NOTICE, "duty",
		     "fence=%" G_GINT64_FORMAT " outcome=%s",
		     proxyd->leader_lease.fencing_token,
		     holds ? "acting" : "not_acting");
		if (holds) {
			proxyd_count(proxyd, CTR_duty_terms);
			scale_forget_orders(proxyd);
		}
	}
	if (!holds)
		return;
	usage_run(proxyd);
	scale_run(proxyd);
}

void duty_stop(struct proxyd *proxyd)
{
	int64_t lease = proxyd->leader_lease.id;

	/* A call under way could arrive after the next holder's first. */
	if (lease_resign(&proxyd->leader_lease, proxyd_boot_now()) &&
	    cloud_pending_calls(proxyd->cloud) == 0)
		kv_lease_revoke(proxyd->kv, lease);
}
