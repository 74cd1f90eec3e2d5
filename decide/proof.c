/* Whether a response that ended with its connection is whole. */
#include "proof.h"

/* Whether two starts are known, and of different processes. */
static bool differ(int64_t one, int64_t other)
{
	return one && other && one != other;
}

enum proof_verdict proof_judge(const struct proof_evidence *evidence)
{
	if (!evidence->answered)
		return PROOF_SILENT;
	if (evidence->is_other ||
	    differ(evidence->started_at, evidence->sent_to) ||
	    differ(evidence->listed, evidence->sent_to))
		return PROOF_OTHER;
	if ((evidence->started_at && evidence->sent_to) || evidence->is_named)
		return PROOF_SAME;
	return PROOF_UNKNOWN;
}
