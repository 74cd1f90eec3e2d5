/*
 * Limits that workers name, and the permits by which all hosts keep to them
 * together (decide/permit.h).
 *
 * The issuer of a worker's permits is the host that ranks first for the
 * worker's id. A host that reads a limit in a response tells the issuer, which
 * tells all others of a change. A host that starts asks others for all limits
 * that they know. Hosts of older builds are no issuers.
 */
#include "proxyd-xfer.h"

#include <math.h>
#include <string.h>

/* Until a host that has asked the wrong one knows who the issuer is. */
#define WRONG_ISSUER_MS 200
/* So often a host that starts asks another one for all limits. */
#define START_QUESTIONS 3
#define ISSUER_CHECK_MS 1000 /* between two checks of all limited workers */
#define DURATION_MAX_MS 1e6  /* in an answer; longer is an error */
#define FULL_MAX 100000	     /* rejections told at once; more is an error */
/* News of workers that are not listed here yet. */
#define NEWS_MAX 1024
#define NEWS_MS 10000

struct limit_news {
	int64_t started_at; /* of the worker's process */
	double limit;
	clk_ms at;
};

/* Returns the issuer of a worker's permits; NULL: this host. */
static const struct member *issuer_of(const struct proxyd *proxyd,
				      const struct fleet_worker *worker)
{
	return member_first(proxyd->members, worker->entry.id, proxyd->stopping,
			    peer_issues_permits);
}

/* The share of the hosts that may be sending which this one is in contact
 * with; 0: it does not know. */
static double hosts_reach(const struct proxyd *proxyd)
{
	if (proxyd->members->maybe_dead)
		return 0;
	return (1.0 + (double)member_live_count(proxyd->members)) /
	       peer_hosts_maybe_running(proxyd);
}

/* Logs a change of a worker's limit. */
static void limit_changed(struct proxyd *proxyd,
			  const struct fleet_worker *worker, const char *why)
{
	double limit = fleet_limit_rate(worker);

	if (limit >= 0)
		proxyd_count(proxyd, CTR_limits_named);
	slog(SLOG_NOTICE, "worker", "worker=%s limit=%.2f outcome=%s why=%s",
	     worker->entry.id, limit, limit >= 0 ? "limited" : "unlimited",
	     why);
}

static void ask_send(struct proxyd *proxyd, const struct member *issuer,
		     const struct fleet_worker *worker, unsigned wanted,
		     bool seen)
{
	w_permit_ask ask = {
		.process = proxyd->members->self.incarnation,
		.worker = worker->entry.id,
		.started_at = worker->entry.started_at,
		.limit = fleet_limit_rate(worker),
		.seen = seen,
		.number = wanted ? worker->limit.holder->question : 0,
		.wanted = wanted,
	};

	rpc_send_permit_ask(proxyd->rpc, issuer->info.rpc, &ask);
}

void permit_on_response(struct proxyd *proxyd, struct fleet_worker *worker,
			const struct head_response *head, clk_ms sent_at)
{
	const struct member *issuer;
	bool changed;
	bool tell;

	if (head->bad_limit) {
		proxyd_count(proxyd, CTR_limits_bad);
		return;
	}
	changed = fleet_limit_on_response(worker,
					  head->has_limit ? head->limit : -1,
					  sent_at, proxyd_now(proxyd), &tell);
	if (changed)
		limit_changed(proxyd, worker, "named");
	if (!tell)
		return;
	issuer = issuer_of(proxyd, worker);
	if (issuer)
		ask_send(proxyd, issuer, worker, 0, true);
	else
		worker->limit.untold |= changed;
	if (changed)
		queue_update(proxyd, worker->entry.pool);
}

void permit_on_head(struct xfer *xfer)
{
	const struct head_response *head = &xfer->response.head;

	/* What is not signed may not be the worker's. */
	if (head->has_limit || head->is_signed || head->bad_limit)
		permit_on_response(xfer->proxyd, xfer->worker, head,
				   xfer->sent_at);
}

bool permit_ask_for(struct proxyd *proxyd, struct fleet_worker *worker)
{
	const struct member *issuer = issuer_of(proxyd, worker);
	struct permit_holder *holder = worker->limit.holder;
	clk_ms now = proxyd_now(proxyd);
	unsigned wanted = permit_ask(holder, now);
	struct permit_grant grant;

	proxyd_count(proxyd, CTR_permits_asked);
	if (issuer) {
		ask_send(proxyd, issuer, worker, wanted, false);
		return false;
	}
	grant = fleet_limit_issue(worker, hosts_reach(proxyd), wanted, now);
	permit_on_grant(holder, holder->question, &grant, now);
	return permit_ready(holder, now);
}

