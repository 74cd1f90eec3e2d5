/* Counters: the product's metrics, one closed list. */
#ifndef WIRE_CTR_H
#define WIRE_CTR_H

#include <glib.h>
#include <stdint.h>

/* Every counter: name and what it counts. */
#define CTR_LIST(X)                                                            \
	X(requests, "requests received from callers")                          \
	X(accepted, "requests accepted: a guardian holds them")                \
	X(accepted_alone, "requests accepted with no other host alive")        \
	X(ended_whole, "requests answered whole")                              \
	X(ended_not_run, "requests answered as not run")                       \
	X(ended_unknown, "requests answered as unknown")                       \
	X(reconnects, "callers who fetched a known request again")             \
	X(forwarded, "requests passed on to another entry host")               \
	X(moved, "requests whose authority went to another host")              \
	X(inherited, "requests taken over from a lost host")                   \
	X(refused_busy, "requests refused because of load")                    \
	X(refused_limit, "requests refused by an account's limit")             \
	X(bad_input, "malformed or unknown requests and messages")             \
	X(attempts, "attempts at upstreams")                                   \
	X(attempts_failed, "attempts that failed or were cut")                 \
	X(retries, "attempts after the first")                                 \
	X(retries_denied, "retries that budget or deadline forbade")           \
	X(resumed, "streams resumed at the engine that runs them")             \
	X(restarted, "streams continued at another engine")                    \
	X(pieces, "pieces of answers received from upstreams")                 \
	X(pieces_dropped, "pieces of another attempt, late or repeated")       \
	X(prefix_hits, "completions sent where their prefix was sent before")  \
	X(tokens_again, "tokens sent to be computed again after a loss")       \
	X(probes, "outcomes asked for after a host was lost")                  \
	X(settings_changes, "settings objects adopted")                        \
	X(settings_bad, "settings objects refused by a check")                 \
	X(settings_stale, "older settings that were not adopted")              \
	X(members_dead, "hosts declared dead here")                            \
	X(suspicions_refuted, "times this host answered a suspicion")          \
	X(lost_self, "times this host was declared dead or sealed")            \
	X(platform_calls, "calls to the platform")                             \
	X(platform_failures, "calls to the platform without an answer")        \
	X(rpc_bytes_in, "bytes received from other entry hosts")               \
	X(rpc_bytes_out, "bytes sent to other entry hosts")                    \
	X(gossip_out, "membership datagrams sent")                             \
	X(passed_whole, "requests whose upstream answer was passed on whole")  \
	X(passed_failed, "upstream failures passed on to callers")             \
	X(refused_key, "requests with an unknown key")                         \
	X(refused_route, "requests that no route takes")                       \
	X(refused_not_run, "requests refused that had not run")                \
	X(answered_unknown, "requests of which nobody knows if they ran")      \
	X(answered_late, "requests whose time was over")                       \
	X(broken_off, "answers broken off after they had begun")               \
	X(callers_gone, "callers who left before their answer")                \
	X(events, "writes of whole events to callers")                         \
	X(ends_unsent, "attempts of which not a byte was sent")                \
	X(ends_not_run, "attempts that an upstream refused, not run")          \
	X(ends_failed, "attempts that ended in an upstream's failure")         \
	X(ends_cut, "attempts cut off, or answered by what is no answer")      \
	X(moves, "streams moved from workers that leave")                      \
	X(stalls, "attempts given up for an upstream's silence")               \
	X(connects, "connections made to upstreams")                           \
	X(reuses, "requests on a kept connection")                             \
	X(strays, "responses of other requests, dropped")                      \
	X(dirty, "connections closed for unexpected bytes")                    \
	X(workers_bad, "entries of workers that could not be read")            \
	X(duty_terms, "times that this host took the duties")                  \
	X(usage_reports, "reports of usage that were accepted")                \
	X(orders, "orders of workers that were accepted")                      \
	X(orders_none, "orders for which there were no workers")               \
	X(cloud_calls, "calls for the duties")                                 \
	X(cloud_failures, "calls for the duties that were not accepted")       \
	X(log_dropped, "lines that the log dropped")

enum ctr {
#define CTR_ENUM(name, doc) CTR_##name,
	CTR_LIST(CTR_ENUM)
#undef CTR_ENUM
		CTR_COUNT,
};

struct ctrs {
	uint64_t values[CTR_COUNT];
};

/* Prints all as "name value" lines; the caller frees the text. */
GString *ctr_print(const struct ctrs *ctrs);

#endif
