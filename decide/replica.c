/* The table of requests, and its operations for callers and dispatchers. */
#include "replica-int.h"

#include <string.h>

/* How long a renewed incarnation waits for a standby before it opens its record
 * without one. */
#define RENEW_WAIT_MS 200

static void standby_value_free(void *standby)
{
	replica_standby_free(standby);
}

struct replica *replica_create(const char *self,
			       const struct replica_options *options)
{
	struct replica *replica = g_new0(struct replica, 1);

	replica->options = *options;
	g_strlcpy(replica->self, self, sizeof(replica->self));
	replica->reqs = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&replica->active);
	replica->former =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	replica->standby_for = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, standby_value_free);
	g_queue_init(&replica->expiry);
	g_queue_init(&replica->answers);
	return replica;
}

void replica_free(struct replica *replica)
{
	GHashTableIter iter;
	gpointer req;

	g_hash_table_iter_init(&iter, replica->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &req)) {
		replica->options.ops->forget(replica->options.ctx, req);
		req_free(req);
	}
	g_hash_table_destroy(replica->reqs);
	g_queue_clear(&replica->active);
	g_hash_table_destroy(replica->former);
	g_hash_table_destroy(replica->standby_for);
	g_queue_clear(&replica->expiry);
	g_queue_clear(&replica->answers);
	g_free(replica);
}

void replica_activate(struct replica *replica, struct req *req)
{
	if (req->active_link)
		return;
	g_queue_push_tail(&replica->active, req);
	req->active_link = replica->active.tail;
}

void replica_deactivate(struct replica *replica, struct req *req)
{
	if (!req->active_link)
		return;
	g_queue_delete_link(&replica->active, req->active_link);
	req->active_link = NULL;
}

void replica_expire_later(struct replica *replica, struct req *req)
{
	if (req->expires != CLK_NEVER)
		return;
	req->ended_at = replica->now;
	req->expires = replica->now + replica->options.retention;
	g_queue_push_tail(&replica->expiry, req);
	if (req->answer.ended)
		g_queue_push_tail(&replica->answers, req);
}

void replica_run(struct replica *replica, struct req *req)
{
	dec_assert(req->attrs.idempotent || req->phase == REQ_GRANTED,
		   "a call that is not idempotent runs only when granted");
	dec_assert(req->attrs.idempotent || !req->running,
		   "a call that is not idempotent is dispatched once");
	req->running = true;
	req->proved_not_run = false;
	replica->options.ops->run(replica->options.ctx, req);
}

void replica_finish(struct replica *replica, struct req *req,
		    enum err_kind kind, int status)
{
	if (!req_answer_end(req, kind, status))
		return;
	dec_assert(err_answer(kind)->ran != ERR_RAN_NO || !req->running ||
			   req->attrs.idempotent || req->proved_not_run ||
			   !replica_rule(replica, REPLICA_RULE_GRANTED_UNKNOWN),
		   "a dispatched call is not reported as not run");
	if (req->phase == REQ_MOVED)
		replica_progress_send(replica, req, req->acting);
	else
		req->phase = REQ_ENDED;
	req_drop_body(req);
	req->end_acked = false;
	req->next_send = replica->now;
	replica_activate(replica, req);
	replica_expire_later(replica, req);
	replica->options.ops->ended(replica->options.ctx, req);
}

/* Frees expired requests and the bytes of old answers. */
static void expire_tick(struct replica *replica)
{
	struct req *req;

	while ((req = g_queue_peek_head(&replica->answers)) &&
	       replica->now >=
		       req->ended_at + replica->options.answer_retention) {
		g_queue_pop_head(&replica->answers);
		req_drop_answer(req);
	}
	while ((req = g_queue_peek_head(&replica->expiry)) &&
	       clk_passed(req->expires, replica->now)) {
		g_queue_pop_head(&replica->expiry);
		replica_deactivate(replica, req);
		g_hash_table_remove(replica->reqs, req->id);
		replica->options.ops->forget(replica->options.ctx, req);
		req_free(req);
	}
}

/* Runs the due work of one request. */
static void req_tick(struct replica *replica, struct req *req)
{
	bool waiting = req->phase == REQ_NEW || req->phase == REQ_HOLD_SENT ||
		       req->phase == REQ_HELD || req->phase == REQ_GRANT_SENT;

	if (waiting && !req->running &&
	    clk_passed(req->deadline, replica->now)) {
		replica_refuse(replica, req, RW_EDEADLINE, replica->now);
		return;
	}
	if (req->phase == REQ_REVOKING &&
	    clk_passed(req->revoke_deadline, replica->now)) {
		replica_finish(replica, req, RW_EUNKNOWN, 0);
		return;
	}
	replica_hold_tick(replica, req);
}

