/*
 * rw-entryd: start-up, the periodic tick, signals and the graceful shutdown.
 */
#include "entryd.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../wire/args.h"
#include "../wire/budget.h"

#define TICK_MS 20
#define RESEND_INTERVAL_MS 250
#define REVOKE_TIMEOUT_MS 1500
#define PROGRESS_GAP_MS 100
#define DEAD_RETENTION_MS 600000
#define SYNC_PERIOD_MS 10000
#define ACK_TIMEOUT_DIVISOR 2	 /* ack timeout = probe period / divisor */
#define RETIRE_TIMEOUT_MS 3000	 /* for the standby to take over */
#define STANDBY_TIMEOUT_MS 10000 /* for primaries to replace this standby */

clk_ms entryd_now(const struct entryd *entryd)
{
	return (clk_ms)uv_now(&entryd->loop);
}

clk_ms entryd_wall_time(void)
{
	return g_get_real_time() / 1000;
}

uint32_t entryd_random(void *ctx, uint32_t n)
{
	struct entryd *entryd = ctx;

	return n > 1 ? (uint32_t)g_rand_int_range(entryd->rand, 0, (gint32)n)
		     : 0;
}

void entryd_count(struct entryd *entryd, enum ctr ctr)
{
	entryd->ctrs.values[ctr]++;
}

/*
 * Returns whether no request is open here, no caller waits, no answer is
 * relayed, and no primary needs this host as its standby. The last condition is
 * dropped after STANDBY_TIMEOUT_MS.
 */
static bool is_drained(struct entryd *entryd)
{
	clk_ms now = entryd_now(entryd);
	clk_ms standby_until = entryd->stop_deadline - entryd->conf->drain_ms +
			       STANDBY_TIMEOUT_MS;

	if (replica_open_count(entryd->replica) > 0 ||
	    g_hash_table_size(entryd->callers) > 0 || entryd->forward_count > 0)
		return false;
	return replica_standby_count(entryd->replica) == 0 ||
	       now >= standby_until;
}

/*
 * Advances the shutdown. Once drained, or at the end of the drain period, this
 * host retires: its standby seals its record and takes over. The process ends
 * when that is done and no answer is being relayed, or after RETIRE_TIMEOUT_MS.
 */
static void stop_tick(struct entryd *entryd)
{
	clk_ms now = entryd_now(entryd);

	if (!entryd->retired &&
	    (is_drained(entryd) || now >= entryd->stop_deadline)) {
		entryd->retired = true;
		entryd->stop_deadline = now + RETIRE_TIMEOUT_MS;
		log_notice("drain ended; handing over authority");
	}
	if (!entryd->retired)
		return;
	replica_retire(entryd->replica, now);
	if (entryd->replica->state != REPLICA_OPEN ||
	    !entryd->replica->record.peer[0] || now >= entryd->stop_deadline) {
		if (entryd->forward_count > 0 && now < entryd->stop_deadline)
			return;
		uv_stop(&entryd->loop);
	}
}

/*
 * Takes a new incarnation if another host sealed this one's record. If this
 * host was declared dead, its membership already has a new incarnation, and
 * that one is used.
 */
static void renew_tick(struct entryd *entryd)
{
	char incarnation[RID_INCARNATION_MAX + 1];
	struct replica *replica = entryd->replica;
	const char *member = entryd->members->self.incarnation;

	if (replica->state != REPLICA_DEPOSED || entryd->retired)
		return;
	entryd_count(entryd, CTR_lost_self);
	rid_incarnation(incarnation, sizeof(incarnation), entryd->conf->name,
			g_rand_int(entryd->rand));
	if (strcmp(member, replica->self) != 0)
		g_strlcpy(incarnation, member, sizeof(incarnation));
	else
		member_renew(entryd->members, incarnation, entryd_now(entryd));
	log_warn("incarnation %s was sealed by %s; continuing as %s",
		 replica->self, replica->record.peer, incarnation);
	replica_renew(replica, incarnation, entryd_now(entryd));
}

