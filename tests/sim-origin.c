/*
 * Simulates callers that take streams up at other hosts while workers of a pool
 * are released from one software version to others and back (decide/origin.h,
 * decide/fleet.h). Checks that no stream goes on at another version than the
 * one that began it, and which share of them goes on.
 *
 * Hosts learn of workers late, each at another time; datagrams are late, lost
 * or overtake each other. A change of the members is seen by all hosts at once
 * for a start, after DETECT_MS for a loss.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../decide/aggregate.h"
#include "../decide/fleet.h"
#include "../decide/member.h"
#include "../decide/origin.h"
#include "../decide/version.h"
#include "../sim/sim.h"
#include "sim-args.h"

#define POOL "pool"
#define WORKERS 24
#define LEARN_MS 1000 /* until a host knows of a change of a worker */
#define FIRST_EVENT_MS 300
#define STREAM_MS 4000
#define STREAM_GAP_MS 10 /* between two that begin */
#define TAKEN_UP_PER_MILLE 400
#define RETURN_MS 1500 /* until a caller takes its stream up */
#define TRIES_MAX 3
#define DETECT_MS 3500
#define RESTART_MS 1200
#define LISTED_MS 2500	   /* a list of workers so old counts as current */
#define ASK_AGAIN_MS 100   /* of those that are asked */
#define KILLED_PER_MILLE 1 /* of the streams, with their host */
#define TICK_MS 100
#define RELEASE_MS 8000 /* first release; one more every RELEASE_GAP_MS */
#define RELEASE_GAP_MS 14000
#define WORKER_GAP_MS 350 /* between two workers of a release */
#define FAULT_MS 15000
#define FAULT_LENGTH_MS 10000
#define SETTLED_MS 16000 /* from the begin of a fault: it no longer counts */
#define END_MS 64000
#define CALM_SHARE 0.95 /* of the streams that are taken up go on */
#define FAULT_SHARE 0.5
#define ALL_SHARE 0.6
#define WAVE_GAP_MS 300
#define LOG_PERIOD_MS 250 /* between two writes of streams to the store */
#define LOG_HOSTS_MAX 64  /* with more hosts none writes streams */
#define STORE_MS 20	  /* until the store has what is written */

enum fault {
	FAULT_NONE,
	FAULT_LOSS,   /* of a tenth of the datagrams */
	FAULT_KILLED, /* hosts, right after the first event of a stream */
	FAULT_THIRD,  /* a third of the hosts at once */
	FAULT_SERIES, /* one host after the other restarts */
	FAULT_SPLIT,  /* a third reach only each other, and no store */
	FAULT_ALL,    /* all hosts at once, in a release */
	FAULT_WAVES,  /* thirds of them, one after the other */
	FAULT_COUNT,
};

static const struct {
	const char *name;
	double share; /* of the streams taken up that go on, all the while */
} faults[FAULT_COUNT] = {
	[FAULT_NONE] = { "none", CALM_SHARE },
	[FAULT_LOSS] = { "loss", CALM_SHARE },
	[FAULT_KILLED] = { "killed", 0.9 },
	[FAULT_THIRD] = { "third", FAULT_SHARE },
	[FAULT_SERIES] = { "series", FAULT_SHARE },
	[FAULT_SPLIT] = { "split", FAULT_SHARE },
	[FAULT_ALL] = { "all", ALL_SHARE },
	[FAULT_WAVES] = { "waves", ALL_SHARE },
};

struct host {
	char incarnation[24];
	unsigned life;
	bool up;
	bool listed; /* for the others */
	bool split;
	struct fleet *fleet;
	struct origin *origin;
	bool several;
	clk_ms listed_at;
	clk_ms started_at;
	uint64_t datagrams;
};

/* A worker of the platform. */
struct server {
	unsigned life;
	unsigned version;
};

struct cluster {
	struct sim *sim;
	int count;
	enum fault fault;
	struct host *hosts;
	struct server servers[WORKERS];
	GArray *record;	    /* of versions, in the store */
	struct origin *log; /* streams in the store */
	unsigned releases;
	unsigned next_stream;
	unsigned began;
	unsigned taken_up; /* while two workers of their version serve */
	unsigned went_on;
	unsigned refused;
	unsigned mixed;
};

