/* Requests and prompt parts on which workers crash. */
#include "poison.h"

#include <math.h>
#include <stdlib.h>

/* How long after a cut the request may turn out to be harmless, or the worker
 * to be alive, before other hosts are told. */
#define PROOF_WAIT_MS 250
/* How long a sign of life may be one of the next process under a worker's id,
 * which is not listed yet. */
#define LISTED_MS 2500
/* A process that has ended can't end again: after so long it is another one,
 * whose start is not known here yet. */
#define SAME_PROCESS_MS 1500
/* Processes that have ended, before a suspect is blocked: a request, which may
 * be repeated by nobody else, and a part of a prompt, which others need. */
#define REQUEST_CRASHES 3
#define BLOCKED_CRASHES 2 /* of them that keep one blocked which never ran */
#define PART_CRASHES 4
#define PART_CRASHES_MAX 6 /* while many attempts are cut off */
#define PART_REQUESTS 2	   /* different ones with the part, among these */
/* How likely it may be that a harmless part is blocked, if its requests are cut
 * off as often as others. */
#define PART_CHANCE 0.001
/* Requests without a suspect that has run before must have run since its first
 * crash: what all requests have would be blocked when all workers are lost. */
#define CONTRAST_RUNS 3
#define RAN_FACTOR 2 /* times the evidence against one that has run before */
/* The share of the attempts that is taken to be cut off on a host that has made
 * none: a part is then not blocked, as others need it. */
#define PART_CUT_PRIOR 0.5
#define REQUEST_CUT_PRIOR 0.25
/* With more attempts cut off, workers are in trouble whatever they are sent. */
#define CUT_SHARE_MAX 0.5
#define RATE_HALF_LIFE_MS 10000.0 /* of the rates of runs and cuts */
#define CUTS_MAX 256		  /* own ones that count for a rate */
#define TELL_RUN_CRASHES 2 /* against a suspect, before a run of it matters */
#define DECIDE_MS 500  /* between decisions, if the evidence has not changed */
#define EXPIRE_MS 1000 /* between two checks for old evidence */
#define EVIDENCE_MS 60000 /* how long crashes count */
#define BLOCKED_MS 600000 /* the same for a blocked suspect */
#define TRY_MS 30000	  /* until a blocked suspect is tried; then doubled */
#define TRIES_MAX 2	  /* then it stays blocked until its evidence is old */
#define DOUBT_TRY_MS 2000 /* the same for one that is blocked in doubt */
#define DOUBT_TRIES_MAX 4
#define SKEW_MAX_MS 30000 /* by which hosts' clocks may differ */
#define SUSPECTS_MAX 8192
#define EVICT_SHARE 4	  /* one of so many goes when there are too many */
#define CRASHES_MAX 24	  /* recorded for one suspect */
#define PROCESS_CRASHES 2 /* of these, for the end of one process */
#define RAN_MAX 8192	  /* keys in one set of those that have run */
#define RAN_MS 120000	  /* until the sets change places */

struct poison_suspect {
	struct poison_key key;
	GArray *crashes;      /* of struct poison_crash */
	unsigned processes;   /* that ended, without those that are explained */
	unsigned requests;    /* different ones among their crashes */
	bool ran;	      /* a request with it has run, on some host */
	uint64_t runs_before; /* own ones of its kind, before the first crash */
	clk_ms harmless_at;   /* last run; crashes before do not count */
	clk_ms updated_at;
	bool blocked;
	bool in_doubt; /* blocked while workers are in trouble anyway */
	clk_ms try_at; /* of a blocked one */
	clk_ms try_wait;
	unsigned tries;
};

/* An own attempt that was cut off, of which other hosts are not told yet. */
struct unproved_crash {
	struct poison_key keys[FLEET_PARTS_MAX + 1];
	size_t count;
	struct poison_crash crash;
	uint32_t pool; /* of the process */
	bool has_prompt;
	bool alive;    /* something was received from the process since, */
	bool replaced; /* or from the next one under the worker's id */
};

