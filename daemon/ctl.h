/* rwctl: the operators' command line. */
#ifndef DAEMON_CTL_H
#define DAEMON_CTL_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "../wire/http.h"
#include "../wire/json.h"

/* What the command line says, besides the command's own words. */
struct ctl {
	char *admin;		   /* address of rw-admind */
	char *operator_name;	   /* who changes a setting */
	int64_t expected_revision; /* revision that a change replaces; -1: any
				    */
	bool json;		   /* print what was answered as it is */
	bool undo;		   /* of drain: takes work again */
};

/* Exit codes, as in the manual page. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_USAGE = 1,	     /* the command line is wrong */
	CTL_REFUSED = 2,     /* a rule is broken, or no such thing */
	CTL_CONFLICT = 3,    /* another change came first */
	CTL_UNKNOWN = 4,     /* nobody knows whether it took effect */
	CTL_NO_RESPONSE = 5, /* rw-admind does not answer */
};

/* An answer of rw-admind. */
struct ctl_response {
	enum http_result result;
	int status;
	GString *body;
	struct json_object *obj; /* NULL if it is no object */
	uv_loop_t *loop;	 /* stopped when the answer is here */
};

/* Calls rw-admind and waits; body may be NULL. */
void ctl_call(const struct ctl *ctl, const char *method, const char *path,
	      const char *body, size_t len, struct ctl_response *answer);
void ctl_response_clear(struct ctl_response *answer);
/* Prints an answer's error; returns the exit code. */
enum ctl_exit ctl_print_error(const struct ctl_response *answer);

/* ctl-trace.c */
enum ctl_exit ctl_trace(const struct ctl *ctl, const char **args);

#endif
