#include "daemons/hqctl/render.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <cstdio>
#include <vector>

namespace hickoryquay::hqctl {

namespace json = boost::json;

namespace {

constexpr std::int64_t kSecond = 1000;
constexpr std::int64_t kMinute = 60 * kSecond;
constexpr std::int64_t kHour = 60 * kMinute;
constexpr std::int64_t kDay = 24 * kHour;

std::string TextOf(const json::value* value) {
  if (value == nullptr || value->is_null()) return "";
  return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

std::string Field(const json::object& object, const char* key) {
  return TextOf(object.if_contains(key));
}

const json::array& List(const json::object& object, const char* key) {
  static const json::array none;
  const json::value* found = object.if_contains(key);
  return found != nullptr && found->is_array() ? found->as_array() : none;
}

// Control characters would let a name or a reason move the cursor of whoever reads it.
std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7F; }, ' ');
  return text;
}

std::string CellText(const json::value& cell, const std::string& kind) {
  if (cell.is_null()) return "-";
  if (kind == "duration_ms" && cell.is_int64()) return ShortDuration(Millis{cell.as_int64()});
  return Printable(TextOf(&cell));
}

struct TextTable {
  std::vector<std::vector<std::string>> m_rows;  // The first one is the header.
  std::vector<bool> m_right;                     // Aligned to the right, by column.
};

TextTable LayOut(const json::object& answer) {
  TextTable table;
  std::vector<std::string> kinds;
  auto& header = table.m_rows.emplace_back();
  for (const json::value& column : List(answer, "columns")) {
    if (!column.is_object()) continue;
    header.push_back(Field(column.as_object(), "name"));
    kinds.push_back(Field(column.as_object(), "kind"));
    table.m_right.push_back(kinds.back() != "text");
  }
  for (const json::value& row : List(answer, "rows")) {
    if (!row.is_array() || row.as_array().size() != kinds.size()) continue;
    auto& cells = table.m_rows.emplace_back();
    for (std::size_t i = 0; i < kinds.size(); ++i) cells.push_back(CellText(row.as_array()[i], kinds[i]));
  }
  return table;
}

void Write(const TextTable& table, std::ostream& out) {
  std::vector<std::size_t> widths(table.m_right.size(), 0);
  for (const auto& row : table.m_rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : table.m_rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string padding(widths[i] - row[i].size(), ' ');
      line += (i == 0 ? "" : "  ") + (table.m_right[i] ? padding + row[i] : row[i] + padding);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

void RenderTable(const json::object& answer, std::ostream& out) {
  const TextTable table = LayOut(answer);
  Write(table, out);
  const std::size_t shown = table.m_rows.size() - 1;
  const std::string matched = Field(answer, "matched");
  if (matched == std::to_string(shown)) {
    out << "(" << shown << " " << Field(answer, "subject") << ")\n";
  } else {
    out << "(" << shown << " of " << matched << " " << Field(answer, "subject") << ")\n";
  }
  for (const json::value& missing : List(answer, "missing")) {
    out << "incomplete: no answer from " << Printable(TextOf(&missing)) << '\n';
  }
}

void RenderExplanation(const json::object& answer, std::ostream& out) {
  out << Field(answer, "subject") << ": " << Printable(Field(answer, "state")) << '\n';
  out << "  " << Printable(Field(answer, "why")) << '\n';
  for (const json::value& job : List(answer, "behind")) out << "  behind: " << TextOf(&job) << '\n';
  for (const json::value& shape : List(answer, "borrows")) out << "  borrows: " << Printable(TextOf(&shape)) << '\n';
  for (const json::value& fact : List(answer, "facts")) out << "  " << Printable(TextOf(&fact)) << '\n';
}

void RenderVerdict(const json::object& answer, std::ostream& out) {
  const bool accepted = Field(answer, "accepted") == "true";
  out << (accepted ? "would be accepted" : "would be refused: " + Printable(Field(answer, "why"))) << '\n';
}

void RenderChanged(const json::object& answer, std::ostream& out) {
  const json::value* versions = answer.if_contains("versions");
  if (versions == nullptr || !versions->is_object()) return;
  for (const auto& [market, version] : versions->as_object()) {
    const std::string text = TextOf(&version);
    out << "accepted: market " << market << (text == "0" ? " dropped" : " is now version " + text) << '\n';
  }
}

void RenderDone(const json::object& answer, std::ostream& out) {
  out << Printable(Field(answer, "message")) << '\n';
}

struct KindEntry {
  const char* m_kind;
  void (*m_render)(const json::object&, std::ostream&);
};

void RenderAnswer(const json::object& answer, std::ostream& out) {
  static constexpr std::array<KindEntry, 5> kKinds = {{{"table", &RenderTable},
                                                       {"explanation", &RenderExplanation},
                                                       {"verdict", &RenderVerdict},
                                                       {"changed", &RenderChanged},
                                                       {"done", &RenderDone}}};
  const std::string kind = Field(answer, "kind");
  for (const KindEntry& entry : kKinds) {
    if (kind == entry.m_kind) return entry.m_render(answer, out);
  }
  out << json::serialize(answer) << '\n';
}

}  // namespace

std::string ShortDuration(Millis duration) {
  const std::int64_t ms = duration.count();
  if (ms < 0) return "-" + ShortDuration(-duration);
  std::array<char, 48> text{};
  const auto write = [&](const char* format, auto... values) {
    std::snprintf(text.data(), text.size(), format, values...);
    return std::string(text.data());
  };
  if (ms < kSecond) return write("%dms", static_cast<int>(ms));
  if (ms < kMinute) return write("%.1fs", static_cast<double>(ms) / static_cast<double>(kSecond));
  if (ms < kHour) return write("%dm%02ds", static_cast<int>(ms / kMinute), static_cast<int>(ms % kMinute / kSecond));
  if (ms < kDay) return write("%dh%02dm", static_cast<int>(ms / kHour), static_cast<int>(ms % kHour / kMinute));
  return write("%jdd%02dh", static_cast<std::intmax_t>(ms / kDay), static_cast<int>(ms % kDay / kHour));
}

void RenderOutcome(const json::value& outcome, std::ostream& out, std::ostream& errors) {
  const json::object* object = outcome.if_object();
  if (object == nullptr) {
    out << json::serialize(outcome) << '\n';
    return;
  }
  for (const json::value& answer : List(*object, "answers")) {
    if (answer.is_object()) RenderAnswer(answer.as_object(), out);
  }
  const json::value* error = object->if_contains("error");
  if (error != nullptr && error->is_object()) {
    errors << Field(error->as_object(), "code") << ": " << Printable(Field(error->as_object(), "message")) << '\n';
  }
}

}  // namespace hickoryquay::hqctl
