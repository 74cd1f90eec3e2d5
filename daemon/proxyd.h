/*
 * rw-proxyd: the proxy between callers and upstreams, for a platform whose
 * callers send each request once, to one host, and never poll for its result.
 *
 * Files: proxyd.c (settings, event loop, signals, planned stop), mirror.c
 * (replicas of the platform's store), proxyd-follow.c (application of their
 * items), proxyd-peer.c (other hosts), proxyd-report.c, proxyd-group.c and
 * proxyd-relay.c (reports between hosts), proxyd-limits.c (accounts near their
 * limits, kept in the store), proxyd-front.c (checks on a caller's request),
 * proxyd-xfer.c, proxyd-attempt.c and proxyd-move.c (relaying it to upstreams),
 * proxyd-permit.c and proxyd-probe.c (limits that workers name), proxyd-queue.c
 * (requests that wait for a permit), proxyd-rollout.c and rollout.c (roll-outs
 * of software versions), proxyd-ends.c (counts of requests without
 * a whole answer), proxyd-resume.c (streams that callers take up), streamlog.c
 * (streams kept in the store), proxyd-reach.c (links to the workers),
 * proxyd-forward.c and hop.c (requests relayed over another host),
 * proxyd-guard.c (prompts that crash workers), proxyd-local.c (the host's own
 * HTTP endpoints), proxyd-leader.c and proxyd-scale.c (the leader's duties).
 */
#ifndef DAEMON_PROXYD_H
#define DAEMON_PROXYD_H

#include <glib.h>
#include <uv.h>

#include "../decide/age.h"
#include "../decide/build.h"
#include "../decide/lease.h"
#include "../decide/links.h"
#include "../decide/err.h"
#include "../decide/feed.h"
#include "../decide/fetch.h"
#include "../decide/fleet.h"
#include "../decide/member.h"
#include "../decide/origin.h"
#include "../decide/poison.h"
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
#include "../decide/version.h"
#include "../decide/wall.h"
#include "../platform/cloud.h"
#include "../platform/decode.h"
#include "../platform/endpoint.h"
#include "../platform/engine.h"
#include "../platform/head.h"
#include "../platform/kv.h"
#include "../wire/conf.h"
#include "../wire/ctr.h"
#include "../wire/due.h"
#include "../wire/hist.h"
#include "../wire/hs.h"
#include "../wire/rpc.h"
#include "../wire/slog.h"
#include "hop.h"
#include "mirror.h"
#include "streamlog.h"

#define OWN_PREFIX "rw/"	 /* of the keys that this system writes */
#define LEADER_KEY "rw/holder"	 /* names the leader and its lease */
#define HOST_PREFIX "rw/host/"	 /* before a host's name */
#define USAGE_PREFIX "rw/usage/" /* before a usage window's number */
#define USAGE_RECORD_KEY "rw/usage_record"

/* Offset of the port for forwarded requests from that of the host's RPCs. */
#define FORWARD_PORT 2
/* What a host may add to the head of a request that it forwards. */
#define FORWARD_HEAD_BYTES 640

struct startq;
struct proxyd;
struct rollouts;
struct xfer;

/* State of a pool that outlives changes of the routing table. */
struct pool_state {
	char *name;
	struct retry_budget budget;
	double demand_ms; /* work requested since the last full report, in ms */
	double demand;	  /* in the last full report, in busy workers */
	GQueue waiting;	  /* of struct xfer, for a permit */
	unsigned queue_round;
	clk_ms return_at; /* when the last refused caller is to come back */
	bool several_versions; /* other hosts keep the streams that begin */
};

/* The replicas of the store. */
enum { MIRROR_CONFIG, MIRROR_WORKERS, MIRROR_OWN, MIRROR_COUNT };

/* What a relay knows of the hosts that report to it, and of other relays. */
struct group {
	struct aggregate *inflight; /* requests at workers */
	struct aggregate *prompts;  /* prompt tokens queued at workers */
	struct aggregate *demand; /* for pools, by aggregate_key of the name */
	GHashTable *peers;	  /* process of a relay -> struct peer_group */
	clk_ms next_send;
};

