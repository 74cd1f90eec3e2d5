/* Prompt parts on which workers crash. */
#include "poison.h"

#include <stdlib.h>

/* How long after a crash the parts of its request may turn out to be harmless,
 * before other hosts are told of it. */
#define PROOF_WAIT_MS 250
#define SAME_CRASH_MS 500   /* crashes within this time count once */
#define MASS_WORKERS 3	    /* lost at once: no prompt is the cause */
#define BLOCK_CRASHES 4	    /* that count, before a part is blocked */
#define BLOCK_CRASHES_RAN 8 /* the same for one that has run before */
#define TELL_RUN_CRASHES 2  /* against a part, before a run of it matters */
/* Requests without the part that must have run meanwhile: otherwise the workers
 * are in trouble whatever they are sent. */
#define CONTRAST_RUNS 3
#define EVIDENCE_MS 60000 /* how long crashes count */
#define BLOCKED_MS 600000 /* the same for a blocked part */
#define TRY_MS 30000	  /* until a blocked part is tried; then doubled */
#define SKEW_MAX_MS 30000 /* by which hosts' clocks may differ */
#define PARTS_MAX 1024	  /* with evidence; of more none is recorded */
#define CRASHES_MAX 128	  /* recorded for one part */
#define RAN_MAX 16384	  /* parts that have run; then forgotten */

/* One crash as evidence against a part. */
struct poison_crash {
	uint32_t crash; /* the same for all parts of a prompt */
	clk_ms at;
};

struct poison_part {
	uint64_t id;
	GArray *crashes;      /* of struct poison_crash, by time */
	unsigned count;	      /* of them, those at about the same time once */
	bool ran;	      /* a request with it has run, on some host */
	uint64_t runs_before; /* requests that had run at the first crash */
	clk_ms harmless_at;   /* last run; crashes before do not count */
	clk_ms updated_at;
	bool blocked;
	clk_ms try_at; /* of a blocked part */
	clk_ms try_wait;
};

/* A crash of an own request that other hosts are not told of yet. */
struct unproved_crash {
	uint64_t parts[FLEET_PARTS_MAX];
	size_t count;
	uint32_t worker;
	const void *request;
	uint32_t crash;
	clk_ms at;
	bool mass; /* several workers were lost at about that time */
};

static void part_free(void *ptr)
{
	struct poison_part *part = ptr;

	g_array_free(part->crashes, TRUE);
	g_free(part);
}

struct poison *poison_create(const struct poison_ops *ops, void *ctx)
{
	struct poison *poison = g_new0(struct poison, 1);

	poison->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      part_free);
	poison->ran = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	poison->unproved = g_ptr_array_new_with_free_func(g_free);
	poison->ops = ops;
	poison->ctx = ctx;
	return poison;
}

void poison_free(struct poison *poison)
{
	g_hash_table_destroy(poison->parts);
	g_hash_table_destroy(poison->ran);
	g_ptr_array_free(poison->unproved, TRUE);
	g_free(poison);
}

static struct poison_part *part_find(const struct poison *poison, uint64_t id)
{
	return g_hash_table_lookup(poison->parts, &id);
}

/* Returns the entry of a part, a new one if there is none; NULL if there are
 * too many. */
static struct poison_part *part_get(struct poison *poison, uint64_t id)
{
	struct poison_part *part = part_find(poison, id);

	if (part || g_hash_table_size(poison->parts) >= PARTS_MAX)
		return part;
	part = g_new0(struct poison_part, 1);
	part->id = id;
	part->crashes = g_array_new(FALSE, FALSE, sizeof(struct poison_crash));
	g_hash_table_insert(poison->parts, &part->id, part);
	return part;
}

static struct poison_crash *crash_at(const struct poison_part *part, guint idx)
{
	return &g_array_index(part->crashes, struct poison_crash, idx);
}

static bool has_crash(const struct poison_part *part, uint32_t crash)
{
	for (guint i = 0; i < part->crashes->len; i++)
		if (crash_at(part, i)->crash == crash)
			return true;
	return false;
}

static gint crash_cmp(gconstpointer a, gconstpointer b)
{
	clk_ms x = ((const struct poison_crash *)a)->at;
	clk_ms y = ((const struct poison_crash *)b)->at;

	return x < y ? -1 : x > y;
}

static void crashes_count(struct poison_part *part)
{
	clk_ms last = 0;

	part->count = 0;
	g_array_sort(part->crashes, crash_cmp);
	for (guint i = 0; i < part->crashes->len; i++) {
		clk_ms at = crash_at(part, i)->at;

		if (part->count > 0 && at - last < SAME_CRASH_MS)
			continue;
		part->count++;
		last = at;
	}
}

static void crash_drop(struct poison *poison, struct poison_part *part,
		       guint idx)
{
	uint32_t crash = crash_at(part, idx)->crash;

	g_array_remove_index(part->crashes, idx);
	poison->ops->dropped(poison->ctx, part->id, crash);
}

