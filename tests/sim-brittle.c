/*
 * Simulates brittle workers (decide/fleet-brittle.c): they fall over when they
 * reject more requests in a second than they bear, and their room shrinks while
 * callers ask for three times what they can do. Checks that they don't fall
 * over one after the other, and that the room that is left is used.
 *
 * Usage: sim-brittle [--hosts N] [--seed N]
 */
#include <stdio.h>
#include <stdlib.h>

#include "../decide/fleet.h"
#include "../sim/sim.h"
#include "sim-args.h"

#define RUN_MS 700	  /* of a request at a worker */
#define RESPONSE_MS 2	  /* until a host has read a rejection */
#define DOWN_MS 3000	  /* of a worker that has fallen over */
#define SHRINK_MS 6000	  /* when there is less room */
#define USED_FROM_MS 9000 /* from then on it has to be used */
#define END_MS 20000
#define WINDOW_MS 1000	  /* in which rejections count */
#define WAIT_MS 250	  /* that a request waits for room */
#define ATTEMPTS 3	  /* of a request */
#define RETRIED_SHARE 0.2 /* of the rejected ones, by the retry budget */
#define OVERLOAD 3	  /* demand, as a multiple of what the workers can do */
#define FALLS 2		  /* allowed, besides a share of the workers */
#define FALLS_SHARE 0.1
#define USED_SHARE 0.9

static const struct {
	double rejections; /* a second that a worker bears */
	int before;	   /* requests at a worker for each host */
	double after;	   /* part of that which is left */
} cases[] = {
	{ 4, 2, 0.34 },
	{ 10, 2, 0.5 },
	{ 10, 8, 0.25 },
	{ 50, 8, 0.5 },
};

struct server {
	int room;
	int running;
	clk_ms down_until;
	GQueue rejected; /* of clk_ms */
	unsigned falls;
};

struct world {
	struct sim *sim;
	int host_count;
	int server_count;
	double rejections;
	struct server *servers;
	struct fleet_worker *workers; /* by host and server */
	GQueue *waiting;	      /* by host: of struct request */
	uint64_t served;	      /* since USED_FROM_MS */
	uint64_t told;		      /* messages between hosts */
};

struct request {
	struct world *world;
	int host;
	int server;
	int attempts;
	clk_ms waiting_since;
	bool tried;	/* beyond the room that its host knows of */
	unsigned falls; /* of the server, when the request was sent */
};

static struct fleet_worker *worker_of(const struct request *request)
{
	const struct world *world = request->world;

	return &world->workers[request->host * world->server_count +
			       request->server];
}

static void request_send(struct request *request);

/* A request at a server has ended: sends the first one that waits. */
static void waiting_serve(struct world *world, int host)
{
	GQueue *waiting = &world->waiting[host];
	struct request *request = g_queue_pop_head(waiting);

	while (request && world->sim->now - request->waiting_since > WAIT_MS) {
		g_free(request);
		request = g_queue_pop_head(waiting);
	}
	if (request)
		request_send(request);
}

/* Lets a request wait if a server that is full may soon have room. */
static void request_wait(struct request *request)
{
	struct world *world = request->world;
	GQueue *waiting = &world->waiting[request->host];
	guint full = 0;

	for (request->server = 0; request->server < world->server_count;
	     request->server++)
		full += worker_of(request)->inflight > 0;
	if (request->waiting_since || waiting->length >= full) {
		g_free(request);
		return;
	}
	request->waiting_since = world->sim->now;
	g_queue_push_tail(waiting, request);
}

static void on_done(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct request *request = arg;
	struct server *server = &world->servers[request->server];

	worker_of(request)->inflight--;
	if (request->falls == server->falls) {
		server->running--;
		world->served += world->sim->now >= USED_FROM_MS;
	}
	waiting_serve(world, request->host);
	g_free(request);
}

/* Another host tells of a rejection. */
struct news {
	int host;
	int server;
	unsigned count;
};

static double chance(struct world *world)
{
	return sim_random(world->sim, 1000) / 1000.0;
}

static void on_told(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct news *news = arg;

	fleet_brittle_on_told(&world->workers[news->host * world->server_count +
					      news->server],
			      news->count, chance(world), world->sim->now);
	g_free(news);
}

/* Tells all other hosts. */
static void rejections_tell(struct world *world, const struct request *request,
			    unsigned count)
{
	for (int i = 0; i < world->host_count; i++) {
		struct news *news;

		if (i == request->host)
			continue;
		news = g_new(struct news, 1);
		*news = (struct news){ .host = i,
				       .server = request->server,
				       .count = count };
		world->told++;
		sim_after(world->sim, 1 + sim_random(world->sim, 4), on_told,
			  world, news);
	}
}