/* The last packed reply with a replica: the hosts that a relay feeds mostly
 * lack the same. */
struct packed_reply {
	bool members;	      /* it lists the members, too */
	int64_t config_after; /* what the hosts that asked for it have */
	int64_t workers_after;
	int64_t config; /* this host's revisions in it */
	int64_t workers;
	unsigned size; /* of the result before it was compressed */
	GBytes *data;  /* NULL: there is none */
};

struct proxyd {
	uv_loop_t loop;
	const char *settings_path;
	struct conf_proxy *conf;
	int64_t settings_changed_at; /* mtime of the file, in ns */
	clk_ms reloaded_at;	     /* 0: never */
	GRand *rand;
	struct ctrs ctrs;
	struct tracer *tracer; /* NULL: no spans are written */
	struct hist first_ms;  /* time to the first byte of a response */
	struct hist whole_ms;  /* time to the end of a response */
	struct hist placed_ms; /* time to the first send to an upstream */
	struct hist list_ages; /* of the list of workers, when it is used */
	struct hs *front;
	struct hs *ready;
	struct hs *lookup;
	struct hs *metrics;
	struct hc *upstreams; /* connections to workers */
	struct hc *platform;  /* connections to store and cloud */
	struct kv *kv;
	struct cloud *cloud; /* NULL: this host never becomes leader */
	struct rpc *rpc;
	char rpc_address[MEMBER_ADDRESS_MAX];
	struct member_list *members;
	GHashTable *builds_met; /* set of numbers; those are logged */
	char **seeds;		/* RPC addresses */
	struct mirror *mirror;
	struct feed feed;
	bool feed_outdated;	  /* the members have changed */
	unsigned feed_host_count; /* at the last update of feed */
	clk_ms started_at;
	unsigned listed_hosts; /* hosts with a key in the store when the last
				* snapshot of own keys was read */
	unsigned pinged_hosts; /* of these, pinged after the start */
	struct tab *tab;       /* NULL: no configuration yet */
	int64_t tab_revision;
	clk_ms tab_applied_at; /* when it came in force here */
	clk_ms held_until; /* tab stays, as a restored store has an older one;
			    * 0: none is held */
	struct fleet *fleet;
	struct rollouts *rollouts;
	GHashTable *quotas; /* account -> struct quota */
	GHashTable *pools;  /* name -> struct pool_state */
	bool limits_write_pending;
	clk_ms next_limits_write;
	clk_ms next_balances; /* while accounts are near their limits */
	bool limits_restored; /* the stored list was handled after start */
	struct usage usage;
	struct wall wall;
	struct poison *poison;
	struct origin *origin;
	struct streamlog *streamlog;
	uint32_t writers_key; /* of the hosts that write streams */
	bool record_pending;  /* a record of versions is being written */
	clk_ms next_record;
	GPtrArray *questions; /* struct xfer whose stream's version is asked */
	GPtrArray *awaiting; /* struct xfer that awaits the entry of a worker */
	GHashTable *limit_news;	  /* worker's id -> struct limit_news */
	unsigned limit_questions; /* for all limits, since the start */
	clk_ms next_issuer_check;
	GPtrArray *probes;  /* of struct probe */
	GPtrArray *watches; /* of proxyd-process.c */
	struct links *links;
	struct hop *hop;
	struct startq *starting; /* requests that wait for the configuration */
	struct hs *forwarded;	 /* listener for requests of other hosts */
	clk_ms links_checked_at;
	clk_ms paused_at;	/* this process last was; 0: never */
	GArray *urgent_notices; /* of struct urgent_notice, not sent yet */
	clk_ms next_urgent_notices;
	struct lease leader_lease;
	struct kv_lease host_lease; /* of this host's own key */
	int64_t host_key_revision;  /* of that key; 0: none */
	bool host_call_pending;
	clk_ms next_host_call;
	struct leader *leader;		 /* proxyd-leader.h */
	struct aggregate *peer_prompts;	 /* other hosts' queued prompt tokens */
	struct aggregate *peer_inflight; /* other hosts' requests at workers */
	GHashTable *quotas_by_key; /* aggregate_key of a name -> struct quota */
	struct group group;
	struct speeds *speeds; /* proxyd-speed.c */
	clk_ms next_counts;    /* no changed usage counts are sent before */
	clk_ms next_counts_refresh; /* of all usage counts */
	bool pass_counts_on;	    /* others may lack all of them */
	/* Hosts from which counts have come since this one collects them. */
	GHashTable *counts_from; /* set of incarnations */
	clk_ms next_report;
	clk_ms full_report_at; /* last report with counts and demand */
	clk_ms reported_at;
	clk_ms next_heartbeat;
	clk_ms relays_changed_at;  /* 0: they have not */
	struct relay_source relay; /* whose aggregated reports are accepted */
	unsigned relay_host_count; /* hosts that these reports cover */
	clk_ms collecting_since;   /* since when all hosts report to this one;
				    * 0: they don't */
	int64_t heartbeat_config;  /* revisions in the last heartbeat sent */
	int64_t heartbeat_workers;
	struct fetch fetch; /* of newer items, from other hosts */
	struct packed_reply packed[FETCH_PARTS + 1]; /* and of the members */
	struct age list_age;	   /* of the list of workers */
	bool list_is_old;	   /* that was logged */
	GHashTable *open_requests; /* set of struct xfer */
	struct due_timer queue_timer;
	struct due_timer tick;
	uv_signal_t signals[3];
	bool stopping;
	clk_ms stop_at; /* when the signal arrived */
};