/* Drops a crash that does not count, as others were at about the same time.
 * Returns false if there is none. */
static bool crashes_thin(struct poison *poison, struct poison_part *part)
{
	clk_ms last;

	crashes_count(part);
	last = crash_at(part, 0)->at;
	for (guint i = 1; i < part->crashes->len; i++) {
		clk_ms at = crash_at(part, i)->at;

		if (at - last < SAME_CRASH_MS) {
			crash_drop(poison, part, i);
			return true;
		}
		last = at;
	}
	return false;
}

bool poison_add_crash(struct poison *poison, uint64_t id, uint32_t crash,
		      clk_ms at, clk_ms now)
{
	struct poison_crash row = { .crash = crash, .at = at };
	struct poison_part *part;

	if (now - at > BLOCKED_MS || at - now > SKEW_MAX_MS)
		return false;
	part = part_get(poison, id);
	if (!part || at <= part->harmless_at)
		return false;
	if (has_crash(part, crash))
		return true;
	if (part->crashes->len >= CRASHES_MAX && !crashes_thin(poison, part))
		return false;
	if (part->crashes->len == 0)
		part->runs_before = poison->runs;
	part->updated_at = MAX(part->updated_at, at);
	g_array_append_val(part->crashes, row);
	return true;
}

void poison_on_crash(struct poison *poison, const struct poison_loss *loss,
		     clk_ms now)
{
	struct unproved_crash *row = g_new0(struct unproved_crash, 1);

	row->worker = loss->worker;
	row->request = loss->request;
	row->crash = loss->crash;
	row->at = now;
	for (size_t i = 0; i < MIN(loss->count, FLEET_PARTS_MAX); i++)
		row->parts[row->count++] = loss->parts[i].id;
	g_ptr_array_add(poison->unproved, row);
}

/* Records that a request with a part has run, on whatever host. */
static void ran_add(struct poison *poison, uint64_t id)
{
	if (g_hash_table_size(poison->ran) >= RAN_MAX)
		g_hash_table_remove_all(poison->ran);
	if (!g_hash_table_contains(poison->ran, &id))
		g_hash_table_add(poison->ran, g_memdup2(&id, sizeof(id)));
}

bool poison_add_run(struct poison *poison, uint64_t id, clk_ms at, clk_ms now)
{
	struct poison_part *part = part_find(poison, id);

	if (at - now > SKEW_MAX_MS)
		return false;
	ran_add(poison, id);
	if (!part)
		return false;
	part->harmless_at = MAX(part->harmless_at, at);
	part->updated_at = MAX(part->updated_at, at);
	for (guint i = part->crashes->len; i-- > 0;)
		if (crash_at(part, i)->at <= at)
			crash_drop(poison, part, i);
	return true;
}

static void unproved_remove(struct unproved_crash *row, uint64_t id)
{
	for (size_t i = row->count; i-- > 0;)
		if (row->parts[i] == id)
			row->parts[i] = row->parts[--row->count];
}

void poison_on_run(struct poison *poison, const struct fleet_part *parts,
		   size_t count, clk_ms now)
{
	poison->runs++;
	for (size_t i = 0; i < count; i++) {
		uint64_t id = parts[i].id;
		const struct poison_part *part = part_find(poison, id);
		bool matters = part && part->count >= TELL_RUN_CRASHES;
		bool blocked = part && part->blocked;

		ran_add(poison, id);
		for (guint j = 0; j < poison->unproved->len; j++)
			unproved_remove(g_ptr_array_index(poison->unproved, j),
					id);
		poison_add_run(poison, id, now, now);
		if (matters)
			poison->ops->harmless(poison->ctx, id, now, blocked);
	}
}

bool poison_blocks(const struct poison *poison, const struct fleet_part *parts,
		   size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const struct poison_part *part = part_find(poison, parts[i].id);

		if (part && part->blocked)
			return true;
	}
	return false;
}

bool poison_admits(struct poison *poison, const struct fleet_part *parts,
		   size_t count, clk_ms now)
{
	struct poison_part *tried = NULL;

	for (size_t i = 0; i < count; i++) {
		struct poison_part *part = part_find(poison, parts[i].id);

		if (!part || !part->blocked)
			continue;
		if (tried || now < part->try_at ||
		    !poison->ops->tries(poison->ctx, part->id))
			return false;
		tried = part;
	}
	if (tried) {
		tried->try_wait *= 2;
		tried->try_at = now + tried->try_wait;
	}
	return true;
}

/* Whether there is enough evidence to block a part. */
static bool is_cause(const struct poison *poison,
		     const struct poison_part *part)
{
	return part->count >= (part->ran ? BLOCK_CRASHES_RAN : BLOCK_CRASHES) &&
	       (part->blocked ||
		poison->runs - part->runs_before >= CONTRAST_RUNS);
}

