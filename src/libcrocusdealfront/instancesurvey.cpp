#include "instancesurvey.h"

#include "bytestream.h"
#include "relaycodec.h"

#include <asio/post.hpp>

#include <utility>

namespace crocusdeal
{

struct instance_survey::inquiry {
    service_id service;
    answers results;
    std::vector<std::shared_ptr<byte_stream>> streams; ///< Null once the instance has answered or cannot.
    std::size_t pending = 0;
    deadline_queue::handle limit = 0;
    std::function<void(const answers &)> done;
};

instance_survey::instance_survey(front_context &context, fleet_member self)
    : m_context(context)
    , m_self(std::move(self))
{
}

void instance_survey::setMembers(const std::vector<fleet_member> &members)
{
    m_others.clear();
    for (const auto &member : members) {
        if (member.id != m_self.id) {
            m_others.push_back(member);
        }
    }
}

void instance_survey::ask(const service_id &service, duration limit, std::function<void(const answers &)> done)
{
    const auto asked = std::make_shared<inquiry>();
    asked->service = service;
    asked->results.resize(m_others.size());
    asked->streams.resize(m_others.size());
    asked->pending = m_others.size();
    asked->done = std::move(done);
    if (asked->pending == 0) {
        asio::post(m_context.io, [self = shared_from_this(), asked] { self->finish(asked); });
        return;
    }
    asked->limit = m_context.deadlines.scheduleAfter(limit, [self = shared_from_this(), asked] {
        asked->limit = 0;
        self->finish(asked);
    });
    for (std::size_t i = 0; i < m_others.size(); ++i) {
        askMember(asked, i, m_others[i]);
    }
}

void instance_survey::askMember(const std::shared_ptr<inquiry> &asked, std::size_t index, const fleet_member &member)
{
    const auto stream = std::make_shared<byte_stream>(m_context.io);
    const auto self = shared_from_this();
    asked->streams[index] = stream;
    stream->onClosed = [self, asked, index](const std::string &) { self->finishMember(asked, index, std::nullopt); };
    stream->onData = [self, asked, index](std::string &inbound) {
        std::optional<instance_knowledge> knowledge;
        const bool isReadable = takeRelayMessages(inbound, [&](relay_message &message) {
            if (auto *answer = std::get_if<service_answer>(&message)) {
                knowledge = std::move(answer->knowledge);
            }
            return !knowledge;
        });
        if (knowledge || !isReadable) {
            self->finishMember(asked, index, std::move(knowledge));
        }
    };
    stream->connect(member.relayAddress, [self, stream = std::weak_ptr(stream), service = asked->service] {
        const auto open = stream.lock();
        std::string encoded;
        if (open && encodeRelay(relay_hello{self->m_self.id, self->m_self.incarnation}, encoded)
            && encodeRelay(service_question{1, service}, encoded)) {
            open->send(encoded);
        }
    });
}

void instance_survey::finishMember(const std::shared_ptr<inquiry> &asked,
                                   std::size_t index,
                                   std::optional<instance_knowledge> knowledge)
{
    const auto stream = std::exchange(asked->streams[index], nullptr);
    if (!stream) {
        return;
    }
    stream->close();
    asked->results[index] = std::move(knowledge);
    --asked->pending;
    if (asked->pending == 0) {
        finish(asked);
    }
}

void instance_survey::finish(const std::shared_ptr<inquiry> &asked)
{
    const auto done = std::exchange(asked->done, nullptr);
    if (!done) {
        return;
    }
    m_context.deadlines.cancel(asked->limit);
    for (auto &stream : asked->streams) {
        if (stream) {
            std::exchange(stream, nullptr)->close();
        }
    }
    done(asked->results);
}

}
