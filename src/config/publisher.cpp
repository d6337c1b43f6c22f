#include "config/publisher.h"

#include <cassert>
#include <map>
#include <utility>

#include "config/configrecord.h"
#include "config/objectcodec.h"
#include "log/appender.h"

namespace currantwalk {

namespace {

class LogPublisher : public Publisher
{
public:
    LogPublisher(const Options &options, const ConfigStore &store, LogHooks log,
                 TimerService &timers, RandomSource &random)
        : m_options(options), m_store(store), m_log(std::move(log)), m_timers(timers)
    {
        Appender::Options appenderOptions;
        appenderOptions.stream = ConfigStore::StreamName;
        appenderOptions.maxBatchSize = 1; // Sets are large, so each one is appended on its own.
        m_appender = Appender::create(appenderOptions, m_log, timers, random);
    }

    ~LogPublisher() override
    {
        for (const auto &[number, pending] : m_pending)
            m_timers.cancel(pending.timer);
    }

    void publish(const PublicationRequest &request, Callback callback) override
    {
        const std::uint64_t number = ++m_lastNumber;
        Pending &pending = m_pending[number];
        pending.request = request;
        pending.callback = std::move(callback);
        pending.timer = m_timers.scheduleAfter(Duration(0), [this, number] { begin(number); });
    }

    void onVerdict(const PublicationVerdict &verdict) override
    {
        for (auto &[number, pending] : m_pending) {
            if (pending.request.publicationId != verdict.publicationId)
                continue;
            // Completed from a timer, because this may be called from within the store.
            m_timers.cancel(pending.timer);
            pending.timer = m_timers.scheduleAfter(
                    Duration(0), [this, pendingNumber = number] { complete(pendingNumber); });
        }
    }

private:
    struct Pending
    {
        PublicationRequest request;
        Callback callback;
        TimerId timer = NoTimer;
    };

    void begin(std::uint64_t number)
    {
        const PublicationRequest &request = m_pending.at(number).request;
        if (findVerdict(request.publicationId)) {
            complete(number);
            return;
        }
        if (finishIfInForce(number))
            return;
        const absl::Status validity = decodeValidObjects(request.objects).status();
        if (!validity.ok()) {
            finish(number, validity);
            return;
        }
        const ConfigVersion *current = m_store.current();
        // The version never decreases, so an outdated base can't become current again.
        if (current && request.base < current->version && !request.isRecovery) {
            finish(number,
                   rejected(request, "made from version " + std::to_string(request.base)
                                             + ", but version " + std::to_string(current->version)
                                             + " is in force"));
            return;
        }
        append(number);
    }

    void append(std::uint64_t number)
    {
        Pending &pending = m_pending.at(number);
        pending.timer = m_timers.scheduleAfter(m_options.timeout, [this, number] {
            if (finishIfInForce(number))
                return;
            finish(number,
                   makeError(ErrorCode::OutcomeUnknown, "no decision on the publication was read "
                                                        "in time; retry with the same id"));
        });
        const PublicationRequest &request = pending.request;
        const PublicationRecord record{request.publicationId, request.base, request.author,
                                       request.isRecovery, request.objects};
        // If the answer is lost, the record may still be in the stream; its verdict decides.
        m_appender->append(encodePublication(record),
                           [this, number](const absl::StatusOr<LogOffset> &offset) {
                               if (offset.ok() || !m_pending.contains(number))
                                   return;
                               if (errorCode(offset.status()) != ErrorCode::LogAnswerLost)
                                   finish(number, offset.status());
                           });
    }

    // A publication that was appended twice is accepted if either record was.
    const PublicationVerdict *findVerdict(const std::string &id) const
    {
        const PublicationVerdict *found = nullptr;
        for (const PublicationVerdict &verdict : m_store.verdicts()) {
            if (verdict.publicationId == id && (!found || verdict.isAccepted))
                found = &verdict;
        }
        return found;
    }

    // The version may have been received from a peer before this node read its record.
    bool finishIfInForce(std::uint64_t number)
    {
        const ConfigVersion *current = m_store.current();
        if (!current || current->publicationId != m_pending.at(number).request.publicationId)
            return false;
        finish(number, accepted(current->version));
        return true;
    }

    static PublicationResult accepted(LogOffset version)
    {
        PublicationResult result;
        result.isAccepted = true;
        result.version = version;
        return result;
    }

    void complete(std::uint64_t number)
    {
        const PublicationRequest &request = m_pending.at(number).request;
        const PublicationVerdict *verdict = findVerdict(request.publicationId);
        assert(verdict && "the store keeps the verdicts it has just reported");
        if (!verdict->isAccepted) {
            finish(number, rejected(request, verdict->reason));
            return;
        }
        finish(number, accepted(verdict->offset));
    }

    PublicationResult rejected(const PublicationRequest &request, std::string reason) const
    {
        PublicationResult result;
        result.reason = std::move(reason);
        const ConfigVersion *current = m_store.current();
        if (!current)
            return result;
        result.version = current->version;
        if (current->version == request.base)
            return result;
        result.winner = current->author;
        result.changes = diffEncodedObjects(encodeObjects(current->objects), request.objects);
        return result;
    }

    void finish(std::uint64_t number, const absl::StatusOr<PublicationResult> &result)
    {
        auto node = m_pending.extract(number);
        assert(!node.empty() && "a publication ends once");
        m_timers.cancel(node.mapped().timer);
        node.mapped().callback(result);
    }

    const Options m_options;
    const ConfigStore &m_store;
    const LogHooks m_log;
    TimerService &m_timers;
    std::unique_ptr<Appender> m_appender;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastNumber = 0;
};

} // namespace

std::unique_ptr<Publisher> Publisher::create(const Options &options, const ConfigStore &store,
                                             LogHooks log, TimerService &timers,
                                             RandomSource &random)
{
    return std::make_unique<LogPublisher>(options, store, std::move(log), timers, random);
}

} // namespace currantwalk
