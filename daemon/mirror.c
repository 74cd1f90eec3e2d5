/* Local copies of the platform's store. */
#include "mirror.h"

#include <string.h>

#include "../decide/check.h"
#include "../wire/slog.h"

/* A watch also detects a store that does not respond: together with the time
 * that a response may take, it is shorter than the time after which hosts must
 * be up to date again. */
#define WATCH_WAIT_MS 1100
/* A host whose last response is older does not know what is new: a watch takes
 * WATCH_WAIT_MS, and gaps and the response itself some more. */
#define READ_FRESH_MS 1900
#define WATCH_TIMEOUT_MS 600 /* until its response begins, after the wait */
/* Until the response to a watch that is to confirm a stale snapshot begins:
 * doubled after each failure, as the store may only be slow. */
#define CONFIRM_TIMEOUT_MAX_MS 1500
#define WATCH_PROBE_MS 100 /* of a watch while the store is lost */
#define WATCH_NOW_MS 1	   /* of one that only asks what is new */
/* From a watch that returned changes to the next one: changes often come in
 * series, and each call has a price. */
#define WATCH_GAP_MS 150
/* For so long after a start every host may take itself for a follower, and
 * watches with longer gaps. */
#define SETTLE_MS 1500
#define SETTLE_GAP_MS 400
#define CONFIRM_WAIT_MS 200 /* for another host to confirm a stale snapshot */
/* After so many failed calls and so long, items that nobody has confirmed are
 * used: an old configuration is better than none in an outage. */
#define UNCONFIRMED_CALLS 3
#define UNCONFIRMED_MS 4000
#define RETRY_MS 300 /* after a failed call; then doubled, up to */
#define RETRY_MAX_MS 1200
#define EVERYTHING "" /* prefix of all keys: one call serves all replicas */
/* While the response to a call for all keys has been arriving for longer than
 * this, the urgent keys are watched by a call of their own. */
#define URGENT_AFTER_MS 50

struct mirror_part {
	struct mirror *mirror;
	const char *prefix;
	struct store *replica;
	GHashTable *snapshot_keys; /* of the snapshot being read, or NULL */
};

struct mirror {
	uv_loop_t *loop;
	struct kv *kv;
	const struct mirror_ops *ops;
	void *ctx;
	struct mirror_part parts[MIRROR_PREFIXES_MAX];
	size_t count;
	int64_t snapshot_revision; /* of the first page of the one being read */
	unsigned snapshot_restores; /* of the store, at that page */
	bool reading;  /* a call is pending, or its response being applied */
	bool applying; /* a response is being applied */
	bool has_snapshot;
	bool current;
	bool linearizable; /* the next snapshot must not be a stale read */
	clk_ms created_at;
	clk_ms snapshot_at; /* when the snapshot was complete */
	clk_ms confirm_at;  /* when the store is asked to confirm a snapshot */
	struct kv_call *watch; /* the pending one, or NULL */
	struct kv_call *range; /* the pending page of a snapshot, or NULL */
	clk_ms next_call_at;
	/* Calls for the urgent replica alone, beside a slow response. */
	struct mirror_part *urgent;
	struct kv_call *urgent_watch; /* the pending one, or NULL */
	clk_ms next_urgent_at;
	GHashTable *urgent_keys; /* of its snapshot that is read, or NULL */
	int64_t urgent_revision; /* of that snapshot's first page */
	bool urgent_done;	 /* read again since the history was lost */
	unsigned failures;	 /* consecutive */
	clk_ms read_at;		 /* when the last response was complete */
	clk_ms lost_at;
	clk_ms regained_at;
	unsigned restores; /* of the store, that are known */
	clk_ms restored_at;
};

static void mirror_next(struct mirror *mirror);

static clk_ms mirror_now(const struct mirror *mirror)
{
	return (clk_ms)uv_now(mirror->loop);
}

static void on_item_changed(void *ctx, const struct store_item *item)
{
	struct mirror_part *part = ctx;
	struct mirror *mirror = part->mirror;

	mirror->ops->changed(mirror->ctx, (size_t)(part - mirror->parts), item);
}

struct mirror *mirror_create(uv_loop_t *loop, struct kv *kv,
			     const char *const *prefixes, size_t count,
			     size_t urgent, const struct mirror_ops *ops,
			     void *ctx)
{
	struct mirror *mirror = g_new0(struct mirror, 1);

	dec_assert(count <= MIRROR_PREFIXES_MAX, "a mirror has few prefixes");
	dec_assert(urgent < count, "the urgent prefix is one of them");
	mirror->loop = loop;
	mirror->created_at = mirror_now(mirror);
	mirror->kv = kv;
	mirror->ops = ops;
	mirror->ctx = ctx;
	mirror->count = count;
	for (size_t i = 0; i < count; i++)
		mirror->parts[i] = (struct mirror_part){
			.mirror = mirror,
			.prefix = prefixes[i],
			.replica = store_create(on_item_changed,
						&mirror->parts[i]),
		};
	mirror->urgent = &mirror->parts[urgent];
	return mirror;
}