void replica_tick(struct replica *replica, clk_ms now)
{
	GList *next;
	GList *standbys;
	GHashTableIter iter;
	gpointer standby;

	replica->now = now;
	replica_record_tick(replica);
	/* A tick may remove its own request from the queue, but no other one;
	 * none is freed before expire_tick. */
	for (GList *at = replica->active.head; at; at = next) {
		next = at->next;
		req_tick(replica, at->data);
	}
	g_hash_table_iter_init(&iter, replica->standby_for);
	while (g_hash_table_iter_next(&iter, NULL, &standby))
		if (replica_standby_expired(replica, standby))
			g_hash_table_iter_remove(&iter);
	standbys = g_hash_table_get_values(replica->standby_for);
	for (GList *at = standbys; at; at = at->next)
		replica_standby_tick(replica, at->data);
	g_list_free(standbys);
	expire_tick(replica);
}

void replica_on_msg(struct replica *replica, const struct replica_msg *msg,
		    clk_ms now)
{
	replica->now = now;
	if (strcmp(msg->to, replica->self) != 0)
		return;
	if (msg->kind == REPLICA_ACK)
		replica_hold_on_ack(replica, msg);
	else
		replica_standby_on_msg(replica, msg);
}

void replica_on_record(struct replica *replica, const char *owner,
		       enum record_outcome outcome,
		       const struct replica_record *record, clk_ms now)
{
	struct standby *standby;

	replica->now = now;
	if (!strcmp(owner, replica->self)) {
		replica_record_result(replica, outcome, record);
		return;
	}
	standby = g_hash_table_lookup(replica->standby_for, owner);
	if (standby)
		replica_standby_on_record(replica, standby, outcome, record);
}

void replica_on_dead(struct replica *replica, const char *incarnation,
		     clk_ms now)
{
	struct standby *standby =
		g_hash_table_lookup(replica->standby_for, incarnation);

	replica->now = now;
	if (standby && standby->state == STANDBY_ACTIVE)
		replica_standby_seal(replica, standby);
	replica_on_leaving(replica, incarnation, now);
}

void replica_on_leaving(struct replica *replica, const char *incarnation,
			clk_ms now)
{
	bool current = !strcmp(replica->record.peer, incarnation);

	replica->now = now;
	if (current && replica->state == REPLICA_OPEN)
		replica_standby_change(replica);
	else if (!strcmp(replica->candidate, incarnation) &&
		 replica->state == REPLICA_COPYING)
		replica_standby_change(replica);
	else if (current || !strcmp(replica->candidate, incarnation))
		replica->standby_lost = true;
}

bool replica_is_self(const struct replica *replica, const char *incarnation)
{
	return !strcmp(replica->self, incarnation) ||
	       g_hash_table_contains(replica->former, incarnation);
}

enum replica_authority replica_authority(const struct replica *replica,
					 const char *incarnation)
{
	const struct standby *standby;

	if (!strcmp(incarnation, replica->self))
		return replica->state == REPLICA_DEPOSED ? REPLICA_SEALED
							 : REPLICA_LOCAL;
	standby = g_hash_table_lookup(replica->standby_for, incarnation);
	if (standby && standby->state == STANDBY_SEALED)
		return REPLICA_LOCAL;
	return REPLICA_REMOTE;
}

struct req *replica_find(struct replica *replica, const char *id)
{
	return g_hash_table_lookup(replica->reqs, id);
}

/* Creates a request that this host answers. */
static struct req *req_begin(struct replica *replica, const char *id,
			     const struct rid *rid,
			     const struct req_attrs *attrs, clk_ms deadline)
{
	struct req *req = req_create(id, rid);

	req_attrs_set(req, attrs);
	req->acting = g_strdup(replica->self);
	req->created = replica->now;
	req->deadline = deadline;
	g_hash_table_insert(replica->reqs, req->id, req);
	return req;
}

/* Chooses the error for an unknown id of a sealed primary, which may have
 * accepted it. */
static enum err_kind unknown_id_kind(struct replica *replica,
				     const struct rid *rid,
				     const struct req_attrs *attrs)
{
	bool sealed_here =
		replica_authority(replica, rid->primary) == REPLICA_LOCAL;

	if (!replica_rule(replica, REPLICA_RULE_TWO_SEALS_UNKNOWN))
		sealed_here = true;
	/* Ended idempotent requests are not copied, so an unknown one may have
	 * run. */
	if (!sealed_here || attrs->idempotent)
		return RW_EUNKNOWN;
	return RW_ENOHOME;
}

/* Records that an upstream has capacity for the request. */
static void want_run_set(struct req *req, const char *upstream)
{
	req->want_run = true;
	if (req->attrs.idempotent)
		return; /* replica_attempt sets the upstream */
	req->attempt.grant_no++;
	req_attempt_set(req, upstream, NULL);
}

struct req *replica_submit(struct replica *replica, const char *id,
			   const struct rid *rid, const struct req_attrs *attrs,
			   clk_ms deadline, const char *upstream, void *owner,
			   enum err_kind *kind, clk_ms now)
{
	struct req *req;
	bool own = !strcmp(rid->primary, replica->self);

