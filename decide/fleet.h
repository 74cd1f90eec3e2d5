/*
 * Selection of the worker that gets a request.
 *
 * The cost of an engine is the expected time to first token there: the
 * prefill of queued prompts, that of the uncached part of this prompt, and
 * the slowdown by running requests. This host's own requests are counted
 * exactly; those of other hosts come from load reports of known age. The cost
 * of a service's worker is the wait for a free slot.
 */
#ifndef DECIDE_FLEET_H
#define DECIDE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "origin.h"
#include "permit.h"
#include "speed.h"

#define FLEET_PARTS_MAX 16 /* parts of one prompt that are looked up */
#define FLEET_BARRED_MAX 4 /* versions that a request is kept away from */
#define FLEET_FAILED_MAX 4 /* workers that a request is kept away from */
/* What a running request adds to the time to first token. */
#define FLEET_RUNNING_MS 2
/* What a new connection costs: a round trip, work at the worker and a price.
 * tests/sim-connect.c has 0.17 and 0.24 new connections for each request in
 * place of 0.38 and 0.41; a higher cost makes engines prefill more shared parts
 * again. */
#define FLEET_CONNECT_MS 6
/* After this time a cached prompt part no longer counts, as an engine evicts it
 * sooner or later. */
#define FLEET_CACHE_TTL_MS 60000

/* How long a version counts as in use after its last worker was removed: as
 * long as a stream that it began may go on. */
#define FLEET_VERSION_MS 20000

/* In place of a version that is not known: no worker has it. */
#define FLEET_VERSION_UNKNOWN ORIGIN_VERSION_UNKNOWN

/* How an attempt ended, as input to its worker's health. */
enum fleet_outcome {
	FLEET_OK,
	FLEET_ERROR,	   /* a complete response that reports a failure */
	FLEET_NO_RESPONSE, /* no connection, no response, or a timeout */
};

/* A worker's entry in the platform's list. */
struct fleet_entry {
	char *id;
	char *pool;
	char *address; /* "IP:port" */
	char *data_centre;
	char *version; /* of its software */
	int slots;
	bool leaving;
	bool spot;	     /* it may be reclaimed */
	clk_ms remaining_ms; /* until it stops serving; -1: not known */
	clk_ms warmup_ms;   /* remaining time of slow responses after a start */
	int64_t started_at; /* wall clock of its start, in ms */
};

/* Outcomes of a worker's recent attempts. */
struct fleet_health {
	double failure_rate; /* exponentially decayed, 0 to 1 */
	clk_ms updated_at;   /* last attempt; failure_rate is as of then */
	unsigned consecutive_failures;
	clk_ms avoid_until; /* chosen only if no healthy worker is available */
};

/* The request rate that a worker names in its responses, for all hosts
 * together.
 */
struct fleet_limit {
	struct permit_holder *holder; /* NULL: it names none */
	struct permit_issuer *issuer; /* NULL: this host issues no permits */
	bool lifted;		      /* it has named one before */
	bool inherited;	 /* read before the process was listed, and not since:
			  * it may be the former one's */
	clk_ms named_at; /* when a response, here or elsewhere, last named it */
	clk_ms seen_at;	 /* when one to this host did; 0: never */
	clk_ms told_at;	 /* the issuer was last told; 0: never */
	bool untold; /* this host is the issuer, and is to tell the others */
	clk_ms announced_at; /* it last has; 0: never */
	clk_ms probed_at; /* it last asked for the worker's health; 0: never */
};

/* A worker that falls over if it has to reject too many requests a second. */
struct fleet_brittle {
	bool is;
	double bears;	   /* rejections a second */
	clk_ms pause;	   /* of this host between two tries, in ms */
	bool limited;	   /* it has rejected one; the next two apply then */
	unsigned most;	   /* requests of this host at a time */
	clk_ms try_at;	   /* one more may be sent */
	clk_ms stopped_at; /* nothing was sent from then on; 0: never */
	unsigned counted;  /* rejections, known here, of what it had accepted */
	clk_ms counted_from;
};