/* Copies the counters that other modules keep. */
static void counters_collect(struct entryd *entryd)
{
	const struct rpc_counters *rpc = rpc_counters(entryd->rpc);
	uint64_t *values = entryd->ctrs.values;

	values[CTR_platform_calls] = plat_calls(entryd->plat);
	values[CTR_platform_failures] = plat_failures(entryd->plat);
	values[CTR_rpc_bytes_in] = rpc->bytes_in;
	values[CTR_rpc_bytes_out] = rpc->bytes_out;
	values[CTR_gossip_out] = rpc->datagrams_out;
	values[CTR_members_dead] = entryd->members->deaths;
	values[CTR_suspicions_refuted] = entryd->members->refuted;
	values[CTR_prefix_hits] = entryd->router->prefix_hits;
	values[CTR_settings_stale] = entryd->settings->stale_count;
}

static void on_tick(void *ctx)
{
	struct entryd *entryd = ctx;
	clk_ms now = entryd_now(entryd);

	entryd->members->settings = (uint64_t)entryd->settings->revision;
	entryd->members->hosts = (uint64_t)entryd->hosts->revision;
	member_tick(entryd->members, now);
	conf_tick(entryd);
	load_tick(entryd);
	replica_tick(entryd->replica, now);
	counters_collect(entryd);
	if (entryd->stopping)
		stop_tick(entryd);
	else
		renew_tick(entryd);
}

void entryd_stop(struct entryd *entryd)
{
	if (entryd->stopping)
		return;
	entryd->stopping = true;
	entryd->stop_deadline = entryd_now(entryd) + entryd->conf->drain_ms;
	member_leave(entryd->members, entryd_now(entryd));
	log_notice("stopping with %zu open requests",
		   replica_open_count(entryd->replica));
}

static void on_signal(uv_signal_t *handle, int signum)
{
	(void)signum;
	entryd_stop(handle->data);
}

static void on_rpc_dropped(void *ctx, const struct rpc_dropped *dropped)
{
	entryd_count(ctx, CTR_bad_input);
	if (dropped->first)
		log_warn("dropped a message of %s, procedure %u: %s",
			 dropped->from, dropped->proc,
			 rpc_bad_name(dropped->bad));
}

static void on_replica_msg(void *ctx, const struct replica_msg *msg)
{
	struct entryd *entryd = ctx;

	replica_on_msg(entryd->replica, msg, entryd_now(entryd));
}

static void on_gossip(void *ctx, const struct member_msg *msg)
{
	struct entryd *entryd = ctx;

	if (entryd_random(entryd, 100) < (uint32_t)entryd->conf->loss_percent)
		return;
	member_on_msg(entryd->members, msg, entryd_now(entryd));
}

/* Opens the HTTP and RPC sockets. */
static bool sockets_open(struct entryd *entryd, GError **error)
{
	struct conf_entry *conf = entryd->conf;
	struct http_server_options http = {
		.address = conf->address,
		.port = (int)conf->http_port,
		.max_body = (size_t)conf->max_body_bytes,
		.on_request = http_on_request,
		.on_rejected = http_on_rejected,
		.ctx = entryd,
	};
	struct rpc_handlers rpc = {
		.on_gossip = on_gossip,
		.on_replica = on_replica_msg,
		.on_sync = member_sync_fill,
		.on_dropped = on_rpc_dropped,
		.ctx = entryd,
	};

	entryd->server = http_server_create(&entryd->loop, &http, error);
	if (!entryd->server)
		return false;
	g_snprintf(entryd->http_address, sizeof(entryd->http_address), "%s:%d",
		   conf->address, http_server_port(entryd->server));
	g_snprintf(entryd->rpc_address, sizeof(entryd->rpc_address), "%s:%d",
		   conf->address, (int)conf->rpc_port);
	entryd->rpc = rpc_create(&entryd->loop, conf->address,
				 (int)conf->rpc_port, &rpc, error);
	return entryd->rpc != NULL;
}

