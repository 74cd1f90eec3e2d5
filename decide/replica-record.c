/* This host's own record: opening it, changing the standby, losing it. */
#include "replica-int.h"

#include <string.h>

#define BACKOFF_BASE_MS 250 /* before the first retry of a platform call */
#define BACKOFF_DOUBLINGS 3
#define OPEN_WITHOUT_STANDBY_MS 1500 /* wait for a standby at startup */
#define COPY_WAIT_MS 3000	     /* for a candidate to ack all copies */
#define STANDBY_CHECK_MS 1000	     /* between checks for a possible standby */

clk_ms replica_platform_backoff(const struct replica *replica, unsigned tries)
{
	clk_ms wait = BACKOFF_BASE_MS << MIN(tries, BACKOFF_DOUBLINGS);

	return wait + g_str_hash(replica->self) % wait / 2;
}

const char *replica_standby_name(const struct replica *replica)
{
	return replica->state == REPLICA_OPEN ? replica->record.peer
					      : replica->candidate;
}

int64_t replica_standby_epoch(const struct replica *replica)
{
	return replica->record.epoch + (replica->state != REPLICA_OPEN);
}

void replica_record_next(struct replica *replica, struct replica_record *next,
			 const struct replica_record *last,
			 enum record_state state, const char *peer)
{
	*next = (struct replica_record){
		.state = state,
		.epoch = last->epoch + 1,
		.mod = last->mod,
	};
	g_strlcpy(next->peer, peer, sizeof(next->peer));
	g_snprintf(next->change_id, sizeof(next->change_id),
		   "%s/%" G_GINT64_FORMAT, replica->self,
		   ++replica->change_count);
}

/* Sends or repeats the pending swap. */
static void record_swap(struct replica *replica)
{
	replica->next_try = replica->now +
			    replica_platform_backoff(replica, replica->tries++);
	replica->options.ops->swap(replica->options.ctx, replica->self,
				   &replica->pending);
}

/* Selects a new candidate and restarts the copying. */
static void candidate_select(struct replica *replica)
{
	const char *peer = replica->options.ops->pick_standby(
		replica->options.ctx, replica->pick_turn);
	GHashTableIter iter;
	gpointer value;

	g_strlcpy(replica->candidate, peer ? peer : "",
		  sizeof(replica->candidate));
	replica->standby_lost = false;
	g_hash_table_iter_init(&iter, replica->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		req->replicated = false;
		req->next_send = replica->now;
		req->acked = 0;
		req->end_acked = false;
	}
}

/* Returns whether the next standby needs a copy of a request. */
bool replica_copy_needed(const struct replica *replica, const struct req *req)
{
	if (req->standby_copy || req->phase == REQ_MOVED ||
	    req->phase == REQ_NEW || strcmp(req->acting, replica->self) != 0)
		return false;
	if (!req->answer.ended)
		return true;
	return req->hold_sent && !req->attrs.idempotent &&
	       req_ran(req) != ERR_RAN_NO;
}

/* Schedules the copies that the next standby needs. */
static void copies_begin(struct replica *replica)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, replica->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (replica_copy_needed(replica, value))
			replica_activate(replica, value);
}

/* Returns whether the next standby has all copies. */
static bool copies_done(struct replica *replica)
{
	GHashTableIter iter;
	gpointer value;

	if (!replica->candidate[0] ||
	    !replica_rule(replica, REPLICA_RULE_COPY_FIRST))
		return true;
	g_hash_table_iter_init(&iter, replica->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		if (replica_copy_needed(replica, req) &&
		    (!req->replicated ||
		     (req->answer.ended && !req->end_acked)))
			return false;
	}
	return true;
}

void replica_standby_change(struct replica *replica)
{
	replica->pick_turn++;
	replica->copy_until = replica->now + COPY_WAIT_MS;
	candidate_select(replica);
	replica->state = REPLICA_COPYING;
	copies_begin(replica);
}

/* Opens the first record of this incarnation. */
static void record_open(struct replica *replica)
{
	if (replica->next_try == 0)
		replica->next_try = replica->now + OPEN_WITHOUT_STANDBY_MS;
	candidate_select(replica);
	if (!replica->candidate[0] && replica->now < replica->next_try)
		return;
	replica_record_next(replica, &replica->pending, &replica->record,
			    RECORD_OPEN, replica->candidate);
	replica->state = REPLICA_OPENING;
	record_swap(replica);
}

/* Changes the standby if it was lost, or if there was none and a host is
 * available now. */
static void standby_check(struct replica *replica)
{
	const char *peer;

	if (replica->standby_lost) {
		replica_standby_change(replica);
		return;
	}
	if (replica->record.peer[0] || replica->now < replica->next_try)
		return;
	replica->next_try = replica->now + STANDBY_CHECK_MS;
	peer = replica->options.ops->pick_standby(replica->options.ctx,
						  replica->pick_turn);
	if (peer)
		replica_standby_change(replica);
}

void replica_record_tick(struct replica *replica)
{
	switch (replica->state) {
	case REPLICA_CLOSED:
		record_open(replica);
		break;
	case REPLICA_OPEN:
		standby_check(replica);
		break;
	case REPLICA_COPYING:
		if (replica->standby_lost ||
		    clk_passed(replica->copy_until, replica->now))
			replica_standby_change(replica);
		if (!copies_done(replica))
			break;
		replica_record_next(replica, &replica->pending,
				    &replica->record, RECORD_OPEN,
				    replica->candidate);
		replica->state = REPLICA_SWAPPING;
		record_swap(replica);
		break;
	case REPLICA_OPENING:
	case REPLICA_SWAPPING:
	case REPLICA_RESIGNING:
		if (clk_passed(replica->next_try, replica->now))
			record_swap(replica);
		break;
	case REPLICA_DEPOSED:
		break;
	}
}

