#include "hickoryquay/routing/request_head.h"

#include <algorithm>
#include <array>

namespace hickoryquay::routing {

namespace {

constexpr std::size_t kKeptCapacity = 64 * 1024;

// Keeps the memory of ordinary sizes for the next message, gives back that of large ones.
void Reset(std::string* text) {
  if (text->capacity() > kKeptCapacity) std::string().swap(*text);
  text->clear();
}

constexpr std::array<std::string_view, 11> kOfConnection{
    "Connection", "Keep-Alive",         "Proxy-Connection",    "Transfer-Encoding", "TE",  "Trailer",
    "Upgrade",    "Proxy-Authenticate", "Proxy-Authorization", "Content-Length",    "Host"};

constexpr std::array<std::string_view, 7> kOfProtocol{"HQ-Request-Id", "HQ-Outcome",     "HQ-Reason", "HQ-Not-Run",
                                                      "HQ-Leaving",    "HQ-Deadline-Ms", "Expect"};

template <std::size_t size>
bool IsOneOf(std::string_view name, const std::array<std::string_view, size>& names) {
  return std::any_of(names.begin(), names.end(), [name](std::string_view other) { return SameToken(name, other); });
}

void Forward(std::string_view name, std::string_view value, std::string* lines) {
  if (IsOneOf(name, kOfConnection) || IsOneOf(name, kOfProtocol)) return;
  lines->append(name).append(": ").append(value).append("\r\n");
}

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

template <typename Head>
struct TextField {
  std::string_view m_name;
  std::string Head::*m_field;
};

constexpr std::array kRequestFields{
    TextField<RequestHead>{"HQ-Market", &RequestHead::m_market},
    TextField<RequestHead>{"HQ-Account", &RequestHead::m_account},
    TextField<RequestHead>{"HQ-Class", &RequestHead::m_class},
    TextField<RequestHead>{"HQ-Deadline-Ms", &RequestHead::m_deadline},
    TextField<RequestHead>{"Idempotency-Key", &RequestHead::m_key},
};
constexpr std::array kAnswerFields{
    TextField<AnswerHead>{"HQ-Request-Id", &AnswerHead::m_request_id},
    TextField<AnswerHead>{"Content-Type", &AnswerHead::m_content_type},
};

template <typename Head, std::size_t size>
void TakeText(std::string_view name, std::string_view value, const std::array<TextField<Head>, size>& fields,
              Head* head) {
  for (const auto& field : fields) {
    if (SameToken(name, field.m_name)) (head->*field.m_field).assign(value);
  }
}

}  // namespace

bool SameToken(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  return std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return Lower(x) == Lower(y); });
}

void RequestHead::Clear() {
  for (const auto& field : kRequestFields) (this->*field.m_field).clear();
  m_method.clear();
  m_target.clear();
  Reset(&m_forwarded);
  Reset(&m_body);
  m_memory.Release();
  m_once = false;
  m_keep_alive = true;
  m_wants_100 = false;
}

void AnswerHead::Clear() {
  for (const auto& field : kAnswerFields) (this->*field.m_field).clear();
  m_status = 0;
  Reset(&m_forwarded);
  Reset(&m_body);
  m_memory.Release();
  m_not_run = false;
  m_leaving = false;
  m_has_length = false;
  m_keep_alive = true;
}

void TakeHeader(std::string_view name, std::string_view value, RequestHead* head) {
  TakeText(name, value, kRequestFields, head);
  if (SameToken(name, "HQ-Once")) head->m_once = value == "1";
  if (SameToken(name, "Expect")) head->m_wants_100 = SameToken(value, "100-continue");
  Forward(name, value, &head->m_forwarded);
}

void TakeHeader(std::string_view name, std::string_view value, AnswerHead* head) {
  TakeText(name, value, kAnswerFields, head);
  if (SameToken(name, "HQ-Not-Run")) head->m_not_run = value == "1";
  if (SameToken(name, "HQ-Leaving")) head->m_leaving = value == "1";
  Forward(name, value, &head->m_forwarded);
}

}  // namespace hickoryquay::routing
