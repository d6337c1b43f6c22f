#ifndef CURRANTWALK_LEASE_LEASERECORD_H
#define CURRANTWALK_LEASE_LEASERECORD_H

#include <map>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// The state of a duty according to the stream.
struct DutyState
{
    LogOffset fence = 0; ///< 0: never taken.
    LogOffset last = 0;  ///< Offset of the last valid record.
    VmId vm;
    std::string owner; ///< Identifies one run of one daemon.
    bool isReleased = false;
    TimePoint readAt{}; ///< When this node read the last valid record; not part of messages.

    bool isTaken() const { return fence != 0 && !isReleased; }
};

using DutyStates = std::map<std::string, DutyState>;

enum class LeaseRecordKind {
    Take,    ///< The owner takes the duty; valid only if \a seen is still the duty's last valid
             ///< record.
    Renew,   ///< The holder extends the lease.
    Release, ///< The holder gives the lease up.
    TableRequest, ///< The owner does not know the state of the duties and requests a table.
    Table,        ///< The state of all duties after all records below an offset.
    Reset,        ///< No node answered a table request: all duties are free.
};

/// A record of the lease stream. The kind determines which members are used.
struct LeaseRecord
{
    LeaseRecordKind kind = LeaseRecordKind::Take;
    std::string id; ///< Unique; lets the owner recognise its own record.
    VmId vm;
    std::string owner;
    std::string duty;    ///< Of a take, renewal or release.
    LogOffset fence = 0; ///< Of the lease renewed, released, or superseded by a take.
    LogOffset seen = 0; ///< Of a take: the duty's last valid record; of a reset: the table request.
    LogOffset asOf = 0; ///< Of a table: the offset.
    DutyStates duties;  ///< Of a table.
};

std::string encodeLeaseRecord(const LeaseRecord &record);
/// Decodes the output of encodeLeaseRecord(). Fails with JsonInvalid.
absl::StatusOr<LeaseRecord> decodeLeaseRecord(const std::string &data);

} // namespace currantwalk

#endif // CURRANTWALK_LEASE_LEASERECORD_H
