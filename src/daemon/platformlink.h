#ifndef CURRANTWALK_DAEMON_PLATFORMLINK_H
#define CURRANTWALK_DAEMON_PLATFORMLINK_H

#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "log/logservice.h"
#include "net/fetcher.h"
#include "targets/targettable.h"

namespace currantwalk {

/// An entry VM as the platform's list shows it.
struct ListedVm
{
    VmId vm;
    std::string zone;
    Endpoint endpoint; ///< Of its listener for peers.
};

/// The platform's list of VMs, which lags.
struct VmList
{
    std::vector<ListedVm> entryVms;
    std::vector<ListedTarget> targets;
};

/// Speaks the platform's protocols; see docs/PROTOCOLS.md.
class PlatformLink
{
public:
    /// \a fetcher must outlive the link.
    PlatformLink(Endpoint platform, Fetcher &fetcher);

    /// Returns hooks onto the platform's log; they must not outlive the link.
    LogHooks logHooks();
    /// Fetches the list of VMs. Fails with ConnectFailed, ConnectionLost, DeadlineExceeded or
    /// JsonInvalid.
    void fetchVms(std::function<void(absl::StatusOr<VmList>)> callback);

private:
    void append(const std::string &stream, const std::vector<std::string> &records,
                LogHooks::AppendCallback callback);
    void read(const std::string &stream, LogOffset from, std::size_t limit,
              LogHooks::ReadCallback callback);
    HttpCallOptions options() const;

    Endpoint m_platform;
    Fetcher &m_fetcher;
};

/// Reads the platform's list of VMs. Fails with JsonInvalid.
absl::StatusOr<VmList> parseVmList(const std::string &body);

} // namespace currantwalk

#endif // CURRANTWALK_DAEMON_PLATFORMLINK_H
