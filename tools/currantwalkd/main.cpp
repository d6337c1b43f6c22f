#include <cstring>

#include "daemon/program.h"
#include "platform/program.h"

static constexpr const char *PlatformCommand = "platform";
static constexpr const char *PoisonCommand = "poison";

int main(int argc, char **argv)
{
    const bool isOnPlatform = argc >= 2 && std::strcmp(argv[1], PlatformCommand) == 0;
    if (isOnPlatform && argc == 2)
        return currantwalk::platform::runOnPlatform();
    if (isOnPlatform && std::strcmp(argv[2], PoisonCommand) == 0)
        return currantwalk::platform::runPoisonCommand({argv + 3, argv + argc});
    return currantwalk::runDaemon(argc, const_cast<const char **>(argv));
}
