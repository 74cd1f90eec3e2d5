/*
 * Randomised simulation of primaries and standbys under a virtual clock.
 *
 * Messages are delayed, lost, duplicated and reordered; hosts are killed,
 * paused, partitioned and wrongly declared dead; the platform is down or its
 * answers are lost; callers send one id to several hosts. The executions at the
 * service are checked against what the callers were told: at most one execution
 * unless the request is idempotent, none if it was reported as not run, and an
 * answer for every accepted request, unless it had no standby or lost two
 * copies in short succession.
 *
 * Usage: sim-replica [--seed N] [--runs N] [--off RULE] [--verbose]
 * Exits with 1 and prints the seed if an invariant is violated.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../decide/replica.h"
#include "../wire/args.h"
#include "../sim/sim.h"

#define HOSTS 5
#define DATA_CENTRES 3
#define MAX_IDS 60
#define TICK_MS 20
#define FAULTS_MS 30000	  /* phase with faults */
#define RECOVERY_MS 40000 /* phase without, in which all requests end */
#define RETENTION_MS 600000
/* A request may be lost if two of its copies are lost within this time. */
#define DOUBLE_LOSS_MS 15000

/* What happened to one request id in a run. */
struct history {
	struct world *world;
	char id[RID_MAX + 1];
	struct rid rid;
	bool idempotent;
	bool checks_tokens; /* the service checks fencing tokens */
	bool accepted;
	bool reported_complete;
	bool reported_not_run;
	bool reported_unknown;
	int executions;
	int64_t max_token; /* largest token that the service received */
	int caller_requests;
	bool no_standby;	 /* its primary saw no other live host */
	clk_ms last_copy_loss;	 /* 0: never */
	bool killed_with_answer; /* a host with its answer was killed */
	bool double_loss;	 /* two copies within DOUBLE_LOSS_MS */
};

/* A host slot; a restarted host reuses it under a new incarnation. */
struct host {
	struct world *world;
	int slot;
	struct replica *replica; /* NULL: down */
	bool paused;
	GQueue deferred;	   /* struct delivery, while paused */
	bool believed_dead[HOSTS]; /* the current incarnation of a slot */
	bool partitioned[HOSTS];   /* no messages to or from that slot */
	int generation;		   /* grows with each start */
};

/* An event at a host: a message, an answer or a timer. */
struct delivery {
	struct world *world;
	int slot;
	int generation;
	void (*fn)(struct host *host, struct delivery *delivery);
	/* message */
	struct replica_msg msg;
	char from[RID_INCARNATION_MAX + 1];
	char to[RID_INCARNATION_MAX + 1];
	char incarnation[RID_INCARNATION_MAX + 1];
	char id[RID_MAX + 1];
	char upstream[32];
	struct req_attrs attrs;
	struct req *chunks;
	/* answer of the platform */
	enum record_outcome outcome;
	struct replica_record record;
	/* call or probe of the service */
	struct history *history;
	int64_t token;
	union {
		bool refused;  /* call: its token was stale */
		bool executed; /* probe: the request ran */
	};
};

struct world {
	struct sim *sim;
	struct host hosts[HOSTS];
	GHashTable *records; /* primary -> struct replica_record * */
	struct history histories[MAX_IDS];
	int history_count;
	int64_t mod; /* last platform revision */
	bool platform_outage;
	bool lose_platform_answers;
	bool faults_over;
	unsigned disabled_rules;
	char violation[200]; /* the first violated invariant, or "" */
	bool verbose;
};

static const struct replica_ops ops;

static void report_violation(struct world *world, const char *rule,
			     const char *id)
{
	if (!world->violation[0])
		g_snprintf(world->violation, sizeof(world->violation), "%s: %s",
			   rule, id);
}

/* Prints an event with --verbose. */
static void trace_event(const struct world *world, const char *what,
			const char *who)
{
	if (world->verbose)
		printf("%6" G_GINT64_FORMAT " %s %s\n", world->sim->now, what,
		       who);
}

static const char *data_centre_of(int slot)
{
	static const char *const names[DATA_CENTRES] = { "a", "b", "c" };

	return names[slot % DATA_CENTRES];
}

static struct history *history_of(struct world *world, const char *id)
{
	for (int i = 0; i < world->history_count; i++)
		if (!strcmp(world->histories[i].id, id))
			return &world->histories[i];
	return NULL;
}

/* Returns the host whose current incarnation it is, or NULL. */
static struct host *host_find(struct world *world, const char *incarnation)
{
	for (int i = 0; i < HOSTS; i++) {
		struct host *host = &world->hosts[i];

		if (host->replica && !strcmp(host->replica->self, incarnation))
			return host;
	}
	return NULL;
}

/* Deliveries: a paused host runs them when it resumes; those to a host that was
 * killed since are dropped. */

static void delivery_free(struct delivery *delivery)
{
	if (delivery->attrs.body)
		g_bytes_unref(delivery->attrs.body);
	if (delivery->chunks)
		req_free(delivery->chunks);
	g_free(delivery);
}

