/* Command lines: popt options, and programs that take a settings file. */
#ifndef WIRE_ARGS_H
#define WIRE_ARGS_H

#include <popt.h>
#include <stdbool.h>

/* Reads all options; returns false, with a message on standard error, if one is
 * wrong. */
bool args_read(poptContext popt, const char *program);
/* Returns the settings file that the command line names; prints the usage and
 * returns NULL if it names none. */
const char *args_settings_file(int argc, const char **argv);

#endif
