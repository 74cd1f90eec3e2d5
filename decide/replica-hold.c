/* A home's side of holds, grants, revocations and progress. */
#include "replica-int.h"

#include <string.h>

/* Fills what is the same in every message to the guardian. */
static struct replica_msg msg_begin(const struct replica *home,
				    const struct req *req,
				    enum replica_msg_kind kind, const char *to)
{
	return (struct replica_msg){
		.kind = kind,
		.from = home->self,
		.to = to,
		.primary = home->self,
		.epoch = replica_standby_epoch(home),
		.id = req->id,
	};
}

/* Tells whether messages about a request may be sent in this state. */
static bool may_send(const struct replica *home, const struct req *req)
{
	if (home->state == REPLICA_OPEN)
		return true;
	if (!home->candidate[0])
		return false;
	if (req->attrs.idempotent)
		return home->state != REPLICA_DEPOSED;
	return home->state == REPLICA_COPYING && req->phase != REQ_NEW;
}

/* Acts on the word that the request is held, or granted. */
static void take_held(struct replica *home, struct req *req, bool granted)
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
			replica_run(home, req);
		return;
	}
	if (granted && req->want_run) {
		req->phase = REQ_GRANTED;
		replica_run(home, req);
	} else if (req->want_run && req->phase == REQ_HELD) {
		replica_hold_send(home, req);
	}
}

/* Sends a hold message as the request stands. */
static void hold_msg_send(struct replica *home, struct req *req)
{
	struct replica_msg msg =
		msg_begin(home, req, REPLICA_HOLD, replica_standby_name(home));

	msg.copy = home->state == REPLICA_COPYING;
	msg.want_grant = req->want_run && !req->attrs.idempotent && !msg.copy &&
			 home->state == REPLICA_OPEN;
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

void replica_hold_send(struct replica *home, struct req *req)
{
	req->next_send = home->now + home->options.resend;
	if (!may_send(home, req))
		return;
	req->hold_sent = true;
	if (req->phase == REQ_NEW)
		req->phase = REQ_HOLD_SENT;
	else if (req->phase == REQ_HELD && req->want_run &&
		 !req->attrs.idempotent && home->state == REPLICA_OPEN)
		req->phase = REQ_GRANT_SENT;
	if (replica_standby_name(home)[0]) {
		hold_msg_send(home, req);
		return;
	}
	/* No other host lives: the record names no guardian. */
	take_held(home, req, home->state == REPLICA_OPEN);
}

void replica_progress_send(struct replica *home, struct req *req,
			   const char *to)
{
	struct replica_msg msg = msg_begin(home, req, REPLICA_PROGRESS, to);

	if (req->phase == REQ_MOVED) {
		msg.primary = home->sealed_self;
		msg.epoch = home->sealed_epoch;
	}
	req->attempt_reported = true;
	msg.upstream = req->attempt.upstream;
	msg.stream = req->attempt.stream;
	msg.first = req->acked;
	msg.chunks = req;
	msg.count = req_chunk_count(req) - req->acked;
	msg.ended = req->answer.ended;
	msg.end_kind = req->answer.kind;
	msg.end_status = req->answer.status;
	home->options.ops->send(home->options.ctx, &msg);
}

/* Repeats a revocation until it is confirmed. */
static void revoke_send(struct replica *home, struct req *req)
{
	struct replica_msg msg = msg_begin(home, req, REPLICA_REVOKE,
					   replica_standby_name(home));

	req->next_send = home->now + home->options.resend;
	if (home->state != REPLICA_OPEN)
		return;
	if (replica_standby_name(home)[0])
		home->options.ops->send(home->options.ctx, &msg);
	else
		replica_finish(home, req, req->refusal, 0);
}

/* Sends progress if the guardian lacks some of it. */
static void progress_tick(struct replica *home, struct req *req)
{
	bool lacks = req->acked < req_chunk_count(req) ||
		     (req->answer.ended && !req->end_acked);

	if (req->answer.ended &&
	    (req->end_acked || !req->hold_sent ||
	     (!req->replicated && !replica_copy_needed(home, req)))) {
		replica_deactivate(home, req);
		return;
	}
	req->next_send =
		home->now + (req->answer.ended ? home->options.resend
					       : home->options.progress_gap);
	if (!replica_standby_name(home)[0]) {
		if (req->answer.ended)
			replica_deactivate(home, req);
		return;
	}
	if (lacks || (req->attempt.stream && !req->attempt_reported))
		replica_progress_send(home, req, replica_standby_name(home));
}

/* Tells whether the guardian still lacks the request itself. */
static bool copy_due(const struct replica *home, const struct req *req)
{
	return !req->replicated && replica_copy_needed(home, req) &&
	       req->phase != REQ_HOLD_SENT && replica_standby_name(home)[0];
}

void replica_hold_tick(struct replica *home, struct req *req)
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
		replica_hold_send(home, req);
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
		replica_deactivate(home, req);
		break;
	}
}

/* Tells whether a verdict is from the host whose word counts now. */
static bool verdict_counts(const struct replica *home,
			   const struct replica_msg *msg, const struct req *req)
{
	bool from_holder = !strcmp(msg->from, replica_standby_name(home)) &&
			   msg->epoch == replica_standby_epoch(home);

	if (!replica_rule(home, REPLICA_RULE_NO_OLD_GRANT) &&
	    !strcmp(msg->from, home->record.peer))
		return true;
	if (!from_holder)
		return false;
	return home->state == REPLICA_OPEN || home->state == REPLICA_COPYING ||
	       req->attrs.idempotent;
}

/* Notes what the guardian has of the answer. */
static void take_acked(struct req *req, const struct replica_msg *msg)
{
	size_t acked = MIN(msg->acked, req_chunk_count(req));

	req->acked = MAX(req->acked, acked);
	req->end_acked |= msg->end_acked && req->answer.ended;
}

void replica_hold_on_ack(struct replica *home, const struct replica_msg *msg)
{
	struct req *req;

	if (msg->ack == ACK_SEALED) {
		if (!strcmp(msg->primary, home->self) &&
		    home->state != REPLICA_DEPOSED)
			replica_deposed(home, msg->from);
		return;
	}
	req = g_hash_table_lookup(home->reqs, msg->id);
	if (!req || strcmp(msg->primary, home->self) != 0 ||
	    strcmp(req->acting, home->self) != 0 ||
	    !verdict_counts(home, msg, req))
		return;
	req->replicated = msg->ack != ACK_UNKNOWN;
	if (!req->replicated)
		return;
	take_acked(req, msg);
	if (msg->ack == ACK_REVOKED) {
		if (req->phase == REQ_REVOKING)
			replica_finish(home, req, req->refusal, 0);
		return;
	}
	/* The next guardian can take over only once the record names it. */
	if (home->state != REPLICA_OPEN && !req->attrs.idempotent &&
	    replica_rule(home, REPLICA_RULE_NO_OLD_GRANT))
		return;
	take_held(home, req,
		  msg->ack == ACK_GRANTED &&
			  msg->grant_no == req->attempt.grant_no &&
			  (home->state == REPLICA_OPEN ||
			   !replica_rule(home, REPLICA_RULE_NO_OLD_GRANT)));
}
