/* Latency histograms for the metrics. */
#ifndef WIRE_HIST_H
#define WIRE_HIST_H

#include <glib.h>
#include <stdint.h>

#include "../decide/clk.h"

#define HIST_BUCKETS 18 /* 1 ms doubling to 65 s, and one for longer ones */

struct hist {
	uint64_t buckets[HIST_BUCKETS];
	uint64_t count;
	clk_ms sum;
};

void hist_add(struct hist *hist, clk_ms value);
/* Appends the cumulative "<name>_bucket{le="<ms>"} <count>" lines, then the sum
 * and the count. */
void hist_print(const struct hist *hist, const char *name, GString *out);

#endif
