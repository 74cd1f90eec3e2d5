/*
 * rw-entryd: routes HTTP requests from callers to upstreams. This header
 * declares the structs and functions that the parts of the daemon share.
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
#include "../wire/due.h"
#include "../wire/http.h"
#include "../wire/json.h"
#include "../wire/log.h"
#include "../wire/plat.h"
#include "../wire/rpc.h"
#include "../wire/trace.h"

#define SETTINGS_PREFIX "settings/"    /* platform keys of settings */
#define RECORD_PREFIX "home/"	       /* platform keys of primary records */
#define REQUEST_PREFIX "/v1/requests/" /* HTTP path before a request id */
#define JSON_TYPE "application/json"
#define EVENT_TYPE "text/event-stream"

struct entryd;

/* A pool of upstreams. */
struct pool {
	char *name;
	struct admit_queue *queue; /* of jobs that wait for an upstream */
	struct retry_budget budget;
};

/* A team's setting, parsed. */
struct setting {
	struct conf_key key;
	void *conf;  /* struct conf_<kind>; the last valid value */
	int64_t mod; /* platform revision */
};

/* An account and the team that it belongs to. */
struct account {
	char *name;
	char *team;
	const struct conf_account *conf; /* owned by its setting */
	struct limit limit;
};

/* One attempt at an upstream. */
struct attempt;

/* The daemon's data of one request; req->owner. */
struct job {
	struct entryd *entryd;
	struct req *req;
	struct pool *pool; /* NULL if the settings no longer allow it */
	char *team;
	int prompt_tokens; /* estimated */
	int max_tokens;
	char *prompt;	      /* of a completion; NULL for a service call */
	uint64_t prefix_hash; /* of the prompt's first bytes, for routing */
	int priority;
	bool batch;
	bool fencing;	     /* the service checks fencing tokens */
	int64_t deadline_ms; /* until it must have begun to run */
	int64_t timeout_ms;  /* of a service call; idle timeout of a stream */
	int not_run_status;  /* a service's status for "not run"; 0: none */
	char *path;	     /* at the service */
	char *status_path;   /* path of the status query; "": none */
	struct admit_ticket ticket;
	struct attempt *attempt; /* in flight, or NULL */
	unsigned attempts;	 /* begun on this host */
	bool retry_denied;	 /* retry_timer waits for the retry budget */
	char *failed_upstream;	 /* of the last failed attempt, or NULL */
	uv_timer_t *retry_timer; /* before the next attempt, or NULL */
	clk_ms retry_after;	 /* ms, for a refusal; 0: as in err_answer */
	GPtrArray *callers;	 /* struct caller */
	struct trace_span span;	 /* of the request on this host */
	struct trace_span hold_span; /* until the standby holds it */
	clk_ms last_chunk_at;	     /* when a chunk was last received */
};

/* An HTTP request that waits for the answer of a job. */
struct caller {
	struct entryd *entryd;
	struct http_request *call;
	struct job *job;
	size_t next_chunk;    /* first chunk that was not sent yet */
	bool streaming;	      /* as events; else one body at the end */
	bool head_sent;	      /* HTTP status and headers */
	bool accepted_sent;   /* event "accepted" */
	bool restart_pending; /* event "restart": discard earlier chunks */
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
	struct due_timer tick;
	uv_signal_t term;
	uv_signal_t interrupt;
	char http_address[MEMBER_ADDRESS_MAX];
	char rpc_address[MEMBER_ADDRESS_MAX];
	bool ready; /* settings and hosts are known: callers are served */
	bool watch_in_flight;	   /* a watch or full read of the settings */
	clk_ms sync_until;	   /* no other sync for settings before this */
	bool pools_changed;	   /* the subsets have to be selected again */
	bool hosts_read_in_flight; /* a read of the host list */
	clk_ms next_watch;
	clk_ms next_hosts;
	clk_ms next_load;
	GQueue load_queue; /* struct upstream to fetch a load report from */
	clk_ms started_at;
	unsigned peers_synced; /* completed syncs */
	bool settings_read;    /* the platform was read at least once */
	bool stopping;
	clk_ms stop_deadline; /* end of the drain, then of the handover */
	bool retired;	      /* drained: the standby is to take over */
	size_t forward_count; /* calls that another host answers */
};

/* entryd.c */
clk_ms entryd_now(const struct entryd *entryd);
clk_ms entryd_wall_time(void);
uint32_t entryd_random(void *ctx, uint32_t n);
void entryd_count(struct entryd *entryd, enum ctr ctr);
/* Begins a graceful shutdown. */
void entryd_stop(struct entryd *entryd);

/* entryd-answer.c: answers to callers */
/* Answers with an error; retry_after is in ms, or 0 for the kind's default. */
void answer_error(struct http_request *call, enum err_kind kind,
		  clk_ms retry_after, const char *detail);
