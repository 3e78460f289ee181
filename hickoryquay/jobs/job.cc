#include "hickoryquay/jobs/job.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace hickoryquay::jobs {

namespace {

constexpr std::size_t kIdDigits = 16;
constexpr std::array<std::pair<JobPhase, const char*>, 5> kPhases{{{JobPhase::kQueued, "queued"},
                                                                   {JobPhase::kRunning, "running"},
                                                                   {JobPhase::kCompleted, "completed"},
                                                                   {JobPhase::kFailed, "failed"},
                                                                   {JobPhase::kCancelled, "cancelled"}}};

// Parses a decimal number that ends at a dot or at the end, and removes it and the dot from the front.
std::optional<int> ConsumeNumber(std::string_view* text) {
  int number = 0;
  const char* end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc{} || number < 0) return std::nullopt;
  if (stop != end && *stop != '.') return std::nullopt;
  text->remove_prefix(static_cast<std::size_t>(stop - text->data()) + (stop == end ? 0 : 1));
  return number;
}

std::optional<StepKey> ConsumeStepKey(std::string_view* text) {
  if (text->size() < kIdDigits + 1 || (*text)[kIdDigits] != '.') return std::nullopt;
  const auto job = ParseHexJobId(text->substr(0, kIdDigits));
  text->remove_prefix(kIdDigits + 1);
  const auto occurrence = ConsumeNumber(text);
  const auto step = ConsumeNumber(text);
  if (!job || !occurrence || !step) return std::nullopt;
  return StepKey{*job, *occurrence, *step};
}

}  // namespace

std::string HexText(JobId job) {
  std::string text(kIdDigits, '0');
  std::uint64_t rest = Raw(job);
  for (std::size_t i = kIdDigits; i > 0; --i, rest >>= 4) text[i - 1] = "0123456789abcdef"[rest & 15];
  return text;
}

std::optional<JobId> ParseHexJobId(std::string_view text) {
  if (text.size() != kIdDigits) return std::nullopt;
  if (std::any_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'F'; })) return std::nullopt;
  std::uint64_t number = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
  if (error != std::errc{} || stop != text.data() + text.size()) return std::nullopt;
  return JobId{number};
}

std::string ToText(const StepKey& key) {
  return HexText(key.m_job) + '.' + std::to_string(key.m_occurrence) + '.' + std::to_string(key.m_step);
}

std::string ToText(const TaskKey& key) {
  return ToText(key.m_step) + '.' + std::to_string(key.m_index);
}

std::optional<StepKey> ParseStepKey(std::string_view text) {
  const auto key = ConsumeStepKey(&text);
  return text.empty() ? key : std::nullopt;
}

std::optional<TaskKey> ParseTaskKey(std::string_view text) {
  const auto step = ConsumeStepKey(&text);
  if (!step) return std::nullopt;
  const auto index = ConsumeNumber(&text);
  if (!index || !text.empty()) return std::nullopt;
  return TaskKey{*step, *index};
}

const Queue* QueueConfiguration::Find(std::string_view host, std::string_view path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : m_queues) {
    if (queue.m_host != host || !path.starts_with(queue.m_path_prefix)) continue;
    if (best == nullptr || queue.m_path_prefix.size() > best->m_path_prefix.size()) best = &queue;
  }
  return best;
}

const Queue* QueueConfiguration::FindQueue(const QueueName& name) const {
  const auto found = std::find_if(m_queues.begin(), m_queues.end(), [&](const Queue& q) { return q.m_name == name; });
  return found == m_queues.end() ? nullptr : &*found;
}

const Account* QueueConfiguration::FindAccountByKey(std::string_view key) const {
  for (const Account& account : m_accounts) {
    if (std::find(account.m_keys.begin(), account.m_keys.end(), key) != account.m_keys.end()) return &account;
  }
  return nullptr;
}

int QueueConfiguration::Guaranteed(const AccountId& id) const {
  for (const Account& account : m_accounts) {
    if (account.m_id == id) return account.m_guaranteed_accelerators;
  }
  return 0;
}

bool Ended(JobPhase phase) {
  return phase == JobPhase::kCompleted || phase == JobPhase::kFailed || phase == JobPhase::kCancelled;
}

const char* ToString(JobPhase phase) {
  for (const auto& [value, text] : kPhases) {
    if (value == phase) return text;
  }
  return "queued";
}

std::optional<JobPhase> ParseJobPhase(std::string_view text) {
  for (const auto& [value, name] : kPhases) {
    if (name == text) return value;
  }
  return std::nullopt;
}

}  // namespace hickoryquay::jobs
