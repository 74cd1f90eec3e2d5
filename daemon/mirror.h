/*
 * Local copies of the platform's store: one replica for each of a few prefixes,
 * read as one snapshot and then kept up to date by watches while this host
 * follows the store. Other hosts' items may be put into the replicas too.
 *
 * The first snapshot may be a stale read, which is cheap where many hosts start
 * at once. Until it is confirmed, by the store or by a host that follows it,
 * the mirror is not current. In an outage of the store it becomes current after
 * some seconds, with the first snapshot or with other hosts' items.
 *
 * A response may take seconds to arrive over a slow link. Changes of one of the
 * replicas, the urgent one, don't wait for that: they are watched beside it.
 */
#ifndef DAEMON_MIRROR_H
#define DAEMON_MIRROR_H

#include "../decide/store.h"
#include "../platform/kv.h"

#define MIRROR_PREFIXES_MAX 4

struct mirror;

struct mirror_ops {
	/* An item has changed; prefix: index of its replica. */
	void (*changed)(void *ctx, size_t prefix,
			const struct store_item *item);
	/* All items were read, for the first time or again. */
	void (*snapshot)(void *ctx);
	/* A response of the store was applied. */
	void (*applied)(void *ctx);
	/* Whether to follow the store now. */
	bool (*follows)(void *ctx);
	/* Returns a random number below n. */
	uint32_t (*random)(void *ctx, uint32_t n);
};

/* urgent: index of the urgent replica's prefix. */
struct mirror *mirror_create(uv_loop_t *loop, struct kv *kv,
			     const char *const *prefixes, size_t count,
			     size_t urgent, const struct mirror_ops *ops,
			     void *ctx);
/* Makes calls that are due; to be called every 100 ms or so. */
void mirror_tick(struct mirror *mirror);
struct store *mirror_replica(const struct mirror *mirror, size_t prefix);
/* Whether all items were read from the store. */
bool mirror_has_snapshot(const struct mirror *mirror);
/* Whether the replicas were current at some time since the start. */
bool mirror_is_current(const struct mirror *mirror);
/* Another host has shown that the replicas are current. */
void mirror_confirm(struct mirror *mirror);
/* Whether a response of the store is being applied: an item that changes now
 * was read by this host itself. */
bool mirror_is_applying(const struct mirror *mirror);
/* Whether this host follows the store and knows what is new: the store has
 * responded within the time of a watch. */
bool mirror_reads_store(const struct mirror *mirror);
/* Whether this host has read all changes of the store until now, or until the
 * store became unreachable. */
bool mirror_followed(const struct mirror *mirror);
/* When the store became unreachable, in ms of the loop; 0: it is reachable. */
clk_ms mirror_lost_at(const struct mirror *mirror);
/* When it last became reachable again; 0: it never was lost. */
clk_ms mirror_regained_at(const struct mirror *mirror);
/* Returns when this host noticed that the store was restored from a backup, in
 * ms of the loop's clock; 0 if the store never was. */
clk_ms mirror_restored_at(const struct mirror *mirror);

#endif
