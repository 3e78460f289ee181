#include "hickoryquay/routing/claim_sweeper.h"

#include <atomic>
#include <optional>

#include "hickoryquay/routing/claims.h"

namespace hickoryquay::routing {

using store::Page;
using store::Row;
using store::TableError;

namespace {

constexpr const char* kPrefix = "claim/";

}  // namespace

class ClaimSweeper::Impl : public std::enable_shared_from_this<ClaimSweeper::Impl> {
 public:
  Impl(store::Table* table, const Clock* clock, const SweepSettings& settings)
      : m_table(table), m_clock(clock), m_settings(settings) {}

  // Reads the next page, unless the last step is still under way.
  void Step() {
    if (m_busy.exchange(true)) return;
    m_table->Scan(kPrefix, m_after, m_settings.m_page_rows,
                  [self = shared_from_this()](const Result<Page, TableError>& result) { self->OnPage(result); });
  }

 private:
  void OnPage(const Result<Page, TableError>& result) {
    if (!Ok(result)) return End();
    const Page& page = ValueOf(result);
    m_after = page.m_more && !page.m_rows.empty() ? page.m_rows.back().m_key : "";
    store::Commit commit;
    for (const Row& row : page.m_rows) {
      if (!Expired(row)) continue;
      commit.m_checks.push_back({row.m_key, row.m_version});
      commit.m_writes.push_back({row.m_key, std::nullopt});
    }
    if (commit.m_writes.empty()) return End();
    // A conflict or a lost answer leaves the rest to the next round.
    m_table->Submit(std::move(commit), [self = shared_from_this()](const auto&) { self->End(); });
  }

  bool Expired(const Row& row) const {
    const std::optional<ClaimRow> claim = ParseClaimRow(row.m_value);
    return claim && m_clock->Wall() - claim->m_at > m_settings.m_retention;
  }

  void End() { m_busy = false; }

  store::Table* m_table;
  const Clock* m_clock;
  const SweepSettings m_settings;
  std::atomic<bool> m_busy{false};  // Guards m_after: only the one who set it goes on.
  std::string m_after;
};

ClaimSweeper::ClaimSweeper(store::Table* table, TimerService* timers, const Clock* clock, const SweepSettings& settings)
    : m_impl(std::make_shared<Impl>(table, clock, settings)),
      m_timer(timers->Every(settings.m_page_every, [impl = m_impl] { impl->Step(); })) {}

ClaimSweeper::~ClaimSweeper() = default;

}  // namespace hickoryquay::routing
