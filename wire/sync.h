/*
 * Contents of a full state exchange between hosts: items of stores, and the
 * members.
 */
#ifndef WIRE_SYNC_H
#define WIRE_SYNC_H

#include "../decide/member.h"
#include "../decide/store.h"
#include "msg.h"

/* Applies received items to a store. */
void sync_items_apply(struct store *store, const w_items *items);
/* Lists the items of a store changed after a revision; all items if the store
 * no longer has every deletion since then. */
void sync_items_fill(const struct store *store, int64_t after, w_items *items);
/* Encodes and compresses a result. */
void sync_pack(const w_sync_res *res, w_packed *packed);
/* Decodes it; returns false if it is malformed. The caller frees res with
 * xdr_free in any case. */
bool sync_unpack(const w_packed *packed, w_sync_res *res);
/* Applies the members listed by a peer; malformed entries are skipped. */
void sync_updates_apply(struct member_list *members, const w_sync_res *res,
			clk_ms now);
/* Applies and lists the notices. */
void sync_notices_apply(struct member_list *members, const w_sync_res *res);
void sync_notices_fill(const struct member_list *members, w_sync_res *res);
/* Lists the members, this host first. */
void sync_updates_fill(const struct member_list *members, w_sync_res *res);

#endif