/* Whether there is more evidence against a part than against another: one that
 * never ran comes first. */
static bool is_stronger(const struct poison_part *part,
			const struct poison_part *other)
{
	return part->ran != other->ran ? other->ran
				       : part->count > other->count;
}

static gint part_cmp(gconstpointer a, gconstpointer b)
{
	const struct poison_part *x = *(const struct poison_part *const *)a;
	const struct poison_part *y = *(const struct poison_part *const *)b;

	return is_stronger(x, y) ? -1 : is_stronger(y, x);
}

/* A cause explains the crashes of its requests, also for their other parts,
 * unless there is as much evidence against these. */
static void crashes_explain(struct poison *poison,
			    const struct poison_part *cause,
			    struct poison_part *other)
{
	if (!is_stronger(cause, other))
		return;
	for (guint i = other->crashes->len; i-- > 0;)
		if (has_crash(cause, crash_at(other, i)->crash))
			crash_drop(poison, other, i);
	crashes_count(other);
}

static void set_blocked(struct poison *poison, struct poison_part *part,
			bool blocked, clk_ms now)
{
	if (part->blocked == blocked)
		return;
	part->blocked = blocked;
	part->try_wait = TRY_MS;
	part->try_at = now + TRY_MS;
	poison->ops->changed(poison->ctx, part->id, blocked);
}

/* Decides which parts are blocked. Those with the most evidence go first: they
 * explain the crashes of others. */
static void parts_decide(struct poison *poison, clk_ms now)
{
	GPtrArray *parts = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct poison_part *part = value;

		crashes_count(part);
		part->ran = g_hash_table_contains(poison->ran, &part->id);
		g_ptr_array_add(parts, part);
	}
	g_ptr_array_sort(parts, part_cmp);
	for (guint i = 0; i < parts->len; i++) {
		struct poison_part *part = g_ptr_array_index(parts, i);

		if (!is_cause(poison, part))
			continue;
		for (guint j = i + 1; j < parts->len; j++)
			crashes_explain(poison, part,
					g_ptr_array_index(parts, j));
	}
	for (guint i = 0; i < parts->len; i++) {
		struct poison_part *part = g_ptr_array_index(parts, i);

		set_blocked(poison, part, is_cause(poison, part), now);
	}
	g_ptr_array_unref(parts);
}

/* Marks the crashes at about the time of the oldest one if several workers were
 * lost then, with different requests: one that is repeated may crash them all.
 */
static void mass_loss_mark(struct poison *poison)
{
	const struct unproved_crash *first =
		g_ptr_array_index(poison->unproved, 0);
	const struct unproved_crash *lost[MASS_WORKERS];
	unsigned count = 0;
	guint end = 0;

	for (; end < poison->unproved->len; end++) {
		const struct unproved_crash *row =
			g_ptr_array_index(poison->unproved, end);
		unsigned known = 0;

		if (row->at - first->at > PROOF_WAIT_MS)
			break;
		while (known < count && lost[known]->worker != row->worker &&
		       lost[known]->request != row->request)
			known++;
		if (known == count && count < MASS_WORKERS)
			lost[count++] = row;
	}
	for (guint i = 0; count == MASS_WORKERS && i < end; i++)
		((struct unproved_crash *)g_ptr_array_index(poison->unproved,
							    i))
			->mass = true;
}

/* Reports an own crash for the parts that were not proved to be harmless. */
static void crash_report(struct poison *poison,
			 const struct unproved_crash *row, clk_ms now)
{
	for (size_t i = 0; i < row->count; i++)
		if (poison_add_crash(poison, row->parts[i], row->crash, row->at,
				     now))
			poison->ops->crashed(poison->ctx, row->parts[i],
					     row->crash, row->at);
}

static void part_expire(struct poison *poison, struct poison_part *part,
			clk_ms now)
{
	set_blocked(poison, part, false, now);
	while (part->crashes->len > 0)
		crash_drop(poison, part, part->crashes->len - 1);
	poison->ops->forgotten(poison->ctx, part->id);
}

void poison_tick(struct poison *poison, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;

	while (poison->unproved->len > 0) {
		const struct unproved_crash *row =
			g_ptr_array_index(poison->unproved, 0);

		if (now - row->at < PROOF_WAIT_MS)
			break;
		mass_loss_mark(poison);
		if (!row->mass)
			crash_report(poison, row, now);
		g_ptr_array_remove_index(poison->unproved, 0);
	}
	parts_decide(poison, now);
	g_hash_table_iter_init(&iter, poison->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct poison_part *part = value;
		clk_ms age_max = part->blocked ? BLOCKED_MS : EVIDENCE_MS;

		if (now - part->updated_at > age_max) {
			part_expire(poison, part, now);
			g_hash_table_iter_remove(&iter);
		}
	}
}
