/*
 * Request ids: "<primary's incarnation>.<time>-<nonce>".
 *
 * The incarnation is "<host name>~<8 hex digits>". The time is the primary's
 * wall clock at GET /v1/locate, in ms, in hex. The caller chooses the nonce.
 */
#ifndef DECIDE_RID_H
#define DECIDE_RID_H

#include <stdbool.h>
#include <stddef.h>

#include "clk.h"

#define RID_MAX 160	       /* bytes of an id */
#define RID_INCARNATION_MAX 72 /* bytes of an incarnation */
#define RID_NONCE_MAX 64       /* bytes of a nonce */
#define RID_RANDOM_MAX 9       /* bytes of "~" and the digits after it */

/* The parts of an id. */
struct rid {
	char primary[RID_INCARNATION_MAX + 1];
	clk_ms time; /* wall clock of the primary */
};

/* Parses an id; returns false if it is malformed. */
bool rid_parse(const char *text, size_t len, struct rid *rid);
/* Writes an id's part before the "-" and nonce to buf, as locate returns it. */
void rid_prefix(char *buf, size_t size, const char *primary, clk_ms time);
/* Writes "<host>~<random>" to buf; a host name that is too long is cut. */
void rid_incarnation(char *buf, size_t size, const char *host, unsigned random);
/* Returns whether text is usable as a host name. */
bool rid_host_ok(const char *text, size_t len);

#endif
