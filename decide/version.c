/* The versions that a pool's workers have had lately. */
#include "version.h"

#include <string.h>

#include "fleet.h"

static struct version *at(const GArray *versions, guint i)
{
	return &g_array_index(versions, struct version, i);
}

GArray *version_parse(const char *text, size_t len)
{
	GArray *versions = g_array_new(FALSE, FALSE, sizeof(struct version));
	char *copy = g_strndup(text, len);
	char **lines = g_strsplit(copy, "\n", VERSION_MAX + 1);
	bool ok = strlen(copy) == len;

	for (size_t i = 0; ok && lines[i] && lines[i][0]; i++) {
		char **words = g_strsplit(lines[i], " ", 0);
		uint64_t key = 0;
		uint64_t gone_at = 0;

		ok = i < VERSION_MAX && g_strv_length(words) == 2 &&
		     g_ascii_string_to_unsigned(words[0], 16, 1, UINT32_MAX,
						&key, NULL) &&
		     g_ascii_string_to_unsigned(words[1], 10, 0, INT64_MAX / 2,
						&gone_at, NULL);
		if (ok)
			g_array_append_val(versions,
					   ((struct version){
						   .key = (uint32_t)key,
						   .gone_at = (clk_ms)gone_at,
					   }));
		g_strfreev(words);
	}
	g_strfreev(lines);
	g_free(copy);
	if (ok)
		return versions;
	g_array_unref(versions);
	return NULL;
}

GString *version_print(const GArray *versions)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < versions->len; i++)
		g_string_append_printf(text, "%08x %" G_GINT64_FORMAT "\n",
				       at(versions, i)->key,
				       at(versions, i)->gone_at);
	return text;
}

static bool contains(const uint32_t *keys, size_t count, uint32_t key)
{
	for (size_t i = 0; i < count; i++)
		if (keys[i] == key)
			return true;
	return false;
}

static bool is_recorded(const GArray *versions, uint32_t key)
{
	for (guint i = 0; i < versions->len; i++)
		if (at(versions, i)->key == key)
			return true;
	return false;
}

/* Whether streams that a version has begun may still be taken up. */
static bool is_in_use(const struct version *version, clk_ms wall)
{
	return version->gone_at == 0 ||
	       wall - version->gone_at < FLEET_VERSION_MS + VERSION_SKEW_MS;
}

bool version_update(GArray *versions, const uint32_t *serving, size_t count,
		    clk_ms wall)
{
	bool changed = false;

	for (guint i = 0; i < versions->len; i++) {
		struct version *version = at(versions, i);
		bool serves = contains(serving, count, version->key);

		if (serves == (version->gone_at == 0))
			continue;
		version->gone_at = serves ? 0 : wall;
		changed = true;
	}
	for (size_t i = 0; i < count; i++) {
		struct version version = { .key = serving[i] };

		if (is_recorded(versions, serving[i]))
			continue;
		g_array_append_val(versions, version);
		changed = true;
	}
	for (guint i = versions->len; changed && i-- > 0;)
		if (!is_in_use(at(versions, i), wall))
			g_array_remove_index(versions, i);
	return changed;
}

unsigned version_count(const GArray *versions, const uint32_t *serving,
		       size_t count, clk_ms wall)
{
	unsigned in_use = 0;

	for (guint i = 0; i < versions->len; i++)
		in_use += is_in_use(at(versions, i), wall);
	for (size_t i = 0; i < count; i++) {
		bool counted = false;

		for (guint j = 0; j < versions->len; j++)
			counted |= at(versions, j)->key == serving[i] &&
				   is_in_use(at(versions, j), wall);
		in_use += !counted;
	}
	return in_use;
}
