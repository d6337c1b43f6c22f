#include "daemon/poisonadmin.h"

#include <algorithm>

#include "daemon/requestfingerprint.h"

namespace currantwalk {

void PoisonAdmin::list(ListCallback callback)
{
    readPage("", std::make_shared<std::vector<PoisonRecord>>(), callback);
}

void PoisonAdmin::readPage(const std::string &after,
                           std::shared_ptr<std::vector<PoisonRecord>> records,
                           const ListCallback &callback)
{
    m_hooks.topic.readNewest(after, [this, records = std::move(records),
                                     callback](const absl::StatusOr<KeyedPage> &page) {
        if (!page.ok())
            return callback(page.status());
        for (const KeyedRecord &record : page->records) {
            if (!isPoisonRecordKey(record.key) || !record.value)
                continue;
            absl::StatusOr<PoisonRecord> read =
                    decodePoisonRecord(*record.value, m_hooks.unixMilliseconds());
            if (read.ok())
                records->push_back(*std::move(read));
        }
        if (page->hasMore && !page->records.empty())
            readPage(page->records.back().key, records, callback);
        else
            callback(*records);
    });
}

void PoisonAdmin::clear(std::uint64_t fingerprint,
                        std::function<void(const absl::Status &)> callback)
{
    list([this, fingerprint, callback = std::move(callback)](
                 const absl::StatusOr<std::vector<PoisonRecord>> &records) {
        if (!records.ok())
            return callback(records.status());
        const bool isKnown = std::any_of(records->begin(), records->end(),
                                         [fingerprint](const PoisonRecord &record) {
                                             return record.fingerprint == fingerprint;
                                         });
        if (!isKnown)
            return callback(makeError(ErrorCode::NotFound, "no such request is refused"));
        m_hooks.writeRecord(poisonRecordKey(fingerprint), std::nullopt, callback);
    });
}

std::string renderPoisonRecords(const std::vector<PoisonRecord> &records)
{
    std::string text;
    for (const PoisonRecord &record : records) {
        Duration age = Duration::max();
        std::string targets;
        for (const PoisonReport &death : record.deaths) {
            age = std::min(age, death.age);
            targets += (targets.empty() ? "" : ",") + death.target.text();
        }
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age).count();
        text += fingerprintText(record.fingerprint) + "  " + std::to_string(seconds) + " s ago  "
                + record.subject + "  died: " + targets + "\n";
    }
    return text.empty() ? "no request is refused\n" : text;
}

} // namespace currantwalk
