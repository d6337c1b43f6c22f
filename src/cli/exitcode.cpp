#include "cli/exitcode.h"

#include <sysexits.h>

namespace currantwalk {

int exitCode(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidRequest:
    case ErrorCode::AddressInvalid:
        return EX_USAGE;
    case ErrorCode::ConfigInvalid:
        return EX_DATAERR;
    case ErrorCode::NotFound:
        return EX_NOINPUT;
    case ErrorCode::ConnectFailed:
    case ErrorCode::PeerUnreachable:
        return EX_UNAVAILABLE;
    case ErrorCode::VersionConflict:
        return EX_CANTCREAT;
    case ErrorCode::OutcomeUnknown:
    case ErrorCode::LogAnswerLost:
        return EX_IOERR;
    case ErrorCode::LogUnavailable:
    case ErrorCode::DeadlineExceeded:
    case ErrorCode::NotReady:
    case ErrorCode::Draining:
    case ErrorCode::Overloaded:
        return EX_TEMPFAIL;
    case ErrorCode::JsonInvalid:
    case ErrorCode::MethodNotAllowed:
        return EX_PROTOCOL;
    case ErrorCode::Unauthenticated:
    case ErrorCode::PermissionDenied:
    case ErrorCode::PeerRefused:
        return EX_NOPERM;
    case ErrorCode::TlsInvalid:
    case ErrorCode::SettingsInvalid:
        return EX_CONFIG;
    case ErrorCode::SystemCallFailed:
        return EX_OSERR;
    default:
        return EX_SOFTWARE;
    }
}

} // namespace currantwalk