/* A stream of a caller, from its first event to its end. */
struct stream {
	struct cluster *cluster;
	char id[24];
	uint32_t version;
	struct host *host;
	unsigned life; /* of the host */
	unsigned tries;
	clk_ms ends_at;
	struct origin_question question;
	bool asking;
};

struct datagram {
	struct cluster *cluster;
	struct host *from;
	struct host *to;
	unsigned life;
	struct stream *stream; /* asked for; NULL: streams to keep */
	unsigned tries;
	uint64_t key;
	uint32_t version;
	unsigned versions;
	bool settled;
	bool answer;
};

static const char *const versions[] = { "v1", "v1.1", "v1", "v2", "v1.1" };

static uint32_t sim_rand(void *ctx, uint32_t n)
{
	return sim_random(ctx, n);
}

static bool reach(const struct host *a, const struct host *b)
{
	return a->up && b->up && a->split == b->split;
}

/* Workers. */

static void server_entry(const struct cluster *cluster, int server,
			 struct fleet_entry *entry)
{
	*entry = (struct fleet_entry){
		.id = g_strdup_printf("s%d.%u", server,
				      cluster->servers[server].life),
		.pool = g_strdup(POOL),
		.address = g_strdup_printf("10.0.0.%d:1", server),
		.data_centre = g_strdup("dc"),
		.version = g_strdup(versions[cluster->servers[server].version]),
		.slots = 64,
	};
}

/* A host learns of a change of a worker. */
struct news {
	struct cluster *cluster;
	struct host *host;
	unsigned life; /* of the host */
	int server;
	unsigned server_life;
};

static void on_news(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct news *news = arg;
	struct fleet_entry entry;
	char old[24];

	if (news->host->up && news->host->split) {
		sim_after(cluster->sim, LEARN_MS, on_news, cluster, news);
		return;
	}
	if (news->host->up && news->host->life == news->life &&
	    cluster->servers[news->server].life == news->server_life) {
		g_snprintf(old, sizeof(old), "s%d.%u", news->server,
			   news->server_life - 1);
		fleet_remove(news->host->fleet, old);
		server_entry(cluster, news->server, &entry);
		fleet_put(news->host->fleet, &entry, 1);
	}
	g_free(news);
}

static void server_replace(struct cluster *cluster, int server,
			   unsigned version)
{
	cluster->servers[server].life++;
	cluster->servers[server].version = version;
	for (int i = 0; i < cluster->count; i++) {
		struct news *news = g_new(struct news, 1);

		*news = (struct news){
			.cluster = cluster,
			.host = &cluster->hosts[i],
			.life = cluster->hosts[i].life,
			.server = server,
			.server_life = cluster->servers[server].life,
		};
		sim_after(cluster->sim, 5 + sim_random(cluster->sim, LEARN_MS),
			  on_news, cluster, news);
	}
}

static void release_step(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	int server = GPOINTER_TO_INT(arg);

	server_replace(cluster, server, cluster->releases);
	if (server + 1 < WORKERS)
		sim_after(cluster->sim, WORKER_GAP_MS, release_step, cluster,
			  GINT_TO_POINTER(server + 1));
}

static void release_begin(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;

	(void)arg;
	if (++cluster->releases >= G_N_ELEMENTS(versions))
		return;
	release_step(cluster, GINT_TO_POINTER(0));
	sim_after(cluster->sim, RELEASE_GAP_MS, release_begin, cluster, NULL);
}

/* Hosts. */

struct learner {
	struct cluster *cluster;
	struct host *host;
};

/* A host that starts reads a stream from the store. */
static void stream_learn(void *ctx, uint64_t key, uint32_t version)
{
	const struct learner *self = ctx;

	origin_put(self->host->origin, key, version, 0,
		   self->cluster->sim->now);
}

