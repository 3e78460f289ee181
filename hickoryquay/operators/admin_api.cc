#include "hickoryquay/operators/admin_api.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include "hickoryquay/model/json.h"
#include "hickoryquay/operators/outcome.h"
#include "hickoryquay/operators/parser.h"

namespace hickoryquay::operators {

namespace {

namespace json = boost::json;

constexpr std::string_view kBearer = "Bearer ";

net::HttpResponse FromOutcome(const Outcome& outcome) {
  return net::JsonResponse(HttpStatus(outcome), json::serialize(ToJson(outcome)));
}

std::optional<Version> ParseVersion(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, failed] = std::from_chars(text.data(), end, number);
  if (failed != std::errc{} || rest != end) return std::nullopt;
  return Version{number};
}

// The text between quotes; empty where there are none.
std::string_view Unquoted(std::string_view text) {
  const std::size_t begin = text.find('"');
  const std::size_t end = text.rfind('"');
  if (begin == std::string_view::npos || begin == end) return {};
  return text.substr(begin + 1, end - begin - 1);
}

// "MARKET=VERSION", ... of If-Match; nothing where one is malformed.
std::optional<std::map<MarketId, Version>> ParseVersions(std::string_view header) {
  std::map<MarketId, Version> versions;
  while (!header.empty()) {
    const std::string_view one = header.substr(0, header.find(','));
    header.remove_prefix(std::min(header.size(), one.size() + 1));
    const std::string_view pair = Unquoted(one);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const std::optional<Version> version = ParseVersion(pair.substr(equals + 1));
    if (!version.has_value()) return std::nullopt;
    versions[MarketId(std::string(pair.substr(0, equals)))] = *version;
  }
  return versions;
}

// The script in the body; nothing where a JSON body has none.
std::optional<std::string> ScriptOf(const net::HttpRequest& request) {
  const std::string* type = net::FindHeader(request.m_headers, "Content-Type");
  if (type == nullptr || type->find("application/json") == std::string::npos) return request.m_body;
  const auto body = ParseJson(request.m_body);
  if (!Ok(body) || !ValueOf(body).is_object()) return std::nullopt;
  const json::value* script = ValueOf(body).as_object().if_contains("script");
  if (script == nullptr || !script->is_string()) return std::nullopt;
  return std::string(script->as_string());
}

// The version a document must stand at; 0: it must be absent. Nothing: the condition is missing or malformed.
std::optional<Version> ExpectedVersion(const net::HttpRequest& request) {
  const std::string* none = net::FindHeader(request.m_headers, "If-None-Match");
  if (none != nullptr) return *none == "*" ? std::optional(Version{}) : std::nullopt;
  const std::string* match = net::FindHeader(request.m_headers, "If-Match");
  return match == nullptr ? std::nullopt : ParseVersion(Unquoted(*match));
}

json::object WithVersion(const Market& market) {
  return json::object{{"version", Raw(market.m_version)}, {"document", ToJson(market)}};
}

void AnswerNoCondition(const net::Responder& responder) {
  responder(net::JsonError(428, "condition_required",
                           "send If-Match: \"VERSION\" with the version you have seen, or If-None-Match: * to create"));
}

}  // namespace

AdminApi::AdminApi(Backend* backend, const settings::AdminSettings& settings)
    : m_backend(backend), m_tokens(settings.m_tokens) {}

