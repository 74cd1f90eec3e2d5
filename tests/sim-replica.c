/*
 * Randomised runs of homes and guardians under a virtual clock: messages
 * late, lost, repeated and out of order; hosts killed, paused, cut off and
 * wrongly declared dead; the platform down or its answers lost; callers who
 * ask for one id at several hosts. The ledger of the service is checked.
 *
 * Usage: sim-replica [--seed N] [--runs N] [--off RULE]
 * Exits with 1 if an invariant was broken; names the seed.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../decide/replica.h"
#include "../wire/args.h"
#include "../sim/sim.h"

#define HOSTS 5
#define CENTRES 3
#define IDS 60
#define TICK_MS 20
#define FAULTS_MS 30000 /* time with faults */
#define CALM_MS 40000	/* time without, for everything to end */
#define RETENTION_MS 600000
#define DOUBLE_MS 15000 /* two kills closer than that may lose a request */

/* The run's outcome for one request id. */
struct ticket {
	struct world *world;
	char id[RID_MAX + 1];
	struct rid rid;
	bool idempotent;
	bool fencing; /* the service checks fencing numbers */
	bool accepted;
	bool told_whole;
	bool told_not_run;
	bool told_unknown;
	int runs;      /* executions */
	int64_t fence; /* largest number shown to the service */
	int asks;
	bool alone;	  /* its home saw no other live host */
	clk_ms copy_lost; /* when a copy was last lost; 0: never */
	bool had_answer;  /* a host that was killed later had its end */
	bool lost_twice;  /* two copies within DOUBLE_MS */
};

/* One host; slots are reused by new incarnations. */
struct host {
	struct world *world;
	int slot;
	struct replica *replica; /* NULL: down */
	bool paused;
	GQueue held;		 /* struct delivery, while paused */
	bool thinks_dead[HOSTS]; /* of the incarnation in the slot */
	bool cut[HOSTS];	 /* no messages to that slot */
	int generation;
};

/* What waits to be delivered to a host, or done by it. */
struct delivery {
	struct world *world;
	int slot;
	int generation;
	void (*fn)(struct host *host, struct delivery *delivery);
	/* a message */
	struct replica_msg msg;
	char from[RID_INCARNATION_MAX + 1];
	char to[RID_INCARNATION_MAX + 1];
	char about[RID_INCARNATION_MAX + 1];
	char id[RID_MAX + 1];
	char upstream[32];
	struct req_attrs attrs;
	struct req *pieces;
	/* a record's answer */
	enum record_outcome outcome;
	struct replica_record record;
	/* a dispatch or probe */
	struct ticket *ticket;
	int64_t fence;
	bool flag;
};

struct world {
	struct sim *sim;
	struct host hosts[HOSTS];
	GHashTable *records; /* home -> struct replica_record * */
	struct ticket tickets[IDS];
	int made;
	int64_t mod;
	bool outage;
	bool lose_answers;
	bool calm;
	unsigned rules_off;
	char broken[200]; /* the invariant, "" if none */
	bool verbose;
};

static const struct replica_ops ops;

static void broken(struct world *world, const char *rule, const char *id)
{
	if (!world->broken[0])
		g_snprintf(world->broken, sizeof(world->broken), "%s: %s", rule,
			   id);
}

/* Says what happens, if that is asked for. */
static void say(const struct world *world, const char *what, const char *who)
{
	if (world->verbose)
		printf("%6" G_GINT64_FORMAT " %s %s\n", world->sim->now, what,
		       who);
}

static const char *centre_of(int slot)
{
	static const char *const names[CENTRES] = { "a", "b", "c" };

	return names[slot % CENTRES];
}

static struct ticket *ticket_of(struct world *world, const char *id)
{
	for (int i = 0; i < world->made; i++)
		if (!strcmp(world->tickets[i].id, id))
			return &world->tickets[i];
	return NULL;
}

/* Finds the host that is an incarnation now, or NULL. */
static struct host *host_of(struct world *world, const char *incarnation)
{
	for (int i = 0; i < HOSTS; i++) {
		struct host *host = &world->hosts[i];

		if (host->replica && !strcmp(host->replica->self, incarnation))
			return host;
	}
	return NULL;
}

