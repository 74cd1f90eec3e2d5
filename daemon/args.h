/* The command line of the processes that take one settings file. */
#ifndef DAEMON_ARGS_H
#define DAEMON_ARGS_H

/* Returns the settings file that the command line names; prints how to call
 * the program and returns NULL if it names none. */
const char *args_settings_file(int argc, const char **argv);

#endif
