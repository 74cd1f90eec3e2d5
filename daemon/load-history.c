/* History file and summary of rw-load. */
#include "load.h"

#include <inttypes.h>
#include <math.h>

#define NS_PER_MS 1e6

double load_now_ms(const struct load *load)
{
	(void)load;
	return (double)uv_hrtime() / NS_PER_MS;
}

void load_record_event(struct load *load, const char *event, const char *id,
		       const char *kind, const char *text)
{
	struct json_object *line;
	size_t len;

	if (!load->history)
		return;
	line = json_object_new_object();
	json_object_object_add(line, "t",
			       json_object_new_double(load_now_ms(load)));
	json_add_text(line, "event", event);
	json_add_text(line, "id", id);
	json_add_text(line, "kind", kind);
	if (text)
		json_add_text(line, "text", text);
	fprintf(load->history, "%s\n", json_print(line, &len));
	json_object_put(line);
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Sorts an array of samples and prints its percentiles. */
static void print_percentiles(const char *name, GArray *samples)
{
	static const double quantiles[] = { 0.5, 0.95, 0.99 };

	g_array_sort(samples, compare_doubles);
	printf("%s", name);
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
		guint at = (guint)(quantiles[i] * samples->len);
		double value =
			samples->len ? g_array_index(samples, double,
						     MIN(at, samples->len - 1))
				     : NAN;

		printf(" p%g=%.3f", quantiles[i] * 100, value);
	}
	printf(" n=%u\n", samples->len);
}

void load_print_summary(const struct load *load)
{
	double seconds =
		(double)(load->stop_at - load->started_at) / CLK_SECOND;

	printf("requests %" PRId64 " tries %" PRId64 "\n", load->request_count,
	       load->attempts);
	printf("whole %" PRId64 " not_run %" PRId64 " unknown %" PRId64
	       " given_up %" PRId64 " wrong %" PRId64 "\n",
	       load->outcomes[LOAD_COMPLETE], load->outcomes[LOAD_NOT_RUN],
	       load->outcomes[LOAD_UNKNOWN], load->outcomes[LOAD_TIMED_OUT],
	       load->outcomes[LOAD_INVALID]);
	printf("per_second %.1f\n",
	       (double)load->outcomes[LOAD_COMPLETE] / MAX(seconds, 0.001));
	print_percentiles("first_ms", load->first_chunk_ms);
	print_percentiles("total_ms", load->total_ms);
	print_percentiles("gap_ms", load->chunk_gap_ms);
}
