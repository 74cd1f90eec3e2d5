/*
 * Membership by gossip, after SWIM. Each period a host probes one member,
 * directly and then indirectly through other members. A member that does not
 * answer is suspected, and updates are piggybacked on probes and acks. The cost
 * per host does not grow with the number of hosts, except for an occasional
 * full exchange.
 *
 * A member is one incarnation of a host. MEMBER_DEAD is final for an
 * incarnation: a host that was paused and declared dead is informed when it
 * resumes and takes a new incarnation.
 */
#ifndef DECIDE_MEMBER_H
#define DECIDE_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "rid.h"

#define MEMBER_ADDRESS_MAX 48 /* bytes of "IP:port" */
#define MEMBER_DC_MAX 32      /* bytes of a data centre's name */
#define MEMBER_UPDATES_MAX 8  /* updates in one message */
#define MEMBER_NOTICES_MAX 8  /* notices in one message */
#define MEMBER_SUBJECT_MAX 64 /* bytes of a notice's subject */
#define MEMBER_TOP_MAX 8      /* members that member_top lists */

enum member_state {
	MEMBER_ALIVE,
	MEMBER_LEAVING, /* finishes its work, accepts no new work */
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_STATE_COUNT,
};

/* Returns the name of a state, for logs. */
const char *member_state_name(enum member_state state);

/* Gossiped state of one member. */
struct member_update {
	char incarnation[RID_INCARNATION_MAX + 1];
	char http[MEMBER_ADDRESS_MAX];
	char rpc[MEMBER_ADDRESS_MAX];
	char data_centre[MEMBER_DC_MAX];
	enum member_state state;
	uint32_t seq; /* grows when the member refutes or leaves */
};

/* A notice that all hosts are to receive: whether something is so. Subjects are
 * defined by the daemon: that of an upstream's name is its leaving. */
struct member_notice {
	char subject[MEMBER_SUBJECT_MAX];
	bool set;
	uint64_t stamp; /* the notice with the larger stamp applies */
};

enum member_msg_kind {
	MEMBER_PING,
	MEMBER_ACK,
	MEMBER_PING_REQ, /* ask the receiver to ping target */
	MEMBER_MSG_COUNT,
};

struct member_msg {
	enum member_msg_kind kind;
	uint32_t probe; /* number of the probe, echoed in its ack */
	/* Of a MEMBER_PING_REQ, or of the ack that answers one. */
	char target[RID_INCARNATION_MAX + 1];
	uint64_t settings; /* revision of the sender's settings */
	uint64_t hosts;	   /* revision of the sender's host list */
	size_t update_count;
	/* The first is the sender's own. */
	struct member_update updates[MEMBER_UPDATES_MAX];
	size_t notice_count;
	struct member_notice notices[MEMBER_NOTICES_MAX];
};

struct member {
	struct member_update info;
	clk_ms state_since;
	bool announced_leave;
	bool suspected_by_self; /* this host's own probe of it failed */
	unsigned to_send;	/* messages still to carry its update */
};

struct member_ops {
	/* Sends a message to an RPC address. */
	void (*send)(void *ctx, const char *rpc, const struct member_msg *msg);
	/* Requests a full exchange with a host; the received updates are passed
	 * to member_on_update, and member_on_synced follows them. */
	void (*sync)(void *ctx, const char *rpc);
	/* Called when a member is added or changes state. */
	void (*changed)(void *ctx, const struct member *member);
	/* Called when this host was declared dead: member_renew must follow. */
	void (*declared_dead)(void *ctx);
	/* Called for each new notice. */
	void (*notice_received)(void *ctx, const struct member_notice *notice);
	/* Called with the revisions that a peer reports. */
	void (*revisions)(void *ctx, const char *rpc, uint64_t settings,
			  uint64_t hosts);
	/* Returns a random number below n. */
	uint32_t (*random)(void *ctx, uint32_t n);
};

struct member_options {
	const struct member_ops *ops;
	void *ctx;
	clk_ms period;		  /* between two probes */
	clk_ms ack_timeout;	  /* before indirect probes are requested */
	clk_ms suspicion_timeout; /* from suspect to dead, below 16 members */
	clk_ms dead_retention;	  /* how long dead members are kept */
	clk_ms sync_period;	  /* between two full exchanges */
	char **seeds;		  /* RPC addresses, NULL-terminated */
};

