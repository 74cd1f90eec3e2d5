/* Made by tools/gen-settings.py of schema/settings.json. */
#include "conf.h"

#include <stddef.h>

static const char *const entry_log_level_choices[] = { "error",	 "warn",
						       "notice", "info",
						       "debug",	 NULL };

static const struct conf_field entry_fields[] = {
	{
		.name = "name",
		.type = CONF_TYPE_NAME,
		.offset = offsetof(struct conf_entry, name),
		.required = true,
	},
	{
		.name = "data_centre",
		.type = CONF_TYPE_NAME,
		.offset = offsetof(struct conf_entry, data_centre),
		.required = true,
	},
	{
		.name = "address",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_entry, address),
		.fallback = "127.0.0.1",
	},
	{
		.name = "http_port",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, http_port),
		.min = 0,
		.max = 65535,
		.fallback = "0",
	},
	{
		.name = "rpc_port",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, rpc_port),
		.required = true,
		.min = 1,
		.max = 65535,
	},
	{
		.name = "platform",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_entry, platform),
		.required = true,
	},
	{
		.name = "seeds",
		.type = CONF_TYPE_LIST,
		.offset = offsetof(struct conf_entry, seeds),
	},
	{
		.name = "max_body_bytes",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, max_body_bytes),
		.min = 1024,
		.max = 16777216,
		.fallback = "1048576",
	},
	{
		.name = "queue_max",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, queue_max),
		.min = 1,
		.max = 1000000,
		.fallback = "2000",
	},
	{
		.name = "drain_ms",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, drain_ms),
		.min = 0,
		.max = 3600000,
		.fallback = "120000",
	},
	{
		.name = "retention_ms",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, retention_ms),
		.min = 1000,
		.max = 86400000,
		.fallback = "600000",
	},
	{
		.name = "answer_keep_ms",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, answer_keep_ms),
		.min = 1000,
		.max = 86400000,
		.fallback = "60000",
	},
	{
		.name = "probe_period_ms",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, probe_period_ms),
		.min = 50,
		.max = 60000,
		.fallback = "500",
	},
	{
		.name = "suspicion_ms",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, suspicion_ms),
		.min = 100,
		.max = 60000,
		.fallback = "1500",
	},
	{
		.name = "guard",
		.type = CONF_TYPE_BOOL,
		.offset = offsetof(struct conf_entry, guard),
		.fallback = "true",
	},
	{
		.name = "loss_percent",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, loss_percent),
		.min = 0,
		.max = 90,
		.fallback = "0",
	},
	{
		.name = "seed",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_entry, seed),
		.min = 0,
		.max = 2147483647,
		.fallback = "0",
	},
	{
		.name = "log_level",
		.type = CONF_TYPE_CHOICE,
		.offset = offsetof(struct conf_entry, log_level),
		.fallback = "notice",
		.choices = entry_log_level_choices,
	},
	{
		.name = "log_file",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_entry, log_file),
	},
	{
		.name = "trace_file",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_entry, trace_file),
	},
};

static const char *const admin_log_level_choices[] = { "error",	 "warn",
						       "notice", "info",
						       "debug",	 NULL };

static const struct conf_field admin_fields[] = {
	{
		.name = "address",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_admin, address),
		.fallback = "127.0.0.1",
	},
	{
		.name = "http_port",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_admin, http_port),
		.min = 0,
		.max = 65535,
		.fallback = "0",
	},
	{
		.name = "platform",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_admin, platform),
		.required = true,
	},
	{
		.name = "entries",
		.type = CONF_TYPE_LIST,
		.offset = offsetof(struct conf_admin, entries),
	},
	{
		.name = "history_max",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_admin, history_max),
		.min = 0,
		.max = 100,
		.fallback = "8",
	},
	{
		.name = "log_level",
		.type = CONF_TYPE_CHOICE,
		.offset = offsetof(struct conf_admin, log_level),
		.fallback = "notice",
		.choices = admin_log_level_choices,
	},
	{
		.name = "log_file",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_admin, log_file),
	},
};

static const struct conf_field model_fields[] = {
	{
		.name = "pool",
		.type = CONF_TYPE_NAME,
		.offset = offsetof(struct conf_model, pool),
		.required = true,
	},
	{
		.name = "version",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_model, version),
	},
	{
		.name = "adapter",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_model, adapter),
	},
	{
		.name = "priority",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_model, priority),
		.min = 0,
		.max = 9,
		.fallback = "5",
	},
	{
		.name = "batch",
		.type = CONF_TYPE_BOOL,
		.offset = offsetof(struct conf_model, batch),
		.fallback = "false",
	},
	{
		.name = "max_tokens",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_model, max_tokens),
		.min = 1,
		.max = 100000,
		.fallback = "4096",
	},
	{
		.name = "deadline_ms",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_model, deadline_ms),
		.min = 100,
		.max = 86400000,
		.fallback = "120000",
	},
	{
		.name = "idle_ms",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_model, idle_ms),
		.min = 100,
		.max = 600000,
		.fallback = "5000",
	},
};