/* proxyd.c */
clk_ms proxyd_now(const struct proxyd *proxyd);
/* Monotonic clock that includes suspended time, in ms. */
clk_ms proxyd_boot_now(void);
/* Wall clock without its jumps, in ms. */
clk_ms proxyd_wall(struct proxyd *proxyd);
/* Random integer below n, at least 0. */
uint32_t proxyd_random(void *ctx, uint32_t n);
/* Random number from 0 to 1. */
double proxyd_chance(struct proxyd *proxyd);
void proxyd_count(struct proxyd *proxyd, enum ctr ctr);
/* Whether a new request whose deadline is the loop time end is accepted: a
 * stopping host may have exited by then. */
bool proxyd_accepts(const struct proxyd *proxyd, clk_ms end);
/* Closes the connections to a worker that is no longer listed, once it has no
 * requests: they may have to be moved away from it, and go on there if that
 * fails. */
void proxyd_drop_peer(struct fleet_worker *worker);
/* Hosts that share limits, this one included. */
unsigned proxyd_host_count(const struct proxyd *proxyd);
struct pool_state *proxyd_pool(struct proxyd *proxyd, const char *name);

/* proxyd-xfer.c: requests that are being relayed */
/* Ends all of them, as the process is about to exit: those that have not run
 * are refused, a response that has begun is cut off, others get an error. */
void xfer_end_all(struct proxyd *proxyd);

/* proxyd-speed.c: the speed of workers, as all hosts see it */
void speed_start(struct proxyd *proxyd);
void speed_tick(struct proxyd *proxyd);
void speed_on_speeds(void *ctx, const w_speeds *message);

/* proxyd-report.c: reports that hosts aggregate */
void report_start(struct proxyd *proxyd);
void report_tick(struct proxyd *proxyd);
/* Sends the counts of started requests that were not reported yet. */
void report_send_counts(struct proxyd *proxyd);
/* Returns which counts to send again now. */
enum usage_again report_counts_again(struct proxyd *proxyd);
/* Calls fn for each usage count of another host that may be gone, and then
 * can't report it. */
void report_each_orphan(struct proxyd *proxyd,
			void (*fn)(void *ctx, const struct usage_count *count),
			void *ctx);
/* Sends all counts with the next report: some host may lack them. */
void report_pass_on(struct proxyd *proxyd);
/* Counts the hosts whose counts this one lacks, although they may have some. */
unsigned report_hosts_missing(const struct proxyd *proxyd);
/* Tells a former parent to drop what this host has reported: another relay has
 * it now, and it would count twice until it expires. */
void report_withdraw(struct proxyd *proxyd, const char *relay);
/* Updates this host's demand for each pool, measured since the last update. */
void report_update_demand(struct proxyd *proxyd);
/* Whether a value of load, such as requests or tokens, can be true. */
bool report_is_load(double value);
/* Whether all values can be true. */
bool report_parts_are_valid(const w_part *parts, u_int count,
			    bool (*is_valid)(double value));