struct store *mirror_replica(const struct mirror *mirror, size_t prefix)
{
	return mirror->parts[prefix].replica;
}

bool mirror_has_snapshot(const struct mirror *mirror)
{
	return mirror->has_snapshot;
}

bool mirror_is_current(const struct mirror *mirror)
{
	return mirror->current;
}

void mirror_confirm(struct mirror *mirror)
{
	mirror->current = true;
}

bool mirror_is_applying(const struct mirror *mirror)
{
	return mirror->applying;
}

bool mirror_reads_store(const struct mirror *mirror)
{
	return mirror->current && !mirror->lost_at &&
	       mirror_now(mirror) - mirror->read_at <= READ_FRESH_MS &&
	       mirror->ops->follows(mirror->ctx);
}

bool mirror_followed(const struct mirror *mirror)
{
	clk_ms until = mirror->lost_at ? mirror->lost_at : mirror_now(mirror);

	return mirror->current && mirror->has_snapshot &&
	       until - mirror->read_at <= READ_FRESH_MS &&
	       mirror->ops->follows(mirror->ctx);
}

clk_ms mirror_lost_at(const struct mirror *mirror)
{
	return mirror->lost_at;
}

clk_ms mirror_regained_at(const struct mirror *mirror)
{
	return mirror->regained_at;
}

clk_ms mirror_restored_at(const struct mirror *mirror)
{
	return mirror->restored_at;
}

/* Restarts the pending watch: it may have been lost while the store was
 * unreachable. */
static void watch_restart(struct mirror *mirror)
{
	if (!mirror->watch)
		return;
	kv_cancel(mirror->watch);
	mirror->watch = NULL;
	mirror_next(mirror);
}

/* Records whether the store responds, and logs a change. */
static void set_reachable(struct mirror *mirror, bool reachable)
{
	clk_ms now = mirror_now(mirror);

	if (reachable && mirror->lost_at) {
		slog(SLOG_NOTICE, "store",
		     "outcome=regained lost_ms=%" G_GINT64_FORMAT,
		     now - mirror->lost_at);
		mirror->lost_at = 0;
		mirror->regained_at = now;
		watch_restart(mirror);
	} else if (!reachable && !mirror->lost_at) {
		slog(SLOG_WARN, "store", "outcome=lost");
		mirror->lost_at = now;
	}
}

/* Whether there are items, from the store or from other hosts. */
static bool has_items(const struct mirror *mirror)
{
	for (size_t i = 0; i < mirror->count; i++)
		if (mirror->parts[i].replica->revision > 0)
			return true;
	return false;
}

/* Records that the store was restored from a backup. Keys that are missing in
 * the backup may be written again. */
static void note_restore(struct mirror *mirror)
{
	if (kv_restores(mirror->kv) == mirror->restores)
		return;
	mirror->restores = kv_restores(mirror->kv);
	mirror->regained_at = mirror_now(mirror);
	mirror->restored_at = mirror->regained_at;
}

/* Uses items that could not be confirmed. */
static void unconfirmed_use(struct mirror *mirror)
{
	clk_ms since =
		mirror->has_snapshot ? mirror->snapshot_at : mirror->created_at;
	clk_ms age = mirror_now(mirror) - since;

	if (mirror->current || !has_items(mirror) ||
	    mirror->failures < UNCONFIRMED_CALLS || age < UNCONFIRMED_MS)
		return;
	slog(SLOG_WARN, "follow",
	     "snapshot=%d age_ms=%" G_GINT64_FORMAT
	     " failures=%u outcome=unconfirmed",
	     mirror->has_snapshot, age, mirror->failures);
	mirror->current = true;
}

/* A call has failed: schedules the next one, with backoff and jitter. */
static void call_failed(struct mirror *mirror, enum kv_outcome outcome)
{
	clk_ms wait =
		MIN((clk_ms)RETRY_MS << MIN(mirror->failures, 4), RETRY_MAX_MS);

	note_restore(mirror);
	mirror->failures++;
	mirror->linearizable = true;
	mirror->next_call_at =
		mirror_now(mirror) + wait / 2 +
		mirror->ops->random(mirror->ctx, (uint32_t)wait / 2);
	/* Too many changes for one response: a snapshot has only the last ones.
	 */
	if (outcome == KV_COMPACTED ||
	    (outcome == KV_TOO_LARGE && mirror->has_snapshot)) {
		slog(SLOG_NOTICE, "follow", "outcome=%s",
		     outcome == KV_COMPACTED ? "history_gone"
					     : "history_too_large");
		mirror->has_snapshot = false;
		mirror->urgent_done = false;
		mirror->next_call_at = mirror_now(mirror);
		return;
	}
	set_reachable(mirror, false);
	unconfirmed_use(mirror);
}

