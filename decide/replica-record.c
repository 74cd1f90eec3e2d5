/* A home's own record: opening it, moving to another guardian, losing it. */
#include "replica-int.h"

#include <string.h>

#define RETRY_MS 250 /* between the first two tries at the platform */
#define RETRY_DOUBLINGS 3
#define OPEN_ALONE_MS 1500 /* before a record is opened without guardian */
#define COPY_WAIT_MS 3000  /* for a candidate to take all copies */
#define LOOK_MS 1000	   /* between looks for a better guardian */

clk_ms replica_platform_backoff(const struct replica *home, unsigned tries)
{
	clk_ms wait = RETRY_MS << MIN(tries, RETRY_DOUBLINGS);

	return wait + g_str_hash(home->self) % wait / 2;
}

const char *replica_standby_name(const struct replica *home)
{
	return home->state == REPLICA_OPEN ? home->record.peer
					   : home->candidate;
}

int64_t replica_standby_epoch(const struct replica *home)
{
	return home->record.epoch + (home->state != REPLICA_OPEN);
}

void replica_record_next(struct replica *home, struct replica_record *next,
			 const struct replica_record *last,
			 enum record_state state, const char *peer)
{
	*next = (struct replica_record){
		.state = state,
		.epoch = last->epoch + 1,
		.mod = last->mod,
	};
	g_strlcpy(next->peer, peer, sizeof(next->peer));
	g_snprintf(next->change, sizeof(next->change), "%s/%" G_GINT64_FORMAT,
		   home->self, ++home->changes);
}

/* Sends, or repeats, the swap that is under way. */
static void record_swap(struct replica *home)
{
	home->next_try =
		home->now + replica_platform_backoff(home, home->tries++);
	home->options.ops->swap(home->options.ctx, home->self, &home->pending);
}

/* Takes a new candidate; the copies start anew. */
static void candidate_pick(struct replica *home)
{
	const char *peer = home->options.ops->pick_standby(home->options.ctx,
							   home->pick_turn);
	GHashTableIter iter;
	gpointer value;

	g_strlcpy(home->candidate, peer ? peer : "", sizeof(home->candidate));
	home->standby_lost = false;
	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		req->replicated = false;
		req->next_send = home->now;
		req->acked = 0;
		req->end_acked = false;
	}
}

/* Tells whether the next guardian needs to know of a request. */
bool replica_copy_needed(const struct replica *home, const struct req *req)
{
	if (req->standby_copy || req->phase == REQ_MOVED ||
	    req->phase == REQ_NEW || strcmp(req->acting, home->self) != 0)
		return false;
	if (!req->answer.ended)
		return true;
	return req->hold_sent && !req->attrs.idempotent &&
	       req_ran(req) != ERR_RAN_NO;
}

/* Puts all that the next guardian needs to know on its way. */
static void copies_begin(struct replica *home)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (replica_copy_needed(home, value))
			replica_activate(home, value);
}

/* Tells whether the next guardian has all it needs. */
static bool copies_done(struct replica *home)
{
	GHashTableIter iter;
	gpointer value;

	if (!home->candidate[0] || !replica_rule(home, REPLICA_RULE_COPY_FIRST))
		return true;
	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		if (replica_copy_needed(home, req) &&
		    (!req->replicated ||
		     (req->answer.ended && !req->end_acked)))
			return false;
	}
	return true;
}

void replica_standby_change(struct replica *home)
{
	home->pick_turn++;
	home->copy_until = home->now + COPY_WAIT_MS;
	candidate_pick(home);
	home->state = REPLICA_COPYING;
	copies_begin(home);
}

/* Opens the first record. */
static void record_open(struct replica *home)
{
	if (home->next_try == 0)
		home->next_try = home->now + OPEN_ALONE_MS;
	candidate_pick(home);
	if (!home->candidate[0] && home->now < home->next_try)
		return;
	replica_record_next(home, &home->pending, &home->record, RECORD_OPEN,
			    home->candidate);
	home->state = REPLICA_OPENING;
	record_swap(home);
}

/* Looks whether another host would be the better guardian. */
static void record_look(struct replica *home)
{
	const char *peer;

	if (home->standby_lost) {
		replica_standby_change(home);
		return;
	}
	if (home->record.peer[0] || home->now < home->next_try)
		return;
	home->next_try = home->now + LOOK_MS;
	peer = home->options.ops->pick_standby(home->options.ctx,
					       home->pick_turn);
	if (peer)
		replica_standby_change(home);
}

void replica_record_tick(struct replica *home)
{
	switch (home->state) {
	case REPLICA_CLOSED:
		record_open(home);
		break;
	case REPLICA_OPEN:
		record_look(home);
		break;
	case REPLICA_COPYING:
		if (home->standby_lost ||
		    clk_passed(home->copy_until, home->now))
			replica_standby_change(home);
		if (!copies_done(home))
			break;
		replica_record_next(home, &home->pending, &home->record,
				    RECORD_OPEN, home->candidate);
		home->state = REPLICA_SWAPPING;
		record_swap(home);
		break;
	case REPLICA_OPENING:
	case REPLICA_SWAPPING:
	case REPLICA_RESIGNING:
		if (clk_passed(home->next_try, home->now))
			record_swap(home);
		break;
	case REPLICA_DEPOSED:
		break;
	}
}

