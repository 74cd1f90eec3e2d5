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

/* Returns the lease that the leader's key names; 0: it is another host's. */
static int64_t key_lease(const struct proxyd *proxyd,
			 const struct store_item *item)
{
	gsize len;
	const char *ptr = g_bytes_get_data(item->value, &len);
	struct json_object *obj = json_parse_object(ptr, len);
	int64_t id = 0;

	if (!obj)
		return 0;
	if (!strcmp(json_text(obj, "host", ""), proxyd->conf->name))
		id = json_int(obj, "lease", 0);
	json_object_put(obj);
	return id;
}

static const struct store_item *key_item(const struct proxyd *proxyd)
{
	const struct store_item *item = store_get(
		mirror_replica(proxyd->mirror, MIRROR_OWN), LEADER_KEY);

	return item && item->value ? item : NULL;
}

/* Whether the key that was read in this era is that of an earlier leader, as
 * the copy has it, while this host may still act as the last leader. */
static bool key_is_outdated(const struct proxyd *proxyd,
			    const struct store_item *item)
{
	const struct lease *lease = &proxyd->leader_lease;
	const struct leader *leader = proxyd->leader;
	int64_t id = key_lease(proxyd, item);

	if (proxyd_boot_now() >= lease->kept_until || (id && id == lease->id))
		return false;
	return (id && id == lease->kept_id) ||
	       (leader->former_key &&
		kv_revision_plain(item->mod) == leader->former_revision &&
		g_bytes_equal(item->value, leader->former_key));
}

/* Remembers the key of another leader. */
static void former_key_set(struct leader *leader, const struct store_item *item)
{
	if (leader->former_key)
		g_bytes_unref(leader->former_key);
	leader->former_key = g_bytes_ref(item->value);
	leader->former_revision = kv_revision_plain(item->mod);
}

/* Applies the leader's key, which is in the store. Returns whose it is, for the
 * log. */
static const char *key_apply(struct proxyd *proxyd,
			     const struct store_item *item)
{
	struct lease *lease = &proxyd->leader_lease;
	clk_ms now = proxyd_boot_now();
	int64_t id = key_lease(proxyd, item);
	bool ours = id && id == lease->id;
	bool outdated = key_is_outdated(proxyd, item);

	if (!ours && !outdated)
		former_key_set(proxyd->leader, item);
	if (ours)
		/* The response to the claim may be lost; seeing the key proves
		 * as much. */
		lease_on_claim(lease, true, item->mod, now);
	lease_on_key(lease, !outdated, ours, now);
	return ours ? "held_here" : outdated ? "outdated" : "held_elsewhere";
}

/* Whether what was read up to a revision may lack this host's own claim. */
static bool is_before_claim(const struct proxyd *proxyd, int64_t revision)
{
	return proxyd->leader_lease.state == LEASE_HELD &&
	       revision < proxyd->leader_lease.fencing_token;
}

void leader_on_item(struct proxyd *proxyd, const struct store_item *item)
{
	const char *outcome = "free";

	usage_on_item(proxyd, item);
	if (usage_is_recorded(proxyd))
		lease_on_led(&proxyd->leader_lease);
	if (strcmp(item->key, LEADER_KEY) != 0 ||
	    is_before_claim(proxyd, item->mod))
		return;
	if (item->value)
		outcome = key_apply(proxyd, item);
	else
		lease_on_key(&proxyd->leader_lease, false, false,
			     proxyd_boot_now());
	slog(SLOG_NOTICE, "duty",
	     "revision=%" G_GINT64_FORMAT " era=%" G_GINT64_FORMAT
	     " outcome=%s",
	     item->mod, kv_era(proxyd->kv), outcome);
}

void leader_on_snapshot(struct proxyd *proxyd)
{
	const struct store *own = mirror_replica(proxyd->mirror, MIRROR_OWN);
	const struct store_item *item = key_item(proxyd);

	proxyd->leader->read_era = kv_era(proxyd->kv);
	if (is_before_claim(proxyd, own->revision))
		return;
	if (item)
		key_apply(proxyd, item);
	else
		lease_on_key(&proxyd->leader_lease, false, false,
			     proxyd_boot_now());
}

/* Returns the revision of the key that a claim replaces; 0: there is none. */
static int64_t replaced_revision(const struct proxyd *proxyd)
{
	const struct store_item *item = key_item(proxyd);

	return item && key_is_outdated(proxyd, item) ? item->mod : 0;
}

static void on_lease_granted(void *ctx, enum kv_outcome outcome,
			     struct kv_lease lease)
{
	struct proxyd *proxyd = ctx;
	char *value;

	proxyd->leader->lease_calls--;
	lease_on_grant(&proxyd->leader_lease, outcome == KV_OK, lease.id,
		       proxyd_boot_now());
	if (proxyd->leader_lease.state != LEASE_CLAIMING)
		return;
	proxyd->leader->duty_lease = lease;
	proxyd->leader->lease_calls++;
	value = g_strdup_printf("{\"host\":\"%s\",\"lease\":%" G_GINT64_FORMAT
				"}",
				proxyd->conf->name, lease.id);
	kv_change(proxyd->kv,
		  &(struct kv_change){
			  .key = LEADER_KEY,
			  .value = value,
			  .lease = lease,
			  .expected_revision = replaced_revision(proxyd),
		  },
		  on_key_claimed, proxyd);
	g_free(value);
}

