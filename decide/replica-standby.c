/* A guardian's side: holding for another home, sealing, taking over. */
#include "replica-int.h"

#include <string.h>

#define SEAL_READS_MAX 8 /* a swap may be late: its record is read again */

static void req_free_value(void *req)
{
	req_free(req);
}

/* Finds the guard of a home, or creates it. */
static struct standby *guard_get(struct replica *home, const char *owner)
{
	struct standby *guard = g_hash_table_lookup(home->standby_for, owner);

	if (guard)
		return guard;
	guard = g_new0(struct standby, 1);
	guard->primary = g_strdup(owner);
	guard->reqs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    req_free_value);
	g_hash_table_insert(home->standby_for, guard->primary, guard);
	return guard;
}

void replica_standby_free(struct standby *guard)
{
	g_hash_table_destroy(guard->reqs);
	g_free(guard->primary);
	g_free(guard);
}

/* Answers a home what is kept of one of its requests. */
static void verdict_send(struct replica *home, const struct replica_msg *msg,
			 enum replica_ack verdict, const struct req *req)
{
	struct replica_msg answer = {
		.kind = REPLICA_ACK,
		.from = home->self,
		.to = msg->from,
		.primary = msg->primary,
		.epoch = msg->epoch,
		.id = msg->id,
		.ack = verdict,
		.grant_no = req ? req->attempt.grant_no : 0,
		.acked = req ? req_chunk_count(req) : 0,
		.end_acked = req && req->answer.ended,
	};

	home->options.ops->send(home->options.ctx, &answer);
}

/* Adds a request of a guarded home. */
static struct req *guarded_add(struct replica *home, struct standby *guard,
			       const struct replica_msg *msg)
{
	struct rid rid;
	struct req *req;

	if (!rid_parse(msg->id, strlen(msg->id), &rid))
		return NULL;
	req = req_create(msg->id, &rid);
	req->standby_copy = true;
	req->accepted = true;
	req->acting = g_strdup(guard->primary);
	req->created = home->now;
	req->phase = REQ_HELD;
	g_hash_table_insert(guard->reqs, req->id, req);
	return req;
}

/* Tells whether a guarded request was given up: its tombstone. */
static bool is_tombstone(const struct req *req)
{
	return req->answer.ended && req_ran(req) == ERR_RAN_NO;
}

/* What the guardian says of a request as it stands. */
static enum replica_ack verdict_of(const struct req *req)
{
	if (is_tombstone(req))
		return ACK_REVOKED;
	return req->phase == REQ_GRANTED ? ACK_GRANTED : ACK_HELD;
}

/* Grants the dispatch at one upstream; a later grant replaces it. */
static void grant(struct req *req, const struct replica_msg *msg)
{
	if (msg->grant_no < req->attempt.grant_no)
		return;
	req->phase = REQ_GRANTED;
	req->attempt.grant_no = msg->grant_no;
	req_attempt_set(req, msg->upstream, NULL);
}

/* Keeps a request, and grants it if that is asked for. */
static void on_hold(struct replica *home, struct standby *guard,
		    const struct replica_msg *msg)
{
	struct req *req = g_hash_table_lookup(guard->reqs, msg->id);

	if (!req) {
		req = guarded_add(home, guard, msg);
		if (!req || !msg->attrs)
			return;
		req_attrs_set(req, msg->attrs);
		req->deadline = msg->time_left == CLK_NEVER
					? CLK_NEVER
					: home->now + msg->time_left;
		if (req->deadline != CLK_NEVER)
			req->expires = req->deadline + home->options.retention;
	}
	req->epoch = MAX(req->epoch, msg->epoch);
	if (!is_tombstone(req) && (msg->want_grant || msg->granted))
		grant(req, msg);
	verdict_send(home, msg, verdict_of(req), req);
}

/* Adds the pieces and the end that are new. */
static void progress_take(struct req *req, const struct replica_msg *msg)
{
	size_t have = req_chunk_count(req);

	if (msg->upstream && req->attrs.idempotent)
		req_attempt_set(req, msg->upstream, msg->stream);
	if (msg->first > have || req->answer.ended)
		return;
	for (size_t n = have - msg->first; n < msg->count; n++) {
		size_t len;
		const char *ptr = req_chunk(
			msg->chunks, msg->first + n - msg->chunks_base, &len);

		req_chunk_add(req, ptr, len);
	}
	if (msg->ended) {
		req_answer_end(req, msg->end_kind, msg->end_status);
		req_drop_body(req);
	}
}

static void on_progress(struct replica *home, struct standby *guard,
			const struct replica_msg *msg)
{
	struct req *req = g_hash_table_lookup(guard->reqs, msg->id);

	if (!req) {
		verdict_send(home, msg, ACK_UNKNOWN, NULL);
		return;
	}
	progress_take(req, msg);
	if (req->answer.ended && req->expires == CLK_NEVER)
		req->expires = home->now + home->options.retention;
	verdict_send(home, msg, verdict_of(req), req);
}

