/*
 * rw-sim: simulates scenarios under a virtual clock with the decision code of
 * rw-proxyd, runs several policies on each, and compares their results.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../wire/args.h"
#include "world.h"

#define PROGRESS_INTERVAL_S 5 /* of virtual time, between progress outputs */
#define PLOT_WIDTH 900
#define PLOT_HEIGHT 300
#define COLOUR_COUNT 6

struct options {
	int seed;
	int seeds;
	char *policies; /* comma-separated names; NULL: all */
	char *csv;	/* output file of the table, or NULL */
	char *plot;	/* output file of an SVG plot, or NULL */
	int loads;	/* print a line per load */
	int quiet;
};

/* Means of the results over all seeds: one row of the table. */
struct row {
	double score, earned_share, worst_intervals, worst_load, cost;
	double cache_hits, over_limit, late;
	GArray *earned; /* double: earned part of the worth, by interval */
};

static struct options options = { .seed = 1, .seeds = 1 };

static void progress(clk_ms now)
{
	if (!options.quiet &&
	    now % ((clk_ms)PROGRESS_INTERVAL_S * CLK_SECOND) == 0)
		fprintf(stderr, "\r%4d s ", (int)(now / CLK_SECOND));
}

/* Whether a policy is selected on the command line. */
static bool policy_selected(const struct policy *policy)
{
	char **names;
	bool selected;

	if (!options.policies)
		return true;
	names = g_strsplit(options.policies, ",", 0);
	selected = g_strv_contains((const char *const *)names, policy->name);
	g_strfreev(names);
	return selected;
}

static void row_add(struct row *row, const struct result *result, int seeds)
{
	double weight = 1.0 / seeds;

	row->score += result_score(result) * weight;
	row->earned_share += result_earned_share(result) * weight;
	row->worst_intervals += result_worst_intervals(result) * weight;
	row->worst_load += result_worst_load(result) * weight;
	row->cost += result_cost(result) * weight;
	row->cache_hits +=
		result->cached_tokens /
		MAX(result->cached_tokens + result->prefilled_tokens, 1) *
		weight;
	row->over_limit += (double)result->over_limit * weight;
	for (guint i = 0; i < result->offered->len; i++) {
		double offered = g_array_index(result->offered, double, i);

		if (row->earned->len <= i)
			g_array_set_size(row->earned, i + 1);
		if (offered > 0 && i < result->earned->len)
			g_array_index(row->earned, double, i) +=
				g_array_index(result->earned, double, i) /
				offered * weight;
	}
}

/* Prints a line for each load of a result. */
static void loads_print(const struct result *result)
{
	for (guint i = 0; i < result->scenario->loads->len; i++) {
		const struct result_load *load = &result->loads[i];

		printf("    %-16s in aim %6ld late %5ld refused %5ld failed "
		       "%5ld  earned %.3f  first p50 %6.0f ms p99 %6.0f ms\n",
		       load->conf->name, load->outcomes[RESULT_ON_TIME],
		       load->outcomes[RESULT_LATE],
		       load->outcomes[RESULT_REFUSED],
		       load->outcomes[RESULT_FAILED],
		       load->offered > 0 ? load->earned / load->offered : 0,
		       result_first_ms(result, i, 0.5),
		       result_first_ms(result, i, 0.99));
	}
}

/* Simulates a scenario under one policy with each seed. */
static struct row policy_simulate(const struct scenario *scenario,
				  const struct policy *policy)
{
	struct row row = { .score = 0 };

	row.earned = g_array_new(FALSE, TRUE, sizeof(double));
	for (int i = 0; i < options.seeds; i++) {
		struct result *result =
			world_simulate(scenario, policy,
				       (guint32)(options.seed + i), progress);

		row_add(&row, result, options.seeds);
		if (options.loads)
			loads_print(result);
		result_free(result);
	}
	if (!options.quiet)
		fprintf(stderr, "\r        \r");
	return row;
}

/* Writes an SVG plot of the earned part over time, a line per policy. */
static void plot_write(FILE *file, const char *title, const struct row *rows,
		       const bool *simulated)
{
	static const char *const colours[COLOUR_COUNT] = {
		"#1f77b4", "#ff7f0e", "#2ca02c",
		"#d62728", "#9467bd", "#8c564b",
	};

	fprintf(file,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
		"<text x=\"10\" y=\"16\">%s: part of the worth earned, by %d s"
		"</text>\n",
		PLOT_WIDTH, PLOT_HEIGHT + 40, title, RESULT_INTERVAL_MS / 1000);
	for (size_t p = 0; p < policy_count; p++) {
		if (!simulated[p])
			continue;
		fprintf(file, "<polyline fill=\"none\" stroke=\"%s\" points=\"",
			colours[p % COLOUR_COUNT]);
		for (guint i = 0; i < rows[p].earned->len; i++)
			fprintf(file, "%.1f,%.1f ",
				10.0 + (PLOT_WIDTH - 20.0) * i /
						MAX(rows[p].earned->len, 1),
				20 + PLOT_HEIGHT * (1 - g_array_index(
								rows[p].earned,
								double, i)));
		fprintf(file,
			"\"/>\n<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n",
			10 + (int)p * 120, PLOT_HEIGHT + 36,
			colours[p % COLOUR_COUNT], policies[p].name);
	}
	fprintf(file, "</svg>\n");
}

