/* Orders of roll-outs, the stored plan, evidence and verdict. */
#include "rollout.h"

#include <string.h>
#include <xxhash.h>

#include "../decide/fleet.h"
#include "../wire/json.h"
#include "../wire/slog.h"

/* Evidence is sent so many times within the roll-back timeout, at most once in
 * SEND_MAX_MS. */
#define SENDS_PER_TIMEOUT 8
#define SENDS_PER_ROLLOUT 16 /* at least */
#define SEND_MIN_MS 100
#define SEND_MAX_MS 1000
/* After a final phase hosts that lack it are still told, and a completed target
 * is preferred: the old workers stop, and their entries go later. */
#define AFTERMATH_MS 10000
/* Of an order that was withdrawn the target is left out for this time, in which
 * its workers drain. */
#define WITHDRAWN_MS 30000
/* An order that is read so soon after a start may be older: the plan says when
 * it was first seen. */
#define START_MS 5000
#define RETRY_MS 500 /* after a call to the store that failed */
/* From a shift until all hosts have sent what they had for old workers. */
#define SHIFT_SETTLE_MS 2000
/* Of the tolerance, that hosts use before they have seen many requests: some
 * may be counted twice by a partition or a restart. */
#define CREDIT_SHARE 0.25

struct service {
	struct rollouts *rollouts;
	char *name;
	char *order; /* identifies it; NULL: there is none */
	unsigned number;
	char *target;
	uint32_t target_key; /* 0: not known */
	clk_ms duration;     /* 0: the order can't be carried out */
	clk_ms seen_at;	     /* when this host has, or another one had */
	clk_ms withdrawn_at; /* 0: it was not */
	clk_ms phase_at;     /* since when the phase is known here */
	struct rollout_host host;
	struct rollout_leader leader;
	/* Targets of former orders that were not completed; the oldest first.
	 */
	char *barred[FLEET_BARRED_MAX];
	/* The plan in the store. */
	int64_t plan_revision; /* 0: there is none */
	char *plan_order;      /* NULL: none */
	enum rollout_phase plan_phase;
	/* The leader's calls. */
	enum rollout_phase write_phase; /* of the plan that is being written */
	char *write_order;
	bool call_pending;
	clk_ms next_call;
	bool status_read;
	int64_t status_revision;
	char *status; /* in the store; NULL: none */
	char *status_write;
};

struct rollouts {
	struct kv *kv;
	struct rollout_options options;
	const struct rollout_ops *ops;
	void *ctx;
	GHashTable *services; /* name -> struct service */
	unsigned orders;
	clk_ms started_at;
	clk_ms next_send;
	clk_ms restored_at; /* the store last was; 0: never */
	bool led;	    /* this host was the leader at the last tick */
};

static clk_ms now_of(const struct rollouts *rollouts)
{
	return rollouts->ops->now(rollouts->ctx);
}

struct rollouts *rollouts_create(struct kv *kv,
				 const struct rollout_options *options,
				 const struct rollout_ops *ops, void *ctx)
{
	struct rollouts *rollouts = g_new0(struct rollouts, 1);

	rollouts->kv = kv;
	rollouts->options = *options;
	rollouts->ops = ops;
	rollouts->ctx = ctx;
	rollouts->services = g_hash_table_new(g_str_hash, g_str_equal);
	rollouts->started_at = now_of(rollouts);
	return rollouts;
}

static struct service *service_find(const struct rollouts *rollouts,
				    const char *name)
{
	return g_hash_table_lookup(rollouts->services, name);
}

static struct service *service_get(struct rollouts *rollouts, const char *name)
{
	struct service *service = service_find(rollouts, name);

	if (service)
		return service;
	service = g_new0(struct service, 1);
	service->rollouts = rollouts;
	service->name = g_strdup(name);
	service->target = g_strdup("");
	rollout_table_init(&service->host.counts);
	rollout_leader_init(&service->leader);
	g_hash_table_insert(rollouts->services, service->name, service);
	return service;
}

void rollouts_set_options(struct rollouts *rollouts,
			  const struct rollout_options *options)
{
	GHashTableIter iter;
	gpointer value;

	rollouts->options = *options;
	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct service *)value)->host.share = options->share;
}

