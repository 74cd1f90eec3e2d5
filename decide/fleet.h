/*
 * Workers and which one gets a request.
 *
 * The cost of an engine is the time to the first token that is expected
 * there: prompts that wait before this one, the part of this prompt that is
 * not cached, and what the running requests slow it down. Own requests are
 * counted exactly, those of other hosts are taken from load reports, whose
 * age is known. A service's worker costs the wait for a free place.
 */
#ifndef DECIDE_FLEET_H
#define DECIDE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

#define FLEET_PARTS_MAX 16 /* parts of one prompt that are looked at */
#define FLEET_RUNNING_MS 2 /* that a running request adds to a first token */
#define FLEET_CACHE_TTL_MS                                                     \
	60000 /* parts of prompts are dropped sooner or later */

/* How an attempt ended, for the judgement of its worker. */
enum fleet_outcome {
	FLEET_OK,
	FLEET_ERROR,	   /* a whole answer that reports a failure */
	FLEET_NO_RESPONSE, /* no connection, no answer, or none in time */
};

/* What the platform's list says of a worker. */
struct fleet_entry {
	char *id;
	char *pool;
	char *address; /* "IP:port" */
	char *data_centre;
	char *version; /* of its software */
	int slots;
	bool leaving;
	bool spot;	     /* it may be reclaimed */
	clk_ms remaining_ms; /* ms that it still serves; -1: not known */
	clk_ms warmup_ms;    /* ms that it stays slow after its start */
	int64_t started_at;  /* wall clock of its start, in ms */
};

/* How a worker's attempts ended lately. */
struct fleet_health {
	double failure_rate; /* aged share of failed attempts, 0 to 1 */
	clk_ms updated_at;   /* of the last attempt; failure is as of then */
	unsigned consecutive_failures; /* failures */
	clk_ms avoid_until;	       /* not chosen while others can be */
};

struct fleet_worker {
	struct fleet_entry entry;
	int64_t revision;      /* the list's revision of the entry */
	clk_ms removal_due_at; /* when a missing entry counts as gone; 0: is
				* there. Until then it is used only if nothing
				* else is */
	struct fleet_health health;
	unsigned inflight;    /* own requests that are there */
	double prompt_tokens; /* of own requests before their first token */
	double peer_prompt_tokens; /* tokens of others' requests before their
				    * answers
				    */
	int peer_requests;	   /* requests of other hosts, as these tell */
	int reported_others;	   /* the same, by the worker's last report */
	clk_ms reported_at;	   /* when that came; 0: never */
	uint32_t key;		   /* aggregate_key of its id */
	GHashTable *cached_parts; /* part -> when it was last read, in clk_ms */
	clk_ms leaves_at; /* when it is expected to end; 0: not known to leave
			   */
	void *peer;	  /* of the caller: its connections */
	unsigned refs;	  /* requests that point here, and the fleet */
	bool removed;
};

/* What is known of engines' and services' speed; from the settings. */
struct fleet_params {
	double prefill_ms;     /* for a token that is not cached */
	double per_running_ms; /* that a running request adds */
	double cross_dc_ms;    /* for another data centre */
	unsigned samples;      /* workers looked at besides a session's home;
				* 0: all, where hosts are few */
	uint32_t host_key;     /* of this host: which workers are near to it */
	clk_ms cache_ttl; /* a part read longer ago may have been dropped */
};

/* One part of a prompt. */
struct fleet_part {
	uint64_t id;
	int tokens;
};

/* What is to be placed. */
struct fleet_request {
	const char *pool;
	bool engine;
	const char *data_centre; /* of this host */
	int prompt_tokens;
	int prefill_tokens; /* of these, not cached where it was placed */
	struct fleet_part parts[FLEET_PARTS_MAX];
	size_t part_count;
	const struct fleet_worker *exclude; /* or NULL */
};

/* Where a request is placed, and what decided it. */
struct fleet_choice {
	struct fleet_worker *worker; /* NULL: none takes work */
	double cost;		     /* by which it was chosen */
	double expected_ms;	     /* to the first token */
	int cached_tokens;	     /* tokens that are expected to be cached */
	unsigned candidates;
};

struct fleet {
	GHashTable *workers; /* id -> struct fleet_worker */
	GHashTable *pools;   /* pool -> GPtrArray of struct fleet_worker */
	struct fleet_params params;
	uint32_t (*random)(void *ctx, uint32_t n);
	GHashTable *by_key; /* aggregate_key of an id -> struct fleet_worker */
	/* A worker is new, or no longer used: connections are made, dropped. */
	void (*on_added)(void *ctx, struct fleet_worker *worker);
	void (*on_removed)(void *ctx, struct fleet_worker *worker);
	void *ctx;
};

struct fleet *fleet_create(const struct fleet *options);
/* Takes an entry of the list, which is given up to the fleet. Returns the
 * worker. */
struct fleet_worker *fleet_put(struct fleet *fleet, struct fleet_entry *entry,
			       int64_t revision);
/* A worker is gone from the list. */
void fleet_remove(struct fleet *fleet, const char *id);
struct fleet_worker *fleet_find(const struct fleet *fleet, const char *id);
void fleet_entry_clear(struct fleet_entry *entry);
struct fleet_worker *fleet_worker_ref(struct fleet_worker *worker);
void fleet_worker_unref(struct fleet_worker *worker);
/* Whether a worker of a large pool is one of those whose load a host is told,
 * and draws among; host_key: aggregate_key of the host's process. In a pool
 * that is not large all are. */
bool fleet_in_subset(const struct fleet *fleet,
		     const struct fleet_worker *worker, uint32_t host_key);
/* Whether it gets new work. */
bool fleet_takes_work(const struct fleet_worker *worker);

/* Chooses a worker. */
struct fleet_choice fleet_choose(struct fleet *fleet,
				 const struct fleet_request *ask, clk_ms now);
/* Whether a pool has another worker that takes work. */
bool fleet_has_other(const struct fleet *fleet, const char *pool,
		     const struct fleet_worker *not_this);
/* Workers of a pool that take work. */
unsigned fleet_count(const struct fleet *fleet, const char *pool);
/* Workers of a pool that take work and can't be reclaimed. */
unsigned fleet_count_on_demand(const struct fleet *fleet, const char *pool);
/* Workers of a pool that take work, and are in a data centre, of a kind. */
unsigned fleet_count_in_dc(const struct fleet *fleet, const char *pool,
			   const char *data_centre, bool spot);

/* An own request was sent to a worker, or has had its first token, or has
 * ended there. */
void fleet_begin(struct fleet_worker *worker, const struct fleet_request *ask,
		 clk_ms now);
void fleet_first_token(struct fleet_worker *worker,
		       const struct fleet_request *ask);
void fleet_end(struct fleet_worker *worker, const struct fleet_request *ask,
	       bool had_first);
/* Judges a worker by the end of an attempt there. */
void fleet_record_outcome(struct fleet_worker *worker,
			  enum fleet_outcome verdict, clk_ms now);
/* What the other hosts have at the worker with a key; see decide/aggregate.h.
 */
void fleet_on_peer_requests(struct fleet *fleet, uint32_t key, double requests);
/* The same of tokens of prompts before their first answer. */
void fleet_on_peer_prompts(struct fleet *fleet, uint32_t key, double tokens);
/* A load report of a worker. */
void fleet_on_load(struct fleet_worker *worker, int running, int waiting,
		   clk_ms now);

#endif