/* Deliveries: done at a host, later if it is paused, never if it is gone. */

static void delivery_free(struct delivery *delivery)
{
	if (delivery->attrs.body)
		g_bytes_unref(delivery->attrs.body);
	if (delivery->pieces)
		req_free(delivery->pieces);
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
		g_queue_push_tail(&host->held, delivery);
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

/* A delay: mostly short, now and then long. */
static clk_ms delay(struct world *world)
{
	if (!world->calm && sim_chance(world->sim, 30))
		return sim_random(world->sim, 3000);
	return 1 + sim_random(world->sim, 5);
}

/* Messages between hosts. */

static void msg_arrive(struct host *host, struct delivery *delivery)
{
	delivery->msg.from = delivery->from;
	delivery->msg.to = delivery->to;
	delivery->msg.primary = delivery->about;
	delivery->msg.id = delivery->id;
	delivery->msg.upstream =
		delivery->upstream[0] ? delivery->upstream : NULL;
	if (delivery->msg.attrs)
		delivery->msg.attrs = &delivery->attrs;
	delivery->msg.chunks = delivery->pieces;
	if (host->world->verbose)
		printf("%6" G_GINT64_FORMAT " msg %d %s to %s of %s epoch %d "
		       "verdict %d grant %d copy %d granted %d: %s\n",
		       host->world->sim->now, delivery->msg.kind,
		       delivery->from, delivery->to, delivery->about,
		       (int)delivery->msg.epoch, delivery->msg.ack,
		       delivery->msg.want_grant, delivery->msg.copy,
		       delivery->msg.granted, delivery->id);
	replica_on_msg(host->replica, &delivery->msg, host->world->sim->now);
}

static struct req *pieces_copy(const struct replica_msg *msg)
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
	g_strlcpy(delivery->about, msg->primary, sizeof(delivery->about));
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
	delivery->pieces = pieces_copy(msg);
	delivery->msg.chunks_base = msg->first_chunk;
	delivery_send(delivery, delay(to->world));
}

static void op_send(void *ctx, const struct replica_msg *msg)
{
	struct host *host = ctx;
	struct world *world = host->world;
	struct host *to = host_of(world, msg->to);

	if (!to || host->cut[to->slot] || to->cut[host->slot])
		return;
	if (!world->calm && sim_chance(world->sim, 30))
		return;
	msg_post(to, msg);
	if (!world->calm && sim_chance(world->sim, 30))
		msg_post(to, msg);
}

/* The platform. */

static void record_arrive(struct host *host, struct delivery *delivery)
{
	replica_on_record(host->replica, delivery->about, delivery->outcome,
			  &delivery->record, host->world->sim->now);
}

/* Sends the answer of the platform, unless it is lost. */
static void record_answer(struct host *host, const char *home,
			  enum record_outcome outcome)
{
	struct world *world = host->world;
	struct delivery *delivery = delivery_create(host, record_arrive);
	struct replica_record *found =
		g_hash_table_lookup(world->records, home);

	g_strlcpy(delivery->about, home, sizeof(delivery->about));
	if (found)
		delivery->record = *found;
	delivery->outcome = outcome;
	if (world->outage ||
	    (world->lose_answers && sim_chance(world->sim, 500)))
		delivery->outcome = RECORD_UNKNOWN;
	delivery_send(delivery, delay(world));
}

/* A swap on its way to the platform; it may take effect late. */
struct swap {
	struct host *host;
	int generation;
	char home[RID_INCARNATION_MAX + 1];
	struct replica_record record;
};

static void swap_arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct swap *swap = arg;
	struct replica_record *found =
		g_hash_table_lookup(world->records, swap->home);
	int64_t mod = found ? found->mod : 0;
	bool won = !world->outage && mod == swap->record.mod;

	if (won) {
		struct replica_record *record =
			g_new0(struct replica_record, 1);

		*record = swap->record;
		record->mod = ++world->mod;
		say(world, record->state == RECORD_OPEN ? "open" : "sealed",
		    swap->home);
		say(world, "    by or with", record->peer);
		g_hash_table_insert(world->records, g_strdup(swap->home),
				    record);
	}
	if (swap->host->generation == swap->generation && swap->host->replica)
		record_answer(swap->host, swap->home,
			      won ? RECORD_SWAPPED : RECORD_CONFLICT);
	g_free(swap);
}

