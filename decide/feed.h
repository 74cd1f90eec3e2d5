/*
 * Who follows the store, and who passes its changes on to whom.
 *
 * Where hosts are few, each of them follows the store. Where they are many, the
 * ones that rank first do: the followers. They and those that rank next are the
 * relays. A follower sends heartbeats with its replicas' revisions to the other
 * relays, and each relay that is no follower to the hosts that it feeds. Every
 * host is fed by two relays, chosen by rendezvous hash, so that the loss of one
 * relay changes little. Who receives a greater revision fetches what it lacks.
 *
 * A host that receives no heartbeat follows the store itself. Relays count
 * heartbeats of followers only: otherwise relays that are cut off from all
 * followers could keep each other waiting.
 */
#ifndef DECIDE_FEED_H
#define DECIDE_FEED_H

#include <glib.h>
#include <stdbool.h>

#include "clk.h"
#include "member.h"

#define FEED_RANKING "duty"   /* key of the ranking of hosts */
#define FEED_HEARTBEAT_MS 400 /* between two heartbeats to a host */

enum feed_role {
	FEED_LEAF,
	FEED_RELAY,
	FEED_FOLLOWER,
};

/* A host, as the ranking sees it. */
struct feed_host {
	const char *incarnation;
	const char *rpc; /* address */
};

/* A host to which this one sends heartbeats. */
struct feed_target {
	char incarnation[RID_INCARNATION_MAX + 1];
	char rpc[MEMBER_ADDRESS_MAX];
	bool primary; /* this host is the first of the relays that feed it */
	bool relay;   /* it is a relay itself */
};

struct feed {
	enum feed_role role;
	unsigned rank;	      /* of this host, 0 is first */
	unsigned relay_count; /* followers included */
	bool all_follow;
	/* The relays exchange sums, and every other host reports to its parent.
	 * Otherwise each host reports to all relays: there are few hosts, or
	 * some run an older version. */
	bool grouped;
	bool all_current; /* no known host runs an older version */
	char parent[MEMBER_ADDRESS_MAX]; /* of a leaf: first of its relays */
	guint parent_key;		 /* of the parent's incarnation */
	GHashTable *relays;		 /* RPC addresses of the other relays */
	GHashTable *followers;		 /* of these, the followers */
	GArray *targets;		 /* of struct feed_target */
	unsigned generation; /* changes with the parent and the followers */
	guint reporting_key; /* of these */
	unsigned relay_generation; /* changes with the relays, this one too */
	guint relays_key;	   /* of these */
	clk_ms heartbeat_at; /* last one that counts; at first the start */
};

void feed_init(struct feed *feed, clk_ms now);
void feed_clear(struct feed *feed);
/* Assigns the roles. leaving: this host is; then it is no relay, as the others
 * do not count on it. hosts: the live hosts without this one; total: how many
 * share the work, at least count + 1. */
void feed_update(struct feed *feed, const char *self, bool leaving,
		 const struct feed_host *hosts, size_t count, unsigned total);
/* A host has sent its revisions, and they are current as far as it knows. */
void feed_on_heartbeat(struct feed *feed, const char *rpc, clk_ms now);
/* Whether a host is a relay. */
bool feed_is_relay(const struct feed *feed, const char *rpc);
/* Whether this host follows the store itself. */
bool feed_follows(const struct feed *feed, clk_ms now);
/* Whether this host's replicas are current, so that it may send heartbeats;
 * reads_store: it follows the store, and the store responds. */
bool feed_is_fresh(const struct feed *feed, bool reads_store, clk_ms now);
/* Whether to send a heartbeat to a target; reads_store as above. */
bool feed_sends_to(const struct feed *feed, const struct feed_target *target,
		   bool reads_store);

#endif