/* What is known of a worker's speed: the time between two events of its
 * streams, as ln(ms + 1). Each observation fades. */
struct fleet_speed {
	double weight;	    /* of own observations */
	double sum;	    /* of own observations, weighted */
	clk_ms at;	    /* as of then */
	double peer_weight; /* of other hosts' observations, as they say */
	double peer_sum;
	double ratio; /* its time, relative to that of most in its pool; 0: not
		       * known */
};

struct fleet_worker {
	struct fleet_entry entry;
	int64_t revision;      /* the list's revision of the entry */
	clk_ms removal_due_at; /* when a missing entry counts as removed; 0: it
				* is listed. Until then the worker is used only
				* if there is no other */
	struct fleet_health health;
	unsigned inflight; /* requests that this host has there */
	/* The next process, listed at the same id and address; it counts this
	 * one's requests too. NULL: none. */
	struct fleet_worker *successor;
	double prompt_tokens; /* of own requests before their first token */
	double peer_prompt_tokens; /* the same of other hosts' requests, by
				    * the hosts' reports */
	int peer_requests;	   /* of other hosts, by the hosts' reports */
	int reported_others;	   /* the same, by the worker's last report */
	clk_ms reported_at;	   /* time of that report; 0: never */
	uint32_t key;		   /* aggregate_key of its id */
	uint32_t version;	   /* fleet_version_key of its version */
	clk_ms heard_at; /* it last sent something to this host; 0: never */
	clk_ms link_probed_at; /* the link to it; 0: never */
	bool unreached;	       /* others hear it, and this host does not */
	clk_ms cut_at; /* a connection to it last ended or failed; 0: never */
	/* Start of a process that is not the listed one but has answered in
	 * its place, in ms of its wall clock; 0: none has, or an unknown one.
	 */
	int64_t other_start;
	clk_ms other_at;   /* when it last did; 0: never */
	bool other_serves; /* it runs requests under the worker's id */
	/* A process last did not say which one it is; 0: never. */
	clk_ms unknown_at;
	clk_ms said_at;		  /* one last did; 0: never */
	GHashTable *cached_parts; /* part -> when it was last read, in clk_ms */
	bool said_leaving;	  /* in a response; its entry may not yet */
	clk_ms withheld_until;	  /* it wants no requests until then; 0: it
				   * has not said so */
	/* Until then it wants no requests, by responses that came before its
	 * process was listed and may be the former one's; 0: by none. */
	clk_ms doubted_until;
	struct fleet_limit limit;
	struct fleet_brittle brittle;
	struct fleet_speed speed;
	double pace;	  /* its time at paced_at, relative to its usual one */
	clk_ms paced_at;  /* 0: it has not said so */
	bool pace_logged; /* that it said what can't be read */
	clk_ms leaves_at; /* expected end; 0: not known to be leaving */
	/* If it is leaving, the end of the time in which requests may still
	 * reach it. */
	clk_ms drained_at;
	unsigned moves;	 /* of its requests, which may go on there after all */
	void *http_peer; /* the user's connections to it */
	unsigned refs;	 /* held by the fleet and by requests */
	bool removed;
};

/* Cost parameters of engines and services, from the settings. */
struct fleet_params {
	double prefill_ms;     /* per uncached token */
	double per_running_ms; /* per running request */
	double running_share;  /* what a running request adds to a decode step,
				* relative to its fixed part */
	double cross_dc_ms;    /* for a worker in another data centre */
	unsigned samples;      /* workers compared besides a session's preferred
				* one; 0: all, where hosts are few */
	uint32_t host_key;     /* of this host; selects its subset of workers */
	clk_ms cache_ttl;      /* a part read longer ago may be evicted */
	/* For a worker to which the host would open a connection; 0: none. */
	double connect_ms;
};

/* One part of a prompt. */
struct fleet_part {
	uint64_t id;
	int tokens;
};

/* Which versions may run a request, beside a roll-out of one of them, the
 * target. */