static void op_swap(void *ctx, const char *home,
		    const struct replica_record *record)
{
	struct host *host = ctx;
	struct swap *swap = g_new0(struct swap, 1);

	swap->host = host;
	swap->generation = host->generation;
	g_strlcpy(swap->home, home, sizeof(swap->home));
	swap->record = *record;
	sim_after(host->world->sim, delay(host->world), swap_arrive,
		  host->world, swap);
}

static void op_read(void *ctx, const char *home)
{
	record_answer(ctx, home, RECORD_READ);
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
			bool apart = strcmp(centre_of(slot),
					    centre_of(host->slot)) != 0;

			if (slot == host->slot || !other->replica ||
			    host->thinks_dead[slot] || apart != far)
				continue;
			return other->replica->self;
		}
	}
	return NULL;
}

/* The service. */

static void result_arrive(struct host *host, struct delivery *delivery)
{
	struct req *req = replica_find(host->replica, delivery->ticket->id);
	clk_ms now = host->world->sim->now;

	if (!req || !req->running)
		return;
	if (delivery->flag) { /* refused an old fencing number */
		if (req->phase == REQ_GRANTED)
			replica_prove_not_run(host->replica, req, now);
		return;
	}
	if (req->answer.ended)
		return;
	replica_chunk(host->replica, req, "done", 4, now);
	replica_end(host->replica, req, RW_OK, 200, now);
}

/* Executes a call at the service. */
static void call_arrive(void *ctx, void *arg)
{
	struct delivery *call = arg;
	struct world *world = ctx;
	struct ticket *ticket = call->ticket;
	bool old = !ticket->idempotent && ticket->fencing &&
		   call->fence < ticket->fence;
	struct host *host = &world->hosts[call->slot];

	if (!old) {
		ticket->fence = MAX(ticket->fence, call->fence);
		ticket->runs++;
		if (!ticket->idempotent && ticket->runs > 1)
			broken(world, "a call ran twice", ticket->id);
		if (!ticket->idempotent && ticket->told_not_run)
			broken(world, "a call ran that was called not run",
			       ticket->id);
	}
	call->flag = old;
	if (host->replica && host->generation == call->generation &&
	    !sim_chance(world->sim, world->calm ? 0 : 50))
		delivery_send(call, delay(world));
	else
		delivery_free(call);
}

/* The host sends the call: it may have been paused since it was allowed. */
static void dispatch_arrive(struct host *host, struct delivery *delivery)
{
	struct delivery *call = delivery_create(host, result_arrive);

	call->ticket = delivery->ticket;
	call->fence = delivery->fence;
	sim_after(host->world->sim, delay(host->world), call_arrive,
		  host->world, call);
}

static void lost_arrive(struct host *host, struct delivery *delivery);

static void op_run(void *ctx, struct req *req)
{
	struct host *host = ctx;
	struct delivery *delivery = delivery_create(host, dispatch_arrive);
	struct delivery *patience = delivery_create(host, lost_arrive);

	delivery->ticket = ticket_of(host->world, req->id);
	delivery->fence = replica_fencing_token(host->replica, req);
	replica_attempt(host->replica, req, "service", NULL,
			host->world->sim->now);
	delivery_send(delivery, sim_random(host->world->sim, 3));
	patience->ticket = delivery->ticket;
	delivery_send(patience, 8000);
}

/* No answer came: what is known is that nothing is known. */
static void lost_arrive(struct host *host, struct delivery *delivery)
{
	struct req *req = replica_find(host->replica, delivery->ticket->id);

	if (!req || !req->running || req->answer.ended)
		return;
	if (req->attrs.idempotent) {
		op_run(host, req);
		return;
	}
	replica_end(host->replica, req, RW_EUNKNOWN, 0, host->world->sim->now);
}

