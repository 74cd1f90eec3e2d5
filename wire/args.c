/* Command lines of the programs. */
#include "args.h"

#include <popt.h>
#include <stdio.h>

bool args_read(poptContext popt, const char *program)
{
	int code = poptGetNextOpt(popt);

	if (code >= -1)
		return true;
	fprintf(stderr, "%s: %s: %s\n", program,
		poptBadOption(popt, POPT_BADOPTION_NOALIAS),
		poptStrerror(code));
	return false;
}

const char *args_settings_file(int argc, const char **argv)
{
	struct poptOption options[] = { POPT_AUTOHELP POPT_TABLEEND };
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);
	const char *path = NULL;

	poptSetOtherOptionHelp(popt, "SETTINGS-FILE");
	if (args_read(popt, argv[0]))
		path = poptGetArg(popt);
	if (!path)
		poptPrintUsage(popt, stderr, 0);
	return path;
}
