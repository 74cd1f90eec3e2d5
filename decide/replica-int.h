/* What the parts of home.h share with each other. */
#ifndef DECIDE_REPLICA_INT_H
#define DECIDE_REPLICA_INT_H

#include "check.h"
#include "replica.h"

/* Tells whether a rule is in force; all are, but in proofs. */
static inline bool replica_rule(const struct replica *home,
				enum replica_rule rule)
{
	return !(home->options.rules_off & rule);
}

/* home.c */
/* Puts a request into the table of those that need attention. */
void replica_activate(struct replica *home, struct req *req);
void replica_deactivate(struct replica *home, struct req *req);
/* Ends a request here: answer, expiry, callers. */
void replica_finish(struct replica *home, struct req *req, enum err_kind kind,
		    int status);
/* Sets when an ended request is forgotten. */
void replica_expire_later(struct replica *home, struct req *req);
/* Hands a request to the dispatcher. */
void replica_run(struct replica *home, struct req *req);

/* How long to wait for the platform before try number tries + 1: longer each
 * time, and differing from host to host, so that not all come back at once
 * when an outage ends. */
clk_ms replica_platform_backoff(const struct replica *home, unsigned tries);

/* home-record.c */
/* The epoch that holds are sent under now. */
int64_t replica_standby_epoch(const struct replica *home);
void replica_record_tick(struct replica *home);
void replica_record_result(struct replica *home, enum record_outcome outcome,
			   const struct replica_record *record);
/* Tells whether the next guardian needs to know of a request. */
bool replica_copy_needed(const struct replica *home, const struct req *req);
/* Begins to move to another guardian. */
void replica_standby_change(struct replica *home);
/* The record was sealed by another host. */
void replica_deposed(struct replica *home, const char *by);
/* Builds the write that follows a record. */
void replica_record_next(struct replica *home, struct replica_record *next,
			 const struct replica_record *last,
			 enum record_state state, const char *peer);

/* home-hold.c */
void replica_hold_send(struct replica *home, struct req *req);
void replica_hold_tick(struct replica *home, struct req *req);
void replica_hold_on_ack(struct replica *home, const struct replica_msg *msg);
/* Sends the pieces and the end that the guardian lacks. */
void replica_progress_send(struct replica *home, struct req *req,
			   const char *to);

/* home-guard.c */
void replica_standby_on_msg(struct replica *home,
			    const struct replica_msg *msg);
void replica_standby_on_record(struct replica *home, struct standby *guard,
			       enum record_outcome outcome,
			       const struct replica_record *record);
void replica_standby_tick(struct replica *home, struct standby *guard);
/* Speaks for an own former incarnation, sealed by this host. */
void replica_standby_adopt(struct replica *home, const char *old,
			   const struct replica_record *sealed);
/* The guarded home is dead or gives up: seals its record. */
void replica_standby_seal(struct replica *home, struct standby *guard);
void replica_standby_free(struct standby *guard);
/* Tells whether nobody can ask for the guarded home's ids any more. */
bool replica_standby_expired(const struct replica *home,
			     const struct standby *guard);

#endif
