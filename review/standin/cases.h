#pragma once

#include <string>

namespace review
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

/** Plays a case and writes what was seen; the result is one of the constants above. */
int runCase(const std::string &name, const std::string &recordFile, bool hasTrouble);

}
