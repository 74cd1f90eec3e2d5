/* Internal interfaces of the replica module. */
#ifndef DECIDE_REPLICA_INT_H
#define DECIDE_REPLICA_INT_H

#include "check.h"
#include "replica.h"

/* Returns whether a rule is in force; only tests disable any. */
static inline bool replica_rule(const struct replica *replica,
				enum replica_rule rule)
{
	return !(replica->options.disabled_rules & rule);
}

/* replica.c */
/* Adds a request to the queue of those with work to do. */
void replica_activate(struct replica *replica, struct req *req);
void replica_deactivate(struct replica *replica, struct req *req);
/* Ends a request: stores the outcome, schedules expiry, notifies callers. */
void replica_finish(struct replica *replica, struct req *req,
		    enum err_kind kind, int status);
/* Schedules the removal of an ended request. */
void replica_expire_later(struct replica *replica, struct req *req);
/* Passes a request to the dispatcher. */
void replica_run(struct replica *replica, struct req *req);

/* Returns the wait before attempt number tries + 1 at a platform call. It grows
 * with each attempt and differs between hosts, so that they do not all retry at
 * once when an outage ends. */
clk_ms replica_platform_backoff(const struct replica *replica, unsigned tries);

/* replica-record.c */
/* Returns the epoch that holds are sent under now. */
int64_t replica_standby_epoch(const struct replica *replica);
void replica_record_tick(struct replica *replica);
void replica_record_result(struct replica *replica, enum record_outcome outcome,
			   const struct replica_record *record);
/* Returns whether the next standby needs a copy of a request. */
bool replica_copy_needed(const struct replica *replica, const struct req *req);
/* Starts the move to another standby. */
void replica_standby_change(struct replica *replica);
/* Handles the sealing of this host's record by another host. */
void replica_deposed(struct replica *replica, const char *by);
/* Fills next with the write that follows the record last. */
void replica_record_next(struct replica *replica, struct replica_record *next,
			 const struct replica_record *last,
			 enum record_state state, const char *peer);

/* replica-hold.c */
void replica_hold_send(struct replica *replica, struct req *req);
void replica_hold_tick(struct replica *replica, struct req *req);
void replica_hold_on_ack(struct replica *replica,
			 const struct replica_msg *msg);
/* Sends the chunks and the end that the standby lacks. */
void replica_progress_send(struct replica *replica, struct req *req,
			   const char *to);

/* replica-standby.c */
void replica_standby_on_msg(struct replica *replica,
			    const struct replica_msg *msg);
void replica_standby_on_record(struct replica *replica, struct standby *standby,
			       enum record_outcome outcome,
			       const struct replica_record *record);
void replica_standby_tick(struct replica *replica, struct standby *standby);
/* Takes the authority over an own former incarnation that this host sealed. */
void replica_standby_adopt(struct replica *replica, const char *old,
			   const struct replica_record *sealed);
/* Seals the record of a primary that is dead or hands over. */
void replica_standby_seal(struct replica *replica, struct standby *standby);
void replica_standby_free(struct standby *standby);
/* Returns whether the primary's ids have all passed their retention time. */
bool replica_standby_expired(const struct replica *replica,
			     const struct standby *standby);

#endif
