#include <cstdio>
#include <cstring>
#include <vector>

#include <sysexits.h>

#include "bench/command.h"
#include "bench/decisions.h"
#include "bench/policies.h"

using namespace currantwalk;

// The sub-commands, in the order of the help.
static const std::vector<BenchCommand> Commands{PoliciesCommand, DecisionsCommand};

static void printUsage(std::FILE *stream)
{
    std::fputs("usage: currantwalk-bench COMMAND [OPTION...]\n\ncommands:\n", stream);
    for (const BenchCommand &command : Commands)
        std::fprintf(stream, "  %-12s %s\n", command.name, command.summary);
}

int main(int argc, const char **argv)
{
    if (argc < 2) {
        printUsage(stderr);
        return EX_USAGE;
    }
    if (std::strcmp(argv[1], "--help") == 0) {
        printUsage(stdout);
        return EX_OK;
    }
    for (const BenchCommand &command : Commands) {
        if (std::strcmp(argv[1], command.name) == 0)
            return command.run(argc - 1, argv + 1);
    }
    std::fprintf(stderr, "currantwalk-bench: unknown command \"%s\"\n", argv[1]);
    printUsage(stderr);
    return EX_USAGE;
}
