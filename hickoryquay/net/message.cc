// Messages, endpoints, targets and errors of net/http.h: what needs no Beast.

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cctype>
#include <charconv>
#include <cstdio>

#include "hickoryquay/net/http.h"

namespace hickoryquay::net {

namespace {

bool SameLetters(std::string_view a, std::string_view b) {
  const auto same = [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); };
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), same);
}

bool IsUnreserved(unsigned char c) {
  return std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~';
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const char* digits = text.data() + i + 1;
    const bool has_digits = text[i] == '%' && i + 2 < text.size();
    if (has_digits && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
      decoded += static_cast<char>(value);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const bool v6 = endpoint.m_address.find(':') != std::string::npos;
  const std::string host = v6 ? "[" + endpoint.m_address + "]" : endpoint.m_address;
  return host + ":" + std::to_string(endpoint.m_port);
}

std::variant<Endpoint, std::string> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return "expected ADDRESS:PORT, got \"" + std::string(text) + "\"";
  std::string host(text.substr(0, colon));
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);  // Reads up to a NUL.
  if (error || host.find('\0') != std::string::npos) return "\"" + host + "\" is not an IP number";
  std::uint16_t port = 0;
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (failed != std::errc{} || end != digits.data() + digits.size()) {
    return "\"" + std::string(digits) + "\" is not a port from 0 to 65535";
  }
  return Endpoint{host, port};
}

HttpRequest LargeRead(std::string target) {
  HttpRequest request;
  request.m_target = std::move(target);
  request.m_large_answer = true;
  return request;
}

const std::string* FindHeader(const std::vector<Header>& headers, std::string_view name) {
  const auto found =
      std::find_if(headers.begin(), headers.end(), [&](const Header& h) { return SameLetters(h.m_name, name); });
  return found == headers.end() ? nullptr : &found->m_value;
}

Target ParseTarget(std::string_view target) {
  Target parsed;
  const std::size_t mark = target.find('?');
  parsed.m_path = PercentDecode(target.substr(0, mark));
  if (mark == std::string_view::npos) return parsed;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = pair.find('=');
    const std::string_view value = equals == std::string_view::npos ? std::string_view{} : pair.substr(equals + 1);
    parsed.m_query.emplace_back(PercentDecode(pair.substr(0, equals)), PercentDecode(value));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return parsed;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (IsUnreserved(byte)) {
      encoded += c;
      continue;
    }
    char escaped[4];
    std::snprintf(escaped, sizeof(escaped), "%%%02X", byte);
    encoded += escaped;
  }
  return encoded;
}

std::string QueryValue(const Target& target, std::string_view key) {
  for (const auto& [name, value] : target.m_query) {
    if (name == key) return value;
  }
  return "";
}

bool MaybeSent(const NetError& error) {
  if (std::holds_alternative<NotSent>(error)) return false;
  const auto* timed_out = std::get_if<TimedOut>(&error);
  return timed_out == nullptr || timed_out->m_sent;
}

std::string ToString(const NetError& error) {
  return std::visit(Overloaded{[](const NotSent& e) { return "not sent: " + e.m_why; },
                               [](const TimedOut& e) -> std::string {
                                 if (e.m_received > 0)
                                   return "timed out after " + std::to_string(e.m_received) + " bytes of the answer";
                                 return e.m_sent ? "timed out after sending" : "timed out before sending";
                               },
                               [](const Cut& e) { return "connection cut: " + e.m_why; },
                               [](const Garbled& e) { return "bad answer: " + e.m_why; },
                               [](const TooLong&) -> std::string { return "the answer is too long"; }},
                    error);
}

HttpResponse JsonError(int status, std::string_view code, std::string_view message, std::string_view field) {
  boost::json::object error;
  error["code"] = std::string(code);
  error["message"] = std::string(message);
  if (!field.empty()) error["field"] = std::string(field);
  boost::json::object body;
  body["error"] = std::move(error);
  return JsonResponse(status, boost::json::serialize(body));
}

HttpResponse JsonResponse(int status, std::string body) {
  return HttpResponse{status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace hickoryquay::net
