// Message heads on the request path: what is read from them, and what is passed on. Filled by http_parser.h.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "hickoryquay/base/memory_budget.h"

namespace hickoryquay::routing {

// A caller's request. Its strings keep their memory from one request to the next.
struct RequestHead {
  std::string m_method;
  std::string m_target;
  std::string m_market;      // HQ-Market
  std::string m_account;     // HQ-Account
  std::string m_class;       // HQ-Class
  std::string m_deadline;    // HQ-Deadline-Ms
  std::string m_key;         // Idempotency-Key
  std::string m_forwarded;   // Header lines for the backend server, each with its CRLF.
  bool m_once = false;       // HQ-Once: 1
  bool m_keep_alive = true;  // What the caller asks for.
  bool m_wants_100 = false;  // Expect: 100-continue
  std::string m_body;
  MemoryHold m_memory;  // Covers m_body.

  void Clear();
};

// A backend server's answer.
struct AnswerHead {
  int m_status = 0;
  std::string m_request_id;  // HQ-Request-Id
  std::string m_content_type;
  std::string m_forwarded;    // Header lines for the caller, each with its CRLF.
  bool m_not_run = false;     // HQ-Not-Run: 1
  bool m_leaving = false;     // HQ-Leaving: 1
  bool m_has_length = false;  // Content-Length, or a status that has no body.
  bool m_keep_alive = true;
  std::string m_body;
  MemoryHold m_memory;  // Covers m_body.

  void Clear();
};

// Sorts one header of a message into its place. Headers of the connection and of the project's own protocol are not
// passed on, so that neither side can set the other's.
void TakeHeader(std::string_view name, std::string_view value, RequestHead* head);
void TakeHeader(std::string_view name, std::string_view value, AnswerHead* head);

// True where two header names or tokens are the same in any letter case.
bool SameToken(std::string_view a, std::string_view b);

}  // namespace hickoryquay::routing
