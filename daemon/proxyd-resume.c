/*
 * Streams that callers take up: at which software version they may go on
 * (decide/origin.h).
 *
 * Hosts of builds that don't know RW_ORIGIN_KEEP keep nothing and aren't asked.
 */
#include "proxyd-xfer.h"

#include <string.h>

/* The list of workers is current if it was so long ago at most: heartbeats come
 * every FEED_HEARTBEAT_MS, and the responses of watches every 1.1 s. */
#define LISTED_MS 2500
/* That a request waits for entries before it is sent once more. */
#define ENTRY_WAIT_MS 2500
#define ASK_AGAIN_MS 100  /* a datagram may have been lost */
#define RECORD_GAP_MS 100 /* between two writes of records of versions */
/* Hosts that write the streams of all hosts to the store: one of them may be
 * lost, or cut off from the store. */
#define WRITERS STREAMLOG_WRITERS
#define WRITERS_KEY 0x72772f73747265 /* of their ranking */
/* Hosts that get a stream at most: those that keep it, and the writers. */
#define RECEIVERS_MAX (ORIGIN_KEEPERS + WRITERS)
#define VERSIONS_PREFIX OWN_PREFIX "versions/" /* before a pool's name */
#define STREAMS_PREFIX OWN_PREFIX "streams/"   /* before an incarnation */

static bool is_settled(const struct proxyd *proxyd)
{
	return proxyd_now(proxyd) - proxyd->started_at >= ORIGIN_KEEP_MS;
}

static uint64_t key_of(const struct xfer *xfer, struct http_view attempt)
{
	return origin_key(xfer->account ? xfer->account->name : NULL,
			  attempt.ptr, attempt.len);
}

/* Returns how many software versions the workers of a pool have. */
static unsigned versions_of(const struct proxyd *proxyd, const char *pool)
{
	uint32_t sole;

	return fleet_versions(proxyd->fleet, pool, proxyd_now(proxyd), &sole);
}

/* Returns when the list of a pool's workers was last current. */
static clk_ms listed_at_of(const struct proxyd *proxyd, unsigned versions)
{
	/* Where there is one version, no process can have another one. */
	return versions > 1 ? proxyd->list_age.complete_at : CLK_NEVER;
}

/* Versions that outlive all hosts. */

static const struct store_item *record_item(const struct proxyd *proxyd,
					    const char *pool)
{
	char *key = g_strconcat(VERSIONS_PREFIX, pool, NULL);
	const struct store_item *item =
		store_get(mirror_replica(proxyd->mirror, MIRROR_OWN), key);

	g_free(key);
	return item && item->value ? item : NULL;
}

/* Returns the record of a pool's versions; NULL: there is none. */
static GArray *record_read(struct proxyd *proxyd, const char *pool)
{
	const struct store_item *item = record_item(proxyd, pool);
	GArray *versions;
	const char *text;
	gsize len;

	if (!item)
		return NULL;
	text = g_bytes_get_data(item->value, &len);
	versions = version_parse(text, len);
	if (!versions)
		proxyd_count(proxyd, CTR_bad_input);
	return versions;
}

/* Counts the versions that a pool has had lately by the record and the list of
 * workers; 0: not known. */
static unsigned recorded_versions(struct proxyd *proxyd, const char *pool)
{
	clk_ms restored_at = mirror_restored_at(proxyd->mirror);
	clk_ms now = proxyd_now(proxyd);
	uint32_t serving[VERSION_MAX];
	GArray *versions;
	unsigned count;

	/* An older copy of the store has an older record. */
	if (!mirror_is_current(proxyd->mirror) ||
	    (restored_at && now - restored_at < ORIGIN_KEEP_MS))
		return 0;
	versions = record_read(proxyd, pool);
	if (!versions)
		return 0;
	count = version_count(versions, serving,
			      fleet_serving_versions(proxyd->fleet, pool,
						     serving, VERSION_MAX),
			      proxyd_wall(proxyd));
	g_array_unref(versions);
	return count;
}

static void on_record_written(void *ctx, enum kv_outcome outcome,
			      int64_t revision)
{
	struct proxyd *proxyd = ctx;

	proxyd->record_pending = false;
	slog(SLOG_NOTICE, "versions",
	     "revision=%" G_GINT64_FORMAT " outcome=%s", revision,
	     outcome == KV_OK ? "written" : "not_written");
}

