/* rwctl: command line and commands. */
#include "ctl.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../wire/conf.h"

struct command {
	const char *name;
	const char *usage;
	const char *help;
	int min_args;
	int max_args;
	enum ctl_exit (*fn)(const struct ctl *ctl, const char **args);
};

/* Reads a file, or standard input if the path is "-". */
static char *file_read(const char *path, gsize *len)
{
	GError *error = NULL;
	char *text = NULL;

	if (!strcmp(path, "-"))
		path = "/dev/stdin";
	if (!g_file_get_contents(path, &text, len, &error)) {
		fprintf(stderr, "rwctl: %s\n", error->message);
		g_error_free(error);
	}
	return text;
}

/* Returns the request path of a change to a setting. */
static char *setting_path(const struct ctl *ctl, const char *key)
{
	if (ctl->expected_revision < 0)
		return g_strdup_printf("/v1/settings/%s", key);
	return g_strdup_printf("/v1/settings/%s?expect=%" PRId64, key,
			       ctl->expected_revision);
}

/* Prints a response, unchanged with --json or else by fn, and releases it. */
static enum ctl_exit print_response(const struct ctl *ctl,
				    struct ctl_response *response,
				    void (*fn)(struct json_object *obj))
{
	enum ctl_exit code = CTL_OK;

	if (response->result != HTTP_COMPLETE || response->status != 200 ||
	    !response->obj) {
		if (ctl->json && response->result == HTTP_COMPLETE)
			printf("%s\n", response->body->str);
		code = ctl_print_error(response);
	} else if (ctl->json) {
		printf("%s\n", response->body->str);
	} else {
		fn(response->obj);
	}
	ctl_response_clear(response);
	return code;
}

static void print_revision(struct json_object *obj)
{
	printf("%s is in force at revision %" PRId64 "\n",
	       json_text(obj, "key", ""), json_int(obj, "revision", 0));
}

static enum ctl_exit cmd_set(const struct ctl *ctl, const char **args)
{
	struct ctl_response response;
	gsize len = 0;
	char *text = file_read(args[1], &len);
	char *path;

	if (!text)
		return CTL_REFUSED;
	path = setting_path(ctl, args[0]);
	ctl_call(ctl, "PUT", path, text, len, &response);
	g_free(path);
	g_free(text);
	return print_response(ctl, &response, print_revision);
}

static enum ctl_exit cmd_rm(const struct ctl *ctl, const char **args)
{
	struct ctl_response response;
	char *path = setting_path(ctl, args[0]);

	ctl_call(ctl, "DELETE", path, NULL, 0, &response);
	g_free(path);
	return print_response(ctl, &response, print_revision);
}

static void print_value(struct json_object *obj)
{
	fprintf(stderr, "revision %" PRId64 ", by %s\n",
		json_int(obj, "revision", 0), json_text(obj, "by", ""));
	printf("%s\n", json_text(obj, "value", ""));
}

static enum ctl_exit cmd_get(const struct ctl *ctl, const char **args)
{
	struct ctl_response response;
	char *path = g_strdup_printf("/v1/settings/%s", args[0]);

	ctl_call(ctl, "GET", path, NULL, 0, &response);
	g_free(path);
	return print_response(ctl, &response, print_value);
}

static void print_change(struct json_object *change)
{
	printf("%" PRId64 " %s %s\n", json_int(change, "at", 0),
	       json_text(change, "by", "-"), json_text(change, "value", ""));
}

static void print_history(struct json_object *obj)
{
	struct json_object *list = NULL;

	print_change(obj);
	json_object_object_get_ex(obj, "history", &list);
	for (size_t i = 0; list && i < json_object_array_length(list); i++)
		print_change(json_object_array_get_idx(list, i));
}

static enum ctl_exit cmd_history(const struct ctl *ctl, const char **args)
{
	struct ctl_response response;
	char *path = g_strdup_printf("/v1/settings/%s", args[0]);

	ctl_call(ctl, "GET", path, NULL, 0, &response);
	g_free(path);
	return print_response(ctl, &response, print_history);
}

