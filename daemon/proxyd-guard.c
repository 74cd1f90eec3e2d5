/*
 * Requests and prompt parts that crash workers: collects the evidence from
 * attempts and from other hosts, and ends such requests (decide/poison.h).
 *
 * Evidence travels as notices, "poison/KIND/ID/PROCESS/REQUEST" and
 * "harmless/KIND/ID", stamped with the wall clock. A crash is broadcast, as the
 * next one may follow at once, and the run that releases a suspect; other runs
 * are only gossiped. The crashes of a suspect with several of them are gossiped
 * too, so that starting hosts learn of them.
 */
#include "proxyd-xfer.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <string.h>

#include "../decide/aggregate.h"

#define CRASH_FORMAT "poison/%c/%016" G_GINT64_MODIFIER "x/%08x/%08x"
#define RUN_FORMAT "harmless/%c/%016" G_GINT64_MODIFIER "x"
#define BROADCAST_GAP_MS 300 /* between two broadcasts */
#define BROADCAST_MESSAGES 3 /* in one, of MEMBER_NOTICES_MAX notices each */
#define URGENT_MAX 1024	     /* notices that wait to be broadcast */

/* Letters of the kinds in notices. */
static const char kind_letters[POISON_KINDS + 1] = {
	[POISON_CALL] = 'c',
	[POISON_PROMPT] = 'm',
	[POISON_PART] = 'p',
};

static const char *const kind_names[POISON_KINDS] = {
	[POISON_CALL] = "call",
	[POISON_PROMPT] = "prompt",
	[POISON_PART] = "part",
};

/* A notice that waits to be broadcast. */
struct urgent_notice {
	struct member_notice notice;
	unsigned weight; /* the greater one goes first */
};

static void crash_notice_fill(struct member_notice *notice,
			      const struct poison_key *key,
			      const struct poison_crash *crash)
{
	*notice = (struct member_notice){
		.set = true,
		.stamp = (uint64_t)crash->at,
	};
	g_snprintf(notice->subject, sizeof(notice->subject), CRASH_FORMAT,
		   kind_letters[key->kind], key->id, crash->process,
		   crash->request);
}

static void run_subject_fill(char *subject, size_t size,
			     const struct poison_key *key)
{
	g_snprintf(subject, size, RUN_FORMAT, kind_letters[key->kind], key->id);
}

static void urgent_add(struct proxyd *proxyd,
		       const struct member_notice *notice, unsigned weight)
{
	struct urgent_notice urgent = { .notice = *notice, .weight = weight };

	if (proxyd->urgent_notices->len >= URGENT_MAX) {
		proxyd_count(proxyd, CTR_notices_dropped);
		return;
	}
	g_array_append_val(proxyd->urgent_notices, urgent);
}

static void op_crashed(void *ctx, const struct poison_key *key,
		       const struct poison_crash *crash, unsigned before)
{
	struct member_notice notice;

	crash_notice_fill(&notice, key, crash);
	slog(SLOG_NOTICE, "poison",
	     "kind=%s suspect=%016" G_GINT64_MODIFIER
	     "x process=%08x before=%u outcome=suspected",
	     kind_names[key->kind], key->id, crash->process, before);
	urgent_add(ctx, &notice, before);
}

static void op_kept(void *ctx, const struct poison_key *key,
		    const struct poison_crash *crash)
{
	struct proxyd *proxyd = ctx;
	struct member_notice notice;

	crash_notice_fill(&notice, key, crash);
	member_on_notice(proxyd->members, &notice);
}

static void op_dropped(void *ctx, const struct poison_key *key,
		       const struct poison_crash *crash)
{
	struct proxyd *proxyd = ctx;
	struct member_notice notice;

	crash_notice_fill(&notice, key, crash);
	member_forget_notice(proxyd->members, notice.subject);
}

static void op_harmless(void *ctx, const struct poison_key *key, clk_ms at,
			bool blocked)
{
	struct proxyd *proxyd = ctx;
	struct member_notice notice = { .set = true, .stamp = (uint64_t)at };

	run_subject_fill(notice.subject, sizeof(notice.subject), key);
	slog(SLOG_NOTICE, "poison",
	     "kind=%s suspect=%016" G_GINT64_MODIFIER
	     "x blocked=%d outcome=harmless",
	     kind_names[key->kind], key->id, blocked);
	if (blocked)
		urgent_add(proxyd, &notice, G_MAXUINT);
	member_on_notice(proxyd->members, &notice);
}