const AdminApi::Route* AdminApi::FindRoute(const std::string& method, const std::string& path, bool* path_known) {
  static constexpr std::array<Route, 10> kRoutes = {{
      {"POST", "/v1/operate", Access::kView, &AdminApi::Operate},
      {"GET", "/v1/query", Access::kView, &AdminApi::Query},
      {"GET", "/v1/markets", Access::kView, &AdminApi::ListMarkets},
      {"GET", "/v1/markets/", Access::kView, &AdminApi::GetMarket},
      {"PUT", "/v1/markets/", Access::kChange, &AdminApi::PutMarket},
      {"DELETE", "/v1/markets/", Access::kChange, &AdminApi::DropMarket},
      {"GET", "/dump", Access::kView, &AdminApi::Dump},
      {"GET", "/metrics", Access::kView, &AdminApi::GetMetrics},
      {"GET", "/health", Access::kOpen, &AdminApi::Health},
      {"GET", "/ready", Access::kOpen, &AdminApi::Ready},
  }};
  for (const Route& route : kRoutes) {
    const std::string_view known = route.m_path;
    const bool prefix = known.ends_with('/');
    if (prefix ? !(path.starts_with(known) && path.size() > known.size()) : path != known) continue;
    *path_known = true;
    if (method == route.m_method) return &route;
  }
  return nullptr;
}

std::variant<const AdminApi::Route*, net::HttpResponse> AdminApi::Admit(const net::HttpRequest& request,
                                                                        const std::string& path, Caller* caller) const {
  bool path_known = false;
  const Route* route = FindRoute(request.m_method, path, &path_known);
  if (route == nullptr && path_known) {
    return net::JsonError(405, "wrong_method", "this path does not take this method");
  }
  if (route == nullptr) return net::JsonError(404, "unknown_path", "no such path");
  if (auto refusal = Authorize(route->m_access, request, caller)) return std::move(*refusal);
  return route;
}

void AdminApi::Handle(net::HttpRequest request, net::Responder responder) const {
  Call call;
  call.m_target = net::ParseTarget(request.m_target);
  call.m_responder = std::move(responder);
  auto admitted = Admit(request, call.m_target.m_path, &call.m_caller);
  if (auto* refusal = std::get_if<net::HttpResponse>(&admitted)) return call.m_responder(std::move(*refusal));
  const Route* route = std::get<const Route*>(admitted);
  call.m_request = std::move(request);
  const std::string_view path = route->m_path;
  if (path.ends_with('/')) call.m_name = call.m_target.m_path.substr(path.size());
  (this->*route->m_handle)(call);
}

net::HeadVerdict AdminApi::CheckHead(const net::HttpRequest& head) const {
  Caller caller;
  auto admitted = Admit(head, net::ParseTarget(head.m_target).m_path, &caller);
  if (auto* refusal = std::get_if<net::HttpResponse>(&admitted)) return {0, std::move(*refusal)};
  const bool open = std::get<const Route*>(admitted)->m_access == Access::kOpen;
  return {open ? 0 : std::numeric_limits<std::size_t>::max(), std::nullopt};
}

std::optional<net::HttpResponse> AdminApi::Authorize(Access access, const net::HttpRequest& request,
                                                     Caller* caller) const {
  if (access == Access::kOpen) return std::nullopt;
  const std::string* header = net::FindHeader(request.m_headers, "Authorization");
  const bool bearer = header != nullptr && header->starts_with(kBearer);
  const auto identity = bearer ? m_tokens.Find(header->substr(kBearer.size())) : std::nullopt;
  if (!identity.has_value()) {
    net::HttpResponse response =
        net::JsonError(401, "unauthorized", "send Authorization: Bearer TOKEN with a token of the settings");
    response.m_headers.push_back({"WWW-Authenticate", "Bearer"});
    return response;
  }
  *caller = Caller{identity->m_name, identity->m_role == settings::Role::kOperator};
  if (access == Access::kView || caller->m_may_change) return std::nullopt;
  return net::JsonError(403, "forbidden",
                        identity->m_name + " may view only; changes need a token with the role operator");
}

void AdminApi::Operate(const Call& call) const {
  const std::optional<std::string> script = ScriptOf(call.m_request);
  if (!script.has_value()) {
    return call.m_responder(net::JsonError(400, "malformed_body", "expected {\"script\": \"...\"}", "script"));
  }
  RunOptions options;
  if (const std::string* header = net::FindHeader(call.m_request.m_headers, "If-Match")) {
    auto versions = ParseVersions(*header);
    if (!versions.has_value()) {
      return call.m_responder(net::JsonError(400, "malformed_condition", "expected If-Match: \"MARKET=VERSION\", ..."));
    }
    options.m_expected = std::move(*versions);
  }
  Run(call, *script, options);
}

