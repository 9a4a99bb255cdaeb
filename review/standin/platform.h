#pragma once

#include "loop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review
{

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    nlohmann::json body;
};

using http_answer = std::function<void(int status, const nlohmann::json &body)>;

/** Answers requests now or later; a request that gets no answer waits. */
class http_service
{
public:
    http_service(loop &events, std::function<void(const http_request &, const http_answer &)> handler);

    std::string address() const;
    /** Changes the text of an answer. */
    std::function<std::string(std::string)> onAnswer;

private:
    void serve(const std::shared_ptr<connection> &stream, std::string &inbound);

    std::shared_ptr<listener> m_listener;
    std::function<void(const http_request &, const http_answer &)> m_handler;
};

/** The platform's store, as PROTOCOL.md describes it. */
class object_store
{
public:
    /** One port for each path, so that a path can be rejected; each path of a daemon's has its number. */
    object_store(loop &events, std::size_t paths);

    std::string address(std::size_t path) const;
    /** Changes what an answer says to those who come by the path. */
    std::function<std::string(std::size_t path, std::string text)> onAnswer;
    /** Paths that are turned away with 503. */
    std::set<std::size_t> rejected;
    /** The spec of an object; null if there is none. */
    nlohmann::json specOf(const std::string &kind, const std::string &name) const;
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool isRemoved = false;
    };
    struct watcher {
        std::string kind;
        std::uint64_t since = 0;
        http_answer answer;
        bool isDone = false;
    };

    void handle(const http_request &request, const http_answer &answer);
    void handleWrite(const http_request &request, const std::string &kind, std::string name, const http_answer &answer);
    void watch(const std::string &kind, std::uint64_t since, std::int64_t waitMs, const http_answer &answer);
    bool tellEvents(watcher &waiting, bool isTimeOver);
    void record(const std::string &kind, const nlohmann::json &object, bool isRemoved);

    loop &m_loop;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<event> m_events;
    std::vector<std::shared_ptr<watcher>> m_watchers;
    std::vector<std::unique_ptr<http_service>> m_services;
};

/** The calls of the duty "failover"; checks fences. */
class promotion_service
{
public:
    explicit promotion_service(loop &events);

    struct order {
        std::string service;
        std::string target;
        std::string holder;
        std::uint64_t token = 0;
    };
    /** Carries out an accepted order; false if the database is not running. */
    std::function<bool(const order &)> onOrder;
    /** Sees each call before its fence is checked; true if it gets no answer and is not carried out now. */
    std::function<bool(const order &)> onCall;

    std::string address() const;
    /** Checks the fence, and carries out; the status of the answer. */
    int carryOut(const order &wanted);

private:
    std::uint64_t m_highestToken = 0;
    http_service m_service;
};

}
