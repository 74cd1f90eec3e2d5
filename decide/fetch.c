/* What a host fetches from others that report newer replicas. */
#include "fetch.h"

#include <glib.h>

#define GAP_MS 100 /* from the start of an exchange to the next one */

bool fetch_on_revision(struct fetch *fetch, enum fetch_part part,
		       const char *rpc, int64_t revision, int64_t own)
{
	struct fetch_state *state = &fetch->parts[part];

	if (revision <= own)
		return false;
	g_strlcpy(state->rpc, rpc, sizeof(state->rpc));
	state->revision = revision;
	return true;
}

bool fetch_next(struct fetch *fetch, enum fetch_part part, int64_t own,
		clk_ms now, char rpc[MEMBER_ADDRESS_MAX])
{
	struct fetch_state *state = &fetch->parts[part];
	bool newer = state->revision > own;

	if (!state->rpc[0] || state->pending || now < state->next_at)
		return false;
	if (!newer) {
		state->rpc[0] = '\0';
		return false;
	}
	g_strlcpy(rpc, state->rpc, MEMBER_ADDRESS_MAX);
	state->pending = true;
	state->next_at = now + GAP_MS;
	return true;
}

void fetch_on_done(struct fetch *fetch, enum fetch_part part)
{
	fetch->parts[part].pending = false;
}
