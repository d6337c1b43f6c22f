#include "cli/arguments.h"

#include <charconv>
#include <cstdlib>
#include <memory>
#include <string_view>

#include <popt.h>

#include "config/durationtext.h"

namespace currantwalk {

namespace {

struct ContextDeleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};

using ContextPointer = std::unique_ptr<poptContext_s, ContextDeleter>;

/// Texts as popt leaves them, freed with it.
struct RawOptions
{
    RawOptions() = default;
    RawOptions(const RawOptions &) = delete;
    RawOptions &operator=(const RawOptions &) = delete;
    ~RawOptions()
    {
        for (char *text : {keyFile, timeout, authorities, certificate, privateKey, base, author,
                           publicationId, deadline})
            std::free(text);
        freeNodes();
    }

    char **nodes = nullptr;
    char *keyFile = nullptr;
    char *timeout = nullptr;
    char *authorities = nullptr;
    char *certificate = nullptr;
    char *privateKey = nullptr;
    char *base = nullptr;
    char *author = nullptr;
    char *publicationId = nullptr;
    char *deadline = nullptr;
    int isJson = 0;
    int isHelp = 0;
    int isVersion = 0;
    int isRecovery = 0;

private:
    void freeNodes()
    {
        for (char **node = nodes; node && *node; ++node)
            std::free(*node);
        std::free(nodes);
    }
};

} // namespace

static std::string textOf(const char *text)
{
    return text ? text : "";
}

static absl::Status usageError(const std::string &option, std::string_view expected)
{
    return makeError(ErrorCode::InvalidRequest, option + ": expected " + std::string(expected));
}

static absl::Status readDuration(const char *option, const char *text, Duration *member)
{
    const std::optional<Duration> duration = parseDuration(text);
    if (!duration)
        return usageError(option, "a duration such as 30s");
    *member = *duration;
    return absl::OkStatus();
}

static absl::Status readBase(std::string_view text, std::optional<std::uint64_t> *member)
{
    std::uint64_t base = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, base);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return usageError("--base", "a version's number");
    *member = base;
    return absl::OkStatus();
}

static absl::Status readNodes(char **nodes, std::vector<Endpoint> *member)
{
    for (char **node = nodes; node && *node; ++node) {
        const absl::StatusOr<Endpoint> endpoint = Endpoint::parse(*node);
        if (!endpoint.ok())
            return endpoint.status();
        member->push_back(*endpoint);
    }
    return absl::OkStatus();
}

static absl::Status readValues(const RawOptions &raw, Arguments *arguments)
{
    absl::Status status = readNodes(raw.nodes, &arguments->nodes);
    if (raw.timeout)
        status.Update(readDuration("--timeout", raw.timeout, &arguments->timeout));
    if (raw.deadline)
        status.Update(readDuration("--deadline", raw.deadline, &arguments->deadline.emplace()));
    if (raw.base)
        status.Update(readBase(raw.base, &arguments->base));
    if (raw.authorities)
        arguments->tls =
                TlsFiles{textOf(raw.certificate), textOf(raw.privateKey), textOf(raw.authorities)};
    else if (raw.certificate || raw.privateKey)
        status.Update(usageError("--tls-certificate", "--tls-authorities beside it"));
    arguments->keyFile = textOf(raw.keyFile);
    arguments->author = textOf(raw.author);
    arguments->publicationId = textOf(raw.publicationId);
    arguments->isJson = raw.isJson != 0;
    arguments->isHelp = raw.isHelp != 0;
    arguments->isVersion = raw.isVersion != 0;
    arguments->isRecovery = raw.isRecovery != 0;
    return status;
}

absl::StatusOr<Arguments> parseArguments(int argc, const char **argv)
{
    RawOptions raw;
    const poptOption options[] = {
            {"node", 'n', POPT_ARG_ARGV, &raw.nodes, 0, nullptr, nullptr},
            {"key-file", 'k', POPT_ARG_STRING, &raw.keyFile, 0, nullptr, nullptr},
            {"json", 'j', POPT_ARG_NONE, &raw.isJson, 0, nullptr, nullptr},
            {"timeout", 't', POPT_ARG_STRING, &raw.timeout, 0, nullptr, nullptr},
            {"tls-authorities", 0, POPT_ARG_STRING, &raw.authorities, 0, nullptr, nullptr},
            {"tls-certificate", 0, POPT_ARG_STRING, &raw.certificate, 0, nullptr, nullptr},
            {"tls-key", 0, POPT_ARG_STRING, &raw.privateKey, 0, nullptr, nullptr},
            {"base", 0, POPT_ARG_STRING, &raw.base, 0, nullptr, nullptr},
            {"author", 0, POPT_ARG_STRING, &raw.author, 0, nullptr, nullptr},
            {"publication-id", 0, POPT_ARG_STRING, &raw.publicationId, 0, nullptr, nullptr},
            {"recovery", 0, POPT_ARG_NONE, &raw.isRecovery, 0, nullptr, nullptr},
            {"deadline", 0, POPT_ARG_STRING, &raw.deadline, 0, nullptr, nullptr},
            {"help", 'h', POPT_ARG_NONE, &raw.isHelp, 0, nullptr, nullptr},
            {"version", 'V', POPT_ARG_NONE, &raw.isVersion, 0, nullptr, nullptr},
            POPT_TABLEEND};
    const ContextPointer context(poptGetContext("currantwalk", argc, argv, options, 0));
    const int result = poptGetNextOpt(context.get());
    if (result < -1)
        return usageError(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                          std::string("another option (") + poptStrerror(result) + ")");
    Arguments arguments;
    const absl::Status status = readValues(raw, &arguments);
    if (!status.ok())
        return status;
    const char **operands = poptGetArgs(context.get());
    if (operands && *operands)
        arguments.command = *operands++;
    for (; operands && *operands; ++operands)
        arguments.operands.emplace_back(*operands);
    return arguments;
}

std::string optionsHelp()
{
    return "options:\n"
           "  -n, --node IP:PORT         operators' listener of a daemon; given more than once, "
           "the\n"
           "                             next one is tried where one can't be reached\n"
           "  -k, --key-file FILE        file with the operators' key; without it the key is "
           "taken\n"
           "                             from the environment, CURRANTWALK_OPERATOR_KEY\n"
           "  -j, --json                 print JSON for scripts\n"
           "  -t, --timeout DURATION     longest wait for an answer; 30s\n"
           "      --tls-authorities FILE use TLS and trust these authorities\n"
           "      --tls-certificate FILE certificate to show, with --tls-key FILE\n"
           "  -h, --help                 print help, also for a command\n"
           "  -V, --version              print the version\n";
}

} // namespace currantwalk