enum fleet_side {
	FLEET_ANY_SIDE,
	FLEET_OTHERS,
	FLEET_TARGET,
};

/* A request to be placed. */
struct fleet_request {
	const char *pool;
	bool engine;
	const char *data_centre; /* of this host */
	int prompt_tokens;
	int prefill_tokens; /* of these, not cached at the chosen worker */
	/* Its time to the first event shows the speed of its pool. */
	bool shows_speed;
	struct fleet_part parts[FLEET_PARTS_MAX];
	size_t part_count;
	const struct fleet_worker *exclude; /* or NULL */
	/* Keys of workers that it has failed at: chosen only if there is no
	 * other. */
	uint32_t failed[FLEET_FAILED_MAX];
	unsigned failed_count;
	/* Only workers that were heard from since; 0: any. */
	clk_ms heard_since;
	uint32_t version;   /* the only one that may run it; 0: any */
	clk_ms listed_at;   /* when the list of workers was last current */
	bool is_repeatable; /* it can be sent again if it is lost */
	enum fleet_side side;
	uint32_t target; /* key of the version that side refers to */
	/* Keys of versions that may not run it; 0: none. */
	uint32_t barred[FLEET_BARRED_MAX];
	/* Workers of the target that may run it, the same ones at every host;
	 * 0: any. */
	unsigned target_workers;
};

/* Where a request is placed, and why. */
struct fleet_choice {
	struct fleet_worker *worker; /* NULL: none is available */
	/* A worker that would be the choice if there were a permit for it, and
	 * for which one may be asked; or NULL. */
	struct fleet_worker *wanted;
	double cost;	    /* compared between candidates */
	double expected_ms; /* to the first token */
	int cached_tokens;  /* expected */
	unsigned candidates;
};

/* A software version of a pool's workers. */
struct fleet_version {
	uint32_t key;
	unsigned workers; /* that are listed */
	clk_ms gone_at;	  /* first seen without any; 0: it has some */
};

struct fleet {
	GHashTable *workers;  /* id -> struct fleet_worker */
	GHashTable *pools;    /* pool -> GPtrArray of struct fleet_worker */
	GHashTable *versions; /* pool -> GArray of struct fleet_version */
	GHashTable *speeds;   /* pool -> struct speed; of engines */
	struct fleet_params params;
	clk_ms brittle_at; /* a brittle worker last answered; 0: never */
	uint32_t (*random)(void *ctx, uint32_t n);
	/* Whether the host has an idle connection to a worker for a request;
	 * NULL: not known. */
	bool (*is_connected)(void *ctx, const struct fleet_worker *worker,
			     const struct fleet_request *request);
	GHashTable *by_key;  /* aggregate_key of an id -> struct fleet_worker */
	GPtrArray *replaced; /* struct fleet_worker whose other_at is set */
	/* Called to open and to close connections to a worker. */
	void (*on_added)(void *ctx, struct fleet_worker *worker);
	void (*on_removed)(void *ctx, struct fleet_worker *worker);
	void *ctx;
};

struct fleet *fleet_create(const struct fleet *options);
/* Adds or updates a worker from its list entry, whose contents the fleet
 * takes over. Returns the worker. */
struct fleet_worker *fleet_put(struct fleet *fleet, struct fleet_entry *entry,
			       int64_t revision);
/* Removes a worker that is no longer listed. */
void fleet_remove(struct fleet *fleet, const char *id);
struct fleet_worker *fleet_find(const struct fleet *fleet, const char *id);
void fleet_entry_clear(struct fleet_entry *entry);
struct fleet_worker *fleet_worker_ref(struct fleet_worker *worker);
void fleet_worker_unref(struct fleet_worker *worker);
/* Returns the last of its successors, or itself. */
struct fleet_worker *fleet_latest(struct fleet_worker *worker);
/* Whether a worker belongs to the subset of its pool whose load a host
 * receives reports of and samples from; host_key: aggregate_key of the host's
 * process. In a small pool every worker does. */
bool fleet_in_subset(const struct fleet *fleet,
		     const struct fleet_worker *worker, uint32_t host_key);
