#ifndef CURRANTWALK_BASE_IDS_H
#define CURRANTWALK_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace currantwalk {

/// A strongly typed string identifier: identifiers with different tags are distinct types and
/// cannot be mixed up.
template<typename Tag>
class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string text) : m_text(std::move(text)) {}

    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    friend bool operator==(const StringId &, const StringId &) = default;
    friend auto operator<=>(const StringId &, const StringId &) = default;

private:
    std::string m_text;
};

using VmId = StringId<struct VmIdTag>;         ///< An entry VM and the daemon that runs on it.
using ZoneName = StringId<struct ZoneNameTag>; ///< An availability zone.
using TargetId = StringId<struct TargetIdTag>; ///< A model engine or plain service instance.
using ModelName = StringId<struct ModelNameTag>;
using ServiceName = StringId<struct ServiceNameTag>;
using OrganisationName = StringId<struct OrganisationNameTag>;
using PriorityName = StringId<struct PriorityNameTag>;
using RequestId = StringId<struct RequestIdTag>;

/// The start count of a VM's daemon or of a target. A higher incarnation supersedes a lower one.
using Incarnation = std::uint64_t;
/// An offset in a stream of the platform's log.
using LogOffset = std::uint64_t;
/// The number of an attempt within a request, starting at 1.
using AttemptNumber = std::uint32_t;

/// Identifies one generation: one run of a model on one prompt.
struct GenerationId
{
    TargetId target;
    Incarnation incarnation = 0;
    std::uint64_t number = 0;

    friend bool operator==(const GenerationId &, const GenerationId &) = default;
};

/// Returns a 64-bit hash of \a text that is the same on all nodes.
std::uint64_t stableHash(const std::string &text, std::uint64_t seed = 0);

} // namespace currantwalk

template<typename Tag>
struct std::hash<currantwalk::StringId<Tag>>
{
    std::size_t operator()(const currantwalk::StringId<Tag> &name) const
    {
        return std::hash<std::string>()(name.text());
    }
};

#endif // CURRANTWALK_BASE_IDS_H
