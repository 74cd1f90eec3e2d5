/*
 * Primary and standby: which host may dispatch a request and answers for it.
 *
 * Every host is the primary of the request ids that carry its incarnation, and
 * the standby of some other hosts' ids. The standby is the one other host that
 * keeps a copy of a primary's requests and takes over if the primary fails. The
 * platform stores one record per primary, changed by compare-and-swap; nothing
 * is written there per request. docs/DESIGN.md states the rules.
 */
#ifndef DECIDE_REPLICA_H
#define DECIDE_REPLICA_H

#include "req.h"

/* State of a primary's record on the platform. */
enum record_state {
	RECORD_NONE, /* no record exists */
	RECORD_OPEN,
	RECORD_SEALED,
};

/* The platform's record of one primary. */
struct replica_record {
	enum record_state state;
	char peer[RID_INCARNATION_MAX + 1]; /* standby, or the sealing host */
	int64_t epoch;			    /* increases with each write */
	char change_id[RID_INCARNATION_MAX + 24]; /* unique per write */
	int64_t mod;				  /* platform revision */
};

/* Outcome of a call to the platform. */
enum record_outcome {
	RECORD_READ, /* the read succeeded */
	RECORD_SWAPPED,
	RECORD_CONFLICT, /* another value is stored, and returned */
	RECORD_UNKNOWN, /* no response: a swap may have applied, or still may */
};

enum replica_msg_kind {
	REPLICA_HOLD,	  /* primary to standby: store this request */
	REPLICA_PROGRESS, /* primary to standby: chunks and the end */
	REPLICA_REVOKE,	  /* primary to standby: the request is cancelled */
	REPLICA_ACK,	  /* standby to primary: the state of an id */
	REPLICA_RETIRE,	  /* primary to standby: take over, sender leaves */
	REPLICA_RELEASE,  /* primary to old standby: it was replaced */
	REPLICA_MSG_COUNT,
};

/* The state that a standby reports for an id. */
enum replica_ack {
	ACK_HELD,
	ACK_GRANTED,
	ACK_REVOKED, /* a tombstone is stored: it will not run */
	ACK_UNKNOWN, /* not stored: send the hold first */
	ACK_SEALED,  /* the sender has taken over the primary's ids */
	ACK_COUNT,
};

/* One message between a primary and a standby. */
struct replica_msg {
	enum replica_msg_kind kind;
	const char *from;    /* incarnation */
	const char *to;	     /* incarnation; any other drops the message */
	const char *primary; /* acting primary it is about */
	int64_t epoch;	     /* of the primary's record */
	const char *id;	     /* request id; "" for the whole primary */
	/* REPLICA_HOLD */
	bool want_grant;   /* to dispatch at upstream, and nowhere else */
	unsigned grant_no; /* of the grant; echoed in the ack */
	bool copy;	   /* from a change of standby or a takeover */
	bool granted;	   /* copy of a granted request */
	const struct req_attrs *attrs;
	clk_ms time_left; /* until the deadline */
	/* REPLICA_PROGRESS */
	const char *upstream;
	const char *stream;
	size_t first_chunk;	  /* number of the first chunk sent */
	const struct req *chunks; /* its answer holds the chunks */
	size_t chunks_base;	  /* number of the first chunk in it */
	size_t chunk_count;
	bool ended;
	enum err_kind end_kind;
	int end_status;
	/* REPLICA_ACK */
	enum replica_ack ack;
	size_t acked;	/* chunks that the standby has */
	bool end_acked; /* the standby also has the end */
};

/* Which host has the authority over a request id. */
enum replica_authority {
	REPLICA_LOCAL,	/* this host has the authority */
	REPLICA_REMOTE, /* look up the primary's record */
	REPLICA_SEALED, /* own record was sealed by replica->record.peer */
};

/* Callbacks; ctx is replica_options.ctx. */
struct replica_ops {
	void (*send)(void *ctx, const struct replica_msg *msg);
	/* Swaps a primary's record; the result goes to replica_on_record. */
	void (*swap)(void *ctx, const char *primary,
		     const struct replica_record *record);
	/* Reads a primary's record; the result goes to replica_on_record. */
	void (*read)(void *ctx, const char *primary);
	/* Returns a live host to use as standby, or NULL. A different turn may
	 * return a different host. */
	const char *(*pick_standby)(void *ctx, unsigned turn);
	void (*accepted)(void *ctx, struct req *req);
	/* The request may be dispatched now. */
	void (*run)(void *ctx, struct req *req);
	/* Asks the upstream whether a request of a failed primary ran. */
	void (*probe)(void *ctx, struct req *req);
	/* The request has its final answer, or a definite one that replaces an
	 * unknown outcome. */
	void (*ended)(void *ctx, struct req *req);
	/* Another host now has the authority; callers are redirected there. */
	void (*moved)(void *ctx, struct req *req);
	/* Called before a request is freed. */
	void (*forget)(void *ctx, struct req *req);
};

