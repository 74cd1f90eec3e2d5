/*
 * Roll-out of a software version of a service's workers: which requests may be
 * sent to the version, the target, and whether it is sound.
 *
 * Every host limits what it sends to the target to a share of its own requests
 * for the service, so that all hosts together stay below that share in any
 * partition, without a message. It counts the responses of the target and of
 * the other workers by route, since the order. The leader adds up the counts of
 * all hosts and compares both sides: what disturbs both is not blamed on the
 * target.
 */
#ifndef DECIDE_ROLLOUT_H
#define DECIDE_ROLLOUT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

/* Buckets of a histogram of times, each ROLLOUT_BUCKET_RATIO times as wide as
 * the one before. */
#define ROLLOUT_BUCKETS 20
#define ROLLOUT_BUCKET_RATIO 1.5
#define ROLLOUT_BUCKET_FIRST_MS 3.0
#define ROLLOUT_ROWS_MAX 64 /* routes that are counted */
#define ROLLOUT_DURATION_MAX_S 86400.0
/* Totals that are kept, one of each rollout_observe, for the latest counts. */
#define ROLLOUT_WINDOWS 6

enum rollout_phase {
	ROLLOUT_LIMITED, /* the target gets a share of the requests */
	ROLLOUT_SHIFTED, /* it is sound: it gets all new requests */
	ROLLOUT_COMPLETED,
	ROLLOUT_ROLLED_BACK, /* it gets none */
};

enum rollout_side { ROLLOUT_OTHERS, ROLLOUT_TARGET, ROLLOUT_SIDES };

/* Responses of one side's workers for a route, since the order. */
struct rollout_counts {
	uint32_t ended;	 /* attempts that were sent and have ended */
	uint32_t failed; /* of these */
	uint32_t times[ROLLOUT_BUCKETS]; /* to the first event or response */
};

struct rollout_row {
	char *route;
	struct rollout_counts sides[ROLLOUT_SIDES];
};

/* The rows by route; owned by whoever has initialised it. */
struct rollout_table {
	GPtrArray *rows; /* of struct rollout_row */
};

void rollout_table_init(struct rollout_table *table);
void rollout_table_clear(struct rollout_table *table);
/* Returns the row of a route, which is added if it is new; NULL if there are
 * too many. */
struct rollout_row *rollout_table_row(struct rollout_table *table,
				      const char *route);
/* Counts an attempt that was sent and has ended. */
void rollout_count_end(struct rollout_table *table, const char *route,
		       enum rollout_side side, bool failed);
/* Counts the time in ms to the first event or response of an attempt. */
void rollout_count_time(struct rollout_table *table, const char *route,
			enum rollout_side side, clk_ms time);
/* Returns the responses of a side over all routes, and those that failed. */
uint64_t rollout_ended(const struct rollout_table *table,
		       enum rollout_side side);
uint64_t rollout_failed(const struct rollout_table *table,
			enum rollout_side side);

/* Why a target counts as bad. */
enum rollout_fault {
	ROLLOUT_SOUND,
	ROLLOUT_FAILS,	    /* it fails more often than the others */
	ROLLOUT_SLOW,	    /* it is slower */
	ROLLOUT_OFTEN_SLOW, /* more of its responses are several times slower */
};

struct rollout_finding {
	enum rollout_fault fault;
	const char *route; /* owned by the table; "" for all routes */
	double target;	   /* failure share, mean time in ms, or slow share */
	double others;	   /* the same of the others */
};

/* Compares the target with the others. After the shift the others have hardly
 * any requests, so that nothing shows whether all are disturbed: times are
 * compared only in the limited phase. */
struct rollout_finding rollout_compare(const struct rollout_table *table,
				       enum rollout_phase phase);

/* A host's part: what it may send to the target. */
struct rollout_host {
	enum rollout_phase phase;
	double share;
	uint64_t credit;   /* attempts beyond the share */
	uint64_t requests; /* for the service, since the order */
	uint64_t exposed;  /* attempts at the target while it was limited */
	bool stopped;	   /* this host has seen that the target is bad */
	struct rollout_table counts;
};

/* Whether the next attempt of a request, which is counted in requests, may be
 * sent to the target. */
bool rollout_may_expose(const struct rollout_host *host);

/* The leader's part. */
struct rollout_plan {
	clk_ms ordered_at;
	clk_ms duration;
	enum rollout_phase phase;
};

struct rollout_leader {
	GHashTable *hosts; /* process -> struct rollout_table, by pointer */
	struct rollout_table windows[ROLLOUT_WINDOWS];
	size_t window_count; /* totals that were taken */
};

/* What the leader knows of the service. */
struct rollout_view {
	bool is_served; /* a worker of the target accepts requests */
	bool is_idle;	/* no work is in flight at workers of other versions */
};

struct rollout_decision {
	enum rollout_phase phase;
	const char *why; /* static text */
	struct rollout_finding finding;
	uint64_t ended[ROLLOUT_SIDES];
	uint64_t failed[ROLLOUT_SIDES];
};

void rollout_leader_init(struct rollout_leader *leader);
void rollout_leader_clear(struct rollout_leader *leader);
/* Returns the counts of a process, which its next message replaces. */
struct rollout_table *rollout_leader_host(struct rollout_leader *leader,
					  const char *process);
/* Adds up the counts of all processes and decides; to be called about once a
 * second. The totals are kept as the next window. */
struct rollout_decision rollout_decide(struct rollout_leader *leader,
				       const struct rollout_plan *plan,
				       const struct rollout_view *view,
				       clk_ms now);
/* When requests are shifted to a sound target, and when it is completed: in ms
 * after the order. */
clk_ms rollout_shift_after(clk_ms duration);
clk_ms rollout_complete_after(clk_ms duration);
/* Returns the duration in ms; 0 if it is not one that a roll-out can have. */
clk_ms rollout_duration(double seconds);
/* Whether a phase is final: it is never left again. */
bool rollout_is_final(enum rollout_phase phase);
const char *rollout_phase_name(enum rollout_phase phase);
const char *rollout_fault_name(enum rollout_fault fault);

#endif
