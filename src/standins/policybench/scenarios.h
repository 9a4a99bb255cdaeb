#pragma once

namespace crocusdeal
{

/** Runs all scenarios for both deployments and prints a table. Returns whether all marks are met. */
bool runPolicyBench(unsigned seeds);

}
