/*
 * How long ago this host's copy of a replica was known to be complete. Another
 * host reports the revision that it has; once this host has that one too, its
 * copy is as complete as it was for the other one when the report arrived, also
 * if a newer revision has been reported meanwhile.
 */
#ifndef DECIDE_AGE_H
#define DECIDE_AGE_H

#include <stdint.h>

#include "clk.h"

#define AGE_REPORTS 2 /* the oldest and the newest that are ahead */

struct age_report {
	int64_t revision; /* 0: none */
	clk_ms at;
};

struct age {
	struct age_report ahead[AGE_REPORTS];
	clk_ms complete_at; /* 0: never */
};

/* This host has read the replica itself. */
void age_on_read(struct age *age, clk_ms now);
/* Another host that is not behind reports its revision; own: this host's. */
void age_on_report(struct age *age, int64_t revision, int64_t own, clk_ms now);
/* This host's revision has changed. */
void age_on_revision(struct age *age, int64_t own);

#endif
