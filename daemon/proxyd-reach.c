/*
 * The reach of the workers: notices when this host may have lost its links to a
 * worker, or to all of a pool (decide/links.h). A silent worker may be at work:
 * it is probed, and other hosts are asked whether they receive data from it.
 * Requests are taken back from it only if they do and this host does not.
 *
 * To hear a worker is to receive data from it, of a response or a probe.
 */
#include "proxyd-xfer.h"

/* A tick that comes so late, in ms: the process was paused. */
#define PAUSED_MS 300
/* Until requests are sent again where workers have no health check. */
#define REGAIN_UNCHECKED_MS 2000
#define HOSTS_ASKED 3	/* in one round of questions */
#define DOUBT_PROBES 16 /* of workers that have not failed, at once */
#define QUIET_MS 400	/* after output, until a worker is probed */
#define PROBE_MS 500	/* between two probes of it */
/* The same of one that is not reached, and of one that may not be either. */
#define REGAIN_MS 300
#define EXPLORE_MS 1000
/* How long a probe may have no response, until a worker that other hosts hear
 * counts as not reached. */
#define PROBE_WAIT_MS 200

/* Probes a worker; returns false if its pool has no check: no response is then
 * missing, and the worker no suspect. */
static bool worker_probe(struct proxyd *proxyd, struct fleet_worker *worker)
{
	if (!probe_link(proxyd, worker))
		return false;
	worker->link_probed_at = proxyd_now(proxyd);
	return true;
}

/* Probes a worker of a pool: one that has not failed yet, if there is any, and
 * another one than that given. */
static void pool_probe(struct proxyd *proxyd, const char *name,
		       const GPtrArray *workers,
		       const struct fleet_worker *other_than)
{
	struct fleet_worker *chosen = NULL;
	clk_ms now = proxyd_now(proxyd);
	clk_ms doubted_at;
	uint32_t start = proxyd_random(proxyd, workers->len);

	for (guint i = 0; i < workers->len; i++) {
		struct fleet_worker *worker =
			g_ptr_array_index(workers, (start + i) % workers->len);

		if (!fleet_takes_work(worker) || worker == other_than)
			continue;
		if (!chosen)
			chosen = worker;
		if (links_failed(proxyd->links, name, worker->key))
			continue;
		chosen = worker;
		break;
	}
	if (chosen && worker_probe(proxyd, chosen))
		return;
	/* Without a health check, requests find out. */
	doubted_at = links_doubted_at(proxyd->links, name);
	if (doubted_at >= 0 && now - doubted_at >= REGAIN_UNCHECKED_MS)
		links_on_data(proxyd->links, name, now);
}

/* Probes several workers of a pool, drawn at random: those that have not
 * failed, if there are any. One that responds ends the doubt. */
static void pool_probe_many(struct proxyd *proxyd, const char *name)
{
	const GPtrArray *workers =
		g_hash_table_lookup(proxyd->fleet->pools, name);
	GPtrArray *able = g_ptr_array_new();

	for (int failed = 0; workers && failed < 2 && able->len == 0; failed++)
		for (guint i = 0; i < workers->len; i++) {
			struct fleet_worker *worker =
				g_ptr_array_index(workers, i);

			if (fleet_takes_work(worker) &&
			    links_failed(proxyd->links, name, worker->key) ==
				    (failed > 0))
				g_ptr_array_add(able, worker);
		}
	for (unsigned i = 0; i < DOUBT_PROBES && able->len > 0; i++) {
		guint at = proxyd_random(proxyd, able->len);

		worker_probe(proxyd, g_ptr_array_index(able, at));
		g_ptr_array_remove_index_fast(able, at);
	}
	g_ptr_array_free(able, TRUE);
}

void reach_probe_other(struct proxyd *proxyd, const struct fleet_worker *worker)
{
	const GPtrArray *workers =
		g_hash_table_lookup(proxyd->fleet->pools, worker->entry.pool);

	if (workers)
		pool_probe(proxyd, worker->entry.pool, workers, worker);
}

/* Whether a host can be asked if it hears a pool. */
static bool can_be_asked(const struct member *member)
{
	return member->info.state == MEMBER_ALIVE &&
	       peer_knows_links(member->info.incarnation);
}

/* Asks some other hosts whether they hear a pool; silent: keys of its workers
 * that are silent, or NULL. */