	replica->now = now;
	dec_assert(!replica_find(replica, id), "an id is submitted once");
	if (own && (replica->state == REPLICA_DEPOSED ||
		    (replica->state == REPLICA_CLOSED && !attrs->idempotent))) {
		*kind = replica->state == REPLICA_DEPOSED ? RW_EUNKNOWN
							  : RW_ENOHOME;
		return NULL;
	}
	req = req_begin(replica, id, rid, attrs, deadline);
	req->owner = owner;
	if (!own && replica_rule(replica, REPLICA_RULE_UNKNOWN_NOT_RUN)) {
		replica_finish(replica, req,
			       unknown_id_kind(replica, rid, attrs), 0);
		return req;
	}
	if (upstream)
		want_run_set(req, upstream);
	replica_activate(replica, req);
	replica_hold_send(replica, req);
	return req;
}

struct req *replica_reject(struct replica *replica, const char *id,
			   const struct rid *rid, const struct req_attrs *attrs,
			   enum err_kind kind, void *owner, clk_ms now)
{
	struct req *req;

	replica->now = now;
	dec_assert(!strcmp(rid->primary, replica->self),
		   "a host rejects only ids of its own incarnation");
	req = req_begin(replica, id, rid, attrs, now);
	req->owner = owner;
	replica_finish(replica, req, kind, 0);
	return req;
}

void replica_want_run(struct replica *replica, struct req *req,
		      const char *upstream, clk_ms now)
{
	replica->now = now;
	if (req->want_run || req->running || req->phase > REQ_HELD)
		return;
	want_run_set(req, upstream);
	if (req->phase != REQ_HELD)
		return;
	if (req->attrs.idempotent)
		replica_run(replica, req);
	else
		replica_hold_send(replica, req);
}

void replica_refuse(struct replica *replica, struct req *req,
		    enum err_kind kind, clk_ms now)
{
	replica->now = now;
	if (req->running || req->phase == REQ_GRANTED ||
	    req->phase >= REQ_REVOKING)
		return;
	if (req->phase == REQ_NEW && !req->inherited) {
		replica_finish(replica, req, kind, 0);
		return;
	}
	if (!replica_rule(replica, REPLICA_RULE_REVOKE_ACK)) {
		replica_finish(replica, req, kind, 0);
		return;
	}
	req->refusal = kind;
	req->phase = REQ_REVOKING;
	req->revoke_deadline = now + replica->options.revoke_timeout;
	req->next_send = now;
	replica_activate(replica, req);
	replica_hold_tick(replica, req);
}

void replica_attempt(struct replica *replica, struct req *req,
		     const char *upstream, const char *stream, clk_ms now)
{
	replica->now = now;
	dec_assert(req->attrs.idempotent ||
			   !g_strcmp0(req->attempt.upstream, upstream),
		   "a call is dispatched to the upstream of its grant");
	req->attempt.count++;
	req_attempt_set(req, upstream, stream);
	req->attempt_reported = false;
	req->next_send = now;
	replica_activate(replica, req);
}

void replica_chunk(struct replica *replica, struct req *req, const char *ptr,
		   size_t len, clk_ms now)
{
	replica->now = now;
	if (req->answer.ended)
		return;
	req_chunk_add(req, ptr, len);
	replica_activate(replica, req);
}

void replica_end(struct replica *replica, struct req *req, enum err_kind kind,
		 int status, clk_ms now)
{
	replica->now = now;
	req->probing = false;
	replica_finish(replica, req, kind, status);
}

void replica_prove_not_run(struct replica *replica, struct req *req, clk_ms now)
{
	replica->now = now;
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
	replica_hold_send(replica, req);
}

int64_t replica_fencing_token(const struct replica *replica,
			      const struct req *req)
{
	const struct standby *standby;

	if (!req->inherited)
		return replica->record.epoch;
	standby = g_hash_table_lookup(replica->standby_for, req->rid.primary);
	if (standby && standby->state == STANDBY_SEALED)
		return standby->record.epoch;
	return 0;
}

void replica_renew(struct replica *replica, const char *self, clk_ms now)
{
	dec_assert(replica->state == REPLICA_DEPOSED,
		   "only a sealed incarnation is renewed");
	replica->now = now;
	g_hash_table_add(replica->former, g_strdup(replica->self));
	g_strlcpy(replica->self, self, sizeof(replica->self));
	memset(&replica->record, 0, sizeof(replica->record));
	replica->candidate[0] = '\0';
	replica->standby_lost = false;
	replica->state = REPLICA_CLOSED;
	replica->next_try = now + RENEW_WAIT_MS;
}

size_t replica_open_count(const struct replica *replica)
{
	size_t count = 0;

	for (GList *at = replica->active.head; at; at = at->next) {
		const struct req *req = at->data;

		count += !req->answer.ended && req->phase != REQ_MOVED;
	}
	return count;
}

size_t replica_standby_count(const struct replica *replica)
{
	size_t count = 0;
	GHashTableIter iter;
	gpointer standby;

	g_hash_table_iter_init(&iter, replica->standby_for);
	while (g_hash_table_iter_next(&iter, NULL, &standby))
		count += ((struct standby *)standby)->state == STANDBY_ACTIVE;
	return count;
}
