#include "standin/plainservice.h"

#include "base/json.h"

namespace currantwalk::standin {

static std::string runKey(const std::string &path, const std::string &body)
{
    return path + "\n" + body;
}

PlainService::Answer PlainService::handle(const std::string &method, const std::string &path,
                                          const std::string &key, const std::string &body)
{
    Json::Value answer(Json::objectValue);
    answer["path"] = path;
    if (method == "GET" || method == "HEAD") {
        answer["writes"] = Json::UInt64(m_writes);
        return {200, writeJson(answer)};
    }
    if (const std::optional<Answer> stored = storedAnswer(key))
        return *stored;
    ++m_writes;
    answer["runs"] = Json::UInt64(++m_runs[runKey(path, body)]);
    answer["number"] = Json::UInt64(m_writes);
    const Answer result{201, writeJson(answer)};
    if (m_checksKeys && !key.empty())
        m_answers[key] = result;
    return result;
}

std::optional<PlainService::Answer> PlainService::storedAnswer(const std::string &key) const
{
    const auto it = m_answers.find(key);
    if (!m_checksKeys || it == m_answers.end())
        return std::nullopt;
    return it->second;
}

std::uint64_t PlainService::runs(const std::string &path, const std::string &body) const
{
    const auto it = m_runs.find(runKey(path, body));
    return it == m_runs.end() ? 0 : it->second;
}

} // namespace currantwalk::standin
