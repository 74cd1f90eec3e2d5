/* A home's side of holds, grants, revocations and progress. */
#include "home-int.h"

#include <string.h>

/* Fills what is the same in every message to the guardian. */
static struct home_msg msg_begin(const struct home *home, const struct req *req,
				 enum home_msg_kind kind, const char *to)
{
	return (struct home_msg){
		.kind = kind,
		.from = home->self,
		.to = to,
		.home = home->self,
		.epoch = home_holder_epoch(home),
		.id = req->id,
	};
}

/* Tells whether messages about a request may be sent in this state. */
static bool may_send(const struct home *home, const struct req *req)
{
	if (home->state == HOME_OPEN)
		return true;
	if (!home->candidate[0])
		return false;
	if (req->attrs.idempotent)
		return home->state != HOME_LOST;
	return home->state == HOME_COPYING && req->phase != REQ_NEW;
}

/* Acts on the word that the request is held, or granted. */
static void take_held(struct home *home, struct req *req, bool granted)
{
	if (req->phase == REQ_HOLD_SENT) {
		req->phase = REQ_HELD;
		if (!req->accepted) {
			req->accepted = true;
			home->options.ops->accepted(home->options.ctx, req);
		}
	}
	if (req->phase != REQ_HELD && req->phase != REQ_GRANT_SENT)
		return;
	if (req->attrs.idempotent) {
		if (req->want_run && !req->running)
			home_run(home, req);
		return;
	}
	if (granted && req->want_run) {
		req->phase = REQ_GRANTED;
		home_run(home, req);
	} else if (req->want_run && req->phase == REQ_HELD) {
		home_hold_send(home, req);
	}
}

/* Sends a hold message as the request stands. */
static void hold_msg_send(struct home *home, struct req *req)
{
	struct home_msg msg =
		msg_begin(home, req, HOME_HOLD, home_holder(home));

	msg.copy = home->state == HOME_COPYING;
	msg.want_grant = req->want_run && !req->attrs.idempotent && !msg.copy &&
			 home->state == HOME_OPEN;
	msg.granted = req->phase == REQ_GRANTED ||
		      (req->phase == REQ_ENDED && req_ran(req) != ERR_RAN_NO);
	msg.grant_no = req->attempt.grant_no;
	msg.upstream = req->attempt.upstream;
	msg.attrs = &req->attrs;
	msg.time_left = req->deadline == CLK_NEVER
				? CLK_NEVER
				: MAX(req->deadline - home->now, 0);
	home->options.ops->send(home->options.ctx, &msg);
}

void home_hold_send(struct home *home, struct req *req)
{
	req->next_send = home->now + home->options.resend;
	if (!may_send(home, req))
		return;
	req->hold_sent = true;
	if (req->phase == REQ_NEW)
		req->phase = REQ_HOLD_SENT;
	else if (req->phase == REQ_HELD && req->want_run &&
		 !req->attrs.idempotent && home->state == HOME_OPEN)
		req->phase = REQ_GRANT_SENT;
	if (home_holder(home)[0]) {
		hold_msg_send(home, req);
		return;
	}
	/* No other host lives: the record names no guardian. */
	take_held(home, req, home->state == HOME_OPEN);
}

void home_progress_send(struct home *home, struct req *req, const char *to)
{
	struct home_msg msg = msg_begin(home, req, HOME_PROGRESS, to);

	if (req->phase == REQ_MOVED) {
		msg.home = home->lost_as;
		msg.epoch = home->lost_epoch;
	}
	req->attempt_told = true;
	msg.upstream = req->attempt.upstream;
	msg.stream = req->attempt.stream;
	msg.first = req->acked;
	msg.pieces = req;
	msg.count = req_piece_count(req) - req->acked;
	msg.ended = req->answer.ended;
	msg.end_kind = req->answer.kind;
	msg.end_status = req->answer.status;
	home->options.ops->send(home->options.ctx, &msg);
}

/* Repeats a revocation until it is confirmed. */
static void revoke_send(struct home *home, struct req *req)
{
	struct home_msg msg =
		msg_begin(home, req, HOME_REVOKE, home_holder(home));

	req->next_send = home->now + home->options.resend;
	if (home->state != HOME_OPEN)
		return;
	if (home_holder(home)[0])
		home->options.ops->send(home->options.ctx, &msg);
	else
		home_finish(home, req, req->refusal, 0);
}