/* Whether a worker accepts new requests. */
bool fleet_takes_work(const struct fleet_worker *worker);

/* Chooses a worker. */
struct fleet_choice fleet_choose(struct fleet *fleet,
				 const struct fleet_request *request,
				 clk_ms now);
/* A worker wants no requests of this host for so many ms. */
void fleet_withhold(struct fleet_worker *worker, clk_ms wait, clk_ms now);
/*
 * Limits that workers name (fleet-limit.c), in requests a second; < 0: none.
 * Hosts tell the issuer what they read in responses, and the issuer tells the
 * others of a change. The first three functions return whether the limit has
 * changed.
 */

/* A response to a request that was sent at sent_at names a limit, or none. Sets
 * tell if the issuer is to be told. */
bool fleet_limit_on_response(struct fleet_worker *worker, double rate,
			     clk_ms sent_at, clk_ms now, bool *tell);
/* This host is the issuer, and one knows of a limit; seen: from a response. */
bool fleet_limit_on_question(struct fleet_worker *worker, double rate,
			     bool seen, clk_ms now);
/* The issuer says so. */
bool fleet_limit_on_news(struct fleet_worker *worker, double rate, clk_ms now);
double fleet_limit_rate(const struct fleet_worker *worker);
/* Issues permits for a worker that names a limit; see permit_issue. */
struct permit_grant fleet_limit_issue(struct fleet_worker *worker, double reach,
				      unsigned wanted, clk_ms now);
/* This host is not the issuer any more. */
void fleet_limit_issuer_stop(struct fleet_worker *worker);
/* Whether the others are to be told of a change now; if so, they count as told.
 */
bool fleet_limit_announce(struct fleet_worker *worker, clk_ms now);
void fleet_limit_clear(struct fleet_limit *limit);
/* A worker's process is listed: a limit that was read in responses before may
 * be this one's. */
void fleet_limit_inherit(struct fleet_worker *worker, double rate,
			 clk_ms named_at);

/* Brittle workers (fleet-brittle.c). */

/* A response says how many rejections a second the worker bears; < 0: it says
 * nothing. hosts: that send to it. */
void fleet_brittle_on_response(struct fleet_worker *worker, double rejections,
			       unsigned hosts);
/* It has rejected a request of this host, which is at it still. tried: the
 * request was to find out whether there is more room. chance: a random number
 * from 0 to 1. Returns of how many rejections all hosts are to be told now. */
unsigned fleet_brittle_on_rejection(struct fleet_worker *worker, bool tried,
				    double chance, clk_ms now);
/* Another host has told of some. */
void fleet_brittle_on_told(struct fleet_worker *worker, unsigned count,
			   double chance, clk_ms now);
/* A request was sent there. Returns whether it is beyond the room that is
 * known. */
bool fleet_brittle_on_send(struct fleet_worker *worker, clk_ms now);
/* Whether it takes no further request of this host now. */
bool fleet_brittle_is_full(const struct fleet_worker *worker, clk_ms now);

/* What a pool of which no worker takes a request now can take later. */
struct fleet_room {
	unsigned expected; /* requests for which there may soon be permits */
	unsigned freed;	   /* brittle workers that may soon have room again */
	clk_ms wait; /* ms until some worker may take one; -1: not known */
	clk_ms next; /* ms until the next permit held begins, or a question is
		      * given up; -1: there is none */
	double rate; /* requests a second over all hosts, by the limits that
		      * its workers name */
};

struct fleet_room fleet_room(const struct fleet *fleet, const char *pool,
			     clk_ms now);
/* Returns the tokens of the parts that a prompt shares with others. */
int fleet_shared_tokens(const struct fleet_request *request);
/* Whether the request's pool has a worker that accepts it, besides the excluded
 * one. */
bool fleet_has_other(const struct fleet *fleet,
		     const struct fleet_request *request,
		     const struct fleet_worker *exclude);
