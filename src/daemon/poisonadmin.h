#ifndef CURRANTWALK_DAEMON_POISONADMIN_H
#define CURRANTWALK_DAEMON_POISONADMIN_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/poisonmessages.h"
#include "log/keyedtopicfollower.h"

namespace currantwalk {

/// Lists and clears the records of refused requests for an operator.
class PoisonAdmin
{
public:
    struct Hooks
    {
        KeyedTopicHooks topic; ///< The nodes' topic.
        /// Writes the record \a key, or deletes it if \a value is nothing.
        std::function<void(const std::string &key, const std::optional<std::string> &value,
                           std::function<void(const absl::Status &)> callback)>
                writeRecord;
        std::function<std::uint64_t()> unixMilliseconds; ///< Returns the time of day.
    };

    using ListCallback = std::function<void(absl::StatusOr<std::vector<PoisonRecord>>)>;

    explicit PoisonAdmin(Hooks hooks) : m_hooks(std::move(hooks)) {}

    /// Records that can't be read are left out.
    void list(ListCallback callback);
    /// Deletes the record of a request, which all nodes then clear. Fails with NotFound if there is
    /// none.
    void clear(std::uint64_t fingerprint, std::function<void(const absl::Status &)> callback);

private:
    void readPage(const std::string &after, std::shared_ptr<std::vector<PoisonRecord>> records,
                  const ListCallback &callback);

    const Hooks m_hooks;
};

/// Returns a line for each record: its fingerprint, the age of its last death, the request and the
/// targets that died.
std::string renderPoisonRecords(const std::vector<PoisonRecord> &records);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_POISONADMIN_H
