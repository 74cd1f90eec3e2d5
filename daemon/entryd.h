/*
 * rw-entryd: the process between callers and upstreams. This header names
 * the structs that its parts share, in the order in which they build up.
 */
#ifndef DAEMON_ENTRYD_H
#define DAEMON_ENTRYD_H

#include <glib.h>
#include <uv.h>

#include "../decide/admit.h"
#include "../decide/replica.h"
#include "../decide/limit.h"
#include "../decide/member.h"
#include "../decide/retry.h"
#include "../decide/route.h"
#include "../decide/store.h"
#include "../wire/conf.h"
#include "../wire/ctr.h"
#include "../wire/http.h"
#include "../wire/json.h"
#include "../wire/log.h"
#include "../wire/plat.h"
#include "../wire/rpc.h"
#include "../wire/trace.h"

#define SETTINGS_PREFIX "settings/"    /* of the operators' keys */
#define RECORD_PREFIX "home/"	       /* of the homes' records */
#define REQUEST_PREFIX "/v1/requests/" /* of paths that name an id */
#define JSON_TYPE "application/json"
#define EVENT_TYPE "text/event-stream"

struct entryd;

/* A pool of upstreams: who waits for it and what may be retried. */
struct pool {
	char *name;
	struct admit_queue *queue;
	struct retry_budget budget;
};

/* A team's setting, parsed. */
struct setting {
	struct conf_key key;
	void *conf; /* struct conf_<kind>; the last one that was valid */
	int64_t mod;
};

/* An account and the team it belongs to. */
struct account {
	char *name;
	char *team;
	const struct conf_account *conf; /* of its setting */
	struct limit limit;
};

/* One attempt at an upstream. */
struct attempt;

/* What the daemon adds to a request that it answers. */
struct job {
	struct entryd *entryd;
	struct req *req;
	struct pool *pool;
	char *team;
	int prompt_tokens;
	int max_tokens;
	char *prompt; /* of a completion; NULL otherwise */
	uint64_t prefix_hash;
	int priority;
	bool batch;
	bool fencing;
	int64_t deadline_ms; /* allowed until it runs */
	int64_t timeout_ms;  /* of a call, or the silence of a stream */
	int not_run_status;  /* of a service; 0: none */
	char *path;	     /* at the service */
	char *status_path;   /* "" if there is none */
	struct admit_ticket ticket;
	struct attempt *attempt; /* under way, or NULL */
	unsigned attempts;
	bool retry_denied;	     /* the retry that it waits for */
	char *failed_upstream;	     /* upstream that failed last */
	uv_timer_t *retry_timer;     /* back-off before the next attempt */
	clk_ms retry_after;	     /* ms, for a refusal; 0: as in the table */
	GPtrArray *callers;	     /* struct caller */
	struct trace_span span;	     /* of this host */
	struct trace_span hold_span; /* of the guardian's hold */
	clk_ms last_chunk_at;	     /* when one came */
};

/* One caller that waits for a request's answer. */
struct caller {
	struct entryd *entryd;
	struct http_request *call;
	struct job *job;
	size_t next_chunk;    /* piece to send next */
	bool streaming;	      /* as events; else one body at the end */
	bool head_sent;	      /* the head was sent */
	bool accepted_sent;   /* the caller was told */
	bool restart_pending; /* it is to forget what it has */
};

struct entryd {
	uv_loop_t loop;
	struct conf_entry *conf;
	GRand *rand;
	struct ctrs ctrs;
	struct http_server *server;
	struct http_client *client;
	struct rpc *rpc;
	struct plat *plat;
	struct tracer *tracer;
	struct replica *replica;
	struct member_list *members;
	struct store *settings;
	struct store *hosts;
	struct router *router;
	GHashTable *parsed_settings; /* key -> struct setting */
	GHashTable *accounts;	     /* name -> struct account */
	GHashTable *pools;	     /* name -> struct pool */
	GHashTable *callers;	     /* set of struct caller */
	uv_timer_t tick;
	uv_signal_t term;
	uv_signal_t interrupt;
	char http_address[MEMBER_ADDRESS_MAX];
	char rpc_address[MEMBER_ADDRESS_MAX];
	bool ready;		   /* settings are known: callers are served */
	bool watch_in_flight;	   /* a watch is under way */
	clk_ms sync_until;	   /* an exchange for settings is under way */
	bool pools_changed;	   /* which upstreams to use is to be chosen */
	bool hosts_read_in_flight; /* a read of the list is under way */
	clk_ms next_watch;
	clk_ms next_hosts;
	clk_ms next_load;
	GQueue load_queue; /* names of upstreams still to be asked */
	clk_ms started_at;
	unsigned peers_synced; /* exchanges at the start */
	bool settings_read;    /* the platform was read once */
	bool stopping;
	clk_ms stop_deadline; /* the end of the drain */
	bool retired;
	size_t forward_count; /* answers that come from another host */
};