/* Tells a former guardian that it need not keep anything any more. */
static void release_send(struct replica *home, const char *to, int64_t epoch)
{
	struct replica_msg msg = {
		.kind = REPLICA_RELEASE,
		.from = home->self,
		.to = to,
		.primary = home->self,
		.epoch = epoch,
		.id = "",
	};

	home->options.ops->send(home->options.ctx, &msg);
}

/* The swap took effect: the new guardian is in force. */
static void record_won(struct replica *home, int64_t mod)
{
	if (home->record.peer[0])
		release_send(home, home->record.peer, home->pending.epoch);
	home->record = home->pending;
	home->record.mod = mod;
	home->tries = 0;
	home->state = REPLICA_OPEN;
	home->next_try = home->now;
	for (GList *at = home->active.head; at; at = at->next)
		((struct req *)at->data)->next_send = home->now;
}

/* Goes on with a request under the new incarnation. */
static void req_adopt(struct replica *home, struct req *req)
{
	g_free(req->acting);
	req->acting = g_strdup(home->self);
	req->inherited = true;
	req->replicated = false;
	req->acked = 0;
	req->end_acked = false;
	req->next_send = home->now;
	if (req->phase == REQ_HOLD_SENT || req->phase == REQ_HELD ||
	    req->phase == REQ_GRANT_SENT)
		req->phase = REQ_NEW;
	replica_activate(home, req);
}

/* The old incarnation is sealed by the new one: nothing else has changed. */
static void resign_won(struct replica *home)
{
	struct replica_record sealed = home->pending;
	char old[RID_INCARNATION_MAX + 1];
	GHashTableIter iter;
	gpointer value;

	g_strlcpy(old, home->self, sizeof(old));
	home->state = REPLICA_DEPOSED;
	replica_renew(home, home->next_self, home->now);
	replica_standby_adopt(home, old, &sealed);
	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		if (!strcmp(req->acting, old) && req->phase != REQ_MOVED)
			req_adopt(home, req);
	}
}

/* Sends the seal of this host's own record. */
static void resign_swap(struct replica *home)
{
	replica_record_next(home, &home->pending, &home->record, RECORD_SEALED,
			    home->next_self);
	record_swap(home);
}

/* Takes an own earlier swap that took effect late. */
static void record_catch_up(struct replica *home,
			    const struct replica_record *record)
{
	if (record->mod <= home->record.mod)
		return; /* an answer of long ago */
	home->record = *record;
	if (home->state == REPLICA_RESIGNING)
		resign_swap(home);
	else
		replica_standby_change(home); /* the epoch is another one now */
}

/* Takes a record that another host has sealed, or this one itself. */
static void record_sealed(struct replica *home,
			  const struct replica_record *record)
{
	if (home->state == REPLICA_RESIGNING &&
	    !strcmp(record->peer, home->next_self)) {
		home->pending = *record;
		resign_won(home);
		return;
	}
	replica_deposed(home, record->peer);
}

void replica_record_result(struct replica *home, enum record_outcome outcome,
			   const struct replica_record *record)
{
	bool writing = home->state == REPLICA_OPENING ||
		       home->state == REPLICA_SWAPPING ||
		       home->state == REPLICA_RESIGNING;

	if (!writing || outcome == RECORD_UNKNOWN || !record)
		return; /* the tick repeats the swap until it is known */
	/* Answers to older swaps come late: what is stored decides. */
	if (record->state == RECORD_SEALED)
		record_sealed(home, record);
	else if (record->state == RECORD_OPEN &&
		 !strcmp(record->change, home->pending.change))
		record_won(home, record->mod);
	else if (record->state == RECORD_OPEN &&
		 g_str_has_prefix(record->change, home->self))
		record_catch_up(home, record);
	else if (outcome == RECORD_CONFLICT && home->pending.mod != 0)
		replica_deposed(home,
				""); /* the record is gone, or another's */
}

void replica_resign(struct replica *home, const char *self, clk_ms now)
{
	home->now = now;
	if (home->state == REPLICA_DEPOSED || home->state == REPLICA_RESIGNING)
		return;
	g_strlcpy(home->next_self, self, sizeof(home->next_self));
	home->candidate[0] = '\0';
	home->state = REPLICA_RESIGNING;
	resign_swap(home);
}

void replica_deposed(struct replica *home, const char *by)
{
	GHashTableIter iter;
	gpointer value;

	home->state = REPLICA_DEPOSED;
	g_strlcpy(home->sealed_self, home->self, sizeof(home->sealed_self));
	home->sealed_epoch = home->record.epoch;
	home->record.state = RECORD_SEALED;
	g_strlcpy(home->record.peer, by, sizeof(home->record.peer));
	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		if (req->standby_copy || req->answer.ended ||
		    req->phase == REQ_MOVED ||
		    strcmp(req->acting, home->self) != 0)
			continue;
		req->phase = REQ_MOVED;
		req->acked = 0;
		g_free(req->acting);
		req->acting = g_strdup(by);
		replica_deactivate(home, req);
		replica_expire_later(home, req);
		home->options.ops->moved(home->options.ctx, req);
	}
}
