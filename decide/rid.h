/*
 * Request ids: "<home incarnation>.<time>-<nonce>".
 *
 * The incarnation is "<host name>~<8 hex digits>"; the time is the home's
 * wall clock at GET /v1/locate, in ms, in hex; the nonce is the caller's.
 */
#ifndef DECIDE_RID_H
#define DECIDE_RID_H

#include <stdbool.h>
#include <stddef.h>

#include "clk.h"

#define RID_MAX 160	       /* bytes of an id */
#define RID_INCARNATION_MAX 72 /* bytes of an incarnation */
#define RID_NONCE_MAX 64       /* bytes of a nonce */

/* The parts of an id. */
struct rid {
	char primary[RID_INCARNATION_MAX + 1];
	clk_ms time; /* wall clock of the home */
};

/* Takes an id apart; returns false if it is not of the form. */
bool rid_parse(const char *text, size_t len, struct rid *rid);
/* Writes the part before the nonce to buf, as locate answers it. */
void rid_prefix(char *buf, size_t size, const char *home, clk_ms time);
/* Writes an incarnation to buf. */
void rid_incarnation(char *buf, size_t size, const char *host, unsigned random);
/* Tells whether text is usable as a host name. */
bool rid_host_ok(const char *text, size_t len);

#endif
