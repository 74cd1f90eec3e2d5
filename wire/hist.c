/* Latency histograms. */
#include "hist.h"

void hist_add(struct hist *hist, clk_ms value)
{
	int bucket = 0;

	while (bucket < HIST_BUCKETS - 1 && value > ((clk_ms)1 << bucket))
		bucket++;
	hist->buckets[bucket]++;
	hist->count++;
	hist->sum += value;
}

void hist_print(const struct hist *hist, const char *name, GString *out)
{
	uint64_t sum = 0;

	for (int i = 0; i < HIST_BUCKETS - 1; i++) {
		sum += hist->buckets[i];
		g_string_append_printf(
			out, "%s_bucket{le=\"%d\"} %" G_GUINT64_FORMAT "\n",
			name, 1 << i, sum);
	}
	g_string_append_printf(out,
			       "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
			       "\n%s_sum %" G_GINT64_FORMAT
			       "\n%s_count %" G_GUINT64_FORMAT "\n",
			       name, hist->count, name, hist->sum, name,
			       hist->count);
}
