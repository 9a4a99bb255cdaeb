#pragma once

#include "consistencycheck.h"
#include "loadoptions.h"
#include "measurements.h"

#include <iosfwd>
#include <string>

namespace crocusdeal
{

/** The longest time without an acknowledged write. */
struct write_gap {
    double startS = 0;
    double lengthS = 0;
};

/** Everything a run has found out. */
struct load_report {
    run_measurements measurements;
    check_result check;
    write_gap gap;
    double durationS = 0;
};

/** Counts the time before the first write and after the last one as gaps too; zero for a run without writes. */
write_gap longestGap(std::vector<double> writeTimesS, double durationS);

void printReport(std::ostream &output, const load_report &report);
/** Throw std::runtime_error if the file cannot be written. */
void writeJsonReport(const std::string &file, const load_report &report);
void writeSvgReport(const std::string &file, const load_report &report);

}
