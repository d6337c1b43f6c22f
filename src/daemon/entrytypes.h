#ifndef CURRANTWALK_DAEMON_ENTRYTYPES_H
#define CURRANTWALK_DAEMON_ENTRYTYPES_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/unixtime.h"
#include "calls/relaycall.h"
#include "calls/runstopper.h"
#include "config/servicecatalog.h"
#include "limits/coldgrants.h"
#include "log/keyedtopicfollower.h"
#include "net/http.h"
#include "targets/servicetargets.h"

namespace currantwalk {

/// What an entry node is told at its start.
struct EntrySettings
{
    VmId vm;
    ZoneName zone;
    Endpoint callers;
    Endpoint readiness;
    Endpoint metrics;    ///< Where metrics are served; port 0: nowhere.
    Endpoint peers;      ///< For messages between nodes; port 0: the node has no peers.
    std::string peerKey; ///< Shown by peers; tells the nodes of one deployment from others.
    /// Oldest catalogue by which a key is accepted.
    Duration maxKeyAge = std::chrono::seconds(3);
    /// From the order to stop until the process is killed.
    Duration stopGrace = std::chrono::seconds(8);
    /// At which the process is killed.
    std::size_t memoryLimit = std::size_t{256} * 1024 * 1024;
    /// Files and sockets that the process may have open.
    std::size_t descriptorLimit = 4096;
    double retryRatio = 0.2; ///< Retries for each request, of a service in a window.
    double retrySlack = 0;   ///< Further retries in a window, of all nodes together.
    Duration retryWindow = std::chrono::seconds(10);
    /// What cold targets may get from all nodes together; nothing: they are not limited.
    std::optional<ColdBound> coldBound;
    std::uint64_t randomSeed = 0; ///< 0: taken from the operating system.
    /// Tells this start of the node from earlier ones; 0: the time of day is used.
    Incarnation incarnation = 0;
};

/// What a caller's request says of itself.
struct CallerRequest
{
    RequestId id;
    std::string host;
    std::optional<std::string> key;
    std::optional<Duration> deadline; ///< How long the caller waits.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::optional<std::uint32_t> expectedTokens; ///< The caller's estimate of the answer's length.
    /// Ids of the parts of the prompt that other requests may have too, in the prompt's order.
    std::vector<std::uint64_t> sharedPromptParts;
    /// Number of the event after which the caller asks a stream to go on.
    std::optional<std::uint64_t> lastEvent;
};

/// What a node adds to a request that it sends to a target.
struct TargetSend
{
    TargetId target;
    Duration deadline{0};
    std::string organisation;  ///< Empty for an anonymous request.
    std::uint32_t urgency = 0; ///< Rank; 0 goes first.
    bool isGeneration = false;
    std::optional<StreamResume> resume;
    std::optional<Endpoint> backup; ///< Of the target that is sent a copy of the run's memory.
};

/// A node's own answer.
struct EntryRefusal
{
    int status = 503;
    Duration retryAfter{0}; ///< 0: not told.
    std::string_view reason;
};

/// How an entry node reads and writes what is spoken around it.
struct EntryBindings
{
    std::function<absl::StatusOr<CallerRequest>(const HttpRequest &)> readRequest;
    std::function<HttpRequest(const HttpRequest &, const TargetSend &)> writeSend;
    std::function<RelayAnswerHead(const HttpResponseHead &, const RequestId &)> readAnswerHead;
    std::function<HttpResponseHead(const EntryRefusal &)> writeRefusal;
    /// Writes the call that asks a target to copy the memory of a run to \a destination.
    std::function<HttpRequest(const RequestId &run, const Endpoint &destination)> writeCopy;
    /// Reads the name of the copy from the answer.
    std::function<absl::StatusOr<std::string>(const HttpResponse &)> readCopy;
    /// Writes the call that stops a run, of which \a destination gets a copy.
    std::function<HttpRequest(const RequestId &run, const Endpoint &destination)> writeStop;
    std::function<RunStopAnswer(const HttpResponse &)> readStop;
    /// Writes the call that frees a copy.
    std::function<HttpRequest(const std::string &handle)> writeDropCopy;
    /// Writes the call that asks an engine for its state.
    std::function<HttpRequest()> writeReportCall;
    /// Returns whether an engine says that it is leaving.
    std::function<bool(const HttpResponse &)> readIsLeaving;
    /// Path of the readiness probe.
    std::string readinessPath;

    KeyedTopicHooks catalogTopic;
    KeyedTopicHooks targetsTopic;
    KeyedTopicHooks rosterTopic; ///< The nodes' own records.
    /// Writes the record \a key of the roster, or drops it where \a value is nothing.
    std::function<void(const std::string &key, const std::optional<std::string> &value,
                       std::function<void(const absl::Status &)> callback)>
            writeRoster;
    /// Returns the time of day.
    std::function<std::uint64_t()> unixMilliseconds = &currantwalk::unixMilliseconds;
    std::string catalogKey; ///< Of the record that holds the catalogue.
    /// Returns the zone that a record of the catalogue's topic orders to be emptied, by its key.
    std::function<std::optional<ZoneName>(const std::string &key)> readEvacuation;
    std::function<absl::StatusOr<CatalogContent>(const std::string &)> readCatalog;
    std::function<absl::StatusOr<TargetEntry>(const std::string &)> readTarget;
};

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_ENTRYTYPES_H