/* Writes a tombstone: the request will not run by this host's doing. */
static void on_revoke(struct replica *home, struct standby *guard,
		      const struct replica_msg *msg)
{
	struct req *req = g_hash_table_lookup(guard->reqs, msg->id);

	if (!req)
		req = guarded_add(home, guard, msg);
	if (!req)
		return;
	req->epoch = MAX(req->epoch, msg->epoch);
	req_answer_end(req, RW_EDEADLINE, 0);
	req_drop_body(req);
	if (req->expires == CLK_NEVER)
		req->expires = home->now + home->options.retention;
	verdict_send(home, msg, verdict_of(req), req);
}

/* Late progress of a home that was taken over: better than unknown. */
static void on_late_progress(struct replica *home,
			     const struct replica_msg *msg)
{
	struct req *req = g_hash_table_lookup(home->reqs, msg->id);

	if (!req || req->attrs.idempotent || !msg->ended || req->running ||
	    msg->first > req_chunk_count(req) ||
	    err_answer(msg->end_kind)->ran != ERR_RAN_YES)
		return;
	if (req->answer.ended && req_ran(req) != ERR_RAN_UNKNOWN)
		return;
	if (!req->answer.ended)
		progress_take(req, msg);
	replica_finish(home, req, msg->end_kind, msg->end_status);
}

/* Notes that the home is at a later guardianship. What was held before stays:
 * if this host was the guardian, it still is until the record says so. */
static void guard_epoch(struct standby *guard, int64_t epoch)
{
	if (epoch <= guard->epoch)
		return;
	guard->epoch = epoch;
	if (guard->state == STANDBY_RETIRED)
		guard->state = STANDBY_ACTIVE;
	guard->reads = 0;
}

/* Forgets what was held under a guardianship before an epoch. */
static void guard_drop_older(struct standby *guard, int64_t epoch)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, guard->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct req *)value)->epoch < epoch)
			g_hash_table_iter_remove(&iter);
}

/* The home is guarded by another host from an epoch on. */
static void guard_release(struct replica *home, struct standby *guard,
			  int64_t epoch)
{
	if (guard->epoch >= epoch)
		return; /* it has come back to this host since */
	guard->state = STANDBY_RETIRED;
	guard->epoch = epoch;
	guard->closed_at = home->now;
	guard_drop_older(guard, epoch);
}

void replica_standby_on_msg(struct replica *home, const struct replica_msg *msg)
{
	struct standby *guard = guard_get(home, msg->primary);

	if (guard->state == STANDBY_SEALED) {
		if (msg->kind == REPLICA_PROGRESS)
			on_late_progress(home, msg);
		verdict_send(home, msg, ACK_SEALED, NULL);
		return;
	}
	if (guard->state == STANDBY_SEALING &&
	    (replica_rule(home, REPLICA_RULE_NO_GRANT_SEALING) ||
	     msg->kind != REPLICA_HOLD))
		return;
	if (msg->kind == REPLICA_RELEASE) {
		guard_release(home, guard, msg->epoch);
		return;
	}
	guard_epoch(guard, msg->epoch);
	if (msg->epoch != guard->epoch || guard->state == STANDBY_RETIRED)
		return;
	switch (msg->kind) {
	case REPLICA_HOLD:
		on_hold(home, guard, msg);
		break;
	case REPLICA_PROGRESS:
		on_progress(home, guard, msg);
		break;
	case REPLICA_REVOKE:
		on_revoke(home, guard, msg);
		break;
	case REPLICA_RETIRE:
		replica_standby_seal(home, guard);
		break;
	default:
		break;
	}
}

/* Makes a guarded request this host's own to answer. */
static void req_inherit(struct replica *home, struct req *req)
{
	req->standby_copy = false;
	req->inherited = true;
	req->hold_sent = true;
	req->acked = 0;
	req->end_acked = false;
	req->replicated = false;
	req->next_send = home->now;
	g_free(req->acting);
	req->acting = g_strdup(home->self);
	g_hash_table_insert(home->reqs, req->id, req);
}

/* Takes over one request by what is known of it. */
static void req_take_over(struct replica *home, struct req *req)
{
	bool granted = req->phase == REQ_GRANTED;

	req_inherit(home, req);
	req->expires = CLK_NEVER;
	if (req->answer.ended) {
		req->phase = REQ_ENDED;
		replica_expire_later(home, req);
		replica_activate(home, req);
		return;
	}
	replica_activate(home, req);
	if (!granted) {
		/* Held, never granted: nobody has dispatched it. */
		req->phase = REQ_NEW;
		req->accepted = false;
		replica_hold_send(home, req);
		return;
	}
	req->phase = REQ_GRANTED;
	req->probing = true;
	home->options.ops->probe(home->options.ctx, req);
}

