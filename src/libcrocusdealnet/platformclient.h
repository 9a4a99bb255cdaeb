#pragma once

#include "clock.h"
#include "hostport.h"
#include "identifiers.h"
#include "nametable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusdeal
{

/** Errors of the platform client. */
enum class platform_error {
    Unreachable, ///< No connection; nothing was sent.
    Unavailable, ///< Status 503; nothing was done.
    Throttled, ///< Status 429; nothing was done.
    AnswerLost, ///< Sent, but no complete answer in time; it may have been done.
    Refused, ///< Another status of the range 400 to 499; nothing was done.
    Malformed, ///< The answer is not as the interface says.
    Stopped, ///< The client was destroyed first.
};

inline constexpr auto platformErrorNames = makeNameTable<platform_error>("unreachable",
                                                                         "unavailable",
                                                                         "rate limit exceeded",
                                                                         "answer lost",
                                                                         "refused",
                                                                         "malformed answer",
                                                                         "stopped");

struct platform_failure {
    platform_error error = platform_error::Unreachable;
    duration retryAfter; ///< What the platform asks for; 0 if it does not.
    std::string detail;
};

/** "ERROR (DETAIL)". */
std::string toString(const platform_failure &failure);

/** A value, or the failure if there is none. Beside a list, the failure tells of elements that were left out. */
template<typename T>
struct platform_result {
    std::optional<T> value;
    platform_failure failure;
};

struct platform_object {
    std::string name;
    std::uint64_t version = 0; ///< 0: there is no such object.
    std::string value; ///< JSON text.
};

enum class instance_state { Live, Leaving };

inline constexpr auto instanceStateNames = makeNameTable<instance_state>("live", "leaving");

/** An entry of the platform's list of instances. */
struct instance_entry {
    instance_id id;
    data_centre_id dataCentre;
    std::optional<host_port> callerAddress;
    std::optional<host_port> controlAddress;
    std::optional<host_port> adminAddress;
    instance_state state = instance_state::Live;
};

/** How a conditional update ended. */
enum class put_outcome {
    Stored,
    Conflict, ///< The version is another one; nothing was done.
    Unknown, ///< Sent, but the answer was lost or came too late.
    Unavailable, ///< Nothing was done, and it may be tried again.
    Refused, ///< Nothing was done, and a repeat would be refused as well.
};

inline constexpr auto putOutcomeNames =
    makeNameTable<put_outcome>("stored", "conflict", "unknown", "unavailable", "refused");

struct put_result {
    put_outcome outcome = put_outcome::Unavailable;
    std::uint64_t version = 0; ///< The version now in force if Stored or Conflict.
    platform_failure failure; ///< For the other outcomes.
};

struct object_key {
    std::string kind;
    std::string name;
};

struct platform_client_options {
    host_port address;
    std::string caller; ///< How this process names itself to the platform; may be empty.
    int callThreads = 2;
    /** Watches above this number wait for others to return. */
    int watchThreads = 2;
};

/**
 * Client of the platform's object interface (4.3).
 *
 * Calls return at once; each callback is called exactly once, on a thread of the client, and may start further calls.
 * A time limit counts from the call, including the time in the client's own queue.
 */
class platform_client
{
public:
    using object_callback = std::function<void(platform_result<platform_object>)>;
    using list_callback = std::function<void(platform_result<std::vector<platform_object>>)>;
    using instances_callback = std::function<void(platform_result<std::vector<instance_entry>>)>;
    using put_callback = std::function<void(put_result)>;
    /** Tells if an object that was read back contains the change of a lost answer; nothing if it cannot tell. */
    using change_check = std::function<std::optional<bool>(const platform_object &)>;

    explicit platform_client(platform_client_options options);
    /** Answers all calls that are under way or wait; not to be called from a callback. */
    ~platform_client();
    platform_client(const platform_client &) = delete;
    platform_client &operator=(const platform_client &) = delete;

    void get(const object_key &key, duration timeout, object_callback callback);
    void list(const std::string &kind, duration timeout, list_callback callback);
    void instances(duration timeout, instances_callback callback);

    /** Stores @p value, a JSON text, if the object's version is @p ifVersion (0: there is none). */
    void put(const object_key &key,
             std::uint64_t ifVersion,
             const std::string &value,
             duration timeout,
             put_callback callback);

    /**
     * Like put(), but reads the object back when an answer is lost, and repeats the update while the version is
     * @p ifVersion. The outcome is Unknown only if the platform does not answer until @p timeout, or if others have
     * changed the object since and @p check cannot tell.
     */
    void putResolved(const object_key &key,
                     std::uint64_t ifVersion,
                     std::string value,
                     duration timeout,
                     put_callback callback,
                     change_check check = nullptr);

    /** Gives the object once its version is above @p after, or with its version at or below after @p timeout. */
    void watch(const object_key &key, std::uint64_t after, duration timeout, object_callback callback);

    /** Calls @p task after @p delay on a thread of the client, or at once when the client is destroyed. */
    void runLater(duration delay, std::function<void()> task);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