/* Simulates a scenario file under all selected policies. */
static bool scenario_simulate(const char *path, FILE *csv, FILE *plot)
{
	GError *error = NULL;
	struct scenario *scenario = scenario_load(path, &error);
	struct row *rows = g_new0(struct row, policy_count);
	bool *simulated = g_new0(bool, policy_count);

	if (!scenario) {
		fprintf(stderr, "rw-sim: %s\n", error->message);
		g_error_free(error);
		g_free(rows);
		g_free(simulated);
		return false;
	}
	printf("%s, seeds %d to %d\n%-12s %6s %6s %6s %6s %6s %6s %10s\n", path,
	       options.seed, options.seed + options.seeds - 1, "policy",
	       "worth", "whole", "spans", "load", "price", "kept",
	       "over limit");
	for (size_t p = 0; p < policy_count; p++) {
		struct row *row = &rows[p];

		if (!policy_selected(&policies[p]))
			continue;
		simulated[p] = true;
		*row = policy_simulate(scenario, &policies[p]);
		printf("%-12s %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %10.0f\n",
		       policies[p].name, row->score, row->earned_share,
		       row->worst_intervals, row->worst_load, row->cost,
		       row->cache_hits, row->over_limit);
		if (csv)
			fprintf(csv, "%s,%s,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f\n",
				path, policies[p].name, row->score,
				row->earned_share, row->worst_intervals,
				row->worst_load, row->cost, row->cache_hits);
	}
	if (plot)
		plot_write(plot, path, rows, simulated);
	for (size_t p = 0; p < policy_count; p++)
		if (rows[p].earned)
			g_array_free(rows[p].earned, TRUE);
	g_free(rows);
	g_free(simulated);
	scenario_free(scenario);
	return true;
}

/* Opens an output file if a path is given. Returns false on failure. */
static bool file_open(const char *path, FILE **file)
{
	*file = path ? fopen(path, "w") : NULL;
	if (path && !*file) {
		fprintf(stderr, "rw-sim: cannot write %s\n", path);
		return false;
	}
	return true;
}

/* Whether all selected policies exist. */
static bool policies_check(void)
{
	char **names =
		g_strsplit(options.policies ? options.policies : "", ",", 0);
	bool ok = true;

	for (int i = 0; names[i] && ok; i++) {
		ok = false;
		for (size_t p = 0; p < policy_count; p++)
			ok = ok || !strcmp(names[i], policies[p].name);
		if (!ok)
			fprintf(stderr, "rw-sim: unknown policy \"%s\"\n",
				names[i]);
	}
	g_strfreev(names);
	return ok;
}

int main(int argc, const char **argv)
{
	struct poptOption table[] = {
		{ "seed", 's', POPT_ARG_INT, &options.seed, 0, "first seed",
		  "N" },
		{ "seeds", 'n', POPT_ARG_INT, &options.seeds, 0,
		  "number of seeds; the table shows means over them", "N" },
		{ "policies", 'p', POPT_ARG_STRING, &options.policies, 0,
		  "comma-separated policy names (default: all)", "LIST" },
		{ "loads", 'l', POPT_ARG_NONE, &options.loads, 0,
		  "print a line per load", NULL },
		{ "csv", 0, POPT_ARG_STRING, &options.csv, 0,
		  "write the table to a file", "FILE" },
		{ "plot", 0, POPT_ARG_STRING, &options.plot, 0,
		  "write an SVG plot of the last scenario", "FILE" },
		{ "quiet", 'q', POPT_ARG_NONE, &options.quiet, 0,
		  "do not print progress to standard error", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, table, 0);
	const char *path;
	FILE *csv = NULL;
	FILE *plot = NULL;
	int simulated = 0;

	poptSetOtherOptionHelp(popt, "SCENARIO...");
	if (!args_read(popt, "rw-sim") || options.seeds < 1 ||
	    !policies_check() || !file_open(options.csv, &csv) ||
	    !file_open(options.plot, &plot))
		return 2;
	while ((path = poptGetArg(popt)) != NULL) {
		if (!scenario_simulate(path, csv, plot))
			return 1;
		simulated++;
	}
	if (csv)
		fclose(csv);
	if (plot)
		fclose(plot);
	poptFreeContext(popt);
	if (simulated == 0) {
		fprintf(stderr, "rw-sim: no scenario file given\n");
		return 2;
	}
	return 0;
}
