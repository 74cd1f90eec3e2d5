/* What the parts of member.h share with each other. */
#ifndef DECIDE_MEMBER_INT_H
#define DECIDE_MEMBER_INT_H

#include "member.h"

/* A probe made for another host. */
struct indirect_probe {
	uint32_t probe;		  /* our number */
	uint32_t requester_probe; /* the asking host's number */
	char requester[MEMBER_ADDRESS_MAX];
	clk_ms expires;
};

/* A mark and how often it is still to be sent. */
struct notice_entry {
	struct member_notice notice;
	unsigned to_send;
};

/* member.c */
struct member *member_get(const struct member_list *list,
			  const char *incarnation);
/* Notes a member's new state and spreads it. */
void member_set_state(struct member_list *list, struct member *member,
		      enum member_state state, clk_ms now);

/* member-msg.c */
/* Builds a message that carries what is to be spread. */
void member_msg_build(struct member_list *list, struct member_msg *msg,
		      enum member_msg_kind kind, uint32_t probe);
void member_msg_send(struct member_list *list, const char *rpc,
		     struct member_msg *msg);
/* Forgets probes made for others that were not answered. */
void member_indirect_expire(struct member_list *list, clk_ms now);

/* member-probe.c */
/* Probes the next host of the order. */
void member_probe_next(struct member_list *list, clk_ms now);

#endif