/* Writes the record of a pool's versions if they have changed. */
static void record_update(struct proxyd *proxyd, const char *pool)
{
	const struct store_item *item = record_item(proxyd, pool);
	GArray *versions = record_read(proxyd, pool);
	uint32_t serving[VERSION_MAX];
	size_t count = fleet_serving_versions(proxyd->fleet, pool, serving,
					      VERSION_MAX);
	GString *text;
	char *key;

	if (!versions)
		versions = g_array_new(FALSE, FALSE, sizeof(struct version));
	if (version_update(versions, serving, count, proxyd_wall(proxyd))) {
		key = g_strconcat(VERSIONS_PREFIX, pool, NULL);
		text = version_print(versions);
		proxyd->record_pending = true;
		proxyd->next_record = proxyd_now(proxyd) + RECORD_GAP_MS;
		kv_change(proxyd->kv,
			  &(struct kv_change){
				  .key = key,
				  .value = text->str,
				  .expected_revision = item ? item->mod : 0,
			  },
			  on_record_written, proxyd);
		g_string_free(text, TRUE);
		g_free(key);
	}
	g_array_unref(versions);
}

/* The host that ranks first keeps the records. */
static void records_tick(struct proxyd *proxyd)
{
	GHashTableIter iter;
	gpointer pool;

	if (proxyd->feed.rank != 0 || !mirror_reads_store(proxyd->mirror))
		return;
	g_hash_table_iter_init(&iter, proxyd->fleet->pools);
	while (g_hash_table_iter_next(&iter, &pool, NULL))
		if (!proxyd->record_pending &&
		    proxyd_now(proxyd) >= proxyd->next_record)
			record_update(proxyd, pool);
}

static void stream_learn(void *ctx, uint64_t stream, uint32_t version)
{
	struct proxyd *proxyd = ctx;

	origin_put(proxyd->origin, stream, version, 0, proxyd_now(proxyd));
}

void resume_on_item(struct proxyd *proxyd, const struct store_item *item)
{
	const char *text;
	gsize len;

	if (!item->value || !g_str_has_prefix(item->key, STREAMS_PREFIX))
		return;
	text = g_bytes_get_data(item->value, &len);
	if (origin_rows_parse(text, len, stream_learn, proxyd))
		return;
	proxyd_count(proxyd, CTR_bad_input);
	slog(SLOG_WARN, "streams", "key=%s outcome=malformed", item->key);
}

/* Whether this host writes streams to the store; sets its turn. */
static bool writes_streams(const struct proxyd *proxyd, unsigned *turn)
{
	*turn = member_top_self_rank(proxyd->members, WRITERS_KEY,
				     peer_writes_streams);
	return *turn < WRITERS;
}

/* Adds a host to a list unless it is there; returns the new count. */
static size_t receiver_add(const struct member **receivers, size_t count,
			   const struct member *host)
{
	for (size_t i = 0; i < count; i++)
		if (receivers[i] == host)
			return count;
	receivers[count] = host;
	return count + 1;
}

/* Lists the other hosts that are to get a stream: those that keep it, and those
 * that write it to the store. */
static size_t receivers_list(const struct proxyd *proxyd, uint64_t key,
			     unsigned keepers, const struct member **receivers)
{
	const struct member *writers[MEMBER_TOP_MAX];
	unsigned turn;
	size_t count;
	size_t others;

	if (keepers == 0)
		return 0;
	count = member_top(proxyd->members, key, peer_keeps_origins, receivers,
			   keepers);
	others = member_top(proxyd->members, WRITERS_KEY, peer_writes_streams,
			    writers, WRITERS - writes_streams(proxyd, &turn));
	for (size_t i = 0; i < others; i++)
		count = receiver_add(receivers, count, writers[i]);
	return count;
}

/* Rows for the hosts that are to get streams. */
struct keepers_ctx {
	struct proxyd *proxyd;
	unsigned keepers;  /* of each stream */
	GHashTable *hosts; /* RPC address -> GArray of w_origin */
};

