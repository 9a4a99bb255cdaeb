#pragma once

#include "pgframe.h"

#include <sqlite3.h>

namespace crocusdeal
{

/** Appends the RowDescription of a prepared SQLite statement; nothing if it returns no rows. */
void writeColumns(frame_writer &writer, sqlite3_stmt *statement);
/** Appends the present row of @p count columns as DataRow in text format. */
void writeRow(frame_writer &writer, sqlite3_stmt *statement, int count);

}
