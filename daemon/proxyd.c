/* rw-proxyd: settings, event loop, signals, planned stop. */
#include "../wire/trace.h"
#include "proxyd.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>

#include "../wire/args.h"
#include "../wire/budget.h"

#define TICK_MS 100		/* period of all timed work */
#define STATUS_PERIOD_MS 10000	/* between status log lines */
#define SETTINGS_PERIOD_MS 1000 /* between checks of the settings file */
#define PROBE_PERIOD_MS 500	/* of the membership protocol */
#define SUSPICION_MS 1500	/* from suspect to dead */
#define DEAD_RETENTION_MS 60000 /* how long a dead host is listed */
#define SYNC_PERIOD_MS 10000	/* between full exchanges of members */
#define IDLE_MAX_MS 8000	/* of idle connections to workers */
#define KEEP_MAX_MS 30000	/* the same, where workers keep them longer */
/* Idle connections to workers at most: of the reserved descriptors, or this
 * share of all. */
#define IDLE_RESERVED 200
#define IDLE_SHARE (1.0 / 16)
#define PEER_TIMEOUT_MS 2500	 /* unacknowledged data to a worker */
#define STORE_IDLE_MS 30000	 /* of idle connections to the store */
#define STORE_TIMEOUT_MS 2000	 /* unacknowledged data to the store */
#define PLATFORM_CONNECT_MS 1000 /* connects to the store and the cloud */
#define DESCRIPTORS_RESERVED 300 /* for files, workers, hosts, the store */
#define LOCAL_CONNECTIONS 512	 /* at each of the local listeners */
#define STOP_LISTEN_MS 4000	 /* callers cache addresses this long */
#define STOP_MARGIN_MS 400	 /* before the process is killed */
#define STOP_ACCEPT_MS 2700	 /* until callers know of the stop */
#define LOCAL_HEAD_MAX 8192	 /* bytes */
#define LOCAL_IDLE_MS 10000
#define FULL_RETRY_MS 500 /* after too many connections */

static void on_signal(uv_signal_t *handle, int signum);

clk_ms proxyd_now(const struct proxyd *proxyd)
{
	return (clk_ms)uv_now(&proxyd->loop);
}

clk_ms proxyd_boot_now(void)
{
	struct timespec at;

	clock_gettime(CLOCK_BOOTTIME, &at);
	return (clk_ms)at.tv_sec * CLK_SECOND + at.tv_nsec / 1000000;
}

clk_ms proxyd_wall(struct proxyd *proxyd)
{
	return wall_read(&proxyd->wall, g_get_real_time() / 1000,
			 proxyd_boot_now());
}

uint32_t proxyd_random(void *ctx, uint32_t n)
{
	struct proxyd *proxyd = ctx;

	return n > 1 ? (uint32_t)g_rand_int_range(proxyd->rand, 0, (gint32)n)
		     : 0;
}

double proxyd_chance(struct proxyd *proxyd)
{
	return g_rand_double(proxyd->rand);
}

void proxyd_count(struct proxyd *proxyd, enum ctr ctr)
{
	proxyd->ctrs.values[ctr]++;
}

/* The latest loop time at which a stopping process exits. */
static clk_ms stop_deadline(const struct proxyd *proxyd)
{
	return proxyd->stop_at + (clk_ms)(proxyd->conf->grace_s * CLK_SECOND) -
	       STOP_MARGIN_MS;
}

bool proxyd_accepts(const struct proxyd *proxyd, clk_ms end)
{
	return !proxyd->stopping ||
	       proxyd_now(proxyd) - proxyd->stop_at < STOP_ACCEPT_MS ||
	       end < stop_deadline(proxyd);
}

unsigned proxyd_host_count(const struct proxyd *proxyd)
{
	unsigned known = 1 + (unsigned)member_live_count(proxyd->members);

	return quota_host_count(known, proxyd->listed_hosts,
				proxyd_now(proxyd) - proxyd->started_at);
}

