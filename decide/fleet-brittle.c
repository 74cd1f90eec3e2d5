/*
 * Workers that say how many requests they can reject in a second for want of
 * room. The room is not known, and shrinks without a word: each host keeps to
 * what a worker has accepted from it lately, tries one more now and then, and
 * sends nothing for a while after a rejection. All hosts together then cause
 * fewer rejections than the worker bears, however little they know of each
 * other.
 */
#include "fleet.h"

#define KEPT_SHARE 0.5 /* of its requests there, once there is less room */
/* All hosts together cause this share of the rejections that are borne. */
#define USED_SHARE 0.6
/* Pauses between two tries with one more, where few rejections are borne: when
 * there is less room, each host may be rejected twice. */
#define SCARCE_PAUSES 2
#define PAUSE_MAX_MS 600000

void fleet_brittle_on_response(struct fleet_worker *worker, double rejections,
			       unsigned hosts)
{
	struct fleet_brittle *brittle = &worker->brittle;

	if (rejections < 0) {
		*brittle = (struct fleet_brittle){ .is = false };
		return;
	}
	brittle->is = true;
	brittle->scarce = rejections < 2.0 * hosts;
	brittle->pause = (clk_ms)MIN(CLK_SECOND * hosts /
					     MAX(rejections * USED_SHARE, 0.01),
				     PAUSE_MAX_MS);
}

void fleet_brittle_on_rejection(struct fleet_worker *worker, clk_ms now)
{
	struct fleet_brittle *brittle = &worker->brittle;
	unsigned accepted = worker->inflight > 0 ? worker->inflight - 1 : 0;
	/* Rejections arrive at once: this is most likely the one more. */
	bool tried = brittle->limited && brittle->tried_at > 0 &&
		     now - brittle->tried_at < brittle->pause;

	if (!brittle->is)
		return;
	if (!tried)
		fleet_withhold(worker, brittle->pause, now);
	brittle->limited = true;
	brittle->most = tried ? accepted : (unsigned)(accepted * KEPT_SHARE);
	brittle->tried_at = 0;
	brittle->rejected_at = now;
}

void fleet_brittle_on_send(struct fleet_worker *worker, clk_ms now)
{
	struct fleet_brittle *brittle = &worker->brittle;

	if (!brittle->limited || worker->inflight <= brittle->most)
		return;
	brittle->most = worker->inflight;
	brittle->tried_at = now;
}

bool fleet_brittle_is_full(const struct fleet_worker *worker, clk_ms now)
{
	const struct fleet_brittle *brittle = &worker->brittle;
	clk_ms last = MAX(brittle->tried_at, brittle->rejected_at);
	bool scarce = brittle->scarce && brittle->most > 0;
	clk_ms pause = brittle->pause * (scarce ? SCARCE_PAUSES : 1);
	bool tries = now - last >= pause;

	return brittle->limited && worker->inflight >= brittle->most + tries;
}
