#include "hickoryquay/operators/draft.h"

#include <algorithm>

#include "hickoryquay/model/json.h"
#include "hickoryquay/operators/words.h"

namespace hickoryquay::operators {

namespace {

Problem Refused(std::string message) {
  Problem problem;
  problem.m_message = std::move(message);
  return problem;
}

template <typename Names>
Problem Unknown(const std::string& kind, const std::string& name, const Names& known) {
  Problem problem;
  problem.m_kind = ProblemKind::kNotFound;
  problem.m_message = kind + " " + name + " does not exist";
  std::vector<std::string> words;
  for (const auto& [id, value] : known) words.push_back(id.m_value);
  problem.m_nearest = NearestWord(name, words).value_or("");
  if (!problem.m_nearest.empty()) problem.m_message += "; did you mean " + problem.m_nearest + "?";
  return problem;
}

// Why a thing can't be put in this mode; empty: it can.
std::string WrongMode(PutMode mode, bool exists, const std::string& what) {
  if (mode == PutMode::kCreate && exists) return what + " exists already; use change";
  if (mode == PutMode::kChange && !exists) return what + " does not exist; use create";
  return "";
}

auto FindShape(ClientAccount* account, const std::string& name) {
  auto& shapes = account->m_guarantees;
  return std::find_if(shapes.begin(), shapes.end(), [&](const GuaranteedShape& shape) { return shape.m_name == name; });
}

bool RunsIn(const Market& market, const DomainId& domain) {
  return std::find(market.m_domains.begin(), market.m_domains.end(), domain) != market.m_domains.end();
}

bool HasTwins(std::vector<DomainId> domains) {
  std::sort(domains.begin(), domains.end());
  return std::adjacent_find(domains.begin(), domains.end()) != domains.end();
}

// The first guarantee with blocks in a domain the market does not run in; empty: none.
std::string StrayGuarantee(const Market& market) {
  for (const auto& [id, account] : market.m_accounts) {
    for (const GuaranteedShape& shape : account.m_guarantees) {
      for (const auto& [domain, blocks] : shape.m_blocks_by_domain) {
        if (blocks > 0 && !RunsIn(market, domain)) {
          return "guarantee " + market.m_id.m_value + "/" + id.m_value + "/" + shape.m_name + " has blocks in " +
                 domain.m_value + ", where the market does not run; change its split";
        }
      }
    }
  }
  return "";
}

std::map<DomainId, int> FromSplit(const std::vector<DomainShare>& split) {
  std::map<DomainId, int> blocks;
  for (const DomainShare& share : split) blocks[share.m_domain] += share.m_blocks;
  return blocks;
}

void FillGuarantee(const PutGuarantee& put, const Market& market, GuaranteedShape* shape) {
  shape->m_name = put.m_guarantee.m_shape;
  if (put.m_size.has_value()) {
    shape->m_blocks = put.m_size->m_blocks;
    shape->m_accelerators_per_block = put.m_size->m_accelerators;
    shape->m_blocks_by_domain = ApportionEvenly(shape->m_blocks, market.m_domains);
  }
  if (put.m_adjacency.has_value()) shape->m_adjacency = *put.m_adjacency;
  if (put.m_split.has_value()) shape->m_blocks_by_domain = FromSplit(*put.m_split);
}

void FillClass(const PutClass& put, ClassOfWork* work) {
  work->m_id = put.m_class.m_class;
  work->m_urgency = put.m_urgency.value_or(work->m_urgency);
  work->m_default_deadline = put.m_deadline.value_or(work->m_default_deadline);
  work->m_repeatable = put.m_repeatable.value_or(work->m_repeatable);
  work->m_checkpointable = put.m_checkpointable.value_or(work->m_checkpointable);
  work->m_preemptible = put.m_preemptible.value_or(work->m_preemptible);
}

}  // namespace

std::map<DomainId, int> ApportionEvenly(int blocks, const std::vector<DomainId>& domains) {
  std::map<DomainId, int> shares;
  if (domains.empty()) return shares;
  const int count = static_cast<int>(domains.size());
  for (int i = 0; i < count; ++i) {
    const int share = blocks / count + (i < blocks % count ? 1 : 0);
    if (share > 0) shares[domains[static_cast<std::size_t>(i)]] = share;
  }
  return shares;
}

Result<Done, Problem> Draft::Apply(const MarketChange& change) {
  return std::visit([this](const auto& put) { return Put(put); }, change);
}

Result<Done, Problem> Draft::Expect(const ExpectVersion& expect) const {
  const Version found = BaseVersion(expect.m_market);
  if (found == expect.m_version) return Done{};
  return FromChange(VersionConflict{expect.m_market, expect.m_version, found});
}

Result<Done, Problem> Draft::PutDocument(const Market& document) {
  return Store(document);
}

std::vector<StagedMarket> Draft::Staged() const {
  std::vector<StagedMarket> staged;
  for (const auto& [id, document] : m_changed) {
    const Version expected = BaseVersion(id);
    if (!document.has_value() && expected == Version{}) continue;  // Created and dropped in the same draft.
    staged.push_back({id, expected, document});
  }
  return staged;
}

Draft::Applied Draft::Put(const PutMarket& put) {
  const Market* found = Find(put.m_market);
  std::string wrong = WrongMode(put.m_mode, found != nullptr, "market " + put.m_market.m_value);
  if (!wrong.empty()) return Refused(std::move(wrong));
  if (found == nullptr && !put.m_domains.has_value()) return Refused("a new market needs domains");
  Market market = found == nullptr ? Market{} : *found;
  market.m_id = put.m_market;
  market.m_domains = put.m_domains.value_or(market.m_domains);
  market.m_completion_weight = put.m_weight.value_or(market.m_completion_weight);
  return Store(std::move(market));
}

Draft::Applied Draft::Put(const PutAccount& put) {
  const Market* found = Find(put.m_account.m_market);
  if (found == nullptr) return Unknown("market", put.m_account.m_market.m_value, m_base->m_markets);
  const bool exists = found->FindAccount(put.m_account.m_account) != nullptr;
  std::string wrong = WrongMode(put.m_mode, exists, "account " + put.m_account.m_account.m_value);
  if (!wrong.empty()) return Refused(std::move(wrong));
  Market market = *found;
  ClientAccount& account = market.m_accounts[put.m_account.m_account];
  account.m_id = put.m_account.m_account;
  account.m_max_accelerators = put.m_accelerators.value_or(account.m_max_accelerators);
  account.m_max_waiting_jobs = put.m_waiting.value_or(account.m_max_waiting_jobs);
  return Store(std::move(market));
}

Draft::Applied Draft::Put(const PutGuarantee& put) {
  const Market* found = Find(put.m_guarantee.m_market);
  if (found == nullptr) return Unknown("market", put.m_guarantee.m_market.m_value, m_base->m_markets);
  Market market = *found;
  const auto account = market.m_accounts.find(put.m_guarantee.m_account);
  if (account == market.m_accounts.end()) {
    return Unknown("account", put.m_guarantee.m_account.m_value, market.m_accounts);
  }
  auto shape = FindShape(&account->second, put.m_guarantee.m_shape);
  const bool exists = shape != account->second.m_guarantees.end();
  std::string wrong = WrongMode(put.m_mode, exists, "guarantee " + put.m_guarantee.m_shape);
  if (!wrong.empty()) return Refused(std::move(wrong));
  if (!exists && !put.m_size.has_value()) return Refused("a new guarantee needs blocks COUNT of ACCELERATORS");
  if (!exists) shape = account->second.m_guarantees.emplace(shape);
  FillGuarantee(put, market, &*shape);
  return Store(std::move(market));
}

Draft::Applied Draft::Put(const PutClass& put) {
  const Market* found = Find(put.m_class.m_market);
  if (found == nullptr) return Unknown("market", put.m_class.m_market.m_value, m_base->m_markets);
  const bool exists = found->FindClass(put.m_class.m_class) != nullptr;
  std::string wrong = WrongMode(put.m_mode, exists, "class " + put.m_class.m_class.m_value);
  if (!wrong.empty()) return Refused(std::move(wrong));
  Market market = *found;
  FillClass(put, &market.m_classes[put.m_class.m_class]);
  return Store(std::move(market));
}

Draft::Applied Draft::Put(const Drop& drop) {
  return std::visit([this](const auto& target) { return DropOne(target); }, drop.m_target);
}

Draft::Applied Draft::DropOne(const MarketId& market) {
  if (Find(market) == nullptr) return Unknown("market", market.m_value, m_base->m_markets);
  m_changed[market] = std::nullopt;
  return Done{};
}

Draft::Applied Draft::DropOne(const AccountPath& account) {
  const Market* found = Find(account.m_market);
  if (found == nullptr) return Unknown("market", account.m_market.m_value, m_base->m_markets);
  Market market = *found;
  if (market.m_accounts.erase(account.m_account) == 0) {
    return Unknown("account", account.m_account.m_value, market.m_accounts);
  }
  return Store(std::move(market));
}

Draft::Applied Draft::DropOne(const GuaranteePath& guarantee) {
  const Market* found = Find(guarantee.m_market);
  if (found == nullptr) return Unknown("market", guarantee.m_market.m_value, m_base->m_markets);
  Market market = *found;
  const auto account = market.m_accounts.find(guarantee.m_account);
  if (account == market.m_accounts.end()) {
    return Unknown("account", guarantee.m_account.m_value, market.m_accounts);
  }
  const auto shape = FindShape(&account->second, guarantee.m_shape);
  if (shape == account->second.m_guarantees.end()) {
    return Unknown("guarantee", guarantee.m_shape, std::map<ClassId, int>{});
  }
  account->second.m_guarantees.erase(shape);
  return Store(std::move(market));
}

Draft::Applied Draft::DropOne(const ClassPath& work) {
  const Market* found = Find(work.m_market);
  if (found == nullptr) return Unknown("market", work.m_market.m_value, m_base->m_markets);
  Market market = *found;
  if (market.m_classes.erase(work.m_class) == 0) return Unknown("class", work.m_class.m_value, market.m_classes);
  return Store(std::move(market));
}

Draft::Applied Draft::Store(Market market) {
  if (market.m_domains.empty()) return Refused("market " + market.m_id.m_value + " has no failure domain");
  if (HasTwins(market.m_domains)) return Refused("market " + market.m_id.m_value + " names a failure domain twice");
  std::string stray = StrayGuarantee(market);
  if (!stray.empty()) return Refused(std::move(stray));
  const auto checked = ParseMarket(ToJson(market));
  if (!Ok(checked)) return Refused(ErrorOf(checked).m_field + " " + ErrorOf(checked).m_message);
  const MarketId id = market.m_id;
  m_changed[id] = std::move(market);
  return Done{};
}

const Market* Draft::Find(const MarketId& market) const {
  const auto changed = m_changed.find(market);
  if (changed == m_changed.end()) return m_base->FindMarket(market);
  return changed->second.has_value() ? &*changed->second : nullptr;
}

Version Draft::BaseVersion(const MarketId& market) const {
  const Market* found = m_base->FindMarket(market);
  return found == nullptr ? Version{} : found->m_version;
}

}  // namespace hickoryquay::operators