static void delivery_arrive(void *ctx, void *arg)
{
	struct delivery *delivery = arg;
	struct host *host = &delivery->world->hosts[delivery->slot];

	(void)ctx;
	if (!host->replica || host->generation != delivery->generation) {
		delivery_free(delivery);
	} else if (host->paused) {
		g_queue_push_tail(&host->deferred, delivery);
	} else {
		delivery->fn(host, delivery);
		delivery_free(delivery);
	}
}

static struct delivery *delivery_create(struct host *host,
					void (*fn)(struct host *host,
						   struct delivery *delivery))
{
	struct delivery *delivery = g_new0(struct delivery, 1);

	delivery->world = host->world;
	delivery->slot = host->slot;
	delivery->generation = host->generation;
	delivery->fn = fn;
	return delivery;
}

static void delivery_send(struct delivery *delivery, clk_ms wait)
{
	sim_after(delivery->world->sim, wait, delivery_arrive, NULL, delivery);
}

/* Returns a delay of 1 to 5 ms, or up to 3 s for 3% during the faults. */
static clk_ms random_delay(struct world *world)
{
	if (!world->faults_over && sim_chance(world->sim, 30))
		return sim_random(world->sim, 3000);
	return 1 + sim_random(world->sim, 5);
}

/* Messages between hosts. */

static void msg_arrive(struct host *host, struct delivery *delivery)
{
	delivery->msg.from = delivery->from;
	delivery->msg.to = delivery->to;
	delivery->msg.primary = delivery->incarnation;
	delivery->msg.id = delivery->id;
	delivery->msg.upstream =
		delivery->upstream[0] ? delivery->upstream : NULL;
	if (delivery->msg.attrs)
		delivery->msg.attrs = &delivery->attrs;
	delivery->msg.chunks = delivery->chunks;
	if (host->world->verbose)
		printf("%6" G_GINT64_FORMAT " msg %d %s to %s of %s epoch %d "
		       "ack %d grant %d copy %d granted %d: %s\n",
		       host->world->sim->now, delivery->msg.kind,
		       delivery->from, delivery->to, delivery->incarnation,
		       (int)delivery->msg.epoch, delivery->msg.ack,
		       delivery->msg.want_grant, delivery->msg.copy,
		       delivery->msg.granted, delivery->id);
	replica_on_msg(host->replica, &delivery->msg, host->world->sim->now);
}

static struct req *chunks_copy(const struct replica_msg *msg)
{
	struct rid none = { .time = 0 };
	struct req *copy;

	if (!msg->chunks)
		return NULL;
	copy = req_create("", &none);
	for (size_t n = 0; n < msg->chunk_count; n++) {
		size_t len;
		const char *ptr = req_chunk(
			msg->chunks, msg->first_chunk + n - msg->chunks_base,
			&len);

		req_chunk_add(copy, ptr, len);
	}
	return copy;
}

static void msg_post(struct host *to, const struct replica_msg *msg)
{
	struct delivery *delivery = delivery_create(to, msg_arrive);

	delivery->msg = *msg;
	g_strlcpy(delivery->from, msg->from, sizeof(delivery->from));
	g_strlcpy(delivery->to, msg->to, sizeof(delivery->to));
	g_strlcpy(delivery->incarnation, msg->primary,
		  sizeof(delivery->incarnation));
	g_strlcpy(delivery->id, msg->id, sizeof(delivery->id));
	g_strlcpy(delivery->upstream, msg->upstream ? msg->upstream : "",
		  sizeof(delivery->upstream));
	if (msg->attrs) {
		delivery->attrs = *msg->attrs;
		delivery->attrs.account = "a";
		delivery->attrs.target = "t";
		delivery->attrs.trace = "";
		if (delivery->attrs.body)
			g_bytes_ref(delivery->attrs.body);
	}
	delivery->chunks = chunks_copy(msg);
	delivery->msg.chunks_base = msg->first_chunk;
	delivery_send(delivery, random_delay(to->world));
}

static void op_send(void *ctx, const struct replica_msg *msg)
{
	struct host *host = ctx;
	struct world *world = host->world;
	struct host *to = host_find(world, msg->to);

	if (!to || host->partitioned[to->slot] || to->partitioned[host->slot])
		return;
	if (!world->faults_over && sim_chance(world->sim, 30))
		return;
	msg_post(to, msg);
	if (!world->faults_over && sim_chance(world->sim, 30))
		msg_post(to, msg);
}

/* The platform. */

static void platform_answer_arrive(struct host *host, struct delivery *delivery)
{
	replica_on_record(host->replica, delivery->incarnation,
			  delivery->outcome, &delivery->record,
			  host->world->sim->now);
}

/* Sends an answer of the platform; a lost one arrives as RECORD_UNKNOWN. */
static void platform_answer(struct host *host, const char *primary,
			    enum record_outcome outcome)
{
	struct world *world = host->world;
	struct delivery *delivery =
		delivery_create(host, platform_answer_arrive);
	struct replica_record *found =
		g_hash_table_lookup(world->records, primary);

	g_strlcpy(delivery->incarnation, primary,
		  sizeof(delivery->incarnation));
	if (found)
		delivery->record = *found;
	delivery->outcome = outcome;
	if (world->platform_outage ||
	    (world->lose_platform_answers && sim_chance(world->sim, 500)))
		delivery->outcome = RECORD_UNKNOWN;
	delivery_send(delivery, random_delay(world));
}

