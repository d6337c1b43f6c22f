// Stand-ins for the scripts of cases 11 to 15: the platform's store, servers, clients, and the control of the
// currantwalkd processes that a script starts. Everything listens on loopback addresses and free ports.
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
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

// ---------------------------------------------------------------- time and record

inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline std::uint64_t unixMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

class Record
{
public:
    void open(const std::string &path) { m_file = std::fopen(path.c_str(), "w"); }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        va_list arguments;
        va_start(arguments, format);
        char text[1000];
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        if (m_file) {
            std::fprintf(m_file, "%9.3f %s\n", now(), text);
            std::fflush(m_file);
        }
    }

private:
    std::FILE *m_file = nullptr;
    std::mutex m_mutex;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

[[noreturn]] inline void cannotRun(const std::string &why)
{
    record().line("the case could not run: %s", why.c_str());
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    std::_Exit(2);
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, std::uint16_t &port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || listen(fd, 512) != 0)
        cannotRun("no listener at " + ip);
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline std::uint16_t freePort(const std::string &ip)
{
    std::uint16_t port = 0;
    close(listenOn(ip, port));
    return port;
}

inline int connectTo(const std::string &ip, std::uint16_t port, int receiveBuffer = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t count = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

// Returns whether the other side has closed the connection or reset it.
inline bool isPeerGone(int fd)
{
    pollfd look{fd, POLLRDHUP, 0};
    return poll(&look, 1, 0) > 0;
}

inline void reset(int fd)
{
    const linger none{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
    close(fd);
}

// ---------------------------------------------------------------- HTTP

struct Message
{
    std::string start; ///< Request line or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }
    std::string word(int number) const
    {
        std::size_t at = 0;
        for (int i = 0; i < number; ++i)
            at = start.find(' ', at) + 1;
        return start.substr(at, start.find(' ', at) - at);
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

class Reader
{
public:
    explicit Reader(int fd) : m_fd(fd) {}

    // Returns nothing at the end of the connection, an error, or the deadline.
    std::optional<Message> head(double until)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until))
                return std::nullopt;
        }
        Message message;
        std::string text = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t line = text.find("\r\n");
        message.start = text.substr(0, line);
        line += 2;
        while (line < text.size()) {
            const std::size_t next = text.find("\r\n", line);
            const std::string field = text.substr(line, next - line);
            line = next + 2;
            const std::size_t colon = field.find(':');
            std::string name = field.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            const std::size_t value = field.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : field.substr(value);
        }
        return message;
    }

    std::optional<Message> message(double until)
    {
        std::optional<Message> message = head(until);
        if (!message)
            return std::nullopt;
        if (message->header("transfer-encoding") == "chunked")
            return chunks(*message, until) ? message : std::nullopt;
        const std::size_t length = std::strtoul(message->header("content-length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!more(until))
                return std::nullopt;
        }
        message->body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return message;
    }

    bool more(double until)
    {
        pollfd look{m_fd, POLLIN, 0};
        const double left = until - now();
        if (left <= 0 || poll(&look, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return false;
        char bytes[65536];
        const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    const std::string &buffered() const { return m_buffer; }

private:
    bool chunks(Message &message, double until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more(until))
                    return false;
            }
            const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!more(until))
                    return false;
            }
            message.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int m_fd;
    std::string m_buffer;
};

inline std::string answer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string queryValue(const std::string &path, const std::string &name)
{
    std::size_t at = path.find('?');
    while (at != std::string::npos) {
        const std::size_t next = path.find('&', at + 1);
        const std::string part = path.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const std::size_t sign = part.find('=');
        if (part.substr(0, sign) == name)
            return part.substr(sign + 1);
        at = next;
    }
    return "";
}

// Accepts connections at a loopback address; one thread serves each.
class Listener
{
public:
    using Handler = std::function<void(int fd)>;

    void start(const std::string &ip, std::uint16_t port, Handler handler)
    {
        m_ip = ip;
        m_port = port;
        m_handler = std::move(handler);
        m_fd = listenOn(m_ip, m_port);
        std::thread([this] {
            for (;;) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                std::thread(m_handler, fd).detach();
            }
        }).detach();
    }

    const std::string &ip() const { return m_ip; }
    std::uint16_t port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
    std::string m_ip;
    std::uint16_t m_port = 0;
    int m_fd = -1;
    Handler m_handler;
};

// ---------------------------------------------------------------- the platform's store

inline std::string base64(const std::string &bytes)
{
    static const char *const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : digits[value >> (18 - 6 * j) & 63];
    }
    return text;
}

inline std::string quoted(const std::string &text)
{
    std::string json = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            json += '\\';
        json += c;
    }
    return json + '"';
}