struct pool_state *proxyd_pool(struct proxyd *proxyd, const char *name)
{
	struct pool_state *pool = g_hash_table_lookup(proxyd->pools, name);
	struct retry_options options = {
		/* The margin of a quarter covers live hosts that are wrongly
		 * declared dead and so not counted. */
		.share = 0.75 * proxyd->conf->retry_ratio,
		.burst = MAX(0.75 * proxyd->conf->retry_extra /
				     proxyd_host_count(proxyd),
			     1),
		.max_attempts = G_MAXUINT,
	};

	if (pool)
		return pool;
	pool = g_new0(struct pool_state, 1);
	pool->name = g_strdup(name);
	retry_budget_init(&pool->budget, &options);
	g_hash_table_insert(proxyd->pools, pool->name, pool);
	return pool;
}

/* Modification time of the settings file in ns; 0: unknown. */
static int64_t settings_mtime(const char *path)
{
	struct stat info;

	if (stat(path, &info) != 0)
		return 0;
	return (int64_t)info.st_mtim.tv_sec * 1000000000 + info.st_mtim.tv_nsec;
}

/* Reloads the settings and applies those that may change at run time. */
static void settings_reload(struct proxyd *proxyd, const char *why)
{
	GError *error = NULL;
	struct conf_proxy *conf =
		conf_load(CONF_PROXY, proxyd->settings_path, &error);

	proxyd->settings_changed_at = settings_mtime(proxyd->settings_path);
	if (!conf) {
		slog(SLOG_WARN, "reload", "why=%s outcome=refused cause=\"%s\"",
		     why, error->message);
		g_error_free(error);
		return;
	}
	/* Addresses are bound only at the start. The old settings are not
	 * freed: pointers into them remain in use. */
	proxyd->conf = conf;
	proxyd->reloaded_at = proxyd_now(proxyd);
	slog_configure(slog_level_parse(conf->log_level), (int)conf->log_rate);
	fleet_set_prefill(proxyd->fleet, conf->prefill_us / 1000);
	proxyd->fleet->params.running_share =
		conf->step_us > 0 ? conf->step_slot_us / conf->step_us : 0;
	proxyd->fleet->params.cross_dc_ms = conf->distance_ms;
	rollout_on_settings(proxyd);
	slog(SLOG_NOTICE, "reload", "why=%s outcome=adopted", why);
}

static void settings_tick(struct proxyd *proxyd)
{
	static clk_ms next;
	clk_ms now = proxyd_now(proxyd);
	int64_t mtime;

	if (now < next)
		return;
	next = now + SETTINGS_PERIOD_MS;
	mtime = settings_mtime(proxyd->settings_path);
	if (mtime && mtime != proxyd->settings_changed_at)
		settings_reload(proxyd, "file_changed");
}

/* Copies the counters of other modules into those of the process. */
static void counters_tick(struct proxyd *proxyd)
{
	uint64_t *values = proxyd->ctrs.values;
	const struct hc_counters *http = hc_counters(proxyd->upstreams);
	const struct kv_counters *kv = kv_counters(proxyd->kv);
	const struct rpc_counters *rpc = rpc_counters(proxyd->rpc);

	values[CTR_connects] = http->connects;
	values[CTR_connects_question] = http->connects_question;
	values[CTR_connects_check] = http->connects_last;
	values[CTR_idle_over] = http->idle_over;
	values[CTR_idle_ended] = http->idle_ended;
	values[CTR_idle_evicted] = http->idle_evicted;
	values[CTR_reuses] = http->reuses;
	values[CTR_strays] = http->mismatched_responses;
	values[CTR_dirty] = http->unexpected_data;
	values[CTR_platform_calls] = kv->calls;
	values[CTR_platform_failures] = kv->failures;
	values[CTR_store_restores] = kv_restores(proxyd->kv);
	values[CTR_store_bad_eras] = kv->bad_eras;
	values[CTR_store_old_eras] = kv->old_eras;
	values[CTR_rpc_bytes_in] = rpc->bytes_in;
	values[CTR_rpc_bytes_out] = rpc->bytes_out;
	values[CTR_gossip_out] = rpc->datagrams_out;
	values[CTR_log_dropped] = slog_dropped();
	if (proxyd->cloud) {
		values[CTR_cloud_calls] = cloud_counters(proxyd->cloud)->calls;
		values[CTR_cloud_failures] =
			cloud_counters(proxyd->cloud)->failures;
	}
}