/* A swap in flight to the platform; it may be applied late. */
struct swap {
	struct host *host;
	int generation;
	char primary[RID_INCARNATION_MAX + 1];
	struct replica_record record;
};

static void swap_arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct swap *swap = arg;
	struct replica_record *found =
		g_hash_table_lookup(world->records, swap->primary);
	int64_t mod = found ? found->mod : 0;
	bool won = !world->platform_outage && mod == swap->record.mod;

	if (won) {
		struct replica_record *record =
			g_new0(struct replica_record, 1);

		*record = swap->record;
		record->mod = ++world->mod;
		trace_event(world,
			    record->state == RECORD_OPEN ? "open" : "sealed",
			    swap->primary);
		trace_event(world, "    peer", record->peer);
		g_hash_table_insert(world->records, g_strdup(swap->primary),
				    record);
	}
	if (swap->host->generation == swap->generation && swap->host->replica)
		platform_answer(swap->host, swap->primary,
				won ? RECORD_SWAPPED : RECORD_CONFLICT);
	g_free(swap);
}

static void op_swap(void *ctx, const char *primary,
		    const struct replica_record *record)
{
	struct host *host = ctx;
	struct swap *swap = g_new0(struct swap, 1);

	swap->host = host;
	swap->generation = host->generation;
	g_strlcpy(swap->primary, primary, sizeof(swap->primary));
	swap->record = *record;
	sim_after(host->world->sim, random_delay(host->world), swap_arrive,
		  host->world, swap);
}

static void op_read(void *ctx, const char *primary)
{
	platform_answer(ctx, primary, RECORD_READ);
}

static const char *op_pick_standby(void *ctx, unsigned turn)
{
	struct host *host = ctx;
	struct world *world = host->world;
	int start = (int)((unsigned)host->slot + turn) % HOSTS;

	for (int far = 1; far >= 0; far--) {
		for (int i = 0; i < HOSTS; i++) {
			int slot = (start + i) % HOSTS;
			struct host *other = &world->hosts[slot];
			bool apart = strcmp(data_centre_of(slot),
					    data_centre_of(host->slot)) != 0;

			if (slot == host->slot || !other->replica ||
			    host->believed_dead[slot] || apart != far)
				continue;
			return other->replica->self;
		}
	}
	return NULL;
}

/* The service. */

static void result_arrive(struct host *host, struct delivery *delivery)
{
	struct req *req = replica_find(host->replica, delivery->history->id);
	clk_ms now = host->world->sim->now;

	if (!req || !req->running)
		return;
	if (delivery->refused) {
		if (req->phase == REQ_GRANTED)
			replica_prove_not_run(host->replica, req, now);
		return;
	}
	if (req->answer.ended)
		return;
	replica_chunk(host->replica, req, "done", 4, now);
	replica_end(host->replica, req, RW_OK, 200, now);
}

/* A call reaches the service, which executes it unless its token is stale. */
static void call_arrive(void *ctx, void *arg)
{
	struct delivery *call = arg;
	struct world *world = ctx;
	struct history *history = call->history;
	bool stale = !history->idempotent && history->checks_tokens &&
		     call->token < history->max_token;
	struct host *host = &world->hosts[call->slot];

	if (!stale) {
		history->max_token = MAX(history->max_token, call->token);
		history->executions++;
		if (!history->idempotent && history->executions > 1)
			report_violation(world,
					 "a non-idempotent call ran twice",
					 history->id);
		if (!history->idempotent && history->reported_not_run)
			report_violation(
				world, "a request reported as not run has run",
				history->id);
	}
	call->refused = stale;
	if (host->replica && host->generation == call->generation &&
	    !sim_chance(world->sim, world->faults_over ? 0 : 50))
		delivery_send(call, random_delay(world));
	else
		delivery_free(call);
}

/* Sends the call. The host may have been paused since the call was allowed. */
static void dispatch_arrive(struct host *host, struct delivery *delivery)
{
	struct delivery *call = delivery_create(host, result_arrive);

	call->history = delivery->history;
	call->token = delivery->token;
	sim_after(host->world->sim, random_delay(host->world), call_arrive,
		  host->world, call);
}

static void timeout_arrive(struct host *host, struct delivery *delivery);

static void op_run(void *ctx, struct req *req)
{
	struct host *host = ctx;
	struct delivery *delivery = delivery_create(host, dispatch_arrive);
	struct delivery *timeout = delivery_create(host, timeout_arrive);

	delivery->history = history_of(host->world, req->id);
	delivery->token = replica_fencing_token(host->replica, req);
	replica_attempt(host->replica, req, "service", NULL,
			host->world->sim->now);
	delivery_send(delivery, sim_random(host->world->sim, 3));
	timeout->history = delivery->history;
	delivery_send(timeout, 8000);
}

