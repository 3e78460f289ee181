#include "hickoryquay/store/version_times.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hickoryquay::store {
namespace {

class VersionTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VersionTimesTest);
  CPPUNIT_TEST(AnswerThatLeavesAWriteOutIsOld);
  CPPUNIT_TEST(AnswerGivenWhileAWriteIsUnderWayIsNot);
  CPPUNIT_TEST(FeedThatWasBehindCatchesUp);
  CPPUNIT_TEST(FeedBehindAllKeptWritesIsOld);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_times = {};
    m_times.Add(Version{10}, Instant{1'000}, Instant{1'010});
    m_times.Add(Version{20}, Instant{1'400}, Instant{1'410});
    m_times.Add(Version{30}, Instant{1'800}, Instant{1'810});
  }

  // Guards against a view that looks recent while its feed is answered in time and leaves changes out.
  void AnswerThatLeavesAWriteOutIsOld() {
    CPPUNIT_ASSERT(m_times.CompleteAt(Version{12}, Instant{1'900}) == Instant{1'000});
    CPPUNIT_ASSERT(m_times.CompleteAt(Version{20}, Instant{1'900}) == Instant{1'400});
  }

  void AnswerGivenWhileAWriteIsUnderWayIsNot() {
    CPPUNIT_ASSERT(m_times.CompleteAt(Version{25}, Instant{1'805}) == Instant{1'805});
    CPPUNIT_ASSERT(m_times.CompleteAt(Version{12}, Instant{1'200}) == Instant{1'200});
    CPPUNIT_ASSERT(VersionTimes().CompleteAt(Version{12}, Instant{1'200}) == Instant{1'200});
  }

  void FeedThatWasBehindCatchesUp() {
    CPPUNIT_ASSERT(m_times.CompleteAt(Version{30}, Instant{1'900}) == Instant{1'900});
    CPPUNIT_ASSERT(m_times.CompleteAt(Version{31}, Instant{2'500}) == Instant{2'500});
  }

  void FeedBehindAllKeptWritesIsOld() { CPPUNIT_ASSERT(!m_times.CompleteAt(Version{9}, Instant{1'900})); }

 private:
  VersionTimes m_times;
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionTimesTest);

}  // namespace
}  // namespace hickoryquay::store
