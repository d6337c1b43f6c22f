#ifndef CURRANTWALK_DAEMON_PACEEXCHANGE_H
#define CURRANTWALK_DAEMON_PACEEXCHANGE_H

#include <absl/status/statusor.h>
#include <json/value.h>

#include "routing/targetpace.h"

namespace currantwalk {

/// Puts what nodes know of targets' pace into their messages about loads: the counts of ramps into
/// each, the evidence of speeds into one every two seconds. The node that is reported to answers
/// with the speeds that it finds.
class PaceExchange
{
public:
    /// What a message is about.
    enum class Scope {
        Own,    ///< One node, told to all others.
        Report, ///< A node and those that report to it, told to the first node of its zone.
        Zone    ///< A zone, told to the first nodes of other zones.
    };

    /// Who sent a message, and its place among the sender's.
    struct Sender
    {
        VmId vm;
        ZoneName zone;
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
    };

    explicit PaceExchange(TargetPace &pace) : m_pace(pace) {}

    void addTo(Json::Value &message, Scope scope, TimePoint now);
    /// Fails with JsonInvalid, and takes nothing then.
    absl::Status take(const Json::Value &message, Scope scope, const Sender &sender, TimePoint now);
    /// Adds what the sender of the report \a message does not know.
    void addToAnswer(Json::Value &answer, const Json::Value &message, const VmId &vm,
                     TimePoint now) const;
    /// Fails with JsonInvalid, and takes nothing then.
    absl::Status takeAnswer(const Json::Value &answer, TimePoint sentAt);

private:
    TargetPace &m_pace;
    std::map<Scope, TimePoint> m_evidenceSentAt;
};

/// Encodes rows of target, start, kind, sums and age.
Json::Value encodePaceSums(const PaceSums &sums);
/// Null stands for none. Fails with JsonInvalid.
absl::StatusOr<PaceSums> decodePaceSums(const Json::Value &json);
/// Encodes rows of target, start, answers in time, failures and age.
Json::Value encodeRampSums(const RampSums &sums);
/// Null stands for none. Fails with JsonInvalid.
absl::StatusOr<RampSums> decodeRampSums(const Json::Value &json);
/// Encodes rows of target, start and speed.
Json::Value encodeSpeeds(const RelativeSpeeds &speeds);
/// Fails with JsonInvalid.
absl::StatusOr<RelativeSpeeds> decodeSpeeds(const Json::Value &json);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_PACEEXCHANGE_H
