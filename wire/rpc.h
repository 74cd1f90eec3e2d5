/*
 * ONC RPC between hosts, over libuv: UDP datagrams for gossip, TCP with record
 * marking for everything else. Procedures without results send no reply.
 */
#ifndef WIRE_RPC_H
#define WIRE_RPC_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "../decide/clk.h"
#include "../decide/replica.h"
#include "../decide/member.h"
#include "msg.h"

struct rpc;

/* Why a message was dropped. */
enum rpc_bad {
	RPC_GOOD,	   /* it was not */
	RPC_BAD_RECORD,	   /* bytes that are no record; the connection ends */
	RPC_BAD_HEADER,	   /* no call and no reply */
	RPC_BAD_VERSION,   /* another program or version */
	RPC_BAD_PROC,	   /* a procedure that this process does not take */
	RPC_BAD_ARGUMENTS, /* they could not be decoded */
	RPC_BAD_REPLY,	   /* the same of a result */
	RPC_BAD_COUNT,
};

/* A message that was dropped. */
struct rpc_dropped {
	const char *from; /* IP address */
	unsigned proc;	  /* 0: not known */
	enum rpc_bad bad;
	bool first; /* such a message from there, since the start */
};

/* Returns the name of a reason, for logs. */
const char *rpc_bad_name(enum rpc_bad bad);

/* Callbacks for received messages. */
struct rpc_handlers {
	void (*on_gossip)(void *ctx, const struct member_msg *msg);
	/* A message between a primary and a standby; may be NULL. */
	void (*on_replica)(void *ctx, const struct replica_msg *msg);
	/* Fills res, which is freed with xdr_free after it was sent; may be
	 * NULL. */
	void (*on_sync)(void *ctx, const w_sync_args *args, w_sync_res *res);
	/* The same for RW_SYNC_PACKED; may be NULL. */
	void (*on_sync_packed)(void *ctx, const w_sync_args *args,
			       w_packed *res);
	/* A host's report of its counts; may be NULL. */
	void (*on_report)(void *ctx, const w_report *report);
	/* Aggregated reports of other hosts; may be NULL. */
	void (*on_relay)(void *ctx, const w_relay *relay);
	/* The sums of a relay and the hosts that report to it; may be NULL. */
	void (*on_group)(void *ctx, const w_group *group);
	void (*on_speeds)(void *ctx, const w_speeds *speeds);
	/* A question for permits, and an answer; may be NULL. */
	void (*on_permit_ask)(void *ctx, const w_permit_ask *ask);
	void (*on_permit_grant)(void *ctx, const w_permit_grant *grant);
	/* Streams to keep, a question and an answer; may be NULL. */
	void (*on_full)(void *ctx, const w_full *full);
	/* What a host knows of a roll-out; may be NULL. */
	void (*on_rollout)(void *ctx, const w_rollout *message);
	void (*on_links_ask)(void *ctx, const w_links *ask);
	void (*on_links_answer)(void *ctx, const w_links *answer);
	void (*on_origin_keep)(void *ctx, const w_origin_keep *keep);
	void (*on_origin_ask)(void *ctx, const w_origin_ask *ask);
	void (*on_origin_answer)(void *ctx, const w_origin_answer *answer);
	/* A message was dropped; the connection goes on, unless it was no
	 * record. */
	void (*on_dropped)(void *ctx, const struct rpc_dropped *dropped);
	void *ctx;
};

struct rpc_counters {
	uint64_t datagrams_in;
	uint64_t datagrams_out;
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t dropped;
};

/* Creates the endpoint; returns NULL and sets error if it cannot listen. */
struct rpc *rpc_create(uv_loop_t *loop, const char *address, int port,
		       const struct rpc_handlers *handlers, GError **error);
void rpc_stop(struct rpc *rpc);
const struct rpc_counters *rpc_counters(const struct rpc *rpc);

void rpc_send_gossip(struct rpc *rpc, const char *to,
		     const struct member_msg *msg);
void rpc_send_replica(struct rpc *rpc, const char *to,
		      const struct replica_msg *msg);
void rpc_send_report(struct rpc *rpc, const char *to, const w_report *report);
void rpc_send_relay(struct rpc *rpc, const char *to, const w_relay *relay);
void rpc_send_group(struct rpc *rpc, const char *to, const w_group *group);
void rpc_send_speeds(struct rpc *rpc, const char *to, const w_speeds *speeds);
void rpc_send_rollout(struct rpc *rpc, const char *to,
		      const w_rollout *message);
void rpc_send_permit_ask(struct rpc *rpc, const char *to,
			 const w_permit_ask *ask);
void rpc_send_permit_grant(struct rpc *rpc, const char *to,
			   const w_permit_grant *grant);
void rpc_send_links_ask(struct rpc *rpc, const char *to, const w_links *ask);
void rpc_send_links_answer(struct rpc *rpc, const char *to,
			   const w_links *answer);
void rpc_send_full(struct rpc *rpc, const char *to, const w_full *full);
void rpc_send_origin_keep(struct rpc *rpc, const char *to,
			  const w_origin_keep *keep);
void rpc_send_origin_ask(struct rpc *rpc, const char *to,
			 const w_origin_ask *ask);
void rpc_send_origin_answer(struct rpc *rpc, const char *to,
			    const w_origin_answer *answer);
/* Calls RW_SYNC or, if the other host knows it, RW_SYNC_PACKED; fn gets NULL if
 * there is no valid reply within the timeout. large: the reply may be large; it
 * comes on a connection of its own, which other messages don't wait for. */
void rpc_call_sync(struct rpc *rpc, const char *to, const w_sync_args *args,
		   bool packed, bool large, clk_ms timeout,
		   void (*fn)(void *ctx, const w_sync_res *res), void *ctx);

/* Counts the connections on which part of a reply waits to be sent. */
unsigned rpc_replies_pending(const struct rpc *rpc);

/* Conversions between the messages of decide/ and XDR (rpc-replica.c,
 * rpc-gossip.c). */
void rpc_replica_to_wire(const struct replica_msg *msg, w_home *wire);
void rpc_replica_wire_clear(w_home *wire);
/* Decodes a message and calls fn with it; returns false if it is not valid. */
bool rpc_replica_from_wire(const w_home *wire,
			   void (*fn)(void *ctx, const struct replica_msg *msg),
			   void *ctx);
void rpc_update_to_wire(const struct member_update *update, w_update *wire);
bool rpc_update_from_wire(const w_update *wire, struct member_update *update);
void rpc_notice_to_wire(const struct member_notice *notice, w_mark *wire);
bool rpc_notice_from_wire(const w_mark *wire, struct member_notice *notice);
void rpc_gossip_to_wire(const struct member_msg *msg, w_gossip *wire,
			w_update *updates, w_mark *marks);
bool rpc_gossip_from_wire(const w_gossip *wire, struct member_msg *msg);

#endif
