// Draft: the configuration as it would be after some changes. Nothing is written.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hickoryquay/base/result.h"
#include "hickoryquay/operators/backend.h"
#include "hickoryquay/operators/problem.h"
#include "hickoryquay/operators/statement.h"

namespace hickoryquay::operators {

// Spreads blocks evenly over domains; the first ones get what is left over.
std::map<DomainId, int> ApportionEvenly(int blocks, const std::vector<DomainId>& domains);

// Not thread-safe; one per transaction.
class Draft {
 public:
  explicit Draft(std::shared_ptr<const Configuration> base) : m_base(std::move(base)) {}

  // Changes nothing on an error.
  Result<Done, Problem> Apply(const MarketChange& change);
  Result<Done, Problem> Expect(const ExpectVersion& expect) const;

  // Whole documents, as the resource paths of the admin API put them.
  Result<Done, Problem> PutDocument(const Market& document);

  // What has to be committed, with the versions of the base.
  std::vector<StagedMarket> Staged() const;

 private:
  using Applied = Result<Done, Problem>;

  Applied Put(const PutMarket& put);
  Applied Put(const PutAccount& put);
  Applied Put(const PutGuarantee& put);
  Applied Put(const PutClass& put);
  Applied Put(const Drop& drop);
  Applied DropOne(const MarketId& market);
  Applied DropOne(const AccountPath& account);
  Applied DropOne(const GuaranteePath& guarantee);
  Applied DropOne(const ClassPath& work);

  Applied Store(Market market);  // Checks the document by the model's own rules, then keeps it.
  const Market* Find(const MarketId& market) const;
  Version BaseVersion(const MarketId& market) const;

  std::shared_ptr<const Configuration> m_base;
  std::map<MarketId, std::optional<Market>> m_changed;  // Empty: dropped.
};

}  // namespace hickoryquay::operators
