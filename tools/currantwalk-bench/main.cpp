#include <array>
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "bench/command.h"
#include "bench/decisions.h"
#include "bench/policies.h"

using namespace currantwalk;

static const std::array<const BenchCommand *, 2> Commands{&PoliciesCommand, &DecisionsCommand};

int main(int argc, const char **argv)
{
    for (const BenchCommand *command : Commands) {
        if (argc > 1 && std::string_view(argv[1]) == command->name)
            return command->run(argc - 1, argv + 1);
    }
    std::cerr << "usage: currantwalk-bench COMMAND [OPTION...]\n";
    for (const BenchCommand *command : Commands)
        std::cerr << "  " << command->name << ": " << command->summary << '\n';
    return EXIT_FAILURE;
}
