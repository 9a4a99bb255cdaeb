#include "loadoptions.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <stdexcept>

namespace po = boost::program_options;

namespace crocusdeal
{

namespace
{

constexpr auto usage = R"(loadtool [options]                  load on a database or proxy, and a check of its answers
loadtool forward LISTEN UPSTREAM   bytes forwarded both ways, a floor for latency comparisons

Exit status: 0, 1 for an error, 2 if an acknowledged write was lost, a write was doubled or took effect although it was
refused, or a session read data older than its own write.
)";

po::options_description describeTarget(load_options &o)
{
    po::options_description target("Target");
    auto add = target.add_options();
    add("help", "show this text");
    add("address",
        po::value(&o.addresses)->multitoken()->composing(),
        "host:port; several: sessions begin at each in turn, and a failed one goes to the next");
    add("check-address", po::value(&o.checkAddress), "host:port for tables and check; default: the first address");
    add("database", po::value(&o.database)->default_value(o.database), "database name");
    add("user", po::value(&o.user)->default_value(o.user), "user name");
    add("setup", po::bool_switch(&o.setup), "create the tables anew");
    add("items", po::value(&o.items)->default_value(o.items), "rows for point reads");
    add("token", po::bool_switch(&o.token), "pass the last crocusdeal.session when a session reconnects");
    add("roam-after", po::value(&o.roamAfter)->default_value(0), "requests after which a session changes the address");
    return target;
}

po::options_description describeLoad(load_options &o, std::string &protocol, std::string &profile)
{
    po::options_description load("Load");
    auto add = load.add_options();
    add("profile", po::value(&profile), "cooperative or association: mix, swing and connections; options override");
    add("duration", po::value(&o.durationS), "seconds (default 10; 30 with a profile)");
    add("drain", po::value(&o.drainS)->default_value(o.drainS), "seconds to wait for the last answers");
    add("rate", po::value(&o.rate), "arrivals a second (default 100)");
    add("swing", po::value(&o.swing), "factor on the rate between the two times");
    add("swing-start", po::value(&o.swingStartS), "seconds after the start");
    add("swing-end", po::value(&o.swingEndS), "seconds after the start");
    add("swing-ramp", po::value(&o.swingRampS), "seconds that the change takes");
    add("seed", po::value(&o.seed)->default_value(1), "seed of arrivals and mix");
    add("threads", po::value(&o.threads)->default_value(1), "threads of this program");
    add("connections", po::value(&o.connections), "sessions (default 10)");
    add("idle-connections", po::value(&o.idleConnections)->default_value(0), "more connections without work");
    add("point-read", po::value(&o.weights[0]), "weight (default 1)");
    add("stale-read", po::value(&o.weights[1]), "weight, on connections of their own");
    add("write", po::value(&o.weights[2]), "weight of inserts with a unique id");
    add("transaction", po::value(&o.weights[3]), "weight of begin, read, update, commit");
    add("straggler", po::value(&o.weights[4]), "weight of long statements");
    add("staleness-ms", po::value(&o.stalenessMs)->default_value(o.stalenessMs), "crocusdeal.max_staleness");
    add("straggler-ms", po::value(&o.stragglerMs)->default_value(o.stragglerMs), "length of a long statement");
    add("straggler-scan", po::bool_switch(&o.stragglerScans), "a self-join of the items instead of pg_sleep");
    add("own-reads", po::value(&o.ownReads)->default_value(o.ownReads), "share of point reads of the own counter");
    add("closed", po::bool_switch(&o.closedLoop), "closed loop: the next request follows the answer");
    add("pipeline", po::value(&o.pipeline)->default_value(1), "requests in flight on a connection, closed loop only");
    add("protocol", po::value(&protocol)->default_value("extended"), "simple, extended or prepared");
    add("deadline-ms", po::value(&o.deadlineMs)->default_value(o.deadlineMs), "answers within it are counted");
    add("give-up", po::bool_switch(&o.giveUp), "do not send requests that waited longer than the deadline");
    add("timeout-ms", po::value(&o.timeoutMs)->default_value(o.timeoutMs), "an unanswered request ends its connection");
    return load;
}

po::options_description describeReport(load_options &o, bool &skipCheck)
{
    po::options_description report("Report");
    auto add = report.add_options();
    add("no-check", po::bool_switch(&skipCheck), "leave out the check phase");
    add("json", po::value(&o.jsonFile), "file for the report as JSON");
    add("svg", po::value(&o.svgFile), "file for a plot");
    return report;
}

/** The demand of the two deployments; rates suit stand-ins with 5 ms a statement. */
void applyProfile(const std::string &profile, load_options &o)
{
    o.durationS = 30;
    o.swing = 10;
    o.swingStartS = 10;
    o.swingEndS = 20;
    o.swingRampS = 2;
    if (profile == "cooperative") {
        // Orders and pickups, balances and delivery run planning; stand-ins: --slots 2 --connections 15
        // --connect-ms 10.
        o.rate = 60;
        o.connections = 60;
        o.weights = {30, 40, 15, 14, 1};
    } else if (profile == "association") {
        // Dues and swaps, scores and catalogue browsing; stand-ins: --slots 3 --connections 45 --connect-ms 30.
        o.rate = 100;
        o.connections = 100;
        o.weights = {20, 60, 10, 9, 1};
    } else {
        throw po::error("unknown profile: " + profile);
    }
}

void validate(load_options &o, const std::string &protocol)
{
    const auto known = queryProtocolNames.value(protocol);
    if (!known) {
        throw po::error("unknown protocol: " + protocol);
    }
    o.protocol = *known;
    if (o.addresses.empty()) {
        throw po::error("no --address");
    }
    if (o.threads < 1 || o.connections < o.threads || o.pipeline < 1 || o.rate <= 0) {
        throw po::error("threads, connections, pipeline and rate must be positive, with a connection for each thread");
    }
    if (o.pipeline > 1 && (!o.closedLoop || o.protocol == query_protocol::Simple)) {
        throw po::error("--pipeline needs --closed and the extended or prepared protocol");
    }
    if (o.checkAddress.empty()) {
        o.checkAddress = o.addresses.front();
    }
}

}

bool readLoadOptions(int argc, char **argv, load_options &options)
{
    std::string protocol;
    std::string profile;
    bool skipCheck = false;
    po::options_description all(usage);
    all.add(describeTarget(options)).add(describeLoad(options, protocol, profile));
    all.add(describeReport(options, skipCheck));
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(all).positional({}).run(), values);
    if (values.contains("help")) {
        std::cout << all << '\n';
        return false;
    }
    if (values.contains("profile")) {
        applyProfile(values["profile"].as<std::string>(), options);
    }
    po::notify(values);
    options.check = !skipCheck;
    validate(options, protocol);
    return true;
}

std::string connectionString(const load_options &options, const std::string &address, const std::string &sessionToken)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("not host:port: " + address);
    }
    auto text = "hostaddr=" + address.substr(0, colon) + " port=" + address.substr(colon + 1) + " user=" + options.user
        + " dbname=" + options.database + " sslmode=disable gssencmode=disable application_name=loadtool"
        + " connect_timeout=10";
    if (!sessionToken.empty()) {
        text += " options='-c crocusdeal.session=" + sessionToken + "'";
    }
    return text;
}

}