/* Enters a phase; a final one is left only if the stored plan, which decides,
 * says another. */
static void phase_enter(struct service *service, enum rollout_phase phase,
			const char *why, bool stored)
{
	enum rollout_phase old = service->host.phase;

	if (phase == old ||
	    (rollout_is_final(old) && !(stored && rollout_is_final(phase))))
		return;
	if (old == ROLLOUT_SHIFTED && phase == ROLLOUT_LIMITED)
		return;
	service->host.phase = phase;
	service->phase_at = now_of(service->rollouts);
	service->rollouts->ops->step(service->rollouts->ctx, phase);
	slog(SLOG_NOTICE, "rollout",
	     "service=%s order=%s target=%s requests=%" G_GUINT64_FORMAT
	     " exposed=%" G_GUINT64_FORMAT " outcome=%s why=%s",
	     service->name, service->order, service->target,
	     service->host.requests, service->host.exposed,
	     rollout_phase_name(phase), why);
}

/* Bars a version, or allows it. */
static void version_bar(struct service *service, const char *version, bool bars)
{
	unsigned kept = 0;

	for (unsigned i = 0; i < FLEET_BARRED_MAX; i++) {
		char *known = service->barred[i];

		service->barred[i] = NULL;
		if (known && strcmp(known, version) != 0)
			service->barred[kept++] = known;
		else
			g_free(known);
	}
	if (!bars || !version[0])
		return;
	if (kept == FLEET_BARRED_MAX) {
		g_free(service->barred[0]);
		memmove(service->barred, service->barred + 1,
			--kept * sizeof(service->barred[0]));
	}
	service->barred[kept] = g_strdup(version);
}

/* Forgets the evidence of a former order. */
static void service_reset(struct service *service)
{
	struct rollouts *rollouts = service->rollouts;
	unsigned hosts = rollouts->ops->host_count(rollouts->ctx);

	rollout_table_clear(&service->host.counts);
	service->host = (struct rollout_host){
		.share = rollouts->options.share,
		.credit = (uint64_t)(rollouts->options.tolerance *
				     CREDIT_SHARE / MAX(hosts, 1)),
	};
	rollout_table_init(&service->host.counts);
	rollout_leader_clear(&service->leader);
	rollout_leader_init(&service->leader);
	service->withdrawn_at = 0;
	service->phase_at = 0;
	/* Somebody else may have changed it since. */
	service->status_read = false;
	service->number = ++rollouts->orders;
	service->seen_at = now_of(rollouts);
}

/* The order is not in the store any more. */
static void order_withdraw(struct service *service)
{
	if (!service->order || service->withdrawn_at)
		return;
	service->withdrawn_at = now_of(service->rollouts);
	slog(SLOG_NOTICE, "rollout",
	     "service=%s order=%s target=%s phase=%s outcome=withdrawn",
	     service->name, service->order, service->target,
	     rollout_phase_name(service->host.phase));
	phase_enter(service, ROLLOUT_ROLLED_BACK, "withdrawn", false);
}

/* Identifies an order by its revision and text: the store may come back from an
 * older copy with the same one, which is no new order. */
static char *order_id(const struct store_item *item)
{
	gsize len;
	const char *ptr = g_bytes_get_data(item->value, &len);

	return g_strdup_printf("%" G_GINT64_FORMAT "-%08x",
			       kv_revision_plain(item->mod),
			       (unsigned)XXH32(ptr, len, 0));
}

/* Applies what is known of the stored plan to the order. */
static void plan_apply(struct service *service)
{
	if (service->order && service->plan_order &&
	    !strcmp(service->order, service->plan_order))
		phase_enter(service, service->plan_phase, "plan", true);
}

