/*
 * rw-proxyd: the process between callers and upstreams on a platform whose
 * callers send each request once, to one host, and never ask for it again.
 *
 * Its parts, each in a file: proxyd.c (settings, loop, signals, stop),
 * proxyd-follow.c (replicas of the platform's store), proxyd-peer.c (other
 * hosts), proxyd-front.c (what a caller's request is allowed), proxyd-xfer.c
 * and proxyd-attempt.c (its way to an upstream and back), proxyd-door.c
 * (questions to the host itself), proxyd-duty.c and proxyd-scale.c (what one
 * host does for all).
 */
#ifndef DAEMON_PROXYD_H
#define DAEMON_PROXYD_H

#include <glib.h>
#include <uv.h>

#include "../decide/lease.h"
#include "../decide/err.h"
#include "../decide/fleet.h"
#include "../decide/member.h"
#include "../decide/px.h"
#include "../decide/quota.h"
#include "../decide/relay.h"
#include "../decide/retry.h"
#include "../decide/shed.h"
#include "../decide/sse.h"
#include "../decide/store.h"
#include "../decide/aggregate.h"
#include "../decide/tab.h"
#include "../decide/usage.h"
#include "../decide/wall.h"
#include "../platform/cloud.h"
#include "../platform/decode.h"
#include "../platform/endpoint.h"
#include "../platform/engine.h"
#include "../platform/head.h"
#include "../platform/kv.h"
#include "../wire/conf.h"
#include "../wire/ctr.h"
#include "../wire/hist.h"
#include "../wire/hs.h"
#include "../wire/rpc.h"
#include "../wire/slog.h"

#define OWN_PREFIX "rw/"	 /* of this system's own keys */
#define LEADER_KEY "rw/holder"	 /* of the holder of the duties */
#define HOST_PREFIX "rw/host/"	 /* before a host's name */
#define USAGE_PREFIX "rw/usage/" /* before a window's number */
#define LEADER_RANK "duty"	 /* ranks hosts for holding the duties */
#define DUTY_CANDIDATES 3	 /* hosts that collect all counts */

struct proxyd;
struct xfer;

/* What is kept of one pool besides the routing table. */
struct pool_state {
	char *name;
	struct retry_budget budget;
	double demand_ms; /* work asked for since the last report, in ms */
	double demand;	  /* work asked for, in busy workers, aged */
};

/* One prefix of the store that is followed. */
struct follow {
	struct proxyd *proxyd;
	const char *prefix;
	struct store *replica;
	GHashTable *snapshot_keys; /* keys of the snapshot that is being read */
	int64_t snapshot_revision; /* revision of its first page */
	bool reading;		   /* a call is under way */
	bool has_snapshot; /* a snapshot was read: only changes are watched */
	struct kv_call *watch; /* that waits, or NULL */
	clk_ms next_call_at;   /* of the next call */
	unsigned failures;     /* in a row */
};

enum { FOLLOW_CONFIG, FOLLOW_WORKERS, FOLLOW_OWN, FOLLOW_COUNT };

struct proxyd {
	uv_loop_t loop;
	const char *settings_path;
	struct conf_proxy *conf;
	int64_t settings_changed_at; /* of the file, in ns */
	GRand *rand;
	struct ctrs ctrs;
	struct tracer *tracer; /* NULL: no spans are written */
	struct hist first_ms;  /* to the first byte of an answer */
	struct hist whole_ms;  /* to the end of an answer */
	struct hist placed_ms; /* to the first send */
	struct hs *front;
	struct hs *ready;
	struct hs *lookup;
	struct hs *metrics;
	struct hc *upstreams; /* connections to workers */
	struct hc *platform;  /* connections to store and cloud */
	struct kv *kv;
	struct cloud *cloud; /* NULL: there are no duties */
	struct rpc *rpc;
	char rpc_address[MEMBER_ADDRESS_MAX];
	struct member_list *members;
	char **seeds; /* RPC addresses */
	struct follow follow[FOLLOW_COUNT];
	clk_ms started_at;
	unsigned listed_hosts;	  /* by their keys in the store, at the start */
	unsigned pinged_hosts;	  /* of them */
	clk_ms store_lost_at;	  /* 0: it answers */
	clk_ms store_regained_at; /* when it answered again */
	struct tab *tab;	  /* NULL: no configuration yet */
	int64_t tab_revision;
	struct fleet *fleet;
	GHashTable *quotas;	   /* account -> struct quota */
	GHashTable *pools;	   /* name -> struct pool_state */
	bool limits_write_pending; /* a change of the list of accounts is under
				      way */
	clk_ms next_limits_write;
	bool limits_restored; /* the list of before the start was used */
	struct usage usage;
	struct wall wall;
	struct lease leader_lease;
	int64_t host_lease;	/* of this host's own key; 0: none */
	bool host_call_pending; /* a call for it is under way */
	clk_ms next_host_call;
	struct leader *leader; /* proxyd-duty.c */
	struct aggregate
		*peer_prompts; /* other hosts' tokens that wait there */
	struct aggregate *peer_inflight; /* other hosts' requests at workers */
	GHashTable *quotas_by_key; /* aggregate_key of a name -> struct quota */
	clk_ms next_report;
	clk_ms full_report_at; /* the last one with demand */
	clk_ms reported_at;
	clk_ms next_heartbeat;
	struct relay_source relay; /* the host whose sums are taken */
	unsigned relay_host_count; /* hosts that these are of */
	clk_ms collecting_since;  /* all hosts report to this one; 0: they don't
				   */
	clk_ms heartbeat_at;	  /* when a host that watches was heard last */
	int64_t heartbeat_config; /* revisions that were shown last */
	int64_t heartbeat_workers;
	clk_ms next_sync;
	GHashTable *open_requests; /* set of struct xfer: requests under way */
	uv_timer_t tick;
	uv_signal_t signals[3];
	bool stopping;
	clk_ms stop_at; /* when the signal came */
};

