#include "cli/program.h"

int main(int argc, char **argv)
{
    return currantwalk::runCommandLine(argc, const_cast<const char **>(argv));
}
