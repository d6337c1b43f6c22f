#ifndef CURRANTWALK_DAEMON_RUNSTOPCALLS_H
#define CURRANTWALK_DAEMON_RUNSTOPCALLS_H

#include "calls/runstopper.h"
#include "daemon/relaysession.h"

namespace currantwalk {

/// Returns hooks that make the calls of a RunStopper with \a services, which must outlive them.
RunStopper::Hooks runStopHooks(RelayServices &services);

/// A copy of a run's memory that nothing goes on from.
struct CopyToFree
{
    RequestId request;
    TargetId target;           ///< That named the copy.
    Incarnation startedAt = 0; ///< Of the target.
    ZoneName zone;             ///< Of the target.
    Endpoint endpoint;         ///< Of the target.
    std::string handle;
};

/// Frees \a copy, when the target takes calls.
void freeCopy(RelayServices &services, const CopyToFree &copy);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_RUNSTOPCALLS_H