/* The answer of a status query. */
static void probe_arrive(struct host *host, struct delivery *delivery)
{
	struct req *req = replica_find(host->replica, delivery->ticket->id);
	clk_ms now = host->world->sim->now;

	if (!req || !req->probing)
		return;
	if (delivery->flag) {
		replica_chunk(host->replica, req, "done", 4, now);
		replica_end(host->replica, req, RW_OK, 200, now);
	} else if (delivery->fence > 0) {
		replica_prove_not_run(host->replica, req, now);
	} else if (host->world->rules_off & REPLICA_RULE_GRANTED_UNKNOWN) {
		replica_end(host->replica, req, RW_ENOUPSTREAM, 0, now);
	} else {
		replica_end(host->replica, req, RW_EUNKNOWN, 0, now);
	}
}

/* The service is shown the fencing number and asked for the id. */
static void probe_at_service(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct delivery *probe = arg;
	struct ticket *ticket = probe->ticket;

	if (ticket->fencing && probe->fence >= ticket->fence)
		ticket->fence = probe->fence;
	else
		probe->fence = 0;
	probe->flag = ticket->runs > 0;
	delivery_send(probe, delay(world));
}

static void op_probe(void *ctx, struct req *req)
{
	struct host *host = ctx;
	struct delivery *probe = delivery_create(host, probe_arrive);

	probe->ticket = ticket_of(host->world, req->id);
	probe->fence = replica_fencing_token(host->replica, req);
	sim_after(host->world->sim, delay(host->world), probe_at_service,
		  host->world, probe);
}

/* Callers. */

static void want_arrive(struct host *host, struct delivery *delivery)
{
	struct req *req = replica_find(host->replica, delivery->ticket->id);

	if (!req)
		return;
	if (!host->world->calm && sim_chance(host->world->sim, 100))
		replica_refuse(host->replica, req, RW_EBUSY,
			       host->world->sim->now);
	else
		replica_want_run(host->replica, req, "service",
				 host->world->sim->now);
}

static void op_accepted(void *ctx, struct req *req)
{
	struct host *host = ctx;
	struct delivery *want;

	ticket_of(host->world, req->id)->accepted = true;
	ticket_of(host->world, req->id)->alone =
		!replica_standby_name(host->replica)[0];
	say(host->world, host->replica->self, req->id);
	if (req->want_run)
		return;
	want = delivery_create(host, want_arrive);
	want->ticket = ticket_of(host->world, req->id);
	delivery_send(want, sim_random(host->world->sim, 200));
}

static void op_ended(void *ctx, struct req *req)
{
	struct host *host = ctx;
	struct ticket *ticket = ticket_of(host->world, req->id);

	switch (req_ran(req)) {
	case ERR_RAN_YES:
		ticket->told_whole = true;
		break;
	case ERR_RAN_NO:
		ticket->told_not_run = true;
		if (!ticket->idempotent && ticket->runs > 0)
			broken(host->world, "told not run after it ran",
			       ticket->id);
		break;
	default:
		ticket->told_unknown = true;
		break;
	}
}

/* Notes that a copy of a request can't answer any more. */
static void note_loss(struct ticket *ticket, const char *how)
{
	if (ticket->copy_lost &&
	    ticket->world->sim->now - ticket->copy_lost <= DOUBLE_MS)
		ticket->lost_twice = true;
	ticket->copy_lost = ticket->world->sim->now;
	say(ticket->world, how, ticket->id);
}

