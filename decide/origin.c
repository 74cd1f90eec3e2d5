/* Which software version began a stream. */
#include "origin.h"

#include <string.h>
#include <xxhash.h>

#define ANSWER_MS 250 /* that hosts have to answer, slow ones too */
/* That a host has to find out at which version a stream began. */
#define FIND_OUT_MS 1000
/* Hosts that have known of one version only: enough not to wait for others. */
#define KNOW_MIN 2

struct origin_stream {
	uint64_t key;
	uint32_t version;
	uint32_t own; /* key of its pool; 0: of another host */
	clk_ms expires_at;
};

struct origin *origin_create(void)
{
	struct origin *origin = g_new0(struct origin, 1);

	origin->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	g_queue_init(&origin->oldest);
	return origin;
}

void origin_free(struct origin *origin)
{
	g_queue_clear(&origin->oldest);
	g_hash_table_destroy(origin->streams);
	g_free(origin);
}

uint64_t origin_key(const char *account, const char *attempt, size_t len)
{
	uint64_t seed = account ? XXH64(account, strlen(account), 1) : 0;

	return XXH64(attempt, len, seed);
}

static void oldest_drop(struct origin *origin)
{
	struct origin_stream *stream = g_queue_pop_head(&origin->oldest);

	g_hash_table_remove(origin->streams, &stream->key);
}

static void expire(struct origin *origin, clk_ms now)
{
	struct origin_stream *stream;

	while ((stream = g_queue_peek_head(&origin->oldest)) &&
	       now >= stream->expires_at)
		oldest_drop(origin);
}

enum origin_knowledge origin_knowledge(uint32_t version)
{
	if (version == 0)
		return ORIGIN_NOTHING;
	if (version == ORIGIN_VERSION_UNKNOWN)
		return ORIGIN_BEGUN;
	if (version & 1)
		return ORIGIN_VERSION;
	return (version & ORIGIN_MARKS) == ORIGIN_MARK_PROCESS ? ORIGIN_PROCESS
							       : ORIGIN_PERHAPS;
}

bool origin_is_known(uint32_t version)
{
	return origin_knowledge(version) == ORIGIN_VERSION;
}

void origin_put(struct origin *origin, uint64_t key, uint32_t version,
		uint32_t own, clk_ms now)
{
	struct origin_stream *stream;

	expire(origin, now);
	stream = g_hash_table_lookup(origin->streams, &key);
	if (stream &&
	    origin_knowledge(version) > origin_knowledge(stream->version))
		stream->version = version;
	if (version == 0 || stream)
		return;
	if (g_hash_table_size(origin->streams) >= ORIGIN_MAX) {
		oldest_drop(origin);
		origin->dropped++;
	}
	stream = g_new(struct origin_stream, 1);
	*stream = (struct origin_stream){
		.key = key,
		.version = version,
		.own = own,
		.expires_at = now + ORIGIN_KEEP_MS,
	};
	g_hash_table_insert(origin->streams, &stream->key, stream);
	g_queue_push_tail(&origin->oldest, stream);
}

void origin_each_own(const struct origin *origin, uint32_t pool,
		     void (*fn)(void *ctx, uint64_t key, uint32_t version),
		     void *ctx)
{
	for (const GList *at = origin->oldest.head; at; at = at->next) {
		const struct origin_stream *stream = at->data;

		if (stream->own == pool)
			fn(ctx, stream->key, stream->version);
	}
}

uint32_t origin_find(struct origin *origin, uint64_t key, clk_ms now)
{
	const struct origin_stream *stream;

	expire(origin, now);
	stream = g_hash_table_lookup(origin->streams, &key);
	return stream ? stream->version : 0;
}

/* A row is ROW_LEN hexadecimal digits, the version's last. */
#define ROW_LEN 24
#define VERSION_LEN 8