static void rows_send(struct proxyd *proxyd, const char *rpc, GArray *rows)
{
	for (guint i = 0; i < rows->len; i += W_ORIGINS) {
		w_origin_keep keep = {
			.streams.streams_len = MIN(rows->len - i, W_ORIGINS),
			.streams.streams_val =
				&g_array_index(rows, w_origin, i),
		};

		rpc_send_origin_keep(proxyd->rpc, rpc, &keep);
	}
}

/* Whether a host can read what is known of a stream: builds that don't know
 * marks would keep one for the stream's version. */
static bool reads_origin(const struct member *host, uint32_t version)
{
	return origin_is_known(version) ||
	       peer_reads_marks(host->info.incarnation);
}

static void keepers_add(void *ctx, uint64_t key, uint32_t version)
{
	struct keepers_ctx *keepers = ctx;
	const struct member *top[RECEIVERS_MAX];
	w_origin row = { .stream = key, .software = version };
	size_t count =
		receivers_list(keepers->proxyd, key, keepers->keepers, top);

	for (size_t i = 0; i < count; i++) {
		char *rpc = (char *)top[i]->info.rpc;
		GArray *rows = g_hash_table_lookup(keepers->hosts, rpc);

		if (!reads_origin(top[i], version))
			continue;
		if (!rows) {
			rows = g_array_new(FALSE, FALSE, sizeof(row));
			g_hash_table_insert(keepers->hosts, rpc, rows);
		}
		g_array_append_val(rows, row);
	}
}

/* Adds a stream to those that are to be written, if this host writes them. */
static void stream_log(void *ctx, uint64_t stream, uint32_t version)
{
	struct proxyd *proxyd = ctx;
	unsigned turn;

	if (origin_is_known(version) && writes_streams(proxyd, &turn))
		streamlog_add(proxyd->streamlog, stream, version);
}

/* Passes on all streams of this host that began in a pool. */
static void pool_pass_on(struct proxyd *proxyd, const char *pool,
			 unsigned keepers)
{
	struct keepers_ctx ctx = {
		.proxyd = proxyd,
		.keepers = keepers,
		.hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       (GDestroyNotify)g_array_unref),
	};
	GHashTableIter iter;
	gpointer rpc;
	gpointer rows;

	origin_each_own(proxyd->origin, aggregate_key(pool), keepers_add, &ctx);
	origin_each_own(proxyd->origin, aggregate_key(pool), stream_log,
			proxyd);
	g_hash_table_iter_init(&iter, ctx.hosts);
	while (g_hash_table_iter_next(&iter, &rpc, &rows))
		rows_send(proxyd, rpc, rows);
	slog(SLOG_NOTICE, "resume", "pool=%s hosts=%u outcome=passed_on", pool,
	     g_hash_table_size(ctx.hosts));
	g_hash_table_destroy(ctx.hosts);
}

/* Returns a key of the hosts that write streams. */
static uint32_t writers_key(const struct proxyd *proxyd)
{
	const struct member *writers[MEMBER_TOP_MAX];
	unsigned turn;
	uint32_t key = writes_streams(proxyd, &turn);
	size_t others = member_top(proxyd->members, WRITERS_KEY,
				   peer_writes_streams, writers, WRITERS - key);

	for (size_t i = 0; i < others; i++)
		key ^= aggregate_key(writers[i]->info.incarnation);
	return key;
}

/* Notes whether a pool has several versions. */
static void pool_update(struct proxyd *proxyd, struct pool_state *pool,
			bool new_writers)
{
	unsigned keepers = origin_keepers(versions_of(proxyd, pool->name),
					  proxyd_host_count(proxyd));

	if (keepers > 0 && (!pool->several_versions || new_writers))
		pool_pass_on(proxyd, pool->name, keepers);
	pool->several_versions = keepers > 0;
}

static void await_cancel(struct xfer *xfer)
{
	if (xfer->awaits_entry || xfer->awaits_process)
		g_ptr_array_remove_fast(xfer->proxyd->awaiting, xfer);
	xfer->awaits_entry = false;
	xfer->awaits_process = false;
}

/* Tells the hosts that are to keep a stream of this one; version: that began
 * it, or what else is known (enum origin_knowledge); versions: that the pool
 * counts as having, at least. */