/* Safety rules that a test can disable, to check that it then fails. All are in
 * force in production. */
enum replica_rule {
	/* A request is "not run" only once its revocation is confirmed. */
	REPLICA_RULE_REVOKE_ACK = 1 << 0,
	/* No grant is accepted between the copy and the swap. */
	REPLICA_RULE_NO_OLD_GRANT = 1 << 1,
	/* All requests are copied to the next standby before the swap. */
	REPLICA_RULE_COPY_FIRST = 1 << 2,
	/* A standby gives no grant once it has sent the seal. */
	REPLICA_RULE_NO_GRANT_SEALING = 1 << 3,
	/* An unknown id of a sealed primary is never run as a new request. */
	REPLICA_RULE_UNKNOWN_NOT_RUN = 1 << 4,
	/* A status query does not prove that a granted call did not run. */
	REPLICA_RULE_GRANTED_UNKNOWN = 1 << 5,
	/* After two seals, the outcome of an unknown id is unknown. */
	REPLICA_RULE_TWO_SEALS_UNKNOWN = 1 << 6,
};

struct replica_options {
	const struct replica_ops *ops;
	void *ctx;
	clk_ms resend_interval;	 /* between repeats of unanswered messages */
	clk_ms revoke_timeout;	 /* then the request ends as unknown */
	clk_ms retention;	 /* how long ids are known after locate */
	clk_ms answer_retention; /* how long answers are kept after the end */
	clk_ms progress_gap;	 /* minimum between progress messages */
	unsigned disabled_rules; /* bits of enum replica_rule */
};

/* State of this host's own record. */
enum replica_state {
	REPLICA_CLOSED,	 /* no record yet */
	REPLICA_OPENING, /* the first swap is in flight */
	REPLICA_OPEN,
	REPLICA_COPYING,   /* requests are copied to the next standby */
	REPLICA_SWAPPING,  /* the swap to the next standby is in flight */
	REPLICA_RESIGNING, /* the seal of its own record is in flight */
	REPLICA_DEPOSED,   /* sealed by another host */
};

/* State of the standby role of this host for one primary. */
enum standby_state {
	STANDBY_ACTIVE,
	STANDBY_SEALING, /* no more grants are given */
	STANDBY_SEALED,	 /* this host has the authority */
	STANDBY_RETIRED, /* another host is standby, or sealed it */
};

struct standby {
	char *primary;
	enum standby_state state;
	int64_t epoch;
	struct replica_record record; /* the seal being written */
	clk_ms next_try;
	clk_ms closed_at; /* when it was sealed or retired */
	unsigned tries;	  /* unanswered calls to the platform */
	unsigned reads;	  /* of a record that names another standby */
	GHashTable *reqs; /* id -> struct req with acting == primary */
};

struct replica {
	struct replica_options options;
	char self[RID_INCARNATION_MAX + 1];
	enum replica_state state;
	struct replica_record record;		 /* as last known */
	struct replica_record pending;		 /* being written */
	char candidate[RID_INCARNATION_MAX + 1]; /* next standby */
	unsigned pick_turn;			 /* passed to pick_standby */
	clk_ms copy_until; /* then another candidate is tried */
	unsigned tries;	   /* unanswered swaps */
	bool standby_lost; /* the standby is dead or leaving */
	clk_ms next_try;
	int64_t change_count; /* swaps begun; makes change ids unique */
	GHashTable *reqs;     /* id -> struct req: own or taken over */
	GQueue active;	      /* struct req with work to do, in order */
	GQueue expiry;	      /* ended requests by time of expiry */
	GQueue answers;	      /* ended requests whose answer is kept */
	char next_self[RID_INCARNATION_MAX + 1]; /* while resigning */
	/* Last incarnation sealed by another host, and its record's epoch. */
	char sealed_self[RID_INCARNATION_MAX + 1];
	int64_t sealed_epoch;
	GHashTable *standby_for; /* primary's incarnation -> struct standby */
	GHashTable *former;	 /* set of this host's earlier incarnations */
	clk_ms now;		 /* time of the current call */
};