/* proxyd.c */
clk_ms proxyd_now(const struct proxyd *proxyd);
/* A clock that counts suspended time, in ms. */
clk_ms proxyd_boot_now(void);
/* The wall clock without its jumps, in ms. */
clk_ms proxyd_wall(struct proxyd *proxyd);
uint32_t proxyd_random(void *ctx, uint32_t n);
void proxyd_count(struct proxyd *proxyd, enum ctr ctr);
/* Whether a request that may last until a loop time is still taken: a host
 * that stops can't promise to be there at its end. */
bool proxyd_accepts(const struct proxyd *proxyd, clk_ms end);
/* Closes the connections to a worker that is no longer listed. */
void proxyd_drop_peer(struct fleet_worker *worker);
/* Hosts that share limits, this one included. */
unsigned proxyd_host_count(const struct proxyd *proxyd);
struct pool_state *proxyd_pool(struct proxyd *proxyd, const char *name);

/* proxyd-report.c: figures that hosts add up */
void report_start(struct proxyd *proxyd);
void report_tick(struct proxyd *proxyd);
/* Puts the figures that a process tells into sums. */
void report_apply_parts(struct proxyd *proxyd, struct aggregate *sums,
			const char *process, const w_part *parts, u_int count);

/* proxyd-follow.c */
void follow_start(struct proxyd *proxyd);
void follow_tick(struct proxyd *proxyd);
/* Whether the host knows enough to serve. */
bool follow_ready(const struct proxyd *proxyd);

/* proxyd-relay.c */
/* Tells this host's part of the others the sums; full: with more than what
 * accounts have left. */
void relay_send_all(struct proxyd *proxyd, bool full);
/* Sets what part of the hosts the accounts' buckets are known of. */
void relay_set_coverage(struct proxyd *proxyd);

/* proxyd-limits.c */
/* Keeps the list of the accounts that are near their limits. */
void limits_tick(struct proxyd *proxyd);
/* Uses that list, once there is a configuration and all own items are read. */
void limits_restore(struct proxyd *proxyd);

/* proxyd-peer.c */
/* How many hosts follow the store, and add the others' figures up. */
unsigned peer_watcher_count(const struct proxyd *proxyd);
/* Whether hosts are so few that each of them does. */
bool peer_all_watch(const struct proxyd *proxyd);
/* Whether the one of these with a rank tells a member what there is. */
bool peer_is_assigned(const struct member *member, unsigned rank,
		      unsigned count);
/* Whether this host follows the store itself. Where hosts are many, a few do
 * and tell the others; one that hears of none follows it too. */
bool peer_watches(const struct proxyd *proxyd);
/* Whether this host is one of the few by its rank. */
bool peer_is_ranked_watcher(const struct proxyd *proxyd);
extern const struct member_ops peer_member_ops;
void peer_start(struct proxyd *proxyd);
void peer_tick(struct proxyd *proxyd);
void peer_on_gossip(void *ctx, const struct member_msg *msg);
void peer_on_sync(void *ctx, const w_sync_args *args, w_sync_res *res);
void peer_on_report(void *ctx, const w_report *report);
void peer_on_relay(void *ctx, const w_relay *relay);
void peer_on_malformed(void *ctx);
/* All items under OWN_PREFIX were read. */
void peer_on_snapshot(struct proxyd *proxyd);
/* An own key of another host was seen: its RPC address. */
void peer_on_host_key(struct proxyd *proxyd, const char *address);

/* proxyd-front.c: a caller's request */
void front_on_request(void *ctx, struct hs_request *call);
void front_on_rejected(void *ctx, int status);
/* Answers on our own behalf. */
void front_reply_error(struct proxyd *proxyd, struct hs_request *call,
		       enum err_kind kind, clk_ms retry_after, const char *why);

/* proxyd-move.c */
void move_tick(struct proxyd *proxyd);

/* proxyd-door.c */
void local_on_request(void *ctx, struct hs_request *call);
void local_on_metrics(void *ctx, struct hs_request *call);

/* proxyd-duty.c and proxyd-scale.c */
/* The length of the lease of the duties, in ms. */
clk_ms duty_lease_duration(const struct proxyd *proxyd);
void duty_start(struct proxyd *proxyd);
void duty_run(struct proxyd *proxyd);
/* An item under OWN_PREFIX has changed. */
void duty_on_item(struct proxyd *proxyd, const struct store_item *item);
/* All items under OWN_PREFIX were read. */
void duty_on_snapshot(struct proxyd *proxyd);
void duty_stop(struct proxyd *proxyd);
/* What a host asked of a pool. */
void scale_on_demand(struct proxyd *proxyd, const char *process,
		     const char *pool, double busy);
/* Follows the demand, whoever holds the duties. */
void scale_observe(struct proxyd *proxyd);
void scale_run(struct proxyd *proxyd);
void scale_start(struct proxyd *proxyd);

#endif