/* Tells a host of a worker's limit. */
static void limit_send(struct proxyd *proxyd, const struct fleet_worker *worker,
		       const struct member *to)
{
	w_permit_grant news = {
		.process = proxyd->members->self.incarnation,
		.worker = worker->entry.id,
		.started_at = worker->entry.started_at,
		.limit = fleet_limit_rate(worker),
	};

	if (to->info.state != MEMBER_DEAD &&
	    peer_issues_permits(to->info.incarnation))
		rpc_send_permit_grant(proxyd->rpc, to->info.rpc, &news);
}

/* Tells a host of all limits that are known here. */
static void limits_send(struct proxyd *proxyd, const struct member *to)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_worker *worker = value;

		if (worker->limit.holder)
			limit_send(proxyd, worker, to);
	}
}

/* Messages of other hosts. */

static void drop(struct proxyd *proxyd, const char *process, const char *why)
{
	proxyd_count(proxyd, CTR_bad_input);
	slog(SLOG_WARN, "permit", "peer=%s outcome=dropped why=%s", process,
	     why);
}

static bool is_duration(double ms)
{
	return isfinite(ms) && ms >= 0 && ms <= DURATION_MAX_MS;
}

static bool is_limit(double limit)
{
	return isfinite(limit) && limit <= PERMIT_RATE_MAX;
}

/* Returns the worker that a message names, if it is the same process. */
static struct fleet_worker *worker_find(const struct proxyd *proxyd,
					const char *id, int64_t started_at)
{
	struct fleet_worker *worker = fleet_find(proxyd->fleet, id);

	return worker && worker->entry.started_at == started_at ? worker : NULL;
}

/* Grants permits for a worker whose issuer is this host. */
static struct permit_grant question_answer(struct proxyd *proxyd,
					   struct fleet_worker *worker,
					   const w_permit_ask *ask)
{
	struct permit_grant grant = { .count = 0 };
	clk_ms now = proxyd_now(proxyd);

	if (fleet_limit_on_question(worker, ask->limit, ask->seen, now))
		limit_changed(proxyd, worker, "told");
	if (!worker->limit.holder || ask->wanted == 0)
		return grant;
	grant = fleet_limit_issue(worker, hosts_reach(proxyd), ask->wanted,
				  now);
	proxyd->ctrs.values[CTR_permits_issued] += grant.count;
	return grant;
}

void permit_on_ask(void *ctx, const w_permit_ask *ask)
{
	struct proxyd *proxyd = ctx;
	const struct member *asker = member_find(proxyd->members, ask->process);
	struct fleet_worker *worker =
		worker_find(proxyd, ask->worker, ask->started_at);
	struct permit_grant grant = { .retry = WRONG_ISSUER_MS };
	double limit = ask->limit;
	if (!asker || asker->info.state == MEMBER_DEAD) {
		drop(proxyd, ask->process, "unknown_host");
		return;
	}
	if (!ask->worker[0]) {
		limits_send(proxyd, asker);
		return;
	}
	if (!is_limit(ask->limit)) {
		drop(proxyd, ask->process, "bad_value");
		return;
	}
	if (worker && !issuer_of(proxyd, worker)) {
		grant = question_answer(proxyd, worker, ask);
		limit = fleet_limit_rate(worker);
	}
	if (ask->number > 0)
		rpc_send_permit_grant(
			proxyd->rpc, asker->info.rpc,
			&(w_permit_grant){
				.process = proxyd->members->self.incarnation,
				.worker = ask->worker,
				.started_at = ask->started_at,
				.limit = limit,
				.number = ask->number,
				.count = grant.count,
				.wait = grant.wait,
				.gap = grant.gap,
				.retry = (u_int)grant.retry,
			});
}

/* Keeps news of a worker that is not listed here yet. */
static void news_keep(struct proxyd *proxyd, const w_permit_grant *answer)
{
	struct limit_news *news;

	if (answer->limit < 0 ||
	    g_hash_table_size(proxyd->limit_news) >= NEWS_MAX)
		return;
	news = g_new(struct limit_news, 1);
	*news = (struct limit_news){
		.started_at = answer->started_at,
		.limit = answer->limit,
		.at = proxyd_now(proxyd),
	};
	g_hash_table_replace(proxyd->limit_news, g_strdup(answer->worker),
			     news);
}

void permit_on_worker(struct proxyd *proxyd, struct fleet_worker *worker)
{
	const struct limit_news *news =
		g_hash_table_lookup(proxyd->limit_news, worker->entry.id);

	if (news && news->started_at == worker->entry.started_at &&
	    fleet_limit_on_news(worker, news->limit, proxyd_now(proxyd)))
		limit_changed(proxyd, worker, "told");
	g_hash_table_remove(proxyd->limit_news, worker->entry.id);
}

