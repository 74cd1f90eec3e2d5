/* The primary's side of holds, grants, revocations and progress. */
#include "replica-int.h"

#include <string.h>

/* Fills the fields common to all messages to the standby. */
static struct replica_msg msg_begin(const struct replica *replica,
				    const struct req *req,
				    enum replica_msg_kind kind, const char *to)
{
	return (struct replica_msg){
		.kind = kind,
		.from = replica->self,
		.to = to,
		.primary = replica->self,
		.epoch = replica_standby_epoch(replica),
		.id = req->id,
	};
}

/* Returns whether messages about a request may be sent in this state. */
static bool may_send(const struct replica *replica, const struct req *req)
{
	if (replica->state == REPLICA_OPEN)
		return true;
	if (!replica->candidate[0])
		return false;
	if (req->attrs.idempotent)
		return replica->state != REPLICA_DEPOSED;
	return replica->state == REPLICA_COPYING && req->phase != REQ_NEW;
}

/* Continues with a request that the standby holds, or has granted. */
static void on_held(struct replica *replica, struct req *req, bool granted)
{
	if (req->phase == REQ_HOLD_SENT) {
		req->phase = REQ_HELD;
		if (!req->accepted) {
			req->accepted = true;
			replica->options.ops->accepted(replica->options.ctx,
						       req);
		}
	}
	if (req->phase != REQ_HELD && req->phase != REQ_GRANT_SENT)
		return;
	if (req->attrs.idempotent) {
		if (req->want_run && !req->running)
			replica_run(replica, req);
		return;
	}
	if (granted && req->want_run) {
		req->phase = REQ_GRANTED;
		replica_run(replica, req);
	} else if (req->want_run && req->phase == REQ_HELD) {
		replica_hold_send(replica, req);
	}
}

/* Sends a hold with the current state of the request. */
static void hold_msg_send(struct replica *replica, struct req *req)
{
	struct replica_msg msg = msg_begin(replica, req, REPLICA_HOLD,
					   replica_standby_name(replica));

	msg.copy = replica->state == REPLICA_COPYING;
	msg.want_grant = req->want_run && !req->attrs.idempotent && !msg.copy &&
			 replica->state == REPLICA_OPEN;
	msg.granted = req->phase == REQ_GRANTED ||
		      (req->phase == REQ_ENDED && req_ran(req) != ERR_RAN_NO);
	msg.grant_no = req->attempt.grant_no;
	msg.upstream = req->attempt.upstream;
	msg.attrs = &req->attrs;
	msg.time_left = req->deadline == CLK_NEVER
				? CLK_NEVER
				: MAX(req->deadline - replica->now, 0);
	replica->options.ops->send(replica->options.ctx, &msg);
}

void replica_hold_send(struct replica *replica, struct req *req)
{
	req->next_send = replica->now + replica->options.resend_interval;
	if (!may_send(replica, req))
		return;
	req->hold_sent = true;
	if (req->phase == REQ_NEW)
		req->phase = REQ_HOLD_SENT;
	else if (req->phase == REQ_HELD && req->want_run &&
		 !req->attrs.idempotent && replica->state == REPLICA_OPEN)
		req->phase = REQ_GRANT_SENT;
	if (replica_standby_name(replica)[0]) {
		hold_msg_send(replica, req);
		return;
	}
	/* No other host is alive: the record names no standby. */
	on_held(replica, req, replica->state == REPLICA_OPEN);
}

void replica_progress_send(struct replica *replica, struct req *req,
			   const char *to)
{
	struct replica_msg msg = msg_begin(replica, req, REPLICA_PROGRESS, to);

	if (req->phase == REQ_MOVED) {
		msg.primary = replica->sealed_self;
		msg.epoch = replica->sealed_epoch;
	}
	req->attempt_reported = true;
	msg.upstream = req->attempt.upstream;
	msg.stream = req->attempt.stream;
	msg.first_chunk = req->acked;
	msg.chunks = req;
	msg.chunk_count = req_chunk_count(req) - req->acked;
	msg.ended = req->answer.ended;
	msg.end_kind = req->answer.kind;
	msg.end_status = req->answer.status;
	replica->options.ops->send(replica->options.ctx, &msg);
}

/* Sends a revocation; repeated until it is confirmed. */
static void revoke_send(struct replica *replica, struct req *req)
{
	struct replica_msg msg = msg_begin(replica, req, REPLICA_REVOKE,
					   replica_standby_name(replica));

	req->next_send = replica->now + replica->options.resend_interval;
	if (replica->state != REPLICA_OPEN)
		return;
	if (replica_standby_name(replica)[0])
		replica->options.ops->send(replica->options.ctx, &msg);
	else
		replica_finish(replica, req, req->refusal, 0);
}

