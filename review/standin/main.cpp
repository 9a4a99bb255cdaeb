#include "cases.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

/** Runs one case: NAME RECORD, with TROUBLE=0 in the environment without its disruption. */
int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: standin CASE RECORD\n";
        return review::couldNotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    try {
        return review::runCase(argv[1], argv[2], hasTrouble);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return review::couldNotRun;
    }
}