static void host_start(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct host *host = arg;
	struct learner self = { .cluster = cluster, .host = host };
	struct fleet options = { .random = sim_rand, .ctx = cluster->sim };

	if (host->origin)
		origin_free(host->origin);
	host->life++;
	g_snprintf(host->incarnation, sizeof(host->incarnation), "h%d~%u",
		   (int)(host - cluster->hosts), host->life);
	host->fleet = fleet_create(&options); /* the old one is not freed */
	host->origin = origin_create();
	host->several = false;
	host->up = true;
	host->listed = true;
	host->listed_at = cluster->sim->now;
	host->started_at = cluster->sim->now;
	origin_each_own(cluster->log, aggregate_key(POOL), stream_learn, &self);
	for (int i = 0; i < WORKERS; i++) {
		struct fleet_entry entry;

		server_entry(cluster, i, &entry);
		fleet_put(host->fleet, &entry, 1);
	}
}

static void host_unlist(void *ctx, void *arg)
{
	struct host *host = arg;

	(void)ctx;
	if (!host->up)
		host->listed = false;
}

static void host_kill(struct cluster *cluster, struct host *host)
{
	if (!host->up)
		return;
	host->up = false;
	sim_after(cluster->sim, DETECT_MS, host_unlist, cluster, host);
	sim_after(cluster->sim, RESTART_MS, host_start, cluster, host);
}

/* Lists the hosts that rank highest for a stream, as one host sees them. */
static unsigned hosts_top(struct cluster *cluster, const struct host *self,
			  uint64_t key, struct host **top, unsigned n)
{
	struct member_rank ranks[ORIGIN_ASKED + 1];
	size_t count = 0;
	char text[24];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", key);
	for (int i = 0; i < cluster->count && n > 0; i++) {
		const struct host *host = &cluster->hosts[i];
		struct member_rank rank = {
			.weight = member_weight(host->incarnation, text),
			.index = (unsigned)i,
		};

		if (host != self && host->listed)
			count = member_rank_add(ranks, count, n, rank);
	}
	for (size_t i = 0; i < count; i++)
		top[i] = &cluster->hosts[ranks[i].index];
	return (unsigned)count;
}

static bool is_settled(const struct cluster *cluster, const struct host *host)
{
	return cluster->sim->now - host->started_at >= ORIGIN_KEEP_MS;
}

static void stream_judge(struct stream *stream);

static void datagram_send(const struct datagram *datagram);

static void on_datagram(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct datagram *datagram = arg;
	struct host *to = datagram->to;
	struct stream *stream = datagram->stream;
	uint32_t sole;

	if (!reach(datagram->from, to) || to->life != datagram->life) {
		/* It is lost. */
	} else if (!stream) {
		origin_put(to->origin, datagram->key, datagram->version, 0,
			   cluster->sim->now);
	} else if (!datagram->answer) {
		datagram_send(&(struct datagram){
			.cluster = cluster,
			.from = to,
			.to = datagram->from,
			.stream = stream,
			.tries = datagram->tries,
			.key = datagram->key,
			.version = origin_find(to->origin, datagram->key,
					       cluster->sim->now),
			.versions = fleet_versions(to->fleet, POOL,
						   cluster->sim->now, &sole),
			.settled = is_settled(cluster, to),
			.answer = true,
		});
	} else if (stream->asking && stream->tries == datagram->tries) {
		origin_on_answer(&stream->question,
				 &(struct origin_answer){
					 .host = aggregate_key(
						 datagram->from->incarnation),
					 .version = datagram->version,
					 .versions = datagram->versions,
					 .settled = datagram->settled,
				 });
		stream_judge(stream);
	}
	g_free(datagram);
}

static void datagram_send(const struct datagram *datagram)
{
	struct cluster *cluster = datagram->cluster;
	struct datagram *copy;

	datagram->from->datagrams++;
	if (!reach(datagram->from, datagram->to) ||
	    (cluster->fault == FAULT_LOSS && sim_chance(cluster->sim, 100)))
		return;
	copy = g_memdup2(datagram, sizeof(*datagram));
	copy->life = datagram->to->life;
	sim_after(cluster->sim, 1 + sim_random(cluster->sim, 40), on_datagram,
		  cluster, copy);
}

/* Context of a list of streams that is passed on. */
struct pass_on {
	struct cluster *cluster;
	struct host *host;
};

