#pragma once

namespace crocusdeal
{

/** Prints the time that classifying a statement takes, by the parser and by the cache. */
void runClassifyBench();

}
