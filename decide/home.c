/* Homes: the table of requests and what callers and dispatchers ask of it. */
#include "home-int.h"

#include <string.h>

#define BUSY_RETRY_MS 200 /* before a refused step is tried again */

static void guard_free(void *guard)
{
	home_guard_free(guard);
}

struct home *home_create(const char *self, const struct home_options *options)
{
	struct home *home = g_new0(struct home, 1);

	home->options = *options;
	g_strlcpy(home->self, self, sizeof(home->self));
	home->reqs = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&home->active);
	home->former =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	home->guards = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     guard_free);
	g_queue_init(&home->expiry);
	g_queue_init(&home->answers);
	return home;
}

void home_free(struct home *home)
{
	GHashTableIter iter;
	gpointer req;

	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &req)) {
		home->options.ops->forget(home->options.ctx, req);
		req_free(req);
	}
	g_hash_table_destroy(home->reqs);
	g_queue_clear(&home->active);
	g_hash_table_destroy(home->former);
	g_hash_table_destroy(home->guards);
	g_queue_clear(&home->expiry);
	g_queue_clear(&home->answers);
	g_free(home);
}

void home_activate(struct home *home, struct req *req)
{
	if (req->active)
		return;
	g_queue_push_tail(&home->active, req);
	req->active = home->active.tail;
}

void home_deactivate(struct home *home, struct req *req)
{
	if (!req->active)
		return;
	g_queue_delete_link(&home->active, req->active);
	req->active = NULL;
}

void home_expire_later(struct home *home, struct req *req)
{
	if (req->expires != CLK_NEVER)
		return;
	req->ended_at = home->now;
	req->expires = home->now + home->options.retention;
	g_queue_push_tail(&home->expiry, req);
	if (req->answer.ended)
		g_queue_push_tail(&home->answers, req);
}

void home_run(struct home *home, struct req *req)
{
	dec_assert(req->attrs.idempotent || req->phase == REQ_GRANTED,
		   "a call that may not be repeated runs only when granted");
	dec_assert(req->attrs.idempotent || !req->running,
		   "a call that may not be repeated is dispatched once");
	req->running = true;
	req->proved_not_run = false;
	home->options.ops->run(home->options.ctx, req);
}

void home_finish(struct home *home, struct req *req, enum err_kind kind,
		 int status)
{
	if (!req_answer_end(req, kind, status))
		return;
	dec_assert(err_answer(kind)->ran != ERR_RAN_NO || !req->running ||
			   req->attrs.idempotent || req->proved_not_run ||
			   !home_rule(home, HOME_RULE_GRANTED_UNKNOWN),
		   "not run is not said of a call that was dispatched");
	if (req->phase == REQ_MOVED)
		home_progress_send(home, req, req->acting);
	else
		req->phase = REQ_ENDED;
	req_drop_body(req);
	req->end_acked = false;
	req->next_send = home->now;
	home_activate(home, req);
	home_expire_later(home, req);
	home->options.ops->ended(home->options.ctx, req);
}

/* Frees requests whose time is over, and the bytes of old answers. */
static void expire_tick(struct home *home)
{
	struct req *req;

	while ((req = g_queue_peek_head(&home->answers)) &&
	       home->now >= req->ended_at + home->options.answer_keep) {
		g_queue_pop_head(&home->answers);
		req_drop_answer(req);
	}
	while ((req = g_queue_peek_head(&home->expiry)) &&
	       clk_passed(req->expires, home->now)) {
		g_queue_pop_head(&home->expiry);
		home_deactivate(home, req);
		g_hash_table_remove(home->reqs, req->id);
		home->options.ops->forget(home->options.ctx, req);
		req_free(req);
	}
}

/* Does what is due for one request. */
static void req_tick(struct home *home, struct req *req)
{
	bool waiting = req->phase == REQ_NEW || req->phase == REQ_HOLD_SENT ||
		       req->phase == REQ_HELD || req->phase == REQ_GRANT_SENT;

	if (waiting && !req->running && clk_passed(req->deadline, home->now)) {
		home_refuse(home, req, RW_EDEADLINE, home->now);
		return;
	}
	if (req->phase == REQ_REVOKING && clk_passed(req->give_up, home->now)) {
		home_finish(home, req, RW_EUNKNOWN, 0);
		return;
	}
	home_hold_tick(home, req);
}