static void op_moved(void *ctx, struct req *req)
{
	struct host *host = ctx;

	/* From here on the copy of this host can't answer any more. */
	note_loss(ticket_of(host->world, req->id), "moved");
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

static void ask(void *ctx, void *arg);

/* Begins the request at a host that speaks for its id. */
static void submit(struct host *host, struct ticket *ticket)
{
	struct world *world = host->world;
	struct req_attrs attrs = {
		.account = "a",
		.target = "t",
		.trace = "",
		.idempotent = ticket->idempotent,
	};
	enum err_kind kind;
	const char *upstream = sim_chance(world->sim, 500) ? "service" : NULL;

	replica_submit(host->replica, ticket->id, &ticket->rid, &attrs,
		       world->sim->now + 10000, upstream, NULL, &kind,
		       world->sim->now);
}

/* Follows records from a home to a host that speaks for it. */
static struct host *resolve(struct world *world, struct host *asked,
			    const char *incarnation)
{
	for (int hop = 0; hop < 4; hop++) {
		struct host *host = host_of(world, incarnation);
		struct replica_record *record =
			g_hash_table_lookup(world->records, incarnation);

		if (host && !asked->thinks_dead[host->slot])
			return host;
		if (world->outage || !record)
			return NULL;
		host = host_of(world, record->peer);
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

/* A caller asks for its id at some host, and again later. */
static void ask(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct ticket *ticket = arg;
	struct host *host = &world->hosts[sim_random(world->sim, HOSTS)];

	if (++ticket->asks < 8 || (!ticket->told_whole && ticket->asks < 40))
		sim_after(world->sim, 50 + sim_random(world->sim, 4000), ask,
			  world, ticket);
	if (!host->replica || host->paused)
		return;
	if (replica_find(host->replica, ticket->id))
		return;
	if (replica_authority(host->replica, ticket->rid.primary) !=
	    REPLICA_LOCAL) {
		host = resolve(world, host, ticket->rid.primary);
		if (!host || host->paused ||
		    replica_find(host->replica, ticket->id))
			return;
		/* A host answers only for what it speaks for. */
		if (!strcmp(host->replica->self, ticket->rid.primary) &&
		    host->replica->state == REPLICA_DEPOSED)
			return;
	}
	submit(host, ticket);
}

/* A caller locates a home and begins. */
static void locate(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct host *host = &world->hosts[sim_random(world->sim, HOSTS)];
	struct ticket *ticket;
	char prefix[RID_MAX];

	(void)arg;
	if (world->made == IDS)
		return;
	sim_after(world->sim, sim_random(world->sim, FAULTS_MS / IDS * 2),
		  locate, world, NULL);
	if (!host->replica || host->paused ||
	    host->replica->state == REPLICA_CLOSED ||
	    host->replica->state == REPLICA_OPENING ||
	    host->replica->state >= REPLICA_RESIGNING)
		return;
	ticket = &world->tickets[world->made++];
	ticket->world = world;
	ticket->idempotent = sim_chance(world->sim, 200);
	ticket->fencing = sim_chance(world->sim, 500);
	rid_prefix(prefix, sizeof(prefix), host->replica->self,
		   world->sim->now);
	g_snprintf(ticket->id, sizeof(ticket->id), "%s-n%d", prefix,
		   world->made);
	rid_parse(ticket->id, strlen(ticket->id), &ticket->rid);
	ask(world, ticket);
}

/* Tells whether a guard's copy can still be taken over: what may be repeated
 * needs no record for that. */
static bool guard_counts(const struct host *host, const struct standby *guard,
			 const char *id)
{
	const struct replica_record *record =
		g_hash_table_lookup(host->world->records, guard->primary);
	const struct req *req = g_hash_table_lookup(guard->reqs, id);

	if (!req)
		return false;
	if (req->attrs.idempotent && (!record || record->state == RECORD_OPEN))
		return guard->state != STANDBY_RETIRED;
	return record && guard->state != STANDBY_RETIRED &&
	       replica_is_self(host->replica, record->peer);
}

/* Tells whether a host is the one to answer a request. */
static bool acts_for(const struct host *host, const char *id)
{
	const struct req *req = replica_find(host->replica, id);

	return req && req->phase != REQ_MOVED;
}

/* Tells whether a host has a request, as home or guardian. */
static bool host_has(const struct host *host, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	if (!host->replica)
		return false;
	if (acts_for(host, id))
		return true;
	g_hash_table_iter_init(&iter, host->replica->standby_for);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (guard_counts(host, value, id))
			return true;
	return false;
}

/* Faults. */

/* Draws a new incarnation for a host. */
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
		.disabled_rules = world->rules_off,
	};

	incarnation_make(world, slot, incarnation);
	host->world = world;
	host->slot = slot;
	host->generation++;
	host->paused = false;
	host->replica = replica_create(incarnation, &options);
	memset(host->thinks_dead, 0, sizeof(host->thinks_dead));
	for (int i = 0; i < HOSTS; i++)
		world->hosts[i].thinks_dead[slot] = false;
}

/* A lost incarnation is told to an observer. */
struct news {
	int slot; /* of the observer */
	int generation;
	int about;
	char incarnation[RID_INCARNATION_MAX + 1];
};

/* A live host that was declared dead is told so, after a while. */
static void told_arrive(struct host *host, struct delivery *delivery)
{
	char incarnation[RID_INCARNATION_MAX + 1];

	if (strcmp(host->replica->self, delivery->about) != 0)
		return;
	say(host->world, "told dead", host->replica->self);
	/* The guardian's copies are of the old incarnation. */
	for (int i = 0; i < host->world->made; i++)
		if (host_has(host, host->world->tickets[i].id))
			note_loss(&host->world->tickets[i], "voided");
	incarnation_make(host->world, host->slot, incarnation);
	replica_resign(host->replica, incarnation, host->world->sim->now);
}

static void tell_dead(struct world *world, const struct news *news)
{
	struct delivery *delivery =
		delivery_create(&world->hosts[news->about], told_arrive);

	g_strlcpy(delivery->about, news->incarnation, sizeof(delivery->about));
	delivery_send(delivery, 200 + sim_random(world->sim, 2000));
}

static void news_arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct news *news = arg;
	struct host *host = &world->hosts[news->slot];
	struct host *about = &world->hosts[news->about];

	if (host->replica && host->paused &&
	    host->generation == news->generation) {
		sim_after(world->sim, 500, news_arrive, world, news);
		return;
	}
	if (host->replica && host->generation == news->generation) {
		if (about->replica &&
		    !strcmp(about->replica->self, news->incarnation))
			host->thinks_dead[news->about] = true;
		if (about->replica &&
		    !strcmp(about->replica->self, news->incarnation))
			tell_dead(world, news);
		replica_on_dead(host->replica, news->incarnation,
				world->sim->now);
	}
	g_free(news);
}