static guint key_hash(gconstpointer ptr)
{
	const struct poison_key *key = ptr;
	uint64_t mixed = (key->id ^ (uint64_t)key->kind) * 0x9e3779b97f4a7c15u;

	return (guint)(mixed >> 32);
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
	const struct poison_key *x = a;
	const struct poison_key *y = b;

	return x->kind == y->kind && x->id == y->id;
}

static void suspect_free(void *ptr)
{
	struct poison_suspect *suspect = ptr;

	g_array_free(suspect->crashes, TRUE);
	g_free(suspect);
}

struct poison *poison_create(const struct poison_ops *ops, void *ctx)
{
	struct poison *poison = g_new0(struct poison, 1);

	poison->suspects =
		g_hash_table_new_full(key_hash, key_equal, NULL, suspect_free);
	for (size_t i = 0; i < G_N_ELEMENTS(poison->ran); i++)
		poison->ran[i] = g_hash_table_new_full(key_hash, key_equal,
						       g_free, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(poison->rates); i++)
		poison->rates[i].cuts =
			g_array_new(FALSE, FALSE, sizeof(struct poison_crash));
	poison->unproved = g_ptr_array_new_with_free_func(g_free);
	poison->ops = ops;
	poison->ctx = ctx;
	return poison;
}

void poison_free(struct poison *poison)
{
	g_hash_table_destroy(poison->suspects);
	for (size_t i = 0; i < G_N_ELEMENTS(poison->ran); i++)
		g_hash_table_destroy(poison->ran[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(poison->rates); i++)
		g_array_free(poison->rates[i].cuts, TRUE);
	g_ptr_array_free(poison->unproved, TRUE);
	g_free(poison);
}

/* Lists what may be a cause in a request; returns how many there are. */
static size_t request_keys(const struct poison_request *request,
			   struct poison_key keys[FLEET_PARTS_MAX + 1])
{
	size_t count = 0;

	keys[count++] = (struct poison_key){
		.kind = request->has_prompt ? POISON_PROMPT : POISON_CALL,
		.id = request->identity,
	};
	for (size_t i = 0; i < MIN(request->part_count, FLEET_PARTS_MAX); i++)
		keys[count++] = (struct poison_key){
			.kind = POISON_PART,
			.id = request->parts[i].id,
		};
	return count;
}

/* Rates. */

static void rate_add_run(struct poison_rate *rate, clk_ms now)
{
	clk_ms age = MAX(now - rate->updated_at, 0);

	rate->runs = rate->runs * exp2(-(double)age / RATE_HALF_LIFE_MS) + 1;
	rate->updated_at = now;
	rate->total_runs++;
}

static void rate_add_cut(struct poison_rate *rate,
			 const struct poison_crash *crash)
{
	if (rate->cuts->len >= CUTS_MAX)
		g_array_remove_index(rate->cuts, 0);
	g_array_append_val(rate->cuts, *crash);
}

/* Whether two crashes are the end of the same process. */
static bool is_same_end(const struct poison_crash *a,
			const struct poison_crash *b)
{
	return a->process == b->process &&
	       llabs(a->at - b->at) < SAME_PROCESS_MS;
}

static bool has_end(const GArray *crashes, const struct poison_crash *crash)
{
	for (guint i = 0; i < crashes->len; i++)
		if (is_same_end(&g_array_index(crashes, struct poison_crash, i),
				crash))
			return true;
	return false;
}

/* Returns the share of the attempts that are cut off, but for those at workers
 * whose end may be explained by the given crashes; prior: what it is without
 * any attempts. */
static double cut_share(const struct poison_rate *rate, double prior,
			const GArray *explained, clk_ms now)
{
	double age = (double)MAX(now - rate->updated_at, 0);
	double runs = rate->runs * exp2(-age / RATE_HALF_LIFE_MS);
	double cuts = 0;

	for (guint i = 0; i < rate->cuts->len; i++) {
		const struct poison_crash *cut =
			&g_array_index(rate->cuts, struct poison_crash, i);

		if (!has_end(explained, cut))
			cuts += exp2(-(double)MAX(now - cut->at, 0) /
				     RATE_HALF_LIFE_MS);
	}
	return (cuts + 1) / (cuts + runs + 1 / prior);
}

/* Returns the rate for the requests that may have a suspect. */
static const struct poison_rate *rate_of(const struct poison *poison,
					 const struct poison_key *key)
{
	return &poison->rates[key->kind != POISON_CALL];
}

/* Keys that have run. */

static bool has_run(const struct poison *poison, const struct poison_key *key)
{
	return g_hash_table_contains(poison->ran[0], key) ||
	       g_hash_table_contains(poison->ran[1], key);
}

static void ran_add(struct poison *poison, const struct poison_key *key,
		    clk_ms now)
{
	if (now - poison->ran_since > RAN_MS ||
	    g_hash_table_size(poison->ran[0]) >= RAN_MAX) {
		GHashTable *older = poison->ran[1];

		poison->ran[1] = poison->ran[0];
		poison->ran[0] = older;
		poison->ran_since = now;
		g_hash_table_remove_all(older);
	}
	if (!g_hash_table_contains(poison->ran[0], key))
		g_hash_table_add(poison->ran[0], g_memdup2(key, sizeof(*key)));
}

/* Suspects. */

static struct poison_suspect *suspect_find(const struct poison *poison,
					   const struct poison_key *key)
{
	return g_hash_table_lookup(poison->suspects, key);
}

static struct poison_crash *crash_at(const struct poison_suspect *suspect,
				     guint idx)
{
	return &g_array_index(suspect->crashes, struct poison_crash, idx);
}

/* Whether hosts that start are told of the crashes of a suspect. */
static bool is_kept(const struct poison_suspect *suspect)
{
	return suspect->crashes->len >= TELL_RUN_CRASHES;
}

static void crash_drop(struct poison *poison, struct poison_suspect *suspect,
		       guint idx)
{
	struct poison_crash crash = *crash_at(suspect, idx);

	g_array_remove_index(suspect->crashes, idx);
	poison->ops->dropped(poison->ctx, &suspect->key, &crash);
	poison->outdated = true;
}

static void set_blocked(struct poison *poison, struct poison_suspect *suspect,
			bool blocked, clk_ms now)
{
	if (suspect->blocked == blocked)
		return;
	suspect->blocked = blocked;
	suspect->try_wait = suspect->in_doubt ? DOUBT_TRY_MS : TRY_MS;
	suspect->try_at = now + suspect->try_wait;
	suspect->tries = 0;
	poison->blocked += blocked ? 1 : -1;
	poison->ops->changed(poison->ctx, &suspect->key, blocked);
}

/* Forgets a suspect, which the caller removes from the table. */
static void suspect_clear(struct poison *poison, struct poison_suspect *suspect,
			  clk_ms now)
{
	set_blocked(poison, suspect, false, now);
	while (suspect->crashes->len > 0)
		crash_drop(poison, suspect, suspect->crashes->len - 1);
	poison->ops->forgotten(poison->ctx, &suspect->key);
}

static gint age_cmp(gconstpointer a, gconstpointer b)
{
	const struct poison_suspect *x =
		*(const struct poison_suspect *const *)a;
	const struct poison_suspect *y =
		*(const struct poison_suspect *const *)b;

	if (is_kept(x) != is_kept(y))
		return is_kept(x) ? 1 : -1;
	return x->updated_at < y->updated_at ? -1
					     : x->updated_at > y->updated_at;
}

/* Makes room: those with one crash go first, the oldest before the others, and
 * a blocked one never. */
static void suspects_evict(struct poison *poison, clk_ms now)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	guint count;

	g_hash_table_iter_init(&iter, poison->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct poison_suspect *)value)->blocked)
			g_ptr_array_add(all, value);
	g_ptr_array_sort(all, age_cmp);
	count = MIN(all->len, SUSPECTS_MAX / EVICT_SHARE);
	for (guint i = 0; i < count; i++) {
		struct poison_suspect *suspect = g_ptr_array_index(all, i);

		suspect_clear(poison, suspect, now);
		g_hash_table_remove(poison->suspects, &suspect->key);
	}
	g_ptr_array_unref(all);
}