/* Sends the progress that the standby lacks. */
static void progress_tick(struct replica *replica, struct req *req)
{
	bool lacks = req->acked < req_chunk_count(req) ||
		     (req->answer.ended && !req->end_acked);

	if (req->answer.ended &&
	    (req->end_acked || !req->hold_sent ||
	     (!req->replicated && !replica_copy_needed(replica, req)))) {
		replica_deactivate(replica, req);
		return;
	}
	req->next_send = replica->now +
			 (req->answer.ended ? replica->options.resend_interval
					    : replica->options.progress_gap);
	if (!replica_standby_name(replica)[0]) {
		if (req->answer.ended)
			replica_deactivate(replica, req);
		return;
	}
	if (lacks || (req->attempt.stream && !req->attempt_reported))
		replica_progress_send(replica, req,
				      replica_standby_name(replica));
}

/* Returns whether the standby still lacks the request itself. */
static bool copy_due(const struct replica *replica, const struct req *req)
{
	return !req->replicated && replica_copy_needed(replica, req) &&
	       req->phase != REQ_HOLD_SENT && replica_standby_name(replica)[0];
}

void replica_hold_tick(struct replica *replica, struct req *req)
{
	if (!clk_passed(req->next_send, replica->now) ||
	    !may_send(replica, req))
		return;
	if (copy_due(replica, req)) {
		req->next_send =
			replica->now + replica->options.resend_interval;
		hold_msg_send(replica, req);
		return;
	}
	switch (req->phase) {
	case REQ_NEW:
	case REQ_HOLD_SENT:
	case REQ_GRANT_SENT:
		replica_hold_send(replica, req);
		break;
	case REQ_REVOKING:
		revoke_send(replica, req);
		break;
	case REQ_HELD:
	case REQ_GRANTED:
	case REQ_ENDED:
		progress_tick(replica, req);
		break;
	default:
		replica_deactivate(replica, req);
		break;
	}
}

/* Returns whether an ack is from the current standby and epoch. */
static bool ack_is_current(const struct replica *replica,
			   const struct replica_msg *msg, const struct req *req)
{
	bool from_standby = !strcmp(msg->from, replica_standby_name(replica)) &&
			    msg->epoch == replica_standby_epoch(replica);

	if (!replica_rule(replica, REPLICA_RULE_NO_OLD_GRANT) &&
	    !strcmp(msg->from, replica->record.peer))
		return true;
	if (!from_standby)
		return false;
	return replica->state == REPLICA_OPEN ||
	       replica->state == REPLICA_COPYING || req->attrs.idempotent;
}

/* Records which part of the answer the standby has. */
static void progress_acked(struct req *req, const struct replica_msg *msg)
{
	size_t acked = MIN(msg->acked, req_chunk_count(req));

	req->acked = MAX(req->acked, acked);
	req->end_acked |= msg->end_acked && req->answer.ended;
}

void replica_hold_on_ack(struct replica *replica, const struct replica_msg *msg)
{
	struct req *req;

	if (msg->ack == ACK_SEALED) {
		if (!strcmp(msg->primary, replica->self) &&
		    replica->state != REPLICA_DEPOSED)
			replica_deposed(replica, msg->from);
		return;
	}
	req = g_hash_table_lookup(replica->reqs, msg->id);
	if (!req || strcmp(msg->primary, replica->self) != 0 ||
	    strcmp(req->acting, replica->self) != 0 ||
	    !ack_is_current(replica, msg, req))
		return;
	req->replicated = msg->ack != ACK_UNKNOWN;
	if (!req->replicated)
		return;
	progress_acked(req, msg);
	if (msg->ack == ACK_REVOKED) {
		if (req->phase == REQ_REVOKING)
			replica_finish(replica, req, req->refusal, 0);
		return;
	}
	/* The next standby can take over only once the record names it. */
	if (replica->state != REPLICA_OPEN && !req->attrs.idempotent &&
	    replica_rule(replica, REPLICA_RULE_NO_OLD_GRANT))
		return;
	on_held(replica, req,
		msg->ack == ACK_GRANTED &&
			msg->grant_no == req->attempt.grant_no &&
			(replica->state == REPLICA_OPEN ||
			 !replica_rule(replica, REPLICA_RULE_NO_OLD_GRANT)));
}