/* Logs a periodic summary of the process. */
static void status_tick(struct proxyd *proxyd)
{
	static clk_ms next;
	clk_ms now = proxyd_now(proxyd);
	const uint64_t *values = proxyd->ctrs.values;
	const struct kv_counters *kv = kv_counters(proxyd->kv);

	if (now < next)
		return;
	next = now + STATUS_PERIOD_MS;
	slog(SLOG_NOTICE, "status",
	     "requests=%" G_GUINT64_FORMAT " whole=%" G_GUINT64_FORMAT
	     " open=%u hosts=%u workers=%u follows_store=%d "
	     "ranges=%" G_GUINT64_FORMAT " watches=%" G_GUINT64_FORMAT
	     " changes=%" G_GUINT64_FORMAT " leases=%" G_GUINT64_FORMAT
	     " store_failures=%" G_GUINT64_FORMAT,
	     values[CTR_requests], values[CTR_passed_whole],
	     g_hash_table_size(proxyd->open_requests),
	     proxyd_host_count(proxyd),
	     g_hash_table_size(proxyd->fleet->workers),
	     feed_follows(&proxyd->feed, now), kv->ranges, kv->watches,
	     kv->changes, kv->leases, kv->failures);
}

/* Advances a planned stop: stops listening once callers have refreshed their
 * addresses, and exits when no request is left or at the deadline. */
static void stop_tick(struct proxyd *proxyd)
{
	clk_ms age = proxyd_now(proxyd) - proxyd->stop_at;
	bool may_exit = false;

	if (age >= STOP_LISTEN_MS) {
		bool front = hs_stop_listening(proxyd->front);
		bool forwarded = hs_stop_listening(proxyd->forwarded);

		may_exit = front && forwarded &&
			   hs_busy_connections(proxyd->front) == 0 &&
			   hs_busy_connections(proxyd->forwarded) == 0;
	}
	if (may_exit || proxyd_now(proxyd) >= stop_deadline(proxyd)) {
		size_t open = hs_open_requests(proxyd->front);

		xfer_end_all(proxyd);
		slog(SLOG_NOTICE, "stopped",
		     "after_ms=%" G_GINT64_FORMAT " open=%zu reading=%zu", age,
		     open, hs_open_requests(proxyd->front));
		uv_stop(&proxyd->loop);
	}
}

static void stop_begin(struct proxyd *proxyd)
{
	if (proxyd->stopping)
		return;
	proxyd->stopping = true;
	proxyd->stop_at = proxyd_now(proxyd);
	slog(SLOG_NOTICE, "stopping", "open=%zu connections=%zu",
	     hs_open_requests(proxyd->front), hs_connections(proxyd->front));
	member_leave(proxyd->members, proxyd_now(proxyd));
	proxyd->feed_outdated = true;
	/* Callers and hosts that don't know of the stop yet go on sending. */
	hs_drain(proxyd->front);
	hs_drain(proxyd->forwarded);
	report_pass_on(proxyd);
	leader_resign(proxyd);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	if (signum == SIGHUP)
		settings_reload(handle->data, "signal");
	else
		stop_begin(handle->data);
}

static void on_tick(void *ctx)
{
	struct proxyd *proxyd = ctx;

	follow_tick(proxyd);
	peer_tick(proxyd);
	report_tick(proxyd);
	speed_tick(proxyd);
	limits_tick(proxyd);
	leader_tick(proxyd);
	move_tick(proxyd);
	guard_tick(proxyd);
	permit_tick(proxyd);
	resume_tick(proxyd);
	probe_tick(proxyd);
	process_tick(proxyd);
	reach_tick(proxyd);
	forward_tick(proxyd);
	rollout_tick(proxyd);
	settings_tick(proxyd);
	counters_tick(proxyd);
	status_tick(proxyd);
	if (proxyd->stopping)
		stop_tick(proxyd);
}

