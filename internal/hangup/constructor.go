package hangup

// A constructor runs before the Go runtime starts, which takes some milliseconds. The runtime keeps a SIGHUP that is ignored at its start
// ignored until os/signal.Notify.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
