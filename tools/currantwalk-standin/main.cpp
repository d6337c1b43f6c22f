#include "standin/program.h"

int main(int argc, char **argv)
{
    return currantwalk::standin::runProgram(argc, const_cast<const char **>(argv));
}
