/* Contents of a full state exchange between hosts. */
#include "sync.h"

#include <zlib.h>

#include "rpc.h"

void sync_items_apply(struct store *store, const w_items *items)
{
	GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);

	for (u_int i = 0; i < items->items.items_len; i++) {
		const w_item *item = &items->items.items_val[i];
		GBytes *value = item->deleted
					? NULL
					: g_bytes_new(item->value.value_val,
						      item->value.value_len);

		store_put(store, item->key, value, item->mod);
		g_hash_table_add(present, item->key);
		if (value)
			g_bytes_unref(value);
	}
	if (items->full)
		store_snapshot(store, present, items->revision);
	else
		store_complete(store, items->revision);
	g_hash_table_destroy(present);
}

/* An item list under construction. */
struct item_list {
	w_items *items;
	u_int capacity;
};

static void item_list_append(void *ctx, const struct store_item *item)
{
	struct item_list *list = ctx;
	w_items *items = list->items;
	w_item *slot;
	gsize len = 0;
	const void *data =
		item->value ? g_bytes_get_data(item->value, &len) : NULL;

	if (items->items.items_len == list->capacity) {
		list->capacity = MAX(2 * list->capacity, 16);
		items->items.items_val = g_realloc_n(
			items->items.items_val, list->capacity, sizeof(*slot));
	}
	slot = &items->items.items_val[items->items.items_len++];
	slot->key = g_strdup(item->key);
	slot->deleted = item->value == NULL;
	slot->value.value_val = g_memdup2(data, len);
	slot->value.value_len = (u_int)len;
	slot->mod = item->mod;
}

void sync_items_fill(const struct store *store, int64_t after, w_items *items)
{
	struct item_list list = { .items = items };

	items->full = after < store->deletions_since;
	items->revision = store->revision;
	store_each_after(store, items->full ? 0 : after, item_list_append,
			 &list);
}

void sync_pack(const w_sync_res *res, w_packed *packed)
{
	size_t size = xdr_sizeof((xdrproc_t)xdr_w_sync_res, (void *)res);
	char *plain = g_malloc(size);
	uLongf len = compressBound(size);
	XDR xdr;

	xdrmem_create(&xdr, plain, (u_int)size, XDR_ENCODE);
	xdr_w_sync_res(&xdr, (w_sync_res *)res);
	packed->size = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	packed->data.data_val = g_malloc(len);
	/* It cannot fail: there is room, and the level is valid. */
	compress2((Bytef *)packed->data.data_val, &len, (Bytef *)plain,
		  packed->size, Z_BEST_SPEED);
	packed->data.data_len = (u_int)len;
	g_free(plain);
}

bool sync_unpack(const w_packed *packed, w_sync_res *res)
{
	uLongf size = packed->size;
	char *plain;
	XDR xdr;
	bool ok;

	if (size > W_BODY)
		return false;
	plain = g_malloc(size + 1);
	ok = uncompress((Bytef *)plain, &size, (Bytef *)packed->data.data_val,
			packed->data.data_len) == Z_OK &&
	     size == packed->size;
	if (ok) {
		xdrmem_create(&xdr, plain, (u_int)size, XDR_DECODE);
		ok = xdr_w_sync_res(&xdr, res);
		xdr_destroy(&xdr);
	}
	g_free(plain);
	return ok;
}

void sync_updates_apply(struct member_list *members, const w_sync_res *res,
			clk_ms now)
{
	struct member_update update;

	for (u_int i = 0; i < res->updates.updates_len; i++)
		if (rpc_update_from_wire(&res->updates.updates_val[i], &update))
			member_on_update(members, &update, now);
}

void sync_notices_apply(struct member_list *members, const w_sync_res *res)
{
	struct member_notice notice;

	for (u_int i = 0; i < res->marks.marks_len; i++)
		if (rpc_notice_from_wire(&res->marks.marks_val[i], &notice))
			member_on_notice(members, &notice);
}

static void notice_append(void *ctx, const struct member_notice *notice)
{
	w_sync_res *res = ctx;

	res->marks.marks_val[res->marks.marks_len++] = (w_mark){
		.upstream = g_strdup(notice->subject),
		.leaving = notice->set,
		.stamp = notice->stamp,
	};
}

void sync_notices_fill(const struct member_list *members, w_sync_res *res)
{
	res->marks.marks_val =
		g_new0(w_mark, g_hash_table_size(members->notices));
	member_each_notice(members, notice_append, res);
}

static void update_copy(const struct member_update *update, w_update *wire)
{
	wire->incarnation = g_strdup(update->incarnation);
	wire->http = g_strdup(update->http);
	wire->rpc = g_strdup(update->rpc);
	wire->data_centre = g_strdup(update->data_centre);
	wire->state = update->state;
	wire->seq = update->seq;
}

void sync_updates_fill(const struct member_list *members, w_sync_res *res)
{
	u_int count = members->order->len + 1;

	res->updates.updates_val = g_new0(w_update, count);
	res->updates.updates_len = count;
	update_copy(&members->self, &res->updates.updates_val[0]);
	for (u_int i = 1; i < count; i++) {
		const struct member *member =
			g_ptr_array_index(members->order, i - 1);

		update_copy(&member->info, &res->updates.updates_val[i]);
	}
}
