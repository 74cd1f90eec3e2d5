/* What the parts of member.h share with each other. */
#ifndef DECIDE_MEMBER_INT_H
#define DECIDE_MEMBER_INT_H

#include "member.h"

/* A probe made for another host. */
struct relay {
	uint32_t probe;	      /* our number */
	uint32_t asked_probe; /* the asking host's number */
	char asked_by[MEMBER_ADDRESS_MAX];
	clk_ms expires;
};

/* A mark and how often it is still to be sent. */
struct mark_entry {
	struct member_mark mark;
	unsigned to_send;
};

/* member.c */
struct member *member_get(const struct member_list *list,
			  const char *incarnation);
/* Notes a member's new state and spreads it. */
void member_set(struct member_list *list, struct member *member,
		enum member_state state, clk_ms now);

/* member-msg.c */
/* Builds a message that carries what is to be spread. */
void member_msg_build(struct member_list *list, struct member_msg *msg,
		      enum member_msg_kind kind, uint32_t probe);
void member_msg_send(struct member_list *list, const char *rpc,
		     struct member_msg *msg);
/* Forgets probes made for others that were not answered. */
void member_relays_age(struct member_list *list, clk_ms now);

/* member-probe.c */
/* Probes the next host of the order. */
void member_probe_next(struct member_list *list, clk_ms now);

#endif