/* Prints the given fields of each item of a list, separated by tabs. */
static void print_list(struct json_object *obj, const char *list_name,
		       const char *const *fields)
{
	struct json_object *list = NULL;

	json_object_object_get_ex(obj, list_name, &list);
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);

		for (const char *const *field = fields; *field; field++) {
			struct json_object *value = NULL;

			json_object_object_get_ex(item, *field, &value);
			printf("%s%s", field == fields ? "" : "\t",
			       value ? json_object_get_string(value) : "-");
		}
		printf("\n");
	}
}

static void print_keys(struct json_object *obj)
{
	static const char *const fields[] = { "key", "revision", NULL };

	print_list(obj, "items", fields);
}

static enum ctl_exit cmd_ls(const struct ctl *ctl, const char **args)
{
	struct ctl_response response;
	char *path = g_strdup_printf("/v1/settings?prefix=%s",
				     args[0] ? args[0] : "");

	ctl_call(ctl, "GET", path, NULL, 0, &response);
	g_free(path);
	return print_response(ctl, &response, print_keys);
}

static void print_records(struct json_object *obj)
{
	static const char *const fields[] = { "key", "stored", NULL };

	print_list(obj, "items", fields);
}

static enum ctl_exit cmd_records(const struct ctl *ctl, const char **args)
{
	struct ctl_response response;

	(void)args;
	ctl_call(ctl, "GET", "/v1/holders", NULL, 0, &response);
	return print_response(ctl, &response, print_records);
}

static void print_hosts(struct json_object *obj)
{
	static const char *const fields[] = { "incarnation", "address",
					      "data_centre", "state", NULL };

	print_list(obj, "hosts", fields);
}

static enum ctl_exit cmd_hosts(const struct ctl *ctl, const char **args)
{
	struct ctl_response response;

	(void)args;
	ctl_call(ctl, "GET", "/v1/hosts", NULL, 0, &response);
	return print_response(ctl, &response, print_hosts);
}

static void print_upstreams(struct json_object *obj)
{
	static const char *const fields[] = { "name",  "pool",	  "data_centre",
					      "state", "running", "queued",
					      NULL };

	print_list(obj, "upstreams", fields);
}

static enum ctl_exit cmd_upstreams(const struct ctl *ctl, const char **args)
{
	struct ctl_response response;

	(void)args;
	ctl_call(ctl, "GET", "/v1/upstreams", NULL, 0, &response);
	return print_response(ctl, &response, print_upstreams);
}

static void print_done(struct json_object *obj)
{
	(void)obj;
	printf("done\n");
}

static enum ctl_exit cmd_drain(const struct ctl *ctl, const char **args)
{
	struct ctl_response response;
	char *path = g_strdup_printf("/v1/drain?upstream=%s%s", args[0],
				     ctl->undo ? "&back=1" : "");

	ctl_call(ctl, "POST", path, NULL, 0, &response);
	g_free(path);
	return print_response(ctl, &response, print_done);
}

/* Checks a settings file of a kind: entry (the default), admin, model, ... */
static enum ctl_exit cmd_check(const struct ctl *ctl, const char **args)
{
	const char *name = args[1] ? args[1] : "entry";
	enum conf_kind kind = conf_kind_parse(name, strlen(name));
	GError *error = NULL;
	void *conf;

	(void)ctl;
	if (kind == CONF_KIND_COUNT) {
		fprintf(stderr, "rwctl: \"%s\" is not a kind of settings\n",
			name);
		return CTL_USAGE;
	}
	conf = conf_load(kind, args[0], &error);
	if (!conf) {
		fprintf(stderr, "rwctl: %s\n", error->message);
		g_error_free(error);
		return CTL_REFUSED;
	}
	conf_free(kind, conf);
	printf("%s: a correct %s\n", args[0], name);
	return CTL_OK;
}

