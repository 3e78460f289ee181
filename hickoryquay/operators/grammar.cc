// The grammar in Boost.Spirit X3. A rule's name is what an error says was expected.
#include "hickoryquay/operators/grammar.h"

#include <boost/fusion/include/vector.hpp>
#include <boost/spirit/home/x3.hpp>
#include <limits>

#include "hickoryquay/operators/words.h"
#include "hickoryquay/settings/values.h"

// An error names the rule that was expected, not the actions and directives around it.
namespace boost::spirit::x3 {

template <typename Subject>
struct InfoOfSubject {
  using result_type = std::string;
  template <typename Parser>
  std::string operator()(const Parser& parser) const {
    return what(parser.subject);
  }
};

template <typename Subject, typename Action>
struct get_info<action<Subject, Action>> : InfoOfSubject<Subject> {};
template <typename Subject>
struct get_info<lexeme_directive<Subject>> : InfoOfSubject<Subject> {};
template <typename Subject>
struct get_info<omit_directive<Subject>> : InfoOfSubject<Subject> {};

template <typename Left, typename Right>
struct get_info<sequence<Left, Right>> {
  using result_type = std::string;
  std::string operator()(const sequence<Left, Right>& parser) const { return what(parser.left); }
};

}  // namespace boost::spirit::x3

