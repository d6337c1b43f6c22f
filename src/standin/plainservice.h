#ifndef CURRANTWALK_STANDIN_PLAINSERVICE_H
#define CURRANTWALK_STANDIN_PLAINSERVICE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace currantwalk::standin {

/// A plain service that counts how often each write ran, so that doubled ones show.
class PlainService
{
public:
    struct Answer
    {
        int status = 200;
        std::string body; ///< JSON.
    };

    /// Where \a checksKeys is set, a key that was seen before gets its first answer again.
    explicit PlainService(bool checksKeys) : m_checksKeys(checksKeys) {}

    Answer handle(const std::string &method, const std::string &path, const std::string &key,
                  const std::string &body);
    /// Returns the answer stored for a key; nothing where none is, or keys are not checked.
    std::optional<Answer> storedAnswer(const std::string &key) const;
    /// Returns how often a write with this path and body ran.
    std::uint64_t runs(const std::string &path, const std::string &body) const;
    std::uint64_t writes() const { return m_writes; }

private:
    bool m_checksKeys;
    std::uint64_t m_writes = 0;
    std::map<std::string, std::uint64_t> m_runs;
    std::map<std::string, Answer> m_answers;
};

} // namespace currantwalk::standin

#endif // CURRANTWALK_STANDIN_PLAINSERVICE_H
