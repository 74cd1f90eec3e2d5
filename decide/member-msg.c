/* Membership messages: what they carry, and taking them. */
#include "member-int.h"

#include <string.h>

/* Tells whether an update is a death, a suspicion or the answer to one. */
static bool is_urgent(const struct member *member)
{
	return member->info.state >= MEMBER_SUSPECT || member->info.seq > 0;
}

/* Adds the updates that are due, from a turning place of the list on. */
static void msg_add_some(struct member_list *list, struct member_msg *msg,
			 bool urgent)
{
	guint start = list->order->len ? list->probe % list->order->len : 0;

	for (guint i = 0; i < list->order->len; i++) {
		guint at = (start + i) % list->order->len;
		struct member *member = g_ptr_array_index(list->order, at);

		if (msg->update_count == MEMBER_UPDATES_MAX)
			return;
		if (member->to_send == 0 || is_urgent(member) != urgent)
			continue;
		member->to_send--;
		msg->updates[msg->update_count++] = member->info;
	}
}

/* Adds the updates that are due: deaths and suspicions go first, so that
 * many hosts that come at once do not hold them up. */
static void msg_add_updates(struct member_list *list, struct member_msg *msg)
{
	msg_add_some(list, msg, true);
	msg_add_some(list, msg, false);
}

static void msg_add_marks(struct member_list *list, struct member_msg *msg)
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
	msg_add_marks(list, msg);
}

void member_msg_send(struct member_list *list, const char *rpc,
		     struct member_msg *msg)
{
	msg_add_updates(list, msg);
	list->sent++;
	list->options.ops->send(list->options.ctx, rpc, msg);
}

/* Tells a sender that is held for dead so. */
static void tell_dead(struct member_list *list, const struct member *member,
		      uint32_t probe)
{
	struct member_msg msg;

	member_msg_build(list, &msg, MEMBER_ACK, probe);
	msg.updates[msg.update_count++] = member->info;
	member_msg_send(list, member->info.rpc, &msg);
}

/* Probes a host for another one. */
static void relay_begin(struct member_list *list, const struct member_msg *msg,
			clk_ms now)
{
	const struct member *target = member_get(list, msg->target);
	struct indirect_probe relay = {
		.probe = ++list->probe,
		.requester_probe = msg->probe,
		.expires = now + list->options.period,
	};
	struct member_msg ping;

	if (!target)
		return;
	g_strlcpy(relay.requester, msg->updates[0].rpc, MEMBER_ADDRESS_MAX);
	g_array_append_val(list->indirect_probes, relay);
	member_msg_build(list, &ping, MEMBER_PING, relay.probe);
	member_msg_send(list, target->info.rpc, &ping);
}

/* Passes an answer on to the host that asked for the probe. */
static bool relay_answer(struct member_list *list, const struct member_msg *msg)
{
	for (guint i = 0; i < list->indirect_probes->len; i++) {
		struct indirect_probe *relay = &g_array_index(
			list->indirect_probes, struct indirect_probe, i);
		struct member_msg ack;

		if (relay->probe != msg->probe)
			continue;
		member_msg_build(list, &ack, MEMBER_ACK,
				 relay->requester_probe);
		g_strlcpy(ack.target, msg->updates[0].incarnation,
			  sizeof(ack.target));
		member_msg_send(list, relay->requester, &ack);
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

/* A probe was answered, directly or through another host. */
static void on_ack(struct member_list *list, const struct member_msg *msg)
{
	list->maybe_dead = false;
	if (relay_answer(list, msg))
		return;
	/* Another incarnation at the same address does not answer for it. */
	if (msg->probe == list->own_probe &&
	    (!strcmp(msg->updates[0].incarnation, list->probed) ||
	     !strcmp(msg->target, list->probed)))
		list->probed[0] = '\0';
}

/* A host that answers under a new incarnation has lost its old one. */
static void replaced_at(struct member_list *list,
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
	struct member_msg answer;

	if (msg->update_count == 0)
		return;
	sender = member_get(list, msg->updates[0].incarnation);
	if (sender && sender->info.state == MEMBER_DEAD) {
		tell_dead(list, sender, msg->probe);
		return;
	}
	replaced_at(list, &msg->updates[0], now);
	for (size_t i = 0; i < msg->update_count; i++)
		member_on_update(list, &msg->updates[i], now);
	for (size_t i = 0; i < msg->notice_count; i++)
		member_on_notice(list, &msg->notices[i]);
	switch (msg->kind) {
	case MEMBER_PING:
		member_msg_build(list, &answer, MEMBER_ACK, msg->probe);
		/* A suspect gets the chance to refute. */
		sender = member_get(list, msg->updates[0].incarnation);
		if (sender && sender->info.state == MEMBER_SUSPECT)
			answer.updates[answer.update_count++] = sender->info;
		member_msg_send(list, msg->updates[0].rpc, &answer);
		break;
	case MEMBER_ACK:
		on_ack(list, msg);
		break;
	case MEMBER_PING_REQ:
		relay_begin(list, msg, now);
		break;
	default:
		break;
	}
	list->options.ops->revisions(list->options.ctx, msg->updates[0].rpc,
				     msg->settings, msg->hosts);
}
