#ifndef CURRANTWALK_DAEMON_BURNCOLLECTOR_H
#define CURRANTWALK_DAEMON_BURNCOLLECTOR_H

#include <functional>
#include <string>
#include <vector>

#include "config/objects.h"
#include "daemon/peerlink.h"
#include "membership/membership.h"
#include "observe/burn.h"

namespace currantwalk {

/// What an operator asks of the report on service-level burn.
struct BurnQuery
{
    BurnGrouping grouping = BurnGrouping::Service;
    bool isPageWanted = false; ///< As a self-contained HTML page as well.

    /// Reads {"by": "service"|"organisation"|"zone", "page": true}. Fails with InvalidRequest.
    static absl::StatusOr<BurnQuery> fromJson(const Json::Value &params);
};

/// Fetches the snapshots of \a members, merges them into \a own, and calls back once with the sum
/// and the number of members that did not answer.
void collectBurn(PeerLink &peers, const std::vector<Member> &members, BurnSnapshot own,
                 std::function<void(const BurnSnapshot &merged, std::size_t missing)> callback);

/// Writes the report for operators: rows by window, text and, where asked for, a page.
Json::Value encodeBurnReport(const BurnSnapshot &snapshot, const ObjectSet &objects,
                             const BurnQuery &query, std::size_t missing);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_BURNCOLLECTOR_H
