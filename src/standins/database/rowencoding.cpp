#include "rowencoding.h"

#include <string>
#include <string_view>

namespace crocusdeal
{

namespace
{

constexpr std::int32_t int8Oid = 20;
constexpr std::int32_t textOid = 25;
constexpr std::int32_t float8Oid = 701;
constexpr std::int32_t boolOid = 16;

/** PostgreSQL's name of a result column: the function of a call, ?column? for other expressions. */
std::string columnName(std::string_view name)
{
    const auto end = name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_");
    if (end == std::string_view::npos && !name.empty() && name.find_first_of("0123456789") != 0) {
        return std::string(name);
    }
    if (end != std::string_view::npos && end > 0 && name[end] == '(') {
        return std::string(name.substr(0, end));
    }
    return "?column?";
}

std::int32_t columnType(const char *declaration)
{
    const std::string_view text = declaration == nullptr ? "" : declaration;
    if (text.find("int") != std::string_view::npos || text.find("INT") != std::string_view::npos) {
        return int8Oid;
    }
    if (text.find("bool") != std::string_view::npos || text.find("BOOL") != std::string_view::npos) {
        return boolOid;
    }
    if (text.find("double") != std::string_view::npos || text.find("DOUBLE") != std::string_view::npos) {
        return float8Oid;
    }
    return textOid;
}

bool isBoolean(sqlite3_stmt *statement, int column)
{
    return columnType(sqlite3_column_decltype(statement, column)) == boolOid;
}

}

void writeColumns(frame_writer &writer, sqlite3_stmt *statement)
{
    constexpr std::int16_t variableSize = -1;
    constexpr std::int16_t int8Size = 8;
    constexpr std::int32_t noModifier = -1;
    const int count = sqlite3_column_count(statement);
    if (count == 0) {
        return;
    }
    writer.begin('T').int16(static_cast<std::int16_t>(count));
    for (int i = 0; i < count; ++i) {
        const auto type = columnType(sqlite3_column_decltype(statement, i));
        const auto size = type == int8Oid ? int8Size : variableSize;
        writer.string(columnName(sqlite3_column_name(statement, i))).int32(0).int16(0);
        writer.int32(type).int16(size).int32(noModifier).int16(0);
    }
    writer.end();
}

void writeRow(frame_writer &writer, sqlite3_stmt *statement, int count)
{
    constexpr std::int32_t nullLength = -1;
    writer.begin('D').int16(static_cast<std::int16_t>(count));
    for (int i = 0; i < count; ++i) {
        const int type = sqlite3_column_type(statement, i);
        if (type == SQLITE_NULL) {
            writer.int32(nullLength);
            continue;
        }
        if (type == SQLITE_INTEGER && isBoolean(statement, i)) {
            writer.int32(1).bytes(sqlite3_column_int(statement, i) != 0 ? "t" : "f");
            continue;
        }
        const auto *text = reinterpret_cast<const char *>(sqlite3_column_text(statement, i));
        const auto size = static_cast<std::size_t>(sqlite3_column_bytes(statement, i));
        writer.int32(static_cast<std::int32_t>(size)).bytes({text, size});
    }
    writer.end();
}

}