static void call_succeeded(struct mirror *mirror)
{
	note_restore(mirror);
	set_reachable(mirror, true);
	mirror->failures = 0;
	mirror->read_at = mirror_now(mirror);
}

static struct mirror_part *part_of(struct mirror *mirror, const char *key)
{
	for (size_t i = 0; i < mirror->count; i++)
		if (g_str_has_prefix(key, mirror->parts[i].prefix))
			return &mirror->parts[i];
	return NULL;
}

static void items_put(struct mirror *mirror, const struct kv_page *page)
{
	for (size_t i = 0; i < page->count; i++) {
		const struct kv_item *item = &page->items[i];
		struct mirror_part *part = part_of(mirror, item->key);

		if (!part)
			continue;
		store_put(part->replica, item->key, item->value,
			  item->revision);
		if (part->snapshot_keys)
			g_hash_table_add(part->snapshot_keys,
					 g_strdup(item->key));
	}
}

static void snapshot_begin(struct mirror *mirror)
{
	mirror->snapshot_revision = 0;
	for (size_t i = 0; i < mirror->count; i++) {
		struct mirror_part *part = &mirror->parts[i];

		if (part->snapshot_keys)
			g_hash_table_destroy(part->snapshot_keys);
		part->snapshot_keys = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	}
}

/* All pages were read: applies the deletions. Changes made meanwhile arrive
 * with the next watch. */
static void snapshot_end(struct mirror *mirror)
{
	for (size_t i = 0; i < mirror->count; i++) {
		struct mirror_part *part = &mirror->parts[i];

		store_snapshot(part->replica, part->snapshot_keys,
			       mirror->snapshot_revision);
		g_hash_table_destroy(part->snapshot_keys);
		part->snapshot_keys = NULL;
	}
	mirror->has_snapshot = true;
	mirror->current |= mirror->linearizable;
	mirror->snapshot_at = mirror_now(mirror);
	mirror->confirm_at = mirror->snapshot_at + CONFIRM_WAIT_MS;
	slog(SLOG_NOTICE, "follow",
	     "revision=%" G_GINT64_FORMAT " stale_read=%d outcome=snapshot",
	     mirror->snapshot_revision, !mirror->linearizable);
	mirror->ops->snapshot(mirror->ctx);
}

/* Stores a page of the urgent replica's snapshot; then requests the next page,
 * or the snapshot of everything. */
static void on_urgent_range(void *ctx, enum kv_outcome outcome,
			    const struct kv_page *page)
{
	struct mirror *mirror = ctx;

	mirror->reading = false;
	if (outcome != KV_OK) {
		call_failed(mirror, outcome);
		return;
	}
	call_succeeded(mirror);
	if (mirror->urgent_revision == 0)
		mirror->urgent_revision = page->revision;
	mirror->applying = true;
	items_put(mirror, page);
	for (size_t i = 0; i < page->count; i++)
		g_hash_table_add(mirror->urgent_keys,
				 g_strdup(page->items[i].key));
	mirror->urgent_done = !page->more || page->count == 0;
	if (mirror->urgent_done)
		store_snapshot(mirror->urgent->replica, mirror->urgent_keys,
			       mirror->urgent_revision);
	mirror->applying = false;
	if (mirror->urgent_done) {
		mirror->ops->applied(mirror->ctx);
		mirror_next(mirror);
		return;
	}
	mirror->reading = true;
	kv_range(mirror->kv, mirror->urgent->prefix,
		 page->items[page->count - 1].key, false, on_urgent_range,
		 mirror);
}

/* Reads the urgent replica's items first, when this host, which is in use,
 * reads all items again. */
static void urgent_range_begin(struct mirror *mirror)
{
	if (mirror->urgent_keys)
		g_hash_table_destroy(mirror->urgent_keys);
	mirror->urgent_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	mirror->urgent_revision = 0;
	kv_range(mirror->kv, mirror->urgent->prefix, "", false, on_urgent_range,
		 mirror);
}

/* Stores a page of a snapshot; then requests the next page or a watch. */
static void on_range(void *ctx, enum kv_outcome outcome,
		     const struct kv_page *page)
{
	struct mirror *mirror = ctx;

	mirror->range = NULL;
	mirror->reading = false;
	if (outcome != KV_OK) {
		call_failed(mirror, outcome);
		return;
	}
	call_succeeded(mirror);
	if (mirror->snapshot_revision == 0) {
		mirror->snapshot_revision = page->revision;
		mirror->snapshot_restores = mirror->restores;
	}
	if (mirror->snapshot_restores != mirror->restores) {
		/* The pages before are of an earlier era. */
		mirror_next(mirror);
		return;
	}
	mirror->applying = true;
	items_put(mirror, page);
	if (page->more && page->count > 0) {
		mirror->applying = false;
		mirror->reading = true;
		mirror->range =
			kv_range(mirror->kv, EVERYTHING,
				 page->items[page->count - 1].key,
				 !mirror->linearizable, on_range, mirror);
		return;
	}
	snapshot_end(mirror);
	mirror->applying = false;
	mirror->ops->applied(mirror->ctx);
	if (mirror->current && mirror->ops->follows(mirror->ctx))
		mirror_next(mirror);
}