static void stream_pass_on(struct proxyd *proxyd, const char *pool,
			   uint64_t stream, uint32_t version, unsigned versions)
{
	const struct member *top[RECEIVERS_MAX];
	w_origin row = { .stream = stream, .software = version };
	w_origin_keep keep = {
		.streams.streams_len = 1,
		.streams.streams_val = &row,
	};
	unsigned keepers =
		origin_keepers(MAX(versions, versions_of(proxyd, pool)),
			       proxyd_host_count(proxyd));
	size_t count = receivers_list(proxyd, stream, keepers, top);

	if (proxyd_pool(proxyd, pool)->several_versions)
		stream_log(proxyd, stream, version);
	for (size_t i = 0; i < count; i++)
		if (reads_origin(top[i], version))
			rpc_send_origin_keep(proxyd->rpc, top[i]->info.rpc,
					     &keep);
}

/* Returns the version of a process of a worker, or its mark if it is not
 * listed.
 */
static uint32_t process_version(const struct proxyd *proxyd,
				const struct fleet_worker *worker,
				int64_t process)
{
	const struct fleet_worker *listed =
		fleet_find(proxyd->fleet, worker->entry.id);

	if (process == worker->entry.started_at)
		return worker->version;
	return listed && process == listed->entry.started_at
		       ? listed->version
		       : fleet_process_mark(worker, process, true);
}

/* Tells the host that has forwarded the request, which did not know the version
 * when the response began. */
static void forwarder_tell(const struct xfer *xfer, uint64_t stream,
			   uint32_t version)
{
	const struct member *host =
		member_find(xfer->proxyd->members, xfer->forwarder);
	w_origin row = { .stream = stream, .software = version };
	w_origin_keep keep = {
		.streams.streams_len = 1,
		.streams.streams_val = &row,
	};

	if (host && origin_is_known(version))
		rpc_send_origin_keep(xfer->proxyd->rpc, host->info.rpc, &keep);
}

/* Records a version at which the attempt's stream began. */
static void stream_record(struct xfer *xfer, uint32_t version)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct http_view id = { xfer->id, strlen(xfer->id) };
	const char *pool = xfer->pool->name;
	uint64_t key = key_of(xfer, id);

	xfer->fleet_request.version = version;
	if (xfer->px.kind != PX_RESUMABLE)
		return;
	origin_put(proxyd->origin, key, version, aggregate_key(pool),
		   proxyd_now(proxyd));
	/* This host may be lost before it knows the version. */
	xfer->unknown_told |= !origin_is_known(version);
	stream_pass_on(proxyd, pool, key, version, xfer->unknown_told ? 2 : 0);
	if (xfer->forwarder && xfer->px.response_started)
		forwarder_tell(xfer, key, version);
}

void resume_record(struct xfer *xfer, int64_t process)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct fleet_worker *worker = xfer->worker;
	uint32_t version = process_version(proxyd, worker, process);
	struct http_view id = { xfer->id, strlen(xfer->id) };
	clk_ms now = proxyd_now(proxyd);

	xfer->worker_start = process;
	if (!origin_is_known(version)) {
		slog(SLOG_INFO, "origin",
		     "id=%s stream=%016" G_GINT64_MODIFIER
		     "x worker=%s listed=%" G_GINT64_FORMAT
		     " process=%" G_GINT64_FORMAT " outcome=unlisted_process",
		     xfer->id, key_of(xfer, id), worker->entry.id,
		     worker->entry.started_at, process);
		fleet_on_process(proxyd->fleet, worker, process, now);
		fleet_on_other_serves(worker);
	}
	stream_record(xfer, version);
}

void resume_on_first_event(struct xfer *xfer)
{
	struct fleet_request *request = &xfer->fleet_request;
	struct http_view id = { xfer->id, strlen(xfer->id) };
	int64_t process;

	/* A stream that is taken up has a version already. */
	if (request->version)
		return;
	resume_update_listed(xfer);
	if (!fleet_says_process(xfer->worker, request)) {
		stream_record(xfer, fleet_version_of(xfer->worker, request));
		return;
	}
	process = hc_request_process(xfer->attempt);
	if (process) {
		resume_record(xfer, process);
		return;
	}
	slog(SLOG_INFO, "origin",
	     "id=%s stream=%016" G_GINT64_MODIFIER
	     "x worker=%s outcome=unknown_process",
	     xfer->id, key_of(xfer, id), xfer->worker->entry.id);
	/* The listed process counts as perhaps the one until the answer. */
	stream_record(xfer, fleet_process_mark(xfer->worker, xfer->worker_start,
					       false));
	process_watch(xfer->proxyd, xfer->worker, request, key_of(xfer, id));
}