/* The service did not answer in time: the outcome is unknown. */
static void timeout_arrive(struct host *host, struct delivery *delivery)
{
	struct req *req = replica_find(host->replica, delivery->history->id);

	if (!req || !req->running || req->answer.ended)
		return;
	if (req->attrs.idempotent) {
		op_run(host, req);
		return;
	}
	replica_end(host->replica, req, RW_EUNKNOWN, 0, host->world->sim->now);
}

/* Handles the answer to a status query. */
static void probe_arrive(struct host *host, struct delivery *delivery)
{
	struct req *req = replica_find(host->replica, delivery->history->id);
	clk_ms now = host->world->sim->now;

	if (!req || !req->probing)
		return;
	if (delivery->executed) {
		replica_chunk(host->replica, req, "done", 4, now);
		replica_end(host->replica, req, RW_OK, 200, now);
	} else if (delivery->token > 0) {
		replica_prove_not_run(host->replica, req, now);
	} else if (host->world->disabled_rules & REPLICA_RULE_GRANTED_UNKNOWN) {
		replica_end(host->replica, req, RW_ENOUPSTREAM, 0, now);
	} else {
		replica_end(host->replica, req, RW_EUNKNOWN, 0, now);
	}
}

/* A status query reaches the service. If it accepts the query's fencing token,
 * it will refuse any older call; else the token in the answer is 0. */
static void probe_execute(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct delivery *probe = arg;
	struct history *history = probe->history;

	if (history->checks_tokens && probe->token >= history->max_token)
		history->max_token = probe->token;
	else
		probe->token = 0;
	probe->executed = history->executions > 0;
	delivery_send(probe, random_delay(world));
}

static void op_probe(void *ctx, struct req *req)
{
	struct host *host = ctx;
	struct delivery *probe = delivery_create(host, probe_arrive);

	probe->history = history_of(host->world, req->id);
	probe->token = replica_fencing_token(host->replica, req);
	sim_after(host->world->sim, random_delay(host->world), probe_execute,
		  host->world, probe);
}

/* Callers. */

static void capacity_arrive(struct host *host, struct delivery *delivery)
{
	struct req *req = replica_find(host->replica, delivery->history->id);

	if (!req)
		return;
	if (!host->world->faults_over && sim_chance(host->world->sim, 100))
		replica_refuse(host->replica, req, RW_EBUSY,
			       host->world->sim->now);
	else
		replica_want_run(host->replica, req, "service",
				 host->world->sim->now);
}

static void op_accepted(void *ctx, struct req *req)
{
	struct host *host = ctx;
	struct delivery *capacity;

	history_of(host->world, req->id)->accepted = true;
	history_of(host->world, req->id)->no_standby =
		!replica_standby_name(host->replica)[0];
	trace_event(host->world, host->replica->self, req->id);
	if (req->want_run)
		return;
	capacity = delivery_create(host, capacity_arrive);
	capacity->history = history_of(host->world, req->id);
	delivery_send(capacity, sim_random(host->world->sim, 200));
}

static void op_ended(void *ctx, struct req *req)
{
	struct host *host = ctx;
	struct history *history = history_of(host->world, req->id);

	switch (req_ran(req)) {
	case ERR_RAN_YES:
		history->reported_complete = true;
		break;
	case ERR_RAN_NO:
		history->reported_not_run = true;
		if (!history->idempotent && history->executions > 0)
			report_violation(host->world,
					 "reported as not run after it ran",
					 history->id);
		break;
	default:
		history->reported_unknown = true;
		break;
	}
}

/* Records that a copy of a request can no longer answer. */
static void note_copy_loss(struct history *history, const char *how)
{
	if (history->last_copy_loss &&
	    history->world->sim->now - history->last_copy_loss <=
		    DOUBLE_LOSS_MS)
		history->double_loss = true;
	history->last_copy_loss = history->world->sim->now;
	trace_event(history->world, how, history->id);
}

static void op_moved(void *ctx, struct req *req)
{
	struct host *host = ctx;

	/* The copy on this host can no longer answer. */
	note_copy_loss(history_of(host->world, req->id), "moved");
}

static void op_forget(void *ctx, struct req *req)
{
	(void)ctx;
	(void)req;
}

static const struct replica_ops ops = {
	.send = op_send,
	.swap = op_swap,
	.read = op_read,
	.pick_standby = op_pick_standby,
	.accepted = op_accepted,
	.run = op_run,
	.probe = op_probe,
	.ended = op_ended,
	.moved = op_moved,
	.forget = op_forget,
};

static void caller_request(void *ctx, void *arg);

/* Submits the request to a host with the authority over its id. */
static void host_submit(struct host *host, struct history *history)
{
	struct world *world = host->world;
	struct req_attrs attrs = {
		.account = "a",
		.target = "t",
		.trace = "",
		.idempotent = history->idempotent,
	};
	enum err_kind kind;
	const char *upstream = sim_chance(world->sim, 500) ? "service" : NULL;

	replica_submit(host->replica, history->id, &history->rid, &attrs,
		       world->sim->now + 10000, upstream, NULL, &kind,
		       world->sim->now);
}

/* Follows the records from a primary to the live host with its authority. Makes
 * the standby of an open record take over and returns NULL then. */