void rollouts_on_order(struct rollouts *rollouts, const struct store_item *item)
{
	const char *name = item->key + strlen(ROLLOUT_ORDER_PREFIX);
	struct service *service = service_get(rollouts, name);
	struct rollout_order order;
	GError *error = NULL;
	char *id;

	if (!item->value) {
		order_withdraw(service);
		return;
	}
	id = order_id(item);
	if (service->order && !strcmp(service->order, id)) {
		g_free(id);
		return;
	}
	rollout_order_decode(name, item->value, &order, &error);
	slog(error ? SLOG_WARN : SLOG_NOTICE, "rollout",
	     "service=%s order=%s target=%s duration_ms=%" G_GINT64_FORMAT
	     " replaces=%s cause=\"%s\" outcome=%s",
	     name, id, order.target, order.duration,
	     service->order ? service->order : "none",
	     error ? error->message : "", error ? "not_usable" : "ordered");
	g_clear_error(&error);
	/* Nobody has found the former target sound. */
	if (service->order)
		version_bar(service, service->target,
			    service->host.phase != ROLLOUT_COMPLETED);
	version_bar(service, order.target, false);
	g_free(service->order);
	g_free(service->target);
	service->order = id;
	service->target = g_strdup(order.target);
	service->target_key =
		order.target[0] ? fleet_version_key(order.target) : 0;
	service->duration = order.duration;
	rollout_order_clear(&order);
	service_reset(service);
	if (service->duration == 0)
		phase_enter(service, ROLLOUT_ROLLED_BACK, "not_usable", false);
	plan_apply(service);
}

