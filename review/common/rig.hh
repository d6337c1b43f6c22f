// Stand-ins for the review's scripts: the platform's store, servers, clients, and the control of
// currantwalkd processes. Everything listens on loopback addresses and ports chosen by the system.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

inline std::chrono::steady_clock::time_point &startTime()
{
    static auto start = std::chrono::steady_clock::now();
    return start;
}

inline double now()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime()).count();
}

inline std::uint64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes record.txt.
inline FILE *&recordFile()
{
    static FILE *file = stdout;
    return file;
}

inline void note(const char *format, ...)
{
    static std::mutex mutex;
    const std::lock_guard<std::mutex> lock(mutex);
    std::fprintf(recordFile(), "%8.3f  ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile(), format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile());
    std::fflush(recordFile());
}

struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (key == name)
                return value;
        }
        return {};
    }
    bool has(const std::string &name) const
    {
        return std::any_of(headers.begin(), headers.end(),
                           [&](const auto &each) { return each.first == name; });
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string path() const
    {
        const auto from = startLine.find(' ') + 1;
        return startLine.substr(from, startLine.find(' ', from) - from);
    }
    int status() const
    {
        const auto space = startLine.find(' ');
        return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
    }
    std::string query(const std::string &name) const
    {
        const std::string text = path();
        auto at = text.find('?');
        while (at != std::string::npos) {
            const auto end = text.find('&', at + 1);
            const std::string part =
                    text.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (part.compare(0, name.size() + 1, name + "=") == 0)
                return part.substr(name.size() + 1);
            at = end;
        }
        return {};
    }
};

inline bool parseHead(const std::string &text, Message &message)
{
    std::size_t at = text.find("\r\n");
    if (at == std::string::npos)
        return false;
    message.startLine = text.substr(0, at);
    at += 2;
    while (at < text.size()) {
        const std::size_t end = text.find("\r\n", at);
        if (end == std::string::npos || end == at)
            break;
        const std::string line = text.substr(at, end - at);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.headers.emplace_back(name, line.substr(value));
        }
        at = end + 2;
    }
    return true;
}

// One TCP connection with a read buffer.
class Connection
{
public:
    explicit Connection(int fd) : m_fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int fd() const { return m_fd; }
    void close()
    {
        const int fd = m_fd.exchange(-1);
        if (fd >= 0)
            ::close(fd);
    }
    // Ends the connection with a reset.
    void reset()
    {
        const linger hard{1, 0};
        if (m_fd >= 0)
            setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close();
    }
    bool write(const std::string &data)
    {
        std::size_t done = 0;
        while (done < data.size()) {
            const ssize_t sent = ::send(m_fd, data.data() + done, data.size() - done, MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }
    // Returns 1 for data, 0 for the end, -1 for an error, -2 for a time-out.
    int fill(double timeout)
    {
        pollfd look{m_fd, POLLIN, 0};
        const int ready = ::poll(&look, 1, static_cast<int>(timeout * 1000));
        if (ready == 0)
            return -2;
        char buffer[65536];
        const ssize_t count = ::recv(m_fd, buffer, sizeof(buffer), 0);
        if (count > 0) {
            input.append(buffer, static_cast<std::size_t>(count));
            return 1;
        }
        return count == 0 ? 0 : -1;
    }
    // Whether the other side has closed or reset the connection.
    bool peerGone() const
    {
        pollfd look{m_fd, POLLIN | POLLRDHUP, 0};
        return ::poll(&look, 1, 0) > 0
               && (look.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
    }
    bool readRequest(Message &message, double idle = 60)
    {
        message = {};
        std::size_t end = 0;
        while ((end = input.find("\r\n\r\n")) == std::string::npos) {
            if (fill(idle) != 1)
                return false;
        }
        parseHead(input.substr(0, end + 2), message);
        input.erase(0, end + 4);
        const std::size_t length =
                std::strtoul(message.header("content-length").c_str(), nullptr, 10);
        while (input.size() < length) {
            if (fill(idle) != 1)
                return false;
        }
        message.body = input.substr(0, length);
        input.erase(0, length);
        return true;
    }

    std::string input;

private:
    std::atomic<int> m_fd;
};

using ConnectionPtr = std::shared_ptr<Connection>;

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline ConnectionPtr connectTo(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<Connection>(fd);
}

inline int freePort(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(ip, 0);
    ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(fd);
    return ntohs(address.sin_port);
}

// Accepts connections and handles each on a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(const ConnectionPtr &)>;

    Listener(std::string ip, Handler handler, int port = 0)
        : m_ip(std::move(ip)), m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address = addressOf(m_ip, port);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(m_fd, 512) != 0) {
            std::perror("listen");
            std::_Exit(2);
        }
        socklen_t size = sizeof(address);
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }
    ~Listener() { stop(); }