bool report_demand_is_valid(const w_demand *demand, u_int count);
/* Merges the count that a process has sent; returns false if it can't be true.
 */
bool report_count_apply(struct proxyd *proxyd, const char *process,
			const w_count *count, bool forward);
/* Notes that some values of a message of a process can't be true. */
void report_bad_value(struct proxyd *proxyd, const char *process,
		      const char *what);
/* Replaces the values of a process in an aggregate by those it reports. */
void report_parts_apply(struct proxyd *proxyd, struct aggregate *sums,
			const char *process, const w_part *parts, u_int count);

/* proxyd-follow.c: application of the store's items */
void follow_start(struct proxyd *proxyd);
void follow_tick(struct proxyd *proxyd);
/* Revisions of the replicas of the configuration and the workers. */
int64_t follow_config_revision(const struct proxyd *proxyd);
int64_t follow_workers_revision(const struct proxyd *proxyd);
/* A worker has said in a response that it is leaving; via: how this host knows.
 */
void follow_worker_leaves(struct proxyd *proxyd, struct fleet_worker *worker,
			  const char *via);
/* Drops the notice of a worker that is gone. */
void follow_forget_notice(struct proxyd *proxyd,
			  const struct fleet_worker *worker);
/* Another host has received such a response. */
void follow_on_notice(struct proxyd *proxyd,
		      const struct member_notice *notice);
/* Whether the host has a configuration and the list of workers, which it needs
 * to serve. */
bool follow_ready(const struct proxyd *proxyd);

/* proxyd-relay.c: aggregated reports, where hosts are many */
/* Sends aggregated reports to the hosts that this relay serves; full: include
 * the load of workers, besides what remains of the accounts' limits. */
void relay_send_all(struct proxyd *proxyd, bool full);
/* Counts the hosts whose spending and load are known here. */
unsigned relay_hosts_reporting(const struct proxyd *proxyd);
/* Sets for all accounts how much of the hosts' spending is known here. */
void relay_update_coverage(struct proxyd *proxyd);

/* proxyd-group.c: sums over groups of hosts, exchanged by relays */
void group_start(struct proxyd *proxyd);
/* Whether this host is a relay that exchanges sums with others. */
bool group_is_active(const struct proxyd *proxyd);
/* Sends this group's sums when they are due; near_limit: some account is near
 * its limit, so that they are due at once. */
void group_tick(struct proxyd *proxyd, bool near_limit);
/* Sends the usage counts that are not reported yet. */
void group_send_counts(struct proxyd *proxyd);
/* Adds the report of a host to this relay's group. */
void group_on_report(struct proxyd *proxyd, const w_report *report);
/* Drops the values of hosts that have not reported since a time. */
void group_expire(struct proxyd *proxyd, clk_ms before);
/* Counts the hosts in the sums of all relays. */
unsigned group_reporting(const struct proxyd *proxyd);
void peer_on_group(void *ctx, const w_group *message);

/* proxyd-limits.c: the stored list of accounts near their limits */
/* Updates the list when it has changed, and what remains for the accounts in
 * it. */
void limits_tick(struct proxyd *proxyd);
/* Applies the list after a start, once there is a configuration and all own
 * items were read. */
void limits_restore(struct proxyd *proxyd);

