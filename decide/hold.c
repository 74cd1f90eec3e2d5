/* Bytes that a process holds, and which connection is evicted first. */
#include "hold.h"

/* Connections that hold less than this are spared, so that ordinary requests
 * are served while requests in flight use up the budget, ... */
#define SMALL_BYTES 16384
/* ... up to this share of the budget beyond it. */
#define SMALL_SHARE 8

static const struct {
	const char *name;
	bool may_evict;
} purposes[HOLD_PURPOSES] = {
	[HOLD_INPUT] = { "input", true },
	[HOLD_PIPELINED] = { "pipelined", true },
	[HOLD_OUTPUT] = { "output", true },
	[HOLD_BODY] = { "body", false },
	[HOLD_UPLOAD] = { "upload", false },
	[HOLD_RESPONSE] = { "response", false },
	[HOLD_SPARE] = { "spare", false },
};

const char *hold_purpose_name(enum hold_purpose purpose)
{
	return purposes[purpose].name;
}

void hold_init(struct hold_holder *holder, bool can_evict)
{
	*holder = (struct hold_holder){ .can_evict = can_evict };
	holder->link.data = holder;
}

size_t hold_evictable(const struct hold_holder *holder)
{
	size_t sum = 0;

	for (int i = 0; i < HOLD_PURPOSES; i++)
		if (purposes[i].may_evict)
			sum += holder->bytes[i];
	return sum;
}

enum hold_purpose hold_main_purpose(const struct hold_holder *holder)
{
	enum hold_purpose most = HOLD_INPUT;

	for (int i = 0; i < HOLD_PURPOSES; i++)
		if (purposes[i].may_evict &&
		    holder->bytes[i] > holder->bytes[most])
			most = i;
	return most;
}

static void holder_list(struct hold *hold, struct hold_holder *holder)
{
	g_queue_push_tail_link(&hold->order, &holder->link);
	holder->is_listed = true;
}

static void holder_unlist(struct hold *hold, struct hold_holder *holder)
{
	if (holder->is_listed)
		g_queue_unlink(&hold->order, &holder->link);
	holder->is_listed = false;
}

void hold_set(struct hold *hold, struct hold_holder *holder,
	      enum hold_purpose purpose, size_t bytes, clk_ms now)
{
	size_t before = holder->bytes[purpose];
	bool lists;

	if (bytes == before)
		return;
	holder->bytes[purpose] = bytes;
	hold->bytes[purpose] += bytes - before;
	hold->total += bytes - before;
	lists = holder->can_evict && hold_evictable(holder) > 0;
	if (lists && !holder->is_listed) {
		holder->progress_at = now;
		holder_list(hold, holder);
	} else if (!lists) {
		holder_unlist(hold, holder);
	}
}

void hold_on_progress(struct hold *hold, struct hold_holder *holder, clk_ms now)
{
	holder->progress_at = now;
	if (!holder->is_listed)
		return;
	holder_unlist(hold, holder);
	holder_list(hold, holder);
}

void hold_remove(struct hold *hold, struct hold_holder *holder)
{
	for (int i = 0; i < HOLD_PURPOSES; i++) {
		hold->bytes[i] -= holder->bytes[i];
		hold->total -= holder->bytes[i];
		holder->bytes[i] = 0;
	}
	holder_unlist(hold, holder);
	holder->can_evict = false;
}

struct hold_holder *hold_next_eviction(const struct hold *hold)
{
	bool spares = hold->total <= hold->limit + hold->limit / SMALL_SHARE;

	if (hold->limit == 0 || hold->total <= hold->limit)
		return NULL;
	for (const GList *at = hold->order.head; at; at = at->next) {
		struct hold_holder *holder = at->data;

		if (!spares || hold_evictable(holder) >= SMALL_BYTES)
			return holder;
	}
	return NULL;
}