static struct host *authority_find(struct world *world, struct host *asked,
				   const char *incarnation)
{
	for (int hop = 0; hop < 4; hop++) {
		struct host *host = host_find(world, incarnation);
		struct replica_record *record =
			g_hash_table_lookup(world->records, incarnation);

		if (host && !asked->believed_dead[host->slot])
			return host;
		if (world->platform_outage || !record)
			return NULL;
		host = host_find(world, record->peer);
		if (record->state == RECORD_OPEN && host && !host->paused) {
			replica_take_over(host->replica, incarnation,
					  world->sim->now);
			return NULL;
		}
		if (record->state == RECORD_SEALED && host)
			return host;
		incarnation = record->peer;
	}
	return NULL;
}

/* A caller sends its request to a random host, and repeats that later. */
static void caller_request(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct history *history = arg;
	struct host *host = &world->hosts[sim_random(world->sim, HOSTS)];

	if (++history->caller_requests < 8 ||
	    (!history->reported_complete && history->caller_requests < 40))
		sim_after(world->sim, 50 + sim_random(world->sim, 4000),
			  caller_request, world, history);
	if (!host->replica || host->paused)
		return;
	if (replica_find(host->replica, history->id))
		return;
	if (replica_authority(host->replica, history->rid.primary) !=
	    REPLICA_LOCAL) {
		host = authority_find(world, host, history->rid.primary);
		if (!host || host->paused ||
		    replica_find(host->replica, history->id))
			return;
		/* A deposed host has no authority over its own ids. */
		if (!strcmp(host->replica->self, history->rid.primary) &&
		    host->replica->state == REPLICA_DEPOSED)
			return;
	}
	host_submit(host, history);
}

/* A caller gets a request id from a random host and sends its request. */
static void caller_locate(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct host *host = &world->hosts[sim_random(world->sim, HOSTS)];
	struct history *history;
	char prefix[RID_MAX];

	(void)arg;
	if (world->history_count == MAX_IDS)
		return;
	sim_after(world->sim, sim_random(world->sim, FAULTS_MS / MAX_IDS * 2),
		  caller_locate, world, NULL);
	if (!host->replica || host->paused ||
	    host->replica->state == REPLICA_CLOSED ||
	    host->replica->state == REPLICA_OPENING ||
	    host->replica->state >= REPLICA_RESIGNING)
		return;
	history = &world->histories[world->history_count++];
	history->world = world;
	history->idempotent = sim_chance(world->sim, 200);
	history->checks_tokens = sim_chance(world->sim, 500);
	rid_prefix(prefix, sizeof(prefix), host->replica->self,
		   world->sim->now);
	g_snprintf(history->id, sizeof(history->id), "%s-n%d", prefix,
		   world->history_count);
	rid_parse(history->id, strlen(history->id), &history->rid);
	caller_request(world, history);
}

/* Returns whether a standby's copy can still be taken over. An idempotent
 * request needs no record that names this standby. */
static bool standby_can_take_over(const struct host *host,
				  const struct standby *standby, const char *id)
{
	const struct replica_record *record =
		g_hash_table_lookup(host->world->records, standby->primary);
	const struct req *req = g_hash_table_lookup(standby->reqs, id);

	if (!req)
		return false;
	if (req->attrs.idempotent && (!record || record->state == RECORD_OPEN))
		return standby->state != STANDBY_RETIRED;
	return record && standby->state != STANDBY_RETIRED &&
	       replica_is_self(host->replica, record->peer);
}

/* Returns whether a host has the authority over a request that it stores. */
static bool host_has_authority(const struct host *host, const char *id)
{
	const struct req *req = replica_find(host->replica, id);

	return req && req->phase != REQ_MOVED;
}

/* Returns whether a host has a usable copy, as primary or standby. */
static bool host_has_copy(const struct host *host, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	if (!host->replica)
		return false;
	if (host_has_authority(host, id))
		return true;
	g_hash_table_iter_init(&iter, host->replica->standby_for);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (standby_can_take_over(host, value, id))
			return true;
	return false;
}

/* Faults. */

/* Creates a random incarnation for a host. */
static void incarnation_make(struct world *world, int slot,
			     char buf[RID_INCARNATION_MAX + 1])
{
	char name[8];

	g_snprintf(name, sizeof(name), "h%d", slot);
	rid_incarnation(buf, RID_INCARNATION_MAX + 1, name,
			g_rand_int(world->sim->rand));
}

static void host_start(struct world *world, int slot)
{
	struct host *host = &world->hosts[slot];
	char incarnation[RID_INCARNATION_MAX + 1];
	struct replica_options options = {
		.ops = &ops,
		.ctx = host,
		.resend_interval = 250,
		.revoke_timeout = 1500,
		.retention = RETENTION_MS,
		.answer_retention = RETENTION_MS,
		.progress_gap = 100,
		.disabled_rules = world->disabled_rules,
	};

	incarnation_make(world, slot, incarnation);
	host->world = world;
	host->slot = slot;
	host->generation++;
	host->paused = false;
	host->replica = replica_create(incarnation, &options);
	memset(host->believed_dead, 0, sizeof(host->believed_dead));
	for (int i = 0; i < HOSTS; i++)
		world->hosts[i].believed_dead[slot] = false;
}

