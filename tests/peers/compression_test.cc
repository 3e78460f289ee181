#include "hickoryquay/peers/compression.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/property.h"

namespace hickoryquay::peers {
namespace {

constexpr std::size_t kMaxBytes = 1'000'000;

class CompressionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompressionTest);
  CPPUNIT_TEST(TextsRoundTrip);
  CPPUNIT_TEST(BytesFromOthersNeverThrow);
  CPPUNIT_TEST(TruncatedBytesAreAnError);
  CPPUNIT_TEST(TextOverTheLimitIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TextsRoundTrip() {
    test::CheckProperty("a text comes back", [](const std::string& text) {
      const auto back = Decompress(Compress(text), kMaxBytes);
      RC_ASSERT(Ok(back));
      RC_ASSERT(ValueOf(back) == text);
    });
  }

  void BytesFromOthersNeverThrow() {
    test::CheckProperty("arbitrary bytes give a text or an error",
                        [](const std::string& bytes) { Decompress(bytes, kMaxBytes); });
  }

  void TruncatedBytesAreAnError() {
    const std::string bytes = Compress(std::string(10'000, 'a') + "b");
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(!Ok(Decompress(std::string_view(bytes).substr(0, size), kMaxBytes)));
    }
  }

  // Its announced size is looked at, so that a few bytes can't take all memory.
  void TextOverTheLimitIsRefused() {
    CPPUNIT_ASSERT(Ok(Decompress(Compress(std::string(kMaxBytes, 'a')), kMaxBytes)));
    CPPUNIT_ASSERT(!Ok(Decompress(Compress(std::string(kMaxBytes + 1, 'a')), kMaxBytes)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);

}  // namespace
}  // namespace hickoryquay::peers