/* All others learn, each at its time, that an incarnation is dead. */
static void declare_dead(struct world *world, int slot, const char *incarnation,
			 guint share)
{
	for (int i = 0; i < HOSTS; i++) {
		struct news *news;

		if (i == slot || !world->hosts[i].replica ||
		    !sim_chance(world->sim, share))
			continue;
		news = g_new0(struct news, 1);
		news->slot = i;
		news->generation = world->hosts[i].generation;
		news->about = slot;
		g_strlcpy(news->incarnation, incarnation,
			  sizeof(news->incarnation));
		sim_after(world->sim, 500 + sim_random(world->sim, 3000),
			  news_arrive, world, news);
	}
}

static void restart(void *ctx, void *arg)
{
	struct world *world = ctx;
	int slot = GPOINTER_TO_INT(arg);

	if (!world->hosts[slot].replica)
		host_start(world, slot);
}

static void host_drop_held(struct host *host)
{
	struct delivery *delivery;

	while ((delivery = g_queue_pop_head(&host->held)))
		delivery_free(delivery);
}

/* Tells whether a host has a copy as guardian, or is to become it. */
static bool host_guards(const struct host *host, const char *id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, host->replica->standby_for);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (g_hash_table_contains(((struct standby *)value)->reqs, id))
			return true;
	return false;
}

/* Tells whether a host's record names no guardian: it saw no other host. */
static bool is_alone(const struct host *host)
{
	const struct replica_record *record =
		g_hash_table_lookup(host->world->records, host->replica->self);

	return !record || !record->peer[0];
}

/* Notes that a host had an answer for whoever would have asked. */
static void note_answer(const struct host *host, struct ticket *ticket)
{
	const struct req *req = replica_find(host->replica, ticket->id);

	if (req && req->answer.ended)
		ticket->had_answer = true;
}

/* Notes which requests lose a copy by a kill. One that loses its last copy
 * may stay without an answer, if the copy before went not long ago. */
static void note_copies(struct world *world, const struct host *killed)
{
	for (int i = 0; i < world->made; i++) {
		struct ticket *ticket = &world->tickets[i];

		note_answer(killed, ticket);
		if (!host_has(killed, ticket->id)) {
			if (host_guards(killed, ticket->id))
				note_loss(ticket, "a candidate is killed");
			continue;
		}
		if (is_alone(killed) && acts_for(killed, ticket->id))
			ticket->alone = true;
		note_loss(ticket, "a copy is killed");
	}
}