/* Opens a listener of the host's own endpoints. */
static struct hs *local_open(struct proxyd *proxyd, const char *address,
			     void (*fn)(void *ctx, struct hs_request *call),
			     GError **error)
{
	struct hs_options options = {
		.address = address,
		.limits = {
			.head_max = LOCAL_HEAD_MAX,
			.head_timeout = LOCAL_IDLE_MS,
			.idle_timeout = LOCAL_IDLE_MS,
			.in_flight_max = LOCAL_CONNECTIONS,
		},
		.on_request = fn,
		.ctx = proxyd,
	};

	return hs_create(&proxyd->loop, &options, error);
}

/* The port at an offset in the range for traffic between hosts; 0 if none is
 * set. */
static int internal_port(const struct conf_proxy *conf, guint offset)
{
	if (!conf->internal_ports || g_strv_length(conf->internal_ports) < 2)
		return 0;
	return (int)g_ascii_strtoll(conf->internal_ports[0], NULL, 10) +
	       (int)offset;
}

/* Headers for requests on too many connections; forwarded: the host that
 * forwards one may ask another. Never freed. */
static const char *refusal_headers(bool forwarded)
{
	return g_string_free(head_reply_build(FULL_RETRY_MS, forwarded), FALSE);
}

static bool front_open(struct proxyd *proxyd, GError **error)
{
	const struct conf_proxy *conf = proxyd->conf;
	char address[MEMBER_ADDRESS_MAX];
	struct hs_options options = {
		.address = conf->front,
		.limits = {
			.head_max = 16384,
			.body_max = 4194304,
			.head_timeout = 3000,
			.idle_timeout = 15000,
			.in_flight_max = (size_t)MAX(
				conf->descriptors - DESCRIPTORS_RESERVED, 64),
		},
		.on_request = front_on_request,
		.on_rejected = front_on_rejected,
		.on_unread = front_on_unread,
		.refusal_headers = refusal_headers(false),
		.ctx = proxyd,
	};

	proxyd->front = hs_create(&proxyd->loop, &options, error);
	if (!proxyd->front)
		return false;
	g_snprintf(address, sizeof(address), "%s:%d", conf->address,
		   internal_port(conf, FORWARD_PORT));
	options.address = address;
	options.on_request = forward_on_request;
	options.refusal_headers = refusal_headers(true);
	proxyd->forwarded = hs_create(&proxyd->loop, &options, error);
	return proxyd->forwarded != NULL;
}

static bool listen_all(struct proxyd *proxyd, GError **error)
{
	const struct conf_proxy *conf = proxyd->conf;
	struct rpc_handlers handlers = {
		.on_gossip = peer_on_gossip,
		.on_sync = peer_on_sync,
		.on_sync_packed = peer_on_sync_packed,
		.on_report = peer_on_report,
		.on_relay = peer_on_relay,
		.on_group = peer_on_group,
		.on_speeds = speed_on_speeds,
		.on_permit_ask = permit_on_ask,
		.on_permit_grant = permit_on_answer,
		.on_full = permit_on_full,
		.on_rollout = rollout_on_message,
		.on_links_ask = reach_on_ask,
		.on_links_answer = reach_on_answer,
		.on_origin_keep = resume_on_keep,
		.on_origin_ask = resume_on_ask,
		.on_origin_answer = resume_on_answer,
		.on_dropped = peer_on_dropped,
		.ctx = proxyd,
	};
	char metrics[MEMBER_ADDRESS_MAX];

	if (!front_open(proxyd, error))
		return false;
	proxyd->ready =
		local_open(proxyd, conf->ready, local_on_request, error);
	if (!proxyd->ready)
		return false;
	if (conf->lookup[0]) {
		proxyd->lookup = local_open(proxyd, conf->lookup,
					    local_on_request, error);
		if (!proxyd->lookup)
			return false;
	}
	g_snprintf(metrics, sizeof(metrics), "%s:%d", conf->address,
		   internal_port(conf, 1));
	proxyd->metrics = local_open(proxyd, metrics, local_on_metrics, error);
	if (!proxyd->metrics)
		return false;
	g_snprintf(proxyd->rpc_address, sizeof(proxyd->rpc_address), "%s:%d",
		   conf->address, internal_port(conf, 0));
	proxyd->rpc = rpc_create(&proxyd->loop, conf->address,
				 internal_port(conf, 0), &handlers, error);
	return proxyd->rpc != NULL;
}

