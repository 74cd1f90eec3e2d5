/* Leadership for the singleton duties. */
#include "proxyd-leader.h"

#include <string.h>

#include "../wire/json.h"

/* How long after a start the other hosts and their ranks are known, or sooner
 * if this share of the hosts listed in the store is known. */
#define RANK_SETTLE_MS 3000
#define KNOWN_HOSTS_SHARE 0.8

static void on_key_claimed(void *ctx, enum kv_outcome outcome,
			   int64_t revision);

void leader_start(struct proxyd *proxyd)
{
	proxyd->leader = g_new0(struct leader, 1);
	proxyd->leader->read_era = -1;
	scale_start(proxyd);
	usage_start(proxyd);
}

/* The value of the leader's key names the host and its lease. */
void leader_on_item(struct proxyd *proxyd, const struct store_item *item)
{
	struct json_object *obj;
	bool ours = false;
	gsize len;
	const char *ptr;

	usage_on_item(proxyd, item);
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

	proxyd->leader->read_era = kv_era(proxyd->kv);
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
	usage_run(proxyd);
	scale_run(proxyd);
}

void leader_on_era(struct proxyd *proxyd, bool restored)
{
	usage_on_era(proxyd, restored);
}

void leader_resign(struct proxyd *proxyd)
{
	/* A pending call to the platform could arrive after the next leader's
	 * first one; then the lease is left to expire. */
	if (lease_resign(&proxyd->leader_lease, proxyd_boot_now()) &&
	    cloud_pending_calls(proxyd->cloud) == 0)
		kv_lease_revoke(proxyd->kv, &proxyd->leader->duty_lease);
}