/* Whether there is such a worker that was heard from since a time. */
bool fleet_has_heard(const struct fleet *fleet,
		     const struct fleet_request *request,
		     const struct fleet_worker *exclude, clk_ms since);
/* Whether there is such a worker that the request has not failed at. */
bool fleet_has_untried(const struct fleet *fleet,
		       const struct fleet_request *request);
/* Allows a worker, given by its key, that the request had failed at. */
void fleet_request_forget(struct fleet_request *request, uint32_t worker);
/* Keeps a request away from a worker, given by its key; the first one of many
 * is forgotten. */
void fleet_request_failed(struct fleet_request *request, uint32_t worker);
/* A connection to a worker has ended or failed: its process may have, and
 * another one, of another version, may be there under its id until the list of
 * workers says so. */
void fleet_on_cut(struct fleet_worker *worker, clk_ms now);
/* A process has answered at a worker's address. start: in ms of its wall clock;
 * 0: it has another id. Unless it is the listed one, the worker's version is
 * not known until the listed one answers, another one is listed, or
 * fleet_expire forgets it. */
void fleet_on_process(struct fleet *fleet, struct fleet_worker *worker,
		      int64_t start, clk_ms now);
/* The process that is not listed runs a request that names the worker's id, so
 * that is its id; it counts in fleet_versions. */
void fleet_on_other_serves(struct fleet_worker *worker);
/* Forgets answers of processes that should be listed by now. */
void fleet_expire(struct fleet *fleet, clk_ms now);
/* A worker was asked, and has not said when its process started. */
void fleet_on_unknown_process(struct fleet_worker *worker, clk_ms now);
/* Whether a worker can be asked which process it is. */
bool fleet_says_process(const struct fleet_worker *worker,
			const struct fleet_request *request);
/* Whether it may be asked now: not shortly after an answer that did not name
 * the listed process. */
bool fleet_may_ask_process(const struct fleet_worker *worker,
			   const struct fleet_request *request, clk_ms now);
/* Whether it says that when it is asked, as far as is known. */
bool fleet_answers_process(const struct fleet_worker *worker);
/* Whether a process that served a connection from since to heard_at must be the
 * listed one: another one would be in the list, which was last current at
 * listed_at. */
bool fleet_would_be_listed(const struct fleet_worker *worker, clk_ms since,
			   clk_ms heard_at, clk_ms listed_at);
/* Whether a process of the pool has answered that is not listed yet, and may
 * have the version of the request. */
bool fleet_awaits_entry(const struct fleet *fleet,
			const struct fleet_request *request);
/* Whether a request may be sent to a worker only on a connection that is known
 * to lead to the listed process. */
bool fleet_needs_proof(const struct fleet_worker *worker,
		       const struct fleet_request *request);
/* Returns the version of a worker, or FLEET_VERSION_UNKNOWN. Reads engine and
 * listed_at of the request. */
uint32_t fleet_version_of(const struct fleet_worker *worker,
			  const struct fleet_request *request);
/* Identifies a software version, "" too, which NULL stands for; an odd number.
 */
uint32_t fleet_version_key(const char *version);
/* Returns the mark, for decide/origin, of the process of a worker that started
 * then, in ms of its wall clock; is_sure: it is known to have begun the stream.
 */
uint32_t fleet_process_mark(const struct fleet_worker *worker, int64_t start,
			    bool is_sure);
/* Returns the worker of a pool whose listed process has a mark, or NULL. */
struct fleet_worker *fleet_find_mark(const struct fleet *fleet,
				     const char *pool, uint32_t mark);
/* Counts the versions that a pool's workers have, or have had in the last
 * FLEET_VERSION_MS, and processes that serve and are not listed yet as one
 * more; sole is set to the key if there is one, else to 0. */
unsigned fleet_versions(const struct fleet *fleet, const char *pool, clk_ms now,
			uint32_t *sole);
/* Lists the keys of the versions of which a pool has workers, at most max;
 * returns how many. */
size_t fleet_serving_versions(const struct fleet *fleet, const char *pool,
			      uint32_t *keys, size_t max);