/* Whether it is not known yet which process has begun the stream. */
static bool awaits_process(const struct xfer *xfer)
{
	return xfer->worker && xfer->px.response_started && !xfer->resumes &&
	       !origin_is_known(xfer->fleet_request.version) &&
	       xfer->worker_start == xfer->worker->entry.started_at &&
	       fleet_says_process(xfer->worker, &xfer->fleet_request);
}

/* Records the listed version of a worker that has not said which process it is,
 * if it has run for so long that another process would be listed. */
static bool record_by_list(struct xfer *xfer)
{
	const struct fleet_worker *worker = xfer->worker;

	if (!worker->unknown_at ||
	    !fleet_would_be_listed(worker, xfer->sent_at,
				   xfer->last_received_at,
				   xfer->proxyd->list_age.complete_at))
		return false;
	stream_record(xfer, worker->version);
	return true;
}

void resume_on_event(struct xfer *xfer)
{
	struct http_view id = { xfer->id, strlen(xfer->id) };
	int64_t process;

	if (!awaits_process(xfer))
		return;
	resume_update_listed(xfer);
	if (!awaits_process(xfer))
		return;
	process = hc_request_process(xfer->attempt);
	if (process) {
		resume_record(xfer, process);
		return;
	}
	process_watch(xfer->proxyd, xfer->worker, &xfer->fleet_request,
		      key_of(xfer, id));
}

void resume_on_report(struct proxyd *proxyd, const struct fleet_worker *worker,
		      const struct ident_answer *answer)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, proxyd->open_requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct xfer *xfer = key;

		if (xfer->worker == worker && awaits_process(xfer) &&
		    health_lists_run(answer->report, xfer->id))
			resume_record(xfer, answer->start);
	}
}

void resume_on_listed_process(struct proxyd *proxyd,
			      const struct fleet_worker *worker,
			      const GArray *streams)
{
	uint32_t mark =
		fleet_process_mark(worker, worker->entry.started_at, false);
	clk_ms now = proxyd_now(proxyd);

	for (guint i = 0; i < streams->len; i++) {
		uint64_t stream = g_array_index(streams, uint64_t, i);

		if (origin_find(proxyd->origin, stream, now) != mark)
			continue;
		origin_put(proxyd->origin, stream, worker->version, 0, now);
		/* Hosts that keep it know the mark. */
		stream_pass_on(proxyd, worker->entry.pool, stream,
			       worker->version, 2);
	}
}

/* Returns the version of the process that a mark is of, if that process is
 * listed, else what is known. */
static uint32_t mark_version(const struct proxyd *proxyd, const char *pool,
			     uint32_t known)
{
	const struct fleet_worker *worker;

	if (origin_knowledge(known) != ORIGIN_PROCESS)
		return known;
	worker = fleet_find_mark(proxyd->fleet, pool, known);
	return worker ? worker->version : known;
}

/* Finds out the version of a stream of which a mark is known, as far as that is
 * possible now; returns it, or what is known. */
static uint32_t mark_resolve(struct proxyd *proxyd,
			     const struct fleet_request *request,
			     uint64_t stream, uint32_t known)
{
	clk_ms now = proxyd_now(proxyd);
	struct fleet_worker *worker;
	uint32_t found = origin_find(proxyd->origin, stream, now);

	if (origin_knowledge(found) > origin_knowledge(known))
		known = found;
	if (known == 0 || origin_is_known(known))
		return known;
	origin_put(proxyd->origin, stream, known, 0, now);
	known = mark_version(proxyd, request->pool, known);
	if (origin_is_known(known))
		return known;
	worker = fleet_find_mark(proxyd->fleet, request->pool, known);
	/* It has begun there if the listed process still runs. */
	if (worker)
		process_watch(proxyd, worker, request, stream);
	return known;
}

