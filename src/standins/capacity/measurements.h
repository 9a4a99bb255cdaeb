#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace crocusdeal
{

/** One table of the capacity page. */
struct capacity_section {
    std::string name;
    std::function<void(std::ostream &)> print;
};

/** All tables, cheapest slopes first. */
std::vector<capacity_section> capacitySections();

}