static void keep_elsewhere(void *ctx, uint64_t key, uint32_t version)
{
	struct pass_on *from = ctx;
	struct host *top[ORIGIN_ASKED + 1];
	uint32_t sole;
	unsigned keepers =
		origin_keepers(fleet_versions(from->host->fleet, POOL,
					      from->cluster->sim->now, &sole),
			       (unsigned)from->cluster->count);
	unsigned count =
		hosts_top(from->cluster, from->host, key, top, keepers);

	for (unsigned i = 0; i < count; i++)
		datagram_send(&(struct datagram){
			.cluster = from->cluster,
			.from = from->host,
			.to = top[i],
			.key = key,
			.version = version,
		});
}

/* Streams. */

static unsigned serving(const struct host *host, uint32_t version)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, host->fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((struct fleet_worker *)value)->version == version;
	return count;
}

static void stream_lost(void *ctx, void *arg);

/* The stream runs at a host until it ends, or its caller loses it. */
static void stream_run(struct stream *stream)
{
	struct cluster *cluster = stream->cluster;
	clk_ms left = stream->ends_at - cluster->sim->now;
	bool loses = sim_chance(cluster->sim, TAKEN_UP_PER_MILLE);
	clk_ms after =
		loses ? (clk_ms)sim_random(cluster->sim, (guint)MAX(left, 1))
		      : left;

	stream->life = stream->host->life;
	if (stream->tries >= TRIES_MAX || left <= 0) {
		g_free(stream);
		return;
	}
	if (cluster->fault == FAULT_KILLED && stream->tries == 0 &&
	    sim_chance(cluster->sim, KILLED_PER_MILLE))
		host_kill(cluster, stream->host);
	/* A caller notices a host that is lost after a while. */
	sim_after(cluster->sim, MAX(after, 1), stream_lost, cluster, stream);
}

static void question_send(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct stream *stream = arg;
	struct host *top[ORIGIN_ASKED + 1];

	if (!stream->asking)
		return;
	stream->question.asked = hosts_top(
		cluster, stream->host, stream->question.key, top, ORIGIN_ASKED);
	for (unsigned i = 0; i < stream->question.asked; i++)
		datagram_send(&(struct datagram){
			.cluster = cluster,
			.from = stream->host,
			.to = top[i],
			.stream = stream,
			.tries = stream->tries,
			.key = stream->question.key,
		});
}

/* A caller takes up its stream at some host. */
static void stream_take_up(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct stream *stream = arg;
	struct host *host = &cluster->hosts[sim_random(cluster->sim,
						       (guint)cluster->count)];
	uint64_t key = origin_key("t", stream->id, strlen(stream->id));

	if (!host->up) {
		sim_after(cluster->sim, 10, stream_take_up, cluster, stream);
		return;
	}
	stream->host = host;
	stream->tries++;
	stream->life = host->life;
	stream->asking = true;
	stream->question = (struct origin_question){
		.key = key,
		.version = origin_find(host->origin, key, cluster->sim->now),
		.asked_at = cluster->sim->now,
		.keepers = origin_keepers(2, (unsigned)cluster->count),
	};
	if (stream->question.version == 0) {
		question_send(cluster, stream);
		sim_after(cluster->sim, ASK_AGAIN_MS, question_send, cluster,
			  stream);
	}
	stream_judge(stream);
}

static void stream_rejudge(void *ctx, void *arg)
{
	(void)ctx;
	stream_judge(arg);
}

/* A host that reaches no store has the record of before; as it is not listed
 * as current then, that does not matter. */
static unsigned recorded_versions(const struct cluster *cluster,
				  const struct host *host)
{
	uint32_t serving[VERSION_MAX];

	return version_count(
		cluster->record, serving,
		fleet_serving_versions(host->fleet, POOL, serving, VERSION_MAX),
		cluster->sim->now);
}

