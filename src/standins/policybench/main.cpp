#include "classifybench.h"
#include "scenarios.h"
#include "swingbench.h"

#include <iostream>
#include <string>

int main(int argc, char **argv)
{
    const std::string mode = argc > 1 ? argv[1] : "";
    if (mode == "classify") {
        crocusdeal::runClassifyBench();
        return 0;
    }
    if (mode == "policies") {
        const unsigned seeds = argc > 2 ? static_cast<unsigned>(std::stoul(argv[2])) : 3;
        return crocusdeal::runPolicyBench(seeds) ? 0 : 1;
    }
    if (mode == "swing") {
        crocusdeal::runSwingBench(argc > 2 ? static_cast<unsigned>(std::stoul(argv[2])) : 3);
        return 0;
    }
    std::cerr << "usage: policybench classify | policybench policies [SEEDS] | policybench swing [SEEDS]\n";
    return 2;
}
