#include "hickoryquay/settings/ini_file.h"

#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <fstream>

namespace hickoryquay::settings {

namespace po = boost::program_options;

namespace {

IniEntry Split(const std::string& name, std::string value) {
  const std::size_t dot = name.find('.');
  if (dot == std::string::npos) return IniEntry{"", name, std::move(value)};
  return IniEntry{name.substr(0, dot), name.substr(dot + 1), std::move(value)};
}

}  // namespace

std::string ToString(const SettingsError& error) {
  std::string line = error.m_file + ": ";
  if (!error.m_section.empty()) line += "[" + error.m_section + "] ";
  if (!error.m_key.empty()) line += error.m_key + ": ";
  return line + error.m_message;
}

const IniEntry* IniFile::Find(const std::string& section, const std::string& key) const {
  for (const IniEntry& entry : m_entries) {
    if (entry.m_section == section && entry.m_key == key) return &entry;
  }
  return nullptr;
}

Settled<IniFile> ReadIni(const std::string& name, std::istream& text) {
  IniFile file{name, {}};
  try {
    const po::options_description nothing;
    const po::parsed_options parsed = po::parse_config_file(text, nothing, true);
    for (const po::option& option : parsed.options) {
      IniEntry entry = Split(option.string_key, option.value.empty() ? "" : option.value.front());
      if (file.Find(entry.m_section, entry.m_key) != nullptr) {
        return SettingsError{name, entry.m_section, entry.m_key, "is given twice"};
      }
      file.m_entries.push_back(std::move(entry));
    }
  } catch (const po::error& error) {
    return SettingsError{name, "", "", error.what()};
  }
  return file;
}

Settled<IniFile> ReadIniFile(const std::string& path) {
  std::ifstream text(path);
  if (!text) return SettingsError{path, "", "", "cannot be read"};
  return ReadIni(path, text);
}

}  // namespace hickoryquay::settings