    int port() const { return m_port; }
    // Stops accepting, and ends the open connections with a reset.
    void stop()
    {
        if (m_isStopped.exchange(true))
            return;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const std::weak_ptr<Connection> &each : m_connections) {
            if (const ConnectionPtr connection = each.lock())
                ::shutdown(connection->fd(), SHUT_RDWR);
        }
    }

private:
    void run()
    {
        while (!m_isStopped) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_isStopped)
                    return;
                continue;
            }
            const auto connection = std::make_shared<Connection>(fd);
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_connections.erase(std::remove_if(m_connections.begin(), m_connections.end(),
                                                   [](const auto &each) { return each.expired(); }),
                                    m_connections.end());
                m_connections.push_back(connection);
            }
            std::thread([handler = m_handler, connection] { handler(connection); }).detach();
        }
    }

    const std::string m_ip;
    const Handler m_handler;
    int m_fd = -1;
    int m_port = 0;
    std::atomic<bool> m_isStopped{false};
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
};

inline std::string base64(const std::string &text)
{
    static const char *const Digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = (group << 8)
                    | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j <= text.size() ? Digits[(group >> (18 - 6 * j)) & 63] : '=';
    }
    return out;
}

inline std::string quoted(const std::string &text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out + '"';
}

// The platform's store: keyed topics with one partition, as PROTOCOL.md tells.
class Store
{
public:
    explicit Store(const std::string &ip)
        : m_listener(ip, [this](const ConnectionPtr &connection) { serve(connection); })
    {
    }

    int port() const { return m_listener.port(); }

    // Appends a record; its return is the acknowledgement. Nothing for the value drops the key.
    void put(const std::string &topic, const std::string &key,
             const std::optional<std::string> &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }

    // Deletes the records before the end; the newest of each key are still listed by log-newest.
    void dropHistory(const std::string &topic)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_first[topic] = m_topics[topic].size();
    }

    // Keys sorted, as a page of log-newest lists them.
    std::map<std::string, std::pair<std::string, std::size_t>> newest(const std::string &topic)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return newestLocked(topic);
    }

    std::atomic<std::size_t> pageSize{50};
    std::atomic<bool> isDown{false}; // answers 503

