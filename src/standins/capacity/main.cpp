#include "measurements.h"

#include <cstdlib>
#include <iostream>
#include <string>

/** Prints the table behind docs/CAPACITY.md; with an argument only the sections whose name contains it. */
int main(int argc, char **argv)
{
    const std::string filter = argc > 1 ? argv[1] : "";
    for (const auto &section : crocusdeal::capacitySections()) {
        if (section.name.find(filter) == std::string::npos) {
            continue;
        }
        std::cout << "\n## " << section.name << '\n' << std::flush;
        section.print(std::cout);
        std::cout << std::flush;
    }
    return EXIT_SUCCESS;
}
