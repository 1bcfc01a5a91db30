#include "base/percent_encoding.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cardamom {

class percent_encoding_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(percent_encoding_test);
  CPPUNIT_TEST(decodesWhatItEncodes);
  CPPUNIT_TEST(leavesOtherPercentSigns);
  CPPUNIT_TEST_SUITE_END();

public:
  void decodesWhatItEncodes() {
    std::string AllBytes;
    for (int Byte = 0; Byte < 256; ++Byte)
      AllBytes += char(Byte);
    CPPUNIT_ASSERT_EQUAL(AllBytes, percentDecode(percentEncode(AllBytes)));
    CPPUNIT_ASSERT_EQUAL(std::string("a%2Fb%20%C3%A9-._~"),
                         percentEncode("a/b \xc3\xa9-._~"));
  }

  void leavesOtherPercentSigns() {
    for (const char *Text : {"%", "%4", "%4g", "%%", "100% +"})
      CPPUNIT_ASSERT_EQUAL(std::string(Text), percentDecode(Text));
    CPPUNIT_ASSERT_EQUAL(std::string("%A"), percentDecode("%%41"));
    CPPUNIT_ASSERT_EQUAL(std::string("Aj"), percentDecode("%41%6a"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(percent_encoding_test,
                                      "percent_encoding_test");

} // namespace cardamom