/* Ends the attempts that are blocked now and may still crash their workers. */
static void attempts_end(struct proxyd *proxyd)
{
	GPtrArray *ended = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, proxyd->open_requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct xfer *xfer = key;

		if (xfer->attempt && !xfer->has_output && guard_blocks(xfer))
			g_ptr_array_add(ended, key);
	}
	/* Not during the iteration: it ends requests. */
	for (guint i = 0; i < ended->len; i++) {
		struct xfer *xfer = g_ptr_array_index(ended, i);

		xfer->px.may_have_run |= xfer->sent_at != 0;
		attempt_cancel(xfer);
		xfer_give_up_poison(xfer);
	}
	g_ptr_array_free(ended, TRUE);
}

static void op_changed(void *ctx, const struct poison_key *key, bool blocked)
{
	struct proxyd *proxyd = ctx;

	slog(SLOG_WARN, "poison",
	     "kind=%s suspect=%016" G_GINT64_MODIFIER "x outcome=%s",
	     kind_names[key->kind], key->id, blocked ? "blocked" : "released");
	if (blocked)
		attempts_end(proxyd);
}

static void op_forgotten(void *ctx, const struct poison_key *key)
{
	struct proxyd *proxyd = ctx;
	char subject[MEMBER_SUBJECT_MAX];

	run_subject_fill(subject, sizeof(subject), key);
	member_forget_notice(proxyd->members, subject);
}

static bool op_tries(void *ctx, const struct poison_key *key)
{
	struct proxyd *proxyd = ctx;
	char subject[MEMBER_SUBJECT_MAX];

	run_subject_fill(subject, sizeof(subject), key);
	return member_self_in_top(proxyd->members, subject, 1);
}

static enum poison_doubt op_doubt(void *ctx, uint32_t pool)
{
	static const enum poison_doubt doubts[] = {
		[LINKS_GOOD] = POISON_SURE,
		[LINKS_UNSURE] = POISON_WAIT,
		[LINKS_LOST_HERE] = POISON_NONE,
		[LINKS_LOST_EVERYWHERE] = POISON_SURE,
	};
	struct proxyd *proxyd = ctx;

	return doubts[links_view(proxyd->links, pool, proxyd_now(proxyd))];
}

void guard_start(struct proxyd *proxyd)
{
	static const struct poison_ops ops = {
		.doubt = op_doubt,
		.crashed = op_crashed,
		.kept = op_kept,
		.dropped = op_dropped,
		.harmless = op_harmless,
		.changed = op_changed,
		.forgotten = op_forgotten,
		.tries = op_tries,
	};

	proxyd->poison = poison_create(&ops, proxyd);
	proxyd->urgent_notices =
		g_array_new(FALSE, FALSE, sizeof(struct urgent_notice));
}

static gint urgent_cmp(gconstpointer a, gconstpointer b)
{
	unsigned x = ((const struct urgent_notice *)a)->weight;
	unsigned y = ((const struct urgent_notice *)b)->weight;

	return x > y ? -1 : x < y;
}

/* Sends the most urgent notices to all hosts. */
static void urgent_broadcast(struct proxyd *proxyd)
{
	GArray *urgent = proxyd->urgent_notices;
	guint sent = MIN(urgent->len, BROADCAST_MESSAGES * MEMBER_NOTICES_MAX);

	g_array_sort(urgent, urgent_cmp);
	for (guint i = 0; i < sent; i += MEMBER_NOTICES_MAX) {
		struct member_notice notices[MEMBER_NOTICES_MAX];
		guint count = MIN(sent - i, MEMBER_NOTICES_MAX);

		for (guint j = 0; j < count; j++)
			notices[j] = g_array_index(urgent, struct urgent_notice,
						   i + j)
					     .notice;
		member_broadcast(proxyd->members, notices, count);
	}
	g_array_remove_range(urgent, 0, sent);
}

void guard_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);

	poison_tick(proxyd->poison, proxyd_wall(proxyd));
	if (proxyd->urgent_notices->len == 0 ||
	    now < proxyd->next_urgent_notices)
		return;
	proxyd->next_urgent_notices = now + BROADCAST_GAP_MS;
	urgent_broadcast(proxyd);
}

/* Reads the kind of a notice; returns false if there is no such kind. */
static bool kind_parse(char letter, enum poison_kind *kind)
{
	const char *at = letter ? strchr(kind_letters, letter) : NULL;

	if (at)
		*kind = (enum poison_kind)(at - kind_letters);
	return at != NULL;
}

