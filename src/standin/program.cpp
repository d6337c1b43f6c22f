#include "standin/program.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <popt.h>
#include <sysexits.h>

#include "net/eventloop.h"
#include "standin/standin.h"

namespace currantwalk::standin {

static int runLayout(const Layout &layout)
{
    absl::StatusOr<std::unique_ptr<EventLoop>> loop = EventLoop::create({});
    if (!loop.ok()) {
        std::cerr << "currantwalk-standin: " << loop.status().message() << '\n';
        return EX_OSERR;
    }
    const absl::StatusOr<std::unique_ptr<Standin>> standin =
            Standin::create(layout, (*loop)->server(), (*loop)->timers());
    if (!standin.ok()) {
        std::cerr << "currantwalk-standin: " << standin.status().message() << '\n';
        return EX_UNAVAILABLE;
    }
    for (const int signal : {SIGTERM, SIGINT}) {
        const absl::Status watched = (*loop)->onSignal(signal, [&loop] { (*loop)->stop(); });
        if (!watched.ok()) {
            std::cerr << "currantwalk-standin: " << watched.message() << '\n';
            return EX_OSERR;
        }
    }
    std::cout << "platform " << (*standin)->platformEndpoint().toString() << std::endl;
    (*loop)->run();
    return EX_OK;
}

int runProgram(int argc, const char **argv)
{
    char *path = nullptr;
    const poptOption options[] = {
            {"layout", 'l', POPT_ARG_STRING, &path, 0, "TOML file of VMs and targets", "FILE"},
            POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("currantwalk-standin", argc, argv, options, 0);
    const int result = poptGetNextOpt(context);
    if (result < -1 || !path) {
        poptPrintUsage(context, stderr, 0);
        poptFreeContext(context);
        return EX_USAGE;
    }
    poptFreeContext(context);
    std::ifstream file(path);
    free(path);
    if (!file) {
        std::cerr << "currantwalk-standin: the layout cannot be read\n";
        return EX_NOINPUT;
    }
    std::stringstream text;
    text << file.rdbuf();
    const absl::StatusOr<Layout> layout = Layout::parse(text.str());
    if (!layout.ok()) {
        std::cerr << "currantwalk-standin: " << layout.status().message() << '\n';
        return EX_CONFIG;
    }
    return runLayout(*layout);
}

} // namespace currantwalk::standin
