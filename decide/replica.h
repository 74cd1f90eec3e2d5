/*
 * Homes and guardians: who may run a request, and who answers for it.
 *
 * Every host is the home of the request ids that carry its incarnation, and
 * the guardian of some other hosts' ids. A guardian is the one other host
 * that holds a home's requests and takes over if the home is lost. The
 * platform keeps one record per home, changed by compare-and-swap; nothing
 * is written there per request. The rules are those of docs/DESIGN.md.
 */
#ifndef DECIDE_REPLICA_H
#define DECIDE_REPLICA_H

#include "req.h"

/* What a home's record on the platform says. */
enum record_state {
	RECORD_NONE, /* there is no record */
	RECORD_OPEN,
	RECORD_SEALED,
};

/* The record of one home. */
struct replica_record {
	enum record_state state;
	char peer[RID_INCARNATION_MAX + 1];    /* guardian, or who sealed it */
	int64_t epoch;			       /* grows with each guardian */
	char change[RID_INCARNATION_MAX + 24]; /* unique to the write */
	int64_t mod;			       /* the platform's revision */
};

/* How a call to the platform ended. */
enum record_outcome {
	RECORD_READ,	 /* a read was answered */
	RECORD_SWAPPED,	 /* the swap took effect */
	RECORD_CONFLICT, /* another value was there; it is passed along */
	RECORD_UNKNOWN,	 /* no answer: it may have taken effect or yet do so */
};

enum replica_msg_kind {
	REPLICA_HOLD,	  /* home to guardian: keep this request */
	REPLICA_PROGRESS, /* home to guardian: pieces and the end */
	REPLICA_REVOKE,	  /* home to guardian: it was given up */
	REPLICA_ACK,	  /* guardian to home: what it keeps of an id */
	REPLICA_RETIRE,	  /* home to guardian: take over, I am leaving */
	REPLICA_RELEASE,  /* home to old guardian: another one guards now */
	REPLICA_MSG_COUNT,
};

/* What a guardian says of an id. */
enum replica_ack {
	ACK_HELD,
	ACK_GRANTED,
	ACK_REVOKED, /* a tombstone is kept: it will not run */
	ACK_UNKNOWN, /* it is not known: to be held first */
	ACK_SEALED,  /* the sender has taken the home's ids over */
	ACK_COUNT,
};

/* One message between a home and a guardian. */
struct replica_msg {
	enum replica_msg_kind kind;
	const char *from;    /* incarnation */
	const char *to;	     /* incarnation; another one drops it */
	const char *primary; /* acting home that the message is about */
	int64_t epoch;	     /* of the home's record */
	const char *id;	     /* request id; "" if about the whole home */
	/* REPLICA_HOLD */
	bool want_grant;   /* to dispatch at upstream, and nowhere else */
	unsigned grant_no; /* of the grant; a verdict repeats it */
	bool copy;	   /* from a change of guardian or a take-over */
	bool granted;	   /* copy of a granted request */
	const struct req_attrs *attrs;
	clk_ms time_left; /* until the deadline */
	/* REPLICA_PROGRESS */
	const char *upstream;
	const char *stream;
	size_t first;		  /* number of the first piece */
	const struct req *chunks; /* they are read from its answer */
	size_t chunks_base;	  /* number of the first piece that it has */
	size_t count;		  /* of pieces from first on */
	bool ended;
	enum err_kind end_kind;
	int end_status;
	/* REPLICA_ACK */
	enum replica_ack ack;
	size_t acked;	/* pieces that the guardian has */
	bool end_acked; /* it has the end too */
};

/* Where a request id is to be asked for. */
enum replica_authority {
	REPLICA_LOCAL,	/* this host has the authority */
	REPLICA_REMOTE, /* look the home's record up */
	REPLICA_SEALED, /* this host's own record was sealed by home->peer */
};