void guard_on_notice(struct proxyd *proxyd, const struct member_notice *notice)
{
	struct poison_crash crash = { .at = (clk_ms)notice->stamp };
	clk_ms now = proxyd_wall(proxyd);
	struct poison_key key;
	bool kept = true;
	char letter;

	if (sscanf(notice->subject, "poison/%c/%" G_GINT64_MODIFIER "x/%x/%x",
		   &letter, &key.id, &crash.process, &crash.request) == 4)
		kept = kind_parse(letter, &key.kind) &&
		       poison_add_crash(proxyd->poison, &key, &crash, now);
	else if (sscanf(notice->subject, "harmless/%c/%" G_GINT64_MODIFIER "x",
			&letter, &key.id) == 2)
		kept = kind_parse(letter, &key.kind) &&
		       poison_add_run(proxyd->poison, &key, crash.at, now);
	if (!kept)
		member_forget_notice(proxyd->members, notice->subject);
}

static void digest_add(EVP_MD_CTX *digest, struct http_view text)
{
	/* The length keeps apart what begins alike. */
	EVP_DigestUpdate(digest, &text.len, sizeof(text.len));
	EVP_DigestUpdate(digest, text.ptr, text.len);
}

uint64_t guard_identity(struct hs_request *call,
			const struct tab_account *account)
{
	const struct h1_head *head = hs_request_head(call);
	const char *caller = account ? account->name : "";
	unsigned char hash[EVP_MAX_MD_SIZE];
	EVP_MD_CTX *digest = EVP_MD_CTX_new();
	uint64_t identity;

	EVP_DigestInit_ex(digest, EVP_sha256(), NULL);
	digest_add(digest, (struct http_view){ caller, strlen(caller) });
	digest_add(digest, head->method);
	digest_add(digest, h1_header_value(head, "host"));
	digest_add(digest, head->target);
	digest_add(digest, hs_request_body(call));
	EVP_DigestFinal_ex(digest, hash, NULL);
	EVP_MD_CTX_free(digest);
	memcpy(&identity, hash, sizeof(identity));
	return identity;
}

void guard_request_fill(struct poison_request *request,
			const struct head_request *head, uint64_t identity)
{
	*request = (struct poison_request){
		.identity = identity,
		.has_prompt = head->has_token_counts || head->part_count > 0,
		.parts = head->parts,
		/* The last part is the request's own, or its session's. */
		.part_count = MAX(head->part_count, 1) - 1,
	};
}

bool guard_admits(struct proxyd *proxyd, const struct head_request *head,
		  uint64_t identity)
{
	struct poison_request request;
	struct poison_key cause = { .id = 0 };

	guard_request_fill(&request, head, identity);
	if (poison_admits(proxyd->poison, &request, proxyd_wall(proxyd)))
		return true;
	poison_blocks(proxyd->poison, &request, &cause);
	slog(SLOG_INFO, "poison",
	     "id=%.*s kind=%s suspect=%016" G_GINT64_MODIFIER
	     "x outcome=refused",
	     SLOG_VIEW(head->id), kind_names[cause.kind], cause.id);
	return false;
}

bool guard_blocks(const struct xfer *xfer)
{
	struct poison_request request;

	guard_request_fill(&request, &xfer->request, xfer->identity);
	return !xfer->proved &&
	       poison_blocks(xfer->proxyd->poison, &request, NULL);
}

/* Identifies the process of a worker on all hosts. */
static uint32_t process_key(const struct fleet_worker *worker)
{
	char *text = g_strdup_printf("%s/%" G_GINT64_FORMAT, worker->entry.id,
				     worker->entry.started_at);
	uint32_t key = aggregate_key(text);

	g_free(text);
	return key;
}

void guard_on_cut(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct poison_request request;

	if (!xfer->sent_at || xfer->proved)
		return;
	guard_request_fill(&request, &xfer->request, xfer->identity);
	poison_on_cut(proxyd->poison, &request, process_key(xfer->worker),
		      aggregate_key(xfer->worker->entry.pool),
		      proxyd_wall(proxyd));
}

void guard_on_data(struct xfer *xfer)
{
	struct poison *poison = xfer->proxyd->poison;

	if (poison->unproved->len > 0)
		poison_on_alive(poison, process_key(xfer->worker));
}

void guard_on_replaced(struct proxyd *proxyd, const struct fleet_worker *worker)
{
	poison_on_replaced(proxyd->poison, process_key(worker));
}

void guard_on_output(struct xfer *xfer, bool complete)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct poison_request request;
	clk_ms age = proxyd_now(proxyd) - xfer->output_at;

	if (xfer->proved || (!complete && age < POISON_PROOF_MS))
		return;
	xfer->proved = true;
	guard_request_fill(&request, &xfer->request, xfer->identity);
	poison_on_run(proxyd->poison, &request, proxyd_wall(proxyd));
}