/* Bars the versions that a plan lists. */
static void barred_read(struct service *service, struct json_object *obj)
{
	struct json_object *list;

	if (!json_object_object_get_ex(obj, "barred", &list) ||
	    !json_object_is_type(list, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		const char *version = json_object_get_string(
			json_object_array_get_idx(list, i));

		if (version && strcmp(version, service->target) != 0)
			version_bar(service, version, true);
	}
}

void rollouts_on_plan(struct rollouts *rollouts, const struct store_item *item)
{
	struct service *service =
		service_get(rollouts, item->key + strlen(ROLLOUT_PLAN_PREFIX));
	struct json_object *obj = NULL;
	clk_ms now = now_of(rollouts);
	clk_ms age;
	gsize len;
	const char *ptr;

	g_clear_pointer(&service->plan_order, g_free);
	service->plan_revision = item->value ? item->mod : 0;
	if (!item->value)
		return;
	ptr = g_bytes_get_data(item->value, &len);
	obj = json_parse_object(ptr, len);
	if (!obj) {
		slog(SLOG_WARN, "rollout",
		     "service=%s revision=%" G_GINT64_FORMAT
		     " outcome=plan_not_usable",
		     service->name, item->mod);
		return;
	}
	service->plan_order = g_strdup(json_text(obj, "order", ""));
	service->plan_phase = ROLLOUT_LIMITED;
	for (int phase = 0; phase <= ROLLOUT_ROLLED_BACK; phase++)
		if (!strcmp(json_text(obj, "phase", ""),
			    rollout_phase_name((enum rollout_phase)phase)))
			service->plan_phase = (enum rollout_phase)phase;
	age = rollouts->ops->wall(rollouts->ctx) -
	      json_int(obj, "ordered_at", 0);
	if (service->order && !strcmp(service->order, service->plan_order))
		barred_read(service, obj);
	json_object_put(obj);
	if (service->order && !strcmp(service->order, service->plan_order) &&
	    now - rollouts->started_at < START_MS)
		service->seen_at = MIN(service->seen_at,
				       now - CLAMP(age, 0, service->duration));
	plan_apply(service);
}

/* The leader's calls. */

static void status_update(struct service *service);

static void on_plan_written(void *ctx, enum kv_outcome outcome,
			    int64_t revision)
{
	struct service *service = ctx;
	clk_ms now = now_of(service->rollouts);

	service->call_pending = false;
	if (outcome == KV_OK) {
		g_free(service->plan_order);
		service->plan_order = g_strdup(service->write_order);
		service->plan_phase = service->write_phase;
		service->plan_revision = revision;
		plan_apply(service);
		/* The next tick may be too late for a short roll-out. */
		if (service->rollouts->ops->leads(service->rollouts->ctx) &&
		    !strcmp(service->plan_order, service->order) &&
		    service->plan_phase == service->host.phase)
			status_update(service);
	} else {
		/* Another leader's write, or a lost response: the plan arrives
		 * by the watch. */
		service->next_call = now + RETRY_MS;
		slog(SLOG_WARN, "rollout",
		     "service=%s order=%s phase=%s outcome=plan_not_written "
		     "conflict=%d",
		     service->name, service->write_order,
		     rollout_phase_name(service->write_phase),
		     outcome == KV_CONFLICT);
	}
}

static struct json_object *barred_list(const struct service *service)
{
	struct json_object *list = json_object_new_array();

	for (unsigned i = 0; i < FLEET_BARRED_MAX && service->barred[i]; i++)
		json_object_array_add(
			list, json_object_new_string(service->barred[i]));
	return list;
}

/* Writes the plan before anything follows from it. */
static void plan_write(struct service *service, enum rollout_phase phase)
{
	struct rollouts *rollouts = service->rollouts;
	struct json_object *obj = json_object_new_object();
	char *key = g_strconcat(ROLLOUT_PLAN_PREFIX, service->name, NULL);
	size_t len;

	json_add_text(obj, "order", service->order);
	json_add_text(obj, "target", service->target);
	json_add_text(obj, "phase", rollout_phase_name(phase));
	json_object_object_add(obj, "barred", barred_list(service));
	json_add_int(obj, "ordered_at",
		     rollouts->ops->wall(rollouts->ctx) -
			     (now_of(rollouts) - service->seen_at));
	g_free(service->write_order);
	service->write_order = g_strdup(service->order);
	service->write_phase = phase;
	service->call_pending = true;
	kv_change(rollouts->kv,
		  &(struct kv_change){
			  .key = key,
			  .value = json_print(obj, &len),
			  .expected_revision = service->plan_revision,
		  },
		  on_plan_written, service);
	json_object_put(obj);
	g_free(key);
}

static void status_set(struct service *service, char *text, int64_t revision)
{
	g_free(service->status);
	service->status = text;
	service->status_revision = revision;
	service->status_read = true;
}

static void on_status_read(void *ctx, enum kv_outcome outcome,
			   const struct kv_page *page)
{
	struct service *service = ctx;
	char *key = g_strconcat(ROLLOUT_STATUS_PREFIX, service->name, NULL);

	service->call_pending = false;
	if (outcome != KV_OK) {
		service->next_call = now_of(service->rollouts) + RETRY_MS;
		g_free(key);
		return;
	}
	status_set(service, NULL, 0);
	for (size_t i = 0; i < page->count; i++) {
		const struct kv_item *item = &page->items[i];
		gsize len;
		const char *ptr;

		if (strcmp(item->key, key) != 0 || !item->value)
			continue;
		ptr = g_bytes_get_data(item->value, &len);
		status_set(service, g_strndup(ptr, len), item->revision);
	}
	g_free(key);
}

static void on_status_written(void *ctx, enum kv_outcome outcome,
			      int64_t revision)
{
	struct service *service = ctx;

	service->call_pending = false;
	slog(outcome == KV_OK ? SLOG_NOTICE : SLOG_WARN, "rollout",
	     "service=%s status=%s outcome=%s", service->name,
	     service->status_write,
	     outcome == KV_OK ? "status_written" : "status_not_written");
	if (outcome == KV_OK) {
		status_set(service, g_strdup(service->status_write), revision);
		return;
	}
	service->status_read = false;
	service->next_call = now_of(service->rollouts) + RETRY_MS;
}

/* Makes the status that of the stored plan. */
static void status_update(struct service *service)
{
	struct rollouts *rollouts = service->rollouts;
	char *key = g_strconcat(ROLLOUT_STATUS_PREFIX, service->name, NULL);
	char *text =
		rollout_status_encode(service->plan_phase, service->target);

	if (!service->status_read) {
		service->call_pending = true;
		kv_range(rollouts->kv, key, "", false, on_status_read, service);
	} else if (!service->status || strcmp(service->status, text) != 0) {
		service->call_pending = true;
		g_free(service->status_write);
		service->status_write = g_strdup(text);
		kv_change(rollouts->kv,
			  &(struct kv_change){
				  .key = key,
				  .value = text,
				  .expected_revision = service->status_revision,
			  },
			  on_status_written, service);
	}
	g_free(text);
	g_free(key);
}

static void decision_log(const struct service *service,
			 const struct rollout_decision *decision)
{
	slog(SLOG_NOTICE, "rollout",
	     "service=%s order=%s target=%s age_ms=%" G_GINT64_FORMAT
	     " duration_ms=%" G_GINT64_FORMAT
	     " hosts=%u target_ended=%" G_GUINT64_FORMAT
	     " target_failed=%" G_GUINT64_FORMAT
	     " others_ended=%" G_GUINT64_FORMAT
	     " others_failed=%" G_GUINT64_FORMAT
	     " fault=%s route=\"%s\" target_value=%.4g others_value=%.4g "
	     "decided=%s why=%s",
	     service->name, service->order, service->target,
	     now_of(service->rollouts) - service->seen_at, service->duration,
	     g_hash_table_size(service->leader.hosts),
	     decision->ended[ROLLOUT_TARGET], decision->failed[ROLLOUT_TARGET],
	     decision->ended[ROLLOUT_OTHERS], decision->failed[ROLLOUT_OTHERS],
	     rollout_fault_name(decision->finding.fault),
	     decision->finding.route, decision->finding.target,
	     decision->finding.others, rollout_phase_name(decision->phase),
	     decision->why);
}

/* Judges the target by all hosts' evidence, once in a period. */
static void verdict_reach(struct service *service)
{
	struct rollouts *rollouts = service->rollouts;
	clk_ms now = now_of(rollouts);
	struct rollout_plan plan = {
		.ordered_at = service->seen_at,
		.duration = service->duration,
		.phase = service->host.phase,
	};
	struct rollout_view view = rollouts->ops->view(
		rollouts->ctx, service->name, service->target);
	struct rollout_decision decision;

	view.is_idle &= now - service->phase_at >= SHIFT_SETTLE_MS;
	decision = rollout_decide(&service->leader, &plan, &view, now);
	if (decision.phase == service->host.phase)
		return;
	decision_log(service, &decision);
	/* To stop needs no write: the next leader would find the same. */
	if (decision.phase == ROLLOUT_ROLLED_BACK)
		phase_enter(service, decision.phase, decision.why, false);
	if (!service->call_pending)
		plan_write(service, decision.phase);
}

/* The leader's part for one service; judges: a period has ended. */
static void service_lead(struct service *service, bool judges)
{
	bool has_plan = service->plan_order &&
			!strcmp(service->plan_order, service->order);

	if (judges && !rollout_is_final(service->host.phase))
		verdict_reach(service);
	if (service->call_pending ||
	    now_of(service->rollouts) < service->next_call)
		return;
	if (!has_plan || service->plan_phase != service->host.phase)
		plan_write(service, service->host.phase);
	else
		status_update(service);
}

/* Evidence. */

static void table_copy(struct rollout_table *to,
		       const struct rollout_table *from)
{
	for (guint i = 0; i < from->rows->len; i++) {
		const struct rollout_row *row =
			g_ptr_array_index(from->rows, i);
		struct rollout_row *copy = rollout_table_row(to, row->route);

		if (copy)
			memcpy(copy->sides, row->sides, sizeof(copy->sides));
	}
}

static w_rollout message_of(const struct service *service, bool answer)
{
	const struct rollouts *rollouts = service->rollouts;

	return (w_rollout){
		.process = (char *)rollouts->ops->process(rollouts->ctx),
		.service = service->name,
		.order = service->order,
		.phase = service->host.phase,
		.answer = answer,
	};
}

/* Returns how many buckets there are up to the last one that counts anything.
 */
static u_int buckets_used(const struct rollout_counts *counts)
{
	u_int used = ROLLOUT_BUCKETS;

	while (used > 0 && counts->times[used - 1] == 0)
		used--;
	return used;
}

static void evidence_send(struct service *service)
{
	struct rollouts *rollouts = service->rollouts;
	const GPtrArray *rows = service->host.counts.rows;
	w_rollout message = message_of(service, false);
	w_rollout_row *wire =
		g_new0(w_rollout_row, (gsize)rows->len * ROLLOUT_SIDES);

	message.rows.rows_val = wire;
	for (guint i = 0; i < rows->len; i++) {
		struct rollout_row *row = g_ptr_array_index(rows, i);

		for (int side = 0; side < ROLLOUT_SIDES; side++) {
			struct rollout_counts *counts = &row->sides[side];

			wire[message.rows.rows_len++] = (w_rollout_row){
				.route = row->route,
				.target = side == ROLLOUT_TARGET,
				.ended = counts->ended,
				.failed = counts->failed,
				.times = { buckets_used(counts),
					   counts->times },
			};
		}
	}
	rollouts->ops->send(rollouts->ctx, &message, NULL);
	g_free(wire);
}

/* Stops sending to the target if this host's own counts show that it is bad. */
static void host_judge(struct service *service)
{
	struct rollout_host *host = &service->host;
	struct rollout_finding finding;

	if (host->stopped || rollout_is_final(host->phase))
		return;
	finding = rollout_compare(&host->counts, host->phase);
	if (finding.fault == ROLLOUT_SOUND)
		return;
	host->stopped = true;
	slog(SLOG_WARN, "rollout",
	     "service=%s order=%s target=%s fault=%s route=\"%s\" "
	     "target_value=%.4g others_value=%.4g outcome=stopped_here",
	     service->name, service->order, service->target,
	     rollout_fault_name(finding.fault), finding.route, finding.target,
	     finding.others);
}

static bool message_is_valid(const w_rollout *message)
{
	if (message->phase > ROLLOUT_ROLLED_BACK)
		return false;
	for (u_int i = 0; i < message->rows.rows_len; i++) {
		const w_rollout_row *row = &message->rows.rows_val[i];

		if (row->times.times_len > ROLLOUT_BUCKETS ||
		    row->failed > row->ended)
			return false;
	}
	return true;
}

void rollouts_on_message(struct rollouts *rollouts, const w_rollout *message)
{
	struct service *service = service_find(rollouts, message->service);
	struct rollout_table *table;

	if (!message_is_valid(message)) {
		slog(SLOG_WARN, "rollout",
		     "process=%s service=%s outcome=message_not_usable",
		     message->process, message->service);
		return;
	}
	/* Of an order that this host has not read, or does no more follow. */
	if (!service || !service->order ||
	    strcmp(service->order, message->order) != 0)
		return;
	if (message->phase > service->host.phase) {
		phase_enter(service, (enum rollout_phase)message->phase, "told",
			    false);
	} else if (message->phase < service->host.phase && !message->answer) {
		w_rollout answer = message_of(service, true);

		rollouts->ops->send(rollouts->ctx, &answer, message->process);
	}
	if (message->rows.rows_len == 0)
		return;
	table = rollout_leader_host(&service->leader, message->process);
	for (u_int i = 0; i < message->rows.rows_len; i++) {
		const w_rollout_row *wire = &message->rows.rows_val[i];
		struct rollout_row *row = rollout_table_row(table, wire->route);
		struct rollout_counts *counts;

		if (!row)
			continue;
		counts = &row->sides[wire->target ? ROLLOUT_TARGET
						  : ROLLOUT_OTHERS];
		/* Messages may overtake each other. */
		if (wire->ended < counts->ended)
			continue;
		counts->ended = wire->ended;
		counts->failed = wire->failed;
		for (u_int at = 0; at < wire->times.times_len; at++)
			counts->times[at] = wire->times.times_val[at];
	}
}

/* What the store says of the status is not known any more. */
static void status_forget(struct rollouts *rollouts)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct service *)value)->status_read = false;
}