/* Returns the key of the stream that a request began. */
static uint64_t stream_of(const struct xfer *xfer)
{
	struct http_view id = { xfer->id, strlen(xfer->id) };

	return key_of(xfer, id);
}

bool resume_may_await(const struct xfer *xfer)
{
	const struct proxyd *proxyd = xfer->proxyd;

	/* A process that is never listed goes on answering. */
	return (!xfer->awaits_until ||
		proxyd_now(proxyd) < xfer->awaits_until) &&
	       fleet_awaits_entry(proxyd->fleet, &xfer->fleet_request);
}

/* Sends those that a worker can have now, and ends those that wait in vain. */
static void awaiting_update(struct proxyd *proxyd)
{
	GPtrArray *waiting = proxyd->awaiting;

	for (guint i = waiting->len; i-- > 0;) {
		struct xfer *xfer = g_ptr_array_index(waiting, i);
		const struct fleet_request *request = &xfer->fleet_request;

		if (xfer->awaits_process) {
			if (!process_is_watched(proxyd, stream_of(xfer))) {
				await_cancel(xfer);
				forward_on_settled(xfer);
			}
		} else if (fleet_has_untried(proxyd->fleet, request) ||
			   !resume_may_await(xfer)) {
			await_cancel(xfer);
			xfer_send(xfer);
		}
		i = MIN(i, waiting->len);
	}
}

bool resume_await_entry(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;

	if (!resume_may_await(xfer) ||
	    fleet_has_untried(proxyd->fleet, &xfer->fleet_request))
		return false;
	if (!xfer->awaits_until)
		xfer->awaits_until = proxyd_now(proxyd) + ENTRY_WAIT_MS;
	slog(SLOG_INFO, "resume", "id=%s version=%08x outcome=awaits_entry",
	     xfer->id, xfer->fleet_request.version);
	xfer->awaits_entry = true;
	g_ptr_array_add(proxyd->awaiting, xfer);
	return true;
}

bool resume_await_process(struct xfer *xfer, const char *why)
{
	if (xfer->settles || !xfer->px.response_started ||
	    xfer->px.kind != PX_RESUMABLE)
		return false;
	/* Asks the worker that is marked. */
	resume_update_listed(xfer);
	if (origin_is_known(xfer->fleet_request.version) ||
	    !process_is_watched(xfer->proxyd, stream_of(xfer)))
		return false;
	xfer->settles = why;
	xfer->awaits_process = true;
	g_ptr_array_add(xfer->proxyd->awaiting, xfer);
	return true;
}

void resume_on_listed(struct proxyd *proxyd, const struct fleet_worker *worker)
{
	for (guint i = 0; i < proxyd->awaiting->len; i++) {
		struct xfer *xfer = g_ptr_array_index(proxyd->awaiting, i);

		fleet_request_forget(&xfer->fleet_request, worker->key);
	}
}

void resume_update_listed(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct fleet_request *request = &xfer->fleet_request;
	struct http_view id = { xfer->id, strlen(xfer->id) };

	request->listed_at =
		listed_at_of(proxyd, versions_of(proxyd, xfer->pool->name));
	if (!request->version || origin_is_known(request->version) ||
	    (awaits_process(xfer) && record_by_list(xfer)))
		return;
	/* The process that began the stream may be listed by now. */
	request->version = mark_resolve(proxyd, request, key_of(xfer, id),
					request->version);
}

/* Whether some pool has several versions, so that streams are written to the
 * store. */
static bool has_several_versions(const struct proxyd *proxyd)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, proxyd->fleet->pools);
	while (g_hash_table_iter_next(&iter, &pool, NULL))
		if (versions_of(proxyd, pool) > 1)
			return true;
	return false;
}

void resume_on_keep(void *ctx, const w_origin_keep *keep)
{
	struct proxyd *proxyd = ctx;
	bool writes = has_several_versions(proxyd);

	for (u_int i = 0; i < keep->streams.streams_len; i++) {
		const w_origin *row = &keep->streams.streams_val[i];

		origin_put(proxyd->origin, row->stream, row->software, 0,
			   proxyd_now(proxyd));
		if (writes)
			stream_log(proxyd, row->stream, row->software);
	}
}

