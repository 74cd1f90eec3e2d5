/* Streams kept in the store. */
#include "streamlog.h"

#include <string.h>

#include "../decide/origin.h"
#include "../wire/slog.h"

#define LEASE_MS 60000
#define LEASE_RENEW_MS 20000
/* Keys of one process, written in turn: together they cover what may be taken
 * up. */
#define KEYS 128
#define ROWS_MAX 4096 /* that wait to be written */
/* With more hosts nothing is written: all are not lost at once, and those who
 * follow the store would have to read too much. */
#define HOSTS_MAX 64

struct streamlog {
	struct streamlog_options options;
	char *prefix;
	uv_timer_t timer; /* until this host's next turn, if rows wait */
	unsigned turn;
	bool disabled; /* there are too many hosts */
	GArray *rows;  /* struct origin_row, not written yet */
	guint pending; /* of these, the first ones are being written */
	int64_t revisions[KEYS];
	unsigned next_key;  /* of those of this era */
	unsigned first_key; /* number of the first of them */
	struct kv_lease lease;
	int64_t era; /* of the store, in which the keys are written; -1: none */
	clk_ms renew_at;
	clk_ms used_at; /* something was last written */
	bool calling;
	uint64_t dropped;
};

uint64_t streamlog_dropped(const struct streamlog *log)
{
	return log->dropped;
}

static clk_ms loop_now(const struct streamlog *log)
{
	return (clk_ms)uv_now(log->options.loop);
}

static void on_turn(uv_timer_t *timer);

/* Waits for this host's next turn if rows are to be written. */
static void turn_await(struct streamlog *log)
{
	clk_ms wall = log->options.wall(log->options.ctx);
	clk_ms phase =
		(clk_ms)log->turn * STREAMLOG_PERIOD_MS / STREAMLOG_WRITERS;

	if (log->rows->len == 0 || log->calling ||
	    uv_is_active((const uv_handle_t *)&log->timer))
		return;
	uv_timer_start(&log->timer, on_turn,
		       (uint64_t)(STREAMLOG_PERIOD_MS -
				  (wall + phase) % STREAMLOG_PERIOD_MS),
		       0);
}

void streamlog_add(struct streamlog *log, uint64_t stream, uint32_t version)
{
	struct origin_row row = { .stream = stream, .version = version };

	if (log->disabled || log->rows->len >= ROWS_MAX) {
		log->dropped++;
		return;
	}
	g_array_append_val(log->rows, row);
	turn_await(log);
}

static void on_renewed(void *ctx, enum kv_outcome outcome, int64_t ttl)
{
	struct streamlog *log = ctx;

	(void)ttl;
	log->calling = false;
	if (outcome == KV_NOT_FOUND)
		log->lease = (struct kv_lease){ 0 };
	turn_await(log);
}

static void on_written(void *ctx, enum kv_outcome outcome, int64_t revision)
{
	struct streamlog *log = ctx;

	log->calling = false;
	if (outcome == KV_OK) {
		log->revisions[log->next_key] = revision;
		g_array_remove_range(log->rows, 0, log->pending);
	} else
		slog(SLOG_NOTICE, "streams",
		     "rows=%u outcome=not_written cause=%d", log->pending,
		     outcome);
	if (outcome == KV_NOT_FOUND)
		log->lease = (struct kv_lease){ 0 };
	/* Whether the key was written is not known, or it has expired. */
	if (outcome == KV_CONFLICT || outcome == KV_UNKNOWN)
		log->revisions[log->next_key] = 0;
	/* The rows that remain go to another key. */
	log->next_key = (log->next_key + 1) % KEYS;
	log->pending = 0;
	turn_await(log);
}

static void rows_write(struct streamlog *log)
{
	GString *text = origin_rows_print(
		(const struct origin_row *)log->rows->data, log->rows->len);
	int64_t era = kv_era(log->options.kv);
	char *key;

	if (log->era != era) {
		/* Which of the keys are in the restored store is not known:
		 * others are written from now on. */
		memset(log->revisions, 0, sizeof(log->revisions));
		log->first_key += log->era >= 0 ? KEYS : 0;
		log->era = era;
	}
	key = g_strdup_printf("%s/%u", log->prefix,
			      log->first_key + log->next_key);
	log->pending = log->rows->len;
	log->calling = true;
	log->used_at = loop_now(log);
	kv_change(log->options.kv,
		  &(struct kv_change){
			  .key = key,
			  .value = text->str,
			  .lease = log->lease,
			  .expected_revision = log->revisions[log->next_key],
		  },
		  on_written, log);
	g_free(key);
	g_string_free(text, TRUE);
}

static void on_lease(void *ctx, enum kv_outcome outcome, struct kv_lease lease)
{
	struct streamlog *log = ctx;

	log->calling = false;
	if (outcome != KV_OK) {
		turn_await(log);
		return;
	}
	log->lease = lease;
	if (log->rows->len > 0)
		rows_write(log);
}

static void on_turn(uv_timer_t *timer)
{
	struct streamlog *log = timer->data;
	clk_ms now = loop_now(log);

	if (log->calling || log->rows->len == 0)
		return;
	if (kv_lease_is_valid(log->options.kv, &log->lease) &&
	    now < log->renew_at) {
		rows_write(log);
		return;
	}
	log->renew_at = now + LEASE_RENEW_MS;
	log->calling = true;
	kv_lease_grant(log->options.kv, LEASE_MS, on_lease, log);
}

struct streamlog *streamlog_create(const struct streamlog_options *options)
{
	struct streamlog *log = g_new0(struct streamlog, 1);

	log->options = *options;
	log->era = -1;
	log->prefix = g_strdup(options->prefix);
	log->rows = g_array_new(FALSE, FALSE, sizeof(struct origin_row));
	uv_timer_init(options->loop, &log->timer);
	log->timer.data = log;
	return log;
}

void streamlog_tick(struct streamlog *log, clk_ms now, unsigned turn,
		    unsigned hosts)
{
	log->turn = turn % STREAMLOG_WRITERS;
	log->disabled = hosts > HOSTS_MAX;
	if (log->calling)
		return;
	if (log->disabled) {
		log->dropped += log->rows->len;
		g_array_set_size(log->rows, 0);
	}
	if (!log->lease.id || now < log->renew_at ||
	    now - log->used_at >= LEASE_MS)
		return;
	log->renew_at = now + LEASE_RENEW_MS;
	log->calling = true;
	kv_lease_renew(log->options.kv, &log->lease, on_renewed, log);
}
