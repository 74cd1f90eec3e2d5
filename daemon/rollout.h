/*
 * Roll-outs of software versions: orders, the plan in the store, the evidence
 * of the hosts and, on the leader, the verdict; see decide/rollout.h and
 * docs/design/rollout.md.
 *
 * Without an order nothing is sent, nothing is written to the store, and
 * routing is not changed.
 */
#ifndef DAEMON_ROLLOUT_H
#define DAEMON_ROLLOUT_H

#include "../decide/rollout.h"
#include "../decide/store.h"
#include "../platform/kv.h"
#include "../platform/rollout.h"
#include "../wire/msg.h"

/* The plan and its verdict, for the service that follows. */
#define ROLLOUT_PLAN_PREFIX "rw/rollout/"

struct rollouts;

struct rollout_options {
	double share;	    /* of a host's requests that the target gets */
	unsigned tolerance; /* requests beyond the share, over all hosts */
	clk_ms rollback_timeout;
};

/* Callbacks; ctx is that of rollouts_create. */
struct rollout_ops {
	clk_ms (*now)(void *ctx);
	clk_ms (*wall)(void *ctx);
	/* Whether this host is the leader and may act. */
	bool (*leads)(void *ctx);
	unsigned (*host_count)(void *ctx);
	/* Incarnation of this process. */
	const char *(*process)(void *ctx);
	/* What the host's list of workers says of a version of a service. */
	struct rollout_view (*view)(void *ctx, const char *service,
				    const char *target);
	/* Sends a message to the hosts that may lead, or to one process. */
	void (*send)(void *ctx, const w_rollout *message, const char *process);
	/* A step was taken, to be counted. */
	void (*step)(void *ctx, enum rollout_phase phase);
};

/* Where a request of a service may be sent. */
enum rollout_placing {
	ROLLOUT_ANYWHERE,
	ROLLOUT_NOT_TARGET,
	ROLLOUT_TARGET_FIRST,
};

struct rollouts *rollouts_create(struct kv *kv,
				 const struct rollout_options *options,
				 const struct rollout_ops *ops, void *ctx);
/* The settings have changed. */
void rollouts_set_options(struct rollouts *rollouts,
			  const struct rollout_options *options);
/* An item under the prefix of orders, or of plans, has changed. */
void rollouts_on_order(struct rollouts *rollouts,
		       const struct store_item *item);
void rollouts_on_plan(struct rollouts *rollouts, const struct store_item *item);
void rollouts_on_message(struct rollouts *rollouts, const w_rollout *message);
/* restored_at: when the store last came back from an older copy; 0: never. */
void rollouts_tick(struct rollouts *rollouts, clk_ms restored_at);

/* Number of a service's order, since the start of this process; 0: none is
 * applied. */
unsigned rollouts_order(const struct rollouts *rollouts, const char *service);
/* Key of the target's version; 0: it is not known. */
uint32_t rollouts_target(const struct rollouts *rollouts, const char *service);
/* Sets the keys of the FLEET_BARRED_MAX versions that get no requests, as they
 * were targets and were not completed; 0: none. */
void rollouts_barred(const struct rollouts *rollouts, const char *service,
		     uint32_t *keys);
/* Whether nothing at all may be sent to the target. */
bool rollouts_bars(const struct rollouts *rollouts, const char *service);
/* Whether the target gets a share of the requests. */
bool rollouts_limits(const struct rollouts *rollouts, const char *service);
/* A new request for a service, which has not been counted yet. */
void rollouts_count_request(struct rollouts *rollouts, const char *service);
/* Where the next attempt of a request may be sent. */
enum rollout_placing rollouts_place(const struct rollouts *rollouts,
				    const char *service);
/* An attempt is sent to the target. */
void rollouts_count_exposed(struct rollouts *rollouts, const char *service);
/* An attempt under an order has ended; or has had its first output after time
 * ms. */
void rollouts_count_end(struct rollouts *rollouts, const char *service,
			unsigned order, const char *route,
			enum rollout_side side, bool failed);
void rollouts_count_time(struct rollouts *rollouts, const char *service,
			 unsigned order, const char *route,
			 enum rollout_side side, clk_ms time);

#endif