static struct poison_suspect *
suspect_get(struct poison *poison, const struct poison_key *key, clk_ms now)
{
	struct poison_suspect *suspect = suspect_find(poison, key);

	if (suspect)
		return suspect;
	if (g_hash_table_size(poison->suspects) >= SUSPECTS_MAX)
		suspects_evict(poison, now);
	suspect = g_new0(struct poison_suspect, 1);
	suspect->key = *key;
	suspect->crashes =
		g_array_new(FALSE, FALSE, sizeof(struct poison_crash));
	g_hash_table_insert(poison->suspects, &suspect->key, suspect);
	return suspect;
}

/* Whether a crash adds to the evidence: of one process's end a few requests are
 * recorded. */
static bool crash_is_new(const struct poison_suspect *suspect,
			 const struct poison_crash *crash)
{
	unsigned same = 0;

	for (guint i = 0; i < suspect->crashes->len; i++) {
		const struct poison_crash *known = crash_at(suspect, i);

		if (!is_same_end(known, crash))
			continue;
		if (known->request == crash->request ||
		    ++same >= PROCESS_CRASHES)
			return false;
	}
	return true;
}

/* Records a crash; returns false if it adds nothing. */
static bool crash_add(struct poison *poison, const struct poison_key *key,
		      const struct poison_crash *crash, clk_ms now)
{
	struct poison_suspect *suspect;

	if (now - crash->at > BLOCKED_MS || crash->at - now > SKEW_MAX_MS)
		return false;
	suspect = suspect_get(poison, key, now);
	if (crash->at <= suspect->harmless_at || !crash_is_new(suspect, crash))
		return false;
	if (suspect->crashes->len >= CRASHES_MAX)
		crash_drop(poison, suspect, 0);
	if (suspect->crashes->len == 0)
		suspect->runs_before = rate_of(poison, key)->total_runs;
	g_array_append_val(suspect->crashes, *crash);
	suspect->updated_at = MAX(suspect->updated_at, crash->at);
	poison->outdated = true;
	/* The first one was not kept, as it might have been the only one. */
	if (suspect->crashes->len == TELL_RUN_CRASHES)
		poison->ops->kept(poison->ctx, key, crash_at(suspect, 0));
	if (is_kept(suspect))
		poison->ops->kept(poison->ctx, key, crash);
	return true;
}