struct member_list {
	struct member_options options;
	struct member_update self;
	GHashTable *members; /* incarnation -> struct member, not self */
	GPtrArray *order;    /* members in probing order */
	guint next_probed;   /* index into order */
	GHashTable *notices; /* subject -> struct notice_entry */
	unsigned self_to_send;
	uint32_t probe;	    /* number of the last probe, own or indirect */
	uint32_t own_probe; /* number of this host's last own probe */
	char probed[RID_INCARNATION_MAX + 1]; /* unanswered, or "" */
	bool indirect_sent;	 /* indirect probes were requested */
	GArray *indirect_probes; /* of struct indirect_probe, for other hosts */
	clk_ms period_start;
	clk_ms next_sync;
	bool sync_with_seed;  /* whether the last exchange was with a seed */
	unsigned sync_tries;  /* exchanges since the last that was answered */
	unsigned synced;      /* answered exchanges of the start */
	unsigned start_syncs; /* those that brought no new member */
	guint synced_hosts;   /* members after the last of them */
	clk_ms last_tick;
	bool maybe_dead;   /* was paused; cleared by the next ack */
	uint64_t settings; /* revisions to report to peers */
	uint64_t hosts;
	/* counters */
	uint64_t sent;
	uint64_t refuted;
	uint64_t deaths;
};

struct member_list *member_list_create(const struct member_update *self,
				       const struct member_options *options);
void member_list_free(struct member_list *list);
void member_tick(struct member_list *list, clk_ms now);
void member_on_msg(struct member_list *list, const struct member_msg *msg,
		   clk_ms now);
/* Applies one update, received in a message or a full exchange. */
void member_on_update(struct member_list *list,
		      const struct member_update *update, clk_ms now);
/* Informs the list that a full exchange was answered, by whichever host. */
void member_on_synced(struct member_list *list, clk_ms now);
void member_on_notice(struct member_list *list,
		      const struct member_notice *notice);
/* Sends up to MEMBER_NOTICES_MAX notices to all members that may be running,
 * for those that gossip would reach too late. */
void member_broadcast(struct member_list *list,
		      const struct member_notice *notices, size_t count);
/* Drops a notice that no longer matters. */
void member_forget_notice(struct member_list *list, const char *subject);
/* Calls fn for each notice. */
void member_each_notice(const struct member_list *list,
			void (*fn)(void *ctx,
				   const struct member_notice *notice),
			void *ctx);
/* Announces that this host is leaving. */
void member_leave(struct member_list *list, clk_ms now);
/* Takes a new incarnation after the old one was declared dead. */
void member_renew(struct member_list *list, const char *incarnation,
		  clk_ms now);
/* Returns the member with an incarnation, or NULL. This host itself is not in
 * the list. */
const struct member *member_find(const struct member_list *list,
				 const char *incarnation);
/* Returns whether an incarnation is known and not dead. */
bool member_is_live(const struct member_list *list, const char *incarnation);
/* A place in a list of the highest weights. */
struct member_rank {
	uint64_t weight;
	unsigned index; /* of the member that has it */
};

/* Adds a member to a list of the n highest weights, highest first, which holds
 * count now. Returns how many it holds then. */
size_t member_rank_add(struct member_rank *ranks, size_t count, size_t n,
		       struct member_rank rank);
/* Returns the rendezvous weight of an incarnation for a key. */
uint64_t member_weight(const char *incarnation, const char *key);
/* Returns the MEMBER_ALIVE member that ranks highest for a key by rendezvous
 * hash, or NULL if there is none. Members outside avoid_dc are preferred. */
const struct member *member_pick(const struct member_list *list,
				 const char *key, const char *avoid_dc);
/* Returns the MEMBER_ALIVE member that ranks highest for a key, among those
 * that accepts takes, or NULL if this host does; leaving: this host counts only
 * if there is no such member. */
const struct member *member_first(const struct member_list *list,
				  const char *key, bool leaving,
				  bool (*accepts)(const char *incarnation));
/* Lists the MEMBER_ALIVE members that rank highest for a key, among those that
 * accepts takes, the first one first; returns how many, at most n. */
size_t member_top(const struct member_list *list, uint64_t key,
		  bool (*accepts)(const char *incarnation),
		  const struct member **top, size_t n);
/* Counts the MEMBER_ALIVE members that rank above this host for a key, among
 * those that accepts takes; the ranking is that of member_top. */
unsigned member_top_self_rank(const struct member_list *list, uint64_t key,
			      bool (*accepts)(const char *incarnation));
/* Returns whether this host ranks among the top n for a key. */
bool member_self_in_top(const struct member_list *list, const char *key,
			unsigned n);
/* Counts the MEMBER_ALIVE members that rank above this host for a key. */
unsigned member_self_rank(const struct member_list *list, const char *key);
/* Probes an RPC address outside the probing order. The ping reports this host
 * and its revisions, and the host that answers becomes a member. */
void member_ping(struct member_list *list, const char *rpc);
/* Sends this host's state and its revisions without asking for a reply. */
void member_announce(struct member_list *list, const char *rpc);
size_t member_live_count(const struct member_list *list);
/* Counts the members that may be running: the live ones, and those that were
 * declared dead since a time without having announced that they were leaving,
 * unless another member is live at their address. */
size_t member_maybe_running_count(const struct member_list *list, clk_ms since);

#endif
