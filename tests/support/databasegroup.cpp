#include "databasegroup.h"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <sstream>
#include <stdexcept>

namespace crocusdeal
{

database_process::database_process(std::vector<std::string> arguments, const std::string &errorFile)
{
    arguments.insert(arguments.end(), {"--admin", "127.0.0.1:0"});
    m_process =
        std::make_unique<child_process>(CROCUSDEAL_BINARY_DIR "/src/standins/databasestandin", arguments, errorFile);
    const auto line = m_process->readLine(std::chrono::seconds(20));
    if (!line) {
        throw std::runtime_error("databasestandin did not start");
    }
    std::istringstream fields(*line);
    std::string word;
    fields >> word >> m_port >> m_adminPort;
}

std::uint16_t database_process::port() const
{
    return m_port;
}

std::string database_process::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

child_process &database_process::process()
{
    return *m_process;
}

std::string database_process::admin(const std::string &command) const
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), m_adminPort});
    asio::write(socket, asio::buffer(command + '\n'));
    std::string answer;
    asio::error_code ended;
    asio::read_until(socket, asio::dynamic_buffer(answer), '\n', ended);
    return answer.substr(0, answer.find('\n'));
}

std::string database_process::ask(const std::string &sql) const
{
    const auto outcome = pg_client(m_port).run(sql);
    return outcome.sqlState.empty() ? outcome.value() : outcome.sqlState;
}

}
