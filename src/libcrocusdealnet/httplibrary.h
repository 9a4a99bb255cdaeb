#pragma once

namespace crocusdeal
{

/**
 * To be called before cpp-httplib is used.
 *
 * Makes the process ignore SIGPIPE: the servers of the library do so by themselves, its clients do not and would end
 * the process when they send on a connection that the server has closed or that an aborted call has shut down.
 *
 * In builds with ThreadSanitizer it also initialises the library's function-local statics before any of its threads
 * starts. The library is not instrumented, so their guards are not seen and their use is reported as races.
 */
void prepareHttpLibrary();

}