static void pool_ask(struct proxyd *proxyd, const char *name, GArray *silent)
{
	const GPtrArray *order = proxyd->members->order;
	w_links ask = {
		.process = proxyd->members->self.incarnation,
		.pool = (char *)name,
		.workers = {
			.workers_len = silent ? MIN(silent->len, W_LINKS) : 0,
			.workers_val = silent ? (u_int *)silent->data : NULL,
		},
	};
	guint start = order->len ? proxyd_random(proxyd, order->len) : 0;
	unsigned asked = 0;

	for (guint i = 0; i < order->len && asked < HOSTS_ASKED; i++) {
		const struct member *member =
			g_ptr_array_index(order, (start + i) % order->len);

		if (!can_be_asked(member))
			continue;
		rpc_send_links_ask(proxyd->rpc, member->info.rpc, &ask);
		asked++;
	}
}

/* Asks other hosts about a pool that is in doubt or has silent workers, and
 * draws the conclusion. */
static void pool_check(struct proxyd *proxyd, const char *name, GArray *silent)
{
	clk_ms now = proxyd_now(proxyd);

	if (links_ask_due(proxyd->links, name, silent != NULL, now))
		pool_ask(proxyd, name, silent);
	if (!links_update(proxyd->links, name, now))
		return;
	proxyd_count(proxyd, CTR_links_lost);
	slog(SLOG_WARN, "links",
	     "pool=%s doubted_ms=%" G_GINT64_FORMAT " outcome=lost", name,
	     now - links_doubted_at(proxyd->links, name));
}

void reach_on_data(struct proxyd *proxyd, struct fleet_worker *worker)
{
	clk_ms now = proxyd_now(proxyd);

	worker->heard_at = now;
	worker->unreached = false;
	if (links_on_data(proxyd->links, worker->entry.pool, now))
		slog(SLOG_NOTICE, "links", "pool=%s worker=%s outcome=regained",
		     worker->entry.pool, worker->entry.id);
}

/* Handles a worker that has failed; silent: it has only sent nothing. */
static void worker_failed(struct proxyd *proxyd,
			  const struct fleet_worker *worker, bool silent)
{
	const char *pool = worker->entry.pool;
	bool (*note)(struct links * links, const char *name, uint32_t key,
		     unsigned workers, clk_ms now) =
		silent ? links_on_silence : links_on_failure;

	if (worker->removed ||
	    !note(proxyd->links, pool, worker->key,
		  fleet_count(proxyd->fleet, pool), proxyd_now(proxyd)))
		return;
	proxyd_count(proxyd, CTR_links_doubted);
	slog(SLOG_INFO, "links", "pool=%s worker=%s silent=%d outcome=doubted",
	     pool, worker->entry.id, silent);
	pool_probe_many(proxyd, pool);
	pool_check(proxyd, pool, NULL);
}

void reach_on_failure(struct proxyd *proxyd, const struct fleet_worker *worker)
{
	worker_failed(proxyd, worker, false);
}

void reach_on_silence(struct proxyd *proxyd, const struct fleet_worker *worker)
{
	worker_failed(proxyd, worker, true);
}

/* Drops a message about links. */
static void links_drop(struct proxyd *proxyd, const char *process,
		       const char *why)
{
	proxyd_count(proxyd, CTR_bad_input);
	slog(SLOG_INFO, "links", "peer=%s outcome=dropped why=%s", process,
	     why);
}

/* Keeps of the workers that another host asks about those that this one hears;
 * probes one of the others, so that the next question can be answered. */
static void asked_filter(struct proxyd *proxyd, const w_links *ask,
			 w_links *answer)
{
	clk_ms now = proxyd_now(proxyd);
	u_int len = ask->workers.workers_len;
	guint start = len ? proxyd_random(proxyd, len) : 0;
	bool probed = false;

	for (u_int i = 0; i < len; i++) {
		u_int key = ask->workers.workers_val[(start + i) % len];
		struct fleet_worker *worker = g_hash_table_lookup(
			proxyd->fleet->by_key, GUINT_TO_POINTER(key));

		if (!worker)
			continue;
		if (worker->heard_at && now - worker->heard_at < LINKS_HEARD_MS)
			answer->workers
				.workers_val[answer->workers.workers_len++] =
				key;
		else if (!probed && now - worker->link_probed_at >= PROBE_MS)
			probed = worker_probe(proxyd, worker);
	}
	answer->hears |= answer->workers.workers_len > 0;
}

