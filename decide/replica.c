/* Homes: the table of requests and what callers and dispatchers ask of it. */
#include "replica-int.h"

#include <string.h>

#define BUSY_RETRY_MS 200 /* before a refused step is tried again */

static void guard_free(void *guard)
{
	replica_standby_free(guard);
}

struct replica *replica_create(const char *self,
			       const struct replica_options *options)
{
	struct replica *home = g_new0(struct replica, 1);

	home->options = *options;
	g_strlcpy(home->self, self, sizeof(home->self));
	home->reqs = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&home->active);
	home->former =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	home->standby_for = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  guard_free);
	g_queue_init(&home->expiry);
	g_queue_init(&home->answers);
	return home;
}

void replica_free(struct replica *home)
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
	g_hash_table_destroy(home->standby_for);
	g_queue_clear(&home->expiry);
	g_queue_clear(&home->answers);
	g_free(home);
}

void replica_activate(struct replica *home, struct req *req)
{
	if (req->active_link)
		return;
	g_queue_push_tail(&home->active, req);
	req->active_link = home->active.tail;
}

void replica_deactivate(struct replica *home, struct req *req)
{
	if (!req->active_link)
		return;
	g_queue_delete_link(&home->active, req->active_link);
	req->active_link = NULL;
}

void replica_expire_later(struct replica *home, struct req *req)
{
	if (req->expires != CLK_NEVER)
		return;
	req->ended_at = home->now;
	req->expires = home->now + home->options.retention;
	g_queue_push_tail(&home->expiry, req);
	if (req->answer.ended)
		g_queue_push_tail(&home->answers, req);
}

void replica_run(struct replica *home, struct req *req)
{
	dec_assert(req->attrs.idempotent || req->phase == REQ_GRANTED,
		   "a call that may not be repeated runs only when granted");
	dec_assert(req->attrs.idempotent || !req->running,
		   "a call that may not be repeated is dispatched once");
	req->running = true;
	req->proved_not_run = false;
	home->options.ops->run(home->options.ctx, req);
}

void replica_finish(struct replica *home, struct req *req, enum err_kind kind,
		    int status)
{
	if (!req_answer_end(req, kind, status))
		return;
	dec_assert(err_answer(kind)->ran != ERR_RAN_NO || !req->running ||
			   req->attrs.idempotent || req->proved_not_run ||
			   !replica_rule(home, REPLICA_RULE_GRANTED_UNKNOWN),
		   "not run is not said of a call that was dispatched");
	if (req->phase == REQ_MOVED)
		replica_progress_send(home, req, req->acting);
	else
		req->phase = REQ_ENDED;
	req_drop_body(req);
	req->end_acked = false;
	req->next_send = home->now;
	replica_activate(home, req);
	replica_expire_later(home, req);
	home->options.ops->ended(home->options.ctx, req);
}

/* Frees requests whose time is over, and the bytes of old answers. */
static void expire_tick(struct replica *home)
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
		replica_deactivate(home, req);
		g_hash_table_remove(home->reqs, req->id);
		home->options.ops->forget(home->options.ctx, req);
		req_free(req);
	}
}

/* Does what is due for one request. */
static void req_tick(struct replica *home, struct req *req)
{
	bool waiting = req->phase == REQ_NEW || req->phase == REQ_HOLD_SENT ||
		       req->phase == REQ_HELD || req->phase == REQ_GRANT_SENT;

	if (waiting && !req->running && clk_passed(req->deadline, home->now)) {
		replica_refuse(home, req, RW_EDEADLINE, home->now);
		return;
	}
	if (req->phase == REQ_REVOKING &&
	    clk_passed(req->revoke_deadline, home->now)) {
		replica_finish(home, req, RW_EUNKNOWN, 0);
		return;
	}
	replica_hold_tick(home, req);
}

void replica_tick(struct replica *home, clk_ms now)
{
	GList *next;
	GList *guards;
	GHashTableIter iter;
	gpointer guard;

	home->now = now;
	replica_record_tick(home);
	/* A request may leave the queue at its own tick, but no other does:
	 * none is freed before expire_tick. */
	for (GList *at = home->active.head; at; at = next) {
		next = at->next;
		req_tick(home, at->data);
	}
	g_hash_table_iter_init(&iter, home->standby_for);
	while (g_hash_table_iter_next(&iter, NULL, &guard))
		if (replica_standby_expired(home, guard))
			g_hash_table_iter_remove(&iter);
	guards = g_hash_table_get_values(home->standby_for);
	for (GList *at = guards; at; at = at->next)
		replica_standby_tick(home, at->data);
	g_list_free(guards);
	expire_tick(home);
}

