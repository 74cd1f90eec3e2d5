/* A home's own record: opening it, moving to another guardian, losing it. */
#include "home-int.h"

#include <string.h>

#define RETRY_MS 250 /* between the first two tries at the platform */
#define RETRY_DOUBLINGS 3
#define OPEN_ALONE_MS 1500 /* before a record is opened without guardian */
#define COPY_WAIT_MS 3000  /* for a candidate to take all copies */
#define LOOK_MS 1000	   /* between looks for a better guardian */

clk_ms home_platform_wait(const struct home *home, unsigned tries)
{
	clk_ms wait = RETRY_MS << MIN(tries, RETRY_DOUBLINGS);

	return wait + g_str_hash(home->self) % wait / 2;
}

const char *home_holder(const struct home *home)
{
	return home->state == HOME_OPEN ? home->record.peer : home->candidate;
}

int64_t home_holder_epoch(const struct home *home)
{
	return home->record.epoch + (home->state != HOME_OPEN);
}

void home_record_next(struct home *home, struct home_record *next,
		      const struct home_record *last, enum record_state state,
		      const char *peer)
{
	*next = (struct home_record){
		.state = state,
		.epoch = last->epoch + 1,
		.mod = last->mod,
	};
	g_strlcpy(next->peer, peer, sizeof(next->peer));
	g_snprintf(next->change, sizeof(next->change), "%s/%" G_GINT64_FORMAT,
		   home->self, ++home->changes);
}

/* Sends, or repeats, the swap that is under way. */
static void record_swap(struct home *home)
{
	home->next_try = home->now + home_platform_wait(home, home->tries++);
	home->options.ops->swap(home->options.ctx, home->self, &home->wanted);
}

/* Takes a new candidate; the copies start anew. */
static void candidate_pick(struct home *home)
{
	const char *peer =
		home->options.ops->pick_guardian(home->options.ctx, home->turn);
	GHashTableIter iter;
	gpointer value;

	g_strlcpy(home->candidate, peer ? peer : "", sizeof(home->candidate));
	home->guardian_lost = false;
	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		req->copied = false;
		req->next_send = home->now;
		req->acked = 0;
		req->end_acked = false;
	}
}

/* Tells whether the next guardian needs to know of a request. */
bool home_copy_needed(const struct home *home, const struct req *req)
{
	if (req->guarded || req->phase == REQ_MOVED || req->phase == REQ_NEW ||
	    strcmp(req->acting, home->self) != 0)
		return false;
	if (!req->answer.ended)
		return true;
	return req->hold_sent && !req->attrs.idempotent &&
	       req_ran(req) != ERR_RAN_NO;
}

/* Puts all that the next guardian needs to know on its way. */
static void copies_begin(struct home *home)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (home_copy_needed(home, value))
			home_activate(home, value);
}

/* Tells whether the next guardian has all it needs. */
static bool copies_done(struct home *home)
{
	GHashTableIter iter;
	gpointer value;

	if (!home->candidate[0] || !home_rule(home, HOME_RULE_COPY_FIRST))
		return true;
	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		if (home_copy_needed(home, req) &&
		    (!req->copied || (req->answer.ended && !req->end_acked)))
			return false;
	}
	return true;
}

void home_change_begin(struct home *home)
{
	home->turn++;
	home->copy_until = home->now + COPY_WAIT_MS;
	candidate_pick(home);
	home->state = HOME_COPYING;
	copies_begin(home);
}

/* Opens the first record. */
static void record_open(struct home *home)
{
	if (home->next_try == 0)
		home->next_try = home->now + OPEN_ALONE_MS;
	candidate_pick(home);
	if (!home->candidate[0] && home->now < home->next_try)
		return;
	home_record_next(home, &home->wanted, &home->record, RECORD_OPEN,
			 home->candidate);
	home->state = HOME_OPENING;
	record_swap(home);
}

/* Looks whether another host would be the better guardian. */
static void record_look(struct home *home)
{
	const char *peer;

	if (home->guardian_lost) {
		home_change_begin(home);
		return;
	}
	if (home->record.peer[0] || home->now < home->next_try)
		return;
	home->next_try = home->now + LOOK_MS;
	peer = home->options.ops->pick_guardian(home->options.ctx, home->turn);
	if (peer)
		home_change_begin(home);
}

void home_record_tick(struct home *home)
{
	switch (home->state) {
	case HOME_CLOSED:
		record_open(home);
		break;
	case HOME_OPEN:
		record_look(home);
		break;
	case HOME_COPYING:
		if (home->guardian_lost ||
		    clk_passed(home->copy_until, home->now))
			home_change_begin(home);
		if (!copies_done(home))
			break;
		home_record_next(home, &home->wanted, &home->record,
				 RECORD_OPEN, home->candidate);
		home->state = HOME_SWAPPING;
		record_swap(home);
		break;
	case HOME_OPENING:
	case HOME_SWAPPING:
	case HOME_RESIGNING:
		if (clk_passed(home->next_try, home->now))
			record_swap(home);
		break;
	case HOME_LOST:
		break;
	}
}

