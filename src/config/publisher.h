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

/// A request to publish a set.
struct PublicationRequest
{
    LogOffset base = 0;
    std::string author;
    std::string publicationId; ///< Unique; reused when the same publication is retried.
    bool isRecovery = false;   ///< Accepted on any base; see docs/operators/publishing.md.
    Json::Value objects;       ///< The output of encodeObjects().
};

/// The outcome of a publication. If it was based on an outdated version, names that version's
/// author.
struct PublicationResult
{
    bool isAccepted = false;
    LogOffset version = 0; ///< Version in force after the decision; the new version if accepted.
    std::string reason;    ///< Set if rejected.
    std::string winner;    ///< Author of the version in force, if rejected because of its base.
    /// Changes that the set would make to the version in force.
    std::vector<ObjectChange> changes;
};

/// Appends publications to the configuration stream and waits for the decision on each.
class Publisher
{
public:
    /// Fails with ConfigInvalid, with LogUnavailable if nothing was published, or with
    /// OutcomeUnknown if that can't be determined: retry with the same id or read the history.
    using Callback = std::function<void(absl::StatusOr<PublicationResult>)>;

    struct Options
    {
        Duration timeout = std::chrono::seconds(20);
    };

    /// The verdicts of \a store must be passed to onVerdict(). \a store, \a timers and \a random
    /// must outlive the result.
    static std::unique_ptr<Publisher> create(const Options &options, const ConfigStore &store,
                                             LogHooks log, TimerService &timers,
                                             RandomSource &random);

    virtual ~Publisher() = default;

    /// Calls \a callback exactly once, never from within this call.
    virtual void publish(const PublicationRequest &request, Callback callback) = 0;
    /// Processes a decision of the store; to be called from ConfigStore::Hooks::onVerdict.
    virtual void onVerdict(const PublicationVerdict &verdict) = 0;
};

} // namespace currantwalk

#endif // CURRANTWALK_CONFIG_PUBLISHER_H
