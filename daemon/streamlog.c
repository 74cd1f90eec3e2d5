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
	struct kv *kv;
	char *prefix;
	GArray *rows;  /* struct origin_row, not written yet */
	guint pending; /* of these, the first ones are being written */
	int64_t revisions[KEYS];
	unsigned next_key;
	int64_t lease; /* 0: none */
	clk_ms renew_at;
	clk_ms used_at; /* something was last written */
	int64_t period; /* number of the last one in which rows were written */
	bool calling;
	uint64_t dropped;
};

struct streamlog *streamlog_create(struct kv *kv, const char *prefix)
{
	struct streamlog *log = g_new0(struct streamlog, 1);

	log->kv = kv;
	log->prefix = g_strdup(prefix);
	log->rows = g_array_new(FALSE, FALSE, sizeof(struct origin_row));
	return log;
}

uint64_t streamlog_dropped(const struct streamlog *log)
{
	return log->dropped;
}

void streamlog_add(struct streamlog *log, uint64_t stream, uint32_t version)
{
	struct origin_row row = { .stream = stream, .version = version };

	if (log->rows->len >= ROWS_MAX) {
		log->dropped++;
		return;
	}
	g_array_append_val(log->rows, row);
}

static void on_lease(void *ctx, enum kv_outcome outcome, int64_t lease)
{
	struct streamlog *log = ctx;

	log->calling = false;
	if (outcome == KV_OK)
		log->lease = lease;
}

static void on_renewed(void *ctx, enum kv_outcome outcome, int64_t ttl)
{
	struct streamlog *log = ctx;

	(void)ttl;
	log->calling = false;
	if (outcome == KV_NOT_FOUND)
		log->lease = 0;
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
		log->lease = 0;
	/* Whether the key was written is not known, or it has expired. */
	if (outcome == KV_CONFLICT || outcome == KV_UNKNOWN)
		log->revisions[log->next_key] = 0;
	/* The rows that remain go to another key. */
	log->next_key = (log->next_key + 1) % KEYS;
	log->pending = 0;
}

static void rows_write(struct streamlog *log)
{
	GString *text = origin_rows_print(
		(const struct origin_row *)log->rows->data, log->rows->len);
	char *key = g_strdup_printf("%s/%u", log->prefix, log->next_key);

	log->pending = log->rows->len;
	log->calling = true;
	kv_change(log->kv,
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

void streamlog_tick(struct streamlog *log, clk_ms now, clk_ms wall,
		    unsigned hosts)
{
	int64_t period = wall / STREAMLOG_PERIOD_MS;

	if (log->calling)
		return;
	if (hosts > HOSTS_MAX) {
		log->dropped += log->rows->len;
		g_array_set_size(log->rows, 0);
	}
	if (log->lease && now >= log->renew_at &&
	    now - log->used_at < LEASE_MS) {
		log->renew_at = now + LEASE_RENEW_MS;
		log->calling = true;
		kv_lease_renew(log->kv, log->lease, on_renewed, log);
		return;
	}
	if (log->rows->len == 0 || period == log->period)
		return;
	if (!log->lease || now >= log->renew_at) {
		log->renew_at = now + LEASE_RENEW_MS;
		log->calling = true;
		kv_lease_grant(log->kv, LEASE_MS, on_lease, log);
		return;
	}
	log->period = period;
	log->used_at = now;
	rows_write(log);
}
