#include "base/json_text.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace cardamom {

class json_text_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(json_text_test);
  CPPUNIT_TEST(anyBytesCanBeWritten);
  CPPUNIT_TEST(textStaysAsItIs);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an exception for each string that quotes a caller's bytes.
  void anyBytesCanBeWritten() {
    for (const std::string_view Bytes :
         {std::string_view("\xff"), std::string_view("a\xc3"),
          std::string_view("\xed\xa0\x80"), std::string_view("\xc0\xaf"),
          std::string_view("\xf4\x90\x80\x80")}) {
      CPPUNIT_ASSERT(!isUtf8(Bytes));
      const std::string Text = toJsonText({{"error", Bytes}});
      CPPUNIT_ASSERT(nlohmann::json::accept(Text));
      CPPUNIT_ASSERT(Text.find("\xef\xbf\xbd") != std::string::npos);
    }
  }

  // Guards against a document that another process reads differently.
  void textStaysAsItIs() {
    using namespace std::string_view_literals;
    for (const std::string_view Plain :
         {""sv, "a \"b\" \\ \n"sv, "\0\x01\x7f"sv,
          "\xc3\xa9\xf0\x9f\x8c\xb6"sv}) {
      CPPUNIT_ASSERT(isUtf8(Plain));
      CPPUNIT_ASSERT_EQUAL(
          std::string(Plain),
          nlohmann::json::parse(toJsonText(Plain)).get<std::string>());
    }
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":[1,null]})"),
                         toJsonText({{"a", {1, nullptr}}}));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(json_text_test, "json_text_test");

} // namespace cardamom