void reach_on_ask(void *ctx, const w_links *ask)
{
	struct proxyd *proxyd = ctx;
	const struct member *from = member_find(proxyd->members, ask->process);
	const GPtrArray *workers =
		g_hash_table_lookup(proxyd->fleet->pools, ask->pool);
	u_int heard[W_LINKS];
	w_links answer = {
		.process = proxyd->members->self.incarnation,
		.pool = ask->pool,
		.hears = links_hears(proxyd->links, ask->pool,
				     proxyd_now(proxyd)),
		.workers.workers_val = heard,
	};

	if (!from || !can_be_asked(from)) {
		links_drop(proxyd, ask->process, "unknown_host");
		return;
	}
	if (!workers)
		return;
	asked_filter(proxyd, ask, &answer);
	if (answer.hears || links_doubted_at(proxyd->links, ask->pool) >= 0)
		rpc_send_links_answer(proxyd->rpc, from->info.rpc, &answer);
	else if (ask->workers.workers_len == 0)
		pool_probe(proxyd, ask->pool, workers, NULL);
}

/* Whether a probe of a worker has had no response for a while. */
static bool is_suspect(const struct fleet_worker *worker, clk_ms now)
{
	return worker->link_probed_at > worker->heard_at &&
	       now - worker->link_probed_at >= PROBE_WAIT_MS;
}

/* Another host hears a worker that is silent here, and a probe of this host has
 * had no response for a while: the link to it is lost. */
static void worker_on_heard(struct proxyd *proxyd, uint32_t key)
{
	struct fleet_worker *worker = g_hash_table_lookup(
		proxyd->fleet->by_key, GUINT_TO_POINTER(key));
	clk_ms now = proxyd_now(proxyd);

	if (!worker || worker->removed || worker->unreached ||
	    !is_suspect(worker, now))
		return;
	worker->unreached = true;
	proxyd_count(proxyd, CTR_workers_unreached);
	slog(SLOG_NOTICE, "links",
	     "pool=%s worker=%s silent_ms=%" G_GINT64_FORMAT
	     " outcome=unreached",
	     worker->entry.pool, worker->entry.id,
	     worker->heard_at ? now - worker->heard_at : -1);
}

void reach_on_answer(void *ctx, const w_links *answer)
{
	struct proxyd *proxyd = ctx;

	if (!member_is_live(proxyd->members, answer->process)) {
		links_drop(proxyd, answer->process, "unknown_host");
		return;
	}
	if (links_on_host(proxyd->links, answer->pool,
			  aggregate_key(answer->process), answer->hears,
			  proxyd_now(proxyd)))
		pool_probe_many(proxyd, answer->pool);
	for (u_int i = 0; i < answer->workers.workers_len; i++)
		worker_on_heard(proxyd, answer->workers.workers_val[i]);
	pool_check(proxyd, answer->pool, NULL);
}

/* How long the worker of an attempt may send nothing. */
static clk_ms silence_max(const struct xfer *xfer)
{
	return links_silence_max(
		xfer->proxyd->links, xfer->pool->name,
		xfer->has_output ? 0 : MAX(xfer->route->latency_target, 1));
}

/* For how long the worker of a request has sent nothing, in ms; since: from
 * when that counts. */
static clk_ms quiet_for(const struct xfer *xfer, clk_ms since, clk_ms now)
{
	clk_ms heard_at;

	if (!xfer->attempt || !xfer->worker || !xfer->sent_at)
		return 0;
	heard_at = MAX(xfer->last_received_at, xfer->worker->heard_at);
	return now - MAX(heard_at, since);
}

/* How long it may do so until it is probed. */
static clk_ms quiet_max(const struct xfer *xfer)
{
	if (xfer->has_output)
		return QUIET_MS;
	return MIN(silence_max(xfer),
		   links_silence_max(xfer->proxyd->links, xfer->pool->name, 1));
}

static bool is_silent(const struct xfer *xfer, clk_ms since, clk_ms now)
{
	return quiet_for(xfer, since, now) >= silence_max(xfer);
}

/* Whether an attempt is given up, as its link is lost, so that another worker
 * or host can have the request. */
static bool is_taken_back(struct xfer *xfer, clk_ms since, clk_ms now)
{
	const struct links *links = xfer->proxyd->links;
	const char *pool = xfer->pool->name;

	if (!xfer->worker || (!xfer->attempt && !process_is_asked_first(xfer)))
		return false;
	if (!xfer->sent_at)
		return links_avoided(links, pool) && forward_is_possible(xfer);
	if (!px_is_repeatable(xfer->px.kind))
		return false;
	return xfer->worker->unreached ||
	       (links_lost(links, pool) && is_silent(xfer, since, now) &&
		forward_is_possible(xfer));
}