/* Gives a new worker its own connection pool. */
static void on_worker_added(void *ctx, struct fleet_worker *worker)
{
	struct proxyd *proxyd = ctx;

	worker->http_peer =
		hc_peer_add(proxyd->upstreams, worker->entry.address);
	permit_on_worker(proxyd, worker);
	resume_on_listed(proxyd, worker);
	probe_wishes(proxyd, worker);
}

void proxyd_drop_peer(struct fleet_worker *worker)
{
	if (!worker->http_peer || !worker->removed || worker->inflight > 0 ||
	    worker->moves > 0)
		return;
	hc_peer_remove(worker->http_peer);
	worker->http_peer = NULL;
}

static void on_worker_removed(void *ctx, struct fleet_worker *worker)
{
	if (worker->said_leaving)
		follow_forget_notice(ctx, worker);
	proxyd_drop_peer(worker);
}

/* Gives up what goes by leases and keys of the era before. */
static void on_store_era(void *ctx, bool restored)
{
	leader_on_era(ctx, restored);
	if (restored)
		peer_on_restored(ctx);
}

static void clients_create(struct proxyd *proxyd)
{
	const struct conf_proxy *conf = proxyd->conf;
	struct hc_options upstreams = {
		.connect_timeout = conf->connect_ms,
		.idle_timeout = IDLE_MAX_MS,
		.keep_max = KEEP_MAX_MS,
		.idle_max = (unsigned)MAX(
			(double)conf->descriptors * IDLE_SHARE, IDLE_RESERVED),
		.peer_timeout = PEER_TIMEOUT_MS,
		.source = conf->address,
		.id_header = HEAD_ATTEMPT_ID,
	};
	struct hc_options platform = {
		.connect_timeout = PLATFORM_CONNECT_MS,
		.idle_timeout = STORE_IDLE_MS,
		.peer_timeout = STORE_TIMEOUT_MS,
	};

	proxyd->upstreams = hc_create(&proxyd->loop, &upstreams);
	proxyd->platform = hc_create(&proxyd->loop, &platform);
	proxyd->kv = kv_create(&proxyd->loop, proxyd->platform, conf->store);
	if (conf->cloud[0])
		proxyd->cloud = cloud_create(&proxyd->loop, proxyd->platform,
					     conf->cloud);
}

static bool is_connected(void *ctx, const struct fleet_worker *worker,
			 const struct fleet_request *request)
{
	(void)ctx;
	return worker->http_peer &&
	       hc_peer_has_idle_for(worker->http_peer, request->is_repeatable);
}

/* Creates the state of the decide modules. */
static void state_create(struct proxyd *proxyd)
{
	const struct conf_proxy *conf = proxyd->conf;
	struct fleet fleet = {
		.params = {
			.prefill_ms = conf->prefill_us / 1000,
			.per_running_ms = FLEET_RUNNING_MS,
			.running_share = conf->step_us > 0
						 ? conf->step_slot_us /
							   conf->step_us
						 : 0,
			.cross_dc_ms = conf->distance_ms,
			.cache_ttl = FLEET_CACHE_TTL_MS,
			.connect_ms = FLEET_CONNECT_MS,
		},
		.random = proxyd_random,
		.is_connected = is_connected,
		.on_added = on_worker_added,
		.on_removed = on_worker_removed,
		.ctx = proxyd,
	};
	struct member_options member = {
		.ops = &peer_member_ops,
		.ctx = proxyd,
		.period = PROBE_PERIOD_MS,
		.ack_timeout = PROBE_PERIOD_MS / 2,
		.suspicion_timeout = SUSPICION_MS,
		.dead_retention = DEAD_RETENTION_MS,
		.sync_period = SYNC_PERIOD_MS,
	};
	struct member_update self = { .state = MEMBER_ALIVE };

	build_incarnation(self.incarnation, conf->name,
			  g_rand_int(proxyd->rand));
	g_strlcpy(self.http, conf->front, sizeof(self.http));
	g_strlcpy(self.rpc, proxyd->rpc_address, sizeof(self.rpc));
	g_strlcpy(self.data_centre, conf->data_centre,
		  sizeof(self.data_centre));
	proxyd->members = member_list_create(&self, &member);
	proxyd->fleet = fleet_create(&fleet);
	proxyd->quotas = g_hash_table_new(g_str_hash, g_str_equal);
	proxyd->builds_met = g_hash_table_new(NULL, NULL);
	proxyd->pools = g_hash_table_new(g_str_hash, g_str_equal);
	proxyd->quotas_by_key = g_hash_table_new(NULL, NULL);
	proxyd->open_requests = g_hash_table_new(NULL, NULL);
	wall_init(&proxyd->wall, g_get_real_time() / 1000, proxyd_boot_now());
	usage_init(&proxyd->usage, (clk_ms)(conf->usage_window_s * CLK_SECOND));
	lease_init(&proxyd->leader_lease, proxyd->conf->lease_ms);
}