bool poison_add_crash(struct poison *poison, const struct poison_key *key,
		      const struct poison_crash *crash, clk_ms now)
{
	const struct poison_suspect *suspect;

	crash_add(poison, key, crash, now);
	suspect = suspect_find(poison, key);
	if (!suspect || !is_kept(suspect))
		return false;
	for (guint i = 0; i < suspect->crashes->len; i++) {
		const struct poison_crash *known = crash_at(suspect, i);

		if (is_same_end(known, crash) &&
		    known->request == crash->request)
			return true;
	}
	return false;
}

bool poison_add_run(struct poison *poison, const struct poison_key *key,
		    clk_ms at, clk_ms now)
{
	struct poison_suspect *suspect = suspect_find(poison, key);

	if (at - now > SKEW_MAX_MS)
		return false;
	ran_add(poison, key, now);
	if (!suspect)
		return false;
	suspect->harmless_at = MAX(suspect->harmless_at, at);
	suspect->updated_at = MAX(suspect->updated_at, at);
	for (guint i = suspect->crashes->len; i-- > 0;)
		if (crash_at(suspect, i)->at <= at)
			crash_drop(poison, suspect, i);
	return true;
}

/* Own requests. */

void poison_on_cut(struct poison *poison, const struct poison_request *request,
		   uint32_t process, uint32_t pool, clk_ms now)
{
	struct unproved_crash *row = g_new0(struct unproved_crash, 1);

	row->count = request_keys(request, row->keys);
	row->crash = (struct poison_crash){
		.process = process,
		.request = (uint32_t)request->identity,
		.at = now,
	};
	row->pool = pool;
	row->has_prompt = request->has_prompt;
	rate_add_cut(&poison->rates[request->has_prompt], &row->crash);
	g_ptr_array_add(poison->unproved, row);
}

