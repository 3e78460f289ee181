#include "hickoryquay/instance/caller_api.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "hickoryquay/model/json.h"
#include "hickoryquay/placer/rows.h"

namespace hickoryquay::instance {

namespace json = boost::json;

namespace {

constexpr char kJobsPath[] = "/v1/jobs";
constexpr char kJobPrefix[] = "/v1/jobs/";
constexpr char kCancelSuffix[] = "/cancel";
constexpr char kRetryAfterS[] = "1";

net::HttpResponse WithRetryAfter(net::HttpResponse response) {
  response.m_headers.push_back({"Retry-After", kRetryAfterS});
  return response;
}

net::HttpResponse ForIntakeError(const placer::IntakeError& error) {
  const std::string text = placer::ToString(error);
  return std::visit(
      Overloaded{[&](const placer::JobRefused&) { return net::JsonError(422, "refused", text); },
                 [&](const placer::KeyTaken&) { return net::JsonError(409, "key_taken", text, "key"); },
                 [&](const placer::NotRecorded&) { return WithRetryAfter(net::JsonError(503, "not_recorded", text)); },
                 [&](const placer::RecordInDoubt& unsure) {
                   return WithRetryAfter(
                       net::JsonError(503, "record_unsure", text + ", job " + ToString(unsure.m_job)));
                 }},
      error);
}

net::HttpResponse ForAccepted(const placer::Accepted& accepted) {
  const json::object body{{"id", ToString(accepted.m_job.m_id)},
                          {"domain", accepted.m_job.m_domain.m_value},
                          {"state", ToString(accepted.m_job.m_state)},
                          {"repeated", accepted.m_repeated}};
  return net::JsonResponse(accepted.m_repeated ? 200 : 202, json::serialize(body));
}

}  // namespace

void CallerApi::Handle(const net::HttpRequest& request, const net::Responder& respond) const {
  const net::Target target = net::ParseTarget(request.m_target);
  const std::string& path = target.m_path;
  if (path == "/ready") return Ready(respond);
  if (path == "/health") return respond(net::JsonResponse(200, "{}"));
  if (path == kJobsPath) {
    if (request.m_method != "POST") return respond(net::JsonError(405, "method", "expected POST"));
    return Submit(request, respond);
  }
  if (!path.starts_with(kJobPrefix)) return respond(net::JsonError(404, "unknown_path", "no such path"));

  std::string id = path.substr(sizeof(kJobPrefix) - 1);
  const bool cancel = id.ends_with(kCancelSuffix);
  if (cancel) id.resize(id.size() - (sizeof(kCancelSuffix) - 1));
  JobId job{};
  if (!ParseJobId(id, &job)) return respond(net::JsonError(400, "malformed", "expected the id of a job", "id"));
  const std::string other = net::QueryValue(target, "domain");
  const DomainId domain = other.empty() ? m_parts.m_domain : DomainId(other);
  cancel ? Cancel(domain, job, respond) : Get(domain, job, respond);
}

void CallerApi::Ready(const net::Responder& respond) const {
  const std::string why_not = m_parts.m_not_ready();
  if (why_not.empty()) return respond(net::JsonResponse(200, "{}"));
  respond(net::JsonError(503, "not_ready", why_not));
}

void CallerApi::Submit(const net::HttpRequest& request, const net::Responder& respond) const {
  const auto body = ParseJson(request.m_body);
  if (!Ok(body)) return respond(net::JsonError(400, "malformed", ErrorOf(body).m_message));
  const auto spec = ParseJobSpec(ValueOf(body));
  if (!Ok(spec)) {
    return respond(net::JsonError(400, "malformed", ErrorOf(spec).m_message, ErrorOf(spec).m_field));
  }
  const std::string why_not = m_parts.m_not_ready();
  if (!why_not.empty()) return respond(WithRetryAfter(net::JsonError(503, "not_recorded", why_not)));
  m_parts.m_intake->Submit(ValueOf(spec), [respond](const auto& result) {
    respond(Ok(result) ? ForAccepted(ValueOf(result)) : ForIntakeError(ErrorOf(result)));
  });
}

void CallerApi::Get(const DomainId& domain, JobId job, const net::Responder& respond) const {
  m_parts.m_table->Get(placer::JobKey(domain, job), [respond](const Result<store::Row, store::TableError>& result) {
    if (!Ok(result)) {
      return respond(WithRetryAfter(net::JsonError(503, "table_away", store::ToString(ErrorOf(result)))));
    }
    const store::Row& row = ValueOf(result);
    if (row.m_version == Version{0}) return respond(net::JsonError(404, "unknown_job", "no such job here", "id"));
    respond(net::JsonResponse(200, row.m_value));
  });
}

void CallerApi::Cancel(const DomainId& domain, JobId job, const net::Responder& respond) const {
  const auto notify = m_parts.m_notify_cancelled;
  m_parts.m_intake->Cancel(domain, job, "caller", [respond, notify, job](const auto& result) {
    if (!Ok(result)) {
      return respond(WithRetryAfter(net::JsonError(503, "not_recorded", store::ToString(ErrorOf(result)))));
    }
    notify(job);
    respond(net::JsonResponse(202, json::serialize(json::object{{"id", ToString(job)}, {"cancelling", true}})));
  });
}

}  // namespace hickoryquay::instance
