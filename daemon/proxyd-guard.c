/*
 * Prompt parts that crash workers: collects the evidence from attempts and from
 * other hosts, and ends requests with such parts (decide/poison.h).
 *
 * Evidence travels as notices, "crash/PART/REQUEST" and "run/PART", stamped
 * with the wall clock. A crash is broadcast, as the next one may follow at
 * once, and the run that releases a part; other runs are only gossiped.
 */
#include "proxyd-xfer.h"

#include <openssl/evp.h>
#include <stdio.h>
#include <string.h>

#define CRASH_SUBJECT "crash/%016" G_GINT64_MODIFIER "x/%08x"
#define RUN_SUBJECT "run/%016" G_GINT64_MODIFIER "x"
#define BROADCAST_GAP_MS 300 /* between two broadcasts of crashes */

static void op_crashed(void *ctx, uint64_t part, uint32_t crash, clk_ms at)
{
	struct proxyd *proxyd = ctx;
	struct member_notice notice = { .set = true, .stamp = (uint64_t)at };

	g_snprintf(notice.subject, sizeof(notice.subject), CRASH_SUBJECT, part,
		   crash);
	slog(SLOG_NOTICE, "poison",
	     "part=%" G_GINT64_MODIFIER "x crash=%08x outcome=suspected", part,
	     crash);
	g_array_append_val(proxyd->urgent_notices, notice);
	member_on_notice(proxyd->members, &notice);
}

static void op_harmless(void *ctx, uint64_t part, clk_ms at, bool blocked)
{
	struct proxyd *proxyd = ctx;
	struct member_notice notice = { .set = true, .stamp = (uint64_t)at };

	g_snprintf(notice.subject, sizeof(notice.subject), RUN_SUBJECT, part);
	slog(SLOG_NOTICE, "poison",
	     "part=%" G_GINT64_MODIFIER "x blocked=%d outcome=harmless", part,
	     blocked);
	if (blocked)
		g_array_append_val(proxyd->urgent_notices, notice);
	member_on_notice(proxyd->members, &notice);
}

/* Ends the attempts with a part that is blocked now and that may still crash
 * their workers. */
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
		xfer_give_up_prompt(xfer);
	}
	g_ptr_array_free(ended, TRUE);
}

static void op_changed(void *ctx, uint64_t part, bool blocked)
{
	struct proxyd *proxyd = ctx;

	slog(SLOG_WARN, "poison", "part=%" G_GINT64_MODIFIER "x outcome=%s",
	     part, blocked ? "blocked" : "released");
	if (blocked)
		attempts_end(proxyd);
}

static void op_dropped(void *ctx, uint64_t part, uint32_t crash)
{
	struct proxyd *proxyd = ctx;
	char subject[MEMBER_SUBJECT_MAX];

	g_snprintf(subject, sizeof(subject), CRASH_SUBJECT, part, crash);
	member_forget_notice(proxyd->members, subject);
}

static void op_forgotten(void *ctx, uint64_t part)
{
	struct proxyd *proxyd = ctx;
	char subject[MEMBER_SUBJECT_MAX];

	g_snprintf(subject, sizeof(subject), RUN_SUBJECT, part);
	member_forget_notice(proxyd->members, subject);
}

static bool op_tries(void *ctx, uint64_t part)
{
	struct proxyd *proxyd = ctx;
	char subject[MEMBER_SUBJECT_MAX];

	g_snprintf(subject, sizeof(subject), RUN_SUBJECT, part);
	return member_self_in_top(proxyd->members, subject, 1);
}

void guard_start(struct proxyd *proxyd)
{
	static const struct poison_ops ops = {
		.crashed = op_crashed,
		.harmless = op_harmless,
		.changed = op_changed,
		.dropped = op_dropped,
		.forgotten = op_forgotten,
		.tries = op_tries,
	};

	proxyd->poison = poison_create(&ops, proxyd);
	proxyd->urgent_notices =
		g_array_new(FALSE, FALSE, sizeof(struct member_notice));
}

void guard_tick(struct proxyd *proxyd)
{
	GArray *notices = proxyd->urgent_notices;
	clk_ms now = proxyd_now(proxyd);
	guint count = MIN(notices->len, MEMBER_NOTICES_MAX);

	poison_tick(proxyd->poison, proxyd_wall(proxyd));
	if (count == 0 || now < proxyd->next_urgent_notices)
		return;
	proxyd->next_urgent_notices = now + BROADCAST_GAP_MS;
	member_broadcast(proxyd->members,
			 (const struct member_notice *)notices->data, count);
	g_array_remove_range(notices, 0, count);
}

void guard_on_notice(struct proxyd *proxyd, const struct member_notice *notice)
{
	clk_ms at = (clk_ms)notice->stamp;
	clk_ms now = proxyd_wall(proxyd);
	uint64_t part;
	unsigned crash;

	if (sscanf(notice->subject, "crash/%" G_GINT64_MODIFIER "x/%x", &part,
		   &crash) == 2) {
		if (!poison_add_crash(proxyd->poison, part, crash, at, now))
			member_forget_notice(proxyd->members, notice->subject);
	} else if (sscanf(notice->subject, "run/%" G_GINT64_MODIFIER "x",
			  &part) == 1) {
		if (!poison_add_run(proxyd->poison, part, at, now))
			member_forget_notice(proxyd->members, notice->subject);
	}
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

/* The parts of a request's prompt that other requests may share: the last one
 * is its own, or its session's. */
static size_t shared_parts(const struct xfer *xfer)
{
	size_t count = xfer->fleet_request.part_count;

	return count > 0 ? count - 1 : 0;
}

bool guard_admits(struct proxyd *proxyd, const struct fleet_part *parts,
		  size_t count)
{
	return poison_admits(proxyd->poison, parts, count, proxyd_wall(proxyd));
}

bool guard_blocks(const struct xfer *xfer)
{
	return !xfer->proved &&
	       poison_blocks(xfer->proxyd->poison, xfer->fleet_request.parts,
			     shared_parts(xfer));
}

void guard_on_cut(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;

	if (!xfer->pool->engine || !xfer->sent_at || xfer->proved)
		return;
	poison_on_crash(proxyd->poison,
			&(struct poison_loss){
				.parts = xfer->fleet_request.parts,
				.count = shared_parts(xfer),
				.worker = xfer->worker->key,
				.request = xfer,
				.crash = g_rand_int(proxyd->rand),
			},
			proxyd_wall(proxyd));
}

void guard_on_output(struct xfer *xfer, bool complete)
{
	struct proxyd *proxyd = xfer->proxyd;
	clk_ms age = proxyd_now(proxyd) - xfer->output_at;

	if (!xfer->pool->engine || xfer->proved ||
	    (!complete && age < POISON_PROOF_MS))
		return;
	xfer->proved = true;
	poison_on_run(proxyd->poison, xfer->fleet_request.parts,
		      shared_parts(xfer), proxyd_wall(proxyd));
}