static void on_watch(void *ctx, enum kv_outcome outcome,
		     const struct kv_page *page)
{
	struct mirror *mirror = ctx;
	clk_ms now = mirror_now(mirror);

	mirror->watch = NULL;
	mirror->reading = false;
	if (outcome != KV_OK) {
		call_failed(mirror, outcome);
		return;
	}
	call_succeeded(mirror);
	mirror->applying = true;
	items_put(mirror, page);
	mirror->applying = false;
	for (size_t i = 0; i < mirror->count && page->revision > 0; i++)
		store_complete(mirror->parts[i].replica, page->revision);
	mirror->current = true;
	mirror->ops->applied(mirror->ctx);
	if (page->count > 0)
		mirror->next_call_at =
			now + (now - mirror->created_at < SETTLE_MS
				       ? SETTLE_GAP_MS
				       : WATCH_GAP_MS);
	else if (mirror->ops->follows(mirror->ctx))
		mirror_next(mirror);
}

/* Returns the revision up to which all replicas are complete. */
static int64_t revision_min(const struct mirror *mirror)
{
	int64_t revision = mirror->parts[0].replica->revision;

	for (size_t i = 1; i < mirror->count; i++)
		revision = MIN(revision, mirror->parts[i].replica->revision);
	return revision;
}

static clk_ms watch_timeout(const struct mirror *mirror)
{
	if (mirror->current)
		return WATCH_TIMEOUT_MS;
	return MIN((clk_ms)WATCH_TIMEOUT_MS << MIN(mirror->failures, 4),
		   CONFIRM_TIMEOUT_MAX_MS);
}

/* Makes the next call: a watch, or the first page of a snapshot. */
static void mirror_next(struct mirror *mirror)
{
	mirror->reading = true;
	if (mirror->has_snapshot) {
		clk_ms wait = !mirror->current	? WATCH_NOW_MS
			      : mirror->lost_at ? WATCH_PROBE_MS
						: WATCH_WAIT_MS;

		mirror->watch =
			kv_watch(mirror->kv, EVERYTHING, revision_min(mirror),
				 wait, watch_timeout(mirror), on_watch, mirror);
		return;
	}
	if (mirror->current && !mirror->urgent_done) {
		urgent_range_begin(mirror);
		return;
	}
	snapshot_begin(mirror);
	mirror->range = kv_range(mirror->kv, EVERYTHING, "",
				 !mirror->linearizable, on_range, mirror);
}

static void on_urgent_watch(void *ctx, enum kv_outcome outcome,
			    const struct kv_page *page)
{
	struct mirror *mirror = ctx;
	clk_ms now = mirror_now(mirror);

	mirror->urgent_watch = NULL;
	mirror->next_urgent_at = now + WATCH_GAP_MS;
	/* The slow response still says whether the store responds. */
	if (outcome != KV_OK) {
		mirror->next_urgent_at = now + RETRY_MS;
		return;
	}
	mirror->applying = true;
	items_put(mirror, page);
	mirror->applying = false;
	if (page->revision > 0)
		store_complete(mirror->urgent->replica, page->revision);
	mirror->ops->applied(mirror->ctx);
}

/* Watches the urgent replica while the response to a call for everything
 * arrives slowly. */
static void urgent_tick(struct mirror *mirror)
{
	const struct kv_call *call =
		mirror->watch ? mirror->watch : mirror->range;

	if (mirror->urgent_watch || !mirror->current || !call ||
	    mirror_now(mirror) < mirror->next_urgent_at ||
	    !kv_is_arriving(call, URGENT_AFTER_MS))
		return;
	mirror->urgent_watch =
		kv_watch(mirror->kv, mirror->urgent->prefix,
			 mirror->urgent->replica->revision, WATCH_WAIT_MS,
			 WATCH_TIMEOUT_MS, on_urgent_watch, mirror);
}

void mirror_tick(struct mirror *mirror)
{
	clk_ms now = mirror_now(mirror);
	bool due = !mirror->has_snapshot ||
		   (mirror->current ? mirror->ops->follows(mirror->ctx)
				    : now >= mirror->confirm_at);

	if (due && !mirror->reading && now >= mirror->next_call_at)
		mirror_next(mirror);
	urgent_tick(mirror);
}