void permit_on_answer(void *ctx, const w_permit_grant *answer)
{
	struct proxyd *proxyd = ctx;
	struct fleet_worker *worker =
		worker_find(proxyd, answer->worker, answer->started_at);
	struct permit_grant grant = {
		.count = MIN(answer->count, PERMIT_QUEUE_MAX),
		.wait = answer->wait,
		.gap = answer->gap,
		.retry = answer->retry,
	};

	if (!member_is_live(proxyd->members, answer->process)) {
		drop(proxyd, answer->process, "unknown_host");
		return;
	}
	if (!is_limit(answer->limit) || !is_duration(grant.wait) ||
	    !is_duration(grant.gap) || !is_duration((double)grant.retry)) {
		drop(proxyd, answer->process, "bad_value");
		return;
	}
	if (!worker) {
		news_keep(proxyd, answer);
		return;
	}
	if (worker->limit.holder && answer->number > 0)
		permit_on_grant(worker->limit.holder, answer->number, &grant,
				proxyd_now(proxyd));
	if (fleet_limit_on_news(worker, answer->limit, proxyd_now(proxyd)))
		limit_changed(proxyd, worker, "told");
	queue_update(proxyd, worker->entry.pool);
}

void permit_tell_full(struct proxyd *proxyd, const struct fleet_worker *worker,
		      unsigned count)
{
	const GPtrArray *order = proxyd->members->order;
	w_full full = {
		.process = proxyd->members->self.incarnation,
		.worker = worker->entry.id,
		.count = count,
	};

	if (count == 0)
		return;
	proxyd_count(proxyd, CTR_brittle_told);
	for (guint i = 0; i < order->len; i++) {
		const struct member *to = g_ptr_array_index(order, i);

		if (to->info.state != MEMBER_DEAD &&
		    build_has(to->info.incarnation, BUILD_FULL))
			rpc_send_full(proxyd->rpc, to->info.rpc, &full);
	}
}

void permit_on_full(void *ctx, const w_full *full)
{
	struct proxyd *proxyd = ctx;
	struct fleet_worker *worker = fleet_find(proxyd->fleet, full->worker);

	if (!member_is_live(proxyd->members, full->process)) {
		drop(proxyd, full->process, "unknown_host");
		return;
	}
	if (full->count == 0 || full->count > FULL_MAX) {
		drop(proxyd, full->process, "bad_value");
		return;
	}
	if (worker)
		fleet_brittle_on_told(worker, full->count,
				      proxyd_chance(proxyd),
				      proxyd_now(proxyd));
}

/* Asks some host for all limits that it knows. */
static void limits_ask(struct proxyd *proxyd)
{
	const GPtrArray *order = proxyd->members->order;
	const struct member *member;
	w_permit_ask ask = {
		.process = proxyd->members->self.incarnation,
		.worker = "",
		.limit = -1,
	};

	if (order->len == 0)
		return;
	member = g_ptr_array_index(order, proxyd_random(proxyd, order->len));
	if (member->info.state != MEMBER_ALIVE ||
	    !peer_issues_permits(member->info.incarnation))
		return;
	proxyd->limit_questions++;
	rpc_send_permit_ask(proxyd->rpc, member->info.rpc, &ask);
}

static void limit_announce(struct proxyd *proxyd,
			   const struct fleet_worker *worker)
{
	const GPtrArray *order = proxyd->members->order;

	for (guint i = 0; i < order->len; i++)
		limit_send(proxyd, worker, g_ptr_array_index(order, i));
}

static gboolean news_is_old(gpointer key, gpointer value, gpointer now)
{
	const struct limit_news *news = value;

	(void)key;
	return *(const clk_ms *)now - news->at > NEWS_MS;
}

/* Does the work of an issuer for the limited workers: announces their limits,
 * and asks for the health of those that take no requests. all: also those for
 * which this host has not issued permits yet. */
static void issuer_tick(struct proxyd *proxyd, bool all)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fleet_worker *worker = value;

		if (!worker->limit.issuer && !worker->limit.untold &&
		    (!all || !worker->limit.holder))
			continue;
		if (issuer_of(proxyd, worker)) {
			fleet_limit_issuer_stop(worker);
			continue;
		}
		if (fleet_limit_announce(worker, proxyd_now(proxyd)))
			limit_announce(proxyd, worker);
		if (worker->limit.holder)
			probe_send(proxyd, worker);
	}
}

void permit_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	bool all = now >= proxyd->next_issuer_check;

	g_hash_table_foreach_remove(proxyd->limit_news, news_is_old, &now);
	if (proxyd->limit_questions < START_QUESTIONS)
		limits_ask(proxyd);
	if (all)
		proxyd->next_issuer_check = now + ISSUER_CHECK_MS;
	issuer_tick(proxyd, all);
}

void permit_start(struct proxyd *proxyd)
{
	proxyd->limit_news =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}
