// Versions of the configuration that an instance gets from the store and from peers.

#include <cppunit/extensions/HelperMacros.h>

#include "hickoryquay/service/queue_documents.h"

namespace hickoryquay::service {
namespace {

// A document "VERSION KEY" has one client account with this key.
std::variant<jobs::QueueConfiguration, std::string> ReadDocument(std::string_view text) {
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) return std::string("not a document");
  jobs::QueueConfiguration configuration;
  configuration.m_version = std::stoi(std::string(text.substr(0, space)));
  configuration.m_accounts = {{AccountId{"account"}, {std::string(text.substr(space + 1))}, 0}};
  return configuration;
}

class DocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocumentsTest);
  CPPUNIT_TEST(WithdrawnKeyIsNotUsedAgain);
  CPPUNIT_TEST(WithdrawnKeyOfAStalePeerIsDroppedAfterARestart);
  CPPUNIT_TEST(UnreadableDocumentKeepsTheCurrentOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Restart(); }

  void WithdrawnKeyIsNotUsedAgain() {
    m_documents->Take("5 old", "store");
    m_documents->Take("6 new", "store");
    OfferOfPeer(5, "5 old");
    OfferOfPeer(7, "5 old");  // A peer that tells a wrong version.
    m_documents->Take("5 old", "store");
    CPPUNIT_ASSERT(Accepts("new"));
    CPPUNIT_ASSERT(!Accepts("old"));
  }

  // A peer that is cut off from the store still holds the earlier configuration when this instance starts again.
  void WithdrawnKeyOfAStalePeerIsDroppedAfterARestart() {
    m_documents->Take("6 new", "store");
    Restart();
    OfferOfPeer(5, "5 old");
    m_documents->Take("6 new", "store");
    OfferOfPeer(5, "5 old");
    CPPUNIT_ASSERT(Accepts("new"));
    CPPUNIT_ASSERT(!Accepts("old"));
  }

  void UnreadableDocumentKeepsTheCurrentOne() {
    m_documents->Take("6 new", "store");
    m_documents->Take("rubbish", "store");
    OfferOfPeer(9, "");
    CPPUNIT_ASSERT(Accepts("new"));
  }

 private:
  void Restart() {
    m_current.reset();
    m_documents = std::make_unique<QueueDocuments>(
        &ReadDocument, [this](std::shared_ptr<const jobs::QueueConfiguration> newer) { m_current = std::move(newer); },
        [](const std::set<DomainId>&) {});
  }

  void OfferOfPeer(std::int64_t version, const char* text) {
    inner::wire::MarketDocument document;
    document.__set_market("queues");
    document.__set_version(version);
    document.__set_json(text);
    m_documents->Offer(document);
  }

  bool Accepts(std::string_view key) const { return m_current && m_current->FindAccountByKey(key) != nullptr; }

  std::unique_ptr<QueueDocuments> m_documents;
  std::shared_ptr<const jobs::QueueConfiguration> m_current;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentsTest);

}  // namespace
}  // namespace hickoryquay::service
