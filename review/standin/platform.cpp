#include "platform.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace review
{

namespace
{

using nlohmann::json;

constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int unavailable = 503;
constexpr std::int64_t answerMs = 4;

std::string lowerCase(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::vector<std::string> split(const std::string &text, char by)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find(by, begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

/** Takes one request off @p inbound; false if it is not complete yet. */
bool takeRequest(std::string &inbound, http_request &request)
{
    const auto headEnd = inbound.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return false;
    }
    const auto lines = split(inbound.substr(0, headEnd), '\n');
    for (std::size_t i = 1; i < lines.size(); ++i) {
        const auto colon = lines[i].find(':');
        auto value = lines[i].substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of("\r ") + 1);
        request.headers[lowerCase(lines[i].substr(0, colon))] = value;
    }
    const auto length = request.headers.find("content-length");
    const std::size_t size = length == request.headers.end() ? 0 : std::stoul(length->second);
    if (inbound.size() < headEnd + 4 + size) {
        return false;
    }
    const auto words = split(lines.front(), ' ');
    request.method = words.at(0);
    const auto mark = std::min(words.at(1).find('?'), words.at(1).size());
    request.path = words.at(1).substr(0, mark);
    if (mark < words.at(1).size()) {
        for (const auto &part : split(words.at(1).substr(mark + 1), '&')) {
            const auto equals = std::min(part.find('='), part.size());
            request.query[part.substr(0, equals)] = part.substr(std::min(equals + 1, part.size()));
        }
    }
    request.body = size == 0 ? json() : json::parse(inbound.substr(headEnd + 4, size), nullptr, false);
    inbound.erase(0, headEnd + 4 + size);
    return true;
}

std::string member(const json &object, const char *key)
{
    return object.is_object() ? object.value(key, std::string()) : std::string();
}

}

http_service::http_service(loop &events, std::function<void(const http_request &, const http_answer &)> handler)
    : m_listener(std::make_shared<listener>(events))
    , m_handler(std::move(handler))
{
    m_listener->onConnection = [this](const std::shared_ptr<connection> &stream) {
        stream->onData = [this, raw = stream.get()](std::string &inbound) { serve(raw->shared_from_this(), inbound); };
    };
    m_listener->open();
}

std::string http_service::address() const
{
    return m_listener->address();
}

void http_service::serve(const std::shared_ptr<connection> &stream, std::string &inbound)
{
    http_request request;
    while (takeRequest(inbound, request)) {
        m_handler(request, [this, stream](int status, const json &body) {
            const auto text = onAnswer ? onAnswer(body.dump()) : body.dump();
            stream->send("HTTP/1.1 " + std::to_string(status)
                         + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size())
                         + "\r\n\r\n" + text);
        });
        request = {};
    }
}

object_store::object_store(loop &events, std::size_t paths)
    : m_loop(events)
{
    for (std::size_t path = 0; path < paths; ++path) {
        const auto handle = [this, path](const http_request &request, const http_answer &answer) {
            if (rejected.contains(path)) {
                answer(unavailable, json::object());
                return;
            }
            m_loop.after(answerMs, [this, request, answer] { this->handle(request, answer); });
        };
        m_services.push_back(std::make_unique<http_service>(events, handle));
        m_services.back()->onAnswer = [this, path](std::string text) {
            return onAnswer ? onAnswer(path, std::move(text)) : text;
        };
    }
}

std::string object_store::address(std::size_t path) const
{
    return m_services.at(path)->address();
}

json object_store::specOf(const std::string &kind, const std::string &name) const
{
    const auto objects = m_objects.find(kind);
    const bool isThere = objects != m_objects.end() && objects->second.contains(name);
    return isThere ? objects->second.at(name).at("spec") : json();
}

void object_store::put(const std::string &kind, const std::string &name, const json &spec)
{
    auto &object = m_objects[kind][name];
    if (object.is_object() && object["spec"] == spec) {
        return;
    }
    object["meta"]["name"] = name;
    object["meta"]["revision"] = ++m_revision;
    object["meta"]["finalizers"] = json::array();
    object["spec"] = spec;
    object["status"] = json::object();
    record(kind, object, false);
}

void object_store::remove(const std::string &kind, const std::string &name)
{
    auto object = m_objects[kind][name];
    m_objects[kind].erase(name);
    if (object.is_object()) {
        object["meta"]["revision"] = ++m_revision;
        record(kind, object, true);
    }
}

