/*
 * rw-sim: plays scenarios with the decisions of rw-proxyd under a virtual
 * clock, several policies side by side, and compares what they give.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../wire/args.h"
#include "world.h"

#define PROGRESS_S 5 /* of the scenario's time, between two lines */
#define PLOT_WIDTH 900
#define PLOT_HEIGHT 300
#define COLOURS 6

struct options {
	int seed;
	int seeds;
	char *policies; /* names with commas between; NULL: all */
	char *csv;	/* file for the table, or NULL */
	char *plot;	/* file for a picture, or NULL */
	int loads;	/* also a line for each load */
	int quiet;
};

/* The mean of some seeds' results. */
struct row {
	double worth, whole, spans, load, price, kept, over_limit, late;
	GArray *earned; /* double: part earned by span, summed over seeds */
};

static struct options options = { .seed = 1, .seeds = 1 };

static void progress(clk_ms now)
{
	if (!options.quiet && now % ((clk_ms)PROGRESS_S * CLK_SECOND) == 0)
		fprintf(stderr, "\r%4d s ", (int)(now / CLK_SECOND));
}

/* Whether a policy is asked for. */
static bool is_asked(const struct policy *policy)
{
	char **names;
	bool asked;

	if (!options.policies)
		return true;
	names = g_strsplit(options.policies, ",", 0);
	asked = g_strv_contains((const char *const *)names, policy->name);
	g_strfreev(names);
	return asked;
}

static void row_add(struct row *row, const struct result *result, int seeds)
{
	double part = 1.0 / seeds;

	row->worth += result_score(result) * part;
	row->whole += result_earned_share(result) * part;
	row->spans += result_worst_intervals(result) * part;
	row->load += result_worst_load(result) * part;
	row->price += result_cost(result) * part;
	row->kept += result->cached_tokens /
		     MAX(result->cached_tokens + result->prefilled_tokens, 1) *
		     part;
	row->over_limit += (double)result->over_limit * part;
	for (guint i = 0; i < result->offered->len; i++) {
		double owed = g_array_index(result->offered, double, i);

		if (row->earned->len <= i)
			g_array_set_size(row->earned, i + 1);
		if (owed > 0 && i < result->earned->len)
			g_array_index(row->earned, double, i) +=
				g_array_index(result->earned, double, i) /
				owed * part;
	}
}

/* One line for each load of a run. */
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

/* Plays a scenario under one policy, with all seeds. */
static struct row policy_play(const struct scenario *scenario,
			      const struct policy *policy)
{
	struct row row = { .worth = 0 };

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

/* Draws the part earned over time, a line for each policy. */
static void plot_write(FILE *file, const char *title, const struct row *rows,
		       const bool *played)
{
	static const char *const colours[COLOURS] = {
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
		if (!played[p])
			continue;
		fprintf(file, "<polyline fill=\"none\" stroke=\"%s\" points=\"",
			colours[p % COLOURS]);
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
			colours[p % COLOURS], policies[p].name);
	}
	fprintf(file, "</svg>\n");
}

/* Plays a file under all policies that are asked for. */
static bool file_play(const char *path, FILE *csv, FILE *plot)
{
	GError *error = NULL;
	struct scenario *scenario = scenario_load(path, &error);
	struct row *rows = g_new0(struct row, policy_count);
	bool *played = g_new0(bool, policy_count);

	if (!scenario) {
		fprintf(stderr, "rw-sim: %s\n", error->message);
		g_error_free(error);
		g_free(rows);
		g_free(played);
		return false;
	}
	printf("%s, seeds %d to %d\n%-12s %6s %6s %6s %6s %6s %6s %10s\n", path,
	       options.seed, options.seed + options.seeds - 1, "policy",
	       "worth", "whole", "spans", "load", "price", "kept",
	       "over limit");
	for (size_t p = 0; p < policy_count; p++) {
		struct row *row = &rows[p];

		if (!is_asked(&policies[p]))
			continue;
		played[p] = true;
		*row = policy_play(scenario, &policies[p]);
		printf("%-12s %6.3f %6.3f %6.3f %6.3f %6.3f %6.3f %10.0f\n",
		       policies[p].name, row->worth, row->whole, row->spans,
		       row->load, row->price, row->kept, row->over_limit);
		if (csv)
			fprintf(csv, "%s,%s,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f\n",
				path, policies[p].name, row->worth, row->whole,
				row->spans, row->load, row->price, row->kept);
	}
	if (plot)
		plot_write(plot, path, rows, played);
	for (size_t p = 0; p < policy_count; p++)
		if (rows[p].earned)
			g_array_free(rows[p].earned, TRUE);
	g_free(rows);
	g_free(played);
	scenario_free(scenario);
	return true;
}

/* Opens a file to write, if one is named; false if it can't be. */
static bool file_open(const char *path, FILE **file)
{
	*file = path ? fopen(path, "w") : NULL;
	if (path && !*file) {
		fprintf(stderr, "rw-sim: cannot write %s\n", path);
		return false;
	}
	return true;
}

/* Whether all policies that are named exist. */
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
			fprintf(stderr, "rw-sim: there is no policy \"%s\"\n",
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
		  "how many seeds; figures are their means", "N" },
		{ "policies", 'p', POPT_ARG_STRING, &options.policies, 0,
		  "names with commas between; all if left out", "LIST" },
		{ "loads", 'l', POPT_ARG_NONE, &options.loads, 0,
		  "a line for each load", NULL },
		{ "csv", 0, POPT_ARG_STRING, &options.csv, 0,
		  "writes the table to a file", "FILE" },
		{ "plot", 0, POPT_ARG_STRING, &options.plot, 0,
		  "draws the last scenario into an SVG file", "FILE" },
		{ "quiet", 'q', POPT_ARG_NONE, &options.quiet, 0,
		  "no progress on standard error", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, table, 0);
	const char *path;
	FILE *csv = NULL;
	FILE *plot = NULL;
	int played = 0;

	poptSetOtherOptionHelp(popt, "SCENARIO...");
	if (!args_read(popt, "rw-sim") || options.seeds < 1 ||
	    !policies_check() || !file_open(options.csv, &csv) ||
	    !file_open(options.plot, &plot))
		return 2;
	while ((path = poptGetArg(popt)) != NULL) {
		if (!file_play(path, csv, plot))
			return 1;
		played++;
	}
	if (csv)
		fclose(csv);
	if (plot)
		fclose(plot);
	poptFreeContext(popt);
	if (played == 0) {
		fprintf(stderr, "rw-sim: it takes the files of scenarios\n");
		return 2;
	}
	return 0;
}
