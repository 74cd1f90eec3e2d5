/* Counters of the metrics, all in one list. */
#ifndef WIRE_CTR_H
#define WIRE_CTR_H

#include <glib.h>
#include <stdint.h>

/* Every counter: its metric name and what it counts. */
#define CTR_LIST(X)                                                            \
	X(requests, "requests received from callers")                          \
	X(accepted, "requests accepted and copied to a standby")               \
	X(accepted_alone, "requests accepted while no other host was alive")   \
	X(ended_whole, "requests answered with a complete response")           \
	X(ended_not_run, "requests answered as not run")                       \
	X(ended_unknown, "requests answered with outcome unknown")             \
	X(reconnects, "callers that fetched a known request again")            \
	X(forwarded, "requests forwarded to another host")                     \
	X(forwards_received, "requests forwarded by another host")             \
	X(forwards_rejected, "such requests that were not accepted")           \
	X(closed_unread, "connections closed with bytes that were not read")   \
	X(forwards_declined, "requests that no other host has accepted")       \
	X(links_doubted, "times the links to a pool's workers were in doubt")  \
	X(workers_unreached,                                                   \
	  "workers that other hosts hear, and this one not")                   \
	X(closed_unserved, "connections closed at once as too many are open")  \
	X(refused_connections, "requests refused for the same cause")          \
	X(links_lost, "times the links to all workers of a pool were lost")    \
	X(moved, "requests whose primary became another host")                 \
	X(inherited, "requests taken over from a failed host")                 \
	X(awaited_start,                                                       \
	  "requests that waited for the configuration after a start")          \
	X(refused_busy, "requests refused because of load")                    \
	X(refused_limit, "requests refused by an account's limit")             \
	X(refused_limit_own, "of these, by this host's share of it")           \
	X(refused_limit_rank, "of these, kept for more urgent requests")       \
	X(bad_input, "malformed or unknown requests and messages")             \
	X(attempts, "attempts at upstreams")                                   \
	X(attempts_failed, "attempts that failed or were cut off")             \
	X(retries, "attempts after the first")                                 \
	X(retries_denied, "retries that the budget or the deadline forbade")   \
	X(resumed, "streams resumed at the engine that runs them")             \
	X(restarted, "streams continued at another engine")                    \
	X(pieces, "response chunks received from upstreams")                   \
	X(pieces_dropped, "chunks of another attempt, late or repeated")       \
	X(prefix_hits, "completions sent where their prefix was sent before")  \
	X(tokens_again, "tokens sent for recomputation after a failure")       \
	X(probes, "outcomes requested after a host failed")                    \
	X(settings_changes, "settings objects adopted")                        \
	X(settings_bad, "settings objects that failed validation")             \
	X(settings_stale, "settings objects ignored as older")                 \
	X(members_dead, "hosts declared dead by this host")                    \
	X(suspicions_refuted, "suspicions of this host that it refuted")       \
	X(lost_self, "times this host was declared dead or sealed")            \
	X(platform_calls, "calls to the platform")                             \
	X(platform_failures, "calls to the platform without a response")       \
	X(rpc_bytes_in, "bytes received from other entry hosts")               \
	X(rpc_bytes_out, "bytes sent to other entry hosts")                    \
	X(gossip_out, "membership datagrams sent")                             \
	X(passed_whole, "requests whose response was forwarded whole")         \
	X(passed_failed, "upstream failures forwarded to callers")             \
	X(refused_key, "requests with an unknown key")                         \
	X(refused_route, "requests that match no route")                       \
	X(refused_not_run, "requests refused that had not run")                \
	X(refused_poison, "requests that crash workers, or whose prompts do")  \
	X(notices_dropped, "urgent notices dropped as too many waited")        \
	X(answered_unknown, "requests for which it is unknown if they ran")    \
	X(answered_late, "requests whose deadline had passed")                 \
	X(broken_off, "responses aborted after they had begun")                \
	X(unanswered_cut, "unanswered: the worker's connection ended")         \
	X(unanswered_bad, "unanswered: the worker's response was not valid")   \
	X(unanswered_silent, "unanswered: the worker was silent")              \
	X(unanswered_late, "unanswered: the deadline has passed")              \
	X(unanswered_slow, "unanswered: the caller did not read")              \
	X(unanswered_memory, "unanswered: the byte budget was used up")        \
	X(unanswered_move, "unanswered: a move to another worker failed")      \
	X(unanswered_host,                                                     \
	  "unanswered: the host it was forwarded to ended it")                 \
	X(unanswered_links, "unanswered: the links to the workers were lost")  \
	X(unanswered_again,                                                    \
	  "unanswered: it ended, and no worker took it then")                  \
	X(unanswered_stop, "unanswered: this host's grace period was over")    \
	X(unanswered_other, "unanswered: another cause")                       \
	X(callers_gone, "callers that left before their response")             \
	X(events, "writes of whole events to callers")                         \
	X(ends_unsent, "attempts of which no byte was sent")                   \
	X(ends_not_run, "attempts that an upstream refused without a run")     \
	X(ends_failed, "attempts that ended in an upstream's failure")         \
	X(ends_cut, "attempts cut off, or with a malformed response")          \
	X(moves, "streams moved from workers that leave")                      \
	X(stalls, "attempts given up because the upstream was silent")         \
	X(workers_withheld, "times a worker wanted no requests for a while")   \
	X(retry_after_bad, "malformed Retry-After headers of workers")         \
	X(limits_named, "times a worker named a limit, or another one")        \
	X(limits_bad, "malformed limits named by workers")                     \
	X(brittle_rejections, "requests that a brittle worker rejected")       \
	X(brittle_told, "times all hosts were told of such requests")          \
	X(brittle_bad, "malformed words of workers that they are brittle")     \
	X(worker_probes, "health checks of workers with a limit of about 0")   \
	X(process_probes, "reports asked for to know a worker's process")      \
	X(unlisted_processes,                                                  \
	  "answers of processes that were not listed with their worker's id")  \
	X(permits_asked, "times permits of a limited worker were asked for")   \
	X(permits_issued, "permits of limited workers given to other hosts")   \
	X(pace_bad, "responses whose pace could not be read, or be true")      \
	X(speed_fits, "fits of a pool's speed to the first events")            \
	X(waited, "requests that waited for a permit")                         \
	X(resumes, "streams that callers took up, of a known version")         \
	X(resumes_unknown, "streams refused as nobody knew their version")     \
	X(store_restores, "times that the store came back from an older copy") \
	X(store_bad_eras, "responses of the store dropped for their era")      \
	X(store_old_eras,                                                      \
	  "calls of the store not made, or in vain, as it was restored")       \
	X(usage_skipped, "usage windows that may have been reported before")   \
	X(usage_short, "usage windows reported without some host's counts")    \
	X(replies_deferred, "configurations that a host was to ask for again") \
	X(workers_said_leaving, "workers that said in a response to leave")    \
	X(connects, "connections opened to upstreams")                         \
	X(connects_question,                                                   \
	  "of these, to ask which process a worker is; requests reuse them")   \
	X(connects_check, "of these, for health checks")                       \
	X(idle_over, "idle connections to upstreams closed for their age")     \
	X(idle_ended, "idle connections that upstreams closed")                \
	X(idle_evicted, "idle connections closed as there were too many")      \
	X(reuses, "requests on a kept-alive connection")                       \
	X(strays, "responses to other requests, dropped")                      \
	X(dirty, "connections closed because of unexpected bytes")             \
	X(confirmed_ends, "responses without a length, the worker lives on")   \
	X(unconfirmed_ends, "responses without a length, not known whole")     \
	X(workers_bad, "worker entries that could not be decoded")             \
	X(duty_terms, "times this host became leader of the duties")           \
	X(usage_reports, "usage reports that were accepted")                   \
	X(orders, "worker orders that were accepted")                          \
	X(orders_none, "worker orders refused for lack of capacity")           \
	X(cloud_calls, "calls for the singleton duties")                       \
	X(cloud_failures, "calls for the singleton duties not accepted")       \
	X(rollouts_shifted, "roll-outs whose target gets all new requests")    \
	X(rollouts_completed, "roll-outs that were completed")                 \
	X(rollouts_rolled_back, "roll-outs that were rolled back")             \
	X(rollout_exposed, "attempts sent to a target under an order")         \
	X(log_dropped, "log lines dropped")

enum ctr {
#define CTR_ENUM(name, doc) CTR_##name,
	CTR_LIST(CTR_ENUM)
#undef CTR_ENUM
		CTR_COUNT,
};

struct ctrs {
	uint64_t values[CTR_COUNT];
};

/* Returns all counters as "name value" lines; the caller frees the text. */
GString *ctr_print(const struct ctrs *ctrs);

#endif
