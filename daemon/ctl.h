/* rwctl: the operators' command line. */
#ifndef DAEMON_CTL_H
#define DAEMON_CTL_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "../wire/http.h"
#include "../wire/json.h"

/* Options of the command line. */
struct ctl {
	char *admin;		   /* IP:port of rw-admind */
	char *operator_name;	   /* recorded with a change */
	int64_t expected_revision; /* of the changed setting; -1: any */
	bool json;		   /* print response bodies unchanged */
	bool undo;		   /* of drain: accept work again */
};

/* Exit codes; they are documented in the manual page. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_USAGE = 1,	  /* invalid command line */
	CTL_REFUSED = 2,  /* invalid change, no such item, or a local error */
	CTL_CONFLICT = 3, /* another change was made first */
	CTL_UNKNOWN = 4,  /* it is unknown whether it took effect */
	CTL_NO_RESPONSE = 5, /* rw-admind did not respond */
};

/* A response of rw-admind. */
struct ctl_response {
	enum http_result result;
	int status;
	GString *body;
	struct json_object *obj; /* parsed body; NULL if not a JSON object */
	uv_loop_t *loop;	 /* stopped when the request ends */
};

/* Sends a request to rw-admind and waits for its end; body may be NULL. The
 * response must be released with ctl_response_clear. */
void ctl_call(const struct ctl *ctl, const char *method, const char *path,
	      const char *body, size_t len, struct ctl_response *response);
void ctl_response_clear(struct ctl_response *response);
/* Prints the error of a response; returns the exit code. */
enum ctl_exit ctl_print_error(const struct ctl_response *response);

/* ctl-trace.c */
enum ctl_exit ctl_trace(const struct ctl *ctl, const char **args);

#endif
