// IniFile: a settings file as sections, keys and texts. Boost.Program_options parses it.
#pragma once

#include <istream>
#include <string>
#include <vector>

#include "hickoryquay/base/result.h"

namespace hickoryquay::settings {

// Why a settings file can't be used. One error a file: the first one.
struct SettingsError {
  std::string m_file;
  std::string m_section;  // Empty where the file as a whole is wrong.
  std::string m_key;      // Empty where a section is.
  std::string m_message;  // What was expected.
};

// One line: "FILE: [section] key: message".
std::string ToString(const SettingsError& error);

template <typename T>
using Settled = Result<T, SettingsError>;

struct IniEntry {
  std::string m_section;  // Empty: before the first section.
  std::string m_key;      // May hold dots, such as "token.alice".
  std::string m_value;
};

struct IniFile {
  std::string m_name;  // For errors.
  std::vector<IniEntry> m_entries;

  const IniEntry* Find(const std::string& section, const std::string& key) const;  // nullptr where there is none.
};

// Comments start with '#'. A line that is no entry, or an entry given twice, is an error.
Settled<IniFile> ReadIni(const std::string& name, std::istream& text);
Settled<IniFile> ReadIniFile(const std::string& path);

}  // namespace hickoryquay::settings
