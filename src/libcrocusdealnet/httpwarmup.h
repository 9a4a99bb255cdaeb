#pragma once

namespace crocusdeal
{

/**
 * Makes cpp-httplib initialise its function-local statics before any of its threads starts.
 *
 * The library is not instrumented, so ThreadSanitizer does not see the guards of these statics and reports their use as
 * races. Does nothing in other builds.
 */
void warmUpHttpLibrary();

}