void object_store::record(const std::string &kind, const json &object, bool isRemoved)
{
    m_events.push_back({m_revision, kind, object, isRemoved});
    const auto waiting = m_watchers;
    for (const auto &one : waiting) {
        tellEvents(*one, false);
    }
    std::erase_if(m_watchers, [](const std::shared_ptr<watcher> &one) { return one->isDone; });
}

bool object_store::tellEvents(watcher &waiting, bool isTimeOver)
{
    json events = json::array();
    for (const auto &one : m_events) {
        if (one.kind == waiting.kind && one.revision > waiting.since) {
            events.push_back({{"object", one.object}, {"removed", one.isRemoved}});
        }
    }
    if (waiting.isDone || (events.empty() && !isTimeOver)) {
        return waiting.isDone;
    }
    waiting.isDone = true;
    waiting.answer(ok, {{"events", events}, {"store_revision", m_revision}});
    return true;
}

void object_store::watch(const std::string &kind, std::uint64_t since, std::int64_t waitMs, const http_answer &answer)
{
    const auto waiting = std::make_shared<watcher>();
    waiting->kind = kind;
    waiting->since = since;
    waiting->answer = answer;
    if (tellEvents(*waiting, false)) {
        return;
    }
    m_watchers.push_back(waiting);
    m_loop.after(waitMs, [this, waiting] {
        tellEvents(*waiting, true);
        std::erase(m_watchers, waiting);
    });
}

void object_store::handle(const http_request &request, const http_answer &answer)
{
    const auto parts = split(request.path, '/'); // "", "api", "objects", kind, name
    const auto kind = parts.size() > 3 ? parts[3] : std::string();
    const auto name = parts.size() > 4 ? parts[4] : std::string();
    if (request.method != "GET") {
        handleWrite(request, kind, name, answer);
        return;
    }
    if (request.query.contains("watch")) {
        const auto wait = request.query.contains("wait_ms") ? std::stoll(request.query.at("wait_ms")) : 0;
        watch(kind, std::stoull(request.query.at("watch")), wait, answer);
        return;
    }
    if (!name.empty()) {
        const auto found = m_objects[kind].find(name);
        const bool isFound = found != m_objects[kind].end();
        answer(isFound ? ok : notFound, isFound ? found->second : json::object());
        return;
    }
    json items = json::array();
    for (const auto &[id, object] : m_objects[kind]) {
        items.push_back(object);
    }
    answer(ok, {{"items", items}, {"more", false}, {"store_revision", m_revision}});
}

void object_store::handleWrite(const http_request &request,
                               const std::string &kind,
                               std::string name,
                               const http_answer &answer)
{
    const auto meta = request.body.is_object() ? request.body.value("meta", json::object()) : json::object();
    name = name.empty() ? member(meta, "name") : name;
    const auto found = m_objects[kind].find(name);
    const bool isThere = found != m_objects[kind].end();
    if (request.method == "POST") {
        if (isThere) {
            answer(conflict, found->second);
            return;
        }
        put(kind, name, request.body.at("spec"));
        answer(ok, m_objects[kind][name]);
        return;
    }
    if (!isThere) {
        answer(notFound, json::object());
        return;
    }
    std::uint64_t expected = meta.value("revision", std::uint64_t{0});
    if (request.query.contains("revision")) {
        expected = std::stoull(request.query.at("revision"));
    }
    if (expected != 0 && expected != found->second["meta"]["revision"].get<std::uint64_t>()) {
        answer(conflict, found->second);
        return;
    }
    const auto before = found->second;
    if (request.method == "DELETE") {
        remove(kind, name);
        answer(ok, before);
        return;
    }
    put(kind, name, request.body.at("spec"));
    answer(ok, m_objects[kind][name]);
}

promotion_service::promotion_service(loop &events)
    : m_service(events, [this, &events](const http_request &request, const http_answer &answer) {
        events.after(answerMs, [this, request, answer] {
            const auto token = request.headers.find("x-crocusdeal-fencing-token");
            const auto holder = request.headers.find("x-crocusdeal-duty-holder");
            order wanted;
            wanted.service = member(request.body, "service");
            wanted.target = member(request.body, "id");
            wanted.holder = holder == request.headers.end() ? "" : holder->second;
            wanted.token = token == request.headers.end() ? 0 : std::stoull(token->second);
            if (onCall(wanted)) {
                return;
            }
            const auto status = carryOut(wanted);
            answer(status, json::object());
        });
    })
{
}

std::string promotion_service::address() const
{
    return m_service.address();
}

int promotion_service::carryOut(const order &wanted)
{
    if (wanted.token < m_highestToken) {
        return conflict;
    }
    m_highestToken = wanted.token;
    return onOrder(wanted) ? ok : conflict;
}

}