/* Tells a former guardian that it need not keep anything any more. */
static void release_send(struct home *home, const char *to, int64_t epoch)
{
	struct home_msg msg = {
		.kind = HOME_RELEASE,
		.from = home->self,
		.to = to,
		.home = home->self,
		.epoch = epoch,
		.id = "",
	};

	home->options.ops->send(home->options.ctx, &msg);
}

/* The swap took effect: the new guardian is in force. */
static void record_won(struct home *home, int64_t mod)
{
	if (home->record.peer[0])
		release_send(home, home->record.peer, home->wanted.epoch);
	home->record = home->wanted;
	home->record.mod = mod;
	home->tries = 0;
	home->state = HOME_OPEN;
	home->next_try = home->now;
	for (GList *at = home->active.head; at; at = at->next)
		((struct req *)at->data)->next_send = home->now;
}

/* Goes on with a request under the new incarnation. */
static void req_adopt(struct home *home, struct req *req)
{
	g_free(req->acting);
	req->acting = g_strdup(home->self);
	req->inherited = true;
	req->copied = false;
	req->acked = 0;
	req->end_acked = false;
	req->next_send = home->now;
	if (req->phase == REQ_HOLD_SENT || req->phase == REQ_HELD ||
	    req->phase == REQ_GRANT_SENT)
		req->phase = REQ_NEW;
	home_activate(home, req);
}

/* The old incarnation is sealed by the new one: nothing else has changed. */
static void resign_won(struct home *home)
{
	struct home_record sealed = home->wanted;
	char old[RID_INCARNATION_MAX + 1];
	GHashTableIter iter;
	gpointer value;

	g_strlcpy(old, home->self, sizeof(old));
	home->state = HOME_LOST;
	home_renew(home, home->next_self, home->now);
	home_guard_own(home, old, &sealed);
	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		if (!strcmp(req->acting, old) && req->phase != REQ_MOVED)
			req_adopt(home, req);
	}
}

/* Sends the seal of this host's own record. */
static void resign_swap(struct home *home)
{
	home_record_next(home, &home->wanted, &home->record, RECORD_SEALED,
			 home->next_self);
	record_swap(home);
}

/* Takes an own earlier swap that took effect late. */
static void record_catch_up(struct home *home, const struct home_record *record)
{
	if (record->mod <= home->record.mod)
		return; /* an answer of long ago */
	home->record = *record;
	if (home->state == HOME_RESIGNING)
		resign_swap(home);
	else
		home_change_begin(home); /* the epoch is another one now */
}

/* Takes a record that another host has sealed, or this one itself. */
static void record_sealed(struct home *home, const struct home_record *record)
{
	if (home->state == HOME_RESIGNING &&
	    !strcmp(record->peer, home->next_self)) {
		home->wanted = *record;
		resign_won(home);
		return;
	}
	home_lost(home, record->peer);
}

void home_record_on(struct home *home, enum record_outcome outcome,
		    const struct home_record *record)
{
	bool writing = home->state == HOME_OPENING ||
		       home->state == HOME_SWAPPING ||
		       home->state == HOME_RESIGNING;

	if (!writing || outcome == RECORD_UNSURE || !record)
		return; /* the tick repeats the swap until it is known */
	/* Answers to older swaps come late: what is stored decides. */
	if (record->state == RECORD_SEALED)
		record_sealed(home, record);
	else if (record->state == RECORD_OPEN &&
		 !strcmp(record->change, home->wanted.change))
		record_won(home, record->mod);
	else if (record->state == RECORD_OPEN &&
		 g_str_has_prefix(record->change, home->self))
		record_catch_up(home, record);
	else if (outcome == RECORD_LOST && home->wanted.mod != 0)
		home_lost(home, ""); /* the record is gone, or another's */
}

void home_resign(struct home *home, const char *self, clk_ms now)
{
	home->now = now;
	if (home->state == HOME_LOST || home->state == HOME_RESIGNING)
		return;
	g_strlcpy(home->next_self, self, sizeof(home->next_self));
	home->candidate[0] = '\0';
	home->state = HOME_RESIGNING;
	resign_swap(home);
}

void home_lost(struct home *home, const char *by)
{
	GHashTableIter iter;
	gpointer value;

	home->state = HOME_LOST;
	g_strlcpy(home->lost_as, home->self, sizeof(home->lost_as));
	home->lost_epoch = home->record.epoch;
	home->record.state = RECORD_SEALED;
	g_strlcpy(home->record.peer, by, sizeof(home->record.peer));
	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct req *req = value;

		if (req->guarded || req->answer.ended ||
		    req->phase == REQ_MOVED ||
		    strcmp(req->acting, home->self) != 0)
			continue;
		req->phase = REQ_MOVED;
		req->acked = 0;
		g_free(req->acting);
		req->acting = g_strdup(by);
		home_deactivate(home, req);
		home_expire_later(home, req);
		home->options.ops->moved(home->options.ctx, req);
	}
}
