/* Histograms of latencies, for the metrics. */
#ifndef WIRE_HIST_H
#define WIRE_HIST_H

#include <glib.h>
#include <stdint.h>

#include "../decide/clk.h"

#define HIST_BUCKETS 18 /* 1 ms to 65 s, doubling; and what is longer */

struct hist {
	uint64_t buckets[HIST_BUCKETS];
	uint64_t count;
	clk_ms sum;
};

void hist_add(struct hist *hist, clk_ms value);
/* Appends lines "<name>_bucket{le="<ms>"} <count>", sum and count. */
void hist_print(const struct hist *hist, const char *name, GString *out);

#endif