void replica_on_msg(struct replica *home, const struct replica_msg *msg,
		    clk_ms now)
{
	home->now = now;
	if (strcmp(msg->to, home->self) != 0)
		return;
	if (msg->kind == REPLICA_ACK)
		replica_hold_on_ack(home, msg);
	else
		replica_standby_on_msg(home, msg);
}

void replica_on_record(struct replica *home, const char *owner,
		       enum record_outcome outcome,
		       const struct replica_record *record, clk_ms now)
{
	struct standby *guard;

	home->now = now;
	if (!strcmp(owner, home->self)) {
		replica_record_result(home, outcome, record);
		return;
	}
	guard = g_hash_table_lookup(home->standby_for, owner);
	if (guard)
		replica_standby_on_record(home, guard, outcome, record);
}

void replica_on_dead(struct replica *home, const char *incarnation, clk_ms now)
{
	struct standby *guard =
		g_hash_table_lookup(home->standby_for, incarnation);

	home->now = now;
	if (guard && guard->state == STANDBY_ACTIVE)
		replica_standby_seal(home, guard);
	replica_on_leaving(home, incarnation, now);
}

void replica_on_leaving(struct replica *home, const char *incarnation,
			clk_ms now)
{
	bool named = !strcmp(home->record.peer, incarnation);

	home->now = now;
	if (named && home->state == REPLICA_OPEN)
		replica_standby_change(home);
	else if (!strcmp(home->candidate, incarnation) &&
		 home->state == REPLICA_COPYING)
		replica_standby_change(home);
	else if (named || !strcmp(home->candidate, incarnation))
		home->standby_lost = true;
}

bool replica_is_self(const struct replica *home, const char *incarnation)
{
	return !strcmp(home->self, incarnation) ||
	       g_hash_table_contains(home->former, incarnation);
}

enum replica_authority replica_authority(const struct replica *home,
					 const char *incarnation)
{
	const struct standby *guard;

	if (!strcmp(incarnation, home->self))
		return home->state == REPLICA_DEPOSED ? REPLICA_SEALED
						      : REPLICA_LOCAL;
	guard = g_hash_table_lookup(home->standby_for, incarnation);
	if (guard && guard->state == STANDBY_SEALED)
		return REPLICA_LOCAL;
	return REPLICA_REMOTE;
}

struct req *replica_find(struct replica *home, const char *id)
{
	return g_hash_table_lookup(home->reqs, id);
}