static const struct command commands[] = {
	{ "set", "KEY FILE", "change a setting; \"-\" reads standard input", 2,
	  2, cmd_set },
	{ "get", "KEY", "print a setting", 1, 1, cmd_get },
	{ "rm", "KEY", "delete a setting", 1, 1, cmd_rm },
	{ "ls", "[PREFIX]", "list settings", 0, 1, cmd_ls },
	{ "history", "KEY", "print the last changes of a setting", 1, 1,
	  cmd_history },
	{ "hosts", "", "list the entry hosts", 0, 0, cmd_hosts },
	{ "upstreams", "", "list the upstreams", 0, 0, cmd_upstreams },
	{ "holders", "", "list the primaries' records", 0, 0, cmd_records },
	{ "drain", "UPSTREAM", "give an upstream no new work; --back undoes", 1,
	  1, cmd_drain },
	{ "check", "FILE [KIND]",
	  "check a settings file; KIND defaults to entry", 1, 2, cmd_check },
	{ "trace", "FILE ID", "print the spans of a request", 2, 2, ctl_trace },
};

static void usage(FILE *file)
{
	fprintf(file, "usage: rwctl [OPTION]... COMMAND [ARGUMENT]...\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(file, "  %-10s %-12s %s\n", commands[i].name,
			commands[i].usage, commands[i].help);
	fprintf(file, "\n  --admin IP:PORT  address of rw-admind "
		      "(or RWCTL_ADMIN)\n"
		      "  --expect N       revision that a change replaces\n"
		      "  --by NAME        who makes the change\n"
		      "  --json           print answers as they are\n"
		      "  --back           of drain: takes work again\n");
}

/* Runs the command that the arguments name. */
static enum ctl_exit run_command(const struct ctl *ctl, const char **args)
{
	int count = 0;

	while (args && args[count])
		count++;
	for (size_t i = 0; count > 0 && i < G_N_ELEMENTS(commands); i++) {
		const struct command *command = &commands[i];

		if (strcmp(command->name, args[0]) != 0)
			continue;
		if (count - 1 < command->min_args ||
		    count - 1 > command->max_args) {
			fprintf(stderr, "usage: rwctl %s %s\n", command->name,
				command->usage);
			return CTL_USAGE;
		}
		return command->fn(ctl, args + 1);
	}
	if (count > 0)
		fprintf(stderr, "rwctl: no command \"%s\"\n", args[0]);
	usage(stderr);
	return CTL_USAGE;
}

int main(int argc, const char **argv)
{
	struct ctl ctl = { .expected_revision = -1 };
	long long expect = -1;
	int json = 0;
	int back = 0;
	int help = 0;
	struct poptOption options[] = {
		{ "admin", 0, POPT_ARG_STRING, &ctl.admin, 0, NULL, NULL },
		{ "expect", 0, POPT_ARG_LONGLONG, &expect, 0, NULL, NULL },
		{ "by", 0, POPT_ARG_STRING, &ctl.operator_name, 0, NULL, NULL },
		{ "json", 0, POPT_ARG_NONE, &json, 0, NULL, NULL },
		{ "back", 0, POPT_ARG_NONE, &back, 0, NULL, NULL },
		{ "help", 0, POPT_ARG_NONE, &help, 0, NULL, NULL },
		POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);
	int rc = poptGetNextOpt(popt);

	if (rc < -1) {
		fprintf(stderr, "rwctl: %s: %s\n", poptBadOption(popt, 0),
			poptStrerror(rc));
		return CTL_USAGE;
	}
	if (help) {
		usage(stdout);
		return CTL_OK;
	}
	ctl.expected_revision = expect;
	ctl.json = json;
	ctl.undo = back;
	if (!ctl.admin)
		ctl.admin = getenv("RWCTL_ADMIN");
	if (!ctl.admin)
		ctl.admin = "127.0.0.1:7100";
	if (!ctl.operator_name)
		ctl.operator_name = getenv("USER");
	if (!ctl.operator_name)
		ctl.operator_name = "operator";
	return run_command(&ctl, poptGetArgs(popt));
}