static void on_rejected(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct request *request = arg;
	struct fleet_worker *worker = worker_of(request);
	unsigned count;

	count = fleet_brittle_on_rejection(worker, request->tried,
					   chance(world), world->sim->now);
	if (count > 0)
		rejections_tell(world, request, count);
	worker->inflight--;
	if (chance(world) < RETRIED_SHARE)
		request_send(request);
	else
		g_free(request);
}

/* Rejects a request; the server may fall over. */
static void server_reject(struct world *world, struct server *server)
{
	clk_ms now = world->sim->now;

	while (!g_queue_is_empty(&server->rejected) &&
	       now - GPOINTER_TO_INT(g_queue_peek_head(&server->rejected)) >=
		       WINDOW_MS)
		g_queue_pop_head(&server->rejected);
	g_queue_push_tail(&server->rejected, GINT_TO_POINTER((int)now));
	if (server->rejected.length <= world->rejections)
		return;
	g_queue_clear(&server->rejected);
	server->falls++;
	server->running = 0;
	server->down_until = now + DOWN_MS;
}

/* Chooses a server that takes a request; returns false if there is none. */
static bool server_choose(struct request *request)
{
	struct world *world = request->world;
	clk_ms now = world->sim->now;
	int first = (int)sim_random(world->sim, (guint)world->server_count);

	for (int i = 0; i < world->server_count; i++) {
		const struct fleet_worker *worker;

		request->server = (first + i) % world->server_count;
		worker = worker_of(request);
		if (now >= world->servers[request->server].down_until &&
		    now >= worker->withheld_until &&
		    !fleet_brittle_is_full(worker, now) &&
		    (i == 0 || worker->brittle.limited))
			return true;
	}
	return false;
}

static void request_send(struct request *request)
{
	struct world *world = request->world;
	struct server *server;

	if (request->attempts++ == ATTEMPTS) {
		g_free(request);
		return;
	}
	if (!server_choose(request)) {
		request_wait(request);
		return;
	}
	server = &world->servers[request->server];
	worker_of(request)->inflight++;
	request->tried =
		fleet_brittle_on_send(worker_of(request), world->sim->now);
	if (server->running < server->room) {
		server->running++;
		request->falls = server->falls;
		sim_after(world->sim, RUN_MS, on_done, world, request);
		return;
	}
	server_reject(world, server);
	sim_after(world->sim, RESPONSE_MS, on_rejected, world, request);
}

/* Runs a case; returns whether all holds. */
static bool case_run(int idx, int hosts, guint seed)
{
	struct world world = {
		.sim = sim_create(seed),
		.host_count = hosts,
		.server_count = MAX(4, hosts * 3 / 4),
		.rejections = cases[idx].rejections,
	};
	int per_server = hosts * cases[idx].before;
	int left = MAX((int)(per_server * cases[idx].after), 1);
	double due = 0;
	double could;
	unsigned falls = 0;
	double allowed = FALLS + FALLS_SHARE * world.server_count;
	bool ok;

	world.servers = g_new0(struct server, world.server_count);
	world.waiting = g_new0(GQueue, hosts);
	world.workers = g_new0(struct fleet_worker,
			       (gsize)world.server_count * (gsize)hosts);
	for (int i = 0; i < world.server_count; i++)
		world.servers[i].room = per_server;
	/* All responses say it, long before. */
	for (int i = 0; i < world.server_count * hosts; i++)
		fleet_brittle_on_response(&world.workers[i], world.rejections,
					  (unsigned)hosts);
	for (clk_ms now = 0; now < END_MS; now++) {
		sim_run(world.sim, now);
		if (now == SHRINK_MS)
			for (int i = 0; i < world.server_count; i++)
				world.servers[i].room = left;
		due += OVERLOAD * (double)world.server_count * left / RUN_MS;
		for (; due >= 1; due--) {
			struct request *request = g_new0(struct request, 1);

			request->world = &world;
			request->host =
				(int)sim_random(world.sim, (guint)hosts);
			request_send(request);
		}
	}
	for (int i = 0; i < world.server_count; i++)
		falls += world.servers[i].falls;
	could = (double)world.server_count * left * (END_MS - USED_FROM_MS) /
		RUN_MS;
	ok = falls <= allowed && (double)world.served >= USED_SHARE * could;
	printf("%s: %d hosts, %d workers, room %d then %d, %.0f rejections: "
	       "%u falls of %.1f, %.2f of the room used, %.1f messages a "
	       "second and host\n",
	       ok ? "ok" : "FAILED", hosts, world.server_count, per_server,
	       left, world.rejections, falls, allowed,
	       (double)world.served / could,
	       (double)world.told * CLK_SECOND / END_MS / hosts);
	return ok;
}

int main(int argc, const char **argv)
{
	int hosts = 8;
	int seed = 1;
	int failed = 0;

	if (!sim_args_read(argc, argv, "sim-brittle", &hosts, &seed))
		return 2;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		failed += !case_run((int)i, hosts, (guint)seed);
	return failed > 0;
}