void home_tick(struct home *home, clk_ms now)
{
	GList *next;
	GList *guards;
	GHashTableIter iter;
	gpointer guard;

	home->now = now;
	home_record_tick(home);
	/* A request may leave the queue at its own tick, but no other does:
	 * none is freed before expire_tick. */
	for (GList *at = home->active.head; at; at = next) {
		next = at->next;
		req_tick(home, at->data);
	}
	g_hash_table_iter_init(&iter, home->guards);
	while (g_hash_table_iter_next(&iter, NULL, &guard))
		if (home_guard_expired(home, guard))
			g_hash_table_iter_remove(&iter);
	guards = g_hash_table_get_values(home->guards);
	for (GList *at = guards; at; at = at->next)
		home_guard_tick(home, at->data);
	g_list_free(guards);
	expire_tick(home);
}

void home_on_msg(struct home *home, const struct home_msg *msg, clk_ms now)
{
	home->now = now;
	if (strcmp(msg->to, home->self) != 0)
		return;
	if (msg->kind == HOME_VERDICT)
		home_hold_on_verdict(home, msg);
	else
		home_guard_on_msg(home, msg);
}

void home_on_record(struct home *home, const char *owner,
		    enum record_outcome outcome,
		    const struct home_record *record, clk_ms now)
{
	struct guard *guard;

	home->now = now;
	if (!strcmp(owner, home->self)) {
		home_record_on(home, outcome, record);
		return;
	}
	guard = g_hash_table_lookup(home->guards, owner);
	if (guard)
		home_guard_on_record(home, guard, outcome, record);
}

void home_on_lost(struct home *home, const char *incarnation, clk_ms now)
{
	struct guard *guard = g_hash_table_lookup(home->guards, incarnation);

	home->now = now;
	if (guard && guard->state == GUARD_ACTIVE)
		home_guard_seal(home, guard);
	home_on_leaving(home, incarnation, now);
}

void home_on_leaving(struct home *home, const char *incarnation, clk_ms now)
{
	bool named = !strcmp(home->record.peer, incarnation);

	home->now = now;
	if (named && home->state == HOME_OPEN)
		home_change_begin(home);
	else if (!strcmp(home->candidate, incarnation) &&
		 home->state == HOME_COPYING)
		home_change_begin(home);
	else if (named || !strcmp(home->candidate, incarnation))
		home->guardian_lost = true;
}

bool home_is_self(const struct home *home, const char *incarnation)
{
	return !strcmp(home->self, incarnation) ||
	       g_hash_table_contains(home->former, incarnation);
}

enum home_place home_place(const struct home *home, const char *incarnation)
{
	const struct guard *guard;

	if (!strcmp(incarnation, home->self))
		return home->state == HOME_LOST ? HOME_SEALED : HOME_HERE;
	guard = g_hash_table_lookup(home->guards, incarnation);
	if (guard && guard->state == GUARD_SEALED)
		return HOME_HERE;
	return HOME_ELSEWHERE;
}

struct req *home_find(struct home *home, const char *id)
{
	return g_hash_table_lookup(home->reqs, id);
}

/* Creates a request that this host is to answer. */
static struct req *req_begin(struct home *home, const char *id,
			     const struct rid *rid,
			     const struct req_attrs *attrs, clk_ms deadline)
{
	struct req *req = req_create(id, rid);

	req_attrs_set(req, attrs);
	req->acting = g_strdup(home->self);
	req->created = home->now;
	req->deadline = deadline;
	g_hash_table_insert(home->reqs, req->id, req);
	return req;
}

/* What is said of an id that its sealed home may or may not have had. */
static enum err_kind unseen_kind(struct home *home, const struct rid *rid,
				 const struct req_attrs *attrs)
{
	bool first_hand = home_place(home, rid->home) == HOME_HERE;

	if (!home_rule(home, HOME_RULE_TWO_SEALS_UNKNOWN))
		first_hand = true;
	/* Ended idempotent requests are not copied: they may have run. */
	if (!first_hand || attrs->idempotent)
		return RW_EUNKNOWN;
	return RW_ENOHOME;
}

/* Notes that an upstream has room. */
static void want_run_at(struct req *req, const char *upstream)
{
	req->want_run = true;
	if (req->attrs.idempotent)
		return; /* home_attempt names the upstream */
	req->attempt.grant_no++;
	req_attempt_set(req, upstream, NULL);
}

struct req *home_submit(struct home *home, const char *id,
			const struct rid *rid, const struct req_attrs *attrs,
			clk_ms deadline, const char *upstream, void *owner,
			enum err_kind *kind, clk_ms now)
{
	struct req *req;
	bool own = !strcmp(rid->home, home->self);

	home->now = now;
	dec_assert(!home_find(home, id), "an id is submitted once");
	if (own && (home->state == HOME_LOST ||
		    (home->state == HOME_CLOSED && !attrs->idempotent))) {
		*kind = home->state == HOME_LOST ? RW_EUNKNOWN : RW_ENOHOME;
		return NULL;
	}
	req = req_begin(home, id, rid, attrs, deadline);
	req->owner = owner;
	if (!own && home_rule(home, HOME_RULE_UNSEEN_NOT_RUN)) {
		home_finish(home, req, unseen_kind(home, rid, attrs), 0);
		return req;
	}
	if (upstream)
		want_run_at(req, upstream);
	home_activate(home, req);
	home_hold_send(home, req);
	return req;
}

