#include "daemon/program.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <popt.h>
#include <sysexits.h>

#include "daemon/node.h"
#include "daemon/settings.h"

namespace currantwalk {

static constexpr const char *ProgramName = "currantwalkd";
static constexpr const char *Version = "0.1.0";

namespace {

struct Arguments
{
    std::string settingsFile;
    bool isCheck = false;
    bool isVersion = false;
    bool isUsageError = false;
};

} // namespace

static Arguments parseArguments(int argc, const char **argv)
{
    char *path = nullptr;
    int isCheck = 0;
    int isVersion = 0;
    const poptOption options[] = {
            {"settings", 's', POPT_ARG_STRING, &path, 0, "settings in TOML", "FILE"},
            {"check", 'c', POPT_ARG_NONE, &isCheck, 0, "check the settings and end", nullptr},
            {"version", 'V', POPT_ARG_NONE, &isVersion, 0, "print the version and end", nullptr},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(ProgramName, argc, argv, options, 0);
    Arguments arguments;
    const int result = poptGetNextOpt(context);
    arguments.isUsageError = result < -1 || poptPeekArg(context) != nullptr;
    arguments.isCheck = isCheck != 0;
    arguments.isVersion = isVersion != 0;
    arguments.settingsFile = path ? path : "";
    std::free(path);
    arguments.isUsageError |= arguments.settingsFile.empty() && !arguments.isVersion;
    if (arguments.isUsageError)
        poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    return arguments;
}

static int complain(const absl::Status &status)
{
    std::cerr << ProgramName << ": " << errorName(errorCode(status)) << ": " << status.message()
              << '\n';
    switch (errorCode(status)) {
    case ErrorCode::SettingsInvalid:
    case ErrorCode::TlsInvalid:
    case ErrorCode::AddressInvalid:
        return EX_CONFIG;
    case ErrorCode::SystemCallFailed:
        return EX_OSERR;
    default:
        return EX_SOFTWARE;
    }
}

static int runNode(const Settings &settings, const NodeKeys &keys)
{
    EventLoop::Options options;
    if (settings.peers.tls)
        options.clientTls = settings.peers.tls;
    absl::StatusOr<std::unique_ptr<EventLoop>> loop = EventLoop::create(options);
    if (!loop.ok())
        return complain(loop.status());
    absl::StatusOr<std::unique_ptr<Node>> node = Node::create(settings, keys, **loop);
    if (!node.ok())
        return complain(node.status());
    for (const int signal : {SIGTERM, SIGINT}) {
        const absl::Status watched = (*loop)->onSignal(signal, [&node] { (*node)->beginDrain(); });
        if (!watched.ok())
            return complain(watched);
    }
    (*loop)->run();
    logLine(LogPart::Daemon, LogLevel::Info, "Stopped.");
    return EX_OK;
}

static absl::StatusOr<NodeKeys> readKeys(const Settings &settings)
{
    const absl::StatusOr<std::string> peers = readKeyFile(settings.peerKeyFile);
    if (!peers.ok())
        return peers.status();
    const absl::StatusOr<std::string> operators = readKeyFile(settings.operatorKeyFile);
    if (!operators.ok())
        return operators.status();
    return NodeKeys{*peers, *operators};
}

int runDaemon(int argc, const char **argv)
{
    const Arguments arguments = parseArguments(argc, argv);
    if (arguments.isUsageError)
        return EX_USAGE;
    if (arguments.isVersion) {
        std::cout << ProgramName << ' ' << Version << '\n';
        return EX_OK;
    }
    std::ifstream file(arguments.settingsFile);
    if (!file) {
        std::cerr << ProgramName << ": cannot read " << arguments.settingsFile << '\n';
        return EX_NOINPUT;
    }
    std::stringstream text;
    text << file.rdbuf();
    const SettingsReading reading = readSettings(text.str());
    for (const SettingsFault &fault : reading.faults)
        std::cerr << fault.toString(arguments.settingsFile) << '\n';
    if (!reading.faults.empty())
        return EX_CONFIG;
    const absl::StatusOr<NodeKeys> keys = readKeys(reading.settings);
    if (!keys.ok())
        return complain(keys.status());
    if (arguments.isCheck) {
        std::cout << arguments.settingsFile << ": sound\n";
        return EX_OK;
    }
    initLogging(reading.settings.logFormat, reading.settings.logLevel);
    return runNode(reading.settings, *keys);
}

} // namespace currantwalk