/* Sends progress if the guardian lacks some of it. */
static void progress_tick(struct home *home, struct req *req)
{
	bool lacks = req->acked < req_piece_count(req) ||
		     (req->answer.ended && !req->end_acked);

	if (req->answer.ended &&
	    (req->end_acked || !req->hold_sent ||
	     (!req->copied && !home_copy_needed(home, req)))) {
		home_deactivate(home, req);
		return;
	}
	req->next_send =
		home->now + (req->answer.ended ? home->options.resend
					       : home->options.progress_gap);
	if (!home_holder(home)[0]) {
		if (req->answer.ended)
			home_deactivate(home, req);
		return;
	}
	if (lacks || (req->attempt.stream && !req->attempt_told))
		home_progress_send(home, req, home_holder(home));
}

/* Tells whether the guardian still lacks the request itself. */
static bool copy_due(const struct home *home, const struct req *req)
{
	return !req->copied && home_copy_needed(home, req) &&
	       req->phase != REQ_HOLD_SENT && home_holder(home)[0];
}

void home_hold_tick(struct home *home, struct req *req)
{
	if (!clk_passed(req->next_send, home->now) || !may_send(home, req))
		return;
	if (copy_due(home, req)) {
		req->next_send = home->now + home->options.resend;
		hold_msg_send(home, req);
		return;
	}
	switch (req->phase) {
	case REQ_NEW:
	case REQ_HOLD_SENT:
	case REQ_GRANT_SENT:
		home_hold_send(home, req);
		break;
	case REQ_REVOKING:
		revoke_send(home, req);
		break;
	case REQ_HELD:
	case REQ_GRANTED:
	case REQ_ENDED:
		progress_tick(home, req);
		break;
	default:
		home_deactivate(home, req);
		break;
	}
}

/* Tells whether a verdict is from the host whose word counts now. */
static bool verdict_counts(const struct home *home, const struct home_msg *msg,
			   const struct req *req)
{
	bool from_holder = !strcmp(msg->from, home_holder(home)) &&
			   msg->epoch == home_holder_epoch(home);

	if (!home_rule(home, HOME_RULE_NO_OLD_GRANT) &&
	    !strcmp(msg->from, home->record.peer))
		return true;
	if (!from_holder)
		return false;
	return home->state == HOME_OPEN || home->state == HOME_COPYING ||
	       req->attrs.idempotent;
}

/* Notes what the guardian has of the answer. */
static void take_acked(struct req *req, const struct home_msg *msg)
{
	size_t acked = MIN(msg->acked, req_piece_count(req));

	req->acked = MAX(req->acked, acked);
	req->end_acked |= msg->end_acked && req->answer.ended;
}

void home_hold_on_verdict(struct home *home, const struct home_msg *msg)
{
	struct req *req;

	if (msg->verdict == VERDICT_SEALED) {
		if (!strcmp(msg->home, home->self) && home->state != HOME_LOST)
			home_lost(home, msg->from);
		return;
	}
	req = g_hash_table_lookup(home->reqs, msg->id);
	if (!req || strcmp(msg->home, home->self) != 0 ||
	    strcmp(req->acting, home->self) != 0 ||
	    !verdict_counts(home, msg, req))
		return;
	req->copied = msg->verdict != VERDICT_UNSEEN;
	if (!req->copied)
		return;
	take_acked(req, msg);
	if (msg->verdict == VERDICT_REVOKED) {
		if (req->phase == REQ_REVOKING)
			home_finish(home, req, req->refusal, 0);
		return;
	}
	/* The next guardian can take over only once the record names it. */
	if (home->state != HOME_OPEN && !req->attrs.idempotent &&
	    home_rule(home, HOME_RULE_NO_OLD_GRANT))
		return;
	take_held(home, req,
		  msg->verdict == VERDICT_GRANTED &&
			  msg->grant_no == req->attempt.grant_no &&
			  (home->state == HOME_OPEN ||
			   !home_rule(home, HOME_RULE_NO_OLD_GRANT)));
}
