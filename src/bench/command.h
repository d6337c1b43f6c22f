#ifndef CURRANTWALK_BENCH_COMMAND_H
#define CURRANTWALK_BENCH_COMMAND_H

namespace currantwalk {

/// One sub-command of currantwalk-bench.
struct BenchCommand
{
    const char *name;
    const char *summary;
    /// Runs with its own arguments, argv[0] being the sub-command's name. Returns an exit code of
    /// sysexits.h.
    int (*run)(int argc, const char **argv);
};

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_COMMAND_H