// Keyed topics with one partition, as the pages describe them; the other calls of the store are not
// used by currantwalk.
class Store
{
public:
    void start(const std::string &ip)
    {
        m_listener.start(ip, 0, [this](int fd) { serve(fd); });
    }
    std::string address() const { return m_listener.address(); }

    // Writes a record as the operator or a server does; without a value, drops the key. Returns when
    // the store has accepted it.
    double write(const std::string &topic, const std::string &key,
                 const std::optional<std::string> &value)
    {
        const std::lock_guard lock(m_mutex);
        append(topic, key, value);
        return now();
    }

private:
    struct Entry
    {
        std::string key;
        std::optional<std::string> value;
    };

    void append(const std::string &topic, const std::string &key,
                const std::optional<std::string> &value)
    {
        m_topics[topic].push_back({key, value});
        m_changed.notify_all();
    }

    void serve(int fd)
    {
        Reader reader(fd);
        while (const std::optional<Message> request = reader.message(now() + 3600)) {
            if (!sendAll(fd, answerTo(*request)))
                break;
        }
        close(fd);
    }

    static std::string bigEndian(std::uint64_t number, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>(number >> (8 * i) & 255);
        return text;
    }

    std::string answerTo(const Message &request)
    {
        sleepFor(0.004);
        const std::string path = request.word(1);
        const std::string call = path.substr(0, path.find('?'));
        const std::string topic = queryValue(path, "topic");
        static const std::string era = "Store-Era: 1\r\n";
        std::unique_lock lock(m_mutex);
        std::vector<Entry> &entries = m_topics[topic];
        if (call == "/currantwalk/log-newest") {
            std::map<std::string, std::size_t> newest;
            for (std::size_t i = 0; i < entries.size(); ++i)
                newest[entries[i].key] = i;
            const std::string after = queryValue(path, "after");
            std::string items;
            std::size_t count = 0;
            bool hasMore = false;
            for (const auto &[key, offset] : newest) {
                if (!entries[offset].value || (!after.empty() && key <= after))
                    continue;
                if (++count > 500) {
                    hasMore = true;
                    break;
                }
                items += (items.empty() ? "" : ",") + std::string("{\"key\":") + quoted(key)
                         + ",\"value\":\"" + base64(*entries[offset].value)
                         + "\",\"offset\":" + std::to_string(offset) + "}";
            }
            return rig::answer(200, "Content-Type: application/json\r\n" + era,
                               "{\"items\":[" + items + "],\"has_more\":"
                                       + (hasMore ? "true" : "false")
                                       + ",\"end\":" + std::to_string(entries.size()) + "}");
        }
        if (call == "/currantwalk/log-read") {
            const std::size_t from = std::strtoul(queryValue(path, "from").c_str(), nullptr, 10);
            const double wait = std::atof(queryValue(path, "wait_ms").c_str()) / 1000;
            m_changed.wait_for(lock, std::chrono::duration<double>(wait),
                               [&] { return entries.size() > from; });
            std::string body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
            for (std::size_t i = from; i < entries.size(); ++i) {
                std::string content = static_cast<char>(entries[i].key.size()) + entries[i].key
                                      + entries[i].value.value_or("");
                body += bigEndian(content.size(), 4) + content;
            }
            return rig::answer(200, "Content-Type: application/octet-stream\r\n" + era, body);
        }
        if (call == "/currantwalk/log-append" && topic == "keyed.status") {
            std::string rest = request.body;
            const std::size_t offset = entries.size();
            while (rest.size() >= 5) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i)
                    size = size << 8 | static_cast<unsigned char>(rest[i]);
                const std::string content = rest.substr(4, size);
                rest.erase(0, 4 + size);
                const std::size_t keySize = static_cast<unsigned char>(content[0]);
                const std::string value = content.substr(1 + keySize);
                append(topic, content.substr(1, keySize),
                       value.empty() ? std::nullopt : std::optional(value));
            }
            return rig::answer(200, "Content-Type: application/json\r\n" + era,
                               "{\"offset\":" + std::to_string(offset)
                                       + ",\"end\":" + std::to_string(entries.size()) + "}");
        }
        return rig::answer(403, era, "");
    }

    Listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Entry>> m_topics;
};

// ---------------------------------------------------------------- processes

inline std::string loopbackIp(int number)
{
    // Each node has an address of its own, since the port for metrics is fixed.
    const int process = getpid();
    return "127." + std::to_string(20 + process % 200) + "." + std::to_string(process / 200 % 250)
           + "." + std::to_string(number);
}

struct NodeOptions
{
    std::string name;
    std::string zone = "zone-a";
    std::string ip;
    int memoryMb = 110;
    int descriptors = 4100;
};