void poison_on_alive(struct poison *poison, uint32_t process)
{
	for (guint i = 0; i < poison->unproved->len; i++) {
		struct unproved_crash *row =
			g_ptr_array_index(poison->unproved, i);

		row->alive |= row->crash.process == process;
	}
}

void poison_on_replaced(struct poison *poison, uint32_t process)
{
	for (guint i = 0; i < poison->unproved->len; i++) {
		struct unproved_crash *row =
			g_ptr_array_index(poison->unproved, i);

		row->replaced |= row->crash.process == process;
	}
}

static void unproved_remove(struct unproved_crash *row,
			    const struct poison_key *key)
{
	for (size_t i = row->count; i-- > 0;)
		if (key_equal(&row->keys[i], key))
			row->keys[i] = row->keys[--row->count];
}

void poison_on_run(struct poison *poison, const struct poison_request *request,
		   clk_ms now)
{
	struct poison_key keys[FLEET_PARTS_MAX + 1];
	size_t count = request_keys(request, keys);

	rate_add_run(&poison->rates[request->has_prompt], now);
	for (size_t i = 0; i < count; i++) {
		const struct poison_suspect *suspect =
			suspect_find(poison, &keys[i]);
		bool matters = suspect && is_kept(suspect);
		bool blocked = suspect && suspect->blocked;

		for (guint j = 0; j < poison->unproved->len; j++)
			unproved_remove(g_ptr_array_index(poison->unproved, j),
					&keys[i]);
		poison_add_run(poison, &keys[i], now, now);
		if (matters)
			poison->ops->harmless(poison->ctx, &keys[i], now,
					      blocked);
	}
}

/* Tells other hosts of an own crash, but for what has proved to be harmless. */
static void crash_report(struct poison *poison,
			 const struct unproved_crash *row, clk_ms now)
{
	for (size_t i = 0; i < row->count; i++) {
		const struct poison_suspect *suspect =
			suspect_find(poison, &row->keys[i]);
		unsigned before = suspect ? suspect->crashes->len : 0;

		if (crash_add(poison, &row->keys[i], &row->crash, now))
			poison->ops->crashed(poison->ctx, &row->keys[i],
					     &row->crash, before);
	}
}

bool poison_blocks(const struct poison *poison,
		   const struct poison_request *request,
		   struct poison_key *cause)
{
	struct poison_key keys[FLEET_PARTS_MAX + 1];
	size_t count = poison->blocked ? request_keys(request, keys) : 0;

	for (size_t i = 0; i < count; i++) {
		const struct poison_suspect *suspect =
			suspect_find(poison, &keys[i]);

		if (!suspect || !suspect->blocked)
			continue;
		if (cause)
			*cause = keys[i];
		return true;
	}
	return false;
}

bool poison_admits(struct poison *poison, const struct poison_request *request,
		   clk_ms now)
{
	struct poison_key keys[FLEET_PARTS_MAX + 1];
	size_t count = poison->blocked ? request_keys(request, keys) : 0;
	struct poison_suspect *tried = NULL;

	for (size_t i = 0; i < count; i++) {
		struct poison_suspect *suspect = suspect_find(poison, &keys[i]);

		if (!suspect || !suspect->blocked)
			continue;
		if (tried || now < suspect->try_at ||
		    suspect->tries >=
			    (suspect->in_doubt ? DOUBT_TRIES_MAX : TRIES_MAX) ||
		    !poison->ops->tries(poison->ctx, &suspect->key))
			return false;
		tried = suspect;
	}
	if (tried) {
		tried->tries++;
		tried->try_wait *= 2;
		tried->try_at = now + tried->try_wait;
	}
	return true;
}

/* Decisions. */

/* Whether the end of a crash's process is among those explained: a table of
 * processes and when they ended. */
static bool is_explained(GHashTable *explained,
			 const struct poison_crash *crash)
{
	const struct poison_crash *end = g_hash_table_lookup(
		explained, GUINT_TO_POINTER(crash->process));

	return end && is_same_end(end, crash);
}

/* Counts the processes that ended, and the requests, in the crashes of a
 * suspect that are not explained. */