static void on_key_claimed(void *ctx, enum kv_outcome outcome, int64_t revision)
{
	struct proxyd *proxyd = ctx;

	proxyd->leader->lease_calls--;
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
	proxyd->leader->lease_calls--;
	lease_on_renewal(&proxyd->leader_lease, outcome == KV_OK,
			 outcome == KV_NOT_FOUND, proxyd_boot_now());
}

static bool may_act_under(const struct proxyd *proxyd, int64_t fencing_token)
{
	return lease_token(&proxyd->leader_lease) == fencing_token &&
	       lease_may_act(&proxyd->leader_lease, proxyd_boot_now());
}

static bool op_may_act(void *ctx, int64_t fencing_token)
{
	return may_act_under(ctx, fencing_token);
}

struct cloud_leader leader_self(struct proxyd *proxyd)
{
	return (struct cloud_leader){
		.host = proxyd->conf->name,
		.fencing_token = lease_token(&proxyd->leader_lease),
		.may_act = op_may_act,
		.ctx = proxyd,
	};
}

bool leader_acts(const struct proxyd *proxyd)
{
	return proxyd->leader->acting_token &&
	       may_act_under(proxyd, proxyd->leader->acting_token);
}

/* Makes the next call for the lease. */
static void lease_act(struct proxyd *proxyd, enum lease_action action)
{
	if (action == LEASE_ACT_NONE)
		return;
	proxyd->leader->lease_calls++;
	if (action == LEASE_ACT_REQUEST)
		kv_lease_grant(proxyd->kv, proxyd->conf->lease_ms,
			       on_lease_granted, proxyd);
	else
		kv_lease_renew(proxyd->kv, &proxyd->leader->duty_lease,
			       on_lease_renewed, proxyd);
}

/* Whether this host can be the leader: only a follower can, as it receives the
 * reports of all hosts and sees the leader's key. A host that has just started
 * knows too few other hosts to determine its rank. */
static bool is_eligible(const struct proxyd *proxyd)
{
	unsigned known = 1 + (unsigned)member_live_count(proxyd->members);
	bool settled =
		proxyd_now(proxyd) - proxyd->started_at >= RANK_SETTLE_MS ||
		known >= proxyd->listed_hosts * KNOWN_HOSTS_SHARE;

	/* The key is to be known in this era. The response to a call of an
	 * earlier one is not that to the next request. */
	if (proxyd->leader->read_era != kv_era(proxyd->kv) ||
	    proxyd->leader->lease_calls > 0)
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

/* Notes a change of whether this host acts, and under which token. */
static void acting_update(struct proxyd *proxyd, bool acting)
{
	struct leader *leader = proxyd->leader;
	int64_t token = acting ? lease_token(&proxyd->leader_lease) : 0;

	if (token == leader->acting_token)
		return;
	slog(SLOG_NOTICE, "duty",
	     "fence=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
	     " era=%" G_GINT64_FORMAT " outcome=%s",
	     token, leader->acting_token, kv_era(proxyd->kv),
	     !acting		    ? "not_acting"
	     : leader->acting_token ? "acting_on"
				    : "acting");
	if (!acting) {
		cloud_withdraw(proxyd->cloud);
	} else if (!leader->acting_token) {
		proxyd_count(proxyd, CTR_duty_terms);
		scale_reset_orders(proxyd);
	}
	leader->acting_token = token;
}

void leader_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_boot_now();
	struct lease *lease = &proxyd->leader_lease;
	bool acting;

	if (!proxyd->cloud)
		return;
	scale_observe(proxyd);
	lease_act(proxyd, lease_tick(lease, proxyd->feed.rank,
				     is_eligible(proxyd), now));
	role_check(proxyd);
	acting = lease_may_act(lease, now);
	/* A call under the token before could arrive after the first one under
	 * the new token. */
	if (acting && proxyd->leader->acting_token &&
	    proxyd->leader->acting_token != lease_token(lease) &&
	    cloud_pending_calls(proxyd->cloud) > 0)
		return;
	acting_update(proxyd, acting);
	if (!acting)
		return;
	if (lease_is_held(lease, now))
		usage_run(proxyd);
	scale_run(proxyd);
}

void leader_on_era(struct proxyd *proxyd, bool restored)
{
	struct lease *lease = &proxyd->leader_lease;
	clk_ms now = proxyd_boot_now();
	clk_ms wait = proxyd->conf->lease_ms;

	/* Those who know what was reported before claim the key first. */
	if (!restored)
		wait = proxyd->conf->first_start ? 0 : wait + wait / 2;
	usage_on_era(proxyd, restored);
	lease_on_era(lease, wait, now);
	slog(SLOG_NOTICE, "duty",
	     "era=%" G_GINT64_FORMAT " restored=%d fence=%" G_GINT64_FORMAT
	     " may_act_ms=%" G_GINT64_FORMAT " outcome=new_era",
	     kv_era(proxyd->kv), restored, lease_token(lease),
	     MAX(lease->kept_until - now, 0));
}

void leader_resign(struct proxyd *proxyd)
{
	/* A pending call to the platform could arrive after the next leader's
	 * first one; then the lease is left to expire. */
	if (lease_resign(&proxyd->leader_lease, proxyd_boot_now()) &&
	    cloud_pending_calls(proxyd->cloud) == 0)
		kv_lease_revoke(proxyd->kv, &proxyd->leader->duty_lease);
}
