// Statements of the operator language, as typed aggregates. docs/operator-language.md holds the grammar.
//
// Index of this file:
//   [SECTION] Names of things
//   [SECTION] Changes of the configuration
//   [SECTION] Actions on jobs, workers and instances
//   [SECTION] Queries
//   [SECTION] Questions
//   [SECTION] Statements and scripts
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "hickoryquay/base/clock.h"
#include "hickoryquay/base/ids.h"
#include "hickoryquay/model/model.h"

namespace hickoryquay::operators {

//-------------------------------------------------------------------------------------------------
// [SECTION] Names of things
//-------------------------------------------------------------------------------------------------

// MARKET/ACCOUNT
struct AccountPath {
  MarketId m_market;
  AccountId m_account;
  bool operator==(const AccountPath&) const = default;
};

// MARKET/CLASS
struct ClassPath {
  MarketId m_market;
  ClassId m_class;
  bool operator==(const ClassPath&) const = default;
};

// MARKET/ACCOUNT/GUARANTEE
struct GuaranteePath {
  MarketId m_market;
  AccountId m_account;
  std::string m_shape;
  bool operator==(const GuaranteePath&) const = default;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Changes of the configuration
//-------------------------------------------------------------------------------------------------

enum class PutMode {
  kCreate,  // Must not exist yet.
  kChange,  // Must exist; what is not named stays.
  kEither,  // Only behind "what if".
};

struct PutMarket {
  PutMode m_mode = PutMode::kCreate;
  MarketId m_market;
  std::optional<std::vector<DomainId>> m_domains;
  std::optional<double> m_weight;  // Of completion time against fragmentation, 0 to 1.
  bool operator==(const PutMarket&) const = default;
};

struct PutAccount {
  PutMode m_mode = PutMode::kCreate;
  AccountPath m_account;
  std::optional<int> m_accelerators;  // At most at one time; 0: no limit.
  std::optional<int> m_waiting;       // Jobs at most; 0: no limit.
  bool operator==(const PutAccount&) const = default;
};

struct BlockSize {
  int m_blocks = 0;
  int m_accelerators = 0;  // In each block.
  bool operator==(const BlockSize&) const = default;
};

struct DomainShare {
  DomainId m_domain;
  int m_blocks = 0;
  bool operator==(const DomainShare&) const = default;
};

struct PutGuarantee {
  PutMode m_mode = PutMode::kCreate;
  GuaranteePath m_guarantee;
  std::optional<BlockSize> m_size;
  std::optional<Adjacency> m_adjacency;
  std::optional<std::vector<DomainShare>> m_split;  // None: apportioned evenly over the market's domains.
  bool operator==(const PutGuarantee&) const = default;
};

struct PutClass {
  PutMode m_mode = PutMode::kCreate;
  ClassPath m_class;
  std::optional<int> m_urgency;  // 0 is the most urgent, 9 the least.
  std::optional<Millis> m_deadline;
  std::optional<bool> m_repeatable;
  std::optional<bool> m_checkpointable;
  std::optional<bool> m_preemptible;
  bool operator==(const PutClass&) const = default;
};

struct Drop {
  std::variant<MarketId, AccountPath, GuaranteePath, ClassPath> m_target;
  bool operator==(const Drop&) const = default;
};

// Refuses the transaction unless the market stands at this version; 0: unless it is absent.
struct ExpectVersion {
  MarketId m_market;
  Version m_version{};
  bool operator==(const ExpectVersion&) const = default;
};

using MarketChange = std::variant<PutMarket, PutAccount, PutGuarantee, PutClass, Drop>;

//-------------------------------------------------------------------------------------------------
// [SECTION] Actions on jobs, workers and instances
//-------------------------------------------------------------------------------------------------

enum class Steering {
  kDrain,       // Gets nothing new; what runs may finish.
  kQuarantine,  // The same, because it is not trusted. Workers only.
  kRelease,     // Undoes either.
};

struct SteerWorker {
  Steering m_steering = Steering::kDrain;
  WorkerId m_worker;
  bool operator==(const SteerWorker&) const = default;
};

// A drained instance is unready for the balancer, hands its placer role over and finishes what it has.
struct SteerInstance {
  Steering m_steering = Steering::kDrain;
  InstanceId m_instance;
  bool operator==(const SteerInstance&) const = default;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Queries
//-------------------------------------------------------------------------------------------------

enum class Subject {
  kJobs,
  kRequests,
  kWorkers,
  kBackends,
  kRacks,
  kMarkets,
  kAccounts,
  kGuarantees,
  kClasses,
  kInstances,
  kVersions,
  kChanges,
};

enum class Comparator { kEqual, kNotEqual, kLess, kAtMost, kGreater, kAtLeast, kContains };

using Value = std::variant<std::string, double, Millis>;

struct Comparison {
  bool m_negated = false;
  std::string m_column;
  Comparator m_comparator = Comparator::kEqual;
  Value m_value;
  bool operator==(const Comparison&) const = default;
};

// Any of several lists of comparisons, all of a list; empty: every row. "and" binds closer than "or".
struct Filter {
  std::vector<std::vector<Comparison>> m_any;
  bool operator==(const Filter&) const = default;
};

struct OrderBy {
  std::string m_column;
  bool m_descending = false;
  bool operator==(const OrderBy&) const = default;
};

struct Show {
  Subject m_subject = Subject::kJobs;
  Filter m_where;
  std::vector<OrderBy> m_order;
  std::optional<int> m_limit;
  bool operator==(const Show&) const = default;
};

// By ids, or all jobs that have not ended and fit a filter; one of the two.
struct CancelJobs {
  std::vector<JobId> m_jobs;
  Filter m_where;
  bool operator==(const CancelJobs&) const = default;
};

struct RetryJob {
  JobId m_job{};
  bool operator==(const RetryJob&) const = default;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Questions
//-------------------------------------------------------------------------------------------------

struct WhyJob {
  JobId m_job{};
  bool operator==(const WhyJob&) const = default;
};

struct WhyAccount {
  AccountPath m_account;
  bool operator==(const WhyAccount&) const = default;
};

// Why a worker takes no more work.
struct WhyNotWorker {
  WorkerId m_worker;
  bool operator==(const WhyNotWorker&) const = default;
};

// Whether a change would be accepted; changes nothing.
struct WhatIf {
  MarketChange m_change;
  bool operator==(const WhatIf&) const = default;
};

//-------------------------------------------------------------------------------------------------
// [SECTION] Statements and scripts
//-------------------------------------------------------------------------------------------------

// Each statement of the script is a transaction of its own; only as the first statement.
struct BeginEach {
  bool operator==(const BeginEach&) const = default;
};

using Statement =
    std::variant<PutMarket, PutAccount, PutGuarantee, PutClass, Drop, ExpectVersion, SteerWorker, SteerInstance,
                 CancelJobs, RetryJob, Show, WhyJob, WhyAccount, WhyNotWorker, WhatIf, BeginEach>;

struct Line {
  Statement m_statement;
  std::string m_text;  // As it was written, without comments around it.
  int m_line = 1;      // Where it starts.
};

constexpr std::size_t kMaxStatements = 1000;  // Of a script.

struct Script {
  std::vector<Line> m_lines;
};

// Canonical text: parsing it gives an equal statement.
std::string ToText(const Statement& statement);

bool IsConfigurationChange(const Statement& statement);  // Goes into one table commit with others.
bool IsAction(const Statement& statement);               // Acts on jobs, workers or instances.
bool Changes(const Statement& statement);                // Needs the operator role.

const char* ToString(Subject subject);  // "jobs", ...
const char* ToString(Comparator comparator);
const char* ToString(Steering steering);

}  // namespace hickoryquay::operators
