/* Whether a response that ended with its connection is whole. */
#include "proof.h"

enum proof_verdict proof_judge(const struct proof_evidence *evidence)
{
	bool needs_start = evidence->says_start &&
			   (evidence->sent_start || evidence->said_start);

	/* The strongest first: what the process says, the list, connections,
	 * its id. */
	if (evidence->is_other)
		return PROOF_OTHER;
	if (evidence->said_start && evidence->sent_start)
		return evidence->said_start == evidence->sent_start
			       ? PROOF_SAME
			       : PROOF_OTHER;
	if (evidence->listed_start &&
	    evidence->listed_start != evidence->sent_start)
		return PROOF_OTHER;
	if (evidence->has_connections)
		return PROOF_SAME;
	if (evidence->ended_connections)
		return PROOF_OTHER;
	if (!evidence->answered)
		return PROOF_SILENT;
	return evidence->is_named && !needs_start ? PROOF_SAME : PROOF_UNKNOWN;
}
