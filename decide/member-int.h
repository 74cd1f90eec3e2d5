/* Internal declarations shared by the membership files. */
#ifndef DECIDE_MEMBER_INT_H
#define DECIDE_MEMBER_INT_H

#include "member.h"

/* An indirect probe: one sent on behalf of another host. */
struct indirect_probe {
	uint32_t probe;		  /* number of this host's ping */
	uint32_t requester_probe; /* number of the requester's probe */
	char requester[MEMBER_ADDRESS_MAX];
	clk_ms expires;
};

/* A notice and how many messages are still to carry it. */
struct notice_entry {
	struct member_notice notice;
	unsigned to_send;
};

/* member.c */
struct member *member_get(const struct member_list *list,
			  const char *incarnation);
/* Sets a member's state and queues the update for dissemination. */
void member_set_state(struct member_list *list, struct member *member,
		      enum member_state state, clk_ms now);

/* member-msg.c */
/* Builds a message with this host's own update and the pending leaving
 * notices. */
void member_msg_build(struct member_list *list, struct member_msg *msg,
		      enum member_msg_kind kind, uint32_t probe);
void member_msg_send(struct member_list *list, const char *rpc,
		     struct member_msg *msg);
/* Drops indirect probes that were not answered in time. */
void member_indirect_expire(struct member_list *list, clk_ms now);

/* member-probe.c */
/* Probes the next member that is not dead, or a seed if there is none. */
void member_probe_next(struct member_list *list, clk_ms now);

#endif