static void evidence_count(struct poison_suspect *suspect,
			   GHashTable *explained)
{
	struct poison_crash ends[CRASHES_MAX];
	uint32_t requests[CRASHES_MAX];

	suspect->processes = 0;
	suspect->requests = 0;
	for (guint i = 0; i < suspect->crashes->len; i++) {
		const struct poison_crash *crash = crash_at(suspect, i);
		unsigned j = 0;

		if (is_explained(explained, crash))
			continue;
		while (j < suspect->processes && !is_same_end(&ends[j], crash))
			j++;
		if (j == suspect->processes)
			ends[suspect->processes++] = *crash;
		j = 0;
		while (j < suspect->requests && requests[j] != crash->request)
			j++;
		if (j == suspect->requests)
			requests[suspect->requests++] = crash->request;
	}
}

/* Returns how many processes must have ended before a part is blocked, if
 * attempts are cut off this often. */
static unsigned part_crashes_needed(double share)
{
	double needed = ceil(log(PART_CHANCE) / log(share));

	return (unsigned)CLAMP(needed, PART_CRASHES, PART_CRASHES_MAX);
}

/* Whether so many processes have ended, while so many attempts are cut off and
 * others run, that a suspect which isn't blocked yet is to be. */
static bool is_telling(const struct poison *poison,
		       const struct poison_suspect *suspect, clk_ms now)
{
	bool part = suspect->key.kind == POISON_PART;
	const struct poison_rate *rate = rate_of(poison, &suspect->key);
	double share =
		cut_share(rate, part ? PART_CUT_PRIOR : REQUEST_CUT_PRIOR,
			  suspect->crashes, now);
	unsigned factor = suspect->ran ? RAN_FACTOR : 1;

	if (share >= CUT_SHARE_MAX)
		return false;
	if (suspect->ran &&
	    rate->total_runs - suspect->runs_before < CONTRAST_RUNS)
		return false;
	return !part ||
	       suspect->processes >= part_crashes_needed(share) * factor;
}

/* Whether there is enough evidence to block a suspect. A request that never ran
 * is blocked even while so many others are cut off that this tells nothing, but
 * it is tried again soon. */
static bool is_cause(const struct poison *poison,
		     struct poison_suspect *suspect, clk_ms now)
{
	bool part = suspect->key.kind == POISON_PART;
	unsigned needed = part ? PART_CRASHES : REQUEST_CRASHES;

	if (suspect->ran)
		needed *= RAN_FACTOR;
	else if (!part && suspect->blocked)
		needed = BLOCKED_CRASHES;
	if (suspect->processes < needed ||
	    (part && suspect->requests < PART_REQUESTS))
		return false;
	if (is_telling(poison, suspect, now)) {
		suspect->in_doubt = false;
		return true;
	}
	if (!suspect->blocked)
		suspect->in_doubt = !part && !suspect->ran;
	return suspect->blocked || suspect->in_doubt;
}

/* Orders suspects by the evidence: one that never ran comes first, then one
 * with more crashes, then a request before a part of its prompt. */
static gint evidence_cmp(gconstpointer a, gconstpointer b)
{
	const struct poison_suspect *x =
		*(const struct poison_suspect *const *)a;
	const struct poison_suspect *y =
		*(const struct poison_suspect *const *)b;

	if (x->ran != y->ran)
		return x->ran ? 1 : -1;
	if (x->processes != y->processes)
		return x->processes > y->processes ? -1 : 1;
	return (gint)x->key.kind - (gint)y->key.kind;
}

/* Whether a suspect has as much evidence as the one before it in the order, so
 * that neither explains the other. */
static bool is_tied(const struct poison_suspect *before,
		    const struct poison_suspect *suspect)
{
	return before->ran == suspect->ran &&
	       before->key.kind == suspect->key.kind &&
	       before->processes == suspect->processes;
}

/* Adds the ends of the processes in the crashes of a cause to those explained.
 */
static void ends_explain(GHashTable *explained,
			 const struct poison_suspect *cause)
{
	for (guint i = 0; i < cause->crashes->len; i++) {
		struct poison_crash *crash = crash_at(cause, i);

		g_hash_table_insert(explained, GUINT_TO_POINTER(crash->process),
				    crash);
	}
}