namespace hickoryquay::operators {

namespace x3 = boost::spirit::x3;

namespace grammar {

constexpr int kLeastUrgent = 9;
constexpr int kMaxLimit = 1'000'000;
constexpr Millis kLongestDuration{std::numeric_limits<std::int64_t>::max()};

//-------------------------------------------------------------------------------------------------
// [SECTION] Actions
//-------------------------------------------------------------------------------------------------

// Sets a member of the rule's value from what was parsed.
template <auto kMember>
const auto kSet = [](auto& context) { x3::_val(context).*kMember = x3::_attr(context); };

// Behind a clause's keyword: fails where the clause was given before.
template <auto kMember>
const auto kOnce = [](auto& context) { x3::_pass(context) = !(x3::_val(context).*kMember).has_value(); };

// Sets a member of the rule's value to a constant.
template <auto kMember, auto kValue>
const auto kSetTo = [](auto& context) { x3::_val(context).*kMember = kValue; };

template <auto kMember>
const auto kAppend = [](auto& context) { (x3::_val(context).*kMember).push_back(x3::_attr(context)); };

const auto kTake = [](auto& context) { x3::_val(context) = x3::_attr(context); };

//-------------------------------------------------------------------------------------------------
// [SECTION] Words
//-------------------------------------------------------------------------------------------------

const auto kNameLetter = x3::char_("a-zA-Z0-9_.") | x3::char_('-');
const auto kSpace =
    x3::blank | x3::char_('\r') | (x3::lit('\\') >> -x3::lit('\r') >> '\n') | (x3::lit('#') >> *(x3::char_ - '\n'));

auto Word(const char* word) {
  return x3::lexeme[x3::lit(word) >> !kNameLetter];
}

using Text = std::string;
const x3::rule<struct TokenRule, Text> kToken = "a word";
const auto kToken_def = x3::lexeme[+kNameLetter];
const x3::rule<struct ValueTokenRule, Text> kValueToken = "a value";
const auto kValueToken_def = x3::lexeme[+(kNameLetter | x3::char_("/:"))];

// Reads a word and converts it; `convert` returns false where it does not fit.
template <typename Convert>
auto Converted(Convert convert) {
  return kToken[([convert](auto& context) { x3::_pass(context) = convert(x3::_attr(context), &x3::_val(context)); })];
}

template <typename Id>
auto NameOf() {
  return Converted([](const Text& text, Id* id) { return settings::ParseName(text, &id->m_value).empty(); });
}

const x3::rule<struct MarketRule, MarketId> kMarket = "the name of a market";
const auto kMarket_def = NameOf<MarketId>();
const x3::rule<struct DomainRule, DomainId> kDomain = "the name of a failure domain";
const auto kDomain_def = NameOf<DomainId>();
const x3::rule<struct AccountRule, AccountId> kAccount = "the name of a client account";
const auto kAccount_def = NameOf<AccountId>();
const x3::rule<struct ClassRule, ClassId> kClass = "the name of a class of work";
const auto kClass_def = NameOf<ClassId>();
const x3::rule<struct WorkerRule, WorkerId> kWorker = "the name of a worker";
const auto kWorker_def = NameOf<WorkerId>();
const x3::rule<struct InstanceRule, InstanceId> kInstance = "the name of an entry instance";
const auto kInstance_def = NameOf<InstanceId>();
const x3::rule<struct ShapeRule, Text> kShape = "the name of a guarantee";
const auto kShape_def = Converted([](const Text& text, Text* name) { return settings::ParseName(text, name).empty(); });
const x3::rule<struct JobRule, JobId> kJob = "the id of a job, such as j-0123456789abcdef";
const auto kJob_def = Converted([](const Text& text, JobId* job) { return ParseJobId(text, job); });

const x3::rule<struct CountRule, int> kCount = "a whole number from 0 to 1000000";
const auto kCount_def = Converted([](const Text& text, int* count) {
  std::int64_t value = 0;
  const bool fits = settings::ParseCount(text, 0, kMaxLimit, &value).empty();
  *count = static_cast<int>(value);
  return fits;
});
const x3::rule<struct UrgencyRule, int> kUrgency = "an urgency from 0 (most) to 9 (least)";
const auto kUrgency_def = Converted([](const Text& text, int* urgency) {
  std::int64_t value = 0;
  const bool fits = settings::ParseCount(text, 0, kLeastUrgent, &value).empty();
  *urgency = static_cast<int>(value);
  return fits;
});
const x3::rule<struct WeightRule, double> kWeight = "a weight from 0 to 1";
const auto kWeight_def = Converted([](const Text& text, double* weight) {
  const std::optional<double> number = ParseNumber(text);
  *weight = number.value_or(0.0);
  return number.has_value() && *number >= 0.0 && *number <= 1.0;
});
const x3::rule<struct VersionRule, Version> kVersion = "a version, a whole number";
const auto kVersion_def = Converted([](const Text& text, Version* version) {
  std::int64_t value = 0;
  const bool fits = settings::ParseCount(text, 0, std::numeric_limits<std::int64_t>::max(), &value).empty();
  *version = Version{static_cast<std::uint64_t>(value)};
  return fits;
});
const x3::rule<struct DurationRule, Millis> kDuration = "a duration with its unit, such as 250ms, 3s, 10min or 8h";
const auto kDuration_def = Converted([](const Text& text, Millis* duration) {
  return settings::ParseDuration(text, Millis{0}, kLongestDuration, duration).empty();
});
const x3::rule<struct FlagRule, bool> kFlag = "yes or no";
const auto kFlag_def = Converted([](const Text& text, bool* flag) {
  *flag = text == "yes";
  return text == "yes" || text == "no";
});
const x3::rule<struct AdjacencyRule, Adjacency> kAdjacency = "worker, rack, neighbour-racks or any";
const auto kAdjacency_def =
    Converted([](const Text& text, Adjacency* adjacency) { return ParseAdjacency(text, adjacency); });

//-------------------------------------------------------------------------------------------------
// [SECTION] Paths
//-------------------------------------------------------------------------------------------------

const x3::rule<struct AccountPathRule, AccountPath> kAccountPath = "MARKET/ACCOUNT";
const auto kAccountPath_def =
    x3::lexeme[kMarket[kSet<&AccountPath::m_market>] >> '/' >> kAccount[kSet<&AccountPath::m_account>]];
const x3::rule<struct ClassPathRule, ClassPath> kClassPath = "MARKET/CLASS";
const auto kClassPath_def = x3::lexeme[kMarket[kSet<&ClassPath::m_market>] >> '/' >> kClass[kSet<&ClassPath::m_class>]];
const x3::rule<struct GuaranteePathRule, GuaranteePath> kGuaranteePath = "MARKET/ACCOUNT/GUARANTEE";
const auto kGuaranteePath_def =
    x3::lexeme[kMarket[kSet<&GuaranteePath::m_market>] >> '/' >> kAccount[kSet<&GuaranteePath::m_account>] >> '/' >>
               kShape[kSet<&GuaranteePath::m_shape>]];

//-------------------------------------------------------------------------------------------------
// [SECTION] Changes of the configuration
//-------------------------------------------------------------------------------------------------

const x3::rule<struct DomainsRule, std::vector<DomainId>> kDomains = "names of failure domains, separated by commas";
const auto kDomains_def = kDomain >> *(',' > kDomain);
const x3::rule<struct BlockSizeRule, BlockSize> kBlockSize = "COUNT of ACCELERATORS";
const auto kBlockSize_def = kCount[kSet<&BlockSize::m_blocks>] >>
                            Word("of") >> kCount[kSet<&BlockSize::m_accelerators>];
const x3::rule<struct DomainShareRule, DomainShare> kDomainShare = "DOMAIN BLOCKS";
const auto kDomainShare_def = kDomain[kSet<&DomainShare::m_domain>] >> kCount[kSet<&DomainShare::m_blocks>];
const x3::rule<struct SplitRule, std::vector<DomainShare>> kSplit = "DOMAIN BLOCKS, separated by commas";
const auto kSplit_def = kDomainShare >> *(',' > kDomainShare);

const x3::rule<struct MarketClausesRule, PutMarket> kPutMarket = "a market";
const auto kPutMarket_def =
    Word("market") > kMarket[kSet<&PutMarket::m_market>] >
    *((x3::omit[Word("domains")][kOnce<&PutMarket::m_domains>] > kDomains[kSet<&PutMarket::m_domains>]) |
      (x3::omit[Word("weight")][kOnce<&PutMarket::m_weight>] > kWeight[kSet<&PutMarket::m_weight>]));
const x3::rule<struct AccountClausesRule, PutAccount> kPutAccount = "a client account";
const auto kPutAccount_def =
    Word("account") > kAccountPath[kSet<&PutAccount::m_account>] >
    *((x3::omit[Word("accelerators")][kOnce<&PutAccount::m_accelerators>] > kCount[kSet<&PutAccount::m_accelerators>]) |
      (x3::omit[Word("waiting")][kOnce<&PutAccount::m_waiting>] > kCount[kSet<&PutAccount::m_waiting>]));
const x3::rule<struct GuaranteeClausesRule, PutGuarantee> kPutGuarantee = "a guarantee";
const auto kPutGuarantee_def =
    Word("guarantee") > kGuaranteePath[kSet<&PutGuarantee::m_guarantee>] >
    *((x3::omit[Word("blocks")][kOnce<&PutGuarantee::m_size>] > kBlockSize[kSet<&PutGuarantee::m_size>]) |
      (x3::omit[Word("adjacent")][kOnce<&PutGuarantee::m_adjacency>] > kAdjacency[kSet<&PutGuarantee::m_adjacency>]) |
      (x3::omit[Word("split")][kOnce<&PutGuarantee::m_split>] > kSplit[kSet<&PutGuarantee::m_split>]));
const x3::rule<struct ClassClausesRule, PutClass> kPutClass = "a class of work";
const auto kPutClass_def =
    Word("class") > kClassPath[kSet<&PutClass::m_class>] >
    *((x3::omit[Word("urgency")][kOnce<&PutClass::m_urgency>] > kUrgency[kSet<&PutClass::m_urgency>]) |
      (x3::omit[Word("deadline")][kOnce<&PutClass::m_deadline>] > kDuration[kSet<&PutClass::m_deadline>]) |
      (x3::omit[Word("repeatable")][kOnce<&PutClass::m_repeatable>] > kFlag[kSet<&PutClass::m_repeatable>]) |
      (x3::omit[Word("checkpointable")][kOnce<&PutClass::m_checkpointable>] >
       kFlag[kSet<&PutClass::m_checkpointable>]) |
      (x3::omit[Word("preemptible")][kOnce<&PutClass::m_preemptible>] > kFlag[kSet<&PutClass::m_preemptible>]));

// Takes a parsed change and sets its mode.
template <PutMode kMode>
const auto kTakePut = [](auto& context) {
  auto put = x3::_attr(context);
  put.m_mode = kMode;
  x3::_val(context) = put;
};

template <PutMode kMode>
auto AnyPut() {
  return kPutMarket[kTakePut<kMode>] | kPutAccount[kTakePut<kMode>] | kPutGuarantee[kTakePut<kMode>] |
         kPutClass[kTakePut<kMode>];
}

const x3::rule<struct CreatedRule, MarketChange> kCreated = "market, account, guarantee or class";
const auto kCreated_def = AnyPut<PutMode::kCreate>();
const x3::rule<struct ChangedRule, MarketChange> kChanged = "market, account, guarantee or class";
const auto kChanged_def = AnyPut<PutMode::kChange>();
const x3::rule<struct SupposedRule, MarketChange> kSupposed = "market, account, guarantee or class";
const auto kSupposed_def = AnyPut<PutMode::kEither>();

const x3::rule<struct DroppedRule, Drop> kDropped = "market, account, guarantee or class";
const auto kDropped_def =
    (Word("market") > kMarket[kSet<&Drop::m_target>]) | (Word("account") > kAccountPath[kSet<&Drop::m_target>]) |
    (Word("guarantee") > kGuaranteePath[kSet<&Drop::m_target>]) | (Word("class") > kClassPath[kSet<&Drop::m_target>]);

const x3::rule<struct MarketChangeRule, MarketChange> kMarketChange = "create, change or drop";
const auto kMarketChange_def =
    (Word("create") > kCreated[kTake]) | (Word("change") > kChanged[kTake]) | (Word("drop") > kDropped[kTake]);

const x3::rule<struct ExpectRule, ExpectVersion> kExpect = "market";
const auto kExpect_def = Word("market") > kMarket[kSet<&ExpectVersion::m_market>] >
                         Word("version") > kVersion[kSet<&ExpectVersion::m_version>];

//-------------------------------------------------------------------------------------------------
// [SECTION] Queries
//-------------------------------------------------------------------------------------------------

struct SubjectSymbols : x3::symbols<Subject> {
  SubjectSymbols() {
    for (int i = 0; i <= static_cast<int>(Subject::kChanges); ++i) add(ToString(Subject{i}), Subject{i});
  }
};
const SubjectSymbols kSubjectSymbols;
constexpr const char* kSubjects =
    "jobs, requests, workers, backends, racks, markets, accounts, guarantees, classes, instances, versions or changes";
const x3::rule<struct SubjectRule, Subject> kSubject = kSubjects;
const auto kSubject_def = x3::lexeme[kSubjectSymbols >> !kNameLetter];

struct ComparatorSymbols : x3::symbols<Comparator> {
  ComparatorSymbols() {
    for (int i = 0; i <= static_cast<int>(Comparator::kContains); ++i) add(ToString(Comparator{i}), Comparator{i});
  }
};
const ComparatorSymbols kComparatorSymbols;
const x3::rule<struct ComparatorRule, Comparator> kComparator = "=, !=, <, <=, >, >= or ~";
const auto kComparator_def = kComparatorSymbols;

const x3::rule<struct EscapeRule, char> kEscape = "\\\", \\\\ or \\n";
const auto kEscape_def = (x3::lit('n') >> x3::attr('\n')) | x3::char_("\"\\");
const x3::rule<struct QuotedRule, Text> kQuoted = "a text in quotes";
const auto kQuoted_def =
    x3::lexeme['"' > *((x3::lit('\\') > kEscape) | (x3::char_ - (x3::lit('"') | '\\' | '\n'))) > '"'];

const auto kClassify = [](auto& context) { x3::_val(context) = ValueOfWord(x3::_attr(context)); };
const x3::rule<struct ValueRule, Value> kValue = "a value: a word, a number, a duration or a text in quotes";
const auto kValue_def = kQuoted[kTake] | kValueToken[kClassify];

const x3::rule<struct ColumnRule, Text> kColumn = "the name of a column";
const auto kColumn_def = kToken;

const x3::rule<struct ComparisonRule, Comparison> kComparison = "a comparison";
const auto kComparison_def = -(x3::omit[Word("not")][kSetTo<&Comparison::m_negated, true>]) >
                             kColumn[kSet<&Comparison::m_column>] > kComparator[kSet<&Comparison::m_comparator>] >
                             kValue[kSet<&Comparison::m_value>];
const x3::rule<struct AllOfRule, std::vector<Comparison>> kAllOf = "a comparison";
const auto kAllOf_def = kComparison >> *(Word("and") > kComparison);
const x3::rule<struct WhereRule, Filter> kWhere = "where";
const auto kWhere_def = Word("where") > kAllOf[kAppend<&Filter::m_any>] >
                        *(Word("or") > kAllOf[kAppend<&Filter::m_any>]);

const x3::rule<struct OrderRule, OrderBy> kOrder = "the name of a column";
const auto kOrder_def = kColumn[kSet<&OrderBy::m_column>] >
                        -((x3::omit[Word("desc")][kSetTo<&OrderBy::m_descending, true>]) | Word("asc"));

const x3::rule<struct ShowRule, Show> kShow = kSubjects;
const auto kShow_def = kSubject[kSet<&Show::m_subject>] > -kWhere[kSet<&Show::m_where>] >
                       -(Word("order") > Word("by") > kOrder[kAppend<&Show::m_order>] >
                         *(',' > kOrder[kAppend<&Show::m_order>])) > -(Word("limit") > kCount[kSet<&Show::m_limit>]);

//-------------------------------------------------------------------------------------------------
// [SECTION] Actions and questions
//-------------------------------------------------------------------------------------------------

const x3::rule<struct CancelRule, CancelJobs> kCancel = "job or jobs";
const auto kCancel_def =
    (Word("jobs") > kWhere[kSet<&CancelJobs::m_where>]) |
    (Word("job") > kJob[kAppend<&CancelJobs::m_jobs>] > *(',' > kJob[kAppend<&CancelJobs::m_jobs>]));
const x3::rule<struct RetryRule, RetryJob> kRetry = "job";
const auto kRetry_def = Word("job") > kJob[kSet<&RetryJob::m_job>];

template <Steering kSteering>
const auto kSteerWorker = [](auto& context) {
  x3::_val(context) = SteerWorker{kSteering, x3::_attr(context)};
};
template <Steering kSteering>
const auto kSteerInstance = [](auto& context) {
  x3::_val(context) = SteerInstance{kSteering, x3::_attr(context)};
};

template <Steering kSteering>
auto WorkerOrInstance() {
  return (Word("worker") > kWorker[kSteerWorker<kSteering>]) |
         (Word("instance") > kInstance[kSteerInstance<kSteering>]);
}

using Steer = std::variant<SteerWorker, SteerInstance>;
const x3::rule<struct DrainRule, Steer> kDrain = "worker or instance";
const auto kDrain_def = WorkerOrInstance<Steering::kDrain>();
const x3::rule<struct ReleaseRule, Steer> kRelease = "worker or instance";
const auto kRelease_def = WorkerOrInstance<Steering::kRelease>();
const x3::rule<struct QuarantineRule, Steer> kQuarantine = "worker";
const auto kQuarantine_def = Word("worker") > kWorker[kSteerWorker<Steering::kQuarantine>];

const x3::rule<struct WhyRule, Statement> kWhy = "job, account or not worker";
template <typename Question>
const auto kAsk = [](auto& context) { x3::_val(context) = Question{x3::_attr(context)}; };
const auto kWhy_def = (Word("job") > kJob[kAsk<WhyJob>]) | (Word("account") > kAccountPath[kAsk<WhyAccount>]) |
                      (Word("not") > Word("worker") > kWorker[kAsk<WhyNotWorker>]);

const x3::rule<struct WhatIfRule, WhatIf> kWhatIf = "create, change, drop, market, account, guarantee or class";
const auto kWhatIf_def = kMarketChange[kSet<&WhatIf::m_change>] | kSupposed[kSet<&WhatIf::m_change>];

//-------------------------------------------------------------------------------------------------
// [SECTION] Statements
//-------------------------------------------------------------------------------------------------

// Widens one of the smaller variants.
const auto kWiden = [](auto& context) {
  std::visit([&](const auto& narrow) { x3::_val(context) = narrow; }, x3::_attr(context));
};
const auto kBegin = [](auto& context) { x3::_val(context) = BeginEach{}; };

const x3::rule<struct StatementRule, Statement> kStatement =
    "create, change, drop, expect, drain, quarantine, release, cancel, retry, show, why, what if or begin each";
const auto kStatement_def = kMarketChange[kWiden] | (Word("expect") > kExpect[kTake]) |
                            (Word("drain") > kDrain[kWiden]) | (Word("quarantine") > kQuarantine[kWiden]) |
                            (Word("release") > kRelease[kWiden]) | (Word("cancel") > kCancel[kTake]) |
                            (Word("retry") > kRetry[kTake]) | (Word("show") > kShow[kTake]) |
                            (Word("why") > kWhy[kTake]) | (Word("what") > Word("if") > kWhatIf[kTake]) |
                            (Word("begin") > x3::omit[Word("each")][kBegin]);

BOOST_SPIRIT_DEFINE(kToken, kValueToken, kMarket, kDomain, kAccount, kClass, kWorker, kInstance, kShape, kJob, kCount,
                    kUrgency, kWeight, kVersion, kDuration, kFlag, kAdjacency)
BOOST_SPIRIT_DEFINE(kAccountPath, kClassPath, kGuaranteePath, kDomains, kBlockSize, kDomainShare, kSplit, kPutMarket,
                    kPutAccount, kPutGuarantee, kPutClass, kCreated, kChanged, kSupposed, kDropped, kMarketChange,
                    kExpect)
BOOST_SPIRIT_DEFINE(kSubject, kComparator, kEscape, kQuoted, kValue, kColumn, kComparison, kAllOf, kWhere, kOrder,
                    kShow, kCancel, kRetry, kDrain, kRelease, kQuarantine, kWhy, kWhatIf, kStatement)

const auto kSeparators = *(kSpace | '\n' | x3::lit(';'));

}  // namespace grammar

Result<ParsedStatement, Expectation> ParseStatement(std::string_view text, std::size_t begin) {
  const char* at = text.data() + begin;
  const char* const end = text.data() + text.size();
  ParsedStatement parsed;
  try {
    if (x3::phrase_parse(at, end, grammar::kStatement, grammar::kSpace, parsed.m_statement)) {
      parsed.m_end = static_cast<std::size_t>(at - text.data());
      return parsed;
    }
  } catch (const x3::expectation_failure<const char*>& failure) {
    return Expectation{static_cast<std::size_t>(failure.where() - text.data()), failure.which()};
  }
  return Expectation{begin, grammar::kStatement.name};
}

std::size_t SkipToStatement(std::string_view text, std::size_t begin) {
  const char* at = text.data() + begin;
  x3::parse(at, text.data() + text.size(), grammar::kSeparators);
  return static_cast<std::size_t>(at - text.data());
}

}  // namespace hickoryquay::operators