/* Sends a caller the chunks that it lacks, and the end of the answer. */
void caller_flush(struct caller *caller);
/* Makes a call wait for a job's answer, from chunk next on. */
struct caller *caller_attach(struct entryd *entryd, struct http_request *call,
			     struct job *job, size_t next, bool streaming);
/* Frees a caller and returns its call, which is not answered yet. */
struct http_request *caller_detach(struct caller *caller);
void job_flush_callers(struct job *job);

/* entryd-call.c: HTTP requests of callers */
void call_completion(struct entryd *entryd, struct http_request *call);
void call_service(struct entryd *entryd, struct http_request *call);
void call_request(struct entryd *entryd, struct http_request *call);
void call_locate(struct entryd *entryd, struct http_request *call);
/* Serves a call on this host, without forwarding it. */
void call_serve_local(struct entryd *entryd, struct http_request *call);

/* entryd-http.c: HTTP paths */
void http_on_request(void *ctx, struct http_request *call);
void http_on_rejected(void *ctx, int status);

/* entryd-operator.c: HTTP requests of operators */
void operator_list_hosts(struct entryd *entryd, struct http_request *call);
void operator_list_upstreams(struct entryd *entryd, struct http_request *call);
void operator_list_settings(struct entryd *entryd, struct http_request *call);
void operator_get_counters(struct entryd *entryd, struct http_request *call);
void operator_get_health(struct entryd *entryd, struct http_request *call);
void operator_drain_upstream(struct entryd *entryd, struct http_request *call);

/* entryd-forward.c: requests that other hosts have the authority over */
/* Forwards a call to the host that acts for a primary, or to any host if
 * primary is "". */
void forward_call(struct entryd *entryd, struct http_request *call,
		  const char *primary);
/* Relays the answer to request id from the given host, from chunk next on. */
void forward_remainder(struct entryd *entryd, struct http_request *call,
		       const char *id, const char *host, size_t next,
		       bool streaming, bool head_sent);

/* entryd-job.c: queueing, dispatch and retries of requests */
/* Creates a job; returns NULL with kind set if the settings have no such
 * account, model or route. */
struct job *job_create(struct entryd *entryd, const struct req_attrs *attrs,
		       enum err_kind *kind);
/* Returns a request's job; creates one for a request that was taken over. */
struct job *job_get(struct entryd *entryd, struct req *req);
void job_free(struct job *job);
/* Selects an upstream for the next attempt; returns NULL if none accepts
 * work. */
struct upstream *job_choose_upstream(struct job *job);
/* Records the start of an attempt at an upstream in the router. */
void job_route_begin(struct job *job, struct upstream *upstream);
/* Dispatches queued jobs while the pool has capacity. */
void pool_dispatch(struct entryd *entryd, struct pool *pool);
/* Returns the pool with a name, creating it if needed. */
struct pool *pool_get(struct entryd *entryd, const char *name);
struct admit_pool pool_state(struct entryd *entryd, const struct pool *pool);
extern const struct replica_ops job_replica_ops;

/* entryd-attempt.c and entryd-probe.c: attempts at upstreams */
/* Begins an attempt; returns false if no upstream accepts work. */
bool attempt_start(struct job *job);
void attempt_cancel(struct attempt *attempt);
/* Retries, probes or ends a request after an attempt that ended without the
 * complete answer. */
void job_attempt_failed(struct job *job, bool proved_not_run);
/* Queries the upstream whether the last attempt ran. */
void probe_start(struct job *job);

/* entryd-record.c: replica_ops over the platform and RPC */
void peer_send_msg(void *ctx, const struct replica_msg *msg);
void record_swap(void *ctx, const char *primary,
		 const struct replica_record *record);
void record_read(void *ctx, const char *primary);
const char *peer_pick_standby(void *ctx, unsigned turn);
/* Parses the stored record of a primary. */
void record_parse(const char *text, int64_t mod, struct replica_record *record);

/* entryd-member.c: membership */
extern const struct member_ops member_entry_ops;
void member_sync_fill(void *ctx, const w_sync_args *args, w_sync_res *res);
void member_sync_from(struct entryd *entryd, const char *rpc);

/* entryd-conf.c: settings and the host list */
void conf_init(struct entryd *entryd);
void conf_tick(struct entryd *entryd);
const void *conf_find_setting(struct entryd *entryd, enum conf_kind kind,
			      const char *team, const char *name);
struct account *conf_find_account(struct entryd *entryd, const char *name);
void conf_update_limit_shares(struct entryd *entryd);

/* entryd-load.c: load reports of upstreams */
void load_tick(struct entryd *entryd);

#endif