static void stream_judge(struct stream *stream)
{
	struct cluster *cluster = stream->cluster;
	struct host *host = stream->host;
	clk_ms now = cluster->sim->now;
	struct origin_view view = {
		.listed = now - host->listed_at <= LISTED_MS,
		.settled = is_settled(cluster, host),
	};
	struct fleet_request request = { .pool = POOL, .data_centre = "dc" };
	bool counts = serving(host, stream->version) >= 2;

	if (!stream->asking)
		return;
	view.versions = fleet_versions(host->fleet, POOL, now, &view.sole);
	view.recorded = recorded_versions(cluster, host);
	switch (origin_judge(&stream->question, &view, now, &request.version)) {
	case ORIGIN_WAIT:
		/* A stream lives on until its last timer; see END_MS. */
		sim_after(cluster->sim, origin_wait(&stream->question, now) + 1,
			  stream_rejudge, cluster, stream);
		return;
	case ORIGIN_UNKNOWN:
		stream->asking = false;
		cluster->refused++;
		cluster->taken_up += counts;
		return;
	default:
		break;
	}
	stream->asking = false;
	cluster->taken_up += counts;
	if (!fleet_choose(host->fleet, &request, now).worker)
		return;
	cluster->went_on += counts;
	if (request.version != stream->version) {
		printf("at %d: stream %s of version %08x goes on at %08x\n",
		       (int)now, stream->id, stream->version, request.version);
		cluster->mixed++;
	}
	stream->ends_at = now + STREAM_MS;
	sim_after(cluster->sim, 1, stream_lost, cluster, stream);
}

static void stream_lost(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct stream *stream = arg;

	if (stream->tries >= TRIES_MAX ||
	    (stream->ends_at <= cluster->sim->now &&
	     stream->host->life == stream->life))
		return;
	sim_after(cluster->sim, 1 + sim_random(cluster->sim, RETURN_MS),
		  stream_take_up, cluster, stream);
}

static void stream_begin(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct stream *stream;
	struct fleet_request request = { .pool = POOL, .data_centre = "dc" };
	struct host *host = &cluster->hosts[sim_random(cluster->sim,
						       (guint)cluster->count)];
	struct pass_on self = { .cluster = cluster, .host = host };
	uint64_t key;

	(void)arg;
	sim_after(cluster->sim, STREAM_GAP_MS, stream_begin, cluster, NULL);
	if (!host->up)
		return;
	stream = g_new0(struct stream, 1);
	stream->cluster = cluster;
	stream->host = host;
	g_snprintf(stream->id, sizeof(stream->id), "c%u",
		   cluster->next_stream++);
	stream->version = fleet_choose(host->fleet, &request, cluster->sim->now)
				  .worker->version;
	stream->ends_at = cluster->sim->now + STREAM_MS;
	key = origin_key("t", stream->id, strlen(stream->id));
	origin_put(host->origin, key, stream->version, aggregate_key(POOL),
		   cluster->sim->now);
	keep_elsewhere(&self, key, stream->version);
	cluster->began++;
	stream_run(stream);
}

/* What a host writes to the store. */
struct write {
	GArray *rows; /* of struct origin_row */
	uint32_t serving[VERSION_MAX];
	size_t count;
	bool has_record;
};

static void row_add(void *ctx, uint64_t key, uint32_t version)
{
	struct write *write = ctx;
	struct origin_row row = { .stream = key, .version = version };

	g_array_append_val(write->rows, row);
}

static void on_write(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	struct write *write = arg;

	for (guint i = 0; i < write->rows->len; i++) {
		const struct origin_row *row =
			&g_array_index(write->rows, struct origin_row, i);

		origin_put(cluster->log, row->stream, row->version,
			   aggregate_key(POOL), cluster->sim->now);
	}
	if (write->has_record)
		version_update(cluster->record, write->serving, write->count,
			       cluster->sim->now);
	g_array_unref(write->rows);
	g_free(write);
}

/* All hosts write the streams that they have begun while there are several
 * versions; the first one of them writes the record of versions. */
static void store_tick(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;
	bool first = true;

	(void)arg;
	for (int i = 0; i < cluster->count; i++) {
		const struct host *host = &cluster->hosts[i];
		struct write *write;

		if (!host->up || host->split)
			continue;
		write = g_new0(struct write, 1);
		write->rows =
			g_array_new(FALSE, FALSE, sizeof(struct origin_row));
		write->has_record = first;
		first = false;
		write->count = fleet_serving_versions(
			host->fleet, POOL, write->serving, VERSION_MAX);
		if (host->several && cluster->count <= LOG_HOSTS_MAX)
			origin_each_own(host->origin, aggregate_key(POOL),
					row_add, write);
		sim_after(cluster->sim, STORE_MS, on_write, cluster, write);
	}
	sim_after(cluster->sim, LOG_PERIOD_MS, store_tick, cluster, NULL);
}