private:
    struct Record
    {
        std::string key;
        std::optional<std::string> value;
    };

    std::map<std::string, std::pair<std::string, std::size_t>>
    newestLocked(const std::string &topic)
    {
        std::map<std::string, std::pair<std::string, std::size_t>> all;
        const std::vector<Record> &records = m_topics[topic];
        for (std::size_t i = 0; i < records.size(); ++i) {
            if (records[i].value)
                all[records[i].key] = {*records[i].value, i};
            else
                all.erase(records[i].key);
        }
        return all;
    }

    static void bigEndian(std::string &out, std::uint64_t number, int bytes)
    {
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
            out += static_cast<char>((number >> shift) & 0xFF);
    }

    static void answer(const ConnectionPtr &connection, int status, const std::string &type,
                       const std::string &body)
    {
        connection->write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type
                          + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                          + body);
    }

    void serve(const ConnectionPtr &connection)
    {
        Message request;
        while (connection->readRequest(request)) {
            sleepFor(0.004);
            const std::string path = request.path();
            const std::string topic = request.query("topic");
            if (isDown)
                answer(connection, 503, "application/json", "{}");
            else if (path.rfind("/currantwalk/log-newest", 0) == 0)
                answer(connection, 200, "application/json", page(topic, request.query("after")));
            else if (path.rfind("/currantwalk/log-read", 0) == 0)
                read(connection, topic, std::strtoul(request.query("from").c_str(), nullptr, 10),
                     std::strtoul(request.query("wait_ms").c_str(), nullptr, 10));
            else if (path.rfind("/currantwalk/log-append", 0) == 0)
                append(connection, topic, request.body);
            else
                answer(connection, 404, "application/json", "{}");
        }
    }

    std::string page(const std::string &topic, const std::string &after)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::string items;
        std::size_t count = 0;
        bool hasMore = false;
        for (const auto &[key, entry] : newestLocked(topic)) {
            if (!after.empty() && key <= after)
                continue;
            if (count == pageSize) {
                hasMore = true;
                break;
            }
            ++count;
            items += (items.empty() ? "" : ",") + std::string("{\"key\":") + quoted(key)
                     + ",\"value\":\"" + base64(entry.first)
                     + "\",\"offset\":" + std::to_string(entry.second) + "}";
        }
        return "{\"items\":[" + items + "],\"has_more\":" + (hasMore ? "true" : "false")
               + ",\"end\":" + std::to_string(m_topics[topic].size()) + "}";
    }

    void read(const ConnectionPtr &connection, const std::string &topic, std::size_t from,
              std::uint64_t waitMs)
    {
        std::string body;
        std::size_t first = 0;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait_for(lock, std::chrono::milliseconds(waitMs),
                               [&] { return m_topics[topic].size() > from; });
            const std::vector<Record> &records = m_topics[topic];
            first = m_first[topic];
            bigEndian(body, records.size(), 8);
            bigEndian(body, first, 8);
            for (std::size_t i = from; i < records.size(); ++i) {
                const std::string value = records[i].value.value_or("");
                bigEndian(body, 1 + records[i].key.size() + value.size(), 4);
                body += static_cast<char>(records[i].key.size());
                body += records[i].key + value;
            }
        }
        if (from < first)
            answer(connection, 410, "application/json",
                   "{\"first\":" + std::to_string(first) + "}");
        else
            answer(connection, 200, "application/octet-stream", body);
    }

    void append(const ConnectionPtr &connection, const std::string &topic, const std::string &body)
    {
        std::size_t offset = 0;
        std::size_t end = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            std::vector<Record> &records = m_topics[topic];
            offset = records.size();
            std::size_t at = 0;
            while (at + 4 <= body.size()) {
                std::uint32_t size = 0;
                for (int i = 0; i < 4; ++i)
                    size = (size << 8) | static_cast<unsigned char>(body[at + i]);
                const std::string content = body.substr(at + 4, size);
                at += 4 + size;
                const std::size_t keySize = static_cast<unsigned char>(content[0]);
                Record record{content.substr(1, keySize), std::nullopt};
                if (content.size() > 1 + keySize)
                    record.value = content.substr(1 + keySize);
                records.push_back(record);
            }
            end = records.size();
            m_changed.notify_all();
        }
        answer(connection, 200, "application/json",
               "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(end) + "}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Record>> m_topics;
    std::map<std::string, std::size_t> m_first; // offset of the oldest record kept
    Listener m_listener;
};

// A server's entry in the store.
struct Entry
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "zone-a";
    std::string state = "ready";
    int slots = 24;
    std::uint64_t born = unixMs();
    std::uint64_t seq = 1;

    std::string text() const
    {
        return "{\"service\":" + quoted(service) + ",\"address\":" + quoted(address) + ",\"zone\":"
               + quoted(zone) + ",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
               + ",\"state\":" + quoted(state) + ",\"cold_left_ms\":0,\"born\":"
               + std::to_string(born) + ",\"seq\":" + std::to_string(seq) + "}";
    }
};