/* entryd.c */
clk_ms entryd_now(const struct entryd *entryd);
clk_ms entryd_wall(void);
uint32_t entryd_random(void *ctx, uint32_t n);
void entryd_count(struct entryd *entryd, enum ctr ctr);
/* Begins the graceful shutdown. */
void entryd_stop(struct entryd *entryd);

/* entryd-answer.c: answers to callers */
void answer_error(struct http_request *call, enum err_kind kind,
		  clk_ms come_back, const char *detail);
/* Sends a caller what it lacks, and the end. */
void caller_flush(struct caller *caller);
struct caller *caller_attach(struct entryd *entryd, struct http_request *call,
			     struct job *job, size_t next, bool streaming);
/* Parts a caller from its request without an answer. */
struct http_request *caller_detach(struct caller *caller);
void job_flush_callers(struct job *job);

/* entryd-call.c: what callers ask for */
void call_completion(struct entryd *entryd, struct http_request *call);
void call_service(struct entryd *entryd, struct http_request *call);
void call_request(struct entryd *entryd, struct http_request *call);
void call_locate(struct entryd *entryd, struct http_request *call);
/* Begins or joins a request that this host speaks for. */
void call_serve_local(struct entryd *entryd, struct http_request *call);

/* entryd-http.c */
void http_on_request(void *ctx, struct http_request *call);
void http_on_rejected(void *ctx, int status);

/* entryd-operate.c: what operators ask for */
void operate_hosts(struct entryd *entryd, struct http_request *call);
void operate_upstreams(struct entryd *entryd, struct http_request *call);
void operate_settings(struct entryd *entryd, struct http_request *call);
void operate_counters(struct entryd *entryd, struct http_request *call);
void operate_health(struct entryd *entryd, struct http_request *call);
void operate_drain(struct entryd *entryd, struct http_request *call);

/* entryd-forward.c: requests of other homes */
void forward_call(struct entryd *entryd, struct http_request *call,
		  const char *home);
/* Answers a caller from the host that has the authority, from a piece on. */
void forward_remainder(struct entryd *entryd, struct http_request *call,
		       const char *id, const char *host, size_t next,
		       bool streaming, bool started);

/* entryd-job.c: the life of a request in the daemon */
/* Creates a job from what a request asks; NULL with kind set if the settings
 * or the body do not allow it. */
struct job *job_create(struct entryd *entryd, const struct req_attrs *attrs,
		       enum err_kind *kind);
/* Returns a request's job; an inherited one gets its job here. */
struct job *job_get(struct entryd *entryd, struct req *req);
void job_free(struct job *job);
/* Chooses an upstream for the next attempt, or NULL. */
struct upstream *job_choose_upstream(struct job *job);
/* Counts an attempt at an upstream in the router. */
void job_route_begin(struct job *job, struct upstream *upstream);
/* Gives places that are free to who waits. */
void pool_dispatch(struct entryd *entryd, struct pool *pool);
struct pool *pool_get(struct entryd *entryd, const char *name);
struct admit_pool pool_state(struct entryd *entryd, const struct pool *pool);
extern const struct replica_ops job_replica_ops;

/* entryd-attempt.c and entryd-probe.c: upstreams */
/* Begins an attempt; returns false if no upstream takes work. */
bool attempt_start(struct job *job);
void attempt_cancel(struct attempt *attempt);
/* What follows when an attempt has ended without the whole answer. */
void job_attempt_failed(struct job *job, bool proved_not_run);
void probe_start(struct job *job);

/* entryd-record.c: replica_ops towards platform and peers */
void record_send(void *ctx, const struct replica_msg *msg);
void record_swap(void *ctx, const char *home,
		 const struct replica_record *record);
void record_read(void *ctx, const char *home);
const char *record_pick_standby(void *ctx, unsigned turn);
/* Parses what the platform stores for a home. */
void record_parse(const char *text, int64_t mod, struct replica_record *record);

/* entryd-member.c */
extern const struct member_ops member_entry_ops;
void member_sync_fill(void *ctx, const w_sync_args *args, w_sync_res *res);
void member_sync_from(struct entryd *entryd, const char *rpc);

/* entryd-conf.c: settings and hosts */
void conf_start(struct entryd *entryd);
void conf_tick(struct entryd *entryd);
const void *conf_find(struct entryd *entryd, enum conf_kind kind,
		      const char *team, const char *name);
struct account *conf_account_find(struct entryd *entryd, const char *name);
void conf_share_limits(struct entryd *entryd);

/* entryd-load.c */
void load_tick(struct entryd *entryd);

#endif
