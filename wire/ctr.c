/* The names of the counters. */
#include "ctr.h"

static const char *const names[CTR_COUNT] = {
#define CTR_NAME(name, doc) #name,
	CTR_LIST(CTR_NAME)
#undef CTR_NAME
};

static const char *const docs[CTR_COUNT] = {
#define CTR_DOC(name, doc) doc,
	CTR_LIST(CTR_DOC)
#undef CTR_DOC
};

const char *ctr_name(enum ctr ctr)
{
	return names[ctr];
}

const char *ctr_doc(enum ctr ctr)
{
	return docs[ctr];
}

GString *ctr_print(const struct ctrs *ctrs)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < CTR_COUNT; i++)
		g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n",
				       names[i], ctrs->values[i]);
	return text;
}
