#pragma once

namespace crocusdeal
{

/**
 * Makes a process that ends by a fault write one line with the addresses of its call stack to standard output first.
 *
 * The addresses are those of the binary if it is linked at a fixed place or run without address randomisation;
 * addr2line names their places.
 */
void reportCrashes();

}