static void cluster_tick(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;

	(void)arg;
	for (int i = 0; i < cluster->count; i++) {
		struct host *host = &cluster->hosts[i];
		struct pass_on self = { .cluster = cluster, .host = host };
		uint32_t sole;
		bool several;

		if (!host->up)
			continue;
		if (!host->split)
			host->listed_at = cluster->sim->now;
		several = fleet_versions(host->fleet, POOL, cluster->sim->now,
					 &sole) > 1;
		if (several && !host->several)
			origin_each_own(host->origin, aggregate_key(POOL),
					keep_elsewhere, &self);
		host->several = several;
	}
	sim_after(cluster->sim, TICK_MS, cluster_tick, cluster, NULL);
}

static void on_kill(void *ctx, void *arg)
{
	host_kill(ctx, arg);
}

static void fault_begin(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;

	(void)arg;
	for (int i = 0; i < cluster->count; i++) {
		struct host *host = &cluster->hosts[i];

		if (cluster->fault == FAULT_THIRD && i % 3 == 0)
			host_kill(cluster, host);
		else if (cluster->fault == FAULT_ALL)
			host_kill(cluster, host);
		else if (cluster->fault == FAULT_WAVES)
			sim_after(cluster->sim, (clk_ms)(i % 3) * WAVE_GAP_MS,
				  on_kill, cluster, host);
		else if (cluster->fault == FAULT_SPLIT)
			host->split = i % 3 == 0;
		else if (cluster->fault == FAULT_SERIES)
			sim_after(cluster->sim,
				  (clk_ms)i * FAULT_LENGTH_MS / cluster->count,
				  host_start, cluster, host);
	}
}

static void fault_end(void *ctx, void *arg)
{
	struct cluster *cluster = ctx;

	(void)arg;
	for (int i = 0; i < cluster->count; i++)
		cluster->hosts[i].split = false;
}

static bool cluster_run(int count, enum fault fault, int seed)
{
	struct cluster cluster = { .count = count, .fault = fault };
	uint64_t datagrams = 0;
	double share;
	bool ok;

	cluster.sim = sim_create((guint32)seed);
	cluster.hosts = g_new0(struct host, count);
	cluster.log = origin_create();
	cluster.record = g_array_new(FALSE, FALSE, sizeof(struct version));
	for (int i = 0; i < count; i++)
		host_start(&cluster, &cluster.hosts[i]);
	sim_after(cluster.sim, 1, cluster_tick, &cluster, NULL);
	sim_after(cluster.sim, 1, store_tick, &cluster, NULL);
	sim_after(cluster.sim, 1, stream_begin, &cluster, NULL);
	sim_after(cluster.sim, RELEASE_MS, release_begin, &cluster, NULL);
	sim_after(cluster.sim, FAULT_MS, fault_begin, &cluster, NULL);
	sim_after(cluster.sim, FAULT_MS + FAULT_LENGTH_MS, fault_end, &cluster,
		  NULL);
	sim_run(cluster.sim, END_MS);
	for (int i = 0; i < count; i++)
		datagrams += cluster.hosts[i].datagrams;
	share = cluster.taken_up ? (double)cluster.went_on / cluster.taken_up
				 : 0;
	ok = cluster.mixed == 0 && cluster.taken_up > 1000 &&
	     share >= faults[fault].share;
	printf("%s: %d hosts, %s: %u streams, %u taken up, %.3f of them go on, "
	       "%u of two versions, %.1f datagrams a stream\n",
	       ok ? "ok" : "FAILED", count, faults[fault].name, cluster.began,
	       cluster.taken_up, share, cluster.mixed,
	       (double)datagrams / cluster.began);
	origin_free(cluster.log);
	g_array_unref(cluster.record);
	g_free(cluster.hosts);
	sim_free(cluster.sim);
	return ok;
}

int main(int argc, const char **argv)
{
	int hosts = 8;
	int seed = 1;
	int failed = 0;

	if (!sim_args_read(argc, argv, "sim-origin", &hosts, &seed))
		return 2;
	for (int fault = 0; fault < FAULT_COUNT; fault++)
		failed += !cluster_run(hosts, (enum fault)fault, seed);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
