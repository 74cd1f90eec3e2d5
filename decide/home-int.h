/* What the parts of home.h share with each other. */
#ifndef DECIDE_HOME_INT_H
#define DECIDE_HOME_INT_H

#include "check.h"
#include "home.h"

/* Tells whether a rule is in force; all are, but in proofs. */
static inline bool home_rule(const struct home *home, enum home_rule rule)
{
	return !(home->options.rules_off & rule);
}

/* home.c */
/* Puts a request into the table of those that need attention. */
void home_activate(struct home *home, struct req *req);
void home_deactivate(struct home *home, struct req *req);
/* Ends a request here: answer, expiry, callers. */
void home_finish(struct home *home, struct req *req, enum err_kind kind,
		 int status);
/* Sets when an ended request is forgotten. */
void home_expire_later(struct home *home, struct req *req);
/* Hands a request to the dispatcher. */
void home_run(struct home *home, struct req *req);

/* How long to wait for the platform before try number tries + 1: longer each
 * time, and differing from host to host, so that not all come back at once
 * when an outage ends. */
clk_ms home_platform_wait(const struct home *home, unsigned tries);

/* home-record.c */
/* The epoch that holds are sent under now. */
int64_t home_holder_epoch(const struct home *home);
void home_record_tick(struct home *home);
void home_record_on(struct home *home, enum record_outcome outcome,
		    const struct home_record *record);
/* Tells whether the next guardian needs to know of a request. */
bool home_copy_needed(const struct home *home, const struct req *req);
/* Begins to move to another guardian. */
void home_change_begin(struct home *home);
/* The record was sealed by another host. */
void home_lost(struct home *home, const char *by);
/* Builds the write that follows a record. */
void home_record_next(struct home *home, struct home_record *next,
		      const struct home_record *last, enum record_state state,
		      const char *peer);

/* home-hold.c */
void home_hold_send(struct home *home, struct req *req);
void home_hold_tick(struct home *home, struct req *req);
void home_hold_on_verdict(struct home *home, const struct home_msg *msg);
/* Sends the pieces and the end that the guardian lacks. */
void home_progress_send(struct home *home, struct req *req, const char *to);

/* home-guard.c */
void home_guard_on_msg(struct home *home, const struct home_msg *msg);
void home_guard_on_record(struct home *home, struct guard *guard,
			  enum record_outcome outcome,
			  const struct home_record *record);
void home_guard_tick(struct home *home, struct guard *guard);
/* Speaks for an own former incarnation, sealed by this host. */
void home_guard_own(struct home *home, const char *old,
		    const struct home_record *sealed);
/* The guarded home is dead or gives up: seals its record. */
void home_guard_seal(struct home *home, struct guard *guard);
void home_guard_free(struct guard *guard);
/* Tells whether nobody can ask for the guarded home's ids any more. */
bool home_guard_expired(const struct home *home, const struct guard *guard);

#endif
