/*
 * Which software version began a stream. A stream may go on only at a worker of
 * that version, at whatever host its caller takes it up.
 *
 * A stream is known by the caller's attempt that brought its first event. The
 * host that relays this event keeps the version. While a pool has workers of
 * several versions, some other hosts, by rendezvous hash, keep it too; whoever
 * a caller comes to asks these. Where a pool has one version, nothing is sent:
 * a stream that nobody knows began at that one. When it gets a second one, each
 * host passes on what it has begun. All hosts may be lost at once: they also
 * write to the store what they have begun while there are several versions.
 */
#ifndef DECIDE_ORIGIN_H
#define DECIDE_ORIGIN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"

/* As long as a caller may take a stream up after its first event. */
#define ORIGIN_KEEP_MS 20000
#define ORIGIN_MAX 65536 /* streams that a host keeps; the oldest go first */
/* Other hosts that keep a stream: so many can be lost at once. Fewer where
 * there are many hosts, which are not all lost at once. */
#define ORIGIN_KEEPERS 3
#define ORIGIN_KEEPERS_MANY 2
#define ORIGIN_MANY_HOSTS 100
/* Hosts that are asked: as others have come and gone, more than keep it. */
#define ORIGIN_ASKED 5

/*
 * What a recorded version says of where its stream began, in ascending order. A
 * software version is odd. Until it is known, an even value takes its place: a
 * mark, the hash of a worker and of the start of one of its processes (see
 * fleet_process_mark), or ORIGIN_VERSION_UNKNOWN.
 */
enum origin_knowledge {
	ORIGIN_NOTHING, /* 0: not recorded */
	ORIGIN_BEGUN,	/* ORIGIN_VERSION_UNKNOWN: it has begun somewhere */
	ORIGIN_PERHAPS, /* a mark of the process that was listed, which may
			 * have begun it */
	ORIGIN_PROCESS, /* a mark of the process that began it */
	ORIGIN_VERSION, /* a software version */
};

#define ORIGIN_MARKS 3	      /* the bits with the kind of mark */
#define ORIGIN_MARK_PERHAPS 0 /* in these bits */
#define ORIGIN_MARK_PROCESS 2
/* In place of a version that is not known. */
#define ORIGIN_VERSION_UNKNOWN 2

struct origin {
	GHashTable *streams; /* key -> struct origin_stream */
	GQueue oldest;	     /* of the same */
	uint64_t dropped;    /* as there were too many */
};

struct origin *origin_create(void);
void origin_free(struct origin *origin);
/* Identifies a stream: an account's attempt; NULL: of no account. */
uint64_t origin_key(const char *account, const char *attempt, size_t len);
/* Records the version that began a stream, or what takes its place (see enum
 * origin_knowledge); a record that says as much or more stays. own: the
 * aggregate_key of the pool if this host runs the stream; 0: another host does.
 */
void origin_put(struct origin *origin, uint64_t key, uint32_t version,
		uint32_t own, clk_ms now);
/* Calls fn for each stream of this host that began in a pool. */
void origin_each_own(const struct origin *origin, uint32_t pool,
		     void (*fn)(void *ctx, uint64_t key, uint32_t version),
		     void *ctx);
/* Returns the version that began a stream; 0: not known. */
uint32_t origin_find(struct origin *origin, uint64_t key, clk_ms now);
/* A stream, in the form in which many of them are kept in the store. */
struct origin_row {
	uint64_t stream;
	uint32_t version;
};

GString *origin_rows_print(const struct origin_row *rows, size_t count);
/* Calls fn for each row of a text; returns false if the text is malformed, with
 * no call then. */
bool origin_rows_parse(const char *text, size_t len,
		       void (*fn)(void *ctx, uint64_t stream, uint32_t version),
		       void *ctx);
/* How many other hosts are to keep a stream that has begun. versions: of its
 * pool, as fleet_versions counts them; hosts: that share the work. */
unsigned origin_keepers(unsigned versions, unsigned hosts);

/* What is known of a stream that this host has not begun. */
struct origin_question {
	uint64_t key;
	unsigned asked;	  /* hosts */
	unsigned keepers; /* of these, those that keep a stream of a pool with
			   * several versions */
	uint32_t answered[ORIGIN_ASKED]; /* the keys of those that have */
	unsigned answers;
	uint32_t version;  /* that one of them knows; 0: none */
	unsigned settled;  /* that have run for ORIGIN_KEEP_MS */
	unsigned versions; /* of the pool, the most that one of them knows */
	clk_ms asked_at;
};

/* A host's answer. */
struct origin_answer {
	uint32_t host;	   /* its key */
	uint32_t version;  /* of the stream; 0: not known */
	unsigned versions; /* of the pool */
	bool settled;	   /* it has run for ORIGIN_KEEP_MS */
};

enum origin_knowledge origin_knowledge(uint32_t version);
/* Whether it is a software version, and neither a mark nor "not known". */
bool origin_is_known(uint32_t version);
void origin_on_answer(struct origin_question *question,
		      const struct origin_answer *answer);

/* What this host knows itself. */
struct origin_view {
	unsigned versions; /* of the pool, as fleet_versions counts them */
	uint32_t sole;	   /* the only one, or 0 */
	bool listed;	   /* the list of workers was current a moment ago */
	bool settled;	   /* it has run for ORIGIN_KEEP_MS */
	unsigned recorded; /* versions lately, as version_count counts them; 0:
			    * not known */
};

enum origin_verdict {
	ORIGIN_WAIT,	/* for more answers */
	ORIGIN_KNOWN,	/* some host knows the version */
	ORIGIN_SOLE,	/* the pool has had no other one */
	ORIGIN_UNKNOWN, /* nobody can vouch for any */
};

/* Judges what the version of a stream is; sets it unless it is unknown. */
enum origin_verdict origin_judge(const struct origin_question *question,
				 const struct origin_view *view, clk_ms now,
				 uint32_t *version);
/* Returns after how many ms to judge again, if no answer arrives before. */
clk_ms origin_wait(const struct origin_question *question, clk_ms now);

#endif
