/* How old a copy of a replica is. */
#include "age.h"

#include <glib.h>
#include <string.h>

/* A revision that is not reached for so long may not exist any more: the store
 * has come back older. */
#define AHEAD_MS 5000

void age_on_read(struct age *age, clk_ms now)
{
	*age = (struct age){ .complete_at = now };
}

void age_on_revision(struct age *age, int64_t own)
{
	while (age->ahead[0].revision && age->ahead[0].revision <= own) {
		age->complete_at = MAX(age->complete_at, age->ahead[0].at);
		age->ahead[0] = age->ahead[1];
		age->ahead[1] = (struct age_report){ .revision = 0 };
	}
}

void age_on_report(struct age *age, int64_t revision, int64_t own, clk_ms now)
{
	struct age_report *first = &age->ahead[0];

	age_on_revision(age, own);
	if (first->revision > revision) {
		if (now - first->at < AHEAD_MS)
			return; /* the other host is behind */
		memset(age->ahead, 0, sizeof(age->ahead));
	}
	if (revision <= own)
		age_on_read(age, now);
	else
		age->ahead[first->revision != 0] = (struct age_report){
			.revision = revision,
			.at = now,
		};
}