/* Notifies a former standby that it may drop its copies. */
static void release_send(struct replica *replica, const char *to, int64_t epoch)
{
	struct replica_msg msg = {
		.kind = REPLICA_RELEASE,
		.from = replica->self,
		.to = to,
		.primary = replica->self,
		.epoch = epoch,
		.id = "",
	};

	replica->options.ops->send(replica->options.ctx, &msg);
}

/* The swap took effect: the new standby is in force. */
static void record_swapped(struct replica *replica, int64_t mod)
{
	if (replica->record.peer[0])
		release_send(replica, replica->record.peer,
			     replica->pending.epoch);
	replica->record = replica->pending;
	replica->record.mod = mod;
	replica->tries = 0;
	replica->state = REPLICA_OPEN;
	replica->next_try = replica->now;
	for (GList *at = replica->active.head; at; at = at->next)
		((struct req *)at->data)->next_send = replica->now;
}

/* Continues a request under the new incarnation. */
static void req_adopt(struct replica *replica, struct req *req)
{
	g_free(req->acting);
	req->acting = g_strdup(replica->self);
	req->inherited = true;
	req->replicated = false;
	req->acked = 0;
	req->end_acked = false;
	req->next_send = replica->now;
	if (req->phase == REQ_HOLD_SENT || req->phase == REQ_HELD ||
	    req->phase == REQ_GRANT_SENT)
		req->phase = REQ_NEW;
	replica_activate(replica, req);
}

/* The new incarnation has sealed the old one: moves all requests to it. */
static void resign_swapped(struct replica *replica)
{
	struct replica_record sealed = replica->pending;
	char old[RID_INCARNATION_MAX + 1];
	GHashTableIter iter;
	gpointer value;

	g_strlcpy(old, replica->self, sizeof(old));
	replica->state = REPLICA_DEPOSED;
	replica_renew(replica, replica->next_self, replica->now);
	replica_standby_adopt(replica, old, &sealed);
	g_hash_table_iter_init(&iter, replica->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		if (!strcmp(req->acting, old) && req->phase != REQ_MOVED)
			req_adopt(replica, req);
	}
}

/* Sends the seal of this host's own record. */
static void resign_swap(struct replica *replica)
{
	replica_record_next(replica, &replica->pending, &replica->record,
			    RECORD_SEALED, replica->next_self);
	record_swap(replica);
}

/* Handles an earlier swap of this host that took effect late. */
static void record_late_swap(struct replica *replica,
			     const struct replica_record *record)
{
	if (record->mod <= replica->record.mod)
		return; /* an outdated response */
	replica->record = *record;
	if (replica->state == REPLICA_RESIGNING)
		resign_swap(replica);
	else
		replica_standby_change(replica); /* the epoch has changed */
}

/* Handles a record that was sealed by another host or by this one. */
static void record_sealed(struct replica *replica,
			  const struct replica_record *record)
{
	if (replica->state == REPLICA_RESIGNING &&
	    !strcmp(record->peer, replica->next_self)) {
		replica->pending = *record;
		resign_swapped(replica);
		return;
	}
	replica_deposed(replica, record->peer);
}

void replica_record_result(struct replica *replica, enum record_outcome outcome,
			   const struct replica_record *record)
{
	bool writing = replica->state == REPLICA_OPENING ||
		       replica->state == REPLICA_SWAPPING ||
		       replica->state == REPLICA_RESIGNING;

	if (!writing || outcome == RECORD_UNKNOWN || !record)
		return; /* the tick repeats the swap */
	/* Responses to older swaps may arrive late, so the stored record
	 * decides. */
	if (record->state == RECORD_SEALED)
		record_sealed(replica, record);
	else if (record->state == RECORD_OPEN &&
		 !strcmp(record->change_id, replica->pending.change_id))
		record_swapped(replica, record->mod);
	else if (record->state == RECORD_OPEN &&
		 g_str_has_prefix(record->change_id, replica->self))
		record_late_swap(replica, record);
	else if (outcome == RECORD_CONFLICT && replica->pending.mod != 0)
		replica_deposed(replica, ""); /* deleted or replaced */
}

void replica_resign(struct replica *replica, const char *self, clk_ms now)
{
	replica->now = now;
	if (replica->state == REPLICA_DEPOSED ||
	    replica->state == REPLICA_RESIGNING)
		return;
	g_strlcpy(replica->next_self, self, sizeof(replica->next_self));
	replica->candidate[0] = '\0';
	replica->state = REPLICA_RESIGNING;
	resign_swap(replica);
}

void replica_deposed(struct replica *replica, const char *by)
{
	GHashTableIter iter;
	gpointer value;

	replica->state = REPLICA_DEPOSED;
	g_strlcpy(replica->sealed_self, replica->self,
		  sizeof(replica->sealed_self));
	replica->sealed_epoch = replica->record.epoch;
	replica->record.state = RECORD_SEALED;
	g_strlcpy(replica->record.peer, by, sizeof(replica->record.peer));
	g_hash_table_iter_init(&iter, replica->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		if (req->standby_copy || req->answer.ended ||
		    req->phase == REQ_MOVED ||
		    strcmp(req->acting, replica->self) != 0)
			continue;
		req->phase = REQ_MOVED;
		req->acked = 0;
		g_free(req->acting);
		req->acting = g_strdup(by);
		replica_deactivate(replica, req);
		replica_expire_later(replica, req);
		replica->options.ops->moved(replica->options.ctx, req);
	}
}