/* Counts the workers of a pool that accept requests. */
unsigned fleet_count(const struct fleet *fleet, const char *pool);
/* Counts those of them that have another version. */
unsigned fleet_count_others(const struct fleet *fleet, const char *pool,
			    uint32_t version);
/* Counts those of them that can't be reclaimed. */
unsigned fleet_count_on_demand(const struct fleet *fleet, const char *pool);
/* Counts those in one data centre, either reclaimable or not. */
unsigned fleet_count_in_dc(const struct fleet *fleet, const char *pool,
			   const char *data_centre, bool spot);

/* A request of this host was sent to a worker, or has had its first token, or
 * has ended there. The first returns whether it is beyond the room of a brittle
 * worker that is known. */
bool fleet_begin(struct fleet_worker *worker,
		 const struct fleet_request *request, clk_ms now);
void fleet_first_token(struct fleet_worker *worker,
		       const struct fleet_request *request);
void fleet_end(struct fleet_worker *worker, const struct fleet_request *request,
	       bool had_first);
/* Updates a worker's health with the outcome of an attempt. */
void fleet_record_outcome(struct fleet_worker *worker,
			  enum fleet_outcome outcome, clk_ms now);
/* The measured speed of pools (fleet-speed.c). */

/* Returns the speed of a pool's engines, by the settings until it is known. */
struct speed *fleet_speed(struct fleet *fleet, const char *pool);
/* The settings have changed. */
void fleet_set_prefill(struct fleet *fleet, double prefill_ms);
/* Whether a request that is about to be sent to a worker, with its
 * prefill_tokens, shows the speed of its pool: nothing is known to be queued
 * before it, and what is cached of its prompt is likely known. */
bool fleet_shows_speed(const struct fleet_worker *worker,
		       const struct fleet_request *request);
/* The first event of a request has come, that many ms after it was sent.
 * Returns whether the pool's speed was updated. */
bool fleet_on_first_event(struct fleet *fleet,
			  const struct fleet_worker *worker,
			  const struct fleet_request *request, clk_ms took,
			  clk_ms now);

/* Two events of one of its streams have come that many ms apart, on average
 * over several. */
void fleet_on_interval(const struct fleet *fleet, struct fleet_worker *worker,
		       double ms, clk_ms now);
/* Fades own observations. */
void fleet_speed_fade(struct fleet_worker *worker, clk_ms now);
/* Sets what other hosts have seen, given by a worker's key. */
void fleet_on_peer_speed_weight(struct fleet *fleet, uint32_t key,
				double weight);
void fleet_on_peer_speed_sum(struct fleet *fleet, uint32_t key, double sum);
/* A worker says how long work takes there now, relative to its usual time. */
void fleet_on_pace(struct fleet_worker *worker, double pace, clk_ms now);
/* Returns what it last said so, which fades to 1 with age. */
double fleet_pace(const struct fleet_worker *worker, clk_ms now);
/* Compares the workers of each pool. */
void fleet_speeds_update(struct fleet *fleet, clk_ms now);
/* Returns a worker's time for the same work, relative to most of its pool. */
double fleet_speed_ratio(const struct fleet_worker *worker);
/* Returns how much more of a pool's workers are needed than if all were as fast
 * as most. */
double fleet_speed_mix(const struct fleet *fleet, const char *pool);

/* Sets the requests that other hosts have at a worker, given by its key; see
 * decide/aggregate.h. */
void fleet_on_peer_requests(struct fleet *fleet, uint32_t key, double requests);
/* Sets the prompt tokens of other hosts' requests before their first token. */
void fleet_on_peer_prompts(struct fleet *fleet, uint32_t key, double tokens);
/* A worker has reported its load. */
void fleet_on_load(struct fleet_worker *worker, int running, int waiting,
		   clk_ms now);

/* Returns this host's own requests at a worker, or the prompt tokens of those
 * before their first token. */
double fleet_own_requests(const struct fleet_worker *worker);
double fleet_own_prompts(const struct fleet_worker *worker);

#endif
