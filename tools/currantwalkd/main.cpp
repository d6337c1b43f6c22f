#include "daemon/program.h"

int main(int argc, char **argv)
{
    return currantwalk::runDaemon(argc, const_cast<const char **>(argv));
}
