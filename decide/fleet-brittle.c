/*
 * Workers that say how many requests they can reject in a second for want of
 * room. The room is not known, and shrinks without a word: each host keeps to
 * what a worker has accepted from it lately, tries one more now and then, and
 * sends nothing for a while after a rejection. All hosts together then cause
 * fewer rejections than the worker bears, however little they know of each
 * other.
 */
#include "fleet.h"

#define KEPT_SHARE                                                             \
	0.9 /* of its requests there, for a host that is rejected              \
	     */
/* All hosts together cause this share of the rejections that are borne. */
#define USED_SHARE 0.6
#define PAUSE_MAX_MS 5000

void fleet_brittle_on_response(struct fleet_worker *worker, double rejections,
			       unsigned hosts)
{
	struct fleet_brittle *brittle = &worker->brittle;

	if (rejections < 0) {
		*brittle = (struct fleet_brittle){ .is = false };
		return;
	}
	brittle->is = true;
	brittle->pause = (clk_ms)MIN(CLK_SECOND * hosts /
					     MAX(rejections * USED_SHARE, 0.01),
				     PAUSE_MAX_MS);
}

void fleet_brittle_on_rejection(struct fleet_worker *worker, clk_ms now)
{
	struct fleet_brittle *brittle = &worker->brittle;
	unsigned accepted = worker->inflight > 0 ? worker->inflight - 1 : 0;

	if (!brittle->is)
		return;
	/* What it has accepted still goes there, unless it is too much, too. */
	if (brittle->limited && now - brittle->rejected_at < brittle->pause)
		fleet_withhold(worker, brittle->pause, now);
	brittle->limited = true;
	brittle->most = (unsigned)(accepted * KEPT_SHARE);
	brittle->changed_at = now;
	brittle->rejected_at = now;
}

void fleet_brittle_on_send(struct fleet_worker *worker, clk_ms now)
{
	struct fleet_brittle *brittle = &worker->brittle;

	if (!brittle->limited || worker->inflight <= brittle->most)
		return;
	brittle->most = worker->inflight;
	brittle->changed_at = now;
}

bool fleet_brittle_is_full(const struct fleet_worker *worker, clk_ms now)
{
	const struct fleet_brittle *brittle = &worker->brittle;
	bool tries = now - brittle->changed_at >= brittle->pause ||
		     brittle->most == 0;

	return brittle->limited && worker->inflight >= brittle->most + tries;
}
