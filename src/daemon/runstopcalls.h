#ifndef CURRANTWALK_DAEMON_RUNSTOPCALLS_H
#define CURRANTWALK_DAEMON_RUNSTOPCALLS_H

#include "calls/runstopper.h"
#include "daemon/relaysession.h"

namespace currantwalk {

/// Returns hooks that make the calls of a RunStopper with \a services, which must outlive them.
RunStopper::Hooks runStopHooks(RelayServices &services);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_RUNSTOPCALLS_H
