/* The standby's side: storing requests of a primary, sealing, takeover. */
#include "replica-int.h"

#include <string.h>

#define SEAL_READS_MAX 8 /* a swap may apply late, so the record is reread */

static void req_free_value(void *req)
{
	req_free(req);
}

/* Returns the standby role for a primary, creating it if needed. */
static struct standby *standby_get(struct replica *replica, const char *owner)
{
	struct standby *standby =
		g_hash_table_lookup(replica->standby_for, owner);

	if (standby)
		return standby;
	standby = g_new0(struct standby, 1);
	standby->primary = g_strdup(owner);
	standby->reqs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      req_free_value);
	g_hash_table_insert(replica->standby_for, standby->primary, standby);
	return standby;
}

void replica_standby_free(struct standby *standby)
{
	g_hash_table_destroy(standby->reqs);
	g_free(standby->primary);
	g_free(standby);
}

/* Reports to a primary the stored state of one of its requests. */
static void ack_send(struct replica *replica, const struct replica_msg *msg,
		     enum replica_ack ack, const struct req *req)
{
	struct replica_msg answer = {
		.kind = REPLICA_ACK,
		.from = replica->self,
		.to = msg->from,
		.primary = msg->primary,
		.epoch = msg->epoch,
		.id = msg->id,
		.ack = ack,
		.grant_no = req ? req->attempt.grant_no : 0,
		.acked = req ? req_chunk_count(req) : 0,
		.end_acked = req && req->answer.ended,
	};

	replica->options.ops->send(replica->options.ctx, &answer);
}

/* Stores a request of a primary. */
static struct req *standby_req_add(struct replica *replica,
				   struct standby *standby,
				   const struct replica_msg *msg)
{
	struct rid rid;
	struct req *req;

	if (!rid_parse(msg->id, strlen(msg->id), &rid))
		return NULL;
	req = req_create(msg->id, &rid);
	req->standby_copy = true;
	req->accepted = true;
	req->acting = g_strdup(standby->primary);
	req->created = replica->now;
	req->phase = REQ_HELD;
	g_hash_table_insert(standby->reqs, req->id, req);
	return req;
}

/* Returns whether a stored request was cancelled. */
static bool is_tombstone(const struct req *req)
{
	return req->answer.ended && req_ran(req) == ERR_RAN_NO;
}

/* Returns the state to report for a stored request. */
static enum replica_ack ack_of(const struct req *req)
{
	if (is_tombstone(req))
		return ACK_REVOKED;
	return req->phase == REQ_GRANTED ? ACK_GRANTED : ACK_HELD;
}

/* Grants the dispatch at one upstream; a later grant replaces it. */
static void grant_dispatch(struct req *req, const struct replica_msg *msg)
{
	if (msg->grant_no < req->attempt.grant_no)
		return;
	req->phase = REQ_GRANTED;
	req->attempt.grant_no = msg->grant_no;
	req_attempt_set(req, msg->upstream, NULL);
}

/* Stores a request, and grants its dispatch if requested. */
static void on_hold(struct replica *replica, struct standby *standby,
		    const struct replica_msg *msg)
{
	struct req *req = g_hash_table_lookup(standby->reqs, msg->id);

	if (!req) {
		req = standby_req_add(replica, standby, msg);
		if (!req || !msg->attrs)
			return;
		req_attrs_set(req, msg->attrs);
		req->deadline = msg->time_left == CLK_NEVER
					? CLK_NEVER
					: replica->now + msg->time_left;
		if (req->deadline != CLK_NEVER)
			req->expires =
				req->deadline + replica->options.retention;
	}
	req->epoch = MAX(req->epoch, msg->epoch);
	if (!is_tombstone(req) && (msg->want_grant || msg->granted))
		grant_dispatch(req, msg);
	ack_send(replica, msg, ack_of(req), req);
}

/* Appends the chunks and the end that are new. */
static void progress_add(struct req *req, const struct replica_msg *msg)
{
	size_t have = req_chunk_count(req);

	if (msg->upstream && req->attrs.idempotent)
		req_attempt_set(req, msg->upstream, msg->stream);
	if (msg->first_chunk > have || req->answer.ended)
		return;
	for (size_t n = have - msg->first_chunk; n < msg->chunk_count; n++) {
		size_t len;
		const char *ptr = req_chunk(
			msg->chunks, msg->first_chunk + n - msg->chunks_base,
			&len);

		req_chunk_add(req, ptr, len);
	}
	if (msg->ended) {
		req_answer_end(req, msg->end_kind, msg->end_status);
		req_drop_body(req);
	}
}

static void on_progress(struct replica *replica, struct standby *standby,
			const struct replica_msg *msg)
{
	struct req *req = g_hash_table_lookup(standby->reqs, msg->id);

	if (!req) {
		ack_send(replica, msg, ACK_UNKNOWN, NULL);
		return;
	}
	progress_add(req, msg);
	if (req->answer.ended && req->expires == CLK_NEVER)
		req->expires = replica->now + replica->options.retention;
	ack_send(replica, msg, ack_of(req), req);
}