static void loop_start(struct proxyd *proxyd)
{
	static const int signums[] = { SIGTERM, SIGINT, SIGHUP };

	due_init(&proxyd->loop, &proxyd->tick, on_tick, proxyd);
	due_start(&proxyd->tick, 1, TICK_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(signums); i++) {
		uv_signal_init(&proxyd->loop, &proxyd->signals[i]);
		proxyd->signals[i].data = proxyd;
		uv_signal_start(&proxyd->signals[i], on_signal, signums[i]);
	}
}

static void on_budget_log(bool is_warning, const char *event,
			  const char *fields)
{
	slog(is_warning ? SLOG_WARN : SLOG_INFO, event, "%s", fields);
}

static void budget_begin(struct proxyd *proxyd)
{
	const struct conf_proxy *conf = proxyd->conf;
	struct budget_options options = {
		.loop = &proxyd->loop,
		.limit = budget_limit(conf->budget_mb, conf->memory_mb),
		.memory_mb = conf->memory_mb,
		.descriptors = conf->descriptors,
		.log = on_budget_log,
	};

	budget_start(&options);
}

/* Loads the settings and starts all parts of the process. */
static bool proxyd_open(struct proxyd *proxyd, const char *path, GError **error)
{
	struct conf_proxy *conf = conf_load(CONF_PROXY, path, error);

	if (!conf)
		return false;
	proxyd->conf = conf;
	proxyd->settings_path = path;
	proxyd->settings_changed_at = settings_mtime(path);
	proxyd->rand = g_rand_new();
	uv_loop_init(&proxyd->loop);
	if (conf->trace_file[0]) {
		proxyd->tracer = trace_open(conf->trace_file, conf->name,
					    proxyd->rand, error);
		if (!proxyd->tracer)
			return false;
	}
	slog_open(&proxyd->loop, conf->name, slog_level_parse(conf->log_level),
		  (int)conf->log_rate);
	budget_begin(proxyd);
	if (!listen_all(proxyd, error))
		return false;
	proxyd->started_at = proxyd_now(proxyd);
	clients_create(proxyd);
	state_create(proxyd);
	front_start(proxyd);
	rollout_start(proxyd);
	follow_start(proxyd);
	peer_start(proxyd);
	report_start(proxyd);
	speed_start(proxyd);
	group_start(proxyd);
	guard_start(proxyd);
	permit_start(proxyd);
	resume_start(proxyd);
	probe_start(proxyd);
	process_start(proxyd);
	reach_start(proxyd);
	forward_start(proxyd);
	queue_start(proxyd);
	leader_start(proxyd);
	kv_set_era_fn(proxyd->kv, on_store_era, proxyd);
	loop_start(proxyd);
	return true;
}

int main(int argc, const char **argv)
{
	static struct proxyd proxyd;
	GError *error = NULL;
	const char *path = args_settings_file(argc, argv);

	if (!path)
		return EXIT_FAILURE;
	signal(SIGPIPE, SIG_IGN);
	if (!proxyd_open(&proxyd, path, &error)) {
		fprintf(stderr, "rw-proxyd: %s\n", error->message);
		return EXIT_FAILURE;
	}
	slog(SLOG_NOTICE, "started", "data_centre=%s front=%s incarnation=%s",
	     proxyd.conf->data_centre, proxyd.conf->front,
	     proxyd.members->self.incarnation);
	uv_run(&proxyd.loop, UV_RUN_DEFAULT);
	slog_flush();
	return EXIT_SUCCESS;
}