static void fault_kill(struct world *world, struct host *host)
{
	char incarnation[RID_INCARNATION_MAX + 1];

	if (!host->replica)
		return;
	note_copies(world, host);
	g_strlcpy(incarnation, host->replica->self, sizeof(incarnation));
	say(world, "kill", incarnation);
	replica_free(host->replica);
	host->replica = NULL;
	host_drop_held(host);
	declare_dead(world, host->slot, incarnation, 1000);
	sim_after(world->sim, 1000 + sim_random(world->sim, 4000), restart,
		  world, GINT_TO_POINTER(host->slot));
}

/* A paused host goes on: what came meanwhile is delivered at once. */
static void resume(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct host *host = &world->hosts[GPOINTER_TO_INT(arg)];
	struct delivery *delivery;

	if (!host->replica || !host->paused)
		return;
	host->paused = false;
	say(world, "resume", host->replica->self);
	while (host->replica && (delivery = g_queue_pop_head(&host->held))) {
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
	say(world, "pause", host->replica->self);
	if (wait > 2000)
		declare_dead(world, host->slot, host->replica->self, 800);
	sim_after(world->sim, wait, resume, world, GINT_TO_POINTER(host->slot));
}

static void fault_cut(struct world *world, struct host *host)
{
	int other = (int)sim_random(world->sim, HOSTS);

	host->cut[other] = true;
	if (host->replica && sim_chance(world->sim, 300))
		declare_dead(world, host->slot, host->replica->self, 500);
}

static void fault_leave(struct world *world, struct host *host)
{
	(void)world;
	if (host->replica && !host->paused)
		replica_retire(host->replica, world->sim->now);
}

static void outage_end(void *ctx, void *arg)
{
	struct world *world = ctx;

	(void)arg;
	world->outage = false;
	world->lose_answers = false;
	for (int i = 0; i < HOSTS; i++)
		memset(world->hosts[i].cut, 0, sizeof(world->hosts[i].cut));
}

static void fault_outage(struct world *world, struct host *host)
{
	(void)host;
	world->outage = true;
	sim_after(world->sim, 500 + sim_random(world->sim, 5000), outage_end,
		  world, NULL);
}

static void fault_lose_answers(struct world *world, struct host *host)
{
	(void)host;
	world->lose_answers = true;
	sim_after(world->sim, 500 + sim_random(world->sim, 5000), outage_end,
		  world, NULL);
}

static void fault(void *ctx, void *arg)
{
	static void (*const faults[])(struct world * world,
				      struct host * host) = {
		fault_kill, fault_pause,  fault_pause,	      fault_pause,
		fault_cut,  fault_outage, fault_lose_answers, fault_leave,
	};
	struct world *world = ctx;
	struct host *host = &world->hosts[sim_random(world->sim, HOSTS)];

	(void)arg;
	if (world->calm)
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
		world->hosts[i].thinks_dead[host->slot] = false;
}

/* The time without faults: everything comes to its end. */
static void calm(void *ctx, void *arg)
{
	struct world *world = ctx;

	(void)arg;
	world->calm = true;
	outage_end(world, NULL);
	for (int i = 0; i < HOSTS; i++)
		resume(world, GINT_TO_POINTER(i));
}

/* Tells whether a request is on no host any more, by two losses in a short
 * time: only then may it stay without an answer. */
static bool lost_fairly(const struct ticket *ticket)
{
	for (int slot = 0; slot < HOSTS; slot++)
		if (host_has(&ticket->world->hosts[slot], ticket->id))
			return false;
	return ticket->alone || ticket->lost_twice;
}

/* Tells whether a live host has an answer for whoever asks. */
static bool is_answered(struct world *world, const char *id)
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

/* Every accepted request must have been answered somehow in the end. */
static void check_end(struct world *world)
{
	for (int i = 0; i < world->made; i++) {
		struct ticket *ticket = &world->tickets[i];

		if (ticket->accepted && !ticket->told_whole &&
		    !ticket->told_not_run && !ticket->told_unknown &&
		    !ticket->had_answer && !is_answered(world, ticket->id) &&
		    !lost_fairly(ticket))
			broken(world, "an accepted request got no answer",
			       ticket->id);
		if (ticket->told_not_run && !ticket->idempotent &&
		    ticket->runs > 0)
			broken(world, "a call ran that was called not run",
			       ticket->id);
	}
}

/* Prints what every live host knows of a request. */
static void explain(const struct world *world, const char *id)
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
			const struct standby *guard = value;

			if (g_hash_table_contains(guard->reqs, id))
				printf(" | guards %s state %d", guard->primary,
				       guard->state);
		}
		printf("\n");
	}
}