/* Stores a tombstone, so that this host will not run the request. */
static void on_revoke(struct replica *replica, struct standby *standby,
		      const struct replica_msg *msg)
{
	struct req *req = g_hash_table_lookup(standby->reqs, msg->id);

	if (!req)
		req = standby_req_add(replica, standby, msg);
	if (!req)
		return;
	req->epoch = MAX(req->epoch, msg->epoch);
	req_answer_end(req, RW_EDEADLINE, 0);
	req_drop_body(req);
	if (req->expires == CLK_NEVER)
		req->expires = replica->now + replica->options.retention;
	ack_send(replica, msg, ack_of(req), req);
}

/* Handles late progress of a primary that was taken over: a definite end
 * replaces an unknown one. */
static void on_late_progress(struct replica *replica,
			     const struct replica_msg *msg)
{
	struct req *req = g_hash_table_lookup(replica->reqs, msg->id);

	if (!req || req->attrs.idempotent || !msg->ended || req->running ||
	    msg->first_chunk > req_chunk_count(req) ||
	    err_answer(msg->end_kind)->ran != ERR_RAN_YES)
		return;
	if (req->answer.ended && req_ran(req) != ERR_RAN_UNKNOWN)
		return;
	if (!req->answer.ended)
		progress_add(req, msg);
	replica_finish(replica, req, msg->end_kind, msg->end_status);
}

/* Raises the epoch after a change of standby. Stored requests stay: if this
 * host was the standby, it remains so until the record names another. */
static void standby_epoch_raise(struct standby *standby, int64_t epoch)
{
	if (epoch <= standby->epoch)
		return;
	standby->epoch = epoch;
	if (standby->state == STANDBY_RETIRED)
		standby->state = STANDBY_ACTIVE;
	standby->reads = 0;
}

/* Drops requests that were stored before an epoch. */
static void standby_drop_older(struct standby *standby, int64_t epoch)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, standby->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct req *)value)->epoch < epoch)
			g_hash_table_iter_remove(&iter);
}

/* Ends the standby role: another host is the standby from an epoch on. */
static void standby_release(struct replica *replica, struct standby *standby,
			    int64_t epoch)
{
	if (standby->epoch >= epoch)
		return; /* this host has become the standby again since */
	standby->state = STANDBY_RETIRED;
	standby->epoch = epoch;
	standby->closed_at = replica->now;
	standby_drop_older(standby, epoch);
}

void replica_standby_on_msg(struct replica *replica,
			    const struct replica_msg *msg)
{
	struct standby *standby = standby_get(replica, msg->primary);

	if (standby->state == STANDBY_SEALED) {
		if (msg->kind == REPLICA_PROGRESS)
			on_late_progress(replica, msg);
		ack_send(replica, msg, ACK_SEALED, NULL);
		return;
	}
	if (standby->state == STANDBY_SEALING &&
	    (replica_rule(replica, REPLICA_RULE_NO_GRANT_SEALING) ||
	     msg->kind != REPLICA_HOLD))
		return;
	if (msg->kind == REPLICA_RELEASE) {
		standby_release(replica, standby, msg->epoch);
		return;
	}
	standby_epoch_raise(standby, msg->epoch);
	if (msg->epoch != standby->epoch || standby->state == STANDBY_RETIRED)
		return;
	switch (msg->kind) {
	case REPLICA_HOLD:
		on_hold(replica, standby, msg);
		break;
	case REPLICA_PROGRESS:
		on_progress(replica, standby, msg);
		break;
	case REPLICA_REVOKE:
		on_revoke(replica, standby, msg);
		break;
	case REPLICA_RETIRE:
		replica_standby_seal(replica, standby);
		break;
	default:
		break;
	}
}

/* Moves a stored request into the table of those that this host answers. */
static void req_inherit(struct replica *replica, struct req *req)
{
	req->standby_copy = false;
	req->inherited = true;
	req->hold_sent = true;
	req->acked = 0;
	req->end_acked = false;
	req->replicated = false;
	req->next_send = replica->now;
	g_free(req->acting);
	req->acting = g_strdup(replica->self);
	g_hash_table_insert(replica->reqs, req->id, req);
}

/* Takes over one request, according to its stored state. */
static void req_take_over(struct replica *replica, struct req *req)
{
	bool granted = req->phase == REQ_GRANTED;

	req_inherit(replica, req);
	req->expires = CLK_NEVER;
	if (req->answer.ended) {
		req->phase = REQ_ENDED;
		replica_expire_later(replica, req);
		replica_activate(replica, req);
		return;
	}
	replica_activate(replica, req);
	if (!granted) {
		/* Never granted, so no host has dispatched it. */
		req->phase = REQ_NEW;
		req->accepted = false;
		replica_hold_send(replica, req);
		return;
	}
	req->phase = REQ_GRANTED;
	req->probing = true;
	replica->options.ops->probe(replica->options.ctx, req);
}

