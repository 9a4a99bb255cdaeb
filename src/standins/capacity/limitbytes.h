#pragma once

#include <iosfwd>

namespace crocusdeal
{

/** Bytes of one exchange of the limit ledgers between a holder and an owner, by the number of their targets. */
void printLimitBytes(std::ostream &out);

}
