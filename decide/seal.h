/*
 * Which usage windows this host may report as the leader, and with which
 * counts.
 *
 * A window is sealed before it is reported: its counts are written to the
 * store. Thus a window without a seal was not reported, as long as the store
 * loses nothing. If it comes back from an older copy, seals may be missing.
 * What this host has read of them stays valid, and it knows all of them if it
 * followed the store until then. A host that did not, or has just started,
 * reports no window that may have been reported before, unless it has counted
 * that window itself, so that its counts are the same.
 */
#ifndef DECIDE_SEAL_H
#define DECIDE_SEAL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SEAL_NEVER INT64_MAX /* in place of a window: there is none */

struct seals {
	GHashTable *counts; /* window -> text */
	/* A window from this one on that has no seal was not reported. */
	int64_t known_from;
};

void seal_init(struct seals *seals);
/* A window's seal was read from the store, or written. */
void seal_put(struct seals *seals, int64_t window, const char *counts,
	      size_t len);
/* Returns the counts of a window; NULL: no seal is known. */
const char *seal_counts(const struct seals *seals, int64_t window);
/* The store begins an era. followed: this host has read all changes until then;
 * next: first window that begins after now. */
void seal_on_era(struct seals *seals, bool followed, int64_t next);
/* A leader of the present era has recorded that all seals from a window on are
 * in the store. */
void seal_on_record(struct seals *seals, int64_t from);
/* Returns the first window that may be reported without a seal. counted_from:
 * first window that this host has counted whole. */
int64_t seal_first(const struct seals *seals, int64_t counted_from);
/* The record's text; the caller frees it. */
char *seal_record_print(int64_t era, int64_t from);
/* Returns false if the text is malformed. */
bool seal_record_parse(const char *text, size_t len, int64_t *era,
		       int64_t *from);
/* Drops the seals of windows before the oldest one. */
void seal_expire(struct seals *seals, int64_t oldest);

#endif
