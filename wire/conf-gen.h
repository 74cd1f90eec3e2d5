/* Made by tools/gen-settings.py of schema/settings.json. */
#ifndef WIRE_CONF_GEN_H
#define WIRE_CONF_GEN_H

#include <stdbool.h>
#include <stdint.h>

/* The kinds of settings objects. */
enum conf_kind {
	CONF_ENTRY,
	CONF_PROXY,
	CONF_ADMIN,
	CONF_MODEL,
	CONF_ROUTE,
	CONF_ACCOUNT,
	CONF_ROUTING,
	CONF_SCENARIO,
	CONF_LOAD,
	CONF_CHANGE,
	CONF_KIND_COUNT,
};

/* The settings file of one rw-entryd process. */
struct conf_entry {
	char *name;
	char *data_centre;
	char *address;
	int64_t http_port;
	int64_t rpc_port;
	char *platform;
	char **seeds;
	int64_t memory_mb;
	int64_t budget_mb;
	int64_t descriptors;
	int64_t max_body_bytes;
	int64_t queue_max;
	int64_t drain_ms;
	int64_t retention_ms;
	int64_t answer_keep_ms;
	int64_t probe_period_ms;
	int64_t suspicion_ms;
	bool guard;
	int64_t loss_percent;
	int64_t seed;
	char *log_level;
	char *log_file;
	char *trace_file;
};

/* The settings file of one rw-proxyd process. */
struct conf_proxy {
	char *name;
	char *data_centre;
	char *address;
	char *front;
	char *ready;
	char *lookup;
	char **internal_ports;
	char **seeds;
	char *store;
	char *cloud;
	char **duties;
	bool first_start;
	int64_t memory_mb;
	int64_t budget_mb;
	int64_t descriptors;
	double cores;
	double grace_s;
	int64_t drain_ms;
	double retry_ratio;
	double retry_extra;
	double quota_tolerance;
	double exposure_share;
	double exposure_tolerance;
	int64_t rollback_timeout_ms;
	int64_t lease_ms;
	double usage_window_s;
	double usage_delay_s;
	double lookup_keep_s;
	int64_t connect_ms;
	int64_t start_wait_ms;
	double prefill_us;
	double step_us;
	double step_slot_us;
	double distance_ms;
	char *log_level;
	int64_t log_rate;
	char *trace_file;
};

/* The settings file of one rw-admind process. */
struct conf_admin {
	char *address;
	int64_t http_port;
	char *platform;
	char **entries;
	int64_t memory_mb;
	int64_t budget_mb;
	int64_t descriptors;
	int64_t history_max;
	char *log_level;
	char *log_file;
};

/* A model that a team offers: key <team>/model/<name>. */
struct conf_model {
	char *pool;
	char *version;
	char *adapter;
	int64_t priority;
	bool batch;
	int64_t max_tokens;
	int64_t deadline_ms;
	int64_t idle_ms;
};

/* A route to a plain service: key <team>/route/<name>. */
struct conf_route {
	char *pool;
	char *path;
	bool idempotent;
	bool fencing;
	char *status_path;
	int64_t not_run_status;
	int64_t priority;
	int64_t deadline_ms;
	int64_t timeout_ms;
};

/* An account of a team: key <team>/account/<name>. */
struct conf_account {
	double weight;
	double tokens_per_s;
};

/* How upstreams are selected: key <team>/routing/<pool>. */
struct conf_routing {
	char *policy;
	double wait;
	double prefill;
	double distance_ms;
	double reclaim;
	double prefill_us;
	int64_t samples;
	double retry_share;
};

/* A deployment that rw-sim simulates: the object "scenario" of its file. */
struct conf_scenario {
	int64_t hosts;
	int64_t data_centres;
	double length_s;
	int64_t report_ms;
	double distance_ms;
	double caller_ms;
	int64_t workers;
	int64_t slots;
	int64_t queue;
	double step_ms;
	double step_slot_ms;
	double prefill_us;
	double expected_us;
	double slow_share;
	double slow_factor;
	double pair_ms;
	int64_t chunk;
	int64_t stride;
	int64_t memory;
	int64_t service_workers;
	int64_t service_slots;
	int64_t service_queue;
	bool scaled;
	int64_t worker_min;
	int64_t worker_max;
	int64_t boot_ms;
	double spot_price;
	double worker_price;
	double swing;
	double swing_s;
	int64_t accounts;
	double account_limit;
	double limit_slack;
};

/* A kind of request of a scenario: an entry of the list "loads" of its file. */
struct conf_load {
	char *name;
	double rate;
	bool service;
	double worth;
	double late_worth;
	int64_t aim_ms;
	int64_t deadline_ms;
	int64_t urgency;
	int64_t attempts;
	bool repeats;
	int64_t returns;
	int64_t head_tokens;
	int64_t heads;
	int64_t session_tokens;
	int64_t sessions;
	int64_t own_tokens;
	double own_spread;
	int64_t own_max;
	int64_t answer_tokens;
	double answer_spread;
	int64_t answer_max;
	double work_ms;
	double work_spread;
};

/* An event in a scenario: an entry of the list "changes" of its file. */
struct conf_change {
	char *kind;
	double at_s;
	double for_s;
	double share;
	double x;
	char *load;
	int64_t data_centre;
	bool anywhere;
};

#endif
