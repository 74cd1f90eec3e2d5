/*
 * What hosts send each other in a full exchange: the items of replicas, and
 * the members.
 */
#ifndef WIRE_SYNC_H
#define WIRE_SYNC_H

#include "../decide/member.h"
#include "../decide/store.h"
#include "msg.h"

/* Puts received items into a replica. */
void sync_items_apply(struct store *store, const w_items *items);
/* Lists what a peer lacks of a replica; all, if deletions may be missing. */
void sync_items_fill(const struct store *store, int64_t after, w_items *items);
/* Takes the members that a peer lists; those that can't be read are left
 * out. */
void sync_updates_apply(struct member_list *members, const w_sync_res *res,
			clk_ms now);
/* Lists the members, this host first. */
void sync_updates_fill(const struct member_list *members, w_sync_res *res);

#endif
