/* Building and handling of membership messages. */
#include "member-int.h"

#include <string.h>

/* Returns whether an update is a death, a suspicion or a refutation. */
static bool is_urgent(const struct member *member)
{
	return member->info.state >= MEMBER_SUSPECT || member->info.seq > 0;
}

/* Adds pending updates, either the urgent or the other ones. The start rotates
 * with the probe number, so that all members get their turn. */
static void msg_add_matching(struct member_list *list, struct member_msg *msg,
			     bool urgent)
{
	guint start = list->order->len ? list->probe % list->order->len : 0;

	for (guint i = 0; i < list->order->len; i++) {
		guint idx = (start + i) % list->order->len;
		struct member *member = g_ptr_array_index(list->order, idx);

		if (msg->update_count == MEMBER_UPDATES_MAX)
			return;
		if (member->to_send == 0 || is_urgent(member) != urgent)
			continue;
		member->to_send--;
		msg->updates[msg->update_count++] = member->info;
	}
}

/* Adds the pending updates. Deaths and suspicions go first, so that many hosts
 * joining at once do not delay them. */
static void msg_add_updates(struct member_list *list, struct member_msg *msg)
{
	msg_add_matching(list, msg, true);
	msg_add_matching(list, msg, false);
}

static void msg_add_notices(struct member_list *list, struct member_msg *msg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->notices);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct notice_entry *entry = value;

		if (msg->notice_count == MEMBER_NOTICES_MAX)
			return;
		if (entry->to_send == 0)
			continue;
		entry->to_send--;
		msg->notices[msg->notice_count++] = entry->notice;
	}
}

void member_msg_build(struct member_list *list, struct member_msg *msg,
		      enum member_msg_kind kind, uint32_t probe)
{
	memset(msg, 0, sizeof(*msg));
	msg->kind = kind;
	msg->probe = probe;
	msg->settings = list->settings;
	msg->hosts = list->hosts;
	msg->updates[msg->update_count++] = list->self;
	msg_add_notices(list, msg);
}

void member_msg_send(struct member_list *list, const char *rpc,
		     struct member_msg *msg)
{
	msg_add_updates(list, msg);
	list->sent++;
	list->options.ops->send(list->options.ctx, rpc, msg);
}

void member_broadcast(struct member_list *list,
		      const struct member_notice *notices, size_t count)
{
	for (guint i = 0; i < list->order->len; i++) {
		const struct member *member = g_ptr_array_index(list->order, i);
		struct member_msg msg;

		if (member->info.state == MEMBER_DEAD)
			continue;
		member_msg_build(list, &msg, MEMBER_ACK, 0);
		msg.notice_count = MIN(count, MEMBER_NOTICES_MAX);
		memcpy(msg.notices, notices,
		       msg.notice_count * sizeof(*notices));
		member_msg_send(list, member->info.rpc, &msg);
	}
}

/* Informs a sender that it is listed as dead here, so that it takes a new
 * incarnation. */
static void reply_declared_dead(struct member_list *list,
				const struct member *member, uint32_t probe)
{
	struct member_msg msg;

	member_msg_build(list, &msg, MEMBER_ACK, probe);
	msg.updates[msg.update_count++] = member->info;
	member_msg_send(list, member->info.rpc, &msg);
}

/* Probes a member on behalf of the sender of a MEMBER_PING_REQ. */
static void indirect_probe_start(struct member_list *list,
				 const struct member_msg *msg, clk_ms now)
{
	const struct member *target = member_get(list, msg->target);
	struct indirect_probe indirect = {
		.probe = ++list->probe,
		.requester_probe = msg->probe,
		.expires = now + list->options.period,
	};
	struct member_msg ping;

	if (!target)
		return;
	g_strlcpy(indirect.requester, msg->updates[0].rpc, MEMBER_ADDRESS_MAX);
	g_array_append_val(list->indirect_probes, indirect);
	member_msg_build(list, &ping, MEMBER_PING, indirect.probe);
	member_msg_send(list, target->info.rpc, &ping);
}