static void take_back(struct xfer *xfer)
{
	if (xfer->sent_at) {
		attempt_take_back(xfer);
		return;
	}
	if (xfer->attempt)
		hc_request_cancel(xfer->attempt);
	xfer->attempt = NULL;
	if (xfer->ident)
		ident_cancel(xfer->ident);
	xfer->ident = NULL;
	attempt_end(xfer, PX_END_UNSENT, "links_lost");
}

/* Adds a worker to the silent ones of its pool, once. */
static void silent_add(GHashTable *pools, const struct fleet_worker *worker)
{
	GArray *keys = g_hash_table_lookup(pools, worker->entry.pool);

	if (!keys) {
		keys = g_array_new(FALSE, FALSE, sizeof(u_int));
		g_hash_table_insert(pools, g_strdup(worker->entry.pool), keys);
	}
	for (guint i = 0; i < keys->len; i++)
		if (g_array_index(keys, u_int, i) == worker->key)
			return;
	if (keys->len < W_LINKS)
		g_array_append_val(keys, (u_int){ worker->key });
}

/* Whether this host does not reach some worker of a pool. */
static bool has_unreached(const GPtrArray *workers)
{
	for (guint i = 0; i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);

		if (worker->unreached && !worker->removed)
			return true;
	}
	return false;
}

/* Where one worker of a pool is not reached, others may not be either: probes
 * those that were not heard lately, and adds those that do not respond to the
 * silent ones. */
static void pool_explore(struct proxyd *proxyd, const GPtrArray *workers,
			 GHashTable *silent)
{
	clk_ms now = proxyd_now(proxyd);
	unsigned probes = 0;

	for (guint i = 0; i < workers->len; i++) {
		struct fleet_worker *worker = g_ptr_array_index(workers, i);

		if (!fleet_takes_work(worker) ||
		    now - worker->heard_at < LINKS_HEARD_MS)
			continue;
		if (is_suspect(worker, now) && !worker->unreached)
			silent_add(silent, worker);
		else if (probes < DOUBT_PROBES &&
			 now - worker->link_probed_at >=
				 (worker->unreached ? REGAIN_MS : EXPLORE_MS))
			probes += worker_probe(proxyd, worker);
	}
}

/* Looks for silent workers, probes them, and takes requests back from them.
 * Returns the keys of those that have not answered a probe, by pool. */
static GHashTable *requests_check(struct proxyd *proxyd, clk_ms since,
				  clk_ms now)
{
	GHashTable *silent = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
	GPtrArray *requests = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, proxyd->open_requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct xfer *xfer = key;

		if (quiet_for(xfer, since, now) >= quiet_max(xfer)) {
			if (is_suspect(xfer->worker, now))
				silent_add(silent, xfer->worker);
			if (now - xfer->worker->link_probed_at >= PROBE_MS)
				worker_probe(proxyd, xfer->worker);
		}
		if (is_silent(xfer, since, now) &&
		    !links_failed(proxyd->links, xfer->pool->name,
				  xfer->worker->key))
			reach_on_silence(proxyd, xfer->worker);
		if (is_taken_back(xfer, since, now))
			g_ptr_array_add(requests, key);
	}
	/* Not during the iteration: it may end requests. */
	for (guint i = 0; i < requests->len; i++) {
		struct xfer *xfer = g_ptr_array_index(requests, i);

		if (g_hash_table_contains(proxyd->open_requests, xfer) &&
		    is_taken_back(xfer, since, now))
			take_back(xfer);
	}
	g_ptr_array_free(requests, TRUE);
	return silent;
}

void reach_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	clk_ms last = proxyd->links_checked_at;
	GHashTable *silent;
	GHashTableIter iter;
	gpointer name;
	gpointer workers;

	proxyd->links_checked_at = now;
	/* Responses may have arrived in a pause without being read. */
	if (now - last > PAUSED_MS)
		proxyd->paused_at = now;
	silent = requests_check(proxyd, proxyd->paused_at, now);
	g_hash_table_iter_init(&iter, proxyd->fleet->pools);
	while (g_hash_table_iter_next(&iter, &name, &workers)) {
		if (has_unreached(workers))
			pool_explore(proxyd, workers, silent);
		if (links_probe_due(proxyd->links, name, now))
			pool_probe(proxyd, name, workers, NULL);
		pool_check(proxyd, name, g_hash_table_lookup(silent, name));
	}
	g_hash_table_destroy(silent);
}

void reach_start(struct proxyd *proxyd)
{
	proxyd->links = links_create();
}
