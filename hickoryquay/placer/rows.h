// Rows: keys and values of the table rows for jobs, cancels and placer leases, see docs/design/state.md.
#pragma once

#include <string>
#include <string_view>

#include "hickoryquay/model/json.h"
#include "hickoryquay/model/model.h"
#include "hickoryquay/store/table.h"

namespace hickoryquay::placer {

std::string JobPrefix(const DomainId& domain);     // "job/<domain>/"
std::string CancelPrefix(const DomainId& domain);  // "cancel/<domain>/"
std::string JobKey(const DomainId& domain, JobId job);
std::string CancelKey(const DomainId& domain, JobId job);
std::string PlacerKey(const DomainId& domain);

// Extracts the job's id from the key of its row or cancel row; false if the key is of another kind.
bool ParseJobKey(std::string_view key, JobId* job);

std::string JobValue(const Job& job);
Parsed<Job> ParseJobValue(std::string_view value);

std::string CancelValue(const std::string& by, Instant wall);
Instant CancelledAt(std::string_view value);  // Wall time; 0 if it can't be read.

// The value of a domain's placer lease row.
struct LeaseRow {
  InstanceId m_holder;  // Empty: released, can be taken over immediately.
  std::string m_address;
  Epoch m_epoch{};
  Instant m_expires;  // Wall time, informational: no code decides by it.

  bool operator==(const LeaseRow&) const = default;
};
std::string LeaseValue(const LeaseRow& lease);
Parsed<LeaseRow> ParseLeaseValue(std::string_view value);

// The id of a job with an idempotency key: the same for every submission with that key. Keys are per client account.
JobId DeriveJobId(const MarketId& market, const AccountId& account, const std::string& key);

// The id of a job without an idempotency key, from the system's random source.
JobId RandomJobId();

}  // namespace hickoryquay::placer