GString *origin_rows_print(const struct origin_row *rows, size_t count)
{
	GString *text = g_string_sized_new(count * ROW_LEN + 1);

	for (size_t i = 0; i < count; i++)
		g_string_append_printf(text, "%016" G_GINT64_MODIFIER "x%08x",
				       rows[i].stream, rows[i].version);
	return text;
}

/* Parses one row; returns false if it is malformed. */
static bool row_parse(const char *text, struct origin_row *row)
{
	char digits[ROW_LEN + 1];
	uint64_t version;

	g_strlcpy(digits, text, sizeof(digits));
	if (!g_ascii_string_to_unsigned(digits + ROW_LEN - VERSION_LEN, 16, 1,
					UINT32_MAX, &version, NULL))
		return false;
	digits[ROW_LEN - VERSION_LEN] = '\0';
	row->version = (uint32_t)version;
	return g_ascii_string_to_unsigned(digits, 16, 0, UINT64_MAX,
					  &row->stream, NULL);
}

bool origin_rows_parse(const char *text, size_t len,
		       void (*fn)(void *ctx, uint64_t stream, uint32_t version),
		       void *ctx)
{
	char *copy = g_strndup(text, len);
	struct origin_row row;
	bool ok = len % ROW_LEN == 0 && strlen(copy) == len;

	for (size_t i = 0; ok && i < len; i += ROW_LEN)
		ok = row_parse(copy + i, &row);
	for (size_t i = 0; ok && i < len; i += ROW_LEN) {
		row_parse(copy + i, &row);
		fn(ctx, row.stream, row.version);
	}
	g_free(copy);
	return ok;
}

unsigned origin_keepers(unsigned versions, unsigned hosts)
{
	if (versions < 2)
		return 0;
	return hosts < ORIGIN_MANY_HOSTS ? ORIGIN_KEEPERS : ORIGIN_KEEPERS_MANY;
}

clk_ms origin_wait(const struct origin_question *question, clk_ms now)
{
	clk_ms wait = question->version ? FIND_OUT_MS : ANSWER_MS;

	return MAX(question->asked_at + wait - now, 0);
}

void origin_on_answer(struct origin_question *question,
		      const struct origin_answer *answer)
{
	/* A host that did not know a version may know it by now. */
	if (origin_knowledge(answer->version) >
	    origin_knowledge(question->version))
		question->version = answer->version;
	for (unsigned i = 0; i < question->answers; i++)
		if (question->answered[i] == answer->host)
			return;
	if (question->answers >= question->asked)
		return;
	question->answered[question->answers++] = answer->host;
	question->settled += answer->settled;
	question->versions = MAX(question->versions, answer->versions);
}

/* Whether a pool has had one version as long as a stream may last. A host that
 * has run for that long knows, unless it is out of touch; where all have
 * started since, the record of the versions tells. */
static bool is_sole(const struct origin_question *question,
		    const struct origin_view *view, bool over)
{
	unsigned know = question->settled + (view->settled && view->listed);
	/* One of the hosts that would keep the stream has answered. */
	bool has_keeper =
		question->keepers == 0 || question->asked == 0 ||
		(question->answers > 0 &&
		 question->answers + question->keepers > question->asked);

	if (view->versions != 1 || question->versions > 1 || question->version)
		return false;
	if (has_keeper &&
	    (know >= KNOW_MIN || (view->listed && view->recorded == 1)))
		return true;
	return over && know > 0;
}

enum origin_verdict origin_judge(const struct origin_question *question,
				 const struct origin_view *view, clk_ms now,
				 uint32_t *version)
{
	/* A host that knows that a stream began, but not at which version, may
	 * be told soon. */
	bool over =
		(question->answers >= question->asked && !question->version) ||
		origin_wait(question, now) == 0;

	*version = question->version;
	if (origin_is_known(question->version))
		return ORIGIN_KNOWN;
	if (is_sole(question, view, over)) {
		*version = view->sole;
		return ORIGIN_SOLE;
	}
	return over ? ORIGIN_UNKNOWN : ORIGIN_WAIT;
}
