/*
 * Whether a response that ended with its connection is whole. The kernel closes
 * the connections of a process that dies as the process itself does at the end
 * of a response, and the next process may serve the same address at once. The
 * end is proved if the process that sent the response still runs afterwards.
 */
#ifndef DECIDE_PROOF_H
#define DECIDE_PROOF_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of the process at the worker's address once the response has
 * ended. Starts are in ms of the wall clock of the worker's machine; 0: not
 * known. */
struct proof_evidence {
	bool answered;	    /* a process there has answered */
	bool is_named;	    /* it has the worker's id, by its answer */
	bool is_other;	    /* it has another id */
	int64_t started_at; /* it says when it started */
	int64_t sent_to; /* when that one started that the request was sent to
			  */
	int64_t listed;	 /* when the one started that is listed with the id */
};

enum proof_verdict {
	PROOF_SILENT,  /* nothing has answered */
	PROOF_OTHER,   /* another process has */
	PROOF_UNKNOWN, /* some process has, which may be another one */
	PROOF_SAME,    /* the process still runs: the response is whole */
};

/* A process is identified by its start or, where that is not said, by its id.
 */
enum proof_verdict proof_judge(const struct proof_evidence *evidence);

#endif
