/*
 * What a host fetches from others that report newer replicas: one exchange at a
 * time for each replica, so that a small change of one doesn't wait for a large
 * one of another.
 */
#ifndef DECIDE_FETCH_H
#define DECIDE_FETCH_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "member.h"

enum fetch_part {
	FETCH_WORKERS, /* first: an exchange of it is small */
	FETCH_CONFIG,
	FETCH_PARTS
};

/* One replica. */
struct fetch_state {
	char rpc[MEMBER_ADDRESS_MAX]; /* who reports more; "": nobody */
	int64_t revision;	      /* that it reports */
	bool pending;		      /* an exchange */
	clk_ms next_at;		      /* no exchange before */
};

struct fetch {
	struct fetch_state parts[FETCH_PARTS];
};

/* A host reports the revision of a replica; own: this host's. Returns whether
 * it is newer. */
bool fetch_on_revision(struct fetch *fetch, enum fetch_part part,
		       const char *rpc, int64_t revision, int64_t own);
/* Copies to rpc the address of the host to ask now for a replica; returns false
 * if there is none. The exchange is pending until fetch_on_done; if it brings
 * nothing newer, the next one follows. */
bool fetch_next(struct fetch *fetch, enum fetch_part part, int64_t own,
		clk_ms now, char rpc[MEMBER_ADDRESS_MAX]);
void fetch_on_done(struct fetch *fetch, enum fetch_part part);

#endif