/* A report to one observer that an incarnation is dead. */
struct death_report {
	int slot; /* of the observer */
	int generation;
	int dead_slot;
	char incarnation[RID_INCARNATION_MAX + 1];
};

/* A live host learns that it was declared dead. */
static void declared_dead_arrive(struct host *host, struct delivery *delivery)
{
	char incarnation[RID_INCARNATION_MAX + 1];

	if (strcmp(host->replica->self, delivery->incarnation) != 0)
		return;
	trace_event(host->world, "declared dead", host->replica->self);
	/* The standby's copies belong to the old incarnation. */
	for (int i = 0; i < host->world->history_count; i++)
		if (host_has_copy(host, host->world->histories[i].id))
			note_copy_loss(&host->world->histories[i],
				       "copy of old incarnation");
	incarnation_make(host->world, host->slot, incarnation);
	replica_resign(host->replica, incarnation, host->world->sim->now);
}

static void notify_declared_dead(struct world *world,
				 const struct death_report *report)
{
	struct delivery *delivery = delivery_create(
		&world->hosts[report->dead_slot], declared_dead_arrive);

	g_strlcpy(delivery->incarnation, report->incarnation,
		  sizeof(delivery->incarnation));
	delivery_send(delivery, 200 + sim_random(world->sim, 2000));
}

static void death_report_arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct death_report *report = arg;
	struct host *host = &world->hosts[report->slot];
	struct host *dead = &world->hosts[report->dead_slot];

	if (host->replica && host->paused &&
	    host->generation == report->generation) {
		sim_after(world->sim, 500, death_report_arrive, world, report);
		return;
	}
	if (host->replica && host->generation == report->generation) {
		if (dead->replica &&
		    !strcmp(dead->replica->self, report->incarnation))
			host->believed_dead[report->dead_slot] = true;
		if (dead->replica &&
		    !strcmp(dead->replica->self, report->incarnation))
			notify_declared_dead(world, report);
		replica_on_dead(host->replica, report->incarnation,
				world->sim->now);
	}
	g_free(report);
}

/* Reports an incarnation as dead to a share of the other hosts, in per mille,
 * at a random time each. */
static void declare_dead(struct world *world, int slot, const char *incarnation,
			 guint share)
{
	for (int i = 0; i < HOSTS; i++) {
		struct death_report *report;

		if (i == slot || !world->hosts[i].replica ||
		    !sim_chance(world->sim, share))
			continue;
		report = g_new0(struct death_report, 1);
		report->slot = i;
		report->generation = world->hosts[i].generation;
		report->dead_slot = slot;
		g_strlcpy(report->incarnation, incarnation,
			  sizeof(report->incarnation));
		sim_after(world->sim, 500 + sim_random(world->sim, 3000),
			  death_report_arrive, world, report);
	}
}

static void host_restart(void *ctx, void *arg)
{
	struct world *world = ctx;
	int slot = GPOINTER_TO_INT(arg);

	if (!world->hosts[slot].replica)
		host_start(world, slot);
}

static void host_drop_deferred(struct host *host)
{
	struct delivery *delivery;

	while ((delivery = g_queue_pop_head(&host->deferred)))
		delivery_free(delivery);
}

/* Returns whether a host stores a copy as standby or as the next standby. */
static bool host_is_standby(const struct host *host, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, host->replica->standby_for);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (g_hash_table_contains(((struct standby *)value)->reqs, id))
			return true;
	return false;
}

/* Returns whether a host's record names no standby, as it saw no other host. */
static bool host_lacks_standby(const struct host *host)
{
	const struct replica_record *record =
		g_hash_table_lookup(host->world->records, host->replica->self);

	return !record || !record->peer[0];
}

/* Records that a killed host had the answer that a caller would have got. */
static void note_killed_answer(const struct host *host, struct history *history)
{
	const struct req *req = replica_find(host->replica, history->id);

	if (req && req->answer.ended)
		history->killed_with_answer = true;
}

/* Records which requests lose a copy when a host is killed. A request whose
 * last two copies are lost in short succession may remain unanswered. */
static void note_kill_losses(struct world *world, const struct host *killed)
{
	for (int i = 0; i < world->history_count; i++) {
		struct history *history = &world->histories[i];

		note_killed_answer(killed, history);
		if (!host_has_copy(killed, history->id)) {
			if (host_is_standby(killed, history->id))
				note_copy_loss(
					history,
					"copy of the next standby killed");
			continue;
		}
		if (host_lacks_standby(killed) &&
		    host_has_authority(killed, history->id))
			history->no_standby = true;
		note_copy_loss(history, "copy killed");
	}
}

static void fault_kill(struct world *world, struct host *host)
{
	char incarnation[RID_INCARNATION_MAX + 1];

	if (!host->replica)
		return;
	note_kill_losses(world, host);
	g_strlcpy(incarnation, host->replica->self, sizeof(incarnation));
	trace_event(world, "kill", incarnation);
	replica_free(host->replica);
	host->replica = NULL;
	host_drop_deferred(host);
	declare_dead(world, host->slot, incarnation, 1000);
	sim_after(world->sim, 1000 + sim_random(world->sim, 4000), host_restart,
		  world, GINT_TO_POINTER(host->slot));
}

