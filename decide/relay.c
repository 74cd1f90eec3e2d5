/* Which host's aggregated reports a host accepts. */
#include "relay.h"

#include <glib.h>
#include <string.h>

#define SOURCE_TIMEOUT_MS 700 /* longer than the period of reports */

bool relay_accepts(struct relay_source *source, const char *process, clk_ms now)
{
	bool same = !strcmp(source->process, process);

	if (!same && source->last_report_at &&
	    now - source->last_report_at <= SOURCE_TIMEOUT_MS)
		return false;
	if (!same)
		g_strlcpy(source->process, process, sizeof(source->process));
	source->last_report_at = now;
	return true;
}
