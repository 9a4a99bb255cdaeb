#pragma once

namespace crocusdeal
{

/** Prints how evenly each way of choosing loads the targets, for numbers of choosers and ages of their knowledge. */
void runSwingBench(unsigned seeds);

}