/* Whether anything is to be done for an order. */
static bool is_active(const struct service *service)
{
	clk_ms now = now_of(service->rollouts);

	return service->order && (!rollout_is_final(service->host.phase) ||
				  now - service->phase_at < AFTERMATH_MS);
}

/* Returns the time between two messages, and two verdicts. */
static clk_ms period_of(const struct rollouts *rollouts)
{
	clk_ms period =
		MIN(rollouts->options.rollback_timeout / SENDS_PER_TIMEOUT,
		    SEND_MAX_MS);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service *service = value;

		if (is_active(service) && service->duration > 0)
			period = MIN(period,
				     service->duration / SENDS_PER_ROLLOUT);
	}
	return MAX(period, SEND_MIN_MS);
}

void rollouts_tick(struct rollouts *rollouts, clk_ms restored_at)
{
	clk_ms now = now_of(rollouts);
	bool leads;
	bool due = now >= rollouts->next_send;
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(rollouts->services) == 0)
		return;
	leads = rollouts->ops->leads(rollouts->ctx);
	if ((leads && !rollouts->led) || restored_at != rollouts->restored_at)
		status_forget(rollouts);
	rollouts->led = leads;
	rollouts->restored_at = restored_at;
	if (due)
		rollouts->next_send = now + period_of(rollouts);
	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service *service = value;

		if (due && is_active(service)) {
			host_judge(service);
			table_copy(rollout_leader_host(&service->leader,
						       rollouts->ops->process(
							       rollouts->ctx)),
				   &service->host.counts);
			evidence_send(service);
		}
		if (leads && service->order)
			service_lead(service, due);
	}
}