/* Takes over the stored requests: all, or only the idempotent ones. */
static void standby_move_reqs(struct replica *replica, struct standby *standby,
			      bool idempotent_only)
{
	GList *reqs = g_hash_table_get_values(standby->reqs);

	for (GList *at = reqs; at; at = at->next) {
		struct req *req = at->data;

		if (idempotent_only && !req->attrs.idempotent)
			continue;
		g_hash_table_steal(standby->reqs, req->id);
		if (replica_find(replica, req->id))
			req_free(req);
		else
			req_take_over(replica, req);
	}
	g_list_free(reqs);
}

void replica_standby_seal(struct replica *replica, struct standby *standby)
{
	standby->state = STANDBY_SEALING;
	standby->record.state = RECORD_NONE;
	standby->tries = 0;
	standby->next_try = replica->now;
	/* Idempotent requests may run twice and need no seal. */
	standby_move_reqs(replica, standby, true);
	replica_standby_tick(replica, standby);
}

/* The record is sealed by this host, which now has the authority over the
 * primary's ids. */
static void standby_sealed(struct replica *replica, struct standby *standby)
{
	standby->state = STANDBY_SEALED;
	standby->closed_at = replica->now;
	standby_move_reqs(replica, standby, false);
}

void replica_standby_adopt(struct replica *replica, const char *old,
			   const struct replica_record *sealed)
{
	struct standby *standby = standby_get(replica, old);

	standby->record = *sealed;
	standby_sealed(replica, standby);
}

/* Swaps the record that was read for the seal. */
static void seal_swap(struct replica *replica, struct standby *standby,
		      const struct replica_record *found)
{
	replica_record_next(replica, &standby->record, found, RECORD_SEALED,
			    replica->self);
	replica->options.ops->swap(replica->options.ctx, standby->primary,
				   &standby->record);
}

void replica_standby_on_record(struct replica *replica, struct standby *standby,
			       enum record_outcome outcome,
			       const struct replica_record *record)
{
	bool ours;

	if (standby->state != STANDBY_SEALING || outcome == RECORD_UNKNOWN)
		return; /* the tick repeats the call */
	ours = record && record->state == RECORD_SEALED &&
	       replica_is_self(replica, record->peer);
	if (outcome == RECORD_SWAPPED || ours) {
		standby_sealed(replica, standby);
		return;
	}
	if (record && record->state == RECORD_OPEN &&
	    replica_is_self(replica, record->peer)) {
		/* Requests of an older epoch are out of date: the copies for
		 * this epoch arrived before its swap. */
		standby_drop_older(standby, record->epoch);
		seal_swap(replica, standby, record);
		return;
	}
	if (record && record->state == RECORD_OPEN &&
	    ++standby->reads < SEAL_READS_MAX) {
		standby->record.state = RECORD_NONE;
		return;
	}
	standby->state = STANDBY_RETIRED;
	standby->closed_at = replica->now;
	g_hash_table_remove_all(standby->reqs);
}

bool replica_standby_expired(const struct replica *replica,
			     const struct standby *standby)
{
	bool closed = standby->state == STANDBY_SEALED ||
		      standby->state == STANDBY_RETIRED;

	return closed && replica->now - standby->closed_at >
				 2 * replica->options.retention;
}

void replica_take_over(struct replica *replica, const char *incarnation,
		       clk_ms now)
{
	struct standby *standby = standby_get(replica, incarnation);

	replica->now = now;
	if (standby->state == STANDBY_ACTIVE)
		replica_standby_seal(replica, standby);
}

/* Returns whether a tombstone or ended request has expired. */
static gboolean standby_req_expired(gpointer key, gpointer value, gpointer ctx)
{
	const struct req *req = value;
	const struct replica *replica = ctx;

	(void)key;
	return clk_passed(req->expires, replica->now);
}

void replica_standby_tick(struct replica *replica, struct standby *standby)
{
	if (!clk_passed(standby->next_try, replica->now))
		return;
	standby->next_try = replica->now +
			    replica_platform_backoff(replica, standby->tries++);
	if (standby->state == STANDBY_SEALING) {
		if (standby->record.state == RECORD_NONE)
			replica->options.ops->read(replica->options.ctx,
						   standby->primary);
		else
			replica->options.ops->swap(replica->options.ctx,
						   standby->primary,
						   &standby->record);
		return;
	}
	g_hash_table_foreach_remove(standby->reqs, standby_req_expired,
				    replica);
}

void replica_retire(struct replica *replica, clk_ms now)
{
	struct replica_msg msg = {
		.kind = REPLICA_RETIRE,
		.from = replica->self,
		.to = replica->record.peer,
		.primary = replica->self,
		.epoch = replica->record.epoch,
		.id = "",
	};

	replica->now = now;
	if (replica->state == REPLICA_OPEN && replica->record.peer[0])
		replica->options.ops->send(replica->options.ctx, &msg);
}
