#include "settingreplies.h"

#include <map>

namespace crocusdeal
{

namespace
{

constexpr const char *invalidParameterValue = "22023";
constexpr const char *invalidStatementName = "26000";

std::string commandTag(setting_action action)
{
    switch (action) {
    case setting_action::Set:
        return "SET";
    case setting_action::Show:
        return "SHOW";
    case setting_action::Reset:
        break;
    }
    return "RESET";
}

/** Runs the settings of one text; false after an error was written. */
bool runSettings(frame_writer &writer, const std::string &text, const setting_handler &handler, bool describe)
{
    for (const auto &setting : classifyStatement(text).settings) {
        const auto result = handler(setting);
        if (!result.ok) {
            writeError(writer, {"ERROR", invalidParameterValue, result.error, {}, {}});
            return false;
        }
        if (setting.action == setting_action::Show) {
            if (describe) {
                writeTextColumns(writer, {setting.name});
            }
            writeTextRow(writer, {result.value});
        }
        writeCommandComplete(writer, commandTag(setting.action));
    }
    return true;
}

/** Answers the steps of an extended batch. */
class extended_replies
{
public:
    extended_replies(frame_writer &writer, const statement_map &prepared, const setting_handler &handler)
        : m_writer(writer)
        , m_prepared(prepared)
        , m_handler(handler)
    {
    }

    /** False after an error: the rest of the batch is ignored. */
    bool step(const batch_step &step)
    {
        switch (step.type) {
        case 'P':
            m_texts[step.statement] = step.text;
            m_writer.begin('1').end();
            return true;
        case 'B':
            return bind(step);
        case 'D':
            return describe(step);
        case 'C':
            m_writer.begin('3').end();
            return true;
        case 'E':
            return runSettings(m_writer, m_portals[step.portal], m_handler, false);
        default:
            return true;
        }
    }

private:
    const std::string *lookUp(const std::string &name) const
    {
        if (const auto found = m_texts.find(name); found != m_texts.end()) {
            return &found->second;
        }
        const auto *statement = m_prepared.find(name);
        return statement == nullptr ? nullptr : &statement->text;
    }

    bool missing(const std::string &name)
    {
        writeError(m_writer,
                   {"ERROR", invalidStatementName, "prepared statement \"" + name + "\" does not exist", {}, {}});
        return false;
    }

    bool bind(const batch_step &step)
    {
        const auto *text = lookUp(step.statement);
        if (text == nullptr) {
            return missing(step.statement);
        }
        m_portals[step.portal] = *text;
        m_writer.begin('2').end();
        return true;
    }

    bool describe(const batch_step &step)
    {
        const std::string *text = step.object == 'S' ? lookUp(step.statement) : &m_portals[step.portal];
        if (text == nullptr) {
            return missing(step.statement);
        }
        if (step.object == 'S') {
            m_writer.begin('t').int16(0).end();
        }
        const auto settings = classifyStatement(*text).settings;
        if (!settings.empty() && settings.front().action == setting_action::Show) {
            writeTextColumns(m_writer, {settings.front().name});
        } else {
            m_writer.begin('n').end();
        }
        return true;
    }

    frame_writer &m_writer;
    const statement_map &m_prepared;
    const setting_handler &m_handler;
    std::map<std::string, std::string> m_texts;
    std::map<std::string, std::string> m_portals;
};

}

void writeSettingReplies(frame_writer &writer,
                         const request_batch &batch,
                         const statement_map &prepared,
                         const setting_handler &handler)
{
    if (batch.isSimple()) {
        runSettings(writer, batch.text(), handler, true);
        return;
    }
    extended_replies replies(writer, prepared, handler);
    for (const auto &step : batch.steps()) {
        if (!replies.step(step)) {
            return;
        }
    }
}

}
