/* Which host's sums a host takes. */
#include "relay.h"

#include <glib.h>
#include <string.h>

#define SILENT_MS 700 /* a period of relays, and some */

bool relay_accepts(struct relay_source *relay, const char *process, clk_ms now)
{
	bool same = !strcmp(relay->process, process);

	if (!same && relay->last_report_at &&
	    now - relay->last_report_at <= SILENT_MS)
		return false;
	if (!same)
		g_strlcpy(relay->process, process, sizeof(relay->process));
	relay->last_report_at = now;
	return true;
}