/* Lists the suspects that may be blocked, by their evidence. */
static GPtrArray *suspects_order(struct poison *poison)
{
	GHashTable *none = g_hash_table_new(NULL, NULL);
	GPtrArray *order = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct poison_suspect *suspect = value;

		if (!is_kept(suspect) && !suspect->blocked)
			continue;
		suspect->ran = has_run(poison, &suspect->key);
		evidence_count(suspect, none);
		g_ptr_array_add(order, suspect);
	}
	g_ptr_array_sort(order, evidence_cmp);
	g_hash_table_destroy(none);
	return order;
}

/* Decides which suspects are blocked. Those with the most evidence go first:
 * they explain the crashes of their workers for the others, but for those that
 * are tied with them. */
static void suspects_decide(struct poison *poison, clk_ms now)
{
	GHashTable *explained = g_hash_table_new(NULL, NULL);
	GPtrArray *order = suspects_order(poison);
	guint first = 0; /* of those that are tied */

	for (guint i = 0; i < order->len; i++) {
		struct poison_suspect *suspect = g_ptr_array_index(order, i);
		unsigned all = suspect->processes;

		for (; first < i &&
		       !is_tied(g_ptr_array_index(order, first), suspect);
		     first++) {
			struct poison_suspect *before =
				g_ptr_array_index(order, first);

			if (before->blocked && !before->in_doubt)
				ends_explain(explained, before);
		}
		evidence_count(suspect, explained);
		set_blocked(poison, suspect, is_cause(poison, suspect, now),
			    now);
		/* What is tied is told by all evidence. */
		suspect->processes = all;
	}
	g_hash_table_destroy(explained);
	g_ptr_array_unref(order);
}

/* Drops suspects whose evidence is old. */
static void suspects_expire(struct poison *poison, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;

	poison->expired_at = now;
	g_hash_table_iter_init(&iter, poison->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct poison_suspect *suspect = value;
		clk_ms age_max = suspect->blocked && !suspect->in_doubt
					 ? BLOCKED_MS
					 : EVIDENCE_MS;

		if (now - suspect->updated_at > age_max) {
			suspect_clear(poison, suspect, now);
			g_hash_table_iter_remove(&iter);
		}
	}
}

/* Drops a cut that was no end of a process. */
static void rate_drop_cut(struct poison_rate *rate,
			  const struct poison_crash *crash)
{
	for (guint i = 0; i < rate->cuts->len; i++) {
		const struct poison_crash *cut =
			&g_array_index(rate->cuts, struct poison_crash, i);

		if (cut->process != crash->process || cut->at != crash->at)
			continue;
		g_array_remove_index(rate->cuts, i);
		return;
	}
}

/* Reports the own crashes that are due, and drops those that were none. */
static void unproved_judge(struct poison *poison, clk_ms now)
{
	guint i = 0;

	while (i < poison->unproved->len) {
		const struct unproved_crash *row =
			g_ptr_array_index(poison->unproved, i);
		enum poison_doubt doubt = POISON_SURE;

		if (now - row->crash.at < PROOF_WAIT_MS)
			break;
		if (row->alive && !row->replaced) {
			if (now - row->crash.at < LISTED_MS)
				i++;
			else
				g_ptr_array_remove_index(poison->unproved, i);
			continue;
		}
		if (poison->ops->doubt)
			doubt = poison->ops->doubt(poison->ctx, row->pool);
		if (doubt == POISON_WAIT) {
			i++;
			continue;
		}
		if (doubt == POISON_SURE)
			crash_report(poison, row, now);
		else
			rate_drop_cut(&poison->rates[row->has_prompt],
				      &row->crash);
		g_ptr_array_remove_index(poison->unproved, i);
	}
}

void poison_tick(struct poison *poison, clk_ms now)
{
	unproved_judge(poison, now);
	if (now - poison->expired_at >= EXPIRE_MS)
		suspects_expire(poison, now);
	/* The share of attempts that are cut off changes by itself. */
	if (!poison->outdated && now - poison->decided_at < DECIDE_MS)
		return;
	poison->outdated = false;
	poison->decided_at = now;
	suspects_decide(poison, now);
}
