#include "classifybench.h"

#include <iostream>
#include <string>

int main(int argc, char **argv)
{
    const std::string mode = argc > 1 ? argv[1] : "";
    if (mode == "classify") {
        crocusdeal::runClassifyBench();
        return 0;
    }
    std::cerr << "usage: policybench classify\n";
    return 2;
}
