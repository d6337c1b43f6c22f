// Parts that the stand-ins of the cases have in common: HTTP/1.1 on blocking sockets, the
// platform's store in its log form, processes of the project, and the record of what was sent and
// seen.
#ifndef REVIEW_STANDINS_2_COMMON_H
#define REVIEW_STANDINS_2_COMMON_H

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

inline void sleepUntil(double when)
{
    sleepFor(when - now());
}

/// Writes lines with the time in seconds to the record and to standard output.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(std::fopen(path.c_str(), "w")) {}
    ~Record()
    {
        if (m_file)
            std::fclose(m_file);
    }

    __attribute__((format(printf, 2, 3))) void write(const char *format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (std::FILE *file : {m_file, stdout}) {
            if (!file)
                continue;
            std::fprintf(file, "%9.3f  %s\n", now(), text);
            std::fflush(file);
        }
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Returns -1 if the port is in use.
inline int listenOn(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// \a segment and \a buffer: the largest segment that the caller takes and the size of its receive
/// buffer, as of a caller on an ordinary network; 0 for those of the system.
inline int connectTo(const std::string &ip, int port, int segment = 0, int buffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (buffer != 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    if (segment != 0)
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string &data)
{
    for (std::size_t sent = 0; sent < data.size();) {
        const ssize_t count = ::send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }
    std::string query(const std::string &name) const
    {
        const std::size_t mark = path.find('?');
        std::string rest = mark == std::string::npos ? "" : '&' + path.substr(mark + 1);
        const std::size_t at = rest.find('&' + name + '=');
        if (at == std::string::npos)
            return "";
        rest = rest.substr(at + name.size() + 2);
        return rest.substr(0, rest.find('&'));
    }
    std::string resource() const { return path.substr(0, path.find('?')); }
};

/// Reads one request; \a buffer keeps what came after it. Returns nothing when the peer has closed.
inline std::optional<Request> readRequest(int fd, std::string &buffer)
{
    const auto fill = [&] {
        char part[65536];
        const ssize_t count = ::recv(fd, part, sizeof(part), 0);
        if (count > 0)
            buffer.append(part, static_cast<std::size_t>(count));
        return count > 0;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return std::nullopt;
    }
    Request request;
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t line = head.find("\r\n");
    const std::string first = head.substr(0, line);
    const std::size_t space = first.find(' ');
    request.method = first.substr(0, space);
    request.path = first.substr(space + 1, first.rfind(' ') - space - 1);
    for (line += 2; line < head.size();) {
        const std::size_t next = head.find("\r\n", line);
        const std::string field = head.substr(line, next - line);
        const std::size_t colon = field.find(':');
        std::string name = field.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        std::size_t value = colon + 1;
        while (value < field.size() && field[value] == ' ')
            ++value;
        request.headers[name] = field.substr(value);
        line = next + 2;
    }
    const std::size_t length = std::strtoul(request.header("content-length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
        if (!fill())
            return std::nullopt;
    }
    request.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return request;
}

inline std::string answer(int status, const std::string &body,
                          const std::string &type = "application/json")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string &data)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

/// Serves each connection on a thread of its own until the process ends.
inline bool serve(const std::string &ip, int port, std::function<void(int fd)> handler)
{
    const int fd = listenOn(ip, port);
    if (fd < 0)
        return false;
    std::thread([fd, handler = std::move(handler)] {
        while (true) {
            const int connection = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            const int on = 1;
            setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([connection, handler] {
                handler(connection);
                ::close(connection);
            }).detach();
        }
    }).detach();
    return true;
}

inline std::string base64(const std::string &text)
{
    static const char *const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8U | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            encoded += i + j <= text.size() ? digits[bits >> (18 - 6 * j) & 63U] : '=';
    }
    return encoded;
}

inline std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text += static_cast<char>(number >> shift & 0xFF);
    return text;
}

/// The platform's store: topics with one partition, log-newest, log-read with long polls,
/// log-append.
class Store
{
public:
    bool start(const std::string &ip, int port)
    {
        return serve(ip, port, [this](int fd) {
            std::string buffer;
            while (const std::optional<Request> request = readRequest(fd, buffer)) {
                if (!sendAll(fd, handle(*request)))
                    return;
            }
        });
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }

private:
    using Row = std::pair<std::string, std::string>; ///< An empty value drops the key.

    std::string handle(const Request &request)
    {
        const std::string topic = request.query("topic");
        std::unique_lock<std::mutex> lock(m_mutex);
        std::vector<Row> &rows = m_topics[topic];
        if (request.resource() == "/currantwalk/log-newest") {
            std::map<std::string, std::size_t> newest;
            for (std::size_t i = 0; i < rows.size(); ++i)
                newest[rows[i].first] = i;
            std::string items;
            for (const auto &[key, offset] : newest) {
                if (!rows[offset].second.empty())
                    items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\""
                             + base64(rows[offset].second)
                             + "\",\"offset\":" + std::to_string(offset) + "}";
            }
            return answer(200, "{\"items\":[" + items + "],\"has_more\":false,\"end\":"
                                       + std::to_string(rows.size()) + "}");
        }
        if (request.resource() == "/currantwalk/log-read") {
            const std::size_t from = std::strtoul(request.query("from").c_str(), nullptr, 10);
            const int wait = std::atoi(request.query("wait_ms").c_str());
            m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                               [&] { return rows.size() > from; });
            std::string body = bigEndian(rows.size(), 8) + bigEndian(0, 8);
            for (std::size_t i = from; i < rows.size(); ++i)
                body += bigEndian(1 + rows[i].first.size() + rows[i].second.size(), 4)
                        + static_cast<char>(rows[i].first.size()) + rows[i].first + rows[i].second;
            return answer(200, body, "application/octet-stream");
        }
        if (request.resource() == "/currantwalk/log-append") {
            const std::size_t offset = rows.size();
            for (std::size_t at = 0; at + 5 <= request.body.size();) {
                std::size_t size = 0;
                for (std::size_t i = 0; i < 4; ++i)
                    size = size << 8U | static_cast<unsigned char>(request.body[at + i]);
                const std::size_t key = static_cast<unsigned char>(request.body[at + 4]);
                rows.push_back({request.body.substr(at + 5, key),
                                request.body.substr(at + 5 + key, size - 1 - key)});
                at += 4 + size;
            }
            m_changed.notify_all();
            return answer(200, "{\"offset\":" + std::to_string(offset)
                                       + ",\"end\":" + std::to_string(rows.size()) + "}");
        }
        return answer(404, "{}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Row>> m_topics;
};

/// A server's entry in the store.
inline std::string beat(const std::string &service, const std::string &address,
                        const std::string &zone, int slots, const std::string &state, int sequence)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
           + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state
           + "\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
             "\"adapters\":[]}],\"born\":1790000000000,\"seq\":"
           + std::to_string(sequence) + "}";
}

/// A configuration of a small deployment: one service of model servers, one streaming route.
inline std::string configuration(const std::string &service)
{
    return "{\"version\":7,\"routes\":[{\"name\":\"r-plan\",\"host\":\"h.example\",\"path_prefix\":"
           "\"/plan/\",\"kind\":\"streaming\",\"timeout_ms\":39000,\"goal_ms\":1800,\"priority\":1,"
           "\"service\":\""
           + service
           + "\",\"max_attempts\":1,\"allow_anonymous\":false,\"sticky\":true,\"resumable\":false,"
             "\"gap_goal_ms\":180}],\"services\":[{\"name\":\""
           + service
           + "\",\"health_path\":\"/health\",\"max_conns\":242,\"protocol\":\"h1\",\"tls\":false,"
             "\"engine\":{\"slots\":24,\"kv_capacity\":34226,\"kv_token_bytes\":163840,"
             "\"link_mbps\":24000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,"
             "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}"
             "],"
             "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
             "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
             "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"key1\"],\"priority\":1}]}";
}

/// The settings of a machine of sites/glazfroid-prod.toml.
inline std::string settings(const std::string &name, const std::string &ip, const std::string &zone,
                            const std::string &store)
{
    return "node_name = \"" + name
           + "\"\nrole = \"entry\"\nmachine_class = \"front\"\n"
             "serves = [\"front\"]\nip = \""
           + ip + "\"\nzone = \"" + zone
           + "\"\nregion = \"bzh-west\"\ninternal_ports = [7200,7215]\nseeds = []\n"
             "bootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
             "beat_interval_ms = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\","
             "\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]\n"
             "[zones]\nbzh-west-a = \"bzh-west\"\nbzh-west-b = \"bzh-west\"\n"
             "bzh-west-c = \"bzh-west\"\n[listen]\nfront = \""
           + ip + ":8740\"\nready_addr = \"" + ip + ":8749\"\ncontrol = \"" + ip
           + ":8748\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 110\nmax_fds = 4100\n"
             "link_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 1\n"
             "regions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\n"
             "ack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
             "config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n"
             "strict_revoke = true\nrevoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\n"
             "retry_slack = 54\nrecovery_s = 12\npass_ms = 120\nreuse_window_s = 4.3\n"
             "[platform]\naddress = \""
           + store
           + "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 8\n"
             "append_ms = 4.0\npartition_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\n"
             "call_bytes = 2097152\nkeep_s = 300\npartition_mb = 200\nmin_ttl_ms = 1000\n";
}

/// One daemon, started with the command of deploy/system.toml; it is killed when this is destroyed.
class Daemon
{
public:
    Daemon(const std::string &name, const std::string &ip, const std::string &zone,
           const std::string &store, const std::string &folder)
        : name(name), ip(ip)
    {
        const std::string path = folder + "/" + name + ".toml";
        std::ofstream(path) << settings(name, ip, zone, store);
        const std::string log = folder + "/" + name + ".log";
        const std::string variable = "CURRANTWALK_NODE_FILE=" + path;
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        // It ends with the case, also where that is killed or gives up.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        const char *const program = "target/tools/currantwalkd/currantwalkd";
        const char *const arguments[] = {program, "platform", nullptr};
        const char *const environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
        ::execve(program, const_cast<char **>(arguments), const_cast<char **>(environment));
        ::_exit(127);
    }

    ~Daemon()
    {
        if (!hasEnded()) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
        }
    }

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void signal(int number) { ::kill(m_pid, number); }

    bool hasEnded()
    {
        if (!m_hasEnded && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_hasEnded = true;
        return m_hasEnded;
    }

    /// Memory of the process without its program and libraries; 0 if it has ended.
    long ownKilobytes() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.substr(0, 7) == "RssAnon")
                return std::strtol(line.c_str() + 8, nullptr, 10);
        }
        return 0;
    }

    bool isReady() const
    {
        const int fd = connectTo(ip, 8749);
        if (fd < 0)
            return false;
        sendAll(fd, "GET /currantwalk/ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n");
        char text[64] = {};
        const ssize_t count = ::recv(fd, text, sizeof(text) - 1, 0);
        ::close(fd);
        return count > 12 && std::string(text).substr(9, 3) == "200";
    }

    bool waitUntilReady(double seconds) const
    {
        const double end = now() + seconds;
        while (now() < end) {
            if (isReady())
                return true;
            sleepFor(0.05);
        }
        return false;
    }

    const std::string name;
    const std::string ip;

private:
    pid_t m_pid = -1;
    bool m_hasEnded = false;
};

/// Returns "127.X.Y." of a range of loopback addresses whose ports are free.
inline std::string freeRange(int addresses)
{
    std::random_device random;
    for (int attempt = 0; attempt < 50; ++attempt) {
        const std::string range = "127." + std::to_string(1 + random() % 250) + "."
                                  + std::to_string(1 + random() % 250) + ".";
        bool isFree = true;
        for (int i = 1; i <= addresses && isFree; ++i) {
            for (const int port : {8740, 8742, 8749, 7200, 8500, 9464}) {
                const int fd = listenOn(range + std::to_string(i), port);
                isFree = isFree && fd >= 0;
                if (fd >= 0)
                    ::close(fd);
            }
        }
        if (isFree)
            return range;
    }
    return "";
}

} // namespace review

#endif // REVIEW_STANDINS_2_COMMON_H