/* Creates the replica, the member list and the router. */
static void modules_create(struct entryd *entryd)
{
	struct conf_entry *conf = entryd->conf;
	struct replica_options replica = {
		.ops = &job_replica_ops,
		.ctx = entryd,
		.resend_interval = RESEND_INTERVAL_MS,
		.revoke_timeout = REVOKE_TIMEOUT_MS,
		.retention = conf->retention_ms,
		.answer_retention = conf->answer_keep_ms,
		.progress_gap = PROGRESS_GAP_MS,
	};
	struct member_options member = {
		.ops = &member_entry_ops,
		.ctx = entryd,
		.period = conf->probe_period_ms,
		.ack_timeout = conf->probe_period_ms / ACK_TIMEOUT_DIVISOR,
		.suspicion_timeout = conf->suspicion_ms,
		.dead_retention = DEAD_RETENTION_MS,
		.sync_period = SYNC_PERIOD_MS,
		.seeds = conf->seeds,
	};
	struct member_update self = { .state = MEMBER_ALIVE };

	rid_incarnation(self.incarnation, sizeof(self.incarnation), conf->name,
			g_rand_int(entryd->rand));
	g_strlcpy(self.http, entryd->http_address, sizeof(self.http));
	g_strlcpy(self.rpc, entryd->rpc_address, sizeof(self.rpc));
	g_strlcpy(self.data_centre, conf->data_centre,
		  sizeof(self.data_centre));
	entryd->replica = replica_create(self.incarnation, &replica);
	entryd->members = member_list_create(&self, &member);
	entryd->router = router_create(entryd_random, entryd);
}

static void loop_start(struct entryd *entryd)
{
	due_init(&entryd->loop, &entryd->tick, on_tick, entryd);
	due_start(&entryd->tick, TICK_MS, TICK_MS);
	uv_signal_init(&entryd->loop, &entryd->term);
	entryd->term.data = entryd;
	uv_signal_start(&entryd->term, on_signal, SIGTERM);
	uv_signal_init(&entryd->loop, &entryd->interrupt);
	entryd->interrupt.data = entryd;
	uv_signal_start(&entryd->interrupt, on_signal, SIGINT);
}

static void budget_begin(struct entryd *entryd)
{
	const struct conf_entry *conf = entryd->conf;
	struct budget_options options = {
		.loop = &entryd->loop,
		.limit = budget_limit(conf->budget_mb, conf->memory_mb),
		.memory_mb = conf->memory_mb,
		.descriptors = conf->descriptors,
		.log = log_event,
	};

	budget_start(&options);
}

/* Loads the settings file and starts all parts of the process. */
static bool entryd_open(struct entryd *entryd, const char *path, GError **error)
{
	struct conf_entry *conf = conf_load(CONF_ENTRY, path, error);

	if (!conf)
		return false;
	entryd->conf = conf;
	entryd->rand = conf->seed ? g_rand_new_with_seed((guint32)conf->seed)
				  : g_rand_new();
	if (log_open("rw-entryd", conf->log_level, conf->log_file, error) != 0)
		return false;
	entryd->tracer =
		trace_open(conf->trace_file, conf->name, entryd->rand, error);
	if (!entryd->tracer)
		return false;
	uv_loop_init(&entryd->loop);
	budget_begin(entryd);
	entryd->callers = g_hash_table_new(NULL, NULL);
	g_queue_init(&entryd->load_queue);
	entryd->pools = g_hash_table_new(g_str_hash, g_str_equal);
	entryd->client = http_client_create(&entryd->loop);
	entryd->plat = plat_create(entryd->client, conf->platform);
	if (!sockets_open(entryd, error))
		return false;
	modules_create(entryd);
	entryd->started_at = entryd_now(entryd);
	conf_init(entryd);
	loop_start(entryd);
	return true;
}

int main(int argc, const char **argv)
{
	static struct entryd entryd;
	GError *error = NULL;
	const char *path = args_settings_file(argc, argv);

	if (!path)
		return EXIT_FAILURE;
	signal(SIGPIPE, SIG_IGN);
	if (!entryd_open(&entryd, path, &error)) {
		fprintf(stderr, "rw-entryd: %s\n", error->message);
		return EXIT_FAILURE;
	}
	printf("listening %d\n", http_server_port(entryd.server));
	fflush(stdout);
	log_notice("%s is listening on %s", entryd.replica->self,
		   entryd.http_address);
	uv_run(&entryd.loop, UV_RUN_DEFAULT);
	log_notice("stopped");
	log_close();
	return EXIT_SUCCESS;
}