struct req *home_reject(struct home *home, const char *id,
			const struct rid *rid, const struct req_attrs *attrs,
			enum err_kind kind, void *owner, clk_ms now)
{
	struct req *req;

	home->now = now;
	dec_assert(!strcmp(rid->home, home->self),
		   "a host refuses only its own ids without a trace");
	req = req_begin(home, id, rid, attrs, now);
	req->owner = owner;
	home_finish(home, req, kind, 0);
	return req;
}

void home_want_run(struct home *home, struct req *req, const char *upstream,
		   clk_ms now)
{
	home->now = now;
	if (req->want_run || req->running || req->phase > REQ_HELD)
		return;
	want_run_at(req, upstream);
	if (req->phase != REQ_HELD)
		return;
	if (req->attrs.idempotent)
		home_run(home, req);
	else
		home_hold_send(home, req);
}

void home_refuse(struct home *home, struct req *req, enum err_kind kind,
		 clk_ms now)
{
	home->now = now;
	if (req->running || req->phase == REQ_GRANTED ||
	    req->phase >= REQ_REVOKING)
		return;
	if (req->phase == REQ_NEW && !req->inherited) {
		home_finish(home, req, kind, 0);
		return;
	}
	if (!home_rule(home, HOME_RULE_REVOKE_ACK)) {
		home_finish(home, req, kind, 0);
		return;
	}
	req->refusal = kind;
	req->phase = REQ_REVOKING;
	req->give_up = now + home->options.revoke_wait;
	req->next_send = now;
	home_activate(home, req);
	home_hold_tick(home, req);
}

void home_attempt(struct home *home, struct req *req, const char *upstream,
		  const char *stream, clk_ms now)
{
	home->now = now;
	dec_assert(req->attrs.idempotent ||
			   !g_strcmp0(req->attempt.upstream, upstream),
		   "a call goes to the upstream that its grant names");
	req->attempt.count++;
	req_attempt_set(req, upstream, stream);
	req->attempt_told = false;
	req->next_send = now;
	home_activate(home, req);
}

void home_piece(struct home *home, struct req *req, const char *ptr, size_t len,
		clk_ms now)
{
	home->now = now;
	if (req->answer.ended)
		return;
	req_piece_add(req, ptr, len);
	home_activate(home, req);
}

void home_end(struct home *home, struct req *req, enum err_kind kind,
	      int status, clk_ms now)
{
	home->now = now;
	req->probing = false;
	home_finish(home, req, kind, status);
}

void home_prove_not_run(struct home *home, struct req *req, clk_ms now)
{
	home->now = now;
	if (req->answer.ended || req->phase != REQ_GRANTED)
		return;
	req->proved_not_run = true;
	req->running = false;
	req->want_run = false;
	if (!req->probing) {
		req->phase = REQ_HELD;
		return;
	}
	req->probing = false;
	req->phase = REQ_NEW;
	req->accepted = false;
	home_hold_send(home, req);
}

int64_t home_fence(const struct home *home, const struct req *req)
{
	const struct guard *guard;

	if (!req->inherited)
		return home->record.epoch;
	guard = g_hash_table_lookup(home->guards, req->rid.home);
	if (guard && guard->state == GUARD_SEALED)
		return guard->record.epoch;
	return 0;
}

void home_renew(struct home *home, const char *self, clk_ms now)
{
	dec_assert(home->state == HOME_LOST,
		   "a home takes a new incarnation only when it was lost");
	home->now = now;
	g_hash_table_add(home->former, g_strdup(home->self));
	g_strlcpy(home->self, self, sizeof(home->self));
	memset(&home->record, 0, sizeof(home->record));
	home->candidate[0] = '\0';
	home->guardian_lost = false;
	home->state = HOME_CLOSED;
	home->next_try = now + BUSY_RETRY_MS;
}

size_t home_open_count(const struct home *home)
{
	size_t count = 0;

	for (GList *at = home->active.head; at; at = at->next) {
		const struct req *req = at->data;

		count += !req->answer.ended && req->phase != REQ_MOVED;
	}
	return count;
}

size_t home_guarded_count(const struct home *home)
{
	size_t count = 0;
	GHashTableIter iter;
	gpointer guard;

	g_hash_table_iter_init(&iter, home->guards);
	while (g_hash_table_iter_next(&iter, NULL, &guard))
		count += ((struct guard *)guard)->state == GUARD_ACTIVE;
	return count;
}