void AdminApi::Query(const Call& call) const {
  Call viewing = call;
  viewing.m_caller.m_may_change = false;  // A GET changes nothing, whoever sends it.
  Run(viewing, net::QueryValue(call.m_target, "q"), {});
}

void AdminApi::Run(const Call& call, const std::string& text, const RunOptions& options) const {
  const auto script = ParseScript(text);
  if (!Ok(script)) {
    Outcome outcome;
    outcome.m_problem = FromSyntax(ErrorOf(script));
    return call.m_responder(FromOutcome(outcome));
  }
  RunScript(m_backend, ValueOf(script), call.m_caller, options,
            [responder = call.m_responder](const Outcome& outcome) { responder(FromOutcome(outcome)); });
}

void AdminApi::ListMarkets(const Call& call) const {
  json::array markets;
  for (const auto& [id, market] : m_backend->Markets()->m_markets) markets.push_back(WithVersion(*market));
  call.m_responder(net::JsonResponse(200, json::serialize(json::object{{"markets", std::move(markets)}})));
}

void AdminApi::GetMarket(const Call& call) const {
  const auto configuration = m_backend->Markets();
  const Market* market = configuration->FindMarket(MarketId(call.m_name));
  if (market == nullptr) return call.m_responder(net::JsonError(404, "not_found", "no such market"));
  net::HttpResponse response = net::JsonResponse(200, json::serialize(WithVersion(*market)));
  response.m_headers.push_back({"ETag", "\"" + std::to_string(Raw(market->m_version)) + "\""});
  call.m_responder(std::move(response));
}

void AdminApi::PutMarket(const Call& call) const {
  const std::optional<Version> expected = ExpectedVersion(call.m_request);
  if (!expected.has_value()) return AnswerNoCondition(call.m_responder);
  const auto body = ParseJson(call.m_request.m_body);
  if (!Ok(body)) return call.m_responder(net::JsonError(400, "malformed_body", ErrorOf(body).m_message));
  const auto market = ParseMarket(ValueOf(body));
  if (!Ok(market)) {
    return call.m_responder(net::JsonError(422, "refused", ErrorOf(market).m_message, ErrorOf(market).m_field));
  }
  if (ValueOf(market).m_id.m_value != call.m_name) {
    return call.m_responder(net::JsonError(422, "refused", "the document is of another market", "id"));
  }
  PutMarketDocument(m_backend, {MarketId(call.m_name), *expected, ValueOf(market)}, call.m_caller,
                    "PUT market " + call.m_name,
                    [responder = call.m_responder](const Outcome& outcome) { responder(FromOutcome(outcome)); });
}

void AdminApi::DropMarket(const Call& call) const {
  const std::optional<Version> expected = ExpectedVersion(call.m_request);
  if (!expected.has_value()) return AnswerNoCondition(call.m_responder);
  PutMarketDocument(m_backend, {MarketId(call.m_name), *expected, std::nullopt}, call.m_caller,
                    "DELETE market " + call.m_name,
                    [responder = call.m_responder](const Outcome& outcome) { responder(FromOutcome(outcome)); });
}

void AdminApi::Dump(const Call& call) const {
  m_backend->Dump([respond = call.m_responder](const json::value& dump) {
    respond(net::JsonResponse(200, json::serialize(dump)));
  });
}

void AdminApi::GetMetrics(const Call& call) const {
  call.m_responder({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_backend->MetricsText()});
}

void AdminApi::Health(const Call& call) const {
  call.m_responder(net::JsonResponse(200, R"({"healthy":true})"));
}

void AdminApi::Ready(const Call& call) const {
  const std::string why = m_backend->NotReady();
  if (!why.empty()) return call.m_responder(net::JsonError(503, "not_ready", why));
  call.m_responder(net::JsonResponse(200, R"({"ready":true})"));
}

}  // namespace hickoryquay::operators