struct replica *replica_create(const char *self,
			       const struct replica_options *options);
void replica_free(struct replica *replica);

/* Runs all due work: resends, deadlines, swaps, expiry. */
void replica_tick(struct replica *replica, clk_ms now);
/* Handles a message from another host. */
void replica_on_msg(struct replica *replica, const struct replica_msg *msg,
		    clk_ms now);
/* Handles the result of a swap or read; record is the stored value, if
 * known. */
void replica_on_record(struct replica *replica, const char *owner,
		       enum record_outcome outcome,
		       const struct replica_record *record, clk_ms now);
/* Handles the death of a host: seals its record if this host is its standby,
 * and replaces it if it is the standby of this host. */
void replica_on_dead(struct replica *replica, const char *incarnation,
		     clk_ms now);
/* Handles the news that other hosts declared this one dead. It seals its own
 * record under the new incarnation self and keeps its requests, unless its
 * standby sealed the record first and has taken them over. */
void replica_resign(struct replica *replica, const char *self, clk_ms now);
/* Replaces a standby that announced that it is leaving. */
void replica_on_leaving(struct replica *replica, const char *incarnation,
			clk_ms now);
/* Hands over all authority: the standby seals the record. */
void replica_retire(struct replica *replica, clk_ms now);
/* Switches to a new incarnation after the old one was sealed. */
void replica_renew(struct replica *replica, const char *self, clk_ms now);

/* Returns whether an incarnation is, or was, this host's. A record that names a
 * former incarnation as standby may still be sealed by this host, as no other
 * host uses that name. */
bool replica_is_self(const struct replica *replica, const char *incarnation);
/* Returns which host has the authority over ids of that incarnation. */
enum replica_authority replica_authority(const struct replica *replica,
					 const char *incarnation);
/* Returns the request with that id if this host has it, or NULL. */
struct req *replica_find(struct replica *replica, const char *id);
/* Creates a request; replica_find must have returned NULL. If an upstream has
 * capacity for it, upstream names it, so that the hold and the grant go in one
 * message. The callbacks may be called, up to the end, within this call.
 * Returns the request, or NULL with kind set if it is refused and nothing is
 * stored. */
struct req *replica_submit(struct replica *replica, const char *id,
			   const struct rid *rid, const struct req_attrs *attrs,
			   clk_ms deadline, const char *upstream, void *owner,
			   enum err_kind *kind, clk_ms now);
/* Creates a request that is refused at once, before any other host has received
 * it. */
struct req *replica_reject(struct replica *replica, const char *id,
			   const struct rid *rid, const struct req_attrs *attrs,
			   enum err_kind kind, void *owner, clk_ms now);
/* Runs the request as soon as that is allowed, as upstream has capacity for it.
 * The grant names the upstream: the call is dispatched there or not at all. */
void replica_want_run(struct replica *replica, struct req *req,
		      const char *upstream, clk_ms now);
/* Returns the fencing token for a call: larger than that of any host that could
 * have dispatched it before, or 0 if none is certain to be larger. */
int64_t replica_fencing_token(const struct replica *replica,
			      const struct req *req);
/* Cancels a request that was not dispatched. It ends with kind once the standby
 * has confirmed the revocation. */
void replica_refuse(struct replica *replica, struct req *req,
		    enum err_kind kind, clk_ms now);
/* Records the start of an attempt at an upstream. */
void replica_attempt(struct replica *replica, struct req *req,
		     const char *upstream, const char *stream, clk_ms now);
/* Appends a chunk to the answer. */
void replica_chunk(struct replica *replica, struct req *req, const char *ptr,
		   size_t len, clk_ms now);
/* Records evidence that a dispatched call did not run and will not. The request
 * is held again, and may run under a new grant. */
void replica_prove_not_run(struct replica *replica, struct req *req,
			   clk_ms now);
/* Takes over from a dead primary whose record names this host as standby, by
 * sealing that record. */
void replica_take_over(struct replica *replica, const char *incarnation,
		       clk_ms now);
/* Ends a request with the final result of a run or probe. */
void replica_end(struct replica *replica, struct req *req, enum err_kind kind,
		 int status, clk_ms now);
/* Returns the standby that holds are sent to now, "" if there is none. */
const char *replica_standby_name(const struct replica *replica);
/* Returns the number of requests that this host has yet to answer. */
size_t replica_open_count(const struct replica *replica);
/* Returns the number of primaries that this host is an active standby for. */
size_t replica_standby_count(const struct replica *replica);

#endif