/* Forwards an ack to the host that requested the indirect probe. Returns false
 * if the ack belongs to no indirect probe. */
static bool indirect_probe_forward_ack(struct member_list *list,
				       const struct member_msg *msg)
{
	for (guint i = 0; i < list->indirect_probes->len; i++) {
		struct indirect_probe *indirect = &g_array_index(
			list->indirect_probes, struct indirect_probe, i);
		struct member_msg ack;

		if (indirect->probe != msg->probe)
			continue;
		member_msg_build(list, &ack, MEMBER_ACK,
				 indirect->requester_probe);
		g_strlcpy(ack.target, msg->updates[0].incarnation,
			  sizeof(ack.target));
		member_msg_send(list, indirect->requester, &ack);
		g_array_remove_index_fast(list->indirect_probes, i);
		return true;
	}
	return false;
}

void member_indirect_expire(struct member_list *list, clk_ms now)
{
	for (guint i = list->indirect_probes->len; i-- > 0;)
		if (g_array_index(list->indirect_probes, struct indirect_probe,
				  i)
			    .expires <= now)
			g_array_remove_index_fast(list->indirect_probes, i);
}

/* Handles the ack of a direct or indirect probe. */
static void on_ack(struct member_list *list, const struct member_msg *msg)
{
	list->maybe_dead = false;
	if (indirect_probe_forward_ack(list, msg))
		return;
	/* An ack from another incarnation at the same address does not
	 * count. */
	if (msg->probe == list->own_probe &&
	    (!strcmp(msg->updates[0].incarnation, list->probed) ||
	     !strcmp(msg->target, list->probed)))
		list->probed[0] = '\0';
}

/* Declares other incarnations at the sender's address dead: a host runs only
 * one incarnation at a time. */
static void set_replaced_dead(struct member_list *list,
			      const struct member_update *sender, clk_ms now)
{
	for (guint i = 0; i < list->order->len; i++) {
		struct member *member = g_ptr_array_index(list->order, i);

		if (member->info.state != MEMBER_DEAD &&
		    !strcmp(member->info.rpc, sender->rpc) &&
		    strcmp(member->info.incarnation, sender->incarnation) != 0)
			member_set_state(list, member, MEMBER_DEAD, now);
	}
}

void member_on_msg(struct member_list *list, const struct member_msg *msg,
		   clk_ms now)
{
	const struct member *sender;
	struct member_msg reply;

	if (msg->update_count == 0)
		return;
	sender = member_get(list, msg->updates[0].incarnation);
	if (sender && sender->info.state == MEMBER_DEAD) {
		/* Two hosts that take each other for dead would answer each
		 * other's acks for good. */
		if (msg->kind != MEMBER_ACK)
			reply_declared_dead(list, sender, msg->probe);
		return;
	}
	set_replaced_dead(list, &msg->updates[0], now);
	for (size_t i = 0; i < msg->update_count; i++)
		member_on_update(list, &msg->updates[i], now);
	for (size_t i = 0; i < msg->notice_count; i++)
		member_on_notice(list, &msg->notices[i]);
	switch (msg->kind) {
	case MEMBER_PING:
		member_msg_build(list, &reply, MEMBER_ACK, msg->probe);
		/* Sends a suspect its own update, so that it can refute it. */
		sender = member_get(list, msg->updates[0].incarnation);
		if (sender && sender->info.state == MEMBER_SUSPECT)
			reply.updates[reply.update_count++] = sender->info;
		member_msg_send(list, msg->updates[0].rpc, &reply);
		break;
	case MEMBER_ACK:
		on_ack(list, msg);
		break;
	case MEMBER_PING_REQ:
		indirect_probe_start(list, msg, now);
		break;
	default:
		break;
	}
	list->options.ops->revisions(list->options.ctx, msg->updates[0].rpc,
				     msg->settings, msg->hosts);
}
