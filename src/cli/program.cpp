#include "cli/program.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>

#include <sysexits.h>

#include "cli/arguments.h"
#include "cli/commands.h"
#include "cli/exitcode.h"
#include "cli/operatorsession.h"
#include "net/eventloop.h"

namespace currantwalk {

static constexpr const char *Version = "0.1.0";
static constexpr const char *KeyVariable = "CURRANTWALK_OPERATOR_KEY";

static absl::StatusOr<std::string> readKey(const Arguments &arguments)
{
    if (arguments.keyFile.empty()) {
        const char *key = std::getenv(KeyVariable);
        if (key && *key)
            return std::string(key);
        return makeError(ErrorCode::InvalidRequest,
                         std::string("name a --key-file or set ") + KeyVariable);
    }
    std::ifstream stream(arguments.keyFile);
    std::string key;
    if (!stream || !std::getline(stream, key) || key.empty())
        return makeError(ErrorCode::NotFound, "no key can be read from " + arguments.keyFile);
    return key;
}

namespace {

/// Makes the loop and the session at the first call: some commands need none.
class LazySession
{
public:
    explicit LazySession(const Arguments &arguments) : m_arguments(arguments) {}

    absl::StatusOr<Json::Value> call(const std::string &method, const Json::Value &params)
    {
        const absl::Status status = open();
        if (!status.ok())
            return status;
        return m_session->call(method, params);
    }

private:
    absl::Status open()
    {
        if (m_session)
            return absl::OkStatus();
        if (m_arguments.nodes.empty())
            return makeError(ErrorCode::InvalidRequest, "name a daemon with --node IP:PORT");
        const absl::StatusOr<std::string> key = readKey(m_arguments);
        if (!key.ok())
            return key.status();
        EventLoop::Options loopOptions;
        loopOptions.clientTls = m_arguments.tls;
        absl::StatusOr<std::unique_ptr<EventLoop>> loop = EventLoop::create(loopOptions);
        if (!loop.ok())
            return loop.status();
        m_loop = *std::move(loop);
        OperatorSession::Options options;
        options.nodes = m_arguments.nodes;
        options.key = *key;
        options.useTls = m_arguments.tls.has_value();
        options.timeout = m_arguments.timeout;
        m_session = OperatorSession::create(options, *m_loop);
        return absl::OkStatus();
    }

    const Arguments &m_arguments;
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<OperatorSession> m_session;
};

} // namespace

int runCommandLine(int argc, const char **argv)
{
    const absl::StatusOr<Arguments> arguments = parseArguments(argc, argv);
    if (!arguments.ok()) {
        std::cerr << "currantwalk: " << arguments.status().message() << '\n';
        return exitCode(errorCode(arguments.status()));
    }
    if (arguments->isVersion) {
        std::cout << "currantwalk " << Version << '\n';
        return EX_OK;
    }
    LazySession session(*arguments);
    const CommandContext context{*arguments, std::cout, std::cerr,
                                 [&session](const std::string &method, const Json::Value &params) {
                                     return session.call(method, params);
                                 }};
    return runCommand(context);
}

} // namespace currantwalk