/* proxyd-peer.c: other hosts */
extern const struct member_ops peer_member_ops;
void peer_start(struct proxyd *proxyd);
/* Whether a process has a feature (decide/build.h). */
bool peer_issues_permits(const char *incarnation);
bool peer_keeps_origins(const char *incarnation);
bool peer_takes_forwarded(const char *incarnation);
bool peer_knows_links(const char *incarnation);
bool peer_writes_streams(const char *incarnation);
bool peer_reads_marks(const char *incarnation);
void peer_tick(struct proxyd *proxyd);
void peer_on_gossip(void *ctx, const struct member_msg *msg);
void peer_on_sync(void *ctx, const w_sync_args *args, w_sync_res *res);
void peer_on_sync_packed(void *ctx, const w_sync_args *args, w_packed *res);
void peer_on_report(void *ctx, const w_report *report);
void peer_on_relay(void *ctx, const w_relay *relay);
void peer_on_dropped(void *ctx, const struct rpc_dropped *dropped);
/* Tells the hosts that this one feeds of newer replicas, and of its life. */
void peer_send_heartbeats(struct proxyd *proxyd);
/* All items under OWN_PREFIX were read. */
void peer_on_snapshot(struct proxyd *proxyd);
/* The store was restored: it may lack this host's key. */
void peer_on_restored(struct proxyd *proxyd);
/* A host's key was read; address is the RPC address in it. */
void peer_on_host_key(struct proxyd *proxyd, const struct store_item *item,
		      const char *address);

/* Counts the hosts that may be sending, including those declared dead
 * recently, which may still run. */
unsigned peer_hosts_maybe_running(const struct proxyd *proxyd);

/* proxyd-permit.c: limits that workers name, and full brittle workers */
void permit_start(struct proxyd *proxyd);
void permit_tick(struct proxyd *proxyd);
void permit_on_ask(void *ctx, const w_permit_ask *ask);
void permit_on_answer(void *ctx, const w_permit_grant *answer);
/* Tells all hosts of requests that a brittle worker has rejected. */
void permit_tell_full(struct proxyd *proxyd, const struct fleet_worker *worker,
		      unsigned count);
void permit_on_full(void *ctx, const w_full *full);
/* A worker is listed. */
void permit_on_worker(struct proxyd *proxyd, struct fleet_worker *worker);
/* proxyd-resume.c: streams that callers take up */
void resume_start(struct proxyd *proxyd);
void resume_tick(struct proxyd *proxyd);
/* An item under OWN_PREFIX has changed. */
void resume_on_item(struct proxyd *proxyd, const struct store_item *item);
/* The listed process of a worker has begun some streams, given by their keys.
 */
void resume_on_listed_process(struct proxyd *proxyd,
			      const struct fleet_worker *worker,
			      const GArray *streams);
struct ident_answer;
/* A process that is not listed has answered in a worker's place. */
void resume_on_report(struct proxyd *proxyd, const struct fleet_worker *worker,
		      const struct ident_answer *answer);
/* A worker's process is listed: requests that await an entry may try it again.
 */
void resume_on_listed(struct proxyd *proxyd, const struct fleet_worker *worker);
void resume_on_keep(void *ctx, const w_origin_keep *keep);
void resume_on_ask(void *ctx, const w_origin_ask *ask);
void resume_on_answer(void *ctx, const w_origin_answer *answer);

/* proxyd-probe.c: health checks of workers that take no requests */
void probe_start(struct proxyd *proxyd);
void probe_tick(struct proxyd *proxyd);
/* Sends one to a worker that names a limit, if it is due. */
void probe_send(struct proxyd *proxyd, struct fleet_worker *worker);
/* Checks whether a worker can be reached; returns false if its pool has no
 * check. */
bool probe_link(struct proxyd *proxyd, struct fleet_worker *worker);
/* Asks a worker that is listed now, and is in doubt, whether it wants requests.
 */
void probe_wishes(struct proxyd *proxyd, struct fleet_worker *worker);

/* proxyd-process.c: which process of a worker connections lead to */
void process_start(struct proxyd *proxyd);
void process_tick(struct proxyd *proxyd);
/* Asks a worker which process it is, as it may have begun a stream, given by
 * its key. Of the request, engine applies. */
void process_watch(struct proxyd *proxyd, struct fleet_worker *worker,
		   const struct fleet_request *request, uint64_t stream);
/* Whether a worker is asked which perhaps has begun a stream. */
bool process_is_watched(const struct proxyd *proxyd, uint64_t stream);

/* proxyd-reach.c: which workers this host reaches */
void reach_start(struct proxyd *proxyd);
void reach_tick(struct proxyd *proxyd);
/* Something was received from a worker. */
void reach_on_data(struct proxyd *proxyd, struct fleet_worker *worker);
/* A connection to a worker has failed or ended. */
void reach_on_failure(struct proxyd *proxyd, const struct fleet_worker *worker);
/* A worker is silent. */
void reach_on_silence(struct proxyd *proxyd, const struct fleet_worker *worker);
/* Probes a worker of the pool, another one than that given if there is any. */
void reach_probe_other(struct proxyd *proxyd,
		       const struct fleet_worker *worker);
