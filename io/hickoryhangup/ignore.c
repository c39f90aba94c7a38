#include <signal.h>

// Runs when the program is loaded, milliseconds before the first line of main.
// The Go runtime keeps an ignored SIGHUP ignored until signal.Notify enables it.
__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
