#include "hickoryquay/settings/node_settings.h"

#include <algorithm>
#include <charconv>
#include <iterator>

#include "hickoryquay/settings/keys.h"

namespace hickoryquay::settings {

namespace {

using All = NodeSettings;

constexpr const char* kFacts[] = {"capacity", "machines", "terms"};  // Sections that the platform's fields fill.
constexpr double kMostRemote = 100.0;
constexpr double kMostCores = 1'000.0;
constexpr double kMostMbitS = 1'000'000.0;
constexpr int kLeastRowBytes = 1'024;
constexpr int kMostRowBytes = 1'000'000'000;
constexpr int kLeastMemoryMb = 16;
constexpr int kMostMemoryMb = 1'000'000;
constexpr int kLeastDescriptors = 256;
constexpr int kMostDescriptors = 1'000'000;

Key<All>::Reader Text(std::string NodeSection::*value) {
  return [value](const std::string& text, All* all) -> std::string {
    if (text.empty()) return "expected a name";
    all->m_node.*value = text;
    return "";
  };
}

// `expected` says which numbers are taken: those from `low` to `high`.
template <typename Section>
Key<All>::Reader Number(Section All::*section, double Section::*value, double low, double high, const char* expected) {
  return [at = Member(section, value), low, high, expected](const std::string& text, All* all) -> std::string {
    double number = 0.0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = error == std::errc{} && stop == text.data() + text.size();
    if (!whole || !(number >= low && number <= high)) return expected;
    *at(all) = number;
    return "";
  };
}

// A plain number of milliseconds or seconds with its unit, whole or with a fraction, such as "1.5s".
template <typename Section>
Key<All>::Reader FractionOf(Section All::*section, Millis Section::*value) {
  return [at = Member(section, value)](const std::string& text, All* all) -> std::string {
    double amount = 0.0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    const std::string_view unit(stop, static_cast<std::size_t>(text.data() + text.size() - stop));
    const double scale = unit == "ms" ? 1.0 : unit == "s" ? 1'000.0 : 0.0;
    const double ms = amount * scale;
    if (error != std::errc{} || scale == 0.0 || ms < 0.0 || ms > static_cast<double>(kLongest.count())) {
      return "expected a duration such as 250ms or 1.5s";
    }
    *at(all) = Millis{static_cast<std::int64_t>(ms)};
    return "";
  };
}

// A plain number of bytes, without a unit.
Key<All>::Reader PlainBytes(TermsSection All::*section, std::size_t TermsSection::*value) {
  return [at = Member(section, value)](const std::string& text, All* all) {
    std::int64_t bytes = 0;
    std::string wrong = ParseCount(text, kLeastRowBytes, kMostRowBytes, &bytes);
    if (wrong.empty()) *at(all) = static_cast<std::size_t>(bytes);
    return wrong;
  };
}

std::vector<Key<All>> NodeKeys() {
  using S = NodeSection;
  constexpr auto kSection = &All::m_node;
  return {{"node", "name", Need::kRequired, Text(&S::m_name)},
          {"node", "domain", Need::kRequired, NameOf(kSection, &S::m_domain)},
          {"node", "callers", Need::kRequired, Address(kSection, &S::m_callers)},
          {"node", "ready", Need::kRequired, Address(kSection, &S::m_ready)},
          {"node", "inner", Need::kRequired, Address(kSection, &S::m_inner)},
          {"node", "metrics", Need::kOptional, Address(kSection, &S::m_metrics)},
          {"node", "seeds", Need::kOptional, Addresses(kSection, &S::m_seeds)},
          {"node", "grace", Need::kOptional, FractionOf(kSection, &S::m_grace)}};
}

std::vector<Key<All>> StoreKeys() {
  return {{"store", "address", Need::kRequired, Address(&All::m_store, &StoreSection::m_address)},
          {"capacity", "processor_share", Need::kOptional,
           Number(&All::m_capacity, &CapacitySection::m_processor_share, 0.001, kMostCores,
                  "expected a number of cores, such as 0.25")},
          {"capacity", "link_mbit_s", Need::kOptional,
           Number(&All::m_capacity, &CapacitySection::m_link_mbit_s, 0.001, kMostMbitS,
                  "expected a number of megabits a second, such as 20")},
          {"capacity", "memory_mb", Need::kOptional,
           Count(&All::m_capacity, &CapacitySection::m_memory_mb, kLeastMemoryMb, kMostMemoryMb)},
          {"capacity", "descriptors", Need::kOptional,
           Count(&All::m_capacity, &CapacitySection::m_descriptors, kLeastDescriptors, kMostDescriptors)},
          {"machines", "address", Need::kOptional, Address(&All::m_machines, &MachinesSection::m_address)}};
}

std::vector<Key<All>> TermsKeys() {
  using S = TermsSection;
  return {{"terms", "longest_lease", Need::kOptional, FractionOf(&All::m_terms, &S::m_longest_lease)},
          {"terms", "stop_timeout", Need::kOptional, FractionOf(&All::m_terms, &S::m_stop_timeout)},
          {"terms", "reclaim", Need::kOptional, FractionOf(&All::m_terms, &S::m_reclaim)},
          {"terms", "restore", Need::kOptional, FractionOf(&All::m_terms, &S::m_restore)},
          {"terms", "keep_ended", Need::kOptional, FractionOf(&All::m_terms, &S::m_keep_ended)},
          {"terms", "evacuate", Need::kOptional, FractionOf(&All::m_terms, &S::m_evacuate)},
          {"terms", "cancel", Need::kOptional, FractionOf(&All::m_terms, &S::m_cancel)},
          {"terms", "drain", Need::kOptional, FractionOf(&All::m_terms, &S::m_drain)},
          {"terms", "row_bytes", Need::kOptional, PlainBytes(&All::m_terms, &S::m_row_bytes)},
          {"terms", "remote_factor", Need::kOptional,
           Number(&All::m_terms, &S::m_remote_factor, 1.0, kMostRemote, "expected a number from 1 to 100")}};
}

const std::vector<Key<All>>& Keys() {
  static const std::vector<Key<All>> keys = [] {
    std::vector<Key<All>> all = LogKeys(&All::m_log);
    for (auto part : {&NodeKeys, &StoreKeys, &TermsKeys}) {
      for (Key<All>& key : part()) all.push_back(std::move(key));
    }
    return all;
  }();
  return keys;
}

Settled<NodeSettings> Fill(const IniFile& file) {
  return FillByKeys<All>(file, Keys(), nullptr, [](const IniEntry& entry, All* all) {
    if (std::find(std::begin(kFacts), std::end(kFacts), entry.m_section) == std::end(kFacts)) return false;
    all->m_ignored.push_back("[" + entry.m_section + "] " + entry.m_key);
    return true;
  });
}

}  // namespace

Settled<NodeSettings> ParseNodeSettings(const std::string& path) {
  const auto file = ReadIniFile(path);
  if (!Ok(file)) return ErrorOf(file);
  return Fill(ValueOf(file));
}

Settled<NodeSettings> ParseNodeSettings(const std::string& name, std::istream& text) {
  const auto file = ReadIni(name, text);
  if (!Ok(file)) return ErrorOf(file);
  return Fill(ValueOf(file));
}

std::vector<std::string> KnownNodeKeys() {
  return NamesOf(Keys());
}

}  // namespace hickoryquay::settings
