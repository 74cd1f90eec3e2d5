/* Discrete event simulation under a virtual clock. */
#include "sim.h"

struct sim_event {
	clk_ms at;
	guint64 number;
	void (*fn)(void *ctx, void *arg);
	void *ctx;
	void *arg;
};

struct sim *sim_create(guint32 seed)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->events = g_sequence_new(g_free);
	sim->rand = g_rand_new_with_seed(seed);
	return sim;
}

void sim_free(struct sim *sim)
{
	g_sequence_free(sim->events);
	g_rand_free(sim->rand);
	g_free(sim);
}

static gint event_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct sim_event *left = a;
	const struct sim_event *right = b;

	(void)data;
	if (left->at != right->at)
		return left->at < right->at ? -1 : 1;
	return left->number < right->number ? -1 : 1;
}

void sim_after(struct sim *sim, clk_ms delay, void (*fn)(void *ctx, void *arg),
	       void *ctx, void *arg)
{
	struct sim_event *event = g_new0(struct sim_event, 1);

	event->at = sim->now + delay;
	event->number = sim->event_count++;
	event->fn = fn;
	event->ctx = ctx;
	event->arg = arg;
	g_sequence_insert_sorted(sim->events, event, event_compare, NULL);
}

void sim_run(struct sim *sim, clk_ms until)
{
	while (!g_sequence_is_empty(sim->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		struct sim_event event =
			*(struct sim_event *)g_sequence_get(first);

		if (event.at > until)
			break;
		g_sequence_remove(first);
		sim->now = event.at;
		event.fn(event.ctx, event.arg);
	}
	sim->now = until;
}

guint sim_random(struct sim *sim, guint n)
{
	return n > 1 ? (guint)g_rand_int_range(sim->rand, 0, (gint32)n) : 0;
}

bool sim_chance(struct sim *sim, guint per_mille)
{
	return sim_random(sim, 1000) < per_mille;
}

static gint double_compare(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

double sim_percentile(GArray *values, double share)
{
	if (values->len == 0)
		return 0;
	g_array_sort(values, double_compare);
	return g_array_index(
		values, double,
		MIN((guint)(share * values->len), values->len - 1));
}
