#ifndef CURRANTWALK_DAEMON_TOPICMESSAGES_H
#define CURRANTWALK_DAEMON_TOPICMESSAGES_H

#include <optional>
#include <string_view>

#include <json/value.h>

#include "log/keyedtopicfollower.h"

namespace currantwalk {

/// The topics of the store that nodes read for one another.
enum class SharedTopic {
    Catalog,
    Targets,
    Nodes, ///< Records that the nodes write themselves.
};

/// Returns "catalog", "targets" or "nodes".
std::string_view sharedTopicName(SharedTopic topic);

/// A node's read of a topic from a peer.
struct TopicQuestion
{
    SharedTopic topic = SharedTopic::Catalog;
    std::uint64_t era = 0;         ///< Of the offset; 0 if it is not known.
    std::optional<LogOffset> from; ///< Nothing for the newest record of each key.
    Duration wait{0};
};

Json::Value encodeTopicQuestion(const TopicQuestion &question);
/// Fails with JsonInvalid.
absl::StatusOr<TopicQuestion> decodeTopicQuestion(const Json::Value &json);
/// Encodes consecutive records with their offsets; values are base64, as they may be any bytes. A
/// peer's proof allows for the time that writers have after a restore.
Json::Value encodeTopicTail(const KeyedTail &tail);
/// Fails with JsonInvalid.
absl::StatusOr<KeyedTail> decodeTopicTail(const Json::Value &json);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_TOPICMESSAGES_H