// A route of the configuration, as the operator writes it.
inline std::string route(const std::string &name, const std::string &prefix,
                         const std::string &kind, const std::string &service, int timeoutMs,
                         int goalMs, int maxAttempts, const std::string &more = "")
{
    return "{\"name\":" + quoted(name) + ",\"host\":\"shop.example\",\"path_prefix\":"
           + quoted(prefix) + ",\"kind\":" + quoted(kind) + ",\"timeout_ms\":"
           + std::to_string(timeoutMs) + ",\"goal_ms\":" + std::to_string(goalMs)
           + ",\"priority\":1,\"service\":" + quoted(service) + ",\"max_attempts\":"
           + std::to_string(maxAttempts) + ",\"allow_anonymous\":false" + more + "}";
}

// The operator's configuration with two services: "llm" of engines and "orders".
inline std::string config(int version, const std::string &routes,
                          const std::string &tenant = "tenant-1")
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes
           + "],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_conns\":242,"
             "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":24,\"kv_capacity\":34226,"
             "\"kv_token_bytes\":163840,\"link_mbps\":24000.0,\"moves\":true,\"backups\":true,"
             "\"stride\":4,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
             "{\"name\":\"orders\",\"health_path\":\"/"
             "health\",\"max_conns\":100,\"protocol\":\"h1\","
             "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
             "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
           + quoted(tenant) + ",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
}

// A client's request; the id is that of one client attempt.
inline std::string request(const std::string &method, const std::string &path,
                           const std::string &id, int deadlineMs, const std::string &more = "",
                           const std::optional<std::string> &body = std::nullopt)
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
           + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
           + "\r\nAuthorization: Bearer key-1\r\n" + more
           + (body ? "Content-Length: " + std::to_string(body->size()) + "\r\n" : "") + "\r\n"
           + body.value_or("");
}

