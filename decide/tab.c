/* The routing table. */
#include "tab.h"

#include <string.h>

static void pool_free(gpointer data)
{
	struct tab_pool *pool = data;

	if (pool->scaling.dc_prices)
		g_hash_table_destroy(pool->scaling.dc_prices);
	g_free(pool->health_path);
	g_free(pool->name);
	g_free(pool);
}

static void route_free(gpointer data)
{
	struct tab_route *route = data;

	g_array_free(route->targets, TRUE);
	g_free(route->name);
	g_free(route);
}

static void account_free(gpointer data)
{
	struct tab_account *account = data;

	g_free(account->name);
	g_free(account);
}

struct tab *tab_create(void)
{
	struct tab *tab = g_new0(struct tab, 1);

	tab->refs = 1;
	tab->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    route_free);
	tab->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	tab->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      account_free);
	tab->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return tab;
}

struct tab *tab_ref(struct tab *tab)
{
	tab->refs++;
	return tab;
}

void tab_unref(struct tab *tab)
{
	if (!tab || --tab->refs > 0)
		return;
	g_hash_table_destroy(tab->keys);
	g_hash_table_destroy(tab->accounts);
	g_hash_table_destroy(tab->routes);
	g_hash_table_destroy(tab->pools);
	g_free(tab);
}

struct tab_pool *tab_pool_get(struct tab *tab, const char *name)
{
	struct tab_pool *pool = g_hash_table_lookup(tab->pools, name);

	if (pool)
		return pool;
	pool = g_new0(struct tab_pool, 1);
	pool->name = g_strdup(name);
	pool->health_path = g_strdup("");
	g_hash_table_insert(tab->pools, pool->name, pool);
	return pool;
}

struct tab_route *tab_route_create(const char *name)
{
	struct tab_route *route = g_new0(struct tab_route, 1);

	route->name = g_strdup(name);
	route->targets = g_array_new(FALSE, FALSE, sizeof(struct tab_target));
	return route;
}

void tab_target_add(struct tab_route *route, struct tab_pool *pool,
		    unsigned weight)
{
	struct tab_target target = { .pool = pool, .weight = weight };

	g_array_append_val(route->targets, target);
	route->weight_sum += weight;
}

void tab_route_add(struct tab *tab, const char *host, const char *prefix,
		   struct tab_route *route)
{
	char *lower = g_ascii_strdown(host, -1);

	g_hash_table_replace(tab->routes,
			     g_strdup_printf("%s\n%s", lower, prefix), route);
	g_free(lower);
}

struct tab_account *tab_account_add(struct tab *tab, const char *name)
{
	struct tab_account *account = g_new0(struct tab_account, 1);

	account->name = g_strdup(name);
	account->priority = -1;
	g_hash_table_replace(tab->accounts, account->name, account);
	tab->has_accounts = true;
	return account;
}

void tab_key_add(struct tab *tab, const char *key, struct tab_account *account)
{
	g_hash_table_replace(tab->keys, g_strdup(key), account);
}

const struct tab_route *tab_find(const struct tab *tab, const char *host,
				 size_t host_len, const char *path,
				 size_t path_len)
{
	char *key = g_malloc(host_len + path_len + 2);
	const struct tab_route *route = NULL;

	for (size_t i = 0; i < host_len; i++)
		key[i] = g_ascii_tolower(host[i]);
	key[host_len] = '\n';
	memcpy(key + host_len + 1, path, path_len);
	/* Every prefix ends with a slash, so only the parts of the path that do
	 * are looked up. */
	for (size_t len = path_len; len > 0 && !route; len--) {
		if (path[len - 1] != '/')
			continue;
		key[host_len + 1 + len] = '\0';
		route = g_hash_table_lookup(tab->routes, key);
	}
	g_free(key);
	return route;
}

const struct tab_account *tab_account_of(const struct tab *tab, const char *key,
					 size_t len)
{
	char *text = g_strndup(key, len);
	const struct tab_account *account =
		g_hash_table_lookup(tab->keys, text);

	g_free(text);
	return account;
}

struct tab_pool *tab_pick(const struct tab_route *route, uint32_t number)
{
	uint32_t offset = route->weight_sum ? number % route->weight_sum : 0;

	for (guint i = 0; i < route->targets->len; i++) {
		const struct tab_target *target =
			&g_array_index(route->targets, struct tab_target, i);

		if (offset < target->weight)
			return target->pool;
		offset -= target->weight;
	}
	return NULL;
}
