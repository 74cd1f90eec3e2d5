/*
 * Membership by gossip, after SWIM: each host probes one other per period,
 * directly and then through others, suspects what does not answer, and
 * spreads what it learns on its probes. The cost per host does not grow with
 * the number of hosts, but for a full exchange now and then.
 *
 * A member is one incarnation of a host. Dead is final for an incarnation:
 * a paused host that comes back learns of it and takes a new one.
 */
#ifndef DECIDE_MEMBER_H
#define DECIDE_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "rid.h"

#define MEMBER_ADDRESS_MAX 48  /* bytes of "IP:port" */
#define MEMBER_DC_MAX 32       /* bytes of a data centre's name */
#define MEMBER_UPDATES_MAX 8   /* updates in one message */
#define MEMBER_NOTICES_MAX 8   /* marks in one message */
#define MEMBER_UPSTREAM_MAX 64 /* bytes of an upstream's name */

enum member_state {
	MEMBER_ALIVE,
	MEMBER_LEAVING, /* serves what it has, takes nothing new */
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_STATE_COUNT,
};

/* What is told about one member. */
struct member_update {
	char incarnation[RID_INCARNATION_MAX + 1];
	char http[MEMBER_ADDRESS_MAX];
	char rpc[MEMBER_ADDRESS_MAX];
	char data_centre[MEMBER_DC_MAX];
	enum member_state state;
	uint32_t seq; /* grows when the member refutes a suspicion */
};

/* What is told about one upstream: that it is leaving, or no longer is. */
struct member_notice {
	char upstream[MEMBER_UPSTREAM_MAX];
	bool leaving;
	uint64_t stamp; /* the larger one is in force */
};

enum member_msg_kind {
	MEMBER_PING,
	MEMBER_ACK,
	MEMBER_PING_REQ, /* ping target for me */
	MEMBER_MSG_COUNT,
};

struct member_msg {
	enum member_msg_kind kind;
	uint32_t probe; /* number of the probe that is answered */
	char target[RID_INCARNATION_MAX + 1]; /* of a MEMBER_PING_REQ */
	uint64_t settings; /* revision of the sender's settings */
	uint64_t hosts;	   /* revision of the sender's host list */
	size_t update_count;
	/* The first one is the sender's own. */
	struct member_update updates[MEMBER_UPDATES_MAX];
	size_t notice_count;
	struct member_notice notices[MEMBER_NOTICES_MAX];
};

struct member {
	struct member_update info;
	clk_ms state_since;	/* when it got its state */
	bool left;		/* it told that it leaves */
	bool suspected_by_self; /* this host is the one that suspects it */
	unsigned to_send;	/* how often its update is still to be sent */
};

struct member_ops {
	/* Sends a message to an RPC address. */
	void (*send)(void *ctx, const char *rpc, const struct member_msg *msg);
	/* Asks a host for all it knows; ends in member_on_updates. */
	void (*sync)(void *ctx, const char *rpc);
	/* A member is new or has changed state. */
	void (*changed)(void *ctx, const struct member *member);
	/* This host was declared dead: member_renew is due. */
	void (*declared_dead)(void *ctx);
	/* A mark is new. */
	void (*notice_received)(void *ctx, const struct member_notice *mark);
	/* A peer shows the revisions it has. */
	void (*revisions)(void *ctx, const char *rpc, uint64_t settings,
			  uint64_t hosts);
	/* Returns a random number below n. */
	uint32_t (*random)(void *ctx, uint32_t n);
};

struct member_options {
	const struct member_ops *ops;
	void *ctx;
	clk_ms period;		  /* between two probes */
	clk_ms ack_timeout;	  /* before others are asked to probe */
	clk_ms suspicion_timeout; /* from suspect to dead, with up to 8 hosts */
	clk_ms dead_retention;	  /* how long a dead one is remembered */
	clk_ms sync_period;	  /* between two full exchanges */
	char **seeds;		  /* RPC addresses, NULL-terminated */
};

struct member_list {
	struct member_options options;
	struct member_update self;
	GHashTable *members; /* incarnation -> struct member, not self */
	GPtrArray *order;    /* members in the order of probing */
	guint next_probed;   /* place in order */
	GHashTable *notices; /* upstream -> struct notice_entry */
	unsigned self_to_send;
	uint32_t probe;	    /* number of the last probe, for whomever */
	uint32_t own_probe; /* number of the last own probe */
	char probed[RID_INCARNATION_MAX + 1]; /* "" if answered */
	bool indirect_sent;	 /* others were asked to probe it too */
	GArray *indirect_probes; /* probes made for others */
	clk_ms period_start;
	clk_ms next_sync;
	bool sync_with_seed; /* the next one is with a seed */
	clk_ms last_tick;
	bool maybe_dead;   /* was not run for long: may be declared dead */
	uint64_t settings; /* revisions to show to peers */
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
/* Takes what a full exchange brought. */
void member_on_update(struct member_list *list,
		      const struct member_update *update, clk_ms now);
void member_on_notice(struct member_list *list,
		      const struct member_notice *mark);
/* Tells all that this host leaves. */
void member_leave(struct member_list *list, clk_ms now);
/* Takes a new incarnation after the old one was declared dead. */
void member_renew(struct member_list *list, const char *incarnation,
		  clk_ms now);
/* Finds a member by incarnation, or NULL; this host is not a member. */
const struct member *member_find(const struct member_list *list,
				 const char *incarnation);
/* Tells whether an incarnation is known not to be dead. */
bool member_is_live(const struct member_list *list, const char *incarnation);
/* Ranks the live members for a key by rendezvous hash; the best that is not
 * in avoid_dc is preferred. Returns NULL if there is none. */
const struct member *member_pick(const struct member_list *list,
				 const char *key, const char *avoid_dc);
/* Tells whether this host is among the n first for a key. */
bool member_self_in_top(const struct member_list *list, const char *key,
			unsigned n);
/* Counts the live members that rank before this host for a key. */
unsigned member_self_rank(const struct member_list *list, const char *key);
/* Calls fn for each live member that ranks among the n first for a key, this
 * host counted among the candidates. */
void member_each_top(const struct member_list *list, const char *key,
		     unsigned n,
		     void (*fn)(void *ctx, const struct member *member),
		     void *ctx);
/* Probes an RPC address out of turn, which shows it this host and its
 * revisions; what answers there becomes a member. */
void member_ping(struct member_list *list, const char *rpc);
size_t member_live_count(const struct member_list *list);
/* Counts the members that may be running: the live ones, and those that were
 * lost since a time, unless another one has come at their address. */
size_t member_maybe_running_count(const struct member_list *list, clk_ms since);

#endif