/* Resumes a paused host; the deferred deliveries run at once. */
static void host_resume(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct host *host = &world->hosts[GPOINTER_TO_INT(arg)];
	struct delivery *delivery;

	if (!host->replica || !host->paused)
		return;
	host->paused = false;
	trace_event(world, "resume", host->replica->self);
	while (host->replica &&
	       (delivery = g_queue_pop_head(&host->deferred))) {
		delivery->fn(host, delivery);
		delivery_free(delivery);
	}
}

static void fault_pause(struct world *world, struct host *host)
{
	clk_ms wait = 50 + sim_random(world->sim, 7000);

	if (!host->replica || host->paused)
		return;
	host->paused = true;
	trace_event(world, "pause", host->replica->self);
	if (wait > 2000)
		declare_dead(world, host->slot, host->replica->self, 800);
	sim_after(world->sim, wait, host_resume, world,
		  GINT_TO_POINTER(host->slot));
}

static void fault_partition(struct world *world, struct host *host)
{
	int other = (int)sim_random(world->sim, HOSTS);

	host->partitioned[other] = true;
	if (host->replica && sim_chance(world->sim, 300))
		declare_dead(world, host->slot, host->replica->self, 500);
}

static void fault_leave(struct world *world, struct host *host)
{
	(void)world;
	if (host->replica && !host->paused)
		replica_retire(host->replica, world->sim->now);
}

static void faults_clear(void *ctx, void *arg)
{
	struct world *world = ctx;

	(void)arg;
	world->platform_outage = false;
	world->lose_platform_answers = false;
	for (int i = 0; i < HOSTS; i++)
		memset(world->hosts[i].partitioned, 0,
		       sizeof(world->hosts[i].partitioned));
}

static void fault_outage(struct world *world, struct host *host)
{
	(void)host;
	world->platform_outage = true;
	sim_after(world->sim, 500 + sim_random(world->sim, 5000), faults_clear,
		  world, NULL);
}

static void fault_lose_answers(struct world *world, struct host *host)
{
	(void)host;
	world->lose_platform_answers = true;
	sim_after(world->sim, 500 + sim_random(world->sim, 5000), faults_clear,
		  world, NULL);
}

static void fault(void *ctx, void *arg)
{
	static void (*const faults[])(struct world * world,
				      struct host * host) = {
		fault_kill,	 fault_pause,  fault_pause,	   fault_pause,
		fault_partition, fault_outage, fault_lose_answers, fault_leave,
	};
	struct world *world = ctx;
	struct host *host = &world->hosts[sim_random(world->sim, HOSTS)];

	(void)arg;
	if (world->faults_over)
		return;
	faults[sim_random(world->sim, G_N_ELEMENTS(faults))](world, host);
	sim_after(world->sim, sim_random(world->sim, 1500), fault, world, NULL);
}

static void tick(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct host *host = arg;
	char incarnation[RID_INCARNATION_MAX + 1];

	sim_after(world->sim, TICK_MS, tick, world, host);
	if (!host->replica || host->paused)
		return;
	replica_tick(host->replica, world->sim->now);
	if (host->replica->state != REPLICA_DEPOSED)
		return;
	declare_dead(world, host->slot, host->replica->self, 1000);
	incarnation_make(world, host->slot, incarnation);
	replica_renew(host->replica, incarnation, world->sim->now);
	for (int i = 0; i < HOSTS; i++)
		world->hosts[i].believed_dead[host->slot] = false;
}

/* Ends all faults, so that every request can end. */
static void recovery_start(void *ctx, void *arg)
{
	struct world *world = ctx;

	(void)arg;
	world->faults_over = true;
	faults_clear(world, NULL);
	for (int i = 0; i < HOSTS; i++)
		host_resume(world, GINT_TO_POINTER(i));
}

/* Returns whether a request may remain unanswered: no host has a copy, and two
 * copies were lost within DOUBLE_LOSS_MS or there was no standby. */
static bool loss_permitted(const struct history *history)
{
	for (int slot = 0; slot < HOSTS; slot++)
		if (host_has_copy(&history->world->hosts[slot], history->id))
			return false;
	return history->no_standby || history->double_loss;
}

/* Returns whether a live host has the answer. */
static bool answer_exists(struct world *world, const char *id)
{
	for (int slot = 0; slot < HOSTS; slot++) {
		const struct host *host = &world->hosts[slot];
		const struct req *req =
			host->replica ? replica_find(host->replica, id) : NULL;

		if (req && req->answer.ended)
			return true;
	}
	return false;
}

/* Checks that every accepted request was answered, if only as unknown, unless
 * its loss is permitted, and that no request reported as not run has run. */
static void check_end(struct world *world)
{
	for (int i = 0; i < world->history_count; i++) {
		struct history *history = &world->histories[i];

		if (history->accepted && !history->reported_complete &&
		    !history->reported_not_run && !history->reported_unknown &&
		    !history->killed_with_answer &&
		    !answer_exists(world, history->id) &&
		    !loss_permitted(history))
			report_violation(world,
					 "an accepted request got no answer",
					 history->id);
		if (history->reported_not_run && !history->idempotent &&
		    history->executions > 0)
			report_violation(
				world, "a request reported as not run has run",
				history->id);
	}
}

