// Keys: tables of the keys of a settings file, and one function that fills an aggregate by such a table.
#pragma once

#include <algorithm>
#include <functional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hickoryquay/base/log.h"
#include "hickoryquay/settings/ini_file.h"
#include "hickoryquay/settings/values.h"

namespace hickoryquay::settings {

enum class Need { kRequired, kOptional };

// One key: where it stands, and what fills the settings from its text. The reader returns what was expected.
template <typename All>
struct Key {
  using Reader = std::function<std::string(const std::string&, All*)>;

  const char* m_section;
  const char* m_name;  // Ends in '.' where names follow, such as "token.".
  Need m_need;
  Reader m_read;

  bool Matches(const IniEntry& entry) const {
    if (entry.m_section != m_section) return false;
    const std::string_view name = m_name;
    return name.ends_with('.') ? entry.m_key.starts_with(name) : entry.m_key == name;
  }
};

constexpr Millis kLongest{24 * 3'600'000};
constexpr std::size_t kMaxBytes = std::size_t{1024} * 1024 * 1024;

// The member of a section, as a function of the whole settings.
template <typename All, typename Section, typename Value>
auto Member(Section All::*section, Value Section::*value) {
  return [section, value](All* all) { return &(all->*section.*value); };
}

template <typename All, typename Section>
typename Key<All>::Reader Address(Section All::*section, net::Endpoint Section::*value) {
  return [at = Member(section, value)](const std::string& text, All* all) { return ParseAddress(text, at(all)); };
}

template <typename All, typename Section, typename Tag>
typename Key<All>::Reader NameOf(Section All::*section, Name<Tag> Section::*value) {
  return
      [at = Member(section, value)](const std::string& text, All* all) { return ParseName(text, &at(all)->m_value); };
}

template <typename All, typename Section>
typename Key<All>::Reader Duration(Section All::*section, Millis Section::*value, Millis low, Millis high = kLongest) {
  return [at = Member(section, value), low, high](const std::string& text, All* all) {
    return ParseDuration(text, low, high, at(all));
  };
}

template <typename All, typename Section>
typename Key<All>::Reader Count(Section All::*section, int Section::*value, int low, int high) {
  return [at = Member(section, value), low, high](const std::string& text, All* all) {
    std::int64_t count = 0;
    std::string wrong = ParseCount(text, low, high, &count);
    if (wrong.empty()) *at(all) = static_cast<int>(count);
    return wrong;
  };
}

template <typename All, typename Section>
typename Key<All>::Reader Bytes(Section All::*section, std::size_t Section::*value, std::size_t low) {
  return [at = Member(section, value), low](const std::string& text, All* all) {
    return ParseBytes(text, low, kMaxBytes, at(all));
  };
}

template <typename All, typename Section>
typename Key<All>::Reader Path(Section All::*section, std::string Section::*value) {
  return [at = Member(section, value)](const std::string& text, All* all) -> std::string {
    if (text.empty()) return "expected the path of a file";
    *at(all) = text;
    return "";
  };
}

// "ADDRESS:PORT, ADDRESS:PORT".
template <typename All, typename Section>
typename Key<All>::Reader Addresses(Section All::*section, std::vector<net::Endpoint> Section::*value) {
  return [at = Member(section, value)](const std::string& text, All* all) {
    std::istringstream rest(text);
    std::string word;
    while (std::getline(rest >> std::ws, word, ',')) {
      std::string wrong = ParseAddress(word.substr(0, word.find_last_not_of(' ') + 1), &at(all)->emplace_back());
      if (!wrong.empty()) return wrong;
    }
    return std::string();
  };
}

// One of a few words.
template <typename All, typename Section, typename Value>
typename Key<All>::Reader Choice(Section All::*section, Value Section::*value,
                                 std::vector<std::pair<std::string, Value>> words) {
  return [at = Member(section, value), words = std::move(words)](const std::string& text, All* all) {
    std::string known;
    for (const auto& [word, meaning] : words) {
      if (word == text) {
        *at(all) = meaning;
        return std::string();
      }
      known += (known.empty() ? "" : ", ") + word;
    }
    return "\"" + text + "\" is not one of " + known;
  };
}

// The [log] section, which every daemon has.
template <typename All>
std::vector<Key<All>> LogKeys(log::Settings All::*section) {
  using S = log::Settings;
  using log::Form;
  using log::Level;
  return {
      {"log", "level", Need::kOptional,
       Choice(section, &S::m_level,
              {{"debug", Level::kDebug}, {"info", Level::kInfo}, {"warn", Level::kWarn}, {"error", Level::kError}})},
      {"log", "form", Need::kOptional, Choice(section, &S::m_form, {{"text", Form::kText}, {"json", Form::kJson}})},
      {"log", "repeats", Need::kOptional, Count(section, &S::m_repeats_per_s, 1, 1'000'000)}};
}

// The message for an entry that nothing reads.
template <typename All>
std::string UnknownKey(const std::vector<Key<All>>& keys, const IniEntry& entry) {
  const auto same_section = [&](const Key<All>& key) { return entry.m_section == key.m_section; };
  const bool known = std::any_of(keys.begin(), keys.end(), same_section);
  return known ? "is not a known key" : "is in no known section";
}

// Reads every entry by its key; `on_entry` is called behind each. `passes_over` returns whether an entry that nothing
// reads is no error.
template <typename All>
Settled<All> FillByKeys(const IniFile& file, const std::vector<Key<All>>& keys,
                        const std::function<void(const IniEntry&, All*)>& on_entry = nullptr,
                        const std::function<bool(const IniEntry&, All*)>& passes_over = nullptr) {
  All all;
  for (const IniEntry& entry : file.m_entries) {
    const auto key = std::find_if(keys.begin(), keys.end(), [&](const Key<All>& k) { return k.Matches(entry); });
    if (key == keys.end()) {
      if (passes_over && passes_over(entry, &all)) continue;
      return SettingsError{file.m_name, entry.m_section, entry.m_key, UnknownKey(keys, entry)};
    }
    std::string wrong = key->m_read(entry.m_value, &all);
    if (!wrong.empty()) return SettingsError{file.m_name, entry.m_section, entry.m_key, std::move(wrong)};
    if (on_entry) on_entry(entry, &all);
  }
  for (const Key<All>& key : keys) {
    if (key.m_need == Need::kRequired && file.Find(key.m_section, key.m_name) == nullptr) {
      return SettingsError{file.m_name, key.m_section, key.m_name, "is missing"};
    }
  }
  return all;
}

// "[section] key" for each.
template <typename All>
std::vector<std::string> NamesOf(const std::vector<Key<All>>& keys) {
  std::vector<std::string> known;
  for (const Key<All>& key : keys) {
    const bool open = std::string_view(key.m_name).ends_with('.');
    known.push_back("[" + std::string(key.m_section) + "] " + key.m_name + (open ? "NAME" : ""));
  }
  return known;
}

}  // namespace hickoryquay::settings