static const struct conf_field route_fields[] = {
	{
		.name = "pool",
		.type = CONF_TYPE_NAME,
		.offset = offsetof(struct conf_route, pool),
		.required = true,
	},
	{
		.name = "path",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_route, path),
		.required = true,
	},
	{
		.name = "idempotent",
		.type = CONF_TYPE_BOOL,
		.offset = offsetof(struct conf_route, idempotent),
		.required = true,
	},
	{
		.name = "fencing",
		.type = CONF_TYPE_BOOL,
		.offset = offsetof(struct conf_route, fencing),
		.fallback = "false",
	},
	{
		.name = "status_path",
		.type = CONF_TYPE_TEXT,
		.offset = offsetof(struct conf_route, status_path),
	},
	{
		.name = "not_run_status",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_route, not_run_status),
		.min = 0,
		.max = 599,
		.fallback = "0",
	},
	{
		.name = "priority",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_route, priority),
		.min = 0,
		.max = 9,
		.fallback = "2",
	},
	{
		.name = "deadline_ms",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_route, deadline_ms),
		.min = 100,
		.max = 86400000,
		.fallback = "15000",
	},
	{
		.name = "timeout_ms",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_route, timeout_ms),
		.min = 100,
		.max = 600000,
		.fallback = "10000",
	},
};

static const struct conf_field account_fields[] = {
	{
		.name = "weight",
		.type = CONF_TYPE_REAL,
		.offset = offsetof(struct conf_account, weight),
		.min = 0.001,
		.max = 1000,
		.fallback = "1",
	},
	{
		.name = "tokens_per_s",
		.type = CONF_TYPE_REAL,
		.offset = offsetof(struct conf_account, tokens_per_s),
		.min = 0,
		.max = 1000000000.0,
		.fallback = "0",
	},
};

static const char *const routing_policy_choices[] = {
	"cost", "random", "round_robin", "least_outstanding", NULL
};

static const struct conf_field routing_fields[] = {
	{
		.name = "policy",
		.type = CONF_TYPE_CHOICE,
		.offset = offsetof(struct conf_routing, policy),
		.fallback = "cost",
		.choices = routing_policy_choices,
	},
	{
		.name = "wait",
		.type = CONF_TYPE_REAL,
		.offset = offsetof(struct conf_routing, wait),
		.min = 0,
		.max = 1000,
		.fallback = "1",
	},
	{
		.name = "prefill",
		.type = CONF_TYPE_REAL,
		.offset = offsetof(struct conf_routing, prefill),
		.min = 0,
		.max = 1000,
		.fallback = "1",
	},
	{
		.name = "distance_ms",
		.type = CONF_TYPE_REAL,
		.offset = offsetof(struct conf_routing, distance_ms),
		.min = 0,
		.max = 10000,
		.fallback = "2",
	},
	{
		.name = "reclaim",
		.type = CONF_TYPE_REAL,
		.offset = offsetof(struct conf_routing, reclaim),
		.min = 0,
		.max = 1000,
		.fallback = "0.01",
	},
	{
		.name = "prefill_us",
		.type = CONF_TYPE_REAL,
		.offset = offsetof(struct conf_routing, prefill_us),
		.min = 0,
		.max = 100000,
		.fallback = "50",
	},
	{
		.name = "samples",
		.type = CONF_TYPE_INT,
		.offset = offsetof(struct conf_routing, samples),
		.min = 1,
		.max = 64,
		.fallback = "2",
	},
	{
		.name = "retry_share",
		.type = CONF_TYPE_REAL,
		.offset = offsetof(struct conf_routing, retry_share),
		.min = 0,
		.max = 1,
		.fallback = "0.04",
	},
};

const struct conf_spec conf_specs[CONF_KIND_COUNT] = {
	[CONF_ENTRY] = {
		.name = "entry",
		.size = sizeof(struct conf_entry),
		.fields = entry_fields,
		.count = sizeof(entry_fields) / sizeof(entry_fields[0]),
	},
	[CONF_ADMIN] = {
		.name = "admin",
		.size = sizeof(struct conf_admin),
		.fields = admin_fields,
		.count = sizeof(admin_fields) / sizeof(admin_fields[0]),
	},
	[CONF_MODEL] = {
		.name = "model",
		.size = sizeof(struct conf_model),
		.fields = model_fields,
		.count = sizeof(model_fields) / sizeof(model_fields[0]),
	},
	[CONF_ROUTE] = {
		.name = "route",
		.size = sizeof(struct conf_route),
		.fields = route_fields,
		.count = sizeof(route_fields) / sizeof(route_fields[0]),
	},
	[CONF_ACCOUNT] = {
		.name = "account",
		.size = sizeof(struct conf_account),
		.fields = account_fields,
		.count = sizeof(account_fields) / sizeof(account_fields[0]),
	},
	[CONF_ROUTING] = {
		.name = "routing",
		.size = sizeof(struct conf_routing),
		.fields = routing_fields,
		.count = sizeof(routing_fields) / sizeof(routing_fields[0]),
	},
};
