// Every example of the operators' pages is run; the settings reference names every key; opening a market touches no
// other one.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "hickoryquay/operators/columns.h"
#include "hickoryquay/operators/executor.h"
#include "hickoryquay/policy/policy.h"
#include "hickoryquay/settings/daemon_settings.h"
#include "hickoryquay/settings/node_settings.h"
#include "tests/operators/fake_backend.h"
#include "tests/property.h"

namespace hickoryquay::operators {
namespace {

std::string Source(const std::string& path) {
  const char* source = std::getenv("HQ_SOURCE");
  return std::string(source == nullptr ? "." : source) + "/" + path;
}

std::string Page(const std::string& name) {
  std::ifstream file(Source("docs/" + name));
  CPPUNIT_ASSERT_MESSAGE(name, file.good());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The fenced blocks of one language, in order.
std::vector<std::string> Blocks(const std::string& page, const std::string& language) {
  std::vector<std::string> blocks;
  const std::string fence = "\n```" + language + "\n";
  for (std::size_t at = page.find(fence); at != std::string::npos; at = page.find(fence, at)) {
    const std::size_t begin = at + fence.size();
    const std::size_t end = page.find("\n```", begin);
    blocks.push_back(page.substr(begin, end + 1 - begin));
    at = end;
  }
  CPPUNIT_ASSERT_MESSAGE(language, !blocks.empty());
  return blocks;
}

Outcome Run(Backend* backend, const std::string& text) {
  const auto script = ParseScript(text);
  CPPUNIT_ASSERT_MESSAGE(Ok(script) ? "" : text + ToString(ErrorOf(script)), Ok(script));
  Outcome result;
  RunScript(backend, ValueOf(script), {"ann", true}, {}, [&](Outcome outcome) { result = std::move(outcome); });
  return result;
}

void Succeed(Backend* backend, const std::string& text) {
  const Outcome outcome = Run(backend, text);
  CPPUNIT_ASSERT_MESSAGE(outcome.m_problem ? text + outcome.m_problem->m_message : "", !outcome.m_problem);
}

std::string Document(const test::FakeBackend& backend, const char* market) {
  const Market* found = backend.Markets()->FindMarket(MarketId(market));
  return found == nullptr ? "absent" : std::to_string(Raw(found->m_version)) + boost::json::serialize(ToJson(*found));
}

// A market as the walk-through has it before its last block, which drops the new one.
std::shared_ptr<const Market> Opened(const char* market) {
  test::FakeBackend backend;
  backend.m_accelerators = 1000;
  std::vector<std::string> blocks = Blocks(Page("opening-a-market.md"), "hq");
  blocks.pop_back();
  for (const std::string& block : blocks) Succeed(&backend, block);
  return backend.Markets()->m_markets.at(MarketId(market));
}

class DocsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocsTest);
  CPPUNIT_TEST(LanguageExamplesRun);
  CPPUNIT_TEST(LanguageErrorsAreAsShown);
  CPPUNIT_TEST(EveryColumnIsNamed);
  CPPUNIT_TEST(OpeningAMarketTouchesNoOtherDocument);
  CPPUNIT_TEST(OpeningAMarketChangesNoOtherDecision);
  CPPUNIT_TEST(SettingsReferenceIsWhole);
  CPPUNIT_TEST(NodeSettingsReferenceIsWhole);
  CPPUNIT_TEST(LogLinesOfThePageAreWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LanguageExamplesRun() {
    test::FakeBackend backend;
    backend.m_accelerators = 1000;
    WorkerRow worker;
    worker.m_worker.m_id = WorkerId("w-leicester-3");
    worker.m_state = "live";
    backend.m_collected.m_workers = {worker};
    JobRow job;
    CPPUNIT_ASSERT(ParseJobId("j-0123456789abcdef", &job.m_job.m_id));
    backend.m_collected.m_jobs = {job};
    for (const std::string& block : Blocks(Page("operator-language.md"), "hq")) Succeed(&backend, block);
    CPPUNIT_ASSERT_EQUAL(2, backend.m_commits);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, backend.m_actions.size());
  }

