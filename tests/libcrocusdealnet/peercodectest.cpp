#include "peercodec.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace crocusdeal;

namespace
{

std::string shortText()
{
    return *rc::gen::resize(40, rc::gen::arbitrary<std::string>());
}

peer_datagram anyDatagram()
{
    peer_datagram datagram;
    datagram.kind = static_cast<datagram_kind>(*rc::gen::inRange(0, 5));
    datagram.sequence = *rc::gen::arbitrary<std::uint32_t>();
    datagram.from = instance_id(shortText());
    datagram.fromIncarnation = *rc::gen::arbitrary<std::uint32_t>();
    datagram.fromState = static_cast<member_state>(*rc::gen::inRange(0, 4));
    datagram.to = instance_id(shortText());
    datagram.configurationVersion = *rc::gen::arbitrary<std::uint64_t>();
    datagram.needsDescription = *rc::gen::arbitrary<bool>();
    datagram.subjectAddress = shortText();
    const auto members = *rc::gen::inRange(0, 7);
    for (int i = 0; i < members; ++i) {
        member_fact fact;
        fact.about = instance_id(shortText());
        fact.state = static_cast<member_state>(*rc::gen::inRange(0, 4));
        if (*rc::gen::arbitrary<bool>()) {
            fact.description = std::make_shared<const member_description>(
                member_description{fact.about, data_centre_id(shortText()), shortText(), shortText(), shortText()});
        }
        datagram.members.push_back(fact);
    }
    datagram.wantedGroups = *rc::gen::resize(24, rc::gen::arbitrary<std::vector<std::uint32_t>>());
    const auto databases = *rc::gen::inRange(0, 7);
    for (int i = 0; i < databases; ++i) {
        database_fact fact;
        fact.group = group_id(shortText());
        fact.target = target_id(shortText());
        fact.status.term = *rc::gen::arbitrary<std::uint64_t>();
        fact.status.role = static_cast<target_role>(*rc::gen::inRange(0, 3));
        fact.status.at = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
        fact.status.connections = *rc::gen::inRange(0, 65536);
        fact.status.following = shortText();
        if (*rc::gen::arbitrary<bool>()) {
            fact.age = duration{*rc::gen::inRange(0, 1'000'000)};
        }
        datagram.databases.push_back(fact);
    }
    return datagram;
}

}

class peer_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_codec_test);
    CPPUNIT_TEST(roundTripKeepsEveryField);
    CPPUNIT_TEST(arbitraryBytesAreRefusedOrRead);
    CPPUNIT_TEST(damagedDatagramsDoNoHarm);
    CPPUNIT_TEST(otherVersionIsRefused);
    CPPUNIT_TEST(framesRoundTrip);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Guards against a field that is written but not read, and against a datagram above the size limit. */
    void roundTripKeepsEveryField()
    {
        const bool held = rc::check([] {
            const auto sent = anyDatagram();
            const auto bytes = encodeDatagram(sent);
            RC_ASSERT(bytes.size() <= maxDatagramBytes);
            const auto read = decodeDatagram(bytes);
            RC_ASSERT(read.has_value());
            RC_ASSERT(read->from == sent.from);
            RC_ASSERT(read->fromState == sent.fromState);
            RC_ASSERT(read->needsDescription == sent.needsDescription);
            RC_ASSERT(read->wantedGroups == sent.wantedGroups);
            RC_ASSERT(read->members.size() <= sent.members.size());
            RC_ASSERT(read->databases.size() <= sent.databases.size());
            for (std::size_t i = 0; i < read->members.size(); ++i) {
                RC_ASSERT(read->members[i].about == sent.members[i].about);
                RC_ASSERT(read->members[i].state == sent.members[i].state);
                const bool described = sent.members[i].description != nullptr;
                RC_ASSERT((read->members[i].description != nullptr) == described);
                if (described) {
                    RC_ASSERT(*read->members[i].description == *sent.members[i].description);
                }
            }
            for (std::size_t i = 0; i < read->databases.size(); ++i) {
                RC_ASSERT(read->databases[i].status == sent.databases[i].status);
                RC_ASSERT(read->databases[i].age == sent.databases[i].age);
            }
            RC_ASSERT(encodeDatagram(*read) == bytes);
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against reads past the end, unbounded allocation and undefined enumerators on hostile input. */
    void arbitraryBytesAreRefusedOrRead()
    {
        const bool held = rc::check([](std::string bytes) {
            bytes.insert(0, 1, static_cast<char>(peerProtocolVersion));
            decodeDatagram(bytes);
            decodeTable(bytes);
            decodeHeldVersions(bytes);
            decodeConfigurationReply(bytes);
            decodeRequest(bytes);
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against a crash on a datagram that is cut short or damaged on the way. */
    void damagedDatagramsDoNoHarm()
    {
        const bool held = rc::check([] {
            auto bytes = encodeDatagram(anyDatagram());
            const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
            RC_ASSERT(!decodeDatagram(std::string_view(bytes).substr(0, cut)).has_value());
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            const auto read = decodeDatagram(bytes);
            RC_ASSERT(!read || read->members.size() <= maxFactsPerDatagram);
        });
        CPPUNIT_ASSERT(held);
    }

    /** Guards against misreading the datagrams of another software version, and against refusing appended fields. */
    void otherVersionIsRefused()
    {
        peer_datagram datagram;
        datagram.from = instance_id("a");
        auto bytes = encodeDatagram(datagram);
        CPPUNIT_ASSERT(decodeDatagram(bytes + "later field").has_value());
        bytes.front() = static_cast<char>(peerProtocolVersion + 1);
        CPPUNIT_ASSERT(!decodeDatagram(bytes).has_value());
        CPPUNIT_ASSERT(!decodeDatagram("").has_value());
    }

    /** Guards against a megabyte of configuration that does not fit its frame. */
    void framesRoundTrip()
    {
        configuration_reply reply;
        reply.version = 3;
        reply.hash = 4;
        reply.baseVersion = 2;
        reply.changes.push_back({2, 3, 10, 20, "middle"});
        reply.text = std::string(1 << 20, 'x');
        const auto bytes = encodeConfigurationReply(reply);
        CPPUNIT_ASSERT(bytes.size() <= maxPeerFrameBytes);
        const auto read = decodeConfigurationReply(bytes);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(reply.text, read->text);
        CPPUNIT_ASSERT_EQUAL(reply.changes[0].middle, read->changes[0].middle);
        const auto held = decodeHeldVersions(encodeHeldVersions({7, 5, 2}));
        CPPUNIT_ASSERT(held == std::vector<std::uint64_t>({7, 5, 2}));
        const auto request = decodeRequest(encodeRequest({instance_id("a"), "bytes"}));
        CPPUNIT_ASSERT_EQUAL(std::string("bytes"), request->bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_codec_test);
