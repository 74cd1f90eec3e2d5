/* A home's own record: opening it, moving to another guardian, losing it. */
#include "home-int.h"

#include <string.h>

#define RETRY_MS 250	  /* between two tries at the platform */
#define OPEN_ALONE_MS 1500 /* before a record is opened without guardian */
#define LOOK_MS 1000	  /* between looks for a better guardian */

const char *home_holder(const struct home *home)
{
	return home->state == HOME_OPEN ? home->record.peer : home->candidate;
}

const char *home_holder_name(const struct home *home)
{
	return home_holder(home);
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
	g_snprintf(next->change, sizeof(next->change),
		   "%s/%" G_GINT64_FORMAT, home->self, ++home->changes);
}

/* Sends, or repeats, the swap that is under way. */
static void record_swap(struct home *home)
{
	home->next_try = home->now + RETRY_MS;
	home->options.ops->swap(home->options.ctx, home->self, &home->wanted);
}

/* Takes a new candidate; the copies start anew. */
static void candidate_pick(struct home *home)
{
	const char *peer = home->options.ops->pick_guardian(home->options.ctx);
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
static bool copy_needed(const struct home *home, const struct req *req)
{
	if (req->guarded || req->phase == REQ_MOVED || req->phase == REQ_NEW ||
	    strcmp(req->acting, home->self) != 0)
		return false;
	if (!req->answer.ended)
		return true;
	return !req->attrs.idempotent && req_ran(req) != ERR_RAN_NO;
}

/* Puts all that the next guardian needs to know on its way. */
static void copies_begin(struct home *home)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, home->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (copy_needed(home, value))
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

		if (copy_needed(home, req) &&
		    (!req->copied || (req->answer.ended && !req->end_acked)))
			return false;
	}
	return true;
}

void home_change_begin(struct home *home)
{
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
	peer = home->options.ops->pick_guardian(home->options.ctx);
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
		if (home->guardian_lost)
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
		if (clk_passed(home->next_try, home->now))
			record_swap(home);
		break;
	case HOME_LOST:
		break;
	}
}

/* The swap took effect: the new guardian is in force. */
static void record_won(struct home *home, int64_t mod)
{
	GHashTableIter iter;
	gpointer value;

	home->record = home->wanted;
	home->record.mod = mod;
	home->state = HOME_OPEN;
	home->next_try = home->now;
	g_hash_table_iter_init(&iter, home->active);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		((struct req *)value)->next_send = home->now;
}

void home_record_on(struct home *home, enum record_outcome outcome,
		    const struct home_record *record)
{
	bool writing = home->state == HOME_OPENING ||
		       home->state == HOME_SWAPPING;
	bool ours;

	if (!writing || outcome == RECORD_UNSURE)
		return; /* the tick repeats the swap until it is known */
	ours = record && !strcmp(record->change, home->wanted.change);
	if (outcome == RECORD_WON || ours)
		record_won(home, record ? record->mod : home->wanted.mod);
	else if (record && record->state == RECORD_SEALED)
		home_lost(home, record->peer);
	else if (outcome == RECORD_LOST)
		home_lost(home, ""); /* the record is gone or another's */
}

void home_on_declared_dead(struct home *home, clk_ms now)
{
	home->now = now;
	if (home->state != HOME_LOST)
		home_lost(home, home->record.peer);
}

void home_lost(struct home *home, const char *by)
{
	GHashTableIter iter;
	gpointer value;

	home->state = HOME_LOST;
	g_strlcpy(home->lost_as, home->self, sizeof(home->lost_as));
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
