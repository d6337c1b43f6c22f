#ifndef CURRANTWALK_CONFIG_PUBLISHER_H
#define CURRANTWALK_CONFIG_PUBLISHER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/error.h"
#include "base/ids.h"
#include "base/randomsource.h"
#include "base/timerservice.h"
#include "config/configstore.h"
#include "config/objectdiff.h"
#include "log/logservice.h"

namespace currantwalk {

/// A set to be published.
struct PublicationRequest
{
    LogOffset base = 0;
    std::string author;
    std::string publicationId; ///< Unique; the same one asks again about the same publication.
    bool isRecovery = false;   ///< Accepted on any base; see docs/operators/publishing.md.
    Json::Value objects;       ///< As encodeObjects() wrote them.
};

/// What became of a publication. Where it lost a race, it says to whom.
struct PublicationResult
{
    bool isAccepted = false;
    LogOffset version = 0; ///< In force after the decision: the publication's own if accepted.
    std::string reason;    ///< Of a refusal.
    std::string winner;    ///< Author of the version in force, where refused for its base.
    /// What would change if the set were published upon the version in force.
    std::vector<ObjectChange> changes;
};

/// Appends publications to the configuration stream and waits for them to be decided on.
class Publisher
{
public:
    /// Fails with ConfigInvalid, with LogUnavailable where it was not published, and with
    /// OutcomeUnknown where that is not known: ask again with the same id, or read the history.
    using Callback = std::function<void(absl::StatusOr<PublicationResult>)>;

    struct Options
    {
        Duration timeout = std::chrono::seconds(20);
    };

    /// \a store must be told of verdicts by onVerdict(); all must outlive the result.
    static std::unique_ptr<Publisher> create(const Options &options, const ConfigStore &store,
                                             LogHooks log, TimerService &timers,
                                             RandomSource &random);

    virtual ~Publisher() = default;

    /// Calls \a callback once and later.
    virtual void publish(const PublicationRequest &request, Callback callback) = 0;
    /// Takes a decision that the store read; wire it to ConfigStore::Hooks::onVerdict.
    virtual void onVerdict(const PublicationVerdict &verdict) = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_PUBLISHER_H