inline std::string chunk(const std::string &data)
{
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

struct NodeOptions
{
    std::string name = "front-a-1";
    std::string ip = "127.0.0.1";
    std::string zone = "zone-a";
    std::string store;
    std::string folder;
    double graceSeconds = 8;
};

// The processes that this case has started and not yet seen end.
inline std::vector<pid_t> &children()
{
    static std::vector<pid_t> all;
    return all;
}

// One currantwalkd process, started as deploy/system.toml says.
class Node
{
public:
    explicit Node(const NodeOptions &options) : m_options(options)
    {
        m_front = freePort(options.ip);
        m_ready = freePort(options.ip);
        m_control = freePort(options.ip);
        m_peers = freePort(options.ip);
        m_settings = options.folder + "/" + options.name + ".toml";
        std::FILE *file = std::fopen(m_settings.c_str(), "w");
        const std::string ip = options.ip;
        std::fprintf(
                file,
                "node_name = \"%s\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = "
                "[\"front\"]\n"
                "ip = \"%s\"\nzone = \"%s\"\nregion = \"region\"\ninternal_ports = [%d,%d]\n"
                "seeds = []\nbootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\n"
                "entry = \"vip\"\nbeat_interval_ms = 1200\n"
                "contracts = "
                "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
                "\"stream\",\"tenants\",\"platform\"]\n"
                "[zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\n"
                "[listen]\nfront = \"%s:%d\"\nready_addr = \"%s:%d\"\ncontrol = \"%s:%d\"\n"
                "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 110\nmax_fds = 4100\n"
                "link_mbps = 1000.0\ndisk_mb = 0\n"
                "[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n"
                "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = "
                "4000\n"
                "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = %g\nloss_slack_ms = 200\n"
                "config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n"
                "strict_revoke = true\nrevoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\n"
                "retry_slack = 54\nrecovery_s = 12\npass_ms = 120\nreuse_window_s = 4.3\n"
                "[platform]\naddress = \"%s\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = "
                "2000\n"
                "parts = 8\nappend_ms = 4.0\npartition_mb_s = 20.0\nread_mb_s = 80.0\n"
                "record_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\npartition_mb = 200\n"
                "min_ttl_ms = 1000\n",
                options.name.c_str(), ip.c_str(), options.zone.c_str(), m_peers, m_peers,
                ip.c_str(), m_front, ip.c_str(), m_ready, ip.c_str(), m_control,
                options.graceSeconds, options.store.c_str());
        std::fclose(file);
        start();
    }
    ~Node()
    {
        if (isRunning()) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            wait();
        }
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start()
    {
        const std::string log = m_options.folder + "/" + m_options.name + ".log";
        std::vector<std::string> environment{"CURRANTWALK_NODE_FILE=" + m_settings};
        for (const char *name : {"PATH", "HOME", "LANG"}) {
            if (const char *value = std::getenv(name))
                environment.push_back(std::string(name) + "=" + value);
        }
        std::vector<char *> variables;
        for (std::string &each : environment)
            variables.push_back(each.data());
        variables.push_back(nullptr);
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execle("target/tools/currantwalkd/currantwalkd", "currantwalkd", "platform", nullptr,
                     variables.data());
            ::_exit(127);
        }
        m_isReaped = false;
        children().push_back(m_pid);
        note("%s: started, process %d", m_options.name.c_str(), m_pid);
    }

    int front() const { return m_front; }
    const std::string &ip() const { return m_options.ip; }
    const std::string &name() const { return m_options.name; }
    int pid() const { return m_pid; }
    void signal(int number)
    {
        note("%s: signal %d", m_options.name.c_str(), number);
        ::kill(m_pid, number);
    }
    bool isRunning()
    {
        if (m_isReaped)
            return false;
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return true;
        reaped(status);
        return false;
    }
    void wait()
    {
        int status = 0;
        if (!m_isReaped && ::waitpid(m_pid, &status, 0) == m_pid)
            reaped(status);
    }
    // Returns whether the node said within the time that it is ready.
    bool awaitReady(double seconds)
    {
        const double until = now() + seconds;
        while (now() < until && isRunning()) {
            if (const ConnectionPtr probe = connectTo(m_options.ip, m_ready)) {
                probe->write("GET /currantwalk/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                if (probe->fill(1) == 1 && probe->input.find(" 200 ") != std::string::npos)
                    return true;
            }
            sleepFor(0.1);
        }
        return false;
    }
    int exitStatus() const { return m_status; }

private:
    void reaped(int status)
    {
        m_isReaped = true;
        m_status = status;
        children().erase(std::find(children().begin(), children().end(), m_pid));
        if (WIFSIGNALED(status))
            note("%s: ended by signal %d", m_options.name.c_str(), WTERMSIG(status));
        else
            note("%s: ended with code %d", m_options.name.c_str(), WEXITSTATUS(status));
    }

    const NodeOptions m_options;
    std::string m_settings;
    int m_front = 0;
    int m_ready = 0;
    int m_control = 0;
    int m_peers = 0;
    pid_t m_pid = -1;
    bool m_isReaped = true;
    int m_status = 0;
};

// What a client got, read as HTTP/1.1 says.
struct Answer
{
    Message head;
    bool hasHead = false;
    bool isComplete = false;
    std::string end; // why the client stopped reading
    std::string framing;
};

// Reads one answer. \a onPart is called after each part of the body.
inline Answer readAnswer(Connection &connection, double timeout, bool isHead = false,
                         const std::function<void(const std::string &body)> &onPart = nullptr)
{
    Answer answer;
    const double until = now() + timeout;
    const auto more = [&] {
        const double left = until - now();
        const int got = left <= 0 ? -2 : connection.fill(left);
        answer.end = got == 0 ? "close" : got == -1 ? "reset" : got == -2 ? "timeout" : "";
        return got == 1;
    };
    std::size_t end = 0;
    while ((end = connection.input.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return answer;
    }
    parseHead(connection.input.substr(0, end + 2), answer.head);
    connection.input.erase(0, end + 4);
    answer.hasHead = true;
    const int status = answer.head.status();
    std::string &body = answer.head.body;
    if (isHead || status == 204 || status == 304) {
        answer.framing = "none";
        answer.isComplete = true;
        return answer;
    }
    if (answer.head.header("transfer-encoding") == "chunked") {
        answer.framing = "chunked";
        while (true) {
            std::size_t line = 0;
            while ((line = connection.input.find("\r\n")) == std::string::npos) {
                if (!more())
                    return answer;
            }
            const std::size_t size = std::strtoul(connection.input.c_str(), nullptr, 16);
            while (connection.input.size() < line + 2 + size + 2) {
                if (!more())
                    return answer;
            }
            body += connection.input.substr(line + 2, size);
            connection.input.erase(0, line + 2 + size + 2);
            if (size == 0) {
                answer.isComplete = true;
                return answer;
            }
            if (onPart)
                onPart(body);
        }
    }
    if (answer.head.has("content-length")) {
        answer.framing = "length";
        const std::size_t length =
                std::strtoul(answer.head.header("content-length").c_str(), nullptr, 10);
        while (connection.input.size() < length) {
            if (!more())
                return answer;
        }
        body = connection.input.substr(0, length);
        connection.input.erase(0, length);
        answer.isComplete = true;
        return answer;
    }
    answer.framing = "close";
    while (true) {
        body += connection.input;
        connection.input.clear();
        if (onPart)
            onPart(body);
        if (!more())
            break;
    }
    answer.isComplete = answer.end == "close";
    return answer;
}

// The state that all cases share: the record, the temporary folder, the disruption.
struct Case
{
    std::string folder;
    bool hasTrouble = true;

    explicit Case(const char *recordPath)
    {
        startTime();
        std::signal(SIGPIPE, SIG_IGN);
        if (std::FILE *file = std::fopen(recordPath, "w"))
            recordFile() = file;
        const char *trouble = std::getenv("TROUBLE");
        hasTrouble = !trouble || std::string(trouble) != "0";
        const char *base = std::getenv("TMPDIR");
        std::string path = std::string(base ? base : "/tmp") + "/review-XXXXXX";
        folder = ::mkdtemp(path.data()) ? path : "/tmp";
        note("disruption: %s", hasTrouble ? "yes" : "no");
    }
    // A loopback address of its own for each node, as all nodes serve metrics at one port.
    static std::string address(int number)
    {
        const int pid = static_cast<int>(::getpid());
        return "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250)
               + "." + std::to_string(number);
    }
    // Ends the processes, copies what they logged to the record, and ends the case.
    [[noreturn]] void end(int code, const char *verdict) const
    {
        for (const pid_t pid : children()) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        copyLogs();
        note("%s", verdict);
        std::printf("%s\n", verdict);
        std::fflush(nullptr);
        std::_Exit(code);
    }

private:
    void copyLogs() const
    {
        constexpr int MaxLines = 80;
        DIR *const files = ::opendir(folder.c_str());
        while (const dirent *file = files ? ::readdir(files) : nullptr) {
            const std::string path = folder + "/" + file->d_name;
            if (path.size() > 4 && path.compare(path.size() - 4, 4, ".log") == 0) {
                std::fprintf(recordFile(), "--- %s, first %d lines\n", file->d_name, MaxLines);
                std::FILE *const log = std::fopen(path.c_str(), "r");
                char line[1000];
                for (int i = 0; log && i < MaxLines && std::fgets(line, sizeof(line), log); ++i)
                    std::fputs(line, recordFile());
                if (log)
                    std::fclose(log);
            }
            ::unlink(path.c_str());
        }
        if (files)
            ::closedir(files);
        ::rmdir(folder.c_str());
    }
};

} // namespace rig