/* Requests. */

/* Returns the service if an order for it changes its routing. */
static struct service *routed_find(const struct rollouts *rollouts,
				   const char *name)
{
	struct service *service;
	clk_ms now;

	if (g_hash_table_size(rollouts->services) == 0)
		return NULL;
	service = service_find(rollouts, name);
	if (!service || !service->order || !service->target_key)
		return NULL;
	now = now_of(rollouts);
	if ((service->withdrawn_at &&
	     now - service->withdrawn_at > WITHDRAWN_MS) ||
	    (service->host.phase == ROLLOUT_COMPLETED &&
	     now - service->phase_at > AFTERMATH_MS))
		return NULL;
	return service;
}

unsigned rollouts_order(const struct rollouts *rollouts, const char *service)
{
	const struct service *found = routed_find(rollouts, service);

	return found ? found->number : 0;
}

uint32_t rollouts_target(const struct rollouts *rollouts, const char *service)
{
	const struct service *found = routed_find(rollouts, service);

	return found ? found->target_key : 0;
}

void rollouts_barred(const struct rollouts *rollouts, const char *service,
		     uint32_t *keys)
{
	const struct service *found = routed_find(rollouts, service);

	for (unsigned i = 0; i < FLEET_BARRED_MAX; i++)
		keys[i] = found && found->barred[i]
				  ? fleet_version_key(found->barred[i])
				  : 0;
}

