/* Converts membership messages between struct member_msg and XDR. */
#include "rpc.h"

#include <string.h>

void rpc_update_to_wire(const struct member_update *update, w_update *wire)
{
	wire->incarnation = (char *)update->incarnation;
	wire->http = (char *)update->http;
	wire->rpc = (char *)update->rpc;
	wire->data_centre = (char *)update->data_centre;
	wire->state = update->state;
	wire->seq = update->seq;
}

bool rpc_update_from_wire(const w_update *wire, struct member_update *update)
{
	if (wire->state >= MEMBER_STATE_COUNT || !wire->incarnation[0])
		return false;
	g_strlcpy(update->incarnation, wire->incarnation,
		  sizeof(update->incarnation));
	g_strlcpy(update->http, wire->http, sizeof(update->http));
	g_strlcpy(update->rpc, wire->rpc, sizeof(update->rpc));
	g_strlcpy(update->data_centre, wire->data_centre,
		  sizeof(update->data_centre));
	update->state = (enum member_state)wire->state;
	update->seq = wire->seq;
	return true;
}

void rpc_notice_to_wire(const struct member_notice *notice, w_mark *wire)
{
	wire->upstream = (char *)notice->subject;
	wire->leaving = notice->set;
	wire->stamp = notice->stamp;
}

bool rpc_notice_from_wire(const w_mark *wire, struct member_notice *notice)
{
	if (!wire->upstream[0])
		return false;
	g_strlcpy(notice->subject, wire->upstream, sizeof(notice->subject));
	notice->set = wire->leaving;
	notice->stamp = wire->stamp;
	return true;
}

void rpc_gossip_to_wire(const struct member_msg *msg, w_gossip *wire,
			w_update *updates, w_mark *marks)
{
	memset(wire, 0, sizeof(*wire));
	wire->kind = msg->kind;
	wire->probe = msg->probe;
	wire->target = (char *)msg->target;
	wire->settings = msg->settings;
	wire->hosts = msg->hosts;
	wire->updates.updates_len = (u_int)msg->update_count;
	wire->updates.updates_val = updates;
	wire->marks.marks_len = (u_int)msg->notice_count;
	wire->marks.marks_val = marks;
	for (size_t i = 0; i < msg->update_count; i++)
		rpc_update_to_wire(&msg->updates[i], &updates[i]);
	for (size_t i = 0; i < msg->notice_count; i++)
		rpc_notice_to_wire(&msg->notices[i], &marks[i]);
}

bool rpc_gossip_from_wire(const w_gossip *wire, struct member_msg *msg)
{
	memset(msg, 0, sizeof(*msg));
	if (wire->kind >= MEMBER_MSG_COUNT || wire->updates.updates_len == 0)
		return false;
	msg->kind = (enum member_msg_kind)wire->kind;
	msg->probe = wire->probe;
	g_strlcpy(msg->target, wire->target, sizeof(msg->target));
	msg->settings = wire->settings;
	msg->hosts = wire->hosts;
	for (u_int i = 0; i < wire->updates.updates_len; i++)
		if (!rpc_update_from_wire(&wire->updates.updates_val[i],
					  &msg->updates[msg->update_count++]))
			return false;
	for (u_int i = 0; i < wire->marks.marks_len; i++)
		if (!rpc_notice_from_wire(&wire->marks.marks_val[i],
					  &msg->notices[msg->notice_count++]))
			return false;
	return true;
}