/* Moves requests out of a guard: all, or only the idempotent ones. */
static void guard_take_over(struct replica *home, struct standby *guard,
			    bool idempotent_only)
{
	GList *reqs = g_hash_table_get_values(guard->reqs);

	for (GList *at = reqs; at; at = at->next) {
		struct req *req = at->data;

		if (idempotent_only && !req->attrs.idempotent)
			continue;
		g_hash_table_steal(guard->reqs, req->id);
		if (replica_find(home, req->id))
			req_free(req);
		else
			req_take_over(home, req);
	}
	g_list_free(reqs);
}

void replica_standby_seal(struct replica *home, struct standby *guard)
{
	guard->state = STANDBY_SEALING;
	guard->record.state = RECORD_NONE;
	guard->tries = 0;
	guard->next_try = home->now;
	/* What may be repeated needs no seal. */
	guard_take_over(home, guard, true);
	replica_standby_tick(home, guard);
}

/* The record is sealed by this host: it speaks for the home's ids. */
static void guard_sealed(struct replica *home, struct standby *guard)
{
	guard->state = STANDBY_SEALED;
	guard->closed_at = home->now;
	guard_take_over(home, guard, false);
}

void replica_standby_adopt(struct replica *home, const char *old,
			   const struct replica_record *sealed)
{
	struct standby *guard = guard_get(home, old);

	guard->record = *sealed;
	guard_sealed(home, guard);
}

/* Writes the seal over the record that was read. */
static void seal_swap(struct replica *home, struct standby *guard,
		      const struct replica_record *found)
{
	replica_record_next(home, &guard->record, found, RECORD_SEALED,
			    home->self);
	home->options.ops->swap(home->options.ctx, guard->primary,
				&guard->record);
}

void replica_standby_on_record(struct replica *home, struct standby *guard,
			       enum record_outcome outcome,
			       const struct replica_record *record)
{
	bool ours;

	if (guard->state != STANDBY_SEALING || outcome == RECORD_UNKNOWN)
		return; /* the tick repeats the call */
	ours = record && record->state == RECORD_SEALED &&
	       replica_is_self(home, record->peer);
	if (outcome == RECORD_SWAPPED || ours) {
		guard_sealed(home, guard);
		return;
	}
	if (record && record->state == RECORD_OPEN &&
	    replica_is_self(home, record->peer)) {
		/* What was held under an older guardianship is out of date:
		 * the copies for this one came before its swap. */
		guard_drop_older(guard, record->epoch);
		seal_swap(home, guard, record);
		return;
	}
	if (record && record->state == RECORD_OPEN &&
	    ++guard->reads < SEAL_READS_MAX) {
		guard->record.state = RECORD_NONE;
		return;
	}
	guard->state = STANDBY_RETIRED;
	guard->closed_at = home->now;
	g_hash_table_remove_all(guard->reqs);
}

bool replica_standby_expired(const struct replica *home,
			     const struct standby *guard)
{
	bool closed = guard->state == STANDBY_SEALED ||
		      guard->state == STANDBY_RETIRED;

	return closed &&
	       home->now - guard->closed_at > 2 * home->options.retention;
}

void replica_take_over(struct replica *home, const char *incarnation,
		       clk_ms now)
{
	struct standby *guard = guard_get(home, incarnation);

	home->now = now;
	if (guard->state == STANDBY_ACTIVE)
		replica_standby_seal(home, guard);
}

/* Forgets tombstones and ended requests whose time is over. */
static gboolean guarded_expired(gpointer key, gpointer value, gpointer ctx)
{
	const struct req *req = value;
	const struct replica *home = ctx;

	(void)key;
	return clk_passed(req->expires, home->now);
}

void replica_standby_tick(struct replica *home, struct standby *guard)
{
	if (!clk_passed(guard->next_try, home->now))
		return;
	guard->next_try =
		home->now + replica_platform_backoff(home, guard->tries++);
	if (guard->state == STANDBY_SEALING) {
		if (guard->record.state == RECORD_NONE)
			home->options.ops->read(home->options.ctx,
						guard->primary);
		else
			home->options.ops->swap(home->options.ctx,
						guard->primary, &guard->record);
		return;
	}
	g_hash_table_foreach_remove(guard->reqs, guarded_expired, home);
}

void replica_retire(struct replica *home, clk_ms now)
{
	struct replica_msg msg = {
		.kind = REPLICA_RETIRE,
		.from = home->self,
		.to = home->record.peer,
		.primary = home->self,
		.epoch = home->record.epoch,
		.id = "",
	};

	home->now = now;
	if (home->state == REPLICA_OPEN && home->record.peer[0])
		home->options.ops->send(home->options.ctx, &msg);
}