  void LanguageErrorsAreAsShown() {
    for (const std::string& block : Blocks(Page("operator-language.md"), "error")) {
      const std::size_t end = block.find('\n');
      const auto script = ParseScript(block.substr(0, end));
      CPPUNIT_ASSERT(!Ok(script));
      CPPUNIT_ASSERT_EQUAL(block.substr(end + 1), ToString(ErrorOf(script)) + "\n");
    }
  }

  void EveryColumnIsNamed() {
    const std::string page = Page("operator-language.md");
    for (int i = 0; i <= static_cast<int>(Subject::kChanges); ++i) {
      std::string row = std::string("| `") + ToString(Subject{i}) + "` |";
      for (const std::string& column : ColumnNames(Subject{i})) row += " " + column;
      CPPUNIT_ASSERT_MESSAGE(row, page.find(row + " |\n") != std::string::npos);
    }
  }

  void OpeningAMarketTouchesNoOtherDocument() {
    test::FakeBackend backend;
    backend.m_accelerators = 1000;
    const auto blocks = Blocks(Page("opening-a-market.md"), "hq");
    Succeed(&backend, blocks.front());
    const std::string trentmere = Document(backend, "trentmere");
    CPPUNIT_ASSERT(trentmere != "absent");
    bool opened = false;
    for (std::size_t i = 1; i < blocks.size(); ++i) {
      Succeed(&backend, blocks[i]);
      opened = opened || Document(backend, "lumenvale") != "absent";
      CPPUNIT_ASSERT_EQUAL(trentmere, Document(backend, "trentmere"));
    }
    CPPUNIT_ASSERT(opened);
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), Document(backend, "lumenvale"));
    for (const ChangeRow& change : backend.m_collected.m_changes) {
      CPPUNIT_ASSERT(change.m_market == MarketId(change.m_to == Version{1} ? "trentmere" : "lumenvale"));
    }
  }

  // Two schedulers of one of Trentmere's failure domains get the same jobs; in between, one of them also learns of
  // Lumenvale. Their decisions about Trentmere's jobs are the same, before and behind.
  void OpeningAMarketChangesNoOtherDecision() {
    const auto trentmere = Opened("trentmere");
    const auto lumenvale = Opened("lumenvale");
    test::CheckProperty("same decisions", [&] {
      policy::PolicySettings rules;
      rules.m_domain = DomainId("leicester");
      const auto alone = policy::MakePolicy(rules);
      const auto beside = policy::MakePolicy(rules);
      const auto both = [&](const policy::Event& event, Instant now) {
        const policy::Decisions expected = alone->Apply(event, now);
        RC_ASSERT(Text(beside->Apply(event, now)) == Text(expected));
        RC_ASSERT(beside->CollectStats().m_free == alone->CollectStats().m_free);
      };
      both(policy::MarketChanged{trentmere}, Instant{1});
      for (int i = 0; i < 8; ++i) both(policy::WorkerJoined{WorkerAt(i)}, Instant{2});
      const int count = *rc::gen::inRange(10, 60);
      const int opened_at = *rc::gen::inRange(0, count);
      for (int i = 0; i < count; ++i) {
        const Instant now{10 + i};
        if (i == opened_at) RC_ASSERT(beside->Apply(policy::MarketChanged{lumenvale}, now).empty());
        both(policy::JobSubmitted{JobAt(i)}, now);
      }
    });
  }

  void NodeSettingsReferenceIsWhole() {
    const std::string page = Page("OPERATIONS.md");
    std::size_t rows = 0;
    for (const std::string& key : settings::KnownNodeKeys()) {
      CPPUNIT_ASSERT_MESSAGE(key, page.find("\n| " + key + " |") != std::string::npos);
      ++rows;
    }
    std::size_t named = 0;
    for (std::size_t at = page.find("\n| ["); at != std::string::npos; at = page.find("\n| [", at + 1)) ++named;
    CPPUNIT_ASSERT_EQUAL(rows, named);
  }

  // Every log line that the page shows is one that the sources write, with all of its fields.
  void LogLinesOfThePageAreWritten() {
    std::string sources;
    for (const char* folder : {"hickoryquay/jobs", "hickoryquay/service", "hickoryquay/base"}) {
      for (const auto& file : std::filesystem::directory_iterator(Source(folder))) {
        std::ifstream in(file.path());
        sources.append(std::istreambuf_iterator<char>(in), {});
      }
    }
    std::size_t lines = 0;
    for (const std::string& block : Blocks(Page("OPERATIONS.md"), "json")) {
      std::istringstream text(block);
      for (std::string line; std::getline(text, line); ++lines) {
        const auto json = ParseJson(line);
        CPPUNIT_ASSERT_MESSAGE(line, Ok(json));
        for (const auto& field : ValueOf(json).as_object()) {
          const std::string key(field.key());
          if (key == "time" || key == "level") continue;
          const bool fixed = key == "text" || key == "part";
          const std::string literal = '"' + (fixed ? std::string(field.value().as_string()) : key) + '"';
          CPPUNIT_ASSERT_MESSAGE(literal, sources.find(literal) != std::string::npos);
        }
      }
    }
    CPPUNIT_ASSERT(lines > 0);
  }

  void SettingsReferenceIsWhole() {
    const std::string page = Page("operating.md");
    std::size_t rows = 0;
    for (const std::string& key : settings::KnownDaemonKeys()) {
      CPPUNIT_ASSERT_MESSAGE(key, page.find("\n| " + key + " |") != std::string::npos);
      ++rows;
    }
    std::size_t named = 0;
    for (std::size_t at = page.find("\n| ["); at != std::string::npos; at = page.find("\n| [", at + 1)) ++named;
    CPPUNIT_ASSERT_EQUAL(rows, named);
    std::istringstream sample(Blocks(page, "ini").front());
    const auto read = settings::ParseDaemonSettings("operating.md", sample);
    CPPUNIT_ASSERT_MESSAGE(Ok(read) ? "" : settings::ToString(ErrorOf(read)), Ok(read));
  }

 private:
  static Worker WorkerAt(int i) {
    return {WorkerId("w-" + std::to_string(i)),
            DomainId("leicester"),
            RackId("r-" + std::to_string(i / 4)),
            i / 4,
            {8, 64'000, 128 * 1024}};
  }

  static Job JobAt(int i) {
    Job job;
    job.m_id = JobId{static_cast<std::uint64_t>(i) + 1};
    job.m_spec.m_market = MarketId("trentmere");
    job.m_spec.m_account = AccountId(*rc::gen::element<std::string>("ballet", "salsa", "tap", "booking-desk"));
    job.m_spec.m_class = ClassId(*rc::gen::element<std::string>("lookup", "room-clash", "rota-rebuild"));
    job.m_spec.m_shape = {*rc::gen::inRange(1, 5), {*rc::gen::inRange(1, 9), 1000, 1024}, Adjacency::kRack};
    job.m_domain = DomainId("leicester");
    job.m_accepted = Instant{10 + i};
    return job;
  }

  static std::string Text(const policy::Decisions& decisions) {
    std::string text;
    for (const policy::Decision& decision : decisions) {
      text += std::to_string(decision.index());
      if (const auto* start = std::get_if<policy::StartGang>(&decision)) {
        text += ToString(start->m_job);
        for (const Placement& placement : start->m_placements) {
          text += " " + placement.m_worker.m_value + ":" + std::to_string(placement.m_tasks);
        }
      }
      if (const auto* stop = std::get_if<policy::StopGang>(&decision)) text += ToString(stop->m_job);
      if (const auto* refuse = std::get_if<policy::RefuseJob>(&decision))
        text += ToString(refuse->m_job) + refuse->m_why;
      text += ";";
    }
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocsTest);

}  // namespace
}  // namespace hickoryquay::operators
