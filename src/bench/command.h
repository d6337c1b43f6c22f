#ifndef CURRANTWALK_BENCH_COMMAND_H
#define CURRANTWALK_BENCH_COMMAND_H

namespace currantwalk {

/// One benchmark of the program; \a run takes the arguments from its own name on and returns the
/// exit code.
struct BenchCommand
{
    const char *name;
    const char *summary;
    int (*run)(int argc, const char **argv);
};

} // namespace currantwalk

#endif // CURRANTWALK_BENCH_COMMAND_H