/* Creates a request that this host is to answer. */
static struct req *req_begin(struct replica *home, const char *id,
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
static enum err_kind unseen_kind(struct replica *home, const struct rid *rid,
				 const struct req_attrs *attrs)
{
	bool first_hand =
		replica_authority(home, rid->primary) == REPLICA_LOCAL;

	if (!replica_rule(home, REPLICA_RULE_TWO_SEALS_UNKNOWN))
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
		return; /* replica_attempt names the upstream */
	req->attempt.grant_no++;
	req_attempt_set(req, upstream, NULL);
}

struct req *replica_submit(struct replica *home, const char *id,
			   const struct rid *rid, const struct req_attrs *attrs,
			   clk_ms deadline, const char *upstream, void *owner,
			   enum err_kind *kind, clk_ms now)
{
	struct req *req;
	bool own = !strcmp(rid->primary, home->self);

	home->now = now;
	dec_assert(!replica_find(home, id), "an id is submitted once");
	if (own && (home->state == REPLICA_DEPOSED ||
		    (home->state == REPLICA_CLOSED && !attrs->idempotent))) {
		*kind = home->state == REPLICA_DEPOSED ? RW_EUNKNOWN
						       : RW_ENOHOME;
		return NULL;
	}
	req = req_begin(home, id, rid, attrs, deadline);
	req->owner = owner;
	if (!own && replica_rule(home, REPLICA_RULE_UNKNOWN_NOT_RUN)) {
		replica_finish(home, req, unseen_kind(home, rid, attrs), 0);
		return req;
	}
	if (upstream)
		want_run_at(req, upstream);
	replica_activate(home, req);
	replica_hold_send(home, req);
	return req;
}

struct req *replica_reject(struct replica *home, const char *id,
			   const struct rid *rid, const struct req_attrs *attrs,
			   enum err_kind kind, void *owner, clk_ms now)
{
	struct req *req;

	home->now = now;
	dec_assert(!strcmp(rid->primary, home->self),
		   "a host refuses only its own ids without a trace");
	req = req_begin(home, id, rid, attrs, now);
	req->owner = owner;
	replica_finish(home, req, kind, 0);
	return req;
}

void replica_want_run(struct replica *home, struct req *req,
		      const char *upstream, clk_ms now)
{
	home->now = now;
	if (req->want_run || req->running || req->phase > REQ_HELD)
		return;
	want_run_at(req, upstream);
	if (req->phase != REQ_HELD)
		return;
	if (req->attrs.idempotent)
		replica_run(home, req);
	else
		replica_hold_send(home, req);
}

void replica_refuse(struct replica *home, struct req *req, enum err_kind kind,
		    clk_ms now)
{
	home->now = now;
	if (req->running || req->phase == REQ_GRANTED ||
	    req->phase >= REQ_REVOKING)
		return;
	if (req->phase == REQ_NEW && !req->inherited) {
		replica_finish(home, req, kind, 0);
		return;
	}
	if (!replica_rule(home, REPLICA_RULE_REVOKE_ACK)) {
		replica_finish(home, req, kind, 0);
		return;
	}
	req->refusal = kind;
	req->phase = REQ_REVOKING;
	req->revoke_deadline = now + home->options.revoke_wait;
	req->next_send = now;
	replica_activate(home, req);
	replica_hold_tick(home, req);
}

void replica_attempt(struct replica *home, struct req *req,
		     const char *upstream, const char *stream, clk_ms now)
{
	home->now = now;
	dec_assert(req->attrs.idempotent ||
			   !g_strcmp0(req->attempt.upstream, upstream),
		   "a call goes to the upstream that its grant names");
	req->attempt.count++;
	req_attempt_set(req, upstream, stream);
	req->attempt_reported = false;
	req->next_send = now;
	replica_activate(home, req);
}

void replica_chunk(struct replica *home, struct req *req, const char *ptr,
		   size_t len, clk_ms now)
{
	home->now = now;
	if (req->answer.ended)
		return;
	req_chunk_add(req, ptr, len);
	replica_activate(home, req);
}

void replica_end(struct replica *home, struct req *req, enum err_kind kind,
		 int status, clk_ms now)
{
	home->now = now;
	req->probing = false;
	replica_finish(home, req, kind, status);
}

void replica_prove_not_run(struct replica *home, struct req *req, clk_ms now)
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
	replica_hold_send(home, req);
}

int64_t replica_fencing_token(const struct replica *home, const struct req *req)
{
	const struct standby *guard;

	if (!req->inherited)
		return home->record.epoch;
	guard = g_hash_table_lookup(home->standby_for, req->rid.primary);
	if (guard && guard->state == STANDBY_SEALED)
		return guard->record.epoch;
	return 0;
}

void replica_renew(struct replica *home, const char *self, clk_ms now)
{
	dec_assert(home->state == REPLICA_DEPOSED,
		   "a home takes a new incarnation only when it was lost");
	home->now = now;
	g_hash_table_add(home->former, g_strdup(home->self));
	g_strlcpy(home->self, self, sizeof(home->self));
	memset(&home->record, 0, sizeof(home->record));
	home->candidate[0] = '\0';
	home->standby_lost = false;
	home->state = REPLICA_CLOSED;
	home->next_try = now + BUSY_RETRY_MS;
}

size_t replica_open_count(const struct replica *home)
{
	size_t count = 0;

	for (GList *at = home->active.head; at; at = at->next) {
		const struct req *req = at->data;

		count += !req->answer.ended && req->phase != REQ_MOVED;
	}
	return count;
}

size_t replica_standby_count(const struct replica *home)
{
	size_t count = 0;
	GHashTableIter iter;
	gpointer guard;

	g_hash_table_iter_init(&iter, home->standby_for);
	while (g_hash_table_iter_next(&iter, NULL, &guard))
		count += ((struct standby *)guard)->state == STANDBY_ACTIVE;
	return count;
}
