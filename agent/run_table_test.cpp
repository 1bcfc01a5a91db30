#include "agent/run_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

class run_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(run_table_test);
  CPPUNIT_TEST(readsFromOffsetAfterAttach);
  CPPUNIT_TEST(dropsOldestResponseAtByteLimit);
  CPPUNIT_TEST(longResponseNeedsReader);
  CPPUNIT_TEST(listsOrphansAndSamples);
  CPPUNIT_TEST(refusedRequestMayBeRetried);
  CPPUNIT_TEST(keepsKeyedResponseAfterAcknowledgement);
  CPPUNIT_TEST(stopDoesNotWaitForSamplesThatWereRead);
  CPPUNIT_TEST(textAndVersionSpansAgree);
  CPPUNIT_TEST_SUITE_END();

  static void complete(run_table &Table, std::string_view Id,
                       std::string_view Response, time_point Now = {}) {
    Table.insert({.RequestId = std::string(Id), .Idempotent = true}, Now);
    CPPUNIT_ASSERT(Table.start(Id));
    CPPUNIT_ASSERT(Table.append(Id, Response) == append_result::Ok);
    CPPUNIT_ASSERT(Table.finish(Id, {}, Now));
  }

public:
  // Guards against lost or repeated bytes when an entry reconnects.
  void readsFromOffsetAfterAttach() {
    run_table Table({});
    complete(Table, "a", "0123456789");
    const uint64_t Old = *Table.attach("a", {});
    const uint64_t ReaderId = *Table.attach("a", {});
    run_cursor Cursor{.Offset = 4};
    CPPUNIT_ASSERT(Table.read("a", Old, Cursor, 3).State ==
                   run_chunk::state::Detached);
    run_chunk Chunk = Table.read("a", ReaderId, Cursor, 3);
    CPPUNIT_ASSERT_EQUAL(uint64_t(4), Chunk.Offset);
    CPPUNIT_ASSERT_EQUAL(std::string("456"), Chunk.Bytes);
    CPPUNIT_ASSERT(!Chunk.End.has_value());
    Chunk = Table.read("a", ReaderId, Cursor, 100);
    CPPUNIT_ASSERT_EQUAL(std::string("789"), Chunk.Bytes);
    CPPUNIT_ASSERT_EQUAL(uint64_t(10), Chunk.End->answer_bytes());
  }

  // Guards against unbounded memory when entries do not acknowledge responses.
  void dropsOldestResponseAtByteLimit() {
    run_table Table({.MaxTotalResponseBytes = 20});
    complete(Table, "a", "0123456789");
    complete(Table, "b", "0123456789");
    complete(Table, "c", "0");
    CPPUNIT_ASSERT(Table.query("a") == wire::FINISHED_ANSWER_GONE);
    CPPUNIT_ASSERT(Table.query("b") == wire::FINISHED);
    CPPUNIT_ASSERT_EQUAL(size_t(11), Table.responseBytes());
    run_cursor Cursor;
    const run_chunk Chunk =
        Table.read("a", *Table.attach("a", {}), Cursor, 100);
    CPPUNIT_ASSERT(Chunk.End->code() == wire::ANSWER_GONE);
  }

  // Guards against truncating a response because it is longer than the limit,
  // and against a response with a gap for a reader that attaches too late.
  void longResponseNeedsReader() {
    run_table Table({.MaxResponseBytes = 10});
    Table.insert({.RequestId = "a"}, {});
    Table.start("a");
    uint64_t ReaderId = *Table.attach("a", {});
    run_cursor Cursor;
    CPPUNIT_ASSERT(Table.append("a", "0123456789") == append_result::Ok);
    CPPUNIT_ASSERT(Table.append("a", "x") == append_result::Full);
    Table.read("a", ReaderId, Cursor, 5);
    CPPUNIT_ASSERT(Table.append("a", "abcde") == append_result::Ok);
    CPPUNIT_ASSERT_EQUAL(std::string("56789abcde"),
                         Table.read("a", ReaderId, Cursor, 100).Bytes);
    ReaderId = *Table.attach("a", {});
    Cursor = {};
    CPPUNIT_ASSERT(Table.read("a", ReaderId, Cursor, 100).End->code() ==
                   wire::ANSWER_GONE);
  }

  // Guards against engines that generate for callers that are gone, and against
  // samples that a new step owner cannot find.
  void listsOrphansAndSamples() {
    run_table Table({});
    const time_point Start;
    Table.insert({.RequestId = "a", .Idempotent = true, .Sample = "t/1/0/0"},
                 Start);
    Table.insert({.RequestId = "b", .Sample = "t/10/0/0"}, Start);
    CPPUNIT_ASSERT(Table.orphans(Start + milliseconds(29999)).empty());
    CPPUNIT_ASSERT(Table.orphans(Start + milliseconds(30000)) ==
                   std::vector<std::string>{"a"});
    Table.attach("a", Start);
    CPPUNIT_ASSERT(Table.orphans(Start + milliseconds(60000)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t(1), Table.listBySample("t/1/").size());
    CPPUNIT_ASSERT_EQUAL(size_t(2), Table.listBySample("t/").size());
  }

  // Guards against a request that can never run after it was refused during a
  // temporary overload.
  void refusedRequestMayBeRetried() {
    run_table Table({});
    const auto Insert = [&](uint32_t Attempt) {
      return Table.insert({.RequestId = "a", .Attempt = Attempt}, {});
    };
    CPPUNIT_ASSERT(Insert(0) == insert_result::Inserted);
    wire::run_end End;
    End.set_code(wire::REFUSED);
    Table.finish("a", End, {});
    CPPUNIT_ASSERT(Insert(0) == insert_result::Known);
    CPPUNIT_ASSERT(Insert(1) == insert_result::Inserted);
    CPPUNIT_ASSERT(Table.start("a"));
    Table.finish("a", {}, {});
    CPPUNIT_ASSERT(Insert(2) == insert_result::Known);
  }

  // Guards against an error for a caller that repeats a request with an
  // idempotency key, such as a deposit, after the response was received and
  // acknowledged.
  void keepsKeyedResponseAfterAcknowledgement() {
    run_table Table({});
    Table.insert({.RequestId = "k", .HasIdempotencyKey = true}, {});
    Table.start("k");
    Table.append("k", "receipt");
    Table.finish("k", {}, {});
    CPPUNIT_ASSERT_EQUAL(size_t(1), Table.unacknowledgedCount());
    Table.acknowledge("k", {});
    CPPUNIT_ASSERT_EQUAL(size_t(0), Table.unacknowledgedCount());
    run_cursor Cursor;
    const uint64_t ReaderId = *Table.attach("k", {});
    CPPUNIT_ASSERT_EQUAL(std::string("receipt"),
                         Table.read("k", ReaderId, Cursor, 100).Bytes);
  }

  // Guards against a graceful stop that waits until the trainer's next draw
  // acknowledges the samples.
  void stopDoesNotWaitForSamplesThatWereRead() {
    run_table Table({});
    Table.insert({.RequestId = "s", .Idempotent = true, .Sample = "t/1/0/0"},
                 {});
    Table.start("s");
    Table.append("s", "text");
    Table.finish("s", {}, {});
    CPPUNIT_ASSERT_EQUAL(size_t(1), Table.unacknowledgedCount());
    run_cursor Cursor;
    Table.read("s", *Table.attach("s", {}), Cursor, 100);
    CPPUNIT_ASSERT_EQUAL(size_t(0), Table.unacknowledgedCount());
  }

  // Guards against a partial response with a token that no span covers. A
  // sample that is resumed from it would get wrong versions.
  void textAndVersionSpansAgree() {
    run_table Table({.MaxResponseBytes = 4});
    Table.insert({.RequestId = "a", .Idempotent = true}, {});
    Table.start("a");
    CPPUNIT_ASSERT(Table.append("a", "abc", 7) == append_result::Ok);
    CPPUNIT_ASSERT(Table.append("a", "def", 7) == append_result::Full);
    Table.finish("a", {}, {});
    CPPUNIT_ASSERT(Table.append("a", "d", 7) == append_result::Ended);
    const wire::run_end End = *Table.findEnd("a");
    CPPUNIT_ASSERT_EQUAL(uint64_t(3), End.answer_bytes());
    CPPUNIT_ASSERT_EQUAL(1, End.spans_size());
    CPPUNIT_ASSERT_EQUAL(1U, End.spans(0).tokens());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(run_table_test, "run_table_test");

} // namespace cardamom