/* One run; returns the invariant that was broken, or "". */
static void run(guint32 seed, unsigned rules_off, bool verbose,
		struct world *world)
{
	memset(world, 0, sizeof(*world));
	world->verbose = verbose;
	world->rules_off = rules_off;
	world->sim = sim_create(seed);
	world->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < HOSTS; i++) {
		host_start(world, i);
		sim_after(world->sim, sim_random(world->sim, TICK_MS), tick,
			  world, &world->hosts[i]);
	}
	sim_after(world->sim, 500, locate, world, NULL);
	sim_after(world->sim, 1000, fault, world, NULL);
	sim_after(world->sim, FAULTS_MS, calm, world, NULL);
	sim_run(world->sim, FAULTS_MS + CALM_MS);
	check_end(world);
	if (world->broken[0] && strrchr(world->broken, ' '))
		explain(world, strrchr(world->broken, ' ') + 1);
	for (int i = 0; i < HOSTS; i++) {
		if (world->hosts[i].replica)
			replica_free(world->hosts[i].replica);
		host_drop_held(&world->hosts[i]);
	}
	g_hash_table_destroy(world->records);
	sim_free(world->sim);
}

/* The names of the rules, in the order of their bits. */
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

/* Adds up what the requests of a run were told. */
static void sum_up(const struct world *world, int sums[7])
{
	for (int i = 0; i < world->made; i++) {
		const struct ticket *ticket = &world->tickets[i];

		sums[0]++;
		sums[1] += ticket->accepted;
		sums[2] += ticket->told_whole;
		sums[3] += ticket->told_not_run;
		sums[4] += ticket->told_unknown && !ticket->told_whole;
		sums[5] += ticket->runs > 0;
		sums[6] += ticket->accepted && !ticket->told_whole &&
			   !ticket->told_not_run && !ticket->told_unknown;
	}
}

int main(int argc, const char **argv)
{
	static struct world world;
	int seed = 1;
	int runs = 100;
	int verbose = 0;
	char *off = NULL;
	unsigned rules_off = 0;
	int sums[7] = { 0 };
	struct poptOption options[] = {
		{ "seed", 's', POPT_ARG_INT, &seed, 0, "first seed", "N" },
		{ "runs", 'r', POPT_ARG_INT, &runs, 0, "number of runs", "N" },
		{ "off", 'o', POPT_ARG_STRING, &off, 0, "rule switched off",
		  "RULE" },
		{ "verbose", 'v', POPT_ARG_NONE, &verbose, 0, "say all", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (!args_read(popt, "sim-replica"))
		return 2;
	if (off && !rule_parse(off, &rules_off)) {
		fprintf(stderr,
			"sim-replica: --off %s: there is no such rule\n", off);
		return 2;
	}
	for (int i = 0; i < runs; i++) {
		run((guint32)(seed + i), rules_off, verbose, &world);
		sum_up(&world, sums);
		if (world.broken[0]) {
			printf("seed %d: %s\nagain: sim-replica --seed %d "
			       "--runs 1"
			       "%s%s\n",
			       seed + i, world.broken, seed + i,
			       off ? " --off " : "", off ? off : "");
			return 1;
		}
	}
	printf("%d runs from seed %d: %d requests, %d accepted, %d whole, "
	       "%d not run, %d unknown, %d ran, %d lost by two losses\n",
	       runs, seed, sums[0], sums[1], sums[2], sums[3], sums[4], sums[5],
	       sums[6]);
	return 0;
}
