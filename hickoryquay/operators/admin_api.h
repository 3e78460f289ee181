// AdminApi: the operators' HTTP interface, the same on every entry instance.
//
//   POST   /v1/operate       a script of the operator language, as text or as {"script": "..."}
//   GET    /v1/query?q=Q     one question of the language
//   GET    /v1/markets       all markets with their versions
//   GET    /v1/markets/M     one market's document; its version is the ETag
//   PUT    /v1/markets/M     puts the whole document, on If-Match: "VERSION" or If-None-Match: *
//   DELETE /v1/markets/M     drops the market, on If-Match: "VERSION"
//   GET    /dump             state of this process
//   GET    /metrics          Prometheus text format
//   GET    /health           200 while the process serves; needs no token
//   GET    /ready            200 while new work may come, else 503 with the reason; needs no token
//
// `POST /v1/operate` takes If-Match: "MARKET=VERSION", ... as a condition. Errors are
// {"error": {"code", "message", ...}}.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "hickoryquay/net/http.h"
#include "hickoryquay/operators/backend.h"
#include "hickoryquay/operators/executor.h"
#include "hickoryquay/operators/tokens.h"

namespace hickoryquay::operators {

// Thread-safe.
class AdminApi {
 public:
  // The backend must outlive every call in flight.
  AdminApi(Backend* backend, const settings::AdminSettings& settings);

  // A net::Handler. Answers once, from any thread.
  void Handle(net::HttpRequest request, net::Responder responder) const;

  // A net::HeadCheck: only who may use a route may send it a long body.
  net::HeadVerdict CheckHead(const net::HttpRequest& head) const;

 private:
  // What a route needs: nothing, any token, or a token that may change.
  enum class Access { kOpen, kView, kChange };

  struct Call {
    net::HttpRequest m_request;
    net::Target m_target;
    std::string m_name;  // What follows the route's prefix.
    Caller m_caller;
    net::Responder m_responder;
  };
  using Method = void (AdminApi::*)(const Call&) const;

  struct Route {
    const char* m_method;
    const char* m_path;  // Ends in '/': a prefix with a name behind it.
    Access m_access;
    Method m_handle;
  };
  static const Route* FindRoute(const std::string& method, const std::string& path, bool* path_known);

  // Finds who calls; returns the refusal where they may not.
  std::optional<net::HttpResponse> Authorize(Access access, const net::HttpRequest& request, Caller* caller) const;
  // The route of a request, or its refusal.
  std::variant<const Route*, net::HttpResponse> Admit(const net::HttpRequest& request, const std::string& path,
                                                      Caller* caller) const;

  void Operate(const Call& call) const;
  void Query(const Call& call) const;
  void ListMarkets(const Call& call) const;
  void GetMarket(const Call& call) const;
  void PutMarket(const Call& call) const;
  void DropMarket(const Call& call) const;
  void Dump(const Call& call) const;
  void GetMetrics(const Call& call) const;
  void Health(const Call& call) const;
  void Ready(const Call& call) const;

  void Run(const Call& call, const std::string& text, const RunOptions& options) const;

  Backend* m_backend;
  TokenTable m_tokens;
};

}  // namespace hickoryquay::operators