/* Another host asks whether this one hears a pool, or has answered. */
void reach_on_ask(void *ctx, const w_links *ask);
void reach_on_answer(void *ctx, const w_links *answer);

/* proxyd-forward.c: requests over another host */
void forward_start(struct proxyd *proxyd);
void forward_tick(struct proxyd *proxyd);
/* Another host has forwarded a request. */
void forward_on_request(void *ctx, struct hs_request *call);

/* proxyd-queue.c: requests that wait for a permit */
void queue_start(struct proxyd *proxyd);
/* Sends those for which there are permits now, and refuses those for which none
 * are expected. */
void queue_update(struct proxyd *proxyd, const char *pool_name);

/* proxyd-front.c: checks on a caller's request */
void front_start(struct proxyd *proxyd);
void front_on_request(void *ctx, struct hs_request *call);
void front_on_rejected(void *ctx, int status);
void front_on_unread(void *ctx, size_t len);
/* Replies with an error of this system, not of an upstream; detail: further
 * fields of its log line, " name=value" each. */
void front_reply_end(struct proxyd *proxyd, struct hs_request *call,
		     enum err_kind kind, clk_ms retry_after, const char *why,
		     const char *detail);
/* The same without further fields. */
void front_reply_error(struct proxyd *proxyd, struct hs_request *call,
		       enum err_kind kind, clk_ms retry_after, const char *why);

/* proxyd-guard.c: requests and prompt parts that crash workers */
void guard_start(struct proxyd *proxyd);
void guard_tick(struct proxyd *proxyd);
/* Identifies a request: the same for repeats by the same account with the same
 * method, host, path, query and body; headers don't count. */
uint64_t guard_identity(struct hs_request *call,
			const struct tab_account *account);
/* Whether a new request may be sent to a worker, or is known to crash it. */
bool guard_admits(struct proxyd *proxyd, const struct head_request *head,
		  uint64_t identity);
/* Another process is about to be listed under a worker's id. */
void guard_on_replaced(struct proxyd *proxyd,
		       const struct fleet_worker *worker);
void guard_on_notice(struct proxyd *proxyd, const struct member_notice *notice);

/* proxyd-rollout.c: roll-outs of software versions */
void rollout_start(struct proxyd *proxyd);
void rollout_tick(struct proxyd *proxyd);
void rollout_on_settings(struct proxyd *proxyd);
/* An item of the store has changed. */
void rollout_on_item(struct proxyd *proxyd, const struct store_item *item);
void rollout_on_message(void *ctx, const w_rollout *message);

/* proxyd-move.c: streams at workers that are leaving */
void move_tick(struct proxyd *proxyd);

/* proxyd-local.c: the host's own HTTP endpoints */
void local_on_request(void *ctx, struct hs_request *call);
void local_on_metrics(void *ctx, struct hs_request *call);

/* proxyd-leader.c and proxyd-scale.c: the leader's duties */
/* Duration of the leader's lease, in ms. */
void leader_start(struct proxyd *proxyd);
void leader_tick(struct proxyd *proxyd);
/* An item under OWN_PREFIX has changed. */
void leader_on_item(struct proxyd *proxyd, const struct store_item *item);
/* All items under OWN_PREFIX were read. */
void leader_on_snapshot(struct proxyd *proxyd);
/* The store's era is known, or has risen; restored: it was known before. */
void leader_on_era(struct proxyd *proxyd, bool restored);
void leader_resign(struct proxyd *proxyd);
/* Records a host's demand for a pool, in busy workers. */
void scale_set_demand(struct proxyd *proxyd, const char *process,
		      const char *pool, double busy);
/* Tracks the demand on every host, so that a new leader knows it. */
void scale_observe(struct proxyd *proxyd);
void scale_run(struct proxyd *proxyd);
void scale_start(struct proxyd *proxyd);

#endif