/* Returns how many versions a host of an older build is told of, one that takes
 * no forwarded requests. It does not read the record of versions, and would
 * take the only version that is listed for that of a stream, although all hosts
 * have started since. */
static unsigned versions_for_older(struct proxyd *proxyd, const char *pool,
				   unsigned versions)
{
	if (is_settled(proxyd) || recorded_versions(proxyd, pool) == 1)
		return versions;
	return MAX(versions, 2);
}

/* Whether it is known that a stream has begun, and the worker is asked which
 * process has. */
static bool awaits_answer(uint32_t version)
{
	enum origin_knowledge known = origin_knowledge(version);

	return known == ORIGIN_BEGUN || known == ORIGIN_PERHAPS;
}

void resume_on_ask(void *ctx, const w_origin_ask *ask)
{
	struct proxyd *proxyd = ctx;
	const struct member *from = member_find(proxyd->members, ask->process);
	uint32_t serving[VERSION_MAX];
	w_origin_answer answer = {
		.process = proxyd->members->self.incarnation,
		.stream.stream = ask->stream,
		.stream.software = origin_find(proxyd->origin, ask->stream,
					       proxyd_now(proxyd)),
		.versions = versions_of(proxyd, ask->pool),
		.settled = is_settled(proxyd),
	};

	if (!from)
		return;
	if (!peer_writes_streams(from->info.incarnation))
		answer.versions =
			versions_for_older(proxyd, ask->pool, answer.versions);
	if (!peer_reads_marks(from->info.incarnation))
		answer.stream.software =
			mark_version(proxyd, ask->pool, answer.stream.software);
	if (!reads_origin(from, answer.stream.software)) {
		/* It takes an answer without a version for the final one; left
		 * without one, it asks again. Where it may see a sole version,
		 * it must hear at once that there are more. */
		if (awaits_answer(answer.stream.software) &&
		    fleet_serving_versions(proxyd->fleet, ask->pool, serving,
					   VERSION_MAX) > 1)
			return;
		answer.stream.software = 0;
		answer.versions = MAX(answer.versions, 2);
	}
	rpc_send_origin_answer(proxyd->rpc, from->info.rpc, &answer);
}

/* Sends the question to the hosts that may keep the stream. */
static void question_send(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	const struct member *top[MEMBER_TOP_MAX];
	w_origin_ask ask = {
		.process = proxyd->members->self.incarnation,
		.pool = xfer->pool->name,
		.stream = xfer->question.key,
	};

	xfer->question.asked =
		(unsigned)member_top(proxyd->members, xfer->question.key,
				     peer_keeps_origins, top, ORIGIN_ASKED);
	for (unsigned i = 0; i < xfer->question.asked; i++)
		rpc_send_origin_ask(proxyd->rpc, top[i]->info.rpc, &ask);
}

/* Goes on with a stream, or rejects it, once its version is known or nobody can
 * tell. Returns whether that is decided. */
static bool question_judge(struct xfer *xfer)
{
	static const char *const names[] = {
		[ORIGIN_KNOWN] = "known",
		[ORIGIN_SOLE] = "sole_version",
		[ORIGIN_UNKNOWN] = "unknown",
	};
	struct proxyd *proxyd = xfer->proxyd;
	clk_ms now = proxyd_now(proxyd);
	clk_ms listed_at = proxyd->list_age.complete_at;
	struct origin_view view = {
		.listed = listed_at && now - listed_at <= LISTED_MS,
		.settled = is_settled(proxyd),
	};
	enum origin_verdict verdict;
	uint32_t version;

	if (xfer->question.version)
		xfer->question.version = mark_resolve(
			proxyd, &xfer->fleet_request, xfer->question.key,
			xfer->question.version);
	view.versions = fleet_versions(proxyd->fleet, xfer->pool->name, now,
				       &view.sole);
	view.recorded = recorded_versions(proxyd, xfer->pool->name);
	verdict = origin_judge(&xfer->question, &view, now, &version);
	if (verdict == ORIGIN_WAIT)
		return false;
	slog(SLOG_INFO, "resume",
	     "id=%s stream=%016" G_GINT64_MODIFIER
	     "x version=%08x asked=%u answers=%u settled=%u versions=%u "
	     "others=%u recorded=%u listed=%d took_ms=%" G_GINT64_FORMAT
	     " outcome=%s",
	     xfer->id, xfer->question.key, version, xfer->question.asked,
	     xfer->question.answers, xfer->question.settled, view.versions,
	     xfer->question.versions, view.recorded, view.listed,
	     now - xfer->question.asked_at, names[verdict]);
	proxyd_count(proxyd, verdict == ORIGIN_UNKNOWN ? CTR_resumes_unknown
						       : CTR_resumes);
	g_ptr_array_remove_fast(proxyd->questions, xfer);
	xfer->asking = false;
	xfer->fleet_request.version = version;
	if (verdict == ORIGIN_UNKNOWN)
		xfer_perform(xfer, PX_REFUSE, "stream_unknown");
	else
		xfer_send(xfer);
	return true;
}