/* Orders that the decisions give; ctx is replica_options.ctx. */
struct replica_ops {
	void (*send)(void *ctx, const struct replica_msg *msg);
	/* Swaps a home's record; ends in replica_on_record. */
	void (*swap)(void *ctx, const char *home,
		     const struct replica_record *record);
	/* Reads a home's record; ends in replica_on_record. */
	void (*read)(void *ctx, const char *home);
	/* Names a live host to be the guardian, or NULL; another turn may name
	 * another one. */
	const char *(*pick_standby)(void *ctx, unsigned turn);
	void (*accepted)(void *ctx, struct req *req);
	/* The request may be dispatched now. */
	void (*run)(void *ctx, struct req *req);
	/* Ask the upstream whether a lost home's request ran. */
	void (*probe)(void *ctx, struct req *req);
	/* The request has its final answer, or a better one. */
	void (*ended)(void *ctx, struct req *req);
	/* Another host has the authority; its callers are sent there. */
	void (*moved)(void *ctx, struct req *req);
	/* Called before a request is freed. */
	void (*forget)(void *ctx, struct req *req);
};

/* Rules that a proof can switch off to see it fail; none in service. */
enum replica_rule {
	REPLICA_RULE_REVOKE_ACK = 1 << 0,   /* not run only when confirmed */
	REPLICA_RULE_NO_OLD_GRANT = 1 << 1, /* no grant between copy and swap */
	REPLICA_RULE_COPY_FIRST = 1 << 2,   /* copy comes before the swap */
	REPLICA_RULE_NO_GRANT_SEALING = 1 << 3, /* no grant once seal is sent */
	REPLICA_RULE_UNKNOWN_NOT_RUN = 1 << 4,	/* unseen is never run as new */
	REPLICA_RULE_GRANTED_UNKNOWN = 1
				       << 5, /* a status query proves nothing */
	REPLICA_RULE_TWO_SEALS_UNKNOWN = 1 << 6, /* unseen after two seals */
};

struct replica_options {
	const struct replica_ops *ops;
	void *ctx;
	clk_ms resend;	     /* before an unanswered message is repeated */
	clk_ms revoke_wait;  /* before an unconfirmed refusal is unknown */
	clk_ms retention;    /* how long ids are known after their locate */
	clk_ms answer_keep;  /* how long answers are kept after the end */
	clk_ms progress_gap; /* between two progress messages of a request */
	unsigned rules_off;  /* enum replica_rule bits */
};

/* State of this host's own record. */
enum replica_state {
	REPLICA_CLOSED,	 /* no record yet */
	REPLICA_OPENING, /* the first swap is on its way */
	REPLICA_OPEN,
	REPLICA_COPYING,   /* everything goes to the next guardian */
	REPLICA_SWAPPING,  /* the swap to the next guardian is on its way */
	REPLICA_RESIGNING, /* its own seal is on its way */
	REPLICA_DEPOSED,   /* sealed by another host */
};

/* A home that this host guards, or has taken over. */
enum standby_state {
	STANDBY_ACTIVE,
	STANDBY_SEALING, /* nothing is granted any more */
	STANDBY_SEALED,	 /* this host has the authority */
	STANDBY_RETIRED, /* another host guards or sealed it */
};

struct standby {
	char *primary;
	enum standby_state state;
	int64_t epoch;
	struct replica_record record; /* the seal that is being written */
	clk_ms next_try;
	clk_ms closed_at; /* when it was sealed or retired */
	unsigned tries;	  /* calls to the platform without an answer */
	unsigned reads;	  /* of a record that names another guardian */
	GHashTable *reqs; /* id -> struct req with acting == home */
};

struct replica {
	struct replica_options options;
	char self[RID_INCARNATION_MAX + 1];
	enum replica_state state;
	struct replica_record record;		 /* as last known */
	struct replica_record pending;		 /* what is being written */
	char candidate[RID_INCARNATION_MAX + 1]; /* the next guardian */
	unsigned pick_turn;			 /* of picking a guardian */
	clk_ms copy_until; /* when another candidate is tried */
	unsigned tries;	   /* swaps sent without an answer */
	bool standby_lost; /* the record's guardian is dead */
	clk_ms next_try;
	int64_t changes;  /* swaps begun, for unique change ids */
	GHashTable *reqs; /* id -> struct req: home or taken over */
	GQueue active;	  /* struct req that need attention, in order */
	GQueue expiry;	  /* ended requests, first to expire first */
	GQueue answers;	  /* ended requests whose answer is still kept */
	char next_self[RID_INCARNATION_MAX + 1];   /* while resigning */
	char sealed_self[RID_INCARNATION_MAX + 1]; /* last incarnation sealed */
	int64_t sealed_epoch;	 /* of the record that was sealed */
	GHashTable *standby_for; /* incarnation -> struct standby */
	GHashTable *former;	 /* set of incarnations that this host had */
	clk_ms now;		 /* time of the call in progress */
};

