/* Which host's sums a host takes. */
#include "relay.h"

#include <glib.h>
#include <string.h>

#define SILENT_MS 700 /* a period of relays, and some */

bool relay_accepts(struct relay_choice *relay, const char *process, clk_ms now)
{
	bool same = !strcmp(relay->from, process);

	if (!same && relay->heard && now - relay->heard <= SILENT_MS)
		return false;
	if (!same)
		g_strlcpy(relay->from, process, sizeof(relay->from));
	relay->heard = now;
	return true;
}
