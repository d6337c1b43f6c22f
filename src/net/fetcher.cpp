#include "net/fetcher.h"

#include <utility>

namespace currantwalk {

struct Fetcher::Fetch
{
    std::unique_ptr<HttpCall> call;
    FetchResult result;
    Callback callback;
    TimerId timer = NoTimer;
    bool hasEnded = false; ///< The callback is due in the loop's next round.
};

Fetcher::Fetcher(HttpClient &client, TimerService &timers, std::size_t maxBodyBytes)
    : m_client(client), m_timers(timers), m_maxBodyBytes(maxBodyBytes)
{
}

Fetcher::~Fetcher()
{
    for (const auto &[id, fetch] : m_fetches)
        m_timers.cancel(fetch->timer);
}

FetchId Fetcher::fetch(const HttpCallOptions &options, HttpRequest request, Duration timeout,
                       Callback callback)
{
    const FetchId id = ++m_lastId;
    auto owned = std::make_unique<Fetch>();
    Fetch *fetch = owned.get();
    m_fetches.emplace(id, std::move(owned));
    fetch->callback = std::move(callback);
    fetch->result.response.head.status = 0;
    fetch->timer = m_timers.scheduleAfter(timeout, [this, id] {
        end(id, makeError(ErrorCode::DeadlineExceeded, "no whole answer in time"));
    });
    HttpCallHooks hooks;
    hooks.onHead = [fetch](const HttpResponseHead &head) { fetch->result.response.head = head; };
    hooks.onBody = [this, id, fetch](std::string_view part) {
        if (fetch->hasEnded)
            return;
        fetch->result.response.body.append(part);
        if (fetch->result.response.body.size() > m_maxBodyBytes)
            end(id, makeError(ErrorCode::TargetProtocolError, "the answer is too large"));
    };
    hooks.onEnd = [this, id](const absl::Status &status) { end(id, status); };
    fetch->call = m_client.send(options, std::move(request), std::move(hooks));
    return id;
}

void Fetcher::abandon(FetchId id)
{
    const auto it = m_fetches.find(id);
    if (it == m_fetches.end())
        return;
    m_timers.cancel(it->second->timer);
    m_fetches.erase(it);
}

// The exchange is destroyed from the timer service, not from within its own callback. Until then
// the fetch can still be abandoned.
void Fetcher::end(FetchId id, absl::Status status)
{
    const auto it = m_fetches.find(id);
    if (it == m_fetches.end() || it->second->hasEnded)
        return;
    Fetch &fetch = *it->second;
    fetch.hasEnded = true;
    fetch.result.status = std::move(status);
    if (fetch.call)
        fetch.result.progress = fetch.call->progress();
    m_timers.cancel(fetch.timer);
    fetch.timer = m_timers.scheduleAfter(Duration(0), [this, id] { deliver(id); });
}

void Fetcher::deliver(FetchId id)
{
    auto node = m_fetches.extract(id);
    Fetch &fetch = *node.mapped();
    fetch.call.reset();
    // The callback may destroy this fetcher.
    fetch.callback(std::move(fetch.result));
}

} // namespace currantwalk
