#include "statementmap.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace crocusdeal
{

namespace
{

constexpr std::size_t typeAndLengthBytes = 5;

std::string targetNameOf(std::string_view text, std::string_view types)
{
    std::string key(text);
    key.push_back('\0');
    key.append(types);
    const auto hash = XXH3_128bits(key.data(), key.size());
    std::array<char, 40> name{};
    std::snprintf(name.data(),
                  name.size(),
                  "cd_%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return name.data();
}

/** The unnamed statement of a connection is told apart by text and types. */
std::string unnamedKey(const prepared_statement &statement)
{
    return statement.text + '\0' + statement.parameterTypes;
}

/** Writes one batch for one connection. */
class batch_translation
{
public:
    batch_translation(const statement_map &map, const std::unordered_set<std::string> &held, std::string_view unnamed)
        : m_map(map)
        , m_held(held)
        , m_unnamed(unnamed)
    {
    }

    void step(const request_batch &batch, const batch_step &step)
    {
        switch (step.type) {
        case 'P':
            parse(step, batch.bytes(step));
            break;
        case 'B':
            ensureHeld(step.statement);
            bind(step, batch.bytes(step));
            break;
        case 'D':
            describe(step, batch.bytes(step));
            break;
        case 'C':
            close(step, batch.bytes(step));
            break;
        case 'E':
            forward(batch.bytes(step), expected_reply::Execute);
            break;
        case 'S':
            forward(batch.bytes(step), expected_reply::Sync);
            break;
        default:
            m_writer.raw(batch.bytes(step));
            break;
        }
    }

    translated_batch take()
    {
        m_result.bytes = m_writer.take();
        return std::move(m_result);
    }

private:
    void forward(std::string_view bytes, expected_reply reply)
    {
        m_writer.raw(bytes);
        m_result.replies.push_back(reply);
    }

    std::string targetName(const std::string &name) const
    {
        const auto *statement = lookUp(name);
        return statement == nullptr ? name : statement->targetName;
    }

    bool isNameHeld(const std::string &name) const
    {
        return m_held.contains(name) || std::find(m_added.begin(), m_added.end(), name) != m_added.end();
    }

    /** Statements parsed in this batch hide those of the session. */
    const prepared_statement *lookUp(const std::string &name) const
    {
        const auto found = m_parsed.find(name);
        return found == m_parsed.end() ? m_map.find(name) : &found->second;
    }

    void writeParse(const prepared_statement &statement)
    {
        m_writer.begin('P').string(statement.targetName).string(statement.text).bytes(statement.parameterTypes).end();
        if (statement.targetName.empty()) {
            m_unnamed = unnamedKey(statement);
            m_result.newNames.push_back('\0' + m_unnamed);
        } else {
            m_added.push_back(statement.targetName);
            m_result.newNames.push_back(statement.targetName);
        }
    }

    void parse(const batch_step &step, std::string_view bytes)
    {
        prepared_statement statement{step.text, std::string(parseTypes(bytes)), {}};
        if (!step.statement.empty()) {
            statement.targetName = targetNameOf(statement.text, statement.parameterTypes);
        }
        const bool isHeld = !statement.targetName.empty() && isNameHeld(statement.targetName);
        if (isHeld) {
            m_result.replies.push_back(expected_reply::LocalParse);
        } else {
            writeParse(statement);
            m_result.replies.push_back(expected_reply::Parse);
        }
        m_parsed[step.statement] = std::move(statement);
    }

    void ensureHeld(const std::string &name)
    {
        const auto *statement = lookUp(name);
        if (statement == nullptr) {
            return;
        }
        const bool isHeld =
            statement->targetName.empty() ? unnamedKey(*statement) == m_unnamed : isNameHeld(statement->targetName);
        if (isHeld) {
            return;
        }
        writeParse(*statement);
        m_result.replies.push_back(expected_reply::InjectedParse);
    }

    void bind(const batch_step &step, std::string_view bytes)
    {
        const auto rest = bytes.substr(typeAndLengthBytes + step.portal.size() + 1 + step.statement.size() + 1);
        m_writer.begin('B').string(step.portal).string(targetName(step.statement)).bytes(rest).end();
        m_result.replies.push_back(expected_reply::Bind);
    }

    void describe(const batch_step &step, std::string_view bytes)
    {
        if (step.object == 'P') {
            forward(bytes, expected_reply::Describe);
            return;
        }
        ensureHeld(step.statement);
        m_writer.begin('D').byte('S').string(targetName(step.statement)).end();
        m_result.replies.push_back(expected_reply::Describe);
    }

    void close(const batch_step &step, std::string_view bytes)
    {
        if (step.object == 'P') {
            forward(bytes, expected_reply::Close);
            return;
        }
        m_result.replies.push_back(expected_reply::LocalClose);
    }

    const statement_map &m_map;
    const std::unordered_set<std::string> &m_held;
    std::vector<std::string> m_added;
    std::string m_unnamed;
    std::unordered_map<std::string, prepared_statement> m_parsed;
    frame_writer m_writer;
    translated_batch m_result;
};

}

std::string_view parseTypes(std::string_view parseFrame)
{
    payload_reader reader(parseFrame.substr(typeAndLengthBytes));
    reader.readString();
    reader.readString();
    return parseFrame.substr(parseFrame.size() - reader.remaining());
}

void statement_map::apply(const request_batch &batch)
{
    for (const auto &step : batch.steps()) {
        if (step.type == 'P') {
            prepared_statement statement{step.text, std::string(parseTypes(batch.bytes(step))), {}};
            if (!step.statement.empty()) {
                statement.targetName = targetNameOf(statement.text, statement.parameterTypes);
            }
            m_statements[step.statement] = std::move(statement);
        }
        if (step.type == 'C' && step.object == 'S') {
            m_statements.erase(step.statement);
        }
    }
}

const prepared_statement *statement_map::find(const std::string &name) const
{
    const auto found = m_statements.find(name);
    return found == m_statements.end() ? nullptr : &found->second;
}

bool statement_map::empty() const
{
    return m_statements.empty();
}

translated_batch statement_map::translate(const request_batch &batch,
                                          const std::unordered_set<std::string> &held,
                                          std::string_view unnamed) const
{
    batch_translation translation(*this, held, unnamed);
    for (const auto &step : batch.steps()) {
        translation.step(batch, step);
    }
    return translation.take();
}

}
