/* Counts the requests that end without a whole answer, by cause: broken off, or
 * answered with 502 or 504. */
#include "proxyd-xfer.h"

#include <string.h>

/* The causes as they are logged (why=). */
static const struct {
	const char *why;
	enum ctr counter;
} causes[] = {
	{ "cut_off", CTR_unanswered_cut },
	{ "event_cut_off", CTR_unanswered_cut },
	{ "end_not_proved", CTR_unanswered_cut },
	{ "answer_too_large", CTR_unanswered_bad },
	{ "gap_in_events", CTR_unanswered_bad },
	{ "no_response", CTR_unanswered_bad },
	{ "unproved_refusal", CTR_unanswered_bad },
	{ "unsigned_answer", CTR_unanswered_bad },
	{ "upstream_failed", CTR_unanswered_bad },
	{ "silent", CTR_unanswered_silent },
	{ "time_over", CTR_unanswered_late },
	{ "caller_does_not_read", CTR_unanswered_slow },
	{ "no_memory", CTR_unanswered_memory },
	{ "moved_in_vain", CTR_unanswered_move },
	{ "moved_to_lost_worker", CTR_unanswered_move },
	{ "host_cut_off", CTR_unanswered_host },
	{ "host_stopped_stream", CTR_unanswered_host },
	{ "links_lost", CTR_unanswered_links },
	{ "no_host", CTR_unanswered_links },
	{ "crashes_workers", CTR_unanswered_again },
	{ "no_connection", CTR_unanswered_again },
	{ "no_worker", CTR_unanswered_again },
	{ "no_worker_of_version", CTR_unanswered_again },
	{ "upstream_refused", CTR_unanswered_again },
	{ "other_process", CTR_unanswered_again },
	{ "unknown_process", CTR_unanswered_again },
	{ "silent_process", CTR_unanswered_again },
	{ "connection_not_kept", CTR_unanswered_again },
	{ "worker_leaves", CTR_unanswered_again },
	{ "grace_over", CTR_unanswered_stop },
};

void ends_count(struct proxyd *proxyd, const char *why)
{
	for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
		if (strcmp(causes[i].why, why) != 0)
			continue;
		proxyd_count(proxyd, causes[i].counter);
		return;
	}
	proxyd_count(proxyd, CTR_unanswered_other);
}
