#include "gateway/event_parser.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>
#include <vector>

namespace cardamom {

class event_parser_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(event_parser_test);
  CPPUNIT_TEST(parsesFieldsAtAnySplit);
  CPPUNIT_TEST(dropsIncompleteEvent);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against events that are merged or lost when a read ends inside an
  // event. The stream is fed in random chunks of 1 to 7 bytes.
  void parsesFieldsAtAnySplit() {
    const std::string Stream = "id: 1\ndata: a b\n\nversion: 7\nid: 2\r\n"
                               "data: c\r\ndata:d\r\n\r\n: comment\n\n"
                               "id: 3\ndata: \n\n";
    for (unsigned Seed = 0; Seed < 200; ++Seed) {
      std::mt19937 Random(Seed);
      std::vector<stream_event> Events;
      event_parser Parser("version", [&](const stream_event &Event) {
        Events.push_back(Event);
      });
      for (size_t Offset = 0; Offset < Stream.size();) {
        const size_t ChunkSize = 1 + Random() % 7;
        Parser.feed(std::string_view(Stream).substr(Offset, ChunkSize));
        Offset += ChunkSize;
      }
      CPPUNIT_ASSERT_EQUAL(size_t(3), Events.size());
      CPPUNIT_ASSERT_EQUAL(std::string("a b"), Events[0].Data);
      CPPUNIT_ASSERT(!Events[0].Version);
      CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a b\n\n"), Events[0].Raw);
      CPPUNIT_ASSERT_EQUAL(std::string("c\nd"), Events[1].Data);
      CPPUNIT_ASSERT_EQUAL(uint64_t(7), *Events[1].Version);
      CPPUNIT_ASSERT_EQUAL(uint64_t(3), *Events[2].Id);
      CPPUNIT_ASSERT(Parser.atBoundary());
    }
  }

  void dropsIncompleteEvent() {
    unsigned Events = 0;
    event_parser Parser("version",
                        [&](const stream_event & /*Event*/) { ++Events; });
    Parser.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
    CPPUNIT_ASSERT_EQUAL(1U, Events);
    CPPUNIT_ASSERT(!Parser.atBoundary());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(event_parser_test, "event_parser_test");

} // namespace cardamom