void resume_start_stream(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct http_view attempt = xfer->request.resumes;
	clk_ms now = proxyd_now(proxyd);

	xfer->resumes = true;
	xfer->question = (struct origin_question){
		.key = key_of(xfer, attempt),
		.asked_at = now,
		.keepers = origin_keepers(2, proxyd_host_count(proxyd)),
	};
	if (attempt.len > 0)
		xfer->question.version =
			origin_find(proxyd->origin, xfer->question.key, now);
	xfer->asking = true;
	g_ptr_array_add(proxyd->questions, xfer);
	if (!origin_is_known(xfer->question.version))
		question_send(xfer);
	question_judge(xfer);
}

void resume_cancel(struct xfer *xfer)
{
	if (xfer->asking)
		g_ptr_array_remove_fast(xfer->proxyd->questions, xfer);
	xfer->asking = false;
	await_cancel(xfer);
}

void resume_on_answer(void *ctx, const w_origin_answer *answer)
{
	struct proxyd *proxyd = ctx;
	struct origin_answer host = {
		.host = aggregate_key(answer->process),
		.version = answer->stream.software,
		.versions = answer->versions,
		.settled = answer->settled,
	};

	for (guint i = proxyd->questions->len; i-- > 0;) {
		struct xfer *xfer = g_ptr_array_index(proxyd->questions, i);

		if (xfer->question.key != answer->stream.stream)
			continue;
		origin_on_answer(&xfer->question, &host);
		question_judge(xfer);
		i = MIN(i, proxyd->questions->len);
	}
}

void resume_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	/* A restored store may lack what was written: all is passed on again,
	 * as to new writers. */
	uint32_t writers = writers_key(proxyd) ^ kv_restores(proxyd->kv);
	GHashTableIter iter;
	gpointer pool;
	unsigned turn;

	g_hash_table_iter_init(&iter, proxyd->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		pool_update(proxyd, pool, writers != proxyd->writers_key);
	proxyd->writers_key = writers;
	records_tick(proxyd);
	awaiting_update(proxyd);
	writes_streams(proxyd, &turn);
	streamlog_tick(proxyd->streamlog, now, turn, proxyd_host_count(proxyd));
	for (guint i = proxyd->questions->len; i-- > 0;) {
		struct xfer *xfer = g_ptr_array_index(proxyd->questions, i);

		if (!question_judge(xfer) &&
		    now - xfer->question.asked_at >= ASK_AGAIN_MS)
			question_send(xfer);
		i = MIN(i, proxyd->questions->len);
	}
}

static clk_ms op_wall(void *ctx)
{
	return proxyd_wall(ctx);
}

void resume_start(struct proxyd *proxyd)
{
	char *prefix = g_strconcat(STREAMS_PREFIX,
				   proxyd->members->self.incarnation, NULL);
	struct streamlog_options options = {
		.loop = &proxyd->loop,
		.kv = proxyd->kv,
		.prefix = prefix,
		.wall = op_wall,
		.ctx = proxyd,
	};

	proxyd->streamlog = streamlog_create(&options);
	g_free(prefix);
	proxyd->origin = origin_create();
	proxyd->questions = g_ptr_array_new();
	proxyd->awaiting = g_ptr_array_new();
}
