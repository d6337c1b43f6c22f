#include "observe/boundedwriter.h"

#include <algorithm>

#include <limits.h>
#include <poll.h>
#include <unistd.h>

namespace currantwalk {

BoundedWriter::BoundedWriter(int fd, const Options &options, std::function<TimePoint()> now,
                             std::function<std::string(std::uint64_t)> notice)
    : m_fd(fd),
      m_options(options),
      m_now(std::move(now)),
      m_notice(std::move(notice)),
      m_tokens(options.burst),
      m_refilledAt(m_now())
{
}

void BoundedWriter::write(std::string_view line)
{
    if (!tryConsumeToken()) {
        ++m_droppedSinceNotice;
        ++m_totalDropped;
        return;
    }
    if (m_droppedSinceNotice != 0 && tryWrite(m_notice(m_droppedSinceNotice)))
        m_droppedSinceNotice = 0;
    if (tryWrite(line))
        return;
    ++m_droppedSinceNotice;
    ++m_totalDropped;
}

bool BoundedWriter::tryConsumeToken()
{
    const TimePoint now = m_now();
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_tokens = std::min(m_options.burst, m_tokens + seconds * m_options.linesPerSecond);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

// A pipe that polls as writable takes PIPE_BUF bytes without blocking; longer lines are cut.
bool BoundedWriter::tryWrite(std::string_view line) const
{
    pollfd look{m_fd, POLLOUT, 0};
    if (::poll(&look, 1, 0) <= 0 || (look.revents & POLLOUT) == 0)
        return false;
    std::string text(line.substr(0, PIPE_BUF - 1));
    text += '\n';
    return ::write(m_fd, text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

} // namespace currantwalk
