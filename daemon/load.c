/* rw-load: command line, request arrivals and end of the run. */
#include "load.h"

#include <errno.h>
#include <math.h>
#include <popt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define ARRIVAL_TICK_MS 1

void load_request_done(struct load *load, enum load_outcome outcome)
{
	load->outcomes[outcome]++;
	load->in_flight--;
	if (load->rate > 0)
		return;
	if ((clk_ms)uv_now(&load->loop) < load->stop_at)
		load_start_request(load);
}

/* Starts the requests that are due, regardless of responses; ends the run once
 * the arrivals are over and every request has its outcome. */
static void on_arrivals(uv_timer_t *timer)
{
	struct load *load = timer->data;
	clk_ms now = (clk_ms)uv_now(&load->loop);
	clk_ms elapsed = MIN(now, load->stop_at) - load->started_at;
	int64_t due = (int64_t)((double)elapsed * load->rate / CLK_SECOND);

	while (load->rate > 0 && load->request_count < due)
		load_start_request(load);
	if (now >= load->stop_at && load->in_flight == 0) {
		uv_timer_stop(timer);
		uv_stop(&load->loop);
	}
}

/* Parses "itinerary:0.5,stock:0.3"; the prefix '@' marks the name of a
 * model. */
static bool kinds_parse(struct load *load, const char *mix)
{
	char **parts = g_strsplit(mix, ",", -1);
	bool ok = parts[0] != NULL;

	load->kinds = g_array_new(FALSE, TRUE, sizeof(struct load_kind));
	for (char **part = parts; *part; part++) {
		struct load_kind kind = { .weight = 1 };
		char *colon = strchr(*part, ':');

		if (colon) {
			*colon = '\0';
			kind.weight = g_ascii_strtod(colon + 1, NULL);
		}
		kind.is_model = (*part)[0] == '@';
		kind.name = g_strdup(*part + kind.is_model);
		ok = ok && kind.name[0] && kind.weight > 0;
		g_array_append_val(load->kinds, kind);
	}
	g_strfreev(parts);
	return ok;
}

/* Parses the addresses of the command line, separated by commas. */
static void entries_parse(struct load *load, const char *text)
{
	char **parts = g_strsplit(text, ",", -1);

	load->entries = g_ptr_array_new_with_free_func(g_free);
	for (char **part = parts; *part; part++)
		g_ptr_array_add(load->entries, *part);
	g_free(parts);
}

/* Opens the history and trace files given on the command line. */
static bool files_open(struct load *load, const char *history,
		       const char *trace)
{
	GError *error = NULL;

	load->tracer =
		trace_open(trace ? trace : "", "rw-load", load->rand, &error);
	if (!load->tracer) {
		fprintf(stderr, "rw-load: %s\n", error->message);
		return false;
	}
	if (!history)
		return true;
	load->history = fopen(history, "a");
	if (!load->history)
		fprintf(stderr, "rw-load: cannot open \"%s\": %s\n", history,
			strerror(errno));
	return load->history != NULL;
}

static void load_run(struct load *load)
{
	load->client = http_client_create(&load->loop);
	load->first_chunk_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load->total_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load->chunk_gap_ms = g_array_new(FALSE, FALSE, sizeof(double));
	uv_update_time(&load->loop);
	load->started_at = (clk_ms)uv_now(&load->loop);
	load->stop_at = load->started_at + (clk_ms)load->seconds * CLK_SECOND;
	uv_timer_init(&load->loop, &load->arrival_timer);
	load->arrival_timer.data = load;
	uv_timer_start(&load->arrival_timer, on_arrivals, ARRIVAL_TICK_MS,
		       ARRIVAL_TICK_MS);
	for (int i = 0; load->rate <= 0 && i < load->concurrency; i++)
		load_start_request(load);
	uv_run(&load->loop, UV_RUN_DEFAULT);
	load_print_summary(load);
	if (load->history)
		fclose(load->history);
	trace_close(load->tracer);
}

int main(int argc, const char **argv)
{
	static struct load load = {
		.concurrency = 1,
		.seconds = 5,
		.prompt_bytes = 64,
		.prefix_count = 4,
		.max_tokens = 16,
		.timeout_ms = 30000,
	};
	char *entries = NULL;
	char *accounts = "coop";
	char *mix = "@itinerary";
	char *history = NULL;
	char *trace = NULL;
	int seed = 1;
	int no_stream = 0;
	int verify = 0;
	struct poptOption options[] = {
		{ "entry", 'e', POPT_ARG_STRING, &entries, 0,
		  "entry hosts, separated by commas", "IP:PORT" },
		{ "rate", 'r', POPT_ARG_DOUBLE, &load.rate, 0,
		  "arrivals per second; 0 for a closed loop", "N" },
		{ "concurrency", 'c', POPT_ARG_INT, &load.concurrency, 0,
		  "callers in a closed loop", "N" },
		{ "seconds", 's', POPT_ARG_INT, &load.seconds, 0,
		  "duration of the arrivals", "N" },
		{ "accounts", 'a', POPT_ARG_STRING, &accounts, 0,
		  "accounts, separated by commas", "NAMES" },
		{ "mix", 'm', POPT_ARG_STRING, &mix, 0,
		  "request mix: @MODEL or ROUTE, with weights", "LIST" },
		{ "prompt", 'P', POPT_ARG_INT, &load.prompt_bytes, 0,
		  "prompt length", "bytes" },
		{ "prefixes", 0, POPT_ARG_INT, &load.prefix_count, 0,
		  "distinct prompt prefixes", "N" },
		{ "tokens", 't', POPT_ARG_INT, &load.max_tokens, 0,
		  "maximum tokens per response", "N" },
		{ "patience", 0, POPT_ARG_INT, &load.timeout_ms, 0,
		  "time after which a request is given up", "ms" },
		{ "history", 'H', POPT_ARG_STRING, &history, 0, "history file",
		  "FILE" },
		{ "trace", 0, POPT_ARG_STRING, &trace, 0, "trace file",
		  "FILE" },
		{ "direct", 'd', POPT_ARG_STRING, &load.direct_addresses, 0,
		  "engines to call bypassing the system", "IP:PORT" },
		{ "seed", 0, POPT_ARG_INT, &seed, 0, "random seed", "N" },
		{ "whole", 'w', POPT_ARG_NONE, &no_stream, 0,
		  "do not request streaming", NULL },
		{ "verify", 'v', POPT_ARG_NONE, &verify, 0,
		  "compare texts with those of the fake engine", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (poptGetNextOpt(popt) < -1 || (!entries && !load.direct_addresses)) {
		poptPrintUsage(popt, stderr, 0);
		return EXIT_FAILURE;
	}
	signal(SIGPIPE, SIG_IGN);
	load.rand = g_rand_new_with_seed((guint32)seed);
	load.no_stream = no_stream;
	load.verify = verify;
	entries_parse(&load, entries ? entries : "");
	load.accounts = g_strsplit(accounts, ",", -1);
	uv_loop_init(&load.loop);
	if (!kinds_parse(&load, mix) || !files_open(&load, history, trace))
		return EXIT_FAILURE;
	load_run(&load);
	return EXIT_SUCCESS;
}