/* Prints the state of a request on every live host. */
static void print_state(const struct world *world, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	for (int i = 0; i < HOSTS; i++) {
		const struct host *host = &world->hosts[i];
		const struct req *req;

		if (!host->replica)
			continue;
		req = replica_find(host->replica, id);
		printf("  %s state %d peer %s", host->replica->self,
		       host->replica->state, host->replica->record.peer);
		if (req)
			printf(" | phase %d acting %s inherited %d running %d "
			       "probing %d want %d ended %d idempotent %d",
			       req->phase, req->acting, req->inherited,
			       req->running, req->probing, req->want_run,
			       req->answer.ended, req->attrs.idempotent);
		g_hash_table_iter_init(&iter, host->replica->standby_for);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct standby *standby = value;

			if (g_hash_table_contains(standby->reqs, id))
				printf(" | standby for %s state %d",
				       standby->primary, standby->state);
		}
		printf("\n");
	}
}

/* Runs one simulation; world->violation is "" if all invariants held. */
static void run(guint32 seed, unsigned disabled_rules, bool verbose,
		struct world *world)
{
	memset(world, 0, sizeof(*world));
	world->verbose = verbose;
	world->disabled_rules = disabled_rules;
	world->sim = sim_create(seed);
	world->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < HOSTS; i++) {
		host_start(world, i);
		sim_after(world->sim, sim_random(world->sim, TICK_MS), tick,
			  world, &world->hosts[i]);
	}
	sim_after(world->sim, 500, caller_locate, world, NULL);
	sim_after(world->sim, 1000, fault, world, NULL);
	sim_after(world->sim, FAULTS_MS, recovery_start, world, NULL);
	sim_run(world->sim, FAULTS_MS + RECOVERY_MS);
	check_end(world);
	if (world->violation[0] && strrchr(world->violation, ' '))
		print_state(world, strrchr(world->violation, ' ') + 1);
	for (int i = 0; i < HOSTS; i++) {
		if (world->hosts[i].replica)
			replica_free(world->hosts[i].replica);
		host_drop_deferred(&world->hosts[i]);
	}
	g_hash_table_destroy(world->records);
	sim_free(world->sim);
}

/* Names for --off, in the order of the bits of enum replica_rule. */
static const char *const rule_names[] = {
	"revoke_ack",	     "no_old_grant",   "copy_first",
	"sealing_no_grant",  "unseen_not_run", "granted_unknown",
	"two_seals_unknown",
};

static bool rule_parse(const char *name, unsigned *rules)
{
	for (size_t i = 0; i < G_N_ELEMENTS(rule_names); i++)
		if (!strcmp(rule_names[i], name)) {
			*rules = 1u << i;
			return true;
		}
	return false;
}

/* Adds the outcomes of a run's requests to the totals that main prints. */
static void totals_add(const struct world *world, int totals[7])
{
	for (int i = 0; i < world->history_count; i++) {
		const struct history *history = &world->histories[i];

		totals[0]++;
		totals[1] += history->accepted;
		totals[2] += history->reported_complete;
		totals[3] += history->reported_not_run;
		totals[4] += history->reported_unknown &&
			     !history->reported_complete;
		totals[5] += history->executions > 0;
		totals[6] += history->accepted && !history->reported_complete &&
			     !history->reported_not_run &&
			     !history->reported_unknown;
	}
}

int main(int argc, const char **argv)
{
	static struct world world;
	int seed = 1;
	int runs = 100;
	int verbose = 0;
	char *off = NULL;
	unsigned disabled_rules = 0;
	int totals[7] = { 0 };
	struct poptOption options[] = {
		{ "seed", 's', POPT_ARG_INT, &seed, 0, "first seed", "N" },
		{ "runs", 'r', POPT_ARG_INT, &runs, 0, "number of runs", "N" },
		{ "off", 'o', POPT_ARG_STRING, &off, 0, "rule to disable",
		  "RULE" },
		{ "verbose", 'v', POPT_ARG_NONE, &verbose, 0,
		  "print every event", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (!args_read(popt, "sim-replica"))
		return 2;
	if (off && !rule_parse(off, &disabled_rules)) {
		fprintf(stderr, "sim-replica: --off %s: unknown rule\n", off);
		return 2;
	}
	for (int i = 0; i < runs; i++) {
		run((guint32)(seed + i), disabled_rules, verbose, &world);
		totals_add(&world, totals);
		if (world.violation[0]) {
			printf("seed %d: %s\nto reproduce: sim-replica --seed "
			       "%d "
			       "--runs 1%s%s\n",
			       seed + i, world.violation, seed + i,
			       off ? " --off " : "", off ? off : "");
			return 1;
		}
	}
	printf("%d runs from seed %d: %d requests, %d accepted, %d complete, "
	       "%d not run, %d unknown, %d ran, %d unanswered\n",
	       runs, seed, totals[0], totals[1], totals[2], totals[3],
	       totals[4], totals[5], totals[6]);
	return 0;
}
