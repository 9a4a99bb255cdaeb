#pragma once

#include <sqlite3.h>

namespace crocusdeal
{

struct statement_context;

/** Adds the PostgreSQL functions that small scripts use. The context must outlive the connection. */
void registerFunctions(sqlite3 *handle, statement_context &context);

}
