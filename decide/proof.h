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
 * ended. Starts of processes are in ms of the wall clock of the worker's
 * machine; 0: not known. */
struct proof_evidence {
	int64_t sent_start;   /* of the one that the request was sent to */
	int64_t listed_start; /* of the one that is listed with the id now */
	int64_t said_start;   /* of the one that answers, as it says */
	bool answered;	      /* a process has answered */
	bool is_named;	      /* it has the worker's id, as it says */
	bool is_other;	      /* it has another id */
	bool says_start;      /* its kind of worker says when it started */
	/* Other connections that had carried a response before this one began.
	 */
	bool has_connections; /* one is still open */
	/* The worker has ended one at about the time of the response's end,
	 * other than that of the response. */
	bool ended_connections;
};

enum proof_verdict {
	PROOF_SILENT,  /* no process has answered */
	PROOF_UNKNOWN, /* some process has, which may be another one */
	PROOF_OTHER,   /* the process has ended */
	PROOF_SAME,    /* the process still runs: the response is whole */
};

/* A process is identified by its start, by its connections or, of a worker that
 * can't say when it started, by its id. */
enum proof_verdict proof_judge(const struct proof_evidence *evidence);

#endif
