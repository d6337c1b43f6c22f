#ifndef CURRANTWALK_LEASE_LEASERECORD_H
#define CURRANTWALK_LEASE_LEASERECORD_H

#include <map>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "base/timerservice.h"

namespace currantwalk {

/// A duty as the stream tells it.
struct DutyState
{
    LogOffset fence = 0; ///< 0: never taken.
    LogOffset last = 0;  ///< The last valid record.
    VmId vm;
    std::string owner; ///< One run of one daemon.
    bool isReleased = false;
    TimePoint readAt{}; ///< When this node read the last valid record; not part of messages.

    bool isTaken() const { return fence != 0 && !isReleased; }
};

using DutyStates = std::map<std::string, DutyState>;

enum class LeaseRecordKind {
    Take,    ///< The owner wants the duty; valid only if nothing came between.
    Renew,   ///< The holder keeps it.
    Release, ///< The holder gives it up.
    Ask,     ///< The owner does not know who holds what, and asks for a table.
    Table,   ///< All duties as they are after all records below an offset.
    Reset,   ///< Nobody answered an ask: all duties are free.
};

/// A record of the lease stream. Which members count depends on its kind.
struct LeaseRecord
{
    LeaseRecordKind kind = LeaseRecordKind::Take;
    std::string id; ///< Unique; tells the owner its own record.
    VmId vm;
    std::string owner;
    std::string duty;    ///< Of a take, renewal or release.
    LogOffset fence = 0; ///< Of the lease renewed, released, or superseded by a take.
    LogOffset seen = 0;  ///< Of a take: the duty's last valid record; of a reset: the ask.
    LogOffset asOf = 0;  ///< Of a table: the offset.
    DutyStates duties;   ///< Of a table.
};

std::string encodeLeaseRecord(const LeaseRecord &record);
/// Reads what encodeLeaseRecord() wrote. Fails with JsonInvalid.
absl::StatusOr<LeaseRecord> decodeLeaseRecord(const std::string &data);

} // namespace currantwalk

#endif // CURRANTWALK_LEASE_LEASERECORD_H