bool rollouts_bars(const struct rollouts *rollouts, const char *service)
{
	const struct service *found = routed_find(rollouts, service);

	return found && found->host.phase == ROLLOUT_ROLLED_BACK;
}

bool rollouts_limits(const struct rollouts *rollouts, const char *service)
{
	const struct service *found = routed_find(rollouts, service);

	return found && found->host.phase == ROLLOUT_LIMITED;
}

void rollouts_count_request(struct rollouts *rollouts, const char *service)
{
	struct service *found = routed_find(rollouts, service);

	if (found)
		found->host.requests++;
}

enum rollout_placing rollouts_place(const struct rollouts *rollouts,
				    const char *service)
{
	const struct service *found = routed_find(rollouts, service);

	if (!found)
		return ROLLOUT_ANYWHERE;
	return rollout_may_expose(&found->host) ? ROLLOUT_TARGET_FIRST
						: ROLLOUT_NOT_TARGET;
}

void rollouts_count_exposed(struct rollouts *rollouts, const char *service)
{
	struct service *found = routed_find(rollouts, service);

	if (found)
		found->host.exposed++;
}

/* Returns the table of an order that still is the service's. */
static struct rollout_table *table_of(struct rollouts *rollouts,
				      const char *service, unsigned order)
{
	struct service *found = routed_find(rollouts, service);

	return found && found->number == order ? &found->host.counts : NULL;
}

void rollouts_count_end(struct rollouts *rollouts, const char *service,
			unsigned order, const char *route,
			enum rollout_side side, bool failed)
{
	struct rollout_table *table = table_of(rollouts, service, order);

	if (table)
		rollout_count_end(table, route, side, failed);
}

void rollouts_count_time(struct rollouts *rollouts, const char *service,
			 unsigned order, const char *route,
			 enum rollout_side side, clk_ms time)
{
	struct rollout_table *table = table_of(rollouts, service, order);

	if (table)
		rollout_count_time(table, route, side, time);
}