struct replica *replica_create(const char *self,
			       const struct replica_options *options);
void replica_free(struct replica *home);

/* Does what is due: repeats, deadlines, swaps, expiry. */
void replica_tick(struct replica *home, clk_ms now);
/* Takes a message. */
void replica_on_msg(struct replica *home, const struct replica_msg *msg,
		    clk_ms now);
/* Takes the end of a swap or read; record is what is stored, if known. */
void replica_on_record(struct replica *home, const char *owner,
		       enum record_outcome outcome,
		       const struct replica_record *record, clk_ms now);
/* A host was declared dead, or is leaving: no longer a guardian. */
void replica_on_dead(struct replica *home, const char *incarnation, clk_ms now);
/* The other hosts declared this one dead. It seals its own record under a
 * new incarnation and goes on with its requests, unless its guardian was
 * first: then they are the guardian's. */
void replica_resign(struct replica *home, const char *self, clk_ms now);
/* A host asks to be replaced as guardian before it leaves. */
void replica_on_leaving(struct replica *home, const char *incarnation,
			clk_ms now);
/* Hands all authority over; the record is sealed by the guardian. */
void replica_retire(struct replica *home, clk_ms now);
/* Takes a new incarnation after the old one was lost. */
void replica_renew(struct replica *home, const char *self, clk_ms now);

/* Whether an incarnation is, or was, this host's. What it guards under a
 * former one it may still take over: nobody else has that name. */
bool replica_is_self(const struct replica *home, const char *incarnation);
/* Whether this host speaks for ids of that incarnation. */
enum replica_authority replica_authority(const struct replica *home,
					 const char *incarnation);
/* Finds a request that this host speaks for, or NULL. */
struct req *replica_find(struct replica *home, const char *id);
/* Begins a request; replica_find must have returned NULL. If upstream has room
 * for it, it is named, so that hold and grant travel together. The end may
 * come within the call, by the callbacks. Returns the request, or NULL with
 * kind set if it is refused without a trace. */
struct req *replica_submit(struct replica *home, const char *id,
			   const struct rid *rid, const struct req_attrs *attrs,
			   clk_ms deadline, const char *upstream, void *owner,
			   enum err_kind *kind, clk_ms now);
/* Refuses a new request for good, before any other host has seen it. */
struct req *replica_reject(struct replica *home, const char *id,
			   const struct rid *rid, const struct req_attrs *attrs,
			   enum err_kind kind, void *owner, clk_ms now);
/* An upstream has room for it: it is run as soon as that is allowed. A grant
 * names the upstream: the call is dispatched there or nowhere. */
void replica_want_run(struct replica *home, struct req *req,
		      const char *upstream, clk_ms now);
/* The fencing number for a call: larger than that of any host that could
 * dispatch it before; 0: there is none that is sure. */
int64_t replica_fencing_token(const struct replica *home,
			      const struct req *req);
/* Gives a request up that was not dispatched; kind is told once sure. */
void replica_refuse(struct replica *home, struct req *req, enum err_kind kind,
		    clk_ms now);
/* An attempt begins at an upstream. */
void replica_attempt(struct replica *home, struct req *req,
		     const char *upstream, const char *stream, clk_ms now);
/* A piece of the answer has come. */
void replica_chunk(struct replica *home, struct req *req, const char *ptr,
		   size_t len, clk_ms now);
/* Evidence that a dispatched call did not run, and will not: it is back to
 * held, and may be run by a new grant. */
void replica_prove_not_run(struct replica *home, struct req *req, clk_ms now);
/* A dead home's record names this host as guardian: it is sealed. */
void replica_take_over(struct replica *home, const char *incarnation,
		       clk_ms now);
/* The dispatcher's last word on a request that it ran or probed. */
void replica_end(struct replica *home, struct req *req, enum err_kind kind,
		 int status, clk_ms now);
/* The guardian that holds go to now, "" if there is none. */
const char *replica_standby_name(const struct replica *home);
/* How many requests are not at their end and this host's to answer. */
size_t replica_open_count(const struct replica *home);
/* How many homes this host guards that are not taken over. */
size_t replica_standby_count(const struct replica *home);

#endif