class Node
{
public:
    void start(const NodeOptions &options, const Store &store, const std::string &folder)
    {
        m_options = options;
        m_front = freePort(options.ip);
        m_ready = freePort(options.ip);
        m_control = freePort(options.ip);
        m_inner = freePort(options.ip);
        m_settings = folder + "/" + options.name + ".toml";
        m_log = folder + "/" + options.name + ".log";
        const std::string text = settings(store.address());
        std::FILE *const file = std::fopen(m_settings.c_str(), "w");
        std::fwrite(text.data(), 1, text.size(), file);
        std::fclose(file);
        launch();
    }

    void launch()
    {
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            const std::string variable = "CURRANTWALK_NODE_FILE=" + m_settings;
            const std::string path = std::string("PATH=") + std::getenv("PATH");
            const char *const environment[] = {variable.c_str(), path.c_str(), nullptr};
            const char *program = std::getenv("CURRANTWALKD");
            if (!program)
                program = "target/tools/currantwalkd/currantwalkd";
            execle(program, program, "platform", nullptr, environment);
            std::_Exit(127);
        }
    }

    void signal(int number) const { kill(m_pid, number); }

    bool isRunning()
    {
        if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid)
            m_pid = -1;
        return m_pid > 0;
    }

    void end()
    {
        if (!isRunning())
            return;
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, &m_status, 0);
        m_pid = -1;
    }

    bool isReady() const
    {
        const int fd = connectTo(m_options.ip, m_ready);
        if (fd < 0)
            return false;
        sendAll(fd, "GET /currantwalk/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        Reader reader(fd);
        const std::optional<Message> message = reader.message(now() + 1);
        close(fd);
        return message && message->status() == 200;
    }

    void awaitReady(double until)
    {
        while (!isReady()) {
            if (now() > until || !isRunning())
                cannotRun(m_options.name + " does not become ready");
            sleepFor(0.05);
        }
        record().line("%s is ready", m_options.name.c_str());
    }

    // Returns the most memory that the process has had, in KB.
    long peakKb() const { return statusKb("VmHWM:"); }
    long residentKb() const { return statusKb("VmRSS:"); }

    const std::string &ip() const { return m_options.ip; }
    std::uint16_t front() const { return m_front; }
    const std::string &name() const { return m_options.name; }
    pid_t pid() const { return m_pid; }
    int waitStatus() const { return m_status; }

private:
    long statusKb(const char *field) const
    {
        const std::string path = "/proc/" + std::to_string(m_pid) + "/status";
        std::FILE *const file = std::fopen(path.c_str(), "r");
        char line[256];
        long value = 0;
        while (file && std::fgets(line, sizeof(line), file)) {
            if (std::strncmp(line, field, std::strlen(field)) == 0)
                value = std::atol(line + std::strlen(field));
        }
        if (file)
            std::fclose(file);
        return value;
    }

    std::string settings(const std::string &store) const
    {
        const auto at = [this](std::uint16_t port) {
            return "\"" + m_options.ip + ":" + std::to_string(port) + "\"";
        };
        return "node_name = \"" + m_options.name + "\"\nrole = \"entry\"\nmachine_class = \"front\"\n"
               "serves = [\"front\"]\nip = \"" + m_options.ip + "\"\nzone = \"" + m_options.zone
               + "\"\nregion = \"region\"\ninternal_ports = [" + std::to_string(m_inner) + ", "
               + std::to_string(m_inner) + "]\nseeds = [" + at(m_control)
               + "]\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n"
                 "beat_interval_ms = 1200\n[zones]\nzone-a = \"region\"\nzone-b = \"region\"\n[listen]\nfront = "
               + at(m_front) + "\nready_addr = " + at(m_ready) + "\ncontrol = " + at(m_control)
               + "\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = "
               + std::to_string(m_options.memoryMb)
               + "\nmax_fds = " + std::to_string(m_options.descriptors)
               + "\nlink_mbps = 1000.0\n[fault_tolerance]\nmachines = 2\nzones = 1\n"
                 "regions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = "
                 "3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\n"
                 "loss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n"
                 "max_stretch_ms = 5000\nstrict_revoke = true\nrevoke_ms = 5000\nretry_ratio = 0.2\n"
                 "retry_window_s = 10\nretry_slack = 54\nrecovery_s = 12\npass_ms = 120\n"
                 "reuse_window_s = 4.3\n[platform]\naddress = \""
               + store
               + "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 8\n"
                 "append_ms = 4.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\n"
                 "partition_mb = 200\nmin_ttl_ms = 1000\n";
    }

    NodeOptions m_options;
    std::uint16_t m_front = 0;
    std::uint16_t m_ready = 0;
    std::uint16_t m_control = 0;
    std::uint16_t m_inner = 0;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
    int m_status = 0;
};

// A folder for settings and logs, removed at the end.
inline std::string temporaryFolder()
{
    char path[] = "/tmp/review-XXXXXX";
    return mkdtemp(path);
}

inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace rig
